"""Tests of requests that arrive late in a planned stop of a gateway."""

import copy
import time

import gevent
import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

# The users allow a request to be cut at the end of the grace period, 8 s, if
# it was sent at most 3 s after the signal.
LATE_S = 4.2
# Time limit of the longest requests on the users' data sheets.
LONG_MS = 15_000
# The time limit of a booking begins with its first byte and ends after LATE_S,
# but before requests are cut.
TIMEOUTS_MS = {'report': LONG_MS, 'book': 6_000}
BODY = b'body'
# A request in progress keeps the process running.
HOLD_AT_S = 2.5
HOLD_S = 2.2


@pytest.fixture
def harness(harness):
    """A gateway that gives callers time to send a request slowly."""
    routes = copy.deepcopy(gateway_harness.CONFIG['routes'])
    for route in routes:
        if route['name'] in TIMEOUTS_MS:
            route['timeoutMs'] = TIMEOUTS_MS[route['name']]
    harness.controllers.config = {
        **gateway_harness.CONFIG,
        'version': 6,
        'routes': routes,
        'limits': {'headerTimeoutMs': 8_000, 'maxBodyBytes': 1_000},
    }
    return harness.serve(respond, respond)


def respond(req, _sock):
    if b'hold' in req.line:
        return [HOLD_S, fakes.response(req)]
    return fakes.response(req)


def send_slowly_during_stop(harness, path, sent_early):
    """Return status and headers of a request that is complete after LATE_S.

    ``sent_early`` bytes of it are sent when the stop begins.
    """
    data = gateway_harness.request(
        path, method='POST', body=BODY, deadline_ms=LONG_MS
    )
    start_s = time.monotonic()
    stopping = gevent.spawn(harness.gateway.stop)
    gevent.sleep(0.1)
    sock = harness.connect()
    sock.sendall(data[:sent_early])
    gevent.sleep(max(0, start_s + HOLD_AT_S - time.monotonic()))
    hold = gateway_harness.request('/report/hold')
    held = gevent.spawn(gateway_harness.exchange, harness, hold)
    gevent.sleep(max(0, start_s + LATE_S - time.monotonic()))
    sock.sendall(data[sent_early:])
    status, text, _body = gateway_harness.read_response(sock)
    sock.close()
    assert held.get(timeout=5)[0] == 200
    stopping.get(timeout=8)
    return status, text


@pytest.mark.parametrize('sent_early', [30, -len(BODY)])
def test_a_late_request_that_the_stop_could_cut_is_not_sent(
    harness, sent_early
):
    # Guards against requests that are passed on late and cut at the end of
    # the grace period, among them those that must not be repeated.
    status, text = send_slowly_during_stop(harness, '/report/x', sent_early)
    assert status == 503
    assert 'retry-after' in text
    assert not any(req.line.startswith(b'POST') for req in harness.requests)


def test_a_late_request_that_ends_before_the_stop_is_served(harness):
    # Guards against refusals of short calls that need no second try.
    status, _text = send_slowly_during_stop(harness, '/book/x', 30)
    assert status == 200


def test_no_connection_is_accepted_late_in_a_stop(harness):
    stopping = gevent.spawn(harness.gateway.stop)
    gevent.sleep(LATE_S)
    with pytest.raises(OSError):
        harness.connect()
    stopping.get(timeout=8)
