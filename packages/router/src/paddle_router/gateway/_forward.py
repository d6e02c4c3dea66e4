"""Request handling: routing, server selection, retries and the response."""

import random

import attrs
import gevent

import paddle_kernel
from paddle_kernel import MS_PER_S
from paddle_router.gateway import _call
from paddle_router.gateway import _events
from paddle_router.gateway import _exchange
from paddle_router.gateway import _peer_exchange
from paddle_router.gateway import _peer_headers
from paddle_router.gateway import _routes

# When all processes start at the same time, a gateway gets its configuration
# from a controller within 0.2 to 0.8 s. The shortest deadline of a caller is
# 1.5 s.
CONFIGURATION_WAIT_MS = 900
CONFIGURATION_POLL_MS = 20
# Callers only honour a Retry-After of up to a third of their remaining time.
RETRY_AFTER_MS = 300


class Forwarder:
    """Routes each request of a gateway and sends it to backend servers."""

    def __init__(self, components):
        self._components = components
        self._clock = components.clock
        self._dialect = components.dialect
        self._follower = components.follower
        self._rng = random.Random()

    def serve(self, conn, req):
        """Handle ``req`` and write the response to ``conn``."""
        if conn.relayed is not None:
            reason = self._relay_refusal(conn.relayed)
            if reason is not None:
                self._refuse_relay(conn, reason)
                return
        else:
            self._await_configuration()
        table = self._follower.table
        if conn.relayed is not None:
            conn.version = table.configuration.version
        try:
            call = self._admit(req, table, conn.relayed)
        except _call.RefusedError as exc:
            self._refuse(conn, exc.status, exc.reason)
            self._log_refused(req, exc)
            return
        if conn.relayed is not None:
            conn.call = call
            self._log_relayed(call)
        timeout = gevent.Timeout(
            max(1, call.end_ms - self._clock.now_ms()) / MS_PER_S
        )
        timeout.start()
        try:
            self._run(conn, call, table)
            conn.flush()
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            self._time_out(conn, call)
        except OSError:
            # Writing to the caller failed.
            raise
        except Exception as exc:
            paddle_kernel.emit(
                _events.REQUEST_FAILED,
                request=call.metadata.request_id,
                error=f'{type(exc).__name__}: {exc}',
            )
            call.reason = 'internal error'
            if not call.response_started:
                self._refuse(conn, 502, call.reason, call)
        finally:
            timeout.close()
            self._components.waiting.finish(call)
            self._log_done(call)

    def _run(self, conn, call, table):
        """Serve an admitted request."""
        if (
            call.software_version is None
            and not self._components.origins.resolve(call)
        ):
            call.reason = 'the version of the stream is unknown'
            self._refuse(conn, 503, call.reason, call)
            return
        call.urgency = table.urgency(call.route, call.customer, call.service)
        call.copy_rate = self._components.copy_rate(call.service)
        budget = self._components.budgets.of(call.service)
        if call.relayed is None:
            budget.record_request(self._clock.now_ms())
        self._run_attempts(conn, call, budget)

    def _version(self):
        table = self._follower.table
        return table.configuration.version if table else None

    # Admission

    def _await_configuration(self):
        """Delay a request that arrives before the first configuration.

        A process that was just started gets its configuration within a
        second, so the request is served late instead of rejected.
        """
        end_ms = self._clock.now_ms() + CONFIGURATION_WAIT_MS
        while (
            not self._has_current_configuration()
            and self._clock.now_ms() < end_ms
        ):
            self._clock.sleep_ms(CONFIGURATION_POLL_MS)

    def _has_current_configuration(self):
        """Whether no caller was served by a newer configuration.

        One may have been, through another gateway.
        """
        return self._follower.is_ready and self._components.relays.is_current(
            self._follower.table
        )

    def _relay_refusal(self, relayed):
        """Return why the request of a peer cannot be handled, or ``None``."""
        if (
            not self._has_current_configuration()
            or self._follower.table.configuration.version < relayed.version
        ):
            return _peer_headers.REFUSED_CONFIGURATION
        if self._components.reach.is_cut:
            return _peer_headers.REFUSED_CUT
        return None

    def _refuse_relay(self, conn, reason, call=None):
        """Tell a peer that its request has not run and will not run here."""
        paddle_kernel.emit(
            _events.RELAY_REFUSED,
            request=call.metadata.request_id if call else None,
            peer=conn.relayed.sender,
            reason=reason,
        )
        conn.refuse_relay(reason)

    def _log_relayed(self, call):
        self._components.metrics.relayed.labels('received').inc()
        paddle_kernel.emit(
            _events.RELAY_ACCEPTED,
            request=call.metadata.request_id,
            peer=call.peer,
            route=call.route.name,
            attempts=call.attempts,
        )

    def _admit(self, req, table, relayed):
        """Return the :class:`Call` for a request.

        :raises RefusedError: if the request must not be sent to a server.
        """
        if not self._follower.is_ready:
            raise _call.RefusedError(503, 'no configuration yet')
        if not self._components.relays.is_current(table):
            raise _call.RefusedError(503, 'the configuration is old')
        try:
            metadata = self._dialect.parse_request_headers(req.headers)
        except ValueError as exc:
            raise _call.RefusedError(400, str(exc)) from exc
        host = _decode(req.header(b'host') or b'')
        route = table.find(host, _decode(req.target))
        if route is None:
            raise _call.RefusedError(404, 'no route', metadata.request_id)
        customer = table.customer(metadata.key)
        requires_key = table.configuration.customers is not None
        if requires_key and not route.is_public and customer is None:
            raise _call.RefusedError(401, 'unknown key', metadata.request_id)
        allowed_ms = route.timeout_ms
        if metadata.deadline_ms is not None:
            allowed_ms = min(allowed_ms, metadata.deadline_ms)
        end_ms = req.received_ms + allowed_ms
        cut_at_ms = self._components.cut_at_ms
        if cut_at_ms is not None and end_ms > cut_at_ms:
            # Its sender was slow. The stop could cut it without an answer.
            raise _call.RefusedError(503, 'stopping', metadata.request_id)
        service = _routes.choose_service(route, self._rng)
        fields = {}
        if relayed is not None:
            if relayed.service in {item.service for item in route.services}:
                service = relayed.service
            fields = {
                'relayed': relayed,
                'peer': relayed.sender,
                'attempts': relayed.attempts,
                'run_started': relayed.is_counted,
                'software_version': relayed.software_version,
            }
        return _call.Call(
            req=req,
            metadata=metadata,
            route=route,
            customer=customer,
            service=service,
            end_ms=end_ms,
            last_event_id=metadata.last_event_id,
            rank=_routes.priority_key(route, customer),
            **fields,
        )

    # Attempts

    def _run_attempts(self, conn, call, budget):
        while True:
            outcome = self._attempt(conn, call)
            if outcome is None:
                return
            if outcome is _call.AttemptOutcome.MOVED or self._resume_at_source(
                call, outcome
            ):
                continue
            call.continuation = None
            if not self._can_retry(call, outcome, budget):
                self._fail_call(conn, call, outcome)
                return
            if outcome is _call.AttemptOutcome.NOT_RUN:
                self._components.waiting.pause_after_rejection(call)

    def _can_retry(self, call, outcome, budget):
        if outcome is _call.AttemptOutcome.REFUSED:
            return False
        if (
            call.is_response_lost
            and self._components.request_crashes.is_suspected(call)
        ):
            # It may crash the next server too.
            return False
        if self._can_return_to_sender(call):
            return False
        if call.response_started and call.relayed is not None:
            # The sender resumes the stream, so that attempts count once.
            return False
        if call.response_started and not call.can_resume:
            # Part of the response may have reached the caller, and the stream
            # cannot be resumed.
            return False
        if (
            outcome is _call.AttemptOutcome.NOT_SENT
            and not call.response_started
        ):
            return self._has_candidate_server(call)
        is_repeatable = (
            outcome is _call.AttemptOutcome.NOT_RUN or call.route.is_idempotent
        )
        return (
            is_repeatable
            and call.attempts < call.route.attempts
            and self._has_candidate_server(call)
            and budget.take(self._clock.now_ms())
        )

    def _can_return_to_sender(self, call):
        """Return whether the peer that sent ``call`` can try another peer.

        This gateway has lost the way to its servers too, and nothing ran.
        """
        return (
            call.relayed is not None
            and not call.response_started
            and not call.may_have_run
            and self._components.reach.is_cut
        )

    def _resume_at_source(self, call, outcome):
        """Redirect a moved run to its source if the target rejected the copy.

        Return whether the run can be resumed at the source server.
        """
        continuation = call.continuation
        if (
            continuation is None
            or continuation.target_id == continuation.source_id
        ):
            return False
        if outcome not in (
            _call.AttemptOutcome.NOT_SENT,
            _call.AttemptOutcome.NOT_RUN,
        ):
            return False
        call.continuation = attrs.evolve(
            continuation, target_id=continuation.source_id
        )
        return True

    def has_untried_server(self, call):
        """Return whether an untried server accepts ``call`` now.

        It may be one that only another gateway reaches.
        """
        if self._components.relays.is_available(call):
            return True
        self._components.exclude_other_versions(call)
        balancer = self._components.balancers.get(call.service)
        return balancer is not None and balancer.can_place(
            call.excluded, self._clock.now_ms(), call.engine_work
        )

    def _has_candidate_server(self, call):
        """Return whether a server accepts ``call`` now or after a wait."""
        return self.has_untried_server(
            call
        ) or self._components.waiting.can_wait(call)

    def _fail_call(self, conn, call, outcome):
        call.reason = call.reason or outcome.value
        if outcome is _call.AttemptOutcome.REFUSED:
            self._components.metrics.refused_prompts.inc()
        if call.response_started:
            # The response stays without its end.
            return
        if self._can_return_to_sender(call):
            self._refuse_relay(conn, _peer_headers.REFUSED_CUT, call)
            call.status = 503
            return
        status = 502 if call.may_have_run else 503
        self._refuse(conn, status, call.reason, call)

    def _time_out(self, conn, call):
        call.reason = 'timeout'
        if call.response_started:
            # The response stays without its end.
            return
        status = 504 if call.may_have_run else 503
        self._refuse(conn, status, 'timeout', call)

    def _attempt(self, conn, call):
        """Try one server; return ``None`` if the caller got its response."""
        balancer = self._components.balancers.get(call.service)
        flight = None
        if self._has_refused_trait(call):
            return _call.AttemptOutcome.REFUSED
        relays = self._components.relays
        if relays.is_available(call):
            outcome = relays.run(conn, call)
            if outcome is not _peer_exchange.NOT_HANDLED:
                return outcome
        now_ms = self._clock.now_ms()
        self._components.exclude_other_versions(call)
        if call.continuation is not None:
            flight = balancer.place(
                call.continuation.target_id, call.engine_work, now_ms
            )
        elif balancer is not None:
            flight = self._components.waiting.place(call, call.engine_work)
            self._components.log_last_resort(call.service)
        if relays.is_available(call):
            # The way to the servers was lost while the request waited.
            if flight is not None:
                balancer.cancel(flight)
            call.reason = 'no server can be reached'
            return _call.AttemptOutcome.NOT_SENT
        if flight is None:
            call.reason = call.turned_away_reason or 'no server'
            if call.continuation is not None:
                return _call.AttemptOutcome.NOT_SENT
            call.tried.update(self._components.server_ids(call.service))
            return _call.AttemptOutcome.NOT_SENT
        if self._has_refused_trait(call):
            # The trait was refused while the request waited for a server.
            balancer.cancel(flight)
            return _call.AttemptOutcome.REFUSED
        server = self._components.server(flight.server_id)
        call.tried.add(flight.server_id)
        if not call.can_continue_at(server):
            # It was listed while the request waited.
            balancer.cancel(flight)
            call.reason = 'server of another version'
            return _call.AttemptOutcome.NOT_SENT
        return _exchange.Exchange(
            self, self._components, call, flight, server
        ).run(conn, balancer)

    def _has_refused_trait(self, call):
        """Return whether ``call`` has a trait that crashes servers.

        A run that is continued elsewhere has shown that its prompt has none.
        """
        refused = self._components.request_crashes.refused_trait(call)
        if refused is None:
            return False
        if call.continuation is not None and not refused.is_request:
            return False
        call.reason = (
            'the request crashes servers'
            if refused.is_request
            else f'prompt part {refused.id} crashes servers'
        )
        return True

    # Responses

    def _refuse(self, conn, status, reason, call=None):
        headers = [(b'Content-Type', b'application/json')]
        if status in (429, 503):
            retry_after_ms = RETRY_AFTER_MS
            if call is not None:
                retry_after_ms = self._retry_after_ms(call)
            headers.append(
                (b'Retry-After', f'{retry_after_ms / MS_PER_S:.3f}'.encode())
            )
        body = b'{"error":"' + reason.encode('ascii', 'replace') + b'"}'
        if call is not None:
            call.status = status
            call.response_started = True
        conn.refuse(status, headers, body)

    def _retry_after_ms(self, call):
        """Return the Retry-After time for the caller of ``call``."""
        refused = self._components.request_crashes.refused_trait(call)
        if refused is not None:
            return self._components.request_crashes.retry_after_ms(refused)
        if call.turned_away_reason is not None:
            return call.load_request.decision.retry_after_ms
        free_ms = self._components.waiting.retry_after_ms(call)
        if free_ms is not None:
            return free_ms
        left_ms = call.end_ms - self._clock.now_ms()
        return max(0, min(RETRY_AFTER_MS, left_ms // 3))

    def _log_refused(self, req, exc):
        paddle_kernel.emit(
            _events.REQUEST_DONE,
            request=exc.request_id,
            target=_decode(req.target),
            status=exc.status,
            reason=exc.reason,
            version=self._version(),
        )

    def _log_done(self, call):
        self._components.metrics.count_response(
            call.route.kind.value, call.status
        )
        paddle_kernel.emit(
            _events.REQUEST_DONE,
            request=call.metadata.request_id,
            fingerprint=call.fingerprint,
            route=call.route.name,
            customer=call.customer.name if call.customer else None,
            service=call.service,
            status=call.status,
            reason=call.reason,
            attempts=call.attempts,
            server=call.server_id,
            peer=call.peer,
            first_ms=call.first_ms,
            longest_gap_ms=call.longest_gap_ms,
            move=call.move_state,
            unframed=call.is_end_unframed,
            took_ms=self._clock.now_ms() - call.req.received_ms,
            version=self._version(),
        )


def _decode(data):
    return data.decode('latin-1') if data is not None else None
