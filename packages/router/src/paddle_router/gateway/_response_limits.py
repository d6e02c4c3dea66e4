"""Limits on the size and duration of a backend server's response.

A faulty server may send an endless response or only a byte now and then. Each
limit ends such a response before it fills the memory or uses up the caller's
deadline. Correct responses stay far below the limits.
"""

from paddle_router.gateway import _model

# 1xx responses before the final response; one or two are usual.
MAX_INTERIM_RESPONSES = 8
# Responses to other requests that are skipped to find the matching one, the
# bytes of each, and the time until the matching head must have arrived.
MAX_SKIPPED_RESPONSES = 4
MAX_SKIPPED_BYTES = 262_144
SKIP_TIMEOUT_MS = 1_000
# A plain response up to this size is buffered until it is complete, so that
# the request can be retried elsewhere; a longer one is forwarded as it
# arrives.
MAX_BUFFERED_BYTES = 262_144
# Maximum size of an event; those in the users' data sheets have at most 360
# bytes.
MAX_EVENT_BYTES = 262_144
# Bytes without an event that may still be read after the pause limit, for
# comments that were received while this process did not run.
MAX_IDLE_BYTES = 16_384
# Bytes received in addition to the body: heads, chunk sizes and extensions,
# trailers. The size of the body is added to this limit.
MAX_FRAMING_BYTES = 262_144
# Callers abandon a stream after a pause of 2 s, four times the latency target
# or eight times the target for the gap between events, whichever is longest.
# The margin covers the network delay of the last event and the rounding of
# targets.
MIN_PAUSE_LIMIT_MS = 2_000
PAUSE_LIMIT_TARGETS = 4
PAUSE_LIMIT_GAPS = 8
PAUSE_LIMIT_MARGIN_RATIO = 1.1
PAUSE_LIMIT_MARGIN_MS = 250
# A stream that can be resumed on another server is aborted a little earlier.
MIN_RESUME_PAUSE_MS = 1_000
RESUME_PAUSE_TARGETS = 2
# A server stops work at the deadline that it is given, which is that of the
# call. The end of a response without a length this shortly before it may be
# that stop; clocks count whole ms, and a link delays the end by some.
DEADLINE_MARGIN_MS = 10


def pause_limit_ms(route: _model.Route) -> int:
    """Return the pause between events after which callers give up."""
    pause_ms = max(
        MIN_PAUSE_LIMIT_MS,
        PAUSE_LIMIT_TARGETS * route.target_ms,
        PAUSE_LIMIT_GAPS * route.gap_ms,
    )
    return int(pause_ms * PAUSE_LIMIT_MARGIN_RATIO) + PAUSE_LIMIT_MARGIN_MS


def resume_pause_limit_ms(route: _model.Route) -> int:
    """Return the pause after which a stream is resumed on another server."""
    return max(
        MIN_RESUME_PAUSE_MS,
        RESUME_PAUSE_TARGETS * route.target_ms,
        PAUSE_LIMIT_GAPS * route.gap_ms,
    )
