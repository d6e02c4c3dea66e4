"""Requests that wait until a server of their service may be asked again.

Load pattern it answers: every server of a service wants quiet for a moment
while requests of all ranks go on arriving.
"""

import bisect
import itertools

import attrs


@attrs.frozen(order=True)
class _Place:
    rank: object
    arrived_ms: int
    number: int


class WaitingLine:
    """Waiting requests by rank, then by arrival; the lowest goes first.

    Ranks are of any type that has an order. A place is what :meth:`join`
    returns; ``payload`` belongs to the caller.
    """

    def __init__(self):
        self._places = []
        self._payloads = {}
        self._numbers = itertools.count()

    def __len__(self):
        return len(self._places)

    def join(self, rank, arrived_ms, payload=None):
        """Add a request; return its place."""
        place = _Place(rank, arrived_ms, next(self._numbers))
        bisect.insort(self._places, place)
        self._payloads[place] = payload
        return place

    def leave(self, place):
        """Remove a request that was sent, refused or given up."""
        del self._places[bisect.bisect_left(self._places, place)]
        del self._payloads[place]

    def is_first(self, place):
        """Whether no request goes before ``place``."""
        return self._places[0] == place

    def ahead(self, rank, arrived_ms):
        """Return how many requests go before one that arrives now."""
        key = _Place(rank, arrived_ms, 0)
        return bisect.bisect_left(self._places, key)

    def first_place(self):
        """Return the first place of a line that is not empty."""
        return self._places[0]

    def first(self):
        """Return the payload of the first request, ``None`` if empty."""
        return self._payloads[self._places[0]] if self._places else None

    def payloads(self):
        """Return the payloads in order."""
        return [self._payloads[place] for place in self._places]
