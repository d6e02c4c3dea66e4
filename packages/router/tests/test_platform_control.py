"""Tests of the platform's adapters and of the control task."""

import json

import gevent
import gevent.server
import paddle_coord as coord
import paddle_kernel as kernel
from paddle_testbed import fakes
import pytest

from paddle_router import _control
from paddle_router import _hosting
from paddle_router import _http_out
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
    pool = _http_out.Pool(clock)
    return _instances.InstanceList(pool, platform.address, clock=clock)


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
        self.arrivals = 0
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
            self.arrivals += 1
        sock.close()


@pytest.fixture
def closing_server():
    server = ClosingServer()
    yield server
    server.stop()


def send(gateway, number=1):
    conn = gateway.connect()
    try:
        return gateway.send(conn, ORDER, number, TIMEOUT_MS)
    finally:
        conn.close()


def test_order_arrives_once_on_a_connection_that_breaks(
    closing_server, instances, clock
):
    # Guards against a client that sends a POST again on a broken connection.
    gateway = _platform.OrderGateway(closing_server.address, instances, clock)
    for count in (1, 2):
        with pytest.raises(OSError):
            send(gateway)
        assert closing_server.arrivals == count


def test_every_order_has_a_connection_of_its_own(gateway):
    # Guards against a used connection that is broken without notice.
    first, second = gateway.connect(), gateway.connect()
    assert first is not second
    assert not (first.reused or second.reused)
    first.close()
    second.close()


def test_order_in_the_runner_arrives_once_and_counts_as_sent(
    closing_server, clock
):
    # Guards against a resend anywhere between the runner and the socket.
    register = _hosting.LocalRegister()
    lists = _instances.InstanceList(None, None, clock=clock)
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
    assert closing_server.arrivals == 1
    (order,) = control.orders.open_orders().unwrap()
    assert order.state == 'sent'


def test_answers_of_the_platform_are_told_apart(gateway, platform):
    # Guards against a stale number or a lack of capacity taken for success.
    assert send(gateway, number=5) == _platform.ACCEPTED
    assert platform.orders[0]['args'] == {'cheap': True}
    assert send(gateway, number=4) == _platform.STALE_NUMBER
    platform.launch = lambda order: None
    assert send(gateway, number=5) == _platform.REFUSED


def test_look_up_needs_a_recent_list(gateway, instances, clock):
    # Guards against giving an order up because of an old list.
    with pytest.raises(_platform.StaleListError):
        gateway.lookup(ORDER.id)
    send(gateway)
    instances.poll()
    instances.poll()
    assert gateway.lookup(ORDER.id)
    assert not gateway.lookup('1.2')
    clock.advance(_platform.MAX_LIST_AGE_MS + 1)
    with pytest.raises(_platform.StaleListError):
        gateway.lookup(ORDER.id)


def test_report_answers_are_told_apart(platform):
    # Guards against a report that counts as accepted without being so.
    sink = _platform.UsageSink(platform.address)

    def put(data, number):
        conn = sink.connect()
        try:
            return sink.put(conn, '0', data, number, TIMEOUT_MS)
        finally:
            conn.close()

    assert put(b'{"a":1}', 2) == _platform.ACCEPTED
    assert put(b'{"a":1}', 2) == _platform.ACCEPTED
    assert put(b'{"a":2}', 2) == _platform.CONFLICT
    assert put(b'{"a":1}', 1) == _platform.STALE_NUMBER
    assert platform.usage['0'] == [b'{"a":1}', b'{"a":1}']


def test_holder_drives_orders_and_reports_windows(control, platform, clock):
    # Guards against a control task that leaves one of its parts out.
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
    # Guards against a planned restart that costs a whole lease.
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
