"""The list of backend servers that a controller distributes.

The platform's list lags: a server that is about to stop announces this in its
responses first. Gateways report these notices, and the servers are marked as
leaving in the list, so that all gateways and the scaling orders consider it.
"""

import functools
import hashlib

import attrs

import paddle_kernel
from paddle_router.controller import _platform
from paddle_router import gateway
from paddle_router import policy

# How long a server that left the list is remembered, so that a restart under
# the same id is recognized.
MISSING_SERVER_RETENTION_MS = 60_000

# Reads of one cold start differ by less, and a server that is cold again by
# more: the lag of the list and of its reads varies by some hundred ms.
COLD_TOLERANCE_MS = 500

# Above the number of servers and of their states in a few reads.
ENCODING_CACHE_SIZE = 4_096


def split_encodable(servers):
    """Return the servers that messages can contain, and the other entries.

    One other would cost each gateway the whole message with the list.
    """
    encodable, rejected = [], []
    for item in servers:
        reason = _encoding_error(item)
        if reason is None:
            encodable.append(item)
        else:
            rejected.append(_platform.RejectedEntry(repr(item.id), reason))
    return tuple(encodable), tuple(rejected)


@functools.lru_cache(maxsize=ENCODING_CACHE_SIZE)
def _encoding_error(server):
    load = gateway.ServerFlights(id=server.id, running=0)
    try:
        paddle_kernel.codec.encode(server)
        # Loads are packed with the ids in one text.
        gateway.unpack_loads(gateway.pack_loads((load,)))
    except ValueError as exc:
        return str(exc)
    return None


class ServerList:
    """The listed servers, combined with the notices that gateways report."""

    def __init__(self, clock, wall):
        self._clock = clock
        self._wall = wall
        self._notices = policy.ServerNotices()
        # Servers by id as the platform or the lease holder listed them.
        self._listed = {}
        # Entries of the last list that this process read from the platform,
        # and the times at which servers were first missing from it.
        self._last_read = {}
        self._missing_since_ms = {}
        self.servers = None
        self.listing = ''
        self.listed_ms = None

    def update(self, servers, age_ms=0, *, is_platform_read=False):
        """Store a list read ``age_ms`` ago; return whether it differs.

        ``is_platform_read`` is set for a list that this process read from the
        platform. Any other list comes from another controller, which may have
        received more or fewer notices.
        """
        self.confirm(age_ms)
        servers = sorted(servers, key=lambda item: item.id)
        if is_platform_read:
            servers = self._with_start_times(servers)
        self._listed = {
            item.id: self._with_fixed_leave_time(item, age_ms)
            for item in servers
        }
        self._notices.retain(
            (item.incarnation for item in self._listed.values()),
            self._clock.now_ms(),
        )
        return self._apply_notices()

    def confirm(self, age_ms):
        """Record that the stored list was the platform's ``age_ms`` ago."""
        listed_ms = self._clock.now_ms() - age_ms
        if self.listed_ms is None or listed_ms > self.listed_ms:
            self.listed_ms = listed_ms

    def mark_leaving(self, incarnations, reported_by):
        """Mark servers that have announced that they leave.

        Returns whether this changes the list.
        """
        now_ms = self._clock.now_ms()
        changes = [
            self._notices.mark_leaving(item, now_ms, reported_by)
            for item in incarnations
        ]
        return (
            any(changes) and self.servers is not None and self._apply_notices()
        )

    def leaving_by_notice(self):
        """Return servers that announced to leave but are listed as ready."""
        return tuple(
            item.incarnation
            for item in self._listed.values()
            if not item.leaving and self._notices.is_leaving(item.incarnation)
        )

    def dump(self):
        """Return plain data for the state dump."""
        return self._notices.dump(self._clock.now_ms())

    def _apply_notices(self):
        servers = tuple(
            attrs.evolve(item, leaving=True)
            if self._notices.is_leaving(item.incarnation)
            else item
            for item in self._listed.values()
        )
        if servers == self.servers:
            return False
        self.servers = servers
        self.listing = hashlib.blake2b(
            repr(servers).encode(), digest_size=8
        ).hexdigest()
        return True

    def _with_fixed_leave_time(self, server, age_ms):
        """Return ``server`` with fields that do not change with every read.

        The remaining times would make every read a new list, which would be
        sent to every gateway.
        """
        previous = self._listed.get(server.id)
        read_ms = self._wall.now_ms() - age_ms
        leaves_at_ms = server.leaves_at_ms
        if previous is not None and previous.leaves_at_ms:
            leaves_at_ms = previous.leaves_at_ms
        elif server.leaves_ms >= 0:
            leaves_at_ms = read_ms + server.leaves_ms
        cold_until_ms = server.cold_until_ms
        if server.cold_ms > 0:
            cold_until_ms = read_ms + server.cold_ms
        if (
            previous is not None
            and previous.born_ms == server.born_ms
            and cold_until_ms <= previous.cold_until_ms + COLD_TOLERANCE_MS
        ):
            cold_until_ms = previous.cold_until_ms
        return attrs.evolve(
            server,
            cold_ms=0,
            cold_until_ms=cold_until_ms,
            leaves_ms=-1,
            leaves_at_ms=leaves_at_ms,
        )

    def _with_start_times(self, servers):
        """Return ``servers`` with start times that the platform omits.

        A server that is listed again after it was missing, or that is ready
        again after it was leaving, has restarted under its id. Only
        consecutive lists that this process read itself show that.
        """
        now_ms = self._clock.now_ms()
        updated = []
        for item in servers:
            born_ms = item.born_ms
            last_read = self._last_read.get(item.id)
            if not born_ms and item.id in self._listed:
                born_ms = self._listed[item.id].born_ms
            if not item.born_ms and (
                item.id in self._missing_since_ms
                or (
                    last_read is not None
                    and last_read.leaving
                    and not item.leaving
                )
            ):
                born_ms = self._wall.now_ms()
            updated.append(attrs.evolve(item, born_ms=born_ms))
        listed = {item.id: item for item in servers}
        for server_id in set(self._last_read) - set(listed):
            self._missing_since_ms.setdefault(server_id, now_ms)
        for server_id, missing_since_ms in list(
            self._missing_since_ms.items()
        ):
            if (
                server_id in listed
                or now_ms - missing_since_ms > MISSING_SERVER_RETENTION_MS
            ):
                del self._missing_since_ms[server_id]
        self._last_read = listed
        return updated
