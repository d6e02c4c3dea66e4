"""Tests of the platform adapters and of the control task."""

import json

import gevent
import gevent.server
import paddle_coord as coord
import paddle_kernel as kernel
from paddle_testbed import fakes
import pytest

from paddle_router import _control
from paddle_router import _engine_watch
from paddle_router import _hosting
from paddle_router import _instances
from paddle_router import _platform

WINDOW_MS = 60_000
ORDER = coord.Order(id='1.1', verb='start', args=(('cheap', True),))
TIMEOUT_MS = 2_000


@pytest.fixture
def clock():
    return kernel.FakeClock()


@pytest.fixture
def platform():
    server = fakes.FakePlatform(
        list_lag_ms=0,
        launch=lambda order: {'id': f'i-{order["id"]}', 'address': 'x:1'},
    ).start()
    yield server
    server.stop()


@pytest.fixture
def instances(platform, clock):
    return _instances.InstanceList(platform.address, clock=clock)


@pytest.fixture
def gateway(platform, instances, clock):
    return _platform.OrderGateway(platform.address, instances, clock)


@pytest.fixture
def control(gateway, platform, clock):
    control = _control.Control(
        _hosting.LocalRegister(),
        clock,
        'd1',
        gateway=gateway,
        sink=_platform.UsageSink(platform.address),
    )
    assert control.lease.tick() == 1
    return control


class ClosingServer:
    """Counts requests and closes each connection without an answer."""

    def __init__(self):
        self.request_count = 0
        self._server = gevent.server.StreamServer(
            ('127.0.0.1', 0), self._serve
        )
        self._server.start()

    @property
    def address(self):
        return f'127.0.0.1:{self._server.server_port}'

    def stop(self):
        self._server.stop()

    def _serve(self, sock, _peer):
        if sock.recv(65_536):
            self.request_count += 1
        sock.close()


@pytest.fixture
def closing_server():
    server = ClosingServer()
    yield server
    server.stop()


def send_order(gateway, number=1):
    conn = gateway.connect()
    try:
        return gateway.send(conn, ORDER, number, TIMEOUT_MS)
    finally:
        conn.close()


def test_order_is_not_resent_on_a_broken_connection(
    closing_server, instances, clock
):
    # Guards against an HTTP client that resends a POST request when its
    # connection breaks.
    gateway = _platform.OrderGateway(closing_server.address, instances, clock)
    for expected_requests in (1, 2):
        with pytest.raises(OSError):
            send_order(gateway)
        assert closing_server.request_count == expected_requests


def test_every_order_uses_a_new_connection(gateway):
    # Guards against a reused connection that was already broken.
    first, second = gateway.connect(), gateway.connect()
    assert first is not second
    assert first._sock.getsockname() != second._sock.getsockname()
    first.close()
    second.close()


def test_runner_sends_an_order_once_and_marks_it_sent(closing_server, clock):
    # Guards against a second send by the runner, the adapter or the client.
    register = _hosting.LocalRegister()
    lists = _instances.InstanceList(None, clock=clock)
    control = _control.Control(
        register,
        clock,
        'd1',
        gateway=_platform.OrderGateway(closing_server.address, lists, clock),
        sink=_platform.UsageSink(closing_server.address),
    )
    control.lease.tick()
    control.orders.record(control.orders.new_order('start', {})).unwrap()
    for _ in range(3):
        control.runner.step()
    assert closing_server.request_count == 1
    (order,) = control.orders.open_orders().unwrap()
    assert order.state == 'sent'


def test_answers_to_an_order_are_distinguished(gateway, platform):
    # Guards against taking a rejected lease number or a lack of capacity for
    # success.
    assert send_order(gateway, number=5) == _platform.ACCEPTED
    assert platform.orders[0]['args'] == {'cheap': True}
    assert send_order(gateway, number=4) == _platform.STALE_NUMBER
    platform.launch = lambda order: None
    assert send_order(gateway, number=5) == _platform.REFUSED


ENTRY = {'id': 'i-1', 'address': '10.0.0.1:80'}
ODD_ENTRIES = [
    json.dumps({**ENTRY, **fields})
    for fields in (
        {'id': '\ud800'},
        {'id': ''},
        {'id': 1},
        {'address': '10.0.0.1:70000'},
        {'address': '10.0.0.1:\u00b2'},
        {'address': None},
        {'slots': 2**40},
        {'slots': '8'},
        {'slots': float('nan')},
        {'price_per_hour': float('inf')},
        {'price_per_hour': 10**400},
        {'models': 'small'},
        {'models': [['small']]},
        {'leaves_in_ms': 1e300},
        {'state': []},
    )
] + [
    '"text"',
    'null',
    '{}',
    '{"id": i-1}',
    '[' * 100_000 + ']' * 100_000,
    '{"id": "i-1", "address": "h:1", "slots": ' + '9' * 5_000 + '}',
]


