"""Usage windows: flushed by daemons, sealed by consensus, reported once.

Keys: ``usage/<window>/<daemon>`` cumulative counts, ``windows/head`` the
order of sealing, ``seal/<window>`` the sealed report, ``windows/reported``
the last reported window.

The head is advanced before a window is sealed and only after the seal of the
previous head is decided. Every process that seals a window therefore computes
with the same billed usage, and late usage is billed by exactly one seal.
"""

import json

import attrs
import returns.result

from paddle_coord import _events
from paddle_coord import _lease
from paddle_coord import _register
from paddle_coord import _seal
import paddle_kernel as kernel

USAGE_PREFIX = 'usage/'
SEAL_PREFIX = 'seal/'
HEAD_KEY = 'windows/head'
REPORTED_KEY = 'windows/reported'
WINDOW_MS = 60_000
# Daemons flush every second, so the last flush of a window arrives well
# within this time.
GRACE_MS = 5_000
# Usage is read again for this many windows after its own; then it is removed
# once it is billed. A later flush of a daemon creates the key again.
SETTLE_WINDOWS = 10
# Seals are kept, and late usage is billed, for one day of windows.
RETENTION_WINDOWS = 1_440
CACHED_SEALS = 2 * SETTLE_WINDOWS
MAX_CONFLICTS = 16
MAX_REPORTS_PER_STEP = 16
MAX_REMOVALS_PER_STEP = 64

ACCEPTED = 'accepted'
CONFLICT = 'conflict'


def usage_key(window, daemon):
    """Return the key of a daemon's counts of ``window``."""
    return f'{USAGE_PREFIX}{window}/{daemon}'


def seal_key(window):
    """Return the key of the seal of ``window``."""
    return f'{SEAL_PREFIX}{window}'


def _value_or_raise(result):
    """Return the value of a result, or end the current step."""
    if isinstance(result, returns.result.Success):
        return result.unwrap()
    raise _StepFailedError(result.failure())


class _StepFailedError(Exception):
    """A register operation of a step failed; the next step retries."""


class UsageLedger:
    """Writes the cumulative counts of one daemon incarnation.

    ``daemon`` has to be unique for each start of a process and must not
    contain ``/``.
    """

    def __init__(self, register, clock, daemon):
        if '/' in daemon:
            raise ValueError(f'daemon {daemon!r} contains a slash')
        self._register = register
        self._clock = clock
        self._daemon = daemon
        self.flushed_ms = None

    def flush(self, window, counts):
        """Write the counts of ``window`` since this process started.

        ``window`` is the start of the window in ms. A flush is idempotent.
        Returns ``Success(Change)`` or ``Failure(RegisterError)``.
        """
        result = self._register.change(
            usage_key(int(window), self._daemon),
            lambda data: _seal.merge(data, counts),
        )
        if isinstance(result, returns.result.Success):
            self.flushed_ms = self._clock.now_ms()
        return result


@attrs.frozen(kw_only=True)
class WindowTiming:
    """Length of windows and retention of their keys."""

    window_ms: int = WINDOW_MS
    grace_ms: int = GRACE_MS
    settle_windows: int = SETTLE_WINDOWS
    retention_windows: int = RETENTION_WINDOWS

    def is_due(self, window, wall_ms):
        """Whether the grace period of ``window`` has passed."""
        return window + self.window_ms + self.grace_ms <= wall_ms

    def settled_before(self, head):
        """Return the first window for which usage is still expected."""
        return head - self.settle_windows * self.window_ms

    def floor(self, previous):
        """Return the oldest window whose late usage is billed.

        Counted from the window sealed before, not from the present time, so
        that usage is still billed after a long time without sealing.
        """
        if previous is None:
            return 0
        return previous - self.retention_windows * self.window_ms


