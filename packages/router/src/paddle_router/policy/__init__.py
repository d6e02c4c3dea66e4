"""Policies of the router: decisions without I/O.

The interfaces of the plug-ins are in ``_hooks``. ``schedulers``, ``balancers``
and ``planners`` are their registries.
"""

from paddle_router.policy._admission import Admission
from paddle_router.policy._admission import FIRST_TOKEN
from paddle_router.policy._admission import INTER_TOKEN
from paddle_router.policy._admission import Prediction
from paddle_router.policy._availability import NextAvailability
from paddle_router.policy._buffer_budget import BufferBudget
from paddle_router.policy._buffer_budget import PROGRESS_SHARE
from paddle_router.policy._buffer_budget import STALL_MS
from paddle_router.policy._buffer_budget import Verdict
from paddle_router.policy._cold_rate import ColdRate
from paddle_router.policy._engine_state import Ejection
from paddle_router.policy._fifo import FifoScheduler
from paddle_router.policy._fleet_size import Bounds as FleetBounds
from paddle_router.policy._fleet_size import DEFAULT_SERVER_RATE
from paddle_router.policy._fleet_size import Demand
from paddle_router.policy._fleet_size import FleetSize
from paddle_router.policy._fleet_size import servers_needed
from paddle_router.policy._held_work import HeldWork
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
from paddle_router.policy._hooks import SchedulingDecision
from paddle_router.policy._hooks import Ticket
from paddle_router.policy._hooks import Work
from paddle_router.policy._lengths import LengthEstimator
from paddle_router.policy._lengths import LengthPrediction
from paddle_router.policy._limits import LimitExceeded
from paddle_router.policy._limits import Limits
from paddle_router.policy._limits import LimitSettings
from paddle_router.policy._load_admission import LoadAdmission
from paddle_router.policy._load_admission import LoadRequest
from paddle_router.policy._load_admission import RankDemand
from paddle_router.policy._observed import ObservedBalancer
from paddle_router.policy._pace import PaceForecast
from paddle_router.policy._plain_balancers import LeastReportedLoadBalancer
from paddle_router.policy._plain_balancers import RoundRobinBalancer
from paddle_router.policy._plan_view import DemandForecast
from paddle_router.policy._plan_view import DRAINING
from paddle_router.policy._plan_view import LEAVING
from paddle_router.policy._plan_view import LIVE
from paddle_router.policy._plan_view import Load
from paddle_router.policy._plan_view import Offer
from paddle_router.policy._plan_view import Order
from paddle_router.policy._plan_view import PlanView
from paddle_router.policy._plan_view import Server
from paddle_router.policy._plan_view import STARTING
from paddle_router.policy._plan_view import StartUpTime
from paddle_router.policy._planners import BoundedCheapPlanner
from paddle_router.policy._planners import cheapest_mix
from paddle_router.policy._planners import offline_cost
from paddle_router.policy._planners import StaticPeakPlanner
from paddle_router.policy._prefix_copies import PartPlacement
from paddle_router.policy._prefix_copies import PartPlacements
from paddle_router.policy._preset import PolicyPreset
from paddle_router.policy._preset import PolicySet
from paddle_router.policy._ranks import engine_ranks
from paddle_router.policy._ranks import priority_pair
from paddle_router.policy._request_crashes import CrashReport
from paddle_router.policy._request_crashes import is_request_trait
from paddle_router.policy._request_crashes import RefusedTrait
from paddle_router.policy._request_crashes import request_trait
from paddle_router.policy._request_crashes import RequestCrashes
from paddle_router.policy._request_crashes import ServedTrait
from paddle_router.policy._retry import Action
from paddle_router.policy._retry import Attempt
from paddle_router.policy._retry import decide as decide_retry
from paddle_router.policy._retry import RetryBudget
from paddle_router.policy._retry import WindowBudget
from paddle_router.policy._server_limits import LIMIT_RETENTION_MS
from paddle_router.policy._server_limits import ServerLimit
from paddle_router.policy._server_limits import ServerLimits
from paddle_router.policy._server_notices import DRAIN_MS
from paddle_router.policy._server_notices import Incarnation
from paddle_router.policy._server_notices import MAX_QUIET_MS
from paddle_router.policy._server_notices import ServerNotices
from paddle_router.policy._server_notices import SlowStart
from paddle_router.policy._server_reach import MIN_CONNECTED
from paddle_router.policy._server_reach import ProbeResult
from paddle_router.policy._server_reach import ProbeTarget
from paddle_router.policy._server_reach import ServerReach
from paddle_router.policy._server_view import Send
from paddle_router.policy._server_view import ServerView
from paddle_router.policy._server_view import TurnAway
from paddle_router.policy._server_view import Wait
from paddle_router.policy._shared_load import Explanation
from paddle_router.policy._shared_load import SharedLoadBalancer
from paddle_router.policy._shared_server import EngineWork
from paddle_router.policy._shared_server import SharedFlight
from paddle_router.policy._shared_server import SharedLoad
from paddle_router.policy._slots import own_slots
from paddle_router.policy._slots import share_of
from paddle_router.policy._software_versions import ServiceVersion
from paddle_router.policy._software_versions import STREAM_RETENTION_MS
from paddle_router.policy._software_versions import VersionHistory
from paddle_router.policy._start_pace import Answers
from paddle_router.policy._start_pace import StartPace
from paddle_router.policy._tiered_fair import TieredFairScheduler
from paddle_router.policy._turns import CLOCK_ERROR_MS
from paddle_router.policy._turns import GatewayTurns
from paddle_router.policy._waiting_queue import WaitingQueue

