"""What backend servers say of themselves in their answers.

A server that leaves says so in each answer, seconds before a list of servers
shows it. A server that turns a request away may name the time for which it
wants no other one from this process. Both belong to one incarnation of a
server: another one at the same address, or under the same id, starts fresh.

Load pattern it answers: a server that is full or about to stop answers at
once. It looks idle, so that a balancer which only counts requests sends it
more of them than the servers that work.
"""

import math

import attrs

# A server that leaves still takes work for this long if nobody says how long;
# the shortest bound on the users' sheets.
DRAIN_MS = 3_000
# Time on the way to the server and until its clock and ours agree that it has
# said so.
DRAIN_MARGIN_MS = 500
# Longest time for which one answer keeps requests away from a server. Beyond
# it the value is more likely wrong than meant, and one request asks again.
MOST_QUIET_MS = 60_000
# Notices about servers that no list has named for this long are forgotten; an
# older list cannot turn up any more.
KEPT_MS = 600_000
# Bounds the memory if servers are replaced quickly.
MOST_KEPT = 10_000


@attrs.frozen
class Incarnation:
    """One life of a backend server.

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
    known_ms: int = 0


class ServerNotices:
    """Notices of the servers that one process sends to, by incarnation.

    ``drain_ms`` is how long a server takes work after it has said that it
    leaves.
    """

    def __init__(self, *, drain_ms=DRAIN_MS):
        self._drain_ms = drain_ms
        self._notices = {}

    def mark_leaving(self, server, now_ms, heard_by='own answer'):
        """Note that ``server`` leaves; return whether that is new."""
        notice = self._notice(server, now_ms)
        if notice.leaving_since_ms is not None:
            return False
        notice.leaving_since_ms = now_ms
        notice.heard_by = heard_by
        return True

    def mark_quiet(self, server, quiet_ms, now_ms):
        """Note that ``server`` wants no request for ``quiet_ms``.

        A later answer can prolong the time, but not shorten it: each answer
        is a wish of its own. Returns the time that is kept, which
        ``MOST_QUIET_MS`` bounds.
        """
        kept_ms = math.ceil(min(max(0, quiet_ms), MOST_QUIET_MS))
        notice = self._notice(server, now_ms)
        until_ms = now_ms + kept_ms
        if notice.quiet_until_ms is not None:
            until_ms = max(notice.quiet_until_ms, until_ms)
        notice.quiet_until_ms = until_ms
        notice.quiet_answers += 1
        return kept_ms

    def is_leaving(self, server):
        """Whether ``server`` has said that it leaves."""
        return self.leaving_since_ms(server) is not None

    def leaving_since_ms(self, server):
        """Return when ``server`` was first heard to leave, or ``None``."""
        notice = self._notices.get(server)
        return None if notice is None else notice.leaving_since_ms

    def takes_work_until_ms(self, server):
        """Return until when a server that leaves still takes work.

        ``None`` if it does not leave.
        """
        since_ms = self.leaving_since_ms(server)
        return None if since_ms is None else self.takes_work_after_ms(since_ms)

    def takes_work_after_ms(self, since_ms):
        """Return until when one that leaves since ``since_ms`` takes work."""
        return since_ms + max(0, self._drain_ms - DRAIN_MARGIN_MS)

    def quiet_until_ms(self, server):
        """Return the end of the last quiet time of ``server``, or ``None``."""
        notice = self._notices.get(server)
        return None if notice is None else notice.quiet_until_ms

    def is_quiet(self, server, now_ms):
        """Whether ``server`` wants no request now."""
        until_ms = self.quiet_until_ms(server)
        return until_ms is not None and now_ms < until_ms

    def leaving_servers(self):
        """Return the incarnations that this process heard to leave itself."""
        return tuple(
            server
            for server, notice in self._notices.items()
            if notice.leaving_since_ms is not None
        )

    def retain(self, listed, now_ms):
        """Keep the notices of ``listed`` servers, others for a while."""
        for server in listed:
            notice = self._notices.get(server)
            if notice is not None:
                notice.known_ms = now_ms
        oldest = sorted(
            self._notices, key=lambda server: self._notices[server].known_ms
        )
        surplus = len(oldest) - MOST_KEPT
        for index, server in enumerate(oldest):
            age_ms = now_ms - self._notices[server].known_ms
            if index >= surplus and age_ms <= KEPT_MS:
                break
            del self._notices[server]

    def dump(self, now_ms):
        """Return plain data for the state dump, a row a server."""
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
        notice.known_ms = now_ms
        return notice


@attrs.define
class SlowStart:
    """How many requests a server may have unanswered after a quiet time.

    One at first, and one more for each answer that says that it takes them
    again. Load pattern it answers: all requests that waited for a server
    arrive in the ms in which its quiet time ends, so that it turns most of
    them away again.
    """

    most: int
    window: int = 1
    unanswered: int = 0

    @property
    def is_over(self):
        """Whether the server takes requests like any other."""
        return self.window >= self.most

    @property
    def is_open(self):
        """Whether another request may be sent now."""
        return self.is_over or self.unanswered < self.window

    def record_sent(self):
        """Count a request on its way."""
        self.unanswered += 1

    def record_started(self):
        """Note that the server began to run a request."""
        self.unanswered = max(0, self.unanswered - 1)
        self.window += 1

    def record_lost(self):
        """Note a request that ended without having begun."""
        self.unanswered = max(0, self.unanswered - 1)
