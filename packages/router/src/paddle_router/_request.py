"""One request on its way through the router: states and outcome."""

import enum
import uuid

import attrs

from paddle_router import _errors


class State(enum.Enum):
    """Where a request is; see ``_NEXT`` for the allowed steps."""

    RECEIVED = 'received'
    QUEUED = 'queued'
    CONNECTING = 'connecting'
    SENT = 'sent'
    STREAMING = 'streaming'
    FINISHED = 'finished'
    REFUSED = 'refused'
    BROKEN = 'broken'
    CANCELLED = 'cancelled'


_ENDS = {State.REFUSED, State.BROKEN, State.CANCELLED}
_NEXT = {
    State.RECEIVED: {State.QUEUED} | _ENDS,
    State.QUEUED: {State.CONNECTING} | _ENDS,
    # Finished without being sent: the kept answer of a claim is replayed.
    State.CONNECTING: {State.SENT, State.QUEUED, State.FINISHED} | _ENDS,
    # Back to the queue: idempotent work is retried elsewhere.
    State.SENT: {State.STREAMING, State.FINISHED, State.QUEUED} | _ENDS,
    State.STREAMING: {State.FINISHED, State.QUEUED} | _ENDS,
}


class StateError(RuntimeError):
    """A step that the state machine does not allow."""


@attrs.define(kw_only=True)
class Request:
    """A request; times are monotonic ms.

    ``deadline_ms`` is the time by which the first token is due.

    ``was_sent`` tells whether a byte of it may have left for a backend
    server; ``chunks`` counts the content chunks passed on to the caller.
    """

    model: str
    request_class: object
    customer: str | None = None
    key_digest: str | None = None
    stream: bool = False
    idempotent: bool = True
    received_ms: int = 0
    deadline_ms: int = 0
    sent_ms: int | None = None
    prompt_chars: int = 0
    prompt_tokens: int = 0
    expected_tokens: int = 0
    charged_tokens: int = 0
    prefix: tuple = ()
    id: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    state: State = State.RECEIVED
    was_sent: bool = False
    chunks: int = 0
    first_chunk_ms: int | None = None
    last_chunk_ms: int | None = None

    def advance(self, state):
        """Go to ``state``.

        :raises StateError: if that step is not allowed.
        """
        if state not in _NEXT.get(self.state, ()):
            raise StateError(f'{self.state.value} to {state.value}')
        self.state = state
        if state is State.SENT:
            self.was_sent = True

    @property
    def ended(self):
        """Whether the request has reached a final state."""
        return self.state not in _NEXT

    @property
    def outcome(self):
        """The typed outcome as told to the caller."""
        if self.state is State.FINISHED:
            return _errors.DONE
        return _errors.UNKNOWN if self.was_sent else _errors.NOT_RUN
