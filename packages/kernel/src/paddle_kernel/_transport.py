"""Remote calls between processes: the interface and its TCP implementation."""

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
from paddle_kernel import _loop

# Number of bytes that follow, call id and length of the message kind.
FRAME_HEADER = struct.Struct('!IQB')
_CALL_HEADER = struct.Struct('!QB')
_FRAME_SIZE = struct.Struct('!I')
MAX_FRAME_BYTES = 64 * 1024 * 1024
RECEIVE_BYTES = 65_536

capnp.remove_import_hook()


@attrs.frozen
class CallError:
    """The reason why a call has no answer.

    ``kind`` is ``refused`` if the connection could not be opened, so that the
    message was not sent, and ``unencodable`` if the message cannot be encoded.
    It is ``timeout`` or ``closed`` if the message may have arrived, and
    ``failed`` if the receiver has no answer that can be encoded.
    """

    kind: str
    address: str

    @property
    def was_sent(self):
        """Whether the message may have arrived."""
        return self.kind not in ('refused', 'unencodable')


@attrs.define
class Traffic:
    """Number of bytes in all frames sent and received."""

    sent: int = 0
    received: int = 0

    def dump(self):
        """Return plain data for the state dump."""
        return {'sent_bytes': self.sent, 'received_bytes': self.received}


class Transport(typing.Protocol):
    """Sends a message to an address and returns the answer."""

    def call(self, address, message, timeout_ms) -> returns.result.Result:
        """Return ``Success(answer)`` or ``Failure(CallError)``."""


def is_unencodable(result):
    """Whether a call failed because its message cannot be encoded."""
    return (
        isinstance(result, returns.result.Failure)
        and result.failure().kind == 'unencodable'
    )


class FrameError(ValueError):
    """A frame exceeds ``MAX_FRAME_BYTES`` or cannot be decoded."""


def pack(call_id, message):
    """Return the frame that carries ``message``.

    ``None`` tells the caller that its call has no answer.

    :raises EncodeError: if the message cannot be encoded.
    """
    kind, body = (
        _codec.codec.encode(message) if message is not None else ('', b'')
    )
    name = kind.encode('ascii')
    size = _CALL_HEADER.size + len(name) + len(body)
    return FRAME_HEADER.pack(size, call_id, len(name)) + name + body


def unpack(data):
    """Return ``(call_id, message)`` from a frame without its size field.

    The message is ``None`` if the frame carries none.

    :raises FrameError: if it cannot be decoded.
    """
    try:
        call_id, length = _CALL_HEADER.unpack_from(data)
        end = _CALL_HEADER.size + length
        kind = data[_CALL_HEADER.size : end].decode('ascii')
        if not kind and len(data) == end:
            return call_id, None
        return call_id, _codec.codec.decode(kind, data[end:])
    except (capnp.KjException, struct.error, ValueError) as exc:
        raise FrameError(f'cannot decode a frame: {exc}') from exc


class FrameReader:
    """Reads frames from a socket; one system call may receive several."""

    def __init__(self, sock, traffic):
        self._sock = sock
        self._traffic = traffic
        self._buffer = bytearray()

    def read(self):
        """Return ``(call_id, message)`` of the next frame.

        :raises EOFError: at the end of the connection.
        :raises FrameError: if the frame is too long or cannot be decoded.
        """
        _loop.yield_if_due()
        self._receive_until(_FRAME_SIZE.size)
        (size,) = _FRAME_SIZE.unpack_from(self._buffer)
        if size > MAX_FRAME_BYTES:
            raise FrameError(
                f'frame of {size} bytes exceeds {MAX_FRAME_BYTES} bytes'
            )
        end = _FRAME_SIZE.size + size
        self._receive_until(end)
        payload = bytes(memoryview(self._buffer)[_FRAME_SIZE.size : end])
        del self._buffer[:end]
        self._traffic.received += end
        return unpack(payload)

    def _receive_until(self, size):
        while len(self._buffer) < size:
            _loop.yield_if_due()
            data = self._sock.recv(RECEIVE_BYTES)
            if not data:
                raise EOFError
            self._buffer += data


def split_address(address):
    """Return ``(host, port)`` from ``'host:port'``."""
    host, _, port = address.rpartition(':')
    return host, int(port)


