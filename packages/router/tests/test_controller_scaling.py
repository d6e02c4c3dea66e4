"""Tests of the orders of backend servers by the lease holder."""

import types

import attrs
import paddle_kernel
from paddle_router import controller
from paddle_router.controller import _fleet
from paddle_router.controller import _scaling
from paddle_router import gateway
import pytest

BOOT_MS = 4_000
SERVICE = gateway.Service(
    name='s',
    health_path='/health',
    connection_limit=100,
    scaling=gateway.Scaling(
        minimum=1,
        maximum=4,
        boot_ms=BOOT_MS,
        spot_price=None,
        prices={'d1': 1.0, 'd2': 1.1},
    ),
)


def listed_server(number, **fields):
    return gateway.ListedServer(
        id=f'i-{number}',
        service='s',
        address=f'10.0.0.{number}:80',
        domain='d2' if number == 3 else 'd1',
        slots=4,
        **fields,
    )


SERVERS = tuple(listed_server(number) for number in range(4))


class FakeFencedSender:
    """Sends under a lease that is always held."""

    def number(self):
        return 1

    def send(self, call):
        return call(None, 1, 1_000)


class FakePlatform:
    def __init__(self):
        self.orders = []

    def order_servers(self, _conn, order, _number, _timeout_ms):
        self.orders.append((order.domain, order.count))
        return controller.Receipt(accepted=True)


class CollectedFleet(_fleet.Fleet):
    """A fleet whose gateways have all reported."""

    has_collected_reports = True


@pytest.fixture
def clock():
    return paddle_kernel.FakeClock()


@pytest.fixture
def fake_controller(clock):
    fleet = CollectedFleet(clock)
    fleet.set_servers(SERVERS, is_platform_read=True)
    loads = {
        item.id: gateway.ServerFlights(id=item.id, running=2)
        for item in SERVERS
    }
    return types.SimpleNamespace(
        clock=clock,
        fenced_sender=FakeFencedSender(),
        platform=FakePlatform(),
        fleet=fleet,
        evacuations=types.SimpleNamespace(is_known=True, domains=frozenset()),
        configuration=lambda: types.SimpleNamespace(services={'s': SERVICE}),
        exchange=types.SimpleNamespace(
            sums=types.SimpleNamespace(all_loads=lambda: loads)
        ),
    )


@pytest.fixture
def duty(fake_controller):
    scaling = _scaling.ScalingDuty(fake_controller)
    scaling.step()
    return scaling


def test_a_server_that_announces_to_leave_is_replaced_at_once(
    duty, fake_controller, clock
):
    # The platform lists the server as ready for seconds, so an order for the
    # desired number alone would not start a replacement.
    assert fake_controller.platform.orders == []
    clock.advance(1_000)
    fake_controller.fleet.list.mark_leaving([SERVERS[1].incarnation], 'g1')
    duty.step()
    assert fake_controller.platform.orders == [('d1', 4)]


def test_a_server_listed_as_leaving_later_is_not_replaced_twice(
    duty, fake_controller, clock
):
    clock.advance(1_000)
    fake_controller.fleet.list.mark_leaving([SERVERS[1].incarnation], 'g1')
    duty.step()
    clock.advance(1_000)
    leaving = attrs.evolve(SERVERS[1], leaving=True)
    new = listed_server(9)
    fake_controller.fleet.set_servers(
        (SERVERS[0], leaving, *SERVERS[2:], new), is_platform_read=True
    )
    for _ in range(20):
        clock.advance(1_000)
        duty.step()
    # The platform does not count listed leaving servers towards the order.
    assert fake_controller.platform.orders == [('d1', 4), ('d1', 3)]


def test_orders_do_not_exceed_the_maximum(duty, fake_controller, clock):
    # All three servers of the domain leave; at most four may be ordered.
    fake_controller.fleet.list.mark_leaving(
        [x.incarnation for x in SERVERS[:3]], 'g1'
    )
    duty.step()
    assert fake_controller.platform.orders == [('d1', 4)]


def test_an_evacuated_domain_is_replaced_by_servers_of_the_others(
    duty, fake_controller, clock
):
    # Guards against orders for servers that get no requests, and against
    # servers of the domain that count as capacity.
    fake_controller.evacuations.domains = frozenset({'d1'})
    clock.advance(1_000)
    duty.step()
    assert fake_controller.platform.orders == [('d2', 4)]
    # Nothing is ordered while all domains are evacuated.
    fake_controller.evacuations.domains = frozenset({'d1', 'd2'})
    for _ in range(10):
        clock.advance(1_000)
        duty.step()
    assert fake_controller.platform.orders == [('d2', 4)]


def test_servers_of_an_evacuated_domain_allow_no_release(
    fake_controller, clock
):
    # Guards against a release of servers that have to carry the load until
    # the cheaper ones have started.
    service = attrs.evolve(
        SERVICE,
        scaling=attrs.evolve(SERVICE.scaling, maximum=10, spot_price=0.3),
    )
    fake_controller.configuration = lambda: types.SimpleNamespace(
        services={'s': service}
    )
    moved = [attrs.evolve(listed_server(n), domain='d2') for n in range(4, 7)]
    fake_controller.fleet.set_servers(
        (*SERVERS, *moved), is_platform_read=True
    )
    fake_controller.evacuations.domains = frozenset({'d1'})
    _scaling.ScalingDuty(fake_controller).step()
    # Reclaimable ones for 8 requests at 40% of 4 slots; the others stay.
    assert fake_controller.platform.orders == [('d2', 5)]


def test_nothing_is_ordered_before_the_evacuations_are_known(
    fake_controller,
):
    # Guards against orders for an evacuated domain after a restart.
    fake_controller.evacuations.is_known = False
    fake_controller.fleet.set_servers((), is_platform_read=True)
    duty = _scaling.ScalingDuty(fake_controller)
    duty.step()
    assert fake_controller.platform.orders == []
    fake_controller.evacuations.is_known = True
    duty.step()
    assert fake_controller.platform.orders != []
