"""What the gateway routes by: configuration, servers and requests.

An adapter decodes a platform's documents into these types and encodes them
again; nothing here depends on the names that a platform uses.
"""

import enum

import attrs


class Kind(enum.Enum):
    """What may be done with a request again."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@attrs.frozen(kw_only=True)
class Weight:
    """Part of a route's requests that goes to ``service``."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Requests of one host and path prefix.

    ``attempts`` is the largest number of backend servers for one request,
    ``target_ms`` the latency target, ``gap_ms`` the longest pause between
    events for which a stream is on time. Priority 0 is the highest.
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
        """Whether a request may run more than once."""
        return self.kind is Kind.SAFE or (
            self.kind is Kind.STREAM and self.can_resume
        )


@attrs.frozen(kw_only=True)
class EngineTraits:
    """What is told about the model engines of a service.

    An event of a stream holds ``stride`` tokens. With ``moves``, a run can be
    stopped and go on at another server.
    """

    slots: int
    kv_tokens: int
    stride: int = 1
    moves: bool = False


@attrs.frozen(kw_only=True)
class Scaling:
    """Bounds, per failure domain, on the servers that may be ordered.

    ``prices`` gives each failure domain's price of a server and second;
    ``spot_price`` is the part of it that a reclaimable server costs.
    """

    minimum: int
    maximum: int
    boot_ms: int
    spot_price: float | None
    prices: dict


@attrs.frozen(kw_only=True)
class Service:
    """A group of like backend servers."""

    name: str
    health_path: str
    connection_limit: int
    engine: EngineTraits | None = None
    scaling: Scaling | None = None


@attrs.frozen(kw_only=True)
class Limits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: int = 3_000
    idle_ms: int = 15_000


@attrs.frozen(kw_only=True)
class Customer:
    """A customer; ``priority`` goes before that of the route."""

    name: str
    priority: int | None = None


@attrs.frozen(kw_only=True)
class Configuration:
    """A whole configuration under the operator's version.

    ``customers`` maps keys to customers; ``None`` if no keys are asked for.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict
    limits: Limits
    customers: dict | None


class ConfigurationError(ValueError):
    """A configuration is not valid; the text names the place."""


@attrs.frozen(kw_only=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


@attrs.frozen(kw_only=True)
class RequestMetadata:
    """What the headers of a request say.

    ``deadline_ms`` is the time that the caller waits, counted from the
    arrival; ``length_hint`` the caller's estimate of the output tokens.
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


@attrs.frozen(kw_only=True)
class Load:
    """Requests that run and wait at a server, and its places."""

    running: int
    waiting: int
    slots: int


@attrs.frozen(kw_only=True)
class ResponseMetadata:
    """What the headers of a backend server's answer say.

    ``has_run`` is false only if the server states that it did not run the
    request, ``is_gone`` is set if it is not the server that was meant.
    ``idle_ms`` is the time after which an idle connection is closed.
    ``is_leaving`` is set if the server says that it leaves; ``quiet_ms`` is
    the time for which it wants no request, and ``invalid_quiet`` the text of
    one that cannot be used.
    """

    request_id: str | None = None
    has_run: bool = True
    is_gone: bool = False
    is_stamped: bool = False
    load: Load | None = None
    idle_ms: int | None = None
    closes: bool = False
    is_leaving: bool = False
    quiet_ms: float | None = None
    invalid_quiet: str | None = None


@attrs.frozen(kw_only=True)
class ForwardingContext:
    """What the gateway adds to a request for a backend server.

    ``copy`` names the memory of a stopped run that it goes on from, as the
    address that made it and its handle.
    """

    left_ms: int
    server_id: str
    customer: str | None
    urgency: int | None
    last_event_id: bytes | None = None
    copy: tuple[str, str] | None = None
