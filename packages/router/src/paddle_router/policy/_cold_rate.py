"""Bound of the requests that all gateways send to a cold server.

A server that has just started tolerates few requests a second. No second may
contain more of them, whatever the gateways know of each other, so the right to
send is a permit (see :mod:`paddle_router.policy._turns`) that is checked right
before the request is written.

A permit can be used for a while after its time, because a gateway does not
always have a request. In any second, permits from the validity before it and
the clock error at both ends may be used, and their number stays within the
bound. An eighth of it is kept for gateways without an exclusive position,
counted twice, since two of them may have been given the same one.

Servers count as cold while the list says so, after they appear in it, and
after a failure: a crashed server is down before it returns cold, and requests
that fail meanwhile show it. A gateway that is out of touch would not hear of
it; for this gateway only servers that have answered it just now are warm.
"""

import math

import attrs

from paddle_router.policy import _server_notices
from paddle_router.policy import _turns

MS_PER_S = 1_000
# Failures that other gateways saw are known this much later: two exchanges
# and the relay between controllers.
FAILURE_LAG_MS = 1_000
# A server that has answered within this time has not restarted since; the
# fastest restart that users specify takes this long.
ANSWER_PROOF_MS = 2_000
# Fraction of the bound for gateways without an exclusive position.
RESERVE_RATIO = 0.125
# A shorter validity leaves most permits unused at a few requests per second
# and gateway.
MIN_VALIDITY_MS = 250
MAX_VALIDITY_MS = 1_000
# A gateway without a right to send looks again after this time, the period of
# its exchange with the controllers.
RETRY_MS = 250


@attrs.frozen
class PermitRate:
    """Permits that keep at most ``limit`` requests in any second.

    ``interval_ms`` is the time between two permits and ``validity_ms`` how
    long each of them can be used; ``interval_ms`` is ``None`` if none can be.
    """

    interval_ms: float | None
    validity_ms: int

    @classmethod
    def within(cls, limit, rate_per_s):
        """Return the permits of ``rate_per_s`` or less for ``limit``."""
        if limit < 1 or rate_per_s <= 0:
            return cls(None, 0)
        fixed_ms = MS_PER_S + 2 * _turns.CLOCK_ERROR_MS
        validity_ms = int(
            min(
                max(limit * MS_PER_S / rate_per_s - fixed_ms, MIN_VALIDITY_MS),
                MAX_VALIDITY_MS,
            )
        )
        # A span that is shorter than limit intervals contains at most limit
        # permits; one ms more keeps it shorter.
        span_ms = fixed_ms + validity_ms + 1
        return cls(max(MS_PER_S / rate_per_s, span_ms / limit), validity_ms)


@attrs.frozen
class Permit:
    """The right to send one request to ``server``.

    ``at_ms`` is its synchronized time and ``until_ms`` the monotonic time by
    which the request has to be written.
    """

    server: _server_notices.Incarnation
    at_ms: float
    until_ms: int


