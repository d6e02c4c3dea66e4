"""Comparison of two versions of the code over days and seeds.

``python -m paddle_testbed.experiment`` runs each day with both versions and
writes a table and plots. It runs a bench, given as a command, and parses the
report that the bench prints.
"""

from paddle_testbed.experiment._plays import Play
from paddle_testbed.experiment._plays import play_all
from paddle_testbed.experiment._report import parse
from paddle_testbed.experiment._report import Report
from paddle_testbed.experiment._report import ReportError
from paddle_testbed.experiment._tables import write_all

__all__ = [
    'Play',
    'Report',
    'ReportError',
    'parse',
    'play_all',
    'write_all',
]
