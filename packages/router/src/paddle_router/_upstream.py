"""One attempt to send a chat request to an engine."""

from paddle_router import _http_out
from paddle_router import _request

CHAT_TARGET = '/v1/chat/completions'
State = _request.State


class Upstream:
    """Slot, connection and response of one attempt."""

    def __init__(self, core, request, slot):
        self._core = core
        self._slot = slot
        self.request = request
        self.instance = slot.instance
        self.conn = None
        self.response = None
        self.was_sent = False
        # Whether the engine was ejected while this attempt was overdue.
        self.ejected = False
        slot.on_ejected = self._on_ejected

    def open(self, body, headers, watch):
        """Connect, send the request and read the response headers.

        :raises OSError: if the engine does not respond.
        """
        self.request.advance(State.CONNECTING)
        self.conn = _http_out.connect(
            self.instance.address, self._core.bounds.connect_ms
        )
        watch.on_disconnect(self.conn.cancel)
        self.request.advance(State.SENT)
        self.was_sent = True
        # No timeouts here: ChatRelay.check_idle_timeout() bounds these waits.
        self.conn.send('POST', CHAT_TARGET, headers, body, timeout_ms=None)
        self.response = self.conn.read_head(None)
        return self.response

    def cancel(self):
        """Shut down the connection; a greenlet blocked on it gets an error."""
        if self.conn is not None:
            self.conn.cancel()

    def record_progress(self, tokens):
        """Report to the policies how many tokens have arrived."""
        self._core.dispatcher.record_progress(self._slot, tokens)

    def close(self, *, ok=True, tokens=0):
        """Release the connection and the slot; idempotent."""
        conn, self.conn = self.conn, None
        if conn is not None:
            conn.close()
        slot, self._slot = self._slot, None
        if slot is not None:
            slot.on_ejected = None
            self._core.dispatcher.release(slot, ok=ok, tokens=tokens)

    def _on_ejected(self):
        self.ejected = True
        self.cancel()
