"""Lease with fencing number on one register, and sends guarded by it.

The transition functions at the top are pure; the model checker runs them.

Safety argument: the holder's right ends ``duration - guard`` after the time
taken before its last confirmed change was sent. A contender starts its wait
only after it has read the value that this change wrote, which is later, and
waits longer on its own clock even if that clock runs fast by the assumed
drift. Its change succeeds only while the value is still the observed one, so
a renewal in between restarts the wait.
"""

import json

import attrs
import gevent
import returns.result

from paddle_coord import _events
from paddle_coord import _register
import paddle_kernel as kernel

LEASE_KEY = 'lease/control'
DURATION_MS = 3_000
# Covers the time between the check and the write, and rounding of clocks.
GUARD_MS = 500
# Quartz clocks stay well below 0.1%; 1% also covers slewing by NTP.
DRIFT_PERMILLE = 10
# A guarded send is aborted after this time, so nothing arrives later.
IN_FLIGHT_MS = 1_000
PERMILLE = 1_000
# Three renewals fit into the duration, so one may fail without a takeover.
RENEWALS_PER_DURATION = 3

NOT_SENT = 'not_sent'


@attrs.frozen
class LeaseValue:
    """Value of the register.

    ``holder`` is the incarnation of the holder, ``None`` after a release.
    ``renewals`` makes each renewal visible to contenders.
    """

    holder: str | None
    number: int
    renewals: int

    def to_bytes(self):
        """Return the register's bytes."""
        fields = [self.holder, self.number, self.renewals]
        return json.dumps(fields, separators=(',', ':')).encode()

    @classmethod
    def from_bytes(cls, data):
        """Return the value in ``data``, ``None`` for an absent key."""
        return None if data is None else cls(*json.loads(data))


