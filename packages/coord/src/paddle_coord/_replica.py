"""Replica that votes on registers and stores its votes durably."""

import functools
import os

import gevent
import gevent.event
import paddle_kernel as kernel

from paddle_coord import _acceptor
from paddle_coord import _events
from paddle_coord import _messages
from paddle_coord import _store
from paddle_coord import _view

KEYS_PER_LIST = 10_000
# Pause between two tries to rewrite the file after a failed write. A message
# starts a try, so that an idle replica does not use its disk.
RECOVERY_RETRY_MS = 250


class _GroupCommit:
    """Group commit: all waiting greenlets share one write and fsync.

    The first waiter writes for all others; the write runs in a thread of the
    hub's pool, so that a slow disk does not stop the event loop.

    After a failed write the records that were not synced are dropped, and
    their waiters fail. :meth:`recover` then goes back to the synced state.
    """

    def __init__(self, store, clock, blocking):
        self._store = store
        self._clock = clock
        self._blocking = blocking
        self._queued_count = 0
        self._durable_count = 0
        self._write_done = None
        # Number of failed writes so far; a waiter whose write failed fails
        # also if later ones succeed before it runs again.
        self._failed_count = 0
        self._closed = False
        self._next_recovery_ms = 0
        # The synced state as a file, once it is loaded after a failure.
        self._synced_data = None
        self.durable_view = store.state.view
        self.failure = None

    def put(self, record):
        """Apply ``record``; it is durable after the next :meth:`wait`."""
        self._store.put(record)
        self._queued_count += 1

    def wait(self):
        """Wait until everything put so far is durable; return success."""
        target, failed_count = self._queued_count, self._failed_count
        while (
            self._durable_count < target
            and self.failure is None
            and self._failed_count == failed_count
        ):
            if self._write_done is None:
                # In a separate greenlet, because the waiter may be killed.
                self._start(self._write)
            self._write_done.wait()
        return self.failure is None and self._failed_count == failed_count

    def recover(self):
        """Start to rewrite the file after a failure, if that is due."""
        if (
            self.failure is not None
            and not self._closed
            and self._write_done is None
            and self._clock.now_ms() >= self._next_recovery_ms
        ):
            self._start(self._recover)

    def close(self):
        """Wait for the write in progress and fail all later ones."""
        self._closed = True
        while self._write_done is not None:
            self._write_done.wait()
        self.failure = self.failure or _store.StoreError('stopped')

    def _start(self, function):
        self._write_done = gevent.event.Event()
        gevent.spawn(self._run, function)

    def _run(self, function):
        try:
            function()
        finally:
            write_done, self._write_done = self._write_done, None
            write_done.set()

    def _write(self):
        queued_count = self._queued_count
        view = self._store.state.view
        try:
            self._write_or_compact()
        except Exception as exc:
            # Whatever the cause, memory may now be ahead of the disk.
            self.failure = exc
            self._failed_count += 1
            kernel.emit(
                _events.STORE_FAILED,
                file=str(self._store.path),
                error=str(exc),
            )
        else:
            self._durable_count = queued_count
            self.durable_view = view

    def _write_or_compact(self):
        if not self._store.needs_compaction():
            self._blocking(self._store.write, self._store.take_frame())
            return
        bytes_before = self._store.size
        self._blocking(self._store.replace, self._store.snapshot())
        kernel.emit(
            _events.STORE_COMPACTED,
            bytes_before=bytes_before,
            bytes_after=self._store.size,
        )

    def _recover(self):
        """Go back to the synced state and write it to a new file.

        After a failed fsync the pages of the old file may be lost, so nothing
        is appended to that.
        """
        try:
            if self._synced_data is None:
                state = self._blocking(self._store.load_synced)
                self._store.roll_back(state)
                self._synced_data = self._store.snapshot()
            self._blocking(self._store.replace, self._synced_data)
        except Exception as exc:
            if str(exc) != str(self.failure):
                kernel.emit(
                    _events.STORE_NOT_RECOVERED,
                    file=str(self._store.path),
                    error=str(exc),
                )
            self.failure = exc
            self._next_recovery_ms = self._clock.now_ms() + RECOVERY_RETRY_MS
            return
        self._synced_data = None
        self._durable_count = self._queued_count
        self.durable_view = self._store.state.view
        self.failure = None
        kernel.emit(
            _events.STORE_RECOVERED,
            file=str(self._store.path),
            file_bytes=self._store.size,
        )


