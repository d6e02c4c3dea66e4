"""Splitting a byte stream into server-sent events."""

import re

# An event ends with an empty line; lines may end with LF or CRLF.
_END = re.compile(rb'\n\r?\n')
_LF_END = b'\n\n'
DONE = b'[DONE]'
DATA = b'data:'


class EventSplitter:
    """Collects bytes and returns complete events.

    Each event is returned with its ending, byte for byte as received.
    """

    def __init__(self):
        self.rest = b''

    def feed(self, data):
        """Return the list of events completed by ``data``."""
        buffer = self.rest + data if self.rest else data
        if buffer.endswith(_LF_END) and buffer.find(b'\n\r') < 0:
            # Engines mostly send each event by itself.
            if buffer.find(_LF_END) == len(buffer) - len(_LF_END):
                self.rest = b''
                return [buffer]
        events = []
        start = 0
        for match in _END.finditer(buffer):
            events.append(buffer[start : match.end()])
            start = match.end()
        self.rest = buffer[start:]
        return events


def payload(event):
    """Return the data of ``event``, or ``None`` if it has no data."""
    lines = [
        line[len(DATA) :].strip()
        for line in event.splitlines()
        if line.startswith(DATA)
    ]
    return b'\n'.join(lines) if lines else None
