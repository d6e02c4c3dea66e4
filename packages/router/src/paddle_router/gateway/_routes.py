"""Choice of the route by host and longest path prefix, and ranks."""

import bisect

# Ranks that engines tell apart; 0 is served first.
URGENCIES = 10


class RouteTable:
    """The routes of one configuration, searchable by host and path."""

    def __init__(self, configuration):
        self.configuration = configuration
        self._by_host = {}
        for route in configuration.routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route
        self._urgencies = _urgencies(configuration)

    def find(self, host, target):
        """Return the route of a request, ``None`` without a match.

        ``host`` may have a port; ``target`` is the raw request target.
        """
        name = host.rsplit(':', 1)[0] if ':' in host else host
        prefixes = self._by_host.get(name.lower())
        if prefixes is None:
            return None
        path = target.split('?', 1)[0]
        # Every prefix ends with a slash, so only those cuts can match.
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def urgency(self, route, customer):
        """Return the rank of a request for an engine; 0 is the highest.

        The customer's priority goes first, the route's decides among
        requests of customers with the same one. A customer without a
        priority comes after those that have one.
        """
        given = None if customer is None else customer.priority
        return self._urgencies[given, route.priority]

    def customer(self, key):
        """Return the customer that holds ``key`` or ``None``."""
        customers = self.configuration.customers
        if customers is None or key is None:
            return None
        return customers.get(key)


def choose_service(route, rng):
    """Return the service of one request, by the route's weights."""
    if len(route.services) == 1:
        return route.services[0].service
    bounds = []
    total = 0.0
    for item in route.services:
        total += item.weight
        bounds.append(total)
    index = bisect.bisect_right(bounds, rng.random() * total)
    return route.services[min(index, len(bounds) - 1)].service


def _urgencies(configuration):
    """Return ``{(customer's priority, route's priority): rank}``."""
    customers = (configuration.customers or {}).values()
    given = sorted({x.priority for x in customers} - {None})
    own = sorted({route.priority for route in configuration.routes})
    order = [(first, second) for first in (*given, None) for second in own]
    # With more pairs than ranks, neighbours in the order share one.
    shared = max(URGENCIES, len(order))
    return {
        pair: index * URGENCIES // shared for index, pair in enumerate(order)
    }
