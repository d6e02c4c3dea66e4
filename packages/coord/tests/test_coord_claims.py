"""Tests of claims on non-idempotent requests."""

import pytest
import returns.result

import paddle_coord as coord
from paddle_coord import _claims
import paddle_kernel as kernel

DEADLINE_MS = 5_000
ANSWER = coord.Answer.from_response(201, [('Content-Type', 'x')], b'slot 4')


class Pair:
    """Two claim books of different processes on one register."""

    def __init__(self):
        self.register = coord.MemoryRegister()
        self.clock = kernel.FakeClock()
        self.first, self.second = (
            coord.ClaimBook(
                self.register,
                self.clock,
                owner,
                keys=self.keys,
                delete=self.delete,
            )
            for owner in ('a', 'b')
        )
        self.deleted = []

    def keys(self, prefix):
        found = [k for k in self.register.values if k.startswith(prefix)]
        return returns.result.Success(found)

    def delete(self, key, function):
        change = self.register.change(key, function).unwrap()
        if change.applied:
            self.deleted.append(key)
        return returns.result.Success(change.applied)

    def claim(self, book, digest='d1'):
        deadline_ms = self.clock.now_ms() + DEADLINE_MS
        return book.claim('acme', 'booking-1', digest, deadline_ms)


@pytest.fixture
def pair():
    return Pair()


def test_answer_is_replayed_to_a_resend(pair):
    # Guards against running a booking again after a lost response.
    granted = pair.claim(pair.first)
    assert pair.first.may_send(granted.claim)
    done = pair.first.complete(granted.claim, ANSWER).unwrap()
    resend = pair.claim(pair.second)
    assert (done.outcome, resend.outcome) == ('done', 'done')
    assert resend.answer == ANSWER


def test_long_body_is_marked_as_not_kept():
    # Guards against replaying a truncated body as if it were complete.
    body = b'x' * (_claims.MAX_BODY_BYTES + 1)
    assert coord.Answer.from_response(200, [], body).body is None


def test_claim_is_sent_once_and_not_released_afterwards(pair):
    # Guards against a second attempt after the first byte may have left.
    claim = pair.claim(pair.first).claim
    assert pair.first.may_send(claim)
    assert not pair.first.may_send(claim)
    with pytest.raises(coord.ClaimError):
        pair.first.release(claim)


def test_claim_is_not_sent_after_its_deadline(pair):
    # Guards against sending what others already report as unknown.
    claim = pair.claim(pair.first).claim
    pair.clock.advance(DEADLINE_MS)
    assert not pair.first.may_send(claim)
    assert pair.first.release(claim).outcome == 'not_run'


def test_released_claim_can_be_taken_again(pair):
    # Guards against a failed connection blocking the booking for a day.
    claim = pair.claim(pair.first).claim
    assert pair.first.release(claim).reason == 'released'
    assert not pair.first.may_send(claim)
    assert pair.claim(pair.second).outcome == 'granted'


def test_claim_of_a_dead_owner_becomes_and_stays_unknown(pair):
    # Guards against running a request again whose owner died after sending.
    claim = pair.claim(pair.first).claim
    assert pair.first.may_send(claim)
    early = pair.claim(pair.second)
    assert (early.outcome, early.reason) == ('unknown', 'in_progress')
    pair.clock.advance(early.retry_after_ms)
    assert pair.claim(pair.second).reason == 'expired'
    late = pair.first.complete(claim, ANSWER).unwrap()
    assert late.outcome == 'unknown'
    assert pair.claim(pair.second).reason == 'expired'


def test_claim_past_its_deadline_is_final_only_once_marked(pair):
    # Guards against "unknown" for good while the owner can still complete.
    claim = pair.claim(pair.first).claim
    assert pair.first.may_send(claim)
    pair.clock.advance(DEADLINE_MS + 1)
    pair.register.failures = ['unknown_lost']
    resend = pair.claim(pair.second)
    assert (resend.reason, resend.retry_after_ms) == ('in_progress', 1)
    assert pair.claim(pair.second).reason == 'expired'


def test_late_answer_is_recorded_as_unknown(pair):
    # Guards against "done" after a resend was told "unknown" for good.
    claim = pair.claim(pair.first).claim
    assert pair.first.may_send(claim)
    pair.clock.advance(DEADLINE_MS + 1)
    assert pair.first.complete(claim, ANSWER).unwrap().outcome == 'unknown'


def test_other_body_under_the_same_key_is_refused(pair):
    # Guards against replaying the answer to a different request.
    pair.claim(pair.first)
    other = pair.claim(pair.second, digest='d2')
    assert (other.outcome, other.reason) == ('not_run', 'other_request')


@pytest.mark.parametrize(
    'failures,outcome,reason',
    [
        (['not_written'], 'not_run', 'register'),
        (['unknown_lost'], 'not_run', 'released'),
        (['unknown_applied'], 'not_run', 'released'),
        (['unknown_applied', 'not_written'], 'unknown', 'register'),
        (['unknown_applied', 'unknown_applied'], 'unknown', 'register'),
    ],
)
def test_failed_claim_is_never_granted(pair, failures, outcome, reason):
    # Guards against a send without a durable claim and a false "not run".
    pair.register.failures = failures
    result = pair.claim(pair.first)
    assert (result.outcome, result.reason) == (outcome, reason)
    assert result.claim is None


def test_own_record_marked_unknown_by_another_is_not_granted():
    # Guards against a repeated evaluation that reverts an unknown outcome.
    wanted = _claims.ClaimRecord('claimed', 't', 'a', 'd', 1_000)
    marked = _claims.take(
        wanted, _claims.ClaimRecord('claimed', 'u', 'b', 'd', 9_000), 1_001
    )
    assert _claims.take(marked, wanted, 1_002).state == 'unknown'


def test_only_claims_past_their_retention_are_collected(pair):
    # Guards against forgetting a booking while its caller may resend it.
    pair.claim(pair.first)
    pair.clock.advance(DEADLINE_MS + _claims.RETENTION_MS)
    assert pair.first.collect().unwrap() == 0
    pair.clock.advance(1)
    assert pair.first.collect().unwrap() == 1
    assert pair.deleted == [_claims.register_key('acme', 'booking-1')]


def test_claim_taken_after_a_collection_is_not_deleted(pair):
    # Guards against two collectors of which the slower deletes a new claim.
    pair.claim(pair.first)
    pair.clock.advance(DEADLINE_MS + _claims.RETENTION_MS + 1)
    read = pair.register.read

    def read_then_retake(key):
        value = read(key)
        pair.register.values.clear()
        pair.claim(pair.second)
        return value

    pair.register.read = read_then_retake
    assert pair.first.collect().unwrap() == 0
    assert pair.deleted == []
