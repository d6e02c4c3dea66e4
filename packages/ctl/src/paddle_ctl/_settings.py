"""Settings of the operator's command."""

import attrs

from paddle_kernel import settings


@attrs.frozen(kw_only=True)
class CtlSettings:
    """Operator addresses of the daemons and the file with the token."""

    addresses: tuple = settings.field(settings.ListOf(settings.ADDRESS))
    token_file: str = settings.field(settings.STRING)
    timeout_ms: int = settings.field(
        settings.integer(10, 600_000, 'ms'), default=10_000
    )
