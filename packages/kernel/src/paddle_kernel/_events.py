"""Numbered log events.

Each package declares its events once. ``docs/events.md`` is generated from the
declarations, and a test compares the two.
"""

import collections
import functools
import json
import os
import select
import sys

import attrs
import gevent
import gevent.event
import loguru

_declared = {}

# Bound of the log volume: a gateway writes 3 lines per request and serves at
# most a few hundred requests per second. The buffer holds two seconds of lines
# at that rate.
MAX_LINES_PER_S = 1_500
MAX_BUFFERED_LINES = 3_000
FLUSH_PERIOD_MS = 50

LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


@attrs.frozen
class Event:
    """A kind of log record: its number, level and text."""

    number: int
    level: str
    text: str


def declare(number, level, text):
    """Declare an event; each number can be declared only once.

    :raises ValueError: on a repeated number or an unknown level.
    """
    if number in _declared:
        raise ValueError(f'event {number} is declared twice')
    if level not in LEVELS:
        raise ValueError(f'event {number} has unknown level {level!r}')
    event = Event(number, level, text)
    _declared[number] = event
    return event


DROPPED = declare(
    1000, 'WARNING', 'log lines were dropped to limit the log volume'
)
SETTINGS_UNREADABLE = declare(
    1001, 'ERROR', 'changed settings are invalid; the old ones stay in effect'
)
FRAME_REFUSED = declare(
    1002, 'WARNING', 'a malformed message closed the connection to a peer'
)
HANDLER_FAILED = declare(
    1003, 'ERROR', 'a message from a peer could not be handled'
)
MESSAGE_UNENCODABLE = declare(
    1005, 'ERROR', 'a message cannot be encoded and is not sent'
)

CALL_FAILED = declare(
    1006, 'ERROR', 'a call to a peer failed with an internal error'
)

SIGNAL_RECEIVED = declare(1004, 'INFO', 'the process received a signal')


def declared():
    """Return all declared events ordered by number."""
    return [_declared[number] for number in sorted(_declared)]


def emit(event, **fields):
    """Log one record of ``event`` with structured ``fields``."""
    bound = loguru.logger.bind(event=event.number, fields=fields)
    # loguru would take braces in the text for format fields.
    bound.opt(depth=1).log(event.level, '{}', event.text)


def _json_line(record):
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'event': record['extra'].get('event'),
        'text': record['message'],
        **record['extra'].get('fields', {}),
    }
    return json.dumps(line, default=str) + '\n'


def _text_line(record):
    fields = record['extra'].get('fields', {})
    pairs = ' '.join(f'{name}={value}' for name, value in fields.items())
    number = record['extra'].get('event', '-')
    return (
        f'{record["time"].isoformat()} {record["level"].name} '
        f'E{number} {record["message"]} {pairs}\n'
    )


class _BoundedWriter:
    """Writes lines from a greenlet, at most ``MAX_LINES_PER_S`` per second.

    Neither callers nor the process ever block on the stream: a pipe whose
    reader stalls is not written to until it has room. Lines that do not fit
    into the buffer are counted, and the count is written in their place.
    """

    def __init__(self, stream):
        self._write = _open_writer(stream)
        self._lines = collections.deque()
        self._unwritten = b''
        self._dropped = 0
        self._wakeup = gevent.event.Event()
        gevent.spawn(self._run)

    def put(self, line):
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._dropped += 1
            return
        self._lines.append(line)
        self._wakeup.set()

    def flush(self):
        """Write the buffered lines as far as this is possible at once."""
        while self._unwritten or self._lines or self._dropped:
            if not self._unwritten:
                self._unwritten = self._next_lines(len(self._lines))
            size_before = len(self._unwritten)
            self._unwritten = self._write(self._unwritten)
            if len(self._unwritten) == size_before:
                return

    def _run(self):
        per_round = MAX_LINES_PER_S * FLUSH_PERIOD_MS // 1_000
        while True:
            self._wakeup.wait()
            self._wakeup.clear()
            gevent.sleep(FLUSH_PERIOD_MS / 1_000)
            if not self._unwritten:
                self._unwritten = self._next_lines(per_round)
            self._unwritten = self._write(self._unwritten)
            if self._unwritten or self._lines:
                self._wakeup.set()

    def _next_lines(self, max_lines):
        count = min(max_lines, len(self._lines))
        lines = [self._lines.popleft() for _ in range(count)]
        if self._dropped:
            lines.append(_dropped_line(self._dropped))
            self._dropped = 0
        # Text style writes fields as they are, also lone surrogates.
        return ''.join(lines).encode(errors='backslashreplace')


def _dropped_line(count):
    line = {
        'event': DROPPED.number,
        'level': DROPPED.level,
        'text': DROPPED.text,
        'count': count,
    }
    return json.dumps(line) + '\n'


def _open_writer(stream):
    """Return a function that writes bytes and returns the unwritten rest."""
    try:
        descriptor = stream.fileno()
    except OSError:
        # A stream without a descriptor, such as StringIO, takes all bytes.
        return functools.partial(_write_to_memory, stream)
    stream.flush()
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return functools.partial(_write_with_room, descriptor, poll)


def _write_to_memory(stream, data):
    stream.write(data.decode())
    return b''


def _write_with_room(descriptor, poll, data):
    # A pipe that is reported as writable takes PIPE_BUF bytes at once. The
    # descriptor stays in blocking mode, since others may share it.
    try:
        while data and poll.poll(0):
            written = os.write(descriptor, data[: select.PIPE_BUF])
            data = data[written:]
    except OSError:
        # The reader has closed the pipe, so there is no place left to report
        # the error.
        return b''
    return data


def configure(*, style='text', level='INFO', stream=None, bounded=False):
    """Send log records to ``stream`` (stderr) as ``text`` or ``json``.

    With ``bounded`` the rate of lines is limited and no caller waits for the
    stream. Returns a function that writes the buffered lines as far as this
    is possible at once; call it before the process ends.
    """
    stream = stream or sys.stderr
    line = _json_line if style == 'json' else _text_line
    if bounded:
        writer = _BoundedWriter(stream)
        put, flush = writer.put, writer.flush
    else:
        flush = stream.flush

        def put(text):
            stream.write(text)
            stream.flush()

    loguru.logger.remove()
    loguru.logger.add(
        lambda message: put(line(message.record)),
        level=level,
        format='{message}',
    )
    return flush
