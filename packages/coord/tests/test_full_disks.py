"""Tests of replicas whose disk refuses writes for a while."""

import errno
import os
import pathlib
import shutil
import sys

import gevent
import gevent.event
import hypothesis
from hypothesis import strategies as st
import paddle_coord as coord
from paddle_coord import _acceptor
from paddle_coord import _ballot
from paddle_coord import _messages
from paddle_coord import _replica
from paddle_coord import _store
from paddle_coord import _version_file
import paddle_kernel as kernel
import pytest

CLOCK = kernel.SystemClock()
# contactMs of the users' platform.
RECOVERY_LIMIT_S = 3
COUNT = 3


class Disks:
    """Disks of the replicas, which refuse writes beyond their free bytes.

    A write that does not fit is written in part, as on a real disk.
    """

    def __init__(self, monkeypatch):
        self.free_bytes = {}
        self._write = os.write
        monkeypatch.setattr(_store.os, 'write', self.write)

    def write(self, fd, data):
        path = pathlib.Path(os.readlink(f'/proc/self/fd/{fd}'))
        free = self.free_bytes.get(path.parent)
        if free is None:
            return self._write(fd, data)
        if not free:
            raise OSError(errno.ENOSPC, 'No space left on device')
        written = self._write(fd, bytes(data[:free]))
        self.free_bytes[path.parent] -= written
        return written

    def fill(self, folder, free_bytes=0):
        self.free_bytes[folder] = free_bytes

    def free(self):
        self.free_bytes.clear()


class Replicas:
    """Three formed replicas on loopback and a proposer."""

    def __init__(self, root):
        self.folders = [root / str(index) for index in range(COUNT)]
        self.servers = [
            kernel.TcpServer('127.0.0.1:0', self._handler(index)).start()
            for index in range(COUNT)
        ]
        self.replicas = [
            coord.Replica.open(folder, server.address, CLOCK)
            for folder, server in zip(self.folders, self.servers)
        ]
        self.transport = kernel.TcpTransport()
        addresses = [item.address for item in self.servers]
        coord.ReplicaAdmin(self.transport, CLOCK).form(addresses).unwrap()
        self.proposer = coord.Proposer(
            self.transport,
            addresses,
            CLOCK,
            'p',
            options=coord.ProposerOptions(change_limit_ms=300),
        )

    def _handler(self, index):
        return lambda message: self.replicas[index].handle(message)

    def close(self):
        for server, replica in zip(self.servers, self.replicas):
            server.stop()
            replica.stop()
        self.transport.close()


@pytest.fixture
def disks(monkeypatch):
    return Disks(monkeypatch)


@pytest.fixture
def replicas(tmp_path, disks):
    built = Replicas(tmp_path)
    yield built
    built.close()


def change(proposer, value):
    return proposer.change('k', lambda _: value).value_or(None)


@pytest.mark.parametrize('free_bytes', [0, 30])
@pytest.mark.parametrize('in_turn', [False, True])
def test_a_majority_votes_again_once_its_disks_have_room(
    replicas, disks, free_bytes, in_turn
):
    # Guards against replicas that refuse until a restart after one failed
    # write.
    assert change(replicas.proposer, b'1')
    for folder in replicas.folders[:2]:
        disks.fill(folder, free_bytes)
        change(replicas.proposer, b'2')
        if in_turn:
            disks.free()
    if not in_turn:
        assert change(replicas.proposer, b'3') is None
    disks.free()
    with gevent.Timeout(RECOVERY_LIMIT_S):
        while not change(replicas.proposer, b'4'):
            gevent.sleep(0.05)
        assert replicas.proposer.read('k').unwrap() == b'4'


