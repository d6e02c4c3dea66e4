"""Tests of the gateway's policies with recorded load patterns."""

import random

import attrs
from hypothesis import given
from hypothesis import strategies as st
import pytest

from paddle_router import policy

RATE = 60.0
NOW = 10_000


def engines(count, slots=64, leaving=()):
    return [
        policy.Engine(
            id=f's{index}',
            failure_domain=f'd{index % 3}',
            slots=slots,
            leaving=index in leaving,
        )
        for index in range(count)
    ]


def balancer(count=4, seed=1, **options):
    built = policy.SharedLoadBalancer(rng=random.Random(seed))
    built.sync(engines(count, **options), NOW)
    # The balancer has seen both long and short prompts.
    for work in (long_prompt(), SHORT):
        built.finish(built.choose(work, NOW - 60_000), NOW - 60_000, True)
    return built


def long_prompt(session='7', own='x'):
    return policy.EngineWork(
        prompt_tokens=12_000,
        parts=(('0', 512), (session, 4_900), (own, 6_588)),
        target_ms=2_500,
        gap_ms=1_200,
    )


SHORT = policy.EngineWork(prompt_tokens=800, target_ms=400, gap_ms=300)


def test_short_prompts_avoid_servers_that_read_long_ones():
    # Guards against placement by request count alone: in a burst of long
    # prompts, chats exceed their target for the gap between events.
    built = balancer()
    busy = {
        built.choose(long_prompt(own=str(i)), NOW + i).server_id
        for i in range(3)
    }
    chosen = {built.choose(SHORT, NOW + 10).server_id for _ in range(5)}
    assert busy and not (busy & chosen)


def test_requests_of_a_session_go_to_the_server_with_its_prefix_cache():
    # Guards against shared prompt parts that every server processes again.
    first = balancer(seed=1)
    second = balancer(seed=2)
    chosen = set()
    for index in range(12):
        built = first if index % 2 else second
        now_ms = NOW + 1_000 * index
        flight = built.choose(long_prompt(own=str(index)), now_ms)
        built.observe(flight, now_ms + 200, 1)
        built.finish(flight, now_ms + 600, True)
        chosen.add(flight.server_id)
    assert len(chosen) == 1


def test_gateways_with_equal_stale_totals_choose_different_servers():
    # Guards against herding when all gateways use the same load report.
    full = balancer(12).choose(SHORT, NOW).server_id
    loads = {full: policy.SharedLoad(running=40)}
    chosen = set()
    for seed in range(12):
        built = balancer(12, seed=seed)
        built.set_other_loads(loads, NOW)
        chosen.add(built.choose(SHORT, NOW).server_id)
    assert full not in chosen and len(chosen) > 1


def test_a_burst_of_long_prompts_leaves_some_servers_to_short_ones():
    # If long prompts are spread over all servers, three that are processed at
    # the same time pause every chat for 300 ms.
    built = balancer(8)
    long_ids = {
        built.choose(long_prompt(str(i), f'x{i}'), NOW + 5 * i).server_id
        for i in range(10)
    }
    short_ids = {built.choose(SHORT, NOW + 60).server_id for _ in range(6)}
    assert not (long_ids & short_ids)
    assert len(short_ids) >= 2


def test_a_server_with_partial_failures_gets_few_requests():
    # A partly failing server responds quickly and looks idle.
    built = balancer(slots=6)
    work = policy.EngineWork(target_ms=150)
    for index in range(60):
        flight = built.choose(work, NOW + 20 * index)
        fails = flight.server_id == 's1' and index % 2
        built.finish(flight, NOW + 20 * index + 15, not fails)
    late = [built.choose(work, NOW + 1_300 + i).server_id for i in range(12)]
    assert late.count('s1') <= 1


def test_a_server_whose_address_was_reassigned_is_excluded():
    # The list still contains the server for some seconds, and its address
    # rejects requests immediately. It looked idle and healthy, so 523 requests
    # of a day were rejected.
    built = balancer(3)
    work = policy.EngineWork(target_ms=150)
    gone = built.choose(work, NOW)
    built.mark_replaced(gone, NOW)
    built.finish(gone, NOW + 2, False)
    for index in range(30):
        flight = built.choose(work, NOW + 10 * index)
        assert flight.server_id != gone.server_id
        built.finish(flight, NOW + 10 * index + 5, True)
    assert built.choose(work, NOW + 6_000) is not None


def test_no_server_is_chosen_while_all_are_gone():
    built = balancer(1)
    built.mark_replaced(built.choose(SHORT, NOW), NOW)
    assert built.choose(SHORT, NOW + 10) is None


