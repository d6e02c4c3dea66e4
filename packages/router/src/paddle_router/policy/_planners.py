"""Planners: which backend servers to run, and what each of them loads."""

import collections
import math

from paddle_router.policy import _hooks
from paddle_router.policy import _plan_view

HEADROOM_RATIO = 0.05
# Servers are drained only if the rest could also serve this much more demand.
HYSTERESIS_RATIO = 0.02
MIN_HOLD_MS = 60_000
# Tiers up to this number keep their targets if any one failure domain is lost.
PROTECTED_TIER = 1
MS_PER_S = 1_000

_COUNTED_STATES = (_plan_view.STARTING, _plan_view.LIVE)


def servers_for(rate, server_rate):
    """Return how many servers are needed to serve ``rate``."""
    return math.ceil(round(rate / server_rate, 6)) if rate > 0 else 0


def cheapest_mix(total, protected, options):
    """Return the cheapest ``{kind: count}`` that meets the demand.

    ``options`` holds ``(price, kind, limit)``. At least ``total`` servers are
    chosen, and whichever failure domain is lost, at least ``protected`` of
    them remain. With ``n`` servers this means at most ``n - protected`` per
    domain, so for each ``n`` it is optimal to fill the cheapest options first.
    If the options do not suffice, return the largest possible mix.
    """
    options = sorted(options)
    best = None
    fallback = {}
    # With two domains of ``protected`` servers each, either can be lost.
    max_count = max(total, 2 * protected)
    for count in range(max(total, protected), max_count + 1):
        mix, price = _fill(count, count - protected, options)
        if sum(mix.values()) < count:
            if sum(mix.values()) > sum(fallback.values()):
                fallback = mix
            continue
        if best is None or price < best[1]:
            best = mix, price
    return best[0] if best else fallback


def _fill(count, per_domain, options):
    """Choose up to ``count`` servers, the cheapest first.

    Servers of equal price are spread evenly over the domains. Return the mix
    and its price.
    """
    mix = collections.Counter()
    domains = collections.Counter()
    cost = 0.0
    start = 0
    while start < len(options):
        price = options[start][0]
        group = [item for item in options[start:] if item[0] == price]
        start += len(group)
        while sum(mix.values()) < count:
            open_options = [
                (domains[kind[0]], kind)
                for _, kind, limit in group
                if mix[kind] < limit and domains[kind[0]] < per_domain
            ]
            if not open_options:
                break
            _, kind = min(open_options)
            mix[kind] += 1
            domains[kind[0]] += 1
            cost += price
    return mix, cost


def wanted_mix(view, demand, headroom, protected_tier):
    """Return the cheapest mix for ``demand``, a rate for each tier."""
    rate = sum(demand.values()) * (1 + headroom)
    protected_rate = sum(
        value for tier, value in demand.items() if tier <= protected_tier
    )
    existing = collections.Counter(
        server.kind
        for server in view.servers
        if server.state in _COUNTED_STATES
    )
    options = [
        (
            offer.price,
            offer.kind,
            math.inf if offer.available else existing[offer.kind],
        )
        for offer in view.offers
    ]
    return cheapest_mix(
        servers_for(rate, view.server_rate),
        servers_for(protected_rate * (1 + headroom), view.server_rate),
        options,
    )


def is_safe(servers, view, demand, headroom, protected_tier):
    """Whether ``servers`` can serve ``demand``.

    The protected tiers must be served even if any one failure domain is lost.
    """
    rate = sum(demand.values()) * (1 + headroom)
    if len(servers) < servers_for(rate, view.server_rate):
        return False
    protected_rate = sum(
        value for tier, value in demand.items() if tier <= protected_tier
    )
    protected = servers_for(protected_rate * (1 + headroom), view.server_rate)
    domains = collections.Counter(item.failure_domain for item in servers)
    largest = max(domains.values(), default=0)
    return len(servers) - largest >= protected


