"""State of one engine as the ``observed`` balancer keeps it."""

import collections

import attrs

from paddle_router.policy import _hooks
from paddle_router.policy import _prefixes
from paddle_router.policy import _slots

FIRST_PROBE_MS = 1_000

OK = 'ok'
EJECTED = 'ejected'
LOST = 'lost'


@attrs.frozen
class Ejection:
    """An engine that gets no new work, and its overdue flights.

    The caller may retry or resume the overdue flights elsewhere; the others
    may still complete.
    """

    engine_id: str
    overdue: tuple = ()


@attrs.define(eq=False)
class EngineState(_slots.SlotState):
    """What the balancer knows of one engine; times are in ms."""

    status: str = OK
    # Decayed ms per prompt token (with the base) and per generated token.
    first: float | None = None
    inter: float | None = None
    bad: int = 0
    first_bad_ms: int = 0
    good_began_ms: int = -1
    good_run: int = 0
    waiting: dict = attrs.field(factory=collections.OrderedDict)
    streaming: dict = attrs.field(factory=collections.OrderedDict)
    limited: bool = False
    hold_until_ms: int = 0
    failed_ms: int | None = None
    reported: float | None = None
    reported_ms: int = 0
    distrust: int = 0
    probe: _hooks.Flight | None = None
    probe_at_ms: int = 0
    probe_wait_ms: int = FIRST_PROBE_MS
    good_probes: int = 0
    prefixes: _prefixes.PrefixTable = attrs.field(
        factory=_prefixes.PrefixTable
    )

    def room(self):
        """Return how many more requests the engine may get."""
        if self.status != OK or self.engine.leaving:
            return 0
        cap = self.cap
        if self.limited and cap:
            cap = max(1, cap >> self.bad)
        return max(0, cap - len(self.flights))
