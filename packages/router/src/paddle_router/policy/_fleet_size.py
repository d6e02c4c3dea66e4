"""Number of backend servers that a service needs, by failure domain and kind.

The kinds are cheap servers, which the platform can reclaim, and firm ones. The
result is the total for each failure domain and kind, for platforms that start
and drain servers themselves. Reclaimable servers cost a fraction of the price,
but a domain can lose all of them on a few seconds' notice and may then offer
none for a while.

The numbers are meant for long prompts that arrive in bursts of twice their
usual rate, and for the loss of one domain's reclaimable servers in such a
burst.
"""

import collections
import math

import attrs


from paddle_router.policy import _planners

# Fraction of a server's time that may be spent on prefill. Above it, streams
# are interrupted by prefill at most steps and exceed their longest allowed
# pause.
# Reclaimable servers are cheap enough to stay well below it.
PREFILL_TIME_RATIO = 0.5
CHEAP_PREFILL_TIME_RATIO = 0.3
# Fraction of the slots in use; more running requests make each step longer.
SLOTS_RATIO = 0.6
CHEAP_SLOTS_RATIO = 0.4
# Size the fleet for the peak demand of this time, so that the servers of one
# burst are still there for the next: a server takes a few seconds to start,
# and a burst may last no longer. Until demand has been measured, the existing
# servers stand for it.
DEMAND_PEAK_WINDOW_MS = 60_000
# Fraction of the wanted servers that must remain when one domain is lost.
PROTECTED_RATIO = 0.75
# After the platform had no server of a kind in a domain, that kind is
# requested there again after this time.
UNAVAILABLE_RETRY_MS = 3_000
# Prefill rate of a server in prompt tokens per s, used until gateways have
# measured it.
DEFAULT_SERVER_RATE = 60_000.0


@attrs.frozen(kw_only=True)
class Demand:
    """Load of a service.

    ``read_rate`` is the number of prompt tokens per s and ``running`` the
    number of in-flight requests. ``server_rate`` is the prefill rate of one
    server in prompt tokens per s and ``slots`` its number of slots.
    """

    read_rate: float = 0.0
    running: int = 0
    server_rate: float = DEFAULT_SERVER_RATE
    slots: int = 1


@attrs.frozen(kw_only=True)
class Bounds:
    """Limits of the number of servers in each failure domain, and prices.

    ``prices`` maps a domain to the price of a firm server. Reclaimable servers
    cost the fraction ``cheap_price_ratio`` of it; ``None`` if none are
    offered.
    """

    minimum: int
    maximum: int
    prices: dict
    cheap_price_ratio: float | None


def servers_needed(demand, *, cheap=False):
    """Return how many servers serve ``demand`` within the targets.

    With ``cheap``, return the number of reclaimable servers, which run at a
    lower utilisation because of their lower price.
    """
    prefill_time_ratio = (
        CHEAP_PREFILL_TIME_RATIO if cheap else PREFILL_TIME_RATIO
    )
    slots_ratio = CHEAP_SLOTS_RATIO if cheap else SLOTS_RATIO
    prefill = demand.read_rate / (demand.server_rate * prefill_time_ratio)
    slots = demand.running / (demand.slots * slots_ratio)
    return max(1, math.ceil(max(prefill, slots)))


class FleetSize:
    """Computes the wanted number of servers of one service.

    ``min_servers`` is the number of servers below which none may be released.
    """

    def __init__(self):
        self._firm_demand_peaks = collections.deque()
        self._cheap_demand_peaks = collections.deque()
        self._is_demand_measured = False
        self._unavailable_since_ms = {}
        self.min_servers = 1

    def mark_unavailable(self, kind, now_ms):
        """Record that the platform had no server of ``kind``."""
        self._unavailable_since_ms[kind] = now_ms

    def is_available(self, kind, now_ms):
        """Whether servers of ``kind`` may be requested."""
        since_ms = self._unavailable_since_ms.get(kind)
        return since_ms is None or now_ms - since_ms > UNAVAILABLE_RETRY_MS

    def wanted(self, demand, bounds, existing, now_ms):
        """Return the wanted servers as ``{(domain, cheap): count}``.

        A kind is a pair ``(domain, cheap)``. ``existing`` counts by kind the
        servers that are not leaving.
        """
        initial = self._initial_firm_servers(demand, existing)
        if not self._cheap_demand_peaks:
            # After a restart, the servers that the previous process ordered
            # stand for the demand that it measured.
            _record_peak(
                self._cheap_demand_peaks, sum(existing.values()), now_ms
            )
        self.min_servers = _record_peak(
            self._firm_demand_peaks,
            max(initial, servers_needed(demand)),
            now_ms,
        )
        cheap_needed = _record_peak(
            self._cheap_demand_peaks,
            max(
                math.ceil(
                    initial * PREFILL_TIME_RATIO / CHEAP_PREFILL_TIME_RATIO
                ),
                servers_needed(demand, cheap=True),
            ),
            now_ms,
        )
        cheap = self._options(bounds, existing, now_ms, cheap=True)
        firm = self._options(bounds, existing, now_ms, cheap=False)
        # Nothing can remain of servers that are all in one domain.
        can_protect = len(bounds.prices) > 1
        mix = _planners.cheapest_mix(
            cheap_needed,
            math.ceil(PROTECTED_RATIO * cheap_needed) if can_protect else 0,
            cheap,
        )
        missing = self.min_servers - sum(mix.values())
        if missing > 0:
            mix = {
                **mix,
                **_planners.cheapest_mix(missing, int(can_protect), firm),
            }
        return _apply_bounds(mix, bounds, cheap + firm)

    def _initial_firm_servers(self, demand, existing):
        """Return the existing firm servers until demand is measured."""
        if demand.read_rate or demand.running:
            self._is_demand_measured = True
        if self._is_demand_measured:
            return 0
        return sum(
            count for (_, cheap), count in existing.items() if not cheap
        )

    def _options(self, bounds, existing, now_ms, *, cheap):
        """Return ``[(price, kind, limit)]`` of cheap or firm servers."""
        if cheap and bounds.cheap_price_ratio is None:
            return []
        price_ratio = bounds.cheap_price_ratio if cheap else 1.0
        options = []
        for domain, price in bounds.prices.items():
            kind = (domain, cheap)
            limit = bounds.maximum
            if not self.is_available(kind, now_ms):
                limit = existing.get(kind, 0)
            options.append((price * price_ratio, kind, limit))
        return options


def _record_peak(peaks, needed, now_ms):
    """Record ``needed``; return the largest number in the peak window."""
    while peaks and peaks[-1][1] <= needed:
        peaks.pop()
    peaks.append((now_ms, needed))
    while now_ms - peaks[0][0] > DEMAND_PEAK_WINDOW_MS:
        peaks.popleft()
    return peaks[0][1]


def _apply_bounds(mix, bounds, options):
    """Return ``mix`` adjusted to the bounds of each domain."""
    wanted = {kind: mix.get(kind, 0) for _cost, kind, _limit in options}
    for domain in bounds.prices:
        kinds = sorted(item for item in options if item[1][0] == domain)
        missing = bounds.minimum - sum(wanted[item[1]] for item in kinds)
        for _cost, kind, limit in kinds:
            added = max(0, min(missing, limit - wanted[kind]))
            wanted[kind] += added
            missing -= added
        surplus = sum(wanted[item[1]] for item in kinds) - bounds.maximum
        for _cost, kind, _limit in reversed(kinds):
            removed = max(0, min(surplus, wanted[kind]))
            wanted[kind] -= removed
            surplus -= removed
    return wanted