@_hooks.planners.register('bounded_cheap')
class BoundedCheapPlanner:
    """Cheapest mix that survives the loss of any one failure domain.

    It starts servers at once. It drains a server only if its kind was surplus
    for the hold time and the other live servers can still serve the demand,
    and it stops only servers that have finished draining.
    """

    def __init__(
        self,
        *,
        headroom=HEADROOM_RATIO,
        band=HYSTERESIS_RATIO,
        min_hold_ms=MIN_HOLD_MS,
        protected_tier=PROTECTED_TIER,
    ):
        self._headroom = headroom
        self._band = band
        self._min_hold_ms = min_hold_ms
        self._protected_tier = protected_tier
        self._surplus_since_ms = {}
        self._store_busy_until_ms = 0
        self._role_since_ms = None

    def plan(self, view):
        orders = self._stops(view)
        orders += self._starts(view)
        orders += self._drains(view)
        orders += self._loads(view)
        orders += self._roles(view)
        return orders

    def _stops(self, view):
        return [
            _plan_view.Order('stop', {'instance': server.id})
            for server in view.servers
            if server.state == _plan_view.DRAINING and not server.running
        ]

    def _counts(self, view):
        return collections.Counter(
            server.kind
            for server in view.servers
            if server.state in _COUNTED_STATES
        )

    def _starts(self, view):
        wanted = wanted_mix(
            view, view.demand, self._headroom, self._protected_tier
        )
        missing = wanted - self._counts(view)
        # A different mix justifies a start only if servers are missing or if
        # it saves money, see _max_replacements.
        max_starts = self._max_replacements(view, wanted)
        orders = []
        for kind, count in sorted(missing.items()):
            draining = [
                server
                for server in view.servers
                if server.kind == kind
                and server.state == _plan_view.DRAINING
                and server.running
            ]
            for number in range(count):
                if max_starts is not None and len(orders) >= max_starts:
                    return orders
                if number < len(draining):
                    args = {'instance': draining[number].id}
                    orders.append(_plan_view.Order('keep', args))
                    continue
                args = {'failure_domain': kind[0], 'cheap': kind[1]}
                orders.append(_plan_view.Order('start', args))
        return orders

    def _max_replacements(self, view, wanted):
        """Return how many servers to replace now; None if some are missing.

        One at a time bounds the number of servers paid twice while cheaper
        ones replace them. A mix that saves no money is not worth a start.
        """
        counted_servers = [
            item for item in view.servers if item.state in _COUNTED_STATES
        ]
        if not is_safe(
            counted_servers,
            view,
            view.demand,
            self._headroom,
            self._protected_tier,
        ):
            return None
        prices = {offer.kind: offer.price for offer in view.offers}
        current_price = sum(item.price for item in counted_servers)
        wanted_price = sum(
            prices[kind] * count for kind, count in wanted.items()
        )
        starting = any(
            item.state == _plan_view.STARTING for item in counted_servers
        )
        if (
            starting
            or current_price - wanted_price < view.start_up_ms / 3_600_000
        ):
            return 0
        cheaper = len(counted_servers) - sum(wanted.values())
        return 0 if cheaper > 0 else 1

    def _drains(self, view):
        wanted = wanted_mix(
            view,
            view.demand,
            self._headroom + self._band,
            self._protected_tier,
        )
        counts = self._counts(view)
        surplus = counts - wanted
        hold_ms = max(self._min_hold_ms, view.start_up_ms)
        for kind in list(self._surplus_since_ms):
            if kind not in surplus:
                del self._surplus_since_ms[kind]
        live = [item for item in view.servers if item.state == _plan_view.LIVE]
        orders = []
        prices = {item.kind: item.price for item in live}
        for kind in sorted(surplus, key=lambda item: -prices.get(item, 0)):
            since_ms = self._surplus_since_ms.setdefault(kind, view.now_ms)
            if view.now_ms - since_ms < hold_ms:
                continue
            members = [item for item in live if item.kind == kind]
            members.sort(key=lambda item: item.running)
            for server in members[: surplus[kind]]:
                remaining = [item for item in live if item is not server]
                if not is_safe(
                    remaining,
                    view,
                    view.demand,
                    self._headroom + self._band,
                    self._protected_tier,
                ):
                    break
                live = remaining
                args = {'instance': server.id}
                orders.append(_plan_view.Order('drain', args))
        return orders

    def _loads(self, view):
        """Return load orders within the store's rate, highest tier first."""
        orders = []
        live = [item for item in view.servers if item.state == _plan_view.LIVE]
        loading = set()
        for load in sorted(view.loads, key=lambda item: item.tier):
            current = sum(load.name in item.loaded for item in live)
            free = [
                item
                for item in live
                if load.name not in item.loaded and item.id not in loading
            ]
            free.sort(key=lambda item: item.running)
            for server in free[: max(0, load.servers - current)]:
                if self._store_busy_until_ms > view.now_ms:
                    return orders
                self._store_busy_until_ms = view.now_ms + int(
                    load.size_bytes * MS_PER_S / view.store_bytes_per_s
                )
                loading.add(server.id)
                args = {'instance': server.id, 'name': load.name}
                orders.append(_plan_view.Order(load.verb, args))
        return orders

    def _roles(self, view):
        """Change one role at a time, if needed for the whole hold time."""
        live = [item for item in view.servers if item.state == _plan_view.LIVE]
        wanted = _split_proportionally(len(live), view.roles)
        current = collections.Counter(item.role for item in live)
        missing = [role for role in wanted if wanted[role] > current[role]]
        spare = [
            item for item in live if current[item.role] > wanted[item.role]
        ]
        if not missing or not spare:
            self._role_since_ms = None
            return []
        if self._role_since_ms is None:
            self._role_since_ms = view.now_ms
        if view.now_ms - self._role_since_ms < self._min_hold_ms:
            return []
        self._role_since_ms = view.now_ms
        server = min(spare, key=lambda item: item.running)
        args = {'instance': server.id, 'role': missing[0]}
        return [_plan_view.Order('change_role', args)]


