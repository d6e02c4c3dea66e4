"""Balancer that relies on its own measurements of each engine.

It chooses the engine with the lowest expected time among two random candidates
and the engine that probably has the prompt's prefix in its cache. The expected
time is computed from the daemon's own in-flight requests and measured token
times. Load reports may be late or wrong, so they are only a correction.

An engine is ejected when its slow samples outnumber its good ones by
``EJECTION_BAD_COUNT``. A sample is a first token, ``SEGMENT_TOKENS`` further
tokens, or a token that is overdue; it is slow at more than ``SLOW_RATIO``
times the pool's median. Ejection also requires that at least half of the other
engines have a good sample that began after the first slow one, so that a
slowdown of all engines ejects none.
"""

import statistics

from paddle_router.policy import _engine_state
from paddle_router.policy import _hooks
from paddle_router.policy import _prefixes
from paddle_router.policy import _slots

SLOW_RATIO = 3.0
EJECTION_BAD_COUNT = 4
# A failed request counts as much as two slow samples.
BAD_COUNT_PER_FAILURE = 2
SEGMENT_TOKENS = 16
# Weight of a new sample in the moving averages.
MOVING_AVERAGE_GAIN = 0.3
# The time-to-first-token is modelled as proportional to the prompt length plus
# this constant.
PROMPT_BASE_TOKENS = 500
# A faster first token never counts as slow, whatever the median is.
MIN_SLOW_FIRST_TOKEN_MS = 100
# A token is not overdue before this time, since callers may report tokens in
# groups.
MIN_OVERDUE_MS = 1_000
# After this many median token times without a token, it is overdue.
OVERDUE_TOKENS = 40
MEDIAN_INTERVAL_MS = 100
REPORT_WEIGHT = 0.25
REPORT_LIFETIME_MS = 5_000
# A load report below this fraction of the daemon's own in-flight requests is
# implausible.
MIN_REPORTED_RATIO = 0.5
DISTRUST_AFTER_REPORTS = 3
BASE_LOAD = 0.2
AFFINITY_DISCOUNT = 0.6
AFFINITY_MAX_LOAD = 0.75
MAX_DRAWS = 6
BACKOFF_AFTER_FAILURE_MS = 200
DOMAIN_FAILURE_WINDOW_MS = 1_000
RECENT_FAILURE_MS = 5_000
MAX_PROBE_BACKOFF_MS = 30_000
PROBE_TIMEOUT_MS = 2_000
PROBES_TO_READMIT = 2
# Consecutive good samples after which the probe backoff starts anew.
GOOD_COUNT_TO_RESET_BACKOFF = 20


