"""Tests of the comparison of controllers' clocks."""

import attrs
import paddle_kernel
from paddle_router.controller import _clocks
from paddle_router import gateway
import pytest
import returns.result

OWN = '10.0.0.1:7340'
OTHERS = ('10.0.0.2:7340', '10.0.0.3:7340')
STEP_MS = 4_000


@attrs.define
class Transport:
    """Answers with the time of day of the clocks, by address."""

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


class SteppedClock(paddle_kernel.FakeClock):
    """Clock whose time of day is wrong."""

    def wall_ms(self):
        return super().wall_ms() + STEP_MS


@pytest.fixture
def clock():
    return paddle_kernel.FakeClock()


def comparison(clock, wall, transport):
    return _clocks.ClockComparison(
        clock,
        wall,
        transport,
        members=lambda: (OWN, *OTHERS),
        own=OWN,
    )


def test_a_controller_started_during_a_step_is_corrected(clock):
    # Its windows of usage were shifted by the step for its whole life.
    true = paddle_kernel.SteadyWall(clock)
    wall = paddle_kernel.SteadyWall(SteppedClock())
    assert wall.now_ms() - true.now_ms() == STEP_MS
    transport = Transport({address: true for address in OTHERS})
    comparison(clock, wall, transport).step()
    assert wall.now_ms() == true.now_ms()


def test_a_controller_with_the_right_time_keeps_it(clock):
    true = paddle_kernel.SteadyWall(clock)
    wall = paddle_kernel.SteadyWall(clock)
    wrong = paddle_kernel.SteadyWall(SteppedClock())
    walls = {OTHERS[0]: true, OTHERS[1]: wrong}
    comparison(clock, wall, Transport(walls)).step()
    assert wall.now_ms() == true.now_ms()


def test_two_times_alone_decide_nothing(clock):
    wall = paddle_kernel.SteadyWall(clock)
    before = wall.now_ms()
    wrong = paddle_kernel.SteadyWall(SteppedClock())
    transport = Transport({OTHERS[0]: wrong})
    compare = comparison(clock, wall, transport)
    compare.step()
    assert wall.now_ms() == before
    clock.advance(_clocks.FIRST_COMPARE_MS)
    transport.walls[OTHERS[1]] = wrong
    compare.step()
    assert wall.now_ms() == wrong.now_ms()


def test_comparisons_are_rare(clock):
    true = paddle_kernel.SteadyWall(clock)
    transport = Transport({address: true for address in OTHERS})
    compare = comparison(clock, paddle_kernel.SteadyWall(clock), transport)
    for _ in range(10):
        compare.step()
        clock.advance(_clocks.FIRST_COMPARE_MS)
    # 2.25 s: one at the start and one after two seconds.
    assert transport.calls == 2 * len(OTHERS)