class WindowSealer:
    """Seals windows in order; run by the holder of the lease.

    The lease only avoids duplicate work: sealing is safe with any number of
    processes. ``keys(prefix)`` returns ``Success`` of the keys with a value;
    ``delete(key, function)`` removes a key unless ``function(value)`` is a
    :class:`Reject`.
    """

    def __init__(self, register, lease, clock, *, keys, delete, timing=None):
        self.timing = timing or WindowTiming()
        self._register = register
        self._lease = lease
        self._clock = clock
        self._keys = keys
        self._delete = delete
        self._seals = {}
        self._next_late_check_ms = 0

    def step(self):
        """Seal the next due window; return its start, ``None`` if none."""
        if self._lease.number() is None:
            return None
        try:
            return self._step()
        except _StepFailedError:
            return None

    def sealed(self, window):
        """Return ``Success(Seal | None)`` or ``Failure(RegisterError)``."""
        cached = self._seals.get(window)
        if cached is not None:
            return returns.result.Success(cached)
        result = self._register.quick_read(seal_key(window))
        return result.map(self._cache_seal)

    def report_bytes(self, window):
        """Return ``Success`` of the sealed report, ``None`` if unsealed."""
        return self.sealed(int(window)).map(
            lambda seal: None if seal is None else seal.report.encode()
        )

    def head(self):
        """Return ``Success(Head | None)`` or ``Failure(RegisterError)``."""
        return self._register.quick_read(HEAD_KEY).map(_seal.Head.from_bytes)

    def _cache_seal(self, data):
        seal = _seal.Seal.from_bytes(data)
        if seal is not None:
            self._seals[seal.window] = seal
            while len(self._seals) > CACHED_SEALS:
                del self._seals[min(self._seals)]
        return seal

    def _step(self):
        head = _value_or_raise(self.head())
        if (
            head is not None
            and _value_or_raise(self.sealed(head.window)) is None
        ):
            return self._seal_window(head)
        usage_ids = self._list_usage_ids()
        window = self._next_window(head, usage_ids)
        if window is None:
            return None
        change = _value_or_raise(
            self._register.change(
                HEAD_KEY, lambda data: _seal.advance_head(data, head, window)
            )
        )
        if not change.applied:
            return None
        return self._seal_window(_seal.Head.from_bytes(change.value))

    def _next_window(self, head, usage_ids):
        """Return the first due window after the head that has usage."""
        wall_ms = self._clock.wall_ms()
        last_window = -1 if head is None else head.window
        due = [
            window
            for window, _ in usage_ids
            if window > last_window and self.timing.is_due(window, wall_ms)
        ]
        if due:
            return min(due)
        now_ms = self._clock.now_ms()
        if head is None or now_ms < self._next_late_check_ms:
            return None
        window = head.window + self.timing.window_ms
        if not self.timing.is_due(window, wall_ms):
            return None
        # An empty window is sealed if there is late usage, which otherwise
        # would wait for the next window with usage.
        if self._build_candidate(
            _seal.Head(head.window, window), usage_ids
        ).late:
            return window
        self._next_late_check_ms = now_ms + self.timing.window_ms
        return None

    def _seal_window(self, head):
        """Seal ``head.window``; return it if its seal is decided."""
        candidate = self._build_candidate(head, self._list_usage_ids())
        change = _value_or_raise(
            self._register.change(
                seal_key(head.window),
                lambda data: _seal.write_once(data, candidate),
            )
        )
        seal = self._cache_seal(change.value)
        kernel.emit(
            _events.WINDOW_SEALED,
            window=head.window,
            daemons=len(seal.included),
            late=len(seal.late),
            by_other=not change.applied,
        )
        return head.window

    def _build_candidate(self, head, usage_ids):
        floor = self.timing.floor(head.previous)
        usage = {
            usage_id: self._read_usage(usage_id)
            for usage_id in usage_ids
            if floor <= usage_id[0] <= head.window
        }
        oldest = min((usage_id[0] for usage_id in usage), default=head.window)
        billed = _seal.billed_by(self._seals_back_to(head.previous, oldest))
        return _seal.build_seal(
            head.window, self.timing.window_ms, head.previous, usage, billed
        )

    def _seals_back_to(self, window, oldest):
        """Return the seals back to ``oldest``, in order of sealing."""
        chain = []
        while window is not None and window >= oldest:
            seal = _value_or_raise(self.sealed(window))
            if seal is None:
                break
            chain.append(seal)
            window = seal.previous
        return chain[::-1]

    def _list_usage_ids(self):
        keys = _value_or_raise(self._keys(USAGE_PREFIX))
        return [
            _seal.split_late_id(key.removeprefix(USAGE_PREFIX)) for key in keys
        ]

    def _read_usage(self, usage_id):
        data = _value_or_raise(self._register.quick_read(usage_key(*usage_id)))
        return {} if data is None else json.loads(data)

    def remove_old_keys(self):
        """Remove settled usage that is billed, and seals past retention.

        Returns the number of removed keys, which is bounded.
        """
        if self._lease.number() is None:
            return 0
        try:
            return self._remove_old_keys()
        except _StepFailedError:
            return 0

    def _remove_old_keys(self):
        head = _value_or_raise(self.head())
        if head is None or _value_or_raise(self.sealed(head.window)) is None:
            return 0
        reported = _value_or_raise(
            self._register.quick_read(REPORTED_KEY).map(
                _seal.ReportProgress.from_bytes
            )
        )
        last_window = -1 if reported.window is None else reported.window
        removed = self._remove_settled_usage(head.window)
        floor = self.timing.floor(head.window)
        for key in _value_or_raise(self._keys(SEAL_PREFIX)):
            window = int(key.removeprefix(SEAL_PREFIX))
            if removed >= MAX_REMOVALS_PER_STEP:
                break
            if window < floor and window <= last_window:
                self._seals.pop(window, None)
                removed += self._remove(key, lambda data: True)
        return removed

    def _remove_settled_usage(self, head):
        settled = self.timing.settled_before(head)
        settled_ids = [
            usage_id
            for usage_id in self._list_usage_ids()
            if usage_id[0] < settled
        ]
        if not settled_ids:
            return 0
        settled_ids = sorted(settled_ids)[:MAX_REMOVALS_PER_STEP]
        floor = self.timing.floor(head)
        billed = _seal.billed_by(
            self._seals_back_to(head, max(floor, settled_ids[0][0]))
        )
        removed = 0
        for usage_id in settled_ids:
            if usage_id[0] < floor:
                removed += self._remove_too_late(usage_id)
            else:
                billed_counts = billed.get(usage_id, {})
                removed += self._remove(
                    usage_key(*usage_id),
                    lambda data, billed_counts=billed_counts: _is_billed(
                        data, billed_counts
                    ),
                )
        return removed

    def _remove_too_late(self, usage_id):
        """Remove usage flushed after its retention, which is not billed."""
        kernel.emit(
            _events.USAGE_TOO_LATE, window=usage_id[0], daemon=usage_id[1]
        )
        return self._remove(usage_key(*usage_id), lambda data: True)

    def _remove(self, key, may_remove):
        def function(data):
            if data is not None and not may_remove(data):
                return _register.Reject('not billed yet')
            return None

        result = self._delete(key, function)
        return int(result.value_or(False) is not False)


