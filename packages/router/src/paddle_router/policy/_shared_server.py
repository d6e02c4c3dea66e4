"""State that one gateway keeps of a backend server shared by many gateways.

The gateway knows its own requests exactly and those of other gateways as sums
that are a few hundred ms old.
"""

import collections

import attrs

from paddle_router.policy import _cold_rate
from paddle_router.policy import _hooks
from paddle_router.policy import _pace
from paddle_router.policy import _server_notices

# Successes added to the counted ones, so that one failure after few responses
# does not give a high failure ratio.
PRIOR_SUCCESSES = 4
# Backoff after a failed connection; doubles with each further failure.
BACKOFF_MIN_MS = 300
BACKOFF_MAX_MS = 2_000
# Time without failures after which a server that starts gets a request even if
# others look better: all gateways have heard of the last failure by then. It
# doubles with each failure after such a time, since callers pay for them.
PROBE_PAUSE_MS = 1_000
PROBE_PAUSE_MAX_MS = 16_000
# Older sums of other gateways are ignored.
OTHERS_LIFETIME_MS = 2_000
# Time constant of the lasting speed: several times as long as the measured
# pace, which one phase of much load can change.
LASTING_SPEED_MS = 10_000
# Age of the sums when they arrive: half an interval of the exchange, and the
# way over two controllers.
SUMS_AGE_MS = 275
# A load report describes the time of the response that carried it. It gets
# outdated soon, since streams last only 1 to 2 s.
REPORT_LIFETIME_MS = 700
# Half of the time over which failures, pace and prefill are summed.
WINDOW_MS = 2_500
# Limit per server; some hundreds of prompt parts are in use on the sites.
MAX_RECORDED_PARTS = 4_096
# Twice the time within which the users charge for a part that is prefilled
# again.
PART_LIFETIME_MS = 20_000
# With fewer responses the pace of a server counts as unknown.
PACE_MIN_ANSWERS = 4


@attrs.frozen(kw_only=True)
class EngineWork:
    """A request to place on a server.

    ``parts`` holds pairs of part id and token count in the order of the
    prompt. ``target_ms`` is the latency target and ``gap_ms`` the longest
    allowed pause between events, 0 for a plain call. ``avoid`` holds the ids
    of servers that must not be chosen. ``copy_rate`` is how many cached prompt
    tokens per ms servers copy from each other, 0 if they don't.
    ``body_bytes`` is the size of the request's body.
    """

    prompt_tokens: int = 0
    parts: tuple = ()
    target_ms: int = 1_000
    gap_ms: int = 0
    avoid: frozenset = frozenset()
    copy_rate: float = 0.0
    body_bytes: int = 0


@attrs.frozen(kw_only=True)
class SharedLoad:
    """Load that one or several gateways put on a server.

    ``running`` counts in-flight requests and ``prefill`` the prompt tokens
    whose prefill is not finished. ``failures`` and ``answers`` are counts over
    the last seconds, ``pace_ms`` is the mean pace and ``read_rate`` the
    prompt tokens sent per second. ``told_count`` answers carried the pace of
    the server's machine, ``told_percent`` is the sum of these paces;
    ``rejections`` requests were not run, and ``in_time`` answers began within
    the latency target.
    """

    running: int = 0
    prefill: int = 0
    failures: int = 0
    answers: int = 0
    pace_ms: int = 0
    read_rate: int = 0
    told_count: int = 0
    told_percent: int = 0
    rejections: int = 0
    in_time: int = 0


NO_LOAD = SharedLoad()


@attrs.define(eq=False)
class SharedFlight:
    """An in-flight request of this gateway at a server.

    ``affinity_rank`` is the rank of the server in the affinity order of the
    prompt's shared part, ``None`` without such a part. ``uncached`` is the
    number of prompt tokens that are not expected in the prefix cache.
    ``slow_start`` is set if the request was sent during a slow start, and
    ``permit`` if the server may be cold. ``is_sent`` is set right before the
    request is written, ``is_in_time`` if its answer began within the target,
    and ``is_rejected`` after an answer that did not run it.
    ``copy_from_id`` is the server from which it copies prompt parts.
    """

    server_id: str
    born_ms: int
    work: EngineWork
    sent_ms: int
    uncached: int
    backlog_tokens: float
    last_ms: int
    affinity_rank: int | None = None
    started: bool = False
    events: int = 0
    slow_start: _server_notices.SlowStart | None = None
    copy_from_id: str | None = None
    permit: _cold_rate.Permit | None = None
    is_sent: bool = False
    is_in_time: bool = False
    is_rejected: bool = False


