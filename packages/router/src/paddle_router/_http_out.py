"""HTTP connections to backend servers and the platform.

Opening a connection and sending a request are separate steps, so that a check
of a claim or a lease can come between them. Nothing here sends a request a
second time.
"""

import collections
import socket as plain_socket

import gevent.socket
import geventhttpclient.response

import paddle_kernel
from paddle_router import _sockets

RECEIVE_BYTES = 65_536
IDLE_PER_ADDRESS = 64
IDLE_LIMIT_MS = 15_000
MS_PER_S = paddle_kernel.MS_PER_S
HEADERS_ONLY = 199


class BrokenAnswerError(ConnectionError):
    """The backend server closed the connection or broke the protocol."""


class Answer(geventhttpclient.response.HTTPResponse):
    """An HTTP answer that is read as it arrives."""

    def __init__(self, sock, method):
        super().__init__(method)
        self._sock = sock

    def read_head(self):
        """Read until the headers of the final answer are complete."""
        while not self.headers_complete or self.get_code() <= HEADERS_ONLY:
            self._receive()
        return self

    def read_some(self):
        """Return the body bytes that have arrived; ``b''`` at the end.

        Waits only while there are none, and then for one receive.

        :raises BrokenAnswerError: if the answer ends too early.
        """
        while not self._body_buffer:
            if self.message_complete:
                return b''
            self._receive()
        data = bytes(self._body_buffer)
        self._body_buffer.clear()
        return data

    def read_all(self, limit):
        """Return the whole body.

        :raises BrokenAnswerError: if it ends too early or exceeds ``limit``
            bytes.
        """
        parts = []
        size = 0
        while data := self.read_some():
            parts.append(data)
            size += len(data)
            if size > limit:
                raise BrokenAnswerError(f'answer exceeds {limit} bytes')
        return b''.join(parts)

    def _receive(self):
        data = self._sock.recv(RECEIVE_BYTES)
        try:
            self.feed(data)
        except geventhttpclient.response.HTTPParseError as exc:
            raise BrokenAnswerError(f'malformed answer: {exc}') from exc
        if not data and not self.message_complete:
            raise BrokenAnswerError('connection closed within the answer')


class Connection:
    """One open connection, used for one request at a time."""

    def __init__(self, address, sock, *, reused=False):
        self.address = address
        self.reused = reused
        self.idle_since_ms = 0
        self._sock = sock
        self._answer = None

    def send(self, method, target, headers, body=b'', *, timeout_ms):
        """Send one request; ``headers`` are pairs of strings."""
        lines = [f'{method} {target} HTTP/1.1', f'Host: {self.address}']
        lines.extend(f'{name}: {value}' for name, value in headers)
        if body or method not in ('GET', 'HEAD'):
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        self.set_timeout(timeout_ms)
        _sockets.send_whole(self._sock, head.encode('latin-1') + body)
        self._answer = Answer(self._sock, method)

    def read_head(self, timeout_ms):
        """Return the :class:`Answer` once its headers have arrived."""
        self.set_timeout(timeout_ms)
        return self._answer.read_head()

    def set_timeout(self, timeout_ms):
        """Limit each following send and receive; ``None`` is no limit."""
        limit_s = None if timeout_ms is None else timeout_ms / MS_PER_S
        self._sock.settimeout(limit_s)

    @property
    def reusable(self):
        """Whether the last exchange is complete and allows another."""
        return self._answer is not None and not self._answer.should_close()

    def is_alive(self):
        """Return whether an idle connection is still open and silent."""
        raw = self._sock._sock
        try:
            raw.recv(1, plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # An idle connection must have nothing to read: this is its end or
        # an answer to no request.
        return False

    def cancel(self):
        """Cut the connection; a greenlet waiting on it sees an error."""
        try:
            self._sock.shutdown(plain_socket.SHUT_RDWR)
        except OSError:
            # The backend server closed it first.
            pass

    def close(self):
        """Close the connection."""
        self._sock.close()


class Pool:
    """Idle connections by address."""

    def __init__(self, clock):
        self._clock = clock
        self._idle = collections.defaultdict(collections.deque)

    def open(self, address, timeout_ms, *, fresh=False):
        """Return a :class:`Connection`; ``fresh`` forbids a used one.

        :raises OSError: if the address does not accept in time.
        """
        if not fresh:
            conn = self._take(address)
            if conn is not None:
                return conn
        return Connection(address, _connect(address, timeout_ms))

    def give_back(self, conn):
        """Keep ``conn`` for another request, or close it."""
        idle = self._idle[conn.address]
        if not conn.reusable or len(idle) >= IDLE_PER_ADDRESS:
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

    def keep_only(self, addresses):
        """Close idle connections to addresses that are gone."""
        for address in set(self._idle) - set(addresses):
            for conn in self._idle.pop(address):
                conn.close()

    def _take(self, address):
        idle = self._idle.get(address)
        while idle:
            conn = idle.pop()
            age_ms = self._clock.now_ms() - conn.idle_since_ms
            if age_ms < IDLE_LIMIT_MS and conn.is_alive():
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

    ``request`` may hold ``headers`` and ``body``. For idempotent calls to
    the platform and to engines' reports.

    :raises OSError: if there is no complete answer.
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
        answer = conn.read_head(timeout_ms)
        body = answer.read_all(limit)
    except BaseException:
        conn.close()
        raise
    pool.give_back(conn)
    return answer.get_code(), body
