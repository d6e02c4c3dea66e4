"""Specification of claims: three attempts at one non-idempotent request.

The attempts stand for a request and its resends at processes of their own.
Each change of the register may succeed, provably fail, or have an unknown
outcome and take effect at any later time or never. The clocks are not
trusted: an owner may send although others see its deadline passed. The
functions that change the record are those of :mod:`paddle_coord._claims`.
"""

import attrs
import minicheck

from paddle_coord import _claims
from paddle_testbed.specs._spec import Spec

ATTEMPTS = range(3)
DEADLINE_MS = 10
EARLY_MS = 0
LATE_MS = 11
ANSWER = _claims.Answer(201)
RECORDS = tuple(
    _claims.ClaimRecord(_claims.CLAIMED, str(index), 'p', 'd', DEADLINE_MS)
    for index in ATTEMPTS
)

# Phases of an attempt.
IDLE = 'idle'
DOUBTFUL = 'doubtful'
GRANTED = 'granted'
SENT = 'sent'
OVER = 'over'

FIELDS = ('record', 'late', 'wall_ms', 'attempts', 'final')


@attrs.frozen
class Attempt:
    """``told`` is the outcome reported to the caller, if any."""

    phase: str = IDLE
    ran: bool = False
    told: str | None = None


@attrs.frozen(kw_only=True)
class Rules:
    """Switches for the seeded defects."""

    claim_before_send: bool = True
    send_in_doubt: bool = False
    release_after_send: bool = False
    release_of_others: bool = False


@attrs.frozen
class World:
    """State of the model. ``final`` is set once "expired" was reported."""

    record: object = None
    late: frozenset = frozenset()
    wall_ms: int = EARLY_MS
    attempts: tuple = (Attempt(),) * len(ATTEMPTS)
    final: bool = False

    def update(self, index, **options):
        """Return the world after a change of one attempt."""
        attempts = list(self.attempts)
        attempts[index] = attrs.evolve(attempts[index], **options)
        return attrs.evolve(self, attempts=tuple(attempts))


def _evaluate(rules, record, write):
    """Return the record after a write ``(name, attempt, time)``."""
    name, index, wall_ms = write
    token = RECORDS[index].token
    if name == 'take':
        new = _claims.take(record, RECORDS[index], wall_ms)
    elif name == 'finish':
        new = _claims.finish(record, token, ANSWER, wall_ms)
    else:
        if rules.release_of_others and record is not None:
            token = record.token
        new = _claims.give_back(record, token)
    if new is None or isinstance(new, _claims.ClaimRecord):
        return new
    return record


def _write(rules, world, name, index):
    """Yield ``(result, world)`` for each outcome of a change."""
    write = (name, index, world.wall_ms)
    record = _evaluate(rules, world.record, write)
    yield 'success', attrs.evolve(world, record=record)
    yield 'not_written', world
    # An effect before the call returns is a late one that comes at once.
    yield 'unknown', attrs.evolve(world, late=world.late | {write})


def _tell(world, index, record):
    """Report what the found ``record`` means."""
    outcome = _claims.describe(record, RECORDS[index], world.wall_ms)
    if outcome.reason == _claims.EXPIRED:
        world = attrs.evolve(world, final=True)
    return world.update(index, phase=OVER, told=outcome.outcome)


def _is_own(record, index):
    return record is not None and record.token == RECORDS[index].token


def _claim(rules, world, index):
    if not rules.claim_before_send and not world.attempts[index].ran:
        yield 'send', world.update(index, ran=True)
        return
    for result, after in _write(rules, world, 'take', index):
        if result == 'not_written':
            yield result, after.update(index, phase=OVER, told=_claims.NOT_RUN)
        elif result == 'unknown':
            yield result, after.update(index, phase=DOUBTFUL)
        elif _is_own(after.record, index):
            yield result, after.update(index, phase=GRANTED)
        else:
            yield result, _tell(after, index, after.record)


def _resolve_doubt(rules, world, index):
    if rules.send_in_doubt:
        yield 'send', world.update(index, phase=SENT, ran=True)
    for result, after in _write(rules, world, 'give_back', index):
        if result != 'success':
            yield result, after.update(index, phase=OVER, told=_claims.UNKNOWN)
        elif after.record is None or _is_own(after.record, index):
            yield result, after.update(index, phase=OVER, told=_claims.NOT_RUN)
        else:
            yield result, _tell(after, index, after.record)


def _release(rules, world, index):
    for result, after in _write(rules, world, 'give_back', index):
        yield (
            f'release {result}',
            after.update(index, phase=OVER, told=_claims.NOT_RUN),
        )


def _use(rules, world, index):
    ran = world.update(index, phase=SENT, ran=True)
    yield 'send', ran
    yield from _release(rules, world, index)
    yield 'crash', world.update(index, phase=OVER)


def _complete(rules, world, index):
    for result, after in _write(rules, world, 'finish', index):
        told = _claims.UNKNOWN
        is_done = _is_own(after.record, index) and (
            after.record.state == _claims.DONE
        )
        if result == 'success' and is_done:
            told = _claims.DONE
        yield result, after.update(index, phase=OVER, told=told)
    if rules.release_after_send:
        yield from _release(rules, world, index)
    yield 'crash', world.update(index, phase=OVER)


STEPS = {
    IDLE: _claim,
    DOUBTFUL: _resolve_doubt,
    GRANTED: _use,
    SENT: _complete,
}


def _successors(rules, world):
    if world.wall_ms == EARLY_MS:
        yield 'deadline passes', attrs.evolve(world, wall_ms=LATE_MS)
    for write in world.late:
        yield (
            f'late {write[0]} of {write[1]}',
            attrs.evolve(
                world,
                record=_evaluate(rules, world.record, write),
                late=world.late - {write},
            ),
        )
    for index, attempt in enumerate(world.attempts):
        if attempt.phase in STEPS:
            step = STEPS[attempt.phase]
            for label, after in step(rules, world, index):
                yield f'{index}: {attempt.phase}: {label}', after


def _runs_once(fields):
    return sum(attempt.ran for attempt in fields['attempts']) <= 1


def _not_run_is_true(fields):
    return not any(
        attempt.ran and attempt.told == _claims.NOT_RUN
        for attempt in fields['attempts']
    )


def _done_has_run(fields):
    told = any(item.told == _claims.DONE for item in fields['attempts'])
    return not told or any(item.ran for item in fields['attempts'])


def _expired_is_final(fields):
    record = fields['record']
    return not fields['final'] or (
        record is not None and record.state == _claims.UNKNOWN
    )


def _build(**switches):
    rules = Rules(**switches)

    def transitions(state):
        return [
            (label, attrs.astuple(after, recurse=False))
            for label, after in _successors(rules, World(*state))
        ]

    return minicheck.Protocol(
        name='claims',
        candidate=False,
        fields=FIELDS,
        initial=attrs.astuple(World(), recurse=False),
        transitions=transitions,
        invariants={
            'runs_at_most_once': _runs_once,
            'not_run_is_true': _not_run_is_true,
            'done_has_run': _done_has_run,
            'expired_stays_unknown': _expired_is_final,
        },
    )


SPECS = (Spec('claims', _build),)
DEFECTS = (
    Spec(
        'claims: claim written after the send',
        lambda: _build(claim_before_send=False),
    ),
    Spec(
        'claims: sent with an unknown claim',
        lambda: _build(send_in_doubt=True),
    ),
    Spec(
        'claims: released after the send',
        lambda: _build(release_after_send=True),
    ),
    Spec(
        'claims: releases the claim of another',
        lambda: _build(release_of_others=True),
    ),
)
