"""Requests to plain services by configured routes.

Idempotent calls may be repeated. Every other call is claimed first, and after
its first byte may have left there is no second attempt anywhere.
"""

import itertools

from paddle_router import _claimed
from paddle_router import _errors
from paddle_router import _headers
from paddle_router import _http_in
from paddle_router import _request
from paddle_router import policy

ANSWER_BYTES = 64 * 1024 * 1024
State = _request.State
Action = policy.Action


class Services:
    """Handles requests of routes to plain services."""

    def __init__(self, core):
        self._core = core
        self._claimed = _claimed.ClaimedCalls(core, self.choose)
        self._turn = itertools.count()

    def on_request(self, req, resp, route, record, key):
        """Relay one request."""
        core = self._core
        environ = req.env
        body = core.admission.read_body(environ, key)
        found = core.admission.request_class(environ, route.default_class)
        now_ms = core.clock.now_ms()
        request = _request.Request(
            model='',
            request_class=found,
            customer=record.customer if record else None,
            key_digest=record.digest if record else None,
            idempotent=route.idempotent,
            received_ms=now_ms,
            deadline_ms=now_ms + found.first_token_target_ms,
        )
        call = ServiceCall(core, request, route, environ, body, key)
        try:
            core.admission.check_limits(request)
            if route.idempotent:
                self._repeat(call)
            else:
                self._claimed.run(call)
        except BaseException as exc:
            if not request.ended:
                request.advance(State.BROKEN)
            told = getattr(exc, 'outcome', _errors.UNKNOWN)
            core.account.ended(request, outcome=told)
            raise
        finally:
            call.watch.stop()
        core.account.ended(request)
        call.fill(resp)

    def _repeat(self, call):
        """Send an idempotent call, repeatedly within the budget."""
        core = self._core
        core.retry_budget.record_request()
        for attempts in itertools.count(1):
            call.request.advance(State.QUEUED)
            try:
                call.connect(self.choose(call.route.service))
                call.watch.on_gone(call.conn.cancel)
                call.send(core.bounds.first_byte_ms)
                return
            except OSError:
                call.close()
            attempt = policy.Attempt(
                idempotent=True,
                was_sent=call.request.was_sent,
                attempts=attempts,
                caller_present=not call.watch.gone,
            )
            action = policy.decide_retry(
                attempt, core.retry_budget, core.clock.now_ms()
            )
            if action is not Action.RETRY:
                raise _errors.service_failure(was_sent=call.request.was_sent)
            core.account.retried(action.value)

    def choose(self, service):
        """Return a live instance of ``service``.

        :raises Refusal: if there is none.
        """
        found = self._core.instances.services(service)
        if not found:
            raise _errors.unavailable(
                'no_service', 'no instance of this service is available'
            )
        return found[next(self._turn) % len(found)]


class ServiceCall:
    """One call: connection, bytes and answer."""

    def __init__(self, core, request, route, environ, body, key):
        self._core = core
        self._environ = environ
        self._headers = _headers.to_backend(environ, key)
        self._headers.append(('Paddle-Request-Id', request.id))
        self.body = body
        self.request = request
        self.route = route
        self.method = environ['REQUEST_METHOD']
        self.target = _target(environ)
        self.idempotency_key = environ.get('HTTP_IDEMPOTENCY_KEY')
        self.watch = _http_in.CallerWatch(environ)
        self.conn = None
        self.status = None
        self.answer_headers = ()
        self.data = b''

    def connect(self, instance):
        """Open a connection to ``instance``.

        :raises OSError: if that fails; nothing was sent.
        """
        self.request.advance(State.CONNECTING)
        self.conn = self._core.pool.open(
            instance.address,
            self._core.bounds.connect_ms,
            fresh=not self.request.idempotent,
        )

    def send(self, timeout_ms):
        """Send the request and read the whole answer.

        :raises OSError: if there is no complete answer.
        """
        self.request.advance(State.SENT)
        self.conn.send(
            self.method,
            self.target,
            self._headers,
            self.body,
            timeout_ms=timeout_ms,
        )
        answer = self.conn.read_head(timeout_ms)
        self.data = answer.read_all(ANSWER_BYTES)
        self.status = answer.get_code()
        self.answer_headers = tuple(_headers.to_caller(answer))
        self.request.advance(State.FINISHED)
        conn, self.conn = self.conn, None
        self._core.pool.give_back(conn)

    def close(self):
        """Close the connection if it is open."""
        conn, self.conn = self.conn, None
        if conn is not None:
            conn.close()

    def fill(self, resp):
        """Put the answer into the falcon response."""
        resp.status = self.status
        resp.data = self.data
        for name, value in self.answer_headers:
            resp.set_header(name, value)
        resp.set_header(_errors.OUTCOME_HEADER, _errors.DONE)


def _target(environ):
    handler = environ[_http_in.HANDLER]
    path = handler.path.partition('?')[0]
    query = _headers.clean_query(environ['QUERY_STRING'])
    return f'{path}?{query}' if query else path
