"""Pace at which a server that has started or recovered gets requests.

Such a server may be slow and refuse requests that others would take, and its
idle slots attract all gateways at once. So it gets requests at a low rate
first, which doubles with the requests that it answers in time. A refusal or
late answer halves it, and a pace far above that of the other servers slows
the growth. The limit ends when the rate exceeds what any server gets.

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
# A server this many times slower than the median needs more answers for each
# step. It may still be slow by the sums for seconds after it has become warm.
SLOW_RATIO = 2.0
SLOW_FACTOR = 2
# How long a permit can be used at the lowest rate: until the next one, since
# permits of several gateways that are used at once make a slow server refuse.
VALIDITY_MS = 250
# At higher rates the server has answered well, and unused permits cost more:
# gateways have a few requests a second.
MAX_VALIDITY_MS = 1_000
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
    def late(self):
        """The number of answers that began late."""
        return max(0, self.answers - self.in_time)


@attrs.define
class _Ramp:
    begin_ms: int
    # Sums at the last update.
    last: Answers
    steps: int = 0
    # Answers in time since the last step.
    in_time: int = 0
    # Synchronized time of the last permit used.
    used_ms: float = 0.0

    def permits_ms(self):
        """Return the time between two permits, and how long one is valid."""
        factor = 2**self.steps
        return (
            MS_PER_S / (START_PER_S * factor),
            min(VALIDITY_MS * factor, MAX_VALIDITY_MS),
        )


class StartPace:
    """Rates of the servers of one service that start or recover."""

    def __init__(self, turns):
        self._turns = turns
        self._ramps = {}
        self._listed_count = 0
        self.is_enabled = False

    def begin(self, server, now_ms, answers):
        """Limit ``server``, which has started or recovered, from now on.

        ``answers`` are the :class:`Answers` that the sums contain already.
        """
        if not self.is_enabled:
            return
        known = self._ramps.get(server)
        used_ms = 0.0 if known is None else known.used_ms
        self._ramps[server] = _Ramp(now_ms, answers, used_ms=used_ms)

    def update(self, server, answers, now_ms):
        """Adapt the rate of a limited server to its :class:`Answers`.

        The sums slide, so they may also decrease.
        """
        ramp = self._ramps[server]
        last, ramp.last = ramp.last, answers
        if answers.rejections > last.rejections or answers.late > last.late:
            ramp.steps = max(0, ramp.steps - 1)
            ramp.in_time = 0
            ramp.begin_ms = now_ms
            return
        ramp.in_time += max(0, answers.in_time - last.in_time)
        is_slow = (answers.pace_ratio or 0) > SLOW_RATIO
        needed = ANSWERS_PER_STEP * (SLOW_FACTOR if is_slow else 1)
        if ramp.in_time >= needed:
            ramp.in_time = 0
            ramp.steps += 1
        if ramp.steps > MAX_STEPS or now_ms - ramp.begin_ms >= MAX_RAMP_MS:
            del self._ramps[server]

    def retain(self, listed):
        """Drop servers that are not ``listed``."""
        listed = set(listed)
        self._listed_count = len(listed)
        for server in set(self._ramps) - listed:
            del self._ramps[server]

    def is_limited(self, server):
        """Whether the rate of ``server`` is limited.

        None is if most servers start: the others could not take the load.
        """
        return self._limit_of(server) is not None

    def has_begun(self, server):
        """Whether ``server`` starts, limited or not."""
        return server in self._ramps

    def is_open(self, server, now_ms):
        """Return whether a request may be sent to ``server`` now."""
        return not self._ramps or self.next_permit_ms(server, now_ms) <= now_ms

    def next_permit_ms(self, server, now_ms):
        """Return when the next request may be sent to ``server``."""
        ramp = self._limit_of(server)
        if ramp is None:
            return now_ms
        permit_ms = self._permit_ms(server, ramp, now_ms)
        return max(now_ms, math.ceil(permit_ms) - self._turns.wall_offset_ms)

    def interval_ms(self, server):
        """Return the mean time between this gateway's permits.

        ``None`` if the rate of ``server`` is not limited.
        """
        ramp = self._limit_of(server)
        if ramp is None:
            return None
        return self._turns.count * ramp.permits_ms()[0]

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
        ramp = self._limit_of(server)
        return None if ramp is None else MS_PER_S / ramp.permits_ms()[0]

    def _limit_of(self, server):
        if 2 * len(self._ramps) > self._listed_count:
            return None
        return self._ramps.get(server)

    def _permit_ms(self, server, ramp, now_ms):
        interval_ms, validity_ms = ramp.permits_ms()
        oldest_ms = max(
            self._turns.wall_ms(now_ms) - validity_ms, ramp.used_ms + 1
        )
        return self._turns.permit_ms(server.id, interval_ms, oldest_ms)
