"""What one process knows of a backend server that many processes use.

Own requests are known exactly, those of other gateways as sums that are a few
hundred ms old.
"""

import collections

import attrs

from paddle_router.policy import _hooks
from paddle_router.policy import _server_notices

# Virtual good answers, so that one failure is no verdict.
PRIOR_ANSWERS = 4
# A server that refused a connection is left alone this long, then doubled.
HOLD_MIN_MS = 300
HOLD_MAX_MS = 2_000
# Sums of other gateways older than this are not used.
OTHERS_LIFETIME_MS = 2_000
# A load report with an answer is as of that answer; streams last 1 to 2 s.
REPORT_LIFETIME_MS = 700
# Half of the time over which failures, pace and reading are summed.
WINDOW_MS = 2_500
# Remembered prompt parts per server; some hundreds are in use on the sites.
PARTS_KEPT = 4_096
# Twice the time within which the users price a part that is read again.
PART_LIFETIME_MS = 20_000
# Fewer answers say nothing about the pace of a server.
PACE_MIN_ANSWERS = 4


@attrs.frozen(kw_only=True)
class EngineWork:
    """A request to place.

    ``parts`` are pairs of part id and tokens in the order of the prompt;
    ``target_ms`` is the latency target and ``gap_ms`` the longest pause
    between events, 0 for a plain call.
    """

    prompt_tokens: int = 0
    parts: tuple = ()
    target_ms: int = 1_000
    gap_ms: int = 0
    avoid: frozenset = frozenset()


@attrs.frozen(kw_only=True)
class SharedLoad:
    """Sums of other gateways for one server."""

    running: int = 0
    prefill: int = 0
    failures: int = 0
    answers: int = 0
    pace_ms: int = 0
    read_rate: int = 0


@attrs.define(eq=False)
class SharedFlight:
    """A request of this gateway at a server.

    ``place`` is that of the server in the order of the prompt's shared part,
    ``None`` without one. ``slow_start`` is set if it was sent in the time
    after a quiet one.
    """

    server_id: str
    born_ms: int
    work: EngineWork
    sent_ms: int
    uncached: int
    backlog: float
    last_ms: int
    place: int | None = None
    started: bool = False
    events: int = 0
    slow_start: _server_notices.SlowStart | None = None


class _Window:
    """Sums over the last few seconds, in two halves."""

    def __init__(self):
        self._began_ms = 0
        self._now = collections.Counter()
        self._before = collections.Counter()

    def add(self, now_ms, **values):
        self._turn(now_ms)
        self._now.update(values)

    def get(self, now_ms, name):
        self._turn(now_ms)
        return self._now[name] + self._before[name]

    def _turn(self, now_ms):
        if now_ms - self._began_ms >= WINDOW_MS:
            recent = now_ms - self._began_ms < 2 * WINDOW_MS
            self._before = self._now if recent else collections.Counter()
            self._now = collections.Counter()
            self._began_ms = now_ms


@attrs.define(eq=False)
class ServerState:
    engine: _hooks.Engine
    flights: set = attrs.field(factory=set)
    others: SharedLoad = SharedLoad()
    others_ms: int = -OTHERS_LIFETIME_MS
    reported: _hooks.LoadReport | None = None
    reported_ms: int = 0
    flights_at_report: int = 0
    window: _Window = attrs.field(factory=_Window)
    parts: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    hold_until_ms: int = 0
    hold_ms: int = HOLD_MIN_MS
    gone_until_ms: int | None = None
    listed_leaving_ms: int | None = None
    quiet_ended_ms: int | None = None
    slow_start: _server_notices.SlowStart | None = None

    @property
    def incarnation(self):
        return _server_notices.Incarnation(self.engine.id, self.engine.born_ms)

    def is_gone(self, now_ms):
        return self.gone_until_ms is not None and now_ms < self.gone_until_ms

    def fresh_others(self, now_ms):
        if now_ms - self.others_ms > OTHERS_LIFETIME_MS:
            return SharedLoad()
        return self.others

    def running(self, now_ms):
        """Return the requests there, from sums or a newer report."""
        summed = len(self.flights) + self.fresh_others(now_ms).running
        age_ms = now_ms - self.reported_ms
        if self.reported is None or age_ms > REPORT_LIFETIME_MS:
            return summed
        seen = self.reported.running + self.reported.waiting
        seen += len(self.flights) - self.flights_at_report
        return max(seen, len(self.flights), summed * 0.5)

    def backlog(self, now_ms, rate):
        """Return the prompt tokens still to be read before a new one."""
        own = sum(
            max(0.0, item.uncached - (now_ms - item.sent_ms) * rate)
            for item in self.flights
            if not item.started
        )
        age_ms = now_ms - self.others_ms
        others = self.fresh_others(now_ms).prefill - age_ms * rate * 0.5
        return own + max(0.0, others)

    def busy(self, now_ms, rate):
        """Return the part of time spent reading prompts, 0 to 1."""
        own = self.window.get(now_ms, 'tokens') / (1.5 * WINDOW_MS)
        others = self.fresh_others(now_ms).read_rate / 1_000
        return min(1.0, (own + others) / rate)

    def failure_part(self, now_ms):
        others = self.fresh_others(now_ms)
        failures = self.window.get(now_ms, 'failures') + others.failures
        answers = self.window.get(now_ms, 'answers') + others.answers
        return failures / (failures + answers + PRIOR_ANSWERS)

    def pace_ms(self, now_ms):
        """Return the mean pace, ``None`` with too few answers."""
        others = self.fresh_others(now_ms)
        paced = self.window.get(now_ms, 'paced')
        count = paced + others.answers * bool(others.pace_ms)
        if count < PACE_MIN_ANSWERS:
            return None
        total = self.window.get(now_ms, 'pace_ms')
        return (total + others.answers * others.pace_ms) / count

    def cached(self, parts, now_ms):
        """Return the leading prompt tokens sent here a short time ago."""
        tokens = 0
        for part, size in parts:
            seen_ms = self.parts.get(part)
            if seen_ms is None or now_ms - seen_ms > PART_LIFETIME_MS:
                break
            tokens += size
        return tokens

    def remember(self, parts, now_ms):
        for part, _size in parts:
            self.parts[part] = now_ms
            self.parts.move_to_end(part)
        while len(self.parts) > PARTS_KEPT:
            self.parts.popitem(last=False)
