"""Usage windows, sealed in a register and reported under the lease.

The counts of a window are written to a replicated register before its first
report, so every report of that window, by whichever controller, carries the
same counts.
"""

import json

import returns.result

import paddle_coord
import paddle_kernel
from paddle_router.controller import _events

SEALED_WINDOWS_KEY = 'usage/sealed'
# Number of sealed windows kept for a successor, which reports them again.
RETAINED_WINDOWS = 8
# Share of the time between the end of a window and its due time during which
# counts from gateways are awaited.
SETTLE_RATIO = 0.4
# Maximum age of a report relayed by another controller: it is relayed every
# 500 ms, and the call takes 400 ms at most.
MAX_RELAY_DELAY_MS = 1_000
# Share of that time after which a window is sealed with the available counts.
LATEST_SEAL_RATIO = 0.85


class SealedWindows:
    """Value of the register: the last sealed windows with their counts."""

    def __init__(self, windows):
        self.windows = windows

    @classmethod
    def from_bytes(cls, data):
        """Return the decoded ``data``, which is ``None`` for an absent key."""
        document = {} if data is None else json.loads(data)
        return cls({int(key): value for key, value in document.items()})

    def to_bytes(self):
        """Return the encoded value, reduced to the newest windows."""
        kept = sorted(self.windows)[-RETAINED_WINDOWS:]
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
    """Return the encoded value with ``window`` sealed, or a rejection."""
    sealed = SealedWindows.from_bytes(data)
    if sealed.newest is not None and window <= sealed.newest:
        return paddle_coord.Reject('the window is already sealed')
    sealed.windows[window] = counts
    return sealed.to_bytes()


class UsageDuty:
    """Seals and reports windows while this process holds the lease."""

    def __init__(self, settings, controller):
        self._settings = settings
        self._controller = controller
        self._sealed = None
        self._sent = set()
        self._takeover_window = None
        self._fencing_number = None

    def step(self):
        """Seal and report due windows; call a few times a second."""
        number = self._controller.fenced_sender.number()
        if number is None:
            self._fencing_number = None
            return
        if number != self._fencing_number and not self._load_sealed_windows(
            number
        ):
            return
        self._seal_due_windows()
        self._report_due_windows()

    def dump(self):
        """Return plain data for the state dump."""
        sealed = sorted(self._sealed.windows) if self._sealed else []
        return {'sealed': sealed, 'sent': sorted(self._sent)}

    def _load_sealed_windows(self, number):
        """Read the sealed windows; return false if the read fails."""
        stored = self._controller.register.read(SEALED_WINDOWS_KEY)
        if not isinstance(stored, returns.result.Success):
            return False
        self._sealed = SealedWindows.from_bytes(stored.unwrap())
        if self._takeover_window is None:
            self._takeover_window = self._current_window()
        self._fencing_number = number
        return True

    def _current_window(self):
        return self._controller.wall.now_ms() // self._settings.usage_window_ms

    def _seal_due_windows(self):
        settle_ms = int(SETTLE_RATIO * self._settings.usage_late_ms)
        length_ms = self._settings.usage_window_ms
        newest = self._sealed.newest
        window = self._first_window_to_seal() if newest is None else newest + 1
        # After a long outage, old windows are past their due time.
        window = max(window, self._current_window() - RETAINED_WINDOWS)
        while True:
            since_end_ms = (
                self._controller.wall.now_ms() - (window + 1) * length_ms
            )
            if since_end_ms < settle_ms and not self._is_complete(
                since_end_ms
            ):
                return
            if not self._may_seal(since_end_ms):
                return
            if not self._seal(window):
                return
            window += 1

    def _first_window_to_seal(self):
        """Return the first window to seal when none has been sealed yet.

        Gateways may hold counts of windows that ended while a previous lease
        holder failed to seal them.
        """
        oldest = self._controller.fleet.oldest_window()
        return (
            self._takeover_window
            if oldest is None
            else min(self._takeover_window, oldest)
        )

    def _is_complete(self, since_end_ms):
        """Whether all gateways have reported since the window ended.

        Such a window is sealed early, because its counts are lost if all
        processes are killed before it is sealed.
        """
        return self._controller.fleet.all_reported_within(
            since_end_ms - MAX_RELAY_DELAY_MS
        )

    def _may_seal(self, since_end_ms):
        """Whether counts were collected, or the report cannot wait longer."""
        latest_ms = LATEST_SEAL_RATIO * self._settings.usage_late_ms
        return (
            self._controller.fleet.has_collected_reports
            or since_end_ms >= latest_ms
        )

    def _seal(self, window):
        counts = self._controller.fleet.usage(window)
        result = self._controller.register.change(
            SEALED_WINDOWS_KEY, lambda data: seal(data, window, counts)
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

    def _report_due_windows(self):
        for window in sorted(self._sealed.windows):
            if window in self._sent:
                continue
            counts = self._sealed.windows[window]
            receipt = self._controller.fenced_sender.send(
                self._build_report_call(window, counts)
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
                _events.USAGE_SENT, window=window, number=self._fencing_number
            )

    def _build_report_call(self, window, counts):
        def send(conn, number, timeout_ms):
            return self._controller.platform.report_usage(
                conn, window, counts, number, timeout_ms
            )

        return send
