"""Tests of the state that a controller receives from the lease holder."""

import types

import attrs
import paddle_coord
import paddle_kernel
from paddle_router.controller import _evacuation
from paddle_router.controller import _fleet
from paddle_router.controller import _server_list
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
LOCATION = gateway.ControllerLocation(address='c1', domain='d1')


class FakeLeaseHolder:
    """Answers reports as the lease holder does.

    ``before_reply`` is called before the reply arrives.
    """

    def __init__(self, clock):
        self.clock = clock
        self.fleet = _fleet.Fleet(clock)
        self.in_charge = True
        self.confirmed_age_ms = 100
        self.version = 0
        self.before_reply = lambda: None

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
        self.before_reply()
        self.clock.advance(20)
        return returns.result.Success(reply)


@pytest.fixture
def clock():
    return paddle_kernel.FakeClock()


@pytest.fixture
def lease_holder(clock):
    return FakeLeaseHolder(clock)


@pytest.fixture
def controller(clock, lease_holder):
    register = types.SimpleNamespace(peek=lambda key: None)
    return types.SimpleNamespace(
        clock=clock,
        wall=paddle_kernel.SteadyWall(clock),
        transport=lease_holder,
        fleet=_fleet.Fleet(clock),
        lease=types.SimpleNamespace(observed_holder='c0/1'),
        holds_lease=False,
        document=paddle_coord.VersionedDocument(register, clock),
        evacuations=_evacuation.Evacuations(register, clock, is_served=False),
        request_refresh=lambda: None,
    )


@pytest.fixture
def exchange(controller):
    return _state_exchange.StateExchange(controller, LOCATION)


def test_the_list_of_the_lease_holder_is_used(
    exchange, controller, lease_holder
):
    lease_holder.fleet.set_servers(SERVERS)
    exchange.relay()
    assert controller.fleet.servers == SERVERS
    assert not exchange.is_holder_silent()


def test_a_reply_without_servers_does_not_empty_a_newer_list(
    exchange, controller, lease_holder
):
    # The reply to a report of the same version contains no servers. As a list,
    # it would leave every gateway of this controller without a server.
    lease_holder.fleet.set_servers(SERVERS)
    exchange.relay()
    lease_holder.before_reply = lambda: controller.fleet.set_servers(
        SERVERS[:2]
    )
    exchange.relay()
    assert controller.fleet.servers == SERVERS[:2]


def test_an_older_list_does_not_replace_a_newer_one(
    exchange, controller, lease_holder, clock
):
    lease_holder.fleet.set_servers(SERVERS)
    clock.advance(1_000)
    controller.fleet.set_servers(SERVERS[:1])
    exchange.relay()
    assert controller.fleet.servers == SERVERS[:1]


def test_a_reply_without_the_lease_is_ignored(
    exchange, controller, lease_holder
):
    lease_holder.fleet.set_servers(SERVERS)
    lease_holder.in_charge = False
    exchange.relay()
    assert controller.fleet.servers is None
    assert exchange.is_holder_silent()


def test_gateways_are_informed_of_a_silent_lease_holder(
    exchange, controller, lease_holder, clock
):
    controller.members = lambda: ('c0', 'c1')
    controller.list_requested = types.SimpleNamespace(set=lambda: None)
    controller.wall = paddle_kernel.SteadyWall(clock)
    request = gateway.SyncRequest(
        reports=(), version=0, listing='', attached=False
    )
    exchange.relay()
    assert exchange.handle_sync(request).unheard_holder == ''
    clock.advance(_state_exchange.HOLDER_SILENCE_MS)
    assert exchange.handle_sync(request).unheard_holder == 'c0'
    controller.holds_lease = True
    assert exchange.handle_sync(request).unheard_holder == ''


def test_the_age_of_a_confirmation_includes_the_call(
    exchange, controller, lease_holder
):
    # Guards against regarding a version as the newest after it was replaced.
    document = controller.document
    document.current = paddle_coord.Document(5, b'{}')
    lease_holder.version = 5
    exchange.relay()
    assert document.age_ms() == lease_holder.confirmed_age_ms + 20


def test_a_confirmation_of_another_version_is_ignored(
    exchange, controller, lease_holder
):
    controller.document.current = paddle_coord.Document(7, b'{}')
    lease_holder.version = 5
    exchange.relay()
    assert controller.document.age_ms() is None


# Values that messages cannot contain

ODD_SERVER = attrs.evolve(SERVERS[0], id='i-odd', domain='\ud800')
HUGE_SERVER = attrs.evolve(SERVERS[0], id='i-huge', slots=2**40)
TWO_LINES_SERVER = attrs.evolve(SERVERS[0], id='i\n1')


def test_a_server_that_messages_cannot_contain_is_rejected():
    # Guards against one entry that costs each gateway the whole list.
    servers, rejected = _server_list.split_encodable(
        (ODD_SERVER, *SERVERS, HUGE_SERVER, TWO_LINES_SERVER)
    )
    assert servers == SERVERS
    assert [item.entry for item in rejected] == [
        "'i-odd'",
        "'i-huge'",
        "'i\\n1'",
    ]
    assert rejected[0].reason.startswith('domain: UnicodeEncodeError')
    assert rejected[1].reason.startswith('slots: KjException')


def test_a_list_that_cannot_be_encoded_costs_no_configuration(
    exchange, controller, clock
):
    controller.members = lambda: ('c0', 'c1')
    controller.list_requested = types.SimpleNamespace(set=lambda: None)
    controller.document.current = paddle_coord.Document(5, b'{}')
    controller.fleet.set_servers((ODD_SERVER, *SERVERS))
    request = gateway.SyncRequest(
        reports=(), version=4, listing='held', attached=True
    )
    reply = exchange.handle_sync(request)
    with pytest.raises(
        paddle_kernel.EncodeError, match=r'servers\[3\].domain'
    ):
        paddle_kernel.codec.encode(reply)
    reduced = _state_exchange.reduce_answer(request, reply)
    kind, data = paddle_kernel.codec.encode(reduced)
    received = paddle_kernel.codec.decode(kind, data)
    assert (received.version, received.document) == (5, reply.document)
    assert (received.listing, received.servers) == ('held', ())


