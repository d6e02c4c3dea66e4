"""Durable state of a replica: an append-only file of checksummed frames.

One frame holds all records of one group commit. A frame is written only
after the fsync of the previous one, so a crash can leave only the last frame
incomplete. A damaged frame that is followed by another one had been synced.
"""

import contextlib
import errno
import fcntl
import functools
import os
import pathlib
import secrets
import struct
import zlib

import attrs
import paddle_kernel as kernel

from paddle_coord import _acceptor
from paddle_coord import _events
from paddle_coord import _messages
from paddle_coord import _view

FILE_NAME = 'register.log'
LOCK_NAME = 'register.lock'
IDENTITY_BYTES = 16

MARKER = b'PdlFrm\x00\x01'
# Marker, payload length, CRC of the payload.
_HEADER = struct.Struct('!8sII')
# CRC of the header, so that a damaged length is not mistaken for an
# incomplete frame.
_HEADER_CRC = struct.Struct('!I')
HEADER_BYTES = _HEADER.size + _HEADER_CRC.size
# Length of the kind and of the body of one record.
_RECORD = struct.Struct('!BI')

COMPACT_MIN_BYTES = 4 * 1024 * 1024
COMPACT_GROWTH_RATIO = 4
SNAPSHOT_FRAME_RECORDS = 1_000
# Errors of a disk, or of a quota, without room for a copy of the file.
NO_ROOM_ERRORS = (errno.ENOSPC, errno.EDQUOT)


class StoreError(Exception):
    """The store cannot be used; the message names the file and the remedy."""


class DamagedStoreError(StoreError):
    """A synced record is damaged."""

    def __init__(self, path, offset):
        self.path = path
        self.offset = offset
        super().__init__(
            f'{path}: the record at byte {offset} is damaged and later '
            'records follow it; replace this replica, or inspect the loss '
            f'with: python -m paddle_coord.repair {path}'
        )


@attrs.define
class State:
    """Durable state of a replica."""

    identity: str = ''
    view: _view.View = _view.UNFORMED
    floor: int = 0
    cells: dict = attrs.Factory(dict)

    def cell(self, key):
        """Return the cell of ``key``, an empty one if it is not stored."""
        cell = self.cells.get(key)
        return _acceptor.absent(self.floor) if cell is None else cell


@functools.singledispatch
def apply(record, state):
    """Apply one store record to ``state``."""
    raise TypeError(f'{type(record).__name__} is not a store record')


@apply.register
def _apply_identity(record: _messages.IdentityRecord, state):
    state.identity = record.identity
    state.view = _view.UNFORMED


@apply.register
def _apply_cell(record: _messages.CellRecord, state):
    state.cells[record.key] = _acceptor.Cell(
        record.promised, record.accepted, record.record
    )


@apply.register
def _apply_drop(record: _messages.DropRecord, state):
    state.cells.pop(record.key, None)


@apply.register
def _apply_floor(record: _messages.FloorRecord, state):
    state.floor = max(state.floor, record.floor)


@apply.register
def _apply_view(record: _messages.ViewRecord, state):
    if record.cleared:
        state.cells.clear()
    state.view = record.view
    state.floor = max(state.floor, record.view.floor)


def new_identity():
    """Return a random replica identity."""
    return secrets.token_hex(IDENTITY_BYTES)


def encode_frame(records):
    """Return the bytes of one frame that holds ``records``."""
    parts = []
    for record in records:
        kind, body = kernel.codec.encode(record)
        name = kind.encode()
        parts += [_RECORD.pack(len(name), len(body)), name, body]
    payload = b''.join(parts)
    header = _HEADER.pack(MARKER, len(payload), zlib.crc32(payload))
    return header + _HEADER_CRC.pack(zlib.crc32(header)) + payload


def _decode_records(payload):
    offset = 0
    while offset < len(payload):
        kind_size, body_size = _RECORD.unpack_from(payload, offset)
        start = offset + _RECORD.size
        middle = start + kind_size
        offset = middle + body_size
        kind = payload[start:middle].decode()
        yield kernel.codec.decode(kind, payload[middle:offset])


