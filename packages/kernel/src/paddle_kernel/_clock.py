"""Time in integer milliseconds, real and simulated."""

import time
import typing

import gevent

NS_PER_MS = 1_000_000
MS_PER_S = 1_000


class Clock(typing.Protocol):
    """Source of time. All readings are integer milliseconds."""

    def now_ms(self) -> int:
        """Return monotonic time; only differences are meaningful."""

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch."""

    def sleep_ms(self, duration_ms: int) -> None:
        """Suspend the calling greenlet."""


class SystemClock:
    """Clock of the operating system.

    ``now_ms`` includes the time in which the machine was suspended, since a
    lease also expires during a suspension.
    """

    def now_ms(self):
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS

    def wall_ms(self):
        return time.time_ns() // NS_PER_MS

    def sleep_ms(self, duration_ms):
        gevent.sleep(duration_ms / MS_PER_S)


class SteadyWall:
    """Time since the Unix epoch that does not follow steps of the wall clock.

    The wall clock is read once; :meth:`agree` corrects that reading, for
    example by the time at other instances.
    """

    def __init__(self, clock):
        self._clock = clock
        self._offset_ms = clock.wall_ms() - clock.now_ms()

    def now_ms(self):
        """Return the time since the Unix epoch."""
        return self._clock.now_ms() + self._offset_ms

    def agree(self, true_ms, tolerance_ms):
        """Use ``true_ms`` if the time differs by more than the tolerance.

        Return the difference.
        """
        error_ms = true_ms - self.now_ms()
        if abs(error_ms) > tolerance_ms:
            self._offset_ms += error_ms
        return error_ms


class FakeClock:
    """Clock for tests that only advances on :meth:`advance` and ``sleep_ms``.

    Since ``sleep_ms`` advances the clock, code under test that sleeps makes
    progress without a second greenlet.
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
            raise ValueError(f'cannot move time back by {-duration_ms} ms')
        self._now_ms += duration_ms
