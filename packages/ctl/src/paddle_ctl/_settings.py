"""Settings of the command line tool."""

import attrs

from paddle_kernel import settings


@attrs.frozen(kw_only=True)
class CtlSettings:
    """Operator addresses of the daemons and the file with the token.

    ``timeout_ms`` limits each connection attempt and each wait for data.
    """

    addresses: tuple = settings.field(settings.ListOf(settings.ADDRESS))
    token_file: str = settings.field(settings.STRING)
    timeout_ms: int = settings.field(
        settings.integer(10, 600_000, 'ms'), default=10_000
    )
