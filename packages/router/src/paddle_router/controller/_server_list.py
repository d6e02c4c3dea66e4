"""The list of backend servers as a controller passes it on.

The platform's list lags, and a server that is about to stop says so in its
answers first. What gateways heard is marked in the list, so that every
gateway and the orders of servers heed it.
"""

import hashlib

import attrs

from paddle_router import policy

# A server that was heard to leave is remembered this long after no list has
# named it any more.
KEPT_MS = 60_000


class ServerList:
    """The servers listed, with what gateways heard of them."""

    def __init__(self, clock, wall):
        self._clock = clock
        self._wall = wall
        self._notices = policy.ServerNotices()
        # As the platform or the controller in charge listed them.
        self._listed = {}
        # The last entry of each server that this process read itself, and
        # since when it is not listed any more.
        self._read = {}
        self._gone = {}
        self.servers = None
        self.listing = ''
        self.listed_ms = None

    def use(self, servers, age_ms=0, *, is_own_read=False):
        """Use a list read ``age_ms`` ago; return whether it differs.

        ``is_own_read`` is set for a list that this process got from the
        platform. Others passed it on, who may know more or less.
        """
        self.confirm(age_ms)
        servers = sorted(servers, key=lambda item: item.id)
        if is_own_read:
            servers = self._with_births(servers)
        self._listed = {
            item.id: self._lasting(item, age_ms) for item in servers
        }
        self._notices.retain(
            (item.incarnation for item in self._listed.values()),
            self._clock.now_ms(),
        )
        return self._mark()

    def confirm(self, age_ms):
        """Note that the list held was the platform's ``age_ms`` ago."""
        listed_ms = self._clock.now_ms() - age_ms
        if self.listed_ms is None or listed_ms > self.listed_ms:
            self.listed_ms = listed_ms

    def mark_leaving(self, incarnations, heard_by):
        """Mark servers that have said that they leave.

        Returns whether the list differs by that.
        """
        now_ms = self._clock.now_ms()
        news = [
            self._notices.mark_leaving(item, now_ms, heard_by)
            for item in incarnations
        ]
        return any(news) and self.servers is not None and self._mark()

    def leaving(self):
        """Return the servers that were heard to leave and not listed so."""
        return tuple(
            item.incarnation
            for item in self._listed.values()
            if not item.leaving and self._notices.is_leaving(item.incarnation)
        )

    def dump(self):
        """Return plain data for the state dump."""
        return self._notices.dump(self._clock.now_ms())

    def _mark(self):
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

    def _lasting(self, server, age_ms):
        """Return ``server`` without what changes with every read.

        It would make each list a new one for every gateway.
        """
        known = self._listed.get(server.id)
        leaves_at_ms = server.leaves_at_ms
        if known is not None and known.leaves_at_ms:
            leaves_at_ms = known.leaves_at_ms
        elif server.leaves_ms >= 0:
            leaves_at_ms = self._wall.now_ms() - age_ms + server.leaves_ms
        return attrs.evolve(
            server,
            cold_ms=0,
            leaves_ms=-1,
            leaves_at_ms=leaves_at_ms,
        )

    def _with_births(self, servers):
        """Return ``servers`` with starts that the platform does not tell.

        One that is listed again after it was gone, or that takes work again
        after it was leaving, has started again under its id. Only lists that
        this process read one after the other show that.
        """
        now_ms = self._clock.now_ms()
        found = []
        for item in servers:
            born_ms = item.born_ms
            read = self._read.get(item.id)
            if not born_ms and item.id in self._listed:
                born_ms = self._listed[item.id].born_ms
            if not item.born_ms and (
                item.id in self._gone
                or (read is not None and read.leaving and not item.leaving)
            ):
                born_ms = self._wall.now_ms()
            found.append(attrs.evolve(item, born_ms=born_ms))
        listed = {item.id: item for item in servers}
        for server_id in set(self._read) - set(listed):
            self._gone.setdefault(server_id, now_ms)
        for server_id, gone_ms in list(self._gone.items()):
            if server_id in listed or now_ms - gone_ms > KEPT_MS:
                del self._gone[server_id]
        self._read = listed
        return found