def _is_billed(data, billed):
    return not _seal.subtract(json.loads(data), billed)


class WindowReporter:
    """Reports sealed windows in order; run by the holder of the lease.

    The sink has ``connect()`` and ``put(conn, window, data, number,
    timeout_ms)``, which returns ``'accepted'``, ``'conflict'`` or another
    answer. After an unknown outcome the same bytes are sent again.
    """

    def __init__(self, register, lease, sealer, sink):
        self._register = register
        self._lease = lease
        self._sealer = sealer
        self._sink = sink

    def step(self):
        """Report sealed windows; return the reported ones."""
        if self._lease.number() is None:
            return []
        reported_windows = []
        try:
            for seal in self._unreported()[:MAX_REPORTS_PER_STEP]:
                if not self._report(seal):
                    break
                reported_windows.append(seal.window)
        except _StepFailedError:
            pass
        return reported_windows

    def _unreported(self):
        """Return the sealed windows after the last reported, in order."""
        data = _value_or_raise(self._register.quick_read(REPORTED_KEY))
        last_window = _seal.ReportProgress.from_bytes(data).window
        head = _value_or_raise(self._sealer.head())
        if head is None:
            return []
        window, seals = head.window, []
        while window is not None and (
            last_window is None or window > last_window
        ):
            seal = _value_or_raise(self._sealer.sealed(window))
            if seal is not None:
                seals.append(seal)
                window = seal.previous
            elif window == head.window:
                window = head.previous
            else:
                break
        return seals[::-1]

    def _report(self, seal):
        result = _lease.guarded_send(
            self._lease,
            self._sink.connect,
            lambda conn, number, timeout_ms: self._sink.put(
                conn,
                str(seal.window),
                seal.report.encode(),
                number,
                timeout_ms,
            ),
            self._lease.timing.in_flight_ms,
        )
        answer = result.value_or(None)
        if answer not in (ACCEPTED, CONFLICT):
            return False
        conflict = answer == CONFLICT
        if conflict:
            kernel.emit(_events.REPORT_CONFLICT, window=seal.window)
        change = _value_or_raise(
            self._register.change(
                REPORTED_KEY,
                lambda data: _seal.mark_reported(
                    data, seal.window, conflict, MAX_CONFLICTS
                ),
            )
        )
        return change.applied
