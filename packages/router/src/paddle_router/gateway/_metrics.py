"""Metrics of a gateway in the Prometheus text format.

Route names are set by the operator, so they are not used as labels.
"""

import prometheus_client

from paddle_router.gateway import _server_starts

S_PER_MS = 0.001
LATENCY_BUCKETS = (
    *(0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 1.5, 2.5),
    *(4.0, 8.0, 15.0),
)

# A server counts as disturbed if work takes this many times as long as usual
# on its machine; less is within what requests vary anyway.
DISTURBED_PACE = 1.5


class GatewayMetrics:
    """Counters, latency histograms and gauges of one gateway."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            'paddle_gateway_requests',
            'Requests by kind and status of the final response.',
            ['kind', 'status'],
            registry=self.registry,
        )
        self.failures = prometheus_client.Counter(
            'paddle_gateway_attempt_failures',
            'Attempts at backend servers that failed.',
            ['step'],
            registry=self.registry,
        )
        self.latency = prometheus_client.Histogram(
            'paddle_gateway_latency_seconds',
            'Time to the complete response, for a stream to its first event.',
            ['kind'],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )

        self.quiet_answers = prometheus_client.Counter(
            'paddle_gateway_quiet_answers',
            'Responses in which a server asked for a quiet time.',
            registry=self.registry,
        )
        self.servers_leaving = prometheus_client.Counter(
            'paddle_gateway_servers_leaving',
            'Servers that announced their shutdown in a response.',
            registry=self.registry,
        )
        self.server_crashes = prometheus_client.Counter(
            'paddle_gateway_server_crashes',
            'Servers that crashed before they answered a request.',
            registry=self.registry,
        )
        self.refused_prompts = prometheus_client.Counter(
            'paddle_gateway_refused_prompts',
            'Requests refused for a prompt part that crashes servers.',
            registry=self.registry,
        )
        self.callers_ended = prometheus_client.Counter(
            'paddle_gateway_callers_ended',
            'Callers ended because they read too slowly for the memory.',
            registry=self.registry,
        )
        self.bodies_refused = prometheus_client.Counter(
            'paddle_gateway_bodies_refused',
            'Requests refused because their body had no room.',
            registry=self.registry,
        )
        self.turned_away = prometheus_client.Counter(
            'paddle_gateway_turned_away',
            'Requests refused because of the load of the servers.',
            ['kind'],
            registry=self.registry,
        )
        self.load_waited = prometheus_client.Histogram(
            'paddle_gateway_load_waited_seconds',
            'Time that requests waited because of the load of the servers.',
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.waited = prometheus_client.Histogram(
            'paddle_gateway_waited_seconds',
            'Time that requests waited for a server to accept requests.',
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )

        self.held_requests = prometheus_client.Counter(
            'paddle_gateway_held_requests',
            'Requests not sent because the server had become cold.',
            registry=self.registry,
        )

        self.relayed = prometheus_client.Counter(
            'paddle_gateway_relayed',
            'Requests sent through, or received from, another gateway.',
            ['direction'],
            registry=self.registry,
        )

    def add_state_gauges(self, gateway):
        """Add gauges that read the state of ``gateway`` when collected."""
        follower = gateway.components.follower
        starts = gateway.components.starts
        for name, text, function in (
            (
                'servers_cold',
                'Servers that may be cold and get requests by permits.',
                lambda: starts.count(_server_starts.COLD),
            ),
            (
                'servers_starting',
                'Servers whose load grows with their answers.',
                lambda: starts.count(_server_starts.STARTING),
            ),
            ('busy', 'Requests in progress.', lambda: gateway.entry.busy),
            (
                'ready',
                'Whether the gateway accepts new callers.',
                lambda: gateway.ready,
            ),
            (
                'waiting',
                'Requests waiting for a server to accept requests.',
                lambda: gateway.components.waiting.count,
            ),
            (
                'held_for_callers_bytes',
                'Bytes of responses that wait for slow callers.',
                lambda: gateway.components.buffers.held_for_callers,
            ),
            (
                'held_bodies_bytes',
                'Bytes of request bodies that are read or in progress.',
                lambda: gateway.components.buffers.held_bodies,
            ),
            (
                'fronts',
                'Gateways known to the controllers.',
                lambda: follower.gateway_count,
            ),
            (
                'connections_opened',
                'Connections opened to backend servers.',
                lambda: gateway.components.pool.opened_count,
            ),
            (
                'servers_unreachable',
                'Whether no server accepts connections from this gateway.',
                lambda: gateway.components.reach.is_cut,
            ),
            (
                'reach_probes',
                'Connections opened to learn whether servers are reachable.',
                lambda: gateway.components.reach.probe_count,
            ),
            (
                'peers',
                'Other gateways that requests can be sent through.',
                lambda: gateway.components.peers.count,
            ),
            (
                'servers_evacuated',
                'Listed servers in evacuated failure domains.',
                lambda: len(gateway.components.evacuated_ids),
            ),
            (
                'moves_begun',
                'Streams whose server was asked to move the run.',
                lambda: gateway.components.moves.begun_count,
            ),
            (
                'told_pace',
                'Mean pace that servers told of their machines, 1 as usual.',
                lambda: _mean(_told_paces(gateway), default=1.0),
            ),
            (
                'disturbed_servers',
                'Part of these servers whose machine takes longer than usual.',
                lambda: _mean(
                    [pace >= DISTURBED_PACE for pace in _told_paces(gateway)]
                ),
            ),
            (
                'streams_moved',
                'Streams whose run was stopped and copied to be continued.',
                lambda: gateway.components.moves.moved_count,
            ),
        ):
            gauge = prometheus_client.Gauge(
                f'paddle_gateway_{name}', text, registry=self.registry
            )
            gauge.set_function(function)

    def count_response(self, kind, status):
        """Count a final response."""
        self.requests.labels(kind, status).inc()

    def observe_latency(self, kind, latency_ms):
        """Record the time to the response or its first event."""
        self.latency.labels(kind).observe(latency_ms * S_PER_MS)

    def text(self):
        """Return the metrics in the Prometheus text format, as bytes."""
        return prometheus_client.generate_latest(self.registry)


def _told_paces(gateway):
    """Return the paces last told, of the servers of all services."""
    components = gateway.components
    now_ms = components.clock.now_ms()
    return [
        view.told_pace
        for balancer in components.balancers.values()
        for view in balancer.views(now_ms)
        if view.told_pace is not None
    ]


def _mean(values, default=0.0):
    return sum(values) / len(values) if values else default
