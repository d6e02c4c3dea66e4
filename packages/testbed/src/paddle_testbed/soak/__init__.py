"""Randomized soak test of the real programs under injected faults.

Gateways and controllers run as processes on loopback addresses. A seed
determines which faults are injected and when. Callers and backend servers
record every request, and checks compare the records with the guarantees of
the system. ``python -m paddle_testbed.soak`` runs it.
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
