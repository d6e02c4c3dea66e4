"""Tests with peers that always have bytes ready, beside other requests.

gevent switches to another greenlet only where an operation would block. While
a peer sends as fast as the gateway reads, nothing blocks. The peers are
processes of their own, because one in this process would pause whenever the
gateway runs.
"""

import copy
import time

import gevent
import pytest

from paddle_testbed import endless_peer
from paddle_testbed import fakes
from paddle_testbed import gateway_harness

ROUTE_TIMEOUT_S = 1.5
ROUTE_KINDS = ('streaming', 'unsafe')
# Requests beside an endless peer, and the pause between two.
REQUESTS = 10
PAUSE_S = 0.1
# A stream without an event ends after the longest pause that its caller
# accepts: 2.4 s (eight gaps of 300 ms), with the margins of the gateway 2.89.
STREAM_LIMIT_S = 5


@pytest.fixture
def endless(harness):
    """A harness with one sound server and one of endless answers."""
    server = endless_peer.EndlessPeer.serve()
    address = server.read_line()
    harness.serve(lambda req, sock: fakes.response(req))
    sound = harness.controllers.servers[0]
    config = copy.deepcopy(gateway_harness.CONFIG)
    config['version'] += 1
    config['services'].append({'name': 'model', 'connectionLimit': 50})
    config['routes'] += [
        {
            'name': kind,
            'host': 'h',
            'pathPrefix': f'/{kind}/',
            'kind': kind,
            'timeoutMs': 20_000,
            'targetLatencyMs': 300,
            'targetGapMs': 300,
            'service': 'model',
            'attempts': 1,
        }
        for kind in ROUTE_KINDS
    ]
    harness.controllers.config = config
    harness.controllers.servers = (
        sound,
        gateway_harness.listed_server('i-endless', 'model', address),
    )
    harness.follower.step()
    harness.peers = [server]
    yield harness
    for peer in harness.peers:
        peer.stop()


def answer_times(harness):
    """Return when each of some requests was answered, in s.

    The times count from the moment at which each should have been sent.
    """
    begin_s = time.monotonic()
    times_s = []
    for number in range(REQUESTS):
        due_s = begin_s + number * PAUSE_S
        gevent.sleep(max(0, due_s - time.monotonic()))
        status, _text, body = gateway_harness.exchange(
            harness, gateway_harness.request(f'/safe/{number}')
        )
        assert (status, body) == (200, b'ok')
        times_s.append(time.monotonic() - due_s)
    return times_s


def request_endless(harness, kind, route_kind='streaming'):
    """Start a caller that reads an endless answer."""
    request = gateway_harness.request(
        f'/{route_kind}/{kind}', method='POST', deadline_ms=20_000
    )
    address = harness.gateway.entry.address
    reader = endless_peer.EndlessPeer.read(address, request)
    harness.peers.append(reader)
    reader.read_line()


@pytest.mark.parametrize('route_kind', ROUTE_KINDS)
@pytest.mark.parametrize('kind', endless_peer.PIECES)
def test_an_endless_answer_does_not_delay_other_requests(
    endless, kind, route_kind
):
    # Guards against a gateway that does nothing else while one server sends
    # without end and one caller reads: no request, timer or probe ran.
    request_endless(endless, kind, route_kind)
    times_s = answer_times(endless)
    assert max(times_s) < ROUTE_TIMEOUT_S


def wait_for_end(peer):
    """Wait until the gateway has ended the connection of ``peer``."""
    end_s = time.monotonic() + STREAM_LIMIT_S
    while peer.is_running():
        assert time.monotonic() < end_s
        gevent.sleep(PAUSE_S)


@pytest.mark.parametrize('kind', ['nonsense', 'comments', 'lines'])
def test_an_endless_stream_without_an_event_ends(endless, kind):
    # Guards against limits of a stream that never fire while bytes arrive.
    request_endless(endless, kind)
    wait_for_end(endless.peers[-1])


def test_an_endless_body_of_a_caller_does_not_delay_other_requests(endless):
    # Guards against a parser that is kept busy by the chunks of one request.
    config = copy.deepcopy(endless.controllers.config)
    config['version'] += 1
    config['limits'] = {'maxBodyBytes': 1 << 30, 'headerTimeoutMs': 500}
    endless.controllers.config = config
    endless.follower.step()
    head = gateway_harness.request(
        '/book/x', method='POST', extra=('Transfer-Encoding: chunked',)
    )
    writer = endless_peer.EndlessPeer.write(
        endless.gateway.entry.address, head, endless_peer.PIECES['bytes']
    )
    endless.peers.append(writer)
    writer.read_line()
    assert max(answer_times(endless)) < ROUTE_TIMEOUT_S
    wait_for_end(writer)
