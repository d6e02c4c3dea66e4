"""Balancer for servers that many gateways use at the same time.

Each gateway knows its own requests exactly and those of all others as sums
that are a few hundred ms old. The cost of a server for a request is what the
request would wait there and what it would take from the requests that run
there already:

* a long prompt delays every running stream by its reading time, so it goes
  where few streams run and where parts of it are probably cached;
* a short prompt goes where few prompt tokens are read, since each long prompt
  there would interrupt its events.

Load pattern it answers: a burst of long prompts beside short chats. Placed by
the number of requests alone, every server reads long prompts all the time and
the chats miss the longest allowed pause between events.
"""

import statistics

import attrs

from paddle_router.policy import _availability
from paddle_router.policy import _hooks
from paddle_router.policy import _prompt_parts
from paddle_router.policy import _server_notices
from paddle_router.policy import _shared_server

# Prompt tokens a server reads per ms until answers have shown it; the lower
# of the two sites' sheets.
DEFAULT_READ_RATE = 60.0
# Prompts shorter than this say little about the reading rate: at 60 tokens
# per ms their first token is mostly network and step time.
RATE_MIN_TOKENS = 3_000
# Weight of a new answer; a burst of 20 long prompts moves the rate by 90%.
RATE_GAIN = 0.1
# Tokens per ms; bounds what one distorted measurement can do.
RATE_RANGE = (5.0, 1_000.0)
# The weights below are in units of a first token that uses up its target.
# Those of running requests and of harm were lowered to these values in
# measured rounds (commit "Keep a gateway's server list when a controller's is
# old"); the others are first choices that no round has varied.
# Weight of one running request.
RUNNING_WEIGHT = 0.005
# Weight of a ms by which a prompt delays ten running streams.
HARM_PER_MS = 0.0005
# Weight of the part of time in which the server reads prompts; for a stream
# whose events must not pause.
BUSY_WEIGHT = 1.5
# Requests beyond the slots wait for a whole run of another one.
OVERFLOW_WEIGHT = 3.0
# Weight of the squared part of failures; half of them outweigh any load.
FAILURE_WEIGHT = 20.0
# A little preference for the own failure domain, where bytes are free.
DISTANCE_COST = 0.005
# Servers within this cost of the best one are drawn from at random, so that
# gateways with the same old sums do not all choose the same server.
TIE_COST = 0.01
# A server that is not the one listed at its address is gone for good; the list
# names it for some seconds more, longer while the platform is slow.
GONE_MS = 5_000
# Weight of a shared token that is read again; prices of the users' platform
# put 5,400 of them at about half of the worth of a long request.
READ_AGAIN_PER_TOKEN = 0.6 / 5_400
# Part of the servers that is left to the streams with the shortest allowed
# pause, since three long prompts read at the same time already pause a stream
# for 300 ms. All gateways choose the same servers.
RESERVED_PART = 0.35
RESERVED_MIN_SERVERS = 3
# Gateways of two versions must choose the same servers.
RESERVED_SALT = 'quiet'
# Cost of a ms of reading on a server left to such streams.
RESERVED_COST_PER_MS = 0.005
# Cost of such a stream elsewhere; replayed bursts made nearly all of them
# late there.
NOISY_COST = 0.5
# Pauses up to this factor of the shortest one count as the shortest.
TIGHT_GAP_RATIO = 1.2
# A server this many times slower than the median pays that factor.
SLOW_RATIO = 3.0


