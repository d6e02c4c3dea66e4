"""Invalid requests get a typed error and never reach a backend server."""

import gevent.socket
import pytest

import paddle_kernel


def send_raw(daemon, data, *, half_close=False):
    """Send bytes and return all bytes received until the end."""
    sock = gevent.socket.create_connection(
        paddle_kernel.split_address(daemon.server.bound_address)
    )
    sock.sendall(data)
    if half_close:
        sock.shutdown(gevent.socket.SHUT_WR)
    parts = []
    with gevent.Timeout(5):
        while part := sock.recv(65_536):
            parts.append(part)
    return b''.join(parts)


def request_head(stack, length, *extra):
    lines = [
        'POST /v1/chat/completions HTTP/1.1',
        'Host: router',
        f'Authorization: Bearer {stack.key}',
        f'Content-Length: {length}',
        'Connection: close',
        *extra,
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


def check_refused(stack, reply, status, code):
    assert (reply.status, reply.error['code']) == (status, code)
    assert reply.error['outcome'] == 'not_run'
    assert reply.headers['paddle-outcome'] == 'not_run'
    assert stack.received_requests(stack.engines[0]) == []


@pytest.mark.parametrize(
    ('body', 'code'),
    [
        (b'{"model": ', 'malformed_json'),
        (b'[1]', 'malformed_json'),
        (b'\xff\xfe{', 'malformed_json'),
        (b'[' * 100_000, 'malformed_json'),
        (b'{"model": "small"}', 'invalid_value'),
        (b'{"model": 3, "messages": [{}]}', 'invalid_value'),
        (b'{"model": "small", "messages": [1]}', 'invalid_value'),
    ],
)
def test_malformed_body_is_refused(stack, body, code):
    """Guards against a parser error that leaves a request unanswered."""
    stack.add_engine()
    daemon = stack.add_daemon()
    address = daemon.server.bound_address
    reply = stack.request(
        address, 'POST', stack.chat_path, key=stack.key, body=body
    )
    check_refused(stack, reply, 400, code)


def test_unknown_model_and_class_are_refused(stack):
    """Guards against queueing a request for a model that no engine serves."""
    stack.add_engine()
    daemon = stack.add_daemon()
    reply = stack.post_chat(daemon, model='huge')
    check_refused(stack, reply, 404, 'model_not_found')
    reply = stack.post_chat(daemon, headers=[('Paddle-Class', 'none')])
    check_refused(stack, reply, 400, 'unknown_class')


def test_invalid_keys_are_refused(stack):
    """Guards against serving a caller without a valid key."""
    stack.add_engine()
    daemon = stack.add_daemon()
    check_refused(stack, stack.post_chat(daemon, key=None), 401, 'missing_key')
    check_refused(
        stack, stack.post_chat(daemon, key='other'), 401, 'invalid_key'
    )
    stack.issue('old-key-1', expires_wall_ms=1)
    stack.wait_for(
        lambda: (
            stack.post_chat(daemon, key='old-key-1').error['code']
            == 'expired_key'
        )
    )
    check_refused(
        stack, stack.post_chat(daemon, key='old-key-1'), 401, 'expired_key'
    )
    stack.revoke()
    version = stack.config.view.version
    stack.wait_for(lambda: daemon.core.config.view.version == version)
    check_refused(stack, stack.post_chat(daemon), 401, 'revoked_key')


def test_oversized_body_is_refused(stack):
    """Guards against unbounded memory use, by length or by chunks."""
    stack.add_engine()
    daemon = stack.add_daemon(bounds={'body_bytes': 1_000})
    check_refused(
        stack,
        stack.post_chat(daemon, text='x' * 2_000),
        413,
        ('body_too_large'),
    )
    chunked = request_head(stack, 0).replace(
        b'Content-Length: 0', b'Transfer-Encoding: chunked'
    )
    response = send_raw(
        daemon, chunked + b'fff\r\n' + b'x' * 0xFFF + b'\r\n0\r\n\r\n'
    )
    assert response.startswith(b'HTTP/1.1 413') and b'not_run' in response
    assert stack.received_requests(stack.engines[0]) == []


def test_oversized_headers_are_refused(stack):
    """Guards against unbounded memory use and a response without outcome."""
    stack.add_engine()
    daemon = stack.add_daemon()
    for extra in ('X-Long: ' + 'y' * 40_000, 'X-A: 1\r\n' * 9_000 + 'X: 1'):
        response = send_raw(daemon, request_head(stack, 0, extra))
        assert response.startswith(b'HTTP/1.1 431')
        assert b'paddle-outcome: not_run' in response.lower()
    line = b'GET /' + b'a' * 10_000 + b' HTTP/1.1\r\n\r\n'
    response = send_raw(daemon, line)
    assert response.startswith(b'HTTP/1.1 414')
    assert b'paddle-outcome: not_run' in response.lower()
    assert stack.received_requests(stack.engines[0]) == []
    assert stack.post_chat(daemon, max_tokens=1).status == 200


def test_truncated_body_is_refused(stack):
    """Guards against relaying a body that the caller did not complete."""
    stack.add_engine()
    daemon = stack.add_daemon()
    response = send_raw(
        daemon, request_head(stack, 500) + b'{"model":', half_close=True
    )
    assert response.startswith(b'HTTP/1.1 400')
    assert b'truncated_body' in response and b'not_run' in response
    assert stack.received_requests(stack.engines[0]) == []


def test_slow_request_is_refused(stack):
    """Guards against connections held by callers that send too slowly."""
    stack.add_engine()
    daemon = stack.add_daemon(bounds={'request_ms': 200})
    for data in (
        b'GET / HTTP/1.1\r\nHost: r',
        request_head(stack, 500) + b'{"mo',
    ):
        response = send_raw(daemon, data)
        assert response.startswith(b'HTTP/1.1 400')
        assert b'not_run' in response
    assert stack.received_requests(stack.engines[0]) == []


def test_invalid_http_is_refused(stack):
    """Guards against a crash on input that is not valid HTTP."""
    stack.add_engine()
    daemon = stack.add_daemon()
    for data in (
        b'\x00\x01\x02\r\n\r\n',
        b'POST / HTTP/9.9\r\n\r\n',
        request_head(stack, -5),
        request_head(stack, 'x'),
        request_head(stack, 5, 'Content-Length: 9'),
        request_head(stack, 5, 'Transfer-Encoding: chunked')
        + b'5\r\nabcde\r\n0\r\n',
        request_head(stack, 0, 'Bad Header'),
        request_head(stack, 0)[:-2],
        request_head(stack, 0)[:-9],
    ):
        response = send_raw(daemon, data, half_close=True)
        assert response.startswith(b'HTTP/1.1 400'), (data, response)
        assert b'paddle-outcome: not_run' in response.lower()
    assert stack.received_requests(stack.engines[0]) == []
    assert stack.post_chat(daemon, max_tokens=1).status == 200


def test_wrong_method_gets_a_typed_error(stack):
    """Guards against an error body in the format of the HTTP library."""
    daemon = stack.add_daemon()
    reply = stack.request(
        daemon.server.bound_address, 'DELETE', stack.chat_path
    )
    assert reply.status == 405
    assert reply.error['outcome'] == 'not_run'


def test_key_outside_of_its_header_is_refused(stack):
    """Guards against leaking a key to an engine in the body."""
    stack.add_engine()
    daemon = stack.add_daemon()
    reply = stack.post_chat(daemon, user=stack.key)
    check_refused(stack, reply, 400, 'key_in_request')
