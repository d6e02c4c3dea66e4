"""HTTP connections to backend servers and the platform.

Opening a connection and sending a request are separate steps, so that a claim
or a lease can be checked in between. This module never retries a request.
"""

import collections
import socket as plain_socket

import gevent.socket
import geventhttpclient.response

import paddle_kernel
from paddle_router import _sockets

RECEIVE_BYTES = 65_536
MAX_IDLE_PER_ADDRESS = 64
MAX_IDLE_MS = 15_000
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


class BrokenResponseError(ConnectionError):
    """The backend server closed the connection or broke the protocol."""


class _ExtraResponseError(Exception):
    """Another response begins after the complete one."""


class Response(geventhttpclient.response.HTTPResponse):
    """An HTTP response that is read incrementally.

    Bytes after its end belong to no request. They are dropped, and the
    connection is not reused.
    """

    def __init__(self, sock, method):
        super().__init__(method)
        self._sock = sock
        self.is_cancelled = False
        self._has_extra_bytes = False
        self._received_bytes = 0
        self._body_bytes = 0

    def should_close(self):
        """Return whether the connection cannot be used again."""
        return self._has_extra_bytes or super().should_close()

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
            self._has_extra_bytes = True
        except geventhttpclient.response.HTTPParseError as exc:
            if not self._is_complete:
                raise BrokenResponseError(
                    f'malformed response: {exc}'
                ) from exc
            # Bytes after a response with ``Connection: close``.
            self._has_extra_bytes = True
        if not data and not self.message_complete:
            raise BrokenResponseError('connection closed within the response')


class Connection:
    """An open connection, used for one request at a time."""

    def __init__(self, address, sock, *, reused=False):
        self.address = address
        self.reused = reused
        self.idle_since_ms = 0
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

    @property
    def reusable(self):
        """Whether the last response is complete and allows keep-alive."""
        return self._response is not None and not self._response.should_close()

    def is_alive(self):
        """Return whether an idle connection is open with no data to read."""
        raw = self._sock._sock
        try:
            raw.recv(1, plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # Something is readable: the peer closed the connection, or sent a
        # response without a request.
        return False

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


class ConnectionPool:
    """Pool of idle keep-alive connections by address."""

    def __init__(self, clock):
        self._clock = clock
        self._idle = collections.defaultdict(collections.deque)

    def open(self, address, timeout_ms, *, fresh=False):
        """Return a :class:`Connection`; if ``fresh``, always a new one.

        :raises OSError: if connecting fails or times out.
        """
        if not fresh:
            conn = self._take_idle(address)
            if conn is not None:
                return conn
        return Connection(address, _connect(address, timeout_ms))

    def release(self, conn):
        """Return ``conn`` to the pool; close it if it cannot be reused."""
        idle = self._idle[conn.address]
        if not conn.reusable or len(idle) >= MAX_IDLE_PER_ADDRESS:
            conn.close()
            return
        conn.reused = True
        conn.idle_since_ms = self._clock.now_ms()
        idle.append(conn)

    def close(self):
        """Close all idle connections."""
        for idle in self._idle.values():
            while idle:
                idle.pop().close()

    def close_all_except(self, addresses):
        """Close idle connections to all other addresses."""
        for address in set(self._idle) - set(addresses):
            for conn in self._idle.pop(address):
                conn.close()

    def _take_idle(self, address):
        idle = self._idle.get(address)
        while idle:
            conn = idle.pop()
            age_ms = self._clock.now_ms() - conn.idle_since_ms
            if age_ms < MAX_IDLE_MS and conn.is_alive():
                return conn
            conn.close()
        return None


def _connect(address, timeout_ms):
    host, port = paddle_kernel.split_address(address)
    family = plain_socket.AF_INET6 if ':' in host else plain_socket.AF_INET
    sock = gevent.socket.socket(family, plain_socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_ms / MS_PER_S)
        sock.connect((host, port))
        sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
    except BaseException:
        sock.close()
        raise
    return sock


def exchange(pool, address, method, target, *, timeout_ms, limit, **request):
    """Send one request and return ``(status, body)``.

    ``request`` may contain ``headers`` and ``body``. For idempotent calls, to
    the platform and for engines' load reports.

    :raises OSError: if there is no complete response.
    """
    conn = pool.open(address, timeout_ms, fresh=method != 'GET')
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
    except BaseException:
        conn.close()
        raise
    pool.release(conn)
    return response.get_code(), body
