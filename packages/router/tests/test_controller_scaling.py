"""Tests of the orders of backend servers by the controller in charge."""

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


def listed(number, **fields):
    return gateway.ListedServer(
        id=f'i-{number}',
        service='s',
        address=f'10.0.0.{number}:80',
        domain='d2' if number == 3 else 'd1',
        slots=4,
        **fields,
    )


SERVERS = tuple(listed(number) for number in range(4))


class FakeFencedSender:
    """The lease of a holder; sends orders to a platform that takes them."""

    def number(self):
        return 1

    def send(self, call):
        return call(None, 1, 1_000)


class Platform:
    def __init__(self):
        self.orders = []

    def order_servers(self, _conn, order, _number, _timeout_ms):
        self.orders.append((order.domain, order.count))
        return controller.Receipt(accepted=True)


class InformedFleet(_fleet.Fleet):
    """A fleet of which all gateways have reported."""

    is_informed = True


@pytest.fixture
def clock():
    return paddle_kernel.FakeClock()


@pytest.fixture
def parts(clock):
    fleet = InformedFleet(clock)
    fleet.set_servers(SERVERS, is_own_read=True)
    flights = {
        item.id: gateway.ServerFlights(id=item.id, running=2)
        for item in SERVERS
    }
    return types.SimpleNamespace(
        clock=clock,
        fenced_sender=FakeFencedSender(),
        platform=Platform(),
        fleet=fleet,
        configuration=lambda: types.SimpleNamespace(services={'s': SERVICE}),
        exchange=types.SimpleNamespace(
            sums=types.SimpleNamespace(all_flights=lambda: flights)
        ),
    )


@pytest.fixture
def duty(parts):
    built = _scaling.ScalingDuty(parts)
    built.step()
    return built


def test_a_server_that_says_it_leaves_is_replaced_at_once(duty, parts, clock):
    # The platform lists it as ready for seconds, so that an order of the
    # number wanted starts no other one.
    assert parts.platform.orders == []
    clock.advance(1_000)
    parts.fleet.list.mark_leaving([SERVERS[1].incarnation], 'g1')
    duty.step()
    assert parts.platform.orders == [('d1', 4)]


def test_a_server_that_is_listed_as_leaving_is_not_ordered_twice(
    duty, parts, clock
):
    clock.advance(1_000)
    parts.fleet.list.mark_leaving([SERVERS[1].incarnation], 'g1')
    duty.step()
    clock.advance(1_000)
    leaving = attrs.evolve(SERVERS[1], leaving=True)
    new = listed(9)
    parts.fleet.set_servers(
        (SERVERS[0], leaving, *SERVERS[2:], new), is_own_read=True
    )
    for _ in range(20):
        clock.advance(1_000)
        duty.step()
    # The platform does not count servers that leave among those ordered.
    assert parts.platform.orders == [('d1', 4), ('d1', 3)]


def test_no_more_than_the_largest_number_is_ordered(duty, parts, clock):
    # All three of the domain leave, of which four may be ordered.
    parts.fleet.list.mark_leaving([x.incarnation for x in SERVERS[:3]], 'g1')
    duty.step()
    assert parts.platform.orders == [('d1', 4)]
