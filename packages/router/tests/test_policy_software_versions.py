"""Tests of the history of the servers' software versions."""

import random

from hypothesis import given
from hypothesis import strategies as st

from paddle_router import policy

START_MS = 1_700_000_000_000
RETENTION_MS = policy.STREAM_RETENTION_MS


def version(name, seen_ms):
    return policy.ServiceVersion(
        service='s', version=name, seen_ms=START_MS + seen_ms
    )


def test_a_version_that_left_is_known_while_its_streams_may_be_taken_up():
    # Guards against a single version that seems certain although the one
    # before served a second ago.
    history = policy.VersionHistory()
    history.observe([('s', 'v1'), ('t', 'v9')], START_MS)
    history.observe([('s', 'v2')], START_MS + 1_000)
    assert history.versions('s', START_MS + RETENTION_MS) == ('v1', 'v2')
    assert history.versions('s', START_MS + RETENTION_MS + 1) == ('v2',)


def test_a_time_in_the_future_comes_from_a_wrong_clock():
    # Guards against versions that count as recent for hours.
    history = policy.VersionHistory()
    history.add([version('v1', 10 * RETENTION_MS)], START_MS)
    assert history.versions('s', START_MS + RETENTION_MS + 1) == ()


@given(
    facts=st.lists(
        st.tuples(st.sampled_from('abc'), st.integers(0, RETENTION_MS))
    ),
    seed=st.integers(0, 99),
)
def test_the_order_of_facts_does_not_matter(facts, seed):
    # Guards against instances that disagree about the versions.
    now_ms = START_MS + RETENTION_MS
    items = [version(*fact) for fact in facts]
    first, second = policy.VersionHistory(), policy.VersionHistory()
    first.add(items, now_ms)
    shuffled = items * 2
    random.Random(seed).shuffle(shuffled)
    for item in shuffled:
        second.add([item], now_ms)
    assert set(first.items(now_ms)) == set(second.items(now_ms))
