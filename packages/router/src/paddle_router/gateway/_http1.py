"""HTTP/1.1 over gevent sockets, framed by h11.

Parsing is strict on both sides: a message that two parsers could interpret
differently is an error (this prevents request smuggling), and bytes after a
complete message are not attributed to another message.
"""

import re
import select
import socket as plain_socket

import attrs
import gevent
import gevent.socket
import h11

import paddle_kernel
from paddle_kernel import MS_PER_S
from paddle_router.gateway import _response_limits

RECEIVE_BYTES = 65_536
# Bytes of a request body that are written together with the head; the rest of
# a longer body is not copied.
FIRST_BODY_BYTES = 65_536
# Hop-by-hop headers and framing; never forwarded.
CONNECTION_HEADERS = frozenset(
    {
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    }
)
FRAMING_HEADERS = frozenset({b'content-length', b'transfer-encoding'})
# RFC 9110, section 15: codes outside 100 to 599 are invalid. h11 refuses the
# lower ones only.
MAX_STATUS = 599

# Bare line feeds and folded lines, which parsers treat differently.
_AMBIGUOUS_LINE = re.compile(rb'(?<!\r)\n|\n[ \t]')
_HEAD_END = b'\r\n\r\n'


class BadRequestError(Exception):
    """A request is malformed; ``status`` is the response status code."""

    def __init__(self, status, text):
        super().__init__(text)
        self.status = status


class BrokenResponseError(Exception):
    """A backend server's response is incomplete, too long or not HTTP."""


def get(headers, name):
    """Return the first value of ``name`` (lower case bytes) or ``None``."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end_headers(headers):
    """Return ``headers`` without hop-by-hop headers."""
    dropped = set(CONNECTION_HEADERS)
    for name, value in headers:
        if name.lower() == b'connection':
            dropped.update(part.strip().lower() for part in value.split(b','))
    return [item for item in headers if item[0].lower() not in dropped]


def set_no_delay(sock):
    """Disable Nagle's algorithm."""
    sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)


def abort(sock):
    """Close ``sock`` with a connection reset instead of a clean end."""
    try:
        sock.setsockopt(
            plain_socket.SOL_SOCKET,
            plain_socket.SO_LINGER,
            b'\x01\x00\x00\x00\x00\x00\x00\x00',
        )
    except OSError:
        # The socket is closed already.
        pass
    sock.close()


@attrs.frozen(kw_only=True)
class Request:
    """A caller's request with its complete body."""

    method: bytes
    target: bytes
    headers: list
    body: bytes
    http_version: bytes
    received_ms: int
    fresh_connection: bool

    def header(self, name):
        """Return the first value of ``name`` (lower case bytes)."""
        return get(self.headers, name)


