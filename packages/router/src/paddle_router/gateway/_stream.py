"""Events of a stream on their way from a server to the caller."""

import gevent

from paddle_kernel import MS_PER_S
from paddle_router import _sse
from paddle_router.gateway import _answer_limits
from paddle_router.gateway import _http1

ID_FIELD = b'id:'
DATA_FIELD = b'data:'


class StreamRelay:
    """Passes the events of one answer on, each as soon as it is whole.

    ``stream`` is the :class:`RunningStream` that may be moved meanwhile.
    """

    def __init__(self, parts, stream, conn, caller, head):
        self._parts = parts
        self._clock = parts.clock
        self._call = stream.call
        self._flight = stream.flight
        self._stream = stream
        self._conn = conn
        self._caller = caller
        self._head = head
        self._last_event_ms = self._clock.now_ms()

    def run(self):
        """Return once the whole answer has been passed on.

        :raises BrokenAnswerError: if it breaks off or brings no event for
            too long.
        """
        splitter = _sse.EventSplitter()
        while (data := self._read_in_time()) is not None:
            events = splitter.feed(data)
            if events:
                self._pass_on(events)
            if len(splitter.rest) > _answer_limits.EVENT_BYTES:
                raise _http1.BrokenAnswerError('an event without end')
        if splitter.rest or not self._call.answered:
            self._pass_on([splitter.rest])
        self._caller.end()

    def _read_in_time(self):
        """Return the next bytes, ``None`` at the end."""
        call = self._call
        wait_ms = _answer_limits.longest_pause_ms(call.route)
        if call.route.can_resume and call.attempts < call.route.attempts:
            wait_ms = _answer_limits.resumable_pause_ms(call.route)
        left_ms = self._last_event_ms + wait_ms - self._clock.now_ms()
        silent = _http1.BrokenAnswerError('silent stream')
        with gevent.Timeout(max(0, left_ms) / MS_PER_S, silent):
            return self._conn.read_data()

    def _pass_on(self, events):
        call = self._call
        now_ms = self._clock.now_ms()
        self._parts.note_begin(call)
        if any(_has_content(event) for event in events):
            self._last_event_ms = now_ms
        call.note_events(now_ms)
        self._stream.note(len(events), now_ms - self._flight.last_ms)
        self._parts.moves.consider(self._stream)
        self._parts.balancers[call.service].observe(
            self._flight, now_ms, self._stream.events
        )
        self._parts.waiting.poke(call.service)
        if not call.answered:
            call.note_answer(self._head.status_code)
            self._caller.begin(
                self._head.status_code,
                self._parts.dialect.answer_headers(
                    self._head.headers.raw_items()
                ),
            )
        self._caller.data(b''.join(events))
        found = _last_id(events)
        if found is not None:
            call.last_event_id = found


def _has_content(event):
    """Whether an event is more than comments that keep a connection open."""
    return event.startswith((ID_FIELD, DATA_FIELD)) or any(
        line.startswith((ID_FIELD, DATA_FIELD)) for line in event.splitlines()
    )


def _last_id(events):
    """Return the id of the newest event that has one, or ``None``."""
    for event in reversed(events):
        for line in event.splitlines():
            if line.startswith(ID_FIELD):
                return line[len(ID_FIELD) :].strip()
    return None
