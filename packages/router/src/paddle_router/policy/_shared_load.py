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

import collections
import hashlib
import statistics

import attrs

from paddle_router.policy import _hooks

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
# Virtual good answers, so that one failure is no verdict.
PRIOR_ANSWERS = 4
# A little preference for the own failure domain, where bytes are free.
DISTANCE_COST = 0.005
# Servers within this cost of the best one are drawn from at random, so that
# gateways with the same old sums do not all choose the same server.
TIE_COST = 0.01
# A server that refused a connection is left alone this long, then doubled.
HOLD_MIN_MS = 300
HOLD_MAX_MS = 2_000
# A server that is not the one listed at its address is gone for good; the list
# names it for some seconds more, longer while the platform is slow.
GONE_MS = 5_000
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
# Chance that the first, second, ... server in a prompt part's own order has
# it although this gateway did not send it there. All gateways compute the
# same order, so requests with the part meet at its first servers.
RANK_CACHED = (0.9, 0.4, 0.1)
# Weight of a shared token that is read again; prices of the users' platform
# put 5,400 of them at about half of the worth of a long request.
READ_AGAIN_PER_TOKEN = 0.6 / 5_400
LONG_PROMPT_TOKENS = 4_000
# Part of the servers that is left to the streams with the shortest allowed
# pause, since three long prompts read at the same time already pause a stream
# for 300 ms. All gateways choose the same servers.
QUIET_PART = 0.35
QUIET_MIN_SERVERS = 3
# Cost of a ms of reading on a server left to such streams.
QUIET_COST_PER_MS = 0.005
# Cost of such a stream elsewhere; replayed bursts made nearly all of them
# late there.
NOISY_COST = 0.5
# Pauses up to this factor of the shortest one count as the shortest.
TIGHT_GAP_RATIO = 1.2
# A server this many times slower than the median pays that factor.
SLOW_RATIO = 3.0
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
    ``None`` without one.
    """

    server_id: str
    work: EngineWork
    sent_ms: int
    uncached: int
    backlog: float
    last_ms: int
    place: int | None = None
    started: bool = False
    events: int = 0


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
class _State:
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


@_hooks.balancers.register('shared_load')
class SharedLoadBalancer:
    """See the module; one instance serves one service."""

    def __init__(self, *, rng, failure_domain=''):
        self._rng = rng
        self._domain = failure_domain
        self._states = {}
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
            if state is None:
                self._states[server_id] = _State(engine)
            else:
                state.engine = engine

    def set_others(self, loads, now_ms):
        """Use ``{server id: SharedLoad}`` of the other gateways."""
        for server_id, state in self._states.items():
            state.others = loads.get(server_id, SharedLoad())
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
        states = [
            state
            for state in self._states.values()
            if not state.engine.leaving
            and not state.is_gone(now_ms)
            and state.engine.id not in work.avoid
        ]
        open_states = [x for x in states if x.hold_until_ms <= now_ms]
        states = open_states or states
        if not states:
            return None
        self._is_tight(work)
        quiet = self._quiet(states)
        ranks = _ranks(states, work, quiet)
        median = self._median_pace(now_ms)
        costs = [
            (
                self._cost(state, work, now_ms, ranks, median)
                + self._quiet_cost(state, work, quiet),
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

        For a run whose memory is there; ``None`` if it is not listed.
        """
        state = self._states.get(server_id)
        if state is None:
            return None
        return self._occupy(
            state, attrs.evolve(work, prompt_tokens=0), now_ms, None
        )

    def can_place(self, avoid):
        """Return whether a server outside ``avoid`` takes new work."""
        return any(
            not state.engine.leaving and server_id not in avoid
            for server_id, state in self._states.items()
        )

    def observe(self, flight, now_ms, tokens):
        """Note an event of the answer; the first one starts the run."""
        state = self._states.get(flight.server_id)
        if not flight.started:
            flight.started = True
            self._learn_rate(flight, now_ms)
        elif state is not None:
            state.window.add(now_ms, paced=1, pace_ms=now_ms - flight.last_ms)
        flight.last_ms = now_ms
        flight.events = tokens

    def finish(self, flight, now_ms, ok):
        """Free the place; ``ok`` is false only for a fault of the server."""
        state = self._states.get(flight.server_id)
        if state is None:
            return
        state.flights.discard(flight)
        if not ok:
            state.window.add(now_ms, failures=1)
            return
        state.hold_ms = HOLD_MIN_MS
        state.window.add(now_ms, answers=1)
        if not flight.work.gap_ms:
            state.window.add(now_ms, paced=1, pace_ms=now_ms - flight.sent_ms)

    def note_gone(self, flight, now_ms):
        """Leave the server of ``flight`` out; another has its address."""
        state = self._states.get(flight.server_id)
        if state is not None:
            state.gone_until_ms = now_ms + GONE_MS

    def forget(self, flight):
        """Free the place of a request that was not sent."""
        state = self._states.get(flight.server_id)
        if state is not None:
            state.flights.discard(flight)

    def hold(self, flight, now_ms):
        """Leave the server of ``flight`` alone; it could not be reached."""
        state = self._states.get(flight.server_id)
        if state is None:
            return
        state.flights.discard(flight)
        state.hold_until_ms = now_ms + state.hold_ms
        state.hold_ms = min(HOLD_MAX_MS, 2 * state.hold_ms)

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
            load = SharedLoad(
                running=len(state.flights),
                prefill=prefill,
                failures=window.get(now_ms, 'failures'),
                answers=window.get(now_ms, 'answers'),
                pace_ms=window.get(now_ms, 'pace_ms') // paced if paced else 0,
                read_rate=int(
                    window.get(now_ms, 'tokens') * 1_000 / (1.5 * WINDOW_MS)
                ),
            )
            if load != SharedLoad():
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

    def _is_tight(self, work):
        """Whether the stream allows the shortest pauses of all seen."""
        if not work.gap_ms:
            return False
        self._gaps.add(work.gap_ms)
        least = TIGHT_GAP_RATIO * min(self._gaps)
        return work.gap_ms <= least < max(self._gaps)

    def _quiet_cost(self, state, work, quiet):
        """Return the cost of a server that serves the other sort of work."""
        if not quiet or not work.prompt_tokens:
            return 0.0
        is_quiet = state.engine.id in quiet
        if self._is_tight(work):
            return 0.0 if is_quiet else NOISY_COST
        if not is_quiet:
            return 0.0
        return QUIET_COST_PER_MS * work.prompt_tokens / self._rate

    def _quiet(self, states):
        """Return the ids of the servers left to tight streams."""
        if len(states) < QUIET_MIN_SERVERS or len(self._gaps) < 2:
            return frozenset()
        ids = sorted(
            (state.engine.id for state in states),
            key=lambda server_id: _affinity('quiet', server_id),
        )
        return frozenset(ids[: max(1, int(QUIET_PART * len(ids)))])

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
        cached = _expected_cached(state, work, now_ms, ranks)
        uncached = max(1, work.prompt_tokens - cached)
        reading_ms = uncached / self._rate
        backlog_ms = state.backlog(now_ms, self._rate) / self._rate
        cost = (backlog_ms + reading_ms) / max(1, work.target_ms)
        cost += READ_AGAIN_PER_TOKEN * max(0, _shared(work) - cached)
        cost += HARM_PER_MS * reading_ms * state.running(now_ms) / 10
        if work.prompt_tokens < LONG_PROMPT_TOKENS:
            cost += BUSY_WEIGHT * state.busy(now_ms, self._rate)
        return cost

    def _occupy(self, state, work, now_ms, place):
        uncached = work.prompt_tokens - state.cached(work.parts, now_ms)
        flight = SharedFlight(
            state.engine.id,
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


def _shared(work):
    """Return the prompt tokens that other requests may have in common.

    The last part belongs to the request alone.
    """
    return sum(size for _part, size in work.parts[:-1])


def _ranks(states, work, quiet):
    """Return ``{server id: place}`` in the part order of the prompt.

    The order belongs to the last part that other requests share. Servers
    left to tight streams come last for a long prompt.
    """
    if len(work.parts) < 2:
        return {}
    part = work.parts[-2][0]
    avoid = quiet if work.prompt_tokens >= LONG_PROMPT_TOKENS else frozenset()
    ids = sorted(
        (state.engine.id for state in states),
        key=lambda server_id: (
            server_id in avoid,
            _affinity(part, server_id),
        ),
    )
    return {server_id: place for place, server_id in enumerate(ids)}


def _expected_cached(state, work, now_ms, ranks):
    cached = state.cached(work.parts, now_ms)
    place = ranks.get(state.engine.id, len(RANK_CACHED))
    if place < len(RANK_CACHED):
        cached = max(cached, RANK_CACHED[place] * _shared(work))
    return cached


def _affinity(part, server_id):
    """Return the sort key of a server for a prompt part; lowest is first."""
    text = f'{part}/{server_id}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
