"""Tests of the limits that servers name in their answers."""

import random

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


# Brittle servers


OTHER = policy.Incarnation('s1')
SERVICE = (SERVER, OTHER)


@pytest.fixture
def brittle(limits):
    limits.wall_offset_ms = START_MS
    limits.record(SERVER, None, START_MS, 2.0)
    return limits


def test_the_newest_answer_says_whether_a_service_is_brittle(brittle):
    # Guards against places that stay bounded after a service has recovered.
    assert brittle.brittle_milli_per_s(SERVICE, 1) == 2_000
    brittle.record(OTHER, None, START_MS + 1, 5.0)
    assert brittle.brittle_milli_per_s(SERVICE, 1) == 5_000
    brittle.record(SERVER, None, START_MS + 2)
    assert brittle.brittle_milli_per_s(SERVICE, 2) is None


def test_other_services_are_not_brittle(brittle):
    assert brittle.brittle_milli_per_s([OTHER], 1) is None


def test_a_brittle_service_that_no_answer_confirms_is_forgotten(brittle):
    # Guards against knowledge that outlasts the servers' trouble because no
    # gateway sends them requests any more.
    assert brittle.brittle_milli_per_s(SERVICE, 20_000) == 2_000
    assert brittle.brittle_milli_per_s(SERVICE, 30_001) is None


def test_a_server_that_bears_no_rejection_is_brittle(limits):
    limits.record(SERVER, None, 0, 0.0)
    assert limits.brittle_milli_per_s(SERVICE, 0) == 1


def test_a_brittle_server_without_a_limit_gets_requests(brittle):
    assert brittle.is_open(SERVER, 1)
    assert brittle.interval_ms(SERVER) is None


# Permits


STEP_MS = 20
WINDOW_MS = 4_000
# The users allow this much more than the limit in any window.
ALLOWED_RATIO = 1.5
ALLOWED_REQUESTS = 5
CLOCK_ERROR_MS = 100


def make_gateways(count, rng):
    """Return the limits of ``count`` gateways whose clocks differ."""
    gateways = []
    for index in range(count):
        limits = policy.ServerLimits()
        limits.set_share(index, count)
        limits.wall_offset_ms = START_MS + rng.randint(
            -CLOCK_ERROR_MS, CLOCK_ERROR_MS
        )
        gateways.append(limits)
    return gateways


def set_limit(gateways, limit_per_s, now_ms):
    for limits in gateways:
        limits.record(SERVER, limit_per_s, START_MS + now_ms)


def send_requests(gateways, since_ms, until_ms, rng):
    """Send whenever a gateway may; return the times of the requests."""
    times = []
    for now_ms in range(since_ms, until_ms, STEP_MS):
        for limits in rng.sample(gateways, len(gateways)):
            while limits.is_open(SERVER, now_ms):
                limits.use_permit(SERVER, now_ms)
                times.append(now_ms)
    return times


def most_in_window(times):
    return max(
        (
            sum(first <= now_ms < first + WINDOW_MS for now_ms in times)
            for first in times
        ),
        default=0,
    )


def allowed_in_window(limit_per_s):
    allowed = ALLOWED_RATIO * limit_per_s * WINDOW_MS / 1_000
    return allowed + ALLOWED_REQUESTS


@pytest.mark.parametrize('count', [1, 8, 61, 390])
@pytest.mark.parametrize('limit_per_s', [0.3, 1, 1.1, 7.5, 40])
def test_all_gateways_together_keep_the_limit(count, limit_per_s):
    # Guards against a share that every gateway rounds up.
    rng = random.Random(count)
    gateways = make_gateways(count, rng)
    set_limit(gateways, limit_per_s, 0)
    times = send_requests(gateways, 0, 16_000, rng)
    assert most_in_window(times) <= allowed_in_window(limit_per_s)
    assert len(times) >= 0.9 * limit_per_s * 16 - 1


@pytest.mark.parametrize('count', [8, 390])
def test_no_burst_follows_a_time_without_requests(count):
    # Guards against gateways that all save up one request.
    rng = random.Random(1)
    gateways = make_gateways(count, rng)
    set_limit(gateways, 1, 0)
    send_requests(gateways, 0, 4_000, rng)
    times = send_requests(gateways, 60_000, 64_000, rng)
    assert most_in_window(times) <= allowed_in_window(1)


@pytest.mark.parametrize('count', [8, 61])
@pytest.mark.parametrize('limit_per_s', [1, 10])
def test_a_limit_that_changes_often_is_kept(count, limit_per_s):
    # Guards against permits that each change gives out again.
    rng = random.Random(2)
    gateways = make_gateways(count, rng)
    times = []
    for second in range(20):
        changed = limit_per_s * rng.uniform(0.9, 1.0)
        set_limit(gateways, changed, 1_000 * second)
        times += send_requests(
            gateways, 1_000 * second, 1_000 * (second + 1), rng
        )
    assert most_in_window(times) <= allowed_in_window(limit_per_s)


def test_a_server_with_limit_zero_still_gets_a_request_at_times(limits):
    # Only answers show that a limit is lifted.
    limits.wall_offset_ms = START_MS
    limits.record(SERVER, 0.0, START_MS)
    times = send_requests([limits], 0, 60_000, random.Random(1))
    assert 5 <= len(times) <= 7
    limits.record(SERVER, None, START_MS + 60_000)
    assert limits.is_open(SERVER, 60_000)


def test_the_next_permit_is_known(limits):
    # A request that waits sets its timer by it.
    limits.wall_offset_ms = START_MS
    limits.set_share(0, 4)
    limits.record(SERVER, 1.0, START_MS)
    limits.use_permit(SERVER, limits.next_permit_ms(SERVER, 0))
    second_ms = limits.next_permit_ms(SERVER, 0)
    assert limits.is_open(SERVER, second_ms)
    assert not limits.is_open(SERVER, second_ms - 2)
    limits.use_permit(SERVER, second_ms)
    third_ms = limits.next_permit_ms(SERVER, second_ms)
    assert 3_999 <= third_ms - second_ms <= 4_001


@pytest.mark.parametrize('leaving', [False, True])
def test_a_server_without_a_permit_is_not_chosen(limits, leaving):
    # Also if all servers are leaving and are used until they stop.
    limits.wall_offset_ms = START_MS
    limits.set_share(0, 8)
    notices = policy.ServerNotices(drain_ms=3_000)
    if leaving:
        notices.mark_leaving(SERVER, 0)
    balancer = policy.balancers.create(
        'shared_load', rng=random.Random(1), notices=notices, limits=limits
    )
    balancer.sync([policy.Engine(id=SERVER.id)], 0)
    limits.record(SERVER, 0.5, START_MS)
    work = policy.EngineWork(target_ms=150)
    placed = [balancer.choose(work, 0) for _ in range(5)]
    assert sum(flight is not None for flight in placed) <= 1
