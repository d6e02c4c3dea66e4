"""Running streams whose server leaves, and their way to another one.

A reclaimed server is gone 2 to 4 s after its notice, which the list shows up
to 2 s late. A stream that would not end in time is moved: the server stops the
run, copies its memory to another server and names the copy; the request is
sent there with that name and the last event that was passed on. It stays one
run, so nothing is generated or billed twice.

Load pattern it answers: all reclaimable servers of a failure domain leave at
the same time, each with some dozens of streams.
"""

import random

import attrs
import gevent
import gevent.event

import paddle_kernel
from paddle_kernel import MS_PER_S
from paddle_router.gateway import _connections
from paddle_router.gateway import _events
from paddle_router.gateway import _http1
from paddle_router.gateway import _messages
from paddle_router import policy

# A copy of some thousand tokens takes tens of ms; others may wait before it on
# the same link. Later the server is usually gone.
MOVE_MS = 1_500
ANSWER_BYTES = 65_536
# Moves begin this long before the server is gone: late, since a stream that
# ends in time needs none, but with time for some dozen copies one after the
# other.
LEAD_MS = 900
# A stream with less than this to go is not moved where it is not known when
# the server is gone.
SHORT_MS = 400
# Error of a server's end: clocks of instances agree to 200 ms.
END_MARGIN_MS = 200
# Weight of a new pause in the pace of a stream; its pauses vary by half.
PACE_GAIN = 0.2
# Pause between events until a stream has shown its own; a batch in use makes
# an event of the users' sheets in 20 to 60 ms.
DEFAULT_PACE_MS = 40
# Part of the other servers that one move leaves out at random. Gateways with
# the same sums would otherwise all choose the server that has just started.
LEFT_OUT_PART = 0.5
# A server that drains without being reclaimed serves this much longer at
# least; the shortest drain bound of the users' sheets, less the age of the
# list.
DRAIN_MS = 1_500


@attrs.frozen(kw_only=True)
class Continuation:
    """Where a stopped run goes on.

    ``source`` and ``handle`` name the copy for the server ``target_id``.
    """

    source: str
    source_id: str
    handle: str
    target_id: str


@attrs.define(eq=False)
class RunningStream:
    """A stream that is passed on; ``fut`` is set once its move is asked for.

    The result of ``fut`` is a :class:`Continuation` or ``None``.
    """

    call: object
    server: _messages.ListedServer
    flight: object
    pace_ms: float = 0.0
    events: int = 0
    fut: gevent.event.AsyncResult | None = None

    def note(self, events, passed_ms):
        """Note ``events`` more after ``passed_ms``."""
        if self.events:
            gain = PACE_GAIN if self.pace_ms else 1.0
            self.pace_ms += gain * (passed_ms / events - self.pace_ms)
        self.events += events

    def left_ms(self, stride):
        """Return the estimated time to the end, events of ``stride``.

        By the caller's estimate of the length; a stream beyond it is taken
        to be two thirds through, as estimates are right at the median only.
        """
        metadata = self.call.metadata
        wanted = metadata.length_hint or metadata.output_tokens or 0
        left = wanted / max(1, stride) - self.events
        if left <= 0:
            left = max(1.0, self.events / 2)
        return left * (self.pace_ms or DEFAULT_PACE_MS)


