"""Requests to the platform that carry the lease's fencing number."""

import gevent.lock
import returns.result

import paddle_coord

# Longest time that a request may take; a new lease holder waits this long too.
MAX_IN_FLIGHT_MS = 900


class FencedSender:
    """Sends requests one at a time while this process holds the lease.

    After the platform has rejected a fencing number as too low, nothing more
    is sent with that number, because a newer lease holder has already acted.
    """

    def __init__(self, lease, platform):
        self._lease = lease
        self._platform = platform
        self._rejected_number = 0
        self._lock = gevent.lock.Semaphore()

    def number(self):
        """Return the fencing number, ``None`` if nothing may be sent."""
        number = self._lease.number()
        if number is None or number <= self._rejected_number:
            return None
        return number

    def send(self, call):
        """Call ``call(conn, number, timeout_ms)`` once.

        Returns the receipt, ``None`` if the outcome is unknown or nothing
        was sent.
        """
        with self._lock:
            if self.number() is None:
                return None
            result = paddle_coord.guarded_send(
                self, self._platform.connect, call, MAX_IN_FLIGHT_MS
            )
        if not isinstance(result, returns.result.Success):
            return None
        receipt = result.unwrap()
        if receipt.stale:
            self._rejected_number = max(
                self._rejected_number, self._lease.number() or 0
            )
        return receipt
