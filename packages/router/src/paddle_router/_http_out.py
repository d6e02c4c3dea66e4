"""HTTP connections to backend servers and the platform.

Opening a connection and sending a request are separate steps, so that a claim
or a lease can be checked in between. This module never retries a request.

Each request uses a new connection. Responses have no id, and a faulty server
may write a response once more when the next request has already been sent. On
a kept connection this one would be taken for the response to that request.
"""

import socket as plain_socket
import struct

import gevent.socket
import geventhttpclient.response

import paddle_kernel
from paddle_router import _sockets

RECEIVE_BYTES = 65_536
MS_PER_S = paddle_kernel.MS_PER_S
MAX_INTERIM_STATUS = 199
# RFC 9110, section 15: status codes outside this range are invalid.
MIN_STATUS = 100
MAX_STATUS = 599
# Size of the headers, with those of interim responses.
MAX_HEAD_BYTES = 65_536
# Bytes of chunk sizes, extensions and trailers in addition to the size of the
# body.
MAX_FRAMING_BYTES = 65_536
# Value of SO_LINGER with which closing a socket resets the connection. This
# discards unsent bytes, so that an aborted request cannot arrive later. A
# clean end would also keep the local port for a minute, and a host has some
# 28,000.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class BrokenResponseError(ConnectionError):
    """The backend server closed the connection or broke the protocol."""


class _ExtraResponseError(Exception):
    """Another response begins after the complete one."""


class Response(geventhttpclient.response.HTTPResponse):
    """An HTTP response that is read incrementally.

    Bytes after its end belong to no request and are dropped.
    """

    def __init__(self, sock, method):
        super().__init__(method)
        self._sock = sock
        self.is_cancelled = False
        self._received_bytes = 0
        self._body_bytes = 0

    def read_head(self):
        """Read until the headers of the final response are complete.

        :raises BrokenResponseError: if they are truncated, too long or have
            an invalid status code.
        """
        while not self._is_head_complete:
            self._receive()
            self._check_status()
            if (
                not self._is_head_complete
                and self._received_bytes > MAX_HEAD_BYTES
            ):
                raise BrokenResponseError(
                    f'response headers exceed {MAX_HEAD_BYTES} bytes'
                )
        return self

    def _check_status(self):
        """Check the status code, which the parser does not.

        Lower codes would be taken for an interim response, whose end is never
        followed by another one.
        """
        if not self.headers_complete:
            return
        code = self.get_code()
        if not MIN_STATUS <= code <= MAX_STATUS:
            raise BrokenResponseError(
                f'status code {code}; those of HTTP are {MIN_STATUS} to '
                f'{MAX_STATUS}'
            )

    @property
    def _is_head_complete(self):
        return self.headers_complete and self.get_code() > MAX_INTERIM_STATUS

    @property
    def _is_complete(self):
        return self._is_head_complete and self.message_complete

    def _on_message_begin(self):
        # The base class would take the body, headers and status code of the
        # next response for those of this one.
        if self._is_complete:
            raise _ExtraResponseError
        super()._on_message_begin()

    def read_some(self):
        """Return the body bytes received so far; ``b''`` at the end.

        If there are none, wait until some arrive.

        :raises BrokenResponseError: if the response is truncated.
        """
        while not self._body_buffer:
            if self.message_complete:
                return b''
            if (
                self._received_bytes
                > MAX_HEAD_BYTES + MAX_FRAMING_BYTES + 2 * self._body_bytes
            ):
                raise BrokenResponseError('too many bytes of chunk framing')
            self._receive()
        data = bytes(self._body_buffer)
        self._body_buffer.clear()
        self._body_bytes += len(data)
        return data

    def read_all(self, limit):
        """Return the whole body.

        :raises BrokenResponseError: if it is truncated or exceeds ``limit``
            bytes.
        """
        parts = []
        size = 0
        while data := self.read_some():
            parts.append(data)
            size += len(data)
            if size > limit:
                raise BrokenResponseError(f'response exceeds {limit} bytes')
        return b''.join(parts)

    def _receive(self):
        paddle_kernel.yield_if_due()
        data = self._sock.recv(RECEIVE_BYTES)
        if self.is_cancelled:
            # The shutdown looks like the end of a body without a length.
            raise BrokenResponseError('cancelled within the response')
        self._received_bytes += len(data)
        try:
            self.feed(data)
        except _ExtraResponseError:
            pass
        except geventhttpclient.response.HTTPParseError as exc:
            # Bytes after a response with ``Connection: close`` are an error
            # of the parser.
            if not self._is_complete:
                raise BrokenResponseError(
                    f'malformed response: {exc}'
                ) from exc
        if not data and not self.message_complete:
            raise BrokenResponseError('connection closed within the response')


class Connection:
    """An open connection, used for one request."""

    def __init__(self, address, sock):
        self.address = address
        self._sock = sock
        self._response = None

    def send(self, method, target, headers, body=b'', *, timeout_ms):
        """Send one request; ``headers`` are pairs of strings."""
        lines = [f'{method} {target} HTTP/1.1', f'Host: {self.address}']
        lines.extend(f'{name}: {value}' for name, value in headers)
        if body or method not in ('GET', 'HEAD'):
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        self.set_timeout(timeout_ms)
        _sockets.send_all(self._sock, head.encode('latin-1') + body)
        self._response = Response(self._sock, method)

    def read_head(self, timeout_ms):
        """Return the :class:`Response` once its headers have arrived."""
        self.set_timeout(timeout_ms)
        return self._response.read_head()

    def set_timeout(self, timeout_ms):
        """Set the timeout of each send and receive; ``None`` for no limit."""
        limit_s = None if timeout_ms is None else timeout_ms / MS_PER_S
        self._sock.settimeout(limit_s)

    def cancel(self):
        """Shut down the connection; a greenlet blocked on it gets an error.

        So does one that reads from it afterwards.
        """
        if self._response is not None:
            self._response.is_cancelled = True
        try:
            self._sock.shutdown(plain_socket.SHUT_RDWR)
        except OSError:
            # The backend server closed it first.
            pass

    def close(self):
        """Close the connection."""
        self._sock.close()


def connect(address, timeout_ms):
    """Return a new :class:`Connection`.

    :raises OSError: if connecting fails or times out.
    """
    host, port = paddle_kernel.split_address(address)
    family = plain_socket.AF_INET6 if ':' in host else plain_socket.AF_INET
    sock = gevent.socket.socket(family, plain_socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_ms / MS_PER_S)
        sock.connect((host, port))
        sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
        sock.setsockopt(
            plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, RESET_ON_CLOSE
        )
    except BaseException:
        sock.close()
        raise
    return Connection(address, sock)


def exchange(address, method, target, *, timeout_ms, limit, **request):
    """Send one request and return ``(status, body)``.

    ``request`` may contain ``headers`` and ``body``. For idempotent calls, to
    the platform and for engines' load reports.

    :raises OSError: if there is no complete response.
    """
    conn = connect(address, timeout_ms)
    try:
        conn.send(
            method,
            target,
            request.get('headers', ()),
            request.get('body', b''),
            timeout_ms=timeout_ms,
        )
        response = conn.read_head(timeout_ms)
        body = response.read_all(limit)
    finally:
        conn.close()
    return response.get_code(), body
