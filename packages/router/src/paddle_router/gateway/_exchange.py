"""One attempt of a request at one backend server."""

import gevent

import paddle_kernel
from paddle_kernel import MS_PER_S
from paddle_router.gateway import _answer_limits
from paddle_router.gateway import _call
from paddle_router.gateway import _connections
from paddle_router.gateway import _events
from paddle_router.gateway import _http1
from paddle_router.gateway import _model
from paddle_router.gateway import _moves
from paddle_router.gateway import _stream

# Silence of a server, in latency targets, after which an idempotent request
# is sent to another one. An engine that is only busy must not lose its work,
# and its callers wait 2 s for an event; a plain service answers in 50 ms.
PATIENCE_TARGETS = 2.0
PATIENCE_MIN_MS = 300
STREAM_PATIENCE_MS = 1_500
# A server that names a shorter time while it rejects is penalised as one that
# names none: each request that asks again costs its caller an attempt.
HEEDED_QUIET_MS = 250
# A server that breaks a new connection this long after a request was sent has
# begun to run it; one with too many connections resets them after a round
# trip, 2 to 4 ms between failure domains. Engines lost answers of short
# prompts after 5 ms.
BEGUN_MS = 5
# One that drops an idle connection resets what is sent on it, which can wait
# for a busy process to look.
BEGUN_KEPT_MS = 20
# Status codes by which a server promises nothing unless it says "not run".
PROMISES = frozenset({408, 421, 429, 503})


