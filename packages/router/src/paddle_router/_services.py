"""Calls of plain services by configured routes.

Idempotent calls may be retried. Any other call is claimed first, and is never
sent again, by any daemon, once its first byte may have been sent.
"""

import itertools

from paddle_router import _claimed
from paddle_router import _errors
from paddle_router import _headers
from paddle_router import _http_in
from paddle_router import _http_out
from paddle_router import _request
from paddle_router import policy

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
State = _request.State
Action = policy.Action


class Services:
    """Handles requests whose route leads to a plain service."""

    def __init__(self, core):
        self._core = core
        self._claimed = _claimed.ClaimedCalls(core, self.choose_instance)
        self._call_counter = itertools.count()

    def on_request(self, req, resp, route, record, key):
        """Relay one request."""
        core = self._core
        environ = req.env
        body = core.admission.read_body(environ, key)
        request_class = core.admission.request_class(
            environ, route.default_class
        )
        now_ms = core.clock.now_ms()
        request = _request.Request(
            model='',
            request_class=request_class,
            customer=record.customer if record else None,
            key_digest=record.digest if record else None,
            idempotent=route.idempotent,
            received_ms=now_ms,
            deadline_ms=now_ms + request_class.first_token_target_ms,
        )
        call = ServiceCall(core, request, route, environ, body, key)
        try:
            core.admission.check_limits(request)
            if route.idempotent:
                self._run_with_retries(call)
            else:
                self._claimed.run(call)
        except BaseException as exc:
            if not request.is_ended:
                request.advance(State.BROKEN)
            outcome = getattr(exc, 'outcome', _errors.UNKNOWN)
            core.account.record_end(request, outcome=outcome)
            raise
        finally:
            call.watch.stop()
        core.account.record_end(request)
        call.write_to(resp)

    def _run_with_retries(self, call):
        """Send an idempotent call, with retries within the retry budget."""
        core = self._core
        core.retry_budget.record_request()
        for attempts in itertools.count(1):
            call.request.advance(State.QUEUED)
            try:
                call.connect(self.choose_instance(call.route.service))
                call.watch.on_disconnect(call.conn.cancel)
                call.send(core.bounds.first_byte_ms)
                return
            except OSError:
                call.close()
            attempt = policy.Attempt(
                idempotent=True,
                was_sent=call.request.was_sent,
                attempts=attempts,
                caller_present=not call.watch.is_disconnected,
            )
            action = policy.decide_retry(
                attempt, core.retry_budget, core.clock.now_ms()
            )
            if action is not Action.RETRY:
                raise _errors.service_failure(was_sent=call.request.was_sent)
            core.account.record_retry(action.value)

    def choose_instance(self, service):
        """Return the next live instance of ``service``, round robin.

        :raises Refusal: if there is none.
        """
        instances = self._core.instances.services(service)
        if not instances:
            raise _errors.unavailable(
                'no_service', 'no instance of this service is available'
            )
        return instances[next(self._call_counter) % len(instances)]


class ServiceCall:
    """One call of a service: request, connection and response."""

    def __init__(self, core, request, route, environ, body, key):
        self._core = core
        self._environ = environ
        self._headers = _headers.headers_for_backend(environ, key)
        self._headers.append(('Paddle-Request-Id', request.id))
        self.body = body
        self.request = request
        self.route = route
        self.method = environ['REQUEST_METHOD']
        self.target = _target(environ)
        self.idempotency_key = environ.get('HTTP_IDEMPOTENCY_KEY')
        self.watch = _http_in.DisconnectWatcher(environ)
        self.conn = None
        self.status = None
        self.response_headers = ()
        self.data = b''

    def connect(self, instance):
        """Open a connection to ``instance``.

        :raises OSError: if that fails; nothing was sent.
        """
        self.request.advance(State.CONNECTING)
        self.conn = _http_out.connect(
            instance.address, self._core.bounds.connect_ms
        )

    def send(self, timeout_ms):
        """Send the request and read the whole response.

        :raises OSError: if there is no complete response.
        """
        self.request.advance(State.SENT)
        self.conn.send(
            self.method,
            self.target,
            self._headers,
            self.body,
            timeout_ms=timeout_ms,
        )
        response = self.conn.read_head(timeout_ms)
        self.data = response.read_all(MAX_RESPONSE_BYTES)
        self.status = response.get_code()
        self.response_headers = tuple(_headers.headers_for_caller(response))
        self.request.advance(State.FINISHED)
        self.close()

    def close(self):
        """Close the connection if it is open."""
        conn, self.conn = self.conn, None
        if conn is not None:
            conn.close()

    def write_to(self, resp):
        """Copy the service's response to the falcon response ``resp``."""
        resp.status = self.status
        resp.data = self.data
        for name, value in self.response_headers:
            resp.set_header(name, value)
        resp.set_header(_errors.OUTCOME_HEADER, _errors.DONE)


def _target(environ):
    handler = environ[_http_in.HANDLER_KEY]
    path = handler.path.partition('?')[0]
    query = _headers.strip_secret_parameters(environ['QUERY_STRING'])
    return f'{path}?{query}' if query else path
