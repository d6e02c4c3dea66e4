"""What a daemon does when the configuration changes or becomes stale."""

import gevent

import paddle_kernel
from paddle_router import _events

MS_PER_S = paddle_kernel.MS_PER_S
# 25 daemons poll every 200 ms; a replica then answers 125 polls per second.
POLL_MS_PER_DAEMON = 8
POLLS_PER_FRESHNESS = 3


class KeyWatch:
    """Ends the work of keys that are no longer valid.

    Queued requests are refused at once, running streams are ended after the
    grace period. Non-idempotent calls that were sent are not touched.
    """

    def __init__(self, core):
        self._core = core
        self._ending = set()

    def on_view(self, view):
        """Look at all requests in progress under a new configuration."""
        core = self._core
        core.dispatcher.refuse_waiting(core.admission.key_refusal)
        for relay in list(core.active):
            refusal = core.admission.key_refusal(relay.request)
            if refusal is not None and relay not in self._ending:
                self._ending.add(relay)
                gevent.spawn_later(
                    core.bounds.revoke_grace_ms / MS_PER_S, self._end, relay
                )

    def _end(self, relay):
        self._ending.discard(relay)
        if relay not in self._core.active:
            return
        refusal = self._core.admission.key_refusal(relay.request)
        if refusal is not None:
            paddle_kernel.emit(
                _events.STREAM_ENDED_BY_KEY, id=relay.request.id
            )
            relay.end_with(refusal)


def poll_period_ms(bounds, live_daemons, longest_ms=None):
    """Return the period of the polls of the replicas.

    All daemons together poll at a bounded rate, so that the load of a replica
    does not grow with their number. Three polls fit into the freshness
    bound, so that one may fail.
    """
    wanted = (live_daemons or 1) * POLL_MS_PER_DAEMON
    longest = bounds.freshness_ms // POLLS_PER_FRESHNESS
    if longest_ms is not None:
        longest = min(longest, longest_ms)
    return max(bounds.config_poll_ms, min(wanted, longest))


class Pace:
    """Lets a periodic function run once per :func:`poll_period_ms`."""

    def __init__(self, core, function, longest_ms=None):
        self._core = core
        self._function = function
        self._longest_ms = longest_ms
        self._due_ms = 0

    def poll(self):
        """Call the function if its period has passed."""
        now_ms = self._core.clock.now_ms()
        if now_ms >= self._due_ms:
            self._due_ms = now_ms + poll_period_ms(
                self._core.bounds,
                self._core.shares.live_daemons,
                self._longest_ms,
            )
            self._function()


class ConfigPoll:
    """Follows the configuration and reports when it is stale."""

    def __init__(self, core, metrics):
        self._core = core
        self._metrics = metrics
        self._fresh = None

    def poll(self):
        """Follow the configuration once."""
        with self._metrics.config_poll.time():
            self._core.config.poll()
        fresh = self._core.config.age_ms() <= self._core.bounds.freshness_ms
        if self._fresh is not None and fresh != self._fresh:
            event = _events.CONFIG_FRESH if fresh else _events.CONFIG_STALE
            paddle_kernel.emit(event, version=self._core.config.view.version)
        self._fresh = fresh
