"""Division of slots among models and tiers."""

from hypothesis import given
from hypothesis import strategies

from paddle_router import _pools


@given(
    strategies.integers(0, 64),
    strategies.lists(strategies.integers(0, 1_000), min_size=1, max_size=8),
)
def test_models_of_one_engine_never_overcommit_it(slots, demands):
    """Guards against two pools that use the same slot."""
    parts = _pools.split_slots(slots, demands)
    assert len(parts) == len(demands)
    assert sum(parts) == slots
    assert min(parts) >= (1 if slots >= len(demands) else 0)


def load_of(running, duration_ms=60_000):
    load = _pools.TierLoad()
    load.running.update(running)
    for now_ms in range(0, duration_ms, 100):
        load.update(now_ms)
    return load


def test_slots_are_kept_for_a_tier_that_is_in_use():
    """Guards against a lower tier that takes the last slot."""
    load = load_of({1: 1, 3: 3})
    load.running[1] = 0
    assert load.reserved_slots(3, 4) == 2
    assert load.reserved_slots(1, 4) == 0
    load.running[1] = 2
    assert load.reserved_slots(3, 4) == 0


def test_reserve_is_bounded_and_ends_with_its_use():
    """Guards against capacity that stays idle for a tier without requests."""
    load = load_of({1: 100})
    load.running[1] = 0
    assert load.reserved_slots(2, 9) == 4
    for now_ms in range(60_000, 180_000, 100):
        load.update(now_ms)
    assert load.reserved_slots(2, 9) == 0


def test_alone_a_tier_may_use_all_slots():
    """Guards against idle slots while only one tier has requests."""
    assert load_of({3: 4}).reserved_slots(3, 4) == 0
