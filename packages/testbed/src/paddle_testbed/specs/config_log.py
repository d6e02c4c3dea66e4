"""Specification of the configuration log: two processes and a busy rest.

Two processes follow the log and submit the changes ``a`` and ``b``, both on
version 0, also again after an answer and after a restart. Other processes
append changes, write snapshots, raise the floor and delete slots, all without
any timing. A slot may be written with an unknown outcome and then take effect
at any later time. Rules for slots, head and outcomes are the functions of
:mod:`paddle_coord._config_log`.
"""

import functools

import attrs
import minicheck
import returns.result

from paddle_coord import _config_slots
from paddle_coord import _register
from paddle_testbed.specs._spec import Spec

SLOTS = 2
OTHERS = ('x', 'y')
FORGOTTEN = '?'

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
    'late',
    'processes',
    'rejected',
    'wrong',
    'stale',
)


@attrs.frozen
class Process:
    """``log`` holds the ids of the folded changes.

    ``found`` is the slot read last; ``behind`` is whether the log was longer
    when that read was sent.
    """

    log: tuple = ()
    phase: str = IDLE
    found: str | None = None
    behind: bool = False
    change: str | None = None


@attrs.frozen(kw_only=True)
class Rules:
    """Switches for the seeded defects."""

    checks_head: bool = True
    head_after_slot: bool = True
    judges_by_state: bool = True
    looks_up_resends: bool = True
    keeps_outcomes: bool = True
    floor_before_deletion: bool = True
    processes: int = 2
    changes: tuple = ('a',)


@attrs.frozen
class World:
    """State of the model.

    ``accepted`` is the true log; a write into a deleted slot is not part of
    it. ``rejected`` holds the changes reported as rejected. ``wrong`` is set
    once a change was reported as accepted that is not in the log, ``stale``
    once an old version was confirmed.
    """

    slots: tuple = (None,) * (SLOTS + 1)
    accepted: tuple = ()
    snapshot: int = 0
    head: _config_slots.Head = _config_slots.Head()
    late: frozenset = frozenset()
    processes: tuple = ()
    rejected: frozenset = frozenset()
    wrong: bool = False
    stale: bool = False

    def update(self, index, **options):
        """Return the world after a change of one process."""
        process = attrs.evolve(self.processes[index], **options)
        return self.replace(index, process)

    def replace(self, index, process):
        """Return the world with another process in the place of one.

        The processes are alike, so their order is made the same.
        """
        processes = list(self.processes)
        processes[index] = process
        processes.sort(key=_sort_key)
        return attrs.evolve(self, processes=tuple(processes))


def _sort_key(process):
    return tuple(str(item) for item in attrs.astuple(process))


class _NoFold:
    """Fold without a state; only the outcomes matter here."""

    def apply(self, state, operation):
        return returns.result.Success(None)


@functools.cache
def _folded(log):
    folded = _config_slots.Folded(0, None, {})
    for id_ in log:
        change = _config_slots.ConfigChange(id_, folded.version, id_)
        folded = _config_slots.fold_change(_NoFold(), folded, change)
    return folded


@functools.cache
def _judge(log, id_):
    """Return True, False, or None when the log does not decide."""
    outcome = _config_slots.judge(
        _folded(log), _config_slots.ConfigChange(id_, 0, id_)
    )
    return None if outcome is None else outcome.accepted


def _fill(world, version, id_):
    """Return ``(filled, world)`` after a write of ``id_`` into a slot."""
    new = _config_slots.fill_slot(world.slots[version - 1], id_)
    if isinstance(new, _register.Reject):
        return False, world
    slots = list(world.slots)
    slots[version - 1] = new
    accepted = world.accepted
    if version == len(accepted) + 1:
        accepted = (*accepted, id_)
    return True, attrs.evolve(world, slots=tuple(slots), accepted=accepted)


def _others(rules, world):
    size = len(world.accepted)
    if size < SLOTS:
        unused = [id_ for id_ in OTHERS if id_ not in world.accepted]
        for id_ in unused[:1]:
            yield f'others: {id_}', _fill(world, size + 1, id_)[1]
    if world.snapshot < size:
        yield 'snapshot', attrs.evolve(world, snapshot=size)
    wanted = _config_slots.Head(
        world.snapshot, _config_slots.floor_for(world.snapshot, kept=0)
    )
    raised = _config_slots.raise_head(world.head, wanted)
    if raised != world.head:
        yield 'head', attrs.evolve(world, head=raised)
    floor = world.head if rules.floor_before_deletion else wanted
    for version in range(1, SLOTS + 1):
        if not _config_slots.is_authentic(version, floor):
            slots = list(world.slots)
            slots[version - 1] = None
            yield f'delete {version}', attrs.evolve(world, slots=tuple(slots))
    for version, id_ in world.late:
        filled = _fill(world, version, id_)[1]
        yield (
            f'late write of {id_}',
            attrs.evolve(filled, late=world.late - {(version, id_)}),
        )


