"""Engines that hold one model, with the queue in front of them."""

import attrs

from paddle_router import _instances
from paddle_router import policy


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
