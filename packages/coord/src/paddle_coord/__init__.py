"""Coordination parts: replicated register and what is built on it.

The package knows nothing of routing and can be embedded in other programs.
"""

from paddle_coord._admin import ReplicaAdmin
from paddle_coord._ballot import Ballot
from paddle_coord._proposer import Proposer
from paddle_coord._proposer import ProposerOptions
from paddle_coord._register import Change
from paddle_coord._register import MemoryRegister
from paddle_coord._register import NOT_WRITTEN
from paddle_coord._register import Register
from paddle_coord._register import RegisterError
from paddle_coord._register import Reject
from paddle_coord._register import UNKNOWN
from paddle_coord._replica import Replica
from paddle_coord._store import DamagedStoreError
from paddle_coord._store import StoreError
from paddle_coord._view import Member
from paddle_coord._view import View
from paddle_coord._view_change import AdminError

__all__ = [
    'AdminError',
    'Ballot',
    'Change',
    'DamagedStoreError',
    'Member',
    'MemoryRegister',
    'NOT_WRITTEN',
    'Proposer',
    'ProposerOptions',
    'Register',
    'RegisterError',
    'Reject',
    'Replica',
    'ReplicaAdmin',
    'StoreError',
    'UNKNOWN',
    'View',
]
