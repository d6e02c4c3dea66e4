"""Tests of replica sets that form themselves, and of the document."""

import types

import paddle_coord as coord
import paddle_kernel as kernel
import pytest
import returns.result

SEEDS = ('a:1', 'b:1', 'c:1')


class System:
    """Replicas with their membership tasks on a network in memory."""

    def __init__(self, root):
        self.root = root
        self.clock = kernel.FakeClock()
        self.network = kernel.MemoryNetwork()
        self.replicas = {}
        self.tasks = {}

    def start(self, address, *, seeds=SEEDS, first_start=False, disk=None):
        folder = self.root / (disk or address.replace(':', '_'))
        folder.mkdir(exist_ok=True)
        replica = coord.Replica.open(
            folder, address, self.clock, blocking=lambda fn, *a: fn(*a)
        )
        self.network.serve(address, replica.handle)
        self.replicas[address] = replica
        self.tasks[address] = coord.SelfForming.open(
            replica,
            self.network.transport(address),
            self.clock,
            coord.Placement(address, seeds),
            data_dir=folder,
            first_start=first_start,
        )

    def stop(self, address):
        self.network.stop(address)
        self.replicas.pop(address).stop()
        self.tasks.pop(address)

    def settle(self, rounds=12):
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
    built = System(tmp_path)
    yield built
    for address in list(built.replicas):
        built.stop(address)


@pytest.fixture
def formed(system):
    for address in (*SEEDS, 'd:1', 'e:1'):
        system.start(address, first_start=True)
    system.settle()
    return system


def test_first_start_founds_one_set_with_every_replica(formed):
    # Guards against replicas outside of the seeds that never vote.
    assert formed.members() == ['a:1', 'b:1', 'c:1', 'd:1', 'e:1']
    assert all(item.voting for item in formed.replicas.values())


def test_an_empty_disk_without_first_start_founds_nothing(system):
    # Guards against a second set founded by seeds that lost their disks.
    for address in SEEDS:
        system.start(address, first_start=False)
    system.settle()
    assert system.members() == []


def test_founding_goes_on_after_a_restart_that_is_not_the_first(system):
    # A process killed while it founds is restarted with firstStart false.
    system.start('a:1', first_start=True)
    system.settle(1)
    system.stop('a:1')
    for address in SEEDS:
        system.start(address, first_start=False)
    system.settle()
    assert system.members() == sorted(SEEDS)


def test_a_wiped_replica_joins_again_and_keeps_the_values(formed):
    # Guards against an emptied replica that counts under its old identity.
    assert formed.proposer().change('k', lambda _: b'v').unwrap().applied
    formed.stop('b:1')
    formed.start('b:1', disk='b_empty')
    formed.settle()
    assert len(formed.members()) == 5
    formed.stop('a:1')
    formed.stop('c:1')
    assert formed.proposer(('b:1', 'd:1')).read('k').unwrap() == b'v'


def test_a_replacement_takes_the_place_of_the_one_that_is_gone(formed):
    # Guards against a set that grows by each replacement until its majority
    # consists of machines that do not exist any more.
    for index, gone in enumerate(('e:1', 'd:1', 'c:1')):
        formed.stop(gone)
        formed.start(f'n{index}:1', seeds=('a:1', 'b:1'))
        formed.settle()
    assert formed.members() == ['a:1', 'b:1', 'n0:1', 'n1:1', 'n2:1']


def test_a_member_replaced_while_it_was_away_joins_again(formed):
    # A frozen machine may be taken for gone when another one joins.
    network = formed.network
    replica = formed.replicas['e:1']
    task = formed.tasks.pop('e:1')
    network.stop('e:1')
    formed.start('f:1')
    formed.settle()
    assert 'e:1' not in formed.members()
    network.serve('e:1', replica.handle)
    formed.tasks['e:1'] = task
    formed.settle()
    assert formed.members() == ['a:1', 'b:1', 'c:1', 'd:1', 'e:1', 'f:1']


