"""Reading of a JSON array whose entries come from different writers.

``json`` raises for a whole document if one value is nested too deeply, has too
many digits or is malformed. :func:`read_entries` then reads each entry of the
array by itself.
"""

import itertools
import json
import re

import attrs
import gevent

_STRING = r'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# Each pattern takes as much as possible in one match: an entry may have some
# hundred thousand brackets, and the process serves others meanwhile.
_FLAT = rf'(?:{_STRING}|[^"\[\]{{}}]++)*+'
_FILL = rf'(?:{_STRING}|[^"\[\]{{}}]++|[\[{{]{_FLAT}[\]}}])*+'
_OPENERS = re.compile(rf'(?:[\[{{]{_FILL})++', re.DOTALL)
_CLOSERS = re.compile(rf'([\]}}]++){_FILL}', re.DOTALL)
_STRINGS = re.compile(_STRING, re.DOTALL)
_SPACE = re.compile(r'\s*')
_SCALARS = re.compile(rf'(?:{_STRING}|[^"\[\]{{}},]++)*+', re.DOTALL)
_KEY = re.compile(rf'\s*({_STRING})\s*:\s*', re.DOTALL)
_MAX_EXCERPT_CHARS = 60
# Far above the number of entries in a list of instances.
_MAX_ENTRIES = 100_000
# Other greenlets run after this many matches, which take some ms.
_MATCHES_PER_TURN = 2_000


@attrs.frozen
class UnreadableEntry:
    """An entry that is not valid JSON; ``text`` is its beginning."""

    text: str
    reason: str


def read_entries(text, name):
    """Return ``(document, entries)`` of a JSON object with an array ``name``.

    ``entries`` has an :class:`UnreadableEntry` for each entry that cannot be
    read; ``document`` contains the other members of the object.

    :raises ValueError: if the other parts are malformed, or there is no array.
    """
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        document = _read_members(text, name)
    if not isinstance(document, dict):
        raise ValueError('the document is no JSON object')
    entries = document.pop(name, None)
    if not isinstance(entries, list):
        raise ValueError(f'the document has no array {name!r}')
    return document, entries


def _read_members(text, name):
    """Return the object in ``text``, with the array ``name`` entry by entry.

    :raises ValueError: if another part of the text cannot be read.
    """
    text = text.strip()
    if not text.startswith('{'):
        raise ValueError('the document is no JSON object')
    members = {}
    position = 0
    while position == 0 or text[position] == ',':
        match = _KEY.match(text, position + 1)
        if match is None:
            raise ValueError(f'no key at character {position + 1}')
        key = json.loads(match[1])
        position = match.end()
        if key == name and text.startswith('[', position):
            entries, position = _split(text, position)
            members[key] = [_read_entry(item) for item in entries]
        else:
            start, position = position, _value_end(text, position)
            members[key] = _read_value(text[start:position])
        position = _SPACE.match(text, position).end()
        if position == len(text):
            raise ValueError('no end of the object')
    if text[position:] != '}':
        raise ValueError(f'unexpected text at character {position}')
    return members


def _split(text, start):
    """Return the parts of the array or object at ``start``, and its end.

    :raises ValueError: if it has no end or more than ``_MAX_ENTRIES`` parts.
    """
    parts = []
    position = start + 1
    while True:
        end = _value_end(text, position)
        parts.append(text[position:end])
        if len(parts) > _MAX_ENTRIES:
            raise ValueError(f'more than {_MAX_ENTRIES} entries')
        position = end + 1
        if text[end] != ',':
            if len(parts) == 1 and not parts[0].strip():
                parts = []
            return parts, position


def _value_end(text, position):
    """Return the position of the comma or bracket after a value."""
    while True:
        position = _SCALARS.match(text, position).end()
        following = text[position : position + 1]
        if following and following in '[{':
            position = _nested_end(text, position)
        elif following and following in ',]}':
            return position
        else:
            raise ValueError(f'no end of the value at character {position}')


def _nested_end(text, start):
    """Return the position after the bracket that closes the one at ``start``.

    The kinds of brackets are not compared.
    """
    depth, position = 0, start
    for number in itertools.count(1):
        if number % _MATCHES_PER_TURN == 0:
            gevent.sleep(0)
        match = _OPENERS.match(text, position)
        if match is not None:
            depth += _count_openers(match[0])
        else:
            match = _CLOSERS.match(text, position)
            if match is None:
                raise ValueError(f'no closing bracket for character {start}')
            count = len(match[1])
            if count >= depth:
                return position + depth
            depth -= count
        position = match.end()


def _count_openers(run):
    if '"' in run:
        run = _STRINGS.sub('', run)
    return sum(map(run.count, '[{')) - sum(map(run.count, ']}'))


def _read_entry(text):
    try:
        return _read_value(text)
    except ValueError as exc:
        return UnreadableEntry(text.strip()[:_MAX_EXCERPT_CHARS], str(exc))


def _read_value(text):
    try:
        return json.loads(text)
    except RecursionError as exc:
        raise ValueError('nested too deeply') from exc
