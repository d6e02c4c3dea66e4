"""Relaying one chat request to an engine and its answer back."""

import json
import re

from paddle_router import _errors
from paddle_router import _headers
from paddle_router import _request
from paddle_router import _sse

CHAT_TARGET = '/v1/chat/completions'
ANSWER_BYTES = 64 * 1024 * 1024
State = _request.State

# Quotes within text are escaped, so these match JSON fields only.
_CONTENT = re.compile(rb'"(?:content|reasoning_content|arguments)":\s*"(?!")')
_USAGE = re.compile(rb'"usage":\s*\{')


class Upstream:
    """One exchange with an engine on a slot of the dispatcher."""

    def __init__(self, core, request, slot):
        self._core = core
        self._slot = slot
        self.request = request
        self.instance = slot.instance
        self.conn = None
        self.answer = None

    def open(self, body, headers, watch):
        """Connect, send and read the head of the answer.

        :raises OSError: if the engine does not answer.
        """
        self.request.advance(State.CONNECTING)
        self._connect(watch)
        self.request.advance(State.SENT)
        try:
            self._exchange(body, headers)
        except ConnectionError:
            # The engine may close an idle connection just as it is taken
            # from the pool; the work is idempotent, so it may be sent anew.
            if not self.conn.reused or watch.gone:
                raise
            self.conn.close()
            self._connect(watch, fresh=True)
            self._exchange(body, headers)
        return self.answer

    def _connect(self, watch, *, fresh=False):
        self.conn = self._core.pool.open(
            self.instance.address, self._core.bounds.connect_ms, fresh=fresh
        )
        watch.on_gone(self.conn.cancel)

    def _exchange(self, body, headers):
        bounds = self._core.bounds
        self.conn.send(
            'POST', CHAT_TARGET, headers, body, timeout_ms=bounds.idle_ms
        )
        self.answer = self.conn.read_head(bounds.first_byte_ms)

    def close(self, *, reusable=False):
        """Give back connection and slot; may be called more than once."""
        conn, self.conn = self.conn, None
        if conn is not None:
            if reusable:
                self._core.pool.give_back(conn)
            else:
                conn.close()
        slot, self._slot = self._slot, None
        if slot is not None:
            self._core.dispatcher.release(slot)


class ChatRelay:
    """Carries one chat request; iterating yields the stream's bytes."""

    def __init__(self, core, request, body, environ, key, watch):
        self._core = core
        self._body = body
        self._environ = environ
        self._key = key
        self._watch = watch
        self._upstream = None
        self._splitter = _sse.EventSplitter()
        self._ending = None
        self._saw_done = False
        self._usage = None
        self.request = request
        core.active.add(self)

    def start(self):
        """Obtain the head of an engine's answer.

        :raises Refusal: if there is none.
        """
        request = self.request
        request.advance(State.QUEUED)
        slot = self._core.dispatcher.acquire(request, self._watch)
        upstream = Upstream(self._core, request, slot)
        self._upstream = upstream
        headers = _headers.to_backend(self._environ, self._key)
        headers.append(('Paddle-Request-Id', request.id))
        tier = request.request_class.tier
        try:
            answer = upstream.open(
                self._body.for_engine(tier), headers, self._watch
            )
        except OSError:
            raise self._failure() from None
        if answer.get_code() != 200:
            raise self._engine_error(answer)
        return answer

    def whole(self):
        """Return the complete answer of a request without streaming.

        :raises Refusal: if the engine breaks off.
        """
        answer = self._upstream.answer
        try:
            data = answer.read_all(ANSWER_BYTES)
        except OSError:
            raise self._failure() from None
        self.request.advance(State.FINISHED)
        self._usage = _usage_of(data, is_event=False)
        return data

    def end_with(self, refusal):
        """End a running stream with an error event."""
        self._ending = refusal
        if self._upstream is not None and self._upstream.conn is not None:
            self._upstream.conn.cancel()

    def __iter__(self):
        return self

    def __next__(self):
        while self._upstream is not None:
            try:
                data = self._upstream.answer.read_some()
            except OSError:
                return self._broken_event()
            if not data:
                if self._saw_done:
                    self._finish()
                    break
                return self._broken_event()
            events = self._splitter.feed(data)
            if events:
                return self._pass_on(events)
        raise StopIteration

    def fail(self, exc):
        """End after ``exc``, which becomes the answer to the caller."""
        if not self.request.ended:
            refused = isinstance(exc, _errors.Refusal) and (
                exc.outcome == _errors.NOT_RUN
            )
            self.request.advance(State.REFUSED if refused else State.BROKEN)
        self.close()

    def close(self):
        """End the exchange; called by the server in every case."""
        self._watch.stop()
        if self not in self._core.active:
            return
        self._core.active.discard(self)
        if not self.request.ended:
            self.request.advance(State.CANCELLED)
        self._core.account.ended(self.request, self._usage)
        self._drop_upstream(reusable=self.request.state is State.FINISHED)

    def _pass_on(self, events):
        request = self.request
        if request.state is State.SENT:
            request.advance(State.STREAMING)
            self._upstream.conn.set_timeout(self._core.bounds.idle_ms)
        count = 0
        for event in events:
            if _CONTENT.search(event):
                count += 1
            elif _sse.DONE in event and _sse.payload(event) == _sse.DONE:
                self._saw_done = True
            if _USAGE.search(event):
                self._usage = _usage_of(event) or self._usage
        if count:
            self._core.account.chunk(request, count)
        return events[0] if len(events) == 1 else b''.join(events)

    def _finish(self):
        self.request.advance(State.FINISHED)
        self._drop_upstream(reusable=True)

    def _broken_event(self):
        if self._watch.gone:
            self.request.advance(State.CANCELLED)
            self._drop_upstream()
            raise StopIteration
        self.request.advance(State.BROKEN)
        self._drop_upstream()
        refusal = self._ending or _errors.broken_answer(
            'stream_broken', 'the engine broke off the stream'
        )
        return refusal.event()

    def _drop_upstream(self, *, reusable=False):
        if self._upstream is not None:
            self._upstream.close(reusable=reusable)
            self._upstream = None

    def _failure(self):
        was_sent = self.request.was_sent
        if not was_sent:
            return _errors.unavailable(
                'engine_unreachable', 'the engine cannot be reached'
            )
        return _errors.broken_answer(
            'engine_failed', 'the engine broke off before its answer'
        )

    def _engine_error(self, answer):
        status = answer.get_code()
        return _errors.broken_answer(
            'engine_error', f'the engine answered with status {status}'
        )


def _usage_of(data, *, is_event=True):
    """Return the usage object of an event or body, or ``None``."""
    try:
        document = json.loads(_sse.payload(data) if is_event else data)
        usage = document['usage']
    except (KeyError, TypeError, ValueError):
        return None
    return usage if isinstance(usage, dict) else None
