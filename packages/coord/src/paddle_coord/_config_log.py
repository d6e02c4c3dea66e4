"""Versioned configuration: a chain of write-once registers and a fold.

Slot ``cfg/slot/<version>`` holds the change that made that version. The state
is a pure fold over the slots. The meaning of an operation is given by a
:class:`Fold`; this module knows nothing of it.

Register ``cfg/snap`` holds a snapshot, ``cfg/head`` the version of a snapshot
and the floor. Slots at or below the floor may be deleted at any time, so an
absent one means nothing, and a record found there may be a late write that
was never accepted. Hence the rule that makes deletion safe: the floor is
raised durably before the first deletion, and whatever was read from a slot
counts only if a read of the head sent *after* it still shows a floor below
that slot. Otherwise the snapshot is loaded.
"""

import hashlib
import json
import struct
import typing
import zlib

import attrs
import cattrs.preconf.json
import gevent.lock
import returns.result

from paddle_coord import _events
from paddle_coord import _register
from paddle_coord import _version_file
import paddle_kernel as kernel

SLOT_PREFIX = 'cfg/slot/'
SNAPSHOT_KEY = 'cfg/snap'
HEAD_KEY = 'cfg/head'
SNAPSHOT_EVERY = 64
# Slots kept below a snapshot, so that followers that lag less need not load
# it.
KEPT_SLOTS = 64
REMEMBERED_OUTCOMES = 4_096
# Slots read before the head is checked once for all of them.
SLOTS_PER_CHECK = 32
# A change with an unknown outcome is written again this often.
ATTEMPTS = 3
NEVER_CONFIRMED_MS = 2**53
DIGEST_CHARS = 16
# The version precedes the compressed snapshot, to be compared without
# decoding the rest.
SNAPSHOT_HEADER = struct.Struct('!Q')
# Higher levels save 5% of the space at twice the time.
COMPRESSION_LEVEL = 1
# Nesting at which a snapshot is encoded as a whole. The entries of the state's
# sections lie below it, so that no call holds the interpreter for long.
PIECE_DEPTH = 3

# Reasons of a rejection.
CONFLICT = 'conflict'
INVALID = 'invalid'
ID_REUSED = 'id_reused'
FORGOTTEN = 'forgotten'

_converter = cattrs.preconf.json.make_converter(forbid_extra_keys=True)


class Fold(typing.Protocol):
    """Meaning of operations. States are immutable, operations JSON data."""

    def initial(self):
        """Return the state of version 0."""

    def apply(self, state, operation) -> returns.result.Result:
        """Return ``Success(state)`` or ``Failure(tuple of findings)``.

        Must give the same result in every process.
        """

    def dump(self, state):
        """Return ``state`` as JSON data."""

    def load(self, data):
        """Return the state that :meth:`dump` returned as ``data``."""


@attrs.frozen
class ConfigChange:
    """A change asked for by an operator; ``id`` makes resending safe."""

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
    """Value of ``cfg/head``; both numbers only grow."""

    snapshot: int = 0
    floor: int = 0


@attrs.frozen
class Remembered:
    """Accepted change kept for resends: version and operation digest."""

    version: int
    digest: str


@attrs.frozen
class Folded:
    """State after ``version`` changes.

    ``outcomes`` maps the ids of the last accepted changes, oldest first, to
    :class:`Remembered`.
    """

    version: int
    state: typing.Any
    outcomes: dict


@attrs.frozen
class Snapshot:
    """Value of ``cfg/snap``, stored compressed."""

    version: int
    state: typing.Any
    outcomes: dict[str, Remembered]


class UnfoldableSlotError(ValueError):
    """An accepted change cannot be applied by this process."""


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
    """Return a short digest that tells operations apart."""
    text = json.dumps(operation, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_CHARS]


def fill_slot(current, value):
    """Write ``value`` into an empty slot; the first value stays."""
    if current is None or current == value:
        return value
    return _register.Reject('the slot is taken')


def raise_head(current, wanted):
    """Raise both numbers of the head to at least those of ``wanted``."""
    return Head(
        max(current.snapshot, wanted.snapshot),
        max(current.floor, wanted.floor),
    )


