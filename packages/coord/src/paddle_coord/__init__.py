"""Coordination parts: replicated register and what is built on it.

The package knows nothing of routing and can be embedded in other programs.
"""

from paddle_coord._register import Change
from paddle_coord._register import MemoryRegister
from paddle_coord._register import NOT_WRITTEN
from paddle_coord._register import Register
from paddle_coord._register import RegisterError
from paddle_coord._register import Reject
from paddle_coord._register import UNKNOWN

__all__ = [
    'Change',
    'MemoryRegister',
    'NOT_WRITTEN',
    'Register',
    'RegisterError',
    'Reject',
    'UNKNOWN',
]
