"""Transitions of one register, shared by the models of this package.

A model has a few replicas and proposers. Every accept message stays in the
network and can be delivered again at any time, so loss, delay, reordering and
duplication are all covered. Replicas and proposers decide with the production
functions of :mod:`paddle_coord`.
"""

import functools
import typing

import attrs
import minicheck
from paddle_coord import _acceptor
from paddle_coord import _attempts
from paddle_coord import _ballot
from paddle_coord import _messages
from paddle_coord import _view

FIRST_EPOCH = 1
EMPTY = _acceptor.absent(0)

IDLE = 'idle'
PREPARE = 'prepare'
ACCEPT = 'accept'
DONE = 'done'


@attrs.frozen(cache_hash=True)
class Proposer:
    """State of one proposer.

    ``unused_counters`` are the counters of the ballots it may still use,
    ``change`` is the letter that its change appends to the value (empty for
    a read). ``promises`` holds pairs of replica and promise, and
    ``decided_at_start`` the decided value when the operation started.
    """

    name: str
    change: str
    unused_counters: tuple
    phase: str = IDLE
    epoch: int = FIRST_EPOCH
    ballot: _ballot.Ballot = _ballot.ZERO
    promises: tuple = ()
    accepted: frozenset = frozenset()
    seen: _attempts.PrepareResult | None = None
    record: _acceptor.Record | None = None
    attempts: _attempts.Attempts = _attempts.Attempts()
    decided_at_start: bytes | None = None
    restarted: bool = False


@attrs.frozen(kw_only=True)
class Rules:
    """Safety rules of the protocol; each seeded defect turns one off."""

    checks_promise: bool = True
    fresh_incarnation: bool = True
    fresh_identity: bool = True
    decides_reads: bool = True
    resolves_attempts: bool = True
    raises_floor: bool = True
    confirms_tombstone: bool = True
    keeps_promises: bool = True
    copies_keys: bool = True
    copies_promises: bool = True
    joint_quorums: bool = True
    clears_joining: bool = True


@attrs.frozen(cache_hash=True)
class Message:
    """An accept (with ``record``) or prepare message."""

    ballot: _ballot.Ballot
    record: _acceptor.Record | None
    epoch: int


class State(typing.NamedTuple):
    """State of a model.

    ``cells``, ``identities``, ``epochs`` and ``floors`` have one item per
    replica. ``sent`` holds the accept messages in the network, ``decided``
    the longest reported value, ``forbidden`` the changes that must not be
    part of any value, ``violation`` a description of the first violation,
    and ``process`` the state of an additional process of the model.
    """

    cells: tuple
    identities: tuple
    epochs: tuple
    floors: tuple
    proposers: tuple
    sent: frozenset
    decided: bytes = b''
    forbidden: frozenset = frozenset()
    violation: str = ''
    process: object = None

    def with_cell(self, replica, cell):
        """Return the state with ``cell`` stored at ``replica``."""
        return self._replace(cells=replaced(self.cells, replica, cell))

    def with_proposer(self, index, proposer):
        """Return the state with ``proposer`` at ``index``."""
        return self._replace(
            proposers=replaced(self.proposers, index, proposer)
        )


def single_view(replicas):
    """Return the views of a model whose replica set never changes."""
    return {FIRST_EPOCH: _view.View(FIRST_EPOCH, replicas, replicas)}


