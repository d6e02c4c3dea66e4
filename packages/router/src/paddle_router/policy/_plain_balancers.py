"""Baseline balancers for comparison with the ``observed`` balancer."""

from paddle_router.policy import _hooks
from paddle_router.policy import _slots


@_hooks.balancers.register('round_robin')
class RoundRobinBalancer(_slots.SlotPool):
    """Chooses each engine with a free slot in turn."""

    def __init__(self, *, rng):
        super().__init__()
        self._next_index = 0

    def choose(self, candidates, work, now_ms):
        for step in range(len(candidates)):
            index = (self._next_index + step) % len(candidates)
            state = self._usable(candidates[index], work)
            if state:
                self._next_index = index + 1
                return self._occupy(state, work, now_ms)
        return None


@_hooks.balancers.register('least_reported_load')
class LeastReportedLoadBalancer(_slots.SlotPool):
    """Chooses the engine with the fewest reported requests per slot."""

    def __init__(self, *, rng):
        super().__init__()
        self._rng = rng
        self._loads = {}

    def report(self, engine_id, report, now_ms):
        total = report.running + report.waiting
        self._loads[engine_id] = total / max(1, report.slots)

    def choose(self, candidates, work, now_ms):
        usable = [
            state
            for state in (self._usable(item, work) for item in candidates)
            if state
        ]
        if not usable:
            return None
        state = min(
            usable,
            key=lambda item: (
                self._loads.get(item.engine.id, 0),
                self._rng.random(),
            ),
        )
        return self._occupy(state, work, now_ms)
