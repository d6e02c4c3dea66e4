"""The account of bytes that a gateway holds for callers and servers.

:class:`BufferAccount` keeps the sums; :class:`policy.BufferBudget` decides.
Without a memory limit callers are written to directly, and nothing is counted.
"""

import collections
import contextlib
import socket as plain_socket

import gevent
import gevent.event

import paddle_kernel
from paddle_kernel import MS_PER_S
from paddle_router.gateway import _events
from paddle_router.gateway import _http1
from paddle_router import policy

# How often callers are checked while bytes wait for some of them, since they
# stall without an event.
CHECK_INTERVAL_MS = 100
# Callers abandon a request that is not read within a third of its time; the
# shortest time limit of the users is 1.5 s.
BODY_WAIT_MS = 300
# Bytes that the kernel receives from a peer while it is not read from. The
# kernel doubles the value, and a link of 12.5 Mbit/s with a round trip of
# 10 ms needs 16 kB.
RECEIVE_BUFFER_BYTES = 32_768
# Bytes that the kernel takes for a caller, which doubles the value. By default
# it takes some MB, and then more only after a third of them has been read, so
# that a steady reader makes no progress for seconds.
SEND_BUFFER_BYTES = 65_536
# Bytes read at a time. Each connection may have one such part beyond its room.
RECEIVE_BYTES = 16_384


class BodyRefusedError(Exception):
    """There is no room for the body of a request."""


class DirectWriter:
    """Writes to a caller at once and waits while it does not read."""

    pending = 0
    was_ended = False

    def __init__(self, sock):
        self._sock = sock

    def write(self, data):
        """Write ``data``.

        :raises OSError: if the connection breaks.
        """
        self._sock.sendall(data)

    def wait_for_room(self):
        """Return at once; :meth:`write` waits instead."""

    def buffer_limit(self, limit):
        """Return how many bytes of an answer may wait for its end."""
        return limit

    def hold(self, size):
        """Ignore that ``size`` bytes wait for the end of an answer."""

    def start_request(self, on_end):
        """Ignore the function that ends the request."""

    def flush(self):
        """Return at once; nothing waits."""

    def close(self):
        """Do nothing; nothing waits."""


