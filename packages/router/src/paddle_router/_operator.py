"""Operator interface: JSON over HTTP on an address of its own.

Every request needs the operator token as its bearer token. The settings name
the file with the token. API keys of customers give no access.
"""

import hmac
import json

import falcon
import returns.result

import paddle_coord
import paddle_kernel
from paddle_kernel import settings
from paddle_router import _auth
from paddle_router import _errors
from paddle_router import _events
from paddle_router import _http_in

MAX_BODY_BYTES = 1024 * 1024
TOKEN_MIN_CHARS = 8
METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class TokenCheck:
    """Falcon middleware that rejects requests without the operator token."""

    def __init__(self, token):
        self._token = token.encode()

    def process_request(self, req, resp):
        presented = _auth.bearer_key(req.env) or ''
        if not hmac.compare_digest(presented.encode(), self._token):
            raise _errors.Refusal(
                401,
                'invalid_token',
                'the operator token is missing or wrong',
                kind=_errors.AUTHENTICATION,
            )


class GetResource:
    """A resource that answers ``GET`` with the value of a function."""

    def __init__(self, function):
        self._function = function

    def on_get(self, req, resp):
        resp.text = json.dumps(self._function(), default=str)
        resp.content_type = falcon.MEDIA_JSON


class MetricsResource:
    """``GET /metrics``."""

    def __init__(self, metrics):
        self._metrics = metrics

    def on_get(self, req, resp):
        resp.content_type = METRICS_CONTENT_TYPE
        resp.data = self._metrics.render()


class ChangesResource:
    """``POST /changes`` with ``{id, expected_version, op, args}``.

    The answer is 200 with the new version, 409 if another change was accepted
    first, 422 with findings, or 503 if the outcome is unknown. With
    ``dry_run`` nothing is changed and the answer is the configuration that
    the change would result in.
    """

    def __init__(self, config):
        self._config = config

    def on_post(self, req, resp):
        document = read_json(req)
        change = _parse_change(document)
        if document.get('dry_run'):
            resp.media = {'config': self._config.preview(change)}
            return
        result = self._config.submit(change)
        if not isinstance(result, returns.result.Success):
            _respond_unknown_outcome(resp, result.failure())
            return
        _respond_outcome(resp, result.unwrap())
        paddle_kernel.emit(
            _events.CHANGE_DECIDED,
            id=change.id,
            op=change.operation['op'],
            status=resp.status,
        )


def _parse_change(document):
    expected = document.get('expected_version')
    change_id = document.get('id')
    is_version = isinstance(expected, int) and not isinstance(expected, bool)
    if not is_version or not isinstance(change_id, str) or not change_id:
        raise _errors.Refusal(
            400,
            'invalid_change',
            'id must be a string and expected_version an integer',
        )
    operation = {
        'op': document.get('op'),
        'args': document.get('args', {}),
    }
    return paddle_coord.ConfigChange(change_id, expected, operation)


def _respond_unknown_outcome(resp, error):
    resp.status = falcon.HTTP_503
    resp.media = {'outcome': error.kind, 'detail': error.detail}


def _respond_outcome(resp, outcome):
    if outcome.accepted:
        resp.media = {'accepted': True, 'version': outcome.version}
        return
    invalid = outcome.reason == 'invalid'
    resp.status = falcon.HTTP_422 if invalid else falcon.HTTP_409
    resp.media = {
        'accepted': False,
        'version': outcome.version,
        'reason': outcome.reason,
        'findings': [finding_document(item) for item in outcome.findings],
    }


def finding_document(finding):
    """Return a finding as plain data."""
    return {
        'path': finding.path,
        'value': finding.value,
        'allowed': finding.allowed,
    }


class PostResource:
    """A resource that answers ``POST`` with ``function(document)``.

    The function returns ``Success(data)`` or ``Failure(text or error)``,
    which is answered with 409.
    """

    def __init__(self, function):
        self._function = function

    def on_post(self, req, resp):
        result = self._function(read_json(req))
        if isinstance(result, returns.result.Success):
            resp.media = result.unwrap()
            return
        resp.status = falcon.HTTP_409
        resp.media = {'error': str(result.failure())}


class ReplicaOperations:
    """Functions of the resources that form and replace the replica set."""

    def __init__(self, admin):
        self._admin = admin

    def form(self, document):
        """Form the first replica set from ``addresses``."""
        return self._admin.form(_addresses(document, 'addresses')).map(
            _view_document
        )

    def replace(self, document):
        """Replace the replica set ``old`` by ``new``."""
        return self._admin.replace(
            _addresses(document, 'old'), _addresses(document, 'new')
        ).map(_view_document)


def _addresses(document, name):
    value = document.get(name)
    is_list = isinstance(value, list) and value
    if not is_list or not all(settings.ADDRESS.accepts(i) for i in value):
        raise _errors.Refusal(
            400, 'invalid_value', f'{name} must be a list of "IP:port"'
        )
    return tuple(value)


def _view_document(view):
    return {
        'epoch': view.epoch,
        'members': [member.address for member in view.new],
    }


def success(data):
    """Return ``Success(data)``, for functions of :class:`PostResource`."""
    return returns.result.Success(data)


def read_json(req):
    """Return the JSON object in the body; an empty body counts as ``{}``.

    :raises Refusal: if the body is not a JSON object.
    """
    raw = _http_in.read_body(req.env, limit=MAX_BODY_BYTES, timeout_ms=10_000)
    try:
        document = json.loads(raw or b'{}')
    except (ValueError, RecursionError):
        document = None
    if not isinstance(document, dict):
        raise _errors.Refusal(
            400, 'malformed_json', 'the body is not a JSON object'
        )
    return document


def application(token, resources, error_answers):
    """Return the falcon application; ``resources`` is keyed by path."""
    app = falcon.App(middleware=[TokenCheck(token)])
    for path, resource in resources.items():
        app.add_route(path, resource)
    error_answers.install(app)
    return app
