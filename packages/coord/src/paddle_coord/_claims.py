"""Claims of non-idempotent requests.

A request runs only after its claim is durable. Each claim is stored in one
register; the functions that change it are pure, and the model checker calls
the same ones.

A record goes from absent to ``claimed`` and from there to ``done`` or
``unknown``, which are final, or back to absent when its owner is certain that
nothing was sent. Wall-clock times in a record are compared across processes.
A skewed clock can only turn a claim into ``unknown`` too early, which is
always a correct answer.
"""

import hashlib
import urllib.parse
import uuid

import attrs
import cattrs.preconf.json
import returns.result

from paddle_coord import _events
from paddle_coord import _register
import paddle_kernel as kernel

KEY_PREFIX = 'claim/'
RETENTION_MS = 24 * 60 * 60 * 1_000
MAX_BODY_BYTES = 64 * 1024

GRANTED = 'granted'
NOT_RUN = 'not_run'
DONE = 'done'
UNKNOWN = 'unknown'
CLAIMED = 'claimed'

# Reasons of an outcome.
FREE = 'free'
IN_PROGRESS = 'in_progress'
EXPIRED = 'expired'
OTHER_REQUEST = 'other_request'
REGISTER = 'register'
RELEASED = 'released'
RECORDED = 'recorded'

_converter = cattrs.preconf.json.make_converter(forbid_extra_keys=True)


class ClaimError(RuntimeError):
    """A claim was misused, for example released after sending."""


@attrs.frozen
class Answer:
    """Answer of the backend server that is replayed to a resend.

    ``body`` is ``None`` when it was too long to be kept.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = b''

    @classmethod
    def from_response(cls, status, headers, body):
        """Return the answer; without a body over :data:`MAX_BODY_BYTES`."""
        kept = body if len(body) <= MAX_BODY_BYTES else None
        return cls(status, tuple(headers), kept)


@attrs.frozen
class ClaimRecord:
    """Value of a claim register. Times are wall-clock milliseconds."""

    state: str
    token: str
    owner: str
    request_digest: str
    deadline_wall_ms: int
    answer: Answer | None = None


@attrs.frozen
class Claim:
    """A granted claim, held by the process that may send the request.

    ``deadline_ms`` is on the monotonic clock of the holder.
    """

    key: str
    token: str
    deadline_ms: int


@attrs.frozen(kw_only=True)
class ClaimOutcome:
    """Outcome of a request as reported to the caller.

    ``outcome`` is ``granted`` (with ``claim``), ``not_run``, ``done`` (with
    ``answer``) or ``unknown``. ``retry_after_ms`` is set while the owner of
    the claim may still be working.
    """

    outcome: str
    reason: str
    claim: Claim | None = None
    answer: Answer | None = None
    retry_after_ms: int | None = None


def encode(record):
    """Return the register value of ``record``."""
    return _converter.dumps(record).encode()


def decode(value):
    """Return the :class:`ClaimRecord` held in a register value, or None."""
    return None if value is None else _converter.loads(value, ClaimRecord)


def register_key(customer, key):
    """Return the register key of an ``Idempotency-Key`` of a customer."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f'{KEY_PREFIX}{urllib.parse.quote(customer, safe="")}/{digest}'


def take(current, wanted, wall_ms):
    """Claim an absent key; turn an expired claim into an unknown outcome.

    Returns the next record or a rejection. The register may evaluate this
    more than once, so an own record is left unchanged: another process may
    have turned it into an unknown outcome since the first evaluation.
    """
    if current is None:
        return wanted
    if current.token == wanted.token:
        return current
    if is_expired(current, wall_ms):
        return attrs.evolve(current, state=UNKNOWN)
    return _register.Reject(current.state)


def give_back(current, token):
    """Delete the claim of ``token`` if it is still open."""
    if current is None or current.token != token or current.state != CLAIMED:
        return _register.Reject('the claim is not open')
    return None


