"""Sending of requests through another gateway while no server is reachable.

A gateway that has lost the way to all servers, while its callers and other
gateways still reach it, would fail all its callers. A peer handles a relayed
request like one of its own callers, so servers see nothing new.
"""

import secrets

import attrs
import gevent

import paddle_kernel
from paddle_kernel import MS_PER_S
from paddle_router.gateway import _call
from paddle_router.gateway import _connections
from paddle_router.gateway import _events
from paddle_router.gateway import _exchange
from paddle_router.gateway import _http1
from paddle_router.gateway import _model
from paddle_router.gateway import _peer_headers
from paddle_router.gateway import _response_limits
from paddle_router.gateway import _stream

# Peers that one request tries. Callers wait as little as 430 ms and a peer
# that does not accept connections costs 300 ms.
MAX_PEERS = 3
# When no peer could help this many requests in a row, although some were not
# asked, the servers are down rather than the way to them, and asking again
# only delays the callers. Ten requests ask up to 30 peers, more than a failure
# domain that is cut off as a whole has on most deployments.
MAX_FAILED_ROUNDS = 10
# The same when all known peers were asked; one may just have been replaced.
MAX_COMPLETE_FAILED_ROUNDS = 2
# How long requests then take the local path only; a peer that becomes able to
# help is used well before the 3 s after which callers must be served again.
PAUSE_MS = 500
# Open connections to one peer, of the 500 that it accepts: three gateways of a
# failure domain may use the same one.
MAX_CONNECTIONS_PER_PEER = 150
EXCHANGE_ID_BYTES = 8
# Response headers of a peer's own responses that callers get.
OWN_RESPONSE_HEADERS = frozenset({b'content-type', b'retry-after'})

# Refusals after which a peer can be used for other requests: it gets the newer
# configuration soon, and a request that cannot be read is its caller's fault.
PASSING_REFUSALS = frozenset(
    {
        _peer_headers.REFUSED_CONFIGURATION,
        _peer_headers.REFUSED_UNREADABLE,
    }
)

# Result of a relay that no peer has handled: nothing ran.
NOT_HANDLED = object()


class PeerRelays:
    """Chooses peers for the requests of a gateway that is cut off."""

    def __init__(self, components):
        self._components = components
        self._clock = components.clock
        self._paused_until_ms = 0
        self._failed_rounds = 0
        # The newest configuration version that callers were served by.
        self.newest_version = 0
        self.pool = _connections.ConnectionPool(
            components.clock,
            components.buffers,
            _connections.UnwatchedReach(),
        )

    def is_available(self, call):
        """Return whether ``call`` may be sent through a peer now."""
        return (
            self._components.reach.is_cut
            and call.relayed is None
            and not call.is_relay_exhausted
            and call.continuation is None
            and call.attempts < call.route.attempts
            and (call.route.is_idempotent or not call.may_have_run)
            and self._clock.now_ms() >= self._paused_until_ms
        )

    def run(self, caller, call):
        """Send ``call`` through a peer.

        Return ``None`` if the caller got its response, ``NOT_HANDLED`` if no
        peer has handled the request, otherwise the :class:`AttemptOutcome`.
        """
        excluded = set()
        failed_count = 0
        peer = None
        for _ in range(MAX_PEERS):
            peer = self._components.peers.choose(excluded)
            if peer is None:
                break
            excluded.add(peer.name)
            peer_exchange = PeerExchange(self, self._components, call, peer)
            outcome = peer_exchange.run(caller)
            if outcome is not NOT_HANDLED:
                self._failed_rounds = 0
                return outcome
            failed_count += peer_exchange.is_peer_at_fault
        call.is_relay_exhausted = True
        if failed_count:
            self._count_failed_round(were_all_asked=peer is None)
        return NOT_HANDLED

    def accept_version(self, version):
        """Record that a caller is served by configuration ``version``."""
        self.newest_version = max(self.newest_version, version)

    def is_current(self, table):
        """Return whether ``table`` is as new as what callers have seen."""
        return table.configuration.version >= self.newest_version

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'connections': self.pool.dump(),
            'newest_version': self.newest_version,
            'pause_ms': max(0, self._paused_until_ms - self._clock.now_ms()),
        }

    def _count_failed_round(self, *, were_all_asked):
        self._failed_rounds += 1
        limit = (
            MAX_COMPLETE_FAILED_ROUNDS if were_all_asked else MAX_FAILED_ROUNDS
        )
        if self._failed_rounds >= limit:
            self._failed_rounds = 0
            self._paused_until_ms = self._clock.now_ms() + PAUSE_MS
            paddle_kernel.emit(_events.RELAYS_PAUSED, pause_ms=PAUSE_MS)


