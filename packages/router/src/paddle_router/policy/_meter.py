"""Service rate measured while work is waiting."""

import math

# A change of capacity shows within a few seconds, single requests do not.
TIME_CONSTANT_MS = 5_000
# Below this evidence no rate is given, so that nothing is refused by guess.
MIN_BUSY_MS = 300
MIN_EVENTS = 5


class BusyMeter:
    """Amount served per ms, counting only the time with a backlog.

    Without a backlog the amount served equals the demand and would
    understate the capacity.
    """

    def __init__(self):
        self._amount = 0.0
        self._busy_ms = 0.0
        self._events = 0
        self._since_ms = None
        self._updated_ms = 0

    def set_busy(self, is_busy, now_ms):
        """Note whether work is waiting from ``now_ms`` on."""
        if self._since_ms is not None:
            self._advance(now_ms)
        if is_busy and self._since_ms is None:
            self._since_ms = self._updated_ms = now_ms
        elif not is_busy:
            self._since_ms = None

    def _advance(self, now_ms):
        passed_ms = now_ms - self._updated_ms
        if passed_ms <= 0:
            return
        factor = math.exp(-passed_ms / TIME_CONSTANT_MS)
        self._amount *= factor
        # The integral of the decay over the interval.
        self._busy_ms = self._busy_ms * factor + TIME_CONSTANT_MS * (
            1 - factor
        )
        self._updated_ms = now_ms

    def add(self, amount, now_ms):
        """Note ``amount`` taken from the queue."""
        # Work that did not wait says nothing about the rate.
        if self._since_ms is None or now_ms <= self._since_ms:
            return
        self._advance(now_ms)
        self._amount += amount
        self._events += 1

    def rate(self):
        """Return the amount per ms, or None without enough evidence."""
        if self._events < MIN_EVENTS or self._busy_ms < MIN_BUSY_MS:
            return None
        return self._amount / self._busy_ms
