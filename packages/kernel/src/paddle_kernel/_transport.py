"""Calls between processes: the interface and its TCP implementation."""

import itertools
import struct
import typing

import attrs
import capnp
import gevent
import gevent.event
import gevent.lock
import gevent.queue
import gevent.server
import gevent.socket
import returns.result

from paddle_kernel import _clock
from paddle_kernel import _codec
from paddle_kernel import _events

# Bytes that follow, the call's id and the length of the kind's name.
FRAME_HEADER = struct.Struct('!IQB')
_REST = struct.Struct('!QB')
_SIZE = struct.Struct('!I')
MAX_FRAME_BYTES = 64 * 1024 * 1024
RECEIVE_BYTES = 65_536

capnp.remove_import_hook()


@attrs.frozen
class CallError:
    """A call without an answer.

    ``kind`` is ``refused`` (the connection could not be opened, so the
    message was not sent), ``timeout`` or ``closed`` (it may have arrived).
    """

    kind: str
    address: str

    @property
    def was_sent(self):
        """Whether the message may have reached the other side."""
        return self.kind != 'refused'


@attrs.define
class Traffic:
    """Bytes of all frames that were sent and received."""

    sent: int = 0
    received: int = 0

    def dump(self):
        """Return plain data for the state dump."""
        return {'sent_bytes': self.sent, 'received_bytes': self.received}


class Transport(typing.Protocol):
    """Sends a message to an address and returns the answer."""

    def call(self, address, message, timeout_ms) -> returns.result.Result:
        """Return ``Success(answer)`` or ``Failure(CallError)``."""


class FrameError(ValueError):
    """A frame is too long or cannot be decoded."""


def pack(call_id, message):
    """Return the frame that carries ``message``."""
    kind, body = _codec.codec.encode(message)
    name = kind.encode('ascii')
    size = _REST.size + len(name) + len(body)
    return FRAME_HEADER.pack(size, call_id, len(name)) + name + body


def unpack(data):
    """Return ``(call_id, message)`` from what follows the size of a frame.

    :raises FrameError: if it cannot be decoded.
    """
    try:
        call_id, length = _REST.unpack_from(data)
        end = _REST.size + length
        kind = data[_REST.size : end].decode('ascii')
        return call_id, _codec.codec.decode(kind, data[end:])
    except (capnp.KjException, struct.error, ValueError) as exc:
        raise FrameError(f'cannot decode a frame: {exc}') from exc


class FrameReader:
    """Reads frames from a socket, several with one system call."""

    def __init__(self, sock, traffic):
        self._sock = sock
        self._traffic = traffic
        self._data = bytearray()

    def read(self):
        """Return ``(call_id, message)`` of the next frame.

        :raises EOFError: at the end of the connection.
        :raises FrameError: if the frame is too long or cannot be decoded.
        """
        self._fill(_SIZE.size)
        (size,) = _SIZE.unpack_from(self._data)
        if size > MAX_FRAME_BYTES:
            raise FrameError(
                f'frame of {size} bytes exceeds {MAX_FRAME_BYTES}'
            )
        end = _SIZE.size + size
        self._fill(end)
        payload = bytes(memoryview(self._data)[_SIZE.size : end])
        del self._data[:end]
        self._traffic.received += end
        return unpack(payload)

    def _fill(self, size):
        while len(self._data) < size:
            data = self._sock.recv(RECEIVE_BYTES)
            if not data:
                raise EOFError
            self._data += data


def split_address(address):
    """Return ``(host, port)`` from ``'host:port'``."""
    host, _, port = address.rpartition(':')
    return host, int(port)


class TcpServer:
    """Answers calls with ``handler(message) -> answer``.

    Calls of one connection are handled concurrently. A handler that returns
    ``None`` sends no answer.
    """

    def __init__(self, address, handler, *, traffic=None):
        self._handler = handler
        self._server = gevent.server.StreamServer(
            split_address(address), self._serve
        )
        self._connections = set()
        self.traffic = traffic or Traffic()

    def start(self):
        """Listen; port 0 lets the system choose."""
        self._server.start()
        return self

    @property
    def address(self):
        """The address in use as ``'host:port'``."""
        host, port = self._server.address[:2]
        return f'{host}:{port}'

    def stop(self):
        """Stop listening and close all connections."""
        self._server.stop(timeout=0)
        for sock in list(self._connections):
            sock.close()

    def _serve(self, sock, peer):
        sock.setsockopt(
            gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1
        )
        lock = gevent.lock.Semaphore()
        reader = FrameReader(sock, self.traffic)
        self._connections.add(sock)
        try:
            while True:
                call_id, message = reader.read()
                gevent.spawn(self._answer, sock, lock, call_id, message)
        except (EOFError, OSError):
            # The caller is gone and with it every answer that it waits for.
            pass
        except FrameError as exc:
            _events.emit(
                _events.FRAME_REFUSED, peer=_peer_text(peer), error=str(exc)
            )
        finally:
            self._connections.discard(sock)
            sock.close()

    def _answer(self, sock, lock, call_id, message):
        try:
            answer = self._handler(message)
        except Exception as exc:
            # The caller meets its time limit; other calls go on.
            _events.emit(
                _events.HANDLER_FAILED,
                message=_codec.codec.kind_of(message),
                error=f'{type(exc).__name__}: {exc}',
            )
            return
        if answer is None:
            return
        frame = pack(call_id, answer)
        self.traffic.sent += len(frame)
        with lock:
            try:
                sock.sendall(frame)
            except OSError:
                sock.close()


