"""Moving averages of the arrival rate and the service rate."""

import math

# Time constant of the exponential decay.
ARRIVAL_DECAY_MS = 2_000
# Weight of a completed request in the moving averages.
SERVICE_AVERAGE_GAIN = 0.02
# No rate is returned after fewer requests, so that no request is refused
# because of an unreliable estimate.
MIN_COMPLETED_REQUESTS = 5


class ArrivalRate:
    """Amount per ms that arrived during the last few seconds."""

    def __init__(self, decay_ms=ARRIVAL_DECAY_MS):
        self._decay_ms = decay_ms
        self._amount = 0.0
        self._updated_ms = 0

    def add(self, amount, now_ms):
        """Record the arrival of ``amount``."""
        self._amount = self._decayed(now_ms) + amount
        self._updated_ms = max(self._updated_ms, now_ms)

    def rate(self, now_ms):
        """Return the amount per ms."""
        return self._decayed(now_ms) / self._decay_ms

    def _decayed(self, now_ms):
        passed_ms = max(0, now_ms - self._updated_ms)
        return self._amount * math.exp(-passed_ms / self._decay_ms)


class ServiceRate:
    """Amount of service per ms that one running request gets.

    Measured from completed requests. Unlike the rate at which slots become
    free, it does not fluctuate for the duration of a response when a backlog
    begins or an engine is lost.
    """

    def __init__(self):
        self._completed = 0
        self._amount = 0.0
        self.duration_ms = 0.0

    def add(self, amount, duration_ms):
        """Record a request that was served ``amount`` in ``duration_ms``."""
        self._completed += 1
        gain = max(SERVICE_AVERAGE_GAIN, 1 / self._completed)
        self._amount += gain * (amount - self._amount)
        self.duration_ms += gain * (duration_ms - self.duration_ms)

    def rate_per_request(self):
        """Return the amount per ms, or None after too few requests."""
        if self._completed < MIN_COMPLETED_REQUESTS:
            return None
        return self._amount / max(1.0, self.duration_ms)