class Exchange:
    """One attempt of a call at one server."""

    def __init__(self, forwarder, parts, call, flight, server):
        self._forwarder = forwarder
        self._parts = parts
        self._clock = parts.clock
        self._dialect = parts.dialect
        self._call = call
        self._flight = flight
        self._server = server
        self._conn = None
        self._response_metadata = _model.ResponseMetadata()
        # The answer was read to its end, so the connection can be kept.
        self._whole = False
        self._at_fault = True
        self._silence = None

    def run(self, caller, balancer):
        """Return ``None`` when answered, otherwise the :class:`Step`."""
        call = self._call
        try:
            self._conn = self._parts.pool.acquire(
                self._server.address,
                limit=self._parts.connection_limit(call.service),
                owner=self._server.incarnation,
            )
        except _connections.NoConnectionError as exc:
            balancer.hold(self._flight, self._clock.now_ms())
            self._fail(_call.Step.NOT_SENT, str(exc))
            return _call.Step.NOT_SENT
        except BaseException:
            balancer.finish(self._flight, self._clock.now_ms(), True)
            raise
        before = call.may_have_run
        try:
            step = self._exchange(caller)
            if step is _call.Step.NOT_RUN:
                call.may_have_run = before
                if self._response_metadata.quiet_ms:
                    # It may be asked again once that time is over.
                    call.tried.discard(self._server.id)
            return step
        except _call.CallerLeft:
            self._at_fault = False
            raise
        finally:
            self._leave(balancer)
            self._parts.waiting.poke(call.service)
            self._let_go()

    def _leave(self, balancer):
        """Give the place at the server back, with a verdict on the server."""
        if not self._response_metadata.has_run and (
            (self._response_metadata.quiet_ms or 0) >= HEEDED_QUIET_MS
        ):
            # Nothing goes there for that time, so it needs no penalty.
            balancer.forget(self._flight)
            return
        ok = not self._at_fault
        balancer.finish(self._flight, self._clock.now_ms(), ok)

    def _let_go(self):
        conn = self._conn
        if (
            self._whole
            and conn.finish()
            and not self._response_metadata.closes
        ):
            self._parts.pool.release(
                conn, idle_ms=self._response_metadata.idle_ms
            )
        else:
            self._parts.pool.discard(conn)

    def _exchange(self, caller):
        self._silence = gevent.Timeout(self._patience(), _SilenceError)
        try:
            with self._silence:
                return self._exchange_in_time(caller)
        except _SilenceError as exc:
            detail = str(exc) or 'no answer in time'
            return self._fail(_call.Step.SILENT, detail)
        except (_http1.BrokenAnswerError, OSError) as exc:
            self._note_lost_answer()
            return self._fail(_call.Step.BROKEN, str(exc))

    def _note_lost_answer(self):
        """Count the request as begun if the server probably ran it."""
        passed_ms = self._clock.now_ms() - self._flight.sent_ms
        is_kept = self._conn.used > 1
        if passed_ms >= (BEGUN_KEPT_MS if is_kept else BEGUN_MS):
            self._parts.note_run(self._call)

    def _exchange_in_time(self, caller):
        head = self._send_and_read_head()
        if not self._response_metadata.has_run:
            # A server that rejects at once looks idle; counted as sound, it
            # would be chosen again and again.
            if self._response_metadata.is_gone:
                self._parts.balancers[self._call.service].mark_gone(
                    self._flight, self._clock.now_ms()
                )
            return self._fail(_call.Step.NOT_RUN, f'status {head.status_code}')
        if _is_success(head) and not self._response_metadata.is_stamped:
            return self._fail(
                _call.Step.BROKEN, 'a success without a signature'
            )
        if self._call.route.kind is _model.Kind.STREAM and _is_success(head):
            self._silence.close()
            return self._relay(caller, head)
        return self._pass_plain(caller, head)

    def _patience(self):
        """Return how long a silent server is waited for, in s, or ``None``.

        Until the head of a stream, or the whole of a plain answer.
        """
        call = self._call
        patience = self._retry_patience()
        if call.route.kind is not _model.Kind.STREAM:
            return patience
        pause = _answer_limits.longest_pause_ms(call.route) / MS_PER_S
        return pause if patience is None else min(pause, patience)

    def _retry_patience(self):
        """Return after how many s another server is asked, or ``None``."""
        call = self._call
        if not call.route.is_idempotent:
            return None
        if call.attempts + 1 >= call.route.attempts:
            return None
        budget = self._parts.budgets.of(call.service)
        if not budget.is_available(self._clock.now_ms()):
            return None
        if not self._forwarder.has_other(call):
            return None
        wait_ms = max(PATIENCE_MIN_MS, PATIENCE_TARGETS * call.route.target_ms)
        if call.route.kind is _model.Kind.STREAM:
            wait_ms = max(wait_ms, STREAM_PATIENCE_MS)
        return wait_ms / MS_PER_S

    def _send_and_read_head(self):
        call = self._call
        left_ms = call.end_ms - self._clock.now_ms()
        context = _model.ForwardingContext(
            left_ms=max(1, left_ms),
            server_id=self._server.id,
            customer=call.customer.name if call.customer else None,
            urgency=call.urgency,
            last_event_id=call.last_event_id,
            copy=_copy(call.continuation),
        )
        headers = self._dialect.call_headers(call.req.headers, context)
        if call.continuation is None:
            # A run that goes on is not another attempt.
            call.attempts += 1
        call.may_have_run = True
        call.server_id = self._server.id
        self._flight.sent_ms = self._clock.now_ms()
        paddle_kernel.emit(
            _events.REQUEST_SENT,
            request=call.metadata.request_id,
            server=self._server.id,
            address=self._server.address,
            shared=_shared_part(call.metadata),
            place=self._flight.place,
            uncached=self._flight.uncached,
            attempt=call.attempts,
            kept=self._conn.used > 0,
            rank=call.rank,
            urgency=call.urgency,
            left_ms=left_ms,
        )
        self._conn.send(
            call.req.method, call.req.target, headers, call.req.body
        )
        return self._read_own_head()

    def _read_own_head(self):
        """Return the head of the answer to this request."""
        head = self._next_head()
        if not self._is_own():
            with gevent.Timeout(
                _answer_limits.SKIPPED_MS / MS_PER_S,
                _http1.BrokenAnswerError('only answers of others in time'),
            ):
                head = self._skip_to_own_head()
        if self._response_metadata.load is not None:
            self._parts.note_load(
                self._call.service,
                self._server.id,
                self._response_metadata.load,
            )
        return head

    def _next_head(self):
        head = self._conn.read_head()
        self._response_metadata = self._dialect.read_answer(
            head.status_code, head.headers
        )
        self._parts.notes.note(self._server, self._response_metadata)
        return head

    def _is_own(self):
        """Whether the head just read belongs to this request.

        Without an id it may be a second copy of an earlier answer, unless
        the connection is new.
        """
        wanted = self._call.metadata.request_id
        found = self._response_metadata.request_id
        if wanted is None or found == wanted:
            return True
        return found is None and self._conn.used == 1

    def _skip_to_own_head(self):
        for _ in range(_answer_limits.SKIPPED_ANSWERS):
            paddle_kernel.emit(
                _events.ANSWER_SKIPPED,
                request=self._call.metadata.request_id,
                found=self._response_metadata.request_id,
                server=self._server.id,
            )
            self._conn.skip_answer()
            head = self._next_head()
            if self._is_own():
                return head
        raise _http1.BrokenAnswerError('too many answers of others')

    def _pass_plain(self, caller, head):
        """Pass a plain answer on, whole unless it is long."""
        parts = []
        size = 0
        while (data := self._conn.read_data()) is not None:
            parts.append(data)
            size += len(data)
            if size > _answer_limits.WHOLE_BYTES:
                return self._pass_long(caller, head, parts)
        self._silence.close()
        return self._pass_whole(caller, head, parts)

    def _pass_long(self, caller, head, parts):
        """Pass a long answer on as it arrives."""
        if not _is_success(head):
            return self._fail(_call.Step.BROKEN, 'a failure without end')
        self._silence.close()
        self._parts.note_begin(self._call)
        self._call.note_answer(head.status_code)
        caller.begin(
            head.status_code,
            self._dialect.answer_headers(head.headers.raw_items()),
        )
        caller.data(b''.join(parts))
        while (data := self._conn.read_data()) is not None:
            caller.data(data)
        self._whole = True
        self._at_fault = False
        caller.end()
        return None

    def _pass_whole(self, caller, head, parts):
        call = self._call
        self._whole = True
        self._at_fault = head.status_code >= 500
        self._parts.note_begin(self._call)
        answer = _call.Answer(
            status=head.status_code,
            headers=head.headers.raw_items(),
            body=b''.join(parts),
            stamped=self._response_metadata.is_stamped,
        )
        if head.status_code >= 500 and self._retries_failure():
            return self._fail(_call.Step.BROKEN, f'status {head.status_code}')
        headers = self._dialect.answer_headers(answer.headers)
        status = answer.status
        if status in PROMISES:
            # The server may have run it, which these codes would deny.
            status = 502
            headers = self._dialect.without_stamp(headers)
        call.note_answer(status)
        caller.answer(status, headers, answer.body)
        return None

    def _retries_failure(self):
        call = self._call
        return (
            call.route.is_idempotent
            and call.attempts < call.route.attempts
            and self._forwarder.has_other(call)
            and self._parts.budgets.of(call.service).is_available(
                self._clock.now_ms()
            )
        )

    def _relay(self, caller, head):
        """Pass on events as they arrive; the run may be moved meanwhile."""
        stream = _moves.RunningStream(self._call, self._server, self._flight)
        self._parts.moves.begin(stream)
        try:
            _stream.StreamRelay(
                self._parts, stream, self._conn, caller, head
            ).run()
        except _http1.BrokenAnswerError as exc:
            step = self._fail(_call.Step.BROKEN, str(exc))
        else:
            self._whole = True
            self._at_fault = False
            return None
        finally:
            self._parts.moves.end(stream)
        if stream.fut is None:
            return step
        # The server closes a stream that it stops without its end.
        self._call.continuation = stream.fut.get()
        if self._call.continuation is None:
            return step
        self._at_fault = False
        return _call.Step.MOVED

    def _fail(self, step, detail):
        self._call.reason = f'{step.value}: {detail}'[:200]
        self._parts.metrics.failures.labels(step.value).inc()
        paddle_kernel.emit(
            _events.ATTEMPT_FAILED,
            request=self._call.metadata.request_id,
            server=self._server.id,
            address=self._server.address,
            step=step.value,
            detail=detail[:200],
            attempt=self._call.attempts,
            kept=self._conn is not None and self._conn.used > 1,
        )
        return step


class _SilenceError(Exception):
    """A server sent nothing for longer than it may."""


def _shared_part(metadata):
    """Return the id of the last prompt part that other requests share."""
    return metadata.parts[-2].id if len(metadata.parts) > 1 else None


def _is_success(head):
    return 200 <= head.status_code < 300


def _copy(continuation):
    if continuation is None:
        return None
    return continuation.source, continuation.handle
