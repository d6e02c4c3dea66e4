"""HTTP server for callers on gevent's WSGI server.

The handler exposes the socket, so that a watcher can notice that the caller
closed the connection, and answers protocol errors in the error form of the
chat-completions protocol.
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

HANDLER = 'paddle.handler'
DISCARD_BYTES = 4 * 1024 * 1024
DISCARD_S = 1.0
READ_BYTES = 65_536
IO_READ = 1


class HeadersTooLargeError(ValueError):
    """The request line and headers exceed the bound."""


class _HeaderReader:
    """Line reader that stops at a number of bytes."""

    def __init__(self, rfile, limit):
        self._rfile = rfile
        self._left = limit

    def readline(self, size=-1):
        line = self._rfile.readline(min(size, self._left + 1))
        self._left -= len(line)
        if self._left < 0:
            raise HeadersTooLargeError
        if not line.endswith(b'\n'):
            # The parser would take the end of the connection for the end of
            # the headers and run a request that was cut.
            raise ValueError('the headers end early')
        return line


class Handler(gevent.pywsgi.WSGIHandler):
    """Reads requests of one connection."""

    busy = False

    @property
    def in_progress(self):
        """Whether a request is being read or answered, or has arrived."""
        return self.busy or bool(peek(self.socket))

    def handle(self):
        # Headers and the first event are written separately; with Nagle's
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
        # Two lengths, or a length and chunks, allow two readings of where
        # the request ends.
        lengths = self.headers.get_all('Content-Length', [])
        encodings = self.headers.get_all('Transfer-Encoding', [])
        chunked = [value.strip().lower() for value in encodings]
        if len(lengths) + len(encodings) > 1 or chunked not in (
            [],
            ['chunked'],
        ):
            raise ValueError('ambiguous length of the request')

    def get_environ(self):
        environ = super().get_environ()
        environ[HANDLER] = self
        return environ

    def finalize_headers(self):
        super().finalize_headers()
        if self.server.draining and not self.close_connection:
            self.close_connection = True
            self.response_headers.append((b'Connection', b'close'))

    def _sendall(self, data):
        try:
            _sockets.send_whole(self.socket, data)
        except OSError as exc:
            # The server's own handling of a caller that is gone goes by a
            # negative status.
            self.status = f'socket error: {exc}'
            self.code = -abs(self.code)
            raise
        self.response_length += len(data)

    def give_up_input(self):
        """Skip the rest of the request body and close afterwards."""
        self.close_connection = True
        reader = self.wsgi_input
        left = DISCARD_BYTES
        # Closing with unread data resets the connection, which could destroy
        # the answer before the caller reads it.
        with gevent.Timeout(DISCARD_S, False):
            try:
                while left > 0 and (data := reader.read(READ_BYTES)):
                    left -= len(data)
            except OSError:
                # The rest is of no interest once the request is refused.
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
        status, answer = result
        if status == '414':
            answer = _raw_response(
                _errors.Refusal(
                    414, 'headers_too_large', 'the request line is too long'
                )
            )
        self._send_and_linger(answer)
        return None

    def _send_and_linger(self, answer):
        sock = self.socket
        with gevent.Timeout(DISCARD_S, False):
            try:
                sock.sendall(answer)
                sock.shutdown(plain_socket.SHUT_WR)
                left = DISCARD_BYTES
                while left > 0 and (data := sock.recv(READ_BYTES)):
                    left -= len(data)
            except OSError:
                # The caller closed the connection; there is nobody to tell.
                pass

    def _handle_client_error(self, exc):
        # A line or a number of headers beyond the parser's own limits.
        large = isinstance(exc, HeadersTooLargeError | client.HTTPException)
        limit = self.server.header_bytes
        refusal = _errors.Refusal(
            431 if large else 400,
            'headers_too_large' if large else 'malformed_request',
            f'the headers exceed {limit} bytes or are too many'
            if large
            else 'the request is not valid HTTP',
        )
        paddle_kernel.emit(_events.BAD_REQUEST, code=refusal.code)
        return str(refusal.status), _raw_response(refusal)

    def _log_error(self, exc_type, exc, trace):
        if not issubclass(exc_type, gevent.GreenletExit):
            paddle_kernel.emit(_events.REQUEST_FAILED, error=exc_type.__name__)

    def log_request(self):
        """Write no access log; metrics count the requests."""


def _raw_response(refusal):
    body = refusal.body()
    phrase = http.HTTPStatus(refusal.status).phrase
    lines = [f'HTTP/1.1 {refusal.status} {phrase}']
    lines.extend(f'{name}: {value}' for name, value in refusal.headers())
    lines.extend(['Connection: close', f'Content-Length: {len(body)}'])
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class CallerServer(gevent.pywsgi.WSGIServer):
    """Server with bounds on requests; ``draining`` closes connections."""

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
    def bound(self):
        """The address in use as ``'host:port'``."""
        host, port = self.address[:2]
        return f'{host}:{port}'

    @property
    def busy(self):
        """Number of requests in progress."""
        return sum(handler.in_progress for handler in self.handlers)

    def begin_stop(self):
        """Close the listener; connections end after their request."""
        self.draining = True
        self.stop_accepting()
        self.close()


def read_body(environ, *, limit, timeout_ms):
    """Return the request body.

    :raises Refusal: if it is too large, truncated or too slow.
    """
    handler = environ[HANDLER]
    reader = environ['wsgi.input']
    length = handler.content_length or 0
    if length > limit:
        handler.give_up_input()
        raise _too_large(limit)
    try:
        with gevent.Timeout(timeout_ms / paddle_kernel.MS_PER_S, TimeoutError):
            body = reader.read(limit + 1)
    except (OSError, ValueError):
        handler.give_up_input()
        raise _errors.Refusal(
            400,
            'truncated_body',
            'the request body ended early, arrived too slowly or is malformed',
        ) from None
    if len(body) > limit:
        handler.give_up_input()
        raise _too_large(limit)
    return body


def _too_large(limit):
    return _errors.Refusal(
        413, 'body_too_large', f'the request body exceeds {limit} bytes'
    )


def peek(sock):
    """Return what can be read now, up to one byte; ``None`` if nothing.

    ``b''`` means that the other side closed the connection.
    """
    flags = plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT
    try:
        return sock._sock.recv(1, flags)
    except BlockingIOError:
        return None
    except OSError:
        return b''


class CallerWatch:
    """Notices that the caller closed its connection.

    A caller that only shuts down its sending side counts as gone as well.
    """

    def __init__(self, environ):
        self._sock = environ[HANDLER].socket
        self._on_gone = None
        self.gone = False
        self._io = gevent.get_hub().loop.io(self._sock.fileno(), IO_READ)
        self._io.start(self._on_readable)

    def on_gone(self, function):
        """Call ``function`` once when the caller goes, or at once."""
        self._on_gone = function
        if self.gone and function is not None:
            function()

    def cut(self):
        """Cut the caller's connection; a write that waits on it fails."""
        try:
            self._sock._sock.shutdown(plain_socket.SHUT_RDWR)
        except OSError:
            # The caller closed it first.
            pass

    def stop(self):
        """End watching; may be called more than once."""
        if self._io is not None:
            self._io.stop()
            self._io.close()
            self._io = None

    def _on_readable(self):
        data = peek(self._sock)
        if data is None:
            return
        # Data is the start of a pipelined request; it hides the end of the
        # connection, which the next write then shows.
        self.stop()
        if not data:
            self.gone = True
            if self._on_gone is not None:
                self._on_gone()