class TcpServer:
    """Answers calls with the result of ``handler(message)``.

    Calls on one connection are handled concurrently. No answer is sent if the
    handler returns ``None``. ``reduce_answer(request, answer)`` is called for
    an answer that cannot be encoded, and returns a substitute or ``None``.
    """

    def __init__(self, address, handler, *, traffic=None, reduce_answer=None):
        self._handler = handler
        self._reduce_answer = reduce_answer or _no_answer
        self._server = gevent.server.StreamServer(
            split_address(address), self._serve
        )
        self._connections = set()
        self.traffic = traffic or Traffic()

    def start(self):
        """Start listening; for port 0 the system chooses a free port."""
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
                if message is None:
                    raise FrameError('a call without a message')
                gevent.spawn(self._handle_call, sock, lock, call_id, message)
        except (EOFError, OSError):
            # The caller has disconnected and no longer waits for answers.
            pass
        except FrameError as exc:
            _events.emit(
                _events.FRAME_REFUSED, peer=_format_peer(peer), error=str(exc)
            )
        finally:
            self._connections.discard(sock)
            sock.close()

    def _handle_call(self, sock, lock, call_id, message):
        try:
            answer = self._handler(message)
        except Exception as exc:
            # This call times out at the caller; other calls are unaffected.
            _events.emit(
                _events.HANDLER_FAILED,
                message=_codec.codec.kind_of(message),
                error=f'{type(exc).__name__}: {exc}',
            )
            return
        if answer is None:
            return
        frame = self._pack_answer(call_id, message, answer)
        self.traffic.sent += len(frame)
        with lock:
            try:
                sock.sendall(frame)
            except OSError:
                sock.close()

    def _pack_answer(self, call_id, message, answer):
        """Return the frame with the answer, or with what can be sent of it."""
        try:
            return pack(call_id, answer)
        except _codec.EncodeError as exc:
            _log_unencodable(answer, exc)
        try:
            return pack(call_id, self._reduce_answer(message, answer))
        except Exception as exc:
            _events.emit(
                _events.HANDLER_FAILED,
                message=_codec.codec.kind_of(message),
                error=f'{type(exc).__name__}: {exc}',
            )
        return pack(call_id, None)


def _no_answer(_request, _answer):
    return None


def _log_unencodable(message, exc):
    _events.emit(
        _events.MESSAGE_UNENCODABLE,
        message=_codec.codec.kind_of(message),
        field=exc.field,
        error=exc.reason,
    )


class _Connection:
    """One client connection; answers are matched to calls by call id."""

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
        self._pending = {}
        self._received_frames = 0
        self.closed = False
        self._reader = gevent.spawn(self._read)

    def call(self, call_id, message, timeout_ms):
        future = gevent.event.AsyncResult()
        self._pending[call_id] = future
        received = self._received_frames
        try:
            frame = pack(call_id, message)
            self._traffic.sent += len(frame)
            with gevent.Timeout(timeout_ms / _clock.MS_PER_S):
                with self._lock:
                    self._sock.sendall(frame)
                return future.get()
        except gevent.Timeout:
            # A lost connection does not always cause a reset. If nothing at
            # all arrived during the call, only a new connection can tell a
            # lost connection from a slow peer.
            if self._received_frames == received:
                self.close()
            raise
        finally:
            self._pending.pop(call_id, None)

    def close(self):
        self.closed = True
        self._sock.close()
        for future in list(self._pending.values()):
            future.set_exception(EOFError())

    def _read(self):
        reader = FrameReader(self._sock, self._traffic)
        try:
            while True:
                call_id, answer = reader.read()
                self._received_frames += 1
                future = self._pending.get(call_id)
                if future is not None:
                    future.set(answer)
        except (EOFError, OSError):
            # close() fails the pending calls.
            self.close()
        except FrameError as exc:
            _events.emit(
                _events.FRAME_REFUSED, peer=self._address, error=str(exc)
            )
            self.close()


class TcpTransport:
    """Client that keeps one persistent TCP connection per address."""

    def __init__(self):
        self._connections = {}
        self._locks = {}
        self._call_ids = itertools.count(1)
        self.traffic = Traffic()

    def call(self, address, message, timeout_ms):
        """Return ``Success(answer)`` or ``Failure(CallError)``."""
        try:
            with gevent.Timeout(timeout_ms / _clock.MS_PER_S):
                conn = self._get_connection(address, timeout_ms)
        except (OSError, OverflowError, ValueError, gevent.Timeout):
            # The address may be no valid one.
            return returns.result.Failure(CallError('refused', address))
        try:
            answer = conn.call(next(self._call_ids), message, timeout_ms)
        except _codec.EncodeError as exc:
            _log_unencodable(message, exc)
            return returns.result.Failure(CallError('unencodable', address))
        except gevent.Timeout:
            return returns.result.Failure(CallError('timeout', address))
        except (EOFError, OSError):
            conn.close()
            return returns.result.Failure(CallError('closed', address))
        if answer is None:
            return returns.result.Failure(CallError('failed', address))
        return returns.result.Success(answer)

    def close(self):
        """Close all connections."""
        for conn in self._connections.values():
            conn.close()
        self._connections.clear()

    def _get_connection(self, address, timeout_ms):
        lock = self._locks.setdefault(address, gevent.lock.Semaphore())
        with lock:
            conn = self._connections.get(address)
            if conn is None or conn.closed:
                conn = _Connection(address, timeout_ms, self.traffic)
                self._connections[address] = conn
            return conn


def _format_peer(peer):
    return f'{peer[0]}:{peer[1]}'


def broadcast(transport, calls, timeout_ms):
    """Yield ``(address, result)`` for each call, in order of arrival.

    ``calls`` maps address to message. The caller may stop iterating early;
    the remaining calls then complete in their own greenlets.
    """
    results = gevent.queue.Queue()

    def run(address, message):
        try:
            result = transport.call(address, message, timeout_ms)
        except Exception as exc:
            # Without a result, the caller would wait for it for good.
            _events.emit(
                _events.CALL_FAILED,
                address=address,
                error=f'{type(exc).__name__}: {exc}',
            )
            result = returns.result.Failure(CallError('failed', address))
        results.put((address, result))

    for address, message in calls.items():
        gevent.spawn(run, address, message)
    for _ in calls:
        yield results.get()