class FailingReplica:
    """One replica, formed as the only member, whose syncs can fail.

    Its clock is a fake one, and each message is answered before the next.
    """

    def __init__(self, folder):
        self.folder = folder
        self.is_failing = False
        self.clock = kernel.FakeClock()
        self.synced = b''
        # Cleared while the disk hangs.
        self.disk_runs = gevent.event.Event()
        self.disk_runs.set()
        self.replica = coord.Replica.open(
            folder / 'disk',
            'a:1',
            self.clock,
            sync=self._sync,
            blocking=self._block,
        )
        network = kernel.MemoryNetwork()
        network.serve('a:1', self.replica.handle)
        admin = coord.ReplicaAdmin(network.transport('admin'), CLOCK)
        self.epoch = admin.form(['a:1']).unwrap().epoch
        self.proposer = coord.Proposer(
            network.transport('p'), ['a:1'], kernel.FakeClock(), 'p'
        )

    def _sync(self, fd):
        if self.is_failing:
            raise OSError(errno.EIO, 'sync failed')
        with open(f'/proc/self/fd/{fd}', 'rb') as synced:
            self.synced = synced.read()

    def _block(self, function, *args):
        self.disk_runs.wait()
        return function(*args)

    def handle(self, kind, *args):
        target = self.replica.identity
        return self.replica.handle(kind(target, self.epoch, *args))

    def wait_for_retry(self):
        """Let a recovery start with the next message, and end."""
        self.clock.advance(_replica.RECOVERY_RETRY_MS)
        self.replica.handle(_messages.StatusRequest())
        gevent.sleep(0)

    def state_after_power_loss(self):
        """Return the state that a restart finds after a power loss."""
        folder = self.folder / 'restarted'
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir()
        (folder / _store.FILE_NAME).write_bytes(self.synced)
        store = _store.Store.open(folder)
        store.close()
        return store.state


@pytest.fixture
def failing(tmp_path):
    built = FailingReplica(tmp_path)
    yield built
    built.replica.stop()


def test_replica_with_failing_syncs_does_not_vote_and_drops_their_records(
    failing,
):
    # Guards against an answer based on a record that was not synced, also
    # after the replica votes again.
    proposer = failing.proposer
    assert change(proposer, b'1').applied
    failing.is_failing = True
    result = proposer.change('k', lambda _: b'2')
    assert result.failure().kind == coord.NOT_WRITTEN
    for _ in range(3):
        failing.wait_for_retry()
        assert not failing.replica.voting
        assert change(proposer, b'3') is None
    failing.is_failing = False
    assert change(proposer, b'3') is None
    failing.wait_for_retry()
    assert failing.replica.voting
    assert failing.replica._store.state == failing.state_after_power_loss()
    assert proposer.quick_read('k').unwrap() == b'1'
    assert change(proposer, b'4').applied


def check_answer(failing, key, answer):
    """Check that a power loss after ``answer`` does not contradict it."""
    cell = failing.state_after_power_loss().cell(key)
    if isinstance(answer, _messages.Promise):
        assert cell.promised == failing.ballot
    elif isinstance(answer, _messages.Accepted):
        assert cell.accepted >= answer.ballot
    elif isinstance(answer, _messages.Fetched | _messages.Peeked):
        assert cell.accepted >= answer.accepted
    elif isinstance(answer, _messages.Conflict):
        assert cell.promised >= answer.promised


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.sampled_from(['prepare', 'accept', 'fetch', 'peek']),
            st.sampled_from('kl'),
            st.integers(1, 6),
        ),
        st.sampled_from([('fail',), ('work',), ('wait',)]),
    ),
    max_size=25,
)


def run_steps(failing, steps):
    """Send messages between failures; check each answer."""
    for step, *args in steps:
        if step in ('fail', 'work'):
            failing.is_failing = step == 'fail'
            continue
        if step == 'wait':
            failing.wait_for_retry()
            continue
        key, counter = args
        failing.ballot = ballot = _ballot.Ballot(counter, 'p')
        record = _acceptor.Record(str(counter).encode())
        kind, rest = {
            'prepare': (_messages.Prepare, (key, ballot)),
            'accept': (_messages.Accept, (key, ballot, record)),
            'fetch': (_messages.Fetch, (key,)),
            'peek': (_messages.Peek, (key,)),
        }[step]
        check_answer(failing, key, failing.handle(kind, *rest))


