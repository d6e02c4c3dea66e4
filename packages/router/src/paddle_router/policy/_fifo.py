"""Baseline scheduler: first come, first served."""

import collections

from paddle_router.policy import _hooks

DEFAULT_RETRY_AFTER_MS = 1_000


@_hooks.schedulers.register('fifo')
class FifoScheduler:
    """A single bounded queue without tiers, shares or deadlines."""

    def __init__(self, *, capacity=1_000, classes=None, customer_weights=None):
        self._capacity = capacity
        self._queue = collections.OrderedDict()

    def offer(self, ticket, now_ms):
        if len(self._queue) >= self._capacity:
            return (
                _hooks.Refusal(
                    ticket, _hooks.OVERFLOW, DEFAULT_RETRY_AFTER_MS
                ),
            )
        self._queue[ticket] = None
        return ()

    def next(self, free_slots, now_ms):
        count = min(free_slots, len(self._queue))
        return _hooks.SchedulingDecision(
            [self._queue.popitem(last=False)[0] for _ in range(count)]
        )

    def remove(self, ticket):
        return self._queue.pop(ticket, self) is not self

    def served(self, ticket, tokens, done=True, now_ms=None):
        pass

    def apply(self, classes, customer_weights):
        pass

    def retry_after_ms(self, class_name, tier):
        return DEFAULT_RETRY_AFTER_MS

    def dump(self):
        return {'queued': len(self._queue)}
