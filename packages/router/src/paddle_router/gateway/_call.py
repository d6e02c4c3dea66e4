"""A request on its way through the gateway, and how attempts end."""

import enum

import attrs
import gevent

from paddle_router.gateway import _http1
from paddle_router.gateway import _model


class CallerLeft(gevent.GreenletExit):
    """The caller closed its connection."""


class RefusedError(Exception):
    """A request gets its final answer without being sent anywhere."""

    def __init__(self, status, reason, request_id=None):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.request_id = request_id


class Step(enum.Enum):
    """How an attempt ended without an answer for the caller.

    Nothing was sent; the server says that it did not run the request; the
    answer broke off or never came; the server was silent for too long; the
    run was stopped on purpose and goes on elsewhere.
    """

    NOT_SENT = 'not_sent'
    NOT_RUN = 'not_run'
    BROKEN = 'broken'
    SILENT = 'silent'
    MOVED = 'moved'


@attrs.define(kw_only=True, eq=False)
class Call:
    """A request on its way through the gateway.

    ``end_ms`` is when its caller or route gives it up. ``tried`` holds the
    ids of the servers chosen so far, ``attempts`` counts those it was sent
    to. ``answered`` is set once a byte of the answer may have been written,
    ``began`` once a server has begun to run it, ``answer_seen`` once it has
    answered. ``status`` and ``reason``
    describe the final answer, ``first_ms`` and ``longest_gap_ms`` its events.
    ``continuation`` says where a run that was stopped goes on. ``rank`` is
    the key by which requests go before others, ``urgency`` the rank that
    engines are told, ``None`` for a plain service.
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
    status: int = 0
    reason: str = ''
    answered: bool = False
    server_id: str | None = None
    began: bool = False
    answer_seen: bool = False
    first_ms: int | None = None
    longest_gap_ms: int = 0
    last_event_ms: int = 0
    last_event_id: bytes | None = None
    continuation: object = None
    rank: tuple[int, int] = (0, 0)
    urgency: int | None = None

    def note_answer(self, status):
        """Note that an answer with ``status`` goes to the caller now."""
        self.status = status
        self.answered = True
        self.reason = ''

    def note_events(self, now_ms):
        """Keep the time of the first event and the longest pause."""
        if self.first_ms is None:
            self.first_ms = now_ms - self.req.received_ms
        else:
            pause_ms = now_ms - self.last_event_ms
            self.longest_gap_ms = max(self.longest_gap_ms, pause_ms)
        self.last_event_ms = now_ms


@attrs.frozen(kw_only=True)
class Answer:
    """A whole answer of a backend server."""

    status: int
    headers: list
    body: bytes
    stamped: bool
