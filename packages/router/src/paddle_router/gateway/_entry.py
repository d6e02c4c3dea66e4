"""Connections of callers: requests in turn, departures, idle times."""

import gevent
import gevent.server
import gevent.socket

import paddle_kernel
from paddle_kernel import MS_PER_S
from paddle_router.gateway import _call
from paddle_router.gateway import _events
from paddle_router.gateway import _http1
from paddle_router.gateway import _model

BACKLOG = 1_024
# Unread bytes make a closing socket reset the connection, which can destroy
# an answer that the caller has not read yet.
LINGER_MS = 500


class CallerChannel:
    """What a request may do with the connection it came on."""

    def __init__(self, conn, entry):
        self._conn = conn
        self._entry = entry
        self._answered = False
        self.abandoned = False

    def answer(self, status, headers, body):
        """Write a whole answer; later ones are ignored."""
        if self._answered:
            return
        self._answered = True
        self._conn.send_whole(status, headers, body, close=self._entry.closing)

    def begin(self, status, headers):
        """Write the head of a streamed answer."""
        self._answered = True
        framing = [(b'Connection', b'close')] if self._entry.closing else []
        self._conn.send_head(status, headers, framing=framing)

    def data(self, data):
        """Write a part of a streamed answer."""
        self._conn.send_data(data)

    def end(self):
        """Write the end of a streamed answer."""
        self._conn.send_end()

    def abandon(self):
        """Give up a begun answer so that it cannot look complete."""
        self.abandoned = True


class Entry:
    """Listens for callers; ``closing`` ends connections after an answer."""

    def __init__(self, address, follower, forwarder, clock, *, most):
        self._follower = follower
        self._forwarder = forwarder
        self._clock = clock
        self._most = most
        self._idle = {}
        self._count = 0
        self.busy = 0
        self.closing = False
        listener = gevent.socket.socket()
        listener.setsockopt(
            gevent.socket.SOL_SOCKET, gevent.socket.SO_REUSEADDR, 1
        )
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
        """Close connections without a request; others after their answer."""
        self.closing = True
        for conn in list(self._idle.values()):
            if conn.has_unread_bytes():
                # A request has arrived and is about to be read.
                continue
            # A request that crosses the close must not be passed on, since
            # its answer could not be written.
            conn.closed_here = True
            _half_close(conn.sock)

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'connections': self._count,
            'idle': len(self._idle),
            'busy': self.busy,
        }

    def _serve(self, sock, _peer):
        if self._count >= self._most:
            sock.close()
            return
        self._count += 1
        limits = self._limits()
        try:
            _http1.set_no_delay(sock)
            conn = _http1.CallerConnection(sock, self._clock, limits)
            self._serve_requests(conn)
        except OSError:
            # The caller's connection broke; nobody is left to be told.
            pass
        finally:
            self._count -= 1
            sock.close()

    def _limits(self):
        table = self._follower.table
        return table.configuration.limits if table else _model.Limits()

    def _serve_requests(self, conn):
        while True:
            req = self._read(conn)
            if req is None or conn.closed_here:
                return
            if not self._serve_one(conn, req):
                return
            if self.closing or not conn.reusable:
                _linger(conn.sock)
                return
            conn.next_cycle()

    def _read(self, conn):
        key = id(conn)
        self._idle[key] = conn
        try:
            return conn.read_request(
                self._limits(), lambda: self._idle.pop(key, None)
            )
        except _http1.BadRequestError as exc:
            self._refuse(conn, exc)
            return None
        finally:
            self._idle.pop(key, None)

    def _refuse(self, conn, exc):
        paddle_kernel.emit(
            _events.BAD_REQUEST, status=exc.status, error=str(exc)
        )
        body = b'{"error":"bad request"}'
        conn.send_whole(
            exc.status,
            [(b'Content-Type', b'application/json')],
            body,
            close=True,
        )
        _linger(conn.sock)

    def _serve_one(self, conn, req):
        """Serve one request; return whether the connection is still good."""
        channel = CallerChannel(conn, self)
        worker = gevent.getcurrent()
        watcher = gevent.spawn(_watch, conn, worker)
        self.busy += 1
        try:
            self._forwarder.serve(channel, req)
        except _call.CallerLeft:
            paddle_kernel.emit(
                _events.CALLER_LEFT, target=req.target.decode('latin-1')
            )
            return False
        except OSError:
            # A write to the caller failed, which is the same departure.
            paddle_kernel.emit(
                _events.CALLER_LEFT, target=req.target.decode('latin-1')
            )
            return False
        finally:
            self.busy -= 1
            watcher.kill(block=False)
        if channel.abandoned:
            if req.http_version < b'1.1':
                # Without chunks only a reset shows that the answer is cut; it
                # would also destroy events that the caller has not read.
                _http1.abort(conn.sock)
            return False
        return True


def _watch(conn, worker):
    if conn.wait_gone():
        worker.kill(_call.CallerLeft, block=False)


def _half_close(sock):
    try:
        sock.shutdown(gevent.socket.SHUT_WR)
    except OSError:
        # Already closed by the caller.
        pass


def _linger(sock):
    """Let the caller read the answer before the socket is closed."""
    _half_close(sock)
    with gevent.Timeout(LINGER_MS / MS_PER_S, False):
        while sock.recv(_http1.RECEIVE_BYTES):
            continue