__all__ = [
    'Action',
    'Admission',
    'Answers',
    'Attempt',
    'Balancer',
    'balancers',
    'BoundedCheapPlanner',
    'BufferBudget',
    'cheapest_mix',
    'ClassPolicy',
    'CLOCK_ERROR_MS',
    'ColdRate',
    'CrashReport',
    'DEADLINE',
    'decide_retry',
    'DEFAULT_SERVER_RATE',
    'Demand',
    'DemandForecast',
    'DRAIN_MS',
    'DRAINING',
    'Ejection',
    'Engine',
    'engine_ranks',
    'EngineWork',
    'Explanation',
    'FifoScheduler',
    'FIRST_TOKEN',
    'FleetBounds',
    'FleetSize',
    'Flight',
    'HeldWork',
    'GatewayTurns',
    'Incarnation',
    'INTER_TOKEN',
    'is_request_trait',
    'LeastReportedLoadBalancer',
    'LEAVING',
    'LengthEstimator',
    'LengthPrediction',
    'LIMIT_RETENTION_MS',
    'LimitExceeded',
    'Limits',
    'LimitSettings',
    'LIVE',
    'Load',
    'LoadAdmission',
    'LoadReport',
    'LoadRequest',
    'MAX_QUIET_MS',
    'MIN_CONNECTED',
    'NextAvailability',
    'ObservedBalancer',
    'Offer',
    'offline_cost',
    'Order',
    'OVERFLOW',
    'own_slots',
    'PaceForecast',
    'PartPlacement',
    'PartPlacements',
    'Planner',
    'planners',
    'PlanView',
    'PolicyPreset',
    'PolicySet',
    'Prediction',
    'priority_pair',
    'ProbeResult',
    'ProbeTarget',
    'PROGRESS_SHARE',
    'RankDemand',
    'Refusal',
    'RefusedTrait',
    'request_trait',
    'RequestCrashes',
    'RetryBudget',
    'RoundRobinBalancer',
    'Scheduler',
    'schedulers',
    'SchedulingDecision',
    'ServedTrait',
    'Send',
    'Server',
    'ServerLimit',
    'ServerLimits',
    'ServerNotices',
    'ServerReach',
    'servers_needed',
    'ServerView',
    'ServiceVersion',
    'share_of',
    'SharedFlight',
    'SharedLoad',
    'SharedLoadBalancer',
    'SlowStart',
    'STALL_MS',
    'STARTING',
    'StartPace',
    'StartUpTime',
    'StaticPeakPlanner',
    'STREAM_RETENTION_MS',
    'Ticket',
    'TieredFairScheduler',
    'TurnAway',
    'Verdict',
    'VersionHistory',
    'Wait',
    'WaitingQueue',
    'WindowBudget',
    'Work',
]