class CallerConnection:
    """Reads requests from a caller and writes the responses.

    ``writer`` writes to the caller; see :mod:`_buffers`.
    """

    def __init__(self, sock, clock, limits, writer):
        self.sock = sock
        self.writer = writer
        self._clock = clock
        self._limits = limits
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._head = b''
        self._method = None
        self._served = 0
        self.is_disconnected = False
        self.is_closing = False

    @property
    def is_reusable(self):
        """Whether the connection can serve another request."""
        return (
            self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
        )

    @property
    def has_buffered_bytes(self):
        """Whether bytes of the next request have been received."""
        return bool(self._h11.trailing_data[0])

    def has_unread_bytes(self):
        """Return whether bytes or the end of the connection can be read."""
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def next_cycle(self):
        """Prepare for the next request on the connection."""
        self._head = bytes(self._h11.trailing_data[0])
        self._method = None
        self._h11.start_next_cycle()
        self._served += 1

    def read_request(self, limits, on_first_byte, room):
        """Return the next :class:`Request`, ``None`` at a clean end.

        ``room`` is the :class:`_buffers.BodyRoom` for its body.

        :raises BadRequestError: if the request must be rejected.
        :raises BodyRefusedError: if there is no room for its body.
        :raises OSError: if the connection breaks.
        """
        self._limits = limits
        timeout_ms = limits.idle_ms if self._served else limits.header_ms
        if not self.has_buffered_bytes and not self._receive(timeout_ms):
            return None
        on_first_byte()
        began_ms = self._clock.now_ms()
        try:
            with gevent.Timeout(limits.header_ms / MS_PER_S, False):
                return self._read(began_ms, room)
        except h11.RemoteProtocolError as exc:
            raise BadRequestError(exc.error_status_hint, str(exc)) from exc
        raise BadRequestError(408, 'the request did not arrive in time')

    def wait_for_disconnect(self):
        """Wait for input; return whether the caller has disconnected."""
        gevent.socket.wait_read(self.sock.fileno())
        try:
            self.is_disconnected = not self.sock.recv(1, plain_socket.MSG_PEEK)
        except OSError:
            self.is_disconnected = True
        return self.is_disconnected

    def send_head(self, status, headers, *, framing):
        """Write the status line and headers."""
        event = h11.Response(
            status_code=status, headers=[*headers, *framing], reason=b''
        )
        self.writer.write(self._h11.send(event))

    def send_data(self, data):
        """Write a part of the body."""
        self.writer.write(self._h11.send(h11.Data(data=data)))

    def send_end(self):
        """Write the end of the body."""
        data = self._h11.send(h11.EndOfMessage())
        if data:
            self.writer.write(data)

    def send_response(self, status, headers, body, *, close):
        """Write a complete response with a single call.

        A response to a HEAD request has the length of ``body``, not the body.
        """
        framing = [(b'Content-Length', str(len(body)).encode())]
        if close:
            framing.append((b'Connection', b'close'))
        event = h11.Response(
            status_code=status, headers=[*headers, *framing], reason=b''
        )
        data = self._h11.send(event)
        if body and self._method != b'HEAD':
            data += self._h11.send(h11.Data(data=body)) or b''
        data += self._h11.send(h11.EndOfMessage()) or b''
        self.writer.write(data)

    def _receive(self, timeout_ms):
        """Feed received bytes to the parser.

        Return false at the end of the connection or after a timeout.
        """
        self.sock.settimeout(timeout_ms / MS_PER_S)
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            return False
        finally:
            self.sock.settimeout(None)
        if not data:
            return False
        self._feed(data)
        return True

    def _feed(self, data):
        if _HEAD_END not in self._head:
            self._head += data
        self._h11.receive_data(data)

    def _read(self, began_ms, room):
        head = self._event()
        self._method = head.method
        raw = self._head.partition(_HEAD_END)[0]
        if _AMBIGUOUS_LINE.search(raw):
            raise BadRequestError(400, 'folded header line or bare line feed')
        _check_framing(head)
        length = int(get(head.headers, b'content-length') or 0)
        room.expect(min(length, self._limits.body_bytes))
        if self._h11.they_are_waiting_for_100_continue:
            self.sock.sendall(
                self._h11.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            )
        parts = []
        size = 0
        while True:
            event = self._event()
            if isinstance(event, h11.EndOfMessage):
                break
            size += len(event.data)
            if size > self._limits.body_bytes:
                raise BadRequestError(413, 'the body is too large')
            room.use(len(event.data))
            parts.append(bytes(event.data))
        return Request(
            method=head.method,
            target=head.target,
            headers=head.headers.raw_items(),
            body=b''.join(parts),
            http_version=head.http_version,
            received_ms=began_ms,
            fresh_connection=not self._served,
        )

    def _event(self):
        while True:
            paddle_kernel.yield_if_due()
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.ConnectionClosed):
                    raise ConnectionResetError('closed within a request')
                return event
            data = self.sock.recv(RECEIVE_BYTES)
            if not data:
                raise ConnectionResetError('closed within a request')
            self._feed(data)


def _check_framing(head):
    """Reject a request whose end two parsers could see differently."""
    names = [name for name, _value in head.headers]
    if b'content-length' in names and b'transfer-encoding' in names:
        raise BadRequestError(400, 'both Content-Length and Transfer-Encoding')
    if names.count(b'host') != 1:
        raise BadRequestError(400, 'exactly one Host header is required')
    if b'transfer-encoding' in names and head.http_version < b'1.1':
        raise BadRequestError(400, 'Transfer-Encoding requires HTTP/1.1')


