"""Settings of one daemon, read from a single JSON file."""

import attrs

from paddle_kernel import settings
from paddle_router import _planning_settings

MAX_BOUND_MS = 3_600_000
# Polls of the configuration within ``freshness_ms``, so that one lost poll
# does not stop admission.
POLLS_PER_FRESHNESS = 3
MAX_SIZE_BYTES = 256 * 1024 * 1024


def _bound_ms(default):
    rule = settings.integer(1, MAX_BOUND_MS, 'ms')
    return settings.field(rule, default=default)


@attrs.frozen(kw_only=True)
class Bounds:
    """Timeouts, periods and size limits.

    ``first_byte_ms`` and ``idle_ms`` limit how long a backend server may send
    nothing before and after its first byte. ``request_ms`` limits the time in
    which a caller sends its request. ``stop_ms`` limits a graceful stop, of
    which ``notice_ms`` pass between the first failure of ``/readyz`` and the
    closing of the listener.
    """

    connect_ms: int = _bound_ms(1_000)
    first_byte_ms: int = _bound_ms(120_000)
    idle_ms: int = _bound_ms(30_000)
    request_ms: int = _bound_ms(10_000)
    notice_ms: int = _bound_ms(1_000)
    stop_ms: int = _bound_ms(30_000)
    freshness_ms: int = _bound_ms(3_000)
    config_poll_ms: int = _bound_ms(200)
    revoke_grace_ms: int = _bound_ms(2_000)
    list_poll_ms: int = _bound_ms(300)
    load_poll_ms: int = _bound_ms(500)
    usage_flush_ms: int = _bound_ms(1_000)
    usage_window_ms: int = _bound_ms(60_000)
    claim_ms: int = _bound_ms(30_000)
    body_bytes: int = settings.field(
        settings.integer(1, MAX_SIZE_BYTES, 'bytes'), default=8 * 1024 * 1024
    )
    header_bytes: int = settings.field(
        settings.integer(256, MAX_SIZE_BYTES, 'bytes'), default=32 * 1024
    )

    def check(self, path, findings):
        """Check the rules that involve several bounds."""
        minimum_ms = POLLS_PER_FRESHNESS * self.config_poll_ms
        if self.freshness_ms < minimum_ms:
            findings.add(
                f'{path}.freshness_ms',
                self.freshness_ms,
                f'at least {minimum_ms} ms, {POLLS_PER_FRESHNESS} times '
                'config_poll_ms',
            )


@attrs.frozen(kw_only=True)
class Log:
    """Format and level of the log on standard error."""

    style: str = settings.field(
        settings.choice('text', 'json'), default='text'
    )
    level: str = settings.field(
        settings.choice('DEBUG', 'INFO', 'WARNING', 'ERROR'), default='INFO'
    )


@attrs.frozen(kw_only=True)
class Settings:
    """Settings of a daemon.

    ``listen`` is the address for callers, ``operator`` for operators and
    ``peer`` for the other daemons. ``data_dir`` is ``None`` on an instance
    without a disk; such a daemon hosts no replica. ``replicas`` lists the peer
    addresses of the replicas. Without replicas the daemon keeps the
    configuration in its own memory and starts with the operations in the file
    ``local_config``. With ``planner`` the lease holder orders backend servers.
    SIGUSR1 writes the state dump to ``dump_file``.
    """

    name: str = settings.field(settings.STRING)
    failure_domain: str = settings.field(settings.STRING)
    listen: str = settings.field(settings.ADDRESS)
    operator: str = settings.field(settings.ADDRESS)
    peer: str = settings.field(settings.ADDRESS)
    platform: str = settings.field(settings.ADDRESS)
    operator_token_file: str = settings.field(settings.STRING)
    data_dir: str | None = settings.field(
        settings.Optional(settings.STRING), default=None
    )
    replicas: tuple = settings.field(
        settings.ListOf(settings.ADDRESS), default=()
    )
    dump_file: str | None = settings.field(
        settings.Optional(settings.STRING), default=None
    )
    local_config: str | None = settings.field(
        settings.Optional(settings.STRING), default=None
    )
    planner: object = settings.field(
        settings.Optional(settings.Nested(_planning_settings.PlannerSettings)),
        default=None,
    )
    log: Log = settings.field(settings.Nested(Log), default=Log())
    bounds: Bounds = settings.field(settings.Nested(Bounds), default=Bounds())
