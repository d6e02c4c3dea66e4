"""HTTP interface for operators: the configuration as a whole."""

import falcon
import returns.result

import paddle_coord
import paddle_kernel
from paddle_router.controller import _events
from paddle_router import gateway

# A read waits for a majority; later the operator asks another controller.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024


class ConfigurationResource:
    """PUT stores a configuration, GET returns the newest one."""

    def __init__(self, document, dialect):
        self._document = document
        self._dialect = dialect

    def on_put(self, req, resp):
        """Acknowledge a valid configuration once a majority keeps it."""
        content = req.bounded_stream.read(MAX_DOCUMENT_BYTES + 1)
        try:
            _check_complete(req, content)
            configuration = self._dialect.read_configuration(content)
        except gateway.ConfigurationError as exc:
            paddle_kernel.emit(_events.CONFIGURATION_INVALID, error=str(exc))
            resp.status = 400
            resp.media = {'error': str(exc)}
            return
        wanted = paddle_coord.Document(configuration.version, content)
        result = self._document.submit(wanted)
        if not isinstance(result, returns.result.Success):
            paddle_kernel.emit(
                _events.CONFIGURATION_UNDECIDED,
                version=wanted.version,
                error=result.failure().detail,
            )
            resp.status = 503
            resp.media = {'error': 'no majority in time; send it again'}
            return
        stored = result.unwrap()
        paddle_kernel.emit(
            _events.CONFIGURATION_ACCEPTED,
            version=wanted.version,
            in_force=stored.version,
        )
        resp.media = {'version': stored.version}

    def on_get(self, _req, resp):
        """Return the newest configuration, or 503 when unsure."""
        confirmed = self._document.refresh()
        current = self._document.current
        if not confirmed or current is None:
            paddle_kernel.emit(_events.READ_UNCONFIRMED, confirmed=confirmed)
            resp.status = 503
            resp.media = {'error': 'the newest version is not known'}
            return
        resp.content_type = falcon.MEDIA_JSON
        resp.data = current.content


def _check_complete(req, content):
    if len(content) > MAX_DOCUMENT_BYTES:
        raise gateway.ConfigurationError('the document is too large')
    length = req.content_length
    if length is not None and len(content) < length:
        raise gateway.ConfigurationError(
            f'the document ends after {len(content)} of {length} bytes'
        )
