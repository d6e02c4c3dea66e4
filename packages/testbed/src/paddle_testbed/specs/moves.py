"""Model of a stream whose run is moved from one server to another.

A server produces numbered events and sends them to the gateway, which forwards
them in order. The gateway may ask the server once to stop the run and copy it;
the answer names the copy, says that the target had no room for it, or is lost.
Each server can crash, which loses the events in transit. The stream cannot be
resumed, so without a copy it ends incomplete.

The run is never active at two servers, no event is forwarded twice or left
out, and a stream that ends normally has all events. The model does not cover
whether a copy belongs to the request.
"""

import enum
import functools

import attrs
import minicheck

from paddle_testbed.specs import _spec

EVENT_COUNT = 3
FIELDS = ('source', 'target', 'move', 'caller')


class RunState(enum.Enum):
    """State of the run at one server."""

    NONE = 'none'
    RUNNING = 'running'
    STOPPED = 'stopped'
    DEAD = 'dead'


class MoveState(enum.Enum):
    """State of the move, as the gateway sees it."""

    NONE = 'none'
    REQUESTED = 'asked'
    COPIED = 'copied'
    FULL = 'full'
    LOST = 'lost'


@attrs.frozen(cache_hash=True)
class Run:
    """The run at one server: its state and the newest event produced."""

    run_state: RunState = RunState.NONE
    newest_event: int = 0


@attrs.frozen(cache_hash=True)
class Caller:
    """The stream to the caller.

    ``forwarded`` is the number of events sent to the caller, ``reads_from``
    the server that they are read from.
    """

    forwarded: int = 0
    reads_from: str = 'source'
    status: str = 'open'
    violation: str = ''


@attrs.frozen(kw_only=True)
class Rules:
    """Rules of the protocol; a seeded defect turns some off."""

    waits_for_end: bool = True
    continues_after_forwarded: bool = True
    gives_up_without_copy: bool = True
    checks_move_at_end: bool = True


def _produce_event(state):
    source, target, move, caller = state
    if (
        source.run_state is RunState.RUNNING
        and source.newest_event < EVENT_COUNT
    ):
        new = attrs.evolve(source, newest_event=source.newest_event + 1)
        yield 'the source makes an event', (new, target, move, caller)
    if (
        target.run_state is RunState.RUNNING
        and target.newest_event < EVENT_COUNT
    ):
        new = attrs.evolve(target, newest_event=target.newest_event + 1)
        yield 'the target makes an event', (source, new, move, caller)


def _forward(state, rules):
    """The gateway forwards the next event or the end of the stream.

    The stream may end with its connection, so that a run that was stopped
    looks like one that has ended.
    """
    source, target, move, caller = state
    run = source if caller.reads_from == 'source' else target
    if caller.status != 'open' or run.run_state is RunState.DEAD:
        return
    if caller.forwarded < run.newest_event:
        new = attrs.evolve(caller, forwarded=caller.forwarded + 1)
        yield 'an event is passed on', (source, target, move, new)
    elif run.run_state is RunState.STOPPED and not rules.checks_move_at_end:
        ended_caller = attrs.evolve(caller, status='whole')
        yield 'the closed stream ends', (source, target, move, ended_caller)
    elif run.run_state is RunState.RUNNING and run.newest_event == EVENT_COUNT:
        done = attrs.evolve(run, run_state=RunState.NONE)
        ended_caller = attrs.evolve(caller, status='whole')
        if caller.reads_from == 'source':
            yield 'the stream ends', (done, target, move, ended_caller)
        else:
            yield 'the stream ends', (source, done, move, ended_caller)


def _request_move(state):
    source, target, move, caller = state
    if move is MoveState.NONE and caller.forwarded and caller.status == 'open':
        yield (
            'the move is asked for',
            (source, target, MoveState.REQUESTED, caller),
        )


def _answer(state):
    """The source stops the run and answers; the answer may be lost."""
    source, target, move, caller = state
    if (
        move is not MoveState.REQUESTED
        or source.run_state is not RunState.RUNNING
    ):
        return
    stopped = attrs.evolve(source, run_state=RunState.STOPPED)
    for result in (MoveState.COPIED, MoveState.FULL, MoveState.LOST):
        yield (
            f'the run is stopped: {result.value}',
            (stopped, target, result, caller),
        )


