"""Caller connections: accepting, serving requests, detecting disconnects."""

import gevent
import gevent.server
import gevent.socket

import paddle_kernel
from paddle_kernel import MS_PER_S
from paddle_router.gateway import _buffers
from paddle_router.gateway import _call
from paddle_router.gateway import _events
from paddle_router.gateway import _http1
from paddle_router.gateway import _model
from paddle_router.gateway import _peer_headers

BACKLOG = 1_024
# Closing a socket with unread bytes resets the connection, which can destroy a
# response that the caller has not read yet.
LINGER_MS = 500
# Bodies in progress end within about the time of a request, and callers only
# honour a Retry-After of up to a third of their remaining time.
BODY_RETRY_AFTER_MS = 300


class CallerChannel:
    """Writes the response to one request on a caller connection."""

    # The :class:`RelayedRequest` if a peer has sent the request.
    relayed = None

    def __init__(self, conn, entry):
        self._conn = conn
        self._entry = entry
        self._response_started = False
        self._response_ended = False

    @property
    def has_responded(self):
        """Whether a response was started."""
        return self._response_started

    @property
    def is_response_incomplete(self):
        """Whether a response was started and not written to its end."""
        return self._response_started and (
            not self._response_ended or bool(self._conn.writer.pending)
        )

    def answer(self, status, headers, body):
        """Write a complete response unless one has been started."""
        self._respond(status, self._server_headers(headers), body)

    def _respond(self, status, headers, body):
        if self._response_started:
            return
        self._response_started = True
        self._conn.send_response(
            status, headers, body, close=self._entry.closing
        )
        self._response_ended = True

    def refuse(self, status, headers, body):
        """Write a complete response of the gateway itself."""
        self._respond(status, headers, body)

    def begin(self, status, headers):
        """Write the head of a streamed response."""
        self._response_started = True
        framing = [(b'Connection', b'close')] if self._entry.closing else []
        self._conn.send_head(
            status, self._server_headers(headers), framing=framing
        )

    def data(self, data):
        """Write a part of a streamed response."""
        self._conn.send_data(data)

    def end(self):
        """Write the end of a streamed response."""
        self._conn.send_end()
        self._response_ended = True

    def wait_for_room(self):
        """Wait until more of the response may be held for the caller."""
        self._conn.writer.wait_for_room()

    def buffer_limit(self, limit):
        """Return how many bytes of a response may wait for its end."""
        return self._conn.writer.buffer_limit(limit)

    def hold(self, size):
        """Count ``size`` bytes of a response that wait for its end."""
        self._conn.writer.hold(size)

    def flush(self):
        """Wait until the caller has been sent all."""
        self._conn.writer.flush()

    def _server_headers(self, headers):
        """Return what the caller gets of a server's ``headers``."""
        return _peer_headers.without_own(headers)


