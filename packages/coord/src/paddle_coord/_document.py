"""One replicated document, of which the highest version wins.

The whole document is stored in one register, so a change replaces it at a
majority in two round trips, whatever its size. Versions are chosen by the
caller and may have gaps.
"""

import struct
import zlib

import attrs
import gevent.event
import gevent.lock
import returns.result

from paddle_coord import _register

DOCUMENT_KEY = 'document/configuration'
_VERSION = struct.Struct('!Q')
# Larger versions do not fit into the stored 64-bit field.
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

    The first content stored under a version is kept: other content with the
    same version is rejected like an older version.
    """
    stored = Document.from_bytes(current)
    if stored is not None and stored.version >= proposed.version:
        return _register.Reject('not newer than the stored version')
    return proposed.to_bytes()


def _successor(current, function):
    """Return the register's new bytes, or the rejection of ``function``."""
    stored = Document.from_bytes(current)
    content = function(None if stored is None else stored.content)
    if isinstance(content, _register.Reject):
        return content
    version = 1 if stored is None else stored.version + 1
    return Document(version, content).to_bytes()


class VersionedDocument:
    """Local copy of the document in one process, and changes of it.

    ``current`` is the newest document read; its version never decreases.
    ``confirmed_ms`` is the start time of the last read or comparison that
    found ``current`` to be the newest version at a majority.
    ``refresh_failure`` describes why the last refresh failed, empty if it did
    not.
    """

    def __init__(self, register, clock, *, key=DOCUMENT_KEY, on_change=None):
        self._register = register
        self._clock = clock
        self._key = key
        self._on_change = on_change
        self._current_ballot = None
        self._lock = gevent.lock.Semaphore()
        self._pending = []
        self.current = None
        self.confirmed_ms = None
        self.refresh_failure = ''

    def submit(self, document):
        """Store ``document`` unless a newer version is stored.

        Returns ``Success(Document)`` with the stored document, which has at
        least that version, or ``Failure(RegisterError)``. Submissions that
        arrive while another one is in progress share the next change, which
        writes only the highest version of them.
        """
        future = gevent.event.AsyncResult()
        self._pending.append((document, future))
        with self._lock:
            if not future.ready():
                self._submit_all()
        return future.get()

    def update(self, function):
        """Store ``function(content)`` under the version after the stored one.

        For a document that several callers change in parts. ``function``
        takes the stored bytes, ``None`` without a document, and returns the
        new ones or :class:`Reject`. It may be called more than once and has
        no side effects. Returns ``Success(Change)`` whose value is the stored
        :class:`Document` or ``None``, or ``Failure(RegisterError)``.
        """
        with self._lock:
            result = self._register.change(
                self._key, lambda data: _successor(data, function)
            )
            if isinstance(result, returns.result.Success):
                self._adopt_if_newer(result.unwrap().value)
        return result.map(
            lambda change: _register.Change(
                Document.from_bytes(change.value), rejected=change.rejected
            )
        )

    def refresh(self):
        """Compare with a majority and read if different; return success."""
        began_ms = self._clock.now_ms()
        self.refresh_failure = ''
        ballot = self._current_ballot
        if ballot is not None:
            # A document adopted meanwhile resets the current ballot, and a
            # failed comparison has none.
            peeked = self._register.peek(self._key)
            if peeked.value_or(None) == ballot:
                self.confirmed_ms = began_ms
                return True
        fetched = self._register.fetch(self._key)
        if isinstance(fetched, returns.result.Success):
            ballot, value = fetched.unwrap()
            self._adopt_if_newer(value)
            self._current_ballot = ballot
            self.confirmed_ms = began_ms
            return True
        # Replicas differ after an interrupted change; a full read resolves it.
        read = self._register.read(self._key)
        if not isinstance(read, returns.result.Success):
            self.refresh_failure = read.failure().detail
            return False
        self._adopt_if_newer(read.unwrap())
        self.confirmed_ms = began_ms
        return True

    def confirm(self, version, as_of_ms):
        """Record that ``version`` was the newest at ``as_of_ms``.

        For a process that is notified by another one, which has asked a
        majority. Has no effect unless ``version`` is the current one. The
        contents are then equal, since a version has only one content.
        """
        if self.current is None or self.current.version != version:
            return
        if self.confirmed_ms is None or as_of_ms > self.confirmed_ms:
            self.confirmed_ms = as_of_ms

    def age_ms(self):
        """Return the age of the last confirmation, ``None`` without one."""
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
        batch, self._pending = self._pending, []
        newest = max((item[0] for item in batch), key=lambda d: d.version)
        result = self._register.change(
            self._key, lambda data: replace_older(data, newest)
        )
        if isinstance(result, returns.result.Success):
            self._adopt_if_newer(result.unwrap().value)
            result = returns.result.Success(self.current)
        for _document, future in batch:
            future.set(result)

    def adopt(self, document):
        """Use ``document``, which another process read, if it is newer."""
        if self.current is None or document.version > self.current.version:
            self.current = document
            self._current_ballot = None
            if self._on_change is not None:
                self._on_change(document)

    def _adopt_if_newer(self, data):
        found = Document.from_bytes(data)
        if found is not None:
            self.adopt(found)
