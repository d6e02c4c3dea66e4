"""Route lookup by host and longest path prefix, and request priorities."""

import bisect
import collections

from paddle_router.gateway import _model
from paddle_router import policy

# Number of urgency levels that engines support; 0 is served first.
URGENCY_LEVELS = 10


class RouteTable:
    """The routes of one configuration, searchable by host and path."""

    def __init__(self, configuration):
        self.configuration = configuration
        self._by_host = {}
        for route in configuration.routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route
        self._urgencies = _engine_urgencies(configuration)

    def find(self, host, target):
        """Return the route of a request, ``None`` if none matches.

        ``host`` may have a port; ``target`` is the raw request target.
        """
        name = host.rsplit(':', 1)[0] if ':' in host else host
        prefixes = self._by_host.get(name.lower())
        if prefixes is None:
            return None
        path = target.split('?', 1)[0]
        # Every prefix ends with a slash, so only these parts can match.
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def urgency(self, route, customer, service):
        """Return the urgency for an engine, ``None`` for a plain request.

        0 is the most urgent.
        """
        if route.kind is not _model.Kind.STREAM:
            return None
        return self._urgencies[service][priority_key(route, customer)]

    def customer(self, key):
        """Return the customer with the access key ``key`` or ``None``."""
        customers = self.configuration.customers
        if customers is None or key is None:
            return None
        return customers.get(key)


def choose_service(route, rng):
    """Choose a service for one request at random by the route's weights."""
    if len(route.services) == 1:
        return route.services[0].service
    bounds = []
    total = 0.0
    for item in route.services:
        total += item.weight
        bounds.append(total)
    index = bisect.bisect_right(bounds, rng.random() * total)
    return route.services[min(index, len(bounds) - 1)].service


def priority_key(route, customer):
    """Return the sort key for requests; the lowest is served first."""
    return policy.priority_pair(
        None if customer is None else customer.priority, route.priority
    )


def _engine_urgencies(configuration):
    """Return ``{service: {priority key: urgency}}`` for streams."""
    known = set((configuration.customers or {}).values())
    pairs = collections.defaultdict(set)
    for route in configuration.routes:
        if route.kind is not _model.Kind.STREAM:
            continue
        customers = set(known)
        if route.is_public or configuration.customers is None:
            customers.add(None)
        for item in route.services:
            pairs[item.service].update(
                priority_key(route, customer) for customer in customers
            )
    return {
        service: policy.engine_ranks(priority_keys, URGENCY_LEVELS)
        for service, priority_keys in pairs.items()
    }
