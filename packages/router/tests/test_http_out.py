"""Connections to backend servers: resends, partial reads, header filters."""

import contextlib
import json
import tracemalloc

import gevent
import gevent.event
import gevent.server
import pytest

from paddle_router import _headers
from paddle_router import _http_out
from paddle_router import _sse

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'


def close_at_requests(*numbers):
    """Return a script that responds, except to the requests ``numbers``.

    For these it closes the connection without a response.
    """

    def script(sock, number):
        if number in numbers:
            return False
        sock.sendall(OK)
        return True

    return script


def test_non_idempotent_call_is_not_resent_on_a_closed_connection(
    stack, scripted_server
):
    """Guards against a duplicate booking after a keep-alive race."""
    server = scripted_server(close_at_requests(2))
    stack.platform.add(
        'service-1', server.address, kind='service', service='booking'
    )
    daemon = stack.add_daemon()
    options = {'key': stack.key, 'body': {'slot': 1}}
    address = daemon.server.bound_address
    replies = [
        stack.request(
            address,
            'POST',
            '/bookings',
            headers=[('Idempotency-Key', f'b{index}')],
            **options,
        )
        for index in range(3)
    ]
    assert [reply.status for reply in replies] == [200, 502, 200]
    assert replies[1].error['outcome'] == 'unknown'
    assert server.arrivals == 3


def test_idempotent_call_is_resent_if_a_pooled_connection_closed(
    stack, scripted_server
):
    """Guards against errors when an engine closes idle connections."""
    server = scripted_server(close_at_requests(2))
    stack.platform.add('engine-1', server.address, models=['small'])
    daemon = stack.add_daemon()
    replies = [stack.post_chat(daemon) for _ in range(2)]
    assert [reply.status for reply in replies] == [200, 200]
    assert server.arrivals == 3


def test_body_is_read_as_it_arrives(scripted_server):
    """Guards against waiting for a full receive buffer."""
    may_continue = gevent.event.Event()

    def script(sock, number):
        sock.sendall(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst'
        )
        may_continue.wait(5)
        sock.sendall(b'\r\n4\r\nlast\r\n0\r\n\r\n')
        return True

    conn = _http_out.connect(scripted_server(script).address, 1_000)
    conn.send('GET', '/', (), timeout_ms=1_000)
    response = conn.read_head(1_000)
    assert response.read_some() == b'first'
    may_continue.set()
    assert response.read_all(100) == b'last'
    assert not response.should_close()


def test_truncated_response_is_an_error(scripted_server):
    """Guards against treating a truncated body as complete."""

    def script(sock, number):
        sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc')
        return False

    conn = _http_out.connect(scripted_server(script).address, 1_000)
    conn.send('GET', '/', (), timeout_ms=1_000)
    with pytest.raises(_http_out.BrokenResponseError):
        conn.read_head(1_000).read_all(100)


PIECE = b'x' * 65_536
# Limits an endless response to 64 MB.
PIECE_COUNT = 1_024
MAX_MEMORY_BYTES = 4_000_000
CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
ENDLESS_RESPONSES = {
    'header': (b'HTTP/1.1 200 OK\r\nX-Long: ', PIECE),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'X-Long: y\r\n' * 5_000),
    'interim heads': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 2_000),
    'chunk extension': (CHUNKED_HEAD + b'1;e=', PIECE),
    'chunk extensions': (
        CHUNKED_HEAD,
        b'1;e=' + b'e' * 60_000 + b'\r\ny\r\n',
    ),
    'trailers': (CHUNKED_HEAD + b'0\r\n', b'X-Long: y\r\n' * 5_000),
    'no answer at all': (b'', PIECE),
    'a body': (CHUNKED_HEAD, b'10000\r\n' + PIECE + b'\r\n'),
}


@pytest.mark.parametrize('name', ENDLESS_RESPONSES)
def test_endless_response_ends_with_an_error(scripted_server, name):
    """Guards against a process that keeps a response until memory is full."""
    first, piece = ENDLESS_RESPONSES[name]

    def script(sock, number):
        with contextlib.suppress(OSError):
            sock.sendall(first)
            for _ in range(PIECE_COUNT):
                sock.sendall(piece)
        return False

    server = scripted_server(script)
    tracemalloc.start()
    try:
        with pytest.raises(_http_out.BrokenResponseError):
            _http_out.exchange(
                server.address,
                'GET',
                '/',
                timeout_ms=5_000,
                limit=1_000_000,
            )
        assert tracemalloc.get_traced_memory()[1] < MAX_MEMORY_BYTES
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize('line_end', [b'\n', b'\r\n'])
@pytest.mark.parametrize('chunk_size', [1, 2, 3, 7, 1_000])
def test_events_are_split_with_any_chunk_size(line_end, chunk_size):
    """Guards against losing or merging events at packet boundaries."""
    events = [
        b'data: a' + line_end + line_end,
        b'event: x' + line_end + b'data: b' + 2 * line_end,
    ]
    stream = b''.join(events) + b'data: cut'
    splitter = _sse.EventSplitter()
    found = []
    for start in range(0, len(stream), chunk_size):
        found.extend(splitter.feed(stream[start : start + chunk_size]))
    assert found == events
    assert splitter.remainder == b'data: cut'
    assert [_sse.payload(event) for event in found] == [b'a', b'b']


