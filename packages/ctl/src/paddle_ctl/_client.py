"""HTTP client of the operator interface of the daemons."""

import json
import socket

import attrs
import geventhttpclient
import geventhttpclient.response

JSON_HEADERS = {'Content-Type': 'application/json'}


class OperatorError(Exception):
    """A request to the operator interface failed."""


class UnreachableError(OperatorError):
    """No daemon answered; a change may or may not have been accepted."""


class UnauthorizedError(OperatorError):
    """The daemon refused the operator's token."""


@attrs.frozen
class Answer:
    """Status code and decoded body of an answer."""

    status: int
    body: object


class OperatorClient:
    """Sends requests to the first daemon that answers.

    Every request can safely be sent again: reads change nothing, and the
    daemons answer a repeated change id with its first outcome.
    """

    def __init__(self, addresses, token, *, timeout_ms):
        self._addresses = addresses
        self._token = token
        self._timeout_s = timeout_ms / 1_000

    @classmethod
    def from_settings(cls, settings, token):
        """Return a client with the given :class:`paddle_ctl.CtlSettings`."""
        return cls(settings.addresses, token, timeout_ms=settings.timeout_ms)

    def get(self, path):
        """Return the :class:`Answer` to ``GET path``."""
        return self._request('GET', path, None)

    def get_each(self, path):
        """Return ``{address: Answer}`` of all daemons.

        The status of one that does not answer is ``None``.
        """
        answers = {}
        for address in self._addresses:
            client = OperatorClient(
                (address,), self._token, timeout_ms=self._timeout_s * 1_000
            )
            try:
                answers[address] = client.get(path)
            except UnreachableError as exc:
                answers[address] = Answer(None, {'error': str(exc)})
        return answers

    def post(self, path, body):
        """Return the :class:`Answer` to ``POST path`` with a JSON body."""
        return self._request('POST', path, json.dumps(body))

    def delete(self, path):
        """Return the :class:`Answer` to ``DELETE path``."""
        return self._request('DELETE', path, None)

    def _request(self, method, path, body):
        problems = []
        for address in self._addresses:
            try:
                return self._request_at(address, method, path, body)
            except (
                OSError,
                socket.timeout,
                geventhttpclient.response.HTTPParseError,
            ) as exc:
                problems.append(f'{address}: {exc or type(exc).__name__}')
        raise UnreachableError(
            'no daemon answered (' + '; '.join(problems) + '); check the '
            'addresses in the settings and send the same command again'
        )

    def _request_at(self, address, method, path, body):
        client = geventhttpclient.HTTPClient.from_url(
            f'http://{address}',
            connection_timeout=self._timeout_s,
            network_timeout=self._timeout_s,
        )
        headers = {**JSON_HEADERS, 'Authorization': f'Bearer {self._token}'}
        try:
            response = client.request(method, path, body or '', headers)
            data = bytes(response.read())
        finally:
            client.close()
        if response.status_code in (401, 403):
            raise UnauthorizedError(
                f'{address} refused the token; check the token file'
            )
        return Answer(response.status_code, _decode(data))


def _decode(data):
    try:
        return json.loads(data)
    except ValueError:
        return data.decode(errors='replace')
