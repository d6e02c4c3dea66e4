"""Relay of one chat request to an engine, and of the response to the caller.

An attempt that fails before the caller has received any bytes is retried on
another engine. A stream that breaks off later is resumed if an engine supports
it. Both are limited by the retry budget.
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

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# A longer event is none: the engine sends something else.
MAX_EVENT_BYTES = 1024 * 1024
OK = 200
# These report a fault or overload of the engine, not of the request.
RETRYABLE_STATUSES = frozenset({429, 500, 502, 503, 504})
# Passed on, these would tell the caller that its own key is invalid.
CREDENTIAL_STATUSES = frozenset({401, 403, 407})
MAX_ERROR_BYTES = 64 * 1024
MAX_MESSAGE_CHARS = 500
# The policies get a stream's progress at its first chunk and then at this
# interval; the balancer does not evaluate engines at a finer grain.
PROGRESS_INTERVAL_CHUNKS = 16
# Per request, whether or not an attempt reached an engine.
MAX_ATTEMPTS = 4
State = _request.State
Action = policy.Action

# Quotes within JSON strings are escaped, so these match field names only.
_CONTENT = re.compile(rb'"(?:content|reasoning_content|arguments)":\s*"(?!")')
USAGE = b'"usage"'


class ChatRelay:
    """Relays one chat request; iterating yields the bytes of the stream."""

    def __init__(self, core, request, body, environ, key, watch):
        self._core = core
        self._body = body.for_engine(request.request_class.tier)
        self._headers = _headers.headers_for_backend(environ, key)
        self._headers.append(('Paddle-Request-Id', request.id))
        self._watch = watch
        self._upstream = None
        self._splitter = _sse.EventSplitter()
        self._end_refusal = None
        self._has_done_event = False
        self._events_sent = 0
        self._next_report_chunks = 1
        self._attempts = 0
        # State and time of the last progress that check_idle_timeout() has
        # seen.
        self._read_count = 0
        self._last_progress = (0, 0)
        self._is_upstream_cancelled = False
        self._avoid_engines = frozenset()
        self._usage = None
        self._usage_event = None
        self.request = request
        core.active.add(self)

    def start(self):
        """Send the request and return the response once it has its headers.

        :raises Refusal: if no engine responds.
        """
        self._core.retry_budget.record_request()
        return self._attempt()

    def read_response(self):
        """Return the complete body of a response that is not streamed.

        :raises Refusal: if no engine completes it.
        """
        while True:
            try:
                data = self._upstream.response.read_all(MAX_RESPONSE_BYTES)
            except OSError:
                self._prepare_retry()
                self._attempt()
                continue
            self.request.advance(State.FINISHED)
            self._usage = _parse_usage(data, is_event=False)
            return data

    def end_with_error(self, refusal):
        """End a running stream with an error event."""
        self._end_refusal = refusal
        if self._upstream is not None:
            self._upstream.cancel()

    def check_idle_timeout(self, now_ms):
        """Cancel the attempt if the engine was silent for too long.

        Called periodically for all requests in progress, because a timer for
        each receive would cost more than the receive itself.
        """
        upstream = self._upstream
        if upstream is None or upstream.conn is None:
            return
        last_state, since_ms = self._last_progress
        state = (self._read_count, self._attempts)
        if last_state != state:
            self._last_progress = (state, now_ms)
            self._is_upstream_cancelled = False
            return
        bounds = self._core.bounds
        is_streaming = self.request.state is State.STREAMING
        limit_ms = bounds.idle_ms if is_streaming else bounds.first_byte_ms
        if now_ms - since_ms <= limit_ms:
            return
        if self._is_upstream_cancelled:
            # Cancelling the attempt had no effect, so the relay is blocked
            # on a caller that does not read. It must not hold a slot forever.
            self._watch.abort()
        self._is_upstream_cancelled = True
        upstream.cancel()

    def __iter__(self):
        return self

    def __next__(self):
        while self._upstream is not None:
            try:
                data = self._upstream.response.read_some()
            except OSError:
                data = b''
            self._read_count += 1
            if data and self._splitter.remainder_size <= MAX_EVENT_BYTES:
                events = self._splitter.feed(data)
                if events:
                    return self._forward(events)
            elif self._has_done_event:
                self._finish()
            else:
                event = self._resume_or_fail()
                if event is not None:
                    return event
        raise StopIteration

    def fail(self, exc):
        """End the request after ``exc``, which the caller gets as an error."""
        if not self.request.is_ended:
            is_refused = isinstance(exc, _errors.Refusal) and (
                exc.outcome == _errors.NOT_RUN
            )
            self.request.advance(State.REFUSED if is_refused else State.BROKEN)
        self.close()

    def close(self):
        """Release all resources; the server calls this in every case."""
        self._watch.stop()
        if self not in self._core.active:
            return
        self._core.active.discard(self)
        if not self.request.is_ended:
            self.request.advance(State.CANCELLED)
        self._close_upstream()
        if self._usage_event is not None:
            self._usage = _parse_usage(self._usage_event)
        self._core.account.record_end(self.request, self._usage)

    # Attempts

    def _attempt(self):
        """Return the response of the first engine that accepts the request."""
        while True:
            self._acquire_slot()
            try:
                response = self._send()
            except OSError:
                self._prepare_retry()
                continue
            status = response.get_code()
            if status == OK:
                return response
            if status not in RETRYABLE_STATUSES:
                raise _engine_refusal(response)
            self._prepare_retry()

    def _acquire_slot(self):
        request = self.request
        request.advance(State.QUEUED)
        self._attempts += 1
        slot = self._core.dispatcher.acquire(
            request,
            self._watch,
            avoid=self._avoid_engines,
            resumed=self._events_sent > 0,
        )
        self._upstream = _upstream.Upstream(self._core, request, slot)
        # The key may have been revoked while the request was queued.
        self._core.admission.recheck(request)

    def _send(self):
        headers = self._headers
        if self._events_sent:
            resume_header = ('Paddle-Resume-From', str(self.request.chunks))
            headers = [*headers, resume_header]
        request = self.request
        request.sent_ms = self._core.clock.now_ms()
        return self._upstream.open(self._body, headers, self._watch)

    def _prepare_retry(self):
        """Prepare another attempt after a failure.

        :raises Refusal: if no further attempt is allowed.
        """
        upstream = self._upstream
        was_ejected = upstream.ejected
        self._avoid_engines |= {upstream.instance.id}
        self._close_upstream(ok=self._watch.is_disconnected or was_ejected)
        action = self._decide_retry(upstream.was_sent)
        if action in (Action.RETRY, Action.RESUME):
            self._core.account.record_retry(action.value)
            self._splitter = _sse.EventSplitter()
            return
        raise self._refusal_for(action)

    def _decide_retry(self, was_sent):
        request = self.request
        if not was_sent and self._may_reconnect():
            # Nothing reached the engine, so another attempt adds no work.
            return Action.RESUME if self._events_sent else Action.RETRY
        now_ms = self._core.clock.now_ms()
        attempt = policy.Attempt(
            idempotent=True,
            was_sent=request.was_sent,
            events_delivered=self._events_sent,
            engine_can_resume=self._core.dispatcher.can_resume(request.model),
            attempts=self._attempts,
            caller_present=not self._watch.is_disconnected
            and self._end_refusal is None,
            is_late=not self._events_sent and now_ms >= request.deadline_ms,
        )
        return policy.decide_retry(attempt, self._core.retry_budget, now_ms)

    def _may_reconnect(self):
        is_caller_present = (
            not self._watch.is_disconnected and self._end_refusal is None
        )
        return is_caller_present and self._attempts < MAX_ATTEMPTS

    def _refusal_for(self, action):
        if self._end_refusal is not None:
            return self._end_refusal
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
            return _errors.bad_gateway(
                'stream_broken', 'the engine broke off the stream'
            )
        return _errors.bad_gateway(
            'engine_failed', 'no engine completed the request'
        )

    # Streaming

    def _resume_or_fail(self):
        """Resume a broken stream; return an error event if that fails.

        Return ``None`` if it was resumed or the caller disconnected.
        """
        try:
            self._prepare_retry()
            self._attempt()
        except _errors.Refusal as refusal:
            self._close_upstream()
            is_disconnected = self._watch.is_disconnected
            self.request.advance(
                State.CANCELLED if is_disconnected else State.BROKEN
            )
            return None if is_disconnected else self._error_event(refusal)
        return None

    def _error_event(self, refusal):
        if self._events_sent or refusal.outcome != _errors.NOT_RUN:
            # The response has begun, so the request has run in part.
            refusal.outcome = _errors.UNKNOWN
        return refusal.event()

    def _forward(self, events):
        request = self.request
        if request.state is State.SENT:
            request.advance(State.STREAMING)
        count = 0
        for event in events:
            if _CONTENT.search(event):
                count += 1
            elif _sse.DONE in event and _sse.payload(event) == _sse.DONE:
                self._has_done_event = True
            if USAGE in event:
                # Parsed only at the end, since some engines repeat it in each
                # chunk.
                self._usage_event = event
        if count:
            self._core.account.record_chunks(request, count)
            if request.chunks >= self._next_report_chunks:
                self._next_report_chunks = (
                    request.chunks + PROGRESS_INTERVAL_CHUNKS
                )
                self._upstream.record_progress(request.chunks)
        self._events_sent += len(events)
        return events[0] if len(events) == 1 else b''.join(events)

    def _finish(self):
        self.request.advance(State.FINISHED)
        self._close_upstream()

    def _close_upstream(self, *, ok=True):
        if self._upstream is not None:
            self._upstream.close(ok=ok, tokens=self.request.chunks)
            self._upstream = None


def _engine_refusal(response):
    """Return the refusal for an error status of an engine.

    A client error, for example that the prompt is too long, is final for this
    request. Its message is passed on, truncated to ``MAX_MESSAGE_CHARS``.
    """
    status = response.get_code()
    message = f'the engine responded with status {status}'
    try:
        error = json.loads(response.read_all(MAX_ERROR_BYTES))['error']
        message = str(error['message'])[:MAX_MESSAGE_CHARS]
        # An answer cannot contain lone surrogates.
        message = message.encode(errors='replace').decode()
    except (OSError, KeyError, RecursionError, TypeError, ValueError):
        # Errors in another form are described by their status only.
        pass
    is_request_error = (
        400 <= status < 500 and status not in CREDENTIAL_STATUSES
    )
    if is_request_error:
        return _errors.Refusal(
            status, 'engine_refused', message, outcome=_errors.DONE
        )
    return _errors.bad_gateway(
        'engine_error', f'the engine responded with status {status}'
    )


def _parse_usage(data, *, is_event=True):
    """Return the usage object in an event or body, or ``None``."""
    try:
        document = json.loads(_sse.payload(data) if is_event else data)
        usage = document['usage']
    except (KeyError, RecursionError, TypeError, ValueError):
        return None
    return usage if isinstance(usage, dict) else None
