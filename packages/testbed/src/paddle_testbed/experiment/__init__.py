"""Comparison of two versions of the code over days and seeds.

``python -m paddle_testbed.experiment`` runs each day with both versions and
writes a table and plots. It runs a bench, given as a command, and parses the
report that the bench prints.
"""

from paddle_testbed.experiment._report import parse
from paddle_testbed.experiment._report import Report
from paddle_testbed.experiment._report import ReportError
from paddle_testbed.experiment._runs import DayRun
from paddle_testbed.experiment._runs import run_days
from paddle_testbed.experiment._tables import write_all

__all__ = [
    'DayRun',
    'Report',
    'ReportError',
    'parse',
    'run_days',
    'write_all',
]
