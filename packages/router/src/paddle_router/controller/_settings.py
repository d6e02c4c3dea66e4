"""Settings of a controller."""

import attrs


@attrs.frozen(kw_only=True)
class ControllerSettings:
    """Settings of one controller.

    ``listen`` serves operators and ``peer`` the system's own processes.
    ``seeds`` are peer addresses of other controllers; with ``first_start``
    they found the first replica set. ``usage_late_ms`` is the time after the
    end of a usage window by which its report is due.
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
