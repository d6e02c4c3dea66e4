"""Messages between the gateways and the controllers."""

import pathlib

import attrs
import capnp

import paddle_kernel
from paddle_router import policy


@attrs.frozen(kw_only=True)
class ListedServer:
    """A backend server of the platform's list.

    ``cold_ms`` is how much longer it stays slow after its start and
    ``leaves_ms`` how long a reclaimed one still runs, both at the time at
    which the list was read; -1 if unknown. A list that is passed on has
    ``leaves_at_ms`` instead, the agreed time since the Unix epoch, 0 if
    unknown. ``born_ms`` is the start of this incarnation, in ms since the
    Unix epoch, 0 if unknown.
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

    @property
    def incarnation(self):
        """The :class:`paddle_router.policy.Incarnation` that is listed."""
        return policy.Incarnation(self.id, self.born_ms)


@attrs.frozen(kw_only=True)
class ServerFlights:
    """Requests at one backend server, as its senders count them.

    ``running`` have started or wait at the server, ``prefill`` are the
    prompt tokens that it has still to read. ``failures`` and ``answers``
    count the last few seconds, ``pace_ms`` is the mean time of an answer or,
    of a stream, between events, and ``read_rate`` the prompt tokens a second
    that were sent to it.
    """

    id: str
    running: int
    prefill: int = 0
    failures: int = 0
    answers: int = 0
    pace_ms: int = 0
    read_rate: int = 0


@attrs.frozen(kw_only=True)
class UsageCount:
    """Requests of a customer that began in a window, cumulative."""

    window: int
    customer: str
    requests: int


@attrs.frozen(kw_only=True)
class GatewayReport:
    """State of one gateway; ``sequence`` grows with each report.

    ``server_rate`` is the measured number of prompt tokens that an engine
    reads a second, 0 if unknown. ``leaving`` are the servers that have said
    that they leave and are not listed so.
    """

    name: str
    incarnation: str
    sequence: int
    flights: tuple[ServerFlights, ...]
    usage: tuple[UsageCount, ...]
    server_rate: int = 0
    leaving: tuple[policy.Incarnation, ...] = ()


@attrs.frozen(kw_only=True)
class SyncRequest:
    """What a gateway knows.

    ``version`` and ``listing`` name the configuration and the list held;
    ``attached`` asks for newer ones.
    """

    reports: tuple[GatewayReport, ...]
    version: int
    listing: str
    attached: bool


@attrs.frozen(kw_only=True)
class ControllerLocation:
    """Peer address of a controller and its failure domain."""

    address: str
    domain: str


@attrs.frozen(kw_only=True)
class SyncReply:
    """What a controller knows.

    ``controllers`` are those that were heard of lately. ``confirmed`` tells
    whether ``version`` is known to be the newest. ``document`` (compressed by
    zlib) and ``servers`` are sent only when they are newer than what the
    caller holds. ``totals`` are the sums over all gateways (see
    :func:`pack_loads`), empty if the caller gave no report; ``counted`` is the
    sequence of the caller's own report in it. ``period_ms`` is the time
    until the next exchange, ``true_ms`` the agreed time since the Unix epoch.
    ``unheard_holder`` is the address of the lease's holder while the
    controller cannot reach it, so that it cannot pass anything on.
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


@attrs.frozen(kw_only=True)
class RelayedReport:
    """What a controller passes on of a gateway that exchanges state with it.

    ``sequence`` and ``server_rate`` are those of the gateway's last report,
    made ``age_ms`` ago. ``usage`` holds the counts that the receiver has not
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
    """What a controller knows of its gateways, for the one in charge.

    ``loads`` are the sums over these gateways (see :func:`pack_loads`),
    ``leaving`` the servers of which they heard that they leave.
    """

    place: ControllerLocation
    fronts: tuple[RelayedReport, ...]
    loads: bytes
    version: int
    listing: str
    leaving: tuple[policy.Incarnation, ...] = ()


@attrs.frozen(kw_only=True)
class ControllerReply:
    """Answer to a :class:`ControllerReport`.

    Everything but ``in_charge`` counts only from the holder of the lease.
    ``loads`` are the sums over the gateways of all other controllers,
    ``fronts`` counts all gateways and ``reporting`` those whose usage may
    still arrive. ``version`` was the newest configuration
    ``confirmed_age_ms`` ago; an age of -1 means that it is unknown.
    ``servers`` is sent only when ``listing`` is not the caller's.
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


_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('gateway.capnp')))
paddle_kernel.codec.register_schema(
    _SCHEMA,
    (
        policy.Incarnation,
        ListedServer,
        ServerFlights,
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
