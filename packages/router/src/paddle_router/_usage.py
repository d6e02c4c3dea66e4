"""Metering of usage per window, customer and class.

Counts of a window are cumulative for this incarnation of the daemon, so that
writing them again or a second time changes nothing.
"""

import collections
import uuid

import attrs

import paddle_kernel
from paddle_router import _events

# Windows stay in memory for this many window lengths after their end, so
# that a failed flush can be repeated.
KEPT_WINDOWS = 10


@attrs.define
class Counts:
    """Cumulative counts of one customer and class."""

    requests: int = 0
    prompt_tokens: int = 0
    generated_tokens: int = 0


class UsageMeter:
    """Counts usage; ``ledger`` makes it durable and may be ``None``."""

    def __init__(self, clock, window_ms, ledger=None):
        self._clock = clock
        self._window_ms = window_ms
        self._windows = {}
        self._unsent = set()
        self.ledger = ledger
        self.incarnation = uuid.uuid4().hex

    def window_at(self, wall_ms):
        """Return the name of the window that contains ``wall_ms``."""
        start = wall_ms - wall_ms % self._window_ms
        return str(start)

    def add(self, customer, class_name, prompt_tokens, generated_tokens):
        """Count one ended request in the present window."""
        window = self.window_at(self._clock.wall_ms())
        counts = self._windows.setdefault(
            window, collections.defaultdict(Counts)
        )[customer, class_name]
        counts.requests += 1
        counts.prompt_tokens += prompt_tokens
        counts.generated_tokens += generated_tokens
        self._unsent.add(window)

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
        for window in sorted(self._unsent):
            self._unsent.discard(window)
            if not self.ledger(window, self.counts(window)):
                # New counts may have been added meanwhile; both are kept.
                self._unsent.add(window)
                paddle_kernel.emit(_events.USAGE_NOT_FLUSHED, window=window)
        self._forget_old()
        return not self._unsent

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'windows': sorted(self._windows),
            'unsent': sorted(self._unsent),
        }

    def _forget_old(self):
        now_ms = self._clock.wall_ms()
        for window in list(self._windows):
            age = now_ms - int(window)
            if window not in self._unsent and (
                age > KEPT_WINDOWS * self._window_ms
            ):
                del self._windows[window]
