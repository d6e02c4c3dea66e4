"""Request rates that backend servers name as their limit in their answers.

A server in need names how many requests a second it takes from all instances
together, for as long as its answers say so. The newest answer counts,
whichever instance received it.

The limit is a sequence of permits, one each 1/limit seconds by the
synchronized clock, that belong to the gateways in turn. A permit that its
gateway does not use soon is lost. So the gateways need not ask anyone before
they send a request, and a limit that has not been used for a while does not
lead to a burst from all gateways at once, as with a share of the rate for
each of them.
"""

import functools
import hashlib
import math

import attrs

from paddle_router.policy import _server_notices

MILLI = 1_000
MS_PER_KILO_S = 1_000_000
# How long a permit can be used. Gateways get a request for each server at
# least that often while a limit binds; a longer time allows longer bursts.
VALIDITY_MS = 1_500
# Permits of one gateway are at least this share of their regular interval
# apart, also while the limit or the number of gateways changes.
MIN_INTERVAL_RATIO = 0.9
# A server that names a lower limit still gets requests at this rate, because
# only answers show that it has lifted the limit.
MIN_MILLI_PER_S = 100
# How long a lifted limit is reported, so that all instances hear of it.
LIFTED_REPORT_MS = 30_000
# A limit that no answer has repeated for this long is forgotten.
LIMIT_RETENTION_MS = 600_000
# A brittle service says so in all answers. If all of its servers fall, they
# answer again after some seconds; this is several times as long.
BRITTLE_RETENTION_MS = 30_000
# A higher limit is none: no server takes as many requests.
MAX_LIMIT_PER_S = 100_000


@attrs.frozen(kw_only=True)
class ServerLimit:
    """A limit that an answer named at ``seen_ms``.

    ``milli_per_s`` is the limit in thousandths of a request per second, 0 if
    the answer named none. ``seen_ms`` is in ms since the Unix epoch by the
    synchronized clock of the instances. ``brittle_milli_per_s`` is how many
    requests the server can turn away in 1,000 s, 0 if the answer did not say
    that it is brittle.
    """

    server: _server_notices.Incarnation
    milli_per_s: int
    seen_ms: int
    brittle_milli_per_s: int = 0

    @property
    def limit_per_s(self):
        """The limit in requests per second, ``None`` without one."""
        return self.milli_per_s / MILLI or None

    @property
    def brittle_per_s(self):
        """The rejections per second that it bears, ``None`` if any number."""
        return self.brittle_milli_per_s / MILLI or None


@functools.lru_cache(maxsize=4_096)
def _offset(server):
    digest = hashlib.blake2b(server.id.encode(), digest_size=8).digest()
    return int.from_bytes(digest)


def _milli(per_s):
    """Return thousandths, at least 1, since 0 stands for none."""
    # A number made from thousandths gives the same thousandths again.
    return max(1, int(per_s * MILLI + 1e-6))


