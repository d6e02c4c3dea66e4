"""The life of one request: route, place, send, answer."""

import random

import attrs
import gevent

import paddle_kernel
from paddle_kernel import MS_PER_S
from paddle_router.gateway import _call
from paddle_router.gateway import _events
from paddle_router.gateway import _exchange
from paddle_router.gateway import _routes
from paddle_router import policy

# A started gateway follows a controller within 0.2 to 0.8 s when all processes
# start at the same time; callers of the shortest calls wait 1.5 s.
START_WAIT_MS = 900
START_POLL_MS = 20
# Callers honour a pause of at most a third of the time they have left.
RETRY_AFTER_MS = 300


class Forwarder:
    """Serves the requests of one gateway."""

    def __init__(self, parts):
        self._parts = parts
        self._clock = parts.clock
        self._dialect = parts.dialect
        self._follower = parts.follower
        self._rng = random.Random()

    def serve(self, conn, req):
        """Answer ``req`` on ``conn``."""
        self._await_start()
        try:
            call = self._admit(req)
        except _call.RefusedError as exc:
            self._refuse(conn, exc.status, exc.reason)
            self._log_refused(req, exc)
            return
        budget = self._parts.budgets.of(call.service)
        budget.record_request(self._clock.now_ms())
        timeout = gevent.Timeout(
            max(1, call.end_ms - self._clock.now_ms()) / MS_PER_S
        )
        timeout.start()
        try:
            self._run(conn, call, budget)
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            self._time_out(conn, call)
        finally:
            timeout.close()
            self._log_done(call)

    def _version(self):
        table = self._follower.table
        return table.configuration.version if table else None

    # Admission

    def _await_start(self):
        """Hold a request that came before the first configuration.

        A process that was just started has it within a second; the caller is
        served late instead of sent away.
        """
        end_ms = self._clock.now_ms() + START_WAIT_MS
        while not self._follower.is_ready and self._clock.now_ms() < end_ms:
            self._clock.sleep_ms(START_POLL_MS)

    def _admit(self, req):
        """Return the call of a request.

        :raises RefusedError: if it must not be sent to a server.
        """
        table = self._follower.table
        if not self._follower.is_ready:
            raise _call.RefusedError(503, 'no configuration yet')
        try:
            metadata = self._dialect.read_call(req.headers)
        except ValueError as exc:
            raise _call.RefusedError(400, str(exc)) from exc
        host = _text(req.header(b'host') or b'')
        route = table.find(host, _text(req.target))
        if route is None:
            raise _call.RefusedError(404, 'no route', metadata.request_id)
        customer = table.customer(metadata.key)
        asks_key = table.configuration.customers is not None
        if asks_key and not route.is_public and customer is None:
            raise _call.RefusedError(401, 'unknown key', metadata.request_id)
        allowed_ms = route.timeout_ms
        if metadata.deadline_ms is not None:
            allowed_ms = min(allowed_ms, metadata.deadline_ms)
        service = _routes.choose_service(route, self._rng)
        return _call.Call(
            req=req,
            metadata=metadata,
            route=route,
            customer=customer,
            service=service,
            end_ms=req.received_ms + allowed_ms,
            last_event_id=metadata.last_event_id,
            rank=_routes.priority(route, customer),
            urgency=table.urgency(route, customer, service),
        )

    # Attempts

    def _run(self, conn, call, budget):
        while True:
            step = self._attempt(conn, call)
            if step is None:
                return
            if step is _call.Step.MOVED or self._goes_on_at_source(call, step):
                continue
            call.continuation = None
            if not self._may_try_again(call, step, budget):
                self._give_up(conn, call, step)
                return

    def _may_try_again(self, call, step, budget):
        if call.answered and not call.route.can_resume:
            # A part of the answer has reached the caller.
            return False
        if step is _call.Step.NOT_SENT and not call.answered:
            return self._can_go_on(call)
        may_run_again = step is _call.Step.NOT_RUN or call.route.is_idempotent
        return (
            may_run_again
            and call.attempts < call.route.attempts
            and self._can_go_on(call)
            and budget.take(self._clock.now_ms())
        )

    def _goes_on_at_source(self, call, step):
        """Whether a stopped run goes on where it was stopped.

        After a copy that the other server did not take.
        """
        found = call.continuation
        if found is None or found.target_id == found.source_id:
            return False
        if step not in (_call.Step.NOT_SENT, _call.Step.NOT_RUN):
            return False
        call.continuation = attrs.evolve(found, target_id=found.source_id)
        return True

    def has_other(self, call):
        """Return whether a server that was not tried takes ``call`` now."""
        balancer = self._parts.balancers.get(call.service)
        return balancer is not None and balancer.can_place(
            call.tried, self._clock.now_ms()
        )

    def _can_go_on(self, call):
        """Whether a server takes ``call``, now or after a quiet time."""
        return self.has_other(call) or self._parts.waiting.may_wait(call)

    def _give_up(self, conn, call, step):
        call.reason = call.reason or step.value
        if call.answered:
            conn.abandon()
        elif call.may_have_run:
            self._refuse(conn, 502, call.reason, call)
        else:
            self._refuse(conn, 503, call.reason, call)

    def _time_out(self, conn, call):
        call.reason = 'timeout'
        if call.answered:
            conn.abandon()
        else:
            status = 504 if call.may_have_run else 503
            self._refuse(conn, status, 'timeout', call)

    def _attempt(self, conn, call):
        """Try one server; return ``None`` once the caller has its answer."""
        balancer = self._parts.balancers.get(call.service)
        now_ms = self._clock.now_ms()
        flight = None
        if call.continuation is not None:
            flight = balancer.place(
                call.continuation.target_id, self._work(call), now_ms
            )
        elif balancer is not None:
            flight = self._parts.waiting.place(call, self._work(call))
            self._parts.note_choice(call.service)
        if flight is None:
            call.reason = 'no server'
            if call.continuation is not None:
                return _call.Step.NOT_SENT
            call.tried.update(self._parts.server_ids(call.service))
            return _call.Step.NOT_SENT
        server = self._parts.server(flight.server_id)
        call.tried.add(flight.server_id)
        return _exchange.Exchange(self, self._parts, call, flight, server).run(
            conn, balancer
        )

    def _work(self, call):
        metadata = call.metadata
        return policy.EngineWork(
            prompt_tokens=metadata.prompt_tokens,
            parts=tuple((part.id, part.tokens) for part in metadata.parts),
            target_ms=call.route.target_ms,
            gap_ms=call.route.gap_ms,
            avoid=frozenset(call.tried),
        )

    # Answers

    def _refuse(self, conn, status, reason, call=None):
        headers = [(b'Content-Type', b'application/json')]
        if status in (429, 503):
            wait_ms = RETRY_AFTER_MS
            if call is not None:
                wait_ms = self._return_ms(call)
            headers.append(
                (b'Retry-After', f'{wait_ms / MS_PER_S:.3f}'.encode())
            )
        body = b'{"error":"' + reason.encode('ascii', 'replace') + b'"}'
        if call is not None:
            call.status = status
            call.answered = True
        conn.answer(status, headers, body)

    def _return_ms(self, call):
        """Return after how long the caller of ``call`` should come back."""
        free_ms = self._parts.waiting.wait_ms(call)
        if free_ms is not None:
            return free_ms
        left_ms = call.end_ms - self._clock.now_ms()
        return max(0, min(RETRY_AFTER_MS, left_ms // 3))

    def _log_refused(self, req, exc):
        paddle_kernel.emit(
            _events.REQUEST_DONE,
            request=exc.request_id,
            target=_text(req.target),
            status=exc.status,
            reason=exc.reason,
            version=self._version(),
        )

    def _log_done(self, call):
        self._parts.metrics.note_done(call.route.kind.value, call.status)
        paddle_kernel.emit(
            _events.REQUEST_DONE,
            request=call.metadata.request_id,
            route=call.route.name,
            customer=call.customer.name if call.customer else None,
            service=call.service,
            status=call.status,
            reason=call.reason,
            attempts=call.attempts,
            server=call.server_id,
            first_ms=call.first_ms,
            longest_gap_ms=call.longest_gap_ms,
            took_ms=self._clock.now_ms() - call.req.received_ms,
            version=self._version(),
        )


def _text(data):
    return data.decode('latin-1') if data is not None else None
