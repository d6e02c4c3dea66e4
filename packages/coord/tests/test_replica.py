"""Tests of replicas and proposers over TCP."""

import gevent
import paddle_coord as coord
import paddle_kernel as kernel
import pytest
import returns.result

CLOCK = kernel.SystemClock()


class Replicas:
    """Replicas in this process that listen on loopback."""

    def __init__(self, root, count):
        self.servers, self.replicas = [], []
        for index in range(count):
            self.add(root / str(index))
        self.transport = kernel.TcpTransport()
        self.admin = coord.ReplicaAdmin(self.transport, CLOCK)

    def add(self, data_dir, address='127.0.0.1:0'):
        index = len(self.replicas)
        server = kernel.TcpServer(
            address, lambda message: self.replicas[index].handle(message)
        ).start()
        self.servers.append(server)
        self.replicas.append(
            coord.Replica.open(data_dir, server.address, CLOCK)
        )
        return server.address

    @property
    def addresses(self):
        return [item.address for item in self.servers]

    def proposer(self, name='daemon', **options):
        return coord.Proposer(
            self.transport,
            self.addresses,
            CLOCK,
            name,
            options=coord.ProposerOptions(**options),
        )

    def stop(self, index):
        self.servers[index].stop()
        self.replicas[index].stop()


@pytest.fixture
def three_replicas(tmp_path):
    replicas = Replicas(tmp_path, 3)
    replicas.admin.form(replicas.addresses).unwrap()
    yield replicas
    for index in range(len(replicas.servers)):
        replicas.stop(index)
    replicas.transport.close()


def increment(value):
    return str(int(value or b'0') + 1).encode()


def test_values_survive_the_loss_of_one_replica(three_replicas):
    # Guards against a write that is reported before a majority stores it.
    first, second = three_replicas.proposer('a'), three_replicas.proposer('b')
    assert first.change('k', lambda _: b'') == returns.result.Success(
        coord.Change(b'')
    )
    three_replicas.stop(0)
    assert second.read('k').unwrap() == b''
    assert second.quick_read('k').unwrap() == b''


def test_competing_changes_are_applied_exactly_once(three_replicas):
    # Guards against a retry that applies a change a second time after its
    # first attempt was completed by another proposer.
    def run_changes(proposer):
        results = [proposer.change('k', increment) for _ in range(20)]
        return [item for item in results if item.value_or(None)]

    jobs = [
        gevent.spawn(run_changes, three_replicas.proposer(name))
        for name in 'abc'
    ]
    gevent.joinall(jobs, raise_error=True)
    applied = sum(len(job.value) for job in jobs)
    value = int(three_replicas.proposer().read('k').unwrap())
    # A change with an unknown outcome may or may not count.
    assert applied <= value <= 60


def test_change_without_a_majority_is_not_written(three_replicas):
    # Guards against "unknown" for a change that was never sent.
    proposer = three_replicas.proposer(change_limit_ms=50)
    three_replicas.stop(0)
    three_replicas.stop(1)
    result = proposer.change('k', lambda _: b'1')
    assert result.failure().kind == coord.NOT_WRITTEN
    # The detail tells replicas that cannot be reached from those that refuse.
    assert 'refused' in result.failure().detail


def test_delete_frees_the_key_and_its_name_can_be_used_again(three_replicas):
    # Guards against tombstones that are never dropped.
    proposer = three_replicas.proposer()
    proposer.change('k', lambda _: b'1').unwrap()
    assert proposer.delete('k').unwrap() is True
    assert [item.dump()['keys'] for item in three_replicas.replicas] == [
        0,
        0,
        0,
    ]
    assert proposer.read('k').unwrap() is None
    assert (
        three_replicas.proposer().change('k', lambda _: b'2').unwrap().applied
    )


def test_replica_in_no_view_does_not_vote(tmp_path):
    # Guards against votes of replicas that belong to no set.
    replicas = Replicas(tmp_path, 3)
    proposer = replicas.proposer(change_limit_ms=20)
    assert not isinstance(
        proposer.change('k', lambda _: b'1'), returns.result.Success
    )
    assert replicas.admin.form(replicas.addresses[:2]).value_or(None)
    other = replicas.admin.form(replicas.addresses)
    assert 'another set' in str(other.failure())


@pytest.mark.parametrize(
    ('keep', 'added'), [(2, 1), (3, 2), (0, 3), (1, 0), (2, 3)]
)
def test_replica_set_changes_while_traffic_runs(tmp_path, keep, added):
    # Guards against lost updates while replicas are exchanged, added or
    # removed, and against a new set that still needs the removed ones.
    replicas = Replicas(tmp_path, 3)
    old = replicas.addresses
    replicas.admin.form(old).unwrap()
    proposer = replicas.proposer()
    for index in range(40):
        proposer.change(f'k{index}', lambda _: b'1').unwrap()
    stop = []

    def traffic():
        applied_count = 0
        while not stop:
            applied_count += proposer.change('n', increment).unwrap().applied
        return applied_count

    job = gevent.spawn(traffic)
    new = [replicas.add(tmp_path / f'new{index}') for index in range(added)]
    view = replicas.admin.replace(old, old[:keep] + new).unwrap()
    stop.append(True)
    job.join()
    for index in range(keep, 3):
        replicas.stop(index)
    reader = replicas.proposer('reader')
    assert not view.changing
    assert [item.address for item in view.new] == old[:keep] + new
    assert reader.read('n').unwrap() == str(job.get()).encode()
    assert len(reader.keys('k').unwrap()) == 40
    assert reader.refresh_view() == view


def test_lost_disk_is_replaced_at_the_same_address(three_replicas, tmp_path):
    # Guards against a replica with an empty disk that votes under its old
    # identity.
    proposer = three_replicas.proposer()
    proposer.change('k', lambda _: b'1').unwrap()
    address = three_replicas.addresses[0]
    three_replicas.stop(0)
    three_replicas.add(tmp_path / 'blank', address)
    assert not three_replicas.replicas[-1].voting
    admin = three_replicas.admin
    admin.replace(
        three_replicas.addresses[:3], three_replicas.addresses[:3]
    ).unwrap()
    assert three_replicas.replicas[-1].voting
    three_replicas.stop(1)
    assert proposer.read('k').unwrap() == b'1'