def _split_proportionally(count, parts):
    """Divide ``count`` in proportion to ``parts``, at least one for each."""
    result = collections.Counter()
    total = sum(parts.values())
    if not total or count < len(parts):
        return result
    result.update({role: 1 for role in parts})
    for _ in range(count - len(parts)):
        role = max(
            sorted(parts),
            key=lambda item: parts[item] * count / total - result[item],
        )
        result[role] += 1
    return result


@_hooks.planners.register('static_peak')
class StaticPeakPlanner:
    """Baseline: always run the servers for the peak demand, none cheap."""

    def __init__(self, *, peak_rate, headroom=HEADROOM_RATIO):
        self._peak_rate = peak_rate
        self._headroom = headroom

    def plan(self, view):
        count = servers_for(
            self._peak_rate * (1 + self._headroom), view.server_rate
        )
        current = collections.Counter(
            item.failure_domain
            for item in view.servers
            if item.state in _COUNTED_STATES
        )
        firm_domains = sorted(
            offer.failure_domain for offer in view.offers if not offer.cheap
        )
        orders = []
        while firm_domains and sum(current.values()) < count:
            domain = min(firm_domains, key=lambda item: current[item])
            current[domain] += 1
            args = {'failure_domain': domain, 'cheap': False}
            orders.append(_plan_view.Order('start', args))
        return orders


def offline_cost(steps, step_ms, offers, server_rate, start_up_ms):
    """Return the cost of a planner that knows all demand in advance.

    ``steps`` holds the demand by tier for each step of time. Each server is
    paid from its order, one start-up time before it is needed, and is kept
    over gaps shorter than the start-up time. No headroom is needed, since
    nothing is forecast.
    """
    mixes = []
    for demand in steps:
        view = _plan_view.PlanView(
            now_ms=0,
            servers=(),
            offers=tuple(offers),
            demand=demand,
            server_rate=server_rate,
        )
        mixes.append(wanted_mix(view, demand, 0.0, PROTECTED_TIER))
    cost = 0.0
    for offer in offers:
        counts = [mix.get(offer.kind, 0) for mix in mixes]
        paid_ms = 0
        for level in range(1, max(counts) + 1):
            last = None
            for index, count in enumerate(counts):
                if count < level:
                    continue
                paid_ms += step_ms
                gap_ms = (
                    math.inf if last is None else (index - last - 1) * step_ms
                )
                # Servers of the first step were started before the period.
                paid_ms += min(gap_ms, start_up_ms) if index else 0
                last = index
        cost += offer.price * paid_ms / 3_600_000
    return cost
