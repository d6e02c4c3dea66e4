"""Tests of the configuration log."""

import pytest
import returns.result

import paddle_coord as coord
from paddle_coord import _config_log
from paddle_coord import _config_slots
import paddle_kernel as kernel


class SumFold:
    """State is the sum of the operations; negative ones are findings."""

    def initial(self):
        return 0

    def apply(self, state, operation):
        if operation < 0:
            finding = kernel.Finding('$.operation', operation, 'at least 0')
            return returns.result.Failure((finding,))
        return returns.result.Success(state + operation)

    def dump(self, state):
        return state

    def load(self, data):
        return data


class Cluster:
    """Processes that share one register; :meth:`log` starts one."""

    def __init__(self, tmp_path):
        self.register = coord.MemoryRegister()
        self.clock = kernel.FakeClock()
        self.path = tmp_path / 'version'

    def log(self, **options):
        return coord.ConfigLog(
            self.register,
            self.clock,
            fold=SumFold(),
            keys=self.keys,
            delete=self.delete,
            **options,
        )

    def keys(self, prefix):
        return returns.result.Success(
            [key for key in self.register.values if key.startswith(prefix)]
        )

    def delete(self, key):
        del self.register.values[key]
        return returns.result.Success(None)


@pytest.fixture
def cluster(tmp_path):
    return Cluster(tmp_path)


def submit(log, id_, expected, operation=1):
    return log.submit(coord.ConfigChange(id_, expected, operation))


def submit_changes(log, count):
    for _ in range(count):
        version = log.version
        outcome = submit(log, f'fill-{version}', version).unwrap()
        assert outcome.accepted


def test_exactly_one_of_racing_changes_is_accepted(cluster):
    # Guards against two operators who both see their change succeed.
    first, second = cluster.log(), cluster.log()
    submit_changes(first, 2)
    second.refresh()
    assert submit(first, 'a', 2).unwrap().version == 3
    late_outcome = submit(second, 'b', 2).unwrap()
    assert (late_outcome.accepted, late_outcome.reason) == (False, 'conflict')
    assert late_outcome.version == second.version == 3


def test_race_lost_while_writing_the_slot_returns_the_current_version(cluster):
    # Guards against a wrong outcome when the race is lost between the read of
    # the log and the write of the slot.
    log, rival = cluster.log(), cluster.log()
    change = cluster.register.change

    def change_after_rival(key, function):
        cluster.register.change = change
        submit_changes(rival, 2)
        return change(key, function)

    cluster.register.change = change_after_rival
    assert submit(log, 'a', 0).unwrap() == coord.ChangeOutcome(
        accepted=False, version=2, reason='conflict'
    )


def test_resend_after_500_changes_and_a_restart_is_the_first_outcome(cluster):
    # Guards against applying a change twice after its response was lost.
    log = cluster.log()
    submit_changes(log, 3)
    first = submit(log, 'a', 3).unwrap()
    rejected = submit(log, 'b', 3).unwrap()
    submit_changes(log, 500)
    log.collect()
    restarted = cluster.log()
    assert submit(restarted, 'a', 3).unwrap() == first
    again = submit(restarted, 'b', 3).unwrap()
    assert (rejected.accepted, again.accepted) == (False, False)
    assert again.version == restarted.version == restarted.state == 504


def test_id_with_another_operation_is_rejected(cluster):
    # Guards against "accepted" for an operation that never took effect.
    log = cluster.log()
    submit(log, 'a', 0, 1)
    assert submit(log, 'a', 0, 2).unwrap().reason == 'id_reused'


def test_outcome_that_is_no_longer_stored_is_reported_as_forgotten(cluster):
    # Guards against "conflict" for a change that was accepted long ago.
    folded = _config_slots.FoldedState(5_000, 0, {})
    change = coord.ConfigChange('a', 5_000 - 4_097, 1)
    assert _config_slots.judge(folded, change).reason == 'forgotten'
    change = coord.ConfigChange('a', 5_000 - 4_096, 1)
    assert _config_slots.judge(folded, change).reason == 'conflict'


def test_invalid_operation_is_rejected_with_its_findings(cluster):
    # Guards against a slot whose operation no process can apply.
    log = cluster.log()
    outcome = submit(log, 'a', 0, -1).unwrap()
    assert (outcome.reason, outcome.findings[0].value) == ('invalid', -1)
    assert log.version == 0


def test_version_beyond_the_log_is_not_a_rejection(cluster):
    # Guards against a change that is first rejected and accepted on a resend.
    failure = submit(cluster.log(), 'a', 1).failure()
    assert failure.kind == coord.NOT_WRITTEN


@pytest.mark.parametrize('kind', ['unknown_lost', 'unknown_applied'])
def test_unknown_write_is_resolved_by_reading_the_slot(cluster, kind):
    # Guards against a change that takes effect but is reported as failed.
    log = cluster.log()
    cluster.register.failures = [kind]
    assert submit(log, 'a', 0).unwrap().accepted
    assert log.state == 1


def test_failure_after_an_unknown_write_stays_unknown(cluster):
    # Guards against "not written" while the first write may take effect.
    cluster.register.failures = ['unknown_lost', 'not_written']
    failure = submit(cluster.log(), 'a', 0).failure()
    assert failure.kind == coord.UNKNOWN


