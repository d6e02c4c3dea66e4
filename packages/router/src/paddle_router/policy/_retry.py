"""Decide which requests to retry after a failure, within a retry budget."""

import collections
import enum

import attrs

# Retries are at most 10% of the requests; see docs/design.md section 4.
RETRY_RATIO = 0.1
# Allows some retries to a daemon with little traffic.
MIN_RETRIES_PER_S = 0.5
MAX_BALANCE_RETRIES = 100.0
MAX_ATTEMPTS = 3
MS_PER_S = 1_000


class RetryBudget:
    """Token bucket that limits retries to a ratio of the requests.

    Only the requests of this daemon count.
    """

    def __init__(
        self,
        *,
        ratio=RETRY_RATIO,
        min_retries_per_s=MIN_RETRIES_PER_S,
        max_balance=MAX_BALANCE_RETRIES,
        balance=1.0,
        now_ms=0,
    ):
        self._ratio = ratio
        self._max_balance = max_balance
        self._min_retries_per_s = min_retries_per_s
        self._balance = balance
        self._updated_ms = now_ms

    def record_request(self):
        """Record a first attempt."""
        self._balance = min(self._max_balance, self._balance + self._ratio)

    @property
    def available(self):
        """Whether the budget allows a retry now."""
        return self._balance >= 1 - 1e-9

    def limit(self, max_balance):
        """Set the largest number of retries that can be saved up."""
        self._max_balance = max_balance
        self._balance = min(self._balance, max_balance)

    def take(self, now_ms):
        """Take one retry from the budget; return whether it was allowed."""
        passed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = now_ms
        if self._balance < 1:
            refill = passed_ms * self._min_retries_per_s / MS_PER_S
            self._balance = min(1.0, self._balance + refill)
        # Tolerance: ten times 0.1 is slightly less than 1 in floating point.
        if self._balance < 1 - 1e-9:
            return False
        self._balance -= 1
        return True


class WindowBudget:
    """Limits retries within a sliding window.

    Allowed are ``ratio`` times the requests of this process in the window plus
    ``slack``, its share of a number that many processes share. In its first
    window a process gets only the fraction ``start_ratio`` of the slack, since
    its predecessor may have used some of it.

    A window, unlike a small balance, allows the many retries that are needed
    when all cheap servers of a failure domain leave at the same time: after
    some seconds without a retry, many streams must continue on other servers
    within a second.
    """

    def __init__(self, *, ratio, slack, window_ms, start_ratio, now_ms):
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._start_ratio = start_ratio
        self._started_ms = now_ms
        self._requests_ms = collections.deque()
        self._retries_ms = collections.deque()

    def record_request(self, now_ms):
        """Record a first attempt."""
        self._requests_ms.append(now_ms)
        self._expire(now_ms)

    def limit(self, slack):
        """Set this process's share of the shared number of retries."""
        self._slack = slack

    def is_available(self, now_ms):
        """Whether the budget allows a retry now."""
        self._expire(now_ms)
        slack = self._slack
        if now_ms - self._started_ms < self._window_ms:
            slack *= self._start_ratio
        return len(self._retries_ms) + 1 <= (
            self._ratio * len(self._requests_ms) + slack + 1e-9
        )

    def take(self, now_ms):
        """Take one retry from the budget; return whether it was allowed."""
        if not self.is_available(now_ms):
            return False
        self._retries_ms.append(now_ms)
        return True

    def _expire(self, now_ms):
        limit_ms = now_ms - self._window_ms
        for times in (self._requests_ms, self._retries_ms):
            while times and times[0] <= limit_ms:
                times.popleft()


class Action(enum.Enum):
    """What to do after a failed attempt."""

    RETRY = 'retry'
    RESUME = 'resume'
    REFUSE_NOT_RUN = 'refuse_not_run'
    ANSWER_UNKNOWN = 'answer_unknown'
    ERROR_EVENT = 'error_event'
    DROP = 'drop'


@attrs.frozen(kw_only=True)
class Attempt:
    """State of a failed attempt.

    ``was_sent`` is true if any byte may have been sent to the backend server.
    ``events_delivered`` counts the events forwarded to the caller.
    """

    idempotent: bool
    was_sent: bool
    events_delivered: int = 0
    engine_can_resume: bool = False
    attempts: int = 1
    caller_present: bool = True
    is_late: bool = False


def decide(attempt, budget, now_ms):
    """Return the :class:`Action` for ``attempt``; may use up ``budget``.

    A request that is not idempotent is never sent twice. A late request, one
    whose response would no longer be useful to its class, is not retried,
    since the work would be wasted.
    """
    if not attempt.caller_present:
        return Action.DROP
    if not attempt.idempotent and attempt.was_sent:
        return Action.ANSWER_UNKNOWN
    may_retry = attempt.attempts < MAX_ATTEMPTS and not attempt.is_late
    if attempt.events_delivered:
        if attempt.engine_can_resume and may_retry and budget.take(now_ms):
            return Action.RESUME
        return Action.ERROR_EVENT
    if may_retry and budget.take(now_ms):
        return Action.RETRY
    if attempt.was_sent:
        return Action.ANSWER_UNKNOWN
    return Action.REFUSE_NOT_RUN
