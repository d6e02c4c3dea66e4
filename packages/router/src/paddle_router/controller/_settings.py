"""Settings of a controller."""

import attrs


@attrs.frozen(kw_only=True)
class ControllerSettings:
    """Settings of one controller.

    ``listen`` is the address for operators, ``peer`` the one for gateways and
    other controllers. ``seeds`` are peer addresses of other controllers; with
    ``first_start`` they form the first replica set. The report of a usage
    window is due ``usage_late_ms`` after the window has ended.
    ``tolerated_losses`` controllers may be lost at the same time.
    """

    name: str
    failure_domain: str
    listen: str
    peer: str
    data_dir: str
    seeds: tuple[str, ...]
    first_start: bool
    lease_ms: int
    usage_window_ms: int
    usage_late_ms: int
    reports_usage: bool
    orders_servers: bool
    tolerated_losses: int = 1
