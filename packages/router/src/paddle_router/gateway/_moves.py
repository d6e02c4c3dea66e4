"""Migration of running streams from servers that shut down.

A reclaimed server stops 2 to 4 s after its notice, and the server list shows
the notice up to 2 s late. A stream that would not end in time is moved: the
server stops the run, copies its KV cache to another server and returns a
handle of the copy. The gateway sends the request to the new server with this
handle and the id of the last forwarded event. It remains a single run, so
nothing is generated or billed twice.

The load pattern this is designed for: all reclaimable servers of a failure
domain are shut down at the same time, each with dozens of streams.
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

# Copying a few thousand tokens takes tens of ms, but other copies may be
# queued on the same link. After this time the server is usually gone.
MOVE_TIMEOUT_MS = 1_500
MAX_MOVE_RESPONSE_BYTES = 65_536
# Moves start this long before the server stops: late, because a stream that
# ends in time needs no move, but early enough for a dozen or more copies in
# sequence.
MOVE_LEAD_MS = 900
# If the stop time of a reclaimed server is unknown, streams with less than
# this remaining are not moved.
MIN_REMAINING_MS = 400
# Uncertainty of a server's stop time: clocks of instances differ by up to
# 200 ms.
LEAVE_TIME_ERROR_MS = 200
# Weight of a new pause in the moving average of a stream's event interval;
# single pauses vary by half.
PACE_EWMA_WEIGHT = 0.2
# Assumed event interval until a stream's own one is known; according to the
# users' data sheets a busy batch produces an event every 20 to 60 ms.
DEFAULT_PACE_MS = 40
# Share of the candidate servers that a move excludes at random. Otherwise
# gateways with the same load totals would all choose the server that has just
# started.
EXCLUDED_TARGETS_RATIO = 0.5
# Minimum remaining time of a server that drains without being reclaimed: the
# shortest drain time in the users' data sheets less the age of the list.
MIN_DRAIN_MS = 1_500

# Responses to a move that state that no run was stopped: the server runs no
# such request, or another move of it is in progress.
REFUSED_MOVE_STATUS_CODES = frozenset({404, 409})


@attrs.frozen(kw_only=True)
class Continuation:
    """Where a stopped run continues.

    The server ``target_id`` finds the copy of the run by the address
    ``source`` and by ``handle``. The run had made ``events`` by then, those
    that the caller got from earlier attempts included, 0 if that is unknown.
    """

    source: str
    source_id: str
    handle: str
    target_id: str
    events: int = 0


@attrs.define(eq=False)
class RunningStream:
    """A stream that is being forwarded.

    ``events`` counts the events of this response, ``earlier_events`` those
    that the caller got before from an earlier attempt. ``move_result`` is set
    once a move is requested; its value becomes a :class:`Continuation`, or
    ``None`` if the move failed. ``is_move_sent`` tells whether the server may
    have received the request, ``is_move_refused`` whether it has stated that
    it stopped no run.
    """

    call: object
    server: _messages.ListedServer
    flight: object
    pace_ms: float = 0.0
    events: int = 0
    earlier_events: int = 0
    move_result: gevent.event.AsyncResult | None = None
    is_move_sent: bool = False
    is_move_refused: bool = False

    def may_have_stopped(self):
        """Return whether the server may have stopped the run for a move.

        Waits for the result of a move that was requested. Without a response
        the server may have stopped the run, or may still do so.
        """
        if self.move_result is None:
            return False
        self.move_result.wait()
        return self.is_move_sent and not self.is_move_refused

    @property
    def move_state(self):
        """The move as a word for the log, empty without one."""
        if self.move_result is None:
            return ''
        if not self.move_result.ready():
            return 'requested'
        return 'copied' if self.move_result.value is not None else 'failed'

    def record_events(self, events, passed_ms):
        """Record ``events`` new events that arrived after ``passed_ms``."""
        if self.events:
            gain = PACE_EWMA_WEIGHT if self.pace_ms else 1.0
            self.pace_ms += gain * (passed_ms / events - self.pace_ms)
        self.events += events

    def remaining_ms(self, stride):
        """Return the estimated remaining time at ``stride`` tokens an event.

        The estimate uses the output length that the caller expects. A stream
        longer than that is assumed to be two thirds complete, because these
        lengths are only correct at the median.
        """
        metadata = self.call.metadata
        estimated_tokens = metadata.length_hint or metadata.output_tokens or 0
        events = self.earlier_events + self.events
        remaining_events = estimated_tokens / max(1, stride) - events
        if remaining_events <= 0:
            remaining_events = max(1.0, events / 2)
        return remaining_events * (self.pace_ms or DEFAULT_PACE_MS)


class StreamMover:
    """Tracks running streams by server; moves those of leaving servers."""

    def __init__(self, components):
        self._components = components
        self._rng = random.Random()
        self._streams = {}
        self._leaving = {}
        self.begun_count = 0
        self.moved_count = 0

    def add(self, stream):
        """Add a running stream."""
        self._streams.setdefault(stream.server.id, set()).add(stream)

    def remove(self, stream):
        """Remove a stream that has ended at its server."""
        streams = self._streams.get(stream.server.id)
        if streams is not None:
            streams.discard(stream)
            if not streams:
                del self._streams[stream.server.id]

    def has_stopped(self, server_id):
        """Return whether the time of a leaving server may be up."""
        server = self._leaving.get(server_id)
        return (
            server is not None
            and server.leaves_at_ms > 0
            and self._components.wall.now_ms()
            >= server.leaves_at_ms - LEAVE_TIME_ERROR_MS
        )

    def update_leaving(self, servers):
        """Take the leaving ones of ``servers`` and move streams off them."""
        self._leaving = {item.id: item for item in servers if item.leaving}
        for server_id in self._leaving:
            streams = self._streams.get(server_id, ())
            for stream in sorted(streams, key=_move_order):
                self.move_if_needed(stream)

    def move_if_needed(self, stream):
        """Move ``stream`` if its server stops before the stream ends."""
        server = self._leaving.get(stream.server.id)
        if server is None or stream.move_result is not None:
            return
        if self._needs_move(stream, server):
            self._start(stream)

    def _needs_move(self, stream, server):
        service = self._components.engine_traits(stream.call.service)
        if service is None or not service.moves or not stream.events:
            return False
        if not stream.call.has_event_id:
            # The target could not be told where to go on.
            return False
        remaining_ms = stream.remaining_ms(service.stride)
        if server.leaves_at_ms:
            until_leave_ms = (
                server.leaves_at_ms - self._components.wall.now_ms()
            )
            return (
                until_leave_ms < MOVE_LEAD_MS
                and remaining_ms > until_leave_ms - LEAVE_TIME_ERROR_MS
            )
        return remaining_ms > (
            MIN_REMAINING_MS if server.spot else MIN_DRAIN_MS
        )

    def _start(self, stream):
        if not self._components.budgets.of(stream.call.service).take(
            self._components.clock.now_ms()
        ):
            return
        self.begun_count += 1
        stream.move_result = gevent.event.AsyncResult()
        gevent.spawn(self._move, stream)

    def _move(self, stream):
        continuation = None
        try:
            with gevent.Timeout(
                MOVE_TIMEOUT_MS / MS_PER_S, _MoveError('no response in time')
            ):
                continuation = self._request_move(stream)
        except (
            _MoveError,
            _connections.NoConnectionError,
            _http1.BrokenResponseError,
            OSError,
            ValueError,
        ) as exc:
            paddle_kernel.emit(
                _events.MOVE_FAILED,
                request=stream.call.metadata.request_id,
                server=stream.server.id,
                sent=stream.is_move_sent,
                status=getattr(exc, 'status', None),
                detail=str(exc)[:200],
            )
        finally:
            stream.move_result.set(continuation)

    def _request_move(self, stream):
        """Ask the server to stop and copy the run; return its continuation.

        :raises _MoveError: if the run cannot be continued elsewhere.
        """
        call = stream.call
        target = self._choose_target(stream)
        status, is_run, body = self._post(stream, target)
        try:
            copy = self._components.dialect.parse_move_response(body)
        except ValueError as exc:
            copy, detail = None, f'status {status}: {exc}'
        else:
            detail = f'status {status}'
        if copy is None:
            # A handle shows that the run was stopped, whatever the status.
            stream.is_move_refused = (
                status in REFUSED_MOVE_STATUS_CODES or not is_run
            )
            raise _MoveError(detail, status)
        # If the target has no room, the run is stopped nevertheless and can
        # only continue at the source, which holds its KV cache.
        destination = target if status == 200 else stream.server
        if destination is not target:
            call.tried.add(target.id)
        self.moved_count += 1
        paddle_kernel.emit(
            _events.STREAM_MOVED,
            request=call.metadata.request_id,
            server=stream.server.id,
            target=destination.id,
            software=stream.server.software_version,
            target_software=destination.software_version,
            status=status,
            events=stream.events,
        )
        return Continuation(
            source=stream.server.address,
            source_id=stream.server.id,
            handle=copy.handle,
            target_id=destination.id,
            events=copy.events,
        )

    def _choose_target(self, stream):
        """Choose the server that the run of ``stream`` is copied to."""
        service = stream.call.service
        balancer = self._components.balancers[service]
        self._components.exclude_other_versions(stream.call)
        others = sorted(
            self._components.server_ids(service)
            - {stream.server.id}
            - set(self._leaving)
            - self._components.evacuated_ids
            # Includes servers without room for a copy of this run.
            - stream.call.excluded
        )
        if not others:
            raise _MoveError('no other server')
        excluded = self._rng.sample(
            others, int(len(others) * EXCLUDED_TARGETS_RATIO)
        )
        flight = balancer.choose(
            policy.EngineWork(
                gap_ms=stream.call.route.gap_ms,
                avoid=stream.call.unsuitable.union(
                    (stream.server.id, *excluded)
                ),
            ),
            self._components.clock.now_ms(),
        )
        if flight is None:
            raise _MoveError('no other server')
        # The resumed request gets a flight of its own.
        balancer.cancel(flight)
        if flight.server_id in self._leaving:
            raise _MoveError('all other servers are leaving')
        return self._components.server(flight.server_id)

    def _check_permit(self, stream):
        """Use a permit if the source may be cold.

        :raises _MoveError: if there is none.
        """
        balancer = self._components.balancers[stream.call.service]
        if not balancer.take_cold_permit(
            stream.server.id, self._components.clock.now_ms()
        ):
            raise _MoveError('no permit for a cold server')

    def _post(self, stream, target):
        """Return status, whether the server took the request, and body."""
        if self._components.notices.is_quiet(
            stream.server.incarnation, self._components.clock.now_ms()
        ):
            raise _MoveError('the server is in its quiet time')
        conn = self._components.pool.acquire(
            stream.server.address,
            limit=self._components.connection_limit(stream.call.service) + 1,
            owner=stream.server.incarnation,
            # Responses to move requests have no id.
            must_be_new=True,
        )
        is_whole = False
        try:
            self._check_permit(stream)
            stream.is_move_sent = True
            conn.send(
                *self._components.dialect.build_move_request(
                    stream.call.metadata.request_id, stream.server, target
                )
            )
            head = conn.read_head()
            metadata = self._components.dialect.parse_response_headers(
                head.status_code, head.headers
            )
            self._components.notice_recorder.record(
                stream.server,
                metadata,
                # Only responses to requests of callers name the limit.
                lifts_limit=False,
            )
            parts = []
            size = 0
            while (data := conn.read_data()) is not None:
                parts.append(data)
                size += len(data)
                if size > MAX_MOVE_RESPONSE_BYTES:
                    raise _MoveError('response too long')
            is_whole = True
            # Another server at the address says nothing about the run.
            is_run = metadata.has_run or metadata.is_misdirected
            return head.status_code, is_run, b''.join(parts)
        finally:
            if is_whole and conn.finish():
                self._components.pool.release(conn, idle_ms=None)
            else:
                self._components.pool.discard(conn)


class _MoveError(Exception):
    """A run could not be moved; the text gives the reason.

    ``status`` is that of the server's response, ``None`` without one.
    """

    def __init__(self, text, status=None):
        super().__init__(text)
        self.status = status


def _move_order(stream):
    """Return the sort key for moves: by rank, then the longest run first."""
    return stream.call.rank, -stream.events
