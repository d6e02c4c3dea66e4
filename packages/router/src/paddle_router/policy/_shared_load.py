"""Balancer for servers that many gateways use at the same time.

Each gateway knows its own requests exactly and those of all other gateways as
sums that are a few hundred ms old. The cost of placing a request on a server
is the expected wait of the request plus the delay it causes to requests that
already run there:

* The prefill of a long prompt delays every running stream, so a long prompt
  goes where few streams run and where parts of it are probably in the prefix
  cache.
* A short prompt goes where little prefill work is done, since the prefill of
  each long prompt would interrupt its event stream.

This addresses a burst of long prompts beside short chats. With placement by
the number of requests alone, every server would constantly prefill long
prompts, and the chats would exceed the longest allowed pause between events.

With load control, costs also follow the measured pace of each server (see
:mod:`paddle_router.policy._pace`), and the servers are divided among the kinds
of streams as their demand asks (:mod:`paddle_router.policy._segments`).
"""

import copy
import functools
import statistics

import attrs

from paddle_router.policy import _availability
from paddle_router.policy import _brittle_servers
from paddle_router.policy import _cold_rate
from paddle_router.policy import _held_work
from paddle_router.policy import _hooks
from paddle_router.policy import _pace
from paddle_router.policy import _prefix_copies
from paddle_router.policy import _prompt_parts
from paddle_router.policy import _segments
from paddle_router.policy import _server_limits
from paddle_router.policy import _server_notices
from paddle_router.policy import _server_view
from paddle_router.policy import _shared_server
from paddle_router.policy import _start_pace
from paddle_router.policy import _turns

# Prefill rate assumed until responses allow an estimate; the lower of the
# rates specified for the two sites.
DEFAULT_PREFILL_RATE_TOKENS_PER_MS = 60.0
# Shorter prompts don't update the prefill rate: at 60 tokens per ms their
# time-to-first-token is mostly network and step time.
PREFILL_RATE_MIN_TOKENS = 3_000
# Weight of a new sample in the moving average; 20 long prompts in a burst move
# the rate by 90% of the difference.
PREFILL_RATE_GAIN = 0.1
# Samples are clamped to this range to bound the effect of an outlier.
PREFILL_RATE_RANGE_TOKENS_PER_MS = (5.0, 1_000.0)
# The weights and costs below share one unit: 1.0 is a time-to-first-token
# equal to its target.
# Cost of each running request.
RUNNING_WEIGHT = 0.005
# Cost of each ms by which the prefill delays ten running streams.
INTERFERENCE_COST_PER_MS = 0.0005
# Weight of the fraction of time that the server spends on prefill. Applies to
# short prompts, whose event streams prefill work would interrupt.
PREFILL_TIME_WEIGHT = 1.5
# Requests beyond the slots wait until another request has finished.
OVERFLOW_WEIGHT = 3.0
# Usual duration of a stream. A request beyond the slots waits for its part of
# it.
STREAM_MS = 1_500
# Costs are multiplied by a random number from 1 to 1 more than this. Between
# two exchanges all gateways see the same sums, and the cheapest server would
# get all requests of some hundred ms.
COST_SPREAD = 1.0
# Weight of the squared failure ratio; a ratio of one half outweighs any load.
FAILURE_WEIGHT = 20.0
# Slight preference for the gateway's own failure domain, where traffic is
# free of charge.
REMOTE_DOMAIN_COST = 0.005
# Choose at random among servers whose cost is within this margin of the
# lowest, so that gateways with the same outdated sums don't all choose the
# same server.
TIE_MARGIN = 0.01
# If another server answers at a listed address, the listed one no longer
# exists. The list still names it for some seconds, longer while the platform
# is slow.
REPLACED_EXCLUSION_MS = 5_000
# Cost of each shared prompt token that must be prefilled again. By the prices
# of the users' platform, 5,400 of them cost about half the value of a long
# request.
CACHE_MISS_COST_PER_TOKEN = 0.6 / 5_400
# Fraction of the servers reserved for the streams with the shortest allowed
# pause: three long prompts in prefill at the same time already pause a stream
# for 300 ms. All gateways choose the same servers.
RESERVED_RATIO = 0.35
RESERVED_MIN_SERVERS = 3
# Part of the hash that selects the reserved servers. It must not change, since
# gateways of different versions must select the same servers.
RESERVED_SALT = 'quiet'
# Hashes kept for the servers of all services; a new server is a new one.
RESERVED_KEYS = 4_096
# Cost of each ms of other prefill work on a reserved server.
RESERVED_PREFILL_COST_PER_MS = 0.005
# Cost of placing such a stream on an unreserved server. In a burst nearly all
# of them would be late there.
UNRESERVED_COST = 0.5
# Allowed pauses up to this multiple of the shortest one count as shortest.
SHORTEST_GAP_RATIO = 1.2
# Cost of a pause as long as the longest allowed one, or of a response time
# equal to the target.
PACE_WEIGHT = 1.0
# Cost of prefill work that lasts as long as the allowed pause of the streams
# for which the server is: such a pause makes all of those late.
CAUSED_PAUSE_COST = 3.0
# A server takes longer than the median one by more than the first ratio when
# it becomes known as slow, and by less than the second when it no longer is.
# Slow servers are reserved last, since an event that takes several steps there
# uses up most of a short pause.
LASTING_SLOW_RATIOS = (1.3, 1.15)
# The cost of a server whose pace is more than this many times the median is
# multiplied by its ratio to the median. The added cost keeps requests off such
# a server while it is idle.
SLOW_RATIO = 3.0
SLOW_COST = 0.5
# Share of failures from which a server is started again when it recovers.
RECOVERY_FAILURE_RATIO = 0.5
# Asks for servers with room for any work.
NO_WORK = _shared_server.EngineWork()


