"""Tests of the bounds on bytes held for callers and of request bodies.

Load: callers that read slowly or not at all, and large bodies that arrive at
the same time.
"""

from paddle_router import policy
import pytest

MEMORY_MB = 200
BUDGET = policy.BufferBudget.from_memory(MEMORY_MB)
PART = 16_384
STALLED = policy.STALL_MS


def fill(count):
    """Return the bytes held for ``count`` callers that read nothing."""
    held = [0] * count
    while True:
        total = sum(held)
        added = False
        for index, own in enumerate(held):
            if not own or BUDGET.caller_room(total, own):
                held[index] += PART
                total += PART
                added = True
        if not added:
            return held


def test_the_bounds_leave_most_of_the_memory():
    # Guards against a process that is killed for its memory.
    bound = BUDGET.answers + BUDGET.bodies
    assert 0 < bound <= MEMORY_MB * 1_000_000 // 4


@pytest.mark.parametrize('count', [1, 20, 400])
def test_callers_that_read_nothing_stay_within_the_bound(count):
    # Guards against answers that pile up. Each caller may have one part more.
    held = fill(count)
    assert sum(held) <= BUDGET.answers + count * PART
    assert max(held) <= BUDGET.answers / 16 + PART


def test_one_caller_may_hold_a_large_answer_while_there_is_room():
    # Guards against a server that is held by the only slow caller.
    assert max(fill(1)) > 1_000_000


def test_a_stalled_caller_is_kept_until_room_is_scarce():
    # Guards against callers that are ended without need.
    own = BUDGET.answers // 20
    assert (
        BUDGET.judge_caller(own, own, 60 * STALLED) is not policy.Verdict.END
    )
    verdict = BUDGET.judge_caller(BUDGET.answers, own, STALLED)
    assert verdict is policy.Verdict.END


def test_a_caller_that_reads_is_paused_but_not_ended():
    # Guards against slow but steady callers that pay for the stalled ones.
    own = BUDGET.answers // 20
    for total in (0, BUDGET.answers // 2, BUDGET.answers, 2 * BUDGET.answers):
        verdict = BUDGET.judge_caller(total, own, STALLED - 1)
        assert verdict in (policy.Verdict.KEEP, policy.Verdict.PAUSE)


def test_large_bodies_are_paused_before_small_ones():
    # Guards against small requests that pay for large bodies.
    total = 0
    while BUDGET.judge_body(total, 4_000_000) is policy.Verdict.KEEP:
        total += 4_000_000
    assert 0 < total <= BUDGET.bodies
    assert BUDGET.judge_body(total, 4_000_000) is policy.Verdict.PAUSE
    assert BUDGET.judge_body(total, 100_000) is policy.Verdict.KEEP


def test_bodies_stay_within_their_bound():
    # Guards against many small bodies that fill the memory together.
    total = 0
    while BUDGET.judge_body(total, 50_000) is policy.Verdict.KEEP:
        total += 50_000
    assert total <= BUDGET.bodies


def test_a_body_that_never_fits_does_not_wait():
    # Guards against callers that wait in vain.
    verdict = BUDGET.judge_body(0, BUDGET.bodies)
    assert verdict is policy.Verdict.END
