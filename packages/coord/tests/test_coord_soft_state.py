"""Tests of demand reports and shares."""

from hypothesis import given
from hypothesis import strategies as st

import paddle_coord as coord
from paddle_coord import _soft_state
import paddle_kernel as kernel

ENTRIES = st.lists(
    st.tuples(
        st.sampled_from([_soft_state.LIVE, _soft_state.DRAINING]),
        st.dictionaries(
            st.sampled_from(['chat', 'bulk']), st.integers(0, 10_000)
        ),
    ),
    min_size=1,
    max_size=12,
)


def make_report(name, state=_soft_state.LIVE, **demands):
    classes = tuple(
        coord.ClassDemand(class_name, demand)
        for class_name, demand in demands.items()
    )
    return coord.DemandReport(name, 'i', state, classes)


@given(
    ENTRIES,
    st.integers(0, 5_600),
    st.sampled_from(['', 'chat', 'bulk', 'unreported']),
)
def test_parts_add_up_to_the_capacity(entries, capacity, class_name):
    # Guards against slots that are granted to no daemon or to two.
    reports = [
        make_report(f'd{index:02}', state, **demands)
        for index, (state, demands) in enumerate(entries)
    ]
    totals = _soft_state.compute_totals(reports)
    parts = [
        coord.compute_share(own, totals[own.daemon], class_name).of(capacity)
        for own in reports
    ]
    weighs = any(
        report.state == _soft_state.LIVE
        or any(
            item.demand
            for item in report.classes
            if class_name in ('', item.class_name)
        )
        for report in reports
    )
    assert min(parts) >= 0
    assert sum(parts) == (capacity if weighs else 0)


def test_share_is_proportional_to_demand_and_idle_daemons_keep_a_part():
    # Guards against a daemon that gets no part for its first request.
    state = coord.SoftState(kernel.FakeClock())
    idle = make_report('a')
    state.report(make_report('b', chat=98))
    share = coord.compute_share(idle, state.report(idle), 'chat')
    assert share.of(100) == 1


def test_silent_daemon_returns_its_share_after_the_limit():
    # Guards against capacity that stays assigned to a killed daemon.
    clock = kernel.FakeClock()
    state = coord.SoftState(clock)
    state.report(make_report('a', chat=50))
    clock.advance(_soft_state.SILENCE_LIMIT_MS)
    own = make_report('b', chat=50)
    assert state.report(own).live_daemons == 2
    clock.advance(1)
    totals = state.report(own)
    assert totals.live_daemons == 1
    assert coord.compute_share(own, totals).of(8) == 8


def test_draining_daemon_keeps_slots_only_for_its_running_requests():
    # Guards against granting slots that running requests still use.
    state = coord.SoftState(kernel.FakeClock())
    state.report(make_report('a', _soft_state.DRAINING, chat=4))
    own = make_report('b', chat=3)
    totals = state.report(own)
    assert totals.live_daemons == 1
    assert coord.compute_share(own, totals).of(8) == 4


def test_totals_with_the_most_live_daemons_are_used():
    # Guards against a restarted replica, which has few reports and would
    # grant each daemon too much.
    few_daemons = coord.DemandTotals(1, 0, ())
    many_daemons = coord.DemandTotals(7, 3, ())
    assert coord.choose_totals([few_daemons, many_daemons]) is many_daemons
    assert coord.choose_totals([]) is None


def test_daemons_that_poll_in_one_period_get_consistent_totals():
    # Guards against granting capacity twice when demand changes between the
    # polls of two daemons.
    clock = kernel.FakeClock()
    state = coord.SoftState(clock)
    first, second = make_report('a', chat=10), make_report('b', chat=10)
    state.report(first)
    parts = []
    for report in (second, first, make_report('b', chat=90)):
        share = coord.compute_share(report, state.report(report), 'chat')
        parts.append(share.of(8))
    assert parts == [4, 4, 4]
    clock.advance(_soft_state.TOTALS_PERIOD_MS)
    share = coord.compute_share(first, state.report(first), 'chat')
    assert share.of(8) == 0


def test_messages_survive_encoding():
    # Guards against a schema that differs from the classes.
    own = make_report('a', chat=7)
    totals = coord.SoftState(kernel.FakeClock()).report(own)
    for message in (own, totals):
        kind, data = kernel.codec.encode(message)
        assert kernel.codec.decode(kind, data) == message
