"""Slots, head and snapshot of the configuration log, without I/O.

Pure functions, called by :class:`paddle_coord.ConfigLog` and by the model
checker. :mod:`paddle_coord._config_log` explains why slots can be deleted
safely.
"""

import hashlib
import json
import struct
import typing
import zlib

import attrs
import cattrs.preconf.json
import returns.result

from paddle_coord import _register

SLOT_PREFIX = 'cfg/slot/'
SNAPSHOT_KEY = 'cfg/snap'
HEAD_KEY = 'cfg/head'
SNAPSHOT_INTERVAL_VERSIONS = 64
# Followers that lag by fewer slots than this need not load the snapshot.
SLOTS_KEPT_BELOW_SNAPSHOT = 64
MAX_OUTCOMES = 4_096
DIGEST_CHARS = 16
# The version precedes the compressed snapshot, so that it can be compared
# without decompressing the rest.
SNAPSHOT_HEADER = struct.Struct('!Q')
# Higher levels save 5% of the space but take twice the time.
COMPRESSION_LEVEL = 1
# Nesting depth below which a part of the snapshot is encoded in one call. The
# parts are single entries of the state, so no call holds the GIL for long.
PIECE_DEPTH = 3

# Reasons of a rejection.
CONFLICT = 'conflict'
INVALID = 'invalid'
ID_REUSED = 'id_reused'
FORGOTTEN = 'forgotten'

_converter = cattrs.preconf.json.make_converter(forbid_extra_keys=True)


class Fold(typing.Protocol):
    """Application of operations, which are JSON data, to immutable states."""

    def initial(self):
        """Return the state of version 0."""

    def apply(self, state, operation) -> returns.result.Result:
        """Return ``Success(state)`` or ``Failure(tuple of findings)``.

        Must give the same result in every process.
        """

    def dump(self, state):
        """Return ``state`` as JSON data."""

    def load(self, data):
        """Return the state that :meth:`dump` converted to ``data``."""


@attrs.frozen
class ConfigChange:
    """A change requested by an operator; ``id`` makes it safe to resend."""

    id: str
    expected_version: int
    operation: typing.Any


@attrs.frozen(kw_only=True)
class ChangeOutcome:
    """Outcome of a change.

    ``version`` is the version made by an accepted change, else the current
    one. ``findings`` holds :class:`paddle_kernel.Finding` items when the
    reason is ``invalid``.
    """

    accepted: bool
    version: int
    reason: str | None = None
    findings: tuple = ()


@attrs.frozen
class Head:
    """Value of ``cfg/head``; both numbers never decrease."""

    snapshot: int = 0
    floor: int = 0


@attrs.frozen
class AcceptedChange:
    """Version and operation digest of an accepted change, for resends."""

    version: int
    digest: str


@attrs.frozen
class FoldedState:
    """State after ``version`` changes.

    ``outcomes`` maps the ids of the last accepted changes, oldest first, to
    :class:`AcceptedChange`.
    """

    version: int
    state: typing.Any
    outcomes: dict


@attrs.frozen
class Snapshot:
    """Value of ``cfg/snap``, stored compressed."""

    version: int
    state: typing.Any
    outcomes: dict[str, AcceptedChange]


class UnfoldableSlotError(ValueError):
    """This process cannot apply an accepted change."""


def slot_key(version):
    """Return the register key of the slot that makes ``version``."""
    return f'{SLOT_PREFIX}{version}'


def encode_change(change):
    """Return the register value of ``change``."""
    return json.dumps(attrs.asdict(change), sort_keys=True).encode()


def decode_change(value):
    """Return the :class:`ConfigChange` held in a slot."""
    return ConfigChange(**json.loads(value))


def digest_of(operation):
    """Return a short digest that distinguishes operations."""
    text = json.dumps(operation, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_CHARS]


def fill_slot(current, value):
    """Write ``value`` into an empty slot; keep an existing value."""
    if current is None or current == value:
        return value
    return _register.Reject('the slot is already filled')


def raise_head(current, wanted):
    """Raise both numbers of the head to at least those of ``wanted``."""
    return Head(
        max(current.snapshot, wanted.snapshot),
        max(current.floor, wanted.floor),
    )


