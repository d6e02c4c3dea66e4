"""Ranks by which engines admit requests and preempt them.

Requests are ordered by the priority that holds for their customer, then by
that of their route. Engines tell few ranks apart.

Load pattern it answers: an engine runs out of memory or places while chats,
short answers and long reports of customers of several priorities run there.
Of requests that share a rank it puts the newest one back, so a chat goes
while a report runs on.
"""


def priority_pair(customer_priority, route_priority):
    """Return the key by which requests are ordered; the lowest goes first.

    A customer's priority goes before the route's; one without a priority
    counts by the route's alone.
    """
    if customer_priority is None:
        return route_priority, route_priority
    return customer_priority, route_priority


def engine_ranks(pairs, most):
    """Return ``{pair: rank}`` for ranks from 0 to ``most - 1``.

    Where they fit, ranks depend on the priorities alone. Otherwise a change
    of the configuration would number them anew, and requests that were sent
    before it would count as more or less urgent than they are.

    With more pairs than ranks, neighbours share one, spread over all of them.
    """
    order = sorted(set(pairs))
    if not order:
        return {}
    width = 1 + max(second for _first, second in order)
    least = min(min(pair) for pair in order)
    if least >= 0 and _fixed(order[-1], width) < most:
        return {pair: _fixed(pair, width) for pair in order}
    shared = max(most, len(order))
    return {pair: index * most // shared for index, pair in enumerate(order)}


def _fixed(pair, width):
    first, second = pair
    return first * width + second