@attrs.frozen(kw_only=True)
class Explanation:
    """Where a request would go, as one gateway sees it.

    ``views`` are the :class:`ServerView` of all listed servers, ``costs`` has
    the cost of each usable one by id (1.0 is a time-to-first-token equal to
    its target). One of the ``candidates`` is chosen at random; there are none
    if no server is usable.
    """

    views: tuple
    costs: dict
    candidates: tuple[str, ...]


@attrs.frozen
class _Weighed:
    costs: list
    near_lowest: list
    chosen: _shared_server.ServerState
    affinity_rank: int | None


@_hooks.balancers.register('shared_load')
class SharedLoadBalancer:
    """Choose servers by the expected wait and the delay of running requests.

    One object serves one service. ``notices`` holds the leaving and quiet
    notices of the servers, ``limits`` the limits that they name,
    ``placements`` where shared prompt parts were sent and ``turns`` the turns
    of this gateway; all services of a gateway share them. ``is_last_resort``
    is true while all servers are leaving. With ``load_control``, which may be
    set later, costs follow the pace of each server and the parts of the
    servers for each kind of stream follow the demand.
    """

    def __init__(
        self,
        *,
        rng,
        failure_domain='',
        notices=None,
        limits=None,
        placements=None,
        load_control=False,
        turns=None,
        cold_overage=1.0,
        cold_slack=0.0,
    ):
        self._rng = rng
        self._failure_domain = failure_domain
        self._notices = notices or _server_notices.ServerNotices()
        self._limits = limits or _server_limits.ServerLimits()
        self._placements = placements or _prefix_copies.PartPlacements()
        self.held_work = _held_work.HeldWork()
        self._turns = turns or _turns.GatewayTurns()
        self._cold = _cold_rate.ColdRate(
            self._turns, overage=cold_overage, slack=cold_slack
        )
        self._start_pace = _start_pace.StartPace(self._turns)
        self._brittle = _brittle_servers.BrittlePlaces(self._limits)
        self._availability = _availability.Availability(
            self._notices,
            self._limits,
            self._cold,
            self._start_pace,
            self._brittle,
        )
        self._has_list = False
        self._states = {}
        self.is_last_resort = False
        self._prefill_rate = DEFAULT_PREFILL_RATE_TOKENS_PER_MS
        self._is_prefill_rate_measured = False
        self._gaps_ms = set()
        self.load_control = load_control
        self._segments = _segments.Segments()

    def configure_starts(
        self, *, has_pace, cold_rate_per_s=0.0, cold_start_ms=0
    ):
        """Set how servers that start, recover or are cold are used.

        With ``has_pace`` their load grows with their answers. All gateways
        together keep to ``cold_rate_per_s`` at a server that is cold, for
        ``cold_start_ms`` after its start; 0 for no bound.
        """
        self._start_pace.is_enabled = has_pace
        self._cold.configure(cold_rate_per_s, cold_start_ms)

    def sync(self, engines, now_ms):
        """Replace the list of servers; drop the state of unlisted ones."""
        listed = {engine.id: engine for engine in engines}
        for server_id in set(self._states) - set(listed):
            del self._states[server_id]
        for server_id, engine in listed.items():
            state = self._states.get(server_id)
            if state is None or state.engine.born_ms != engine.born_ms:
                state = _shared_server.ServerState(engine)
                self._states[server_id] = state
                # A gateway that has just started does not know how long the
                # servers of its first list have been running.
                has_started = self._has_list
            else:
                has_started = False
            if has_started or self._turns_cold(state, engine, now_ms):
                self._begin_pace(engine, now_ms)
            if state.engine.evacuated and not engine.evacuated:
                # It may have become cold, which the list shows later.
                self._cold.mark_suspected(state.incarnation, now_ms)
            state.engine = engine
            if not engine.leaving:
                state.listed_leaving_since_ms = None
            elif state.listed_leaving_since_ms is None:
                state.listed_leaving_since_ms = now_ms
        self._has_list = True
        self._brittle.set_servers(
            [
                (state.incarnation, state.engine.slots)
                for state in self._states.values()
                if not state.engine.evacuated
            ],
            now_ms,
        )
        self._start_pace.retain(
            state.incarnation for state in self._states.values()
        )
        self._cold.set_servers(
            {
                state.incarnation: state.engine.cold_until_ms
                for state in self._states.values()
            },
            now_ms,
        )

    def set_other_loads(self, loads, now_ms):
        """Set the load by other gateways, ``{server id: SharedLoad}``."""
        for server_id, state in self._states.items():
            known = state.others
            state.others = loads.get(server_id, _shared_server.SharedLoad())
            state.others_received_ms = now_ms
            if state.others.failures - known.failures > max(
                0, state.others.rejections - known.rejections
            ):
                self._record_failure(state, now_ms)
        self._update_paces(now_ms)
        self._update_response_time(now_ms)

    def report(self, engine_id, report, now_ms):
        """Record a load report of a server."""
        state = self._states.get(engine_id)
        if state is not None:
            state.reported = report
            state.reported_ms = now_ms
            state.flights_at_report = len(state.flights)
            if report.pace_percent is not None:
                state.record_told(report.pace_percent, now_ms)

    def choose(self, work, now_ms):
        """Place ``work`` on the cheapest server.

        Return a :class:`SharedFlight`, ``None`` if no server is usable.
        """
        weighed = self._weigh(work, now_ms)
        if weighed is None:
            return None
        flight = self._occupy(
            weighed.chosen, work, now_ms, weighed.affinity_rank
        )
        self._plan_copy(flight, work, now_ms)
        return flight

    def explain(self, work, now_ms):
        """Return the :class:`Explanation` of where ``work`` would go now.

        Works on a copy: choosing also records what it has seen. The time for
        that grows with the servers and the requests in flight.
        """
        # Up to thousands of placements, which weighing does not use.
        copied = copy.deepcopy(self, {id(self._placements): self._placements})
        weighed = copied._weigh(work, now_ms)
        return Explanation(
            views=copied.views(now_ms),
            costs={state.engine.id: cost for cost, state in weighed.costs}
            if weighed
            else {},
            candidates=tuple(
                sorted(state.engine.id for state in weighed.near_lowest)
            )
            if weighed
            else (),
        )

    def _weigh(self, work, now_ms):
        """Return the :class:`_Weighed` servers, ``None`` if none is usable."""
        states, self.is_last_resort = self._availability.usable(
            self._states_except(work.avoid), now_ms
        )
        states = self.held_work.with_room(states, work, now_ms)
        ready = [state for state in states if state.hold_until_ms <= now_ms]
        states = self._brittle.with_place(ready or states, now_ms)
        if not states:
            return None
        # A slow pace or idle slots say little about a server that starts; its
        # permits bound what a wrong choice costs.
        states = self._starting(states, now_ms) or states
        self._has_shortest_gap(work)
        forecasts = self._update_forecasts(now_ms)
        if self.load_control:
            reserved_gaps = self._reserved_gaps(states, now_ms)
            reserved_ids = self._ids_of_others(reserved_gaps, work)
        else:
            reserved_gaps = {}
            reserved_ids = self._reserved_ids(states)
        ranks = _prompt_parts.server_ranks(states, work, reserved_ids)
        median_pace_ms = self._median_pace_ms(now_ms)
        costs = [
            (
                self._cost(
                    state,
                    work,
                    now_ms,
                    ranks,
                    median_pace_ms,
                    forecasts.get(state.engine.id, _pace.USUAL).ratio,
                )
                + (
                    self._segment_cost(state, work, reserved_gaps, forecasts)
                    if self.load_control
                    else self._reservation_cost(state, work, reserved_ids)
                ),
                state,
            )
            for state in states
        ]
        if self.load_control:
            costs = [
                (cost * (1.0 + COST_SPREAD * self._rng.random()), state)
                for cost, state in costs
            ]
        lowest_cost = min(cost for cost, _state in costs)
        near_lowest = [
            state for cost, state in costs if cost <= lowest_cost + TIE_MARGIN
        ]
        chosen = self._rng.choice(near_lowest)
        return _Weighed(
            costs, near_lowest, chosen, ranks.get(chosen.engine.id)
        )

    def place(self, server_id, work, now_ms):
        """Place ``work`` on a given server; return a :class:`SharedFlight`.

        Used to continue a run whose state is held by that server. ``None`` if
        the server is not listed, evacuated or in a quiet period.
        """
        state = self._states.get(server_id)
        if state is None or state.engine.evacuated:
            return None
        if self._availability.is_quiet(state, now_ms):
            return None
        if not self._cold.is_open(state.incarnation, now_ms):
            return None
        return self._occupy(
            state, attrs.evolve(work, prompt_tokens=0), now_ms, None
        )

    def views(self, now_ms):
        """Return the :class:`ServerView` of every listed server."""
        usable, _last = self._availability.usable(
            self._states.values(), now_ms
        )
        usable = self.held_work.with_room(usable, NO_WORK, now_ms)
        usable_ids = {state.engine.id for state in usable}
        return tuple(
            self._view(state, state.engine.id in usable_ids, now_ms)
            for state in self._states.values()
        )

    def _view(self, state, is_usable, now_ms):
        report = state.reported
        return _server_view.ServerView(
            server=state.incarnation,
            failure_domain=state.engine.failure_domain,
            slots=max(1, state.engine.slots),
            own=len(state.flights),
            running=state.running(now_ms),
            report=report,
            report_age_ms=None
            if report is None
            else now_ms - state.reported_ms,
            pace_ms=state.pace_ms(now_ms),
            told_pace=state.told_pace(now_ms),
            allowance=self._allowance(state, now_ms),
            is_excluded=not is_usable,
            reason=self._reason(state, is_usable, now_ms),
        )

    def _allowance(self, state, now_ms):
        server = state.incarnation
        if self._start_phase(state, now_ms):
            return int(self._availability.has_permit(server, now_ms))
        return None

    def _reason(self, state, is_usable, now_ms):
        if state.engine.evacuated:
            return 'evacuated'
        phase = self._start_phase(state, now_ms)
        return phase or ('' if is_usable else 'not available')

    def _start_phase(self, state, now_ms):
        if self._cold.is_cold(state.incarnation, now_ms):
            return _server_view.ServerView.COLD
        if self._start_pace.is_limited(state.incarnation):
            return _server_view.ServerView.STARTING
        return ''

    def forecasts(self, now_ms):
        """Return ``{server id: PaceForecast}`` of the listed servers."""
        return _pace.forecasts(
            {
                server_id: state.pace_evidence(now_ms, self._prefill_rate)
                for server_id, state in self._states.items()
            }
        )

    def _update_forecasts(self, now_ms):
        """Return the forecasts and note which servers are slow.

        Empty without load control.
        """
        if not self.load_control:
            return {}
        forecasts = self.forecasts(now_ms)
        for server_id, forecast in forecasts.items():
            state = self._states[server_id]
            state.record_speed(forecast.ratio, now_ms)
            limit = LASTING_SLOW_RATIOS[state.is_slow]
            state.is_slow = state.lasting_speed > limit
        return forecasts

    def can_place(self, avoid, now_ms, work=NO_WORK):
        """Return whether a server not in ``avoid`` accepts ``work`` now."""
        states, _last = self._availability.usable(
            self._states_except(avoid), now_ms
        )
        states = self.held_work.with_room(states, work, now_ms)
        return bool(self._brittle.with_place(states, now_ms))

    def record_crash(self, held_bytes, now_ms):
        """Record that a server crashed; see :meth:`HeldWork.record_crash`."""
        return self.held_work.record_crash(held_bytes, now_ms)

    def held_bytes(self, server_id):
        """Return the bytes of bodies in progress at a server."""
        state = self._states.get(server_id)
        return 0 if state is None else self.held_work.held_bytes(state)

    def next_availability(self, avoid, now_ms):
        """Return the :class:`NextAvailability` of servers not in ``avoid``.

        ``None`` if none of them is expected to accept a request.
        """
        return self._availability.next_availability(
            self._states_except(avoid), now_ms
        )

    def median_response_ms(self, now_ms):
        """Return the median pace of the servers in ms, ``None`` if unknown.

        For plain calls the pace is the response time.
        """
        return self._median_pace_ms(now_ms)

    def observe(self, flight, now_ms, tokens):
        """Record a response event; the first one marks the run as started."""
        state = self._state_of(flight)
        if not flight.started:
            flight.started = True
            self._record_begun(flight, state, now_ms)
            self._update_prefill_rate(flight, now_ms)
            if state is not None:
                self._record_placement(flight, now_ms)
            _end_slow_start(flight, is_accepted=True)
        elif state is not None:
            state.window.add(now_ms, paced=1, pace_ms=now_ms - flight.last_ms)
            self._cold.record_answer(state.incarnation, now_ms)
        flight.last_ms = now_ms
        flight.events = tokens

    def finish(self, flight, now_ms, ok):
        """Record the end of a request; ``ok`` is false on server faults."""
        _end_slow_start(flight, is_accepted=ok)
        state = self._state_of(flight)
        if state is None:
            return
        state.flights.discard(flight)
        if not ok:
            state.window.add(now_ms, failures=1)
            if not flight.is_rejected:
                self._record_failure(state, now_ms)
                self._brittle.record_lost(state.incarnation, now_ms)
            return
        state.backoff_ms = _shared_server.BACKOFF_MIN_MS
        if not flight.started:
            self._record_begun(flight, state, now_ms)
        # Counted together, so that the sums contain both or none of them.
        state.window.add(now_ms, answers=1, in_time=int(flight.is_in_time))
        if not flight.work.gap_ms:
            state.window.add(now_ms, paced=1, pace_ms=now_ms - flight.sent_ms)

    def mark_replaced(self, flight, now_ms):
        """Exclude the server of ``flight``; another one has its address."""
        state = self._state_of(flight)
        if state is not None:
            state.excluded_until_ms = now_ms + REPLACED_EXCLUSION_MS

    def may_send(self, flight, now_ms):
        """Return whether the request of ``flight`` may be written now.

        The answer holds for this moment only. A server that has become cold
        since the request was placed needs a permit now.
        """
        state = self._state_of(flight)
        if self._cold.is_bounded:
            if state is None:
                # It may have been replaced by another incarnation.
                return False
            if self._cold.is_cold(state.incarnation, now_ms):
                if flight.permit is None:
                    flight.permit = self._cold.take(state.incarnation, now_ms)
                if flight.permit is None or flight.permit.until_ms < now_ms:
                    return False
        flight.is_sent = True
        return True

    def take_cold_permit(self, server_id, now_ms):
        """Return whether a call that is no request may be sent to a server.

        If the server may be cold, this uses a permit.
        """
        state = self._states.get(server_id)
        return (
            state is None
            or not self._cold.is_cold(state.incarnation, now_ms)
            or self._cold.take(state.incarnation, now_ms) is not None
        )

    def record_rejection(self, flight, now_ms):
        """Record an answer that did not run the request of ``flight``."""
        flight.is_rejected = True
        state = self._state_of(flight)
        if state is not None:
            state.window.add(now_ms, rejections=1)
            self._brittle.record_rejection(state.incarnation, now_ms)

    def record_abandoned(self, flight, now_ms):
        """Record that the caller has left; the server may still run it."""
        state = self._state_of(flight)
        if state is not None:
            self._brittle.record_lost(state.incarnation, now_ms)

    def start_phases(self, now_ms):
        """Return ``{server id: reason}`` of servers that are cold or start."""
        return {
            server_id: phase
            for server_id, state in self._states.items()
            if (phase := self._start_phase(state, now_ms))
        }

    def cancel(self, flight):
        """Drop a placed request that was not sent."""
        self._give_back_permit(flight)
        _end_slow_start(flight, is_accepted=False)
        state = self._state_of(flight)
        if state is not None:
            state.flights.discard(flight)

    def back_off(self, flight, now_ms):
        """Start a backoff for the server of ``flight`` after a failure.

        Called if the server could not be reached.
        """
        _end_slow_start(flight, is_accepted=False)
        self._give_back_permit(flight)
        state = self._state_of(flight)
        if state is None:
            return
        if self._cold.is_bounded:
            # The others hear of it by the sums.
            state.window.add(now_ms, failures=1)
        self._record_failure(state, now_ms)
        state.flights.discard(flight)
        state.hold_until_ms = now_ms + state.backoff_ms
        state.backoff_ms = min(
            _shared_server.BACKOFF_MAX_MS, 2 * state.backoff_ms
        )

    def server_rate(self):
        """Return the estimated prefill rate of a server in tokens per s.

        0 until a response to a long prompt allowed an estimate.
        """
        return (
            int(self._prefill_rate * 1_000)
            if self._is_prefill_rate_measured
            else 0
        )

    def own_loads(self, now_ms):
        """Return this gateway's load as ``{server id: SharedLoad}``."""
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
                told_count=state.told_window.get(now_ms, 'count'),
                told_percent=state.told_window.get(now_ms, 'percent'),
                rejections=window.get(now_ms, 'rejections'),
                in_time=window.get(now_ms, 'in_time'),
            )
            if load != _shared_server.SharedLoad():
                loads[server_id] = load
        return loads

    def dump(self, now_ms):
        """Return the state as plain data."""
        forecasts = self.forecasts(now_ms)
        return {
            server_id: {
                'flights': len(state.flights),
                'others': attrs.asdict(state.others),
                'hold_until_ms': state.hold_until_ms,
                'measured_ms': state.pace_ms(now_ms),
                'told': state.told_pace(now_ms),
                'forecast': forecasts[server_id].ratio,
                'is_slow': state.is_slow,
                'cold_until_ms': self._cold.until_ms(state.incarnation),
                'start_per_s': self._start_pace.rate_per_s(state.incarnation),
            }
            for server_id, state in self._states.items()
        }

    def brittle_state(self, now_ms):
        """Return the places at brittle servers as plain data."""
        return self._brittle.dump(now_ms)

    def segments(self):
        """Return ``{allowed pause in ms: end of its part of the servers}``."""
        return self._segments.ends()

    def _states_except(self, avoid):
        return [
            state
            for server_id, state in self._states.items()
            if server_id not in avoid
        ]

    def _plan_copy(self, flight, work, now_ms):
        """Choose the server from which shared prompt parts are copied."""
        part = _prefix_copies.shared_part(work)
        if part is None:
            return
        synchronized_ms = now_ms + self._limits.wall_offset_ms
        placement = self._placements.find(part, synchronized_ms)
        if placement is None or placement.server == flight.server_id:
            return
        source = self._states.get(placement.server)
        if (
            source is not None
            # A server that has started since then has nothing cached.
            and source.engine.born_ms <= placement.sent_ms
            and source.hold_until_ms <= now_ms
            and not source.is_replaced(now_ms)
        ):
            flight.copy_from_id = source.engine.id

    def _record_placement(self, flight, now_ms):
        """Record that the server of ``flight`` has prefilled its prompt."""
        part = _prefix_copies.shared_part(flight.work)
        if part is None:
            return
        synchronized_ms = now_ms + self._limits.wall_offset_ms
        placement = _prefix_copies.PartPlacement(
            part=part, server=flight.server_id, sent_ms=synchronized_ms
        )
        self._placements.add((placement,), synchronized_ms)

    def _state_of(self, flight):
        """Return the state of the incarnation that ``flight`` was sent to.

        ``None`` if that incarnation is no longer listed.
        """
        state = self._states.get(flight.server_id)
        if state is None or state.engine.born_ms != flight.born_ms:
            return None
        return state

    def _has_shortest_gap(self, work):
        """Record the allowed pause; return whether it is among the shortest.

        ``False`` for plain calls and while all pauses are about equal.
        """
        if not work.gap_ms:
            return False
        self._gaps_ms.add(work.gap_ms)
        limit_ms = SHORTEST_GAP_RATIO * min(self._gaps_ms)
        return work.gap_ms <= limit_ms < max(self._gaps_ms)

    def _reservation_cost(self, state, work, reserved_ids):
        """Return the extra cost for work on the wrong side of the reservation.

        That is a stream with the shortest allowed pause on an unreserved
        server, or other work on a reserved one.
        """
        if not reserved_ids or not work.prompt_tokens:
            return 0.0
        is_reserved = state.engine.id in reserved_ids
        if self._has_shortest_gap(work):
            return 0.0 if is_reserved else UNRESERVED_COST
        if not is_reserved:
            return 0.0
        return (
            RESERVED_PREFILL_COST_PER_MS
            * work.prompt_tokens
            / self._prefill_rate
        )

    def _reserved_ids(self, states):
        """Return the ids of servers reserved for the shortest pauses."""
        if len(states) < RESERVED_MIN_SERVERS or len(self._gaps_ms) < 2:
            return frozenset()
        ids = sorted(
            (state.engine.id for state in states),
            key=_reserved_key,
        )
        return frozenset(ids[: max(1, int(RESERVED_RATIO * len(ids)))])

    def _reserved_gaps(self, states, now_ms):
        """Return ``{server id: allowed pause of the kind it is for}``."""
        gaps_ms = [
            flight.work.gap_ms
            for state in self._states.values()
            for flight in state.flights
            if flight.work.gap_ms
        ]
        self._segments.update(
            gaps_ms,
            _segments.Capacity(
                count=len(states),
                slots=sum(max(1, state.engine.slots) for state in states),
                running=sum(state.latest_running(now_ms) for state in states),
            ),
            now_ms,
        )
        ordered = sorted(
            states,
            key=lambda state: (
                state.is_slow,
                _reserved_key(state.engine.id),
            ),
        )
        return {
            state.engine.id: self._segments.gap_of(
                (index + 0.5) / len(ordered)
            )
            for index, state in enumerate(ordered)
        }

    def _ids_of_others(self, reserved_gaps, work):
        """Return the ids of servers that are for another kind of stream."""
        kind = self._segments.kind_of(work.gap_ms)
        return frozenset(
            server_id
            for server_id, gap_ms in reserved_gaps.items()
            if gap_ms != kind
        )

    def _segment_cost(self, state, work, reserved_gaps, forecasts):
        """Return the extra cost on a server that is for another kind.

        Work with a longer allowed pause delays the streams for which the
        server is; work with a shorter one is delayed there.
        """
        gap_ms = reserved_gaps.get(state.engine.id)
        kind = self._segments.kind_of(work.gap_ms)
        if not gap_ms or not work.prompt_tokens or gap_ms == kind:
            return 0.0
        if kind < gap_ms:
            return UNRESERVED_COST
        prefill_ms = (
            forecasts[state.engine.id].ratio
            * work.prompt_tokens
            / self._prefill_rate
        )
        return CAUSED_PAUSE_COST * prefill_ms / gap_ms

    def _cost(self, state, work, now_ms, ranks, median_pace_ms, ratio):
        slots = max(1, state.engine.slots)
        running = (
            state.latest_running(now_ms)
            if self.load_control
            else state.running(now_ms)
        )
        cost = RUNNING_WEIGHT * running
        if running >= slots:
            weight = OVERFLOW_WEIGHT
            if self.load_control and work.gap_ms:
                weight = ratio * STREAM_MS / max(1, work.target_ms)
            cost += weight * (1 + running - slots) / slots
        cost += FAILURE_WEIGHT * state.failure_ratio(now_ms) ** 2
        if state.engine.failure_domain != self._failure_domain:
            cost += REMOTE_DOMAIN_COST
        if work.prompt_tokens:
            cost += self._prefill_cost(state, work, now_ms, ranks, ratio)
        else:
            cost += ratio * running / slots
        if self.load_control:
            return cost + self._pace_cost(state, work, median_pace_ms, ratio)
        pace_ms = state.pace_ms(now_ms)
        if (
            pace_ms
            and median_pace_ms
            and pace_ms > SLOW_RATIO * median_pace_ms
        ):
            cost = (cost + SLOW_COST) * pace_ms / median_pace_ms
        return cost

    def _pace_cost(self, state, work, median_pace_ms, ratio):
        """Return the cost of the server's own pace.

        Relative to the longest allowed pause for a stream and to the latency
        target for a plain call.
        """
        if not median_pace_ms:
            return 0.0
        limit_ms = work.gap_ms or work.target_ms
        cost = PACE_WEIGHT * ratio * median_pace_ms / max(1, limit_ms)
        return cost + SLOW_COST * ratio if ratio > SLOW_RATIO else cost

    def _prefill_cost(self, state, work, now_ms, ranks, ratio):
        cached_tokens = _prompt_parts.expected_cached_tokens(
            state, work, now_ms, ranks
        )
        uncached = max(1, work.prompt_tokens - cached_tokens)
        prefill_ms = ratio * uncached / self._prefill_rate
        backlog_ms = (
            ratio
            * state.backlog_tokens(now_ms, self._prefill_rate)
            / self._prefill_rate
        )
        cost = (backlog_ms + prefill_ms) / max(1, work.target_ms)
        cost += CACHE_MISS_COST_PER_TOKEN * max(
            0, _prompt_parts.shared_tokens(work) - cached_tokens
        )
        cost += (
            INTERFERENCE_COST_PER_MS * prefill_ms * state.running(now_ms) / 10
        )
        if work.prompt_tokens < _prompt_parts.LONG_PROMPT_TOKENS:
            cost += (
                PREFILL_TIME_WEIGHT
                * ratio
                * state.prefill_time_ratio(now_ms, self._prefill_rate)
            )
        return cost

    def _occupy(self, state, work, now_ms, affinity_rank):
        uncached = work.prompt_tokens - state.cached_tokens(work.parts, now_ms)
        flight = _shared_server.SharedFlight(
            state.engine.id,
            state.engine.born_ms,
            work,
            now_ms,
            max(0, uncached),
            state.backlog_tokens(now_ms, self._prefill_rate),
            now_ms,
            affinity_rank,
        )
        self._limits.use_permit(state.incarnation, now_ms)
        self._start_pace.use_permit(state.incarnation, now_ms)
        if self._cold.is_cold(state.incarnation, now_ms):
            flight.permit = self._cold.take(state.incarnation, now_ms)
        state.record_parts(work.parts, now_ms)
        state.window.add(now_ms, tokens=flight.uncached)
        state.flights.add(flight)
        if self.load_control and work.gap_ms:
            self._segments.record(
                work.gap_ms, flight.uncached / self._prefill_rate
            )
        if state.slow_start is not None:
            flight.slow_start = state.slow_start
            state.slow_start.record_sent()
        return flight

    def _turns_cold(self, state, engine, now_ms):
        """Whether the list shows now that a server is cold or cold again."""
        wall_ms = self._turns.wall_ms(now_ms)
        return engine.cold_until_ms > wall_ms and (
            not self._has_list
            or state.engine.cold_until_ms != engine.cold_until_ms
        )

    def _starting(self, states, now_ms):
        """Return the servers that start and are due to get a request.

        Those are less loaded than most of ``states`` and did not just fail.
        """
        if not self._start_pace.limited_count():
            return []
        median = statistics.median_low(
            state.running(now_ms) / max(1, state.engine.slots)
            for state in states
        )
        return [
            state
            for state in states
            if self._start_pace.is_limited(state.incarnation)
            and state.running(now_ms) / max(1, state.engine.slots) <= median
            and state.is_probe_due(now_ms)
        ]

    def _begin_pace(self, engine, now_ms):
        server = _server_notices.Incarnation(engine.id, engine.born_ms)
        state = self._states[engine.id]
        answers = self._answers(state, now_ms, None)
        self._start_pace.begin(server, now_ms, answers)

    def _record_failure(self, state, now_ms):
        """Record that a server failed a request here or elsewhere."""
        state.record_failure(now_ms)
        self._cold.mark_suspected(state.incarnation, now_ms)
        if state.failure_ratio(now_ms) >= RECOVERY_FAILURE_RATIO:
            self._begin_pace(state.engine, now_ms)

    def _record_begun(self, flight, state, now_ms):
        """Record that the answer to ``flight`` has begun."""
        if state is None:
            return
        self._cold.record_answer(state.incarnation, now_ms)
        flight.is_in_time = now_ms - flight.sent_ms <= flight.work.target_ms

    def _update_paces(self, now_ms):
        if not self._start_pace.limited_count():
            return
        median_ms = self._median_pace_ms(now_ms)
        for state in self._states.values():
            server = state.incarnation
            if self._start_pace.has_begun(server):
                self._start_pace.update(
                    server, self._answers(state, now_ms, median_ms), now_ms
                )

    def _answers(self, state, now_ms, median_ms):
        """Return the :class:`Answers` of a server to all gateways."""
        others = state.fresh_others(now_ms)
        pace_ms = state.pace_ms(now_ms)
        return _start_pace.Answers(
            answers=state.window.get(now_ms, 'answers') + others.answers,
            in_time=state.window.get(now_ms, 'in_time') + others.in_time,
            rejections=state.window.get(now_ms, 'rejections')
            + others.rejections,
            pace_ratio=pace_ms / median_ms if pace_ms and median_ms else None,
        )

    def _give_back_permit(self, flight):
        if flight.permit is not None and not flight.is_sent:
            self._cold.give_back(flight.permit)
            flight.permit = None

    def _update_prefill_rate(self, flight, now_ms):
        if flight.copy_from_id is not None:
            # A part of the prompt was copied, which is faster.
            return
        tokens = flight.uncached + flight.backlog_tokens
        passed_ms = now_ms - flight.sent_ms
        if flight.uncached < PREFILL_RATE_MIN_TOKENS or passed_ms <= 0:
            return
        sample = min(
            max(tokens / passed_ms, PREFILL_RATE_RANGE_TOKENS_PER_MS[0]),
            PREFILL_RATE_RANGE_TOKENS_PER_MS[1],
        )
        self._is_prefill_rate_measured = True
        self._prefill_rate += PREFILL_RATE_GAIN * (sample - self._prefill_rate)

    def _update_response_time(self, now_ms):
        """Pass the time of a response to the places at brittle servers."""
        if self._gaps_ms:
            response_ms = _brittle_servers.STREAM_MS
        else:
            response_ms = int(
                self._median_pace_ms(now_ms, min_servers=1)
                or _brittle_servers.DEFAULT_RESPONSE_MS
            )
        self._brittle.response_ms = max(1, response_ms)

    def _median_pace_ms(self, now_ms, min_servers=2):
        """Return the median pace, ``None`` if fewer servers have one."""
        paces_ms = [state.pace_ms(now_ms) for state in self._states.values()]
        paces_ms = [pace_ms for pace_ms in paces_ms if pace_ms]
        if len(paces_ms) < min_servers:
            return None
        return statistics.median_low(paces_ms)


@functools.lru_cache(maxsize=RESERVED_KEYS)
def _reserved_key(server_id):
    return _prompt_parts.affinity_key(RESERVED_SALT, server_id)


def _end_slow_start(flight, *, is_accepted):
    """Record the outcome of a request sent during a slow start."""
    slow_start, flight.slow_start = flight.slow_start, None
    if slow_start is None:
        return
    if is_accepted:
        slow_start.record_started()
    else:
        slow_start.record_lost()