def floor_for(snapshot_version, kept=SLOTS_KEPT_BELOW_SNAPSHOT):
    """Return the deletion floor for a snapshot of this version."""
    return max(0, snapshot_version - kept)


def is_authentic(version, head):
    """Return whether a slot that was read before ``head`` is valid."""
    return version > head.floor


def fold_change(fold, folded, change):
    """Return ``folded`` after the accepted ``change``.

    :raises UnfoldableSlotError: if the operation cannot be applied, which
        happens only when processes run different versions of the code.
    """
    result = fold.apply(folded.state, change.operation)
    version = folded.version + 1
    if isinstance(result, returns.result.Failure):
        raise UnfoldableSlotError(
            f'{slot_key(version)}: change {change.id!r} cannot be applied by '
            f'this process; upgrade it: {result.failure()}'
        )
    outcomes = dict(folded.outcomes)
    outcomes[change.id] = AcceptedChange(version, digest_of(change.operation))
    while len(outcomes) > MAX_OUTCOMES:
        del outcomes[next(iter(outcomes))]
    return FoldedState(version, result.unwrap(), outcomes)


def judge(folded, change):
    """Return the outcome of ``change`` if ``folded`` decides it, else None.

    A change can only be accepted in the slot after its expected version, so
    a state that includes this slot decides. Versions never decrease, so a
    rejected change stays rejected.
    """
    first = folded.outcomes.get(change.id)
    if first is not None and first.digest == digest_of(change.operation):
        return ChangeOutcome(accepted=True, version=first.version)
    if first is not None:
        return rejected(folded, ID_REUSED)
    if change.expected_version >= folded.version:
        return None
    if change.expected_version < folded.version - MAX_OUTCOMES:
        return rejected(folded, FORGOTTEN)
    return rejected(folded, CONFLICT)


def encode_snapshot(fold, folded):
    """Return the register value of a snapshot of ``folded``.

    A large state takes about a second of CPU time; callers use a thread.
    """
    snapshot = {
        'version': folded.version,
        'state': fold.dump(folded.state),
        'outcomes': {
            id_: {'version': item.version, 'digest': item.digest}
            for id_, item in folded.outcomes.items()
        },
    }
    text = ''.join(_json_pieces(snapshot, PIECE_DEPTH))
    data = zlib.compress(text.encode(), COMPRESSION_LEVEL)
    return SNAPSHOT_HEADER.pack(folded.version) + data


def _json_pieces(value, depth):
    """Yield the JSON text of ``value`` in pieces.

    The encoder of the standard library holds the GIL until it returns.
    """
    if depth and isinstance(value, dict):
        yield '{'
        for index, (name, item) in enumerate(value.items()):
            yield f'{"," if index else ""}{json.dumps(name)}:'
            yield from _json_pieces(item, depth - 1)
        yield '}'
    elif depth and isinstance(value, list | tuple):
        yield '['
        for index, item in enumerate(value):
            if index:
                yield ','
            yield from _json_pieces(item, depth - 1)
        yield ']'
    else:
        yield json.dumps(value)


def decode_snapshot(fold, value):
    """Return the :class:`FoldedState` held in a snapshot."""
    data = zlib.decompress(value[SNAPSHOT_HEADER.size :])
    snapshot = _converter.loads(data, Snapshot)
    return FoldedState(
        snapshot.version, fold.load(snapshot.state), snapshot.outcomes
    )


def replace_snapshot(current, value):
    """Keep the snapshot of the higher version."""
    if current is not None:
        (found,) = SNAPSHOT_HEADER.unpack_from(current)
        (version,) = SNAPSHOT_HEADER.unpack_from(value)
        if found >= version:
            return _register.Reject('the stored snapshot is not older')
    return value


def rejected(folded, reason, findings=()):
    """Return the outcome of a change that is not accepted."""
    return ChangeOutcome(
        accepted=False,
        version=folded.version,
        reason=reason,
        findings=tuple(findings),
    )


def decode_head(value):
    """Return the :class:`Head` held in a register value."""
    return Head() if value is None else _converter.loads(value, Head)


def encode_head(head):
    """Return the register value of ``head``."""
    return _converter.dumps(head).encode()
