"""Model of a change of the replica set.

A coordinator sends the transitional view to the replicas, lists and rewrites
the key and then sends the final view; proposers use any view that some replica
has adopted. The views themselves are decided with a register, which its own
model covers. The sets are small: shrinking the set finds a value that the new
set lacks, replacing the only replica finds old keys at the joining one, and
replacing one of three finds promises that the listed quorum does not hold.
"""

import functools

import attrs
from paddle_coord import _acceptor
from paddle_coord import _ballot
from paddle_coord import _view

from paddle_testbed.specs import _machine
from paddle_testbed.specs import _spec

STALE = 'v'
STALE_BALLOT = _ballot.Ballot(1, 'w')
STALE_CELL = _acceptor.Cell(
    STALE_BALLOT,
    STALE_BALLOT,
    _acceptor.Record(STALE.encode(), (STALE_BALLOT,)),
)

# Steps of the coordinator.
PUSH_JOINT = 'push joint view'
COPY = 'copy'
PUSH_FINAL = 'push final view'

COPY_COUNTER = 5


@attrs.frozen(kw_only=True)
class Setup:
    """Old and new set, as letters that name replicas, and the proposers.

    ``stale`` names a joining replica that holds a deleted value from an
    earlier membership. With ``started``, replicas A and C have promised the
    ballot of the first proposer at the start, and all replicas but A are in
    the transitional view.
    """

    old: str
    new: str
    proposers: tuple
    stale: str = ''
    started: bool = False


class ReplacementMachine(_machine.Machine):
    """One register while its replica set changes.

    ``process`` of the state is the step of the coordinator. The coordinator
    rewrites the key as an additional last proposer.
    """

    def __init__(self, setup, rules):
        old = _machine.members(setup.old)
        first = _view.View(_machine.FIRST_EPOCH, old, old)
        new = tuple(
            first.member(name) or _view.Member(name, name, first.epoch + 1)
            for name in setup.new
        )
        self._setup = setup
        self._joint = _view.transitional(first, new)
        self._final = _view.final(self._joint, 0)
        views = (_view.UNFORMED, first, self._joint, self._final)
        joining = tuple(item for item in new if item not in old)
        super().__init__(
            views={view.epoch: view for view in views},
            replicas=(*old, *joining),
            proposers=setup.proposers,
            rules=rules,
        )

    def initial(self):
        state = super().initial()
        old = len(self._setup.old)
        joining = len(self.replicas) - old
        state = state._replace(
            epochs=state.epochs[:old] + (0,) * joining,
            forbidden=frozenset(STALE),
            process=PUSH_JOINT,
        )
        for index, member in enumerate(self.replicas):
            if member.identity == self._setup.stale:
                state = state.with_cell(index, STALE_CELL)
        return (
            self._with_prepared_change(state) if self._setup.started else state
        )

    def _with_prepared_change(self, state):
        """Return the state after an accept message of the first proposer."""
        _label, state = self.start_attempt(
            state, 0, state.proposers[0], _machine.FIRST_EPOCH
        )
        epochs = (_machine.FIRST_EPOCH,) + (self._joint.epoch,) * (
            len(self.replicas) - 1
        )
        state = state._replace(epochs=(1,) * len(self.replicas))
        for replica in (0, 2):
            message = _machine.Message(
                state.proposers[0].ballot, None, _machine.FIRST_EPOCH
            )
            _label, state = self.deliver(state, message, replica)[-1]
        return state._replace(epochs=epochs)

    def epochs_in_use(self, state):
        """Return the views that some replica has adopted."""
        return sorted(set(state.epochs) - {0})

    def proposer_steps(self, state, index, proposer):
        """Return the steps of a proposer, restricted for readers.

        To keep the models small, readers use only the newest view and start
        after all changes have ended; messages of these may still be in the
        network.
        """
        steps = super().proposer_steps(state, index, proposer)
        if not proposer.unused_counters or proposer.change:
            return steps
        writers = [item for item in state.proposers if item.change]
        ended = all(item.phase == _machine.DONE for item in writers)
        return steps[-1:] if ended else []

    def process_steps(self, state):
        if state.process == PUSH_JOINT:
            return [
                *self._adoptions(state, self._joint),
                *self._list_keys(state),
            ]
        if state.process == PUSH_FINAL:
            return self._adoptions(state, self._final)
        return self._adoptions(state, self._joint)

    def report_value(self, state, index, value):
        """Report a value; the final view is decided after the rewrite."""
        state = super().report_value(state, index, value)
        if state.proposers[index].name == COPY:
            return state._replace(process=PUSH_FINAL)
        return state

    def _adoptions(self, state, view):
        steps = []
        for index, member in enumerate(self.replicas):
            current = self.views[state.epochs[index]]
            if not _view.adopts(current, view):
                continue
            new = state._replace(
                epochs=_machine.replaced(state.epochs, index, view.epoch)
            )
            clear = _view.must_clear(current, view, member.identity)
            if clear and self.rules.clears_joining:
                new = new.with_cell(index, _machine.EMPTY)
            label = f'{member.identity} adopts view {view.epoch}'
            steps.append((label, new))
        return steps

    def _list_keys(self, state):
        """Return the steps that list the keys.

        They are listed at a quorum that has adopted the joint view.
        """
        adopted = [
            index
            for index, epoch in enumerate(state.epochs)
            if epoch == self._joint.epoch
        ]
        return [
            self._after_listing(state, voters)
            for voters in self._minimal_quorums(adopted)
        ]

    def _after_listing(self, state, voters):
        label = f'coordinator lists keys at {voters}'
        stored = any(self._is_stored(state.cells[item]) for item in voters)
        if not stored or not self.rules.copies_keys:
            return label, state._replace(process=PUSH_FINAL)
        index = len(state.proposers)
        copier = _machine.Proposer(COPY, '', (COPY_COUNTER,))
        state = state._replace(
            process=COPY, proposers=(*state.proposers, copier)
        )
        _label, state = self.start_attempt(
            state, index, copier, self._joint.epoch
        )
        return label, state

    def _is_stored(self, cell):
        if not self.rules.copies_promises:
            return cell.value is not None
        return cell != _machine.EMPTY

    def _minimal_quorums(self, adopted):
        found = []
        for mask in range(1 << len(adopted)):
            voters = tuple(
                item for bit, item in enumerate(adopted) if mask >> bit & 1
            )
            smaller = any(set(item) < set(voters) for item in found)
            if not smaller and self.quorum(self._joint.epoch, voters):
                found.append(voters)
        return found