def _read_frame(data, offset):
    """Return ``(payload, end)`` of the frame at ``offset`` or ``None``."""
    header = data[offset : offset + _HEADER.size]
    checksum = data[offset + _HEADER.size : offset + HEADER_BYTES]
    if len(checksum) < _HEADER_CRC.size:
        return None
    if _HEADER_CRC.unpack(checksum) != (zlib.crc32(header),):
        return None
    marker, size, payload_crc = _HEADER.unpack(header)
    end = offset + HEADER_BYTES + size
    payload = data[offset + HEADER_BYTES : end]
    if marker != MARKER or len(payload) != size:
        return None
    if zlib.crc32(payload) != payload_crc:
        return None
    return payload, end


@attrs.frozen
class ScanResult:
    """Result of reading a file.

    ``damaged_offset`` is the offset of the first unreadable frame, ``None``
    if all are readable; ``later_frame_offsets`` are those of the frame
    markers found after it.
    """

    frames: int
    end: int
    damaged_offset: int | None
    later_frame_offsets: tuple[int, ...]


def scan(data, state):
    """Apply the frames of ``data`` to ``state`` up to a damaged one."""
    offset, frames = 0, 0
    while offset < len(data):
        decoded = _read_frame(data, offset)
        if decoded is None:
            later = tuple(_markers(data, offset + 1))
            return ScanResult(frames, offset, offset, later)
        payload, offset = decoded
        frames += 1
        for record in _decode_records(payload):
            apply(record, state)
    return ScanResult(frames, offset, None, ())


def _markers(data, offset):
    while (offset := data.find(MARKER, offset)) >= 0:
        yield offset
        offset += 1


def decode_frame(data, offset):
    """Return the records of the frame at ``offset``, empty if damaged."""
    decoded = _read_frame(data, offset)
    return tuple(_decode_records(decoded[0])) if decoded else ()


