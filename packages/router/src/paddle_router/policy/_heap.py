"""Heap with one entry per key, whose priority can change."""

import heapq

# Stale entries are dropped when they outnumber the live ones by this many,
# which keeps every operation at O(log n) amortised time and memory at O(n).
STALE_ENTRIES_SLACK = 64


class KeyedHeap:
    """Smallest priority first, equal priorities in order of insertion."""

    def __init__(self):
        self._entries = []
        self._live = {}
        self._count = 0

    def __len__(self):
        return len(self._live)

    def __contains__(self, key):
        return key in self._live

    def set(self, key, priority):
        """Add ``key`` or change its priority."""
        current = self._live.get(key)
        if current is not None and current[0] == priority:
            return
        self._count += 1
        entry = (priority, self._count, key)
        self._live[key] = entry
        heapq.heappush(self._entries, entry)
        if len(self._entries) > 2 * len(self._live) + STALE_ENTRIES_SLACK:
            self._entries = list(self._live.values())
            heapq.heapify(self._entries)

    def discard(self, key):
        """Remove ``key`` if present."""
        self._live.pop(key, None)

    def peek(self):
        """Return ``(priority, key)`` of the first entry, or None if empty."""
        while self._entries:
            entry = self._entries[0]
            if self._live.get(entry[2]) is entry:
                return entry[0], entry[2]
            heapq.heappop(self._entries)
        return None
