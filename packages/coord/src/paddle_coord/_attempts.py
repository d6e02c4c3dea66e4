"""Decisions of a proposer between the prepare and accept rounds, no I/O.

The proposer and the model checker call these same functions.
"""

import attrs

from paddle_coord import _acceptor
from paddle_coord import _ballot

PROPOSE = 'propose'
CONFIRM = 'confirm'
UNCLEAR = 'unclear'


@attrs.frozen
class PrepareResult:
    """Summary of the promises of a quorum.

    ``settled`` tells that all of them report the same accepted value, which
    is therefore decided; ``floor`` is their highest deletion floor.
    """

    ballot: _ballot.Ballot
    accepted: _ballot.Ballot
    record: _acceptor.Record | None
    floor: int
    settled: bool

    @property
    def value(self):
        """The register value, ``None`` if absent or deleted."""
        return None if self.record is None else self.record.value


def summarize(ballot, promises):
    """Return the summary of ``promises`` for ``ballot``."""
    best = max(promises, key=lambda promise: promise.accepted)
    return PrepareResult(
        ballot,
        best.accepted,
        best.record,
        max(promise.floor for promise in promises),
        all(promise.accepted == best.accepted for promise in promises),
    )


@attrs.frozen
class Attempts:
    """Values of one change that were sent but have an unknown outcome.

    ``values`` holds pairs of ballot and value, one for each accept round.
    ``base`` is the newest origin of the value that the first of them was
    computed from, ``None`` for an absent key.
    """

    values: tuple = ()
    base: _ballot.Ballot | None = None

    def added(self, prepared, value):
        """Return the attempts plus ``value``, computed from ``prepared``."""
        base = self.base
        if not self.values:
            origins = _origins(prepared.record)
            base = origins[0] if origins else None
        return Attempts((*self.values, (prepared.ballot, value)), base)

    def find_contained_in(self, record):
        """Return the ``(ballot, value)`` that ``record`` contains, or None.

        A record contains a value if the ballot is among its origins.
        """
        origins = _origins(record)
        for attempt in self.values:
            if attempt[0] in origins:
                return attempt
        return None

    def superseded(self, prepared):
        """Return whether the read value certainly contains no attempt.

        Its origins must reach back to the value before the first attempt,
        and no deletion may have discarded origins since.
        """
        if prepared.floor >= min(self.values)[0].counter:
            return False
        origins = _origins(prepared.record)
        if self.base is None:
            return len(origins) < _acceptor.MAX_ORIGINS
        return self.base in origins


def plan(attempts, prepared):
    """Return what to do after a prepare round.

    ``PROPOSE``: call the change function. ``CONFIRM``: decide the value that
    was read, which contains an earlier attempt. ``UNCLEAR``: an earlier
    attempt may or may not be part of the value.
    """
    if not attempts.values:
        return PROPOSE
    if attempts.find_contained_in(prepared.record) is not None:
        return CONFIRM
    return PROPOSE if attempts.superseded(prepared) else UNCLEAR


def is_decided(attempts, prepared):
    """Return whether the read value can be reported without an accept round.

    It cannot after an own attempt with an unknown outcome: a minority may
    have accepted that, and only a higher accepted ballot rules it out.
    """
    if attempts.values:
        return False
    return prepared.settled or prepared.record is None


def successor(prepared, value):
    """Return the record that replaces the read value by ``value``."""
    kept = (prepared.ballot, *_origins(prepared.record))
    return _acceptor.Record(value, kept[: _acceptor.MAX_ORIGINS])


def identity(prepared):
    """Return the record that keeps the read value."""
    return prepared.record or _acceptor.Record(None)


def _origins(record):
    return () if record is None else record.origins