def sync_directory(path):
    """Fsync the directory ``path``, which makes its entries durable."""
    fd = os.open(path, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


class Store:
    """State of one replica with its file.

    :meth:`put` changes the state in memory; the change is durable after the
    next :meth:`write`, which the caller runs in a thread.
    """

    def __init__(self, path, state, fd, lock_fd, size, sync):
        self.path = path
        self.state = state
        self.pending = []
        self._fd = fd
        self._lock_fd = lock_fd
        self._size = size
        self._size_after_compaction = size
        self._sync = sync

    @classmethod
    def open(cls, data_dir, *, sync=os.fdatasync):
        """Open or initialize the store in ``data_dir``.

        :raises DamagedStoreError: if a synced record is damaged.
        :raises StoreError: if another process uses the directory.
        """
        data_dir = pathlib.Path(data_dir)
        data_dir.mkdir(parents=True, exist_ok=True)
        lock_fd = _lock(data_dir)
        try:
            return cls._open_locked(data_dir, lock_fd, sync)
        except BaseException:
            os.close(lock_fd)
            raise

    @classmethod
    def _open_locked(cls, data_dir, lock_fd, sync):
        path = data_dir / FILE_NAME
        data = path.read_bytes() if path.exists() else b''
        state = State()
        result = scan(data, state)
        if result.later_frame_offsets:
            raise DamagedStoreError(path, result.damaged_offset)
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        store = cls(path, state, fd, lock_fd, result.end, sync)
        try:
            if result.damaged_offset is not None:
                kernel.emit(
                    _events.TORN_RECORD,
                    file=str(path),
                    offset=result.end,
                    dropped_bytes=len(data) - result.end,
                )
                os.ftruncate(fd, result.end)
            store.prepare(data[: result.end])
        except BaseException:
            # Not ``fd``, which is closed once the file is replaced.
            os.close(store._fd)
            raise
        return store

    def prepare(self, data):
        """Make what was read durable; give an empty store an identity.

        ``data`` are the bytes that the state was read from. A killed process
        may have written some that it did not sync, or whose sync failed. After
        a failed sync the kernel may have dropped them, although it still
        returns them, and the next sync of the same file succeeds. So they are
        written once more, to a new file.

        :raises OSError: if the disk is full or fails.
        """
        is_new = not self.state.identity
        if is_new:
            self.put(_messages.IdentityRecord(new_identity()))
        fd = self._fd
        try:
            self.replace(self.snapshot())
        except OSError as exc:
            is_replaced = self._fd != fd
            if exc.errno not in NO_ROOM_ERRORS or is_replaced or is_new:
                raise
            # Without room for a copy the replica can still answer reads.
            self._write_in_place(data)

    def _write_in_place(self, data):
        """Write the bytes of the file once more and sync them; blocks.

        This takes no room, and a process that is killed meanwhile leaves the
        same bytes.
        """
        # In append mode Linux ignores the offset of a write.
        fd = os.open(self.path, os.O_WRONLY)
        try:
            view = memoryview(data)
            while view:
                view = view[os.pwrite(fd, view, len(data) - len(view)) :]
            self._sync(fd)
        finally:
            os.close(fd)
        sync_directory(self.path.parent)

    @property
    def size(self):
        """Size of the file in bytes."""
        return self._size

    def put(self, record):
        """Apply ``record`` in memory and queue it for the file."""
        apply(record, self.state)
        self.pending.append(record)

    def take_frame(self):
        """Return the queued records as one frame and clear the queue."""
        records, self.pending = self.pending, []
        return encode_frame(records) if records else b''

    def write(self, data):
        """Append ``data`` to the file and sync it; blocks.

        :raises OSError: if the disk is full or fails.
        """
        view = memoryview(data)
        while view:
            view = view[os.write(self._fd, view) :]
        self._sync(self._fd)
        self._size += len(data)

    def needs_compaction(self):
        """Return whether the file has outgrown its last snapshot."""
        limit = max(
            COMPACT_MIN_BYTES,
            COMPACT_GROWTH_RATIO * self._size_after_compaction,
        )
        return self._size > limit

    def snapshot(self):
        """Return the state as frames; clear the queue, which it includes."""
        self.pending = []
        state = self.state
        records = [
            _messages.IdentityRecord(state.identity),
            _messages.FloorRecord(state.floor),
            _messages.ViewRecord(state.view, False),
        ]
        records += [
            _messages.CellRecord(key, cell.promised, cell.accepted, cell.value)
            for key, cell in state.cells.items()
        ]
        return b''.join(
            encode_frame(records[start : start + SNAPSHOT_FRAME_RECORDS])
            for start in range(0, len(records), SNAPSHOT_FRAME_RECORDS)
        )

    def replace(self, data):
        """Replace the file by ``data`` and sync it; blocks.

        :raises OSError: if the disk is full or fails. The file is then the
            old or the new one.
        """
        temporary = self.path.with_suffix('.new')
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        fd = os.open(temporary, flags, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(fd, view) :]
            self._sync(fd)
            os.replace(temporary, self.path)
        except BaseException:
            os.close(fd)
            # A partial file must not take up the room of later writes.
            os.unlink(temporary)
            raise
        os.close(self._fd)
        self._fd = fd
        self._size = self._size_after_compaction = len(data)
        sync_directory(self.path.parent)

    def load_synced(self):
        """Return the state that the synced part of the file holds; blocks.

        :raises OSError: if the file cannot be read.
        :raises DamagedStoreError: if a synced record is damaged.
        """
        data = self.path.read_bytes()[: self._size]
        state = State()
        result = scan(data, state)
        if result.end != self._size:
            raise DamagedStoreError(self.path, result.end)
        return state

    def roll_back(self, state):
        """Continue with ``state``; discard the queued records."""
        self.state = state
        self.pending = []

    def close(self):
        """Close the file and release the lock of the directory."""
        os.close(self._fd)
        os.close(self._lock_fd)


@contextlib.contextmanager
def hold_lock(data_dir):
    """Hold the lock of a data directory.

    :raises StoreError: if a replica uses the directory.
    """
    fd = _lock(pathlib.Path(data_dir))
    try:
        yield
    finally:
        os.close(fd)


def _lock(data_dir):
    """Lock the directory: two processes must not share one identity."""
    fd = os.open(data_dir / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as exc:
        os.close(fd)
        raise StoreError(
            f'{data_dir}: in use by another process; stop it first'
        ) from exc
    return fd
