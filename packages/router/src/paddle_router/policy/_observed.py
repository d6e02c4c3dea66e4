"""Balancer that trusts its own observations.

Of two random candidates, and of the engine that probably caches the prompt's
prefix, the one with the lowest expected time is chosen. The expected time
comes from the daemon's own flights and measured token times; load reports lag
or may be wrong and only correct it.

An engine is ejected after ``BAD_LIMIT`` slow answers more than good ones. An
answer is a first token, ``SEGMENT_TOKENS`` further tokens, or a token that is
overdue; it is slow at ``SLOW_RATIO`` times the pool's median. Ejection also
needs good answers that other engines began after the first slow one, so a
slowdown common to all engines ejects none.
"""

import statistics

from paddle_router.policy import _engine_state
from paddle_router.policy import _hooks
from paddle_router.policy import _prefixes
from paddle_router.policy import _slots

SLOW_RATIO = 3.0
BAD_LIMIT = 4
# A failed request says more than a slow one.
BAD_PER_FAILURE = 2
SEGMENT_TOKENS = 16
# Weight of a new answer in the decayed averages.
GAIN = 0.3
# A first token takes as long as a prompt of this length, plus the prompt.
PROMPT_BASE_TOKENS = 500
# Faster first tokens are never slow, whatever the median is.
MIN_SLOW_FIRST_MS = 100
# Callers may report tokens in groups; a shorter silence means nothing.
MIN_SILENCE_MS = 1_000
SILENT_TOKENS = 40
MEDIAN_INTERVAL_MS = 100
REPORT_WEIGHT = 0.25
REPORT_LIFETIME_MS = 5_000
# Reports below half of the own flights make a report untrustworthy.
REPORT_MARGIN = 0.5
DISTRUST_AFTER = 3
IDLE_LOAD = 0.2
AFFINITY_GAIN = 0.6
AFFINITY_MAX_LOAD = 0.75
DRAWS = 6
HOLD_AFTER_FAILURE_MS = 200
DOMAIN_FAILURE_MS = 1_000
FAILURE_MEMORY_MS = 5_000
MAX_PROBE_WAIT_MS = 30_000
PROBE_TIMEOUT_MS = 2_000
PROBES_TO_READMIT = 2
# Good answers after which an earlier ejection is forgotten.
GOOD_TO_FORGET = 20


