"""Periodic polls of the configuration, and reactions to its changes."""

import gevent

import paddle_kernel
from paddle_router import _events

MS_PER_S = paddle_kernel.MS_PER_S
# 25 daemons poll every 200 ms; a replica then answers 125 polls per second.
POLL_MS_PER_DAEMON = 8
POLLS_PER_FRESHNESS = 3


class RevokedKeyHandler:
    """Ends the requests of keys that were revoked.

    Queued requests are refused at once; running streams are ended after the
    grace period. Non-idempotent calls that were sent are not interrupted.
    """

    def __init__(self, core):
        self._core = core
        self._scheduled = set()

    def on_config_change(self, view):
        """Check all requests in progress against a new configuration."""
        core = self._core
        core.dispatcher.refuse_waiting(core.admission.key_refusal)
        for relay in list(core.active):
            refusal = core.admission.key_refusal(relay.request)
            if refusal is not None and relay not in self._scheduled:
                self._scheduled.add(relay)
                gevent.spawn_later(
                    core.bounds.revoke_grace_ms / MS_PER_S, self._end, relay
                )

    def _end(self, relay):
        self._scheduled.discard(relay)
        if relay not in self._core.active:
            return
        refusal = self._core.admission.key_refusal(relay.request)
        if refusal is not None:
            paddle_kernel.emit(
                _events.STREAM_ENDED_BY_KEY, id=relay.request.id
            )
            relay.end_with_error(refusal)


def poll_period_ms(bounds, live_daemons, limit_ms=None):
    """Return the period at which a daemon polls the replicas.

    All daemons together poll at a bounded rate, so that the load of a replica
    does not grow with their number. Three polls fit into the freshness
    bound, so that a single failed poll does not make the configuration stale.
    ``limit_ms`` is an additional upper bound.
    """
    period_ms = (live_daemons or 1) * POLL_MS_PER_DAEMON
    max_period_ms = bounds.freshness_ms // POLLS_PER_FRESHNESS
    if limit_ms is not None:
        max_period_ms = min(max_period_ms, limit_ms)
    return max(bounds.config_poll_ms, min(period_ms, max_period_ms))


class RateLimitedPoll:
    """Limits calls of a function to one per :func:`poll_period_ms`."""

    def __init__(self, core, function, limit_ms=None):
        self._core = core
        self._function = function
        self._limit_ms = limit_ms
        self._due_ms = 0

    def poll(self):
        """Call the function if a period has passed since the last call."""
        now_ms = self._core.clock.now_ms()
        if now_ms >= self._due_ms:
            self._due_ms = now_ms + poll_period_ms(
                self._core.bounds,
                self._core.shares.live_daemons,
                self._limit_ms,
            )
            self._function()


class ConfigPoll:
    """Polls the configuration; logs when it becomes stale or fresh."""

    def __init__(self, core, metrics):
        self._core = core
        self._metrics = metrics
        self._was_fresh = None

    def poll(self):
        """Poll the configuration once."""
        with self._metrics.config_poll.time():
            self._core.config.poll()
        is_fresh = self._core.config.age_ms() <= self._core.bounds.freshness_ms
        if self._was_fresh is not None and is_fresh != self._was_fresh:
            event = _events.CONFIG_FRESH if is_fresh else _events.CONFIG_STALE
            paddle_kernel.emit(event, version=self._core.config.view.version)
        self._was_fresh = is_fresh
