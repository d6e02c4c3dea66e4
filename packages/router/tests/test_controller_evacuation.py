"""Tests of the orders that evacuate failure domains."""

import socket
import types

import falcon
import falcon.testing
import gevent
import paddle_coord
import paddle_kernel
from paddle_router.controller import _control_api
from paddle_router.controller import _evacuation
from paddle_router.controller import _fleet
from paddle_router.controller import _state_exchange
from paddle_router import gateway
import pytest
import returns.result

LIMIT_MS = 800


class FakeRegister:
    """One register without replicas.

    ``interrupt`` runs before the next decision, after which the change
    function is called again, as after a conflict between proposers. With
    ``is_down`` no majority answers.
    """

    def __init__(self):
        self.value = None
        self.interrupt = None
        self.is_down = False

    def change(self, _key, function):
        if self.is_down:
            return _failure()
        new = function(self.value)
        if self.interrupt is not None:
            interrupt, self.interrupt = self.interrupt, None
            interrupt()
            new = function(self.value)
        if isinstance(new, paddle_coord.Reject):
            return returns.result.Success(
                paddle_coord.Change(self.value, new.reason)
            )
        self.value = new
        return returns.result.Success(paddle_coord.Change(new))

    def fetch(self, _key):
        if self.is_down:
            return _failure()
        return returns.result.Success((None, self.value))

    def peek(self, _key):
        return _failure()

    def read(self, _key):
        return _failure()


def _failure():
    return returns.result.Failure(
        paddle_coord.RegisterError(paddle_coord.NOT_WRITTEN, 'no majority')
    )


@pytest.fixture
def clock():
    return paddle_kernel.FakeClock()


@pytest.fixture
def register():
    return FakeRegister()


@pytest.fixture
def build(register, clock):
    """Return a function that builds the evacuations of one controller."""
    return lambda is_served=True: _evacuation.Evacuations(
        register, clock, is_served=is_served
    )


@pytest.fixture
def order(clock):
    """Return a function that builds an order of a caller who waits."""

    def build_order(domain, *, is_evacuated=True, has_left=False):
        return _evacuation.Order(
            domain=domain,
            is_evacuated=is_evacuated,
            expires_ms=clock.now_ms() + LIMIT_MS,
            has_caller_left=lambda: has_left,
        )

    return build_order


def stored_domains(build):
    return build().read().domains


def test_operators_at_the_same_time_lose_no_order(build, order, register):
    # Guards against an order that overwrites one acknowledged meanwhile.
    first, second = build(), build()
    register.interrupt = lambda: second.apply(order('d2'))
    assert first.apply(order('d1')).domains == ('d1', 'd2')
    assert stored_domains(build) == ('d1', 'd2')


def test_of_crossed_orders_the_one_decided_last_is_in_force(
    build, order, register
):
    first, second = build(), build()
    first.apply(order('d1'))
    register.interrupt = lambda: second.apply(order('d1', is_evacuated=False))
    assert first.apply(order('d1')).domains == ('d1',)
    assert first.version > second.version
    assert stored_domains(build) == ('d1',)


@pytest.mark.parametrize('is_evacuated', [True, False])
def test_a_repeated_order_is_acknowledged_and_changes_nothing(
    build, order, is_evacuated
):
    # Guards against a refusal after an answer that was lost on its way.
    build().apply(order('d2'))
    repeated = [
        build().apply(order('d1', is_evacuated=is_evacuated)) for _ in range(2)
    ]
    assert repeated[0] == repeated[1]


def test_a_withdrawal_before_any_order_is_acknowledged(build, order):
    stored = build().apply(order('d1', is_evacuated=False))
    assert stored == gateway.Evacuation()


def test_an_order_whose_caller_has_left_changes_nothing(build, order):
    # Guards against a copy of an order that a controller finds when it wakes,
    # after the order was acknowledged elsewhere and taken back.
    build().apply(order('d1'))
    build().apply(order('d1', is_evacuated=False))
    assert build().apply(order('d1', has_left=True)) is None
    assert stored_domains(build) == ()


def test_an_order_that_is_late_after_a_conflict_changes_nothing(
    build, order, register, clock
):
    # Guards against a controller that is suspended between its attempts.
    first, second = build(), build()

    def suspend():
        second.apply(order('d1'))
        second.apply(order('d1', is_evacuated=False))
        clock.advance(LIMIT_MS)

    register.interrupt = suspend
    assert first.apply(order('d1')) is None
    assert stored_domains(build) == ()


def test_without_a_majority_nothing_is_acknowledged(build, order, register):
    evacuations = build()
    evacuations.apply(order('d1'))
    register.is_down = True
    assert evacuations.apply(order('d1', is_evacuated=False)) is None
    # What is in force stays in force, and a read is not answered.
    assert evacuations.domains == {'d1'}
    assert evacuations.read() is None


@pytest.mark.parametrize('name', ['', 'd' * 256, 'd\ud800', 'd\n1'])
def test_a_name_that_messages_cannot_contain_is_rejected(build, order, name):
    # Guards against an order that costs every gateway its exchange.
    with pytest.raises(_evacuation.InvalidOrderError):
        build().apply(order(name))


def test_the_number_of_domains_is_bounded(build, order, monkeypatch):
    monkeypatch.setattr(_evacuation, 'MAX_DOMAINS', 1)
    evacuations = build()
    evacuations.apply(order('d1'))
    with pytest.raises(_evacuation.InvalidOrderError):
        evacuations.apply(order('d2'))
    assert stored_domains(build) == ('d1',)


def test_a_platform_without_evacuations_reads_no_register(build, register):
    # Guards against a cost to deployments that use none.
    register.fetch = register.peek = None
    evacuations = build(is_served=False)
    assert evacuations.refresh() and evacuations.is_known
    assert evacuations.message() is None


