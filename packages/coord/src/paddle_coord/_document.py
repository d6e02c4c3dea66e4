"""One replicated document whose highest version wins.

The document is kept whole in one register, so a change replaces it at a
majority in two rounds however large the difference is. Versions are chosen by
the caller and may have gaps.
"""

import struct
import zlib

import attrs
import gevent.event
import gevent.lock
import returns.result

from paddle_coord import _register

KEY = 'document/configuration'
_VERSION = struct.Struct('!Q')
# Versions above this do not fit the stored form.
LARGEST_VERSION = 2**64 - 1


@attrs.frozen
class Document:
    """A version and the bytes stored under it."""

    version: int
    content: bytes

    def to_bytes(self):
        """Return the register's bytes: version, then compressed content."""
        return _VERSION.pack(self.version) + zlib.compress(self.content, 1)

    @classmethod
    def from_bytes(cls, data):
        """Return the document in ``data``, ``None`` for an absent key."""
        if data is None:
            return None
        (version,) = _VERSION.unpack_from(data)
        return cls(version, zlib.decompress(data[_VERSION.size :]))


def replace_older(current, proposed):
    """Return the register's new bytes, or a rejection.

    The first content stored under a version stays: another one with the same
    number is rejected like an older version.
    """
    stored = Document.from_bytes(current)
    if stored is not None and stored.version >= proposed.version:
        return _register.Reject('not newer than the stored version')
    return proposed.to_bytes()


class VersionedDocument:
    """The document as one process knows it, and changes of it.

    ``current`` is the newest document read; it never goes back.
    ``confirmed_ms`` is the time at which the last read or comparison began
    that found ``current`` to be the newest at a majority.
    """

    def __init__(self, register, clock, *, key=KEY, on_change=None):
        self._register = register
        self._clock = clock
        self._key = key
        self._on_change = on_change
        self._ballot = None
        self._lock = gevent.lock.Semaphore()
        self._waiting = []
        self.current = None
        self.confirmed_ms = None

    def submit(self, document):
        """Store ``document`` unless its version is overtaken.

        Returns ``Success(Document)`` with the stored document, which has at
        least that version, or ``Failure(RegisterError)``. Submissions that
        arrive while another one is decided share the next change; only the
        highest of them has to be written.
        """
        fut = gevent.event.AsyncResult()
        self._waiting.append((document, fut))
        with self._lock:
            if not fut.ready():
                self._submit_all()
        return fut.get()

    def refresh(self):
        """Compare with a majority, read when different; return success."""
        began_ms = self._clock.now_ms()
        if self._ballot is not None:
            seen = self._register.peek(self._key)
            if seen.value_or(None) == self._ballot:
                self.confirmed_ms = began_ms
                return True
        fetched = self._register.fetch(self._key)
        if isinstance(fetched, returns.result.Success):
            ballot, value = fetched.unwrap()
            self._learn(value)
            self._ballot = ballot
            self.confirmed_ms = began_ms
            return True
        # Replicas differ after an interrupted change; a full read decides.
        read = self._register.read(self._key)
        if not isinstance(read, returns.result.Success):
            return False
        self._learn(read.unwrap())
        self.confirmed_ms = began_ms
        return True

    def confirm(self, version, as_of_ms):
        """Note that ``version`` was the newest at ``as_of_ms``.

        For a process that hears it from one that asked a majority. Has no
        effect unless ``version`` is held, since a version has one content.
        """
        if self.current is None or self.current.version != version:
            return
        if self.confirmed_ms is None or as_of_ms > self.confirmed_ms:
            self.confirmed_ms = as_of_ms

    def age_ms(self):
        """Return how old the last confirmation is, ``None`` without one."""
        if self.confirmed_ms is None:
            return None
        return self._clock.now_ms() - self.confirmed_ms

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'version': self.current.version if self.current else None,
            'age_ms': self.age_ms(),
        }

    def _submit_all(self):
        batch, self._waiting = self._waiting, []
        newest = max((item[0] for item in batch), key=lambda d: d.version)
        result = self._register.change(
            self._key, lambda data: replace_older(data, newest)
        )
        if isinstance(result, returns.result.Success):
            self._learn(result.unwrap().value)
            result = returns.result.Success(self.current)
        for _document, fut in batch:
            fut.set(result)

    def _learn(self, data):
        found = Document.from_bytes(data)
        if found is None:
            return
        if self.current is None or found.version > self.current.version:
            self.current = found
            self._ballot = None
            if self._on_change is not None:
                self._on_change(found)
