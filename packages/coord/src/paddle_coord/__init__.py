"""Coordination: a replicated register and services built on it.

The package does not depend on routing and can be embedded in other programs.
"""

from paddle_coord._admin import ReplicaAdmin
from paddle_coord._ballot import Ballot
from paddle_coord._claims import Answer
from paddle_coord._claims import Claim
from paddle_coord._claims import ClaimBook
from paddle_coord._claims import ClaimError
from paddle_coord._claims import ClaimOutcome
from paddle_coord._config_log import ConfigLog
from paddle_coord._config_slots import ChangeOutcome
from paddle_coord._config_slots import ConfigChange
from paddle_coord._config_slots import Fold
from paddle_coord._config_slots import UnfoldableSlotError
from paddle_coord._document import Document
from paddle_coord._document import LARGEST_VERSION
from paddle_coord._document import VersionedDocument
from paddle_coord._lease import guarded_send
from paddle_coord._lease import Lease
from paddle_coord._lease import LEASE_KEY
from paddle_coord._lease import LeaseTiming
from paddle_coord._lease import NOT_SENT
from paddle_coord._lease import SendError
from paddle_coord._orders import GIVEN_UP
from paddle_coord._orders import NotInCharge
from paddle_coord._orders import Order
from paddle_coord._orders import OrderBook
from paddle_coord._orders import OrderRunner
from paddle_coord._orders import ORDERS_KEY
from paddle_coord._orders import RECORDED
from paddle_coord._orders import SENT
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
from paddle_coord._seal import report_totals
from paddle_coord._self_forming import Placement
from paddle_coord._self_forming import SelfForming
from paddle_coord._self_forming import STEP_INTERVAL_MS as MEMBERSHIP_LOOK_MS
from paddle_coord._soft_state import choose_totals
from paddle_coord._soft_state import ClassDemand
from paddle_coord._soft_state import ClassTotal
from paddle_coord._soft_state import compute_share
from paddle_coord._soft_state import DemandReport
from paddle_coord._soft_state import DemandTotals
from paddle_coord._soft_state import even_share
from paddle_coord._soft_state import Share
from paddle_coord._soft_state import SoftState
from paddle_coord._store import DamagedStoreError
from paddle_coord._store import StoreError
from paddle_coord._view import Member
from paddle_coord._view import View
from paddle_coord._view_change import AdminError
from paddle_coord._windows import UsageLedger
from paddle_coord._windows import WindowReporter
from paddle_coord._windows import WindowSealer
from paddle_coord._windows import WindowTiming

__all__ = [
    'AdminError',
    'Answer',
    'Ballot',
    'Change',
    'ChangeOutcome',
    'Claim',
    'ClaimBook',
    'ClaimError',
    'ClaimOutcome',
    'ClassDemand',
    'ClassTotal',
    'ConfigChange',
    'ConfigLog',
    'DamagedStoreError',
    'DemandReport',
    'DemandTotals',
    'Document',
    'Fold',
    'GIVEN_UP',
    'LARGEST_VERSION',
    'LEASE_KEY',
    'MEMBERSHIP_LOOK_MS',
    'Lease',
    'LeaseTiming',
    'Member',
    'MemoryRegister',
    'NOT_SENT',
    'NOT_WRITTEN',
    'NotInCharge',
    'ORDERS_KEY',
    'Order',
    'OrderBook',
    'OrderRunner',
    'Placement',
    'Proposer',
    'ProposerOptions',
    'RECORDED',
    'Register',
    'RegisterError',
    'Reject',
    'Replica',
    'ReplicaAdmin',
    'SENT',
    'SelfForming',
    'SendError',
    'Share',
    'SoftState',
    'StoreError',
    'UNKNOWN',
    'UnfoldableSlotError',
    'UsageLedger',
    'VersionedDocument',
    'View',
    'WindowReporter',
    'WindowSealer',
    'WindowTiming',
    'choose_totals',
    'compute_share',
    'even_share',
    'guarded_send',
    'report_totals',
]
