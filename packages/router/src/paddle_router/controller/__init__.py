"""Controllers: configuration, server list, duties towards the platform.

A few controllers with disks keep the state by themselves. Gateways
(:mod:`paddle_router.gateway`) exchange state with one of them, if possible
the one that holds the lease.
"""

from paddle_router.controller._controller import Controller
from paddle_router.controller._platform import CountOrder
from paddle_router.controller._platform import Platform
from paddle_router.controller._platform import PlatformError
from paddle_router.controller._platform import Receipt
from paddle_router.controller._settings import ControllerSettings

__all__ = [
    'Controller',
    'ControllerSettings',
    'CountOrder',
    'Platform',
    'PlatformError',
    'Receipt',
]
