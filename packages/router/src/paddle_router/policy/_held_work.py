"""Bounds on what a server holds for the gateways, so that it has memory.

This addresses servers that end for lack of memory while many long prompts or
large bodies are in progress. The memory of a model engine is configured in
tokens. That of other servers is unknown, so the bytes of bodies have a limit,
which is lowered when a server crashes while it holds much.

A gateway learns what the others have sent only after some time, and all see
the same room. What each may send to a server in that time is therefore a part
of the room, and if there is less room than gateways, they use it in turn.
"""

import hashlib

import attrs

# Part of an engine's memory for tokens that prompts may use; the rest is for
# the tokens that it generates.
TOKEN_SHARE = 0.8
# Above this part of that, gateways send only what all of them can send. Below
# it the requests that the sums don't show yet fit, and a bound would spread
# streams over servers that other streams were kept away from.
PRESSED_SHARE = 0.25
# Age of the others' sums at most, while exchanges work: twice their period of
# 250 ms and the time of the messages.
UNSEEN_MS = 600
# Room that is used before the others' sums show it is used twice at most.
ROOM_SHARE = 0.5
# Bytes of bodies that all gateways together have in progress at a server:
# eight of the largest bodies that the default configuration accepts.
MAX_BODY_BYTES = 32_000_000
# A server that crashes while it holds less than this for a gateway has
# probably crashed for another reason.
MIN_SUSPECT_BYTES = 65_536
CRASH_RATIO = 0.5
# After this time without a crash the lowered limit is doubled.
RECOVERY_MS = 30_000
# The limit is not lowered further: with less held no crash is suspected, and a
# limit of 0 could not be doubled.
MIN_LIMIT_BYTES = int(CRASH_RATIO * MIN_SUSPECT_BYTES)


@attrs.define(eq=False)
class HeldWork:
    """Which servers of a service have room for more work.

    ``gateway_count`` gateways share the limits; this one is number ``index``
    from 0. ``is_enabled`` is false without a memory limit; every server has
    room then. ``wall_offset_ms`` is added to monotonic times to get the
    synchronized time, by which gateways take their turns.
    """

    is_enabled: bool = False
    gateway_count: int = 1
    index: int = 0
    wall_offset_ms: int = 0
    _lowered_bytes: int | None = None
    _lowered_ms: int = 0
    # Mean prompt of this gateway's requests, as last seen.
    _mean_tokens: float = 0.0

    def with_room(self, states, work, now_ms):
        """Return those of ``states`` that have room for ``work``."""
        if not self.is_enabled:
            return states
        flights = [flight for state in states for flight in state.flights]
        if flights:
            tokens = sum(item.work.prompt_tokens for item in flights)
            self._mean_tokens = tokens / len(flights)
        elif not self._mean_tokens:
            self._mean_tokens = float(work.prompt_tokens)
        recent = sum(now_ms - item.sent_ms < UNSEEN_MS for item in flights)
        unseen = recent * (self.gateway_count - 1) / max(1, len(states))
        return [
            state
            for state in self._own_servers(states, work, now_ms)
            if self._has_tokens(state, work, unseen, now_ms)
            and self._has_bytes(state, work, now_ms)
        ]

    def size_class(self, work):
        """Return a value that is equal for work that needs similar room."""
        if not self.is_enabled:
            return None
        return work.prompt_tokens.bit_length(), work.body_bytes.bit_length()

    def held_bytes(self, state):
        """Return the bytes of bodies that this gateway has at a server."""
        return sum(item.work.body_bytes for item in state.flights)

    def held_tokens(self, state, now_ms):
        """Return the estimated prompt tokens of all gateways at a server.

        Requests of other gateways count as the mean of this gateway's.
        """
        own = sum(item.work.prompt_tokens for item in state.flights)
        others = max(0, state.running(now_ms) - len(state.flights))
        return own + others * self._mean_tokens

    def limit_bytes(self, now_ms):
        """Return this gateway's limit of bytes at a server."""
        share = MAX_BODY_BYTES // self.gateway_count
        if self._lowered_bytes is None:
            return share
        doublings = (now_ms - self._lowered_ms) // RECOVERY_MS
        limit = self._lowered_bytes << min(32, max(0, doublings))
        if limit >= share:
            self._lowered_bytes = None
        return min(share, limit)

    def record_crash(self, held_bytes, now_ms):
        """Record that a server crashed that held ``held_bytes`` for us.

        Return the new limit in bytes, ``None`` if it is unchanged.
        """
        if not self.is_enabled or held_bytes < MIN_SUSPECT_BYTES:
            return None
        limit = max(
            MIN_LIMIT_BYTES,
            int(CRASH_RATIO * min(held_bytes, self.limit_bytes(now_ms))),
        )
        self._lowered_bytes = limit
        self._lowered_ms = now_ms
        return limit

    def _own_servers(self, states, work, now_ms):
        """Return the servers that this gateway may send ``work`` to.

        A body above the lowered limit goes to a part of the servers only,
        another one for each gateway, since one such body must be possible.
        """
        if self._lowered_bytes is None:
            return states
        parts = -(-work.body_bytes // max(1, self.limit_bytes(now_ms)))
        parts = min(parts, len(states))
        if parts <= 1:
            return states
        ordered = sorted(states, key=lambda state: state.engine.id)
        return ordered[self.index % parts :: parts]

    def _has_tokens(self, state, work, unseen, now_ms):
        """Return whether the prompt fits, if others send as much as this one.

        Each server is expected to have ``unseen`` requests of other gateways
        that are not in their sums yet.
        """
        limit = TOKEN_SHARE * state.engine.kv_tokens
        held = self.held_tokens(state, now_ms) + unseen * self._mean_tokens
        if not limit or not held:
            # A prompt that never fits is left to the engine.
            return True
        if held + work.prompt_tokens > limit:
            return False
        if self.gateway_count == 1 or held <= PRESSED_SHARE * limit:
            return True
        recent = sum(
            now_ms - item.sent_ms < UNSEEN_MS for item in state.flights
        )
        size = max(1, work.prompt_tokens, self._mean_tokens)
        quota = int(ROOM_SHARE * (limit - held) / size)
        each, rest = divmod(quota, self.gateway_count)
        turn = (
            self.index
            + (now_ms + self.wall_offset_ms) // UNSEEN_MS
            + _offset(state.engine.id)
        ) % self.gateway_count
        return recent < each + (turn < rest)

    def _has_bytes(self, state, work, now_ms):
        held = self.held_bytes(state)
        # One request always may run, whatever its size.
        return not held or held + work.body_bytes <= self.limit_bytes(now_ms)


def _offset(server_id):
    """Return a number by which the turns of servers differ."""
    digest = hashlib.blake2b(server_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest)