class Entry:
    """Accepts callers; ``closing`` ends each connection after its response.

    ``refusal_headers`` are added where a request cannot be read.
    """

    refusal_headers = ()

    def __init__(
        self,
        address,
        follower,
        forwarder,
        clock,
        buffers,
        *,
        max_connections,
    ):
        self._follower = follower
        self._forwarder = forwarder
        self._clock = clock
        self._buffers = buffers
        self._max_connections = max_connections
        self._idle = {}
        self._count = 0
        self.busy = 0
        self.closing = False
        listener = gevent.socket.socket()
        listener.setsockopt(
            gevent.socket.SOL_SOCKET, gevent.socket.SO_REUSEADDR, 1
        )
        # Accepted connections inherit them.
        buffers.limit_receive_buffer(listener)
        buffers.limit_send_buffer(listener)
        listener.bind(paddle_kernel.split_address(address))
        listener.listen(BACKLOG)
        self._server = gevent.server.StreamServer(listener, self._serve)

    @property
    def address(self):
        """The address in use as ``'host:port'``."""
        host, port = self._server.address[:2]
        return f'{host}:{port}'

    def start(self):
        """Accept callers."""
        self._server.start()

    def stop_listening(self):
        """Accept no more connections and close those without a request."""
        self._server.stop(timeout=0)
        self.close_idle()

    def close_idle(self):
        """Close idle connections now and the others after their response."""
        self.closing = True
        for conn in list(self._idle.values()):
            if conn.has_unread_bytes():
                # A request has arrived but has not been read yet.
                continue
            # A request that arrives after this must not be forwarded, because
            # its response could not be written.
            conn.is_closing = True
            _half_close(conn.sock)

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'connections': self._count,
            'idle': len(self._idle),
            'busy': self.busy,
        }

    def _serve(self, sock, _peer):
        if self._count >= self._max_connections:
            sock.close()
            return
        self._count += 1
        limits = self._limits()
        writer = self._buffers.writer(sock)
        try:
            _http1.set_no_delay(sock)
            conn = _http1.CallerConnection(sock, self._clock, limits, writer)
            self._serve_requests(conn)
        except OSError:
            # The caller's connection broke, so no response can be sent.
            pass
        finally:
            self._count -= 1
            writer.close()
            sock.close()

    def _limits(self):
        table = self._follower.table
        return table.configuration.limits if table else _model.Limits()

    def _serve_requests(self, conn):
        while True:
            with self._buffers.body() as room:
                req = self._read(conn, room)
                if req is None or conn.is_closing:
                    return
                if not self._serve_one(conn, req):
                    return
                # The body is not kept while the connection is idle.
                del req
            if self.closing or not conn.is_reusable:
                _linger(conn.sock, LINGER_MS)
                return
            conn.next_cycle()

    def _read(self, conn, room):
        key = id(conn)
        self._idle[key] = conn
        try:
            return conn.read_request(
                self._limits(), lambda: self._idle.pop(key, None), room
            )
        except _http1.BadRequestError as exc:
            paddle_kernel.emit(
                _events.BAD_REQUEST, status=exc.status, error=str(exc)
            )
            refuse(
                conn, exc.status, b'bad request', headers=self.refusal_headers
            )
            return None
        except _buffers.BodyRefusedError as exc:
            reason = str(exc).encode()
        finally:
            self._idle.pop(key, None)
        # The traceback, which held the part that was read, is gone by now.
        room.release()
        retry_after = b'%.3f' % (BODY_RETRY_AFTER_MS / MS_PER_S)
        refuse(
            conn,
            503,
            reason,
            headers=[(b'Retry-After', retry_after), *self.refusal_headers],
            # The caller may read the refusal only after its body is sent.
            linger_ms=self._limits().header_ms,
        )
        return None

    def _serve_one(self, conn, req):
        """Serve one request; return whether the connection is still usable."""
        channel = self._channel(conn, req)
        if channel is None:
            return False
        worker = gevent.getcurrent()
        conn.writer.start_request(
            lambda writer: self._end_slow(writer, worker, req)
        )
        watcher = gevent.spawn(_watch_disconnect, conn, worker)
        self.busy += 1
        try:
            if not channel.has_responded:
                self._forwarder.serve(channel, req)
            _flush(conn)
        except (_call.CallerDisconnected, OSError):
            # A write fails if the caller has disconnected.
            if not conn.writer.was_ended:
                paddle_kernel.emit(
                    _events.CALLER_DISCONNECTED,
                    target=req.target.decode('latin-1'),
                )
            return False
        finally:
            self.busy -= 1
            conn.writer.start_request(None)
            watcher.kill(block=False)
            if conn.writer.was_ended:
                # It does not read what it has; a reset releases that.
                _http1.abort(conn.sock)
            elif channel.is_response_incomplete:
                _end_incomplete(conn.sock, req.http_version)
        return not channel.is_response_incomplete

    def _channel(self, conn, _req):
        """Return the channel for the response to a request.

        ``None`` if the request was refused and the connection is to be closed.
        """
        return CallerChannel(conn, self)

    def _end_slow(self, writer, worker, req):
        paddle_kernel.emit(
            _events.CALLER_ENDED,
            target=req.target.decode('latin-1'),
            pending=writer.pending,
            stalled_ms=writer.stalled_ms(self._clock.now_ms()),
            held=self._buffers.held_for_callers,
        )
        worker.kill(_call.CallerTooSlow, block=False)


def refuse(conn, status, reason, *, headers=(), linger_ms=LINGER_MS):
    """Refuse a request that is not handled, and end its connection."""
    conn.send_response(
        status,
        [(b'Content-Type', b'application/json'), *headers],
        b'{"error":"' + reason + b'"}',
        close=True,
    )
    _flush(conn)
    _linger(conn.sock, linger_ms)


def _flush(conn):
    """Let the caller read the end of a response that is due already."""
    with gevent.Timeout(LINGER_MS / MS_PER_S, False):
        conn.writer.flush()


def _watch_disconnect(conn, worker):
    if conn.wait_for_disconnect():
        worker.kill(_call.CallerDisconnected, block=False)


def _end_incomplete(sock, http_version):
    """Show the caller at once that the response is incomplete.

    Without chunked encoding, only a reset shows it. With it, no reset is sent,
    because that could destroy events that the caller has not read.
    """
    if http_version < b'1.1':
        _http1.abort(sock)
    else:
        # The socket is closed only in a later turn of the event loop.
        _half_close(sock)


def _half_close(sock):
    try:
        sock.shutdown(gevent.socket.SHUT_WR)
    except OSError:
        # Already closed by the caller.
        pass


def _linger(sock, limit_ms):
    """Let the caller read the response before the socket is closed."""
    _half_close(sock)
    with gevent.Timeout(limit_ms / MS_PER_S, False):
        while sock.recv(_http1.RECEIVE_BYTES):
            paddle_kernel.yield_if_due()
