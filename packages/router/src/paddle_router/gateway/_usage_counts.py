"""Counts of started requests by usage window and customer."""

import collections

from paddle_router.gateway import _messages

# Windows that are reported repeatedly, so that a new controller gets them.
MAX_KEPT_WINDOWS = 5


class UsageCounts:
    """Cumulative counts of one gateway.

    ``wall`` is the wall clock that determines the window of a request.
    """

    def __init__(self, wall, window_ms):
        self._wall = wall
        self._window_ms = window_ms
        self._counts = collections.defaultdict(collections.Counter)

    def count_request(self, customer):
        """Count a request of ``customer`` that started to run now."""
        if customer is not None:
            window = self._wall.now_ms() // self._window_ms
            self._counts[window][customer] += 1

    def recent(self):
        """Return the :class:`UsageCount` objects of the last windows."""
        oldest = self._wall.now_ms() // self._window_ms - MAX_KEPT_WINDOWS
        for window in [item for item in self._counts if item < oldest]:
            del self._counts[window]
        return tuple(
            _messages.UsageCount(
                window=window, customer=customer, requests=count
            )
            for window, counts in sorted(self._counts.items())
            for customer, count in sorted(counts.items())
        )
