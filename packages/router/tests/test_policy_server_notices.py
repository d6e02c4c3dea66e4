"""Replays of servers that leave or want quiet against the policies."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from paddle_router import policy

NOW = 10_000
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
    built.sync([engine(0), engine(1)], NOW)
    return built


def chosen(balancer, now_ms, count=20):
    """Return the servers of requests that are answered at once."""
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


def test_leaving_outlasts_a_list_that_still_says_ready(balancer, notices):
    notices.mark_leaving(incarnation(0), NOW)
    balancer.sync([engine(0), engine(1)], NOW + 100)
    assert chosen(balancer, NOW + 200) == {'s1'}
    # The list may lack it for a moment, as an older one does.
    balancer.sync([engine(1)], NOW + 300)
    balancer.sync([engine(0), engine(1)], NOW + 400)
    assert chosen(balancer, NOW + 500) == {'s1'}


def test_another_incarnation_under_the_same_id_starts_fresh(balancer, notices):
    notices.mark_leaving(incarnation(0), NOW)
    notices.mark_quiet(incarnation(0), 60_000, NOW)
    balancer.sync([engine(0, born_ms=5), engine(1)], NOW + 100)
    assert chosen(balancer, NOW + 200) == {'s0', 's1'}


def test_all_servers_that_leave_serve_until_they_stop_taking_work(
    balancer, notices
):
    for number in range(2):
        notices.mark_leaving(incarnation(number), NOW)
    assert chosen(balancer, NOW + 2_000) == {'s0', 's1'}
    assert balancer.is_last_resort
    # Half a second before the end of the drain time.
    assert chosen(balancer, NOW + 2_500) == {None}


def test_a_server_listed_as_leaving_takes_work_for_less_time(balancer):
    # The list is old when it arrives.
    balancer.sync([engine(0, leaving=True)], NOW)
    assert chosen(balancer, NOW + 10) == {None}


@given(st.lists(st.integers(0, 30), max_size=60))
def test_notices_do_not_grow_without_bound(numbers):
    notices = policy.ServerNotices()
    for index, number in enumerate(numbers):
        now_ms = NOW + 100_000 * index
        notices.mark_leaving(incarnation(number, index), now_ms)
        notices.retain((), now_ms)
    # One every 100 s is kept for 600 s.
    assert len(notices.dump(NOW)) <= 7


# Quiet


def test_the_time_that_a_server_names_is_kept_and_not_exceeded(
    balancer, notices
):
    notices.mark_quiet(incarnation(0), 1_500, NOW)
    assert chosen(balancer, NOW + 1_400) == {'s1'}
    assert 's0' in chosen(balancer, NOW + 1_500, count=60)


def test_a_later_answer_does_not_shorten_the_time(balancer, notices):
    # Answers of two requests can cross each other on their way.
    notices.mark_quiet(incarnation(0), 2_000, NOW)
    notices.mark_quiet(incarnation(0), 100, NOW + 10)
    assert chosen(balancer, NOW + 1_900) == {'s1'}


@pytest.mark.parametrize('wish_ms', [1e12, float('inf')])
def test_no_answer_keeps_requests_away_for_good(balancer, notices, wish_ms):
    notices.mark_quiet(incarnation(0), wish_ms, NOW)
    end_ms = NOW + policy.MOST_QUIET_MS
    assert chosen(balancer, end_ms - 100) == {'s1'}
    assert 's0' in chosen(balancer, end_ms, count=60)


def test_a_run_whose_memory_is_at_a_quiet_server_is_not_sent_there(
    balancer, notices
):
    notices.mark_quiet(incarnation(0), 1_000, NOW)
    assert balancer.place('s0', LOOKUP, NOW + 900) is None
    assert balancer.place('s0', LOOKUP, NOW + 1_000) is not None


def test_load_returns_gradually_after_a_quiet_time(notices):
    # Forty requests that waited arrived in one ms and were turned away.
    built = policy.SharedLoadBalancer(rng=random.Random(1), notices=notices)
    built.sync([engine(0, slots=16)], NOW)
    notices.mark_quiet(incarnation(0), 500, NOW)
    sent = []
    for step in range(6):
        now_ms = NOW + 500 + 100 * step
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


def test_a_server_that_turns_requests_away_again_starts_from_one(
    balancer, notices
):
    built = balancer
    built.sync([engine(0)], NOW)
    notices.mark_quiet(incarnation(0), 500, NOW)
    flight = built.choose(LOOKUP, NOW + 500)
    assert built.choose(LOOKUP, NOW + 501) is None
    notices.mark_quiet(incarnation(0), 500, NOW + 510)
    built.forget(flight)
    assert built.choose(LOOKUP, NOW + 600) is None
    assert built.choose(LOOKUP, NOW + 1_010) is not None
    assert built.choose(LOOKUP, NOW + 1_011) is None


def test_a_service_is_without_a_server_no_longer_than_they_asked(
    balancer, notices
):
    notices.mark_quiet(incarnation(0), 700, NOW)
    notices.mark_quiet(incarnation(1), 1_500, NOW)
    available = balancer.next_availability(frozenset(), NOW + 10)
    assert (available.at_ms, available.servers) == (NOW + 700, 1)
    assert chosen(balancer, NOW + 699, count=1) == {None}
    assert chosen(balancer, NOW + 700, count=1) == {'s0'}


def test_the_forecast_counts_the_gradual_return():
    available = policy.NextAvailability(NOW, 1, 4)
    assert [available.rounds_before(number) for number in range(12)] == [
        *(0, 1, 1, 2, 2, 2, 2),
        *(3, 3, 3, 3),
        4,
    ]


def test_forty_gateways_that_hear_it_at_once_return_one_request_each():
    # Each gateway has a time of its own; the server named it to each.
    flights = 0
    for seed in range(40):
        notices = policy.ServerNotices()
        built = policy.SharedLoadBalancer(
            rng=random.Random(seed), notices=notices
        )
        built.sync([engine(0, slots=64)], NOW)
        notices.mark_quiet(incarnation(0), 1_000, NOW + seed)
        while built.choose(LOOKUP, NOW + 1_100) is not None:
            flights += 1
    assert flights == 40


# Waiting


@given(
    st.lists(st.tuples(st.integers(0, 9), st.integers(0, 50)), max_size=40),
    st.randoms(use_true_random=False),
)
def test_a_line_is_in_order_of_rank_and_then_of_arrival(requests, rng):
    line = policy.WaitingLine()
    places = {
        line.join(rank, arrived_ms, (rank, arrived_ms)): (rank, arrived_ms)
        for rank, arrived_ms in requests
    }
    for place in [item for item in places if rng.random() < 0.3]:
        line.leave(place)
        del places[place]
    assert line.payloads() == sorted(places.values())
    for place, key in places.items():
        assert (
            line.is_first(place)
            == (line.payloads()[0] == key and line.first() == key)
            or list(places.values()).count(key) > 1
        )
