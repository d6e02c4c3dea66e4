"""Records of the software version that began each stream.

All gateways may be killed at once, and their callers take the streams up again
at new processes. So while several versions serve, each gateway tells two
controllers at which version a stream runs before it forwards the first event.

The versions of recent lists are stored in a register: after a loss of power of
all instances, the old version may have left the list.
"""

import collections
import json

import paddle_coord
import paddle_kernel
import returns.result

from paddle_router.controller import _events
from paddle_router import gateway
from paddle_router import policy

REGISTER_KEY = 'software-versions'
# Bound on memory: about a minute of streams of the largest deployment.
MAX_ORIGINS = 50_000


def _encode(versions, listed):
    """Return the register value; versions in ``listed`` have no time."""
    return json.dumps(
        sorted(
            [
                item.service,
                item.version,
                0 if (item.service, item.version) in listed else item.seen_ms,
            ]
            for item in versions
        )
    ).encode()


def _decode(data, now_ms):
    """Return the stored :class:`policy.ServiceVersion` objects.

    One that was listed when it was stored may have served until now.
    """
    return tuple(
        policy.ServiceVersion(
            service=service, version=version, seen_ms=seen_ms or now_ms
        )
        for service, version, seen_ms in (json.loads(data) if data else ())
    )


class StreamOrigins:
    """The streams and versions that one controller knows of."""

    def __init__(self, wall, fleet):
        self._wall = wall
        self._fleet = fleet
        self._history = policy.VersionHistory()
        # Origins by request id, oldest record first.
        self._origins = collections.OrderedDict()
        self._is_loaded = False
        self._stored = None

    def load(self, register):
        """Add the stored versions, once; repeat the call after a failure."""
        if self._is_loaded:
            return
        result = register.quick_read(REGISTER_KEY)
        if not isinstance(result, returns.result.Success):
            return
        now_ms = self._wall.now_ms()
        self._history.add(_decode(result.unwrap(), now_ms), now_ms)
        self._is_loaded = True

    def observe(self):
        """Add the versions of the current list."""
        self._history.observe(self._listed(), self._wall.now_ms())

    def store(self, register):
        """Store the versions if others are listed than at the last time."""
        listed = self._listed()
        if not self._is_loaded or not listed or listed == self._stored:
            return
        value = _encode(self._history.items(self._wall.now_ms()), listed)
        result = register.change(
            REGISTER_KEY,
            lambda data: (
                paddle_coord.Reject('nothing to add')
                if data == value
                else value
            ),
        )
        if isinstance(result, returns.result.Success):
            self._stored = listed
        else:
            paddle_kernel.emit(
                _events.VERSIONS_NOT_STORED, error=str(result.failure())
            )

    def handle_record(self, message):
        """Store the origins in a :class:`RecordStreams` message."""
        for item in message.origins:
            known = self._origins.get(item.id)
            if known is None or known.sent_ms <= item.sent_ms:
                self._origins[item.id] = item
                self._origins.move_to_end(item.id)
        oldest_ms = self._wall.now_ms() - policy.STREAM_RETENTION_MS
        while self._origins and (
            len(self._origins) > MAX_ORIGINS
            or next(iter(self._origins.values())).sent_ms < oldest_ms
        ):
            self._origins.popitem(last=False)
        return gateway.StreamsRecorded(count=len(message.origins))

    def handle_query(self, message):
        """Return the answer to a :class:`FindStream` message."""
        return gateway.StreamFound(
            origin=self._origins.get(message.id),
            versions=self._history.items(self._wall.now_ms()),
            is_complete=self._is_loaded and self._fleet.servers is not None,
        )

    def unlisted_versions(self):
        """Return the recent versions that are not in the list any more."""
        listed = self._listed()
        return tuple(
            item
            for item in self._history.items(self._wall.now_ms())
            if (item.service, item.version) not in listed
        )

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'origins': len(self._origins),
            'versions': self._history.dump(),
            'is_loaded': self._is_loaded,
        }

    def _listed(self):
        return {
            (item.service, item.software_version)
            for item in self._fleet.servers or ()
        }
