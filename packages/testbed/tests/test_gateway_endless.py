"""Tests with faulty servers: endless, stalled and trickling responses.

Each server sends an invalid response until the gateway closes the connection.
A request that may be retried is served by another server, and a single request
uses little memory.
"""

import itertools
import time
import tracemalloc

import gevent
import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

request = gateway_harness.request
exchange = gateway_harness.exchange
read_response = gateway_harness.read_response
respond_ok = gateway_harness.respond_ok

# Limits each endless response to 200 MB in pieces of 64 KB.
PIECE_COUNT = 3_200
PIECE = b'x' * 65_536
# Specified limit for a request to a faulty server.
MAX_MEMORY_BYTES = 2_000_000


def head(*lines):
    return b'\r\n'.join([b'HTTP/1.1 200 OK', *lines, b'', b''])


def chunk(data, extension=b''):
    return b'%x%s\r\n%s\r\n' % (len(data), extension, data)


def send_endlessly(first, piece=PIECE):
    yield first
    for _ in range(PIECE_COUNT):
        yield piece


def request_id_header(req):
    return b'Rosemarypaddle-Request-Id: ' + req.id


def response_to_another_request(req):
    lines = (b'Rosemarypaddle-Request-Id: other', fakes.STAMP)
    return send_endlessly(head(*lines))


BAD_RESPONSES = {
    'a body without signature': lambda req: send_endlessly(
        head(request_id_header(req))
    ),
    'a failure': lambda req: send_endlessly(
        head(request_id_header(req), fakes.STAMP).replace(
            b'200 OK', b'500 Failed'
        )
    ),
    'interim heads': lambda req: send_endlessly(
        b'HTTP/1.1 103 Early Hints\r\n\r\n',
        b'HTTP/1.1 103 Early Hints\r\n\r\n' * 100,
    ),
    'a header': lambda req: send_endlessly(b'HTTP/1.1 200 OK\r\nX-Long: '),
    'an answer of another request': response_to_another_request,
    'chunk extensions': lambda req: send_endlessly(
        head(
            request_id_header(req), fakes.STAMP, b'Transfer-Encoding: chunked'
        ),
        chunk(b'y', b';' + b'e' * 60_000),
    ),
    'trailers': lambda req: send_endlessly(
        head(
            request_id_header(req), fakes.STAMP, b'Transfer-Encoding: chunked'
        )
        + b'0\r\nX-Long: '
    ),
    'no answer at all': lambda req: send_endlessly(
        b'garbage without a line end'
    ),
}


def fail_first_request(bad, good):
    """Return a script with a bad response to the first request only."""
    count = itertools.count()

    def script(req, sock):
        return good(req, sock) if next(count) else bad(req)

    return script


@pytest.mark.parametrize('name', BAD_RESPONSES)
def test_an_endless_response_is_retried_on_another_server(harness, name):
    # Guards against a gateway that grows by 251 MB in 1.5 s while the caller
    # waits until its deadline.
    script = fail_first_request(BAD_RESPONSES[name], respond_ok)
    harness.serve(script, script)
    tracemalloc.start()
    start_s = time.monotonic()
    status, _text, body = exchange(harness, request('/safe/x'))
    took_s = time.monotonic() - start_s
    _now, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert (status, body) == (200, b'ok')
    assert peak_bytes < MAX_MEMORY_BYTES
    assert took_s < 1.0
    assert len(harness.requests) == 2


@pytest.mark.parametrize('name', BAD_RESPONSES)
def test_an_endless_response_fails_a_request_that_must_not_be_retried(
    harness, name
):
    harness.serve(lambda req, sock: BAD_RESPONSES[name](req))
    status, _text, _body = exchange(harness, request('/book/x', method='POST'))
    assert status in (500, 502, 504)
    assert len(harness.requests) == 1


def test_a_long_response_is_forwarded_as_it_arrives(harness):
    # Guards against a long response that is buffered completely. The caller
    # applies backpressure to the server.
    pieces = 100

    def script(req, _sock):
        yield head(request_id_header(req), fakes.STAMP)
        for _ in range(pieces):
            yield PIECE
        yield None

    harness.serve(script)
    sock = harness.connect()
    tracemalloc.start()
    sock.sendall(request('/safe/x'))
    status, _text, body = read_response(sock)
    tracemalloc.stop()
    assert status == 200 and body.endswith(b'0\r\n\r\n')
    assert body.count(b'x') == pieces * len(PIECE)


def test_a_long_response_that_ends_early_appears_incomplete(harness):
    def script(req, _sock):
        yield head(
            request_id_header(req), fakes.STAMP, b'Content-Length: 9000000'
        )
        for _ in range(20):
            yield PIECE
        yield None

    harness.serve(script, script)
    status, _text, body = exchange(harness, request('/safe/x'))
    assert status == 200 and not body.endswith(b'0\r\n\r\n')
    # The response has reached the caller in part, so there is no retry.
    assert len(harness.requests) == 1


