"""Map whose entries expire a given time after their last update."""

import collections


class ExpiringMap:
    """Values by key, in the order of their last updates.

    Updating an entry and expiring one take constant time, for any number of
    entries.
    """

    def __init__(self):
        self._entries = collections.OrderedDict()

    def __len__(self):
        return len(self._entries)

    def get(self, key):
        """Return the value of ``key``, ``None`` if there is none."""
        entry = self._entries.get(key)
        return entry[0] if entry is not None else None

    def values(self):
        """Return all values, least recently updated first."""
        return [value for value, _updated_ms in self._entries.values()]

    def put(self, key, value, now_ms):
        """Set the value of ``key``; return the previous one or ``None``."""
        previous = self.get(key)
        self._entries[key] = (value, now_ms)
        self._entries.move_to_end(key)
        return previous

    def expire_before(self, limit_ms):
        """Remove entries last updated before ``limit_ms``; return values."""
        expired = []
        while self._entries:
            key = next(iter(self._entries))
            value, updated_ms = self._entries[key]
            if updated_ms >= limit_ms:
                break
            del self._entries[key]
            expired.append(value)
        return expired
