"""Bounds on what one answer of a backend server may take in bytes and time.

A server in trouble may send bytes without end, or one now and then. Each
bound ends such an answer before it fills the memory or uses up the caller's
time; sound answers stay far below them.
"""

from paddle_router.gateway import _model

# 1xx heads before an answer; one or two are usual.
INTERIM_HEADS = 8
# Answers of other requests that are read to find the own one, their bytes
# and the time until the own head has come.
SKIPPED_ANSWERS = 4
SKIPPED_BYTES = 262_144
SKIPPED_MS = 1_000
# A plain answer up to this size is held until it is whole, so that it can be
# asked for again elsewhere; a longer one is passed on as it arrives.
WHOLE_BYTES = 262_144
# An event without an end; those of the users' sheets have 360 bytes at most.
EVENT_BYTES = 262_144
# Bytes received beyond those of the body: heads, chunk sizes and extensions,
# trailers. As many as the body has are allowed besides.
FRAMING_BYTES = 262_144
# Callers give up a stream after a pause of 2 s, four times the latency target
# or eight times the longest pause in time, whichever is longest. The margin
# covers the way of the last event and the rounding of targets.
PAUSE_LEAST_MS = 2_000
PAUSE_TARGETS = 4
PAUSE_GAPS = 8
PAUSE_MARGIN = 1.1
PAUSE_MARGIN_MS = 250
# A stream that another server can resume is left a little earlier.
RESUME_LEAST_MS = 1_000
RESUME_TARGETS = 2


def longest_pause_ms(route: _model.Route) -> int:
    """Return the time without an event after which no caller waits."""
    pause_ms = max(
        PAUSE_LEAST_MS,
        PAUSE_TARGETS * route.target_ms,
        PAUSE_GAPS * route.gap_ms,
    )
    return int(pause_ms * PAUSE_MARGIN) + PAUSE_MARGIN_MS


def resumable_pause_ms(route: _model.Route) -> int:
    """Return the pause after which a stream is resumed elsewhere."""
    return max(
        RESUME_LEAST_MS,
        RESUME_TARGETS * route.target_ms,
        PAUSE_GAPS * route.gap_ms,
    )
