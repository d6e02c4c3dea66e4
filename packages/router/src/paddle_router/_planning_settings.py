"""Settings of the planner, which orders backend servers."""

import attrs

from paddle_kernel import settings


@attrs.frozen(kw_only=True)
class OfferSettings:
    """A type of backend server that may be ordered, with its hourly price."""

    failure_domain: str = settings.field(settings.STRING)
    cheap: bool = settings.field(settings.BOOLEAN)
    price_per_hour: float = settings.field(settings.number(0, 1_000_000))


@attrs.frozen(kw_only=True)
class PlannerSettings:
    """Settings of the planner; without them no server is ordered.

    ``requests_per_server`` is the number of concurrent requests that one
    server can serve within the latency targets. ``retry_offer_ms`` is the
    time after which a type of server that the platform refused is ordered
    again.
    """

    offers: tuple = settings.field(
        settings.ListOf(settings.Nested(OfferSettings))
    )
    requests_per_server: float = settings.field(settings.number(0.1, 10_000))
    planner: str = settings.field(settings.STRING, default='bounded_cheap')
    retry_offer_ms: int = settings.field(
        settings.integer(1_000, 3_600_000, 'ms'), default=60_000
    )