def finish(current, token, answer, wall_ms):
    """Record the answer; an unknown outcome if it is missing or too late."""
    if current is None or current.token != token or current.state != CLAIMED:
        return _register.Reject('the claim is not open')
    if answer is None or is_expired(current, wall_ms):
        return attrs.evolve(current, state=UNKNOWN)
    return attrs.evolve(current, state=DONE, answer=answer)


def is_expired(record, wall_ms):
    """Return whether an open claim is past its deadline."""
    return record.state == CLAIMED and wall_ms > record.deadline_wall_ms


def is_collectable(record, wall_ms):
    """Return whether the retention time of a record has passed."""
    return wall_ms > record.deadline_wall_ms + RETENTION_MS


def describe(record, wanted, wall_ms):
    """Return the outcome for the request ``wanted`` given a record.

    Only a recorded unknown outcome is reported as final. A claim past its
    deadline that is not yet marked as unknown may still be completed or
    released by its owner, so the caller has to retry.
    """
    if record.request_digest != wanted.request_digest:
        return ClaimOutcome(outcome=NOT_RUN, reason=OTHER_REQUEST)
    if record.state == DONE:
        return ClaimOutcome(
            outcome=DONE, reason=RECORDED, answer=record.answer
        )
    if record.state == UNKNOWN:
        return ClaimOutcome(outcome=UNKNOWN, reason=EXPIRED)
    return ClaimOutcome(
        outcome=UNKNOWN,
        reason=IN_PROGRESS,
        retry_after_ms=max(record.deadline_wall_ms - wall_ms, 0) + 1,
    )


def _adapt_to_bytes(function, *args):
    """Return a change function on register values for one on records."""

    def change(value):
        new = function(decode(value), *args)
        if isinstance(new, ClaimRecord):
            return encode(new)
        return new

    return change


