"""Tests of what a gateway learns from requests about its way to servers."""

import gevent
import pytest

from paddle_testbed import gateway_harness

request = gateway_harness.request
exchange = gateway_harness.exchange
respond_ok = gateway_harness.respond_ok


@pytest.fixture
def reach(harness):
    """The reachability of the servers, watched as in a process."""
    watch = gevent.spawn(harness.gateway._watch_reach)
    yield harness.gateway.components.reach
    watch.kill()


def test_a_gateway_notices_that_all_servers_are_lost_and_are_back(
    harness, reach, events
):
    # Guards against refused and closed connections that are not recorded.
    harness.serve(respond_ok, respond_ok, respond_ok)
    assert exchange(harness, request('/safe/x'))[0] == 200
    for origin in harness.origins:
        origin.crash(1.5)
    assert exchange(harness, request('/safe/x'))[0] == 503
    # The request has ended before the probes.
    gevent.sleep(0.3)
    assert reach.is_cut
    metrics = harness.gateway.metrics.text().decode()
    assert 'paddle_gateway_servers_unreachable 1.0' in metrics
    gevent.sleep(2)
    assert not reach.is_cut
    assert exchange(harness, request('/safe/x'))[0] == 200
    dumped = harness.gateway.dump.collect()['reach']
    assert dumped['outstanding'] == 0 and not dumped['is_cut']
    assert [item for item in events.numbers if item in (3370, 3371)] == [
        3370,
        3371,
    ]


def test_slow_servers_are_probed_but_not_lost(harness, reach):
    # Guards against exchanges that are not watched for silence, and against
    # slow servers that are taken for a lost way.
    def respond_late(req, _sock):
        return [1.2, gateway_harness.fakes.response(req)]

    harness.serve(respond_late, respond_late)
    assert exchange(harness, request('/book/x', method='POST'))[0] == 200
    assert not reach.is_cut
    dumped = reach.dump()
    assert 1 <= dumped['probes'] <= 2
    assert dumped['outstanding'] == 0


def test_a_lost_response_causes_a_probe(harness, reach):
    # Guards against connections that end in a partition and are not recorded.
    harness.serve(lambda _req, _sock: [None])
    exchange(harness, request('/book/x', method='POST'))
    gevent.sleep(0.2)
    assert reach.probe_count == 1
    assert not reach.is_cut
    assert reach.dump()['outstanding'] == 0