def test_follower_confirms_as_of_the_sending_time(cluster):
    # Guards against an age that leaves out the duration of a slow read.
    log = cluster.log()
    assert log.age_ms() == _config_log.NEVER_CONFIRMED_MS
    read = cluster.register.quick_read

    def slow_read(key):
        cluster.clock.advance(100)
        return read(key)

    cluster.register.quick_read = slow_read
    log.refresh()
    assert log.age_ms() == 200
    cluster.register.available = False
    assert log.refresh().failure().kind == coord.NOT_WRITTEN
    # The failed read took another 100 ms and confirmed nothing.
    assert log.age_ms() == 300


def test_restart_reads_a_snapshot_and_few_slots(cluster):
    # Guards against a start-up time that grows with the age of the log.
    submit_changes(cluster.log(), 500)
    reads = []
    read = cluster.register.quick_read
    cluster.register.quick_read = lambda key: reads.append(key) or read(key)
    restarted = cluster.log()
    assert restarted.refresh().unwrap() == 500
    assert len(reads) < _config_slots.SNAPSHOT_INTERVAL_VERSIONS + 8


def test_snapshot_survives_encoding():
    # Guards against encoding in pieces that gives other JSON than in one go.
    state = {'a': [], 'b': [{'x"': [1, 2]}, None], 'c': {}, 'd': 'ü'}
    outcomes = {'i"d': _config_slots.AcceptedChange(3, 'ab')}
    folded = _config_slots.FoldedState(3, state, outcomes)
    value = _config_slots.encode_snapshot(SumFold(), folded)
    assert _config_slots.decode_snapshot(SumFold(), value) == folded


def test_failed_snapshot_write_is_repeated_by_the_next_change(cluster):
    # Guards against a log that grows without bound after one failed write.
    log = cluster.log()
    submit_changes(log, 63)
    cluster.register.failures = [None, 'not_written']
    submit_changes(log, 1)
    assert _config_slots.SNAPSHOT_KEY not in cluster.register.values
    submit_changes(log, 1)
    assert log.dump()['snapshot'] == 65


def test_stale_follower_does_not_take_a_deleted_slot_for_the_end(cluster):
    # Guards against confirming an old version because its next slot is gone.
    stale, log = cluster.log(), cluster.log()
    submit_changes(log, 10)
    stale.refresh()
    submit_changes(log, 200)
    assert (
        log.collect().unwrap() == 192 - _config_slots.SLOTS_KEPT_BELOW_SNAPSHOT
    )
    assert _config_slots.slot_key(11) not in cluster.register.values
    assert stale.refresh().unwrap() == 210
    assert stale.state == 210


def test_deletion_between_the_reads_of_a_poll_is_noticed(cluster):
    # Guards against reading the head before the slot instead of after it.
    stale, log = cluster.log(), cluster.log()
    submit_changes(log, 10)
    stale.refresh()
    read = cluster.register.quick_read

    def advance_then_read(key):
        cluster.register.quick_read = read
        submit_changes(log, 200)
        log.collect()
        return read(key)

    cluster.register.quick_read = advance_then_read
    assert stale.refresh().unwrap() == 210


def test_write_into_a_deleted_slot_is_not_accepted(cluster):
    # Guards against two changes with one version: the one whose slot was
    # deleted, and the late write of a stale process into that slot.
    stale, log = cluster.log(), cluster.log()
    submit_changes(log, 10)
    stale.refresh()
    change = cluster.register.change

    def advance_then_change(key, function):
        cluster.register.change = change
        submit_changes(log, 200)
        log.collect()
        return change(key, function)

    cluster.register.change = advance_then_change
    outcome = submit(stale, 'late', 10, 1_000).unwrap()
    assert (outcome.accepted, outcome.version) == (False, 210)
    stale_reader = cluster.log()
    stale_reader._folded = _config_slots.FoldedState(10, 10, {})
    stale_reader._confirmed_ms = 0
    assert stale_reader.refresh().unwrap() == 210
    assert stale_reader.state == stale.state == 210
    assert log.collect().unwrap() == 1


def test_restart_serves_nothing_older_than_before(cluster):
    # Guards against serving old data after the replicas were restored from an
    # old backup.
    log = cluster.log(version_path=cluster.path)
    submit_changes(log, 3)
    old = dict(cluster.register.values)
    submit_changes(log, 2)
    current, cluster.register.values = cluster.register.values, old
    restarted = cluster.log(version_path=cluster.path)
    assert 'version 5 was served' in restarted.refresh().failure().detail
    assert restarted.age_ms() == _config_log.NEVER_CONFIRMED_MS
    cluster.register.values = current
    assert restarted.refresh().unwrap() == 5


@pytest.mark.parametrize('text', ['', '7', '7 00000000\n', 'x\n'])
def test_corrupt_version_file_counts_as_absent(cluster, text):
    # Guards against an incomplete write that prevents a start of the process.
    cluster.path.write_text(text)
    assert cluster.log(version_path=cluster.path).refresh().unwrap() == 0


def test_failed_version_file_does_not_stop_the_configuration(cluster):
    # Guards against a failed disk that stops serving.
    log = cluster.log(version_path=cluster.path / 'missing' / 'version')
    submit_changes(log, 1)
    assert log.version == 1


def test_unfoldable_slot_is_not_skipped(cluster):
    # Guards against different states in processes of different versions.
    cluster.register.values[_config_slots.slot_key(1)] = (
        _config_slots.encode_change(coord.ConfigChange('a', 0, -1))
    )
    with pytest.raises(coord.UnfoldableSlotError):
        cluster.log().refresh()
