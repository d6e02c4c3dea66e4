"""Messages between gateways and controllers."""

import pathlib

import attrs
import capnp

import paddle_kernel
from paddle_router import policy


@attrs.frozen(kw_only=True)
class ListedServer:
    """A backend server in the platform's list.

    ``cold_ms`` is how much longer the server is slow after its start, and
    ``leaves_ms`` how much longer a reclaimed server runs; both are relative to
    the time when the list was read, -1 if unknown. A list that a controller
    sends has ``leaves_at_ms`` instead, in ms since the Unix epoch by the
    synchronized clock, 0 if unknown. ``born_ms`` is the start of this
    incarnation in ms since the Unix epoch, 0 if unknown. ``software_version``
    is that of the server's program, empty if unknown. ``cold_until_ms`` is
    until when a server that has just started is slow, in ms since the Unix
    epoch by the synchronized clock, 0 if it is not.
    """

    id: str
    service: str
    address: str
    domain: str
    slots: int
    leaving: bool = False
    cold_ms: int = 0
    spot: bool = False
    version: int = 0
    leaves_ms: int = -1
    leaves_at_ms: int = 0
    born_ms: int = 0
    software_version: str = ''
    cold_until_ms: int = 0

    @property
    def incarnation(self):
        """The :class:`paddle_router.policy.Incarnation` of this entry."""
        return policy.Incarnation(self.id, self.born_ms)


@attrs.frozen(kw_only=True)
class StreamOrigin:
    """Where a stream began: a software version of a service.

    ``id`` is that of the request that brings the first event, ``sent_ms`` the
    time when it was sent to the server.
    """

    id: str
    service: str
    version: str
    sent_ms: int


@attrs.frozen(kw_only=True)
class RecordStreams:
    """Request from a gateway to a controller to remember ``origins``."""

    origins: tuple[StreamOrigin, ...]


@attrs.frozen(kw_only=True)
class StreamsRecorded:
    """Reply to :class:`RecordStreams`."""

    count: int


@attrs.frozen(kw_only=True)
class FindStream:
    """Question of a gateway to a controller: where did stream ``id`` begin."""

    id: str


@attrs.frozen(kw_only=True)
class StreamFound:
    """Reply to :class:`FindStream`.

    ``origin`` is ``None`` if the controller does not know it. ``versions`` are
    those that served recently, all of them if ``is_complete``.
    """

    origin: StreamOrigin | None
    versions: tuple[policy.ServiceVersion, ...]
    is_complete: bool


@attrs.frozen(kw_only=True)
class ServerFlights:
    """Load of one backend server, as counted by the gateways.

    ``running`` is the number of in-flight requests, ``prefill`` the number of
    prompt tokens that the server has not processed yet. ``failures`` and
    ``answers`` count the last few seconds. ``pace_ms`` is the mean response
    time, for streams the mean time between events. ``read_rate`` is the number
    of prompt tokens per second sent to the server. Of the answers of the last
    seconds, ``told_count`` carried the pace of the server's machine and
    ``told_percent`` is the sum of these paces (100 each on an undisturbed
    machine); ``rejections`` stated that the request was not run, and
    ``in_time`` began within the latency target.
    """

    id: str
    running: int
    prefill: int = 0
    failures: int = 0
    answers: int = 0
    pace_ms: int = 0
    read_rate: int = 0
    told_count: int = 0
    told_percent: int = 0
    rejections: int = 0
    in_time: int = 0


@attrs.frozen(kw_only=True)
class ServiceDemand:
    """Demand for a service at one or several gateways.

    ``waiting`` is the number of requests that wait at the gateways,
    ``arrivals`` the number of requests per 1,000 s, and ``weight`` the
    capacity of the gateways in thousandths of a core. ``rank`` is the sort key
    of the requests, lowest first.
    """

    service: str
    waiting: int = 0
    arrivals: int = 0
    weight: int = 0
    rank: tuple[int, ...] = ()


@attrs.frozen(kw_only=True)
class Evacuation:
    """Failure domains whose servers must get no more requests.

    ``version`` increases with each change; a newer one replaces an older one.
    """

    version: int = 0
    domains: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class PeerGateway:
    """A gateway that can pass on requests of other gateways to servers.

    ``address`` is where it accepts them from those that present ``key``, which
    it makes up at its start.
    """

    name: str
    incarnation: str
    address: str
    domain: str
    key: str = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class UsageCount:
    """Cumulative count of a customer's requests started in a window."""

    window: int
    customer: str
    requests: int


