"""Requests to plain services by configured routes."""

import itertools

from paddle_router import _auth
from paddle_router import _errors
from paddle_router import _headers
from paddle_router import _http_in
from paddle_router import _request

ANSWER_BYTES = 64 * 1024 * 1024
State = _request.State


class Services:
    """Handles every path that is not a resource of its own."""

    def __init__(self, core, admission):
        self._core = core
        self._admission = admission
        self._turn = itertools.count()

    def on_request(self, req, resp, **params):
        """Serve one request, or refuse an unknown path."""
        environ = req.env
        view = self._core.config.view
        route = view.route(req.method, environ['PATH_INFO'])
        if route is None:
            raise _errors.Refusal(
                404, 'not_found', 'no such route', kind=_errors.NOT_FOUND
            )
        key = _auth.presented_key(environ)
        record = None
        if not route.open:
            record = self._admission.key_record(environ, key)
        body = self._admission.read_body(environ)
        request = _request.Request(
            model='',
            request_class=self._admission.request_class(
                environ, route.default_class
            ),
            customer=record.customer if record else None,
            key_digest=record.digest if record else None,
            idempotent=route.idempotent,
            received_ms=self._core.clock.now_ms(),
        )
        self._relay(req, resp, request, route, body, key)

    def _relay(self, req, resp, request, route, body, key):
        request.advance(State.QUEUED)
        watch = _http_in.CallerWatch(req.env)
        try:
            answer, data = self._exchange(
                req, request, route, body, key, watch
            )
        finally:
            watch.stop()
        resp.status = answer.get_code()
        resp.data = data
        for name, value in _headers.to_caller(answer):
            resp.set_header(name, value)
        resp.set_header(_errors.OUTCOME_HEADER, request.outcome)

    def _exchange(self, req, request, route, body, key, watch):
        instance = self._choose(route.service)
        headers = _headers.to_backend(req.env, key)
        headers.append(('Paddle-Request-Id', request.id))
        bounds = self._core.bounds
        conn = None
        try:
            request.advance(State.CONNECTING)
            conn = self._core.pool.open(
                instance.address,
                bounds.connect_ms,
                fresh=not request.idempotent,
            )
            if request.idempotent:
                watch.on_gone(conn.cancel)
            request.advance(State.SENT)
            conn.send(
                req.method,
                _target(req.env),
                headers,
                body,
                timeout_ms=bounds.idle_ms,
            )
            answer = conn.read_head(bounds.first_byte_ms)
            data = answer.read_all(ANSWER_BYTES)
        except OSError:
            if conn is not None:
                conn.close()
            raise self._failure(request) from None
        request.advance(State.FINISHED)
        self._core.pool.give_back(conn)
        return answer, data

    def _choose(self, service):
        found = self._core.instances.services(service)
        if not found:
            raise _errors.unavailable(
                'no_service', 'no instance of this service is available'
            )
        return found[next(self._turn) % len(found)]

    def _failure(self, request):
        if request.was_sent:
            return _errors.broken_answer(
                'service_failed', 'the service broke off its answer'
            )
        return _errors.unavailable(
            'service_unreachable', 'the service cannot be reached'
        )


def _target(environ):
    handler = environ[_http_in.HANDLER]
    path = handler.path.partition('?')[0]
    query = _headers.clean_query(environ['QUERY_STRING'])
    return f'{path}?{query}' if query else path