class Moves:
    """Running streams by server; moves those of servers that leave."""

    def __init__(self, parts):
        self._parts = parts
        self._rng = random.Random()
        self._streams = {}
        self._leaving = {}
        self.begun = 0
        self.moved = 0

    def begin(self, stream):
        """Note that ``stream`` runs."""
        self._streams.setdefault(stream.server.id, set()).add(stream)

    def end(self, stream):
        """Note that ``stream`` has ended at its server."""
        streams = self._streams.get(stream.server.id)
        if streams is not None:
            streams.discard(stream)
            if not streams:
                del self._streams[stream.server.id]

    def leave(self, servers):
        """Move the streams of those of the listed ``servers`` that leave."""
        self._leaving = {item.id: item for item in servers if item.leaving}
        for server_id in self._leaving:
            streams = self._streams.get(server_id, ())
            for stream in sorted(streams, key=_rank):
                self.consider(stream)

    def consider(self, stream):
        """Move ``stream`` if its server leaves before its end."""
        server = self._leaving.get(stream.server.id)
        if server is None or stream.fut is not None:
            return
        if self._is_worth(stream, server):
            self._start(stream)

    def _is_worth(self, stream, server):
        service = self._parts.engine_traits(stream.call.service)
        if service is None or not service.moves or not stream.events:
            return False
        left_ms = stream.left_ms(service.stride)
        if server.leaves_at_ms:
            ends_ms = server.leaves_at_ms - self._parts.wall.now_ms()
            return ends_ms < LEAD_MS and left_ms > ends_ms - END_MARGIN_MS
        return left_ms > (SHORT_MS if server.spot else DRAIN_MS)

    def _start(self, stream):
        if not self._parts.budgets.of(stream.call.service).take(
            self._parts.clock.now_ms()
        ):
            return
        self.begun += 1
        stream.fut = gevent.event.AsyncResult()
        gevent.spawn(self._move, stream)

    def _move(self, stream):
        found = None
        try:
            with gevent.Timeout(MOVE_MS / MS_PER_S, _MoveError('no answer')):
                found = self._ask(stream)
        except (
            _MoveError,
            _connections.NoConnectionError,
            _http1.BrokenAnswerError,
            OSError,
            ValueError,
        ) as exc:
            paddle_kernel.emit(
                _events.MOVE_FAILED,
                request=stream.call.metadata.request_id,
                server=stream.server.id,
                detail=str(exc)[:200],
            )
        finally:
            stream.fut.set(found)

    def _ask(self, stream):
        """Have the server stop the run and copy it; return where it is.

        :raises _MoveError: if it is nowhere else.
        """
        call = stream.call
        target = self._target(stream)
        status, body = self._post(stream, target)
        handle = self._parts.dialect.read_move(body)
        if handle is None:
            raise _MoveError(f'status {status}')
        # Without room at the target the run has stopped all the same, and
        # can only go on where its memory is.
        place = target if status == 200 else stream.server
        self.moved += 1
        paddle_kernel.emit(
            _events.STREAM_MOVED,
            request=call.metadata.request_id,
            server=stream.server.id,
            target=place.id,
            status=status,
            events=stream.events,
        )
        return Continuation(
            source=stream.server.address,
            source_id=stream.server.id,
            handle=handle,
            target_id=place.id,
        )

    def _target(self, stream):
        """Return the server to copy the run of ``stream`` to."""
        service = stream.call.service
        balancer = self._parts.balancers[service]
        others = sorted(
            self._parts.server_ids(service)
            - {stream.server.id}
            - set(self._leaving)
            # Among them those that took no copy of this run.
            - stream.call.tried
        )
        if not others:
            raise _MoveError('no other server')
        left_out = self._rng.sample(others, int(len(others) * LEFT_OUT_PART))
        flight = balancer.choose(
            policy.EngineWork(
                gap_ms=stream.call.route.gap_ms,
                avoid=frozenset({stream.server.id, *left_out}),
            ),
            self._parts.clock.now_ms(),
        )
        if flight is None:
            raise _MoveError('no other server')
        # The flight of the continuing request takes this one's place.
        balancer.forget(flight)
        if flight.server_id in self._leaving:
            raise _MoveError('all other servers leave')
        return self._parts.server(flight.server_id)

    def _post(self, stream, target):
        if self._parts.notices.is_quiet(
            stream.server.incarnation, self._parts.clock.now_ms()
        ):
            raise _MoveError('the server wants no requests')
        conn = self._parts.pool.acquire(
            stream.server.address,
            limit=self._parts.connection_limit(stream.call.service) + 1,
            owner=stream.server.incarnation,
        )
        is_whole = False
        try:
            conn.send(
                *self._parts.dialect.move_request(
                    stream.call.metadata.request_id, stream.server, target
                )
            )
            head = conn.read_head()
            self._parts.notes.note(
                stream.server,
                self._parts.dialect.read_answer(
                    head.status_code, head.headers
                ),
            )
            parts = []
            size = 0
            while (data := conn.read_data()) is not None:
                parts.append(data)
                size += len(data)
                if size > ANSWER_BYTES:
                    raise _MoveError('an answer without end')
            is_whole = True
            return head.status_code, b''.join(parts)
        finally:
            if is_whole and conn.finish():
                self._parts.pool.release(conn, idle_ms=None)
            else:
                self._parts.pool.discard(conn)


class _MoveError(Exception):
    """A run could not be moved; the text says why."""


def _rank(stream):
    """Return the order of moves: by rank, then the longest run first."""
    return stream.call.rank, -stream.events
