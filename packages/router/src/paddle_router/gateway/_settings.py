"""Settings of a gateway; an adapter or a JSON file fills them in."""

import attrs

from paddle_router import policy


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Settings of one gateway.

    ``listen`` is the address for callers, ``ready`` the address for the
    readiness checks of the load balancer, metrics and the state dump.
    ``controllers`` are the peer addresses of the first controllers to contact.
    ``stop_ms`` is the time from the stop signal to the forced end.
    ``retry_ratio`` and ``retry_slack`` limit the retries of all gateways
    together in any ``retry_window_ms``. ``usage_window_ms`` is the length of a
    usage window. ``drain_ms`` is how long a backend server accepts requests
    after it has announced its shutdown.
    """

    name: str
    failure_domain: str
    listen: str
    ready: str
    controllers: tuple[str, ...]
    stop_ms: int
    retry_ratio: float
    retry_slack: float
    retry_window_ms: int
    usage_window_ms: int
    drain_ms: int = policy.DRAIN_MS
