"""Numbered log events.

Each package declares its events once; ``docs/events.md`` is the catalogue and
a test compares both.
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

# A gateway writes 3 lines a request and serves a few hundred requests a
# second at most; a burst waits in memory for two seconds of writing.
LINES_PER_S = 1_500
LINES_KEPT = 3_000
FLUSH_MS = 50

LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


@attrs.frozen
class Event:
    """A kind of log record: its number, level and text."""

    number: int
    level: str
    text: str


def declare(number, level, text):
    """Declare an event; a number can be used once.

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
    1000, 'WARNING', 'log lines were dropped to bound their volume'
)
SETTINGS_UNREADABLE = declare(
    1001, 'ERROR', 'changed settings cannot be used; the old ones stay'
)
FRAME_REFUSED = declare(
    1002, 'WARNING', 'a connection to a peer ended on a malformed message'
)
HANDLER_FAILED = declare(
    1003, 'ERROR', 'a message of a peer could not be handled'
)

SIGNAL_RECEIVED = declare(1004, 'INFO', 'the process received a signal')


def declared():
    """Return all declared events ordered by number."""
    return [_declared[number] for number in sorted(_declared)]


def emit(event, **fields):
    """Log one record of ``event`` with structured ``fields``."""
    bound = loguru.logger.bind(event=event.number, fields=fields)
    # Braces in the text would be read as format fields by loguru.
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
    """Writes lines from a greenlet, at most ``LINES_PER_S`` of them.

    Callers never wait for the stream, nor does the process: a pipe whose
    reader stalls is not written to until it has room. Lines beyond the bound
    are counted, and the count is written in their place.
    """

    def __init__(self, stream):
        self._output = _output_for(stream)
        self._lines = collections.deque()
        self._rest = b''
        self._dropped = 0
        self._wake = gevent.event.Event()
        gevent.spawn(self._run)

    def put(self, line):
        if len(self._lines) >= LINES_KEPT:
            self._dropped += 1
            return
        self._lines.append(line)
        self._wake.set()

    def flush(self):
        """Write what the stream takes at once."""
        while self._rest or self._lines or self._dropped:
            if not self._rest:
                self._rest = self._next_lines(len(self._lines))
            before = len(self._rest)
            self._rest = self._output(self._rest)
            if len(self._rest) == before:
                return

    def _run(self):
        per_round = LINES_PER_S * FLUSH_MS // 1_000
        while True:
            self._wake.wait()
            self._wake.clear()
            gevent.sleep(FLUSH_MS / 1_000)
            if not self._rest:
                self._rest = self._next_lines(per_round)
            self._rest = self._output(self._rest)
            if self._rest or self._lines:
                self._wake.set()

    def _next_lines(self, most):
        count = min(most, len(self._lines))
        lines = [self._lines.popleft() for _ in range(count)]
        if self._dropped:
            lines.append(_dropped_line(self._dropped))
            self._dropped = 0
        return ''.join(lines).encode()


def _dropped_line(count):
    line = {
        'event': DROPPED.number,
        'level': DROPPED.level,
        'text': DROPPED.text,
        'count': count,
    }
    return json.dumps(line) + '\n'


def _output_for(stream):
    """Return a function that writes bytes and returns those left over."""
    try:
        descriptor = stream.fileno()
    except OSError:
        # A stream in memory takes everything.
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
            sent = os.write(descriptor, data[: select.PIPE_BUF])
            data = data[sent:]
    except OSError:
        # The reader is gone, and with it the only place to report this.
        return b''
    return data


def configure(*, style='text', level='INFO', stream=None, bounded=False):
    """Send log records to ``stream`` (stderr) as ``text`` or ``json``.

    With ``bounded`` the volume is bounded and no caller waits for the
    stream. Returns a function that writes the lines still kept, as far as
    the stream takes them at once; to be called before the process ends.
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
