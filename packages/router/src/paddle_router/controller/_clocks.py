"""Comparison of the controllers' clocks.

A controller reads the time of day once, when it starts. If the clock of its
machine is wrong at that moment, the usage windows that it seals are shifted.
It therefore adjusts its time to the median of all controllers.
"""

import statistics

import paddle_kernel
from paddle_router.controller import _events
from paddle_router import gateway

COMPARE_PERIOD_MS = 2_000
# Period until the first comparison succeeds, which should be before any duty
# runs.
INITIAL_COMPARE_PERIOD_MS = 250
CALL_TIMEOUT_MS = 400
# Smaller differences are explained by network latency.
TOLERANCE_MS = 200
# With fewer clocks it cannot be decided which one is wrong.
MIN_TIMES = 3


class ClockComparison:
    """Adjusts ``wall`` to the median of all controllers' times.

    ``members()`` returns the addresses of all controllers, ``own_address`` is
    that of this controller.
    """

    def __init__(self, clock, wall, transport, *, members, own_address):
        self._clock = clock
        self._wall = wall
        self._transport = transport
        self._members = members
        self._own_address = own_address
        self._next_compare_ms = 0

    def step(self):
        """Compare the clocks if a comparison is due."""
        if self._clock.now_ms() < self._next_compare_ms:
            return
        differences_ms = self._differences()
        if len(differences_ms) + 1 < MIN_TIMES:
            self._next_compare_ms = (
                self._clock.now_ms() + INITIAL_COMPARE_PERIOD_MS
            )
            return
        self._next_compare_ms = self._clock.now_ms() + COMPARE_PERIOD_MS
        off_ms = round(statistics.median([0, *differences_ms]))
        if abs(off_ms) > TOLERANCE_MS:
            self._wall.agree(self._wall.now_ms() + off_ms, TOLERANCE_MS)
            paddle_kernel.emit(
                _events.CLOCK_CORRECTED,
                off_ms=off_ms,
                times=len(differences_ms),
            )

    def _differences(self):
        """Return how far the other controllers' clocks are ahead, in ms."""
        request = gateway.SyncRequest(
            reports=(), version=0, listing='', attached=False
        )
        calls = {
            address: request
            for address in self._members()
            if address != self._own_address
        }
        start_ms = self._wall.now_ms()
        differences_ms = []
        for _address, result in paddle_kernel.broadcast(
            self._transport, calls, CALL_TIMEOUT_MS
        ):
            reply = result.value_or(None)
            if isinstance(reply, gateway.SyncReply) and reply.true_ms:
                # Assume that the reply was created half-way through the call.
                own_ms = (start_ms + self._wall.now_ms()) // 2
                differences_ms.append(reply.true_ms - own_ms)
        return differences_ms