def test_an_unreachable_server_is_tried_again_later():
    built = balancer(2)
    flight = built.choose(SHORT, NOW)
    built.back_off(flight, NOW)
    for index in range(5):
        assert built.choose(SHORT, NOW + index).server_id != flight.server_id
    later = {built.choose(SHORT, NOW + 5_000 + i).server_id for i in range(40)}
    assert flight.server_id in later


def test_leaving_servers_get_no_requests():
    built = balancer(2, leaving=(0,))
    assert {built.choose(SHORT, NOW).server_id for _ in range(9)} == {'s1'}
    assert not built.can_place({'s1'}, NOW)


@pytest.mark.parametrize('evacuated', [1, 2])
def test_servers_of_an_evacuated_domain_get_nothing(evacuated):
    # Guards against requests, continued runs and waits for such servers, also
    # if no others are left.
    built = policy.SharedLoadBalancer(rng=random.Random(1))
    built.sync(
        [
            attrs.evolve(item, evacuated=index < evacuated)
            for index, item in enumerate(engines(2))
        ],
        NOW,
    )
    chosen = {
        flight and flight.server_id
        for flight in (built.choose(SHORT, NOW) for _ in range(10))
    }
    assert chosen == ({'s1'} if evacuated == 1 else {None})
    assert built.place('s0', SHORT, NOW) is None
    assert not built.can_place({'s1'}, NOW)
    assert built.next_availability({'s1'}, NOW) is None
    view = next(item for item in built.views(NOW) if item.server.id == 's0')
    assert (view.free, view.reason) == (0, 'evacuated')


def test_the_load_of_an_evacuated_server_is_kept_for_its_return():
    # Guards against a server that looks idle when its domain is used again.
    built = policy.SharedLoadBalancer(rng=random.Random(1))
    built.sync(engines(1), NOW)
    built.choose(SHORT, NOW)
    built.sync([attrs.evolve(engines(1)[0], evacuated=True)], NOW)
    assert built.own_loads(NOW)['s0'].running == 1
    built.sync(engines(1), NOW)
    assert built.views(NOW)[0].own == 1


def test_an_explanation_names_the_choice_and_does_not_change_it():
    # Guards against an explanation that draws a random number, or is counted
    # as a request that was placed.
    asked, other = balancer(), balancer()
    for number in range(20):
        work = long_prompt(own=str(number)) if number % 2 else SHORT
        found = asked.explain(work, NOW + number)
        chosen = asked.choose(work, NOW + number)
        assert chosen.server_id in found.candidates
        assert other.choose(work, NOW + number).server_id == chosen.server_id
        assert min(found.costs, key=found.costs.get) in found.candidates
    assert asked.own_loads(NOW) == other.own_loads(NOW)


def test_an_explanation_without_usable_servers_has_no_candidates():
    found = balancer(leaving=range(4)).explain(SHORT, NOW + 10_000)
    assert not found.candidates and not found.costs
    assert {view.is_excluded for view in found.views} == {True}


def test_the_prefill_rate_is_estimated_from_long_prompts():
    built = balancer(1)
    for index in range(80):
        now_ms = NOW + 5_000 * index
        work = policy.EngineWork(prompt_tokens=10_000, target_ms=2_000)
        flight = built.choose(work, now_ms)
        built.observe(flight, now_ms + 100, 1)
        built.finish(flight, now_ms + 300, True)
    assert built.server_rate() == pytest.approx(100_000, rel=0.1)


# Fleet size

PRICES = {'d0': 0.85, 'd1': 1.2, 'd2': 1.0, 'd3': 1.1}
BOUNDS = policy.FleetBounds(
    minimum=1, maximum=6, prices=PRICES, cheap_price_ratio=0.22
)


def demand(read_rate):
    return policy.Demand(read_rate=read_rate, running=10, slots=64)


def count(wanted, cheap):
    return sum(n for kind, n in wanted.items() if kind[1] is cheap)


def test_reclaimable_servers_are_spread_over_all_failure_domains():
    wanted = policy.FleetSize().wanted(demand(60_000), BOUNDS, {}, NOW)
    assert count(wanted, cheap=False) == 0
    assert {kind[0] for kind, n in wanted.items() if n} == set(PRICES)
    largest = max(wanted.values())
    needed = policy.servers_needed(demand(60_000), cheap=True)
    assert count(wanted, cheap=True) - largest >= 0.75 * needed


def test_firm_servers_replace_unavailable_reclaimable_ones():
    # All servers of a domain are reclaimed and no reclaimable one is offered.
    size = policy.FleetSize()
    for domain in PRICES:
        size.mark_unavailable((domain, True), NOW)
    existing = {('d0', True): 1}
    wanted = size.wanted(demand(90_000), BOUNDS, existing, NOW + 100)
    assert count(wanted, cheap=True) == 1
    total = count(wanted, cheap=True) + count(wanted, cheap=False)
    assert total >= policy.servers_needed(demand(90_000))