@_hooks.balancers.register('shared_load')
class SharedLoadBalancer:
    """See the module; one instance serves one service.

    ``notices`` is what servers say of themselves, shared by the services of a
    gateway. ``is_last_resort`` is set while all servers leave.
    """

    def __init__(self, *, rng, failure_domain='', notices=None):
        self._rng = rng
        self._domain = failure_domain
        self._notices = notices or _server_notices.ServerNotices()
        self._availability = _availability.Availability(self._notices)
        self._states = {}
        self.is_last_resort = False
        self._rate = DEFAULT_READ_RATE
        self._rate_seen = False
        self._gaps = set()

    def sync(self, engines, now_ms):
        """Use this list of servers; those not listed are forgotten."""
        listed = {engine.id: engine for engine in engines}
        for server_id in set(self._states) - set(listed):
            del self._states[server_id]
        for server_id, engine in listed.items():
            state = self._states.get(server_id)
            if state is None or state.engine.born_ms != engine.born_ms:
                state = _shared_server.ServerState(engine)
                self._states[server_id] = state
            state.engine = engine
            if not engine.leaving:
                state.listed_leaving_ms = None
            elif state.listed_leaving_ms is None:
                state.listed_leaving_ms = now_ms

    def set_others(self, loads, now_ms):
        """Use ``{server id: SharedLoad}`` of the other gateways."""
        for server_id, state in self._states.items():
            state.others = loads.get(server_id, _shared_server.SharedLoad())
            state.others_ms = now_ms

    def report(self, engine_id, report, now_ms):
        """Note a load report."""
        state = self._states.get(engine_id)
        if state is not None:
            state.reported = report
            state.reported_ms = now_ms
            state.flights_at_report = len(state.flights)

    def choose(self, work, now_ms):
        """Return a :class:`SharedFlight`, ``None`` without a server."""
        states, self.is_last_resort = self._availability.usable(
            self._outside(work.avoid), now_ms
        )
        open_states = [x for x in states if x.hold_until_ms <= now_ms]
        states = open_states or states
        if not states:
            return None
        self._is_tight(work)
        reserved = self._reserved(states)
        ranks = _prompt_parts.places(states, work, reserved)
        median = self._median_pace(now_ms)
        costs = [
            (
                self._cost(state, work, now_ms, ranks, median)
                + self._reserved_cost(state, work, reserved),
                state,
            )
            for state in states
        ]
        least = min(cost for cost, _state in costs)
        near = [state for cost, state in costs if cost <= least + TIE_COST]
        chosen = self._rng.choice(near)
        return self._occupy(chosen, work, now_ms, ranks.get(chosen.engine.id))

    def place(self, server_id, work, now_ms):
        """Return a :class:`SharedFlight` at a given server.

        For a run whose memory is there; ``None`` if it is not listed or wants
        no requests.
        """
        state = self._states.get(server_id)
        if state is None or self._availability.is_quiet(state, now_ms):
            return None
        return self._occupy(
            state, attrs.evolve(work, prompt_tokens=0), now_ms, None
        )

    def can_place(self, avoid, now_ms):
        """Return whether a server outside ``avoid`` takes new work now."""
        states, _last = self._availability.usable(self._outside(avoid), now_ms)
        return bool(states)

    def next_availability(self, avoid, now_ms):
        """Return the :class:`NextAvailability` of servers outside ``avoid``.

        ``None`` if none of them will take a request.
        """
        return self._availability.next_availability(
            self._outside(avoid), now_ms
        )

    def answer_ms(self, now_ms):
        """Return the median time of a plain answer, ``None`` if unknown."""
        return self._median_pace(now_ms)

    def observe(self, flight, now_ms, tokens):
        """Note an event of the answer; the first one starts the run."""
        state = self._state_of(flight)
        if not flight.started:
            flight.started = True
            self._learn_rate(flight, now_ms)
            _end_slow_start(flight, taken=True)
        elif state is not None:
            state.window.add(now_ms, paced=1, pace_ms=now_ms - flight.last_ms)
        flight.last_ms = now_ms
        flight.events = tokens

    def finish(self, flight, now_ms, ok):
        """Free the place; ``ok`` is false only for a fault of the server."""
        _end_slow_start(flight, taken=ok)
        state = self._state_of(flight)
        if state is None:
            return
        state.flights.discard(flight)
        if not ok:
            state.window.add(now_ms, failures=1)
            return
        state.hold_ms = _shared_server.HOLD_MIN_MS
        state.window.add(now_ms, answers=1)
        if not flight.work.gap_ms:
            state.window.add(now_ms, paced=1, pace_ms=now_ms - flight.sent_ms)

    def mark_gone(self, flight, now_ms):
        """Leave the server of ``flight`` out; another has its address."""
        state = self._state_of(flight)
        if state is not None:
            state.gone_until_ms = now_ms + GONE_MS

    def forget(self, flight):
        """Free the place of a request that was not sent."""
        _end_slow_start(flight, taken=False)
        state = self._state_of(flight)
        if state is not None:
            state.flights.discard(flight)

    def hold(self, flight, now_ms):
        """Leave the server of ``flight`` alone; it could not be reached."""
        _end_slow_start(flight, taken=False)
        state = self._state_of(flight)
        if state is None:
            return
        state.flights.discard(flight)
        state.hold_until_ms = now_ms + state.hold_ms
        state.hold_ms = min(_shared_server.HOLD_MAX_MS, 2 * state.hold_ms)

    def server_rate(self):
        """Return the prompt tokens a second that a server reads.

        0 until an answer to a long prompt has shown it.
        """
        return int(self._rate * 1_000) if self._rate_seen else 0

    def own_loads(self, now_ms):
        """Return ``{server id: SharedLoad}`` of this gateway."""
        loads = {}
        for server_id, state in self._states.items():
            window = state.window
            paced = window.get(now_ms, 'paced')
            prefill = sum(
                item.uncached for item in state.flights if not item.started
            )
            load = _shared_server.SharedLoad(
                running=len(state.flights),
                prefill=prefill,
                failures=window.get(now_ms, 'failures'),
                answers=window.get(now_ms, 'answers'),
                pace_ms=window.get(now_ms, 'pace_ms') // paced if paced else 0,
                read_rate=int(
                    window.get(now_ms, 'tokens')
                    * 1_000
                    / (1.5 * _shared_server.WINDOW_MS)
                ),
            )
            if load != _shared_server.SharedLoad():
                loads[server_id] = load
        return loads

    def dump(self):
        """Return the state as plain data."""
        return {
            server_id: {
                'flights': len(state.flights),
                'others': attrs.asdict(state.others),
                'hold_until_ms': state.hold_until_ms,
            }
            for server_id, state in self._states.items()
        }

    def _outside(self, avoid):
        return [
            state
            for server_id, state in self._states.items()
            if server_id not in avoid
        ]

    def _state_of(self, flight):
        """Return the state of the incarnation that was sent ``flight``."""
        state = self._states.get(flight.server_id)
        if state is None or state.engine.born_ms != flight.born_ms:
            return None
        return state

    def _is_tight(self, work):
        """Whether the stream allows the shortest pauses of all seen."""
        if not work.gap_ms:
            return False
        self._gaps.add(work.gap_ms)
        least = TIGHT_GAP_RATIO * min(self._gaps)
        return work.gap_ms <= least < max(self._gaps)

    def _reserved_cost(self, state, work, reserved):
        """Return the cost of a server that serves the other sort of work."""
        if not reserved or not work.prompt_tokens:
            return 0.0
        is_reserved = state.engine.id in reserved
        if self._is_tight(work):
            return 0.0 if is_reserved else NOISY_COST
        if not is_reserved:
            return 0.0
        return RESERVED_COST_PER_MS * work.prompt_tokens / self._rate

    def _reserved(self, states):
        """Return the ids of the servers left to tight streams."""
        if len(states) < RESERVED_MIN_SERVERS or len(self._gaps) < 2:
            return frozenset()
        ids = sorted(
            (state.engine.id for state in states),
            key=lambda server_id: _prompt_parts.affinity(
                RESERVED_SALT, server_id
            ),
        )
        return frozenset(ids[: max(1, int(RESERVED_PART * len(ids)))])

    def _cost(self, state, work, now_ms, ranks, median):
        slots = max(1, state.engine.slots)
        running = state.running(now_ms)
        cost = RUNNING_WEIGHT * running
        if running >= slots:
            cost += OVERFLOW_WEIGHT * (1 + running - slots) / slots
        cost += FAILURE_WEIGHT * state.failure_part(now_ms) ** 2
        if state.engine.failure_domain != self._domain:
            cost += DISTANCE_COST
        if work.prompt_tokens:
            cost += self._reading_cost(state, work, now_ms, ranks)
        else:
            cost += running / slots
        pace = state.pace_ms(now_ms)
        if pace and median and pace > SLOW_RATIO * median:
            cost = (cost + 0.5) * pace / median
        return cost

    def _reading_cost(self, state, work, now_ms, ranks):
        cached = _prompt_parts.expected_cached(state, work, now_ms, ranks)
        uncached = max(1, work.prompt_tokens - cached)
        reading_ms = uncached / self._rate
        backlog_ms = state.backlog(now_ms, self._rate) / self._rate
        cost = (backlog_ms + reading_ms) / max(1, work.target_ms)
        cost += READ_AGAIN_PER_TOKEN * max(
            0, _prompt_parts.shared_tokens(work) - cached
        )
        cost += HARM_PER_MS * reading_ms * state.running(now_ms) / 10
        if work.prompt_tokens < _prompt_parts.LONG_PROMPT_TOKENS:
            cost += BUSY_WEIGHT * state.busy(now_ms, self._rate)
        return cost

    def _occupy(self, state, work, now_ms, place):
        uncached = work.prompt_tokens - state.cached(work.parts, now_ms)
        flight = _shared_server.SharedFlight(
            state.engine.id,
            state.engine.born_ms,
            work,
            now_ms,
            max(0, uncached),
            state.backlog(now_ms, self._rate),
            now_ms,
            place,
        )
        state.remember(work.parts, now_ms)
        state.window.add(now_ms, tokens=flight.uncached)
        state.flights.add(flight)
        if state.slow_start is not None:
            flight.slow_start = state.slow_start
            state.slow_start.record_sent()
        return flight

    def _learn_rate(self, flight, now_ms):
        tokens = flight.uncached + flight.backlog
        passed_ms = now_ms - flight.sent_ms
        if flight.uncached < RATE_MIN_TOKENS or passed_ms <= 0:
            return
        seen = min(max(tokens / passed_ms, RATE_RANGE[0]), RATE_RANGE[1])
        self._rate_seen = True
        self._rate += RATE_GAIN * (seen - self._rate)

    def _median_pace(self, now_ms):
        paces = [state.pace_ms(now_ms) for state in self._states.values()]
        paces = [pace for pace in paces if pace]
        return statistics.median_low(paces) if len(paces) > 1 else None


def _end_slow_start(flight, *, taken):
    """Note what became of a request that was sent after a quiet time."""
    slow_start, flight.slow_start = flight.slow_start, None
    if slow_start is None:
        return
    if taken:
        slow_start.record_started()
    else:
        slow_start.record_lost()