class PeerExchange(_exchange.Exchange):
    """Sends a call through one peer and forwards the response.

    The peer counts usage, blames crashes and applies the servers' notices.
    """

    def __init__(self, relays, components, call, peer):
        super().__init__(None, components, call, None, None)
        self._relays = relays
        self._peer = peer
        self._id = secrets.token_hex(EXCHANGE_ID_BYTES).encode()
        self._version = 0
        self.is_peer_at_fault = False
        # Not started: the deadline of the call limits the whole exchange.
        self._silence_timeout = gevent.Timeout(None)

    def run(self, caller):
        """Return what :meth:`PeerRelays.run` returns, for one peer."""
        call = self._call
        peers = self._components.peers
        peers.begin_attempt(self._peer)
        try:
            self._conn = self._relays.pool.acquire(
                self._peer.address,
                limit=MAX_CONNECTIONS_PER_PEER,
                owner=self._peer.incarnation,
            )
        except _connections.NoConnectionError as exc:
            if not isinstance(exc, _connections.ConnectionLimitError):
                self._mark_peer_failed()
            self._fail(_call.AttemptOutcome.NOT_SENT, str(exc))
            return NOT_HANDLED
        peers.mark_connected(self._peer)
        try:
            return self._exchange(caller, had_run_before=call.may_have_run)
        except (_http1.BrokenResponseError, OSError, ValueError) as exc:
            call.run_started = True
            if not self._is_head_read:
                # The peer may have used all attempts.
                call.attempts = call.route.attempts
                self._mark_peer_failed()
            return self._fail(_call.AttemptOutcome.BROKEN, str(exc))
        finally:
            self._release_connection()

    def _exchange(self, caller, *, had_run_before):
        call = self._call
        self._send()
        head, stated = self._read_stated_head()
        if stated.refusal is not None:
            call.may_have_run = had_run_before
            if stated.refusal not in PASSING_REFUSALS:
                self._mark_peer_failed()
            self._fail(_call.AttemptOutcome.NOT_RUN, stated.refusal)
            return NOT_HANDLED
        if stated.version is None or stated.version < self._version:
            raise _http1.BrokenResponseError('not a response to this request')
        self._is_head_read = True
        self._relays.accept_version(stated.version)
        call.attempts = max(call.attempts, stated.attempts)
        if not stated.is_server_response:
            if head.status_code in _exchange.NOT_RUN_STATUS_CODES:
                call.may_have_run = had_run_before
            return self._forward_refusal(caller, head)
        call.run_started = True
        self._response_metadata = self._dialect.parse_response_headers(
            head.status_code, head.headers
        )
        is_success = 200 <= head.status_code < 300
        if is_success and not self._response_metadata.is_signed:
            return self._fail(
                _call.AttemptOutcome.BROKEN, 'unsigned success response'
            )
        if call.response_started and not _stream.continues(call, head):
            return self._fail(
                _call.AttemptOutcome.BROKEN,
                f'status {head.status_code} instead of the rest of the stream',
            )
        if call.route.kind is _model.Kind.STREAM and is_success:
            return self._forward_events(caller, head, stated)
        return self._forward_plain(caller, head)

    def _send(self):
        call = self._call
        left_ms = max(1, call.end_ms - self._clock.now_ms())
        self._version = max(
            self._relays.newest_version,
            self._components.follower.table.configuration.version,
        )
        relayed = _peer_headers.RelayedRequest(
            sender=self._components.settings.name,
            version=self._version,
            attempts=call.attempts,
            exchange=self._id,
            service=call.service,
            software_version=call.software_version,
            is_counted=call.run_started,
        )
        headers = self._dialect.relayed_headers(
            _peer_headers.without_own(call.req.headers),
            left_ms,
            call.last_event_id,
        )
        call.may_have_run = True
        call.peer = self._peer.name
        self._components.metrics.relayed.labels('sent').inc()
        paddle_kernel.emit(
            _events.RELAY_SENT,
            request=call.metadata.request_id,
            peer=self._peer.name,
            address=self._peer.address,
            attempts=call.attempts,
            kept=self._conn.use_count > 0,
            left_ms=left_ms,
        )
        self._conn.send(
            call.req.method,
            call.req.target,
            [*headers, *relayed.to_headers(self._peer.key)],
            call.req.body,
        )

    def _read_stated_head(self):
        """Return the response head and its :class:`PeerResponse`."""
        limit_ms = None
        if self._call.route.kind is _model.Kind.STREAM:
            limit_ms = _response_limits.pause_limit_ms(self._call.route)
        error = _http1.BrokenResponseError('no response in time')
        limit_s = None if limit_ms is None else limit_ms / MS_PER_S
        with gevent.Timeout(limit_s, error):
            head = self._conn.read_head()
        return head, _peer_headers.PeerResponse.from_headers(
            head.headers, self._id
        )

    def _forward_refusal(self, caller, head):
        """Forward a response of the peer itself as one of this gateway."""
        call = self._call
        body = b''
        while (data := self._conn.read_data()) is not None:
            body += data
            if len(body) > _response_limits.MAX_BUFFERED_BYTES:
                raise _http1.BrokenResponseError('error response too long')
        self._is_response_complete = True
        detail = f'status {head.status_code}'
        outcome = self._fail(_call.AttemptOutcome.BROKEN, detail)
        if call.response_started:
            # The caller has a part of a stream, which nothing else may follow.
            call.attempts += 1
            return outcome
        status = head.status_code
        passed_on = OWN_RESPONSE_HEADERS
        if status in _exchange.NOT_RUN_STATUS_CODES and call.may_have_run:
            # The peer did not run the request, but another attempt may have.
            status = 502
            passed_on = passed_on - {b'retry-after'}
        call.mark_response_started(status)
        call.reason = f'peer: {detail}'
        caller.refuse(
            status,
            [
                (name, value)
                for name, value in head.headers.raw_items()
                if name.lower() in passed_on
            ],
            body,
        )
        return None

    def _forward_events(self, caller, head, stated):
        call = self._call
        if self._conn.is_unframed:
            raise _http1.BrokenResponseError('stream without a marked end')
        stream = RelayedStream(
            call=call, software_version=stated.software_version
        )
        try:
            PeerStreamRelay(
                self._components, stream, self._conn, caller, head
            ).run()
        finally:
            call.forwarded_events += stream.events
        self._is_response_complete = True
        return None

    def _release_connection(self):
        pool = self._relays.pool
        if (
            self._is_response_complete
            and self._conn.finish()
            and not self._response_metadata.closes
        ):
            limits = self._components.follower.table.configuration.limits
            pool.release(self._conn, idle_ms=limits.idle_ms)
        else:
            pool.discard(self._conn)

    def _mark_peer_failed(self):
        self.is_peer_at_fault = True
        self._components.peers.mark_failed(self._peer)

    def _can_retry_failure(self):
        # The peer has decided that.
        return False

    def _record_response(self):
        self._components.observe_response(self._call)

    def _record_served(self):
        # The peer does.
        return

    def _fail(self, outcome, detail):
        call = self._call
        call.is_response_lost = False
        call.reason = f'peer {self._peer.name}: {outcome.value}: {detail}'
        call.reason = call.reason[:200]
        paddle_kernel.emit(
            _events.RELAY_FAILED,
            request=call.metadata.request_id,
            peer=self._peer.name,
            address=self._peer.address,
            step=outcome.value,
            detail=detail[:200],
            attempts=call.attempts,
        )
        return outcome


@attrs.define(kw_only=True, eq=False)
class RelayedStream:
    """A stream that runs at a server of a peer."""

    call: _call.Call
    software_version: str | None
    flight: object = None
    events: int = 0


class PeerStreamRelay(_stream.StreamRelay):
    """Forwards the events that a peer forwards."""

    def _record_response(self):
        self._components.observe_response(self._call)

    def _record_first_content(self):
        # The peer clears the request of the blame for crashes.
        return

    def _record_progress(self, count, _now_ms):
        self._stream.events += count
        if self._stream.software_version is not None:
            self._call.software_version = self._stream.software_version

    def _record_begun(self):
        # The peer has told the controllers; a caller may come back here.
        if self._call.software_version is not None:
            self._components.origins.record_relayed(self._call)
