"""Usage metering per time window, customer and class.

The counts of a window are cumulative for this incarnation of the daemon, so
writing them is idempotent.
"""

import collections
import uuid

import attrs

import paddle_kernel
from paddle_router import _events

# Windows stay in memory for this many window lengths, so that a failed flush
# can be repeated.
RETENTION_WINDOWS = 10


@attrs.define
class Counts:
    """Cumulative counts of one customer and class."""

    requests: int = 0
    prompt_tokens: int = 0
    generated_tokens: int = 0


class UsageMeter:
    """Counts usage.

    ``ledger(window, counts)`` stores the counts durably and returns whether it
    succeeded; it may be ``None``.
    """

    def __init__(self, clock, window_ms, ledger=None):
        self._clock = clock
        self._window_ms = window_ms
        self._windows = {}
        self._unflushed = set()
        self.ledger = ledger
        self.incarnation = uuid.uuid4().hex

    def window_at(self, wall_ms):
        """Return the name of the window that contains ``wall_ms``."""
        start_ms = wall_ms - wall_ms % self._window_ms
        return str(start_ms)

    def add(self, customer, class_name, prompt_tokens, generated_tokens):
        """Add one ended request to the current window."""
        window = self.window_at(self._clock.wall_ms())
        counts = self._windows.setdefault(
            window, collections.defaultdict(Counts)
        )[customer, class_name]
        counts.requests += 1
        counts.prompt_tokens += prompt_tokens
        counts.generated_tokens += generated_tokens
        self._unflushed.add(window)

    def counts(self, window):
        """Return ``{customer: {class: counts}}`` of ``window``."""
        result = {}
        for (customer, name), counts in self._windows.get(window, {}).items():
            result.setdefault(customer, {})[name] = attrs.asdict(counts)
        return result

    def requests_in(self, window):
        """Return the number of requests counted in ``window``."""
        counts = self._windows.get(window, {}).values()
        return sum(item.requests for item in counts)

    def flush(self):
        """Write changed windows; return whether all were written."""
        if self.ledger is None:
            return True
        for window in sorted(self._unflushed):
            self._unflushed.discard(window)
            if not self.ledger(window, self.counts(window)):
                # The window stays marked, with any counts added meanwhile.
                self._unflushed.add(window)
                paddle_kernel.emit(_events.USAGE_NOT_FLUSHED, window=window)
        self._drop_expired()
        return not self._unflushed

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'windows': sorted(self._windows),
            'unsent': sorted(self._unflushed),
        }

    def _drop_expired(self):
        now_ms = self._clock.wall_ms()
        for window in list(self._windows):
            age_ms = now_ms - int(window)
            if window not in self._unflushed and (
                age_ms > RETENTION_WINDOWS * self._window_ms
            ):
                del self._windows[window]
