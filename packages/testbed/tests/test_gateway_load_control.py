"""A gateway with load control, real sockets and more demand than places."""

import re

import gevent
import gevent.event
import pytest

from paddle_router import gateway
from paddle_router.gateway import _waiting
from paddle_testbed import gateway_harness

request = gateway_harness.request
DEADLINE_MS = 1_500


def overload(harness):
    """Report 20 requests at four places and 100 times the demand."""
    harness.controllers.loads = (
        gateway.ServerFlights(id='i-0', running=20, answers=100, pace_ms=50),
    )
    harness.controllers.demands = (
        gateway.ServiceDemand(
            service='plain', rank=(0, 0), arrivals=8_000_000
        ),
    )
    harness.follower.step()


def serve(**options):
    harness = gateway_harness.GatewayHarness(**options)
    harness.serve(gateway_harness.respond_ok)
    # The first request makes the service known.
    assert gateway_harness.exchange(harness, request('/safe/x'))[0] == 200
    return harness


def send_many(harness, count=40):
    return [
        gateway_harness.exchange(
            harness,
            request(
                '/book/x',
                method='POST',
                body=b'%d' % number,
                deadline_ms=DEADLINE_MS,
            ),
        )
        for number in range(count)
    ]


@pytest.fixture
def loaded():
    harness = serve(load_control=True)
    overload(harness)
    yield harness
    harness.close()


def test_a_request_that_is_turned_away_was_not_sent(loaded):
    # Guards against "not run" for a request that reached a server, in a burst
    # of a hundred times the capacity.
    responses = send_many(loaded)
    refused = [text for status, text, _body in responses if status == 503]
    assert len(refused) > 30
    assert len(loaded.requests) == 1 + len(responses) - len(refused)
    waiting = loaded.gateway.dump.collect()['waiting']['plain']
    assert waiting['turned_away'] == len(refused)


def test_callers_are_told_different_times_that_they_honour(loaded):
    # Guards against callers of one burst that return together, and against a
    # Retry-After that is longer than callers wait.
    times_s = [
        float(re.search(r'retry-after: ([0-9.]+)', text).group(1))
        for status, text, _body in send_many(loaded)
        if status == 503
    ]
    assert all(0 < item <= DEADLINE_MS / 3_000 for item in times_s)
    assert len(set(times_s)) > len(times_s) // 2


def test_the_demand_is_reported_by_rank(loaded):
    # Guards against gateways that do not know each other's demand.
    loaded.follower.step()
    demands = loaded.controllers.requests[-1].reports[0].demands
    assert [item.rank for item in demands] == [(0, 0)]
    assert demands[0].arrivals > 0


def test_without_load_control_every_request_is_sent():
    # Guards against deployments that did not ask for it and are refused.
    harness = serve()
    overload(harness)
    assert {response[0] for response in send_many(harness)} == {200}
    harness.close()


def test_requests_for_one_key_are_told_apart(loaded):
    # Load: many callers ask for one key. Guards against all of them being
    # taken for one caller who repeats: not counted, and refused together.
    for _ in range(12):
        gateway_harness.exchange(loaded, request('/safe/hot'))
    loaded.follower.step()
    demands = loaded.controllers.requests[-1].reports[0].demands
    assert demands[0].arrivals > 12 * 0.5 * 1_000_000 / 2_000


def hold(harness):
    """Report 20 requests at four places and no further demand."""
    harness.controllers.loads = (
        gateway.ServerFlights(id='i-0', running=20, answers=100, pace_ms=50),
    )
    harness.follower.step()
    # The load by other gateways is averaged over a second.
    gevent.sleep(1.5)


def test_waiting_requests_share_a_timer(monkeypatch):
    # Load: a flood of requests that all wait. Guards against a timer for each
    # of them: 1,000 of them took a whole core.
    checks = []
    check = _waiting.WaitingRequests._decide_again
    monkeypatch.setattr(
        _waiting.WaitingRequests,
        '_decide_again',
        lambda *args: (checks.append(1), check(*args)),
    )
    harness = serve(load_control=True)
    hold(harness)
    tasks = [
        gevent.spawn(
            gateway_harness.exchange,
            harness,
            request('/book/x', method='POST', body=b'%d' % number),
        )
        for number in range(20)
    ]
    gevent.joinall(tasks, timeout=5)
    assert {task.value[0] for task in tasks} == {503}
    assert len(checks) <= 15
    harness.close()


def test_a_waiting_caller_that_leaves_is_forgotten():
    harness = serve(load_control=True)
    hold(harness)
    sock = harness.connect()
    sock.sendall(request('/book/x', method='POST', body=b'1'))
    gevent.sleep(0.02)
    admission = harness.gateway.components.waiting._admissions['plain']
    assert len(admission) == 1
    sock.close()
    gevent.sleep(0.03)
    assert len(admission) == 0
    harness.close()
