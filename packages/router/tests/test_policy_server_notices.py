"""Tests of the policies with servers that are leaving or in a quiet period."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from paddle_router import policy

NOW_MS = 10_000
LOOKUP = policy.EngineWork(target_ms=150)


def engine(number=0, *, born_ms=0, leaving=False, slots=4):
    return policy.Engine(
        id=f's{number}', born_ms=born_ms, slots=slots, leaving=leaving
    )


def incarnation(number=0, born_ms=0):
    return policy.Incarnation(f's{number}', born_ms)


@pytest.fixture
def notices():
    return policy.ServerNotices(drain_ms=3_000)


@pytest.fixture
def balancer(notices):
    built = policy.SharedLoadBalancer(rng=random.Random(1), notices=notices)
    built.sync([engine(0), engine(1)], NOW_MS)
    return built


def choose_servers(balancer, now_ms, count=20):
    """Return the ids of the servers chosen for ``count`` requests.

    Each request is answered at once; ``None`` stands for no server.
    """
    ids = set()
    for number in range(count):
        flight = balancer.choose(LOOKUP, now_ms + number)
        if flight is None:
            ids.add(None)
            continue
        ids.add(flight.server_id)
        balancer.finish(flight, now_ms + number, True)
    return ids


# Leaving


def test_leaving_notice_overrides_a_list_that_shows_the_server_as_ready(
    balancer, notices
):
    notices.mark_leaving(incarnation(0), NOW_MS)
    balancer.sync([engine(0), engine(1)], NOW_MS + 100)
    assert choose_servers(balancer, NOW_MS + 200) == {'s1'}
    # A list may lack the server for a moment if it is older.
    balancer.sync([engine(1)], NOW_MS + 300)
    balancer.sync([engine(0), engine(1)], NOW_MS + 400)
    assert choose_servers(balancer, NOW_MS + 500) == {'s1'}


def test_another_incarnation_with_the_same_id_has_no_notices(
    balancer, notices
):
    notices.mark_leaving(incarnation(0), NOW_MS)
    notices.mark_quiet(incarnation(0), 60_000, NOW_MS)
    balancer.sync([engine(0, born_ms=5), engine(1)], NOW_MS + 100)
    assert choose_servers(balancer, NOW_MS + 200) == {'s0', 's1'}


def test_if_all_servers_are_leaving_they_are_used_until_their_drain_ends(
    balancer, notices
):
    for number in range(2):
        notices.mark_leaving(incarnation(number), NOW_MS)
    assert choose_servers(balancer, NOW_MS + 2_000) == {'s0', 's1'}
    assert balancer.is_last_resort
    # 500 ms (the drain margin) before the end of the drain time.
    assert choose_servers(balancer, NOW_MS + 2_500) == {None}


def test_a_server_listed_as_leaving_accepts_work_for_less_time(balancer):
    # The list may be outdated when it arrives, so part of the drain time may
    # have passed.
    balancer.sync([engine(0, leaving=True)], NOW_MS)
    assert choose_servers(balancer, NOW_MS + 10) == {None}


@given(st.lists(st.integers(0, 30), max_size=60))
def test_number_of_notices_is_bounded(numbers):
    notices = policy.ServerNotices()
    for index, number in enumerate(numbers):
        now_ms = NOW_MS + 100_000 * index
        notices.mark_leaving(incarnation(number, index), now_ms)
        notices.retain((), now_ms)
    # One notice is added every 100 s and kept for 600 s.
    assert len(notices.dump(NOW_MS)) <= 7


# Quiet


def test_a_quiet_period_lasts_exactly_as_long_as_the_server_asks(
    balancer, notices
):
    notices.mark_quiet(incarnation(0), 1_500, NOW_MS)
    assert choose_servers(balancer, NOW_MS + 1_400) == {'s1'}
    assert 's0' in choose_servers(balancer, NOW_MS + 1_500, count=60)


def test_a_later_response_does_not_shorten_the_quiet_period(balancer, notices):
    # The responses to two requests can overtake each other.
    notices.mark_quiet(incarnation(0), 2_000, NOW_MS)
    notices.mark_quiet(incarnation(0), 100, NOW_MS + 10)
    assert choose_servers(balancer, NOW_MS + 1_900) == {'s1'}


@pytest.mark.parametrize('quiet_ms', [1e12, float('inf')])
def test_a_quiet_period_is_limited_to_a_maximum(balancer, notices, quiet_ms):
    notices.mark_quiet(incarnation(0), quiet_ms, NOW_MS)
    end_ms = NOW_MS + policy.MAX_QUIET_MS
    assert choose_servers(balancer, end_ms - 100) == {'s1'}
    assert 's0' in choose_servers(balancer, end_ms, count=60)


def test_a_run_is_not_continued_on_a_quiet_server(balancer, notices):
    notices.mark_quiet(incarnation(0), 1_000, NOW_MS)
    assert balancer.place('s0', LOOKUP, NOW_MS + 900) is None
    assert balancer.place('s0', LOOKUP, NOW_MS + 1_000) is not None


def test_load_increases_gradually_after_a_quiet_period(notices):
    # Guards against 40 waiting requests that arrive in the same ms and are
    # rejected again.
    built = policy.SharedLoadBalancer(rng=random.Random(1), notices=notices)
    built.sync([engine(0, slots=16)], NOW_MS)
    notices.mark_quiet(incarnation(0), 500, NOW_MS)
    sent = []
    for step in range(6):
        now_ms = NOW_MS + 500 + 100 * step
        flights = []
        while len(flights) < 40:
            flight = built.choose(LOOKUP, now_ms)
            if flight is None:
                break
            flights.append(flight)
        sent.append(len(flights))
        for flight in flights:
            built.finish(flight, now_ms + 50, True)
    assert sent == [1, 2, 4, 8, 40, 40]


def test_slow_start_begins_again_after_another_rejection(balancer, notices):
    built = balancer
    built.sync([engine(0)], NOW_MS)
    notices.mark_quiet(incarnation(0), 500, NOW_MS)
    flight = built.choose(LOOKUP, NOW_MS + 500)
    assert built.choose(LOOKUP, NOW_MS + 501) is None
    notices.mark_quiet(incarnation(0), 500, NOW_MS + 510)
    built.cancel(flight)
    assert built.choose(LOOKUP, NOW_MS + 600) is None
    assert built.choose(LOOKUP, NOW_MS + 1_010) is not None
    assert built.choose(LOOKUP, NOW_MS + 1_011) is None


def test_requests_resume_when_the_first_quiet_period_ends(balancer, notices):
    notices.mark_quiet(incarnation(0), 700, NOW_MS)
    notices.mark_quiet(incarnation(1), 1_500, NOW_MS)
    available = balancer.next_availability(frozenset(), NOW_MS + 10)
    assert (available.at_ms, available.servers) == (NOW_MS + 700, 1)
    assert choose_servers(balancer, NOW_MS + 699, count=1) == {None}
    assert choose_servers(balancer, NOW_MS + 700, count=1) == {'s0'}


def test_next_availability_accounts_for_the_slow_start():
    available = policy.NextAvailability(NOW_MS, 1, 4)
    assert [available.rounds_before(number) for number in range(12)] == [
        *(0, 1, 1, 2, 2, 2, 2),
        *(3, 3, 3, 3),
        4,
    ]


def test_each_of_forty_gateways_sends_one_request_after_the_quiet_period():
    # The server gives each gateway a quiet period of its own.
    flights = 0
    for seed in range(40):
        notices = policy.ServerNotices()
        built = policy.SharedLoadBalancer(
            rng=random.Random(seed), notices=notices
        )
        built.sync([engine(0, slots=64)], NOW_MS)
        notices.mark_quiet(incarnation(0), 1_000, NOW_MS + seed)
        while built.choose(LOOKUP, NOW_MS + 1_100) is not None:
            flights += 1
    assert flights == 40


# Waiting


@given(
    st.lists(st.tuples(st.integers(0, 9), st.integers(0, 50)), max_size=40),
    st.randoms(use_true_random=False),
)
def test_waiting_requests_are_ordered_by_rank_and_then_by_arrival(
    requests, rng
):
    queue = policy.WaitingQueue()
    positions = {
        queue.join(rank, arrived_ms, (rank, arrived_ms)): (rank, arrived_ms)
        for rank, arrived_ms in requests
    }
    for position in [item for item in positions if rng.random() < 0.3]:
        queue.leave(position)
        del positions[position]
    assert queue.payloads() == sorted(positions.values())
    for position, key in positions.items():
        assert (
            queue.is_first(position)
            == (queue.payloads()[0] == key and queue.first() == key)
            or list(positions.values()).count(key) > 1
        )