def test_secret_query_parameters_are_removed():
    """Guards against leaking a key in the query to a service."""
    query = 'a=1&API_KEY=x&access%5Ftoken=y&token=z&b=2&key'
    assert _headers.strip_secret_parameters(query) == 'a=1&b=2'


def test_credentials_never_reach_a_backend_server(stack):
    """Guards against forwarding a key in a header or in the query."""
    engine = stack.add_engine()
    daemon = stack.add_daemon()
    secrets = [
        ('Proxy-Authorization', 'Basic secret-1'),
        ('X-Api-Key', 'secret-2'),
        ('Api-Key', 'secret-3'),
        ('Cookie', 'session=secret-4'),
        ('Traceparent', f'00-{stack.key}-01'),
        ('Paddle-Customer', 'other'),
    ]
    assert stack.post_chat(daemon, headers=secrets, max_tokens=1).status == 200
    stack.request(
        daemon.server.bound_address,
        'GET',
        '/orders/5?api_key=secret-5&view=full',
        key=stack.key,
        headers=secrets,
    )
    path = stack.service.seen[0][1]
    assert path == '/orders/5?view=full'
    seen = repr(engine.seen) + repr(stack.service.seen)
    assert 'secret-' not in seen
    assert stack.key not in seen and 'Authorization' not in seen
    assert 'other' not in seen


class RepeatingServer:
    """Writes ``stale`` before each response on a connection used before.

    ``connections`` has the number of requests of each connection.
    """

    def __init__(self, stale, response):
        self.connections = []
        self._stale = stale
        self._response = response
        self._server = gevent.server.StreamServer(
            ('127.0.0.1', 0), self._serve
        )
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def _serve(self, sock, _peer):
        index = len(self.connections)
        self.connections.append(0)
        with contextlib.suppress(ConnectionError):
            while sock.recv(65_536):
                self.connections[index] += 1
                if self.connections[index] > 1:
                    sock.sendall(self._stale)
                    gevent.sleep(0.02)
                sock.sendall(self._response(sum(self.connections)))

    def stop(self):
        self._server.stop()


def numbered_response(number):
    body = json.dumps({'number': number}).encode()
    return (
        b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
        b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
    )


@pytest.fixture(params=['an earlier response', 'a refusal'])
def repeating_server(request):
    stale = {
        'an earlier response': numbered_response(1),
        'a refusal': b'HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n',
    }
    server = RepeatingServer(stale[request.param], numbered_response)
    yield server
    server.stop()


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_a_response_repeated_after_the_next_request_is_not_taken_for_its_own(
    repeating_server, method
):
    # Guards against a probe, a report or a list that is an earlier response,
    # which a server writes once more when the next request has arrived.
    answers = [
        _http_out.exchange(
            repeating_server.address, method, '/', timeout_ms=500, limit=100
        )
        for _ in range(3)
    ]
    assert [json.loads(body)['number'] for _status, body in answers] == [
        1,
        2,
        3,
    ]
    assert [status for status, _body in answers] == [200] * 3


@pytest.mark.parametrize(
    'method, target', [('GET', '/orders/5'), ('POST', '/bookings')]
)
def test_a_repeated_response_of_a_service_reaches_no_other_caller(
    stack, repeating_server, method, target
):
    # Guards against a caller that gets the response to another caller.
    stack.platform.add(
        'service-1',
        repeating_server.address,
        kind='service',
        service='booking',
    )
    daemon = stack.add_daemon()
    replies = [
        stack.request(
            daemon.server.bound_address,
            method,
            target,
            key=stack.key,
            headers=[('Idempotency-Key', f'o{index}')],
        )
        for index in range(3)
    ]
    assert [reply.status for reply in replies] == [200] * 3
    numbers = [reply.json()['number'] for reply in replies]
    assert len(set(numbers)) == 3


