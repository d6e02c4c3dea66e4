"""Splitting of a byte stream into server-sent events."""

import re

# An event ends with an empty line. Lines may end with LF or CRLF.
_EVENT_END = re.compile(rb'\n\r?\n')
_LF_EVENT_END = b'\n\n'
_MAX_EVENT_END_BYTES = 3
DONE = b'[DONE]'
DATA_FIELD = b'data:'


class EventSplitter:
    """Buffers bytes and returns complete events.

    Each event includes its terminating empty line and is returned byte for
    byte as received. The bytes of an incomplete event are searched only once,
    however small the pieces are in which they arrive.
    """

    def __init__(self):
        self._buffer = bytearray()

    @property
    def remainder(self):
        """The bytes of an incomplete event."""
        return bytes(self._buffer)

    @property
    def remainder_size(self):
        """The size of an incomplete event in bytes."""
        return len(self._buffer)

    def feed(self, data):
        """Return the list of events completed by ``data``."""
        if not self._buffer and data.endswith(_LF_EVENT_END):
            # Fast path: engines mostly send one event at a time.
            if (
                data.find(_LF_EVENT_END) == len(data) - len(_LF_EVENT_END)
                and data.find(b'\n\r') < 0
            ):
                return [data]
        # The end of an event may have arrived in part.
        search_start = max(0, len(self._buffer) - _MAX_EVENT_END_BYTES + 1)
        self._buffer += data
        ends = [
            match.end()
            for match in _EVENT_END.finditer(self._buffer, search_start)
        ]
        if not ends:
            return []
        whole = bytes(self._buffer[: ends[-1]])
        del self._buffer[: ends[-1]]
        return [
            whole[start:end]
            for start, end in zip([0, *ends[:-1]], ends, strict=True)
        ]


def payload(event):
    """Return the data of ``event``, or ``None`` if it has no data."""
    lines = [
        line[len(DATA_FIELD) :].strip()
        for line in event.splitlines()
        if line.startswith(DATA_FIELD)
    ]
    return b'\n'.join(lines) if lines else None
