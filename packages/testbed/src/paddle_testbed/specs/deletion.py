"""Model of the deletion of a key while delayed messages are in the network.

A value was written and then deleted with a tombstone, which only a majority of
the replicas has accepted so far; the accept messages of the write and of the
deletion are still in the network. A deleter lets every replica confirm the
tombstone and then drop the key. Proposers change the key meanwhile. The
deleted value must not reappear and no change may be lost.
"""

import functools

import attrs
from paddle_coord import _acceptor
from paddle_coord import _attempts
from paddle_coord import _ballot

from paddle_testbed.specs import _machine
from paddle_testbed.specs import _spec

REPLICAS = _machine.members('ABC')
ALL = frozenset(range(len(REPLICAS)))

OLD_VALUE = 'v'
WRITTEN = _ballot.Ballot(1, 'w')
DELETED = _ballot.Ballot(2, 'd')
CONFIRMED = _ballot.Ballot(4, 'd')
VALUE = _acceptor.Record(OLD_VALUE.encode(), (WRITTEN,))
TOMBSTONE = _acceptor.Record(None, (DELETED, WRITTEN))


@attrs.frozen(cache_hash=True)
class Deleter:
    """State of the deletion.

    ``voters`` are the replicas that have answered in this phase.
    """

    phase: str = _machine.PREPARE
    voters: frozenset = frozenset()
    promises: tuple = ()
    record: _acceptor.Record | None = None


@attrs.frozen(kw_only=True)
class Setup:
    """Proposers and initial state of a model.

    With ``confirmed``, every replica has confirmed the tombstone at the start
    and no earlier messages are in the network.
    """

    proposers: tuple
    confirmed: bool = False


class DeletionMachine(_machine.Machine):
    """One register with a deleter; a dropped cell counts as absent."""

    def __init__(self, setup, rules):
        super().__init__(
            views=_machine.single_view(REPLICAS),
            replicas=REPLICAS,
            proposers=setup.proposers,
            rules=rules,
        )
        self._setup = setup

    def initial(self):
        state = super().initial()._replace(forbidden=frozenset(OLD_VALUE))
        if self._setup.confirmed:
            cell = _acceptor.Cell(CONFIRMED, CONFIRMED, TOMBSTONE)
            return state._replace(
                cells=(cell,) * len(REPLICAS), process=Deleter(_machine.DONE)
            )
        with_tombstone = _acceptor.Cell(DELETED, DELETED, TOMBSTONE)
        with_old_value = _acceptor.Cell(WRITTEN, WRITTEN, VALUE)
        messages = (
            _machine.Message(WRITTEN, VALUE, _machine.FIRST_EPOCH),
            _machine.Message(DELETED, TOMBSTONE, _machine.FIRST_EPOCH),
        )
        return state._replace(
            cells=(with_tombstone, with_tombstone, with_old_value),
            sent=frozenset(messages),
            process=Deleter(),
        )

    def loses_prepare_answers(self):
        # A higher promise keeps a replica from dropping the key.
        return True

    def process_steps(self, state):
        deleter = state.process
        steps = []
        for replica in ALL:
            if deleter is None:
                continue
            if deleter.phase == _machine.PREPARE:
                steps += self._confirm_prepare(state, deleter, replica)
            elif deleter.phase == _machine.ACCEPT:
                steps += self._confirm_accept(state, deleter, replica)
            else:
                steps += self._drop(state, replica)
        return steps

    def _has_enough_voters(self, voters):
        if self.rules.confirms_tombstone:
            return voters == ALL
        return self.quorum(_machine.FIRST_EPOCH, voters)

    def _confirm_prepare(self, state, deleter, replica):
        cell = _acceptor.prepare(state.cells[replica], CONFIRMED)
        if cell is None or replica in deleter.voters:
            return []
        promise = _attempts.PrepareResult(
            CONFIRMED, cell.accepted, cell.value, state.floors[replica], True
        )
        new = attrs.evolve(
            deleter,
            voters=deleter.voters | {replica},
            promises=(*deleter.promises, promise),
        )
        if self._has_enough_voters(new.voters):
            seen = _attempts.summarize(CONFIRMED, new.promises)
            phase = _machine.ACCEPT if seen.value is None else _machine.DONE
            new = Deleter(phase, record=_attempts.identity(seen))
            if phase == _machine.DONE:
                new = None
        label = f'deleter prepares at r{replica}'
        return [(label, self._updated(state, replica, cell, new))]

    def _confirm_accept(self, state, deleter, replica):
        cell = _acceptor.accept(
            state.cells[replica], CONFIRMED, deleter.record
        )
        if cell is None or replica in deleter.voters:
            return []
        new = attrs.evolve(deleter, voters=deleter.voters | {replica})
        if self._has_enough_voters(new.voters):
            new = Deleter(_machine.DONE)
        label = f'deleter confirms at r{replica}'
        return [(label, self._updated(state, replica, cell, new))]

    def _drop(self, state, replica):
        cell, floor = state.cells[replica], state.floors[replica]
        if not self._may_drop(cell):
            return []
        if self.rules.raises_floor:
            floor = _acceptor.raised_floor(floor, CONFIRMED)
        state = state._replace(
            floors=_machine.replaced(state.floors, replica, floor)
        )
        state = state.with_cell(replica, _acceptor.absent(floor))
        return [(f'r{replica} drops the key', state)]

    def _may_drop(self, cell):
        if self.rules.keeps_promises:
            return _acceptor.droppable(cell, CONFIRMED)
        return cell.accepted == CONFIRMED

    def _updated(self, state, replica, cell, deleter):
        return state.with_cell(replica, cell)._replace(process=deleter)


# Their counters are below and above that of the deletion.
WRITERS = Setup(
    proposers=(
        _machine.Proposer('x', 'a', (6,)),
        _machine.Proposer('y', 'b', (5,)),
    ),
    confirmed=True,
)
RETRY = Setup(proposers=(_machine.Proposer('x', 'a', (3, 6)),))
READ = Setup(proposers=(_machine.Proposer('y', '', (5,)),))


def _build(name, setup, rules):
    return DeletionMachine(setup, rules).model(name)


def _spec_of(name, setup, **rules):
    build = functools.partial(_build, name, setup, _machine.Rules(**rules))
    return _spec.Spec(name, build)


SPECS = (
    _spec_of('deletion/writers', WRITERS),
    _spec_of('deletion/retry', RETRY),
    _spec_of('deletion/read', READ),
)

DEFECTS = (
    _spec_of(
        'deletion/deleted key brought back by a delayed message',
        READ,
        raises_floor=False,
    ),
    _spec_of(
        'deletion/tombstone not confirmed by all',
        READ,
        confirms_tombstone=False,
    ),
    _spec_of(
        'deletion/promise forgotten by the drop',
        WRITERS,
        keeps_promises=False,
    ),
)