def test_a_controller_does_not_know_the_evacuations_before_a_read(
    build, order, register
):
    build().apply(order('d1'))
    restarted = build()
    assert not restarted.is_known and restarted.message() is None
    register.is_down = True
    assert not restarted.refresh()
    assert restarted.message() is None
    register.is_down = False
    assert restarted.refresh()
    assert restarted.message() == gateway.Evacuation(
        version=1, domains=('d1',)
    )


def test_the_copy_is_compared_once_a_period(build, order, clock):
    reader = build()
    reader.refresh()
    build().apply(order('d1'))
    reader.refresh_if_due()
    assert reader.domains == frozenset()
    clock.advance(_evacuation.REFRESH_PERIOD_MS)
    reader.refresh_if_due()
    assert reader.domains == {'d1'}


# Exchange


LOCATION = gateway.ControllerLocation(address='c1', domain='d1')
GATEWAY_REQUEST = gateway.SyncRequest(
    reports=(), version=0, listing='', attached=True
)


class FakeController:
    """A controller without tasks; ``peer`` answers its reports."""

    def __init__(self, register, clock, fleet):
        self.clock = clock
        self.wall = paddle_kernel.SteadyWall(clock)
        self.fleet = fleet
        self.holds_lease = False
        self.lease = types.SimpleNamespace(observed_holder='c0/1')
        self.document = paddle_coord.VersionedDocument(register, clock)
        self.document.current = paddle_coord.Document(3, b'{}')
        self.document.confirm(3, clock.now_ms())
        self.evacuations = _evacuation.Evacuations(
            register, clock, is_served=True
        )
        self.list_requested = types.SimpleNamespace(set=lambda: None)
        self.transport = self
        self.peer = None
        self.exchange = _state_exchange.StateExchange(self, LOCATION)

    def call(self, _address, report, _timeout_ms):
        return returns.result.Success(self.peer.exchange.handle_report(report))

    def members(self):
        return ('c0', 'c1')

    def request_refresh(self):
        pass


@pytest.fixture
def build_controller(register, clock):
    return lambda: FakeController(register, clock, _fleet.Fleet(clock))


def test_a_gateway_that_starts_learns_the_evacuations_with_its_configuration(
    build_controller, build, order
):
    # Guards against a gateway that sends requests to an evacuated domain
    # between its first two replies.
    build().apply(order('d1'))
    serving = build_controller()
    reply = serving.exchange.handle_sync(GATEWAY_REQUEST)
    assert (reply.document, reply.confirmed, reply.evacuation) == (
        None,
        False,
        None,
    )
    serving.evacuations.refresh()
    reply = serving.exchange.handle_sync(GATEWAY_REQUEST)
    assert reply.document is not None and reply.confirmed
    assert reply.evacuation.domains == ('d1',)


def test_an_order_reaches_the_others_through_the_lease_holder(
    build_controller, order
):
    # Guards against controllers that read it only after their own period.
    holder, accepting, other = (build_controller() for _ in range(3))
    holder.holds_lease = True
    accepting.peer = other.peer = holder
    for item in (holder, accepting, other):
        item.evacuations.refresh()
    accepting.evacuations.apply(order('d1'))
    accepting.exchange.relay()
    gevent.idle()
    assert holder.evacuations.domains == {'d1'}
    other.exchange.relay()
    assert other.evacuations.domains == {'d1'}


def test_an_older_evacuation_of_the_lease_holder_is_not_used(
    build_controller, order
):
    holder, accepting = build_controller(), build_controller()
    holder.holds_lease = True
    accepting.peer = holder
    accepting.evacuations.apply(order('d1'))
    holder.evacuations.refresh()
    accepting.evacuations.apply(order('d1', is_evacuated=False))
    accepting.exchange.relay()
    assert accepting.evacuations.domains == frozenset()


# Interface for operators


@pytest.fixture
def client(build, clock):
    evacuations = build()
    fleet = types.SimpleNamespace(
        servers=[
            gateway.ListedServer(
                id='i-1', service='s', address='a:1', domain='d1', slots=1
            )
        ]
    )
    app = falcon.App()
    app.add_route(
        '/evacuation', _control_api.EvacuationListResource(evacuations)
    )
    app.add_route(
        '/evacuation/{domain}',
        _control_api.EvacuationResource(evacuations, fleet, clock),
    )
    return falcon.testing.TestClient(app)


def test_an_operator_orders_reads_and_withdraws(client):
    assert client.simulate_post('/evacuation/d1').json == {
        'version': 1,
        'domains': ['d1'],
        'servers': 1,
    }
    # A domain without servers may get some later.
    assert client.simulate_post('/evacuation/d%202').json['servers'] == 0
    assert client.simulate_get('/evacuation').json == {
        'version': 2,
        'domains': ['d 2', 'd1'],
    }
    answer = client.simulate_delete('/evacuation/d1')
    assert (answer.status_code, answer.json['domains']) == (200, ['d 2'])
    assert client.simulate_post('/evacuation/%0A').status_code == 400


def test_orders_and_reads_without_a_majority_are_answered_503(
    client, register
):
    register.is_down = True
    assert client.simulate_post('/evacuation/d1').status_code == 503
    assert client.simulate_delete('/evacuation/d1').status_code == 503
    assert client.simulate_get('/evacuation').status_code == 503


def test_a_closed_connection_shows_that_the_caller_has_left():
    caller, served = socket.socketpair()
    with caller, served:
        assert not _control_api._has_left(served)
        caller.sendall(b'x')
        assert not _control_api._has_left(served)
        caller.close()
        assert _control_api._has_left(served)
