"""Division of slots among models and tiers."""

from hypothesis import given
from hypothesis import strategies

from paddle_router import _pools


@given(
    strategies.integers(0, 64),
    strategies.lists(strategies.integers(0, 1_000), min_size=1, max_size=8),
)
def test_models_of_one_engine_do_not_overcommit_it(slots, demands):
    """Guards against two pools using the same slot."""
    allocation = _pools.split_slots(slots, demands)
    assert len(allocation) == len(demands)
    assert sum(allocation) == slots
    assert min(allocation) >= (1 if slots >= len(demands) else 0)


def load_after(running, duration_ms=60_000):
    load = _pools.TierLoad()
    load.running.update(running)
    for now_ms in range(0, duration_ms, 100):
        load.update(now_ms)
    return load


def test_slots_are_reserved_for_a_tier_in_use():
    """Guards against a lower tier taking the last slot."""
    load = load_after({1: 1, 3: 3})
    load.running[1] = 0
    assert load.reserved_slots(3, 4) == 2
    assert load.reserved_slots(1, 4) == 0
    load.running[1] = 2
    assert load.reserved_slots(3, 4) == 0


def test_reservation_is_bounded_and_expires():
    """Guards against idle capacity reserved for a tier without requests."""
    load = load_after({1: 100})
    load.running[1] = 0
    assert load.reserved_slots(2, 9) == 4
    for now_ms in range(60_000, 180_000, 100):
        load.update(now_ms)
    assert load.reserved_slots(2, 9) == 0


def test_single_tier_may_use_all_slots():
    """Guards against idle slots while only one tier has requests."""
    assert load_after({3: 4}).reserved_slots(3, 4) == 0
