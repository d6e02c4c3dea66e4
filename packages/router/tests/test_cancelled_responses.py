"""Responses that the daemon itself ends before the engine has sent them."""

import gevent
import gevent.event
import pytest

from paddle_router import _http_out

HOLD_TIMEOUT_S = 3
HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
UNFRAMED_PART = HEAD + b'\r\n{"choices":[{"message":{"content":"par'
FRAMED_PART = HEAD + b'Content-Length: 900\r\n\r\n{"choices":[{"message":'


def add_stalled_engine(stack, scripted_server, part):
    """Add an engine that sends ``part`` of a response and nothing more."""
    is_part_sent = gevent.event.Event()

    def script(sock, number):
        sock.sendall(part)
        is_part_sent.set()
        gevent.sleep(HOLD_TIMEOUT_S)
        return False

    server = scripted_server(script)
    stack.platform.add('engine-1', server.address, models=['small'])
    return is_part_sent


def test_stalled_response_with_a_length_is_an_error(stack, scripted_server):
    """Guards against a truncated body after the idle time."""
    add_stalled_engine(stack, scripted_server, FRAMED_PART)
    daemon = stack.add_daemon(bounds={'first_byte_ms': 300})
    reply = stack.post_chat(daemon, max_tokens=3)
    assert reply.status >= 500


def test_stalled_response_without_a_length_is_an_error(stack, scripted_server):
    """Guards against a truncated body after the idle time.

    The daemon shuts down the connection to a silent engine, which must not
    count as the end of a body that ends with its connection.
    """
    add_stalled_engine(stack, scripted_server, UNFRAMED_PART)
    daemon = stack.add_daemon(bounds={'first_byte_ms': 300})
    reply = stack.post_chat(daemon, max_tokens=3)
    assert reply.status >= 500, reply.body


def test_response_of_a_revoked_key_without_a_length_is_an_error(
    stack, scripted_server
):
    """Guards against a truncated body for a key that is revoked meanwhile."""
    is_part_sent = add_stalled_engine(stack, scripted_server, UNFRAMED_PART)
    daemon = stack.add_daemon()
    caller = gevent.spawn(stack.post_chat, daemon, max_tokens=3)
    assert is_part_sent.wait(HOLD_TIMEOUT_S)
    stack.revoke()
    reply = caller.get(timeout=HOLD_TIMEOUT_S)
    assert reply.status >= 400, reply.body


def test_read_after_a_cancel_is_an_error(scripted_server):
    """Guards against a truncated body if the reader was not waiting.

    A cancel wakes a reader that waits with an error. One that is about to
    read finds the end of the connection, which ends a body without a length.
    """

    def script(sock, number):
        sock.sendall(UNFRAMED_PART)
        gevent.sleep(HOLD_TIMEOUT_S)
        return False

    conn = _http_out.connect(scripted_server(script).address, 1_000)
    conn.send('GET', '/', (), timeout_ms=1_000)
    response = conn.read_head(1_000)
    conn.cancel()
    with pytest.raises(OSError):
        response.read_all(1_000)
