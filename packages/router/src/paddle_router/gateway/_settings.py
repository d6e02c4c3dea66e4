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

    With ``load_control``, requests wait and are turned away by load, and the
    load of servers that have started or recovered grows with their answers.
    Without it, this applies to the services whose servers tell the pace of
    their machines. ``memory_mb`` is the memory limit of the process, 0 if it
    is not to bound its buffers by it. With ``bounds_engine_tokens`` too, model
    engines get no more prompt tokens than they have memory for; engines that
    preempt requests instead of ending don't need it. ``cpu_share`` is the part
    of a core and ``link_mbps`` the bandwidth that the process has, 0 if
    unknown. All gateways together send a cold server at most its rate times
    ``cold_overage`` plus ``cold_slack`` requests in any second.
    ``peer_listen`` is the address for requests of other gateways, empty if
    the gateway neither accepts nor sends any.
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
    load_control: bool = False
    memory_mb: int = 0
    bounds_engine_tokens: bool = False
    cpu_share: float = 0.0
    link_mbps: float = 0.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    peer_listen: str = ''
