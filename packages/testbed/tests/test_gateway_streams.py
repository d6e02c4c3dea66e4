"""Tests of streams, disconnecting callers and a graceful stop."""

import time

import gevent
import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

request = gateway_harness.request
exchange = gateway_harness.exchange
read_response = gateway_harness.read_response
respond_ok = gateway_harness.respond_ok


# Streams


def send_events(first, last, *tail):
    def script(req, _sock):
        begin = int(req.headers.get(b'last-event-id', b'0')) + 1
        begin = max(begin, first)
        return [
            fakes.stream_head(req),
            *[fakes.event(number) for number in range(begin, last + 1)],
            *tail,
        ]

    return script


def event_ids(body):
    return [
        int(part.split(b'\n')[0])
        for part in body.replace(b'id: ', b'|').split(b'|')[1:]
    ]


def test_a_broken_stream_is_resumed_without_gap_or_repeat(harness):
    # Whichever server is chosen first stops in the middle of an event.
    broken = send_events(1, 4, b'20\r\nid: 5\nda', None)
    rest = send_events(1, 9, fakes.STREAM_END)

    def script(req, sock):
        resumes = b'last-event-id' in req.headers
        return rest(req, sock) if resumes else broken(req, sock)

    harness.serve(script, script)
    for _ in range(4):
        status, _text, body = exchange(
            harness, request('/chat/x', method='POST', body=b'p')
        )
        assert status == 200 and event_ids(body) == list(range(1, 10))
    resumed = [
        req for req in harness.requests if b'last-event-id' in req.headers
    ]
    assert len(resumed) == 4
    assert all(req.headers[b'last-event-id'] == b'4' for req in resumed)


def test_a_broken_stream_that_cannot_be_resumed_appears_incomplete(harness):
    harness.serve(send_events(1, 4, None), send_events(1, 4, None))
    status, _text, body = exchange(
        harness, request('/report/x', method='POST', body=b'p')
    )
    assert status == 200 and not body.endswith(b'0\r\n\r\n')
    assert len(harness.requests) == 1


def unframed_head(req):
    """Return the head of a stream that ends with its connection."""
    return b'\r\n'.join(
        [
            b'HTTP/1.1 200 OK',
            b'Rosemarypaddle-Request-Id: ' + req.id,
            fakes.STAMP,
            b'Content-Type: text/event-stream',
            b'Connection: close',
            b'',
            b'',
        ]
    )


def unframed_event(number):
    return b'id: %d\ndata: x\n\n' % number


def send_unframed_events(first, last, tail=b''):
    def script(req, _sock):
        begin = int(req.headers.get(b'last-event-id', b'0')) + 1
        events = range(max(first, begin), last + 1)
        return [
            unframed_head(req),
            *[unframed_event(number) for number in events],
            tail,
            None,
        ]

    return script


UNFINISHED_EVENTS = [b'id: 5', b'id: 5\ndata: x', b'id: 5\ndata: x\n']


@pytest.mark.parametrize('tail', [b'', b'\n'])
def test_a_stream_that_ends_with_its_connection_is_complete(harness, tail):
    harness.serve(send_unframed_events(1, 4, tail))
    status, _text, body = exchange(
        harness, request('/report/x', method='POST', body=b'p')
    )
    assert status == 200 and event_ids(body) == [1, 2, 3, 4]
    assert body.endswith(fakes.STREAM_END)


@pytest.mark.parametrize('tail', UNFINISHED_EVENTS)
def test_an_unframed_stream_that_ends_inside_an_event_is_broken(harness, tail):
    # Guards against a stream of a crashed server that is passed on as
    # complete: it has neither a length nor chunks that show its end.
    harness.serve(send_unframed_events(1, 4, tail))
    status, _text, body = exchange(
        harness, request('/report/x', method='POST', body=b'p')
    )
    assert status == 200 and event_ids(body) == [1, 2, 3, 4]
    assert not body.endswith(fakes.STREAM_END)


def test_an_unframed_stream_without_an_event_is_broken(harness):
    # A server that crashes after the head leaves an empty body.
    harness.serve(send_unframed_events(1, 0))
    status, _text, _body = exchange(
        harness, request('/report/x', method='POST', body=b'p')
    )
    assert status == 502


@pytest.mark.parametrize('tail', UNFINISHED_EVENTS)
def test_a_broken_unframed_stream_is_resumed(harness, tail):
    broken = send_unframed_events(1, 4, tail)
    rest = send_unframed_events(1, 9)

    def script(req, sock):
        resumes = b'last-event-id' in req.headers
        return rest(req, sock) if resumes else broken(req, sock)

    harness.serve(script, script)
    status, _text, body = exchange(
        harness, request('/chat/x', method='POST', body=b'p')
    )
    assert status == 200 and event_ids(body) == list(range(1, 10))
    assert body.endswith(fakes.STREAM_END)


def test_events_are_forwarded_as_they_arrive(harness):
    def script(req, _sock):
        return [
            fakes.stream_head(req),
            fakes.event(1),
            0.5,
            fakes.event(2),
            fakes.STREAM_END,
        ]

    harness.serve(script)
    sock = harness.connect()
    sock.sendall(request('/chat/x', method='POST', body=b'p'))
    data = b''
    with gevent.Timeout(0.4):
        while b'id: 1' not in data:
            data += sock.recv(1_000)
    assert b'id: 2' not in data


def test_the_server_connection_is_closed_when_the_caller_disconnects(harness):
    # Guards against an engine that continues to work for no caller.
    harness.serve(lambda req, sock: None)
    sock = harness.connect()
    sock.sendall(request('/chat/x', method='POST', body=b'p'))
    while not harness.requests:
        gevent.sleep(0.01)
    sock.close()
    with gevent.Timeout(0.5):
        while not harness.origins[0].aborted:
            gevent.sleep(0.01)


def test_usage_counts_started_requests(harness):
    harness.serve(send_events(1, 3, fakes.STREAM_END))
    exchange(harness, request('/chat/x', method='POST', body=b'p'))
    (count,) = harness.gateway.components.usage.recent()
    assert (count.customer, count.requests) == ('cust', 1)


# Stop


def test_a_planned_stop_finishes_requests_and_closes_connections(harness):
    def script(req, _sock):
        return [0.3, fakes.response(req)]

    harness.serve(script)
    assert harness.gateway.ready
    sock = harness.connect()
    sock.sendall(request('/safe/x'))
    idle = harness.connect()
    gevent.sleep(0.1)
    stopping = gevent.spawn(harness.gateway.stop)
    status, text, _body = read_response(sock)
    assert status == 200 and 'connection: close' in text
    assert not harness.gateway.ready
    assert idle.recv(10) == b''
    # The load balancer may send a caller late. Requests accepted after 3 s
    # could not be finished in time.
    gevent.sleep(2.0)
    harness.origins[0].script = lambda req, sock: [1.2, fakes.response(req)]
    late = gevent.spawn(exchange, harness, request('/book/x', method='POST'))
    gevent.sleep(0.8)
    with pytest.raises(OSError):
        exchange(harness, request('/safe/later'))
    assert late.get()[0] == 200
    assert stopping.get(timeout=8) is True


def test_a_request_that_arrived_before_the_close_is_served(harness):
    # The request arrives while the process is not scheduled, before the close.
    harness.serve(respond_ok)
    sock = harness.connect()
    sock.sendall(request('/safe/1'))
    assert read_response(sock)[0] == 200
    sock.sendall(request('/safe/2'))
    time.sleep(0.05)
    harness.gateway.entry.close_idle()
    assert read_response(sock)[0] == 200