class ServerConnection:
    """A connection to a backend server, for one exchange at a time.

    A reused connection may deliver bytes of an earlier response, so the user
    of this class compares the request id of a head and skips responses to
    other requests with :meth:`skip_response`. ``on_receive()`` is called
    whenever bytes have arrived.
    """

    def __init__(
        self,
        sock,
        address,
        *,
        max_head_bytes=65_536,
        receive_bytes=RECEIVE_BYTES,
        on_receive=lambda: None,
    ):
        self.sock = sock
        self.address = address
        self.idle_since_ms = 0
        self.idle_limit_ms = None
        self.was_idle = False
        self.use_count = 0
        self.owner = None
        self.is_request_sent = True
        # Why the rest of a long request body could not be sent.
        self._send_error = None
        # Whether the body of the last response ends with the connection.
        self.is_unframed = False
        self._max_head_bytes = max_head_bytes
        self._receive_bytes = receive_bytes
        self._on_receive = on_receive
        self._h11 = None
        self._unread = b''
        self._method = b'GET'
        self._received = 0
        self._delivered = 0

    def is_open_and_idle(self):
        """Return whether the connection is open and nothing was received."""
        if self._unread:
            return False
        self.sock.settimeout(0.0)
        try:
            # Either the end of the connection or unexpected bytes.
            self.sock.recv(1, plain_socket.MSG_PEEK)
            return False
        except BlockingIOError:
            return True
        except OSError:
            return False
        finally:
            self.sock.settimeout(None)

    def send(self, method, target, headers, body):
        """Write a request; may return before a long body is sent.

        A server may respond before it has read the body, so the rest of a long
        body is sent by another greenlet.

        :raises OSError: if the connection breaks.
        """
        self._method = method
        self._received = self._delivered = 0
        self.use_count += 1
        self._start_cycle()
        self.is_request_sent = False
        self._send_error = None
        framing = []
        if body or method in (b'POST', b'PUT', b'PATCH'):
            framing = [(b'Content-Length', str(len(body)).encode())]
        data = self._h11.send(
            h11.Request(
                method=method, target=target, headers=[*headers, *framing]
            )
        )
        if body:
            self._h11.send(h11.Data(data=body))
        self._h11.send(h11.EndOfMessage())
        data += body[:FIRST_BODY_BYTES]
        sent = self.sock.send(data)
        rest = memoryview(body)[FIRST_BODY_BYTES:]
        self.is_request_sent = sent == len(data) and not rest
        if not self.is_request_sent:
            gevent.spawn(self._send_rest, data[sent:], rest)

    def read_head(self):
        """Return the next :class:`h11.Response`.

        :raises BrokenResponseError: if there is none.
        """
        for _ in range(_response_limits.MAX_INTERIM_RESPONSES):
            event = self._event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise BrokenResponseError(
                        f'status code {event.status_code}; the highest of '
                        f'HTTP is {MAX_STATUS}'
                    )
                self.is_unframed = not any(
                    name in FRAMING_HEADERS for name, _value in event.headers
                )
                return event
            raise BrokenResponseError(f'closed before a response: {event!r}')
        raise BrokenResponseError('too many interim responses')

    def read_data(self):
        """Return the next bytes of the body, ``None`` at its end.

        :raises BrokenResponseError: if it ends early.
        """
        event = self._event()
        if isinstance(event, h11.Data):
            self._delivered += len(event.data)
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BrokenResponseError(f'response ends early: {event!r}')

    def skip_response(self):
        """Read and discard the current response, to another request."""
        skipped = 0
        while (data := self.read_data()) is not None:
            skipped += len(data)
            if skipped > _response_limits.MAX_SKIPPED_BYTES:
                raise BrokenResponseError(
                    'response to another request too long'
                )
        if self._h11.their_state is not h11.DONE:
            raise BrokenResponseError(
                'closed after a response to another request'
            )
        rest = bytes(self._h11.trailing_data[0])
        self._start_cycle()
        self._h11.send(
            h11.Request(
                method=self._method, target=b'/', headers=[(b'Host', b'x')]
            )
        )
        self._h11.send(h11.EndOfMessage())
        if rest:
            self._h11.receive_data(rest)

    def finish(self):
        """Return whether the connection can take another request."""
        if self._h11.their_state is not h11.DONE or not self.is_request_sent:
            return False
        self._unread = bytes(self._h11.trailing_data[0])
        return not self._unread

    def close(self):
        """Reset the connection, so that a busy server notices it."""
        abort(self.sock)

    def _send_rest(self, *parts):
        try:
            for part in parts:
                self.sock.sendall(part)
        except OSError as exc:
            # The kernel reports an error of the connection once. Reading then
            # returns what was received and a plain end; see _event().
            self._send_error = exc
            return
        self.is_request_sent = True

    def _start_cycle(self):
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self._max_head_bytes
        )

    def _event(self):
        try:
            while True:
                paddle_kernel.yield_if_due()
                event = self._h11.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = self.sock.recv(self._receive_bytes)
                if data:
                    self._on_receive()
                elif self._send_error is not None:
                    raise BrokenResponseError(
                        'connection broken within the request body: '
                        f'{self._send_error}'
                    )
                self._received += len(data)
                framing = self._received - self._delivered
                if (
                    framing
                    > _response_limits.MAX_FRAMING_BYTES + self._delivered
                ):
                    raise BrokenResponseError(
                        'too many bytes of heads or chunk framing'
                    )
                self._h11.receive_data(data)
        except (h11.RemoteProtocolError, OSError) as exc:
            raise BrokenResponseError(str(exc)) from exc
