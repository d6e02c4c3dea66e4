"""Engines that serve one model, and the queue of requests for it."""

import collections
import math

import attrs

from paddle_router import _instances
from paddle_router import policy


# Time constant of the exponential moving average of requests per tier. Slots
# stay reserved for about this long after a burst of a higher tier.
MEAN_TIME_CONSTANT_MS = 10_000
# A tier with a lower average counts as unused.
MIN_MEAN_REQUESTS = 0.05


class TierLoad:
    """Requests per tier, and the slots to reserve for higher tiers.

    A daemon has only a few of the slots of each engine, and running requests
    are not preempted. If a burst of a lower tier took all of them, a request
    of a higher tier would wait until one of a few long responses ends.
    """

    def __init__(self):
        self.waiting = collections.Counter()
        self.running = collections.Counter()
        self._means = collections.defaultdict(float)
        self._updated_ms = None

    def update(self, now_ms):
        """Update the moving averages; called periodically."""
        previous_ms, self._updated_ms = self._updated_ms, now_ms
        if previous_ms is None:
            return
        gain = 1 - math.exp(-(now_ms - previous_ms) / MEAN_TIME_CONSTANT_MS)
        for tier in set(self._means) | set(self.waiting) | set(self.running):
            current = self.waiting[tier] + self.running[tier]
            self._means[tier] += gain * (current - self._means[tier])

    def highest_waiting_tier(self):
        """Return the highest tier with a waiting request, or ``None``.

        A lower number is a higher tier.
        """
        return min(
            (tier for tier, count in self.waiting.items() if count),
            default=None,
        )

    def reserved_slots(self, tier, slots):
        """Return how many free slots to reserve for tiers above ``tier``.

        The target is the average number of their requests plus one standard
        deviation, at most half of all ``slots``. Slots that these tiers
        already use are subtracted.
        """
        mean = sum(
            value for other, value in self._means.items() if other < tier
        )
        if mean < MIN_MEAN_REQUESTS:
            return 0
        target = max(1, round(mean + math.sqrt(mean)))
        used = sum(
            count for other, count in self.running.items() if other < tier
        )
        return max(0, min(target, slots // 2) - used)


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
    tier_load: TierLoad = attrs.field(factory=TierLoad)

    def add_waiting(self, waiter):
        """Add a waiting request."""
        self.waiting.add(waiter)
        self.tier_load.waiting[waiter.ticket.tier] += 1

    def remove_waiting(self, waiter):
        """Remove a waiting request."""
        if waiter in self.waiting:
            self.waiting.discard(waiter)
            self.tier_load.waiting[waiter.ticket.tier] -= 1

    def add_running(self, slot):
        """Add a running request."""
        self.running.add(slot)
        self.tier_load.running[slot.ticket.tier] += 1

    def remove_running(self, slot):
        """Remove a running request."""
        if slot in self.running:
            self.running.discard(slot)
            self.tier_load.running[slot.ticket.tier] -= 1

    def available_slots(self):
        """Return how many free slots the waiting requests may use."""
        free = self.balancer.free_slots() - len(self.unplaced)
        tier = self.tier_load.highest_waiting_tier()
        if free <= 0 or tier is None:
            return 0
        slots = self.balancer.free_slots() + len(self.running)
        return max(0, free - self.tier_load.reserved_slots(tier, slots))

    @property
    def demand(self):
        """Number of waiting and running requests."""
        return len(self.waiting) + len(self.running)

    def sync(self, engines, instances, now_ms):
        """Apply a new list of engines."""
        self.engines = tuple(item for item in engines if not item.leaving)
        self.instances = instances
        self.balancer.sync(engines, now_ms)


def split_slots(slots, demands):
    """Divide the slots of one engine among its models by demand.

    Each model gets at least one slot if there are enough. Returns a list in
    the order of ``demands``. Its sum is at most ``slots``, so that the models
    together do not overcommit the engine.
    """
    count = len(demands)
    if slots < count:
        by_demand = sorted(range(count), key=lambda index: -demands[index])
        return [1 if by_demand.index(i) < slots else 0 for i in range(count)]
    spare = slots - count
    total = sum(demands) + count
    allocation = [1 + spare * (demand + 1) // total for demand in demands]
    largest = max(range(count), key=lambda index: demands[index])
    allocation[largest] += slots - sum(allocation)
    return allocation


def engines_by_model(instances, demand_of):
    """Return ``{model: [(policy.Engine, Instance)]}``.

    ``demand_of(model)`` returns the demand by which the slots of an engine
    with several models are divided.
    """
    result = {}
    for item in instances:
        usable = item.state in (_instances.LIVE, _instances.LEAVING)
        if item.kind != _instances.ENGINE or not usable or not item.models:
            continue
        allocation = split_slots(
            item.slots, [demand_of(model) for model in item.models]
        )
        for model, slots in zip(item.models, allocation, strict=True):
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
