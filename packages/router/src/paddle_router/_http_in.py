"""HTTP server for callers, based on gevent's WSGI server.

The handler exposes the socket, so that a watcher can detect that the caller
closed the connection. Protocol errors get an error object of the
chat-completions protocol as their body.
"""

import http
from http import client
import socket as plain_socket

import gevent
import gevent.pywsgi

import paddle_kernel
from paddle_router import _errors
from paddle_router import _events
from paddle_router import _sockets

HANDLER_KEY = 'paddle.handler'
MAX_DISCARD_BYTES = 4 * 1024 * 1024
DISCARD_TIMEOUT_S = 1.0
READ_BYTES = 65_536
IO_READ = 1


class HeadersTooLargeError(ValueError):
    """The request line and headers exceed the size limit."""


class _HeaderReader:
    """Line reader that raises after ``limit`` bytes."""

    def __init__(self, rfile, limit):
        self._rfile = rfile
        self._remaining_bytes = limit

    def readline(self, size=-1):
        line = self._rfile.readline(min(size, self._remaining_bytes + 1))
        self._remaining_bytes -= len(line)
        if self._remaining_bytes < 0:
            raise HeadersTooLargeError
        if not line.endswith(b'\n'):
            # The parser would take the end of the connection for the end of
            # the headers and accept a truncated request.
            raise ValueError('connection closed within the headers')
        return line


class Handler(gevent.pywsgi.WSGIHandler):
    """Handles the requests of one connection."""

    busy = False

    @property
    def is_in_progress(self):
        """Whether a request is being read or handled, or is readable."""
        return self.busy or bool(peek(self.socket))

    def handle(self):
        # Headers and the first event are written separately. With Nagle's
        # algorithm the event would wait for the caller's delayed
        # acknowledgement, about 40 ms.
        self.socket.setsockopt(
            plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1
        )
        self.server.handlers.add(self)
        try:
            super().handle()
        finally:
            self.server.handlers.discard(self)

    def read_request(self, raw_requestline):
        self.busy = True
        rfile = self.rfile
        self.rfile = _HeaderReader(rfile, self.server.header_bytes)
        try:
            with gevent.Timeout(self.server.request_s, TimeoutError):
                parsed = super().read_request(raw_requestline)
                self._check_framing()
                return parsed
        finally:
            self.rfile = rfile

    def _check_framing(self):
        # With two lengths, or a length and chunked encoding, the end of the
        # request is ambiguous (request smuggling).
        lengths = self.headers.get_all('Content-Length', [])
        encodings = self.headers.get_all('Transfer-Encoding', [])
        chunked = [value.strip().lower() for value in encodings]
        if len(lengths) + len(encodings) > 1 or chunked not in (
            [],
            ['chunked'],
        ):
            raise ValueError(
                'ambiguous Content-Length or Transfer-Encoding headers'
            )

    def get_environ(self):
        environ = super().get_environ()
        environ[HANDLER_KEY] = self
        return environ

    def finalize_headers(self):
        super().finalize_headers()
        if self.server.draining and not self.close_connection:
            self.close_connection = True
            self.response_headers.append((b'Connection', b'close'))

    def _sendall(self, data):
        try:
            _sockets.send_all(self.socket, data)
        except OSError as exc:
            # The base class recognizes a closed connection by a negative
            # status code.
            self.status = f'socket error: {exc}'
            self.code = -abs(self.code)
            raise
        self.response_length += len(data)

    def discard_input(self):
        """Discard the rest of the request body; close after the response."""
        self.close_connection = True
        reader = self.wsgi_input
        remaining_bytes = MAX_DISCARD_BYTES
        # Closing with unread data resets the connection, and the caller may
        # then lose the response before reading it.
        with gevent.Timeout(DISCARD_TIMEOUT_S, False):
            try:
                while remaining_bytes > 0 and (
                    data := reader.read(READ_BYTES)
                ):
                    remaining_bytes -= len(data)
            except OSError:
                # The request is refused, so its body is not needed.
                pass
        reader.chunked_input = False
        reader.content_length = reader.position

    def handle_one_request(self):
        try:
            result = super().handle_one_request()
        finally:
            self.busy = False
        if not isinstance(result, tuple):
            return result
        status, response = result
        if status == '414':
            response = _raw_response(
                _errors.Refusal(
                    414, 'headers_too_large', 'the request line is too long'
                )
            )
        self._send_and_linger(response)
        return None

    def _send_and_linger(self, response):
        sock = self.socket
        with gevent.Timeout(DISCARD_TIMEOUT_S, False):
            try:
                sock.sendall(response)
                sock.shutdown(plain_socket.SHUT_WR)
                remaining_bytes = MAX_DISCARD_BYTES
                while remaining_bytes > 0 and (data := sock.recv(READ_BYTES)):
                    remaining_bytes -= len(data)
            except OSError:
                # The caller closed the connection.
                pass

    def _handle_client_error(self, exc):
        # HTTPException: a header line or the number of headers exceeds the
        # limits of the parser.
        is_too_large = isinstance(
            exc, HeadersTooLargeError | client.HTTPException
        )
        limit = self.server.header_bytes
        refusal = _errors.Refusal(
            431 if is_too_large else 400,
            'headers_too_large' if is_too_large else 'malformed_request',
            f'the headers exceed {limit} bytes or there are too many'
            if is_too_large
            else 'the request is not valid HTTP',
        )
        paddle_kernel.emit(_events.BAD_REQUEST, code=refusal.code)
        return str(refusal.status), _raw_response(refusal)

    def _log_error(self, exc_type, exc, trace):
        if not issubclass(exc_type, gevent.GreenletExit):
            paddle_kernel.emit(_events.REQUEST_FAILED, error=exc_type.__name__)

    def log_request(self):
        """Write no access log; the metrics count requests."""


