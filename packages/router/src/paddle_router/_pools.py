"""Engines that hold one model, with the queue in front of them."""

import collections
import math

import attrs

from paddle_router import _instances
from paddle_router import policy


# Time constant of the mean number of requests per tier; a burst of a higher
# tier is remembered for about this long.
MEAN_MS = 10_000
# Below this mean a tier counts as unused.
LEAST_MEAN = 0.05


class TierLoad:
    """Requests per tier, and the slots to keep free for higher tiers.

    A daemon has only a few of the slots of each engine. If a burst of a lower
    tier took all of them, a request of a higher tier would wait for one of
    few long answers to end, since nothing running is preempted.
    """

    def __init__(self):
        self.waiting = collections.Counter()
        self.running = collections.Counter()
        self._means = collections.defaultdict(float)
        self._updated_ms = None

    def update(self, now_ms):
        """Advance the means to ``now_ms``; called periodically."""
        before, self._updated_ms = self._updated_ms, now_ms
        if before is None:
            return
        gain = 1 - math.exp(-(now_ms - before) / MEAN_MS)
        for tier in set(self._means) | set(self.waiting) | set(self.running):
            present = self.waiting[tier] + self.running[tier]
            self._means[tier] += gain * (present - self._means[tier])

    def highest_waiting(self):
        """Return the highest tier with a waiting request or ``None``."""
        return min(
            (tier for tier, count in self.waiting.items() if count),
            default=None,
        )

    def reserved(self, tier, slots):
        """Return how many more slots to keep free for tiers above ``tier``.

        The mean and one standard deviation of their requests, at most half
        of all ``slots``, less what they use already.
        """
        mean = sum(
            value for other, value in self._means.items() if other < tier
        )
        if mean < LEAST_MEAN:
            return 0
        wanted = max(1, round(mean + math.sqrt(mean)))
        used = sum(
            count for other, count in self.running.items() if other < tier
        )
        return max(0, min(wanted, slots // 2) - used)


@attrs.define(eq=False)
class Pool:
    """Queue, balancer and engines of one model.

    ``unplaced`` holds tickets that the scheduler started but for which the
    balancer had no engine.
    """

    model: str
    scheduler: object
    balancer: object
    engines: tuple = ()
    instances: dict = attrs.field(factory=dict)
    waiting: set = attrs.field(factory=set)
    running: set = attrs.field(factory=set)
    unplaced: list = attrs.field(factory=list)
    load: TierLoad = attrs.field(factory=TierLoad)

    def enter(self, waiter):
        """Add a waiting request."""
        self.waiting.add(waiter)
        self.load.waiting[waiter.ticket.tier] += 1

    def leave(self, waiter):
        """Remove a waiting request."""
        if waiter in self.waiting:
            self.waiting.discard(waiter)
            self.load.waiting[waiter.ticket.tier] -= 1

    def begin(self, slot):
        """Add a running request."""
        self.running.add(slot)
        self.load.running[slot.ticket.tier] += 1

    def end(self, slot):
        """Remove a running request."""
        if slot in self.running:
            self.running.discard(slot)
            self.load.running[slot.ticket.tier] -= 1

    def open_slots(self):
        """Return how many slots the waiting requests may use now."""
        free = self.balancer.free_slots() - len(self.unplaced)
        tier = self.load.highest_waiting()
        if free <= 0 or tier is None:
            return 0
        slots = self.balancer.free_slots() + len(self.running)
        return max(0, free - self.load.reserved(tier, slots))

    @property
    def demand(self):
        """Number of requests waiting and running."""
        return len(self.waiting) + len(self.running)

    def sync(self, engines, instances, now_ms):
        """Use another list of engines."""
        self.engines = tuple(item for item in engines if not item.leaving)
        self.instances = instances
        self.balancer.sync(engines, now_ms)


def split_slots(slots, demands):
    """Divide the slots of one engine among its models by demand.

    Every model gets at least one slot if there are enough. Returns a list in
    the order of ``demands``; its sum is at most ``slots``, so that models on
    one engine do not overcommit it together.
    """
    count = len(demands)
    if slots < count:
        order = sorted(range(count), key=lambda index: -demands[index])
        return [1 if order.index(i) < slots else 0 for i in range(count)]
    spare = slots - count
    total = sum(demands) + count
    parts = [1 + spare * (demand + 1) // total for demand in demands]
    largest = max(range(count), key=lambda index: demands[index])
    parts[largest] += slots - sum(parts)
    return parts


def engines_by_model(instances, demand_of):
    """Return ``{model: [(policy.Engine, Instance)]}`` of the list.

    ``demand_of(model)`` tells how engines with several models are divided.
    """
    result = {}
    for item in instances:
        usable = item.state in (_instances.LIVE, _instances.LEAVING)
        if item.kind != _instances.ENGINE or not usable or not item.models:
            continue
        parts = split_slots(
            item.slots, [demand_of(model) for model in item.models]
        )
        for model, slots in zip(item.models, parts, strict=True):
            engine = policy.Engine(
                id=item.id,
                failure_domain=item.failure_domain,
                slots=slots,
                cheap=item.cheap,
                leaving=item.state == _instances.LEAVING,
                can_resume=item.can_resume,
            )
            result.setdefault(model, []).append((engine, item))
    return result
