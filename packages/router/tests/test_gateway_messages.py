"""Tests of the message kinds that processes of other versions rely on."""

import paddle_kernel
from paddle_kernel import _events
from paddle_router import gateway
import pytest

LOCATION = gateway.ControllerLocation(address='c0:1', domain='d0')
GATEWAY_REPORT = gateway.GatewayReport(
    name='g0', incarnation='g0/1', sequence=1, flights=(), usage=()
)
RELAYED_REPORT = gateway.RelayedReport(
    name='g0',
    incarnation='g0/1',
    sequence=1,
    age_ms=20,
    server_rate=3,
    usage=(gateway.UsageCount(window=1, customer='c', requests=2),),
)
CONTROLLER_REPORT = gateway.ControllerReport(
    place=LOCATION, fronts=(RELAYED_REPORT,), loads=b'', version=1, listing='l'
)
CONTROLLER_REPLY = gateway.ControllerReply(
    in_charge=True,
    controllers=(LOCATION,),
    fronts=1,
    loads=b'',
    version=1,
    confirmed_age_ms=0,
    listing='l',
    list_age_ms=0,
    servers=(),
)
KINDS = {
    'ControllerPlace': LOCATION,
    'FrontNews': RELAYED_REPORT,
    'FrontReport': GATEWAY_REPORT,
    'HubReply': CONTROLLER_REPLY,
    'HubReport': CONTROLLER_REPORT,
}


@pytest.mark.parametrize('kind', KINDS)
def test_wire_kinds_differ_from_class_names(kind):
    # Guards against a renamed class that processes of another version, which
    # read the kind from the frame, cannot decode.
    message = KINDS[kind]
    encoded_kind, data = paddle_kernel.codec.encode(message)
    assert encoded_kind == kind
    assert paddle_kernel.codec.decode(kind, data) == message


def test_a_failed_handler_logs_the_wire_kind(monkeypatch):
    # Guards against log records that change with the name of a class.
    logged = []
    monkeypatch.setattr(
        _events, 'emit', lambda event, **fields: logged.append(fields)
    )

    def fail(_message):
        raise ValueError('no')

    server = paddle_kernel.TcpServer('127.0.0.1:0', fail).start()
    transport = paddle_kernel.TcpTransport()
    transport.call(server.address, GATEWAY_REPORT, 200)
    transport.close()
    server.stop()
    assert [fields['message'] for fields in logged] == ['FrontReport']
