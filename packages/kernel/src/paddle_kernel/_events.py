"""Numbered log events.

Each package declares its events once; ``docs/events.md`` is the catalogue and
a test compares both.
"""

import json
import sys

import attrs
import loguru

_declared = {}

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


def declared():
    """Return all declared events ordered by number."""
    return [_declared[number] for number in sorted(_declared)]


def emit(event, **fields):
    """Log one record of ``event`` with structured ``fields``."""
    bound = loguru.logger.bind(event=event.number, fields=fields)
    # Braces in the text would be read as format fields by loguru.
    bound.opt(depth=1).log(event.level, '{}', event.text)


def _write_json(stream, message):
    record = message.record
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'event': record['extra'].get('event'),
        'text': record['message'],
        **record['extra'].get('fields', {}),
    }
    stream.write(json.dumps(line, default=str) + '\n')
    stream.flush()


def _write_text(stream, message):
    record = message.record
    fields = record['extra'].get('fields', {})
    pairs = ' '.join(f'{name}={value}' for name, value in fields.items())
    number = record['extra'].get('event', '-')
    stream.write(
        f'{record["time"].isoformat()} {record["level"].name} '
        f'E{number} {record["message"]} {pairs}\n'
    )
    stream.flush()


def configure(*, style='text', level='INFO', stream=None):
    """Send log records to ``stream`` (stderr) as ``text`` or ``json``."""
    stream = stream or sys.stderr
    write = _write_json if style == 'json' else _write_text
    loguru.logger.remove()
    loguru.logger.add(
        lambda message: write(stream, message), level=level, format='{message}'
    )
