"""Settings of a gateway; an adapter or a JSON file fills them in."""

import attrs

from paddle_router import policy


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Settings of one gateway.

    ``listen`` serves callers, ``ready`` answers the balancer in front and
    serves metrics and the state dump. ``controllers`` are peer addresses of
    controllers to begin with. ``stop_ms`` is the time from the stop signal
    to the forced end. ``retry_ratio`` and ``retry_slack`` bound the sends
    beyond the first of each request in ``retry_window_ms``, over all gateways
    together;
    ``usage_window_ms`` is the length of a usage window. ``drain_ms`` is how
    long a backend server takes work after it has said that it leaves.
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
