"""Sends to the platform under the lease, with its number as the fence."""

import gevent.lock
import returns.result

import paddle_coord

# Longest time that a send may take; the successor waits this long as well.
IN_FLIGHT_MS = 900


class FencedSender:
    """Lets the holder of the lease send one message at a time.

    After the platform refused a number as too low, nothing more is sent
    under it: another controller has acted since.
    """

    def __init__(self, lease, platform):
        self._lease = lease
        self._platform = platform
        self._refused = 0
        self._lock = gevent.lock.Semaphore()

    def number(self):
        """Return the fencing number, ``None`` when nothing may be sent."""
        number = self._lease.number()
        if number is None or number <= self._refused:
            return None
        return number

    def send(self, send):
        """Call ``send(conn, number, timeout_ms)`` once.

        Returns the receipt, ``None`` if the outcome is unknown or nothing
        was sent.
        """
        with self._lock:
            if self.number() is None:
                return None
            result = paddle_coord.guarded_send(
                self, self._platform.connect, send, IN_FLIGHT_MS
            )
        if not isinstance(result, returns.result.Success):
            return None
        receipt = result.unwrap()
        if receipt.stale:
            self._refused = max(self._refused, self._lease.number() or 0)
        return receipt
