"""Splitting of streams into events, for any split of the bytes into chunks.

Guards against the fast path for single events giving a different result than
the general search.
"""

import re

import pytest

from paddle_router import _sse

EVENT_END = re.compile(rb'\n\r?\n')
STREAMS = (
    b'data: 1\n\ndata: 2\n\n',
    b'data: 1\r\n\r\ndata: 2\r\n\r\n',
    b'data: 1\n\r\ndata: 2\n\n',
    b'data: 1\n\n\ndata: 2\n\n',
    b'id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: [DONE]\n\n',
    b': comment\n\ndata: 1\n\nrest',
)


def split_events(stream):
    """Split a complete stream by the general search."""
    ends = [match.end() for match in EVENT_END.finditer(stream)]
    starts = [0, *ends]
    return [
        stream[begin:end] for begin, end in zip(starts, ends, strict=False)
    ]


@pytest.mark.parametrize('stream', STREAMS)
def test_stream_in_one_chunk_gives_the_same_events(stream):
    splitter = _sse.EventSplitter()
    found = splitter.feed(stream)
    assert found == split_events(stream)
    assert b''.join(found) + splitter.remainder == stream


@pytest.mark.parametrize('stream', STREAMS)
def test_no_byte_is_lost_or_repeated_at_any_split(stream):
    for first in range(len(stream) + 1):
        for second in range(first, len(stream) + 1):
            splitter = _sse.EventSplitter()
            found = []
            for chunk in (
                stream[:first],
                stream[first:second],
                stream[second:],
            ):
                if chunk:
                    found.extend(splitter.feed(chunk))
            assert b''.join(found) + splitter.remainder == stream
            assert all(EVENT_END.search(event) for event in found)


def test_single_events_are_returned_unchanged():
    splitter = _sse.EventSplitter()
    for event in (b'data: 1\n\n', b'id: 2\ndata: x\n\n', b'data: [DONE]\n\n'):
        assert splitter.feed(event) == [event]
    assert splitter.remainder == b''
