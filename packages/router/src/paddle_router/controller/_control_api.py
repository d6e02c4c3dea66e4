"""HTTP interface for operators: the configuration document."""

import falcon
import returns.result

import paddle_coord
import paddle_kernel
from paddle_router.controller import _events
from paddle_router import gateway

MAX_DOCUMENT_BYTES = 16 * 1024 * 1024


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
        result = self._document.submit(submitted)
        if not isinstance(result, returns.result.Success):
            paddle_kernel.emit(
                _events.CONFIGURATION_UNDECIDED,
                version=submitted.version,
                error=result.failure().detail,
            )
            resp.status = 503
            resp.media = {
                'error': 'no majority stored the document in time; retry'
            }
            return
        stored = result.unwrap()
        paddle_kernel.emit(
            _events.CONFIGURATION_ACCEPTED,
            version=submitted.version,
            in_force=stored.version,
        )
        resp.media = {'version': stored.version}

    def on_get(self, _req, resp):
        """Return the newest configuration, or 503 without a confirmed one.

        The read waits for a majority. After a timeout, the operator asks
        another controller.
        """
        confirmed = self._document.refresh()
        current = self._document.current
        if not confirmed or current is None:
            paddle_kernel.emit(
                _events.READ_UNCONFIRMED,
                confirmed=confirmed,
                error=self._document.refresh_failure,
            )
            resp.status = 503
            resp.media = {'error': 'no confirmed version of the document'}
            return
        resp.content_type = falcon.MEDIA_JSON
        resp.data = current.content


def _check_body(req, content):
    if len(content) > MAX_DOCUMENT_BYTES:
        raise gateway.ConfigurationError('the document exceeds the size limit')
    length = req.content_length
    if length is not None and len(content) < length:
        raise gateway.ConfigurationError(
            f'document truncated: got {len(content)} of {length} bytes'
        )
