"""Which servers accept requests now, and when the next one will.

Servers that are leaving or in a quiet period are excluded; see
:mod:`paddle_router.policy._server_notices`. A server with a limit is used with
the permits of this gateway; see :mod:`paddle_router.policy._server_limits`.
So is one that may be cold (:mod:`paddle_router.policy._cold_rate`) or that has
just started or recovered (:mod:`paddle_router.policy._start_pace`).
If all servers of a service are leaving, those that still accept work are used
until they stop. Servers of an evacuated failure domain are not used at all,
also if no others are left.
"""

import attrs

from paddle_router.policy import _server_notices

# A list may show a server as leaving this much later than the platform knew:
# the sum of the lag of the list, its poll interval and two message exchanges.
MAX_LIST_AGE_MS = 2_500
# Servers whose quiet periods end within this time after the first one count as
# becoming available at the same time.
SIMULTANEOUS_MS = 100


@attrs.frozen
class NextAvailability:
    """When the next servers accept requests.

    ``servers`` is the number of servers that become available at ``at_ms``
    and ``slots`` the smallest number of slots of any of them. ``interval_ms``
    is the mean time between two requests if all servers have a limit or are
    brittle.
    """

    at_ms: int
    servers: int
    slots: int
    interval_ms: float | None = None

    def wait_ms(self, position, service_time_ms):
        """Return how long after ``at_ms`` a request is sent.

        ``position`` is its position in the queue, from 0, and
        ``service_time_ms`` the time of a response.
        """
        if self.interval_ms is not None:
            return int(position * self.interval_ms)
        return self.rounds_before(position) * service_time_ms

    def rounds_before(self, position):
        """Return the round trips until the request at ``position`` is sent.

        Positions start at 0. After its quiet period each server accepts one
        request at first and one more for each response (slow start), so that
        its window doubles with each round trip.
        """
        rounds, sent, window = 0, 0, 1
        while True:
            sent += self.servers * window
            if position < sent:
                return rounds
            rounds += 1
            window = min(2 * window, max(1, self.slots))


class Availability:
    """Classifies servers by their list entries and notices."""

    def __init__(self, notices, limits, cold, pace, brittle):
        self.notices = notices
        self.limits = limits
        self.cold = cold
        self.pace = pace
        self.brittle = brittle

    def is_leaving(self, state):
        """Whether the server is leaving by its list entry or a notice."""
        return state.engine.leaving or self.notices.is_leaving(
            state.incarnation
        )

    def usable(self, states, now_ms):
        """Return ``(states, is_last_resort)`` of servers to use now.

        ``is_last_resort`` is true if all servers are leaving and some of them
        still accept work. Replaced and evacuated servers are not counted.
        """
        present = [
            state
            for state in states
            if not state.is_replaced(now_ms) and not state.engine.evacuated
        ]
        not_leaving = [
            state for state in present if not self.is_leaving(state)
        ]
        accepting = [
            state for state in not_leaving if not self.is_quiet(state, now_ms)
        ]
        if accepting:
            return [
                state
                for state in accepting
                if (state.slow_start is None or state.slow_start.is_open)
                and self.has_permit(state.incarnation, now_ms)
            ], False
        leaving = [
            state
            for state in present
            if self._accepts_work_while_leaving(state, now_ms)
            and not self.is_quiet(state, now_ms)
            and self.has_permit(state.incarnation, now_ms)
        ]
        return leaving, bool(leaving) and not not_leaving

    def has_permit(self, server, now_ms):
        """Whether the limit and the rate of the start allow a request now."""
        if not self.limits.is_open(server, now_ms):
            return False
        # Permits of both are rarely valid at the same time, so a server that
        # may be cold has only those that bound its rate.
        if self.cold.is_cold(server, now_ms):
            return self.cold.is_open(server, now_ms)
        return self.pace.is_open(server, now_ms)

    def _next_start_permit_ms(self, server, now_ms):
        if self.cold.is_cold(server, now_ms):
            return self.cold.next_permit_ms(server, now_ms)
        return self.pace.next_permit_ms(server, now_ms)

    def next_availability(self, states, now_ms):
        """Return the :class:`NextAvailability` of ``states``.

        ``None`` if all of the servers are replaced, evacuated or leaving.
        """
        times = []
        intervals_ms = []
        for state in states:
            if state.is_replaced(now_ms) or self.is_leaving(state):
                continue
            if state.engine.evacuated:
                continue
            place_ms = self.brittle.next_place_ms(state, now_ms)
            if place_ms is None:
                continue
            until_ms = self.notices.quiet_until_ms(state.incarnation)
            at_ms = now_ms if until_ms is None else max(now_ms, until_ms)
            at_ms = max(
                at_ms,
                place_ms,
                self.limits.next_permit_ms(state.incarnation, now_ms),
                self._next_start_permit_ms(state.incarnation, now_ms),
            )
            times.append((at_ms, state.engine.slots))
            intervals_ms.append(self._interval_ms(state, now_ms))
        if not times:
            return None
        first_ms = min(at_ms for at_ms, _slots in times)
        simultaneous = [
            slots
            for at_ms, slots in times
            if at_ms <= first_ms + SIMULTANEOUS_MS
        ]
        interval_ms = None
        if None not in intervals_ms:
            interval_ms = 1 / sum(1 / item for item in intervals_ms)
        return NextAvailability(
            first_ms, len(simultaneous), min(simultaneous), interval_ms
        )

    def _interval_ms(self, state, now_ms):
        """Return the mean time between two permits, ``None`` if unlimited."""
        server = state.incarnation
        start_ms = self.cold.interval_ms(server, now_ms)
        if start_ms is None:
            start_ms = self.pace.interval_ms(server)
        limit_ms = self.limits.interval_ms(server)
        brittle_ms = self.brittle.interval_ms(state, now_ms)
        return max(
            (start_ms, limit_ms, brittle_ms), key=lambda item: item or 0
        )

    def is_quiet(self, state, now_ms):
        """Whether the server is in a quiet period.

        At the first call after a quiet period the slow start begins.
        """
        until_ms = self.notices.quiet_until_ms(state.incarnation)
        if until_ms is None:
            return False
        if now_ms < until_ms:
            return True
        if until_ms != state.last_quiet_end_ms:
            state.last_quiet_end_ms = until_ms
            state.slow_start = _server_notices.SlowStart(state.engine.slots)
        elif state.slow_start is not None and state.slow_start.is_over:
            state.slow_start = None
        return False

    def _accepts_work_while_leaving(self, state, now_ms):
        until_ms = self.notices.accepts_work_until_ms(state.incarnation)
        if until_ms is None and state.listed_leaving_since_ms is not None:
            until_ms = self.notices.drain_end_ms(
                state.listed_leaving_since_ms - MAX_LIST_AGE_MS
            )
        return until_ms is not None and now_ms < until_ms