def _raw_response(refusal):
    body = refusal.body()
    phrase = http.HTTPStatus(refusal.status).phrase
    lines = [f'HTTP/1.1 {refusal.status} {phrase}']
    lines.extend(f'{name}: {value}' for name, value in refusal.headers())
    lines.extend(['Connection: close', f'Content-Length: {len(body)}'])
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class CallerServer(gevent.pywsgi.WSGIServer):
    """HTTP server with limits on the size and duration of requests.

    While ``draining``, each connection is closed after its current request.
    """

    def __init__(self, address, application, *, header_bytes, request_ms):
        super().__init__(
            paddle_kernel.split_address(address),
            application,
            handler_class=Handler,
            log=None,
            error_log=None,
        )
        self.header_bytes = header_bytes
        self.request_s = request_ms / paddle_kernel.MS_PER_S
        self.draining = False
        self.handlers = set()

    @property
    def bound_address(self):
        """The listening address as ``'host:port'``."""
        host, port = self.address[:2]
        return f'{host}:{port}'

    @property
    def requests_in_progress(self):
        """Number of requests in progress."""
        return sum(handler.is_in_progress for handler in self.handlers)

    def begin_stop(self):
        """Close the listener; close connections after their request."""
        self.draining = True
        self.stop_accepting()
        self.close()


def read_body(environ, *, limit, timeout_ms):
    """Return the request body.

    :raises Refusal: if it is too large, truncated or too slow.
    """
    handler = environ[HANDLER_KEY]
    reader = environ['wsgi.input']
    length = handler.content_length or 0
    if length > limit:
        handler.discard_input()
        raise _body_too_large(limit)
    try:
        with gevent.Timeout(timeout_ms / paddle_kernel.MS_PER_S, TimeoutError):
            body = reader.read(limit + 1)
    except (OSError, ValueError):
        handler.discard_input()
        raise _errors.Refusal(
            400,
            'truncated_body',
            'the request body ended early, arrived too slowly or is malformed',
        ) from None
    if len(body) > limit:
        handler.discard_input()
        raise _body_too_large(limit)
    return body


def _body_too_large(limit):
    return _errors.Refusal(
        413, 'body_too_large', f'the request body exceeds {limit} bytes'
    )


def peek(sock):
    """Return the next byte without consuming it, ``None`` if there is none.

    ``b''`` means that the peer closed the connection.
    """
    flags = plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT
    try:
        return sock._sock.recv(1, flags)
    except BlockingIOError:
        return None
    except OSError:
        return b''


class DisconnectWatcher:
    """Detects that the caller closed its connection.

    A caller that only shuts down its sending side counts as disconnected.
    """

    def __init__(self, environ):
        self._sock = environ[HANDLER_KEY].socket
        self._on_disconnect = None
        self.is_disconnected = False
        self._io = gevent.get_hub().loop.io(self._sock.fileno(), IO_READ)
        self._io.start(self._on_readable)

    def on_disconnect(self, function):
        """Call ``function`` once when the caller disconnects.

        Call it immediately if that has already happened.
        """
        self._on_disconnect = function
        if self.is_disconnected and function is not None:
            function()

    def abort(self):
        """Shut down the caller's connection; a blocked write then fails."""
        try:
            self._sock._sock.shutdown(plain_socket.SHUT_RDWR)
        except OSError:
            # The caller closed it first.
            pass

    def stop(self):
        """Stop watching; idempotent."""
        if self._io is not None:
            self._io.stop()
            self._io.close()
            self._io = None

    def _on_readable(self):
        data = peek(self._sock)
        if data is None:
            return
        # Data is the start of a pipelined request. It hides a later close,
        # which is then detected by the next write.
        self.stop()
        if not data:
            self.is_disconnected = True
            if self._on_disconnect is not None:
                self._on_disconnect()
