"""Register interface on which all other modules of this package build."""

import typing

import attrs
import returns.result

NOT_WRITTEN = 'not_written'
UNKNOWN = 'unknown'


@attrs.frozen
class Reject:
    """Returned by a change function that leaves the value as it is."""

    reason: str


@attrs.frozen
class Change:
    """Outcome of a completed change.

    ``value`` is the decided value after the change, ``None`` for an absent
    key. ``rejected`` holds the reason when the change function refused.
    """

    value: bytes | None
    rejected: str | None = None

    @property
    def applied(self):
        """Whether the change function's new value was decided."""
        return self.rejected is None


@attrs.frozen
class RegisterError:
    """A change or read without a known outcome.

    ``kind`` is ``not_written`` when the change certainly has no effect, now
    or later, and ``unknown`` when it may have taken effect or still may.
    """

    kind: str
    detail: str


class Register(typing.Protocol):
    """A map of independent registers, each changed by compare-and-set.

    Operations are linearizable per key. They suspend the calling greenlet.
    """

    def change(self, key, function) -> returns.result.Result:
        """Replace the value of ``key`` by ``function(value)``.

        ``function`` takes ``bytes | None`` and returns ``bytes``, ``None``
        (delete) or :class:`Reject`. It may be called more than once and has
        no side effects. Returns ``Success(Change)`` or
        ``Failure(RegisterError)``. A rejection is reported only after the
        value it was based on is decided.
        """

    def read(self, key) -> returns.result.Result:
        """Return ``Success(bytes | None)`` or ``Failure(RegisterError)``."""

    def quick_read(self, key) -> returns.result.Result:
        """Read like :meth:`read`, without writes when replicas agree.

        Takes one round trip and no fsync when a majority reports the same
        accepted value, or none; falls back to a full read otherwise.
        """


class MemoryRegister:
    """Register held in memory, for tests and for the embedding example.

    ``failures`` is a list of actions consumed one per change:
    ``'not_written'`` (no effect), ``'unknown_lost'`` (unknown, no effect),
    ``'unknown_applied'`` (unknown, but applied) and ``None`` (works).
    """

    def __init__(self):
        self.values = {}
        self.failures = []
        self.available = True

    def change(self, key, function):
        if not self.available:
            return _failure(NOT_WRITTEN, 'no majority of replicas')
        failure = self.failures.pop(0) if self.failures else None
        if failure == 'not_written':
            return _failure(NOT_WRITTEN, 'injected')
        if failure == 'unknown_lost':
            return _failure(UNKNOWN, 'injected')
        change = self._apply(key, function)
        if failure == 'unknown_applied':
            return _failure(UNKNOWN, 'injected')
        return returns.result.Success(change)

    def read(self, key):
        if not self.available:
            return _failure(NOT_WRITTEN, 'no majority of replicas')
        return returns.result.Success(self.values.get(key))

    def quick_read(self, key):
        return self.read(key)

    def _apply(self, key, function):
        current = self.values.get(key)
        new = function(current)
        if isinstance(new, Reject):
            return Change(current, rejected=new.reason)
        if new is None:
            self.values.pop(key, None)
        else:
            self.values[key] = new
        return Change(new)


def _failure(kind, detail):
    return returns.result.Failure(RegisterError(kind, detail))
