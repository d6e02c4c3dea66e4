"""Affinity of shared prompt parts to servers (rendezvous hashing).

All gateways compute the same order of servers for a part, so that requests
with the same part reach the same few servers and the part is prefilled only
once and then found in the prefix cache.
"""

import hashlib

# Probability that the first, second, ... server in the order of a prompt part
# has it cached although this gateway did not send it there. Requests of other
# gateways with the part probably went to the first servers of the same order.
CACHED_PROBABILITY_BY_RANK = (0.9, 0.4, 0.1)
LONG_PROMPT_TOKENS = 4_000


def shared_tokens(work):
    """Return the prompt tokens that other requests may share.

    The last part belongs to this request only.
    """
    return sum(size for _part, size in work.parts[:-1])


def server_ranks(states, work, reserved_ids):
    """Return ``{server id: rank}`` in the affinity order of the prompt.

    The order is that of the last part that other requests may share. For a
    long prompt, reserved servers come last.
    """
    if len(work.parts) < 2:
        return {}
    part = work.parts[-2][0]
    is_long = work.prompt_tokens >= LONG_PROMPT_TOKENS
    avoid = reserved_ids if is_long else frozenset()
    ids = sorted(
        (state.engine.id for state in states),
        key=lambda server_id: (
            server_id in avoid,
            affinity_key(part, server_id),
        ),
    )
    return {server_id: rank for rank, server_id in enumerate(ids)}


def expected_cached_tokens(state, work, now_ms, ranks):
    """Return the leading prompt tokens the server probably has cached."""
    cached_tokens = state.cached_tokens(work.parts, now_ms)
    rank = ranks.get(state.engine.id, len(CACHED_PROBABILITY_BY_RANK))
    if rank < len(CACHED_PROBABILITY_BY_RANK):
        cached_tokens = max(
            cached_tokens,
            CACHED_PROBABILITY_BY_RANK[rank] * shared_tokens(work),
        )
    return cached_tokens


def affinity_key(part, server_id):
    """Return the sort key of a server for a prompt part; lowest is first."""
    text = f'{part}/{server_id}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