class BufferedWriter:
    """Writes to a caller without waiting for it.

    A greenlet writes what the caller does not take at once. ``pending`` is
    the number of bytes that wait for the caller.
    """

    def __init__(self, sock, account):
        self._sock = sock
        self._account = account
        self._parts = collections.deque()
        self._greenlet = None
        self._error = None
        self.was_ended = False
        self._changed = gevent.event.Event()
        self._on_end = None
        self._waiting_answer = 0
        # Progress is counted from the last time that enough had been read.
        self._progress_ms = 0
        self._progress_bytes = 0
        self.pending = 0

    @property
    def held(self):
        """The bytes that are held for the caller."""
        return self.pending + self._waiting_answer

    @property
    def has_room(self):
        """Whether more may be held for the caller."""
        return bool(self._account.caller_room(self.held))

    def wake(self):
        """Let those who wait for room check again."""
        self._changed.set()

    def start_request(self, on_end):
        """Set the function that ends the request of a slow caller.

        It is called with this writer before the bytes are dropped.
        """
        self._on_end = on_end

    def write(self, data):
        """Write ``data``, or queue what the caller does not take now.

        :raises OSError: if the connection broke.
        """
        self._check()
        rest = memoryview(data)
        if not self._parts:
            rest = rest[self._send_now(rest) :]
        if not rest:
            return
        if not self._parts:
            self._progress_ms = self._account.now_ms()
            self._progress_bytes = 0
        # The view of a large part would keep all of it.
        self._parts.append(memoryview(bytes(rest)))
        self._add(len(rest))
        if self._greenlet is None:
            self._greenlet = gevent.spawn(self._write_parts)

    def wait_for_room(self):
        """Wait until more may be held for the caller.

        :raises OSError: if the connection broke.
        """
        while self.pending and not self.has_room:
            self._changed.clear()
            self._changed.wait()
        self._check()

    def buffer_limit(self, limit):
        """Return how many bytes of an answer may wait for its end.

        Small answers always may.
        """
        room = self._account.caller_room(self.pending)
        return min(limit, max(RECEIVE_BYTES, room))

    def hold(self, size):
        """Count ``size`` bytes that wait for the end of an answer."""
        self._account.add_for_callers(size - self._waiting_answer)
        self._waiting_answer = size

    def flush(self):
        """Wait until the caller has been sent all.

        :raises OSError: if the connection broke.
        """
        while self.pending:
            self._changed.clear()
            self._changed.wait()
        self._check()

    def close(self):
        """Drop what has not been written."""
        self.hold(0)
        self._drop(ConnectionAbortedError('closed'))

    def stalled_ms(self, now_ms):
        """Return for how long the caller has made no progress."""
        return now_ms - self._progress_ms if self.pending else 0

    def end(self):
        """End the caller's request and drop what waits for it."""
        self.was_ended = True
        if self._on_end is not None:
            self._on_end(self)
        self._drop(ConnectionAbortedError('the caller reads too slowly'))

    def _check(self):
        if self._error is not None:
            raise self._error

    def _send_now(self, data):
        try:
            return self._sock.send(data, 0, 0.0)
        except BlockingIOError:
            return 0

    def _write_parts(self):
        try:
            while self._parts and self._error is None:
                sent = self._sock.send(self._parts[0])
                if self._error is None:
                    self._record_sent(sent)
                paddle_kernel.yield_if_due()
        except OSError as exc:
            # The next write raises it.
            self._drop(exc)
        finally:
            self._greenlet = None
            self._changed.set()

    def _record_sent(self, sent):
        rest = self._parts[0][sent:]
        if rest:
            self._parts[0] = rest
        else:
            self._parts.popleft()
        self._progress_bytes += sent
        if self._progress_bytes >= policy.PROGRESS_SHARE * self.pending:
            self._progress_ms = self._account.now_ms()
            self._progress_bytes = 0
        self._add(-sent)
        self._changed.set()

    def _add(self, size):
        self.pending += size
        self._account.add_for_callers(size)
        self._account.set_waiting(self, bool(self.pending))

    def _drop(self, error):
        if self._error is None:
            self._error = error
        self._parts.clear()
        if self.pending:
            self._add(-self.pending)
        greenlet = self._greenlet
        if greenlet is not None and greenlet is not gevent.getcurrent():
            greenlet.kill(block=False)
        self._changed.set()