class ServerLimits:
    """The newest limit of each server, and this gateway's permits.

    Times of permits are monotonic; ``wall_offset_ms`` is added to get the
    synchronized time.
    """

    def __init__(self):
        # Also holds limits that were lifted, so that older information does
        # not restore them.
        self._limits = {}
        self._used_ms = {}
        self._index = 0
        self._gateway_count = 1
        self.wall_offset_ms = 0

    def record(self, server, limit_per_s, seen_ms, brittle_per_s=None):
        """Record an answer of ``server``; return whether its limit changed.

        ``limit_per_s`` is ``None`` if the answer named no limit, and
        ``brittle_per_s`` if it did not say that the server is brittle.
        """
        milli_per_s = brittle_milli_per_s = 0
        if limit_per_s is not None and limit_per_s < MAX_LIMIT_PER_S:
            milli_per_s = _milli(limit_per_s)
        if brittle_per_s is not None and brittle_per_s < MAX_LIMIT_PER_S:
            brittle_milli_per_s = _milli(brittle_per_s)
        if (
            not milli_per_s
            and not brittle_milli_per_s
            and server not in self._limits
        ):
            return False
        return self.add(
            ServerLimit(
                server=server,
                milli_per_s=milli_per_s,
                seen_ms=seen_ms,
                brittle_milli_per_s=brittle_milli_per_s,
            )
        )

    def known(self, server):
        """Return the :class:`ServerLimit` of ``server``; it may be none."""
        limit = self._limits.get(server)
        if limit is None:
            return ServerLimit(server=server, milli_per_s=0, seen_ms=0)
        return limit

    def add(self, limit):
        """Add a :class:`ServerLimit`; return whether it changes the limit."""
        known = self._limits.get(limit.server)
        if known is not None and known.seen_ms >= limit.seen_ms:
            return False
        self._limits[limit.server] = limit
        known_milli_per_s = 0 if known is None else known.milli_per_s
        return limit.milli_per_s != known_milli_per_s

    def set_share(self, index, gateway_count):
        """Set which of ``gateway_count`` gateways this one is, from 0."""
        self._index = index
        self._gateway_count = gateway_count

    @property
    def index(self):
        """Which of the gateways this one is, from 0."""
        return self._index

    @property
    def gateway_count(self):
        """The number of gateways that share the limits."""
        return self._gateway_count

    def brittle_milli_per_s(self, servers, now_ms):
        """Return how many requests a server can turn away in 1,000 s.

        ``None`` if the service of ``servers`` is not brittle. All servers of
        a service are brittle at once, so the newest answer of any counts.
        """
        if not self._limits:
            return None
        limits = [
            self._limits[server]
            for server in servers
            if server in self._limits
        ]
        newest = max(limits, key=lambda item: item.seen_ms, default=None)
        if newest is None or not newest.brittle_milli_per_s:
            return None
        age_ms = now_ms + self.wall_offset_ms - newest.seen_ms
        if age_ms > BRITTLE_RETENTION_MS:
            return None
        return newest.brittle_milli_per_s

    def is_open(self, server, now_ms):
        """Return whether a request may be sent to ``server`` now."""
        return (
            not self._limits or self.next_permit_ms(server, now_ms) <= now_ms
        )

    def next_permit_ms(self, server, now_ms):
        """Return when the next request may be sent to ``server``."""
        interval_ms = self.interval_ms(server)
        if interval_ms is None:
            return now_ms
        permit_ms = self._permit_ms(server, interval_ms, now_ms)
        return max(now_ms, math.ceil(permit_ms) - self.wall_offset_ms)

    def interval_ms(self, server):
        """Return the mean time between this gateway's permits.

        ``None`` if the server has no limit.
        """
        limit = self._limits.get(server)
        if limit is None or not limit.milli_per_s:
            return None
        milli_per_s = max(MIN_MILLI_PER_S, limit.milli_per_s)
        return self._gateway_count * MS_PER_KILO_S / milli_per_s

    def use_permit(self, server, now_ms):
        """Record that a request is sent to ``server`` now."""
        interval_ms = self.interval_ms(server)
        if interval_ms is None:
            return
        permit_ms = self._permit_ms(server, interval_ms, now_ms)
        self._used_ms[server] = min(permit_ms, now_ms + self.wall_offset_ms)

    def reports(self, now_ms):
        """Return the limits to report at the synchronized time ``now_ms``."""
        return tuple(
            limit
            for limit in self._limits.values()
            if limit.milli_per_s or now_ms - limit.seen_ms <= LIFTED_REPORT_MS
        )

    def forget_before(self, seen_ms):
        """Drop limits that no answer has named since ``seen_ms``."""
        self._keep(
            server
            for server, limit in self._limits.items()
            if limit.seen_ms >= seen_ms
        )

    def retain(self, listed):
        """Drop the limits of servers that are not ``listed``."""
        self._keep(listed)

    def _keep(self, servers):
        kept = set(servers)
        for limits in (self._limits, self._used_ms):
            for server in set(limits) - kept:
                del limits[server]

    def _permit_ms(self, server, interval_ms, now_ms):
        """Return the synchronized time of the oldest permit to use.

        Permit number n of a server belongs to the gateway n + offset, counted
        in turn; the offset keeps servers from starting with the same gateway.
        """
        oldest_ms = now_ms + self.wall_offset_ms - VALIDITY_MS
        used_ms = self._used_ms.get(server)
        if used_ms is not None:
            oldest_ms = max(
                oldest_ms, used_ms + MIN_INTERVAL_RATIO * interval_ms
            )
        turn = (self._index - _offset(server)) % self._gateway_count
        first_ms = turn * interval_ms / self._gateway_count
        rounds = math.ceil((oldest_ms - first_ms) / interval_ms)
        return first_ms + rounds * interval_ms

    def dump(self):
        """Return plain data for the state dump, one row per server."""
        return {
            f'{server.id}/{server.born_ms}': {
                'limit_per_s': limit.milli_per_s / MILLI,
                'brittle_per_s': limit.brittle_per_s,
                'seen_ms': limit.seen_ms,
            }
            for server, limit in self._limits.items()
        }
