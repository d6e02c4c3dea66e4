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
from paddle_router.policy._observed import Ejection
from paddle_router.policy._observed import ObservedBalancer
from paddle_router.policy._plain_balancers import LeastReportedLoadBalancer
from paddle_router.policy._plain_balancers import RoundRobinBalancer
from paddle_router.policy._retry import Action
from paddle_router.policy._retry import Attempt
from paddle_router.policy._retry import decide as decide_retry
from paddle_router.policy._retry import RetryBudget
from paddle_router.policy._slots import own_slots
from paddle_router.policy._slots import share_of
from paddle_router.policy._tiered_fair import TieredFairScheduler

__all__ = [
    'Action',
    'Attempt',
    'Balancer',
    'ClassPolicy',
    'DEADLINE',
    'Ejection',
    'Engine',
    'FifoScheduler',
    'Flight',
    'LeastReportedLoadBalancer',
    'LoadReport',
    'OVERFLOW',
    'ObservedBalancer',
    'Planner',
    'Refusal',
    'RetryBudget',
    'RoundRobinBalancer',
    'Scheduler',
    'Ticket',
    'TieredFairScheduler',
    'Turn',
    'Work',
    'balancers',
    'decide_retry',
    'own_slots',
    'planners',
    'schedulers',
    'share_of',
]
