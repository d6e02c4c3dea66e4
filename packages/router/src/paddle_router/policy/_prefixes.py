"""Estimate of which engine has which prompt prefix in its cache."""

import collections

# Digests kept per engine. The least recently used are dropped first, as in the
# engine's own prefix cache.
DIGESTS_PER_ENGINE = 512


class PrefixTable:
    """Prefix digests recently sent to one engine, bounded in number."""

    def __init__(self, limit=DIGESTS_PER_ENGINE):
        self._limit = limit
        self._digests = collections.OrderedDict()

    def __len__(self):
        return len(self._digests)

    def add(self, prefix):
        """Record the digests of a prompt that was sent."""
        for digest in prefix:
            self._digests[digest] = None
            self._digests.move_to_end(digest)
        while len(self._digests) > self._limit:
            self._digests.popitem(last=False)

    def hit_ratio(self, prefix):
        """Return the fraction of ``prefix`` expected in the cache."""
        count = 0
        for digest in prefix:
            if digest not in self._digests:
                break
            count += 1
        return count / len(prefix) if prefix else 0.0


class LastEngines:
    """Map of prefixes to the engine each was last sent to, bounded."""

    def __init__(self):
        self._engines = collections.OrderedDict()

    def record(self, prefix, engine_id, limit):
        """Record ``engine_id`` for all digests of ``prefix``."""
        for digest in prefix:
            self._engines[digest] = engine_id
            self._engines.move_to_end(digest)
        while len(self._engines) > limit:
            self._engines.popitem(last=False)

    def find(self, prefix):
        """Return the engine of the longest recorded prefix, or None."""
        for digest in reversed(prefix):
            engine_id = self._engines.get(digest)
            if engine_id is not None:
                return engine_id
        return None
