"""Usage windows, sealed by agreement and reported under the lease.

The counts of a window are sealed in a register before the first report, so
every report of that window, by whichever controller, carries the same counts.
"""

import json

import returns.result

import paddle_coord
import paddle_kernel
from paddle_router.controller import _events

KEY = 'usage/sealed'
# Sealed windows kept for a successor that has to report them again.
WINDOWS_KEPT = 8
# Part of the time between the end of a window and its due time that is left
# for counts to arrive from the gateways.
SETTLE_PART = 0.4
# A report that came through another controller is up to this old: passed on
# every 500 ms, with a call of 400 ms at most.
RELAYED_MS = 1_000
# Part of that time after which a window is sealed with the counts at hand.
LATEST_PART = 0.85


class SealedWindows:
    """Value of the register: the last windows with their counts."""

    def __init__(self, windows):
        self.windows = windows

    @classmethod
    def from_bytes(cls, data):
        """Return the value in ``data``, ``None`` for an absent key."""
        document = {} if data is None else json.loads(data)
        return cls({int(key): value for key, value in document.items()})

    def to_bytes(self):
        """Return the register's bytes."""
        kept = sorted(self.windows)[-WINDOWS_KEPT:]
        return json.dumps(
            {key: self.windows[key] for key in kept},
            separators=(',', ':'),
            sort_keys=True,
        ).encode()

    @property
    def newest(self):
        """The newest sealed window or ``None``."""
        return max(self.windows, default=None)


def seal(data, window, counts):
    """Return the register's bytes with ``window`` sealed, or a rejection."""
    sealed = SealedWindows.from_bytes(data)
    if sealed.newest is not None and window <= sealed.newest:
        return paddle_coord.Reject('the window is sealed')
    sealed.windows[window] = counts
    return sealed.to_bytes()


class UsageDuty:
    """Seals and reports windows while this process holds the lease."""

    def __init__(self, settings, parts):
        self._settings = settings
        self._parts = parts
        self._sealed = None
        self._sent = set()
        self._first = None
        self._number = None

    def step(self):
        """Seal and report what is due; call a few times a second."""
        number = self._parts.fenced_sender.number()
        if number is None:
            self._number = None
            return
        if number != self._number and not self._take_over(number):
            return
        self._seal_due()
        self._report_due()

    def dump(self):
        """Return plain data for the state dump."""
        sealed = sorted(self._sealed.windows) if self._sealed else []
        return {'sealed': sealed, 'sent': sorted(self._sent)}

    def _take_over(self, number):
        """Learn what was sealed before; false if that cannot be read."""
        read = self._parts.register.read(KEY)
        if not isinstance(read, returns.result.Success):
            return False
        self._sealed = SealedWindows.from_bytes(read.unwrap())
        if self._first is None:
            self._first = self._window_now()
        self._number = number
        return True

    def _window_now(self):
        return self._parts.wall.now_ms() // self._settings.usage_window_ms

    def _seal_due(self):
        settle_ms = int(SETTLE_PART * self._settings.usage_late_ms)
        length_ms = self._settings.usage_window_ms
        newest = self._sealed.newest
        window = self._first_window() if newest is None else newest + 1
        # After a long stop old windows are beyond their time.
        window = max(window, self._window_now() - WINDOWS_KEPT)
        while True:
            ended_ms = self._parts.wall.now_ms() - (window + 1) * length_ms
            if ended_ms < settle_ms and not self._is_complete(ended_ms):
                return
            if not self._may_seal(ended_ms):
                return
            if not self._seal(window):
                return
            window += 1

    def _first_window(self):
        """Return the window to seal first when none was sealed ever.

        Gateways may hold counts of windows that a predecessor was in charge
        for and could not seal.
        """
        oldest = self._parts.fleet.oldest_window()
        return self._first if oldest is None else min(self._first, oldest)

    def _is_complete(self, ended_ms):
        """Whether all gateways have reported since the window ended.

        A window is then sealed early: its counts are lost when all processes
        are killed before.
        """
        return self._parts.fleet.has_reports_of_all(ended_ms - RELAYED_MS)

    def _may_seal(self, ended_ms):
        """Whether the counts are known, or the report is due anyway."""
        last_ms = LATEST_PART * self._settings.usage_late_ms
        return self._parts.fleet.is_informed or ended_ms >= last_ms

    def _seal(self, window):
        counts = self._parts.fleet.usage(window)
        result = self._parts.register.change(
            KEY, lambda data: seal(data, window, counts)
        )
        if not isinstance(result, returns.result.Success):
            return False
        change = result.unwrap()
        self._sealed = SealedWindows.from_bytes(change.value)
        paddle_kernel.emit(
            _events.USAGE_SEALED,
            window=window,
            counts=counts,
            was_sealed=change.rejected or '',
        )
        return change.applied

    def _report_due(self):
        for window in sorted(self._sealed.windows):
            if window in self._sent:
                continue
            counts = self._sealed.windows[window]
            receipt = self._parts.fenced_sender.send(
                self._report(window, counts)
            )
            if receipt is None or not receipt.accepted:
                paddle_kernel.emit(
                    _events.USAGE_FAILED,
                    window=window,
                    detail='no answer' if receipt is None else receipt.detail,
                )
                return
            self._sent.add(window)
            paddle_kernel.emit(
                _events.USAGE_SENT, window=window, number=self._number
            )

    def _report(self, window, counts):
        def send(conn, number, timeout_ms):
            return self._parts.platform.report_usage(
                conn, window, counts, number, timeout_ms
            )

        return send