def chat_response(number):
    """Return the response of an engine to a chat or a load report."""
    document = {
        'choices': [
            {
                'index': 0,
                'message': {'role': 'assistant', 'content': str(number)},
                'finish_reason': 'stop',
            }
        ],
        'usage': {
            'prompt_tokens': 1,
            'completion_tokens': 1,
            'total_tokens': 2,
        },
    }
    body = json.dumps(document).encode()
    return (
        b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
        b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
    )


def test_a_repeated_response_to_a_chat_reaches_no_other_caller(stack):
    # Guards against a caller that gets the answer to the chat of another one.
    server = RepeatingServer(chat_response(0), chat_response)
    stack.platform.add('engine-1', server.address, models=['small'])
    daemon = stack.add_daemon()
    replies = [stack.post_chat(daemon) for _ in range(3)]
    server.stop()
    assert [reply.status for reply in replies] == [200] * 3
    texts = [
        reply.json()['choices'][0]['message']['content'] for reply in replies
    ]
    assert '0' not in texts and len(set(texts)) == 3


EXTRA_BYTES = {
    'a response': (
        b'HTTP/1.1 503 Full\r\nX-Extra: 1\r\nContent-Length: 1\r\n\r\n9'
    ),
    'a head': b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n',
    'a part of a head': b'HTTP/1.1 200',
    'an interim response': b'HTTP/1.1 103 Early Hints\r\n\r\n',
    'after an empty line': b'\r\nHTTP/1.1 200 OK\r\n\r\n',
    'no response': b'data: [DONE]',
}
# Bytes, status code and body.
COMPLETE_RESPONSES = {
    'length': (b'HTTP/1.1 201 X\r\nContent-Length: 2\r\n\r\nok', 201, b'ok'),
    'chunked': (
        b'HTTP/1.1 201 X\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'2\r\nok\r\n0\r\n\r\n',
        201,
        b'ok',
    ),
    'empty': (b'HTTP/1.1 201 X\r\nContent-Length: 0\r\n\r\n', 201, b''),
    'no body': (b'HTTP/1.1 204 X\r\n\r\n', 204, b''),
    'close': (
        b'HTTP/1.1 201 X\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok',
        201,
        b'ok',
    ),
    'after interim': (
        b'HTTP/1.1 103 X\r\n\r\nHTTP/1.1 201 X\r\nContent-Length: 2\r\n\r\nok',
        201,
        b'ok',
    ),
}


@pytest.mark.parametrize('extra', EXTRA_BYTES)
@pytest.mark.parametrize('name', COMPLETE_RESPONSES)
def test_bytes_after_a_response_are_not_a_part_of_it(
    scripted_server, name, extra
):
    # Guards against the body, status or headers of another response that
    # arrived together with the last bytes of this one, against an error for a
    # complete response, and against reusing the connection.
    data, status, body = COMPLETE_RESPONSES[name]

    def script(sock, _number):
        sock.sendall(data + EXTRA_BYTES[extra])
        return True

    conn = _http_out.connect(scripted_server(script).address, 1_000)
    conn.send('GET', '/', (), timeout_ms=1_000)
    response = conn.read_head(1_000)
    assert response.read_all(100) == body
    assert response.get_code() == status
    assert 'X-Extra' not in response
    conn.close()


BODIES = {
    'length': b'Content-Length: 2\r\n\r\nok',
    'empty': b'Content-Length: 0\r\n\r\n',
    'no length': b'\r\nok',
}


@pytest.mark.parametrize('body', BODIES)
@pytest.mark.parametrize('is_closed', [True, False])
@pytest.mark.parametrize(
    'code', [b'000', b'001', b'099', b'600', b'999', b'1000', b'+20']
)
def test_a_status_code_that_is_none_is_an_error(
    scripted_server, code, is_closed, body
):
    # Guards against callers that get bytes that are no HTTP response, and
    # against reading the end of the connection again and again.
    def script(sock, _number):
        sock.sendall(b'HTTP/1.1 ' + code + b' X\r\n' + BODIES[body])
        return not is_closed

    address = scripted_server(script).address
    with gevent.Timeout(2), pytest.raises(_http_out.BrokenResponseError):
        _http_out.exchange(address, 'POST', '/', timeout_ms=500, limit=100)


def test_an_interim_response_without_another_one_is_an_error(scripted_server):
    # Guards against reading the end of the connection again and again.
    def script(sock, _number):
        sock.sendall(b'HTTP/1.1 103 X\r\nContent-Length: 0\r\n\r\n')
        return False

    address = scripted_server(script).address
    with gevent.Timeout(2), pytest.raises(_http_out.BrokenResponseError):
        _http_out.exchange(address, 'GET', '/', timeout_ms=500, limit=100)
