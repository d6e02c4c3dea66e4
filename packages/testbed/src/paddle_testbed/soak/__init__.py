"""Randomized soak of the real programs, with faults from outside them.

Gateways and controllers run as processes on loopback addresses. A seed decides
which faults come when; callers and backend servers keep records, and checks
compare these with what is promised. ``python -m paddle_testbed.soak`` runs it.
"""

from paddle_testbed.soak._checks import check_all
from paddle_testbed.soak._faults import faults
from paddle_testbed.soak._ledger import Ledger
from paddle_testbed.soak._proxy import Proxy
from paddle_testbed.soak._run import run_seed
from paddle_testbed.soak._run import SoakOptions

__all__ = [
    'Ledger',
    'Proxy',
    'SoakOptions',
    'check_all',
    'faults',
    'run_seed',
]
