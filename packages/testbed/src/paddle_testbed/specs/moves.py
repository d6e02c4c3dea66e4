"""Model of a stream whose run is moved from one server to another.

A server makes numbered events and sends them to the gateway, which passes
them on in order. The gateway may ask the server once to stop the run and copy
it; the answer names the copy, says that the copy found no room, or is lost.
Each server can crash, which loses what was on its way. The stream cannot be
resumed, so without a copy it ends broken.

The run is never at work at two servers, no event is passed on twice or left
out, and a stream that looks whole is. That a copy belongs to the request is
not modelled.
"""

import enum
import functools

import attrs
import minicheck

from paddle_testbed.specs import _spec

EVENTS = 3
FIELDS = ('source', 'target', 'move', 'caller')


class Place(enum.Enum):
    """What the run does at a server."""

    NONE = 'none'
    RUNNING = 'running'
    STOPPED = 'stopped'
    DEAD = 'dead'


class Move(enum.Enum):
    """How far a move has come, as the gateway knows it."""

    NONE = 'none'
    ASKED = 'asked'
    COPIED = 'copied'
    FULL = 'full'
    LOST = 'lost'


@attrs.frozen(cache_hash=True)
class Run:
    """The run at one server: its state and the newest event it made."""

    place: Place = Place.NONE
    made: int = 0


@attrs.frozen(cache_hash=True)
class Caller:
    """What the caller got; ``reads`` names the server it is fed from."""

    passed: int = 0
    reads: str = 'source'
    status: str = 'open'
    flaw: str = ''


@attrs.frozen(kw_only=True)
class Rules:
    """Rules that a seeded defect leaves out."""

    waits_for_end: bool = True
    continues_after_passed: bool = True
    gives_up_without_copy: bool = True


def _make(state):
    source, target, move, caller = state
    if source.place is Place.RUNNING and source.made < EVENTS:
        new = attrs.evolve(source, made=source.made + 1)
        yield 'the source makes an event', (new, target, move, caller)
    if target.place is Place.RUNNING and target.made < EVENTS:
        new = attrs.evolve(target, made=target.made + 1)
        yield 'the target makes an event', (source, new, move, caller)


def _pass_on(state):
    """The gateway passes the next event of the server it reads from on."""
    source, target, move, caller = state
    run = source if caller.reads == 'source' else target
    if caller.status != 'open' or run.place is Place.DEAD:
        return
    if caller.passed < run.made:
        new = attrs.evolve(caller, passed=caller.passed + 1)
        yield 'an event is passed on', (source, target, move, new)
    elif run.place is Place.RUNNING and run.made == EVENTS:
        done = attrs.evolve(run, place=Place.NONE)
        ends = attrs.evolve(caller, status='whole')
        if caller.reads == 'source':
            yield 'the stream ends', (done, target, move, ends)
        else:
            yield 'the stream ends', (source, done, move, ends)


def _ask(state):
    source, target, move, caller = state
    if move is Move.NONE and caller.passed and caller.status == 'open':
        yield 'the move is asked for', (source, target, Move.ASKED, caller)


def _answer(state):
    """The source stops the run and answers; the answer may be lost."""
    source, target, move, caller = state
    if move is not Move.ASKED or source.place is not Place.RUNNING:
        return
    stopped = attrs.evolve(source, place=Place.STOPPED)
    for result in (Move.COPIED, Move.FULL, Move.LOST):
        yield (
            f'the run is stopped: {result.value}',
            (stopped, target, result, caller),
        )


def _is_over(run, caller):
    """Whether the gateway sees the end of an incomplete stream."""
    if run.place is Place.DEAD:
        return True
    return run.place is Place.STOPPED and caller.passed == run.made


def _continue(state, rules):
    """The gateway sends the request to where the copy is."""
    source, target, move, caller = state
    if caller.status != 'open' or caller.reads == 'target':
        return
    asked = move in (Move.COPIED, Move.FULL) or (
        not rules.waits_for_end and move is Move.ASKED
    )
    ended = _is_over(source, caller) or not rules.waits_for_end
    if not (asked and ended):
        return
    first = caller.passed
    if not rules.continues_after_passed:
        first = source.made
    flaw = caller.flaw if first == caller.passed else 'events left out'
    if move is not Move.FULL and target.place is Place.NONE:
        new = Run(Place.RUNNING, first)
        fed = attrs.evolve(caller, reads='target', passed=first, flaw=flaw)
        yield 'the run goes on at the target', (source, new, move, fed)
    if source.place is Place.STOPPED:
        # Without room at the target, or after it rejected the copy.
        again = attrs.evolve(source, place=Place.RUNNING, made=caller.passed)
        yield (
            'the run goes on at the source',
            (again, target, Move.LOST, caller),
        )


def _give_up(state, rules):
    source, target, move, caller = state
    run = source if caller.reads == 'source' else target
    if caller.status != 'open':
        return
    has_copy = caller.reads == 'source' and move in (Move.COPIED, Move.FULL)
    if _is_over(run, caller) and not has_copy:
        ends = attrs.evolve(caller, status='broken')
        yield 'the stream ends broken', (source, target, move, ends)
    if has_copy and source.place is Place.DEAD and move is Move.FULL:
        ends = attrs.evolve(caller, status='broken')
        yield 'the copy is gone', (source, target, move, ends)
    if not rules.gives_up_without_copy and move is Move.ASKED:
        # An answer that takes long is taken for a run that was stopped.
        new = Run(Place.RUNNING, caller.passed)
        fed = attrs.evolve(caller, reads='target')
        yield 'the run starts elsewhere', (source, new, move, fed)


def _crash(state):
    source, target, move, caller = state
    if source.place in (Place.RUNNING, Place.STOPPED):
        new = attrs.evolve(source, place=Place.DEAD)
        yield 'the source crashes', (new, target, move, caller)
    if target.place is Place.RUNNING:
        new = attrs.evolve(target, place=Place.DEAD)
        yield 'the target crashes', (source, new, move, caller)


def _transitions(state, rules):
    return [
        *_make(state),
        *_pass_on(state),
        *_ask(state),
        *_answer(state),
        *_continue(state, rules),
        *_give_up(state, rules),
        *_crash(state),
    ]


def _one_at_work(fields):
    places = (fields['source'].place, fields['target'].place)
    return places != (Place.RUNNING, Place.RUNNING)


def _each_event_once(fields):
    return not fields['caller'].flaw


def _whole_is_whole(fields):
    caller = fields['caller']
    return caller.status != 'whole' or caller.passed == EVENTS


def _build(name, rules):
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=FIELDS,
        initial=(Run(Place.RUNNING), Run(), Move.NONE, Caller()),
        transitions=lambda state: _transitions(state, rules),
        invariants={
            'one_at_work': _one_at_work,
            'each_event_once': _each_event_once,
            'whole_is_whole': _whole_is_whole,
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
        continues_after_passed=False,
    ),
    _spec_of(
        'moves/starts elsewhere while the answer is late',
        gives_up_without_copy=False,
    ),
)
