"""Request rates that backend servers name as their limit in their answers.

A server in need names how many requests a second it takes from all instances
together, for as long as its answers say so. The newest answer counts,
whichever instance received it.
"""

import attrs

from paddle_router.policy import _server_notices

MILLI = 1_000
# A higher limit is none: no server takes as many requests.
MAX_LIMIT_PER_S = 100_000


@attrs.frozen(kw_only=True)
class ServerLimit:
    """A limit that an answer named at ``seen_ms``.

    ``milli_per_s`` is the limit in thousandths of a request per second, 0 if
    the answer named none. ``seen_ms`` is in ms since the Unix epoch by the
    synchronized clock of the instances.
    """

    server: _server_notices.Incarnation
    milli_per_s: int
    seen_ms: int


class ServerLimits:
    """The newest limit of each server, as far as it is known here."""

    def __init__(self):
        # Also holds limits that were lifted, so that older information does
        # not restore them.
        self._limits = {}

    def record(self, server, limit_per_s, seen_ms):
        """Record an answer of ``server``; return whether its limit changed.

        ``limit_per_s`` is ``None`` if the answer named no limit.
        """
        milli_per_s = 0
        if limit_per_s is not None and limit_per_s < MAX_LIMIT_PER_S:
            # The least limit is not 0, which stands for none.
            milli_per_s = max(1, int(limit_per_s * MILLI))
        if not milli_per_s and server not in self._limits:
            return False
        return self.add(
            ServerLimit(
                server=server, milli_per_s=milli_per_s, seen_ms=seen_ms
            )
        )

    def add(self, limit):
        """Add a :class:`ServerLimit`; return whether it changes the limit."""
        known = self._limits.get(limit.server)
        if known is not None and known.seen_ms >= limit.seen_ms:
            return False
        self._limits[limit.server] = limit
        known_milli_per_s = 0 if known is None else known.milli_per_s
        return limit.milli_per_s != known_milli_per_s

    def retain(self, listed):
        """Drop the limits of servers that are not ``listed``."""
        listed = set(listed)
        self._limits = {
            server: limit
            for server, limit in self._limits.items()
            if server in listed
        }

    def dump(self):
        """Return plain data for the state dump, one row per server."""
        return {
            f'{server.id}/{server.born_ms}': {
                'limit_per_s': limit.milli_per_s / MILLI,
                'seen_ms': limit.seen_ms,
            }
            for server, limit in self._limits.items()
        }