@_hooks.balancers.register('observed')
class ObservedBalancer(_slots.SlotPool):
    """Choose engines by measured times; eject slow and failed ones.

    One object serves one pool of engines of the same kind.
    """

    state_type = _engine_state.EngineState

    def __init__(self, *, rng):
        super().__init__()
        self._rng = rng
        self._last_engine_by_prefix = _prefixes.LastEngines()
        self._first = None
        self._inter = None
        self._medians_updated_ms = None

    # Choice

    def choose(self, candidates, work, now_ms):
        options = self._draw_candidates(candidates, work, now_ms)
        cached = self._states.get(
            self._last_engine_by_prefix.find(work.prefix)
        )
        if (
            cached is not None
            and cached not in options
            and cached.engine.id not in work.avoid
            and cached.room()
            and self._load(cached, now_ms) < AFFINITY_MAX_LOAD
            and any(cached.engine.id == item.id for item in candidates)
        ):
            options.append(cached)
        if not options:
            return None
        state = min(options, key=lambda item: self._cost(item, work, now_ms))
        if work.prefix:
            state.prefixes.add(work.prefix)
            limit = _prefixes.DIGESTS_PER_ENGINE * len(self._states)
            self._last_engine_by_prefix.record(
                work.prefix, state.engine.id, limit
            )
        flight = self._occupy(state, work, now_ms)
        state.waiting[flight] = None
        return flight

    def _draw_candidates(self, candidates, work, now_ms):
        options = []
        if not candidates:
            return options
        for _ in range(MAX_DRAWS):
            engine = candidates[self._rng.randrange(len(candidates))]
            state = self._usable(engine, work)
            if state is None or state.hold_until_ms > now_ms:
                continue
            if state not in options:
                options.append(state)
            if len(options) == 2:
                return options
        usable = [self._usable(engine, work) for engine in candidates]
        usable = [state for state in usable if state]
        ready = [item for item in usable if item.hold_until_ms <= now_ms]
        usable = ready or usable
        return self._rng.sample(usable, min(2, len(usable)))

    def _load(self, state, now_ms):
        load = len(state.flights) / max(1, state.cap)
        is_fresh = now_ms - state.reported_ms < REPORT_LIFETIME_MS
        if (
            state.reported is not None
            and is_fresh
            and state.implausible_reports < DISTRUST_AFTER_REPORTS
        ):
            load += REPORT_WEIGHT * (min(2.0, state.reported) - load)
        return load

    def _cost(self, state, work, now_ms):
        """Return the expected time relative to an idle median engine."""
        slowness = 1.0
        for value, median in (
            (state.first, self._first),
            (state.inter, self._inter),
        ):
            if value is not None and median:
                slowness = max(slowness, value / median)
        cost = slowness * (BASE_LOAD + self._load(state, now_ms))
        return cost * (
            1 - AFFINITY_DISCOUNT * state.prefixes.hit_ratio(work.prefix)
        )

    # Observation

    def observe(self, flight, now_ms, tokens):
        # Called for every chunk, so return early unless a sample is complete.
        if flight.tokens and tokens - flight.tokens < SEGMENT_TOKENS:
            return
        state = self._states.get(flight.engine_id)
        if state is None:
            return
        if flight.is_probe:
            self._on_probe_answer(state, flight, now_ms)
            return
        if flight not in state.flights:
            return
        if flight in state.waiting:
            self._record_first_token(state, flight, now_ms, tokens)
        else:
            self._record_segment(state, flight, now_ms, tokens)
        flight.last_ms = now_ms
        flight.tokens = tokens
        flight.is_late = False

    def _record_first_token(self, state, flight, now_ms, tokens):
        del state.waiting[flight]
        state.streaming[flight] = None
        spent_ms = now_ms - flight.started_ms
        value = spent_ms / (PROMPT_BASE_TOKENS + flight.work.prompt_tokens)
        state.first = _moving_average(state.first, value)
        is_slow = spent_ms > MIN_SLOW_FIRST_TOKEN_MS and _exceeds_median(
            value, self._first
        )
        self._record_verdict(state, is_slow, flight.started_ms, now_ms)

    def _record_segment(self, state, flight, now_ms, tokens):
        state.streaming.move_to_end(flight)
        value = (now_ms - flight.last_ms) / (tokens - flight.tokens)
        state.inter = _moving_average(state.inter, value)
        is_slow = _exceeds_median(value, self._inter)
        self._record_verdict(state, is_slow, flight.last_ms, now_ms)

    def finish(self, flight, now_ms, ok):
        if flight.is_probe:
            state = self._states.get(flight.engine_id)
            if state is not None and state.probe is flight:
                self._on_probe_failure(state, now_ms)
            return
        state = self._release(flight)
        if state is None:
            return
        state.waiting.pop(flight, None)
        state.streaming.pop(flight, None)
        if ok:
            return
        state.hold_until_ms = now_ms + BACKOFF_AFTER_FAILURE_MS
        state.failed_ms = now_ms
        self._record_verdict(
            state, True, now_ms, now_ms, BAD_COUNT_PER_FAILURE
        )
        self._eject_failed_domain(state.engine.failure_domain, now_ms)

    def report(self, engine_id, report, now_ms):
        state = self._states.get(engine_id)
        if state is None:
            return
        total = report.running + report.waiting
        state.reported = total / max(1, report.slots)
        state.reported_ms = now_ms
        since_ms = now_ms - report.age_ms
        # Count in-flight requests that were running when the report was made.
        own_running = sum(item.started_ms < since_ms for item in state.flights)
        if own_running >= 2 and total < own_running * MIN_REPORTED_RATIO:
            state.implausible_reports += 1
        elif own_running >= 2:
            state.implausible_reports = 0

    # Ejection

    def _record_verdict(self, state, is_slow, start_ms, now_ms, weight=1):
        if not is_slow:
            state.last_good_start_ms = max(state.last_good_start_ms, start_ms)
            state.consecutive_good += 1
            state.bad_count = max(0, state.bad_count - 1)
            if state.consecutive_good >= GOOD_COUNT_TO_RESET_BACKOFF:
                state.probe_backoff_ms = _engine_state.INITIAL_PROBE_BACKOFF_MS
        else:
            if not state.bad_count:
                state.first_bad_ms = now_ms
            state.consecutive_good = 0
            state.bad_count = min(EJECTION_BAD_COUNT, state.bad_count + weight)
        self._update_limit(state)

    def _update_limit(self, state):
        """Limit the requests at a suspect engine unless most are suspect."""
        state.is_limited = state.bad_count >= 2 and self._are_others_healthy(
            state
        )
        self._recount(state)

    def _are_others_healthy(self, state):
        others = [
            other
            for other in self._states.values()
            if other.status == _engine_state.OK and other is not state
        ]
        good = sum(
            other.last_good_start_ms >= state.first_bad_ms for other in others
        )
        return 2 * good >= len(others) > 0

    def tick(self, now_ms):
        self._update_medians(now_ms)
        ejections = []
        for state in self._states.values():
            self._record_overdue(state, now_ms)
            self._check_probe_timeout(state, now_ms)
            if state.status != _engine_state.OK or state.bad_count < 2:
                continue
            self._update_limit(state)
            if (
                state.bad_count >= EJECTION_BAD_COUNT
                and self._is_slow(state, now_ms)
                and self._can_eject(state)
            ):
                overdue = self._eject(state, _engine_state.EJECTED, now_ms)
                ejections.append(
                    _engine_state.Ejection(state.engine.id, overdue)
                )
        return ejections

    def _update_medians(self, now_ms):
        last_ms = self._medians_updated_ms
        if last_ms is not None and now_ms - last_ms < MEDIAN_INTERVAL_MS:
            return
        self._medians_updated_ms = now_ms
        for name in ('first', 'inter'):
            values = [
                value
                for state in self._states.values()
                if state.status == _engine_state.OK
                and (value := getattr(state, name)) is not None
            ]
            if values:
                # With the lower median, up to half of the pool may be slow.
                setattr(self, f'_{name}', statistics.median_low(values))

    def _overdue_flights(self, state, now_ms):
        """Yield the in-flight requests whose next token is overdue."""
        if self._first is not None:
            for flight in state.waiting:
                tokens = PROMPT_BASE_TOKENS + flight.work.prompt_tokens
                limit_ms = SLOW_RATIO * self._first * tokens
                limit_ms = max(MIN_SLOW_FIRST_TOKEN_MS, limit_ms)
                if now_ms - flight.started_ms <= limit_ms:
                    break
                yield flight
        if self._inter is not None:
            limit_ms = max(MIN_OVERDUE_MS, OVERDUE_TOKENS * self._inter)
            for flight in state.streaming:
                if now_ms - flight.last_ms <= limit_ms:
                    break
                yield flight

    def _record_overdue(self, state, now_ms):
        for flight in self._overdue_flights(state, now_ms):
            if not flight.is_late:
                flight.is_late = True
                self._record_verdict(state, True, now_ms, now_ms)

    def _is_slow(self, state, now_ms):
        """Whether the engine is slow by the pool's current median.

        Earlier samples were compared with earlier medians, which lag behind
        when all engines slow down.
        """
        failed_ms = state.failed_ms
        if failed_ms is not None and now_ms - failed_ms <= RECENT_FAILURE_MS:
            return True
        for value, median in (
            (state.first, self._first),
            (state.inter, self._inter),
        ):
            if value is not None and _exceeds_median(value, median):
                return True
        return any(True for _ in self._overdue_flights(state, now_ms))

    def _can_eject(self, state):
        states = [
            item
            for item in self._states.values()
            if item.status != _engine_state.LOST
        ]
        ejected = sum(item.status == _engine_state.EJECTED for item in states)
        return ejected + 1 <= len(states) // 2 and self._are_others_healthy(
            state
        )

    def _eject(self, state, status, now_ms):
        state.status = status
        state.probe_at_ms = now_ms + state.probe_backoff_ms
        state.successful_probes = 0
        self._recount(state)
        return tuple(item for item in state.flights if item.is_late)

    # Failure domains

    def _eject_failed_domain(self, failure_domain, now_ms):
        members = [
            state
            for state in self._states.values()
            if state.engine.failure_domain == failure_domain
        ]
        failed = [
            state
            for state in members
            if state.failed_ms is not None
            and now_ms - state.failed_ms <= DOMAIN_FAILURE_WINDOW_MS
        ]
        if len(members) >= 2 and len(failed) == len(members):
            for state in members:
                if state.status == _engine_state.OK:
                    self._eject(state, _engine_state.LOST, now_ms)

    def drop_domain(self, failure_domain, now_ms):
        flights = []
        for state in self._states.values():
            if state.engine.failure_domain == failure_domain:
                flights.extend(state.flights)
                for part in (state.flights, state.waiting, state.streaming):
                    part.clear()
                self._eject(state, _engine_state.LOST, now_ms)
        return flights

    # Probes

    def probes(self, now_ms):
        flights = []
        for state in self._states.values():
            if (
                state.status != _engine_state.OK
                and not state.engine.leaving
                and state.probe is None
                and now_ms >= state.probe_at_ms
            ):
                state.probe = _hooks.Flight(
                    state.engine.id,
                    _hooks.Work(),
                    now_ms,
                    now_ms,
                    is_probe=True,
                )
                flights.append(state.probe)
        return flights

    def _check_probe_timeout(self, state, now_ms):
        probe = state.probe
        if probe and now_ms - probe.started_ms > PROBE_TIMEOUT_MS:
            self._on_probe_failure(state, now_ms)

    def _on_probe_failure(self, state, now_ms):
        state.probe = None
        state.successful_probes = 0
        state.probe_backoff_ms = min(
            MAX_PROBE_BACKOFF_MS, 2 * state.probe_backoff_ms
        )
        state.probe_at_ms = now_ms + state.probe_backoff_ms

    def _on_probe_answer(self, state, flight, now_ms):
        if state.probe is not flight:
            return
        spent_ms = now_ms - flight.started_ms
        value = spent_ms / PROMPT_BASE_TOKENS
        if spent_ms > MIN_SLOW_FIRST_TOKEN_MS and _exceeds_median(
            value, self._first
        ):
            self._on_probe_failure(state, now_ms)
            return
        state.probe = None
        state.successful_probes += 1
        if state.successful_probes >= PROBES_TO_READMIT:
            self._readmit(state, now_ms)

    def _readmit(self, state, now_ms):
        """Readmit the engine as a suspect, so that its load grows slowly."""
        state.status = _engine_state.OK
        state.first = state.inter = None
        state.bad_count = EJECTION_BAD_COUNT - 1
        state.first_bad_ms = 0
        state.failed_ms = None
        state.probe_backoff_ms = min(
            MAX_PROBE_BACKOFF_MS, 2 * state.probe_backoff_ms
        )
        self._update_limit(state)

    def dump(self):
        return {
            state.engine.id: {
                'status': state.status,
                'cap': state.cap,
                'running': len(state.flights),
                'bad': state.bad_count,
                'first': state.first,
                'inter': state.inter,
                'trusted': state.implausible_reports < DISTRUST_AFTER_REPORTS,
            }
            for state in self._states.values()
        }


def _moving_average(average, value):
    return (
        value
        if average is None
        else average + MOVING_AVERAGE_GAIN * (value - average)
    )


def _exceeds_median(value, median):
    return bool(median) and value > SLOW_RATIO * median
