"""Forwarding of server-sent events from a backend server to the caller."""

import gevent

import paddle_kernel
from paddle_kernel import MS_PER_S
from paddle_router import _sse
from paddle_router.gateway import _http1
from paddle_router.gateway import _response_limits

ID_FIELD = b'id:'
DATA_FIELD = b'data:'
# Received bytes are processed in steps, between which other requests may run.
MAX_STEP_BYTES = 4_096
# Names of the fields of server-sent events; a comment has an empty name.
FIELD_NAMES = frozenset({b'', b'data', b'event', b'id', b'retry'})


def stream_format(head):
    """Return status code, media type and encoding of a response head."""
    content_type = _http1.get(head.headers, b'content-type') or b''
    encoding = _http1.get(head.headers, b'content-encoding')
    media_type = content_type.partition(b';')[0].strip().lower()
    return head.status_code, media_type, encoding


def continues(call, head):
    """Return whether a response may continue the started stream."""
    return call.stream_format == stream_format(head)


def check_unframed_end(components, conn, call):
    """Check that the end of ``conn`` can be that of the response to ``call``.

    :raises BrokenResponseError: if a response without a length or chunks ends
        where its server stops work for ``call``, or stops altogether.
    """
    if not conn.is_unframed:
        return
    margin_ms = _response_limits.DEADLINE_MARGIN_MS
    if components.clock.now_ms() >= call.end_ms - margin_ms:
        raise _http1.BrokenResponseError('closed at the time limit')
    if components.moves.has_stopped(call.server_id):
        raise _http1.BrokenResponseError('closed as the server stops')


