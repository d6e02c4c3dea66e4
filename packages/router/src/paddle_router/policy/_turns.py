"""Turns of the gateways, by the synchronized clock.

A rate that all gateways keep together is a sequence of permits, one each
interval of the synchronized clock, which belong to the gateways in turn. No
message is needed before a permit is used.

A position alone is not exclusive: while a gateway joins or leaves, some
gateways know the old positions and some the new ones. So the controllers
state until when a position is exclusive, and give out no new ones before the
old ones have expired.
"""

import functools
import hashlib
import math

# Largest difference between the synchronized clocks of two instances.
CLOCK_ERROR_MS = 100
# A gateway that has not heard of a controller for this long does not know
# which servers have become cold; as long as sums of other gateways are used.
CONTACT_MS = 2_000


@functools.lru_cache(maxsize=4_096)
def _offset(server_id):
    digest = hashlib.blake2b(server_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest)


class GatewayTurns:
    """Position of this gateway among ``count`` gateways, from 0.

    ``wall_offset_ms`` is added to monotonic times to get synchronized ones.
    ``since_ms`` is the synchronized time from which the position counts,
    ``None`` before the first position, and ``until_ms`` the one until which it
    is exclusive.
    """

    def __init__(self):
        self.index = 0
        self.count = 1
        self.wall_offset_ms = 0
        self.since_ms = None
        self.until_ms = 0
        self._contact_ms = None

    def wall_ms(self, now_ms):
        """Return the synchronized time at the monotonic ``now_ms``."""
        return now_ms + self.wall_offset_ms

    def set_position(self, index, count, until_ms, now_ms):
        """Set the position, exclusive until ``until_ms``, 0 if it is not."""
        if not until_ms:
            if self.since_ms is None:
                self.index, self.count = index, count
            return
        if self.since_ms is None or (index, count) != (self.index, self.count):
            # The owner before, or this gateway before a restart, may have used
            # earlier permits.
            self.since_ms = self.wall_ms(now_ms) + 2 * CLOCK_ERROR_MS
            self.index, self.count = index, count
        self.until_ms = until_ms

    def record_contact(self, now_ms):
        """Record a reply of a controller."""
        self._contact_ms = now_ms

    def is_in_touch(self, now_ms):
        """Whether a controller replied recently, or none ever has."""
        return (
            self._contact_ms is None or now_ms - self._contact_ms <= CONTACT_MS
        )

    def is_exclusive(self, now_ms):
        """Whether no other gateway has the same position."""
        return self.wall_ms(now_ms) < self.until_ms - CLOCK_ERROR_MS

    def permit_ms(self, server_id, interval_ms, oldest_ms):
        """Return the first permit of this gateway from ``oldest_ms`` on.

        Times are synchronized. Permit number n of a server belongs to the
        gateway n + offset, counted in turn; the offset keeps servers from
        starting with the same gateway.
        """
        first = math.ceil(oldest_ms / interval_ms)
        wait = (self.index - _offset(server_id) - first) % self.count
        return (first + wait) * interval_ms
