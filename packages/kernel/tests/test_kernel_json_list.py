"""Tests of reading a JSON array entry by entry."""

import json
import time

import hypothesis
from hypothesis import strategies as st
import pytest

import paddle_kernel as kernel

DEPTH = 100_000
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
