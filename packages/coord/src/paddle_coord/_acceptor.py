"""State transitions of one register at one replica, without I/O.

The rules follow CASPaxos (Rystsov, 2018). The replica and the model checker
call these same functions.
"""

import attrs

from paddle_coord import _ballot

# Ballots of recent changes that are stored with a value. A proposer whose
# accept round had an unknown outcome finds here whether later values build on
# its own.
MAX_ORIGINS = 8


@attrs.frozen(cache_hash=True)
class Record:
    """A register value: ``None`` is a tombstone.

    ``origins`` are the ballots of the changes that led to the value, newest
    first, at most :data:`MAX_ORIGINS`.
    """

    value: bytes | None
    origins: tuple[_ballot.Ballot, ...] = ()


@attrs.frozen(cache_hash=True)
class Cell:
    """State of one key at one replica.

    ``accepted`` is the zero ballot and ``value`` is ``None`` while nothing
    has been accepted.
    """

    promised: _ballot.Ballot
    accepted: _ballot.Ballot
    value: Record | None


def absent(floor):
    """Return the cell of a key that is not stored.

    It counts as promised at the deletion floor, so that a delayed message
    sent before the key was deleted is rejected.
    """
    promised = _ballot.floor_ballot(floor) if floor else _ballot.ZERO
    return Cell(promised, _ballot.ZERO, None)


def prepare(cell, ballot):
    """Return the cell that promises ``ballot``, ``None`` on a conflict.

    An equal ballot is promised again, since the message may be a duplicate.
    """
    if ballot < cell.promised:
        return None
    return attrs.evolve(cell, promised=ballot)


def accept(cell, ballot, value):
    """Return the cell that accepted ``value``, ``None`` on a conflict."""
    if ballot < cell.promised:
        return None
    return Cell(ballot, ballot, value)


def droppable(cell, ballot):
    """Return whether a deletion may drop the cell.

    The cell must hold exactly the tombstone accepted at ``ballot``, without
    a higher promise. Dropping the cell would lose that promise: a lower
    ballot could then decide a value, which the promised ballot would
    overwrite without having read it.
    """
    return (
        cell.value is not None
        and cell.value.value is None
        and cell.accepted == ballot
        and cell.promised == ballot
    )


def raised_floor(floor, ballot):
    """Return the deletion floor after dropping a tombstone of ``ballot``."""
    return max(floor, ballot.counter)
