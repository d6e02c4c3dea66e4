"""State of a request in the gateway, and outcomes of its attempts."""

import enum
import functools
import hashlib

import attrs
import gevent

from paddle_router.gateway import _http1
from paddle_router.gateway import _model
from paddle_router.gateway import _peer_headers
from paddle_router import policy


# Fingerprints of different requests must not be equal by chance, also among
# all requests of some days.
FINGERPRINT_BYTES = 12


class CallerDisconnected(gevent.GreenletExit):
    """The caller closed its connection."""


class CallerTooSlow(CallerDisconnected):
    """The caller was ended, because it does not read its response."""


class RefusedError(Exception):
    """A request is rejected without being sent to a server."""

    def __init__(self, status, reason, request_id=None):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.request_id = request_id


class AttemptOutcome(enum.Enum):
    """Outcome of an attempt that gave the caller no complete response.

    ``NOT_SENT``: no request was sent. ``NOT_RUN``: the server states that it
    did not run the request. ``BROKEN``: the response was missing, incomplete
    or an error. ``SILENT``: the server did not respond in time. ``MOVED``: the
    run was stopped to continue on another server. ``REFUSED``: the request
    has a trait that crashes servers; nothing was sent.
    """

    NOT_SENT = 'not_sent'
    NOT_RUN = 'not_run'
    BROKEN = 'broken'
    SILENT = 'silent'
    MOVED = 'moved'
    REFUSED = 'refused'


@attrs.define(kw_only=True, eq=False)
class Call:
    """A request that is being handled by the gateway.

    ``end_ms`` is the deadline set by the caller or the route. ``tried`` holds
    the ids of the servers chosen so far, ``attempts`` counts the servers that
    the request was sent to, ``sent_server_ids`` holds their ids.
    ``is_response_lost`` tells whether the last of them may have crashed.
    ``response_started`` is set once a byte of the response may have been
    written to the caller, ``run_started`` once a server has started to run the
    request, ``response_seen`` once a server has responded. ``status`` and
    ``reason`` describe the final response, ``first_ms`` and ``longest_gap_ms``
    its events, ``forwarded_events`` counts those of ended attempts.
    ``stream_format`` is the :func:`_stream.stream_format` of a stream that was
    started; ``move_state`` is the last :attr:`RunningStream.move_state`, and
    ``is_end_unframed`` tells whether the last response ended with its
    connection. ``has_event_id`` and ``has_data`` tell whether events
    with an id and with content were forwarded. ``software_version`` is that of
    the servers whose events the caller has, ``None`` before the first; servers
    of other versions cannot continue the stream, and ``unsuitable`` holds the
    ids of those listed. ``origin`` is the :class:`StreamOrigin` that the
    stream has if its first event comes from this attempt; the event
    ``origin_recorded`` is set once a controller knows it. ``continuation`` is
    the :class:`Continuation` of a stopped run.
    ``relayed`` is the :class:`RelayedRequest` of a request that a peer has
    sent, ``peer`` the name of the gateway that it came from or was sent
    through, and ``is_relay_exhausted`` tells whether no peer could help.
    ``load_request`` is what the admission by load decides on, ``None``
    without it.
    ``rank`` is the sort key for waiting requests, lowest first; ``urgency`` is
    the rank sent to engines, ``None`` for a plain service. ``copy_rate`` is
    how many cached prompt tokens per ms the servers copy, 0 if they don't.
    """

    req: _http1.Request
    metadata: _model.RequestMetadata
    route: _model.Route
    customer: _model.Customer | None
    service: str
    end_ms: int
    attempts: int = 0
    may_have_run: bool = False
    tried: set = attrs.field(factory=set)
    sent_server_ids: set = attrs.field(factory=set)
    is_response_lost: bool = False
    status: int = 0
    reason: str = ''
    response_started: bool = False
    server_id: str | None = None
    run_started: bool = False
    response_seen: bool = False
    first_ms: int | None = None
    longest_gap_ms: int = 0
    last_event_ms: int = 0
    forwarded_events: int = 0
    stream_format: tuple = ()
    move_state: str = ''
    is_end_unframed: bool = False
    has_event_id: bool = False
    has_data: bool = False
    software_version: str | None = None
    unsuitable: frozenset = frozenset()
    origin: object = None
    origin_recorded: object = None
    last_event_id: bytes | None = None
    continuation: object = None
    relayed: _peer_headers.RelayedRequest | None = None
    peer: str | None = None
    is_relay_exhausted: bool = False
    rank: tuple[int, int] = (0, 0)
    urgency: int | None = None
    copy_rate: float = 0.0
    load_request: policy.LoadRequest | None = None

    @functools.cached_property
    def fingerprint(self):
        """A digest that the same request has whenever it comes again.

        It covers method, host, target, customer and body, so it does not
        depend on the attempt, nor on where a stream is to be resumed.
        """
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        for field in (
            self.req.method,
            self.req.header(b'host') or b'',
            self.req.target,
            self.customer.name.encode() if self.customer else b'',
            self.req.body,
        ):
            digest.update(b'%d:' % len(field))
            digest.update(field)
        return digest.hexdigest()

    @property
    def traits(self):
        """What other requests may share, the fingerprint last."""
        return (
            *self.metadata.shared_part_ids,
            policy.request_trait(self.fingerprint),
        )

    @property
    def excluded(self):
        """The ids of the servers that the request must not be sent to."""
        return self.unsuitable.union(self.tried)

    @property
    def engine_work(self):
        """What the balancer places the request by."""
        return policy.EngineWork(
            prompt_tokens=self.metadata.prompt_tokens,
            parts=tuple(
                (part.id, part.tokens) for part in self.metadata.parts
            ),
            target_ms=self.route.target_ms,
            gap_ms=self.route.gap_ms,
            avoid=self.excluded,
            copy_rate=self.copy_rate,
            body_bytes=len(self.req.body),
        )

    @property
    def turned_away_reason(self):
        """Why the load of the servers does not allow it, or ``None``."""
        if self.load_request is None or not isinstance(
            self.load_request.decision, policy.TurnAway
        ):
            return None
        return self.load_request.decision.reason

    @property
    def can_resume(self):
        """Whether the stream can go on where the caller's part ends.

        A server that is not told an event id begins with the first event.
        """
        return self.route.can_resume and (
            self.has_event_id or not self.has_data
        )

    def can_continue_at(self, server):
        """Return whether ``server`` can follow those that ran the request."""
        return self.software_version in (None, server.software_version)

    def mark_response_started(self, status):
        """Record that a response with ``status`` is sent to the caller now."""
        self.status = status
        self.response_started = True
        self.reason = ''

    def record_events(self, now_ms):
        """Update the time of the first event and the longest pause."""
        if self.first_ms is None:
            self.first_ms = now_ms - self.req.received_ms
        else:
            pause_ms = now_ms - self.last_event_ms
            self.longest_gap_ms = max(self.longest_gap_ms, pause_ms)
        self.last_event_ms = now_ms


@attrs.frozen(kw_only=True)
class Response:
    """A complete response of a backend server."""

    status: int
    headers: list
    body: bytes
    is_signed: bool
