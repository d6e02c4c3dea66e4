"""Metrics of a gateway in the Prometheus text format.

Route names come from the operator, so the labels are kinds and outcomes only.
"""

import prometheus_client

S_PER_MS = 0.001
LATENCY_BUCKETS = (
    *(0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 1.5, 2.5),
    *(4.0, 8.0, 15.0),
)


class GatewayMetrics:
    """Counters, latency histograms and gauges of one gateway."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            'paddle_gateway_requests',
            'Requests by kind and status of the final answer.',
            ['kind', 'status'],
            registry=self.registry,
        )
        self.failures = prometheus_client.Counter(
            'paddle_gateway_attempt_failures',
            'Attempts at backend servers that brought no answer.',
            ['step'],
            registry=self.registry,
        )
        self.latency = prometheus_client.Histogram(
            'paddle_gateway_latency_seconds',
            'Time to the whole answer, of a stream to its first event.',
            ['kind'],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )

        self.quiet_answers = prometheus_client.Counter(
            'paddle_gateway_quiet_answers',
            'Answers by which a server asked for no requests for a time.',
            registry=self.registry,
        )
        self.servers_leaving = prometheus_client.Counter(
            'paddle_gateway_servers_leaving',
            'Servers whose answers said first that they leave.',
            registry=self.registry,
        )
        self.waited = prometheus_client.Histogram(
            'paddle_gateway_waited_seconds',
            'Time that requests waited for a server to be asked again.',
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )

    def watch(self, gateway):
        """Add gauges that read the state of ``gateway`` when collected."""
        follower = gateway.parts.follower
        for name, text, function in (
            ('busy', 'Requests in progress.', lambda: gateway.entry.busy),
            ('ready', 'Whether callers are taken.', lambda: gateway.ready),
            (
                'waiting',
                'Requests that wait for a server to be asked again.',
                lambda: gateway.parts.waiting.count,
            ),
            ('fronts', 'Gateways counted.', lambda: follower.gateway_count),
            (
                'connections_opened',
                'Connections opened to backend servers.',
                lambda: gateway.parts.pool.opened,
            ),
            (
                'moves_begun',
                'Streams whose server was asked to move their run.',
                lambda: gateway.parts.moves.begun,
            ),
            (
                'streams_moved',
                'Streams whose run was copied to go on elsewhere.',
                lambda: gateway.parts.moves.moved,
            ),
        ):
            gauge = prometheus_client.Gauge(
                f'paddle_gateway_{name}', text, registry=self.registry
            )
            gauge.set_function(function)

    def note_done(self, kind, status):
        """Count a final answer."""
        self.requests.labels(kind, status).inc()

    def note_latency(self, kind, latency_ms):
        """Count the time to the answer or its first event."""
        self.latency.labels(kind).observe(latency_ms * S_PER_MS)

    def text(self):
        """Return the metrics as text in bytes."""
        return prometheus_client.generate_latest(self.registry)