class Replica:
    """Answers the messages of proposers; see :mod:`paddle_coord._messages`.

    After a failed write or sync its memory may be ahead of its disk, so it
    refuses to vote until it has gone back to the synced state and rewritten
    its file. Messages that arrive meanwhile trigger this.
    """

    def __init__(self, store, address, clock, blocking=None):
        self._store = store
        self._address = address
        self._commit = _GroupCommit(
            store, clock, blocking or kernel.run_in_thread
        )
        self._stopped = False
        self.votes = 0
        # Set before the replica leaves the set to stop.
        self.is_leaving = False

    @classmethod
    def open(
        cls, data_dir, address, clock, *, sync=os.fdatasync, blocking=None
    ):
        """Open the replica in ``data_dir``; initialize an empty directory.

        ``sync(fd)`` flushes a file to disk. ``blocking(function, *args)``
        runs a function outside of the event loop. Tests replace both.

        :raises StoreError: if the store is damaged or in use.
        """
        store = _store.Store.open(data_dir, sync=sync)
        return cls(store, address, clock, blocking)

    @property
    def identity(self):
        """Random id of this data directory."""
        return self._store.state.identity

    @property
    def voting(self):
        """Whether the replica is a member and can write."""
        member = self._store.state.view.member(self.identity)
        return member is not None and self._can_write

    @property
    def _can_write(self):
        return not self._stopped and self._commit.failure is None

    def handle(self, message):
        """Return the answer to ``message``, ``None`` for an unknown type."""
        self._commit.recover()
        return self._answer(message)

    def stop(self):
        """Finish the write in progress and close the store."""
        if not self._stopped:
            self._stopped = True
            self._commit.close()
            self._store.close()

    def dump(self):
        """Return the status as plain data, without keys or values."""
        state = self._store.state
        return {
            'identity': state.identity,
            'address': self._address,
            'epoch': state.view.epoch,
            'changing': state.view.changing,
            'members': [item.address for item in state.view.new],
            'voting': self.voting,
            'keys': len(state.cells),
            'floor': state.floor,
            'file_bytes': self._store.size,
            'votes': self.votes,
            'failure': str(self._commit.failure or ''),
        }

    @functools.singledispatchmethod
    def _answer(self, message):
        return None

    @_answer.register
    def _prepare(self, message: _messages.Prepare):
        refusal = self._refusal(message)
        if refusal is not None:
            return refusal
        cell = self._store.state.cell(message.key)
        promised = _acceptor.prepare(cell, message.ballot)
        if promised is None:
            return self._answer_when_durable(_messages.Conflict(cell.promised))
        floor = self._store.state.floor
        return self._vote(
            message,
            promised,
            _messages.Promise(promised.accepted, promised.value, floor),
        )

    @_answer.register
    def _accept(self, message: _messages.Accept):
        refusal = self._refusal(message)
        if refusal is not None:
            return refusal
        cell = self._store.state.cell(message.key)
        accepted = _acceptor.accept(cell, message.ballot, message.record)
        if accepted is None:
            return self._answer_when_durable(_messages.Conflict(cell.promised))
        return self._vote(
            message, accepted, _messages.Accepted(message.ballot)
        )

    @_answer.register
    def _fetch(self, message: _messages.Fetch):
        refusal = self._refusal(message)
        if refusal is not None:
            return refusal
        cell = self._store.state.cell(message.key)
        return self._answer_when_durable(
            _messages.Fetched(cell.accepted, cell.value)
        )

    @_answer.register
    def _peek(self, message: _messages.Peek):
        refusal = self._refusal(message)
        if refusal is not None:
            return refusal
        cell = self._store.state.cell(message.key)
        return self._answer_when_durable(_messages.Peeked(cell.accepted))

    @_answer.register
    def _list_keys(self, message: _messages.ListKeys):
        refusal = self._refusal(message)
        if refusal is not None:
            return refusal
        state = self._store.state
        keys = sorted(
            key
            for key, cell in state.cells.items()
            if key > message.after
            and key.startswith(message.prefix)
            and (message.stored or _is_live(cell))
        )
        page = tuple(keys[:KEYS_PER_LIST])
        more = len(keys) > len(page)
        return self._answer_when_durable(
            _messages.KeyList(page, more, state.floor)
        )

    @_answer.register
    def _drop_key(self, message: _messages.DropKey):
        refusal = self._refusal(message)
        if refusal is not None:
            return refusal
        state = self._store.state
        cell = state.cells.get(message.key)
        if cell is not None:
            if not _acceptor.droppable(cell, message.ballot):
                return self._answer_when_durable(_messages.KeyDropped(False))
            floor = _acceptor.raised_floor(state.floor, message.ballot)
            # Both records are written in one frame, the floor first.
            self._commit.put(_messages.FloorRecord(floor))
            self._commit.put(_messages.DropRecord(message.key))
        return self._answer_when_durable(_messages.KeyDropped(True))

    @_answer.register
    def _adopt_view(self, message: _messages.AdoptView):
        if not self._can_write:
            return self._refuse_failed()
        if message.target != self.identity:
            return self._refuse(_view.WRONG_REPLICA)
        current = self._store.state.view
        is_newer = _view.adopts(current, message.view)
        must_clear = _view.must_clear(current, message.view, self.identity)
        if is_newer:
            self._commit.put(_messages.ViewRecord(message.view, must_clear))
        if not self._commit.wait():
            return self._refuse_failed()
        if is_newer:
            kernel.emit(
                _events.VIEW_ADOPTED,
                replica=self._address,
                epoch=message.view.epoch,
                cleared=must_clear,
            )
        return self._make_status()

    @_answer.register
    def _status(self, _message: _messages.StatusRequest):
        return self._make_status()

    def _make_status(self):
        state = self._store.state
        return _messages.ReplicaStatus(
            identity=state.identity,
            address=self._address,
            view=self._commit.durable_view,
            voting=self.voting,
            keys=len(state.cells),
            floor=state.floor,
            leaving=self.is_leaving,
        )

    def _refusal(self, message):
        if not self._can_write:
            return self._refuse_failed()
        kind = _view.refusal(
            self._store.state.view,
            self.identity,
            message.target,
            message.epoch,
        )
        if kind is None:
            return None
        # A proposer concludes that the message never takes effect.
        return self._answer_when_durable(self._refuse(kind))

    def _refuse(self, kind):
        view = self._store.state.view
        return _messages.Refusal(kind, self.identity, view)

    def _refuse_failed(self):
        return _messages.Refusal(
            _view.STORE_FAILED, self.identity, self._commit.durable_view
        )

    def _vote(self, message, cell, answer):
        self.votes += 1
        self._commit.put(
            _messages.CellRecord(
                message.key, cell.promised, cell.accepted, cell.value
            )
        )
        return self._answer_when_durable(answer)

    def _answer_when_durable(self, answer):
        """Return ``answer`` once the state it is based on is on disk."""
        if self._commit.wait():
            return answer
        return self._refuse_failed()


def _is_live(cell):
    return cell.value is not None and cell.value.value is not None
