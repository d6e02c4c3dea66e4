"""State machine and outcome of one request."""

import enum
import uuid

import attrs

from paddle_router import _errors


class State(enum.Enum):
    """State of a request; ``_TRANSITIONS`` holds the allowed transitions."""

    RECEIVED = 'received'
    QUEUED = 'queued'
    CONNECTING = 'connecting'
    SENT = 'sent'
    STREAMING = 'streaming'
    FINISHED = 'finished'
    REFUSED = 'refused'
    BROKEN = 'broken'
    CANCELLED = 'cancelled'


_FINAL_STATES = {State.REFUSED, State.BROKEN, State.CANCELLED}
_TRANSITIONS = {
    State.RECEIVED: {State.QUEUED} | _FINAL_STATES,
    State.QUEUED: {State.CONNECTING} | _FINAL_STATES,
    # Finished without being sent: the stored response of a claim is replayed.
    State.CONNECTING: {State.SENT, State.QUEUED, State.FINISHED}
    | _FINAL_STATES,
    # Back to queued: an idempotent request is retried on another engine.
    State.SENT: {State.STREAMING, State.FINISHED, State.QUEUED}
    | _FINAL_STATES,
    State.STREAMING: {State.FINISHED, State.QUEUED} | _FINAL_STATES,
}


class StateError(RuntimeError):
    """A state transition that is not allowed."""


@attrs.define(kw_only=True)
class Request:
    """A request; times are monotonic, in ms.

    ``deadline_ms`` is the time by which the first token is due.

    ``was_sent`` is true if any byte of the request may have been sent to a
    backend server; ``chunks`` counts the content chunks sent to the caller.
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
        """Change to ``state``.

        :raises StateError: if that transition is not allowed.
        """
        if state not in _TRANSITIONS.get(self.state, ()):
            raise StateError(
                f'invalid transition: {self.state.value} to {state.value}'
            )
        self.state = state
        if state is State.SENT:
            self.was_sent = True

    @property
    def is_ended(self):
        """Whether the request has reached a final state."""
        return self.state not in _TRANSITIONS

    @property
    def outcome(self):
        """The outcome as reported to the caller."""
        if self.state is State.FINISHED:
            return _errors.DONE
        return _errors.UNKNOWN if self.was_sent else _errors.NOT_RUN
