"""What may be tried again after a backend server failed, and how often."""

import collections
import enum

import attrs

# Source: docs/design.md section 4, retries are at most 10% of requests.
RETRY_RATIO = 0.1
# Lets a daemon with little traffic retry at all.
FLOOR_PER_S = 0.5
MAX_BALANCE = 100.0
MAX_ATTEMPTS = 3
MS_PER_S = 1_000


class RetryBudget:
    """Allows retries in proportion to the requests of this daemon."""

    def __init__(
        self,
        *,
        ratio=RETRY_RATIO,
        floor_per_s=FLOOR_PER_S,
        max_balance=MAX_BALANCE,
        balance=1.0,
        now_ms=0,
    ):
        self._ratio = ratio
        self._max_balance = max_balance
        self._floor_per_s = floor_per_s
        self._balance = balance
        self._updated_ms = now_ms

    def record_request(self):
        """Count one first attempt."""
        self._balance = min(self._max_balance, self._balance + self._ratio)

    @property
    def available(self):
        """Whether a retry can be afforded now."""
        return self._balance >= 1 - 1e-9

    def limit(self, max_balance):
        """Keep at most ``max_balance`` retries for later."""
        self._max_balance = max_balance
        self._balance = min(self._balance, max_balance)

    def take(self, now_ms):
        """Spend one retry; false when the budget is exhausted."""
        passed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = now_ms
        if self._balance < 1:
            refill = passed_ms * self._floor_per_s / MS_PER_S
            self._balance = min(1.0, self._balance + refill)
        # A tenth added ten times is slightly less than one.
        if self._balance < 1 - 1e-9:
            return False
        self._balance -= 1
        return True


class WindowBudget:
    """Allows repeats in proportion to the requests of a sliding window.

    ``ratio`` is the part of this process's own requests and ``slack`` its part
    of a number that many processes share. In its first window a process has
    only ``start_part`` of the slack, as the one before it may have used some.

    Load pattern it answers: all cheap servers of a domain leave at the same
    time, so that many streams have to go on elsewhere within a second, after
    some seconds without a repeat.
    """

    def __init__(self, *, ratio, slack, window_ms, start_part, now_ms):
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._start_part = start_part
        self._started_ms = now_ms
        self._requests = collections.deque()
        self._taken = collections.deque()

    def record_request(self, now_ms):
        """Count one first attempt."""
        self._requests.append(now_ms)
        self._end(now_ms)

    def limit(self, slack):
        """Use ``slack`` as the own part of the shared number."""
        self._slack = slack

    def is_available(self, now_ms):
        """Whether a repeat can be afforded now."""
        self._end(now_ms)
        slack = self._slack
        if now_ms - self._started_ms < self._window_ms:
            slack *= self._start_part
        return len(self._taken) + 1 <= (
            self._ratio * len(self._requests) + slack + 1e-9
        )

    def take(self, now_ms):
        """Spend one repeat; false when the budget is exhausted."""
        if not self.is_available(now_ms):
            return False
        self._taken.append(now_ms)
        return True

    def _end(self, now_ms):
        limit_ms = now_ms - self._window_ms
        for times in (self._requests, self._taken):
            while times and times[0] <= limit_ms:
                times.popleft()


class Action(enum.Enum):
    """What to do after an attempt failed."""

    RETRY = 'retry'
    RESUME = 'resume'
    REFUSE_NOT_RUN = 'refuse_not_run'
    ANSWER_UNKNOWN = 'answer_unknown'
    ERROR_EVENT = 'error_event'
    DROP = 'drop'


@attrs.frozen(kw_only=True)
class Attempt:
    """A failed attempt as the router knows it.

    ``was_sent`` is true once the first byte may have left for the backend
    server; ``events_delivered`` counts the events passed on to the caller.
    """

    idempotent: bool
    was_sent: bool
    events_delivered: int = 0
    engine_can_resume: bool = False
    attempts: int = 1
    caller_present: bool = True
    is_late: bool = False


def decide(attempt, budget, now_ms):
    """Return the :class:`Action` for ``attempt``; may spend ``budget``.

    A request that is not idempotent is never sent twice. A late one (past
    the useful time of its class) is not tried again, since the work would be
    wasted.
    """
    if not attempt.caller_present:
        return Action.DROP
    if not attempt.idempotent and attempt.was_sent:
        return Action.ANSWER_UNKNOWN
    may_repeat = attempt.attempts < MAX_ATTEMPTS and not attempt.is_late
    if attempt.events_delivered:
        if attempt.engine_can_resume and may_repeat and budget.take(now_ms):
            return Action.RESUME
        return Action.ERROR_EVENT
    if may_repeat and budget.take(now_ms):
        return Action.RETRY
    if attempt.was_sent:
        return Action.ANSWER_UNKNOWN
    return Action.REFUSE_NOT_RUN
