"""Model of the configuration log with two processes and concurrent writers.

Two processes follow the log and submit the changes ``a`` and ``b``, both based
on version 0, and resend them after an answer and after a restart. Other
processes append changes, write snapshots, raise the floor and delete slots at
any time. A write of a slot may have an unknown outcome and take effect at any
later time. The rules for slots, head and outcomes are the functions of
:mod:`paddle_coord._config_slots`.
"""

import functools

import attrs
import minicheck
import returns.result

from paddle_coord import _config_slots
from paddle_coord import _register
from paddle_testbed.specs._spec import Spec

SLOTS = 2
OTHER_CHANGES = ('x', 'y')
UNKNOWN_ID = '?'

IDLE = 'idle'
HEAD_CHECKED = 'head_checked'
READ = 'read'
CONFIRMED = 'confirmed'
WRITING = 'writing'

FIELDS = (
    'slots',
    'accepted',
    'snapshot',
    'head',
    'delayed_writes',
    'processes',
    'rejected',
    'false_acceptance',
    'stale_confirmation',
)


@attrs.frozen
class Process:
    """State of one process.

    ``log`` holds the ids of the folded changes. ``slot_value`` is the content
    of the slot read last; ``is_outdated`` is whether that read found no value
    although the log was already longer.
    """

    log: tuple = ()
    phase: str = IDLE
    slot_value: str | None = None
    is_outdated: bool = False
    change: str | None = None


@attrs.frozen(kw_only=True)
class Rules:
    """Rules of the protocol; a seeded defect turns one off."""

    checks_head: bool = True
    head_after_slot: bool = True
    decides_from_log: bool = True
    looks_up_resends: bool = True
    keeps_outcomes: bool = True
    floor_before_deletion: bool = True
    processes: int = 2
    changes: tuple = ('a',)


@attrs.frozen
class State:
    """State of the model.

    ``accepted`` is the true log; a write into a deleted slot is not part of
    it. ``delayed_writes`` are writes that may still take effect, ``rejected``
    the changes reported as rejected. ``false_acceptance`` is set once a change
    that is not in the log was reported as accepted, ``stale_confirmation``
    once an old version was confirmed.
    """

    slots: tuple = (None,) * (SLOTS + 1)
    accepted: tuple = ()
    snapshot: int = 0
    head: _config_slots.Head = _config_slots.Head()
    delayed_writes: frozenset = frozenset()
    processes: tuple = ()
    rejected: frozenset = frozenset()
    false_acceptance: bool = False
    stale_confirmation: bool = False

    def update(self, index, **options):
        """Return the state with the given fields of one process replaced."""
        process = attrs.evolve(self.processes[index], **options)
        return self.replace(index, process)

    def replace(self, index, process):
        """Return the state with ``process`` at ``index``.

        The processes are interchangeable, so they are sorted.
        """
        processes = list(self.processes)
        processes[index] = process
        processes.sort(key=_sort_key)
        return attrs.evolve(self, processes=tuple(processes))


def _sort_key(process):
    return tuple(str(item) for item in attrs.astuple(process))


class _NoFold:
    """Fold without a state; the model needs only the outcomes."""

    def apply(self, state, operation):
        return returns.result.Success(None)


@functools.cache
def _folded(log):
    folded = _config_slots.FoldedState(0, None, {})
    for id_ in log:
        change = _config_slots.ConfigChange(id_, folded.version, id_)
        folded = _config_slots.fold_change(_NoFold(), folded, change)
    return folded


@functools.cache
def _known_outcome(log, id_):
    """Return whether the log accepted a change, None if undecided."""
    outcome = _config_slots.judge(
        _folded(log), _config_slots.ConfigChange(id_, 0, id_)
    )
    return None if outcome is None else outcome.accepted


def _write_slot(state, version, id_):
    """Return ``(filled, state)`` after a write of ``id_`` into a slot."""
    new = _config_slots.fill_slot(state.slots[version - 1], id_)
    if isinstance(new, _register.Reject):
        return False, state
    slots = list(state.slots)
    slots[version - 1] = new
    accepted = state.accepted
    if version == len(accepted) + 1:
        accepted = (*accepted, id_)
    return True, attrs.evolve(state, slots=tuple(slots), accepted=accepted)


def _other_processes(rules, state):
    size = len(state.accepted)
    if size < SLOTS:
        unused = [id_ for id_ in OTHER_CHANGES if id_ not in state.accepted]
        for id_ in unused[:1]:
            yield f'others: {id_}', _write_slot(state, size + 1, id_)[1]
    if state.snapshot < size:
        yield 'snapshot', attrs.evolve(state, snapshot=size)
    target_head = _config_slots.Head(
        state.snapshot, _config_slots.floor_for(state.snapshot, kept=0)
    )
    raised = _config_slots.raise_head(state.head, target_head)
    if raised != state.head:
        yield 'head', attrs.evolve(state, head=raised)
    floor = state.head if rules.floor_before_deletion else target_head
    for version in range(1, SLOTS + 1):
        if not _config_slots.is_authentic(version, floor):
            slots = list(state.slots)
            slots[version - 1] = None
            yield f'delete {version}', attrs.evolve(state, slots=tuple(slots))
    for version, id_ in state.delayed_writes:
        filled = _write_slot(state, version, id_)[1]
        yield (
            f'late write of {id_}',
            attrs.evolve(
                filled, delayed_writes=state.delayed_writes - {(version, id_)}
            ),
        )


def _load_snapshot(rules, state, index):
    log = state.accepted[: state.snapshot]
    if not rules.keeps_outcomes:
        log = (UNKNOWN_ID,) * len(log)
    return state.update(index, log=log, phase=IDLE)


