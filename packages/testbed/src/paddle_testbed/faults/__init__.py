"""Fault matrix: every fault at every step of every protocol.

Run with ``python -m paddle_testbed.faults``.
"""

from paddle_testbed.faults._rows import Row
from paddle_testbed.faults._rows import ROWS

__all__ = [
    'ROWS',
    'Row',
]
