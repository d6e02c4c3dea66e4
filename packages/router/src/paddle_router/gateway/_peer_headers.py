"""Headers of requests that gateways send through each other.

They are used between gateways only: a caller's or a server's headers of these
names are never passed on.
"""

import urllib.parse

import attrs

from paddle_router.gateway import _http1

PREFIX = b'paddle-peer-'
# The key of the receiving gateway.
KEY = b'Paddle-Peer-Key'
# The name of the sending gateway; marks the request as relayed.
SENDER = b'Paddle-Peer-Sender'
# In a request the oldest configuration version that may be used, in a
# response the version that was used.
VERSION = b'Paddle-Peer-Version'
# How many servers the request has been sent to, at all gateways together.
ATTEMPTS = b'Paddle-Peer-Attempts'
# Identifies the response to a request on a kept connection.
EXCHANGE = b'Paddle-Peer-Exchange'
# The service that the sender chose for the route.
SERVICE = b'Paddle-Peer-Service'
# The software version that a stream began at; quoted.
SOFTWARE = b'Paddle-Peer-Software'
# Set if the sender has counted the request as usage.
COUNTED = b'Paddle-Peer-Counted'
# In a response: the receiving gateway did not handle the request, which has
# not run and never will.
REFUSAL = b'Paddle-Peer-Refusal'
# In a response: it comes from a server or from the receiving gateway itself.
SOURCE = b'Paddle-Peer-Source'
SOURCE_SERVER = b'server'
SOURCE_GATEWAY = b'gateway'

REFUSED_KEY = 'key'
REFUSED_CUT = 'cut'
REFUSED_CONFIGURATION = 'older configuration'
REFUSED_STOPPING = 'stopping'
REFUSED_UNREADABLE = 'unreadable request'


@attrs.frozen(kw_only=True)
class RelayedRequest:
    """What the sending gateway states about a request.

    ``service`` and ``software_version`` are ``None`` if it did not choose
    them.
    """

    sender: str
    version: int
    attempts: int
    exchange: bytes
    service: str | None = None
    software_version: str | None = None
    is_counted: bool = False

    @classmethod
    def from_headers(cls, headers):
        """Return the statements in ``headers``.

        :raises ValueError: if one is missing or invalid.
        """
        by_name = {name.lower(): value for name, value in headers}
        for name in (SENDER, VERSION, ATTEMPTS, EXCHANGE):
            if name.lower() not in by_name:
                raise ValueError(f'header {name.decode()} is missing')
        return cls(
            sender=_unquote(by_name[SENDER.lower()]),
            version=parse_number(by_name[VERSION.lower()]),
            attempts=parse_number(by_name[ATTEMPTS.lower()]),
            exchange=by_name[EXCHANGE.lower()],
            service=_unquote(by_name.get(SERVICE.lower())),
            software_version=_unquote(by_name.get(SOFTWARE.lower())),
            is_counted=COUNTED.lower() in by_name,
        )

    def to_headers(self, key):
        """Return the headers for the gateway whose key is ``key``."""
        headers = [
            (KEY, key.encode()),
            (SENDER, quote(self.sender)),
            (VERSION, b'%d' % self.version),
            (ATTEMPTS, b'%d' % self.attempts),
            (EXCHANGE, self.exchange),
        ]
        if self.service is not None:
            headers.append((SERVICE, quote(self.service)))
        if self.software_version is not None:
            headers.append((SOFTWARE, quote(self.software_version)))
        if self.is_counted:
            headers.append((COUNTED, b'1'))
        return headers


@attrs.frozen(kw_only=True)
class PeerResponse:
    """What the receiving gateway states in its response.

    ``version`` is ``None`` if the response is not that of a gateway to this
    request.
    """

    refusal: str | None
    version: int | None
    attempts: int
    is_server_response: bool
    software_version: str | None

    @classmethod
    def from_headers(cls, headers, exchange):
        """Return the statements in the response to ``exchange``.

        :raises ValueError: if one is invalid.
        """
        by_name = {name.lower(): value for name, value in headers}
        version = None
        if by_name.get(EXCHANGE.lower()) == exchange:
            version = parse_number(by_name.get(VERSION.lower(), b''))
        return cls(
            refusal=_unquote(by_name.get(REFUSAL.lower())),
            version=version,
            attempts=parse_number(by_name.get(ATTEMPTS.lower(), b'0')),
            is_server_response=by_name.get(SOURCE.lower()) == SOURCE_SERVER,
            software_version=_unquote(by_name.get(SOFTWARE.lower())),
        )


def without_own(headers):
    """Return ``headers`` without those of this module."""
    return [item for item in headers if not item[0].lower().startswith(PREFIX)]


def refusal_headers(reason):
    """Return the headers that state that a request was not handled."""
    return [(REFUSAL, quote(reason))]


def key_of(req):
    """Return the key that a request presents, as bytes."""
    return _http1.get(req.headers, KEY.lower()) or b''


def parse_number(value):
    """Return the number in decimal digits.

    :raises ValueError: if it is none.
    """
    if not value.isdigit():
        raise ValueError(f'expected digits, got {value[:20]!r}')
    return int(value)


def quote(text):
    """Return ``text`` as bytes that a header can hold."""
    return urllib.parse.quote(text, safe='').encode()


def _unquote(value):
    return None if value is None else urllib.parse.unquote(value.decode())