@attrs.frozen(kw_only=True)
class GatewayReport:
    """State of one gateway; ``sequence`` increases with each report.

    ``server_rate`` is the measured number of prompt tokens that an engine
    processes per second, 0 if unknown. ``leaving`` contains servers that have
    announced their shutdown but are not listed as leaving yet. ``crashes``
    contains the last crashes, ``served`` when suspects were served, and
    ``refused`` the parts that are refused here. ``limits`` contains the known
    limits of servers and ``demands`` the demand for each service.
    ``placements`` are the recently learned placements of prompt parts.
    ``peer`` is the gateway's entry for other gateways; it is repeated from
    time to time. ``is_cut`` is set while the gateway reaches no server, and
    ``wants_peers`` if the reply is to contain peers.
    """

    name: str
    incarnation: str
    sequence: int
    flights: tuple[ServerFlights, ...]
    usage: tuple[UsageCount, ...]
    server_rate: int = 0
    leaving: tuple[policy.Incarnation, ...] = ()
    crashes: tuple[policy.CrashReport, ...] = ()
    served: tuple[policy.ServedTrait, ...] = ()
    refused: tuple[policy.RefusedTrait, ...] = ()
    limits: tuple[policy.ServerLimit, ...] = ()
    demands: tuple[ServiceDemand, ...] = ()
    placements: tuple[policy.PartPlacement, ...] = ()
    peer: PeerGateway | None = None
    is_cut: bool = False
    wants_peers: bool = False


@attrs.frozen(kw_only=True)
class SyncRequest:
    """State exchange request from a gateway to a controller.

    ``version`` and ``listing`` identify the configuration and the server list
    that the gateway has; with ``attached`` it asks for newer ones.
    """

    reports: tuple[GatewayReport, ...]
    version: int
    listing: str
    attached: bool


@attrs.frozen(kw_only=True)
class ControllerLocation:
    """Peer address and failure domain of a controller."""

    address: str
    domain: str


@attrs.frozen(kw_only=True)
class SyncReply:
    """State exchange reply from a controller.

    ``controllers`` are the controllers that were live recently. ``confirmed``
    is set if ``version`` is known to be the newest. ``document`` (compressed
    with zlib) and ``servers`` are sent only if the gateway's are older.
    ``totals`` contains the loads summed over all gateways (see
    :func:`pack_loads`), empty if the request had no report; ``counted`` is the
    sequence number of the gateway's own report in them. ``period_ms`` is the
    time until the next exchange, ``true_ms`` the synchronized time in ms since
    the Unix epoch. ``unheard_holder`` is the address of the lease holder while
    the controller cannot reach it and so cannot pass reports on. Of the prompt
    parts in ``suspects`` the gateway reports when they were served; requests
    with a part in ``refused`` are not sent. ``limits`` contains the known
    limits of servers. ``position`` is that of the gateway among ``fronts``,
    from 1, and 0 if it is not known yet. ``unlisted_versions`` served recently
    and have left the list. ``extra_totals`` contains the columns that
    :func:`pack_extra_loads` encodes, and ``demands`` the sums over all
    gateways, this one included. ``evacuation`` is ``None`` if the controller
    does not know it. Until ``turn_until_ms``, by the synchronized clock, no
    other of ``turn_count`` gateways has the same position; 0 while positions
    change. ``peers`` are other gateways that reached servers recently, if the
    report asks for them.
    """

    controllers: tuple[ControllerLocation, ...]
    members: tuple[str, ...]
    confirmed: bool
    version: int
    document: bytes | None
    listing: str
    servers: tuple[ListedServer, ...]
    fronts: int
    totals: bytes
    counted: int
    period_ms: int
    true_ms: int
    unheard_holder: str = ''
    suspects: tuple[str, ...] = ()
    refused: tuple[policy.RefusedTrait, ...] = ()
    limits: tuple[policy.ServerLimit, ...] = ()
    position: int = 0
    unlisted_versions: tuple[policy.ServiceVersion, ...] = ()
    extra_totals: bytes = b''
    demands: tuple[ServiceDemand, ...] = ()
    evacuation: Evacuation | None = None
    placements: tuple[policy.PartPlacement, ...] = ()
    turn_count: int = 0
    turn_until_ms: int = 0
    peers: tuple[PeerGateway, ...] = ()


