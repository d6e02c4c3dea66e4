"""Time in integer milliseconds, real and simulated."""

import time
import typing

import gevent

NS_PER_MS = 1_000_000
MS_PER_S = 1_000


class Clock(typing.Protocol):
    """Source of time. All readings are integer milliseconds."""

    def now_ms(self) -> int:
        """Return monotonic time; only differences have a meaning."""

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch."""

    def sleep_ms(self, duration_ms: int) -> None:
        """Suspend the calling greenlet."""


class SystemClock:
    """Clock of the machine."""

    def now_ms(self):
        return time.monotonic_ns() // NS_PER_MS

    def wall_ms(self):
        return time.time_ns() // NS_PER_MS

    def sleep_ms(self, duration_ms):
        gevent.sleep(duration_ms / MS_PER_S)


class FakeClock:
    """Clock for tests that moves only when told to.

    ``sleep_ms`` advances the clock itself, so code under test that sleeps
    makes progress without a second greenlet.
    """

    def __init__(self, *, start_ms=1_000_000, wall_start_ms=1_700_000_000_000):
        self._now_ms = start_ms
        self._wall_offset_ms = wall_start_ms - start_ms

    def now_ms(self):
        return self._now_ms

    def wall_ms(self):
        return self._now_ms + self._wall_offset_ms

    def sleep_ms(self, duration_ms):
        self.advance(duration_ms)
        gevent.sleep(0)

    def advance(self, duration_ms):
        """Move time forward by ``duration_ms`` milliseconds."""
        if duration_ms < 0:
            raise ValueError(f'cannot move back by {-duration_ms} ms')
        self._now_ms += duration_ms