READERS = (
    _machine.Proposer('p', 'a', (2,)),
    _machine.Proposer('q', '', (7,)),
)
SHRINK = Setup(old='ABC', new='A', proposers=READERS)
REJOIN = Setup(old='A', new='D', proposers=READERS, stale='D')
# The second proposer's counter is below that of the first, which a replica
# without the promise does not notice.
EXCHANGE = Setup(
    old='ABC',
    new='ABD',
    proposers=(
        _machine.Proposer('p', 'a', (2,)),
        _machine.Proposer('q', 'b', (1,)),
        _machine.Proposer('r', '', (7,)),
    ),
    started=True,
)


def _build(name, setup, rules):
    return ReplacementMachine(setup, rules).model(name)


def _spec_of(name, setup, **rules):
    build = functools.partial(_build, name, setup, _machine.Rules(**rules))
    return _spec.Spec(name, build)


SPECS = (
    _spec_of('replacement/shrink', SHRINK),
    _spec_of('replacement/rejoin', REJOIN),
    _spec_of('replacement/exchange', EXCHANGE),
)

DEFECTS = (
    _spec_of(
        'replacement/new replica counted before all keys are copied',
        SHRINK,
        copies_keys=False,
    ),
    _spec_of(
        'replacement/promises not copied', EXCHANGE, copies_promises=False
    ),
    _spec_of(
        'replacement/new set alone decides during the change',
        SHRINK,
        joint_quorums=False,
    ),
    _spec_of(
        'replacement/joining replica keeps old keys',
        REJOIN,
        clears_joining=False,
    ),
)
