"""Comparison of the controllers' clocks.

A controller reads the time of day once, when it starts. If the clock of its
machine is wrong at that moment, the windows of usage that it seals are
shifted, so it corrects itself by the time that most controllers have.
"""

import statistics

import paddle_kernel
from paddle_router.controller import _events
from paddle_router import gateway

COMPARE_MS = 2_000
# Until the first comparison, which should come before any duty.
FIRST_COMPARE_MS = 250
CALL_TIMEOUT_MS = 400
# Differences below this come from the way of the messages.
TOLERANCE_MS = 200
# With fewer times nobody can tell which clock is wrong.
FEWEST_TIMES = 3


class ClockComparison:
    """Corrects ``wall`` by the median of all controllers' times.

    ``members()`` returns the addresses of all controllers, ``own`` is the
    address of this one.
    """

    def __init__(self, clock, wall, transport, *, members, own):
        self._clock = clock
        self._wall = wall
        self._transport = transport
        self._members = members
        self._own = own
        self._due_ms = 0

    def step(self):
        """Compare once if it is time to."""
        if self._clock.now_ms() < self._due_ms:
            return
        found = self._differences()
        if len(found) + 1 < FEWEST_TIMES:
            self._due_ms = self._clock.now_ms() + FIRST_COMPARE_MS
            return
        self._due_ms = self._clock.now_ms() + COMPARE_MS
        off_ms = round(statistics.median([0, *found]))
        if abs(off_ms) > TOLERANCE_MS:
            self._wall.agree(self._wall.now_ms() + off_ms, TOLERANCE_MS)
            paddle_kernel.emit(
                _events.CLOCK_CORRECTED, off_ms=off_ms, times=len(found)
            )

    def _differences(self):
        """Return how far the times of others are ahead, in ms."""
        message = gateway.SyncRequest(
            reports=(), version=0, listing='', attached=False
        )
        calls = {
            address: message
            for address in self._members()
            if address != self._own
        }
        began_ms = self._wall.now_ms()
        found = []
        for _address, result in paddle_kernel.broadcast(
            self._transport, calls, CALL_TIMEOUT_MS
        ):
            reply = result.value_or(None)
            if isinstance(reply, gateway.SyncReply) and reply.true_ms:
                # The answer was given halfway, as far as one can tell.
                own_ms = (began_ms + self._wall.now_ms()) // 2
                found.append(reply.true_ms - own_ms)
        return found