def _has_ended_early(run, caller):
    """Whether the gateway sees the end of an incomplete stream."""
    if run.run_state is RunState.DEAD:
        return True
    return (
        run.run_state is RunState.STOPPED
        and caller.forwarded == run.newest_event
    )


def _continue(state, rules):
    """The gateway sends the request to the server that has the copy."""
    source, target, move, caller = state
    if caller.status != 'open' or caller.reads_from == 'target':
        return
    may_continue = move in (MoveState.COPIED, MoveState.FULL) or (
        not rules.waits_for_end and move is MoveState.REQUESTED
    )
    has_ended = _has_ended_early(source, caller) or not rules.waits_for_end
    if not (may_continue and has_ended):
        return
    first = caller.forwarded
    if not rules.continues_after_forwarded:
        first = source.newest_event
    violation = (
        caller.violation if first == caller.forwarded else 'events left out'
    )
    if move is not MoveState.FULL and target.run_state is RunState.NONE:
        new = Run(RunState.RUNNING, first)
        switched = attrs.evolve(
            caller, reads_from='target', forwarded=first, violation=violation
        )
        yield 'the run goes on at the target', (source, new, move, switched)
    if source.run_state is RunState.STOPPED:
        # The target had no room for the copy, or rejected it.
        resumed = attrs.evolve(
            source, run_state=RunState.RUNNING, newest_event=caller.forwarded
        )
        yield (
            'the run goes on at the source',
            (resumed, target, MoveState.LOST, caller),
        )


def _give_up(state, rules):
    source, target, move, caller = state
    run = source if caller.reads_from == 'source' else target
    if caller.status != 'open':
        return
    has_copy = caller.reads_from == 'source' and move in (
        MoveState.COPIED,
        MoveState.FULL,
    )
    if _has_ended_early(run, caller) and not has_copy:
        ended_caller = attrs.evolve(caller, status='broken')
        yield 'the stream ends broken', (source, target, move, ended_caller)
    if (
        has_copy
        and source.run_state is RunState.DEAD
        and move is MoveState.FULL
    ):
        ended_caller = attrs.evolve(caller, status='broken')
        yield 'the copy is gone', (source, target, move, ended_caller)
    if not rules.gives_up_without_copy and move is MoveState.REQUESTED:
        # The gateway treats a delayed answer as if the run had been stopped.
        new = Run(RunState.RUNNING, caller.forwarded)
        switched = attrs.evolve(caller, reads_from='target')
        yield 'the run starts elsewhere', (source, new, move, switched)


def _crash(state):
    source, target, move, caller = state
    if source.run_state in (RunState.RUNNING, RunState.STOPPED):
        new = attrs.evolve(source, run_state=RunState.DEAD)
        yield 'the source crashes', (new, target, move, caller)
    if target.run_state is RunState.RUNNING:
        new = attrs.evolve(target, run_state=RunState.DEAD)
        yield 'the target crashes', (source, new, move, caller)


def _transitions(state, rules):
    return [
        *_produce_event(state),
        *_forward(state, rules),
        *_request_move(state),
        *_answer(state),
        *_continue(state, rules),
        *_give_up(state, rules),
        *_crash(state),
    ]


def _one_run_active(fields):
    run_states = (fields['source'].run_state, fields['target'].run_state)
    return run_states != (RunState.RUNNING, RunState.RUNNING)


def _each_event_once(fields):
    return not fields['caller'].violation


def _complete_has_all_events(fields):
    caller = fields['caller']
    return caller.status != 'whole' or caller.forwarded == EVENT_COUNT


def _build(name, rules):
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=FIELDS,
        initial=(Run(RunState.RUNNING), Run(), MoveState.NONE, Caller()),
        transitions=lambda state: _transitions(state, rules),
        invariants={
            'one_at_work': _one_run_active,
            'each_event_once': _each_event_once,
            'whole_is_whole': _complete_has_all_events,
        },
    )


def _spec_of(name, **rules):
    build = functools.partial(_build, name, Rules(**rules))
    return _spec.Spec(name, build)


SPECS = (_spec_of('moves/crashes and lost answers'),)

DEFECTS = (
    _spec_of('moves/goes on before the source stopped', waits_for_end=False),
    _spec_of(
        'moves/goes on after the newest event of the copy',
        continues_after_forwarded=False,
    ),
    _spec_of(
        'moves/starts elsewhere while the answer is late',
        gives_up_without_copy=False,
    ),
    _spec_of(
        'moves/ends with the connection that the move closed',
        checks_move_at_end=False,
    ),
)
