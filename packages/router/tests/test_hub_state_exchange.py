"""Tests of what a controller takes from the one in charge."""

import types

import paddle_coord
import paddle_kernel
from paddle_router import gateway
from paddle_router.hub import _fleet
from paddle_router.hub import _state_exchange
import pytest
import returns.result

SERVERS = tuple(
    gateway.ListedServer(
        id=f'i-{number}',
        service='s',
        address=f'10.0.0.{number}:80',
        domain='d1',
        slots=4,
    )
    for number in range(3)
)
PLACE = gateway.ControllerPlace(address='c1', domain='d1')


class Charge:
    """Answers reports as the holder of the lease does.

    ``meanwhile`` is called before the reply arrives.
    """

    def __init__(self, clock):
        self.clock = clock
        self.fleet = _fleet.Fleet(clock)
        self.in_charge = True
        self.confirmed_age_ms = 100
        self.version = 0
        self.meanwhile = lambda: None

    def call(self, _address, report, _timeout_ms):
        listing, servers = self.fleet.listing, self.fleet.servers or ()
        reply = gateway.HubReply(
            in_charge=self.in_charge,
            controllers=(),
            fronts=9,
            loads=b'',
            version=self.version,
            confirmed_age_ms=self.confirmed_age_ms,
            listing=listing,
            list_age_ms=self.fleet.list_age_ms() or 0,
            servers=() if listing == report.listing else servers,
        )
        self.meanwhile()
        self.clock.advance(20)
        return returns.result.Success(reply)


@pytest.fixture
def clock():
    return paddle_kernel.FakeClock()


@pytest.fixture
def charge(clock):
    return Charge(clock)


@pytest.fixture
def parts(clock, charge):
    register = types.SimpleNamespace(peek=lambda key: None)
    return types.SimpleNamespace(
        clock=clock,
        transport=charge,
        fleet=_fleet.Fleet(clock),
        lease=types.SimpleNamespace(observed_holder='c0/1'),
        in_charge=False,
        document=paddle_coord.VersionedDocument(register, clock),
    )


@pytest.fixture
def exchange(parts):
    return _state_exchange.StateExchange(parts, PLACE)


def test_the_list_of_the_one_in_charge_is_used(exchange, parts, charge):
    charge.fleet.set_servers(SERVERS)
    exchange.relay()
    assert parts.fleet.servers == SERVERS
    assert not exchange.holder_is_silent()


def test_a_list_read_during_the_call_is_not_emptied(exchange, parts, charge):
    # The reply to the same version holds no servers; taken for the list, it
    # would leave every gateway here without a server.
    charge.fleet.set_servers(SERVERS)
    exchange.relay()
    charge.meanwhile = lambda: parts.fleet.set_servers(SERVERS[:2])
    exchange.relay()
    assert parts.fleet.servers == SERVERS[:2]


def test_an_older_list_replaces_no_newer_one(exchange, parts, charge, clock):
    charge.fleet.set_servers(SERVERS)
    clock.advance(1_000)
    parts.fleet.set_servers(SERVERS[:1])
    exchange.relay()
    assert parts.fleet.servers == SERVERS[:1]


def test_one_that_is_not_in_charge_counts_for_nothing(exchange, parts, charge):
    charge.fleet.set_servers(SERVERS)
    charge.in_charge = False
    exchange.relay()
    assert parts.fleet.servers is None
    assert exchange.holder_is_silent()


def test_gateways_learn_of_a_holder_that_does_not_answer(
    exchange, parts, charge, clock
):
    parts.members = lambda: ('c0', 'c1')
    parts.list_wanted = types.SimpleNamespace(set=lambda: None)
    parts.wall = paddle_kernel.SteadyWall(clock)
    ask = gateway.SyncRequest(
        reports=(), version=0, listing='', attached=False
    )
    exchange.relay()
    assert exchange.sync(ask).unheard_holder == ''
    clock.advance(_state_exchange.SILENT_MS)
    assert exchange.sync(ask).unheard_holder == 'c0'
    parts.in_charge = True
    assert exchange.sync(ask).unheard_holder == ''


def test_a_confirmation_counts_from_before_the_call(exchange, parts, charge):
    # Guards against a version taken for the newest after it was overtaken.
    document = parts.document
    document.current = paddle_coord.Document(5, b'{}')
    charge.version = 5
    exchange.relay()
    assert document.age_ms() == charge.confirmed_age_ms + 20


def test_a_confirmation_of_another_version_confirms_nothing(
    exchange, parts, charge
):
    parts.document.current = paddle_coord.Document(7, b'{}')
    charge.version = 5
    exchange.relay()
    assert parts.document.age_ms() is None
