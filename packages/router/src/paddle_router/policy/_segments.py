"""Which servers each kind of stream prefers, by its longest allowed pause.

An event of a stream takes several steps of its server, and a step takes longer
by a chunk of a prompt while one is read. A long prompt therefore makes the
streams beside it late whose allowed pause is short, and a stream with a long
one loses nothing by waiting. The kinds are kept apart: all gateways put the
servers into the same order, slow ones last, and give each kind a segment of
it, the first segment to the shortest pause. The lengths follow the demand: a
fixed one is too long in a burst of long prompts, which then wait, and too
short in a burst of short streams, which then exceed the slots.

Gateways that see somewhat different demand differ only in the servers next to
the ends of a segment. A segment is a preference with a cost, not a limit.
"""

import collections

import attrs

# Allowed pauses up to this multiple of the shortest one of a kind belong to
# the same kind.
GAP_RATIO = 1.2
# Fraction of the slots that may be used. A stream with the shortest pause is
# late if it waits for a slot; those with longer pauses have time to wait.
SLOTS_RATIO_MIN = 0.6
SLOTS_RATIO_MAX = 0.9
# Fraction of the time that may be spent on prefill: where pauses are shortest,
# one prompt in five may arrive while another is read and delay the same event.
# Longer pauses bear more, up to the ratio for the number of servers.
PREFILL_RATIO_MIN = 0.2
PREFILL_RATIO_MAX = 0.5
# Time constant of the mean demand. Bursts last some seconds, and a gateway
# sees some dozens of requests in 3 s.
MEAN_MS = 3_000
# A kind with less mean demand than this is forgotten; a change of the
# configuration may have removed it.
FORGOTTEN_DEMAND = 1e-4
# An end of a segment moves once the demand asks for this difference: each move
# costs the cached parts of some prompts.
HYSTERESIS = 0.06
# Part of the servers that the shortest pause keeps at least and at most, since
# demand may change faster than its mean.
FIRST_RANGE = (0.2, 0.6)


@attrs.define
class _Demand:
    """Mean demand of one kind, in servers' time and running streams."""

    prefill: float = 0.0
    running: float = 0.0


@attrs.frozen(kw_only=True)
class Capacity:
    """Number of servers, all their slots and all requests running there."""

    count: int
    slots: int
    running: float


class Segments:
    """Segments of the order of servers, by the demand that a gateway sees."""

    def __init__(self):
        self._demands = {}
        self._ends = {}
        self._updated_ms = None

    def gap_of(self, position):
        """Return the allowed pause of the kind at ``position``, 0 to 1.

        ``None`` while fewer than two kinds are known.
        """
        for gap_ms, end in self._ends.items():
            if position < end:
                return gap_ms
        return None

    def kind_of(self, gap_ms):
        """Return the shortest pause of the kind that ``gap_ms`` belongs to."""
        kind = gap_ms
        for known_ms in sorted({*self._demands, gap_ms}, reverse=True):
            if known_ms <= gap_ms <= GAP_RATIO * known_ms:
                kind = known_ms
        return kind

    def record(self, gap_ms, prefill_ms):
        """Record the prefill time of a placed stream."""
        demand = self._demands.setdefault(gap_ms, _Demand())
        demand.prefill += prefill_ms / MEAN_MS

    def update(self, gaps_ms, servers, now_ms):
        """Follow the demand.

        ``gaps_ms`` holds the allowed pauses of this gateway's running streams,
        ``servers`` is the :class:`Capacity` in use.
        """
        if self._updated_ms is None:
            self._updated_ms = now_ms
        passed_ms = now_ms - self._updated_ms
        if passed_ms <= 0:
            return
        self._updated_ms = now_ms
        kept = max(0.0, 1.0 - passed_ms / MEAN_MS)
        running = collections.Counter(gaps_ms)
        for gap_ms, demand in self._demands.items():
            demand.prefill *= kept
            demand.running += (1.0 - kept) * (running[gap_ms] - demand.running)
        self._demands = {
            gap_ms: demand
            for gap_ms, demand in self._demands.items()
            if demand.prefill + demand.running > FORGOTTEN_DEMAND
        }
        self._move_ends(servers)

    def ends(self):
        """Return ``{allowed pause in ms: end of its segment}``.

        Empty while fewer than two kinds are known.
        """
        return dict(self._ends)

    def _move_ends(self, servers):
        demands = collections.defaultdict(list)
        for gap_ms, demand in self._demands.items():
            demands[self.kind_of(gap_ms)].append(demand)
        gaps_ms = sorted(demands)
        if len(gaps_ms) < 2:
            self._ends = {}
            return
        needs = [
            _servers_needed(demands[gap_ms], gap_ms / gaps_ms[0], servers)
            for gap_ms in gaps_ms
        ]
        total = sum(needs)
        own_running = sum(item.running for item in self._demands.values())
        if not total or not own_running:
            return
        # The shortest pause keeps the servers that it needs when the others
        # need more than there are. All gateways together need more than this
        # one by the ratio of the running streams.
        needed = needs[0] * servers.running / own_running / servers.count
        first = max(needs[0] / total, needed)
        first = min(max(first, FIRST_RANGE[0]), FIRST_RANGE[1])
        others = max(total - needs[0], 1e-9)
        ends, end = {}, first
        for gap_ms, need in zip(gaps_ms, [0.0, *needs[1:]], strict=True):
            end += (1.0 - first) * need / others
            last = self._ends.get(gap_ms)
            keeps = last is not None and abs(end - last) <= HYSTERESIS
            ends[gap_ms] = last if keeps else end
        ends[gaps_ms[-1]] = 1.0
        self._ends = ends


def _servers_needed(demands, gap_ratio, servers):
    """Return the servers that the demand of one kind needs.

    ``gap_ratio`` is its allowed pause relative to the shortest one.
    """
    prefill_ratio = min(PREFILL_RATIO_MIN * gap_ratio, PREFILL_RATIO_MAX)
    slots_ratio = min(SLOTS_RATIO_MIN * gap_ratio, SLOTS_RATIO_MAX)
    running = sum(item.running for item in demands)
    return max(
        running * servers.count / (servers.slots * slots_ratio),
        sum(item.prefill for item in demands) / prefill_ratio,
    )