class _Connection:
    """One client connection; matches answers to calls by their id."""

    def __init__(self, address, connect_timeout_ms, traffic):
        self._address = address
        self._traffic = traffic
        self._sock = gevent.socket.create_connection(
            split_address(address), connect_timeout_ms / _clock.MS_PER_S
        )
        self._sock.settimeout(None)
        self._sock.setsockopt(
            gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1
        )
        self._lock = gevent.lock.Semaphore()
        self._waiting = {}
        self._received = 0
        self.closed = False
        self._reader = gevent.spawn(self._read)

    def call(self, call_id, message, timeout_ms):
        fut = gevent.event.AsyncResult()
        self._waiting[call_id] = fut
        received = self._received
        try:
            frame = pack(call_id, message)
            self._traffic.sent += len(frame)
            with gevent.Timeout(timeout_ms / _clock.MS_PER_S):
                with self._lock:
                    self._sock.sendall(frame)
                return fut.get()
        except gevent.Timeout:
            # A connection can go silent without a reset; only a new one
            # tells a lost connection from a slow peer.
            if self._received == received:
                self.close()
            raise
        finally:
            self._waiting.pop(call_id, None)

    def close(self):
        self.closed = True
        self._sock.close()
        for fut in list(self._waiting.values()):
            fut.set_exception(EOFError())

    def _read(self):
        reader = FrameReader(self._sock, self._traffic)
        try:
            while True:
                call_id, answer = reader.read()
                self._received += 1
                fut = self._waiting.get(call_id)
                if fut is not None:
                    fut.set(answer)
        except (EOFError, OSError):
            # Waiting calls are told by close().
            self.close()
        except FrameError as exc:
            _events.emit(
                _events.FRAME_REFUSED, peer=self._address, error=str(exc)
            )
            self.close()


class TcpTransport:
    """Calls over one persistent TCP connection per address."""

    def __init__(self):
        self._connections = {}
        self._locks = {}
        self._ids = itertools.count(1)
        self.traffic = Traffic()

    def call(self, address, message, timeout_ms):
        """Return ``Success(answer)`` or ``Failure(CallError)``."""
        try:
            with gevent.Timeout(timeout_ms / _clock.MS_PER_S):
                conn = self._connection(address, timeout_ms)
        except (OSError, gevent.Timeout):
            return returns.result.Failure(CallError('refused', address))
        try:
            answer = conn.call(next(self._ids), message, timeout_ms)
        except gevent.Timeout:
            return returns.result.Failure(CallError('timeout', address))
        except (EOFError, OSError):
            conn.close()
            return returns.result.Failure(CallError('closed', address))
        return returns.result.Success(answer)

    def close(self):
        """Close all connections."""
        for conn in self._connections.values():
            conn.close()
        self._connections.clear()

    def _connection(self, address, timeout_ms):
        lock = self._locks.setdefault(address, gevent.lock.Semaphore())
        with lock:
            conn = self._connections.get(address)
            if conn is None or conn.closed:
                conn = _Connection(address, timeout_ms, self.traffic)
                self._connections[address] = conn
            return conn


def _peer_text(peer):
    return f'{peer[0]}:{peer[1]}'


def broadcast(transport, calls, timeout_ms):
    """Yield ``(address, result)`` for each call as results arrive.

    ``calls`` maps address to message. The caller may stop iterating early;
    the remaining calls go on in their own greenlets.
    """
    results = gevent.queue.Queue()

    def run(address, message):
        results.put((address, transport.call(address, message, timeout_ms)))

    for address, message in calls.items():
        gevent.spawn(run, address, message)
    for _ in calls:
        yield results.get()
