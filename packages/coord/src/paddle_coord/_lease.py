"""Lease with fencing number on one register, and sends guarded by it.

The transition functions at the top are pure; the model checker runs them.

Safety argument: the holder may send until ``duration - guard`` after the clock
reading that it took before sending its last confirmed change. A contender
starts its wait only after it has read the value written by this change, which
is later, and its wait is longer even if its clock runs fast by the assumed
drift. Its change succeeds only if the value is still the observed one, so a
renewal in between restarts the wait.
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
# Covers the time from the check to the write, and the rounding of clocks.
GUARD_MS = 500
# Quartz clocks drift by far less than 0.1%; 1% also covers slewing by NTP.
DRIFT_PERMILLE = 10
# A guarded send is aborted after this time, so that nothing arrives later.
IN_FLIGHT_LIMIT_MS = 1_000
PERMILLE = 1_000
# With three renewals per duration, one may fail without a takeover.
RENEWALS_PER_DURATION = 3

NOT_SENT = 'not_sent'


@attrs.frozen
class LeaseValue:
    """Value of the register.

    ``holder`` identifies one run of a process, ``None`` after a release.
    ``renewals`` changes with each renewal, so that contenders notice it.
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
    """Durations of the lease and the largest drift between two clocks."""

    duration_ms: int = DURATION_MS
    guard_ms: int = GUARD_MS
    drift_permille: int = DRIFT_PERMILLE
    in_flight_ms: int = IN_FLIGHT_LIMIT_MS

    def right_ends_ms(self, sent_ms):
        """Return the lease end for a change sent at ``sent_ms``."""
        return sent_ms + self.duration_ms - self.guard_ms

    def wait_ms(self, value):
        """Return how long a contender must observe ``value`` unchanged.

        Nobody holds a released lease, but messages that were sent before the
        release may still be in flight.
        """
        if value is None:
            return 0
        if value.holder is None:
            return self._with_drift(self.in_flight_ms) + self.guard_ms
        return self.takeover_ms

    @property
    def takeover_ms(self):
        """Wait of a contender for a lease that is held."""
        return self._with_drift(self.duration_ms) + self.in_flight_ms

    def _with_drift(self, duration_ms):
        """Return ``duration_ms`` as measured by the fastest clock."""
        return -(-duration_ms * (PERMILLE + self.drift_permille) // PERMILLE)


@attrs.frozen
class LeaseState:
    """State of one process; times are on its own monotonic clock.

    ``valid_until_ms`` is the time until which it may send with ``number``.
    ``observed`` is the last value read, unchanged since ``observed_at_ms``.
    """

    number: int = 0
    valid_until_ms: int | None = None
    observed: LeaseValue | None = None
    observed_at_ms: int | None = None


def take_over(value, observed, holder):
    """Return the value that makes ``holder`` the successor of ``observed``."""
    if value != observed:
        return _register.Reject('the lease changed after it was read')
    number = 0 if value is None else value.number
    return LeaseValue(holder, number + 1, 0)


def renew(value, holder):
    """Return the renewed value, or a rejection after a takeover."""
    if value is None or value.holder != holder:
        return _register.Reject('the lease has another holder')
    return attrs.evolve(value, renewals=value.renewals + 1)


def give_back(value, holder):
    """Return the value of a released lease; the number stays."""
    if value is None or value.holder != holder:
        return _register.Reject('the lease has another holder')
    return attrs.evolve(value, holder=None)


def observe(state, value, read_at_ms):
    """Return the state after a read that ended at ``read_at_ms``."""
    if state.observed_at_ms is not None and state.observed == value:
        return state
    return attrs.evolve(state, observed=value, observed_at_ms=read_at_ms)


def may_take_over(state, now_ms, timing):
    """Return whether the value stayed unchanged for the whole wait."""
    if state.observed_at_ms is None:
        return False
    return now_ms >= state.observed_at_ms + timing.wait_ms(state.observed)


def confirm(state, value, sent_ms, now_ms, timing):
    """Return the state after an own change to ``value`` was confirmed."""
    return LeaseState(
        number=value.number,
        valid_until_ms=timing.right_ends_ms(sent_ms),
        observed=value,
        observed_at_ms=now_ms,
    )


def without_validity(state):
    """Return the state in which the lease is not held."""
    return attrs.evolve(state, valid_until_ms=None)


def held_number(state, now_ms):
    """Return the fencing number, ``None`` when the lease is not held."""
    if state.valid_until_ms is None or now_ms >= state.valid_until_ms:
        return None
    return state.number


class Lease:
    """Acquires, renews and releases one lease.

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
        """Return the remaining time of the lease, 0 when not held."""
        now_ms = self._clock.now_ms()
        if held_number(self._state, now_ms) is None:
            return 0
        return self._state.valid_until_ms - now_ms

    def tick(self):
        """Renew, observe or take over, as due; return :meth:`number`.

        A change with an unknown outcome neither acquires nor extends the
        lease. The next tick resolves it by a read or another renewal.
        """
        if self._released:
            return None
        number_before = self.number()
        if number_before is not None or self.observed_holder == self._holder:
            self._renew()
        else:
            self._contend()
        self._log_change(number_before, self.number())
        return self.number()

    def release(self):
        """Release the lease; sends are refused before the change is sent."""
        self._released = True
        is_held = self.observed_holder == self._holder
        self._state = without_validity(self._state)
        if not is_held:
            return
        self._change(lambda value: give_back(value, self._holder))
        kernel.emit(_events.LEASE_RELEASED, number=self._state.number)

    def dump(self):
        """Return plain data for the state dump."""
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
        now_ms = self._clock.now_ms()
        period_ms = self.timing.duration_ms // RENEWALS_PER_DURATION
        if self.number() is not None and now_ms < self._sent_ms + period_ms:
            return
        change = self._change(lambda value: renew(value, self._holder))
        if change is not None and not change.applied:
            self._state = without_validity(self._state)
            self._observe(change.value)

    def _contend(self):
        result = self._register.quick_read(self._key)
        if not isinstance(result, returns.result.Success):
            return
        self._observe(result.unwrap())
        if self.observed_holder == self._holder:
            # An earlier takeover with an unknown outcome was applied.
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
        """Apply ``function``; the lease time counts from before the send."""
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
                # The lease was released while this change was in flight.
                return change
            self._sent_ms = sent_ms
            self._state = confirm(
                self._state, value, sent_ms, self._clock.now_ms(), self.timing
            )
        return change

    def _log_change(self, number_before, number_after):
        if number_before is None and number_after is not None:
            kernel.emit(_events.LEASE_TAKEN, number=number_after)
        elif number_before is not None and number_after is None:
            kernel.emit(_events.LEASE_LOST, number=number_before)


def _encoded(function, data):
    new = function(LeaseValue.from_bytes(data))
    return new if isinstance(new, _register.Reject) else new.to_bytes()


@attrs.frozen
class SendError:
    """Failure of a guarded send.

    ``kind`` is ``not_sent`` (certainly no byte was sent) or ``unknown``.
    """

    kind: str
    detail: str


def guarded_send(lease, connect, send, in_flight_ms):
    """Send if the lease is held; check this directly before the write.

    ``connect()`` opens a new connection with ``close()``.
    ``send(conn, number, timeout_ms)`` writes one message and returns the
    answer. Both raise ``OSError`` on failure. The send is aborted after
    ``in_flight_ms`` and the connection is closed, since the next lease holder
    relies on nothing arriving later. Returns ``Success(answer)`` or
    ``Failure(SendError)``. A send is never repeated.
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
        return _send_failure(
            _register.UNKNOWN, 'no answer within the time limit'
        )
    finally:
        conn.close()


def _send_failure(kind, detail):
    return returns.result.Failure(SendError(kind, detail))
