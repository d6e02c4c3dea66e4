"""Queue of requests that wait until a server accepts requests again.

It is needed when all servers of a service are in a quiet period at the same
time while requests of all ranks continue to arrive.
"""

import bisect
import itertools

import attrs


@attrs.frozen(order=True)
class _QueuePosition:
    rank: object
    arrived_ms: int
    number: int


class WaitingQueue:
    """Priority queue of requests by rank, then by arrival; lowest first.

    Ranks may be of any type that has an order. :meth:`join` returns the
    position of a request, by which the other methods identify it. ``payload``
    is opaque to the queue.
    """

    def __init__(self):
        self._positions = []
        self._payloads = {}
        self._numbers = itertools.count()

    def __len__(self):
        return len(self._positions)

    def join(self, rank, arrived_ms, payload=None):
        """Add a request; return its position."""
        position = _QueuePosition(rank, arrived_ms, next(self._numbers))
        bisect.insort(self._positions, position)
        self._payloads[position] = payload
        return position

    def leave(self, position):
        """Remove a request that was sent, refused or abandoned."""
        del self._positions[bisect.bisect_left(self._positions, position)]
        del self._payloads[position]

    def is_first(self, position):
        """Whether ``position`` is the first in the queue."""
        return self._positions[0] == position

    def count_ahead(self, rank, arrived_ms):
        """Return how many requests go before one with these values."""
        key = _QueuePosition(rank, arrived_ms, 0)
        return bisect.bisect_left(self._positions, key)

    def first_position(self):
        """Return the first position; the queue must not be empty."""
        return self._positions[0]

    def first(self):
        """Return the payload of the first request, ``None`` if empty."""
        return self._payloads[self._positions[0]] if self._positions else None

    def payloads(self):
        """Return the payloads in queue order."""
        return [self._payloads[position] for position in self._positions]
