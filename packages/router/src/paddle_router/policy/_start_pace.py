"""Pace at which a server that has started or recovered gets requests.

Such a server may be slow and refuse requests that others would take, and its
idle slots attract all gateways at once. So it gets requests at a low rate
first, which doubles with the requests that it answers in time. Refusals, late
answers and a pace far above that of the other servers stop the growth. When
the server has answered as well as its slots allow, the limit ends.

All gateways derive the rate from the shared sums, so it is about the same at
each, and share it by turns (see :mod:`paddle_router.policy._turns`). Unlike
the bound of cold servers it may be exceeded while sums differ.
"""

import math

import attrs

MS_PER_S = 1_000
# Rate of the first requests. A plain request takes up to 100 ms and five times
# as long on a slow server, so that two run there at the same time at most.
START_PER_S = 4.0
# Answers in time that double the rate.
ANSWERS_PER_STEP = 4
# Steps after which the rate does not limit any more: 32 times the first one
# is more than a server with a hundred slots gets from all gateways.
MAX_STEPS = 5
# Share of requests that a server may refuse, or answer late, before the rate
# falls back: callers repeat a refused request in time if few others are.
MAX_BAD_RATIO = 0.1
# A server this much slower than the median gets no higher rate.
SLOW_RATIO = 2.0
# How long a permit can be used: most gateways have several requests a second,
# and a longer time lets permits of several gateways be used at once.
VALIDITY_MS = 200
# The limit ends after this time without refusals, also if there were too few
# requests to double the rate.
MAX_RAMP_MS = 10_000


@attrs.frozen(kw_only=True)
class Answers:
    """How a server answered all gateways in the last seconds.

    ``answers`` requests were run, ``in_time`` began within their target and
    ``rejections`` were refused. ``pace_ratio`` is the pace relative to the
    median server, ``None`` if unknown.
    """

    answers: int = 0
    in_time: int = 0
    rejections: int = 0
    pace_ratio: float | None = None

    @property
    def is_bad(self):
        """Whether too many requests were refused or answered late."""
        late = max(0, self.answers - self.in_time)
        bad = self.rejections + late
        return bad > MAX_BAD_RATIO * (bad + self.in_time)

    @property
    def is_slow(self):
        """Whether the server is much slower than the others."""
        return self.pace_ratio is not None and self.pace_ratio > SLOW_RATIO


@attrs.define
class _Ramp:
    begin_ms: int
    # In-time answers before the begin, which the sums still contain.
    earlier: int
    steps: int = 0
    # Synchronized time of the last permit used.
    used_ms: float = 0.0


class StartPace:
    """Rates of the servers of one service that start or recover."""

    def __init__(self, turns):
        self._turns = turns
        self._ramps = {}
        self.is_enabled = False

    def begin(self, server, now_ms, answers=None):
        """Limit ``server``, which has started or recovered, from now on.

        Return whether it was not limited before.
        """
        if not self.is_enabled:
            return False
        is_new = server not in self._ramps
        earlier = 0 if answers is None else answers.in_time
        ramp = _Ramp(now_ms, earlier)
        if not is_new:
            ramp.used_ms = self._ramps[server].used_ms
        self._ramps[server] = ramp
        return is_new

    def update(self, server, answers, now_ms):
        """Adapt the rate to :class:`Answers`; return whether it ended."""
        ramp = self._ramps.get(server)
        if ramp is None:
            return False
        ramp.earlier = min(ramp.earlier, answers.in_time)
        if answers.is_bad or answers.is_slow:
            ramp.steps = 0
            is_over = False
        else:
            good = answers.in_time - ramp.earlier
            ramp.steps = max(ramp.steps, good // ANSWERS_PER_STEP)
            is_over = (
                ramp.steps >= MAX_STEPS
                or now_ms - ramp.begin_ms >= MAX_RAMP_MS
            )
        if is_over:
            del self._ramps[server]
        return is_over

    def retain(self, listed):
        """Drop servers that are not ``listed``."""
        for server in set(self._ramps) - set(listed):
            del self._ramps[server]

    def is_limited(self, server):
        """Whether the rate of ``server`` is limited."""
        return server in self._ramps

    def is_open(self, server, now_ms):
        """Return whether a request may be sent to ``server`` now."""
        return not self._ramps or self.next_permit_ms(server, now_ms) <= now_ms

    def next_permit_ms(self, server, now_ms):
        """Return when the next request may be sent to ``server``."""
        ramp = self._ramps.get(server)
        if ramp is None:
            return now_ms
        permit_ms = self._permit_ms(server, ramp, now_ms)
        return max(now_ms, math.ceil(permit_ms) - self._turns.wall_offset_ms)

    def interval_ms(self, server):
        """Return the mean time between this gateway's permits.

        ``None`` if the rate of ``server`` is not limited.
        """
        ramp = self._ramps.get(server)
        if ramp is None:
            return None
        return self._turns.count * _interval_ms(ramp)

    def use_permit(self, server, now_ms):
        """Record that a request is sent to ``server`` now."""
        ramp = self._ramps.get(server)
        if ramp is not None:
            ramp.used_ms = min(
                self._permit_ms(server, ramp, now_ms),
                self._turns.wall_ms(now_ms),
            )

    def limited_count(self):
        """Return the number of servers whose rate is limited."""
        return len(self._ramps)

    def rate_per_s(self, server):
        """Return the rate of all gateways, ``None`` if it is not limited."""
        ramp = self._ramps.get(server)
        return None if ramp is None else MS_PER_S / _interval_ms(ramp)

    def _permit_ms(self, server, ramp, now_ms):
        oldest_ms = max(
            self._turns.wall_ms(now_ms) - VALIDITY_MS, ramp.used_ms + 1
        )
        return self._turns.permit_ms(server.id, _interval_ms(ramp), oldest_ms)


def _interval_ms(ramp):
    return MS_PER_S / (START_PER_S * 2**ramp.steps)