@attrs.frozen(kw_only=True)
class RelayedReport:
    """Extract of a gateway's report that a controller passes on.

    ``sequence`` and ``server_rate`` are from the gateway's last report, made
    ``age_ms`` ago. ``usage`` contains the counts that the receiver has not
    confirmed yet.
    """

    name: str
    incarnation: str
    sequence: int
    age_ms: int
    server_rate: int
    usage: tuple[UsageCount, ...]


@attrs.frozen(kw_only=True)
class ControllerReport:
    """Report of a controller about its gateways to the lease holder.

    ``loads`` contains the sums over these gateways (see :func:`pack_loads`),
    ``leaving`` the servers that announced their shutdown to them. ``crashes``,
    ``served``, ``refused`` and ``limits`` are as in :class:`GatewayReport`.
    ``extra_loads`` contains further columns of ``loads`` (see
    :func:`pack_extra_loads`), ``demands`` the sums over these gateways, and
    ``evacuation_version`` identifies the known :class:`Evacuation`. With
    ``wants_peers``, ``peers`` is a sample of these gateways.
    """

    place: ControllerLocation
    fronts: tuple[RelayedReport, ...]
    loads: bytes
    version: int
    listing: str
    leaving: tuple[policy.Incarnation, ...] = ()
    crashes: tuple[policy.CrashReport, ...] = ()
    served: tuple[policy.ServedTrait, ...] = ()
    refused: tuple[policy.RefusedTrait, ...] = ()
    limits: tuple[policy.ServerLimit, ...] = ()
    extra_loads: bytes = b''
    demands: tuple[ServiceDemand, ...] = ()
    evacuation_version: int = 0
    placements: tuple[policy.PartPlacement, ...] = ()
    peers: tuple[PeerGateway, ...] = ()
    wants_peers: bool = False


@attrs.frozen(kw_only=True)
class ControllerReply:
    """Reply to a :class:`ControllerReport`.

    ``in_charge`` is set if the sender is the lease holder; otherwise all other
    fields are to be ignored. ``loads`` contains the sums over the gateways of
    all other controllers. ``fronts`` counts all gateways, ``reporting`` those
    whose usage may still arrive. ``version`` was the newest configuration
    ``confirmed_age_ms`` ago; -1 if unknown. ``servers`` is sent only if
    ``listing`` differs from that of the report. ``suspects``,
    ``refused`` and ``limits`` are as in :class:`SyncReply`. ``positions`` are
    those of the gateways in the report's ``fronts``. ``extra_loads`` and
    ``demands`` are those of all other controllers' gateways, ``evacuation``
    is ``None`` if it is not newer than that of the report. ``turn_count`` and
    ``turn_until_ms`` are as in :class:`SyncReply`, for ``positions``.
    ``peers`` is a sample of other controllers' gateways, if asked for.
    """

    in_charge: bool
    controllers: tuple[ControllerLocation, ...]
    fronts: int
    loads: bytes
    version: int
    confirmed_age_ms: int
    listing: str
    list_age_ms: int
    servers: tuple[ListedServer, ...]
    reporting: int = 0
    suspects: tuple[str, ...] = ()
    refused: tuple[policy.RefusedTrait, ...] = ()
    limits: tuple[policy.ServerLimit, ...] = ()
    positions: tuple[int, ...] = ()
    extra_loads: bytes = b''
    demands: tuple[ServiceDemand, ...] = ()
    evacuation: Evacuation | None = None
    placements: tuple[policy.PartPlacement, ...] = ()
    turn_count: int = 0
    turn_until_ms: int = 0
    peers: tuple[PeerGateway, ...] = ()


_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('gateway.capnp')))
paddle_kernel.codec.register_schema(
    _SCHEMA,
    (
        policy.CrashReport,
        policy.Incarnation,
        policy.PartPlacement,
        policy.RefusedTrait,
        policy.ServedTrait,
        policy.ServerLimit,
        policy.ServiceVersion,
        Evacuation,
        FindStream,
        ListedServer,
        PeerGateway,
        RecordStreams,
        ServerFlights,
        ServiceDemand,
        StreamFound,
        StreamOrigin,
        StreamsRecorded,
        SyncReply,
        SyncRequest,
        UsageCount,
    ),
    kinds={
        'ControllerPlace': ControllerLocation,
        'FrontNews': RelayedReport,
        'FrontReport': GatewayReport,
        'HubReply': ControllerReply,
        'HubReport': ControllerReport,
    },
)