class ClaimBook:
    """Claims of one process.

    ``owner`` identifies this run of the process. ``keys(prefix)`` and
    ``delete(key, function)`` are those of the replicated register and are
    only needed by :meth:`collect`.
    """

    def __init__(self, register, clock, owner, *, keys=None, delete=None):
        self._register = register
        self._clock = clock
        self._owner = owner
        self._keys = keys
        self._delete = delete
        # Tokens of granted claims that were neither sent nor released yet.
        self._unsent = set()

    def claim(self, customer, key, request_digest, deadline_ms):
        """Claim a request; return a :class:`ClaimOutcome`.

        ``deadline_ms`` is the monotonic time by which the backend server has
        to have answered.
        """
        claim = Claim(
            register_key(customer, key), uuid.uuid4().hex, deadline_ms
        )
        wanted = ClaimRecord(
            state=CLAIMED,
            token=claim.token,
            owner=self._owner,
            request_digest=request_digest,
            deadline_wall_ms=self._clock.wall_ms()
            + deadline_ms
            - self._clock.now_ms(),
        )
        result = self._register.change(
            claim.key, _adapt_to_bytes(take, wanted, self._clock.wall_ms())
        )
        if isinstance(result, returns.result.Failure):
            return self._resolve_failed_claim(claim, wanted, result.failure())
        return self._resolve_outcome(claim, wanted, result.unwrap().value)

    def may_send(self, claim):
        """Return True once, before the deadline, for a granted claim.

        Call it directly before the first byte is sent; after that the claim
        cannot be released.
        """
        if claim.token not in self._unsent:
            return False
        if self._clock.now_ms() >= claim.deadline_ms:
            return False
        self._unsent.discard(claim.token)
        return True

    def release(self, claim):
        """Release a claim for which certainly no byte was sent.

        The outcome is ``not_run`` even if the register cannot be changed: a
        resend is then answered with the open claim and, after its deadline,
        with an unknown outcome.

        :raises ClaimError: if the claim was sent or released before.
        """
        if claim.token not in self._unsent:
            raise ClaimError(
                f'{claim.key}: the claim was sent or released; complete it'
            )
        self._unsent.discard(claim.token)
        result = self._release_record(claim)
        if isinstance(result, returns.result.Failure):
            kernel.emit(_events.CLAIM_NOT_RELEASED, key=claim.key)
            return ClaimOutcome(outcome=NOT_RUN, reason=REGISTER)
        return ClaimOutcome(outcome=NOT_RUN, reason=RELEASED)

    def complete(self, claim, answer):
        """Record the answer of a sent request; ``None`` means unknown.

        Returns ``Success(ClaimOutcome)`` with the recorded outcome or
        ``Failure(RegisterError)``; the call may be repeated after a failure.
        An answer after the deadline is recorded as unknown, since other
        processes may already have reported it as unknown.
        """
        self._unsent.discard(claim.token)
        result = self._register.change(
            claim.key,
            _adapt_to_bytes(
                finish, claim.token, answer, self._clock.wall_ms()
            ),
        )
        return result.map(_recorded_outcome)

    def collect(self):
        """Delete claims whose retention time has passed.

        Returns ``Success(number of deleted keys)`` or the first ``Failure``;
        what is left over is deleted by the next call. ``delete`` is given a
        change function, so that a claim taken after another process
        collected the old one is not deleted.
        """
        listed = self._keys(KEY_PREFIX)
        if isinstance(listed, returns.result.Failure):
            return listed
        deleted = 0
        for key in listed.unwrap():
            result = self._collect_key(key)
            if isinstance(result, returns.result.Failure):
                return result
            deleted += result.unwrap()
        return returns.result.Success(deleted)

    def _collect_key(self, key):
        wall_ms = self._clock.wall_ms()

        def remove(value):
            if value is None or is_collectable(decode(value), wall_ms):
                return None
            return _register.Reject('the retention time has not passed')

        # Most claims are not due; a read is cheaper than a rejected change.
        current = self._register.read(key)
        if isinstance(current, returns.result.Failure):
            return current
        record = decode(current.unwrap())
        if record is not None and not is_collectable(record, wall_ms):
            return returns.result.Success(0)
        return self._delete(key, remove).map(int)

    def _resolve_outcome(self, claim, wanted, value):
        record = decode(value)
        is_own = record is not None and record.token == claim.token
        if is_own and record.state == CLAIMED:
            self._unsent.add(claim.token)
            return ClaimOutcome(outcome=GRANTED, reason=FREE, claim=claim)
        return describe(record, wanted, self._clock.wall_ms())

    def _resolve_failed_claim(self, claim, wanted, error):
        if error.kind == _register.NOT_WRITTEN:
            return ClaimOutcome(outcome=NOT_RUN, reason=REGISTER)
        # The claim may exist or appear later. Its request is never sent, so it
        # is released; only a decided release proves that nothing was run.
        result = self._release_record(claim)
        if isinstance(result, returns.result.Failure):
            kernel.emit(_events.CLAIM_NOT_RELEASED, key=claim.key)
            return ClaimOutcome(
                outcome=UNKNOWN,
                reason=REGISTER,
                retry_after_ms=wanted.deadline_wall_ms
                - self._clock.wall_ms()
                + 1,
            )
        record = decode(result.unwrap().value)
        if record is None or record.token == claim.token:
            return ClaimOutcome(outcome=NOT_RUN, reason=RELEASED)
        return describe(record, wanted, self._clock.wall_ms())

    def _release_record(self, claim):
        return self._register.change(
            claim.key, _adapt_to_bytes(give_back, claim.token)
        )


def _recorded_outcome(change):
    record = decode(change.value)
    if record is not None and record.state == DONE:
        return ClaimOutcome(
            outcome=DONE, reason=RECORDED, answer=record.answer
        )
    return ClaimOutcome(outcome=UNKNOWN, reason=EXPIRED)
