"""Falcon resources for callers: chat, plain services, health."""

import falcon

import paddle_kernel
from paddle_router import _auth
from paddle_router import _chat_body
from paddle_router import _config_source
from paddle_router import _errors
from paddle_router import _events
from paddle_router import _http_in
from paddle_router import _relay
from paddle_router import _request
from paddle_router import _services

EVENT_STREAM = 'text/event-stream'


class Admission:
    """Steps that every request passes before it is relayed."""

    def __init__(self, core):
        self._core = core

    def key_record(self, environ, key):
        """Return the valid key record of a request.

        :raises Refusal: if there is none or if the key is also elsewhere.
        """
        record = _auth.authenticate(
            self._core.config.view, key, self._core.clock.wall_ms()
        )
        target = environ['PATH_INFO'] + '?' + environ['QUERY_STRING']
        if key in target:
            raise key_elsewhere('path or query')
        return record

    def read_body(self, environ):
        """Return the body within the bounds.

        :raises Refusal: if it exceeds them.
        """
        bounds = self._core.bounds
        return _http_in.read_body(
            environ, limit=bounds.body_bytes, timeout_ms=bounds.request_ms
        )

    def request_class(self, environ, default):
        """Return the class named in the request, or the default one.

        :raises Refusal: if it is unknown.
        """
        name = environ.get('HTTP_PADDLE_CLASS') or default
        found = self._core.config.view.request_class(name)
        if found is None:
            raise _errors.Refusal(
                400, 'unknown_class', 'the class is unknown', param='class'
            )
        return found


def key_elsewhere(place):
    """Return the refusal of a request that would leak its own key."""
    return _errors.Refusal(
        400,
        'key_in_request',
        f'the {place} contains the key; send it in Authorization only',
    )


class Chat:
    """``POST /v1/chat/completions``."""

    def __init__(self, core, admission):
        self._core = core
        self._admission = admission

    def on_post(self, req, resp):
        environ = req.env
        key = _auth.presented_key(environ)
        record = self._admission.key_record(environ, key)
        raw = self._admission.read_body(environ)
        if key.encode() in raw:
            raise key_elsewhere('body')
        body = _chat_body.parse(raw)
        request = self._request(environ, record, body)
        watch = _http_in.CallerWatch(environ)
        relay = _relay.ChatRelay(
            self._core, request, body, environ, key, watch
        )
        try:
            relay.start()
            if body.stream:
                resp.content_type = EVENT_STREAM
                resp.set_header('Cache-Control', 'no-cache')
                resp.stream = relay
                return
            resp.data = relay.whole()
            resp.content_type = falcon.MEDIA_JSON
            resp.set_header(_errors.OUTCOME_HEADER, _errors.DONE)
        except BaseException as exc:
            relay.fail(exc)
            raise
        relay.close()

    def _request(self, environ, record, body):
        view = self._core.config.view
        if body.model not in self._core.instances.models():
            raise _errors.Refusal(
                404,
                'model_not_found',
                'the model is unknown',
                kind=_errors.NOT_FOUND,
                param='model',
            )
        return _request.Request(
            model=body.model,
            request_class=self._admission.request_class(
                environ, view.chat_default_class
            ),
            customer=record.customer,
            key_digest=record.digest,
            stream=body.stream,
            received_ms=self._core.clock.now_ms(),
            prompt_tokens=body.prompt_tokens,
            max_tokens=body.max_tokens,
            prefix=body.prefix,
        )


class Health:
    """``GET /healthz``: the process answers."""

    def on_get(self, req, resp):
        resp.media = {'status': 'ok'}


class Ready:
    """``GET /readyz``: the daemon takes requests."""

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
    admission = Admission(core)
    app.add_route(_config_source.CHAT_PATH, Chat(core, admission))
    app.add_route('/healthz', Health())
    app.add_route('/readyz', Ready(core))
    app.add_sink(_services.Services(core, admission).on_request, '/')
    errors = ErrorAnswers(core.account.metrics)
    app.add_error_handler(Exception, errors.on_error)
    app.add_error_handler(_errors.Refusal, errors.on_refusal)
    app.add_error_handler(falcon.HTTPError, errors.on_http_error)
    return app


class ErrorAnswers:
    """Turns exceptions into answers in the protocol's error form."""

    def __init__(self, metrics):
        self._metrics = metrics

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
        # The text of an unexpected error may quote the request.
        paddle_kernel.emit(_events.REQUEST_FAILED, error=type(exc).__name__)
        refusal = _errors.Refusal(
            500,
            'internal_error',
            'internal error',
            kind=_errors.SERVER,
            outcome=_errors.UNKNOWN,
        )
        self.on_refusal(req, resp, refusal, params)
