"""Tests of the lease and of sends guarded by it."""

import gevent
import paddle_coord as coord
import paddle_kernel as kernel
import pytest

TIMING = coord.LeaseTiming()
VALIDITY_MS = TIMING.duration_ms - TIMING.guard_ms
TAKEOVER_WAIT_MS = 3_030 + TIMING.in_flight_ms
KEY = coord.LEASE_KEY


class SlowRegister(coord.MemoryRegister):
    """Each change takes ``delay_ms`` before it is applied."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.delay_ms = 0

    def change(self, key, function):
        self.clock.advance(self.delay_ms)
        return super().change(key, function)


class Connection:
    def __init__(self):
        self.closed = False

    def close(self):
        self.closed = True


@pytest.fixture
def clock():
    return kernel.FakeClock()


@pytest.fixture
def register(clock):
    return SlowRegister(clock)


@pytest.fixture
def first(register, clock):
    lease = coord.Lease(register, clock, 'a')
    assert lease.tick() == 1
    return lease


@pytest.fixture
def second(register, clock):
    return coord.Lease(register, clock, 'b')


def test_lease_time_counts_from_before_the_change_was_sent(register, clock):
    # Guards against a slow change that extends the lease by its own duration.
    register.delay_ms = 400
    lease = coord.Lease(register, clock, 'a')
    lease.tick()
    assert lease.remaining_ms() == VALIDITY_MS - 400


def test_lease_ends_by_the_clock_of_its_holder(first, clock):
    # Guards against a holder that keeps sending when it cannot renew.
    clock.advance(VALIDITY_MS - 1)
    assert first.number() == 1
    clock.advance(1)
    assert first.number() is None


def test_contender_waits_and_takes_over_with_a_higher_number(
    first, second, clock
):
    # Guards against two holders at the same time.
    second.tick()
    clock.advance(TAKEOVER_WAIT_MS - 1)
    assert second.tick() is None
    clock.advance(1)
    assert second.tick() == 2
    assert first.tick() is None


def test_renewal_restarts_the_wait_of_a_contender(first, second, clock):
    # Guards against a wait that ignores the renewal count.
    second.tick()
    for _ in range(5):
        clock.advance(1_500)
        assert first.tick() == 1
        assert second.tick() is None


@pytest.mark.parametrize('failure', ['unknown_applied', 'unknown_lost'])
def test_renewal_with_unknown_outcome_does_not_extend(
    register, first, clock, failure
):
    # Guards against relying on a renewal that may not have been decided.
    clock.advance(1_500)
    register.failures = [failure]
    first.tick()
    assert first.remaining_ms() == VALIDITY_MS - 1_500


def test_takeover_with_unknown_outcome_is_confirmed_before_use(
    register, clock
):
    # Guards against using a takeover that may not have been decided.
    register.failures = ['unknown_applied']
    lease = coord.Lease(register, clock, 'a')
    assert lease.tick() is None
    assert lease.tick() == 1
    assert lease.remaining_ms() == VALIDITY_MS


def test_expired_holder_renews_only_without_a_successor(first, second, clock):
    # Guards against an expired holder that renews beside its successor.
    clock.advance(VALIDITY_MS)
    assert first.tick() == 1
    second.tick()
    clock.advance(TAKEOVER_WAIT_MS)
    assert second.tick() == 2
    assert first.tick() is None
    clock.advance(VALIDITY_MS)
    assert first.tick() is None


def test_release_leaves_only_the_wait_for_messages_in_flight(
    first, second, clock
):
    # Guards against a long interruption at a planned restart, and against a
    # successor that sends while the last message may still arrive.
    first.release()
    assert first.number() is None
    second.tick()
    clock.advance(1_010 + TIMING.guard_ms - 1)
    assert second.tick() is None
    clock.advance(1)
    assert second.tick() == 2
    assert first.tick() is None


def test_renewal_in_flight_does_not_revert_a_release(register, clock):
    # Guards against a lease that is held again after its release.
    lease = coord.Lease(register, clock, 'a')
    lease.tick()
    clock.advance(1_500)
    apply = register.change

    def change(key, function):
        register.change = apply
        result = apply(key, function)
        lease.release()
        return result

    register.change = change
    assert lease.tick() is None
    assert lease.number() is None


def test_guarded_send_checks_after_connecting(first, clock):
    # Guards against a write after the end of the lease due to a slow connect.
    conn = Connection()

    def connect():
        clock.advance(VALIDITY_MS)
        return conn

    result = coord.guarded_send(first, connect, pytest.fail, 1_000)
    assert result.failure().kind == coord.NOT_SENT
    assert conn.closed


def test_guarded_send_passes_the_number_and_the_bound(first):
    # Guards against a send without fencing number or timeout.
    result = coord.guarded_send(
        first, Connection, lambda conn, *rest: rest, 1_000
    )
    assert result.unwrap() == (1, 1_000)


def test_guarded_send_aborts_at_the_bound_and_closes(first):
    # Guards against a message that arrives after the successor's wait.
    conn = Connection()
    result = coord.guarded_send(
        first, lambda: conn, lambda *_: gevent.sleep(10), 20
    )
    assert result.failure().kind == coord.UNKNOWN
    assert conn.closed


def test_guarded_send_reports_a_refused_connection_as_not_sent(first):
    # Guards against orders that count as sent although no byte was sent.
    def connect():
        raise ConnectionRefusedError

    result = coord.guarded_send(first, connect, pytest.fail, 1_000)
    assert result.failure().kind == coord.NOT_SENT
