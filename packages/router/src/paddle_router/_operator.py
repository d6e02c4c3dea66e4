"""Operator interface: HTTP JSON on its own address.

Every request needs the bearer token from the owner-only file of the settings;
a caller's key never gives access.
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

BODY_BYTES = 1024 * 1024
TOKEN_MIN_CHARS = 8
PLAIN_TEXT = 'text/plain; version=0.0.4; charset=utf-8'


class TokenCheck:
    """Falcon middleware that admits only the operator's token."""

    def __init__(self, token):
        self._token = token.encode()

    def process_request(self, req, resp):
        presented = _auth.presented_key(req.env) or ''
        if not hmac.compare_digest(presented.encode(), self._token):
            raise _errors.Refusal(
                401,
                'invalid_token',
                'the operator token is missing or wrong',
                kind=_errors.AUTHENTICATION,
            )


class Get:
    """A resource that answers ``GET`` with the value of a function."""

    def __init__(self, function):
        self._function = function

    def on_get(self, req, resp):
        resp.text = json.dumps(self._function(), default=str)
        resp.content_type = falcon.MEDIA_JSON


class MetricsText:
    """``GET /metrics``."""

    def __init__(self, metrics):
        self._metrics = metrics

    def on_get(self, req, resp):
        resp.content_type = PLAIN_TEXT
        resp.data = self._metrics.render()


class Changes:
    """``POST /changes`` with ``{id, expected_version, op, args}``.

    Answers 200 with the version, 409 when another change came first, 422
    with findings, 503 when the outcome is not known. ``dry_run`` answers the
    configuration that the change would make.
    """

    def __init__(self, config):
        self._config = config

    def on_post(self, req, resp):
        document = read_json(req)
        change = _change_of(document)
        if document.get('dry_run'):
            resp.media = {'config': self._config.preview(change)}
            return
        result = self._config.submit(change)
        if not isinstance(result, returns.result.Success):
            _answer_unknown(resp, result.failure())
            return
        _answer_outcome(resp, result.unwrap())
        paddle_kernel.emit(
            _events.CHANGE_DECIDED,
            id=change.id,
            op=change.operation['op'],
            status=resp.status,
        )


def _change_of(document):
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


def _answer_unknown(resp, error):
    resp.status = falcon.HTTP_503
    resp.media = {'outcome': error.kind, 'detail': error.detail}


def _answer_outcome(resp, outcome):
    if outcome.accepted:
        resp.media = {'accepted': True, 'version': outcome.version}
        return
    invalid = outcome.reason == 'invalid'
    resp.status = falcon.HTTP_422 if invalid else falcon.HTTP_409
    resp.media = {
        'accepted': False,
        'version': outcome.version,
        'reason': outcome.reason,
        'findings': [finding_row(item) for item in outcome.findings],
    }


def finding_row(finding):
    """Return a finding as plain data."""
    return {
        'path': finding.path,
        'value': finding.value,
        'allowed': finding.allowed,
    }


class Post:
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


class ReplicaResources:
    """Forms and replaces the set of replicas."""

    def __init__(self, admin):
        self._admin = admin

    def form(self, document):
        """Make ``addresses`` the first set."""
        return self._admin.form(_addresses(document, 'addresses')).map(
            _view_row
        )

    def replace(self, document):
        """Replace the set ``old`` by ``new``."""
        return self._admin.replace(
            _addresses(document, 'old'), _addresses(document, 'new')
        ).map(_view_row)


def _addresses(document, name):
    value = document.get(name)
    is_list = isinstance(value, list) and value
    if not is_list or not all(settings.ADDRESS.accepts(i) for i in value):
        raise _errors.Refusal(
            400, 'invalid_value', f'{name} must be a list of "IP:port"'
        )
    return tuple(value)


def _view_row(view):
    return {
        'epoch': view.epoch,
        'members': [member.address for member in view.new],
    }


def success(data):
    """Return the result of a request that cannot fail."""
    return returns.result.Success(data)


def read_json(req):
    """Return the JSON object in the body; an empty body counts as ``{}``.

    :raises Refusal: if it is something else.
    """
    raw = _http_in.read_body(req.env, limit=BODY_BYTES, timeout_ms=10_000)
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
    """Return the falcon application; ``resources`` maps paths to them."""
    app = falcon.App(middleware=[TokenCheck(token)])
    for path, resource in resources.items():
        app.add_route(path, resource)
    error_answers.install(app)
    return app