class BufferAccount:
    """Sums of the bytes that a gateway holds, and the waits for room.

    ``memory_mb`` is the memory limit of the process, 0 for none. ``writers``
    holds the :class:`BufferedWriter` objects with pending bytes.
    """

    def __init__(self, memory_mb, clock, metrics):
        self._clock = clock
        self._metrics = metrics
        self._budget = (
            policy.BufferBudget.from_memory(memory_mb) if memory_mb else None
        )
        self._room = gevent.event.Event()
        self._checker = None
        self.writers = set()
        self.held_for_callers = 0
        self.held_bodies = 0
        self.ended_count = 0
        self.refused_count = 0

    @property
    def is_enabled(self):
        """Whether the process has a memory limit to keep."""
        return self._budget is not None

    @property
    def receive_bytes(self):
        """How many bytes to read from a server at a time."""
        return RECEIVE_BYTES if self.is_enabled else _http1.RECEIVE_BYTES

    def now_ms(self):
        """Return the time of the account's clock."""
        return self._clock.now_ms()

    def writer(self, sock):
        """Return the writer for a caller's connection."""
        if not self.is_enabled:
            return DirectWriter(sock)
        return BufferedWriter(sock, self)

    def limit_receive_buffer(self, sock):
        """Bound what the kernel receives while ``sock`` is not read from."""
        if self.is_enabled:
            sock.setsockopt(
                plain_socket.SOL_SOCKET,
                plain_socket.SO_RCVBUF,
                RECEIVE_BUFFER_BYTES,
            )

    def limit_send_buffer(self, sock):
        """Bound what the kernel takes for a caller that does not read."""
        if self.is_enabled:
            sock.setsockopt(
                plain_socket.SOL_SOCKET,
                plain_socket.SO_SNDBUF,
                SEND_BUFFER_BYTES,
            )

    def add_for_callers(self, size):
        """Count ``size`` more bytes that wait for callers."""
        self.held_for_callers += size

    def caller_room(self, own):
        """Return how many more bytes may be held for a caller."""
        return self._budget.caller_room(self.held_for_callers, own)

    def set_waiting(self, writer, is_waiting):
        """Record whether bytes wait for the caller of ``writer``."""
        if not is_waiting:
            self.writers.discard(writer)
            return
        self.writers.add(writer)
        if self._checker is None:
            self._checker = gevent.spawn(self._check_callers)

    def relieve(self):
        """End callers that make no progress if room is scarce.

        The one owed most is ended first.
        """
        if not self._budget.is_scarce(self.held_for_callers):
            return
        now_ms = self.now_ms()
        for writer in sorted(
            self.writers, key=lambda item: item.held, reverse=True
        ):
            verdict = self._budget.judge_caller(
                self.held_for_callers, writer.held, writer.stalled_ms(now_ms)
            )
            if verdict is policy.Verdict.END:
                self.ended_count += 1
                self._metrics.callers_ended.inc()
                writer.end()

    @contextlib.contextmanager
    def body(self):
        """Count the body of a request; yields a :class:`BodyRoom`."""
        room = BodyRoom(self)
        try:
            yield room
        finally:
            room.release()

    def reserve_body(self, size):
        """Count ``size`` more bytes of bodies; wait for room.

        :raises BodyRefusedError: if there is none in time.
        """
        if not self.is_enabled or not size:
            return 0
        end_ms = self.now_ms() + BODY_WAIT_MS
        while True:
            verdict = self._budget.judge_body(self.held_bodies, size)
            if verdict is policy.Verdict.KEEP:
                self.held_bodies += size
                return size
            left_ms = end_ms - self.now_ms()
            if verdict is policy.Verdict.END or left_ms <= 0:
                self._refuse_body(size)
            self._room.clear()
            self._room.wait(left_ms / MS_PER_S)

    def release_body(self, size):
        """Count ``size`` fewer bytes of bodies."""
        if size:
            self.held_bodies -= size
            self._room.set()

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'bound_for_callers': self._budget and self._budget.answers,
            'held_for_callers': self.held_for_callers,
            'bound_for_bodies': self._budget and self._budget.bodies,
            'held_bodies': self.held_bodies,
            'slow_callers': len(self.writers),
            'ended': self.ended_count,
            'refused_bodies': self.refused_count,
        }

    def _check_callers(self):
        while self.writers:
            self._clock.sleep_ms(CHECK_INTERVAL_MS)
            self.relieve()
            for writer in self.writers:
                if writer.has_room:
                    writer.wake()
        self._checker = None

    def _refuse_body(self, size):
        self.refused_count += 1
        self._metrics.bodies_refused.inc()
        paddle_kernel.emit(
            _events.BODY_REFUSED,
            size=size,
            held=self.held_bodies,
        )
        raise BodyRefusedError('no room for the body')


class BodyRoom:
    """The room that the body of one request takes until its end."""

    def __init__(self, account):
        self._account = account
        self._size = 0
        self._used = 0

    def expect(self, size):
        """Reserve room for a body of ``size`` bytes.

        :raises BodyRefusedError: if there is none in time.
        """
        self._size += self._account.reserve_body(size - self._size)

    def use(self, size):
        """Count ``size`` received bytes, of a body of unknown length too.

        :raises BodyRefusedError: if there is no room in time.
        """
        self._used += size
        if self._used > self._size:
            self.expect(self._used)

    def release(self):
        """Release the room."""
        self._account.release_body(self._size)
        self._size = self._used = 0