def test_a_reply_that_cannot_be_encoded_keeps_the_list(exchange, controller):
    controller.members = lambda: ()
    controller.fleet.set_servers((*SERVERS, ODD_SERVER))
    report = gateway.ControllerReport(
        place=LOCATION, fronts=(), loads=b'', version=1, listing='held'
    )
    reduced = _state_exchange.reduce_answer(
        report, exchange.handle_report(report)
    )
    paddle_kernel.codec.encode(reduced)
    # No list is applied without an age.
    assert reduced.list_age_ms == -1 and reduced.listing == 'held'


def test_a_report_that_cannot_be_encoded_is_reduced(
    exchange, controller, lease_holder, monkeypatch
):
    # Guards against a controller that loses its lease holder.
    answer = lease_holder.call

    def call(address, report, timeout_ms):
        try:
            paddle_kernel.codec.encode(report)
        except paddle_kernel.EncodeError:
            return returns.result.Failure(
                paddle_kernel.CallError('unencodable', address)
            )
        return answer(address, report, timeout_ms)

    monkeypatch.setattr(lease_holder, 'call', call)
    lease_holder.fleet.set_servers(SERVERS)
    controller.fleet.add_reports(
        (
            gateway.GatewayReport(
                name='g1',
                incarnation='g1-x',
                sequence=1,
                flights=(),
                usage=(
                    gateway.UsageCount(
                        window=1, customer='\ud800', requests=1
                    ),
                ),
            ),
        ),
        attached=True,
    )
    exchange.relay()
    assert controller.fleet.servers == SERVERS
    assert not exchange.is_holder_silent()


# Servers that announce that they leave


def leaving_ids(fleet):
    return [item.id for item in fleet.servers if item.leaving]


def leaving_report(server, name='g1'):
    return gateway.GatewayReport(
        name=name,
        incarnation=f'{name}-x',
        sequence=1,
        flights=(),
        usage=(),
        leaving=(server.incarnation,),
    )


def test_a_notice_to_one_gateway_marks_the_server_for_all(
    exchange, controller, lease_holder
):
    # The platform lists the server as ready for another second or more.
    controller.fleet.set_servers(SERVERS)
    controller.fleet.add_reports((leaving_report(SERVERS[1]),), attached=True)
    assert leaving_ids(controller.fleet) == ['i-1']
    report = exchange.sums.report('c0/1', 0)
    lease_holder.fleet.set_servers(SERVERS, is_platform_read=True)
    lease_holder.fleet.list.mark_leaving(report.leaving, 'c1')
    assert leaving_ids(lease_holder.fleet) == ['i-1']
    # The mark makes it a new list, which is distributed.
    assert lease_holder.fleet.listing == controller.fleet.listing


def test_a_later_list_with_the_server_ready_keeps_the_mark(controller):
    controller.fleet.set_servers(SERVERS, is_platform_read=True)
    controller.fleet.add_reports((leaving_report(SERVERS[1]),), attached=True)
    controller.fleet.set_servers(SERVERS, is_platform_read=True)
    assert leaving_ids(controller.fleet) == ['i-1']


def test_a_lease_holder_without_the_notice_receives_it_and_keeps_it(
    exchange, controller, lease_holder
):
    # A new lease holder has not received any notice yet.
    lease_holder.fleet.set_servers(SERVERS, is_platform_read=True)
    exchange.relay()
    controller.fleet.add_reports((leaving_report(SERVERS[1]),), attached=True)
    lease_holder.fleet = _fleet.Fleet(lease_holder.clock)
    lease_holder.fleet.set_servers(SERVERS, is_platform_read=True)
    exchange.relay()
    assert leaving_ids(controller.fleet) == ['i-1']
    reported = exchange.sums.report('c0/2', 0).leaving
    assert [item.id for item in reported] == ['i-1']


def test_a_mark_missing_from_the_platforms_list_is_no_restart(
    controller, clock
):
    # The relayed list had the mark; the platform's list does not have it yet.
    marked = [attrs.evolve(item, leaving=item.id == 'i-1') for item in SERVERS]
    controller.fleet.set_servers(marked)
    controller.fleet.add_reports((leaving_report(SERVERS[1]),), attached=True)
    clock.advance(500)
    controller.fleet.set_servers(SERVERS, is_platform_read=True)
    assert leaving_ids(controller.fleet) == ['i-1']


@pytest.mark.parametrize('interruption', ['gone', 'draining'])
def test_a_server_that_restarts_under_its_id_is_a_new_incarnation(
    controller, interruption
):
    fleet = controller.fleet
    fleet.set_servers(SERVERS, is_platform_read=True)
    fleet.add_reports((leaving_report(SERVERS[1]),), attached=True)
    if interruption == 'gone':
        fleet.set_servers(SERVERS[:1], is_platform_read=True)
    else:
        draining = attrs.evolve(SERVERS[1], leaving=True)
        fleet.set_servers((SERVERS[0], draining), is_platform_read=True)
    fleet.set_servers(SERVERS, is_platform_read=True)
    assert leaving_ids(fleet) == []
    assert fleet.servers[1].born_ms > 0
    # Further reads do not change the incarnation again.
    listing = fleet.listing
    fleet.set_servers(SERVERS, is_platform_read=True)
    assert fleet.listing == listing
