"""Leaving and quiet notices that backend servers send in their responses.

A server that is leaving says so in each response, seconds before a list of
servers shows it. A server that rejects a request may name a quiet period in
which this process should send it no other request. A notice belongs to one
incarnation of a server: another incarnation at the same address or with the
same id starts without notices.

Without notices, a server that is full or about to stop looks idle, since it
rejects requests immediately. A balancer that only counts requests would send
it more of them than the servers that do work.
"""

import math

import attrs

# How long a leaving server still accepts work if no other time is configured;
# the shortest limit that the users specify.
DRAIN_MS = 3_000
# Subtracted from the drain time for the network latency to the server and the
# delay between its start of the drain and our receipt of the notice.
DRAIN_MARGIN_MS = 500
# Upper limit of the quiet period that one response can set. A longer one is
# more likely an error than intended; after this time one request probes the
# server again.
MAX_QUIET_MS = 60_000
# Notices of servers that have not been listed for this long are dropped, since
# no list as old as that can arrive any more.
RETENTION_MS = 600_000
# Bounds the memory use if servers are replaced quickly.
MAX_NOTICES = 10_000


@attrs.frozen
class Incarnation:
    """One run of a backend server, from its start to its stop.

    ``born_ms`` is its start in ms since the Unix epoch, 0 if unknown.
    """

    id: str
    born_ms: int = 0


@attrs.define(eq=False)
class _Notice:
    leaving_since_ms: int | None = None
    heard_by: str = ''
    quiet_until_ms: int | None = None
    quiet_answers: int = 0
    last_seen_ms: int = 0


class ServerNotices:
    """Notices of the servers that one process uses, by incarnation.

    ``drain_ms`` is how long a server accepts work after its leaving notice.
    """

    def __init__(self, *, drain_ms=DRAIN_MS):
        self._drain_ms = drain_ms
        self._notices = {}

    def mark_leaving(self, server, now_ms, heard_by='own answer'):
        """Record that ``server`` is leaving; return whether that is new.

        ``heard_by`` names the source of the notice.
        """
        notice = self._notice(server, now_ms)
        if notice.leaving_since_ms is not None:
            return False
        notice.leaving_since_ms = now_ms
        notice.heard_by = heard_by
        return True

    def mark_quiet(self, server, quiet_ms, now_ms):
        """Record that ``server`` wants no request for ``quiet_ms``.

        A later response can prolong the quiet period but not shorten it, since
        each response states a request of its own. Return the time of this
        notice, limited to ``MAX_QUIET_MS``.
        """
        bounded_ms = math.ceil(min(max(0, quiet_ms), MAX_QUIET_MS))
        notice = self._notice(server, now_ms)
        until_ms = now_ms + bounded_ms
        if notice.quiet_until_ms is not None:
            until_ms = max(notice.quiet_until_ms, until_ms)
        notice.quiet_until_ms = until_ms
        notice.quiet_answers += 1
        return bounded_ms

    def is_leaving(self, server):
        """Whether a leaving notice of ``server`` is recorded."""
        return self.leaving_since_ms(server) is not None

    def leaving_since_ms(self, server):
        """Return when ``server`` was first marked as leaving, or ``None``."""
        notice = self._notices.get(server)
        return None if notice is None else notice.leaving_since_ms

    def accepts_work_until_ms(self, server):
        """Return until when a leaving server still accepts work.

        ``None`` if it is not leaving.
        """
        since_ms = self.leaving_since_ms(server)
        return None if since_ms is None else self.drain_end_ms(since_ms)

    def drain_end_ms(self, since_ms):
        """Return until when a server leaving since ``since_ms`` is usable."""
        return since_ms + max(0, self._drain_ms - DRAIN_MARGIN_MS)

    def quiet_until_ms(self, server):
        """Return the end of the last quiet period, or ``None``."""
        notice = self._notices.get(server)
        return None if notice is None else notice.quiet_until_ms

    def is_quiet(self, server, now_ms):
        """Whether ``server`` is in a quiet period."""
        until_ms = self.quiet_until_ms(server)
        return until_ms is not None and now_ms < until_ms

    def leaving_servers(self):
        """Return the incarnations that are marked as leaving."""
        return tuple(
            server
            for server, notice in self._notices.items()
            if notice.leaving_since_ms is not None
        )

    def retain(self, listed, now_ms):
        """Drop outdated notices of servers that are not ``listed``.

        Notices of unlisted servers are kept for ``RETENTION_MS``, and at most
        ``MAX_NOTICES`` in all; those seen longest ago are dropped first.
        """
        for server in listed:
            notice = self._notices.get(server)
            if notice is not None:
                notice.last_seen_ms = now_ms
        oldest = sorted(
            self._notices,
            key=lambda server: self._notices[server].last_seen_ms,
        )
        surplus = len(oldest) - MAX_NOTICES
        for index, server in enumerate(oldest):
            age_ms = now_ms - self._notices[server].last_seen_ms
            if index >= surplus and age_ms <= RETENTION_MS:
                break
            del self._notices[server]

    def dump(self, now_ms):
        """Return plain data for the state dump, one row per server."""
        return {
            f'{server.id}/{server.born_ms}': {
                'leaving_since_ms': notice.leaving_since_ms,
                'heard_by': notice.heard_by,
                'quiet_for_ms': max(
                    0, (notice.quiet_until_ms or now_ms) - now_ms
                ),
                'quiet_answers': notice.quiet_answers,
            }
            for server, notice in self._notices.items()
        }

    def _notice(self, server, now_ms):
        notice = self._notices.get(server)
        if notice is None:
            notice = self._notices[server] = _Notice()
        notice.last_seen_ms = now_ms
        return notice


@attrs.define
class SlowStart:
    """Limit of unanswered requests at a server after its quiet period.

    The window starts at one request and grows by one with each request that
    the server starts to run. Otherwise all requests that waited for the server
    would arrive in the ms in which its quiet period ends, and it would reject
    most of them again.
    """

    max_window: int
    window: int = 1
    unanswered: int = 0

    @property
    def is_over(self):
        """Whether the window reached its maximum and no longer limits."""
        return self.window >= self.max_window

    @property
    def is_open(self):
        """Whether another request may be sent now."""
        return self.is_over or self.unanswered < self.window

    def record_sent(self):
        """Record a request that is being sent."""
        self.unanswered += 1

    def record_started(self):
        """Record that the server started to run a request."""
        self.unanswered = max(0, self.unanswered - 1)
        self.window += 1

    def record_lost(self):
        """Record a request that ended before the server started it."""
        self.unanswered = max(0, self.unanswered - 1)
