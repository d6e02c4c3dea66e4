"""Policies of the router: pure decisions without I/O.

The hook specifications are in ``_hooks``; ``schedulers``, ``balancers`` and
``planners`` are the registries of the plug-ins.
"""

from paddle_router.policy._fifo import FifoScheduler
from paddle_router.policy._hooks import Balancer
from paddle_router.policy._hooks import balancers
from paddle_router.policy._hooks import ClassPolicy
from paddle_router.policy._hooks import DEADLINE
from paddle_router.policy._hooks import Engine
from paddle_router.policy._hooks import Flight
from paddle_router.policy._hooks import LoadReport
from paddle_router.policy._hooks import OVERFLOW
from paddle_router.policy._hooks import Planner
from paddle_router.policy._hooks import planners
from paddle_router.policy._hooks import Refusal
from paddle_router.policy._hooks import Scheduler
from paddle_router.policy._hooks import schedulers
from paddle_router.policy._hooks import Ticket
from paddle_router.policy._hooks import Turn
from paddle_router.policy._hooks import Work
from paddle_router.policy._retry import Action
from paddle_router.policy._retry import Attempt
from paddle_router.policy._retry import decide as decide_retry
from paddle_router.policy._retry import RetryBudget
from paddle_router.policy._tiered_fair import TieredFairScheduler

__all__ = [
    'Action',
    'Attempt',
    'Balancer',
    'ClassPolicy',
    'DEADLINE',
    'Engine',
    'FifoScheduler',
    'Flight',
    'LoadReport',
    'OVERFLOW',
    'Planner',
    'Refusal',
    'RetryBudget',
    'Scheduler',
    'Ticket',
    'TieredFairScheduler',
    'Turn',
    'Work',
    'balancers',
    'decide_retry',
    'planners',
    'schedulers',
]
