"""Tests of reading a JSON array entry by entry."""

import contextlib
import json
import time

import hypothesis
from hypothesis import strategies as st
import pytest

import paddle_kernel as kernel

DEPTH = 100_000
# Shorter times are not compared; the clock of the process is too coarse.
SHORTEST_S = 0.05
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(exclude_categories=())),
    lambda values: (
        st.lists(values, max_size=4)
        | st.dictionaries(st.text(max_size=4), values, max_size=4)
    ),
    max_leaves=20,
)
ODD = {
    'deep list': '[' * DEPTH + ']' * DEPTH,
    'deep object': '{"a":' * DEPTH + '1' + '}' * DEPTH,
    'long integer': '[1, {"a": ' + '9' * 5_000 + '}]',
    'control character': '"\x01, [ ]"',
    'no JSON': '{"a": b, [1, 2], {}}',
    'nothing': ' ',
}


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    st.lists(st.sampled_from(sorted(ODD)) | JSON, max_size=5),
    st.booleans(),
    st.sampled_from(['"p-1"', 'null', '{"a": [1, "]"], "b": {}}']),
)
def test_an_odd_entry_costs_no_other(entries, is_last, next_text):
    # Guards against a list that one entry makes unreadable.
    is_odd = [isinstance(item, str) and item in ODD for item in entries]
    texts = [
        ODD[item] if odd else json.dumps(item)
        for item, odd in zip(entries, is_odd, strict=True)
    ]
    members = [f'"next" : {next_text}', f'"items":[{", ".join(texts)}]']
    text = '{' + ','.join(members if is_last else members[::-1]) + '}'
    if texts == [' ']:
        entries, is_odd = [], []
    document, read = kernel.read_entries(text, 'items')
    assert document == {'next': json.loads(next_text)}
    assert len(read) == len(entries)
    for value, expected, odd in zip(read, entries, is_odd, strict=True):
        if odd:
            assert isinstance(value, kernel.UnreadableEntry)
            assert value.reason and len(value.text) <= 60
        else:
            assert json.dumps(value) == json.dumps(expected)


@pytest.mark.parametrize(
    'text',
    [
        '',
        'null',
        '[]',
        '[[1]]',
        '{}',
        '{"items": null}',
        '{"items": {}}',
        '{"items": [1, 2}',
        '{"items": [], "next": ' + ODD['deep list'] + '}',
        '{"items": [' + ODD['deep list'] + '], x}',
        '{"items": [[[[',
        ']]]]' + ODD['deep list'],
    ],
)
def test_a_text_without_such_a_list_is_an_error(text):
    with pytest.raises(ValueError):
        kernel.read_entries(text, 'items')


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(st.text('{}[],:"\\ items1', max_size=60))
def test_any_text_is_read_or_is_an_error(text):
    for candidate in (text, '{"items": [' + text + ']}'):
        try:
            kernel.read_entries(candidate, 'items')
        except ValueError:
            pass


def test_a_page_of_separators_is_rejected_cheaply():
    # Guards against a reader that stops for seconds and grows by an object
    # for each byte; a page may be four times as long.
    page = '{"instances":[{"a":1},' + ',' * 1_000_000 + '],"next":null}'
    began_s = time.process_time()
    try:
        _document, entries = kernel.read_entries(page, 'instances')
    except ValueError:
        entries = []
    assert len(entries) < 100_000
    assert time.process_time() - began_s < 1


def entry(number):
    """Return an entry with nested values, escapes and all brackets."""
    nested = {'identifier': f'nested-{number}', 'slots': 4}
    return {
        'identifier': f'i-{number}',
        'address': f'127.0.0.1:{8000 + number}',
        'note': 'a "quoted" {note}, with \\ and [more',
        'models': [{'name': 'm', 'adapters': []}, nested, nested],
        'labels': {'owner': nested},
        'slots': number,
        'state': 'ready',
    }


def build_page(texts, separators=None):
    separators = separators or [','] * (len(texts) - 1)
    parts = [texts[0]]
    for separator, text in zip(separators, texts[1:], strict=True):
        parts += [separator, text]
    return '{"instances":[' + ''.join(parts) + '],"next":"p-50"}'


def read_numbers(page, changed=()):
    """Return the numbers of the entries that are read as servers.

    ``changed`` are texts of damaged entries, which may still be valid JSON.
    """
    document, entries = kernel.read_entries(page, 'instances', marker='next')
    assert document == {'next': 'p-50'}
    numbers = []
    for item in entries:
        if isinstance(item, dict) and json.dumps(item) in changed:
            continue
        if isinstance(item, dict):
            # A nested object must not be taken for an entry.
            assert item == entry(item['slots'])
            numbers.append(item['slots'])
        else:
            assert isinstance(item, kernel.UnreadableEntry)
    return numbers


def positions(text, character):
    return [at for at, found in enumerate(text) if found == character]


def normalized(texts):
    """Return the damaged ones of ``texts`` that are still valid JSON."""
    found = []
    for number, text in enumerate(texts):
        try:
            value = json.loads(text)
        except ValueError:
            continue
        if value != entry(number):
            found.append(json.dumps(value))
    return found


def damage(text, position, character='\ufffd'):
    return text[:position] + character + text[position + 1 :]


