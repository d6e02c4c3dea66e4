"""Reading of a JSON array whose entries come from different writers.

``json`` raises for a whole document if one value is nested too deeply, has too
many digits or is malformed. :func:`read_entries` then reads each entry of the
array by itself.
"""

import itertools
import json
import re

import attrs

# Strings, runs of brackets, and separators.
_TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+|[,:]', re.DOTALL)
_ENTRY_DEPTH = 2
_MAX_EXCERPT_CHARS = 60


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


def _outer_marks(text):
    """Yield ``(character, position, depth)`` of the outer structure.

    ``depth`` is the number of enclosing brackets, ``_ENTRY_DEPTH`` at most.

    :raises ValueError: if the brackets do not match in number.
    """
    depth = 0
    for match in _TOKEN.finditer(text):
        token, start = match[0], match.start()
        if token[0] in '[{':
            for offset in range(min(len(token), _ENTRY_DEPTH + 1 - depth)):
                yield token[offset], start + offset, depth + offset
            depth += len(token)
        elif token[0] in ']}':
            outer = max(0, depth - 1 - _ENTRY_DEPTH)
            for offset in range(outer, len(token)):
                yield token[offset], start + offset, depth - 1 - offset
            depth -= len(token)
        elif depth <= _ENTRY_DEPTH:
            yield token[0], start, depth
    if depth:
        raise ValueError(f'{depth} more opening than closing brackets')


def _read_members(text, name):
    """Return the object in ``text``, with the array ``name`` entry by entry.

    :raises ValueError: if another part of the text cannot be read.
    """
    members = {}
    start = colon = None
    # The brackets of the member's value and the commas between them.
    bounds = []
    for character, position, depth in _outer_marks(text):
        if depth == 0 and character == '{':
            start = position + 1
        elif start is None:
            raise ValueError('the document is no JSON object')
        elif depth == 1 and character == ':' and colon is None:
            colon = position
        elif depth == 1 and character in '[]':
            bounds.append(position)
        elif depth == _ENTRY_DEPTH and character == ',':
            bounds.append(position)
        elif (depth, character) in ((0, '}'), (1, ',')):
            if colon is None:
                raise ValueError(f'no value at character {start}')
            key = json.loads(text[start:colon])
            if key == name and len(bounds) > 1:
                members[key] = _read_each(text, bounds)
            else:
                members[key] = _read_value(text[colon + 1 : position])
            start, colon, bounds = position + 1, None, []
    return members


def _read_each(text, bounds):
    parts = [
        text[begin + 1 : end] for begin, end in itertools.pairwise(bounds)
    ]
    if len(parts) == 1 and not parts[0].strip():
        return []
    return [_read_entry(part) for part in parts]


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
