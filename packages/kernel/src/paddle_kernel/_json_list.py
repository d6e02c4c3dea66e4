"""Reading of a JSON array whose entries come from different writers.

``json`` raises for a whole document if one value is nested too deeply, has too
many digits or is malformed. :func:`read_entries` then reads each entry of the
array by itself. Behind a damaged entry it goes on at the next one.
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
_SPACE = re.compile(r'[ \t\n\r]*+')
_SCALARS = re.compile(rf'(?:{_STRING}|[^"\[\]{{}},]++)*+', re.DOTALL)
_KEY = re.compile(rf'\s*({_STRING})\s*:\s*', re.DOTALL)
# Where the text may go on behind a damaged entry: at an object that is no
# member and no first item, or at the end of an array.
_CANDIDATES = re.compile(
    r'[^\s:\[]\s*+(?P<entry>\{)(?=\s*+["}])'
    r'|(?P<end>\])(?=\s*+(?:\}\Z|,\s*+"))'
)
# Strings that are not the text between two others.
_CLEAR_STRINGS = re.compile(
    rf'(?:(?<=[\[{{,:])|(?<=[\[{{,:]\s)){_STRING}(?=\s*+[\]}},:])', re.DOTALL
)
_NEXT_MEMBER = re.compile(rf'\s*+,{_KEY.pattern}', re.DOTALL)
_DAMAGED_SEPARATOR = re.compile(r'\s*+[^\s"{]?\s*+\{\s*+["}]')
_DECODER = json.JSONDecoder()
_MAX_EXCERPT_CHARS = 60
# Far above the number of entries in a list of instances.
_MAX_ENTRIES = 100_000
# Other greenlets run after this many matches, which take some ms.
_MATCHES_PER_TURN = 2_000
# How many characters may be read in vain, as a multiple of the text and for a
# short one: each damaged entry is read up to the damage, and a hostile page
# can have each tried place read up to its end.
_BUDGET_FACTOR = 16
_MIN_BUDGET = 8 * 1024 * 1024
# The members behind an array are read one by one.
_TAIL_COST = 4
_CHARS_PER_TURN = 100_000
# So many characters are counted in the time in which one is decoded.
_COUNTED_CHARS = 8


@attrs.frozen
class UnreadableEntry:
    """An entry that is not valid JSON; ``text`` is its beginning."""

    text: str
    reason: str


def read_entries(text, name, *, marker=None):
    """Return ``(document, entries)`` of a JSON object with an array ``name``.

    ``entries`` has an :class:`UnreadableEntry` for each entry that cannot be
    read; ``document`` contains the other members of the object. ``marker`` is
    the name of a member that every whole document has. It tells the end of the
    array from that of an array in a damaged entry.

    :raises ValueError: if the other parts are malformed, or there is no array.
    """
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        document = _read_members(text, name, marker)
    if not isinstance(document, dict):
        raise ValueError('the document is no JSON object')
    entries = document.pop(name, None)
    if not isinstance(entries, list):
        raise ValueError(f'the document has no array {name!r}')
    return document, entries


def _read_members(text, name, marker):
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
            entries, others = _ArrayReader(
                text, position + 1, name, None if marker in members else marker
            ).read()
            return {**members, key: entries, **others}
        start, position = position, _value_end(text, position)
        members[key] = _read_value(text[start:position])
    raise ValueError(f'the document has no array {name!r}')


class _DamageError(ValueError):
    """A value cannot be read; the next one begins behind ``resume``."""

    def __init__(self, reason, resume):
        super().__init__(reason)
        self.resume = resume


@attrs.frozen
class _Run:
    """Values with commas between them, without damage.

    ``members`` are those behind the array if the run ends it and all of them
    can be read. ``is_closed`` tells of a run that another bracket ends.
    """

    begin: int
    end: int
    values: tuple | list = ()
    resume: int = 0
    members: dict | None = None
    is_closed: bool = False


class _ArrayReader:
    """Reads the entries of an array of which some may be damaged.

    Behind a damaged entry the depth of a bracket is not known, since a quote
    or a bracket may be missing. The run of entries at the end of the array is
    known by the text that follows it. A run between two damaged entries is
    used unless the brackets around it suggest that it is in a nested array.
    """

    def __init__(self, text, start, name, marker):
        self._text = text
        self._start = start
        self._name = name
        self._marker = marker
        self._budget = _BUDGET_FACTOR * len(text) + _MIN_BUDGET

    def read(self):
        """Return the entries, and the members of the object behind them.

        :raises ValueError: if the end of the array is not found, or it cannot
            be told which entries belong to it.
        """
        run = self._read_first_run()
        runs = [run]
        for number in itertools.count(1):
            if run.members is not None:
                return self._join(runs), run.members
            match = _CANDIDATES.search(self._text, run.resume)
            if match is None or number > _MAX_ENTRIES:
                raise ValueError('the array has no end')
            if number % _MATCHES_PER_TURN == 0:
                gevent.sleep(0)
            begin = match.start(match.lastgroup)
            if match.lastgroup == 'entry':
                run = self._read_run(begin)
            else:
                members = self._read_tail(begin + 1)
                run = _Run(begin, begin, resume=begin + 1, members=members)
            if run.members is not None or run.values and not run.is_closed:
                runs.append(run)

    def _read_first_run(self):
        """Return the run at the start, whose depth is certain.

        :raises ValueError: if the text behind the array is malformed.
        """
        text = self._text
        begin = _SPACE.match(text, self._start).end()
        if text.startswith(']', begin):
            run = _Run(begin, begin, resume=begin)
        else:
            run = self._read_run(begin)
        position = _SPACE.match(text, run.end).end()
        if text.startswith(']', position):
            members = self._read_tail(position + 1, is_certain=True)
            run = attrs.evolve(run, members=members)
            if members is None and _NEXT_MEMBER.match(text, position + 1):
                raise ValueError('the text behind the array is malformed')
        return run

    def _read_run(self, begin):
        text, values = self._text, []
        position = end = begin
        while True:
            position = _SPACE.match(text, position).end()
            try:
                value, end_of_value = self._decode(position)
            except _DamageError as exc:
                return _Run(begin, end, values, exc.resume)
            self._add(values, value)
            begin_of_last, end = end, end_of_value
            position = _SPACE.match(text, end).end()
            following = text[position : position + 1]
            if following != ',':
                break
            position += 1
        resume = end - 1
        if following == ']':
            members = self._read_tail(position + 1)
            return _Run(begin, end, values, resume, members, members is None)
        is_closed = following in ('}', ':')
        if not _DAMAGED_SEPARATOR.match(text, end):
            # The damage may have closed the last value too early or too late.
            self._spend(end - begin_of_last)
            del values[-1]
            resume = resume if is_closed else begin_of_last
            end = begin_of_last
        return _Run(begin, end, values, resume, is_closed=is_closed)

    def _read_tail(self, begin, *, is_certain=False):
        """Return the members behind the array, None if they are malformed."""
        text, members = self._text, {}
        position = _SPACE.match(text, begin).end()
        while text.startswith(',', position):
            match = _KEY.match(text, position + 1)
            if match is None:
                break
            try:
                key = json.loads(match[1])
                value, end = self._decode(match.end())
            except ValueError:
                break
            if key == self._name or isinstance(value, UnreadableEntry):
                break
            members[key] = value
            position = _SPACE.match(text, end).end()
        is_end = position == len(text) - 1 and text.endswith('}')
        if is_end and (is_certain or self._marker in (None, *members)):
            return members
        self._spend((position - begin) * _TAIL_COST)
        return None

    def _decode(self, position):
        """Return the value at ``position``, and its end.

        :raises _DamageError: if it is malformed.
        """
        text = self._text
        try:
            return _DECODER.raw_decode(text, position)
        except json.JSONDecodeError as exc:
            is_open = exc.msg.startswith('Unterminated')
            read = len(text) if is_open else exc.pos
            # The exception counts the lines before its position.
            self._spend(read - position + exc.pos // _COUNTED_CHARS)
            # The last string may have run into the next entry.
            quote = text.rfind('"', position, max(position, exc.pos - 1))
            raise _DamageError(str(exc), max(position, quote)) from None
        except (ValueError, RecursionError) as exc:
            # Brackets and strings are regular in a value that is too long or
            # nested too deeply.
            try:
                end = _value_end(text, position)
            except ValueError as error:
                self._spend(len(text) - position)
                raise _DamageError(str(error), position) from None
            self._spend(end - position)
            excerpt = text[position : position + _MAX_EXCERPT_CHARS]
            reason = (
                'nested too deeply'
                if isinstance(exc, RecursionError)
                else str(exc)
            )
            return UnreadableEntry(excerpt, reason), end

    def _spend(self, chars):
        self._budget -= chars
        if self._budget < 0:
            raise ValueError('too many damaged entries')
        if chars > _CHARS_PER_TURN:
            gevent.sleep(0)

    def _join(self, runs):
        """Return the entries of the runs that belong to the array.

        :raises ValueError: if it cannot be told for one of them.
        """
        gaps = [
            _count_open(self._text[run.end : following.begin])
            for run, following in itertools.pairwise(runs)
        ]
        squares_behind = sum(gap[0] for gap in gaps)
        braces_behind = sum(gap[1] for gap in gaps)
        entries = list(runs[0].values)
        end, has_previous = runs[0].end, bool(entries)
        squares = braces = 0
        for gap, run in zip(gaps, runs[1:], strict=True):
            squares, braces = squares + gap[0], braces + gap[1]
            squares_behind -= gap[0]
            braces_behind -= gap[1]
            is_nested = squares >= 1 and braces >= 1
            if run is runs[-1]:
                if is_nested and self._marker is None:
                    # The page may be cut at the end of a nested array.
                    raise ValueError('brackets are open at the end')
            elif max(squares, braces) >= 1 and (
                min(squares_behind, braces_behind) <= -1
            ):
                if is_nested:
                    continue
                raise ValueError(
                    f'no way to tell the depth at character {run.begin}'
                )
            begin, values = run.begin, run.values
            if (
                values
                and max(squares, braces) >= 1
                and not self._text[end:begin].rstrip().endswith(',')
            ):
                # The first value may be the rest of the damaged entry.
                begin, values = self._decode(begin)[1], values[1:]
            damaged = self._text[end:begin]
            found = _read_gap(
                damaged, has_previous=has_previous, has_next=bool(values)
            )
            for item in itertools.chain(found, values):
                self._add(entries, item)
            end, has_previous = run.end, bool(values)
            squares = braces = 0
        return entries

    def _add(self, entries, item):
        if len(entries) == _MAX_ENTRIES:
            raise ValueError(f'more than {_MAX_ENTRIES} entries')
        entries.append(item)


def _read_gap(text, *, has_previous, has_next):
    """Return the entries in a text with damage, one if they are not clear.

    The text begins or ends with a comma if there is another entry there.
    """
    separator = ',' if has_previous and has_next else ''
    if text.strip() == separator:
        return []
    if has_previous:
        text = text.lstrip().removeprefix(',')
    # Each part ends with a comma.
    if not (has_next and text.rstrip().endswith(',')):
        text += ','
    text = text.rstrip()
    parts = []
    position = 0
    try:
        while position < len(text):
            end = _value_end(text, position)
            if text[end] != ',' or len(parts) == _MAX_ENTRIES:
                raise ValueError('no list of values')
            parts.append(text[position:end])
            position = end + 1
    except ValueError:
        parts = [text[:-1]]
    return [_read_entry(part) for part in parts]


def _count_open(text):
    """Return how many square brackets and braces are left open in a text."""
    text = _CLEAR_STRINGS.sub('', text)
    return text.count('[') - text.count(']'), text.count('{') - text.count('}')


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
