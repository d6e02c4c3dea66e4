"""Tests of replica sets that form themselves and of the document."""

import errno
import random
import types

import paddle_coord as coord
from paddle_coord import _store
import paddle_kernel as kernel
import pytest
import returns.result

SEEDS = ('a:1', 'b:1', 'c:1')
# Time after which another replica may be lost (catchUpS).
SETTLE_MS = 4_000
SETTLE_ROUNDS = -(-SETTLE_MS // coord.MEMBERSHIP_LOOK_MS)


class System:
    """Replicas with their membership tasks on a network in memory."""

    def __init__(self, root):
        self.root = root
        self.tolerated_losses = 1
        self.clock = kernel.FakeClock()
        self.network = kernel.MemoryNetwork()
        self.replicas = {}
        self.tasks = {}

    def start(self, address, *, seeds=SEEDS, first_start=False, disk=None):
        directory = self.root / (disk or address.replace(':', '_'))
        directory.mkdir(exist_ok=True)
        replica = coord.Replica.open(
            directory, address, self.clock, blocking=lambda fn, *a: fn(*a)
        )
        self.network.serve(address, replica.handle)
        self.replicas[address] = replica
        self.tasks[address] = coord.SelfForming.open(
            replica,
            self.network.transport(address),
            self.clock,
            coord.Placement(address, seeds, self.tolerated_losses),
            data_dir=directory,
            first_start=first_start,
        )

    def stop_as_planned(self, address):
        self.tasks[address].leave()
        self.stop(address)

    def stop(self, address):
        self.network.stop(address)
        self.replicas.pop(address).stop()
        self.tasks.pop(address)

    def run_steps(self, rounds=12):
        for _ in range(rounds):
            view = self.proposer(tuple(self.tasks)).refresh_view()
            for task in list(self.tasks.values()):
                task.step(view)
            self.clock.advance(coord.MEMBERSHIP_LOOK_MS)

    def proposer(self, seeds=SEEDS):
        return coord.Proposer(
            self.network.transport('client'), seeds, self.clock, 'client'
        )

    def members(self):
        view = self.proposer(tuple(self.replicas)).refresh_view()
        return sorted(item.address for item in view.new)


@pytest.fixture
def system(tmp_path):
    system_under_test = System(tmp_path)
    yield system_under_test
    for address in list(system_under_test.replicas):
        system_under_test.stop(address)


@pytest.fixture
def formed(system):
    for address in (*SEEDS, 'd:1', 'e:1'):
        system.start(address, first_start=True)
    system.run_steps()
    return system


def test_first_start_forms_one_set_with_every_replica(formed):
    # Guards against replicas that are no seeds and never become members.
    assert formed.members() == ['a:1', 'b:1', 'c:1', 'd:1', 'e:1']
    assert all(item.voting for item in formed.replicas.values())


def test_empty_disks_without_first_start_form_no_set(system):
    # Guards against a second set formed by seeds that lost their disks.
    for address in SEEDS:
        system.start(address, first_start=False)
    system.run_steps()
    assert system.members() == []


def test_forming_continues_after_a_restart_without_first_start(system):
    # A process that is killed while it forms the set is restarted with
    # firstStart false.
    system.start('a:1', first_start=True)
    system.run_steps(1)
    system.stop('a:1')
    for address in SEEDS:
        system.start(address, first_start=False)
    system.run_steps()
    assert system.members() == sorted(SEEDS)


def test_a_wiped_replica_joins_again_and_keeps_the_values(formed):
    # Guards against a replica with an empty disk that votes under its old
    # identity.
    assert formed.proposer().change('k', lambda _: b'v').unwrap().applied
    formed.stop('b:1')
    formed.start('b:1', disk='b_empty')
    formed.run_steps()
    assert len(formed.members()) == 5
    formed.stop('a:1')
    formed.stop('c:1')
    assert formed.proposer(('b:1', 'd:1')).read('k').unwrap() == b'v'


def test_replacement_takes_the_place_of_an_unreachable_member(formed):
    # Guards against a set that grows with each replacement until its majority
    # consists of machines that no longer exist.
    for index, gone in enumerate(('e:1', 'd:1', 'c:1')):
        formed.stop(gone)
        formed.start(f'n{index}:1', seeds=('a:1', 'b:1'))
        formed.run_steps()
    assert formed.members() == ['a:1', 'b:1', 'n0:1', 'n1:1', 'n2:1']


def test_member_replaced_while_unreachable_joins_again(formed):
    # A frozen machine may be replaced as unreachable when another one joins.
    network = formed.network
    replica = formed.replicas['e:1']
    task = formed.tasks.pop('e:1')
    network.stop('e:1')
    formed.start('f:1')
    formed.run_steps()
    assert 'e:1' not in formed.members()
    network.serve('e:1', replica.handle)
    formed.tasks['e:1'] = task
    formed.run_steps()
    assert formed.members() == ['a:1', 'b:1', 'c:1', 'd:1', 'e:1', 'f:1']


def founding_set(system):
    for address in SEEDS:
        system.start(address, first_start=True)
    system.run_steps()
    assert system.proposer().change('k', lambda _: b'v').unwrap().applied
    return system


def lose_disk(system, address):
    system.stop(address)
    seeds = tuple(system.tasks)
    system.start(address, seeds=seeds, disk=f'{address[0]}_empty')


def test_planned_replacement_is_followed_by_the_loss_of_a_disk(system):
    # Guards against a stopped member that counts in the quorum for good: with
    # three of four members running, the next lost disk ended all changes.
    founding_set(system)
    system.start('d:1')
    system.run_steps()
    system.stop_as_planned('c:1')
    assert system.members() == ['a:1', 'b:1', 'd:1']
    lose_disk(system, 'a:1')
    system.run_steps()
    assert system.members() == ['a:1', 'b:1', 'd:1']
    assert system.proposer(('b:1', 'd:1')).read('k').unwrap() == b'v'


def test_member_that_is_killed_for_good_is_removed(system):
    # Guards against a set that only a planned stop makes smaller.
    founding_set(system)
    system.start('d:1')
    system.run_steps()
    system.stop('c:1')
    system.run_steps(SETTLE_ROUNDS)
    assert system.members() == ['a:1', 'b:1', 'd:1']
    lose_disk(system, 'a:1')
    system.run_steps()
    assert system.proposer(('b:1', 'd:1')).read('k').unwrap() == b'v'


def test_members_that_stop_at_the_same_time_do_not_count_for_good(system):
    # Guards against two replacements at once, of which each stopping member
    # sees the other one running.
    founding_set(system)
    for address in ('d:1', 'e:1'):
        system.start(address)
    system.run_steps()
    for address in ('b:1', 'c:1'):
        system.replicas[address].is_leaving = True
    for address in ('b:1', 'c:1'):
        system.tasks[address].leave()
    for address in ('b:1', 'c:1'):
        system.stop(address)
    lose_disk(system, 'a:1')
    system.run_steps()
    assert system.proposer(('d:1', 'e:1')).read('k').unwrap() == b'v'


def test_members_that_are_killed_at_the_same_time_are_removed_in_time(system):
    # Guards against a removal that is still in progress when the next member
    # may be lost.
    founding_set(system)
    for address in ('d:1', 'e:1'):
        system.start(address)
    system.run_steps()
    for address in ('b:1', 'c:1'):
        system.stop(address)
    system.run_steps(SETTLE_ROUNDS - 2)
    assert system.members() == ['a:1', 'd:1', 'e:1']
    lose_disk(system, 'a:1')
    system.run_steps()
    assert system.proposer(('d:1', 'e:1')).read('k').unwrap() == b'v'


def test_restart_of_one_of_an_odd_set_changes_nothing(formed):
    # Guards against a copy of all keys for each restart, which would not make
    # the set bear more losses.
    epoch = formed.proposer().refresh_view().epoch
    formed.stop_as_planned('e:1')
    formed.run_steps(SETTLE_ROUNDS)
    formed.start('e:1')
    formed.run_steps()
    assert formed.proposer().refresh_view().epoch == epoch


def test_short_absence_removes_no_member(formed):
    # Guards against changes of the set for each cut link or restart.
    formed.start('f:1')
    formed.run_steps()
    formed.network.stop('c:1')
    formed.run_steps(5)
    formed.network.serve('c:1', formed.replicas['c:1'].handle)
    formed.run_steps(SETTLE_ROUNDS)
    assert len(formed.members()) == 6


def test_a_process_that_stood_still_removes_no_member(formed):
    # Guards against an absence that is measured over a pause of the process
    # itself: of the other member, only single answers were lost.
    formed.start('f:1')
    formed.run_steps()
    for _ in range(2):
        formed.network.stop('c:1')
        formed.run_steps(4)
        formed.network.serve('c:1', formed.replicas['c:1'].handle)
        formed.clock.advance(5_000)
    assert len(formed.members()) == 6


def test_set_does_not_shrink_below_the_tolerated_losses(system):
    # Guards against a value that is stored on fewer disks than may be lost.
    system.tolerated_losses = 2
    for address in (*SEEDS, 'd:1', 'e:1'):
        system.start(address, first_start=True)
    system.run_steps()
    for address in ('d:1', 'e:1'):
        system.stop(address)
    system.run_steps(2 * SETTLE_ROUNDS)
    assert len(system.members()) == 5


def replace(system, rng):
    """Replace a member as planned or not, the new one first."""
    new = f'n{len(list(system.root.iterdir()))}:1'
    system.start(new, seeds=tuple(system.tasks))
    system.run_steps(SETTLE_ROUNDS)
    old = rng.choice([item for item in system.tasks if item != new])
    if rng.random() < 0.7:
        system.stop_as_planned(old)
        # Planned work does not count as a loss.
        return 0
    system.stop(old)
    return SETTLE_ROUNDS


def restart(system, rng):
    address = rng.choice(list(system.tasks))
    system.stop_as_planned(address)
    system.run_steps(rng.randrange(SETTLE_ROUNDS))
    system.start(address, seeds=tuple(system.tasks))
    return SETTLE_ROUNDS


def lose_a_disk(system, rng):
    address = rng.choice(list(system.tasks))
    system.stop(address)
    disk = f'x{len(list(system.root.iterdir()))}'
    system.run_steps(rng.randrange(SETTLE_ROUNDS))
    system.start(address, seeds=tuple(system.tasks), disk=disk)
    return SETTLE_ROUNDS


def crash(system, rng):
    address = rng.choice(list(system.tasks))
    folder = system.replicas[address]._commit._store.path.parent.name
    system.stop(address)
    system.run_steps(rng.randrange(3 * SETTLE_ROUNDS))
    system.start(address, seeds=tuple(system.tasks), disk=folder)
    return SETTLE_ROUNDS


@pytest.mark.parametrize('size', [3, 4, 5])
@pytest.mark.parametrize('seed', range(8))
def test_values_outlast_replacements_with_later_losses(system, size, seed):
    # Guards against members that are gone and still count, whatever the order
    # of planned replacements, restarts, crashes and lost disks, one at a time.
    rng = random.Random(1_000 * size + seed)
    for address in (*SEEDS, 'd:1', 'e:1')[:size]:
        system.start(address, first_start=True)
    system.run_steps()
    for number in range(8):
        value = b'%d' % number
        written = system.proposer(tuple(system.tasks)).change(
            'k', lambda _, value=value: value
        )
        assert written.unwrap().applied
        event = rng.choice([replace, replace, restart, lose_a_disk, crash])
        system.run_steps(event(system, rng))
        reader = system.proposer(tuple(system.tasks))
        assert reader.read('k').unwrap() == value


def start_and_abandon_change(formed, address):
    """Let ``address`` join, but block its change before the rewrite."""

    def stop_at_rewrite(step):
        # Listing the keys is the first step of the rewrite.
        if type(step.message).__name__ == 'ListKeys':
            return kernel.DROP
        return kernel.DELIVER

    formed.start(address)
    formed.network.on_call = stop_at_rewrite
    formed.run_steps(2)
    formed.network.on_call = lambda step: kernel.DELIVER
    assert formed.proposer().refresh_view().changing


def rewriting_processes(formed, rounds):
    """Return the processes that list the keys to rewrite them."""
    before = len(formed.network.steps)
    formed.run_steps(rounds)
    return {
        step.source
        for step in formed.network.steps[before:]
        if type(step.message).__name__ == 'ListKeys'
    }


def test_join_computed_from_an_older_set_removes_no_member(formed):
    # Two replicas joined at the same time. The later one removed the earlier
    # one, which joined again and removed another one.
    formed.start('f:1')
    formed.start('g:1')
    joining = formed.tasks['g:1']
    query_replicas = joining._query_replicas
    # The first query only returns the other members.
    formed.tasks['f:1'].step()
    joining.step()

    def query_and_lose_the_race():
        found = query_replicas()
        formed.tasks['f:1'].step()
        return found

    joining._query_replicas = query_and_lose_the_race
    joining.step()
    assert 'f:1' in formed.members()
    joining._query_replicas = query_replicas
    formed.run_steps(4)
    assert {'f:1', 'g:1'} <= set(formed.members())


def test_change_in_progress_is_left_to_its_initiator(formed):
    # Guards against replicas that all resume each change: in a set of nine,
    # all rewrote every key at the same time, and forming took seconds.
    start_and_abandon_change(formed, 'f:1')
    assert rewriting_processes(formed, 2) <= {'f:1'}


def test_change_whose_initiator_is_gone_is_resumed(formed):
    start_and_abandon_change(formed, 'f:1')
    formed.tasks['f:1'] = types.SimpleNamespace(step=lambda view: None)
    formed.run_steps(12)
    assert not formed.proposer().refresh_view().changing


def document(formed, name='one'):
    register = coord.Proposer(
        formed.network.transport(name), SEEDS, formed.clock, name
    )
    return coord.VersionedDocument(register, formed.clock)


def test_the_highest_version_wins_and_older_ones_are_acknowledged(formed):
    versioned = document(formed)
    assert versioned.submit(coord.Document(7, b'seven')).unwrap().version == 7
    assert versioned.submit(coord.Document(3, b'three')).unwrap().version == 7
    assert versioned.submit(coord.Document(9, b'nine')).unwrap().version == 9
    other = document(formed, 'two')
    assert other.refresh()
    assert other.current == coord.Document(9, b'nine')


def test_other_content_for_a_stored_version_is_rejected(formed):
    versioned = document(formed)
    versioned.submit(coord.Document(7, b'first'))
    stored = document(formed, 'two').submit(coord.Document(7, b'second'))
    assert stored.unwrap().content == b'first'
    versioned.refresh()
    assert versioned.current.content == b'first'


def test_a_document_is_not_confirmed_without_a_majority(formed):
    # Guards against a read that returns an older version in a partition.
    versioned = document(formed)
    versioned.submit(coord.Document(7, b'seven'))
    for address in ('a:1', 'b:1', 'c:1'):
        formed.network.cut('one', address)
    assert not versioned.refresh()
    formed.clock.advance(5_000)
    assert versioned.age_ms() is None or versioned.age_ms() >= 5_000


def test_unchanged_document_is_confirmed_without_transferring_it(formed):
    # Guards against a poll whose cost grows with the size of the document.
    versioned = document(formed)
    versioned.submit(coord.Document(7, b'x' * 1000))
    versioned.refresh()
    before = len(formed.network.steps)
    assert versioned.refresh()
    kinds = {
        type(step.message).__name__ for step in formed.network.steps[before:]
    }
    assert kinds == {'Peek'}


def test_submission_with_lost_answers_can_be_repeated(formed):
    # Guards against a success that is reported without a majority.
    versioned = document(formed)
    formed.network.on_call = lambda step: (
        kernel.LOSE_ANSWER
        if type(step.message).__name__ == 'Accept'
        else kernel.DELIVER
    )
    result = versioned.submit(coord.Document(7, b'seven'))
    assert not isinstance(result, returns.result.Success)
    formed.network.on_call = lambda step: kernel.DELIVER
    assert versioned.submit(coord.Document(7, b'seven')).unwrap().version == 7


def test_a_permit_that_was_not_synced_is_not_used(tmp_path, monkeypatch):
    # Guards against a set formed under a permit that a power loss removes.
    def fail(_path):
        raise OSError(errno.ENOSPC, 'No space left on device')

    monkeypatch.setattr(_store, 'sync_directory', fail)
    placement = coord.Placement('a:1', SEEDS)
    fields = {'data_dir': tmp_path, 'first_start': True}
    with pytest.raises(OSError, match='No space'):
        coord.SelfForming.open(None, None, None, placement, **fields)
    fields['first_start'] = False
    forming = coord.SelfForming.open(None, None, None, placement, **fields)
    assert not forming._may_found
