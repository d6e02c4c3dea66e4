"""Tests of the store file of a replica and of its repair."""

import errno
import os
import shutil

import paddle_coord as coord
from paddle_coord import _ballot
from paddle_coord import _messages
from paddle_coord import _store
from paddle_coord import _view
from paddle_coord import repair
import pytest


def put(store, key, counter):
    ballot = _ballot.Ballot(counter, 'p')
    store.put(_messages.CellRecord(key, ballot, _ballot.ZERO, None))
    store.write(store.take_frame())


def make_store_with_records(tmp_path):
    store = _store.Store.open(tmp_path)
    for counter in range(1, 4):
        put(store, f'k{counter}', counter)
    store.close()
    return store


def reopen_state(tmp_path):
    store = _store.Store.open(tmp_path)
    store.close()
    return store.state


@pytest.mark.parametrize('cut', [1, 20, 40])
def test_incomplete_last_record_is_dropped(tmp_path, cut):
    # Guards against a replica that cannot restart after a crash in a write.
    store = make_store_with_records(tmp_path)
    data = store.path.read_bytes()
    store.path.write_bytes(data[:-cut])
    state = reopen_state(tmp_path)
    assert sorted(state.cells) == ['k1', 'k2']
    assert state.identity == store.state.identity
    assert reopen_state(tmp_path).cells == state.cells


@pytest.mark.parametrize('field', [2, 10, 14, 18, 40])
def test_damaged_earlier_record_is_reported(tmp_path, field):
    # Guards against losing synced promises because damage in the marker, the
    # length, a checksum or the payload is taken for an incomplete record.
    store = make_store_with_records(tmp_path)
    data = bytearray(store.path.read_bytes())
    offset = data.index(_store.MARKER, 1)
    data[offset + field] ^= 0x55
    store.path.write_bytes(data)
    with pytest.raises(coord.DamagedStoreError) as caught:
        _store.Store.open(tmp_path)
    assert caught.value.offset == offset
    assert f'paddle_coord.repair {store.path}' in str(caught.value)


def test_compaction_keeps_the_state_and_shrinks_the_file(tmp_path):
    # Guards against a snapshot that omits part of the state.
    store = _store.Store.open(tmp_path)
    for counter in range(1, 200):
        put(store, 'k', counter)
    store.put(_messages.FloorRecord(7))
    size_before = store.size
    store.replace(store.snapshot())
    put(store, 'l', 1)
    store.close()
    assert store.size < size_before / 10
    assert reopen_state(tmp_path) == store.state


def test_directory_is_locked_by_one_process(tmp_path):
    # Guards against two processes that vote with one identity.
    store = _store.Store.open(tmp_path)
    with pytest.raises(coord.StoreError, match='in use'):
        _store.Store.open(tmp_path)
    store.close()


def test_repair_truncates_only_on_request_and_changes_the_identity(
    tmp_path, capsys
):
    # Guards against a repaired replica that votes under its old identity
    # although it may have lost promises.
    store = make_store_with_records(tmp_path)
    data = bytearray(store.path.read_bytes())
    data[data.index(_store.MARKER, 1) + 30] ^= 1
    store.path.write_bytes(data)
    assert repair.main([str(store.path)]) == repair.EXIT_DAMAGED
    assert '2 readable ones after it (2 CellRecord, 2 keys)' in (
        capsys.readouterr().out
    )
    assert store.path.read_bytes() == data
    assert repair.main([str(store.path), '--truncate']) == repair.EXIT_DONE
    state = reopen_state(tmp_path)
    assert state.identity != store.state.identity
    assert state.view == _view.UNFORMED
    assert state.cells == {}


