"""Controllers: configuration, server list and duties under the lease.

A few controllers with disks store the state in a replica set of their own.
Each gateway (:mod:`paddle_router.gateway`) exchanges state with one of them,
and one controller holds the lease under which usage is reported and servers
are ordered.
"""

from paddle_router.controller._controller import Controller
from paddle_router.controller._platform import CountOrder
from paddle_router.controller._platform import Platform
from paddle_router.controller._platform import PlatformError
from paddle_router.controller._platform import Receipt
from paddle_router.controller._platform import RejectedEntry
from paddle_router.controller._platform import ServerListing
from paddle_router.controller._settings import ControllerSettings

__all__ = [
    'Controller',
    'ControllerSettings',
    'CountOrder',
    'Platform',
    'PlatformError',
    'Receipt',
    'RejectedEntry',
    'ServerListing',
]
