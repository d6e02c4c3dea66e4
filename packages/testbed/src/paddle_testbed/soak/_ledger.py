"""Records of callers, backend servers, processes and faults of a seed."""

import time

import attrs

SAFE = 'safe'
BOOK = 'book'
CHAT = 'chat'
EVENTS_PER_STREAM = 8


def now_ms():
    """Return monotonic time in ms."""
    return time.monotonic_ns() // 1_000_000


@attrs.frozen(kw_only=True)
class Run:
    """A request that arrived at a backend server.

    ``is_run`` is false if the server rejected it as not run; ``last_event`` is
    the number of the last event that was received before a stream was resumed.
    """

    request_id: str
    kind: str
    server: str
    at_ms: int
    is_run: bool = True
    last_event: int = 0


@attrs.define(kw_only=True)
class Attempt:
    """A request of a caller; ``status`` is ``None`` without an answer.

    ``has_own_body`` is false if the body belongs to another request,
    ``is_complete`` is true if the whole answer arrived, and ``events`` are the
    numbers of the events of a stream.
    """

    request_id: str
    kind: str
    gateway: str
    sent_ms: int
    ended_ms: int | None = None
    status: int | None = None
    has_own_body: bool = True
    is_complete: bool = False
    events: list = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Notice:
    """A notice to leave or to stay without requests, in a server's answer.

    ``quiet_ms`` is the time in which it wants no requests, 0 if it leaves;
    ``address`` is the address under which it is listed.
    """

    request_id: str
    server: str
    address: str
    at_ms: int
    quiet_ms: int = 0


@attrs.frozen(kw_only=True)
class LimitPeriod:
    """A time in which a server named a limit in all its answers."""

    server: str
    limit_per_s: float
    begin_ms: int
    end_ms: int


@attrs.frozen(kw_only=True)
class EvacuationPeriod:
    """A time between an acknowledged evacuation and its withdrawal.

    ``servers`` are the names that servers of the domain had in it.
    """

    domain: str
    servers: frozenset
    begin_ms: int
    end_ms: int


@attrs.frozen(kw_only=True)
class Signal:
    """A signal that was sent to a process or that a process logged."""

    machine: str
    pid: int
    name: str
    at_ms: int


@attrs.frozen(kw_only=True)
class Disturbance:
    """A fault of one kind between two times."""

    kind: str
    target: str
    begin_ms: int
    end_ms: int


@attrs.define
class Ledger:
    """Records of one seed, in the order in which they were made."""

    runs: list = attrs.field(factory=list)
    notices: list = attrs.field(factory=list)
    limit_periods: list = attrs.field(factory=list)
    evacuations: list = attrs.field(factory=list)
    # Evacuated domains that controllers returned at the end, by controller.
    evacuated_after: dict = attrs.field(factory=dict)
    # Signals sent and logged.
    signals: list = attrs.field(factory=list)
    reported: list = attrs.field(factory=list)
    # Times by pid: of restarts, of kills, and of the ends of planned stops.
    started: dict = attrs.field(factory=dict)
    killed: dict = attrs.field(factory=dict)
    ended: dict = attrs.field(factory=dict)
    attempts: list = attrs.field(factory=list)
    disturbances: list = attrs.field(factory=list)
    # Submitted configurations by version, and acknowledged versions.
    sent: dict = attrs.field(factory=dict)
    acknowledged: list = attrs.field(factory=list)
    # Configurations that controllers returned at the end, by controller, and
    # ratios of requests served after all faults had ended, by gateway.
    read_back: dict = attrs.field(factory=dict)
    served_after: dict = attrs.field(factory=dict)
    # Machines and exit codes of processes that ended although nothing stopped
    # them.
    unexpected_exits: list = attrs.field(factory=list)
    # Faults whose repair took too long, and the condition waited for.
    overdue: list = attrs.field(factory=list)
    # Planned stops: machine, exit code and duration in ms.
    stops: list = attrs.field(factory=list)