def test_records_of_a_failed_sync_are_not_trusted_when_the_store_is_reopened(
    tmp_path,
):
    # Guards against a vote on records whose sync failed: the kernel drops
    # them after the error, and the next sync of the same file succeeds.
    path = tmp_path / _store.FILE_NAME
    _store.Store.open(tmp_path).close()
    ballot = _ballot.Ballot(1, 'p')
    record = _messages.CellRecord('k', ballot, _ballot.ZERO, None)
    with open(path, 'ab') as out:
        # A process that is killed before its sync leaves this.
        out.write(_store.encode_frame([record]))
    unsynced_inode = os.stat(path).st_ino

    def fail(_fd):
        raise OSError(errno.EIO, 'sync failed')

    with pytest.raises(OSError, match='sync failed'):
        _store.Store.open(tmp_path, sync=fail)
    store = _store.Store.open(tmp_path)
    trusts_record = 'k' in store.state.cells
    store.close()
    assert not trusts_record or os.stat(path).st_ino != unsynced_inode


def sync_error(code):
    def fail(_):
        raise OSError(code, 'sync failed')

    return fail


@pytest.mark.parametrize('failures', [1, 2, 3])
def test_records_are_written_to_a_new_file_after_each_failed_sync(
    tmp_path, failures
):
    # Guards against a second failure that leaves the file of the first one in
    # place, or a copy whose own sync failed.
    store = make_store_with_records(tmp_path)
    before = store.path.stat().st_ino
    for _ in range(failures):
        with pytest.raises(OSError, match='sync failed'):
            _store.Store.open(tmp_path, sync=sync_error(errno.EIO))
        assert store.path.stat().st_ino == before
        assert not store.path.with_suffix('.new').exists()
    synced = []
    reopened = _store.Store.open(
        tmp_path, sync=lambda fd: synced.append(os.fstat(fd).st_ino)
    )
    reopened.close()
    assert reopened.state == store.state
    assert synced == [store.path.stat().st_ino]


def test_a_failed_sync_of_the_directory_leaks_nothing(tmp_path, monkeypatch):
    # Guards against a new file whose name a power loss removes after records
    # were appended to it, and against a descriptor that is closed twice.
    store = make_store_with_records(tmp_path)
    descriptors = len(os.listdir('/proc/self/fd'))
    with monkeypatch.context() as patch:
        for code in (errno.EIO, errno.ENOSPC):
            patch.setattr(_store, 'sync_directory', sync_error(code))
            with pytest.raises(OSError, match='sync failed'):
                _store.Store.open(tmp_path)
            assert len(os.listdir('/proc/self/fd')) == descriptors
    renamed = store.path.stat().st_ino
    assert reopen_state(tmp_path) == store.state
    assert store.path.stat().st_ino != renamed


def test_a_new_file_is_not_overwritten_by_the_bytes_of_the_old_one(
    tmp_path, monkeypatch
):
    # Guards against old records after the new ones, if the disk had room for
    # the copy but the directory could not be synced.
    store = make_store_with_records(tmp_path)
    failures = [sync_error(errno.ENOSPC)]
    sync_directory = _store.sync_directory

    def fail_once(path):
        (failures.pop() if failures else sync_directory)(path)

    monkeypatch.setattr(_store, 'sync_directory', fail_once)
    with pytest.raises(OSError, match='sync failed'):
        _store.Store.open(tmp_path)
    data = store.path.read_bytes()
    assert reopen_state(tmp_path) == store.state
    assert store.path.read_bytes() == data


class FullDisk:
    """A disk with room for ``free_bytes`` of new files.

    Old ones can be overwritten. Each write takes a part of its bytes.
    """

    def __init__(self, monkeypatch, free_bytes):
        self.free_bytes = free_bytes
        self.overwritten = {}
        self._write = os.write
        self._pwrite = os.pwrite
        monkeypatch.setattr(_store.os, 'write', self.write)
        monkeypatch.setattr(_store.os, 'pwrite', self.pwrite)

    def write(self, fd, data):
        if not self.free_bytes:
            raise OSError(errno.ENOSPC, 'No space left on device')
        written = self._write(fd, bytes(data[: self.free_bytes]))
        self.free_bytes -= written
        return written

    def pwrite(self, fd, data, offset):
        data = bytes(data[:100])
        assert offset + len(data) <= os.fstat(fd).st_size
        self.overwritten[offset] = data
        return self._pwrite(fd, data, offset)


