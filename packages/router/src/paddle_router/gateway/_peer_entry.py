"""The listener for requests that other gateways cannot send to servers."""

import hmac

import attrs

import paddle_kernel
from paddle_router.gateway import _entry
from paddle_router.gateway import _events
from paddle_router.gateway import _peer_headers

# File descriptors for other gateways; a gateway opens a connection only for
# requests that run at the same time.
MAX_CONNECTIONS = 500
# Bytes that our own headers may add to those of a caller: eight lines, of
# which a name and a version of 100 characters are the longest.
OWN_HEADER_BYTES = 2_048


class PeerChannel(_entry.CallerChannel):
    """Writes the response to a relayed request, with our own headers.

    ``call`` is set once the request is admitted, ``version`` once the
    configuration that it is handled by is known.
    """

    def __init__(self, conn, entry, relayed):
        super().__init__(conn, entry)
        self.relayed = relayed
        self.call = None
        self.version = 0

    def refuse(self, status, headers, body):
        """Write a response of this gateway."""
        self._respond(
            status, self._marked(headers, _peer_headers.SOURCE_GATEWAY), body
        )

    def refuse_relay(self, reason):
        """State that this gateway does not handle the request."""
        headers = [
            (_peer_headers.EXCHANGE, self.relayed.exchange),
            (_peer_headers.VERSION, b'%d' % self.version),
            *_peer_headers.refusal_headers(reason),
        ]
        self._respond(503, headers, b'')

    def _server_headers(self, headers):
        return self._marked(headers, _peer_headers.SOURCE_SERVER)

    def _marked(self, headers, source):
        marked = [
            *_peer_headers.without_own(headers),
            (_peer_headers.EXCHANGE, self.relayed.exchange),
            (_peer_headers.VERSION, b'%d' % self.version),
            (_peer_headers.SOURCE, source),
        ]
        attempts = self.relayed.attempts
        if self.call is not None:
            attempts = self.call.attempts
            if self.call.software_version is not None:
                software = _peer_headers.quote(self.call.software_version)
                marked.append((_peer_headers.SOFTWARE, software))
        return [*marked, (_peer_headers.ATTEMPTS, b'%d' % attempts)]


class PeerEntry(_entry.Entry):
    """Accepts the requests of gateways that know the key of this one."""

    # A request that cannot be read has not run.
    refusal_headers = _peer_headers.refusal_headers(
        _peer_headers.REFUSED_UNREADABLE
    )

    def __init__(self, address, components, forwarder):
        super().__init__(
            address,
            components.follower,
            forwarder,
            components.clock,
            components.buffers,
            max_connections=MAX_CONNECTIONS,
        )
        self._key = components.peer_key.encode()

    def _limits(self):
        limits = super()._limits()
        return attrs.evolve(
            limits, header_bytes=limits.header_bytes + OWN_HEADER_BYTES
        )

    def _channel(self, conn, req):
        """Return the channel for a request; refuse it without the key."""
        key = _peer_headers.key_of(req)
        if not self._key or not hmac.compare_digest(key, self._key):
            paddle_kernel.emit(
                _events.RELAY_STRANGER, target=req.target.decode('latin-1')
            )
            _entry.refuse(
                conn,
                403,
                b'unknown key',
                headers=_peer_headers.refusal_headers(
                    _peer_headers.REFUSED_KEY
                ),
            )
            return None
        try:
            relayed = _peer_headers.RelayedRequest.from_headers(req.headers)
        except ValueError as exc:
            paddle_kernel.emit(_events.BAD_REQUEST, status=400, error=str(exc))
            _entry.refuse(
                conn, 400, b'bad request', headers=self.refusal_headers
            )
            return None
        channel = PeerChannel(conn, self, relayed)
        if self.closing:
            channel.refuse_relay(_peer_headers.REFUSED_STOPPING)
        return channel
