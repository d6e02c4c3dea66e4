"""Tests of the comparison of controllers' clocks."""

import attrs
import paddle_kernel
from paddle_router.controller import _clocks
from paddle_router import gateway
import pytest
import returns.result

OWN_ADDRESS = '10.0.0.1:7340'
OTHER_ADDRESSES = ('10.0.0.2:7340', '10.0.0.3:7340')
CLOCK_ERROR_MS = 4_000


@attrs.define
class FakeTransport:
    """Replies with the time of day of the wall clock of each address."""

    walls: dict
    calls: int = 0

    def call(self, address, message, timeout_ms):
        self.calls += 1
        wall = self.walls.get(address)
        if wall is None:
            return returns.result.Failure('unreachable')
        return returns.result.Success(
            gateway.SyncReply(
                controllers=(),
                members=(),
                confirmed=False,
                version=0,
                document=None,
                listing='',
                servers=(),
                fronts=0,
                totals=b'',
                counted=0,
                period_ms=0,
                true_ms=wall.now_ms(),
            )
        )


class WrongClock(paddle_kernel.FakeClock):
    """Clock whose time of day is ahead by ``CLOCK_ERROR_MS``."""

    def wall_ms(self):
        return super().wall_ms() + CLOCK_ERROR_MS


@pytest.fixture
def clock():
    return paddle_kernel.FakeClock()


def build_comparison(clock, wall, transport):
    return _clocks.ClockComparison(
        clock,
        wall,
        transport,
        members=lambda: (OWN_ADDRESS, *OTHER_ADDRESSES),
        own_address=OWN_ADDRESS,
    )


def test_a_controller_started_with_a_wrong_clock_is_corrected(clock):
    # Guards against a clock error at the start that shifts all usage windows
    # until the controller stops.
    true_wall = paddle_kernel.SteadyWall(clock)
    wall = paddle_kernel.SteadyWall(WrongClock())
    assert wall.now_ms() - true_wall.now_ms() == CLOCK_ERROR_MS
    transport = FakeTransport(
        {address: true_wall for address in OTHER_ADDRESSES}
    )
    build_comparison(clock, wall, transport).step()
    assert wall.now_ms() == true_wall.now_ms()


def test_a_controller_with_the_right_time_is_not_adjusted(clock):
    true_wall = paddle_kernel.SteadyWall(clock)
    wall = paddle_kernel.SteadyWall(clock)
    wrong_wall = paddle_kernel.SteadyWall(WrongClock())
    walls = {OTHER_ADDRESSES[0]: true_wall, OTHER_ADDRESSES[1]: wrong_wall}
    build_comparison(clock, wall, FakeTransport(walls)).step()
    assert wall.now_ms() == true_wall.now_ms()


def test_two_clocks_do_not_suffice_for_a_correction(clock):
    wall = paddle_kernel.SteadyWall(clock)
    before = wall.now_ms()
    wrong_wall = paddle_kernel.SteadyWall(WrongClock())
    transport = FakeTransport({OTHER_ADDRESSES[0]: wrong_wall})
    comparison = build_comparison(clock, wall, transport)
    comparison.step()
    assert wall.now_ms() == before
    clock.advance(_clocks.INITIAL_COMPARE_PERIOD_MS)
    transport.walls[OTHER_ADDRESSES[1]] = wrong_wall
    comparison.step()
    assert wall.now_ms() == wrong_wall.now_ms()


def test_the_comparison_period_grows_after_a_success(clock):
    true_wall = paddle_kernel.SteadyWall(clock)
    transport = FakeTransport(
        {address: true_wall for address in OTHER_ADDRESSES}
    )
    comparison = build_comparison(
        clock, paddle_kernel.SteadyWall(clock), transport
    )
    for _ in range(10):
        comparison.step()
        clock.advance(_clocks.INITIAL_COMPARE_PERIOD_MS)
    # In 2.25 s: one comparison at the start and one after two seconds.
    assert transport.calls == 2 * len(OTHER_ADDRESSES)
