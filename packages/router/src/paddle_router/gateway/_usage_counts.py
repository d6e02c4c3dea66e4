"""Requests begun, by usage window and customer."""

import collections

from paddle_router.gateway import _messages

# Windows that are reported again, so that a new controller learns them.
WINDOWS_KEPT = 5


class UsageCounts:
    """Cumulative counts of one gateway.

    ``wall`` gives the time that decides the window of a request.
    """

    def __init__(self, wall, window_ms):
        self._wall = wall
        self._window_ms = window_ms
        self._counts = collections.defaultdict(collections.Counter)

    def note(self, customer):
        """Count a request of ``customer`` that began to run now."""
        if customer is not None:
            window = self._wall.now_ms() // self._window_ms
            self._counts[window][customer] += 1

    def recent(self):
        """Return the :class:`UsageCount` of the last windows."""
        oldest = self._wall.now_ms() // self._window_ms - WINDOWS_KEPT
        for window in [item for item in self._counts if item < oldest]:
            del self._counts[window]
        return tuple(
            _messages.UsageCount(
                window=window, customer=customer, requests=count
            )
            for window, counts in sorted(self._counts.items())
            for customer, count in sorted(counts.items())
        )
