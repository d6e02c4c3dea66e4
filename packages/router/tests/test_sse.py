"""Splitting streams into events, however the bytes are cut.

Guards against the shortcut for single events giving another result than the
general search.
"""

import re

import pytest

from paddle_router import _sse

END = re.compile(rb'\n\r?\n')
STREAMS = (
    b'data: 1\n\ndata: 2\n\n',
    b'data: 1\r\n\r\ndata: 2\r\n\r\n',
    b'data: 1\n\r\ndata: 2\n\n',
    b'data: 1\n\n\ndata: 2\n\n',
    b'id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: [DONE]\n\n',
    b': comment\n\ndata: 1\n\nrest',
)


def events_of(stream):
    """Return the events of a whole stream by the general search."""
    ends = [match.end() for match in END.finditer(stream)]
    starts = [0, *ends]
    return [
        stream[begin:end] for begin, end in zip(starts, ends, strict=False)
    ]


@pytest.mark.parametrize('stream', STREAMS)
def test_whole_events_are_the_same_in_one_piece(stream):
    splitter = _sse.EventSplitter()
    found = splitter.feed(stream)
    assert found == events_of(stream)
    assert b''.join(found) + splitter.rest == stream


@pytest.mark.parametrize('stream', STREAMS)
def test_no_byte_is_lost_or_doubled_at_any_cut(stream):
    for first in range(len(stream) + 1):
        for second in range(first, len(stream) + 1):
            splitter = _sse.EventSplitter()
            found = []
            for piece in (
                stream[:first],
                stream[first:second],
                stream[second:],
            ):
                if piece:
                    found.extend(splitter.feed(piece))
            assert b''.join(found) + splitter.rest == stream
            assert all(END.search(event) for event in found)


def test_single_events_are_returned_as_they_came():
    splitter = _sse.EventSplitter()
    for event in (b'data: 1\n\n', b'id: 2\ndata: x\n\n', b'data: [DONE]\n\n'):
        assert splitter.feed(event) == [event]
    assert splitter.rest == b''
