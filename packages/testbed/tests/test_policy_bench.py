"""Tests of the figures of the bench."""

import hypothesis
import hypothesis.strategies as st

from paddle_testbed import bench
from paddle_testbed import policy_bench


@hypothesis.given(
    st.dictionaries(st.integers(), st.integers(0, 100), min_size=1),
    st.integers(0, 300),
)
def test_fair_shares_are_max_min_fair(demand, service):
    # Guards against fair shares that add up to more than the service.
    shares = policy_bench.fair_shares(service, demand)
    assert sum(shares.values()) <= service + 1e-6
    assert all(shares[name] <= demand[name] for name in demand)
    underserved = [
        name for name in demand if shares[name] < demand[name] - 1e-6
    ]
    for name in underserved:
        assert shares[name] >= max(shares.values()) - 1e-6


def test_worst_share_is_zero_for_a_customer_without_good_responses():
    # Guards against averages that hide a customer that is not served.
    requests = []
    for customer in range(4):
        item = policy_bench.Request(customer, 'chat', 0, 100, 50)
        if customer:
            item.first_ms, item.end_ms = 100, 1_000
        requests.append(item)
    assert policy_bench.worst_share(requests) == 0
    assert policy_bench.worst_share(requests[1:]) == 1


def test_targets_are_compared_in_their_direction():
    # Guards against a missed target that is printed as met.
    assert bench.is_met(1.0, '>=', 0.9) and not bench.is_met(0.8, '>=', 0.9)
    assert bench.is_met(1.0, '<=', 1.15) and not bench.is_met(2, '<=', 1.15)
    assert bench.merge_seeds('worst customer', [0.5, 1.0]) == 0.5
    assert bench.merge_seeds('wasted', [0.5, 1.0]) == 1.0
