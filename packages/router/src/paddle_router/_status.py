"""What the operator interface shows of a daemon."""

from paddle_router import _instances


class Status:
    """Collects the state of the system as this daemon sees it."""

    def __init__(self, daemon):
        self._daemon = daemon

    def collect(self):
        """Return the answer to ``GET /status``."""
        daemon = self._daemon
        core = daemon.core
        return {
            'name': daemon.settings.name,
            'failure_domain': daemon.settings.failure_domain,
            'ready': core.not_ready_reason() is None,
            'not_ready_reason': core.not_ready_reason(),
            'draining': core.draining,
            'config_version': core.config.view.version,
            'config_age_ms': core.config.age_ms(),
            'active_preset': core.config.view.state.active_preset,
            'engines': self.engines(),
            'replica': daemon.hosting.dump(),
        }

    def engines(self):
        """Return one row for each engine on the list."""
        core = self._daemon.core
        running = {}
        for pool in core.dispatcher.dump().values():
            for engine_id, state in pool['balancer'].items():
                row = running.setdefault(engine_id, {'running': 0})
                row['running'] += state.get('running', 0)
                row['status'] = state.get('status', 'ok')
        return [
            {
                'id': item.id,
                'failure_domain': item.failure_domain,
                'state': item.state,
                'slots': item.slots,
                'cheap': item.cheap,
                'models': list(item.models),
                **running.get(item.id, {}),
            }
            for item in core.instances.instances
            if item.kind == _instances.ENGINE
        ]

    def requests(self):
        """Return the requests in progress for the state dump."""
        now_ms = self._daemon.clock.now_ms()
        return [
            {
                'id': relay.request.id,
                'class': relay.request.request_class.name,
                'state': relay.request.state.value,
                'age_ms': now_ms - relay.request.received_ms,
                'chunks': relay.request.chunks,
            }
            for relay in self._daemon.core.active
        ]

    def install_gauges(self, metrics):
        """Add the gauges that are read at each scrape."""
        core = self._daemon.core
        metrics.observe_gauge(
            'requests_in_progress',
            'Chat requests in progress.',
            lambda: len(core.active),
        )
        metrics.observe_gauge(
            'config_version',
            'Version of the configuration in effect.',
            lambda: core.config.view.version,
        )
        metrics.observe_gauge(
            'config_age_seconds',
            'Time since the configuration was last confirmed.',
            lambda: core.config.age_ms() / 1_000,
        )
