"""What callers sent and got, and what backend servers ran."""

import time

import attrs

SAFE = 'safe'
BOOK = 'book'
CHAT = 'chat'
EVENTS = 8


def now_ms():
    """Return monotonic time in ms."""
    return time.monotonic_ns() // 1_000_000


@attrs.frozen(kw_only=True)
class Run:
    """A request that arrived at a backend server.

    ``is_run`` is false if the server rejected it as not run; ``after`` is the
    last event that the caller had when a stream was resumed.
    """

    request_id: str
    kind: str
    server: str
    at_ms: int
    is_run: bool = True
    after: int = 0


@attrs.define(kw_only=True)
class Attempt:
    """A request of a caller; ``status`` is ``None`` without an answer.

    ``is_own`` is false if the body belongs to another request; ``events`` are
    the numbers of the events of a stream; ``is_whole`` tells whether the
    answer ended as complete.
    """

    request_id: str
    kind: str
    gateway: str
    sent_ms: int
    ended_ms: int | None = None
    status: int | None = None
    is_own: bool = True
    is_whole: bool = False
    events: list = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Wish:
    """What a server said in its answer to a request.

    ``quiet_ms`` is the time for which it wants no request, 0 if it leaves;
    ``address`` is where it is listed.
    """

    request_id: str
    server: str
    address: str
    at_ms: int
    quiet_ms: int = 0


@attrs.frozen(kw_only=True)
class Signal:
    """A signal that was sent to a process or that one logged."""

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
    wishes: list = attrs.field(factory=list)
    # Signals sent and logged.
    signals: list = attrs.field(factory=list)
    reported: list = attrs.field(factory=list)
    # When processes were started again, were killed, and ended after a stop.
    started: dict = attrs.field(factory=dict)
    killed: dict = attrs.field(factory=dict)
    ended: dict = attrs.field(factory=dict)
    attempts: list = attrs.field(factory=list)
    disturbances: list = attrs.field(factory=list)
    # Versions of the configuration: handed in, and acknowledged.
    sent: dict = attrs.field(factory=dict)
    acknowledged: list = attrs.field(factory=list)
    # What controllers answered to a read at the end, and shares of requests
    # that were served after all faults had ended, by gateway.
    read_back: dict = attrs.field(factory=dict)
    served_after: dict = attrs.field(factory=dict)
    # Exits of processes that were not asked for, and of planned stops.
    own_ends: list = attrs.field(factory=list)
    # Faults whose repair did not end in time, and what was waited for.
    overdue: list = attrs.field(factory=list)
    stops: list = attrs.field(factory=list)
