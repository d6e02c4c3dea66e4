"""How many backend servers of which sort a service needs in each domain.

The answer is a number for each failure domain and sort, ordered whole, which
suits a platform that starts and drains servers by itself. Reclaimable servers
cost a fraction, but a domain can lose all of them on a few seconds' notice
and may then offer none for a while.

Load pattern it answers: long prompts that arrive in bursts of twice their
usual rate, and the loss of one domain's reclaimable servers in such a burst.
"""

import collections
import math

import attrs


from paddle_router.policy import _planners

# Part of a server's time that may go into reading prompts. Above it streams
# meet a prompt being read at most steps and miss their longest pause.
# Reclaimable servers are cheap enough to stay well below it.
READING_PART = 0.5
CHEAP_READING_PART = 0.3
# Part of the slots in use; more makes each step longer.
SLOTS_PART = 0.6
CHEAP_SLOTS_PART = 0.4
# Demand falls back slowly, so that the next burst finds the servers of the
# last one; a server takes a few seconds to start, a burst may last no longer.
# The servers found at first stand for the demand that nobody measured yet.
DEMAND_HOLD_MS = 60_000
# Part of the wanted number that must be left when one domain is lost.
PROTECTED_PART = 0.75
# After a refusal the same sort is asked for again in that domain.
UNAVAILABLE_MS = 3_000
# Prompt tokens a second that a server reads, until gateways have measured it.
DEFAULT_SERVER_RATE = 60_000.0


@attrs.frozen(kw_only=True)
class Demand:
    """Load of a service: prompt tokens a second, and requests there.

    ``server_rate`` is what one server reads a second.
    """

    read_rate: float = 0.0
    running: int = 0
    server_rate: float = DEFAULT_SERVER_RATE
    slots: int = 1


@attrs.frozen(kw_only=True)
class Bounds:
    """Least and most servers of a service in one domain, and the prices.

    ``prices`` maps a domain to its price; reclaimable servers cost
    ``cheap_part`` of it, ``None`` where there are none.
    """

    minimum: int
    maximum: int
    prices: dict
    cheap_part: float | None


def servers_needed(demand, *, cheap=False):
    """Return how many servers carry ``demand`` within the targets.

    With ``cheap``, the number of reclaimable ones worth their price.
    """
    reading_part = CHEAP_READING_PART if cheap else READING_PART
    slots_part = CHEAP_SLOTS_PART if cheap else SLOTS_PART
    reading = demand.read_rate / (demand.server_rate * reading_part)
    slots = demand.running / (demand.slots * slots_part)
    return max(1, math.ceil(max(reading, slots)))


class FleetSize:
    """Wanted numbers of one service; see the module.

    ``least`` is the number below which servers must not be given back.
    """

    def __init__(self):
        self._firm_peaks = collections.deque()
        self._cheap_peaks = collections.deque()
        self._measured = False
        self._refused = {}
        self.least = 1

    def mark_unavailable(self, kind, now_ms):
        """Note that no server of ``kind`` was to be had."""
        self._refused[kind] = now_ms

    def is_available(self, kind, now_ms):
        """Whether servers of ``kind`` may be asked for again."""
        refused_ms = self._refused.get(kind)
        return refused_ms is None or now_ms - refused_ms > UNAVAILABLE_MS

    def wanted(self, demand, bounds, existing, now_ms):
        """Return ``{(domain, cheap): count}`` for all sorts.

        ``existing`` counts the servers that are not leaving, by kind.
        """
        found = self._found_at_first(demand, existing)
        if not self._cheap_peaks:
            # What a predecessor ordered stands for the demand it knew.
            _hold(self._cheap_peaks, sum(existing.values()), now_ms)
        self.least = _hold(
            self._firm_peaks, max(found, servers_needed(demand)), now_ms
        )
        most = _hold(
            self._cheap_peaks,
            max(
                math.ceil(found * READING_PART / CHEAP_READING_PART),
                servers_needed(demand, cheap=True),
            ),
            now_ms,
        )
        cheap = self._options(bounds, existing, now_ms, cheap=True)
        firm = self._options(bounds, existing, now_ms, cheap=False)
        mix = _planners.cheapest_mix(
            most, math.ceil(PROTECTED_PART * most), cheap
        )
        missing = self.least - sum(mix.values())
        if missing > 0:
            mix = {**mix, **_planners.cheapest_mix(missing, 1, firm)}
        return _bounded(mix, bounds, cheap + firm)

    def _found_at_first(self, demand, existing):
        """Return the firm servers found before demand was measured."""
        if demand.read_rate or demand.running:
            self._measured = True
        if self._measured:
            return 0
        return sum(
            count for (_, cheap), count in existing.items() if not cheap
        )

    def _options(self, bounds, existing, now_ms, *, cheap):
        """Return ``[(price, kind, limit)]`` of one sort."""
        if cheap and bounds.cheap_part is None:
            return []
        part = bounds.cheap_part if cheap else 1.0
        options = []
        for domain, price in bounds.prices.items():
            kind = (domain, cheap)
            limit = bounds.maximum
            if not self.is_available(kind, now_ms):
                limit = existing.get(kind, 0)
            options.append((price * part, kind, limit))
        return options


def _hold(peaks, needed, now_ms):
    """Return the largest number needed in the last seconds."""
    while peaks and peaks[-1][1] <= needed:
        peaks.pop()
    peaks.append((now_ms, needed))
    while now_ms - peaks[0][0] > DEMAND_HOLD_MS:
        peaks.popleft()
    return peaks[0][1]


def _bounded(mix, bounds, options):
    """Return ``mix`` within the bounds of each domain."""
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
