"""Ranks by which engines admit requests and preempt them.

Requests are ordered by the priority of their customer, then by that of their
route. Engines distinguish only a few ranks.

Customers of several priorities run chats, short answers and long reports on
one engine. When the engine runs out of memory or slots, it preempts the newest
of the requests with the same rank. With one rank per customer it would thus
preempt a chat while a report runs on.
"""


def priority_pair(customer_priority, route_priority):
    """Return the sort key of a request; the lowest goes first.

    The customer's priority takes precedence over the route's. For a customer
    without a priority, the route's is used for both.
    """
    if customer_priority is None:
        return route_priority, route_priority
    return customer_priority, route_priority


def engine_ranks(pairs, most):
    """Return ``{pair: rank}`` for ranks from 0 to ``most - 1``.

    If the ranks suffice, the rank of a pair depends on its priorities (and on
    the largest route priority) but not on which other pairs exist. Otherwise a
    change of the configuration would renumber the ranks, and requests sent
    before it would count as more or less urgent than they are.

    With more pairs than ranks, neighbours share one; the pairs are spread over
    all ranks.
    """
    distinct = sorted(set(pairs))
    if not distinct:
        return {}
    ranks_per_customer = 1 + max(route for _customer, route in distinct)
    lowest = min(min(pair) for pair in distinct)
    if lowest >= 0 and _fixed_rank(distinct[-1], ranks_per_customer) < most:
        return {
            pair: _fixed_rank(pair, ranks_per_customer) for pair in distinct
        }
    shared = max(most, len(distinct))
    return {
        pair: index * most // shared for index, pair in enumerate(distinct)
    }


def _fixed_rank(pair, ranks_per_customer):
    customer, route = pair
    return customer * ranks_per_customer + route
