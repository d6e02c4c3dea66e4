"""Entries that end a given time after they were last seen."""

import collections


class ExpiringMap:
    """Values by key, in the order in which they were last seen.

    Seeing a key and ending what is old cost the same for any number of
    entries.
    """

    def __init__(self):
        self._entries = collections.OrderedDict()

    def __len__(self):
        return len(self._entries)

    def get(self, key):
        """Return the value of ``key``, ``None`` without one."""
        entry = self._entries.get(key)
        return entry[0] if entry is not None else None

    def values(self):
        """Return all values, those seen longest ago first."""
        return [value for value, _seen_ms in self._entries.values()]

    def put(self, key, value, now_ms):
        """Note ``key``; return the value that it had, ``None`` if none."""
        previous = self.get(key)
        self._entries[key] = (value, now_ms)
        self._entries.move_to_end(key)
        return previous

    def expire_before(self, limit_ms):
        """Remove what was last seen before ``limit_ms``; return the values."""
        ended = []
        while self._entries:
            key = next(iter(self._entries))
            value, seen_ms = self._entries[key]
            if seen_ms >= limit_ms:
                break
            del self._entries[key]
            ended.append(value)
        return ended