@attrs.frozen(kw_only=True)
class LeaseTiming:
    """Durations in ms; the drift is the largest between any two clocks."""

    duration_ms: int = DURATION_MS
    guard_ms: int = GUARD_MS
    drift_permille: int = DRIFT_PERMILLE
    in_flight_ms: int = IN_FLIGHT_MS

    def right_ends_ms(self, sent_ms):
        """Return when the right of a change sent at ``sent_ms`` ends."""
        return sent_ms + self.duration_ms - self.guard_ms

    def wait_ms(self, value):
        """Return how long a contender observes ``value`` unchanged.

        A released lease has no right left, but what was sent before the
        release may still be in flight.
        """
        if value is None:
            return 0
        if value.holder is None:
            return self._stretched(self.in_flight_ms) + self.guard_ms
        return self.takeover_ms

    @property
    def takeover_ms(self):
        """Wait of a contender for a lease that is held."""
        return self._stretched(self.duration_ms) + self.in_flight_ms

    def _stretched(self, duration_ms):
        """Return the reading of a fast clock after ``duration_ms``."""
        return -(-duration_ms * (PERMILLE + self.drift_permille) // PERMILLE)


@attrs.frozen
class LeaseState:
    """What one process knows; times are on its own monotonic clock.

    ``right_until_ms`` is the end of its right with ``number``; the value
    ``observed`` has not been seen to change since ``observed_at_ms``.
    """

    number: int = 0
    right_until_ms: int | None = None
    observed: LeaseValue | None = None
    observed_at_ms: int | None = None


def take_over(value, observed, holder):
    """Return the value with ``holder`` in charge of ``observed``."""
    if value != observed:
        return _register.Reject('the lease changed while it was observed')
    number = 0 if value is None else value.number
    return LeaseValue(holder, number + 1, 0)


def renew(value, holder):
    """Return the renewed value, or a rejection after a takeover."""
    if value is None or value.holder != holder:
        return _register.Reject('the lease has another holder')
    return attrs.evolve(value, renewals=value.renewals + 1)


def give_back(value, holder):
    """Return the value without holder; the number stays."""
    if value is None or value.holder != holder:
        return _register.Reject('the lease has another holder')
    return attrs.evolve(value, holder=None)


def observe(state, value, read_at_ms):
    """Return the state after ``value`` was read; the read has ended."""
    if state.observed_at_ms is not None and state.observed == value:
        return state
    return attrs.evolve(state, observed=value, observed_at_ms=read_at_ms)


def may_take_over(state, now_ms, timing):
    """Whether the observed value was unchanged for the whole wait."""
    if state.observed_at_ms is None:
        return False
    return now_ms >= state.observed_at_ms + timing.wait_ms(state.observed)


def confirm(state, value, sent_ms, now_ms, timing):
    """Return the state after the own change to ``value`` was confirmed."""
    return LeaseState(
        number=value.number,
        right_until_ms=timing.right_ends_ms(sent_ms),
        observed=value,
        observed_at_ms=now_ms,
    )


def drop_right(state):
    """Return the state without a right to send."""
    return attrs.evolve(state, right_until_ms=None)


def held_number(state, now_ms):
    """Return the fencing number, ``None`` when the right has ended."""
    if state.right_until_ms is None or now_ms >= state.right_until_ms:
        return None
    return state.number


class Lease:
    """Takes part in the contest for one lease.

    ``holder`` has to be unique for each start of a process. Call
    :meth:`tick` a few times per renewal period from one greenlet; the other
    methods may be called from any greenlet.
    """

    def __init__(self, register, clock, holder, *, timing=None, key=LEASE_KEY):
        self.timing = timing or LeaseTiming()
        self._register = register
        self._clock = clock
        self._holder = holder
        self._key = key
        self._state = LeaseState()
        self._sent_ms = None
        self._released = False

    def number(self):
        """Return the fencing number, ``None`` when not held."""
        return held_number(self._state, self._clock.now_ms())

    def remaining_ms(self):
        """Return how long the right lasts, 0 when not held."""
        now = self._clock.now_ms()
        if held_number(self._state, now) is None:
            return 0
        return self._state.right_until_ms - now

    def tick(self):
        """Renew, observe or take over, as due; return :meth:`number`.

        A change with unknown outcome grants nothing. The next tick finds out
        by a read or by a further renewal.
        """
        if self._released:
            return None
        before = self.number()
        if before is not None or self.observed_holder == self._holder:
            self._renew()
        else:
            self._contend()
        self._report(before, self.number())
        return self.number()

    def release(self):
        """Give the lease back; the right ends before the change is sent."""
        self._released = True
        held = self.observed_holder == self._holder
        self._state = drop_right(self._state)
        if not held:
            return
        self._change(lambda value: give_back(value, self._holder))
        kernel.emit(_events.LEASE_RELEASED, number=self._state.number)

    def dump(self):
        """Return the state for the state dump."""
        value = self._state.observed
        return {
            'number': self.number(),
            'remaining_ms': self.remaining_ms(),
            'observed_holder': value.holder if value else None,
            'observed_number': value.number if value else 0,
        }

    @property
    def observed_holder(self):
        """The holder last read from the register, ``None`` if released."""
        value = self._state.observed
        return None if value is None else value.holder

    def _renew(self):
        now = self._clock.now_ms()
        period = self.timing.duration_ms // RENEWALS_PER_DURATION
        if self.number() is not None and now < self._sent_ms + period:
            return
        change = self._change(lambda value: renew(value, self._holder))
        if change is not None and not change.applied:
            self._state = drop_right(self._state)
            self._observe(change.value)

    def _contend(self):
        result = self._register.quick_read(self._key)
        if not isinstance(result, returns.result.Success):
            return
        self._observe(result.unwrap())
        if self.observed_holder == self._holder:
            # An earlier takeover had an unknown outcome and was applied.
            self._renew()
        elif may_take_over(self._state, self._clock.now_ms(), self.timing):
            observed = self._state.observed
            change = self._change(
                lambda value: take_over(value, observed, self._holder)
            )
            if change is not None and not change.applied:
                self._observe(change.value)

    def _observe(self, data):
        value = LeaseValue.from_bytes(data)
        self._state = observe(self._state, value, self._clock.now_ms())

    def _change(self, function):
        """Apply ``function``; the right is counted from before sending."""
        sent_ms = self._clock.now_ms()
        result = self._register.change(
            self._key, lambda data: _encoded(function, data)
        )
        if not isinstance(result, returns.result.Success):
            return None
        change = result.unwrap()
        value = LeaseValue.from_bytes(change.value)
        if change.applied and value.holder == self._holder:
            if self._released:
                # The release dropped the right while this was on its way.
                return change
            self._sent_ms = sent_ms
            self._state = confirm(
                self._state, value, sent_ms, self._clock.now_ms(), self.timing
            )
        return change

    def _report(self, before, after):
        if before is None and after is not None:
            kernel.emit(_events.LEASE_TAKEN, number=after)
        elif before is not None and after is None:
            kernel.emit(_events.LEASE_LOST, number=before)


def _encoded(function, data):
    new = function(LeaseValue.from_bytes(data))
    return new if isinstance(new, _register.Reject) else new.to_bytes()


@attrs.frozen
class SendError:
    """A guarded send without an answer.

    ``kind`` is ``not_sent`` (provably nothing left this process) or
    ``unknown``.
    """

    kind: str
    detail: str


def guarded_send(lease, connect, send, in_flight_ms):
    """Send while the lease is held; the check precedes the write directly.

    ``connect()`` opens a new connection with ``close()``.
    ``send(conn, number, timeout_ms)`` writes one message and returns the
    answer. Both raise ``OSError`` on failure. The send is aborted after
    ``in_flight_ms`` and the connection closed, since a successor relies on
    nothing arriving later. Returns ``Success(answer)`` or
    ``Failure(SendError)``. There is never a second attempt.
    """
    try:
        conn = connect()
    except OSError as exc:
        return _send_failure(NOT_SENT, f'connection failed: {exc}')
    timeout = gevent.Timeout(in_flight_ms / kernel.MS_PER_S)
    try:
        with timeout:
            number = lease.number()
            if number is None:
                return _send_failure(NOT_SENT, 'the lease is not held')
            return returns.result.Success(send(conn, number, in_flight_ms))
    except OSError as exc:
        return _send_failure(_register.UNKNOWN, f'send failed: {exc}')
    except gevent.Timeout as exc:
        if exc is not timeout:
            raise
        return _send_failure(_register.UNKNOWN, 'no answer within the bound')
    finally:
        conn.close()


def _send_failure(kind, detail):
    return returns.result.Failure(SendError(kind, detail))
