"""Splitting of a byte stream into server-sent events."""

import re

# An event ends with an empty line. Lines may end with LF or CRLF.
_EVENT_END = re.compile(rb'\n\r?\n')
_LF_EVENT_END = b'\n\n'
DONE = b'[DONE]'
DATA_FIELD = b'data:'


class EventSplitter:
    """Buffers bytes and returns complete events.

    Each event includes its terminating empty line and is returned byte for
    byte as received. ``remainder`` holds the bytes of an incomplete event.
    """

    def __init__(self):
        self.remainder = b''

    def feed(self, data):
        """Return the list of events completed by ``data``."""
        buffer = self.remainder + data if self.remainder else data
        if buffer.endswith(_LF_EVENT_END) and buffer.find(b'\n\r') < 0:
            # Fast path: engines mostly send one event at a time.
            if buffer.find(_LF_EVENT_END) == len(buffer) - len(_LF_EVENT_END):
                self.remainder = b''
                return [buffer]
        events = []
        start = 0
        for match in _EVENT_END.finditer(buffer):
            events.append(buffer[start : match.end()])
            start = match.end()
        self.remainder = buffer[start:]
        return events


def payload(event):
    """Return the data of ``event``, or ``None`` if it has no data."""
    lines = [
        line[len(DATA_FIELD) :].strip()
        for line in event.splitlines()
        if line.startswith(DATA_FIELD)
    ]
    return b'\n'.join(lines) if lines else None