class Machine:
    """Transitions of a model; ``views`` maps epochs to views."""

    def __init__(self, *, views, replicas, proposers, rules):
        self.views = views
        self.replicas = replicas
        self.proposers = proposers
        self.rules = rules
        self._handle = functools.lru_cache(None)(self._handle_uncached)
        self._has_violation = False
        self._interned_objects = {}

    def initial(self):
        """Return the initial state."""
        count = len(self.replicas)
        return State(
            cells=(EMPTY,) * count,
            identities=tuple(item.identity for item in self.replicas),
            epochs=(FIRST_EPOCH,) * count,
            floors=(0,) * count,
            proposers=self.proposers,
            sent=frozenset(),
        )

    def model(self, name):
        """Return the minicheck model."""
        return minicheck.Protocol(
            name=name,
            candidate=False,
            fields=State._fields,
            initial=self.initial(),
            transitions=self.transitions,
            invariants={
                'linearizable': lambda fields: not fields['violation']
            },
        )

    def transitions(self, state):
        """Return the successor states; none once a violation was found."""
        self._has_violation = self._has_violation or bool(state.violation)
        if self._has_violation:
            return []
        steps = self.process_steps(state)
        for index, proposer in enumerate(state.proposers):
            steps += self.proposer_steps(state, index, proposer)
        prepares = [
            Message(item.ballot, None, item.epoch)
            for item in state.proposers
            if item.phase == PREPARE
        ]
        replicas = self.distinct_replicas(state)
        for message in (*prepares, *state.sent):
            for replica in replicas:
                steps += self.deliver(state, message, replica)
        return [(label, self._interned(new)) for label, new in steps]

    def process_steps(self, state):
        """Return the steps of the additional process of the model."""
        return []

    def proposer_steps(self, state, index, proposer):
        """Return the steps of a proposer that need no message."""
        if proposer.unused_counters:
            return [
                self.start_attempt(state, index, proposer, epoch)
                for epoch in self.epochs_in_use(state)
            ]
        if proposer.phase in (PREPARE, ACCEPT):
            return [self._give_up(state, index, proposer)]
        return []

    def epochs_in_use(self, state):
        """Return the epochs whose view a proposer may use."""
        return (FIRST_EPOCH,)

    def distinct_replicas(self, state):
        """Return the replicas, without those that are interchangeable."""
        return range(len(state.cells))

    def loses_prepare_answers(self):
        """Return whether a lost answer to a prepare message matters.

        The prepare message only raises a promise. If promises are used only
        to refuse lower ballots, the higher promise only removes behaviour.
        """
        return False

    def start_attempt(self, state, index, proposer, epoch):
        """Start the next attempt after the previous one, if any, timed out."""
        decided_at_start = proposer.decided_at_start
        ballot = _ballot.Ballot(proposer.unused_counters[0], proposer.name)
        new = attrs.evolve(
            _timed_out(proposer),
            unused_counters=proposer.unused_counters[1:],
            phase=PREPARE,
            epoch=epoch,
            ballot=ballot,
            decided_at_start=state.decided
            if decided_at_start is None
            else decided_at_start,
        )
        label = f'{proposer.name} prepares in view {epoch}'
        return label, state.with_proposer(index, new)

    def quorum(self, epoch, replicas):
        """Return whether ``replicas`` are a quorum of the view."""
        view = self.views[epoch]
        voters = [self.replicas[item].identity for item in replicas]
        if not self.rules.joint_quorums:
            return _view.has_majority(view.new, voters)
        return _view.has_quorum(view, voters)

    def _give_up(self, state, index, proposer):
        new = _timed_out(proposer)
        if not new.attempts.values and new.change:
            state = _with_forbidden(state, new.change)
        new = _finished(proposer)
        return f'{proposer.name} gives up', state.with_proposer(index, new)

    def _interned(self, state):
        """Return the state built of shared objects, which compare faster."""
        intern = self._interned_objects.setdefault
        cells = tuple(intern(item, item) for item in state.cells)
        proposers = tuple(intern(item, item) for item in state.proposers)
        return state._replace(
            cells=intern(cells, cells),
            proposers=intern(proposers, proposers),
            sent=intern(state.sent, state.sent),
        )

    def deliver(self, state, message, replica):
        """Return the steps in which a message is delivered.

        The answer arrives or is lost.
        """
        cell = state.cells[replica]
        new, answer = self._handle(
            cell,
            state.identities[replica],
            state.epochs[replica],
            state.floors[replica],
            replica,
            message,
        )
        if answer is None:
            return []
        steps = []
        state = state.with_cell(replica, new)
        prepares = message.record is None
        kind = 'prepare' if prepares else 'accept'
        label = (
            f'{kind} {message.ballot.proposer}{message.ballot.counter} '
            f'to r{replica}'
        )
        may_lose_answer = not prepares or self.loses_prepare_answers()
        if may_lose_answer and new != cell:
            steps.append((label + ', answer lost', state))
        for index, proposer in enumerate(state.proposers):
            if proposer.phase != DONE and proposer.ballot == message.ballot:
                handle_answer = (
                    self._on_promise if prepares else self._on_accepted
                )
                successor = handle_answer(
                    state, index, proposer, replica, answer
                )
                if successor is not None:
                    steps.append((label, successor))
        return steps

    def _handle_uncached(self, cell, identity, epoch, floor, replica, message):
        """Return the new cell and the answer, decided as in a replica."""
        refusal = _view.refusal(
            self.views[epoch],
            identity,
            self.replicas[replica].identity,
            message.epoch,
        )
        if refusal is not None:
            return cell, None
        if message.record is None:
            new = _acceptor.prepare(cell, message.ballot)
            if new is None:
                return cell, None
            return new, _messages.Promise(new.accepted, new.value, floor)
        accept = _acceptor.accept
        if not self.rules.checks_promise:
            accept = _unchecked_accept
        new = accept(cell, message.ballot, message.record)
        return (cell, None) if new is None else (new, True)

    def _on_promise(self, state, index, proposer, replica, promise):
        if proposer.phase != PREPARE:
            return None
        if any(item[0] == replica for item in proposer.promises):
            return None
        promises = (*proposer.promises, (replica, promise))
        if not self.quorum(proposer.epoch, [item[0] for item in promises]):
            new = attrs.evolve(proposer, promises=promises)
            return state.with_proposer(index, new)
        seen = _attempts.summarize(
            proposer.ballot, [item[1] for item in promises]
        )
        return self._continue_with_quorum(state, index, proposer, seen)

    def _continue_with_quorum(self, state, index, proposer, seen):
        """Continue after a quorum of promises, as the proposer does."""
        step = _attempts.plan(proposer.attempts, seen)
        if not self.rules.resolves_attempts:
            step = _attempts.PROPOSE
        if step == _attempts.UNCLEAR:
            return state.with_proposer(index, _finished(proposer))
        if step == _attempts.CONFIRM:
            record = seen.record
        elif proposer.change:
            value = (seen.value or b'') + proposer.change.encode()
            record = _attempts.successor(seen, value)
        else:
            decided = _attempts.is_decided(proposer.attempts, seen)
            if decided or not self.rules.decides_reads:
                return self.report_value(state, index, seen.value)
            record = _attempts.identity(seen)
        new = attrs.evolve(
            proposer, phase=ACCEPT, promises=(), seen=seen, record=record
        )
        message = Message(proposer.ballot, record, proposer.epoch)
        state = state.with_proposer(index, new)
        return state._replace(sent=state.sent | {message})

    def _on_accepted(self, state, index, proposer, replica, _answer):
        if proposer.phase != ACCEPT or replica in proposer.accepted:
            return None
        accepted = proposer.accepted | {replica}
        if not self.quorum(proposer.epoch, accepted):
            new = attrs.evolve(proposer, accepted=accepted)
            return state.with_proposer(index, new)
        value = proposer.record.value
        survivor = proposer.attempts.find_contained_in(proposer.record)
        if survivor and proposer.record.origins[0] != proposer.ballot:
            value = survivor[1]
        return self.report_value(state, index, value)

    def report_value(self, state, index, value):
        """Return the state after the proposer reported ``value``."""
        proposer = state.proposers[index]
        value = value or b''
        violation = state.violation or _find_violation(state, proposer, value)
        return state.with_proposer(index, _finished(proposer))._replace(
            decided=max(state.decided, value, key=len), violation=violation
        )


