"""Policies of the router: pure decisions without I/O.

The hook specifications are in ``_hooks``; ``schedulers``, ``balancers`` and
``planners`` are the registries of the plug-ins.
"""

from paddle_router.policy._admission import Admission
from paddle_router.policy._admission import FIRST_TOKEN
from paddle_router.policy._admission import INTER_TOKEN
from paddle_router.policy._admission import Prediction
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
from paddle_router.policy._lengths import LengthEstimator
from paddle_router.policy._lengths import LengthPrediction
from paddle_router.policy._limits import LimitExceeded
from paddle_router.policy._limits import Limits
from paddle_router.policy._limits import LimitSettings
from paddle_router.policy._observed import Ejection
from paddle_router.policy._observed import ObservedBalancer
from paddle_router.policy._plain_balancers import LeastReportedLoadBalancer
from paddle_router.policy._plain_balancers import RoundRobinBalancer
from paddle_router.policy._preset import PolicyPreset
from paddle_router.policy._preset import PolicySet
from paddle_router.policy._retry import Action
from paddle_router.policy._retry import Attempt
from paddle_router.policy._retry import decide as decide_retry
from paddle_router.policy._retry import RetryBudget
from paddle_router.policy._slots import own_slots
from paddle_router.policy._slots import share_of
from paddle_router.policy._tiered_fair import TieredFairScheduler

__all__ = [
    'Action',
    'Admission',
    'Attempt',
    'Balancer',
    'ClassPolicy',
    'DEADLINE',
    'Ejection',
    'Engine',
    'FIRST_TOKEN',
    'FifoScheduler',
    'Flight',
    'INTER_TOKEN',
    'LeastReportedLoadBalancer',
    'LengthEstimator',
    'LengthPrediction',
    'LimitExceeded',
    'LimitSettings',
    'Limits',
    'LoadReport',
    'OVERFLOW',
    'ObservedBalancer',
    'Planner',
    'PolicyPreset',
    'PolicySet',
    'Prediction',
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
