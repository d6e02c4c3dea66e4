"""Tests of the store file of a replica and of its repair."""

import errno
import os

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
