"""HTTP gateway that forwards callers' requests to backend servers.

A gateway routes by host and path, chooses a backend server for each request
and forwards the response as it arrives. It gets its configuration and the
server list from a controller (:mod:`paddle_router.controller`). A
:class:`Dialect` converts the headers and documents of a platform.
"""

from paddle_router.gateway._connections import NoConnectionError
from paddle_router.gateway._dialect import Dialect
from paddle_router.gateway._follower import Follower
from paddle_router.gateway._gateway import Gateway
from paddle_router.gateway._http1 import end_to_end_headers
from paddle_router.gateway._messages import ControllerLocation
from paddle_router.gateway._messages import ControllerReply
from paddle_router.gateway._messages import ControllerReport
from paddle_router.gateway._messages import Evacuation
from paddle_router.gateway._messages import FindStream
from paddle_router.gateway._messages import GatewayReport
from paddle_router.gateway._messages import ListedServer
from paddle_router.gateway._messages import PeerGateway
from paddle_router.gateway._messages import RecordStreams
from paddle_router.gateway._messages import RelayedReport
from paddle_router.gateway._messages import ServerFlights
from paddle_router.gateway._messages import ServiceDemand
from paddle_router.gateway._messages import StreamFound
from paddle_router.gateway._messages import StreamOrigin
from paddle_router.gateway._messages import StreamsRecorded
from paddle_router.gateway._messages import SyncReply
from paddle_router.gateway._messages import SyncRequest
from paddle_router.gateway._messages import UsageCount
from paddle_router.gateway._model import Configuration
from paddle_router.gateway._model import ConfigurationError
from paddle_router.gateway._model import Customer
from paddle_router.gateway._model import EngineTraits
from paddle_router.gateway._model import ForwardingContext
from paddle_router.gateway._model import Kind
from paddle_router.gateway._model import Limits
from paddle_router.gateway._model import Load
from paddle_router.gateway._model import PromptPart
from paddle_router.gateway._model import RequestMetadata
from paddle_router.gateway._model import ResponseMetadata
from paddle_router.gateway._model import Route
from paddle_router.gateway._model import RunCopy
from paddle_router.gateway._model import Scaling
from paddle_router.gateway._model import Service
from paddle_router.gateway._model import Weight
from paddle_router.gateway._packed_loads import pack_extra_loads
from paddle_router.gateway._packed_loads import pack_loads
from paddle_router.gateway._packed_loads import unpack_loads
from paddle_router.gateway._routes import RouteTable
from paddle_router.gateway._settings import GatewaySettings

__all__ = [
    'Configuration',
    'ConfigurationError',
    'ControllerLocation',
    'ControllerReply',
    'ControllerReport',
    'Customer',
    'Dialect',
    'EngineTraits',
    'Evacuation',
    'FindStream',
    'Follower',
    'ForwardingContext',
    'Gateway',
    'GatewayReport',
    'GatewaySettings',
    'Kind',
    'Limits',
    'ListedServer',
    'Load',
    'NoConnectionError',
    'PeerGateway',
    'PromptPart',
    'RecordStreams',
    'RelayedReport',
    'RequestMetadata',
    'ResponseMetadata',
    'Route',
    'RouteTable',
    'RunCopy',
    'Scaling',
    'ServerFlights',
    'Service',
    'ServiceDemand',
    'StreamFound',
    'StreamOrigin',
    'StreamsRecorded',
    'SyncReply',
    'SyncRequest',
    'UsageCount',
    'Weight',
    'end_to_end_headers',
    'pack_extra_loads',
    'pack_loads',
    'unpack_loads',
]
