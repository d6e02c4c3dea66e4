"""Tests of the ranks that engines get."""

import itertools

from paddle_router import gateway
from paddle_router.gateway import _routes


def table(customers, routes):
    """Return the table of customers and routes with these priorities."""
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


def ranks(customers, routes):
    """Return the ranks by customer, then by route."""
    found = table(customers, routes)
    return [
        [
            found.urgency(route, found.customer(str(number)), 's')
            for route in found.configuration.routes
        ]
        for number in range(len(customers))
    ]


def test_routes_keep_their_order_among_customers_of_one_priority():
    # All customers of the users' sites have a priority. With that alone,
    # chats ranked like long reports: engines put them back while the reports
    # ran on (TIER on scale-2 of diaspoort-rozemarijn-large).
    assert ranks([1], [0, 1, 2]) == [[3, 4, 5]]
    assert ranks([1, 0], [0, 1, 2]) == [[3, 4, 5], [0, 1, 2]]
    assert ranks([7], [0, 1, 2]) == [[0, 1, 2]]


def test_a_customer_without_priority_counts_by_its_routes():
    # The protocol puts a customer's priority in the place of the route's. It
    # was ranked after all customers with one, so that its chats waited for
    # their long reports.
    low, high = ranks([None, 1], [0, 2])
    assert low[0] < high[0] < high[1] < low[1]
    first, second = ranks([None], [0, 2])[0]
    assert first < second


def test_routes_without_a_customer_keep_their_order():
    found = table(None, [2, 0, 1])
    order = [found.urgency(x, None, 's') for x in found.configuration.routes]
    assert order[1] < order[2] < order[0]


def test_a_new_priority_leaves_the_ranks_of_others_as_they_were():
    # Requests that were sent before the change run beside those sent after
    # it; numbered anew, an old report went before a new chat.
    before = ranks([1], [0, 1, 2])
    after = ranks([1, 0, 2], [0, 1, 2])
    assert after[0] == before[0]
    assert max(after[1]) < min(after[0]) and max(after[0]) < min(after[2])


def test_more_pairs_than_ranks_keep_their_order():
    found = ranks([0, 1, 2, 3], [0, 1, 2, 3])
    flat = list(itertools.chain.from_iterable(found))
    assert flat == sorted(flat)
    assert flat[0] == 0 and 5 < flat[-1] < _routes.URGENCY_LEVELS
