"""State of one engine in the ``observed`` balancer."""

import collections

import attrs

from paddle_router.policy import _hooks
from paddle_router.policy import _prefixes
from paddle_router.policy import _slots

INITIAL_PROBE_BACKOFF_MS = 1_000

OK = 'ok'
EJECTED = 'ejected'
LOST = 'lost'


@attrs.frozen
class Ejection:
    """An ejected engine, which gets no new work, and its overdue requests.

    The caller may retry or resume the overdue requests elsewhere; the other
    in-flight requests may still complete.
    """

    engine_id: str
    overdue: tuple = ()


@attrs.define(eq=False)
class EngineState(_slots.SlotState):
    """Measurements, circuit state and load of one engine; times in ms."""

    status: str = OK
    # Moving averages of the ms per prompt token (including the constant base)
    # and per generated token.
    first: float | None = None
    inter: float | None = None
    bad_count: int = 0
    first_bad_ms: int = 0
    last_good_start_ms: int = -1
    consecutive_good: int = 0
    waiting: dict = attrs.field(factory=collections.OrderedDict)
    streaming: dict = attrs.field(factory=collections.OrderedDict)
    is_limited: bool = False
    hold_until_ms: int = 0
    failed_ms: int | None = None
    reported: float | None = None
    reported_ms: int = 0
    implausible_reports: int = 0
    probe: _hooks.Flight | None = None
    probe_at_ms: int = 0
    probe_backoff_ms: int = INITIAL_PROBE_BACKOFF_MS
    successful_probes: int = 0
    prefixes: _prefixes.PrefixTable = attrs.field(
        factory=_prefixes.PrefixTable
    )

    def room(self):
        """Return how many more requests the engine may be sent."""
        if self.status != OK or self.engine.leaving:
            return 0
        cap = self.cap
        if self.is_limited and cap:
            cap = max(1, cap >> self.bad_count)
        return max(0, cap - len(self.flights))
