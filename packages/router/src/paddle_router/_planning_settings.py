"""Settings of spending on backend servers."""

import attrs

from paddle_kernel import settings


@attrs.frozen(kw_only=True)
class OfferSettings:
    """A sort of backend server that may be ordered; price per hour."""

    failure_domain: str = settings.field(settings.STRING)
    cheap: bool = settings.field(settings.BOOLEAN)
    price_per_hour: float = settings.field(settings.number(0, 1_000_000))


@attrs.frozen(kw_only=True)
class PlannerSettings:
    """Settings of spending; without them no server is ordered.

    ``requests_per_server`` is how many concurrent requests one server serves
    within the targets. ``retry_offer_ms`` is how long a sort of server is not
    ordered again after the platform refused it.
    """

    offers: tuple = settings.field(
        settings.ListOf(settings.Nested(OfferSettings))
    )
    requests_per_server: float = settings.field(settings.number(0.1, 10_000))
    planner: str = settings.field(settings.STRING, default='bounded_cheap')
    retry_offer_ms: int = settings.field(
        settings.integer(1_000, 3_600_000, 'ms'), default=60_000
    )
