"""Tests of the metrics: bounded labels and the text form of histograms."""

from paddle_router import _metrics


def test_histogram_has_cumulative_buckets():
    """Guards against observations in a wrong bucket and a missing sum."""
    metrics = _metrics.Metrics()
    child = metrics.for_class('chat').first_token
    for value in (0.005, 0.01, 0.011, 100.0):
        child.observe(value)
    text = metrics.render().decode()
    name = 'paddle_time_to_first_token_seconds'
    assert f'{name}_bucket{{class="chat",le="0.01"}} 2.0' in text
    assert f'{name}_bucket{{class="chat",le="0.025"}} 3.0' in text
    assert f'{name}_bucket{{class="chat",le="60.0"}} 3.0' in text
    assert f'{name}_bucket{{class="chat",le="+Inf"}} 4.0' in text
    assert f'{name}_count{{class="chat"}} 4.0' in text
    assert f'{name}_sum{{class="chat"}} 100.026' in text


def test_classes_beyond_the_limit_share_a_label():
    """Guards against memory that grows with the number of classes."""
    metrics = _metrics.Metrics()
    labels = {metrics.label_of(f'c{index}') for index in range(200)}
    assert len(labels) == _metrics.MAX_CLASSES + 1
    assert _metrics.OTHER_CLASS in labels
