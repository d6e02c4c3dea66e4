"""HTTP interface for operators: configuration and evacuations."""

import select

import falcon
import gevent
from gevent import pywsgi
import returns.result

import paddle_coord
import paddle_kernel
from paddle_router.controller import _evacuation
from paddle_router.controller import _events
from paddle_router import gateway

MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
# An operator waits for a second before it asks another controller. The rest of
# that time is for the way there and back.
ANSWER_LIMIT_MS = 800
# Key of the caller's socket in the environment of a request.
SOCKET_KEY = 'paddle.socket'


class OperatorHandler(pywsgi.WSGIHandler):
    """Passes the caller's socket on to the resources."""

    def get_environ(self):
        """Return the environment of the request, with the socket."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


class ConfigurationResource:
    """PUT stores a configuration, GET returns the newest one."""

    def __init__(self, document, dialect):
        self._document = document
        self._dialect = dialect

    def on_put(self, req, resp):
        """Acknowledge a valid configuration once a majority stores it."""
        content = req.bounded_stream.read(MAX_DOCUMENT_BYTES + 1)
        try:
            _check_body(req, content)
            configuration = self._dialect.read_configuration(content)
        except gateway.ConfigurationError as exc:
            paddle_kernel.emit(_events.CONFIGURATION_INVALID, error=str(exc))
            resp.status = 400
            resp.media = {'error': str(exc)}
            return
        submitted = paddle_coord.Document(configuration.version, content)
        stored = _within_limit(self._submit, submitted)
        if stored is None:
            resp.status = 503
            resp.media = {
                'error': 'no majority stored the document in time; retry'
            }
            return
        paddle_kernel.emit(
            _events.CONFIGURATION_ACCEPTED,
            version=submitted.version,
            in_force=stored.version,
        )
        resp.media = {'version': stored.version}

    def on_get(self, _req, resp):
        """Return the newest configuration, or 503 without a confirmed one."""
        current = _within_limit(self._read)
        if current is None:
            resp.status = 503
            resp.media = {'error': 'no confirmed version of the document'}
            return
        resp.content_type = falcon.MEDIA_JSON
        resp.data = current.content

    def _submit(self, submitted):
        """Return the stored document, ``None`` without a majority."""
        result = self._document.submit(submitted)
        if isinstance(result, returns.result.Success):
            return result.unwrap()
        paddle_kernel.emit(
            _events.CONFIGURATION_UNDECIDED,
            version=submitted.version,
            error=result.failure().detail,
        )
        return None

    def _read(self):
        """Return the newest document, ``None`` if that is not known."""
        confirmed = self._document.refresh()
        current = self._document.current
        if confirmed and current is not None:
            return current
        paddle_kernel.emit(
            _events.READ_UNCONFIRMED,
            confirmed=confirmed,
            error=self._document.refresh_failure,
        )
        return None


class EvacuationResource:
    """POST evacuates a failure domain, DELETE has it used again.

    Both may be repeated. Any name is accepted: a domain may have no servers
    now. The answer tells the number of listed ones, which shows a mistyped
    name.
    """

    def __init__(self, evacuations, fleet, clock):
        self._evacuations = evacuations
        self._fleet = fleet
        self._clock = clock

    def on_post(self, req, resp, domain):
        """Acknowledge once a majority stores that nothing is sent there."""
        self._apply(req, resp, domain, is_evacuated=True)

    def on_delete(self, req, resp, domain):
        """Acknowledge once a majority stores that the domain is used."""
        self._apply(req, resp, domain, is_evacuated=False)

    def _apply(self, req, resp, domain, *, is_evacuated):
        caller = req.env.get(SOCKET_KEY)
        order = _evacuation.Order(
            domain=domain,
            is_evacuated=is_evacuated,
            expires_ms=self._clock.now_ms() + ANSWER_LIMIT_MS,
            has_caller_left=lambda: _has_left(caller),
        )
        try:
            stored = _within_limit(self._evacuations.apply, order)
        except _evacuation.InvalidOrderError as exc:
            paddle_kernel.emit(
                _events.EVACUATION_INVALID,
                domain=domain[: _evacuation.MAX_NAME_LENGTH],
                error=str(exc),
            )
            resp.status = 400
            resp.media = {'error': str(exc)}
            return
        if stored is None:
            resp.status = 503
            resp.media = {'error': 'no majority stored the order; retry'}
            return
        resp.media = {
            **_evacuation_body(stored),
            'servers': sum(
                item.domain == domain for item in self._fleet.servers or ()
            ),
        }


class EvacuationListResource:
    """GET returns the evacuated failure domains."""

    def __init__(self, evacuations):
        self._evacuations = evacuations

    def on_get(self, _req, resp):
        """Return the domains, or 503 without a confirmed version."""
        stored = _within_limit(self._evacuations.read)
        if stored is None:
            resp.status = 503
            resp.media = {'error': 'no confirmed version of the domains'}
            return
        resp.media = _evacuation_body(stored)


def _evacuation_body(evacuation):
    return {
        'version': evacuation.version,
        'domains': list(evacuation.domains),
    }


def _has_left(sock):
    """Whether the caller has closed its connection, at least for sending."""
    if sock is None:
        return False
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def _within_limit(function, *args):
    """Return the result of ``function``, ``None`` after the time limit.

    The function goes on after the limit: a change that is cut off halfway
    would leave the submissions that share it without an answer.
    """
    job = gevent.spawn(function, *args)
    try:
        return job.get(timeout=ANSWER_LIMIT_MS / paddle_kernel.MS_PER_S)
    except gevent.Timeout:
        return None


def _check_body(req, content):
    if len(content) > MAX_DOCUMENT_BYTES:
        raise gateway.ConfigurationError('the document exceeds the size limit')
    length = req.content_length
    if length is not None and len(content) < length:
        raise gateway.ConfigurationError(
            f'document truncated: got {len(content)} of {length} bytes'
        )
