"""Falcon resources for callers: chat, plain services and health."""

import falcon

import paddle_kernel
from paddle_router import _auth
from paddle_router import _chat_body
from paddle_router import _config_items
from paddle_router import _errors
from paddle_router import _events
from paddle_router import _http_in
from paddle_router import _relay
from paddle_router import _request
from paddle_router import _services

EVENT_STREAM = 'text/event-stream'


class Chat:
    """Handles chat-completions requests."""

    def __init__(self, core):
        self._core = core

    def on_request(self, req, resp, route, record, key):
        """Relay one request."""
        environ = req.env
        body = _chat_body.parse(self._core.admission.read_body(environ, key))
        request = self._build_request(environ, route, record, body)
        watch = _http_in.DisconnectWatcher(environ)
        relay = _relay.ChatRelay(
            self._core, request, body, environ, key, watch
        )
        try:
            self._core.admission.check_limits(request)
            self._core.admission.check_targets(request)
            relay.start()
            if body.stream:
                resp.content_type = EVENT_STREAM
                resp.set_header('Cache-Control', 'no-cache')
                resp.stream = relay
                return
            resp.data = relay.read_response()
            resp.content_type = falcon.MEDIA_JSON
            resp.set_header(_errors.OUTCOME_HEADER, _errors.DONE)
        except BaseException as exc:
            relay.fail(exc)
            raise
        relay.close()

    def _build_request(self, environ, route, record, body):
        core = self._core
        if body.model not in core.dispatcher.models():
            raise _errors.Refusal(
                404,
                'model_not_found',
                'the model is unknown',
                kind=_errors.NOT_FOUND,
                param='model',
            )
        request_class = core.admission.request_class(
            environ, route.default_class
        )
        customer = record.customer if record else None
        lengths = core.policies.lengths
        expected = lengths.predict(customer, request_class.name).mean
        now_ms = core.clock.now_ms()
        return _request.Request(
            model=body.model,
            request_class=request_class,
            customer=customer,
            key_digest=record.digest if record else None,
            stream=body.stream,
            received_ms=now_ms,
            deadline_ms=now_ms + request_class.first_token_target_ms,
            prompt_chars=body.prompt_chars,
            prompt_tokens=lengths.predict_prompt(
                request_class.name, body.prompt_chars
            ),
            expected_tokens=min(expected, body.max_tokens or expected),
            prefix=body.prefix,
        )


class RequestRouter:
    """Authenticates a request and dispatches it by its route."""

    def __init__(self, core):
        self._core = core
        self._handlers = {
            _config_items.MODEL: Chat(core),
            _config_items.SERVICE: _services.Services(core),
        }

    def on_request(self, req, resp, **params):
        """Serve one request, or refuse an unknown path."""
        environ = req.env
        core = self._core
        core.admission.check_config_fresh()
        route = core.config.view.route(req.method, environ['PATH_INFO'])
        if route is None:
            raise self._no_route_refusal(environ['PATH_INFO'])
        key = _auth.bearer_key(environ)
        record = None
        if not route.open:
            record = core.admission.key_record(environ, key)
        handler = self._handlers[route.kind]
        handler.on_request(req, resp, route, record, key)

    def _no_route_refusal(self, path):
        if self._core.config.view.has_path(path):
            return _errors.Refusal(
                405, 'method_not_allowed', 'this method has no route here'
            )
        return _errors.Refusal(
            404, 'not_found', 'no such route', kind=_errors.NOT_FOUND
        )


class Health:
    """``GET /healthz``: the process responds."""

    def on_get(self, req, resp):
        resp.media = {'status': 'ok'}


class Ready:
    """``GET /readyz``: the daemon accepts requests."""

    def __init__(self, core):
        self._core = core

    def on_get(self, req, resp):
        reason = self._core.not_ready_reason()
        if reason is not None:
            resp.status = falcon.HTTP_503
        resp.media = {'ready': reason is None, 'reason': reason}


def application(core):
    """Return the falcon application for callers."""
    app = falcon.App()
    # Falcon's own form parsing would consume the body.
    app.req_options.auto_parse_form_urlencoded = False
    app.add_route('/healthz', Health())
    app.add_route('/readyz', Ready(core))
    app.add_sink(RequestRouter(core).on_request, '/')
    ErrorHandlers(core.account.metrics).install(app)
    return app


class ErrorHandlers:
    """Converts exceptions to responses with the protocol's error object."""

    def __init__(self, metrics):
        self._metrics = metrics

    def install(self, app):
        """Handle all exceptions of ``app``."""
        app.add_error_handler(Exception, self.on_error)
        app.add_error_handler(_errors.Refusal, self.on_refusal)
        app.add_error_handler(falcon.HTTPError, self.on_http_error)

    def on_refusal(self, req, resp, refusal, params):
        resp.status = refusal.status
        resp.data = refusal.body()
        for name, value in refusal.headers():
            resp.set_header(name, value)
        self._metrics.refusals.labels(refusal.code).inc()
        paddle_kernel.emit(_events.REQUEST_REFUSED, code=refusal.code)

    def on_http_error(self, req, resp, exc, params):
        refusal = _errors.Refusal(
            exc.status_code, 'invalid_request', exc.title or 'invalid request'
        )
        self.on_refusal(req, resp, refusal, params)

    def on_error(self, req, resp, exc, params):
        # Only the type is logged: the text may contain parts of the request.
        paddle_kernel.emit(_events.REQUEST_FAILED, error=type(exc).__name__)
        refusal = _errors.Refusal(
            500,
            'internal_error',
            'internal error',
            kind=_errors.SERVER,
            outcome=_errors.UNKNOWN,
        )
        self.on_refusal(req, resp, refusal, params)