def _unchecked_accept(cell, ballot, value):
    """Accept without checking the promise: a seeded defect."""
    return _acceptor.Cell(max(cell.promised, ballot), ballot, value)


def _timed_out(proposer):
    """Return the proposer after an attempt with an unknown outcome."""
    attempts = proposer.attempts
    own = proposer.phase == ACCEPT and proposer.change
    if own and proposer.record.origins[:1] == (proposer.ballot,):
        attempts = attempts.added(proposer.seen, proposer.record.value)
    return attrs.evolve(
        proposer,
        attempts=attempts,
        promises=(),
        accepted=frozenset(),
        seen=None,
        record=None,
    )


def _finished(proposer):
    return Proposer(proposer.name, proposer.change, (), phase=DONE)


def _with_forbidden(state, change):
    violation = state.violation
    if change.encode() in state.decided:
        violation = violation or 'a change reported as not written was decided'
    return state._replace(
        forbidden=state.forbidden | {change}, violation=violation
    )


def _find_violation(state, proposer, value):
    decided = state.decided
    if not value.startswith(proposer.decided_at_start):
        return 'a value decided before the operation started is missing'
    if not (value.startswith(decided) or decided.startswith(value)):
        return 'two decided values contradict each other'
    if len(set(value)) != len(value):
        return 'a change was applied twice'
    if any(change.encode() in value for change in state.forbidden):
        return 'a deleted value or one reported as not written was decided'
    return ''


def replaced(items, index, item):
    """Return the tuple ``items`` with ``item`` at ``index``."""
    return (*items[:index], item, *items[index + 1 :])


def members(names):
    """Return replica set members named by single letters."""
    return tuple(_view.Member(name, name) for name in names)
