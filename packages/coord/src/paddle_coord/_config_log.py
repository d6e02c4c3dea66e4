"""Versioned configuration: a log of write-once registers and a fold.

Slot ``cfg/slot/<version>`` holds the change that made that version. The state
is a pure fold over the slots. A :class:`paddle_coord.Fold` applies the
operations, which this module does not interpret.

Register ``cfg/snap`` holds a snapshot, ``cfg/head`` the version of a snapshot
and the floor. Slots at or below the floor may be deleted at any time. An
absent slot there need not be the end of the log, and a record there may be a
late write that was never accepted. Deletion is safe by this rule: the floor is
raised durably before the first deletion, and the content of a slot is used
only if a read of the head sent *after* the read of the slot returns a floor
below that slot. Otherwise the snapshot is loaded.
"""

import gevent.lock
import returns.result

from paddle_coord import _config_slots
from paddle_coord import _events
from paddle_coord import _register
from paddle_coord import _version_file
import paddle_kernel as kernel

# Slots that are read before one check of the head.
SLOTS_PER_CHECK = 32
# A slot is written up to this often while the outcome is unknown.
MAX_WRITE_ATTEMPTS = 3
NEVER_CONFIRMED_MS = 2**53


class ConfigLog:
    """Reads the configuration log and submits changes to it.

    ``delete(key)`` and ``keys(prefix)`` are those of the replicated
    register; without them no slot is deleted. ``version_path`` names the
    file that stores the highest version served; without it only the register
    protects against older versions. A snapshot is written every
    ``snapshot_every`` versions; ``kept_slots`` below it are not deleted.
    ``blocking(function, *args)`` encodes and decodes snapshots outside of the
    event loop.
    """

    def __init__(
        self,
        register,
        clock,
        *,
        fold,
        version_path=None,
        keys=None,
        delete=None,
        snapshot_every=_config_slots.SNAPSHOT_INTERVAL_VERSIONS,
        kept_slots=_config_slots.SLOTS_KEPT_BELOW_SNAPSHOT,
        blocking=kernel.run_in_thread,
    ):
        self._register = register
        self._clock = clock
        self._fold = fold
        self._keys = keys
        self._delete = delete
        self._blocking = blocking
        self._snapshot_every = snapshot_every
        self._kept_slots = kept_slots
        self._folded = _config_slots.FoldedState(0, fold.initial(), {})
        self._head = _config_slots.Head()
        self._confirmed_ms = None
        self._lock = gevent.lock.Semaphore()
        self._file = None
        self._served_version = 0
        if version_path is not None:
            self._file = _version_file.VersionFile(version_path)
            self._served_version = self._file.read()

    @property
    def state(self):
        """State of the fold at :attr:`version`."""
        return self._folded.state

    @property
    def version(self):
        """Last version applied by this process."""
        return self._folded.version

    def age_ms(self):
        """Return the time since the version was last confirmed.

        :data:`NEVER_CONFIRMED_MS` before the first confirmation, and while
        the log is behind a version that this process has served.
        """
        if self._confirmed_ms is None:
            return NEVER_CONFIRMED_MS
        return self._clock.now_ms() - self._confirmed_ms

    def refresh(self):
        """Read the log to its end and confirm the version.

        Returns ``Success(version)`` or ``Failure(RegisterError)``. The
        version is confirmed as of the sending time of the read that found
        the next slot empty.

        :raises UnfoldableSlotError: see :func:`fold_change`.
        """
        if self._confirmed_ms is None:
            result = self._start_from_snapshot()
            if isinstance(result, returns.result.Failure):
                return result
        while True:
            result = self._follow_once()
            if isinstance(result, returns.result.Failure):
                return result
            confirmed_ms = result.unwrap()
            if confirmed_ms is not None:
                return self._confirm(confirmed_ms)

    def submit(self, change):
        """Decide ``change``.

        Returns ``Success(ChangeOutcome)`` or ``Failure(RegisterError)``; a
        failed submission may be repeated with the same change. A change that
        expects a version beyond the log fails as not written instead of
        being rejected, since the log may still reach that version.
        """
        outcome = _config_slots.judge(self._folded, change)
        if outcome is not None and outcome.accepted:
            return returns.result.Success(outcome)
        return self.refresh().bind(lambda _: self._submit_at_end(change))

    def collect(self):
        """Delete slots at or below the floor.

        Returns ``Success(number of deleted slots)`` or ``Failure``; what is
        left over, and late writes into deleted slots, are deleted by a later
        call.
        """
        head = self._register.read(_config_slots.HEAD_KEY).map(
            _config_slots.decode_head
        )
        if isinstance(head, returns.result.Failure):
            return head
        listed = self._keys(_config_slots.SLOT_PREFIX)
        if isinstance(listed, returns.result.Failure):
            return listed
        deleted = 0
        for key in listed.unwrap():
            if _config_slots.is_authentic(
                int(key.removeprefix(_config_slots.SLOT_PREFIX)), head.unwrap()
            ):
                continue
            result = self._delete(key)
            if isinstance(result, returns.result.Failure):
                return result
            deleted += 1
        return returns.result.Success(deleted)

    def dump(self):
        """Return plain data for the state dump, without the state itself."""
        return {
            'version': self.version,
            'age_ms': self.age_ms(),
            'snapshot': self._head.snapshot,
            'floor': self._head.floor,
            'served_version': self._served_version,
        }

    def _follow_once(self):
        """Read some slots, then the head, then apply the changes.

        Returns ``Success`` of the sending time of the read that found the
        next slot empty, or of None when there may be more slots.
        """
        start = self._folded
        read = self._read_slots(start.version)
        if isinstance(read, returns.result.Failure):
            return read
        changes, empty_ms = read.unwrap()
        # The head must be read after the slots, see the module docstring.
        head = self._read_head()
        if isinstance(head, returns.result.Failure):
            return head
        if not _config_slots.is_authentic(start.version + 1, self._head):
            return self._load_snapshot()
        folded = start
        for change in changes:
            folded = _config_slots.fold_change(self._fold, folded, change)
        self._publish_if_newer(folded)
        return returns.result.Success(empty_ms)

    def _start_from_snapshot(self):
        head = self._read_head()
        if isinstance(head, returns.result.Failure):
            return head
        if self._head.snapshot > self._folded.version:
            return self._load_snapshot()
        return head

    def _read_head(self):
        head = self._register.quick_read(_config_slots.HEAD_KEY).map(
            _config_slots.decode_head
        )
        if isinstance(head, returns.result.Success):
            self._head = _config_slots.raise_head(self._head, head.unwrap())
        return head

    def _read_slots(self, version):
        changes = []
        while len(changes) < SLOTS_PER_CHECK:
            sent_ms = self._clock.now_ms()
            key = _config_slots.slot_key(version + len(changes) + 1)
            result = self._register.quick_read(key)
            if isinstance(result, returns.result.Failure):
                return result
            if result.unwrap() is None:
                return returns.result.Success((changes, sent_ms))
            changes.append(_config_slots.decode_change(result.unwrap()))
        return returns.result.Success((changes, None))

    def _load_snapshot(self):
        result = self._register.read(_config_slots.SNAPSHOT_KEY)
        if isinstance(result, returns.result.Failure):
            return result
        value = result.unwrap()
        if value is not None:
            self._publish_if_newer(
                self._blocking(
                    _config_slots.decode_snapshot, self._fold, value
                )
            )
        if self._folded.version < self._head.snapshot:
            return _failure(
                _register.NOT_WRITTEN,
                f'{_config_slots.SNAPSHOT_KEY} is older than version '
                f'{self._head.snapshot} named by '
                f'{_config_slots.HEAD_KEY}; restore the replicas',
            )
        return returns.result.Success(None)

    def _publish_if_newer(self, folded):
        """Use ``folded`` unless another greenlet has a newer state."""
        with self._lock:
            if folded.version <= self._folded.version:
                return
            if self._file and folded.version > self._served_version:
                self._file.write(folded.version)
                self._served_version = folded.version
            self._folded = folded

    def _confirm(self, confirmed_ms):
        if self._folded.version < self._served_version:
            kernel.emit(
                _events.CONFIG_BEHIND,
                version=self._folded.version,
                served=self._served_version,
            )
            return _failure(
                _register.NOT_WRITTEN,
                f'the log ends at version {self._folded.version}, but '
                f'version {self._served_version} was served before; restore '
                'the replicas',
            )
        self._confirmed_ms = max(self._confirmed_ms or 0, confirmed_ms)
        return returns.result.Success(self._folded.version)

    def _submit_at_end(self, change):
        folded = self._folded
        outcome = _config_slots.judge(folded, change)
        if outcome is not None:
            return returns.result.Success(outcome)
        if change.expected_version > folded.version:
            return _failure(
                _register.NOT_WRITTEN,
                f'expected_version is {change.expected_version}, allowed: at '
                f'most {folded.version}',
            )
        applied = self._fold.apply(folded.state, change.operation)
        if isinstance(applied, returns.result.Failure):
            return returns.result.Success(
                _config_slots.rejected(
                    folded, _config_slots.INVALID, applied.failure()
                )
            )
        written = self._write_slot(folded.version + 1, change)
        if isinstance(written, returns.result.Failure):
            return written
        return self._learn_outcome(change)

    def _write_slot(self, version, change):
        """Fill a slot; Success means that its value is decided.

        Writing again after an unknown outcome is safe, because the slot
        keeps its first value. Once an outcome was unknown, later failures
        are reported as unknown as well.
        """
        value = _config_slots.encode_change(change)
        kind = _register.NOT_WRITTEN
        for _ in range(MAX_WRITE_ATTEMPTS):
            result = self._register.change(
                _config_slots.slot_key(version),
                lambda current: _config_slots.fill_slot(current, value),
            )
            if isinstance(result, returns.result.Success):
                return result
            if result.failure().kind == _register.NOT_WRITTEN:
                break
            kind = _register.UNKNOWN
            found = self._register.read(_config_slots.slot_key(version))
            if found.value_or(None) is not None:
                return found
        return _failure(kind, result.failure().detail)

    def _learn_outcome(self, change):
        """Read the log past the written slot and decide by the state.

        The record in the slot is not sufficient: the slot may have been
        filled by another change and deleted before this one was written.
        """
        result = self.refresh()
        if isinstance(result, returns.result.Failure):
            return _failure(_register.UNKNOWN, result.failure().detail)
        outcome = _config_slots.judge(self._folded, change)
        if outcome is None:
            return _failure(_register.UNKNOWN, 'the written slot is absent')
        if outcome.accepted:
            self._write_snapshot_if_due()
        return returns.result.Success(outcome)

    def _write_snapshot_if_due(self):
        """Write a snapshot if due; after a failure the next change retries."""
        folded = self._folded
        if folded.version < self._head.snapshot + self._snapshot_every:
            return
        value = self._blocking(
            _config_slots.encode_snapshot, self._fold, folded
        )
        result = self._register.change(
            _config_slots.SNAPSHOT_KEY,
            lambda current: _config_slots.replace_snapshot(current, value),
        )
        if isinstance(result, returns.result.Failure):
            kernel.emit(
                _events.SNAPSHOT_FAILED, detail=result.failure().detail
            )
            return
        floor = 0
        if self._delete is not None:
            floor = _config_slots.floor_for(folded.version, self._kept_slots)
        wanted = _config_slots.Head(folded.version, floor)
        result = self._register.change(
            _config_slots.HEAD_KEY,
            lambda current: _config_slots.encode_head(
                _config_slots.raise_head(
                    _config_slots.decode_head(current), wanted
                )
            ),
        )
        if isinstance(result, returns.result.Success):
            self._head = _config_slots.decode_head(result.unwrap().value)


def _failure(kind, detail):
    return returns.result.Failure(_register.RegisterError(kind, detail))
