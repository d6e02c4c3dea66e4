"""Tests of the urgencies that are sent to engines."""

import itertools

from paddle_router import gateway
from paddle_router.gateway import _routes


def route_table(customers, routes):
    """Return a route table for the given customer and route priorities."""
    return gateway.RouteTable(
        gateway.Configuration(
            version=1,
            routes=tuple(
                gateway.Route(
                    name=str(number),
                    host='h',
                    prefix=f'/{number}/',
                    kind=gateway.Kind.STREAM,
                    timeout_ms=1,
                    target_ms=1,
                    priority=priority,
                    services=(gateway.Weight(service='s', weight=1),),
                )
                for number, priority in enumerate(routes)
            ),
            services={},
            limits=gateway.Limits(),
            customers=None
            if customers is None
            else {
                str(number): gateway.Customer(
                    name=str(number), priority=priority
                )
                for number, priority in enumerate(customers)
            },
        )
    )


def urgencies(customers, routes):
    """Return the urgencies by customer, then by route."""
    found = route_table(customers, routes)
    return [
        [
            found.urgency(route, found.customer(str(number)), 's')
            for route in found.configuration.routes
        ]
        for number in range(len(customers))
    ]


def test_routes_keep_their_order_among_customers_of_one_priority():
    # All customers of the users' sites have a priority. With customer priority
    # alone, chats had the same urgency as long reports, so engines preempted
    # them while the reports ran on (TIER on scale-2 of
    # diaspoort-rozemarijn-large).
    assert urgencies([1], [0, 1, 2]) == [[3, 4, 5]]
    assert urgencies([1, 0], [0, 1, 2]) == [[3, 4, 5], [0, 1, 2]]
    assert urgencies([7], [0, 1, 2]) == [[0, 1, 2]]


def test_a_customer_without_priority_uses_the_route_priority():
    # By the protocol, a customer's priority replaces that of the route. A
    # customer without one was ranked after all customers with a priority, so
    # its chats waited for their long reports.
    low, high = urgencies([None, 1], [0, 2])
    assert low[0] < high[0] < high[1] < low[1]
    first, second = urgencies([None], [0, 2])[0]
    assert first < second


def test_routes_without_a_customer_keep_their_order():
    found = route_table(None, [2, 0, 1])
    order = [found.urgency(x, None, 's') for x in found.configuration.routes]
    assert order[1] < order[2] < order[0]


def test_adding_a_priority_does_not_change_other_urgencies():
    # Requests sent before and after a configuration change run at the same
    # time. When urgencies were renumbered, an old report preceded a new chat.
    before = urgencies([1], [0, 1, 2])
    after = urgencies([1, 0, 2], [0, 1, 2])
    assert after[0] == before[0]
    assert max(after[1]) < min(after[0]) and max(after[0]) < min(after[2])


def test_more_priority_pairs_than_urgency_levels_keep_their_order():
    found = urgencies([0, 1, 2, 3], [0, 1, 2, 3])
    flat = list(itertools.chain.from_iterable(found))
    assert flat == sorted(flat)
    assert flat[0] == 0 and 5 < flat[-1] < _routes.URGENCY_LEVELS
