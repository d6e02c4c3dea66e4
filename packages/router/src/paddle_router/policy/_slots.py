"""Slots of engines and the share of them that this daemon may use."""

import collections
import math
import zlib

import attrs

from paddle_router.policy import _hooks


def share_of(index, count):
    """Return the interval (low, high) of daemon ``index`` of ``count``.

    The intervals divide [0, 1) equally.
    """
    return index / count, (index + 1) / count


def own_slots(engine, low, high):
    """Return how many slots of ``engine`` belong to the share [low, high).

    The offset differs by engine, so that a small share gets whole slots on
    some engines instead of a fraction of a slot on each.
    """
    offset = zlib.crc32(engine.id.encode()) / 2**32
    above = math.floor(high * engine.slots + offset)
    return above - math.floor(low * engine.slots + offset)


@attrs.define(eq=False)
class SlotState:
    """An engine with the in-flight requests of this daemon on it."""

    engine: _hooks.Engine
    cap: int = 0
    flights: dict = attrs.field(factory=collections.OrderedDict)
    # Free slots of this engine that the pool's total includes.
    counted_room: int = 0

    def room(self):
        """Return how many more requests the engine may be sent now."""
        if self.engine.leaving:
            return 0
        return max(0, self.cap - len(self.flights))


class SlotPool:
    """Engines with this daemon's share of slots; base of the balancers."""

    state_type = SlotState

    def __init__(self):
        self._states = {}
        self._low = 0.0
        self._high = 1.0
        self._free_slots = 0

    def sync(self, engines, now_ms):
        known = self._states
        self._states = {}
        for engine in engines:
            state = known.get(engine.id) or self.state_type(engine)
            state.engine = engine
            self._states[engine.id] = state
        self.set_share(self._low, self._high)

    def set_share(self, low, high):
        self._low = low
        self._high = high
        self._free_slots = 0
        for state in self._states.values():
            state.cap = own_slots(state.engine, low, high)
            state.counted_room = 0
            self._recount(state)

    def _recount(self, state):
        """Update the total of free slots after a change of ``state``."""
        room = state.room()
        self._free_slots += room - state.counted_room
        state.counted_room = room

    def free_slots(self):
        return self._free_slots

    def _occupy(self, state, work, now_ms):
        flight = _hooks.Flight(state.engine.id, work, now_ms, now_ms)
        state.flights[flight] = None
        self._recount(state)
        return flight

    def _release(self, flight):
        """Free the slot; return the state, or None if it was freed before."""
        state = self._states.get(flight.engine_id)
        if state is None or flight not in state.flights:
            return None
        del state.flights[flight]
        self._recount(state)
        return state

    def _usable(self, engine, work):
        """Return the state of ``engine``, None if it can't take ``work``."""
        state = self._states.get(engine.id)
        if state is None or engine.id in work.avoid or not state.room():
            return None
        return state

    def observe(self, flight, now_ms, tokens):
        flight.last_ms = now_ms
        flight.tokens = tokens

    def finish(self, flight, now_ms, ok):
        self._release(flight)

    def report(self, engine_id, report, now_ms):
        pass

    def tick(self, now_ms):
        return ()

    def drop_domain(self, failure_domain, now_ms):
        return ()

    def probes(self, now_ms):
        return ()

    def dump(self):
        return {
            state.engine.id: {'cap': state.cap, 'running': len(state.flights)}
            for state in self._states.values()
        }
