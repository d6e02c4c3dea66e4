"""Tests of claims of non-idempotent requests."""

import pytest
import returns.result

import paddle_coord as coord
from paddle_coord import _claims
import paddle_kernel as kernel

DEADLINE_MS = 5_000
ANSWER = coord.Answer.from_response(201, [('Content-Type', 'x')], b'slot 4')


class TwoClaimBooks:
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
def books():
    return TwoClaimBooks()


def test_answer_is_replayed_to_a_resend(books):
    # Guards against running a request again after its response was lost.
    granted = books.claim(books.first)
    assert books.first.may_send(granted.claim)
    done = books.first.complete(granted.claim, ANSWER).unwrap()
    resend = books.claim(books.second)
    assert (done.outcome, resend.outcome) == ('done', 'done')
    assert resend.answer == ANSWER


def test_body_over_the_limit_is_not_stored():
    # Guards against replaying a truncated body as if it were complete.
    body = b'x' * (_claims.MAX_BODY_BYTES + 1)
    assert coord.Answer.from_response(200, [], body).body is None


def test_claim_is_sent_once_and_not_released_afterwards(books):
    # Guards against a second attempt after the first byte may have left.
    claim = books.claim(books.first).claim
    assert books.first.may_send(claim)
    assert not books.first.may_send(claim)
    with pytest.raises(coord.ClaimError):
        books.first.release(claim)


def test_claim_is_not_sent_after_its_deadline(books):
    # Guards against sending a request after other processes have reported
    # its outcome as unknown.
    claim = books.claim(books.first).claim
    books.clock.advance(DEADLINE_MS)
    assert not books.first.may_send(claim)
    assert books.first.release(claim).outcome == 'not_run'


def test_released_claim_can_be_taken_again(books):
    # Guards against a failed connection that blocks a request for one day,
    # the retention time of its claim.
    claim = books.claim(books.first).claim
    assert books.first.release(claim).reason == 'released'
    assert not books.first.may_send(claim)
    assert books.claim(books.second).outcome == 'granted'


def test_claim_of_a_failed_owner_becomes_and_stays_unknown(books):
    # Guards against running a request again whose owner died after sending.
    claim = books.claim(books.first).claim
    assert books.first.may_send(claim)
    early = books.claim(books.second)
    assert (early.outcome, early.reason) == ('unknown', 'in_progress')
    books.clock.advance(early.retry_after_ms)
    assert books.claim(books.second).reason == 'expired'
    late = books.first.complete(claim, ANSWER).unwrap()
    assert late.outcome == 'unknown'
    assert books.claim(books.second).reason == 'expired'


def test_expired_claim_is_final_only_after_it_is_marked_unknown(books):
    # Guards against a final "unknown" while the owner can still complete.
    claim = books.claim(books.first).claim
    assert books.first.may_send(claim)
    books.clock.advance(DEADLINE_MS + 1)
    books.register.failures = ['unknown_lost']
    resend = books.claim(books.second)
    assert (resend.reason, resend.retry_after_ms) == ('in_progress', 1)
    assert books.claim(books.second).reason == 'expired'


def test_late_answer_is_recorded_as_unknown(books):
    # Guards against "done" after a resend got "unknown" as its final outcome.
    claim = books.claim(books.first).claim
    assert books.first.may_send(claim)
    books.clock.advance(DEADLINE_MS + 1)
    assert books.first.complete(claim, ANSWER).unwrap().outcome == 'unknown'


def test_other_body_under_the_same_key_is_refused(books):
    # Guards against replaying the answer to a different request.
    books.claim(books.first)
    other = books.claim(books.second, digest='d2')
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
def test_failed_claim_is_never_granted(books, failures, outcome, reason):
    # Guards against a send without a durable claim and a false "not run".
    books.register.failures = failures
    result = books.claim(books.first)
    assert (result.outcome, result.reason) == (outcome, reason)
    assert result.claim is None


def test_own_record_marked_unknown_by_another_is_not_granted():
    # Guards against a repeated evaluation of the change function that reverts
    # an unknown outcome.
    wanted = _claims.ClaimRecord('claimed', 't', 'a', 'd', 1_000)
    marked = _claims.take(
        wanted, _claims.ClaimRecord('claimed', 'u', 'b', 'd', 9_000), 1_001
    )
    assert _claims.take(marked, wanted, 1_002).state == 'unknown'


def test_only_claims_past_their_retention_are_collected(books):
    # Guards against deleting a claim while the request may still be resent.
    books.claim(books.first)
    books.clock.advance(DEADLINE_MS + _claims.RETENTION_MS)
    assert books.first.collect().unwrap() == 0
    books.clock.advance(1)
    assert books.first.collect().unwrap() == 1
    assert books.deleted == [_claims.register_key('acme', 'booking-1')]


def test_claim_taken_after_a_collection_is_not_deleted(books):
    # Guards against a slow collector that deletes a claim which was taken
    # again after another process had collected the old one.
    books.claim(books.first)
    books.clock.advance(DEADLINE_MS + _claims.RETENTION_MS + 1)
    read = books.register.read

    def read_then_retake(key):
        value = read(key)
        books.register.values.clear()
        books.claim(books.second)
        return value

    books.register.read = read_then_retake
    assert books.first.collect().unwrap() == 0
    assert books.deleted == []
