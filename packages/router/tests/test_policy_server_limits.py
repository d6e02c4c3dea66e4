"""Tests of the limits that servers name in their answers."""

import pytest

from paddle_router import policy

SERVER = policy.Incarnation('s0')
START_MS = 1_700_000_000_000


@pytest.fixture
def limits():
    return policy.ServerLimits()


def test_a_limit_changes_with_the_newest_answer(limits):
    assert limits.record(SERVER, 1.5, START_MS)
    assert not limits.record(SERVER, 1.5, START_MS + 1)
    assert limits.record(SERVER, 3.0, START_MS + 2)
    assert not limits.record(SERVER, 1.5, START_MS + 1)
    assert limits.record(SERVER, None, START_MS + 3)


def test_older_information_does_not_restore_a_lifted_limit(limits):
    # Guards against an instance that was cut off while the limit was lifted.
    limits.record(SERVER, 1.0, START_MS)
    limits.record(SERVER, None, START_MS + 1_000)
    old = policy.ServerLimit(
        server=SERVER, milli_per_s=1_000, seen_ms=START_MS
    )
    assert not limits.add(old)


def test_an_answer_without_a_limit_leaves_no_trace(limits):
    assert not limits.record(SERVER, None, START_MS)
    assert limits.dump() == {}


def test_limits_of_unlisted_servers_are_dropped(limits):
    limits.record(SERVER, 1.0, START_MS)
    limits.retain([policy.Incarnation('s1')])
    assert limits.dump() == {}
