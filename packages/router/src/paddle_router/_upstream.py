"""One exchange with an engine on a slot of the dispatcher."""

from paddle_router import _request

CHAT_TARGET = '/v1/chat/completions'
State = _request.State


class Upstream:
    """Connection, answer and slot of one attempt."""

    def __init__(self, core, request, slot):
        self._core = core
        self._slot = slot
        self.request = request
        self.instance = slot.instance
        self.conn = None
        self.answer = None
        self.was_sent = False
        # Set when the engine was ejected while this attempt was overdue.
        self.ejected = False
        slot.on_ejected = self._on_ejected

    def open(self, body, headers, watch):
        """Connect, send and read the head of the answer.

        :raises OSError: if the engine does not answer.
        """
        self.request.advance(State.CONNECTING)
        self._connect(watch)
        self.request.advance(State.SENT)
        self.was_sent = True
        try:
            self._exchange(body, headers)
        except ConnectionError:
            # The engine may close an idle connection just as it is taken
            # from the pool; the work is idempotent, so it may be sent anew.
            if not self.conn.reused or watch.gone or self.ejected:
                raise
            self.conn.close()
            self._connect(watch, fresh=True)
            self._exchange(body, headers)
        return self.answer

    def cancel(self):
        """Cut the connection; a greenlet waiting on it sees an error."""
        if self.conn is not None:
            self.conn.cancel()

    def progress(self, tokens):
        """Tell the policies how many tokens have arrived."""
        self._core.dispatcher.progress(self._slot, tokens)

    def close(self, *, ok=True, tokens=0, reusable=False):
        """Give back connection and slot; may be called more than once."""
        conn, self.conn = self.conn, None
        if conn is not None:
            if reusable:
                self._core.pool.give_back(conn)
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
        watch.on_gone(self.conn.cancel)

    def _exchange(self, body, headers):
        # The relay's check for silence bounds these waits.
        self.conn.send('POST', CHAT_TARGET, headers, body, timeout_ms=None)
        self.answer = self.conn.read_head(None)
