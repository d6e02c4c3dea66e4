"""The order in which gateways choose servers for a shared part of a prompt.

All gateways compute the same order, so that requests with one part meet at
the same few servers and the part is read once.
"""

import hashlib

# Chance that the first, second, ... server in a prompt part's own order has
# it although this gateway did not send it there. All gateways compute the
# same order, so requests with the part meet at its first servers.
RANK_CACHED = (0.9, 0.4, 0.1)
LONG_PROMPT_TOKENS = 4_000


def shared_tokens(work):
    """Return the prompt tokens that other requests may have in common.

    The last part belongs to the request alone.
    """
    return sum(size for _part, size in work.parts[:-1])


def places(states, work, reserved):
    """Return ``{server id: place}`` in the part order of the prompt.

    The order belongs to the last part that other requests share. Servers
    left to tight streams come last for a long prompt.
    """
    if len(work.parts) < 2:
        return {}
    part = work.parts[-2][0]
    is_long = work.prompt_tokens >= LONG_PROMPT_TOKENS
    avoid = reserved if is_long else frozenset()
    ids = sorted(
        (state.engine.id for state in states),
        key=lambda server_id: (
            server_id in avoid,
            affinity(part, server_id),
        ),
    )
    return {server_id: place for place, server_id in enumerate(ids)}


def expected_cached(state, work, now_ms, ranks):
    """Return the leading prompt tokens that the server probably has."""
    cached = state.cached(work.parts, now_ms)
    place = ranks.get(state.engine.id, len(RANK_CACHED))
    if place < len(RANK_CACHED):
        cached = max(cached, RANK_CACHED[place] * shared_tokens(work))
    return cached


def affinity(part, server_id):
    """Return the sort key of a server for a prompt part; lowest is first."""
    text = f'{part}/{server_id}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
