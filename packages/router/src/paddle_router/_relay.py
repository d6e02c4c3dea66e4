"""Relaying one chat request to engines and the answer back.

An attempt that fails before a byte reached the caller is repeated elsewhere,
a stream that breaks off later is resumed where an engine supports it, both
within the retry budget.
"""

import json
import re

import paddle_kernel
from paddle_router import _errors
from paddle_router import _events
from paddle_router import _headers
from paddle_router import _request
from paddle_router import _sse
from paddle_router import _upstream
from paddle_router import policy

ANSWER_BYTES = 64 * 1024 * 1024
OK = 200
# An engine that answers so did not refuse the request itself.
REPEATABLE_STATUS = frozenset({429, 500, 502, 503, 504})
# These would tell the caller that its own key is wrong.
CREDENTIAL_STATUS = frozenset({401, 403, 407})
ERROR_BYTES = 64 * 1024
MESSAGE_CHARS = 500
# The policies hear of a stream's progress at its first chunk and then at
# every so many chunks, which is as fine as the balancer judges engines.
REPORT_EVERY = 16
# Attempts of one request, whether or not they reached an engine.
MAX_ATTEMPTS = 4
State = _request.State
Action = policy.Action

# Quotes within text are escaped, so these match JSON fields only.
_CONTENT = re.compile(rb'"(?:content|reasoning_content|arguments)":\s*"(?!")')
USAGE = b'"usage"'


