"""A single attempt to serve a request from one backend server."""

import gevent

import paddle_kernel
from paddle_kernel import MS_PER_S
from paddle_router.gateway import _call
from paddle_router.gateway import _connections
from paddle_router.gateway import _events
from paddle_router.gateway import _http1
from paddle_router.gateway import _model
from paddle_router.gateway import _moves
from paddle_router.gateway import _peer_headers
from paddle_router.gateway import _response_limits
from paddle_router.gateway import _stream

# An idempotent request is retried on another server after this many latency
# targets without a response. The minimum is longer for streams: a busy engine
# must not lose its work, and callers wait 2 s for an event. Plain services
# respond in 50 ms.
SILENCE_LIMIT_TARGETS = 2.0
MIN_SILENCE_LIMIT_MS = 300
MIN_STREAM_SILENCE_LIMIT_MS = 1_500
# A server that rejects a request with a shorter quiet time is penalised as if
# it had given none, because each new request there costs its caller an
# attempt.
MIN_QUIET_MS = 250
# If a new connection breaks this long after the request was sent, the server
# is assumed to have started the request. A server with too many connections
# resets them after one round trip, 2 to 4 ms between failure domains; engines
# have lost responses to short prompts after 5 ms.
RUN_START_MS = 5
# The same for a reused connection. A server that closes an idle connection
# resets it when the next request arrives, which a busy process may do late.
REUSED_RUN_START_MS = 20
# Status codes that tell the caller "not run". A server that sends one without
# the not-run header may have run the request.
NOT_RUN_STATUS_CODES = frozenset({408, 421, 429, 503})


