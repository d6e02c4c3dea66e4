"""Status of a daemon for the operator interface and the metrics."""

from paddle_router import _instances


class Status:
    """Collects the state of a daemon and its view of the system."""

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
            'live_daemons': core.shares.live_daemons,
            'daemons': self.daemons(),
            'replicas': self.replicas(),
            'lease': [daemon.control.lease.dump()],
            'engines': self.engines(),
            'windows': self.windows(),
        }

    def windows(self):
        """Return one row for each usage window with counts in memory."""
        usage = self._daemon.usage
        return [
            {
                'window': window,
                'requests': usage.requests_in(window),
                'flushed': window not in usage.dump()['unsent'],
            }
            for window in usage.dump()['windows']
        ]

    def daemons(self):
        """Return one row for each daemon that reports to this replica.

        A daemon that hosts no replica gets no reports and lists only itself.
        """
        reports = self._daemon.hosting.daemons()
        return [{'name': name, **row} for name, row in reports.items()] or [
            {'name': self._daemon.settings.name, 'state': 'live', 'age_ms': 0}
        ]

    def replicas(self):
        """Return one row for each replica in the settings."""
        statuses = self._daemon.replica_admin.status(
            self._daemon.settings.replicas
        )
        return [
            {'address': address, 'answers': False}
            if status is None
            else {
                'address': address,
                'answers': True,
                'identity': status.identity,
                'epoch': status.view.epoch,
                'voting': status.voting,
                'keys': status.keys,
            }
            for address, status in statuses.items()
        ]

    def engines(self):
        """Return one row for each listed engine."""
        core = self._daemon.core
        balancer_states = {}
        for pool in core.dispatcher.dump().values():
            for engine_id, state in pool['balancer'].items():
                row = balancer_states.setdefault(engine_id, {'running': 0})
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
                **balancer_states.get(item.id, {}),
            }
            for item in core.instances.instances
            if item.kind == _instances.ENGINE
        ]

    def requests(self):
        """Return the requests in progress, for the state dump."""
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
        """Add the gauges whose values are computed at each scrape."""
        core = self._daemon.core
        metrics.add_gauge(
            'requests_in_progress',
            'Chat requests in progress.',
            lambda: len(core.active),
        )
        metrics.add_gauge(
            'lease_held',
            'Whether this daemon holds the lease.',
            lambda: int(self._daemon.control.lease.number() is not None),
        )
        metrics.add_gauge(
            'replica_voting',
            'Whether this daemon hosts a replica that votes.',
            lambda: int((self._daemon.hosting.dump() or {}).get('voting', 0)),
        )
        metrics.add_gauge(
            'usage_windows_not_flushed',
            'Usage windows with counts that are not durable yet.',
            lambda: len(self._daemon.usage.dump()['unsent']),
        )
        metrics.add_gauge(
            'config_version',
            'Version of the configuration in effect.',
            lambda: core.config.view.version,
        )
        metrics.add_gauge(
            'config_age_seconds',
            'Time since the configuration was last confirmed.',
            lambda: core.config.age_ms() / 1_000,
        )
