"""What a daemon does when the configuration changes or becomes stale."""

import gevent

import paddle_kernel
from paddle_router import _events

MS_PER_S = paddle_kernel.MS_PER_S


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
