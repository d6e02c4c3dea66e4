"""Metrics of a daemon in the Prometheus text format.

Label values are bounded: classes come from the configuration, at most
``MAX_CLASSES`` of them; reasons and outcomes are constants in the code.
"""

import bisect

import prometheus_client
from prometheus_client import core
from prometheus_client import registry

MAX_CLASSES = 64
OTHER_CLASS = 'other'
S_PER_MS = 0.001
FIRST_TOKEN_BUCKETS_S = (
    *(0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.4, 2.0, 4.0, 8.0),
    *(15.0, 30.0, 60.0),
)
INTER_TOKEN_BUCKETS_S = (
    *(0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.053, 0.08, 0.12, 0.25),
    *(0.5, 1.0, 4.0),
)


class FastHistogram(registry.Collector):
    """Histogram with the label ``class``, updated by one thread only.

    ``prometheus_client.Histogram`` locks a mutex for the sum and for each
    bucket, which costs several times as much per token.
    """

    def __init__(self, name, help_text, bounds):
        self._name = name
        self._help_text = help_text
        self.bounds = bounds
        self._children = {}

    def labels(self, name):
        """Return the counts of the class called ``name``."""
        return self._children.setdefault(name, HistogramChild(self.bounds))

    def collect(self):
        """Return the metric family; called at each scrape."""
        family = core.HistogramMetricFamily(
            self._name, self._help_text, labels=['class']
        )
        for name, child in self._children.items():
            family.add_metric([name], child.buckets(), child.sum)
        return [family]


class HistogramChild:
    """Bucket counts and sum of one label value."""

    def __init__(self, bounds):
        self._bounds = bounds
        self._counts = [0] * (len(bounds) + 1)
        self.sum = 0.0

    def observe(self, value, times=1):
        """Add ``times`` observations of ``value``."""
        self._counts[bisect.bisect_left(self._bounds, value)] += times
        self.sum += value * times

    def buckets(self):
        """Return ``[(upper bound, cumulative count)]``."""
        total = 0
        result = []
        bounds = [str(float(bound)) for bound in self._bounds]
        for bound, count in zip((*bounds, '+Inf'), self._counts, strict=True):
            total += count
            result.append((bound, total))
        return result


class ClassMetrics:
    """The metrics of one class, looked up once for all its requests."""

    def __init__(self, metrics, name):
        self.first_token = metrics.first_token.labels(name)
        self.inter_token = metrics.inter_token.labels(name)
        self.queue_depth = metrics.queue_depth.labels(name)
        self.prompt_tokens = metrics.prompt_tokens.labels(name)
        self.generated_tokens = metrics.generated_tokens.labels(name)
        self.wasted_tokens = metrics.wasted_tokens.labels(name)
        self.attained = metrics.attained.labels(name)


class Metrics:
    """All metrics of a daemon, in a registry of their own."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self._classes = {}
        self.requests = self._counter(
            'requests', 'Ended requests.', 'class', 'outcome'
        )
        self.refusals = self._counter(
            'refusals', 'Refusals and failures by code.', 'reason'
        )
        self.retries = self._counter(
            'retries', 'Attempts after the first one.', 'kind'
        )
        self.attained = self._counter(
            'attained_requests', 'Requests within their targets.', 'class'
        )
        self.prompt_tokens = self._counter(
            'prompt_tokens', 'Prompt tokens of ended requests.', 'class'
        )
        self.generated_tokens = self._counter(
            'generated_tokens', 'Tokens passed on to callers.', 'class'
        )
        self.wasted_tokens = self._counter(
            'wasted_tokens', 'Tokens of answers that were cut.', 'class'
        )
        self.queue_depth = self._gauge(
            'queue_depth', 'Requests that wait for a slot.', 'class'
        )
        self.first_token = self._histogram(
            'time_to_first_token_seconds',
            'Time from the request to its first token.',
            FIRST_TOKEN_BUCKETS_S,
        )
        self.inter_token = self._histogram(
            'inter_token_seconds',
            'Time between two tokens.',
            INTER_TOKEN_BUCKETS_S,
        )
        self.config_poll = prometheus_client.Histogram(
            'paddle_config_poll_seconds',
            'Time of one poll of the configuration.',
            registry=self.registry,
        )

    def for_class(self, name):
        """Return the :class:`ClassMetrics` of the class called ``name``.

        Classes beyond ``MAX_CLASSES`` share one label value.
        """
        class_metrics = self._classes.get(name)
        if class_metrics is None:
            label = name if len(self._classes) < MAX_CLASSES else OTHER_CLASS
            class_metrics = ClassMetrics(self, label)
            if label == name:
                self._classes[name] = class_metrics
        return class_metrics

    def label_of(self, name):
        """Return the label value of the class called ``name``."""
        self.for_class(name)
        return name if name in self._classes else OTHER_CLASS

    def add_gauge(self, name, help_text, function):
        """Add a gauge whose value is ``function()`` at each scrape."""
        gauge = self._gauge(name, help_text)
        gauge.set_function(function)

    def render(self):
        """Return all metrics in the Prometheus text format, as bytes."""
        return prometheus_client.generate_latest(self.registry)

    def _counter(self, name, help_text, *labels):
        return prometheus_client.Counter(
            f'paddle_{name}', help_text, labels, registry=self.registry
        )

    def _gauge(self, name, help_text, *labels):
        return prometheus_client.Gauge(
            f'paddle_{name}', help_text, labels, registry=self.registry
        )

    def _histogram(self, name, help_text, buckets):
        histogram = FastHistogram(f'paddle_{name}', help_text, buckets)
        self.registry.register(histogram)
        return histogram