class ChatRelay:
    """Carries one chat request; iterating yields the stream's bytes."""

    def __init__(self, core, request, body, environ, key, watch):
        self._core = core
        self._body = body.for_engine(request.request_class.tier)
        self._headers = _headers.to_backend(environ, key)
        self._headers.append(('Paddle-Request-Id', request.id))
        self._watch = watch
        self._upstream = None
        self._splitter = _sse.EventSplitter()
        self._ending = None
        self._saw_done = False
        self._events_out = 0
        self._next_report = 1
        self._attempts = 0
        # Progress as the silence check saw it last; see check_silence.
        self._reads = 0
        self._checked = (0, 0)
        self._cut = False
        self._avoid = frozenset()
        self._usage = None
        self._usage_event = None
        self.request = request
        core.active.add(self)

    def start(self):
        """Obtain the head of an engine's answer.

        :raises Refusal: if there is none.
        """
        self._core.retry_budget.record_request()
        return self._attempt()

    def whole(self):
        """Return the complete answer of a request without streaming.

        :raises Refusal: if no engine completes it.
        """
        while True:
            try:
                data = self._upstream.answer.read_all(ANSWER_BYTES)
            except OSError:
                self._after_failure()
                self._attempt()
                continue
            self.request.advance(State.FINISHED)
            self._usage = _usage_of(data, is_event=False)
            return data

    def end_with(self, refusal):
        """End a running stream with an error event."""
        self._ending = refusal
        if self._upstream is not None:
            self._upstream.cancel()

    def check_silence(self, now_ms):
        """Cut an engine that was silent for too long.

        Called periodically for all requests in progress: a timer for each
        receive would cost more than the receive itself.
        """
        upstream = self._upstream
        if upstream is None or upstream.conn is None:
            return
        progress, since_ms = self._checked
        state = (self._reads, self._attempts)
        if progress != state:
            self._checked = (state, now_ms)
            self._cut = False
            return
        bounds = self._core.bounds
        started = self.request.state is State.STREAMING
        limit_ms = bounds.idle_ms if started else bounds.first_byte_ms
        if now_ms - since_ms <= limit_ms:
            return
        if self._cut:
            # Cutting the engine had no effect, so this waits for the caller,
            # who does not read and must not hold a slot for ever.
            self._watch.cut()
        self._cut = True
        upstream.cancel()

    def __iter__(self):
        return self

    def __next__(self):
        while self._upstream is not None:
            try:
                data = self._upstream.answer.read_some()
            except OSError:
                data = b''
            self._reads += 1
            if data:
                events = self._splitter.feed(data)
                if events:
                    return self._pass_on(events)
            elif self._saw_done:
                self._finish()
            else:
                event = self._recover()
                if event is not None:
                    return event
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
        finished = self.request.state is State.FINISHED
        self._drop_upstream(reusable=finished)
        if self._usage_event is not None:
            self._usage = _usage_of(self._usage_event)
        self._core.account.ended(self.request, self._usage)

    # Attempts

    def _attempt(self):
        """Return the head of an answer, trying several engines."""
        while True:
            self._open_slot()
            try:
                answer = self._send()
            except OSError:
                self._after_failure()
                continue
            status = answer.get_code()
            if status == OK:
                return answer
            if status not in REPEATABLE_STATUS:
                raise _engine_refusal(answer)
            self._after_failure()

    def _open_slot(self):
        request = self.request
        request.advance(State.QUEUED)
        self._attempts += 1
        slot = self._core.dispatcher.acquire(
            request,
            self._watch,
            avoid=self._avoid,
            resumed=self._events_out > 0,
        )
        self._upstream = _upstream.Upstream(self._core, request, slot)
        # The key may have been revoked while the request waited.
        self._core.admission.recheck(request)

    def _send(self):
        headers = self._headers
        if self._events_out:
            resume = ('Paddle-Resume-From', str(self.request.chunks))
            headers = [*headers, resume]
        request = self.request
        request.sent_ms = self._core.clock.now_ms()
        return self._upstream.open(self._body, headers, self._watch)

    def _after_failure(self):
        """Prepare another attempt.

        :raises Refusal: if there is none.
        """
        upstream = self._upstream
        was_ejected = upstream.ejected
        self._avoid |= {upstream.instance.id}
        self._drop_upstream(ok=self._watch.gone or was_ejected)
        action = self._decide(upstream.was_sent)
        if action in (Action.RETRY, Action.RESUME):
            self._core.account.retried(action.value)
            self._splitter = _sse.EventSplitter()
            return
        raise self._refusal_for(action)

    def _decide(self, was_sent):
        request = self.request
        if not was_sent and self._may_reconnect():
            # Nothing reached the engine, so another attempt adds no work.
            return Action.RESUME if self._events_out else Action.RETRY
        now_ms = self._core.clock.now_ms()
        attempt = policy.Attempt(
            idempotent=True,
            was_sent=request.was_sent,
            events_delivered=self._events_out,
            engine_can_resume=self._core.dispatcher.can_resume(request.model),
            attempts=self._attempts,
            caller_present=not self._watch.gone and self._ending is None,
            is_late=not self._events_out and now_ms >= request.deadline_ms,
        )
        return policy.decide_retry(attempt, self._core.retry_budget, now_ms)

    def _may_reconnect(self):
        present = not self._watch.gone and self._ending is None
        return present and self._attempts < MAX_ATTEMPTS

    def _refusal_for(self, action):
        if self._ending is not None:
            return self._ending
        if action is Action.DROP:
            return _errors.Refusal(
                499,
                'caller_gone',
                'the caller closed the connection',
                outcome=self.request.outcome,
            )
        if action is Action.REFUSE_NOT_RUN:
            return _errors.unavailable(
                'engine_unreachable', 'no engine can be reached'
            )
        if action is Action.ERROR_EVENT:
            paddle_kernel.emit(_events.STREAM_BROKEN, id=self.request.id)
            return _errors.broken_answer(
                'stream_broken', 'the engine broke off the stream'
            )
        return _errors.broken_answer(
            'engine_failed', 'no engine completed the request'
        )

    # Streaming

    def _recover(self):
        """Go on after a broken stream; return an event if that fails."""
        try:
            self._after_failure()
            self._attempt()
        except _errors.Refusal as refusal:
            self._drop_upstream()
            gone = self._watch.gone
            self.request.advance(State.CANCELLED if gone else State.BROKEN)
            return None if gone else self._last_event(refusal)
        return None

    def _last_event(self, refusal):
        if self._events_out or refusal.outcome != _errors.NOT_RUN:
            # The answer has begun, so the request has run in part.
            refusal.outcome = _errors.UNKNOWN
        return refusal.event()

    def _pass_on(self, events):
        request = self.request
        if request.state is State.SENT:
            request.advance(State.STREAMING)
        count = 0
        for event in events:
            if _CONTENT.search(event):
                count += 1
            elif _sse.DONE in event and _sse.payload(event) == _sse.DONE:
                self._saw_done = True
            if USAGE in event:
                # Parsed once at the end: some engines repeat it in each
                # chunk.
                self._usage_event = event
        if count:
            self._core.account.chunk(request, count)
            if request.chunks >= self._next_report:
                self._next_report = request.chunks + REPORT_EVERY
                self._upstream.progress(request.chunks)
        self._events_out += len(events)
        return events[0] if len(events) == 1 else b''.join(events)

    def _finish(self):
        self.request.advance(State.FINISHED)
        self._drop_upstream(reusable=True)

    def _drop_upstream(self, *, ok=True, reusable=False):
        if self._upstream is not None:
            self._upstream.close(
                ok=ok, tokens=self.request.chunks, reusable=reusable
            )
            self._upstream = None


def _engine_refusal(answer):
    """Return the final answer for an engine's error.

    A client error of the engine is the answer to this request, for example
    that the prompt is too long; its message is passed on, bounded.
    """
    status = answer.get_code()
    text = f'the engine answered with status {status}'
    try:
        error = json.loads(answer.read_all(ERROR_BYTES))['error']
        text = str(error['message'])[:MESSAGE_CHARS]
    except (OSError, KeyError, TypeError, ValueError):
        # Another form of error is described by its status only.
        pass
    is_final = 400 <= status < 500 and status not in CREDENTIAL_STATUS
    if is_final:
        return _errors.Refusal(
            status, 'engine_refused', text, outcome=_errors.DONE
        )
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