def test_a_stream_with_an_endless_event_is_resumed_elsewhere(harness):
    def bad(req):
        yield fakes.stream_head(req)
        yield fakes.event(1)
        for _ in range(PIECE_COUNT):
            yield chunk(PIECE)

    def good(req, _sock):
        begin = int(req.headers.get(b'last-event-id', b'0')) + 1
        return [
            fakes.stream_head(req),
            *[fakes.event(number) for number in range(begin, 4)],
            fakes.STREAM_END,
        ]

    script = fail_first_request(bad, good)
    harness.serve(script, script)
    tracemalloc.start()
    status, _text, body = exchange(
        harness, request('/chat/x', method='POST', body=b'p')
    )
    _now, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert status == 200 and body.count(b'id: ') == 3
    assert body.endswith(b'0\r\n\r\n')
    assert peak_bytes < MAX_MEMORY_BYTES


# Stalled and trickling responses


def trickle(req, piece, pause_s=0.2):
    """Start a stream, then send ``piece`` repeatedly without an event."""
    yield fakes.stream_head(req)
    yield fakes.event(1)
    for _ in range(100):
        yield pause_s
        yield chunk(piece)


@pytest.mark.parametrize('piece', [b': still here\n\n', b'x', b'data: y\n'])
def test_a_stream_of_bytes_without_events_is_resumed_elsewhere(harness, piece):
    # Guards against bytes that keep a stream alive until the route's timeout.
    def good(req, _sock):
        assert req.headers[b'last-event-id'] == b'1'
        return [fakes.stream_head(req), fakes.event(2), fakes.STREAM_END]

    script = fail_first_request(lambda req: trickle(req, piece), good)
    harness.serve(script, script)
    start_s = time.monotonic()
    status, _text, body = exchange(
        harness, request('/chat/x', method='POST', body=b'p')
    )
    assert status == 200 and body.endswith(b'0\r\n\r\n')
    # Eight times the gap target of the route, which is 300 ms.
    assert time.monotonic() - start_s < 3.0


def test_a_stalled_stream_that_cannot_be_resumed_is_aborted(harness):
    # Callers give up after 2 s without an event; the route's timeout is 4 s.
    harness.serve(lambda req, sock: trickle(req, b': still here\n\n'))
    start_s = time.monotonic()
    status, _text, body = exchange(
        harness, request('/report/x', method='POST', body=b'p')
    )
    assert status == 200 and not body.endswith(b'0\r\n\r\n')
    assert 2.0 < time.monotonic() - start_s < 3.0


def test_a_slow_stream_within_its_limits_is_not_aborted(harness):
    # Pauses exceed the gap target but not the eight times of it after which
    # callers give up.
    def script(req, _sock):
        yield fakes.stream_head(req)
        for number in (1, 2, 3):
            yield 0.8
            yield fakes.event(number)
        yield fakes.STREAM_END

    harness.serve(script, script)
    status, _text, body = exchange(
        harness, request('/chat/x', method='POST', body=b'p')
    )
    assert status == 200 and body.count(b'id: ') == 3
    assert body.endswith(b'0\r\n\r\n')
    assert len(harness.requests) == 1


def test_a_trickling_plain_response_is_retried_on_another_server(harness):
    # Guards against a time limit that covers only the response head.
    def bad(req):
        yield head(request_id_header(req), fakes.STAMP, b'Content-Length: 100')
        for _ in range(100):
            yield b'x'
            yield 0.1

    script = fail_first_request(bad, respond_ok)
    harness.serve(script, script)
    with gevent.Timeout(1.0):
        assert exchange(harness, request('/safe/x'))[0] == 200


@pytest.mark.parametrize('with_id', [True, False])
def test_a_late_duplicate_response_is_discarded(harness, with_id):
    # Guards against a response that a server sends twice: the second copy
    # arrives when the connection is in use again and went to the next caller.
    def script(req, _sock):
        extra = fakes.response(req, b'for ' + req.id)
        if not with_id:
            extra = extra.replace(request_id_header(req) + b'\r\n', b'')
        return [fakes.response(req, b'for ' + req.id), 0.05, extra]

    harness.serve(script)
    for number in range(8):
        raw = request('/safe/x').replace(
            b'Request-Id: r', b'Request-Id: n%d-' % number
        )
        status, _text, body = exchange(harness, raw)
        assert (status, body[:7]) == (200, b'for n%d-' % number)
        gevent.sleep(0.02 * (number % 4))