@pytest.mark.parametrize('damaged', [[0], [3], [6], [1, 3], [3, 4], [0, 6]])
@pytest.mark.parametrize('separator', [',', ' ,\n  '])
@pytest.mark.parametrize('character', list('"[]{},:\\'))
def test_a_damaged_byte_costs_only_its_entry(character, separator, damaged):
    # Guards against a list that stays as it was, and against servers that
    # vanish from it, while an entry has a byte that cannot be read.
    texts = [json.dumps(entry(number)) for number in range(7)]
    expected = [number for number in range(7) if number not in damaged]
    for at in range(len(positions(texts[0], character))):
        broken = list(texts)
        for number in damaged:
            place = positions(texts[number], character)[at]
            broken[number] = damage(texts[number], place)
        page = build_page(broken, [separator] * 6)
        assert read_numbers(page, normalized(broken)) == expected


def test_a_damaged_separator_costs_no_entry():
    # Guards against servers that vanish when the comma between them is
    # damaged.
    texts = [json.dumps(entry(number)) for number in range(5)]
    for at in range(4):
        separators = [','] * 4
        separators[at] = '\ufffd'
        assert read_numbers(build_page(texts, separators)) == list(range(5))


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(st.integers(0, 39), st.data())
def test_a_random_damaged_byte_costs_at_most_a_neighbour(number, data):
    # Guards against a list that one damaged byte freezes or shortens.
    texts = [json.dumps(entry(item)) for item in range(40)]
    place = data.draw(st.integers(0, len(texts[number]) - 1))
    byte = data.draw(st.sampled_from('\ufffd\0"[]{},:\\ a1'))
    hypothesis.assume(texts[number][place] != byte)
    texts[number] = damage(texts[number], place, byte)
    page = build_page(texts)
    document, entries = kernel.read_entries(page, 'instances', marker='next')
    assert document == {'next': 'p-50'}
    expected = [entry(item) for item in range(40) if item != number]
    intact = [item for item in entries if item in expected]
    missing = [item['slots'] for item in expected if item not in intact]
    assert missing in ([], [number - 1], [number + 1])
    others = [
        item
        for item in entries
        if isinstance(item, dict) and item not in expected
    ]
    if normalized(texts):
        # The damaged entry is still valid JSON.
        assert [json.dumps(item) for item in others] == normalized(texts)
    elif byte == '\ufffd':
        assert others == []
    else:
        # A part of it may be an object, but it cannot be taken for a server.
        assert not any(item.keys() >= entry(0).keys() for item in others)


def test_a_nested_object_of_a_damaged_entry_is_no_entry():
    # Guards against a server that appears although no entry names it.
    server = json.dumps(entry(9))
    for text in (
        '{"a":"x\ufffd, "b":[%s,%s], "c":1}',
        '{"a":"x\ufffd, "b":%s, "c":%s}',
        '{"a":\ufffd%s,%s],"c":1}',
        '\ufffd"a":[%s,%s],"c":1}',
        '{"a":[%s,%s\ufffd,"c":1}',
        '{"a":[%s,{"b\ufffd:1},%s]}',
        '{"a":[{"b\ufffd:1},%s,{"b\ufffd:1},%s]}',
        '[{"b\ufffd:1},%s,%s]',
        '[{"b":1},%s,%s\ufffd',
    ):
        for at in range(3):
            texts = [json.dumps(entry(number)) for number in range(2)]
            texts.insert(at, text % (server, server))
            assert read_numbers(build_page(texts)) == [0, 1], (text, at)


def test_a_cut_page_with_a_damaged_entry_is_not_taken_for_a_whole_one():
    # Guards against servers that vanish since the end of a nested list was
    # taken for the end of the page.
    texts = [json.dumps(entry(number)) for number in range(4)]
    for character in '"[]{},:\\':
        for place in positions(texts[1], character):
            broken = list(texts)
            broken[1] = damage(texts[1], place)
            page = build_page(broken)
            assert read_numbers(page, normalized(broken)) == [0, 2, 3]
            for end in range(len(page) - len(texts[3]) - 40, len(page)):
                with pytest.raises(ValueError):
                    read_numbers(page[:end])
            begin = page.index(broken[1])
            for end in range(begin, begin + len(broken[1]) + 2):
                with pytest.raises(ValueError):
                    read_numbers(page[:end])


@pytest.mark.parametrize(
    'text',
    [
        '{},{"a":[',
        '"},{"',
        '},{"a":',
        ',{"',
        '],"',
        '}]}',
        '{}],"a":[',
        ',{"a":[1,{"b":"c"},2]}}',
        '{"a":"\ufffd},',
        ',{"a":' + '[1, 2, 3, ' * 900,
        ',{"a":1' + ' ' * 2_000,
    ],
)
def test_the_time_of_a_hostile_page_grows_with_its_length(text):
    # Guards against a reader that tries each place of a page anew: a
    # controller serves no gateway meanwhile.
    def measure(length):
        page = '{"instances":[{"a":"\ufffd,' + text * (length // len(text))
        began_s = time.process_time()
        for end in ('', '],"next":null}'):
            with contextlib.suppress(ValueError):
                kernel.read_entries(page + end, 'instances')
        return time.process_time() - began_s

    # Trying each place anew takes sixteen times as long.
    assert measure(1_000_000) < 8 * max(measure(250_000), SHORTEST_S)
