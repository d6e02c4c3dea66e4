"""Write docs/events.md from the declared log events."""

import pathlib

import paddle_coord  # noqa: F401
import paddle_kernel as kernel
from paddle_router import controller  # noqa: F401
from paddle_router import daemon  # noqa: F401
from paddle_router import gateway  # noqa: F401

ROOT = pathlib.Path(__file__).resolve().parent.parent
PATH = ROOT / 'docs' / 'events.md'
HEAD = """# Log events

Each log record carries a number. The table is written by
`tools/write_events.py`; a test compares it with the code.

| number | level | text |
|---|---|---|
"""


def catalogue():
    """Return the text of docs/events.md."""
    rows = [
        f'| {event.number} | {event.level} | {event.text} |\n'
        for event in kernel.declared_events()
    ]
    return HEAD + ''.join(rows)


if __name__ == '__main__':
    PATH.write_text(catalogue())
