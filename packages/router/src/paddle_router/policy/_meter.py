"""Decayed rates of arrivals and of service."""

import math

ARRIVAL_MS = 2_000
# Weight of a completed request in the decayed averages.
GAIN = 0.02
# Below this evidence no rate is given, so that nothing is refused by guess.
MIN_COMPLETED = 5


class ArrivalRate:
    """Amount per ms that arrived during the last seconds."""

    def __init__(self):
        self._amount = 0.0
        self._updated_ms = 0

    def add(self, amount, now_ms):
        """Note ``amount`` that arrived."""
        self._amount = self._decayed(now_ms) + amount
        self._updated_ms = max(self._updated_ms, now_ms)

    def rate(self, now_ms):
        """Return the amount per ms."""
        return self._decayed(now_ms) / ARRIVAL_MS

    def _decayed(self, now_ms):
        passed_ms = max(0, now_ms - self._updated_ms)
        return self._amount * math.exp(-passed_ms / ARRIVAL_MS)


class ServiceRate:
    """Amount per ms that a running request is served.

    Measured from completed requests. Unlike the rate at which slots become
    free, it does not swing for the length of a response when a backlog
    begins or an engine is lost.
    """

    def __init__(self):
        self._completed = 0
        self._amount = 0.0
        self.duration_ms = 0.0

    def add(self, amount, duration_ms):
        """Note a request that was served ``amount`` in ``duration_ms``."""
        self._completed += 1
        gain = max(GAIN, 1 / self._completed)
        self._amount += gain * (amount - self._amount)
        self.duration_ms += gain * (duration_ms - self.duration_ms)

    def per_request(self):
        """Return the amount per ms, or None without enough evidence."""
        if self._completed < MIN_COMPLETED:
            return None
        return self._amount / max(1.0, self.duration_ms)