class StreamRelay:
    """Forwards the events of one response, each as soon as it is complete.

    ``stream`` is the :class:`RunningStream`, which may be moved meanwhile.
    """

    def __init__(self, components, stream, conn, caller, head):
        self._components = components
        self._clock = components.clock
        self._call = stream.call
        self._flight = stream.flight
        self._stream = stream
        self._conn = conn
        self._caller = caller
        self._head = head
        self._is_resumed = self._call.response_started
        self._last_event_ms = self._clock.now_ms()
        self._has_begun = False
        # Bytes received since the last event with content.
        self._idle_bytes = 0

    def run(self):
        """Forward the complete response.

        :raises BrokenResponseError: if it ends early or contains no event for
            too long.
        """
        splitter = _sse.EventSplitter()
        try:
            self._forward_body(splitter)
        finally:
            self._caller.hold(0)
        if self._is_resumed and splitter.remainder.strip():
            raise _http1.BrokenResponseError('resumed stream ends in an event')
        self._check_copied_events()
        if self._conn.is_unframed:
            self._check_unframed_end(splitter.remainder)
        if splitter.remainder or not self._call.response_started:
            self._forward_events([splitter.remainder])
        self._caller.end()

    def _forward_body(self, splitter):
        """Forward the complete events of the response."""
        while (data := self._read_with_timeout()) is not None:
            for start in range(0, len(data), MAX_STEP_BYTES):
                if start:
                    paddle_kernel.yield_if_due()
                # No variable keeps the events while the next read waits.
                self._forward_events(
                    splitter.feed(data[start : start + MAX_STEP_BYTES])
                )
            self._check_idle_bytes(len(data))
            self._caller.hold(splitter.remainder_size)
            if splitter.remainder_size > _response_limits.MAX_EVENT_BYTES:
                raise _http1.BrokenResponseError('event too long')

    def _check_copied_events(self):
        """Check that a run that was moved has brought what it had made.

        Where the caller takes a stream up, the count may include events that
        it has from an earlier response.

        :raises BrokenResponseError: if events are missing at the end.
        """
        call = self._call
        if call.continuation is None or call.metadata.last_event_id:
            return
        events = call.forwarded_events + self._stream.events
        if events < call.continuation.events:
            raise _http1.BrokenResponseError(
                f'ends after {events} of at least'
                f' {call.continuation.events} events'
            )

    def _check_unframed_end(self, remainder):
        """Check that a body without a length or chunks is complete.

        The end of the connection is also what a crash of the server leaves,
        or a run that was stopped for a move.

        :raises BrokenResponseError: if it ends inside an event, has none, or
            the server may have stopped the run.
        """
        if remainder.strip():
            raise _http1.BrokenResponseError('closed inside an event')
        if not self._flight.started:
            raise _http1.BrokenResponseError('closed before an event')
        if self._stream.may_have_stopped():
            raise _http1.BrokenResponseError('closed after a move')
        check_unframed_end(self._components, self._conn, self._call)

    def _read_with_timeout(self):
        """Return the next bytes, ``None`` at the end of the response.

        While the caller's part is full, the server is not read from, which
        does not count as its pause.
        """
        full_ms = self._clock.now_ms()
        self._caller.wait_for_room()
        self._last_event_ms += self._clock.now_ms() - full_ms
        silence_error = _http1.BrokenResponseError('no event in time')
        left_s = max(0, self._pause_left_ms()) / MS_PER_S
        with gevent.Timeout(left_s, silence_error):
            return self._conn.read_data()

    def _pause_left_ms(self):
        """Return the time until the pause since the last event is too long."""
        call = self._call
        limit_ms = _response_limits.pause_limit_ms(call.route)
        if call.can_resume and call.attempts < call.route.attempts:
            limit_ms = _response_limits.resume_pause_limit_ms(call.route)
        return self._last_event_ms + limit_ms - self._clock.now_ms()

    def _check_idle_bytes(self, size):
        """Check that ``size`` more bytes do not only keep the stream alive.

        Reading never waits, so never times out, if bytes arrive faster than
        they are read. After a pause of this process, on the other hand, events
        may follow some bytes that were received meanwhile.

        :raises BrokenResponseError: if there were many without an event.
        """
        self._idle_bytes += size
        if (
            self._idle_bytes > _response_limits.MAX_IDLE_BYTES
            and self._pause_left_ms() <= 0
        ):
            raise _http1.BrokenResponseError('bytes without an event')

    def _check_resumed(self, events):
        """Check that ``events`` continue what the caller has.

        :raises BrokenResponseError: if an event is repeated or is none.
        """
        last_id = self._call.last_event_id
        for event in events:
            event_id = _find_last_event_id([event])
            if event_id is not None:
                if not _follows(event_id, last_id):
                    raise _http1.BrokenResponseError(
                        'the resumed stream repeats events'
                    )
                last_id = event_id
            elif not _is_event(event):
                raise _http1.BrokenResponseError(
                    'the resumed stream contains other text'
                )

    def _forward_events(self, events):
        if not events:
            return
        call = self._call
        if self._is_resumed:
            self._check_resumed(events)
        now_ms = self._clock.now_ms()
        self._record_response()
        if any(_has_content(event) for event in events):
            self._last_event_ms = now_ms
            self._idle_bytes = 0
            call.has_data = True
            if not self._has_begun:
                self._has_begun = True
                self._record_first_content()
        call.record_events(now_ms)
        self._record_progress(len(events), now_ms)
        if not call.response_started:
            self._record_begun()
            call.mark_response_started(self._head.status_code)
            call.stream_format = stream_format(self._head)
            self._caller.begin(
                self._head.status_code,
                self._components.dialect.response_headers(
                    self._head.headers.raw_items()
                ),
            )
        self._caller.data(b''.join(events))
        last_event_id = _find_last_event_id(events)
        if last_event_id is not None:
            call.last_event_id = last_event_id
            call.has_event_id = True

    def _record_response(self):
        self._components.record_response(self._call)

    def _record_first_content(self):
        self._components.request_crashes.record_begun(self._call)

    def _record_progress(self, count, now_ms):
        """Record ``count`` more events of the server."""
        call = self._call
        self._stream.record_events(count, now_ms - self._flight.last_ms)
        self._components.moves.move_if_needed(self._stream)
        self._components.balancers[call.service].observe(
            self._flight, now_ms, self._stream.events
        )
        self._components.waiting.wake_next(call.service)
        call.software_version = self._stream.server.software_version

    def _record_begun(self):
        self._components.origins.record_begun(self._call)


def _has_content(event):
    """Return whether an event is more than a keep-alive comment."""
    return event.startswith((ID_FIELD, DATA_FIELD)) or any(
        line.startswith((ID_FIELD, DATA_FIELD)) for line in event.splitlines()
    )


def _is_event(text):
    """Return whether ``text`` has a field, a comment or only empty lines."""
    lines = text.splitlines()
    return not any(lines) or any(
        line.partition(b':')[0] in FIELD_NAMES for line in lines if line
    )


def _follows(event_id, last_id):
    """Return whether an event id may come after ``last_id``.

    Ids increase; those that are not numbers can only be told apart.
    """
    if last_id is None:
        return True
    if event_id.isdigit() and last_id.isdigit():
        return _numeric_key(event_id) > _numeric_key(last_id)
    return event_id != last_id


def _numeric_key(digits):
    """Return a sort key for decimal numbers of any length."""
    significant = digits.lstrip(b'0')
    return len(significant), significant


def _find_last_event_id(events):
    """Return the id of the newest event that has one, or ``None``."""
    for event in reversed(events):
        for line in event.splitlines():
            if line.startswith(ID_FIELD):
                return line[len(ID_FIELD) :].strip()
    return None