class _SlidingWindow:
    """Sums over the last one to two times ``half_ms``, in two halves."""

    def __init__(self, half_ms):
        self._half_ms = half_ms
        self._started_ms = 0
        self._current = collections.Counter()
        self._previous = collections.Counter()

    def add(self, now_ms, **values):
        self._rotate(now_ms)
        self._current.update(values)

    def get(self, now_ms, name):
        self._rotate(now_ms)
        return self._current[name] + self._previous[name]

    def _rotate(self, now_ms):
        if now_ms - self._started_ms >= self._half_ms:
            recent = now_ms - self._started_ms < 2 * self._half_ms
            self._previous = self._current if recent else collections.Counter()
            self._current = collections.Counter()
            self._started_ms = now_ms


@attrs.define(eq=False)
class ServerState:
    engine: _hooks.Engine
    flights: set = attrs.field(factory=set)
    others: SharedLoad = NO_LOAD
    others_received_ms: int = -OTHERS_LIFETIME_MS
    reported: _hooks.LoadReport | None = None
    reported_ms: int = 0
    flights_at_report: int = 0
    window: _SlidingWindow = attrs.field(
        factory=lambda: _SlidingWindow(WINDOW_MS)
    )
    told_window: _SlidingWindow = attrs.field(
        factory=lambda: _SlidingWindow(_pace.TOLD_WINDOW_MS)
    )
    told_percent: int | None = None
    is_slow: bool = False
    lasting_speed: float = 1.0
    speed_ms: int | None = None
    parts: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    hold_until_ms: int = 0
    backoff_ms: int = BACKOFF_MIN_MS
    excluded_until_ms: int | None = None
    listed_leaving_since_ms: int | None = None
    last_failure_ms: int | None = None
    probe_pause_ms: int = PROBE_PAUSE_MS
    last_quiet_end_ms: int | None = None
    slow_start: _server_notices.SlowStart | None = None

    @property
    def incarnation(self):
        return _server_notices.Incarnation(self.engine.id, self.engine.born_ms)

    def record_failure(self, now_ms):
        """Record a failure that this or another gateway saw."""
        if self.is_probe_due(now_ms) and self.last_failure_ms is not None:
            passed_ms = now_ms - self.last_failure_ms
            self.probe_pause_ms = (
                PROBE_PAUSE_MS
                if passed_ms > 2 * PROBE_PAUSE_MAX_MS
                else min(2 * self.probe_pause_ms, PROBE_PAUSE_MAX_MS)
            )
        self.last_failure_ms = now_ms

    def is_probe_due(self, now_ms):
        """Whether the server has not failed for its probe pause."""
        return (
            self.last_failure_ms is None
            or now_ms - self.last_failure_ms >= self.probe_pause_ms
        )

    def is_replaced(self, now_ms):
        return (
            self.excluded_until_ms is not None
            and now_ms < self.excluded_until_ms
        )

    def fresh_others(self, now_ms):
        if now_ms - self.others_received_ms > OTHERS_LIFETIME_MS:
            return NO_LOAD
        return self.others

    def running(self, now_ms):
        """Return the number of requests at the server.

        Estimated from the known sums, or from a load report that is recent.
        """
        known_running = len(self.flights) + self.fresh_others(now_ms).running
        age_ms = now_ms - self.reported_ms
        if self.reported is None or age_ms > REPORT_LIFETIME_MS:
            return known_running
        seen = self.reported.running + self.reported.waiting
        seen += len(self.flights) - self.flights_at_report
        return max(seen, len(self.flights), known_running * 0.5)

    def latest_running(self, now_ms):
        """Return the number of requests at the server by the later source.

        A load report shows it at one moment, and the sums of other gateways
        a moment that lies ``SUMS_AGE_MS`` before they arrived.
        """
        # Neither counts once it is outdated.
        sums_age_ms = min(
            now_ms - self.others_received_ms + SUMS_AGE_MS,
            OTHERS_LIFETIME_MS,
        )
        age_ms = now_ms - self.reported_ms
        if self.reported is None or age_ms > sums_age_ms:
            return len(self.flights) + self.fresh_others(now_ms).running
        seen = self.reported.running + self.reported.waiting
        return max(
            len(self.flights),
            seen + len(self.flights) - self.flights_at_report,
        )

    def backlog_tokens(self, now_ms, tokens_per_ms):
        """Return the prompt tokens queued for prefill at the server."""
        own = sum(
            max(0.0, item.uncached - (now_ms - item.sent_ms) * tokens_per_ms)
            for item in self.flights
            if not item.started
        )
        age_ms = now_ms - self.others_received_ms
        others = (
            self.fresh_others(now_ms).prefill - age_ms * tokens_per_ms * 0.5
        )
        return own + max(0.0, others)

    def prefill_time_ratio(self, now_ms, tokens_per_ms):
        """Return the fraction of time spent on prefill, 0 to 1."""
        own = self.window.get(now_ms, 'tokens') / (1.5 * WINDOW_MS)
        others = self.fresh_others(now_ms).read_rate / 1_000
        return min(1.0, (own + others) / tokens_per_ms)

    def failure_ratio(self, now_ms):
        others = self.fresh_others(now_ms)
        failures = self.window.get(now_ms, 'failures') + others.failures
        answers = self.window.get(now_ms, 'answers') + others.answers
        return failures / (failures + answers + PRIOR_SUCCESSES)

    def pace_ms(self, now_ms):
        """Return the mean pace, ``None`` with too few responses.

        The pace is the time between events of a stream, or the response time
        of a plain call.
        """
        others = self.fresh_others(now_ms)
        paced = self.window.get(now_ms, 'paced')
        count = paced + others.answers * bool(others.pace_ms)
        if count < PACE_MIN_ANSWERS:
            return None
        total = self.window.get(now_ms, 'pace_ms')
        return (total + others.answers * others.pace_ms) / count

    def record_told(self, percent, now_ms):
        """Record the pace that the server tells of its machine."""
        self.told_percent = round(_pace.PERCENT * _pace.told_pace(percent))
        self.told_window.add(now_ms, count=1, percent=self.told_percent)

    def record_speed(self, speed, now_ms):
        """Record a forecast speed; update the mean over some seconds."""
        passed_ms = now_ms - (self.speed_ms or 0)
        kept = 0.0
        if self.speed_ms is not None:
            kept = max(0.0, 1.0 - passed_ms / LASTING_SPEED_MS)
        self.speed_ms = now_ms
        self.lasting_speed += (1.0 - kept) * (speed - self.lasting_speed)

    def pace_evidence(self, now_ms, tokens_per_ms):
        """Return the :class:`PaceEvidence` of this server."""
        return _pace.PaceEvidence(
            measured_ms=self.pace_ms(now_ms),
            prefill_ratio=self.prefill_time_ratio(now_ms, tokens_per_ms),
        )

    def told_pace(self, now_ms):
        """Return the mean pace told to all gateways lately, else the last one.

        1.0 is undisturbed; ``None`` if the server never told a pace.
        """
        others = self.fresh_others(now_ms)
        count = self.told_window.get(now_ms, 'count') + others.told_count
        if count:
            percent = (
                self.told_window.get(now_ms, 'percent') + others.told_percent
            )
            return _pace.told_pace(percent / count)
        if self.told_percent is None:
            return None
        return _pace.told_pace(self.told_percent)

    def cached_tokens(self, parts, now_ms):
        """Return the leading prompt tokens recently sent to the server."""
        tokens = 0
        for part, size in parts:
            seen_ms = self.parts.get(part)
            if seen_ms is None or now_ms - seen_ms > PART_LIFETIME_MS:
                break
            tokens += size
        return tokens

    def record_parts(self, parts, now_ms):
        for part, _size in parts:
            self.parts[part] = now_ms
            self.parts.move_to_end(part)
        while len(self.parts) > MAX_RECORDED_PARTS:
            self.parts.popitem(last=False)