@pytest.mark.parametrize('cut', [0, 5])
@pytest.mark.parametrize('free_bytes', [0, 30])
def test_a_store_without_room_for_a_copy_is_overwritten(
    tmp_path, monkeypatch, free_bytes, cut
):
    # Guards against a replica that cannot start while its disk is full, and
    # against trusting its file there after a failed sync.
    store = make_store_with_records(tmp_path)
    os.truncate(store.path, store.size - cut)
    expected = ['k1', 'k2'] if cut else ['k1', 'k2', 'k3']
    with monkeypatch.context() as patch:
        disk = FullDisk(patch, free_bytes)
        with pytest.raises(OSError, match='sync failed'):
            _store.Store.open(tmp_path, sync=sync_error(errno.EIO))
        disk.free_bytes = free_bytes
        disk.overwritten.clear()
        synced = []
        full = _store.Store.open(
            tmp_path, sync=lambda fd: synced.append(os.fstat(fd).st_ino)
        )
        data = b''.join(disk.overwritten.values())
    assert data == store.path.read_bytes()
    assert synced == [store.path.stat().st_ino]
    assert sorted(full.state.cells) == expected
    # Appends go to the end of the file that was overwritten.
    put(full, 'k5', 5)
    full.close()
    assert full.load_synced() == full.state
    assert reopen_state(tmp_path) == full.state


class Kills:
    """Copies the folder before each change of it, and after parts of writes.

    A process that is killed at that point leaves this copy.
    """

    NAMES = (
        'open',
        'write',
        'pwrite',
        'fsync',
        'replace',
        'unlink',
        'ftruncate',
    )

    def __init__(self, monkeypatch, folder, copies):
        self.folder = folder
        self.copies = copies
        self.steps = []
        self._is_copying = False
        for name in self.NAMES:
            monkeypatch.setattr(
                _store.os, name, self._watched(name, getattr(os, name))
            )

    def sync(self, fd):
        self._copy('sync')
        os.fdatasync(fd)

    def _watched(self, name, function):
        def run(*args, **fields):
            if self._is_copying:
                return function(*args, **fields)
            self._copy(name)
            if name in ('write', 'pwrite'):
                fd, data, *rest = args
                args = fd, data[: max(1, len(data) // 2)], *rest
            return function(*args, **fields)

        return run

    def _copy(self, name):
        self._is_copying = True
        shutil.copytree(self.folder, self.copies / str(len(self.steps)))
        self._is_copying = False
        self.steps.append(name)


@pytest.mark.parametrize('cut', [0, 5])
@pytest.mark.parametrize('is_full', [False, True])
def test_a_process_killed_at_any_step_of_opening_loses_no_record(
    tmp_path, monkeypatch, is_full, cut
):
    # Guards against a moment at which the only file is incomplete, is taken
    # for damaged or has another identity.
    folder = tmp_path / 'disk'
    store = make_store_with_records(folder)
    os.truncate(store.path, store.size - cut)
    expected = ['k1', 'k2'] if cut else ['k1', 'k2', 'k3']
    with monkeypatch.context() as patch:
        if is_full:
            FullDisk(patch, 30)
        kills = Kills(patch, folder, tmp_path / 'copies')
        _store.Store.open(folder, sync=kills.sync).close()
    assert {'open', 'write', 'sync', 'fsync'} <= set(kills.steps)
    assert ('pwrite' if is_full else 'replace') in kills.steps
    for index in range(len(kills.steps)):
        state = reopen_state(kills.copies / str(index))
        assert sorted(state.cells) == expected
        assert state.identity == store.state.identity


def test_a_store_of_many_frames_is_the_same_after_each_start(
    tmp_path, monkeypatch
):
    # Guards against a start that drops a part of the state, and against a
    # file that grows with each one.
    monkeypatch.setattr(_store, 'SNAPSHOT_FRAME_RECORDS', 2)
    store = make_store_with_records(tmp_path)
    store = _store.Store.open(tmp_path)
    store.put(_messages.FloorRecord(7))
    store.put(_messages.DropRecord('k2'))
    store.write(store.take_frame())
    store.close()
    sizes = set()
    for _ in range(3):
        assert reopen_state(tmp_path) == store.state
        sizes.add(store.path.stat().st_size)
    assert len(sizes) == 1
