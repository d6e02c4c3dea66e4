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
    """Processes that share one register."""

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


def fill(log, count):
    for _ in range(count):
        version = log.version
        outcome = submit(log, f'fill-{version}', version).unwrap()
        assert outcome.accepted


def test_exactly_one_of_racing_changes_is_accepted(cluster):
    # Guards against two operators who both see their change succeed.
    first, second = cluster.log(), cluster.log()
    fill(first, 2)
    second.refresh()
    assert submit(first, 'a', 2).unwrap().version == 3
    loser = submit(second, 'b', 2).unwrap()
    assert (loser.accepted, loser.reason) == (False, 'conflict')
    assert loser.version == second.version == 3


def test_loser_within_the_register_learns_the_current_version(cluster):
    # Guards against a race that is only visible when the slot is written.
    log, rival = cluster.log(), cluster.log()
    change = cluster.register.change

    def rival_first(key, function):
        cluster.register.change = change
        fill(rival, 2)
        return change(key, function)

    cluster.register.change = rival_first
    assert submit(log, 'a', 0).unwrap() == coord.ChangeOutcome(
        accepted=False, version=2, reason='conflict'
    )


def test_resend_after_500_changes_and_a_restart_is_the_first_outcome(cluster):
    # Guards against applying a change again whose response was lost.
    log = cluster.log()
    fill(log, 3)
    first = submit(log, 'a', 3).unwrap()
    rejected = submit(log, 'b', 3).unwrap()
    fill(log, 500)
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


def test_outcome_that_is_no_longer_remembered_is_named_so(cluster):
    # Guards against "conflict" for a change that was accepted long ago.
    folded = _config_slots.Folded(5_000, 0, {})
    change = coord.ConfigChange('a', 5_000 - 4_097, 1)
    assert _config_slots.judge(folded, change).reason == 'forgotten'
    change = coord.ConfigChange('a', 5_000 - 4_096, 1)
    assert _config_slots.judge(folded, change).reason == 'conflict'


def test_invalid_operation_is_rejected_with_its_findings(cluster):
    # Guards against a slot that no follower can fold.
    log = cluster.log()
    outcome = submit(log, 'a', 0, -1).unwrap()
    assert (outcome.reason, outcome.findings[0].value) == ('invalid', -1)
    assert log.version == 0


def test_version_beyond_the_log_is_not_a_rejection(cluster):
    # Guards against a rejected change that is accepted when it is resent.
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
    # Guards against counting the duration of a slow read as fresh.
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
    fill(cluster.log(), 500)
    reads = []
    read = cluster.register.quick_read
    cluster.register.quick_read = lambda key: reads.append(key) or read(key)
    restarted = cluster.log()
    assert restarted.refresh().unwrap() == 500
    assert len(reads) < _config_slots.SNAPSHOT_INTERVAL_VERSIONS + 8


def test_snapshot_survives_encoding():
    # Guards against a piecewise encoding that is not the state's JSON.
    state = {'a': [], 'b': [{'x"': [1, 2]}, None], 'c': {}, 'd': 'ü'}
    outcomes = {'i"d': _config_slots.AcceptedChange(3, 'ab')}
    folded = _config_slots.Folded(3, state, outcomes)
    value = _config_slots.encode_snapshot(SumFold(), folded)
    assert _config_slots.decode_snapshot(SumFold(), value) == folded


def test_lost_snapshot_write_is_made_up_by_the_next_change(cluster):
    # Guards against a log that grows without bound after one failure.
    log = cluster.log()
    fill(log, 63)
    cluster.register.failures = [None, 'not_written']
    fill(log, 1)
    assert _config_slots.SNAPSHOT_KEY not in cluster.register.values
    fill(log, 1)
    assert log.dump()['snapshot'] == 65


def test_stale_follower_does_not_mistake_a_deleted_slot_for_the_end(cluster):
    # Guards against confirming an old version because its next slot is gone.
    stale, log = cluster.log(), cluster.log()
    fill(log, 10)
    stale.refresh()
    fill(log, 200)
    assert (
        log.collect().unwrap() == 192 - _config_slots.SLOTS_KEPT_BELOW_SNAPSHOT
    )
    assert _config_slots.slot_key(11) not in cluster.register.values
    assert stale.refresh().unwrap() == 210
    assert stale.state == 210


def test_deletion_between_the_reads_of_a_poll_is_noticed(cluster):
    # Guards against checking the floor before the slot instead of after it.
    stale, log = cluster.log(), cluster.log()
    fill(log, 10)
    stale.refresh()
    read = cluster.register.quick_read

    def advance_then_read(key):
        cluster.register.quick_read = read
        fill(log, 200)
        log.collect()
        return read(key)

    cluster.register.quick_read = advance_then_read
    assert stale.refresh().unwrap() == 210


def test_write_into_a_deleted_slot_is_not_accepted(cluster):
    # Guards against two changes on one version: the one whose slot was
    # deleted, and a late one of a stale writer.
    stale, log = cluster.log(), cluster.log()
    fill(log, 10)
    stale.refresh()
    change = cluster.register.change

    def advance_then_change(key, function):
        cluster.register.change = change
        fill(log, 200)
        log.collect()
        return change(key, function)

    cluster.register.change = advance_then_change
    outcome = submit(stale, 'late', 10, 1_000).unwrap()
    assert (outcome.accepted, outcome.version) == (False, 210)
    late_reader = cluster.log()
    late_reader._folded = _config_slots.Folded(10, 10, {})
    late_reader._confirmed_ms = 0
    assert late_reader.refresh().unwrap() == 210
    assert late_reader.state == stale.state == 210
    assert log.collect().unwrap() == 1


def test_restart_serves_nothing_older_than_before(cluster):
    # Guards against replicas that were restored from an old copy.
    log = cluster.log(version_path=cluster.path)
    fill(log, 3)
    old = dict(cluster.register.values)
    fill(log, 2)
    current, cluster.register.values = cluster.register.values, old
    restarted = cluster.log(version_path=cluster.path)
    assert 'version 5 was served' in restarted.refresh().failure().detail
    assert restarted.age_ms() == _config_log.NEVER_CONFIRMED_MS
    cluster.register.values = current
    assert restarted.refresh().unwrap() == 5


@pytest.mark.parametrize('text', ['', '7', '7 00000000\n', 'x\n'])
def test_corrupt_version_file_counts_as_absent(cluster, text):
    # Guards against a torn write that stops the process from starting.
    cluster.path.write_text(text)
    assert cluster.log(version_path=cluster.path).refresh().unwrap() == 0


def test_failed_version_file_does_not_stop_the_configuration(cluster):
    # Guards against a lost disk that ends serving.
    log = cluster.log(version_path=cluster.path / 'missing' / 'version')
    fill(log, 1)
    assert log.version == 1


def test_unfoldable_slot_is_not_skipped(cluster):
    # Guards against processes of different versions that drift apart.
    cluster.register.values[_config_slots.slot_key(1)] = (
        _config_slots.encode_change(coord.ConfigChange('a', 0, -1))
    )
    with pytest.raises(coord.UnfoldableSlotError):
        cluster.log().refresh()
