"""Which servers may be sent a request now, and when the next one may.

Servers that leave or want quiet are left out; see
:mod:`paddle_router.policy._server_notices`. If all of a service leave, those
that still take work serve it until they stop.
"""

import attrs

from paddle_router.policy import _server_notices

# A list shows a server that leaves up to this long after the platform knew
# it: the lag of the list, its reading, and two exchanges.
LIST_AGE_MS = 2_500
# Servers whose quiet times end within this time of the first one count as
# opening together.
TOGETHER_MS = 100


@attrs.frozen
class NextAvailability:
    """When servers may be asked again, how many, and the slots of each."""

    at_ms: int
    servers: int
    slots: int

    def rounds_before(self, position):
        """Return the round trips until the request at ``position`` is sent.

        Requests are numbered from 0. Each server takes one at first and one
        more for each that it has answered.
        """
        rounds, sent, window = 0, 0, 1
        while True:
            sent += self.servers * window
            if position < sent:
                return rounds
            rounds += 1
            window = min(2 * window, max(1, self.slots))


class Availability:
    """Judges the states of servers by what is known of them."""

    def __init__(self, notices):
        self.notices = notices

    def leaves(self, state):
        """Whether the server of ``state`` leaves, by any account."""
        return state.engine.leaving or self.notices.is_leaving(
            state.incarnation
        )

    def usable(self, states, now_ms):
        """Return ``(states, last resort)`` that may be sent a request now.

        ``last resort`` is set if all servers that are not gone leave.
        """
        present = [state for state in states if not state.is_gone(now_ms)]
        staying = [state for state in present if not self.leaves(state)]
        awake = [
            state for state in staying if not self.is_quiet(state, now_ms)
        ]
        if awake:
            return [
                state
                for state in awake
                if state.slow_start is None or state.slow_start.is_open
            ], False
        leaving = [
            state
            for state in present
            if self._still_takes_work(state, now_ms)
            and not self.is_quiet(state, now_ms)
        ]
        return leaving, bool(leaving) and not staying

    def next_availability(self, states, now_ms):
        """Return the :class:`NextAvailability`, ``None`` if unknown."""
        times = []
        for state in states:
            if state.is_gone(now_ms) or self.leaves(state):
                continue
            until_ms = self.notices.quiet_until_ms(state.incarnation)
            at_ms = now_ms if until_ms is None else max(now_ms, until_ms)
            times.append((at_ms, state.engine.slots))
        if not times:
            return None
        first_ms = min(at_ms for at_ms, _slots in times)
        together = [
            slots for at_ms, slots in times if at_ms <= first_ms + TOGETHER_MS
        ]
        return NextAvailability(first_ms, len(together), min(together))

    def is_quiet(self, state, now_ms):
        """Whether the server wants no request; begins its slow start."""
        until_ms = self.notices.quiet_until_ms(state.incarnation)
        if until_ms is None:
            return False
        if now_ms < until_ms:
            return True
        if until_ms != state.quiet_ended_ms:
            state.quiet_ended_ms = until_ms
            state.slow_start = _server_notices.SlowStart(state.engine.slots)
        elif state.slow_start is not None and state.slow_start.is_over:
            state.slow_start = None
        return False

    def _still_takes_work(self, state, now_ms):
        until_ms = self.notices.takes_work_until_ms(state.incarnation)
        if until_ms is None and state.listed_leaving_ms is not None:
            until_ms = self.notices.takes_work_after_ms(
                state.listed_leaving_ms - LIST_AGE_MS
            )
        return until_ms is not None and now_ms < until_ms