def test_servers_are_kept_for_a_while_after_a_burst():
    size = policy.FleetSize()
    high = size.wanted(demand(120_000), BOUNDS, {}, NOW)
    soon = size.wanted(demand(10_000), BOUNDS, {}, NOW + 8_000)
    late = size.wanted(demand(10_000), BOUNDS, {}, NOW + 90_000)
    assert sum(soon.values()) == sum(high.values()) > sum(late.values())


def test_existing_servers_are_kept_until_demand_is_measured():
    # Guards against a start of traffic with only one server in each domain.
    size = policy.FleetSize()
    existing = {('d0', False): 3, ('d1', False): 2, ('d2', False): 2}
    idle = policy.Demand(slots=64)
    assert sum(size.wanted(idle, BOUNDS, existing, NOW).values()) >= 7
    assert size.min_servers >= 7


def test_a_new_lease_holder_removes_no_servers_before_it_knows_the_load():
    # Guards against a change of the lease holder that halves the number of
    # servers during a burst.
    size = policy.FleetSize()
    existing = {(domain, True): 3 for domain in PRICES}
    wanted = size.wanted(demand(1_000), BOUNDS, existing, NOW)
    assert sum(wanted.values()) >= 12


def test_server_counts_stay_within_the_bounds_of_each_domain():
    tight = policy.FleetBounds(
        minimum=2, maximum=3, prices=PRICES, cheap_price_ratio=0.22
    )
    for rate in (0, 50_000, 5_000_000):
        wanted = policy.FleetSize().wanted(demand(rate), tight, {}, NOW)
        for domain in PRICES:
            total = wanted[domain, True] + wanted[domain, False]
            assert 2 <= total <= 3


def test_the_last_domain_gets_the_servers_that_the_demand_needs():
    # Guards against orders that keep servers back for the loss of the only
    # domain, while the others are evacuated.
    alone = policy.FleetBounds(
        minimum=1, maximum=20, prices={'d0': 1.0}, cheap_price_ratio=None
    )
    wanted = policy.FleetSize().wanted(demand(120_000), alone, {}, NOW)
    assert wanted['d0', False] == policy.servers_needed(demand(120_000))


# Retry budget


WINDOW_MS = 10_000


def window_budget(*, slack=7.0, ratio=0.2, start_ratio=1.0):
    return policy.WindowBudget(
        ratio=ratio,
        slack=slack,
        window_ms=WINDOW_MS,
        start_ratio=start_ratio,
        now_ms=NOW,
    )


def test_retries_of_all_gateways_stay_within_the_shared_budget():
    # Every gateway uses its complete share in one window.
    gateways, ratio, slack = 8, 0.2, 56
    spent = requests = 0
    for _ in range(gateways):
        budget = window_budget(slack=slack / gateways, ratio=ratio)
        for now_ms in range(NOW, NOW + 10_000, 100):
            budget.record_request(now_ms)
            requests += 1
            spent += budget.take(now_ms)
    assert 0 < spent <= ratio * requests + slack


@given(
    st.lists(
        st.tuples(st.integers(0, 900), st.booleans(), st.integers(0, 3)),
        max_size=120,
    )
)
def test_no_window_has_more_retries_than_its_requests_allow(steps):
    # The platform counts retries in sliding windows.
    budget = window_budget(slack=3.0)
    now_ms = NOW
    requests, taken = [], []
    for pause_ms, asks, repeats in steps:
        now_ms += pause_ms
        if asks:
            budget.record_request(now_ms)
            requests.append(now_ms)
        taken += [now_ms for _ in range(repeats) if budget.take(now_ms)]
    for end_ms in taken:
        begin_ms = end_ms - WINDOW_MS
        repeats = sum(begin_ms < item <= end_ms for item in taken)
        first = sum(begin_ms < item <= end_ms for item in requests)
        assert repeats <= 0.2 * first + 3.0 + 1e-6


def test_unspent_budget_is_available_for_a_burst_of_moves():
    # All reclaimable servers of a domain stopped at the same time. With a
    # budget limited to its share of the slack, 203 streams of a day were moved
    # and 494 were aborted, some of them by crashes.
    budget = window_budget(slack=2.0)
    for now_ms in range(NOW, NOW + WINDOW_MS, 250):
        budget.record_request(now_ms)
    taken = [budget.take(NOW + WINDOW_MS - 1) for _ in range(30)]
    assert sum(taken) == 10


def test_a_new_process_starts_with_part_of_the_slack():
    # The previous process may have used part of the budget of the window.
    budget = window_budget(slack=8.0, start_ratio=0.5)
    assert sum(budget.take(NOW) for _ in range(20)) == 4
    assert sum(budget.take(NOW + WINDOW_MS) for _ in range(20)) == 8
