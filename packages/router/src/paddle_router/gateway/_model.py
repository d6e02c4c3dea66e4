"""Data types for the configuration and the metadata of requests.

An adapter converts between these types and a platform's documents and headers;
nothing here depends on the names that a platform uses.
"""

import enum

import attrs

BITS_PER_BYTE = 8
# Bits per ms of a link with 1 Mbit/s.
BITS_PER_MEGABIT_MS = 1_000


class Kind(enum.Enum):
    """How a request may be retried.

    ``SAFE``: it may run again. ``UNSAFE``: it may not. ``STREAM``: its
    response is a stream of events, and the route decides whether the stream
    can be resumed.
    """

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@attrs.frozen(kw_only=True)
class Weight:
    """Relative share of a route's requests that is sent to ``service``."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Settings for requests with one host and path prefix.

    ``attempts`` is the maximum number of backend servers for one request,
    ``target_ms`` the latency target and ``gap_ms`` the target for the pause
    between events of a stream. Priority 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    timeout_ms: int
    target_ms: int
    priority: int
    services: tuple[Weight, ...]
    attempts: int = 1
    is_public: bool = False
    can_resume: bool = False
    gap_ms: int = 0

    @property
    def is_idempotent(self):
        """Whether requests may run more than once."""
        return self.kind is Kind.SAFE or (
            self.kind is Kind.STREAM and self.can_resume
        )


@attrs.frozen(kw_only=True)
class EngineTraits:
    """Configured properties of the model engines of a service.

    An event of a stream contains ``stride`` tokens. With ``moves``, a run can
    be stopped and continued on another server. An engine's link carries
    ``link_mbps`` and a cached token has ``kv_token_bytes``; 0 if unknown.
    """

    slots: int
    kv_tokens: int
    stride: int = 1
    moves: bool = False
    kv_token_bytes: int = 0
    link_mbps: float = 0.0

    @property
    def copy_rate(self):
        """Cached tokens per ms that the link carries, 0 if unknown."""
        if not self.kv_token_bytes:
            return 0.0
        return (
            self.link_mbps
            * BITS_PER_MEGABIT_MS
            / (self.kv_token_bytes * BITS_PER_BYTE)
        )


@attrs.frozen(kw_only=True)
class Scaling:
    """Limits on the number of servers in each failure domain.

    ``prices`` maps failure domains to the price of a server per second.
    ``spot_price`` is the fraction of this price for a reclaimable server.
    """

    minimum: int
    maximum: int
    boot_ms: int
    spot_price: float | None
    prices: dict


@attrs.frozen(kw_only=True)
class Service:
    """A group of equivalent backend servers.

    A server that has just started is cold for ``cold_start_ms`` and then
    tolerates ``cold_rate_per_s`` requests per second from all gateways
    together; 0 means that no limit is specified.
    """

    name: str
    health_path: str
    connection_limit: int
    engine: EngineTraits | None = None
    scaling: Scaling | None = None
    cold_start_ms: int = 0
    cold_rate_per_s: float = 0.0


@attrs.frozen(kw_only=True)
class Limits:
    """Limits on the size of a request, and on its arrival and idle times."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: int = 3_000
    idle_ms: int = 15_000


@attrs.frozen(kw_only=True)
class Customer:
    """A customer; ``priority`` takes precedence over the route's one."""

    name: str
    priority: int | None = None


@attrs.frozen(kw_only=True)
class Configuration:
    """A complete configuration with the operator's version number.

    ``customers`` maps access keys to customers; ``None`` if no keys are
    required.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict
    limits: Limits
    customers: dict | None


class ConfigurationError(ValueError):
    """A configuration is invalid; the text names the faulty part."""


@attrs.frozen(kw_only=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


@attrs.frozen(kw_only=True)
class RequestMetadata:
    """Information from the headers of a request.

    ``deadline_ms`` is how long the caller waits after the arrival of the
    request, ``length_hint`` the caller's estimate of the output tokens. A
    caller that takes a stream up again sends the id of its last event and
    ``resumed_id``, that of the request that brought the first one.
    """

    request_id: str | None = None
    deadline_ms: int | None = None
    key: str | None = None
    model: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    length_hint: int | None = None
    parts: tuple[PromptPart, ...] = ()
    last_event_id: bytes | None = None
    resumed_id: str | None = None

    @property
    def shared_part_ids(self):
        """The ids of all parts but the last, which is the request's own."""
        return tuple(part.id for part in self.parts[:-1])


@attrs.frozen(kw_only=True)
class Load:
    """Running and waiting requests of a server, and its number of slots.

    ``pace_percent`` is how long work takes on the server's machine, 100 if
    undisturbed; ``None`` if the server does not tell it.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int | None = None


@attrs.frozen(kw_only=True)
class ResponseMetadata:
    """Information from the status and headers of a server's response.

    ``has_run`` is false only if the server states that it did not run the
    request. ``is_misdirected`` is set if another server responded at the
    address. ``is_signed`` is set if the response has the server's signature.
    ``idle_ms`` is the time after which the server closes an idle connection.
    ``is_leaving`` is set if the server announces its shutdown. ``quiet_ms`` is
    the time during which it accepts no requests, ``invalid_quiet`` the text of
    a quiet time that cannot be used. ``limit_per_s`` is the number of requests
    per second that the server takes from all instances together, ``None`` if
    it names none, and ``invalid_limit`` the text of one that cannot be used.
    ``brittle_per_s`` is set if the server is brittle: one that turns away more
    requests a second for want of room falls over. ``invalid_brittle`` is the
    text of such a number that cannot be used.
    """

    request_id: str | None = None
    has_run: bool = True
    is_misdirected: bool = False
    is_signed: bool = False
    load: Load | None = None
    idle_ms: int | None = None
    closes: bool = False
    is_leaving: bool = False
    quiet_ms: float | None = None
    invalid_quiet: str | None = None
    limit_per_s: float | None = None
    invalid_limit: str | None = None
    brittle_per_s: float | None = None
    invalid_brittle: str | None = None

    def without_figures(self):
        """Return a copy without quiet time, limit and brittleness.

        These were only valid when the response was first sent.
        """
        return attrs.evolve(
            self,
            quiet_ms=None,
            invalid_quiet=None,
            limit_per_s=None,
            invalid_limit=None,
            brittle_per_s=None,
            invalid_brittle=None,
        )


@attrs.frozen(kw_only=True)
class RunCopy:
    """A copy of a stopped run at another server.

    ``events`` is how many the run had made, 0 if the server does not say.
    """

    handle: str
    events: int = 0


@attrs.frozen(kw_only=True)
class ForwardingContext:
    """Information that the gateway adds to a request for a backend server.

    ``copy`` identifies the copied KV cache of a stopped run to continue, as
    the address of the source server and a handle. ``copy_parts_from`` is the
    address of the server from which to copy cached prompt parts.
    """

    left_ms: int
    server_id: str
    customer: str | None
    urgency: int | None
    last_event_id: bytes | None = None
    copy: tuple[str, str] | None = None
    copy_parts_from: str | None = None
