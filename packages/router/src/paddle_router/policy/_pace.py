"""Forecast of how long work takes on each server of a service.

Machines of one service differ in speed. The pace that gateways measure over
the last seconds, relative to the other servers and without the time spent on
prefill, shows it. The pace that a server tells of its machine changes faster
than it reaches a gateway, and is shown to operators only.

This addresses streams placed by counts of requests alone: each server then
gets the same number of them, and those on slow machines exceed their targets
while fast machines have time left.
"""

import statistics

import attrs

# Half of the time over which told paces are summed for other gateways; one
# interval of the exchange.
TOLD_WINDOW_MS = 250
# Paces outside of this range, where 1.0 is undisturbed, are taken as its
# limits, so that an odd figure neither attracts all requests nor bars a
# server.
TOLD_RANGE = (0.2, 10.0)
# The same for measured paces; they are means over some seconds.
SPEED_RANGE = (0.3, 6.0)
PERCENT = 100


@attrs.frozen(kw_only=True)
class PaceEvidence:
    """What a gateway knows of the pace of one server.

    ``measured_ms`` is the mean time between events of its streams, or its
    response time, ``None`` if unknown, and ``prefill_ratio`` the fraction of
    its time that it spent on prefill meanwhile, by the service's mean rate.
    """

    measured_ms: float | None = None
    prefill_ratio: float = 0.0


@attrs.frozen(kw_only=True)
class PaceForecast:
    """Expected duration of work as ``ratio`` to that on the median server."""

    ratio: float = 1.0


USUAL = PaceForecast()


def told_pace(percent):
    """Return a pace in percent as a number, within ``TOLD_RANGE``."""
    return _clamp(percent / PERCENT, TOLD_RANGE)


def forecasts(evidence):
    """Return ``{server id: PaceForecast}`` for ``{server id: PaceEvidence}``.

    A server of unknown pace counts as the median one.
    """
    usual_ms = _usual_ms(evidence.values())
    return {
        server_id: _forecast(item, usual_ms)
        for server_id, item in evidence.items()
    }


def _usual_ms(evidence):
    """Return the median pace without prefill, ``None`` if unknown."""
    paces_ms = [
        item.measured_ms * (1.0 - item.prefill_ratio)
        for item in evidence
        if item.measured_ms and item.prefill_ratio < 1.0
    ]
    return statistics.median_low(paces_ms) if len(paces_ms) > 1 else None


def _forecast(evidence, usual_ms):
    if not usual_ms or not evidence.measured_ms:
        return USUAL
    # A step takes usual_ms * ratio, and prefill_ratio * ratio of the time
    # passes with prefill between the steps:
    # measured_ms = usual_ms * ratio / (1 - prefill_ratio * ratio).
    ratio = 1.0 / (usual_ms / evidence.measured_ms + evidence.prefill_ratio)
    return PaceForecast(ratio=_clamp(ratio, SPEED_RANGE))


def _clamp(value, limits):
    return min(max(value, limits[0]), limits[1])
