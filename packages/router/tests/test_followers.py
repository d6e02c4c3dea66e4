"""Poll period of the replicas."""

from paddle_router import _config_polling
from paddle_router import _settings


def test_polls_of_many_daemons_have_a_bounded_rate():
    """Guards against replica load that grows with the number of daemons."""
    bounds = _settings.Bounds(freshness_ms=9_000)
    periods = [
        _config_polling.poll_period_ms(bounds, live)
        for live in (None, 1, 8, 25, 100, 390, 5_000)
    ]
    assert periods == [200, 200, 200, 200, 800, 3_000, 3_000]
    assert _config_polling.poll_period_ms(bounds, 390, 1_000) == 1_000


def test_three_polls_fit_into_the_freshness_bound():
    """Guards against refusing requests after a single failed poll."""
    bounds = _settings.Bounds(freshness_ms=3_000)
    assert _config_polling.poll_period_ms(bounds, 390) * 3 <= 3_000