def _idle(rules, state, index):
    process = state.processes[index]
    if not process.log and state.head.snapshot:
        yield 'load', _load_snapshot(rules, state, index)
    if rules.head_after_slot:
        yield 'read slot', _read_slot(state, index)
    elif _config_slots.is_authentic(len(process.log) + 1, state.head):
        yield 'check head', state.update(index, phase=HEAD_CHECKED)
    else:
        yield 'load', _load_snapshot(rules, state, index)


def _head_checked(rules, state, index):
    yield 'read slot', _read_slot(state, index)


def _read_slot(state, index):
    log = state.processes[index].log
    slot_value = state.slots[len(log)] if len(log) < SLOTS else None
    return state.update(
        index,
        phase=READ,
        slot_value=slot_value,
        is_outdated=slot_value is None and len(log) < len(state.accepted),
    )


def _read(rules, state, index):
    process = state.processes[index]
    after = state.update(index, phase=IDLE, slot_value=None, is_outdated=False)
    version = len(process.log) + 1
    checks = rules.checks_head and rules.head_after_slot
    index = after.processes.index(
        attrs.evolve(process, phase=IDLE, slot_value=None, is_outdated=False)
    )
    if checks and not _config_slots.is_authentic(version, state.head):
        yield 'load', _load_snapshot(rules, after, index)
    elif process.slot_value is not None:
        log = (*process.log, process.slot_value)
        yield 'fold', after.update(index, log=log)
    else:
        after = after.update(index, phase=CONFIRMED)
        stale_confirmation = state.stale_confirmation or process.is_outdated
        yield (
            'confirm',
            attrs.evolve(after, stale_confirmation=stale_confirmation),
        )


def _report_outcome(state, index, id_, accepted):
    after = state.update(index, phase=IDLE, change=None)
    if accepted:
        false_acceptance = state.false_acceptance or id_ not in state.accepted
        return attrs.evolve(after, false_acceptance=false_acceptance)
    return attrs.evolve(after, rejected=state.rejected | {id_})


def _confirmed(rules, state, index):
    process = state.processes[index]
    yield 'poll', state.update(index, phase=IDLE)
    for id_ in [process.change] if process.change else rules.changes:
        accepted = _known_outcome(process.log, id_)
        if not rules.looks_up_resends and not process.change:
            accepted = None
        if accepted is not None:
            yield f'tell {id_}', _report_outcome(state, index, id_, accepted)
        elif len(process.log) < SLOTS:
            yield (
                f'submit {id_}',
                state.update(index, phase=WRITING, change=id_),
            )


def _writing(rules, state, index):
    process = state.processes[index]
    version, id_ = len(process.log) + 1, process.change
    filled, after = _write_slot(state, version, id_)
    if rules.decides_from_log:
        yield 'write', after.update(index, phase=IDLE)
    else:
        yield 'write', _report_outcome(after, index, id_, filled)
    delayed_writes = state.delayed_writes | {(version, id_)}
    yield (
        'unknown write',
        attrs.evolve(
            state.update(index, phase=IDLE, change=None),
            delayed_writes=delayed_writes,
        ),
    )


STEPS = {
    IDLE: _idle,
    HEAD_CHECKED: _head_checked,
    READ: _read,
    CONFIRMED: _confirmed,
    WRITING: _writing,
}


def _successors(rules, state):
    yield from _other_processes(rules, state)
    for index, process in enumerate(state.processes):
        for label, after in STEPS[process.phase](rules, state, index):
            yield f'{index}: {label}', after
        if process != Process():
            yield f'{index}: restart', state.replace(index, Process())


def _follows_the_log(fields):
    accepted = fields['accepted']
    return all(
        len(process.log) <= len(accepted)
        and all(
            id_ in (UNKNOWN_ID, accepted[place])
            for place, id_ in enumerate(process.log)
        )
        for process in fields['processes']
    )


def _answers_are_true(fields):
    return not fields['false_acceptance'] and not any(
        id_ in fields['accepted'] for id_ in fields['rejected']
    )


def _accepted_once(fields):
    return len(set(fields['accepted'])) == len(fields['accepted'])


def _build(**switches):
    rules = Rules(**switches)
    initial = State(processes=(Process(),) * rules.processes)

    def transitions(state):
        return [
            (label, attrs.astuple(after, recurse=False))
            for label, after in _successors(rules, State(*state))
        ]

    return minicheck.Protocol(
        name='config_log',
        candidate=False,
        fields=FIELDS,
        initial=attrs.astuple(initial, recurse=False),
        transitions=transitions,
        invariants={
            'follows_the_log': _follows_the_log,
            'no_stale_confirmation': lambda fields: (
                not fields['stale_confirmation']
            ),
            'answers_are_true': _answers_are_true,
            'accepted_once': _accepted_once,
        },
    )


SPECS = (
    Spec('config_log: two processes', _build),
    Spec(
        'config_log: two changes',
        lambda: _build(processes=1, changes=('a', 'b')),
    ),
)
DEFECTS = (
    Spec(
        'config_log: stale follower serves an older version',
        lambda: _build(checks_head=False),
    ),
    Spec(
        'config_log: head read before the slot',
        lambda: _build(head_after_slot=False),
    ),
    Spec(
        'config_log: slot deleted before the floor is raised',
        lambda: _build(floor_before_deletion=False),
    ),
    Spec(
        'config_log: two changes accepted on one version',
        lambda: _build(decides_from_log=False),
    ),
    Spec(
        'config_log: resend taken as new after a restart',
        lambda: _build(looks_up_resends=False),
    ),
    Spec(
        'config_log: snapshot without outcomes',
        lambda: _build(keeps_outcomes=False),
    ),
)
