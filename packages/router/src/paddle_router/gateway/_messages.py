"""Messages between the gateways and the controllers."""

import pathlib

import attrs
import capnp

import paddle_kernel


@attrs.frozen(kw_only=True)
class ListedServer:
    """A backend server of the platform's list.

    ``cold_ms`` is how much longer it stays slow after its start.
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
class FrontReport:
    """State of one gateway; ``sequence`` grows with each report.

    ``server_rate`` is the measured number of prompt tokens that an engine
    reads a second, 0 if unknown.
    """

    name: str
    incarnation: str
    sequence: int
    flights: tuple[ServerFlights, ...]
    usage: tuple[UsageCount, ...]
    server_rate: int = 0


@attrs.frozen(kw_only=True)
class SyncRequest:
    """What a gateway, or a controller for its gateways, knows.

    ``version`` and ``listing`` name the configuration and the list held;
    ``attached`` asks for newer ones.
    """

    reports: tuple[FrontReport, ...]
    version: int
    listing: str
    attached: bool


@attrs.frozen(kw_only=True)
class SyncReply:
    """What a controller knows.

    ``controller`` is the address of the one in charge, empty if unknown.
    ``confirmed`` tells whether ``version`` is known to be the newest.
    ``document`` (compressed by zlib) and ``servers`` are sent only when they
    are newer than what the caller holds. ``flights`` are sums over all
    gateways, ``true_ms`` is the agreed time since the Unix epoch.
    """

    controller: str
    members: tuple[str, ...]
    confirmed: bool
    version: int
    document: bytes | None
    listing: str
    servers: tuple[ListedServer, ...]
    fronts: int
    flights: tuple[ServerFlights, ...]
    true_ms: int


_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('gateway.capnp')))
paddle_kernel.codec.register_schema(
    _SCHEMA,
    (
        FrontReport,
        ListedServer,
        ServerFlights,
        SyncReply,
        SyncRequest,
        UsageCount,
    ),
)
