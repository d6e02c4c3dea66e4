"""One attempt to send a chat request to an engine."""

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
        self._connect(watch)
        self.request.advance(State.SENT)
        self.was_sent = True
        try:
            self._exchange(body, headers)
        except ConnectionError:
            # The engine may close an idle connection just as it is taken
            # from the pool. Chat requests are idempotent, so the request is
            # sent again on a new connection.
            if not self.conn.reused or watch.is_disconnected or self.ejected:
                raise
            self.conn.close()
            self._connect(watch, fresh=True)
            self._exchange(body, headers)
        return self.response

    def cancel(self):
        """Shut down the connection; a greenlet blocked on it gets an error."""
        if self.conn is not None:
            self.conn.cancel()

    def record_progress(self, tokens):
        """Report to the policies how many tokens have arrived."""
        self._core.dispatcher.record_progress(self._slot, tokens)

    def close(self, *, ok=True, tokens=0, reusable=False):
        """Release the connection and the slot; idempotent."""
        conn, self.conn = self.conn, None
        if conn is not None:
            if reusable:
                self._core.pool.release(conn)
            else:
                conn.close()
        slot, self._slot = self._slot, None
        if slot is not None:
            slot.on_ejected = None
            self._core.dispatcher.release(slot, ok=ok, tokens=tokens)

    def _on_ejected(self):
        self.ejected = True
        self.cancel()

    def _connect(self, watch, *, fresh=False):
        self.conn = self._core.pool.open(
            self.instance.address, self._core.bounds.connect_ms, fresh=fresh
        )
        watch.on_disconnect(self.conn.cancel)

    def _exchange(self, body, headers):
        # No timeouts here: ChatRelay.check_idle_timeout() bounds these waits.
        self.conn.send('POST', CHAT_TARGET, headers, body, timeout_ms=None)
        self.response = self.conn.read_head(None)