def floor_for(snapshot_version, kept=KEPT_SLOTS):
    """Return the floor that a snapshot of this version allows."""
    return max(0, snapshot_version - kept)


def is_authentic(version, head):
    """Return whether a slot read before ``head`` was read counts."""
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
    outcomes[change.id] = Remembered(version, digest_of(change.operation))
    while len(outcomes) > REMEMBERED_OUTCOMES:
        del outcomes[next(iter(outcomes))]
    return Folded(version, result.unwrap(), outcomes)


def judge(folded, change):
    """Return the outcome of ``change`` if ``folded`` decides it, else None.

    A change can only be accepted in the slot after its expected version, so
    a state at or beyond that slot decides. Versions never decrease, so a
    rejected change stays rejected.
    """
    first = folded.outcomes.get(change.id)
    if first is not None and first.digest == digest_of(change.operation):
        return ChangeOutcome(accepted=True, version=first.version)
    if first is not None:
        return _rejected(folded, ID_REUSED)
    if change.expected_version >= folded.version:
        return None
    if change.expected_version < folded.version - REMEMBERED_OUTCOMES:
        return _rejected(folded, FORGOTTEN)
    return _rejected(folded, CONFLICT)


def encode_snapshot(fold, folded):
    """Return the register value of a snapshot of ``folded``.

    For a large state this takes about a second of CPU; callers run it in a
    thread.
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

    The encoder of the standard library does not let other threads run until
    it returns.
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
    """Return the :class:`Folded` held in a snapshot."""
    data = zlib.decompress(value[SNAPSHOT_HEADER.size :])
    snapshot = _converter.loads(data, Snapshot)
    return Folded(
        snapshot.version, fold.load(snapshot.state), snapshot.outcomes
    )


def replace_snapshot(current, value):
    """Keep the snapshot of the higher version."""
    if current is not None:
        (found,) = SNAPSHOT_HEADER.unpack_from(current)
        (version,) = SNAPSHOT_HEADER.unpack_from(value)
        if found >= version:
            return _register.Reject('the snapshot is not older')
    return value


def _rejected(folded, reason, findings=()):
    return ChangeOutcome(
        accepted=False,
        version=folded.version,
        reason=reason,
        findings=tuple(findings),
    )


def _decode_head(value):
    return Head() if value is None else _converter.loads(value, Head)


def _encode_head(head):
    return _converter.dumps(head).encode()


class ConfigLog:
    """Follower and submitter of the configuration log in one process.

    ``delete(key)`` and ``keys(prefix)`` are those of the replicated
    register; without them no slot is deleted. ``version_path`` names the
    file that keeps the highest version served; without it only the register
    protects against older versions. A snapshot is written every
    ``snapshot_every`` versions; ``kept_slots`` below it are not deleted.
    ``blocking(function, *args)`` runs the work of a large snapshot.
    """

    def __init__(
        self,
        register,
        clock,
        *,
        fold,
        version_path=None,
        keys=None,
        delete=None,
        snapshot_every=SNAPSHOT_EVERY,
        kept_slots=KEPT_SLOTS,
        blocking=kernel.run_in_thread,
    ):
        self._register = register
        self._clock = clock
        self._fold = fold
        self._keys = keys
        self._delete = delete
        self._blocking = blocking
        self._snapshot_every = snapshot_every
        self._kept_slots = kept_slots
        self._folded = Folded(0, fold.initial(), {})
        self._head = Head()
        self._confirmed_ms = None
        self._lock = gevent.lock.Semaphore()
        self._file = None
        self._served_version = 0
        if version_path is not None:
            self._file = _version_file.VersionFile(version_path)
            self._served_version = self._file.read()

    @property
    def state(self):
        """State of the fold at :attr:`version`."""
        return self._folded.state

    @property
    def version(self):
        """Version that this process has reached."""
        return self._folded.version

    def age_ms(self):
        """Return the time since the version was last confirmed.

        :data:`NEVER_CONFIRMED_MS` before the first confirmation, and while
        the log is behind a version that this process has served.
        """
        if self._confirmed_ms is None:
            return NEVER_CONFIRMED_MS
        return self._clock.now_ms() - self._confirmed_ms

    def refresh(self):
        """Follow the log to its end and confirm the version.

        Returns ``Success(version)`` or ``Failure(RegisterError)``. The
        version is confirmed as of the sending time of the read that found
        the next slot empty.

        :raises UnfoldableSlotError: see :func:`fold_change`.
        """
        if self._confirmed_ms is None:
            result = self._start_from_snapshot()
            if isinstance(result, returns.result.Failure):
                return result
        while True:
            result = self._follow_once()
            if isinstance(result, returns.result.Failure):
                return result
            confirmed_ms = result.unwrap()
            if confirmed_ms is not None:
                return self._confirm(confirmed_ms)

    def submit(self, change):
        """Decide ``change``.

        Returns ``Success(ChangeOutcome)`` or ``Failure(RegisterError)``; a
        failed submission may be repeated with the same change. A change that
        expects a version beyond the log fails as not written instead of
        being rejected, since the log may still reach that version.
        """
        outcome = judge(self._folded, change)
        if outcome is not None and outcome.accepted:
            return returns.result.Success(outcome)
        return self.refresh().bind(lambda _: self._submit_at_end(change))

    def collect(self):
        """Delete slots at or below the floor.

        Returns ``Success(number of deleted slots)`` or ``Failure``; what is
        left over, and late writes into deleted slots, are deleted by a later
        call.
        """
        head = self._register.read(HEAD_KEY).map(_decode_head)
        if isinstance(head, returns.result.Failure):
            return head
        listed = self._keys(SLOT_PREFIX)
        if isinstance(listed, returns.result.Failure):
            return listed
        deleted = 0
        for key in listed.unwrap():
            if is_authentic(int(key.removeprefix(SLOT_PREFIX)), head.unwrap()):
                continue
            result = self._delete(key)
            if isinstance(result, returns.result.Failure):
                return result
            deleted += 1
        return returns.result.Success(deleted)

    def dump(self):
        """Return plain data for the state dump, without the state itself."""
        return {
            'version': self.version,
            'age_ms': self.age_ms(),
            'snapshot': self._head.snapshot,
            'floor': self._head.floor,
            'served_version': self._served_version,
        }

    def _follow_once(self):
        """Read some slots, then the head, then advance.

        Returns ``Success`` of the sending time of the read that found the
        next slot empty, or of None when there may be more slots.
        """
        start = self._folded
        read = self._read_slots(start.version)
        if isinstance(read, returns.result.Failure):
            return read
        changes, empty_ms = read.unwrap()
        # This read must come after those of the slots, see the module text.
        head = self._read_head()
        if isinstance(head, returns.result.Failure):
            return head
        if not is_authentic(start.version + 1, self._head):
            return self._load_snapshot()
        folded = start
        for change in changes:
            folded = fold_change(self._fold, folded, change)
        self._publish(folded)
        return returns.result.Success(empty_ms)

    def _start_from_snapshot(self):
        head = self._read_head()
        if isinstance(head, returns.result.Failure):
            return head
        if self._head.snapshot > self._folded.version:
            return self._load_snapshot()
        return head

    def _read_head(self):
        head = self._register.quick_read(HEAD_KEY).map(_decode_head)
        if isinstance(head, returns.result.Success):
            self._head = raise_head(self._head, head.unwrap())
        return head

    def _read_slots(self, version):
        changes = []
        while len(changes) < SLOTS_PER_CHECK:
            sent_ms = self._clock.now_ms()
            key = slot_key(version + len(changes) + 1)
            result = self._register.quick_read(key)
            if isinstance(result, returns.result.Failure):
                return result
            if result.unwrap() is None:
                return returns.result.Success((changes, sent_ms))
            changes.append(decode_change(result.unwrap()))
        return returns.result.Success((changes, None))

    def _load_snapshot(self):
        result = self._register.read(SNAPSHOT_KEY)
        if isinstance(result, returns.result.Failure):
            return result
        value = result.unwrap()
        if value is not None:
            self._publish(self._blocking(decode_snapshot, self._fold, value))
        if self._folded.version < self._head.snapshot:
            return _failure(
                _register.NOT_WRITTEN,
                f'{SNAPSHOT_KEY} is older than version {self._head.snapshot} '
                f'named by {HEAD_KEY}; restore the replicas',
            )
        return returns.result.Success(None)

    def _publish(self, folded):
        """Make ``folded`` visible unless another greenlet was faster."""
        with self._lock:
            if folded.version <= self._folded.version:
                return
            if self._file and folded.version > self._served_version:
                self._file.write(folded.version)
                self._served_version = folded.version
            self._folded = folded

    def _confirm(self, confirmed_ms):
        if self._folded.version < self._served_version:
            kernel.emit(
                _events.CONFIG_BEHIND,
                version=self._folded.version,
                served=self._served_version,
            )
            return _failure(
                _register.NOT_WRITTEN,
                f'the log ends at version {self._folded.version}, but '
                f'version {self._served_version} was served before; restore '
                'the replicas',
            )
        self._confirmed_ms = max(self._confirmed_ms or 0, confirmed_ms)
        return returns.result.Success(self._folded.version)

    def _submit_at_end(self, change):
        folded = self._folded
        outcome = judge(folded, change)
        if outcome is not None:
            return returns.result.Success(outcome)
        if change.expected_version > folded.version:
            return _failure(
                _register.NOT_WRITTEN,
                f'expected_version is {change.expected_version}, allowed: at '
                f'most {folded.version}',
            )
        checked = self._fold.apply(folded.state, change.operation)
        if isinstance(checked, returns.result.Failure):
            return returns.result.Success(
                _rejected(folded, INVALID, checked.failure())
            )
        written = self._write_slot(folded.version + 1, change)
        if isinstance(written, returns.result.Failure):
            return written
        return self._learn_outcome(change)

    def _write_slot(self, version, change):
        """Fill a slot; Success means that the slot is decided.

        Writing again is safe after an unknown outcome, because the slot
        keeps its first value. Once an outcome was unknown, later failures
        are unknown as well.
        """
        value = encode_change(change)
        kind = _register.NOT_WRITTEN
        for _ in range(ATTEMPTS):
            result = self._register.change(
                slot_key(version), lambda current: fill_slot(current, value)
            )
            if isinstance(result, returns.result.Success):
                return result
            if result.failure().kind == _register.NOT_WRITTEN:
                break
            kind = _register.UNKNOWN
            found = self._register.read(slot_key(version))
            if found.value_or(None) is not None:
                return found
        return _failure(kind, result.failure().detail)

    def _learn_outcome(self, change):
        """Follow the log past the written slot and judge by the state.

        The record in the slot alone does not decide: the slot may have been
        deleted after other changes before this one was written into it.
        """
        result = self.refresh()
        if isinstance(result, returns.result.Failure):
            return _failure(_register.UNKNOWN, result.failure().detail)
        outcome = judge(self._folded, change)
        if outcome is None:
            return _failure(_register.UNKNOWN, 'the written slot is absent')
        if outcome.accepted:
            self._write_snapshot_if_due()
        return returns.result.Success(outcome)

    def _write_snapshot_if_due(self):
        """Write the snapshot; a failure leaves it to the next change."""
        folded = self._folded
        if folded.version < self._head.snapshot + self._snapshot_every:
            return
        value = self._blocking(encode_snapshot, self._fold, folded)
        result = self._register.change(
            SNAPSHOT_KEY, lambda current: replace_snapshot(current, value)
        )
        if isinstance(result, returns.result.Failure):
            kernel.emit(
                _events.SNAPSHOT_FAILED, detail=result.failure().detail
            )
            return
        floor = 0
        if self._delete is not None:
            floor = floor_for(folded.version, self._kept_slots)
        wanted = Head(folded.version, floor)
        result = self._register.change(
            HEAD_KEY,
            lambda current: _encode_head(
                raise_head(_decode_head(current), wanted)
            ),
        )
        if isinstance(result, returns.result.Success):
            self._head = _decode_head(result.unwrap().value)


def _failure(kind, detail):
    return returns.result.Failure(_register.RegisterError(kind, detail))
