"""Division of a capacity among daemons."""

import hypothesis
from hypothesis import strategies as st

import paddle_coord as coord
from paddle_coord import _soft_state
from paddle_router import _shares

DEMANDS = st.lists(st.integers(0, 500), min_size=1, max_size=9)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(DEMANDS)
def test_shares_of_all_daemons_adjoin_without_gap_or_overlap(demands):
    # Guards against slots of an engine used by two daemons, or by none.
    reports = [
        coord.DemandReport(
            f'd{index}', 'i', 'live', (coord.ClassDemand('chat', demand),)
        )
        for index, demand in enumerate(demands)
    ]
    totals = _soft_state.compute_totals(reports)
    end = 0.0
    for report in reports:
        low, high = _shares.share_range(report, totals[report.daemon])
        assert abs(low - end) < 1e-9
        assert high > low
        end = high
    assert abs(end - 1.0) < 1e-9
