"""Model of claims: three attempts at one non-idempotent request.

The attempts are a request and its resends, each handled by another process.
Each change of the register may succeed, provably fail, or have an unknown
outcome and take effect at any later time or never. Clocks may disagree: an
owner may send although its deadline has passed for other processes. The
functions that change the record are the ones of :mod:`paddle_coord._claims`.
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
CLAIM_UNKNOWN = 'doubtful'
GRANTED = 'granted'
SENT = 'sent'
ENDED = 'over'

FIELDS = (
    'record',
    'delayed_writes',
    'wall_ms',
    'attempts',
    'expired_reported',
)


@attrs.frozen
class Attempt:
    """One attempt; ``reported`` is the outcome given to the caller, if any."""

    phase: str = IDLE
    has_run: bool = False
    reported: str | None = None


@attrs.frozen(kw_only=True)
class Rules:
    """Rules of the protocol; each seeded defect switches one."""

    claims_before_send: bool = True
    sends_unknown_claim: bool = False
    releases_after_send: bool = False
    releases_foreign_claims: bool = False


@attrs.frozen
class State:
    """State of the model.

    ``delayed_writes`` are changes with an unknown outcome that may still take
    effect; ``expired_reported`` is whether an expired claim was reported.
    """

    record: object = None
    delayed_writes: frozenset = frozenset()
    wall_ms: int = EARLY_MS
    attempts: tuple = (Attempt(),) * len(ATTEMPTS)
    expired_reported: bool = False

    def update(self, index, **options):
        """Return the state with the given fields of one attempt replaced."""
        attempts = list(self.attempts)
        attempts[index] = attrs.evolve(attempts[index], **options)
        return attrs.evolve(self, attempts=tuple(attempts))


def _evaluate(rules, record, write):
    """Return the record after a write ``(name, attempt, wall_ms)``."""
    name, index, wall_ms = write
    token = RECORDS[index].token
    if name == 'take':
        new = _claims.take(record, RECORDS[index], wall_ms)
    elif name == 'finish':
        new = _claims.finish(record, token, ANSWER, wall_ms)
    else:
        if rules.releases_foreign_claims and record is not None:
            token = record.token
        new = _claims.give_back(record, token)
    if new is None or isinstance(new, _claims.ClaimRecord):
        return new
    return record


def _write(rules, state, name, index):
    """Yield ``(result, state)`` for each outcome of a change."""
    write = (name, index, state.wall_ms)
    record = _evaluate(rules, state.record, write)
    yield 'success', attrs.evolve(state, record=record)
    yield 'not_written', state
    # Also covers an effect before the call returns: a delayed write may take
    # effect at once.
    yield (
        'unknown',
        attrs.evolve(state, delayed_writes=state.delayed_writes | {write}),
    )


def _report_record(state, index, record):
    """Report the outcome that the record found implies to the caller."""
    outcome = _claims.describe(record, RECORDS[index], state.wall_ms)
    if outcome.reason == _claims.EXPIRED:
        state = attrs.evolve(state, expired_reported=True)
    return state.update(index, phase=ENDED, reported=outcome.outcome)


def _is_own(record, index):
    return record is not None and record.token == RECORDS[index].token


def _claim(rules, state, index):
    if not rules.claims_before_send and not state.attempts[index].has_run:
        yield 'send', state.update(index, has_run=True)
        return
    for result, after in _write(rules, state, 'take', index):
        if result == 'not_written':
            yield (
                result,
                after.update(index, phase=ENDED, reported=_claims.NOT_RUN),
            )
        elif result == 'unknown':
            yield result, after.update(index, phase=CLAIM_UNKNOWN)
        elif _is_own(after.record, index):
            yield result, after.update(index, phase=GRANTED)
        else:
            yield result, _report_record(after, index, after.record)


def _resolve_unknown_claim(rules, state, index):
    if rules.sends_unknown_claim:
        yield 'send', state.update(index, phase=SENT, has_run=True)
    for result, after in _write(rules, state, 'give_back', index):
        if result != 'success':
            yield (
                result,
                after.update(index, phase=ENDED, reported=_claims.UNKNOWN),
            )
        elif after.record is None or _is_own(after.record, index):
            yield (
                result,
                after.update(index, phase=ENDED, reported=_claims.NOT_RUN),
            )
        else:
            yield result, _report_record(after, index, after.record)


def _release(rules, state, index):
    for result, after in _write(rules, state, 'give_back', index):
        yield (
            f'release {result}',
            after.update(index, phase=ENDED, reported=_claims.NOT_RUN),
        )


def _run_request(rules, state, index):
    sent = state.update(index, phase=SENT, has_run=True)
    yield 'send', sent
    yield from _release(rules, state, index)
    yield 'crash', state.update(index, phase=ENDED)


def _complete(rules, state, index):
    for result, after in _write(rules, state, 'finish', index):
        reported = _claims.UNKNOWN
        is_done = _is_own(after.record, index) and (
            after.record.state == _claims.DONE
        )
        if result == 'success' and is_done:
            reported = _claims.DONE
        yield result, after.update(index, phase=ENDED, reported=reported)
    if rules.releases_after_send:
        yield from _release(rules, state, index)
    yield 'crash', state.update(index, phase=ENDED)


STEPS = {
    IDLE: _claim,
    CLAIM_UNKNOWN: _resolve_unknown_claim,
    GRANTED: _run_request,
    SENT: _complete,
}


def _successors(rules, state):
    if state.wall_ms == EARLY_MS:
        yield 'deadline passes', attrs.evolve(state, wall_ms=LATE_MS)
    for write in state.delayed_writes:
        yield (
            f'late {write[0]} of {write[1]}',
            attrs.evolve(
                state,
                record=_evaluate(rules, state.record, write),
                delayed_writes=state.delayed_writes - {write},
            ),
        )
    for index, attempt in enumerate(state.attempts):
        if attempt.phase in STEPS:
            step = STEPS[attempt.phase]
            for label, after in step(rules, state, index):
                yield f'{index}: {attempt.phase}: {label}', after


def _runs_once(fields):
    return sum(attempt.has_run for attempt in fields['attempts']) <= 1


def _not_run_is_true(fields):
    return not any(
        attempt.has_run and attempt.reported == _claims.NOT_RUN
        for attempt in fields['attempts']
    )


def _done_implies_run(fields):
    done_reported = any(
        item.reported == _claims.DONE for item in fields['attempts']
    )
    return not done_reported or any(
        item.has_run for item in fields['attempts']
    )


def _expired_is_final(fields):
    record = fields['record']
    return not fields['expired_reported'] or (
        record is not None and record.state == _claims.UNKNOWN
    )


def _build(**switches):
    rules = Rules(**switches)

    def transitions(state):
        return [
            (label, attrs.astuple(after, recurse=False))
            for label, after in _successors(rules, State(*state))
        ]

    return minicheck.Protocol(
        name='claims',
        candidate=False,
        fields=FIELDS,
        initial=attrs.astuple(State(), recurse=False),
        transitions=transitions,
        invariants={
            'runs_at_most_once': _runs_once,
            'not_run_is_true': _not_run_is_true,
            'done_has_run': _done_implies_run,
            'expired_stays_unknown': _expired_is_final,
        },
    )


SPECS = (Spec('claims', _build),)
DEFECTS = (
    Spec(
        'claims: claim written after the send',
        lambda: _build(claims_before_send=False),
    ),
    Spec(
        'claims: sent with an unknown claim',
        lambda: _build(sends_unknown_claim=True),
    ),
    Spec(
        'claims: released after the send',
        lambda: _build(releases_after_send=True),
    ),
    Spec(
        'claims: releases the claim of another',
        lambda: _build(releases_foreign_claims=True),
    ),
)