def begin_change(formed, address):
    """Let ``address`` join, and lose it in the middle of the change."""

    def stop_at_rewrite(step):
        # The first prepare of a joint quorum belongs to the rewriting.
        if type(step.message).__name__ == 'ListKeys':
            return kernel.DROP
        return kernel.DELIVER

    formed.start(address)
    formed.network.on_call = stop_at_rewrite
    formed.settle(2)
    formed.network.on_call = lambda step: kernel.DELIVER
    assert formed.proposer().refresh_view().changing


def rewrites_of(formed, rounds):
    """Return which processes list the keys to rewrite them."""
    before = len(formed.network.steps)
    formed.settle(rounds)
    return {
        step.source
        for step in formed.network.steps[before:]
        if type(step.message).__name__ == 'ListKeys'
    }


def test_a_join_worked_out_from_an_older_set_drops_nobody(formed):
    # Two replicas joined at the same time; the later one left out the earlier
    # one, which joined again and left out another.
    formed.start('f:1')
    formed.start('g:1')
    joining = formed.tasks['g:1']
    look = joining._query_replicas
    # The first look only tells who else is a member.
    formed.tasks['f:1'].step()
    joining.step()

    def look_and_lose_the_race():
        found = look()
        formed.tasks['f:1'].step()
        return found

    joining._query_replicas = look_and_lose_the_race
    joining.step()
    assert 'f:1' in formed.members()
    joining._query_replicas = look
    formed.settle(4)
    assert {'f:1', 'g:1'} <= set(formed.members())


def test_a_change_in_progress_is_left_to_its_beginner(formed):
    # All replicas resumed each change: nine rewrote every key at the same
    # time, and a set of nine took seconds to form.
    begin_change(formed, 'f:1')
    assert rewrites_of(formed, 2) <= {'f:1'}


def test_a_change_whose_beginner_is_gone_is_resumed(formed):
    begin_change(formed, 'f:1')
    formed.tasks['f:1'] = types.SimpleNamespace(step=lambda view: None)
    formed.settle(12)
    assert not formed.proposer().refresh_view().changing


def document(formed, name='one'):
    register = coord.Proposer(
        formed.network.transport(name), SEEDS, formed.clock, name
    )
    return coord.VersionedDocument(register, formed.clock)


def test_the_highest_version_wins_and_older_ones_are_acknowledged(formed):
    held = document(formed)
    assert held.submit(coord.Document(7, b'seven')).unwrap().version == 7
    assert held.submit(coord.Document(3, b'three')).unwrap().version == 7
    assert held.submit(coord.Document(9, b'nine')).unwrap().version == 9
    other = document(formed, 'two')
    assert other.refresh()
    assert other.current == coord.Document(9, b'nine')


def test_other_content_under_a_held_version_is_never_stored(formed):
    held = document(formed)
    held.submit(coord.Document(7, b'first'))
    stored = document(formed, 'two').submit(coord.Document(7, b'second'))
    assert stored.unwrap().content == b'first'
    held.refresh()
    assert held.current.content == b'first'


def test_a_document_is_not_confirmed_without_a_majority(formed):
    # Guards against a read that answers an older version during a cut.
    held = document(formed)
    held.submit(coord.Document(7, b'seven'))
    for address in ('a:1', 'b:1', 'c:1'):
        formed.network.cut('one', address)
    assert not held.refresh()
    formed.clock.advance(5_000)
    assert held.age_ms() is None or held.age_ms() >= 5_000


def test_an_unchanged_document_is_confirmed_without_moving_it(formed):
    # Guards against a poll that costs as much as the configuration is long.
    held = document(formed)
    held.submit(coord.Document(7, b'x' * 1000))
    held.refresh()
    before = len(formed.network.steps)
    assert held.refresh()
    kinds = {
        type(step.message).__name__ for step in formed.network.steps[before:]
    }
    assert kinds == {'Peek'}


def test_a_lost_answer_leaves_the_submission_in_force_or_not(formed):
    # Guards against a success reported without a majority that kept it.
    held = document(formed)
    formed.network.on_call = lambda step: (
        kernel.LOSE_ANSWER
        if type(step.message).__name__ == 'Accept'
        else kernel.DELIVER
    )
    result = held.submit(coord.Document(7, b'seven'))
    assert not isinstance(result, returns.result.Success)
    formed.network.on_call = lambda step: kernel.DELIVER
    assert held.submit(coord.Document(7, b'seven')).unwrap().version == 7