class Exchange:
    """Sends a call to one server and forwards the response."""

    def __init__(self, forwarder, components, call, flight, server):
        self._forwarder = forwarder
        self._components = components
        self._clock = components.clock
        self._dialect = components.dialect
        self._call = call
        self._flight = flight
        self._server = server
        self._conn = None
        self._response_metadata = _model.ResponseMetadata()
        # Whether the response was read to its end, so that the connection
        # can be reused.
        self._is_response_complete = False
        self._is_server_at_fault = True
        self._is_head_read = False
        self._is_response_skipped = False
        # Whether the server was asked to stop the run for a move.
        self._is_run_moving = False
        # Whether nothing was sent, since the server is cold.
        self._is_held = False
        self._silence_timeout = None

    def run(self, caller, balancer):
        """Return ``None`` if the caller got its response.

        Otherwise return the :class:`AttemptOutcome`.
        """
        call = self._call
        try:
            self._conn = self._components.pool.acquire(
                self._server.address,
                limit=self._components.connection_limit(call.service),
                owner=self._server.incarnation,
                must_be_new=self._needs_new_connection(),
            )
        except _connections.NoConnectionError as exc:
            balancer.back_off(self._flight, self._clock.now_ms())
            self._fail(_call.AttemptOutcome.NOT_SENT, str(exc))
            return _call.AttemptOutcome.NOT_SENT
        except BaseException:
            balancer.finish(self._flight, self._clock.now_ms(), True)
            raise
        had_run_before = call.may_have_run
        self._components.reach.begin_exchange()
        try:
            outcome = self._exchange_with_timeout(caller)
            if outcome is _call.AttemptOutcome.NOT_RUN:
                call.may_have_run = had_run_before
                if self._response_metadata.quiet_ms:
                    # The server may be tried again after its quiet time.
                    call.tried.discard(self._server.id)
            return outcome
        except _call.CallerDisconnected:
            self._is_server_at_fault = False
            if self._flight.is_sent and not self._is_head_read:
                balancer.record_abandoned(self._flight, self._clock.now_ms())
            raise
        finally:
            self._components.reach.end_exchange()
            self._release_place(balancer)
            self._components.waiting.wake_next(call.service)
            self._release_connection()

    def _needs_new_connection(self):
        """Return whether an id does not identify the response.

        It does not if the request has none, or if an earlier attempt had the
        same id: for a request that must not run twice at any server, for
        others at this one.
        """
        call = self._call
        return (
            call.metadata.request_id is None
            or self._server.id in call.sent_server_ids
            or (bool(call.sent_server_ids) and not call.route.is_idempotent)
        )

    def _release_place(self, balancer):
        """Release the flight and report to the balancer whether it failed."""
        if self._is_held:
            balancer.cancel(self._flight)
            return
        if not self._response_metadata.has_run and (
            (self._response_metadata.quiet_ms or 0) >= MIN_QUIET_MS
        ):
            # No request is sent there during the quiet time, so the server
            # needs no penalty.
            balancer.cancel(self._flight)
            return
        ok = not self._is_server_at_fault
        balancer.finish(self._flight, self._clock.now_ms(), ok)

    def _release_connection(self):
        conn = self._conn
        if self._is_held:
            self._components.pool.release(conn, idle_ms=conn.idle_limit_ms)
            return
        if (
            self._is_response_complete
            and conn.finish()
            and not self._response_metadata.closes
        ):
            self._components.pool.release(
                conn, idle_ms=self._response_metadata.idle_ms
            )
        else:
            self._components.pool.discard(conn)

    def _exchange_with_timeout(self, caller):
        self._silence_timeout = gevent.Timeout(
            self._silence_limit_s(), _SilenceTimeoutError
        )
        try:
            with self._silence_timeout:
                return self._send_and_forward(caller)
        except _SilenceTimeoutError as exc:
            detail = str(exc) or 'no response in time'
            return self._fail(_call.AttemptOutcome.SILENT, detail)
        except (_http1.BrokenResponseError, OSError) as exc:
            self._count_lost_response()
            return self._fail(_call.AttemptOutcome.BROKEN, str(exc))

    def _count_lost_response(self):
        """Count the request as usage if the server probably ran it."""
        passed_ms = self._clock.now_ms() - self._flight.sent_ms
        is_reused = self._conn.use_count > 1
        if passed_ms >= (REUSED_RUN_START_MS if is_reused else RUN_START_MS):
            self._components.count_usage(self._call)

    def _send_and_forward(self, caller):
        if not self._may_send():
            return self._fail(
                _call.AttemptOutcome.NOT_SENT, 'no permit for a cold server'
            )
        head = self._send_and_read_head()
        if not self._response_metadata.has_run:
            # A server that rejects requests immediately looks idle. If this
            # counted as a success, it would be chosen repeatedly.
            if self._response_metadata.is_misdirected:
                self._components.balancers[self._call.service].mark_replaced(
                    self._flight, self._clock.now_ms()
                )
            else:
                self._components.balancers[
                    self._call.service
                ].record_rejection(self._flight, self._clock.now_ms())
            return self._fail(
                _call.AttemptOutcome.NOT_RUN, f'status {head.status_code}'
            )
        if _is_success(head) and not self._response_metadata.is_signed:
            return self._fail(
                _call.AttemptOutcome.BROKEN, 'unsigned success response'
            )
        if self._call.response_started and not _stream.continues(
            self._call, head
        ):
            # The caller has a part of a stream, which nothing else may follow.
            self._is_server_at_fault = not 400 <= head.status_code < 500
            return self._fail(
                _call.AttemptOutcome.BROKEN,
                f'status {head.status_code} instead of the rest of the stream',
            )
        if self._call.route.kind is _model.Kind.STREAM and _is_success(head):
            self._silence_timeout.close()
            return self._forward_stream(caller, head)
        return self._forward_plain(caller, head)

    def _silence_limit_s(self):
        """Return the response timeout in seconds, ``None`` for no limit.

        It covers the time until the head of a stream or the end of a plain
        response.
        """
        call = self._call
        retry_limit_s = self._retry_silence_limit_s()
        if call.route.kind is not _model.Kind.STREAM:
            return retry_limit_s
        pause_limit_s = _response_limits.pause_limit_ms(call.route) / MS_PER_S
        return (
            pause_limit_s
            if retry_limit_s is None
            else min(pause_limit_s, retry_limit_s)
        )

    def _retry_silence_limit_s(self):
        """Return the time in seconds before a retry elsewhere.

        ``None`` if the request cannot be retried.
        """
        call = self._call
        if not call.route.is_idempotent:
            return None
        if call.attempts + 1 >= call.route.attempts:
            return None
        budget = self._components.budgets.of(call.service)
        if not budget.is_available(self._clock.now_ms()):
            return None
        if not self._forwarder.has_untried_server(call):
            return None
        silence_limit_ms = max(
            MIN_SILENCE_LIMIT_MS, SILENCE_LIMIT_TARGETS * call.route.target_ms
        )
        if call.route.kind is _model.Kind.STREAM:
            silence_limit_ms = max(
                silence_limit_ms, MIN_STREAM_SILENCE_LIMIT_MS
            )
        return silence_limit_ms / MS_PER_S

    def _may_send(self):
        """Return whether the request may be sent; log it if not.

        The right to send to a cold server is short, so it is checked right
        before the request is written.
        """
        balancer = self._components.balancers[self._call.service]
        if balancer.may_send(self._flight, self._clock.now_ms()):
            return True
        self._is_held = True
        self._components.metrics.held_requests.inc()
        # A permit may come later.
        self._call.tried.discard(self._server.id)
        return False

    def _send_and_read_head(self):
        call = self._call
        left_ms = call.end_ms - self._clock.now_ms()
        context = _model.ForwardingContext(
            left_ms=max(1, left_ms),
            server_id=self._server.id,
            customer=call.customer.name if call.customer else None,
            urgency=call.urgency,
            last_event_id=call.last_event_id,
            copy=_copied_run(call.continuation),
            copy_parts_from=self._components.address_of(
                self._flight.copy_from_id
            ),
        )
        headers = self._dialect.forwarded_headers(
            _peer_headers.without_own(call.req.headers), context
        )
        if call.continuation is None:
            # Continuing a moved run does not count as another attempt.
            call.attempts += 1
        call.may_have_run = True
        call.server_id = self._server.id
        call.sent_server_ids.add(self._server.id)
        self._components.origins.record_sent(call, self._server)
        self._flight.sent_ms = self._clock.now_ms()
        paddle_kernel.emit(
            _events.REQUEST_SENT,
            request=call.metadata.request_id,
            server=self._server.id,
            address=self._server.address,
            software=self._server.software_version,
            shared=(call.metadata.shared_part_ids or (None,))[-1],
            place=self._flight.affinity_rank,
            uncached=self._flight.uncached,
            copied_from=self._flight.copy_from_id,
            attempt=call.attempts,
            kept=self._conn.use_count > 0,
            rank=call.rank,
            urgency=call.urgency,
            left_ms=left_ms,
        )
        self._conn.send(
            call.req.method, call.req.target, headers, call.req.body
        )
        return self._read_matching_head()

    def _read_matching_head(self):
        """Return the response head that belongs to this request."""
        head, metadata = self._read_next_head()
        if not self._is_matching_response(metadata):
            with gevent.Timeout(
                _response_limits.SKIP_TIMEOUT_MS / MS_PER_S,
                _http1.BrokenResponseError(
                    'no response to this request in time'
                ),
            ):
                head, metadata = self._skip_to_matching_head(metadata)
        self._response_metadata = metadata
        if metadata.load is not None:
            self._components.record_load(
                self._call.service, self._server.id, metadata.load
            )
        return head

    def _read_next_head(self):
        """Return the next response head and its :class:`ResponseMetadata`."""
        head = self._conn.read_head()
        self._is_head_read = True
        metadata = self._dialect.parse_response_headers(
            head.status_code, head.headers
        )
        is_own = self._is_matching_response(metadata)
        self._components.notice_recorder.record(
            self._server,
            metadata if is_own else metadata.without_figures(),
            lifts_limit=is_own,
        )
        return head, metadata

    def _is_matching_response(self, metadata):
        """Return whether the response with ``metadata`` is to this request.

        A response without an id may be a duplicate of an earlier response,
        unless it is the first one on a new connection. A request without an id
        is only sent on a new connection.
        """
        expected_id = self._call.metadata.request_id
        if expected_id is None or metadata.request_id == expected_id:
            return True
        return (
            metadata.request_id is None
            and not self._conn.was_idle
            and not self._is_response_skipped
        )

    def _skip_to_matching_head(self, metadata):
        for _ in range(_response_limits.MAX_SKIPPED_RESPONSES):
            paddle_kernel.emit(
                _events.RESPONSE_SKIPPED,
                request=self._call.metadata.request_id,
                found=metadata.request_id,
                server=self._server.id,
            )
            self._is_response_skipped = True
            self._conn.skip_response()
            head, metadata = self._read_next_head()
            if self._is_matching_response(metadata):
                return head, metadata
        raise _http1.BrokenResponseError(
            'too many responses to other requests'
        )

    def _forward_plain(self, caller, head):
        """Forward a plain response; buffer it completely unless it is long."""
        parts = []
        size = 0
        try:
            while (data := self._conn.read_data()) is not None:
                parts.append(data)
                size += len(data)
                caller.hold(size)
                if size > _buffer_limit(caller, head):
                    return self._forward_incrementally(caller, head, parts)
            self._silence_timeout.close()
            _stream.check_unframed_end(
                self._components, self._conn, self._call
            )
            return self._forward_complete(caller, head, parts)
        finally:
            caller.hold(0)

    def _forward_incrementally(self, caller, head, parts):
        """Forward a response that exceeds the buffer limit as it arrives."""
        if not _is_success(head):
            return self._fail(
                _call.AttemptOutcome.BROKEN, 'error response too long'
            )
        self._silence_timeout.close()
        self._record_response()
        self._call.mark_response_started(head.status_code)
        caller.begin(
            head.status_code,
            self._dialect.response_headers(head.headers.raw_items()),
        )
        data = b''.join(parts)
        parts.clear()
        caller.hold(0)
        while data is not None:
            caller.data(data)
            # While the caller's part is full, the server is not read from.
            data = None
            caller.wait_for_room()
            data = self._conn.read_data()
        _stream.check_unframed_end(self._components, self._conn, self._call)
        self._is_response_complete = True
        self._is_server_at_fault = False
        self._record_served()
        caller.end()
        return None

    def _forward_complete(self, caller, head, parts):
        call = self._call
        self._is_response_complete = True
        self._is_server_at_fault = head.status_code >= 500
        self._record_response()
        if _is_success(head):
            self._record_served()
        response = _call.Response(
            status=head.status_code,
            headers=head.headers.raw_items(),
            body=b''.join(parts),
            is_signed=self._response_metadata.is_signed,
        )
        if head.status_code >= 500 and self._can_retry_failure():
            return self._fail(
                _call.AttemptOutcome.BROKEN, f'status {head.status_code}'
            )
        headers = self._dialect.response_headers(response.headers)
        status = response.status
        if status in NOT_RUN_STATUS_CODES:
            # The server may have run the request; the caller would read this
            # status code as "not run".
            status = 502
            headers = self._dialect.without_signature(headers)
        call.mark_response_started(status)
        caller.hold(0)
        caller.answer(status, headers, response.body)
        return None

    def _can_retry_failure(self):
        call = self._call
        return (
            call.route.is_idempotent
            and call.attempts < call.route.attempts
            and self._forwarder.has_untried_server(call)
            and self._components.budgets.of(call.service).is_available(
                self._clock.now_ms()
            )
        )

    def _forward_stream(self, caller, head):
        """Forward events as they arrive; the run may be moved meanwhile."""
        stream = _moves.RunningStream(
            self._call,
            self._server,
            self._flight,
            earlier_events=self._call.forwarded_events,
        )
        self._components.moves.add(stream)
        try:
            _stream.StreamRelay(
                self._components, stream, self._conn, caller, head
            ).run()
        except _http1.BrokenResponseError as exc:
            self._is_run_moving = stream.move_result is not None
            outcome = self._fail(_call.AttemptOutcome.BROKEN, str(exc))
        else:
            self._is_response_complete = True
            self._is_server_at_fault = False
            self._record_served()
            return None
        finally:
            self._call.forwarded_events += stream.events
            self._call.move_state = stream.move_state or self._call.move_state
            self._call.is_end_unframed = self._conn.is_unframed
            self._components.moves.remove(stream)
        if stream.move_result is None:
            return outcome
        # A server that stops a run for a move closes the stream early.
        self._call.continuation = stream.move_result.get()
        if self._call.continuation is None:
            return outcome
        self._is_server_at_fault = False
        return _call.AttemptOutcome.MOVED

    def _record_response(self):
        self._components.record_response(self._call)

    def _record_served(self):
        self._components.request_crashes.record_served(self._call)

    def _fail(self, outcome, detail):
        self._call.is_response_lost = (
            outcome is _call.AttemptOutcome.BROKEN
            and not self._is_response_complete
            and not self._is_run_moving
        )
        if self._call.is_response_lost:
            self._components.reach.suspect(self._server.address)
            self._components.request_crashes.check_server(
                self._call, self._server, self._flight
            )
        self._call.reason = f'{outcome.value}: {detail}'[:200]
        self._components.metrics.failures.labels(outcome.value).inc()
        paddle_kernel.emit(
            _events.ATTEMPT_FAILED,
            request=self._call.metadata.request_id,
            server=self._server.id,
            address=self._server.address,
            step=outcome.value,
            detail=detail[:200],
            attempt=self._call.attempts,
            kept=self._conn is not None and self._conn.use_count > 1,
            received=self._received(),
            fingerprint=self._call.fingerprint,
            shared=self._call.metadata.shared_part_ids,
        )
        return outcome

    def _received(self):
        """Return how much of the response had been received, as a word."""
        if self._flight.started:
            return 'events'
        return 'head' if self._is_head_read else 'nothing'


class _SilenceTimeoutError(Exception):
    """A server did not respond within the silence limit."""


def _buffer_limit(caller, head):
    """Return the size up to which a response is buffered completely.

    One that is not forwarded in parts may use all of it.
    """
    limit = _response_limits.MAX_BUFFERED_BYTES
    return caller.buffer_limit(limit) if _is_success(head) else limit


def _is_success(head):
    return 200 <= head.status_code < 300


def _copied_run(continuation):
    if continuation is None:
        return None
    return continuation.source, continuation.handle
