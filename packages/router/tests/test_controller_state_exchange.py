"""Tests of what a controller takes from the one in charge."""

import types

import attrs
import paddle_coord
import paddle_kernel
from paddle_router.controller import _fleet
from paddle_router.controller import _state_exchange
from paddle_router import gateway
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
PLACE = gateway.ControllerLocation(address='c1', domain='d1')


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
        reply = gateway.ControllerReply(
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


# Servers that say that they leave


def leaving(fleet):
    return [item.id for item in fleet.servers if item.leaving]


def heard(server, name='g1'):
    return gateway.GatewayReport(
        name=name,
        incarnation=f'{name}-x',
        sequence=1,
        flights=(),
        usage=(),
        leaving=(server.incarnation,),
    )


def test_what_one_gateway_heard_is_marked_for_all(exchange, parts, charge):
    # The platform's list says ready for a second or more.
    parts.fleet.set_servers(SERVERS)
    parts.fleet.add_reports((heard(SERVERS[1]),), attached=True)
    assert leaving(parts.fleet) == ['i-1']
    report = exchange.sums.report('c0/1', 0)
    charge.fleet.set_servers(SERVERS, is_own_read=True)
    charge.fleet.list.mark_leaving(report.leaving, 'c1')
    assert leaving(charge.fleet) == ['i-1']
    # The list is a new one, so that it is passed on.
    assert charge.fleet.listing == parts.fleet.listing


def test_a_later_list_that_says_ready_changes_nothing(parts):
    parts.fleet.set_servers(SERVERS, is_own_read=True)
    parts.fleet.add_reports((heard(SERVERS[1]),), attached=True)
    parts.fleet.set_servers(SERVERS, is_own_read=True)
    assert leaving(parts.fleet) == ['i-1']


def test_a_holder_that_knows_less_is_told_and_brings_no_server_back(
    exchange, parts, charge
):
    # A successor in charge has heard nothing yet.
    charge.fleet.set_servers(SERVERS, is_own_read=True)
    exchange.relay()
    parts.fleet.add_reports((heard(SERVERS[1]),), attached=True)
    charge.fleet = _fleet.Fleet(charge.clock)
    charge.fleet.set_servers(SERVERS, is_own_read=True)
    exchange.relay()
    assert leaving(parts.fleet) == ['i-1']
    told = exchange.sums.report('c0/2', 0).leaving
    assert [item.id for item in told] == ['i-1']


def test_a_mark_that_a_successor_lacks_is_no_new_start(parts, clock):
    # The list that was passed on had the mark, the platform's has it not yet.
    marked = [attrs.evolve(item, leaving=item.id == 'i-1') for item in SERVERS]
    parts.fleet.set_servers(marked)
    parts.fleet.add_reports((heard(SERVERS[1]),), attached=True)
    clock.advance(500)
    parts.fleet.set_servers(SERVERS, is_own_read=True)
    assert leaving(parts.fleet) == ['i-1']


@pytest.mark.parametrize('between', ['gone', 'draining'])
def test_a_server_that_starts_again_under_its_id_is_a_new_one(parts, between):
    fleet = parts.fleet
    fleet.set_servers(SERVERS, is_own_read=True)
    fleet.add_reports((heard(SERVERS[1]),), attached=True)
    if between == 'gone':
        fleet.set_servers(SERVERS[:1], is_own_read=True)
    else:
        draining = attrs.evolve(SERVERS[1], leaving=True)
        fleet.set_servers((SERVERS[0], draining), is_own_read=True)
    fleet.set_servers(SERVERS, is_own_read=True)
    assert leaving(fleet) == []
    assert fleet.servers[1].born_ms > 0
    # The next reads do not make it another one again.
    listing = fleet.listing
    fleet.set_servers(SERVERS, is_own_read=True)
    assert fleet.listing == listing