def _load_snapshot(rules, world, index):
    log = world.accepted[: world.snapshot]
    if not rules.keeps_outcomes:
        log = (FORGOTTEN,) * len(log)
    return world.update(index, log=log, phase=IDLE)


def _idle(rules, world, index):
    process = world.processes[index]
    if not process.log and world.head.snapshot:
        yield 'load', _load_snapshot(rules, world, index)
    if rules.head_after_slot:
        yield 'read slot', _read_slot(world, index)
    elif _config_slots.is_authentic(len(process.log) + 1, world.head):
        yield 'check head', world.update(index, phase=HEAD_CHECKED)
    else:
        yield 'load', _load_snapshot(rules, world, index)


def _head_checked(rules, world, index):
    yield 'read slot', _read_slot(world, index)


def _read_slot(world, index):
    log = world.processes[index].log
    found = world.slots[len(log)] if len(log) < SLOTS else None
    return world.update(
        index,
        phase=READ,
        found=found,
        behind=found is None and len(log) < len(world.accepted),
    )


def _read(rules, world, index):
    process = world.processes[index]
    after = world.update(index, phase=IDLE, found=None, behind=False)
    version = len(process.log) + 1
    checks = rules.checks_head and rules.head_after_slot
    index = after.processes.index(
        attrs.evolve(process, phase=IDLE, found=None, behind=False)
    )
    if checks and not _config_slots.is_authentic(version, world.head):
        yield 'load', _load_snapshot(rules, after, index)
    elif process.found is not None:
        log = (*process.log, process.found)
        yield 'fold', after.update(index, log=log)
    else:
        after = after.update(index, phase=CONFIRMED)
        stale = world.stale or process.behind
        yield 'confirm', attrs.evolve(after, stale=stale)


def _tell(world, index, id_, accepted):
    after = world.update(index, phase=IDLE, change=None)
    if accepted:
        wrong = world.wrong or id_ not in world.accepted
        return attrs.evolve(after, wrong=wrong)
    return attrs.evolve(after, rejected=world.rejected | {id_})


def _confirmed(rules, world, index):
    process = world.processes[index]
    yield 'poll', world.update(index, phase=IDLE)
    for id_ in [process.change] if process.change else rules.changes:
        accepted = _judge(process.log, id_)
        if not rules.looks_up_resends and not process.change:
            accepted = None
        if accepted is not None:
            yield f'tell {id_}', _tell(world, index, id_, accepted)
        elif len(process.log) < SLOTS:
            yield (
                f'submit {id_}',
                world.update(index, phase=WRITING, change=id_),
            )


def _writing(rules, world, index):
    process = world.processes[index]
    version, id_ = len(process.log) + 1, process.change
    filled, after = _fill(world, version, id_)
    if rules.judges_by_state:
        yield 'write', after.update(index, phase=IDLE)
    else:
        yield 'write', _tell(after, index, id_, filled)
    late = world.late | {(version, id_)}
    yield (
        'unknown write',
        attrs.evolve(world.update(index, phase=IDLE, change=None), late=late),
    )


STEPS = {
    IDLE: _idle,
    HEAD_CHECKED: _head_checked,
    READ: _read,
    CONFIRMED: _confirmed,
    WRITING: _writing,
}


def _successors(rules, world):
    yield from _others(rules, world)
    for index, process in enumerate(world.processes):
        for label, after in STEPS[process.phase](rules, world, index):
            yield f'{index}: {label}', after
        if process != Process():
            yield f'{index}: restart', world.replace(index, Process())


def _follows_the_log(fields):
    accepted = fields['accepted']
    return all(
        len(process.log) <= len(accepted)
        and all(
            id_ in (FORGOTTEN, accepted[place])
            for place, id_ in enumerate(process.log)
        )
        for process in fields['processes']
    )


def _answers_are_true(fields):
    return not fields['wrong'] and not any(
        id_ in fields['accepted'] for id_ in fields['rejected']
    )


def _accepted_once(fields):
    return len(set(fields['accepted'])) == len(fields['accepted'])


def _build(**switches):
    rules = Rules(**switches)
    initial = World(processes=(Process(),) * rules.processes)

    def transitions(state):
        return [
            (label, attrs.astuple(after, recurse=False))
            for label, after in _successors(rules, World(*state))
        ]

    return minicheck.Protocol(
        name='config_log',
        candidate=False,
        fields=FIELDS,
        initial=attrs.astuple(initial, recurse=False),
        transitions=transitions,
        invariants={
            'follows_the_log': _follows_the_log,
            'no_stale_confirmation': lambda fields: not fields['stale'],
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
        lambda: _build(judges_by_state=False),
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
