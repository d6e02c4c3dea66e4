"""Tests of a gateway while failure domains are evacuated."""

import types

import attrs
import gevent
from paddle_router import gateway
from paddle_router.gateway import _moves
import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

request = gateway_harness.request
exchange = gateway_harness.exchange
respond_ok = gateway_harness.respond_ok
NOT_RUN = b'Rosemarypaddle-Not-Run: 1'
REQUESTS = 10
WAIT_S = 5


def evacuate(harness, version, *domains):
    harness.controllers.evacuation = gateway.Evacuation(
        version=version, domains=domains
    )
    harness.follower.step()


@pytest.fixture
def serve(harness):
    """Return a function that starts servers in the domains d1, d2, ..."""

    def start(*scripts):
        harness.serve(*scripts)
        harness.controllers.servers = tuple(
            attrs.evolve(item, domain=f'd{number}')
            for number, item in enumerate(harness.controllers.servers, start=1)
        )
        harness.follower.step()
        return harness

    return start


def send(harness, count=REQUESTS):
    return [exchange(harness, request('/safe/x'))[0] for _ in range(count)]


def wait_for(function):
    with gevent.Timeout(WAIT_S):
        while not function():
            gevent.sleep(0.01)


def test_an_evacuated_domain_gets_no_requests_until_it_is_used_again(serve):
    harness = serve(respond_ok, respond_ok)
    evacuate(harness, 1, 'd1')
    assert send(harness) == [200] * REQUESTS
    assert [len(item.requests) for item in harness.origins] == [0, REQUESTS]
    evacuate(harness, 2)
    evacuate(harness, 3, 'd2')
    assert send(harness) == [200] * REQUESTS
    assert len(harness.origins[1].requests) == REQUESTS


def test_an_older_evacuation_is_not_applied(serve):
    # Guards against a change of the controller that takes an order back.
    harness = serve(respond_ok, respond_ok)
    evacuate(harness, 2, 'd1')
    evacuate(harness, 1)
    harness.controllers.evacuation = None
    harness.follower.step()
    assert send(harness) == [200] * REQUESTS
    assert not harness.origins[0].requests


def test_a_gateway_that_starts_knows_the_evacuation_when_it_is_ready(serve):
    # Guards against requests before a second exchange.
    harness = serve(respond_ok, respond_ok)
    evacuate(harness, 1, 'd1')
    follower = harness.follower
    started = gateway_harness.GatewayHarness()
    started.controllers.servers = harness.controllers.servers
    started.controllers.evacuation = harness.controllers.evacuation
    evacuated_when_ready = []
    started.follower.on_change(
        lambda: (
            started.follower.is_ready
            and evacuated_when_ready.append(
                started.follower.evacuation.domains
            )
        )
    )
    started.follower.step()
    assert set(evacuated_when_ready) == {follower.evacuation.domains}
    started.close()


def test_a_refused_request_is_not_retried_in_an_evacuated_domain(serve):
    def reject(req, _sock):
        return fakes.response(req, b'', status=b'503 Full', extra=(NOT_RUN,))

    harness = serve(reject, respond_ok)
    evacuate(harness, 1, 'd2')
    status, head, _body = exchange(harness, request('/safe/x'))
    assert status == 503 and 'retry-after' in head
    assert not harness.origins[1].requests


def test_a_service_without_other_servers_is_refused_as_not_run(serve):
    # Guards against an exception to the order that the operator did not make.
    harness = serve(respond_ok, respond_ok)
    evacuate(harness, 1, 'd1', 'd2')
    status, head, _body = exchange(harness, request('/safe/x'))
    assert status == 503 and 'retry-after' in head
    assert not harness.requests
    text = harness.gateway.metrics.text().decode()
    assert 'paddle_gateway_servers_evacuated 2.0' in text
    evacuate(harness, 2, 'd1')
    assert send(harness, 1) == [200]


def test_a_waiting_request_does_not_follow_its_server_into_evacuation(serve):
    # Guards against a request that is sent when its wait ends, long after the
    # order.
    def ask_for_quiet(req, _sock):
        return fakes.response(
            req, b'', status=b'503 Full', extra=(NOT_RUN, b'Retry-After: 0.5')
        )

    harness = serve(ask_for_quiet)
    exchange(harness, request('/safe/x', deadline_ms=300))
    waiting = gevent.spawn(exchange, harness, request('/safe/x'))
    wait_for(lambda: harness.gateway.components.waiting.count)
    sent = len(harness.requests)
    evacuate(harness, 1, 'd1')
    assert waiting.get(timeout=WAIT_S)[0] == 503
    assert len(harness.requests) == sent


def test_a_stream_in_the_domain_is_served_to_its_end(serve):
    # Guards against callers who lose what the server goes on to make.
    def stream(req, _sock):
        yield fakes.stream_head(req)
        for number in range(1, 6):
            yield fakes.event(number)
            yield 0.1
        yield fakes.STREAM_END

    harness = serve(stream, respond_ok)
    evacuate(harness, 1, 'd2')
    caller = gevent.spawn(
        exchange, harness, request('/report/x', method='POST', body=b'p')
    )
    wait_for(lambda: harness.origins[0].requests)
    evacuate(harness, 2, 'd1', 'd2')
    status, _head, body = caller.get(timeout=WAIT_S)
    assert status == 200 and body.count(b'id: ') == 5


def test_the_run_of_a_leaving_server_is_not_moved_into_an_evacuated_domain(
    serve,
):
    # Guards against moves that fail since half of the usable servers are left
    # out at random, evacuated ones included.
    harness = serve(*[respond_ok] * 5)
    evacuate(harness, 1, 'd2', 'd3', 'd4')
    mover = harness.gateway.components.moves
    server = harness.gateway.components.server('i-0')
    call = types.SimpleNamespace(
        service='plain',
        route=types.SimpleNamespace(gap_ms=0),
        software_version=None,
        unsuitable=frozenset(),
        excluded=frozenset(),
    )
    targets = {
        mover._choose_target(
            _moves.RunningStream(call, server, flight=None)
        ).id
        for _ in range(20)
    }
    assert targets == {'i-4'}