@pytest.mark.parametrize('odd', ODD_ENTRIES)
def test_an_odd_instance_costs_no_other(odd):
    # Guards against a daemon that stops following the list.
    body = '{"instances": [' + f'{odd}, {json.dumps(ENTRY)}' + ']}'
    found, rejected = _instances.parse(body.encode())
    assert found == (_instances.Instance(**ENTRY),)
    assert len(rejected) == 1 and len(rejected[0]) < 300


@pytest.mark.parametrize(
    'body', [b'', b'[]', b'{}', b'{"instances": 1}', b'[' * 100_000]
)
def test_a_body_without_instances_is_an_error(body):
    with pytest.raises(ValueError):
        _instances.parse(body)


REPORT = {'running': 1, 'waiting': 0, 'slots': 8, 'age_ms': 20}


@pytest.mark.parametrize(
    ('body', 'running'),
    [
        (json.dumps(REPORT), 1),
        (json.dumps({**REPORT, 'running': 10**400}), 2**31 - 1),
        (json.dumps({**REPORT, 'running': -1}), 0),
        (json.dumps({**REPORT, 'running': float('inf')}), None),
        (json.dumps({**REPORT, 'running': float('nan')}), None),
        ('{"running": ' + '9' * 5_000 + '}', None),
        ('[' * 100_000, None),
        ('[]', None),
    ],
)
def test_an_odd_load_report_is_bounded_or_malformed(body, running):
    # Guards against a report that ends the reading of all others.
    if running is None:
        with pytest.raises(ValueError):
            _engine_watch._parse_report(body)
    else:
        assert _engine_watch._parse_report(body).running == running


def test_lookup_requires_a_recent_list(gateway, instances, clock):
    # Guards against giving up an executed order that an outdated list lacks.
    with pytest.raises(_platform.StaleListError):
        gateway.lookup(ORDER.id)
    send_order(gateway)
    instances.poll()
    instances.poll()
    assert gateway.lookup(ORDER.id)
    assert not gateway.lookup('1.2')
    clock.advance(_platform.MAX_LIST_AGE_MS + 1)
    with pytest.raises(_platform.StaleListError):
        gateway.lookup(ORDER.id)


def test_answers_to_a_usage_report_are_distinguished(platform):
    # Guards against a rejected report that counts as accepted.
    sink = _platform.UsageSink(platform.address)

    def put_report(data, number):
        conn = sink.connect()
        try:
            return sink.put(conn, '0', data, number, TIMEOUT_MS)
        finally:
            conn.close()

    assert put_report(b'{"a":1}', 2) == _platform.ACCEPTED
    assert put_report(b'{"a":1}', 2) == _platform.ACCEPTED
    assert put_report(b'{"a":2}', 2) == _platform.CONFLICT
    assert put_report(b'{"a":1}', 1) == _platform.STALE_NUMBER
    assert platform.usage['0'] == [b'{"a":1}', b'{"a":1}']


def test_lease_holder_executes_orders_and_reports_windows(
    control, platform, clock
):
    # Guards against a control task that does not run all of its components.
    control.orders.record(control.orders.new_order('start', {})).unwrap()
    counts = {'acme': {'chat': {'requests': 2}}}
    start_ms = clock.wall_ms() - clock.wall_ms() % WINDOW_MS
    assert control.write_usage(str(start_ms), counts)
    control.runner.step()
    clock.advance(2 * WINDOW_MS)
    control.lease.tick()
    control.step_windows()
    assert [order['number'] for order in platform.orders] == [1]
    (body,) = platform.usage[str(start_ms)]
    assert json.loads(body)['usage'][0]['requests'] == 2


def test_stop_ends_the_tasks_and_releases_the_lease(gateway, platform):
    # Guards against a planned restart after which the other daemons have to
    # wait until the lease expires.
    register = _hosting.LocalRegister()
    sink = _platform.UsageSink(platform.address)
    control = _control.Control(
        register, kernel.SystemClock(), 'd1', gateway=gateway, sink=sink
    ).start()
    with gevent.Timeout(5):
        while control.lease.number() is None:
            gevent.sleep(0.01)
    control.stop()
    assert control.lease.number() is None
    assert json.loads(register.values[coord.LEASE_KEY])[:2] == [None, 1]
