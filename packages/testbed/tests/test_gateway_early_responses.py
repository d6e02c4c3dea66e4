"""Tests of servers that respond before they have read a long request body."""

import copy
import socket as plain_socket
import struct

import gevent
import gevent.server
import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

ROUTES = ('/safe/x', '/book/x', '/open/x', '/chat/x', '/report/x')
STREAMING = ('/chat/x', '/report/x')
# More than the socket buffers of both sides hold.
BODY = bytes(8_000_000)
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
PART = b'part'
EVENT = b'id: 1\ndata: x\n\n'
RECEIVE_BYTES = 65_536
# In the harness alone, no timer of the gateway wakes the event loop.
TICK_S = 0.05


class EarlyServer:
    """Responds after a request's head, then runs ``end(sock, unread)``.

    ``unread`` is the number of bytes of the body that were not received.
    """

    def __init__(self, end, *, is_framed=False):
        self.requests = []
        self._end = end
        self._is_framed = is_framed
        self._server = gevent.server.StreamServer(
            ('127.0.0.1', 0), self._serve
        )
        self._server.start()

    @property
    def address(self):
        """The address in use as ``'host:port'``."""
        return '{}:{}'.format(*self._server.address)

    def stop(self):
        """Stop listening and close all connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock, _peer):
        data = b''
        while b'\r\n\r\n' not in data:
            received = sock.recv(RECEIVE_BYTES)
            if not received:
                return
            data += received
        head, _end, body = data.partition(b'\r\n\r\n')
        req = fakes.Received(head, b'')
        self.requests.append(req)
        sock.sendall(self._response(req))
        size = int(req.headers[b'content-length'])
        self._end(sock, size - len(body))

    def _response(self, req):
        is_stream = req.line.split()[1].decode() in STREAMING
        body = EVENT if is_stream else PART
        lines = [
            b'HTTP/1.1 200 OK',
            b'Rosemarypaddle-Request-Id: ' + req.id,
            fakes.STAMP,
        ]
        if is_stream:
            lines.append(b'Content-Type: text/event-stream')
        if self._is_framed:
            lines.append(b'Content-Length: %d' % len(body))
        return b'\r\n'.join([*lines, b'', body])


def reset_after(pause_s):
    """Return an end that resets the connection with the body unread."""

    def end(sock, _unread):
        gevent.sleep(pause_s)
        sock.setsockopt(
            plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, RESET_ON_CLOSE
        )
        sock.close()

    return end


def close_after(pause_s):
    """Return an end that closes the connection with the body unread."""

    def end(sock, _unread):
        gevent.sleep(pause_s)
        sock.close()

    return end


def read_all(sock, unread):
    while unread > 0:
        received = sock.recv(RECEIVE_BYTES)
        if not received:
            return
        unread -= len(received)


def read_body_and_close(sock, unread):
    """Read the body, then close the connection."""
    read_all(sock, unread)
    sock.close()


def shut_down_and_read_body(sock, unread):
    """End the response, then read the body."""
    sock.shutdown(plain_socket.SHUT_WR)
    gevent.sleep(0.1)
    read_all(sock, unread)
    sock.close()


@pytest.fixture
def harness(harness):
    config = copy.deepcopy(gateway_harness.CONFIG)
    config['limits']['maxBodyBytes'] = len(BODY)
    harness.controllers.config = config
    ticks = gevent.spawn(tick)
    yield harness
    ticks.kill()


def tick():
    while True:
        gevent.sleep(TICK_S)


def upload(harness, path, server):
    """Send an upload to ``server``; return the response and its end."""
    harness.serve()
    harness.origins = [server]
    harness.set_servers()
    sock = harness.connect()
    writer = gevent.spawn(
        sock.sendall,
        gateway_harness.request(path, method='POST', body=BODY),
    )
    try:
        return gateway_harness.read_response(sock)
    finally:
        writer.kill()
        sock.close()


def is_whole(response):
    """Return whether the caller sees a complete success."""
    status, _text, body = response
    return status == 200 and not body.endswith(b'<closed>')


@pytest.mark.parametrize('path', ROUTES)
@pytest.mark.parametrize('end', [reset_after, close_after])
@pytest.mark.parametrize('pause_s', [0, 0.05, 0.3])
def test_a_response_that_is_reset_within_the_upload_is_broken(
    harness, path, end, pause_s
):
    # Guards against a part of a response without a length that callers get
    # as complete: the end of the connection was a reset.
    server = EarlyServer(end(pause_s))
    response = upload(harness, path, server)
    assert not is_whole(response), response
    assert len(server.requests) == 1
    if path not in STREAMING:
        status, text, _body = response
        assert status == 502
        assert 'response-stamp' not in text


@pytest.mark.parametrize('path', ROUTES)
@pytest.mark.parametrize('end', [read_body_and_close, shut_down_and_read_body])
def test_an_early_response_that_ends_cleanly_is_complete(harness, path, end):
    # Guards against a cure that breaks sound responses without a length.
    response = upload(harness, path, EarlyServer(end))
    assert is_whole(response), response


@pytest.mark.parametrize('path', ROUTES)
@pytest.mark.parametrize('end', [reset_after, close_after])
def test_an_early_response_with_its_length_is_complete(harness, path, end):
    # Guards against a cure that breaks responses that were received whole.
    response = upload(harness, path, EarlyServer(end(0.3), is_framed=True))
    assert is_whole(response), response


def test_a_broken_upload_is_logged(harness, events):
    # Without the error of the upload, the log would show a plain end.
    upload(harness, '/book/x', EarlyServer(reset_after(0.05)))
    (failed,) = events.fields_of(3312)
    assert 'within the request body: [Errno ' in failed['detail']