def run_in_new_replica(folder, steps):
    shutil.rmtree(folder, ignore_errors=True)
    failing = FailingReplica(folder)
    try:
        run_steps(failing, steps)
    finally:
        failing.replica.stop()


@hypothesis.settings(
    deadline=None,
    max_examples=60,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(steps=STEPS)
def test_no_answer_is_contradicted_by_a_power_loss(tmp_path, steps):
    # Guards against answers from memory that is ahead of the disk, before,
    # during and after failures of the disk.
    run_in_new_replica(tmp_path / 'replica', steps)


def test_a_replica_that_resumes_ahead_of_its_disk_is_detected(
    tmp_path, monkeypatch
):
    # Guards against a property that holds although the records of a failed
    # sync stay in memory.
    def rewrite_nothing(commit):
        commit._durable_count = commit._queued_count
        commit.failure = None

    monkeypatch.setattr(_replica._GroupCommit, '_recover', rewrite_nothing)
    steps = [
        ('fail',),
        ('accept', 'k', 1),
        ('work',),
        ('wait',),
        ('fetch', 'k', 1),
    ]
    with pytest.raises(AssertionError):
        run_in_new_replica(tmp_path / 'replica', steps)


def test_a_conflict_is_answered_only_once_the_promise_is_synced(failing):
    # Guards against a change that is reported as not written because of a
    # promise which is then lost, so that a copy of its message is accepted.
    low, high = (_ballot.Ballot(counter, 'p') for counter in (3, 5))
    failing.disk_runs.clear()
    record = _acceptor.Record(b'1')
    jobs = [
        gevent.spawn(failing.handle, _messages.Prepare, 'k', high),
        gevent.spawn(failing.handle, _messages.Accept, 'k', low, record),
    ]
    gevent.idle()
    assert not jobs[1].ready()
    failing.is_failing = True
    failing.disk_runs.set()
    gevent.joinall(jobs, raise_error=True)
    assert [job.value.kind for job in jobs] == ['store_failed'] * 2


def test_a_failed_rewrite_leaves_no_file_behind(tmp_path, disks):
    # Guards against a partial copy that takes up the room of later writes.
    store = _store.Store.open(tmp_path)
    names = sorted(item.name for item in tmp_path.iterdir())
    disks.fill(tmp_path, 20)
    with pytest.raises(OSError, match='No space'):
        store.replace(store.snapshot())
    disks.free()
    assert sorted(item.name for item in tmp_path.iterdir()) == names
    store.close()


def test_opening_a_store_on_a_full_disk_leaks_no_descriptor(tmp_path, disks):
    # Guards against a process that runs out of descriptors while it retries.
    disks.fill(tmp_path, 20)
    before = len(os.listdir('/proc/self/fd'))
    for _ in range(3):
        with pytest.raises(OSError, match='No space'):
            _store.Store.open(tmp_path)
    assert len(os.listdir('/proc/self/fd')) == before
    disks.free()
    _store.Store.open(tmp_path).close()


def test_opening_a_store_syncs_what_it_read(tmp_path):
    # Guards against answers based on records that a killed process wrote but
    # did not sync, which a later power loss removes.
    _store.Store.open(tmp_path).close()
    synced = []
    _store.Store.open(tmp_path, sync=lambda fd: synced.append(fd)).close()
    assert synced


class FullStream:
    """Stream to a file on a full disk."""

    def write(self, _text):
        raise OSError(errno.ENOSPC, 'No space left on device')

    def flush(self):
        self.write('')


def test_a_version_is_stored_after_writes_failed_and_stderr_was_full(
    tmp_path, monkeypatch
):
    # Guards against a failed write that counts as unfinished for ever, because
    # the pool failed to print its traceback.
    versions = _version_file.VersionFile(tmp_path / 'missing' / 'version')
    with monkeypatch.context() as patch:
        patch.setattr(sys, 'stderr', FullStream())
        versions.write(1)
    (tmp_path / 'missing').mkdir()
    versions.write(2)
    assert versions.read() == 2