class ColdRate:
    """Which servers of a service may be cold, and the permits for them.

    Servers are :class:`Incarnation` objects and times monotonic. Cold servers
    tolerate the configured rate times ``overage`` plus ``slack`` requests in
    any second.
    """

    def __init__(self, turns, *, overage=1.0, slack=0.0):
        self._turns = turns
        self._overage = overage
        self._slack = slack
        self._cold_start_ms = 0
        self._shared = PermitRate(None, 0)
        self._reserved = PermitRate(None, 0)
        self._listed = None
        # Synchronized times until which servers count as cold.
        self._until_ms = {}
        self._answered_ms = {}
        # Synchronized times of the newest used permits and those before them.
        self._used_ms = {}
        self._previous_ms = {}
        self.is_bounded = False

    def configure(self, rate_per_s, cold_start_ms):
        """Set the rate that cold servers tolerate, 0 for no bound."""
        self.is_bounded = rate_per_s > 0
        self._cold_start_ms = cold_start_ms
        limit = math.floor(rate_per_s * self._overage + self._slack)
        reserve = math.floor(RESERVE_RATIO * limit)
        self._shared = PermitRate.within(limit - 2 * reserve, rate_per_s)
        self._reserved = PermitRate.within(reserve, rate_per_s)

    def set_servers(self, cold_until_ms, now_ms):
        """Set the listed servers, ``{server: cold_until_ms}``.

        Those of the first list are as cold as it says. A server that appears
        later, or that another incarnation replaces, has just started.
        """
        started_ms = self._turns.wall_ms(now_ms) + self._cold_start_ms
        for server, until_ms in cold_until_ms.items():
            is_new = self._listed is not None and server not in self._listed
            self._mark_until(server, max(until_ms, is_new * started_ms))
        self._listed = set(cold_until_ms)
        for values in (
            self._until_ms,
            self._answered_ms,
            self._used_ms,
            self._previous_ms,
        ):
            for server in set(values) - self._listed:
                del values[server]

    def mark_suspected(self, server, now_ms):
        """Record that ``server`` may have become cold without notice.

        It failed here or at another gateway, or its domain is used again after
        an evacuation.
        """
        if not self.is_bounded:
            return
        self._answered_ms.pop(server, None)
        self._mark_until(
            server,
            self._turns.wall_ms(now_ms) + self._cold_start_ms + FAILURE_LAG_MS,
        )

    def record_answer(self, server, now_ms):
        """Record that ``server`` has answered a request."""
        if self.is_bounded:
            self._answered_ms[server] = now_ms

    def is_cold(self, server, now_ms):
        """Whether ``server`` may be cold."""
        if not self.is_bounded:
            return False
        until_ms = self._until_ms.get(server)
        if until_ms is not None:
            error_ms = _turns.CLOCK_ERROR_MS
            if self._turns.wall_ms(now_ms) < until_ms + error_ms:
                return True
            del self._until_ms[server]
        if self._turns.is_in_touch(now_ms):
            return False
        answered_ms = self._answered_ms.get(server)
        return answered_ms is None or now_ms - answered_ms > ANSWER_PROOF_MS

    def is_open(self, server, now_ms):
        """Return whether a request may be sent to ``server`` now."""
        return self.next_permit_ms(server, now_ms) <= now_ms

    def next_permit_ms(self, server, now_ms):
        """Return when a request may be sent to ``server``, or be tried."""
        if not self.is_cold(server, now_ms):
            return now_ms
        permit_ms = self._permit_ms(server, now_ms)
        if permit_ms is None:
            return now_ms + RETRY_MS
        return max(now_ms, math.ceil(permit_ms) - self._turns.wall_offset_ms)

    def interval_ms(self, server, now_ms):
        """Return the mean time between this gateway's permits.

        ``None`` if ``server`` is not cold.
        """
        if not self.is_cold(server, now_ms):
            return None
        interval_ms = self._rate(now_ms).interval_ms
        return None if interval_ms is None else self._turns.count * interval_ms

    def take(self, server, now_ms):
        """Use and return a :class:`Permit`, ``None`` if there is none."""
        permit_ms = self._permit_ms(server, now_ms)
        if permit_ms is None or permit_ms > self._turns.wall_ms(now_ms):
            return None
        self._previous_ms[server] = self._used_ms.get(server)
        self._used_ms[server] = permit_ms
        end_ms = permit_ms + self._rate(now_ms).validity_ms
        return Permit(
            server, permit_ms, int(end_ms) - self._turns.wall_offset_ms
        )

    def give_back(self, permit):
        """Make ``permit`` usable again; its request was not sent."""
        server = permit.server
        if self._used_ms.get(server) != permit.at_ms:
            return
        del self._used_ms[server]
        previous_ms = self._previous_ms.pop(server, None)
        if previous_ms is not None:
            self._used_ms[server] = previous_ms

    def until_ms(self, server):
        """Return the synchronized time until which ``server`` is cold."""
        return self._until_ms.get(server)

    def _mark_until(self, server, until_ms):
        if until_ms > self._until_ms.get(server, 0):
            self._until_ms[server] = until_ms

    def _rate(self, now_ms):
        if self._turns.is_exclusive(now_ms):
            return self._shared
        return self._reserved

    def _permit_ms(self, server, now_ms):
        """Return the synchronized time of the oldest permit, or ``None``."""
        rate = self._rate(now_ms)
        if rate.interval_ms is None or self._turns.since_ms is None:
            return None
        oldest_ms = max(
            self._turns.wall_ms(now_ms) - rate.validity_ms,
            self._turns.since_ms,
        )
        used_ms = self._used_ms.get(server)
        if used_ms is not None:
            oldest_ms = max(oldest_ms, used_ms + 1)
        return self._turns.permit_ms(server.id, rate.interval_ms, oldest_ms)
