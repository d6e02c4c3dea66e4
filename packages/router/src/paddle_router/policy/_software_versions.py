"""Remembers which software versions of each service served recently.

A stream can only be continued by the software version that began it. If only
one version has served since any running stream began, it is that one.

Times are ms since the Unix epoch by the synchronized clock of the instances.
"""

import attrs

# No caller resumes a stream that began longer ago: the longest time limits on
# the users' data sheets are 15 s, and a server may be missing from the list
# while it still serves.
STREAM_RETENTION_MS = 60_000


@attrs.frozen(kw_only=True)
class ServiceVersion:
    """A software version of a service that was listed last at ``seen_ms``."""

    service: str
    version: str
    seen_ms: int


class VersionHistory:
    """The software versions that served in ``STREAM_RETENTION_MS``.

    All methods may get the same facts again, in any order.
    """

    def __init__(self):
        # Last time of each (service, version).
        self._seen_ms = {}

    def observe(self, pairs, now_ms):
        """Record the listed ``(service, version)`` pairs."""
        for pair in pairs:
            self._seen_ms[pair] = now_ms
        self._forget(now_ms)

    def add(self, versions, now_ms):
        """Add :class:`ServiceVersion` objects that others observed."""
        for item in versions:
            pair = item.service, item.version
            self._seen_ms[pair] = max(
                min(item.seen_ms, now_ms), self._seen_ms.get(pair, 0)
            )
        self._forget(now_ms)

    def versions(self, service, now_ms):
        """Return the recent versions of ``service``."""
        self._forget(now_ms)
        return tuple(
            version for name, version in self._seen_ms if name == service
        )

    def items(self, now_ms):
        """Return a :class:`ServiceVersion` for each recent version."""
        self._forget(now_ms)
        return tuple(
            ServiceVersion(service=service, version=version, seen_ms=seen_ms)
            for (service, version), seen_ms in self._seen_ms.items()
        )

    def dump(self):
        """Return plain data for the state dump."""
        return [
            {'service': service, 'version': version, 'seen_ms': seen_ms}
            for (service, version), seen_ms in self._seen_ms.items()
        ]

    def _forget(self, now_ms):
        oldest_ms = now_ms - STREAM_RETENTION_MS
        if any(seen_ms < oldest_ms for seen_ms in self._seen_ms.values()):
            self._seen_ms = {
                pair: seen_ms
                for pair, seen_ms in self._seen_ms.items()
                if seen_ms >= oldest_ms
            }
