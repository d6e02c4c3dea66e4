"""Which engine probably caches which prompt prefix."""

import collections

# Digests kept per engine; the oldest are forgotten first, as the engine's
# own cache does.
DIGESTS_PER_ENGINE = 512


class PrefixTable:
    """Prefix digests recently sent to one engine, bounded."""

    def __init__(self, limit=DIGESTS_PER_ENGINE):
        self._limit = limit
        self._digests = collections.OrderedDict()

    def __len__(self):
        return len(self._digests)

    def add(self, prefix):
        """Note that a prompt with these digests was sent."""
        for digest in prefix:
            self._digests[digest] = None
            self._digests.move_to_end(digest)
        while len(self._digests) > self._limit:
            self._digests.popitem(last=False)

    def hit(self, prefix):
        """Return the part of ``prefix`` expected in the cache, 0 to 1."""
        count = 0
        for digest in prefix:
            if digest not in self._digests:
                break
            count += 1
        return count / len(prefix) if prefix else 0.0


class LastEngines:
    """The engine that a prefix was last sent to, bounded in size."""

    def __init__(self):
        self._engines = collections.OrderedDict()

    def note(self, prefix, engine_id, limit):
        """Remember ``engine_id`` for all digests of ``prefix``."""
        for digest in prefix:
            self._engines[digest] = engine_id
            self._engines.move_to_end(digest)
        while len(self._engines) > limit:
            self._engines.popitem(last=False)

    def find(self, prefix):
        """Return the engine of the longest known prefix, or None."""
        for digest in reversed(prefix):
            engine_id = self._engines.get(digest)
            if engine_id is not None:
                return engine_id
        return None
