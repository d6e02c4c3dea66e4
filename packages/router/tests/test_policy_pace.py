"""Tests of the forecast of servers' pace and of the parts of the servers."""

import random

import pytest

from paddle_router import policy
from paddle_router.policy import _pace
from paddle_router.policy import _segments
from paddle_router.policy import _shared_server

NOW = 10_000


def evidence(**paces_ms):
    return {
        name: _pace.PaceEvidence(measured_ms=pace_ms)
        for name, pace_ms in paces_ms.items()
    }


def balancer(*, load_control=True, seed=1, count=6):
    built = policy.SharedLoadBalancer(
        rng=random.Random(seed), load_control=load_control
    )
    built.sync(
        [policy.Engine(id=f's{index}', slots=8) for index in range(count)], 0
    )
    return built


def test_a_server_that_takes_longer_is_forecast_to_do_so():
    forecasts = _pace.forecasts(evidence(a=40, b=40, c=68, d=None))
    assert forecasts['a'].ratio == 1.0
    assert forecasts['c'].ratio == pytest.approx(1.7)
    assert forecasts['d'].ratio == 1.0


def test_time_spent_on_prefill_does_not_make_a_server_slow():
    # Guards against servers that get no streams because they read prompts.
    items = evidence(a=40, b=40, c=80)
    items['c'] = _pace.PaceEvidence(measured_ms=80, prefill_ratio=0.5)
    assert _pace.forecasts(items)['c'].ratio == pytest.approx(1.0)


@pytest.mark.parametrize('percent', [1, 100, 250, 10_000, 2**31 - 1])
def test_any_told_pace_is_bounded(percent):
    # Guards against one odd figure that outweighs all others in the sums.
    built = balancer()
    built.report('s1', policy.LoadReport(running=1, pace_percent=percent), NOW)
    view = built.views(NOW)[1]
    assert _pace.TOLD_RANGE[0] <= view.told_pace <= _pace.TOLD_RANGE[1]
    assert built.choose(policy.EngineWork(gap_ms=200), NOW)


@pytest.mark.parametrize('pace_ms', [1, 40, 10**9])
def test_any_measured_pace_gives_a_bounded_forecast(pace_ms):
    ratio = _pace.forecasts(evidence(a=40, b=40, c=pace_ms))['c'].ratio
    assert _pace.SPEED_RANGE[0] <= ratio <= _pace.SPEED_RANGE[1]


def test_told_paces_are_summed_for_other_gateways_for_a_short_time():
    built = balancer()
    for percent in (100, 250, None):
        built.report('s1', policy.LoadReport(pace_percent=percent), NOW)
    load = built.own_loads(NOW + 10)['s1']
    assert (load.told_count, load.told_percent) == (2, 350)
    later_ms = NOW + 2 * _pace.TOLD_WINDOW_MS
    assert built.own_loads(later_ms) == {}


def test_paces_change_nothing_without_load_control():
    # Guards against other choices on deployments that did not ask for them.
    chosen = []
    for tells in (False, True):
        built = balancer(load_control=False)
        for index in range(60):
            now_ms = NOW + 20 * index
            flight = built.choose(
                policy.EngineWork(
                    prompt_tokens=(800, 12_000)[index % 2],
                    gap_ms=(200, 1_000)[index % 2],
                ),
                now_ms,
            )
            built.report(
                flight.server_id,
                policy.LoadReport(
                    running=index % 5, pace_percent=250 if tells else None
                ),
                now_ms,
            )
            chosen.append(flight.server_id)
    assert chosen[:60] == chosen[60:]


def test_a_server_that_turns_slow_gets_few_requests():
    # Guards against work on an idle server that takes four times as long.
    built = balancer()
    work = policy.EngineWork(target_ms=150)
    chosen = []
    for index in range(200):
        now_ms = NOW + 20 * index
        flight = built.choose(work, now_ms)
        chosen.append(flight.server_id)
        took_ms = 160 if flight.server_id == 's1' else 40
        built.finish(flight, now_ms + took_ms, True)
    assert chosen[100:].count('s1') <= 2


def test_the_later_of_report_and_sums_tells_the_running_requests():
    # Guards against all gateways choosing a server by an old report.
    built = balancer()
    built.report('s1', policy.LoadReport(running=2), NOW)
    built.set_other_loads({'s1': policy.SharedLoad(running=30)}, NOW + 500)
    state = built._states['s1']
    assert state.latest_running(NOW + 510) == 30
    built.report('s1', policy.LoadReport(running=4, waiting=1), NOW + 600)
    assert state.latest_running(NOW + 610) == 5
    built.set_other_loads({}, NOW + 600)
    late_ms = NOW + 601 + _shared_server.OTHERS_LIFETIME_MS
    assert state.latest_running(late_ms) in (0, 5)


CAPACITY = _segments.Capacity(count=24, slots=24 * 16, running=200)


def segments(short, long, *, steps=100):
    """Return segments after ``steps`` of 100 ms with these running streams."""
    built = _segments.Segments()
    for index in range(steps):
        built.record(200, 2 * short)
        built.record(1_000, 10 * long)
        built.update(
            [200] * short + [1_000] * long, CAPACITY, NOW + 100 * index
        )
    return built


def test_the_parts_of_the_servers_follow_the_demand():
    # Guards against a fixed part that short streams overflow in their burst.
    usual = segments(5, 10).ends()[200]
    assert segments(15, 10).ends()[200] > usual > segments(2, 14).ends()[200]


def test_a_small_change_of_demand_moves_no_end():
    # Guards against gateways that move servers back and forth, which costs
    # the cached parts of prompts.
    built = segments(5, 10)
    ends = built.ends()
    for index in range(20):
        built.update(
            [200] * (4 + 2 * (index % 2)) + [1_000] * 10,
            CAPACITY,
            NOW + 10_000 + 100 * index,
        )
        built.record(1_000, 100)
    assert built.ends()[200] == ends[200]


def test_a_kind_that_is_no_longer_used_gets_no_servers():
    built = segments(5, 10)
    for index in range(1_000):
        built.record(1_000, 100)
        built.update([1_000] * 10, CAPACITY, NOW + 10_000 + 100 * index)
    assert built.ends() == {}
    assert built.gap_of(0.0) is None


def test_pauses_that_are_about_equal_are_one_kind():
    built = segments(5, 10)
    assert built.kind_of(220) == 200
    assert built.kind_of(300) == 300


def test_an_old_report_counts_for_nothing_without_the_exchange():
    # Guards against a server that a gateway avoids for ever, because the last
    # report was of much load and no sums arrive any more.
    built = balancer(count=1)
    state = built._states['s0']
    built.report('s0', policy.LoadReport(running=8, waiting=30, slots=8), NOW)
    assert state.latest_running(NOW) == 38
    lifetime_ms = _shared_server.OTHERS_LIFETIME_MS
    assert state.latest_running(NOW + lifetime_ms + 1) == 0