@_hooks.balancers.register('observed')
class ObservedBalancer(_slots.SlotPool):
    """See the module. One instance serves one pool of like engines."""

    state_type = _engine_state.EngineState

    def __init__(self, *, rng):
        super().__init__()
        self._rng = rng
        self._last_engines = _prefixes.LastEngines()
        self._first = None
        self._inter = None
        self._medians_ms = None

    # Choice

    def choose(self, candidates, work, now_ms):
        options = self._draw(candidates, work, now_ms)
        near = self._states.get(self._last_engines.find(work.prefix))
        if (
            near is not None
            and near not in options
            and near.engine.id not in work.avoid
            and near.room()
            and self._load(near, now_ms) < AFFINITY_MAX_LOAD
            and any(near.engine.id == item.id for item in candidates)
        ):
            options.append(near)
        if not options:
            return None
        state = min(options, key=lambda item: self._cost(item, work, now_ms))
        if work.prefix:
            state.prefixes.add(work.prefix)
            limit = _prefixes.DIGESTS_PER_ENGINE * len(self._states)
            self._last_engines.note(work.prefix, state.engine.id, limit)
        flight = self._occupy(state, work, now_ms)
        state.waiting[flight] = None
        return flight

    def _draw(self, candidates, work, now_ms):
        options = []
        if not candidates:
            return options
        for _ in range(DRAWS):
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
            and state.distrust < DISTRUST_AFTER
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
        cost = slowness * (IDLE_LOAD + self._load(state, now_ms))
        return cost * (1 - AFFINITY_GAIN * state.prefixes.hit(work.prefix))

    # Observation

    def observe(self, flight, now_ms, tokens):
        # Called for every chunk; most change nothing.
        if flight.tokens and tokens - flight.tokens < SEGMENT_TOKENS:
            return
        state = self._states.get(flight.engine_id)
        if state is None:
            return
        if flight.is_probe:
            self._probe_answered(state, flight, now_ms)
            return
        if flight not in state.flights:
            return
        if flight in state.waiting:
            self._first_token(state, flight, now_ms, tokens)
        else:
            self._segment(state, flight, now_ms, tokens)
        flight.last_ms = now_ms
        flight.tokens = tokens
        flight.is_late = False

    def _first_token(self, state, flight, now_ms, tokens):
        del state.waiting[flight]
        state.streaming[flight] = None
        spent_ms = now_ms - flight.started_ms
        value = spent_ms / (PROMPT_BASE_TOKENS + flight.work.prompt_tokens)
        state.first = _decayed(state.first, value)
        is_slow = spent_ms > MIN_SLOW_FIRST_MS and _exceeds(value, self._first)
        self._judge(state, is_slow, flight.started_ms, now_ms)

    def _segment(self, state, flight, now_ms, tokens):
        state.streaming.move_to_end(flight)
        value = (now_ms - flight.last_ms) / (tokens - flight.tokens)
        state.inter = _decayed(state.inter, value)
        is_slow = _exceeds(value, self._inter)
        self._judge(state, is_slow, flight.last_ms, now_ms)

    def finish(self, flight, now_ms, ok):
        if flight.is_probe:
            state = self._states.get(flight.engine_id)
            if state is not None and state.probe is flight:
                self._probe_failed(state, now_ms)
            return
        state = self._release(flight)
        if state is None:
            return
        state.waiting.pop(flight, None)
        state.streaming.pop(flight, None)
        if ok:
            return
        state.hold_until_ms = now_ms + HOLD_AFTER_FAILURE_MS
        state.failed_ms = now_ms
        self._judge(state, True, now_ms, now_ms, BAD_PER_FAILURE)
        self._check_domain(state.engine.failure_domain, now_ms)

    def report(self, engine_id, report, now_ms):
        state = self._states.get(engine_id)
        if state is None:
            return
        total = report.running + report.waiting
        state.reported = total / max(1, report.slots)
        state.reported_ms = now_ms
        since_ms = now_ms - report.age_ms
        # Flights that ran already when the report was made.
        own = sum(item.started_ms < since_ms for item in state.flights)
        if own >= 2 and total < own * REPORT_MARGIN:
            state.distrust += 1
        elif own >= 2:
            state.distrust = 0

    # Ejection

    def _judge(self, state, is_slow, began_ms, now_ms, weight=1):
        if not is_slow:
            state.good_began_ms = max(state.good_began_ms, began_ms)
            state.good_run += 1
            state.bad = max(0, state.bad - 1)
            if state.good_run >= GOOD_TO_FORGET:
                state.probe_wait_ms = _engine_state.FIRST_PROBE_MS
        else:
            if not state.bad:
                state.first_bad_ms = now_ms
            state.good_run = 0
            state.bad = min(BAD_LIMIT, state.bad + weight)
        self._limit(state)

    def _limit(self, state):
        """Bound what a suspect engine holds, unless most are suspect."""
        state.limited = state.bad >= 2 and self._others_are_good(state)
        self._recount(state)

    def _others_are_good(self, state):
        others = [
            item
            for item in self._states.values()
            if item.status == _engine_state.OK and item is not state
        ]
        good = sum(item.good_began_ms >= state.first_bad_ms for item in others)
        return 2 * good >= len(others) > 0

    def tick(self, now_ms):
        self._update_medians(now_ms)
        ejections = []
        for state in self._states.values():
            self._count_overdue(state, now_ms)
            self._check_probe(state, now_ms)
            if state.status != _engine_state.OK or state.bad < 2:
                continue
            self._limit(state)
            if (
                state.bad >= BAD_LIMIT
                and self._is_slow(state, now_ms)
                and self._may_eject(state)
            ):
                overdue = self._eject(state, _engine_state.EJECTED, now_ms)
                ejections.append(
                    _engine_state.Ejection(state.engine.id, overdue)
                )
        return ejections

    def _update_medians(self, now_ms):
        last_ms = self._medians_ms
        if last_ms is not None and now_ms - last_ms < MEDIAN_INTERVAL_MS:
            return
        self._medians_ms = now_ms
        for name in ('first', 'inter'):
            values = [
                value
                for state in self._states.values()
                if state.status == _engine_state.OK
                and (value := getattr(state, name)) is not None
            ]
            if values:
                # The lower one, so that up to half of the pool may be slow.
                setattr(self, f'_{name}', statistics.median_low(values))

    def _overdue(self, state, now_ms):
        """Yield the flights whose next token is overdue."""
        if self._first is not None:
            for flight in state.waiting:
                tokens = PROMPT_BASE_TOKENS + flight.work.prompt_tokens
                limit_ms = SLOW_RATIO * self._first * tokens
                limit_ms = max(MIN_SLOW_FIRST_MS, limit_ms)
                if now_ms - flight.started_ms <= limit_ms:
                    break
                yield flight
        if self._inter is not None:
            limit_ms = max(MIN_SILENCE_MS, SILENT_TOKENS * self._inter)
            for flight in state.streaming:
                if now_ms - flight.last_ms <= limit_ms:
                    break
                yield flight

    def _count_overdue(self, state, now_ms):
        for flight in self._overdue(state, now_ms):
            if not flight.is_late:
                flight.is_late = True
                self._judge(state, True, now_ms, now_ms)

    def _is_slow(self, state, now_ms):
        """Tell if the engine is slow by the pool's median of now.

        The bad answers were judged by earlier medians, which lag when all
        engines slow down.
        """
        failed_ms = state.failed_ms
        if failed_ms is not None and now_ms - failed_ms <= FAILURE_MEMORY_MS:
            return True
        for value, median in (
            (state.first, self._first),
            (state.inter, self._inter),
        ):
            if value is not None and _exceeds(value, median):
                return True
        return any(True for _ in self._overdue(state, now_ms))

    def _may_eject(self, state):
        states = [
            item
            for item in self._states.values()
            if item.status != _engine_state.LOST
        ]
        ejected = sum(item.status == _engine_state.EJECTED for item in states)
        return ejected + 1 <= len(states) // 2 and self._others_are_good(state)

    def _eject(self, state, status, now_ms):
        state.status = status
        state.probe_at_ms = now_ms + state.probe_wait_ms
        state.good_probes = 0
        self._recount(state)
        return tuple(item for item in state.flights if item.is_late)

    # Failure domains

    def _check_domain(self, failure_domain, now_ms):
        members = [
            state
            for state in self._states.values()
            if state.engine.failure_domain == failure_domain
        ]
        failed = [
            state
            for state in members
            if state.failed_ms is not None
            and now_ms - state.failed_ms <= DOMAIN_FAILURE_MS
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

    def _check_probe(self, state, now_ms):
        probe = state.probe
        if probe and now_ms - probe.started_ms > PROBE_TIMEOUT_MS:
            self._probe_failed(state, now_ms)

    def _probe_failed(self, state, now_ms):
        state.probe = None
        state.good_probes = 0
        state.probe_wait_ms = min(MAX_PROBE_WAIT_MS, 2 * state.probe_wait_ms)
        state.probe_at_ms = now_ms + state.probe_wait_ms

    def _probe_answered(self, state, flight, now_ms):
        if state.probe is not flight:
            return
        spent_ms = now_ms - flight.started_ms
        value = spent_ms / PROMPT_BASE_TOKENS
        if spent_ms > MIN_SLOW_FIRST_MS and _exceeds(value, self._first):
            self._probe_failed(state, now_ms)
            return
        state.probe = None
        state.good_probes += 1
        if state.good_probes >= PROBES_TO_READMIT:
            self._readmit(state, now_ms)

    def _readmit(self, state, now_ms):
        """Take the engine back as a suspect, so that it starts slowly."""
        state.status = _engine_state.OK
        state.first = state.inter = None
        state.bad = BAD_LIMIT - 1
        state.first_bad_ms = 0
        state.failed_ms = None
        state.probe_wait_ms = min(MAX_PROBE_WAIT_MS, 2 * state.probe_wait_ms)
        self._limit(state)

    def dump(self):
        return {
            state.engine.id: {
                'status': state.status,
                'cap': state.cap,
                'running': len(state.flights),
                'bad': state.bad,
                'first': state.first,
                'inter': state.inter,
                'trusted': state.distrust < DISTRUST_AFTER,
            }
            for state in self._states.values()
        }


def _decayed(average, value):
    return value if average is None else average + GAIN * (value - average)


def _exceeds(value, median):
    return bool(median) and value > SLOW_RATIO * median
