"""Copies of cached prompt parts from one model engine to another.

An engine that is sent a prompt can copy the KV cache of its leading parts from
another engine instead of prefilling them. This answers bursts of long prompts
with shared parts, and servers that come and go: the prompts spread over more
servers, each of which would prefill the same parts again and interrupt its
streams meanwhile.
"""

import collections

import attrs

from paddle_router.policy import _prompt_parts

# Links copy at least this many cached tokens per ms where a copy is worth its
# transfer: several times what a model engine reads.
MIN_COPY_RATE_TOKENS_PER_MS = 200.0
# Fewer tokens are prefilled in one or two steps of an engine.
MIN_TOKENS = 1_024
# How long a placement tells where a part is cached; parts that are not used
# yield to others.
PLACEMENT_LIFETIME_MS = 10_000
# Placements learned within this time go into each message. It covers two
# exchanges of a gateway and one relay between controllers.
RECENT_MS = 700
# Bounds on memory and on the size of a message.
MAX_PLACEMENTS = 4_096
MAX_RECENT = 64
MAX_PART_LENGTH = 64


@attrs.frozen(kw_only=True)
class PartPlacement:
    """A request with the shared prompt part ``part`` was sent to ``server``.

    ``sent_ms`` is in ms since the Unix epoch by the synchronized clock.
    """

    part: str
    server: str
    sent_ms: int


class PartPlacements:
    """The last known placement of each long shared prompt part.

    Gateways and controllers keep one and tell each other what is new in it.
    Times are ms of the synchronized clock.
    """

    def __init__(self):
        # (placement, time it was learned) by part, learned last at the end.
        self._placements = collections.OrderedDict()

    def add(self, placements, now_ms):
        """Add what was sent here or told by others; newer ones win.

        A time in the future, from an instance with a wrong clock, counts as
        now.
        """
        for item in placements:
            if item.sent_ms > now_ms:
                item = attrs.evolve(item, sent_ms=now_ms)
            known = self._placements.get(item.part)
            if known is not None and known[0].sent_ms >= item.sent_ms:
                continue
            self._placements[item.part] = item, now_ms
            self._placements.move_to_end(item.part)
        while len(self._placements) > MAX_PLACEMENTS:
            self._placements.popitem(last=False)

    def find(self, part, now_ms):
        """Return the :class:`PartPlacement`, ``None`` if unknown or old."""
        placement, _learned_ms = self._placements.get(part, (None, 0))
        if (
            placement is None
            or now_ms - placement.sent_ms > PLACEMENT_LIFETIME_MS
        ):
            return None
        return placement

    def recent(self, now_ms):
        """Return the newest placements learned within ``RECENT_MS``."""
        recent = []
        for placement, learned_ms in reversed(self._placements.values()):
            if now_ms - learned_ms > RECENT_MS or len(recent) == MAX_RECENT:
                break
            recent.append(placement)
        return tuple(recent)

    def dump(self):
        """Return plain data for the state dump."""
        return {'parts': len(self._placements)}


def shared_part(work):
    """Return the id of the shared part to copy for ``work``, or ``None``.

    That is the last one that other requests may share, whose cache contains
    those before it.
    """
    if (
        work.copy_rate < MIN_COPY_RATE_TOKENS_PER_MS
        or _prompt_parts.shared_tokens(work) < MIN_TOKENS
    ):
        return None
    part = work.parts[-2][0]
    # Callers choose the ids, which may be as long as a request's headers.
    return part if len(part) <= MAX_PART_LENGTH else None
