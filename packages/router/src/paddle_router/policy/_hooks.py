"""Interfaces of the policy plug-ins and the data they exchange.

Policies do no I/O. Times are integer milliseconds given by the caller, and
randomness comes from a given ``random.Random``. Token counts are integers.
"""

import collections.abc
import typing

import attrs
import paddle_kernel

schedulers = paddle_kernel.Registry('scheduler')
balancers = paddle_kernel.Registry('balancer')
planners = paddle_kernel.Registry('planner')

DEFAULT_MIN_SHARE = 0.02

OVERFLOW = 'overflow'
DEADLINE = 'deadline'


@attrs.frozen(kw_only=True)
class ClassPolicy:
    """Settings of one request class.

    ``min_share`` is the fraction of all service that is guaranteed to the
    class while it has requests waiting. Tier 1 is the highest. The targets
    ``first_token_ms`` and ``inter_token_ms`` are in ms.
    """

    tier: int = 1
    weight: float = attrs.field(default=1.0, validator=attrs.validators.gt(0))
    min_share: float = attrs.field(
        default=DEFAULT_MIN_SHARE, validator=attrs.validators.gt(0)
    )
    first_token_ms: int = 1_400
    inter_token_ms: int = 53


@attrs.frozen(kw_only=True, eq=False)
class Ticket:
    """A request that waits for a slot; compared by identity.

    ``deadline_ms`` is the time by which the first token is due and
    ``start_up_ms`` the expected time from the start of the request to its
    first token. ``payload`` is opaque to the scheduler.
    """

    customer: str
    class_name: str
    tier: int
    prompt_tokens: int
    generated_tokens: int
    arrival_ms: int
    deadline_ms: int
    start_up_ms: int = 0
    payload: typing.Any = None


@attrs.frozen
class Refusal:
    """A ticket whose request is refused and has not been run."""

    ticket: Ticket
    reason: str
    retry_after_ms: int


@attrs.frozen
class SchedulingDecision:
    """Tickets to start now, in order, and tickets to refuse."""

    started: collections.abc.Sequence[Ticket] = ()
    refused: collections.abc.Sequence[Refusal] = ()


class Scheduler(typing.Protocol):
    """Decides which waiting request gets the next free slot."""

    def offer(
        self, ticket: Ticket, now_ms: int
    ) -> collections.abc.Sequence[Refusal]:
        """Queue ``ticket``; return the refusals that result from it."""

    def next(self, free_slots: int, now_ms: int) -> SchedulingDecision:
        """Start up to ``free_slots`` tickets and refuse expired ones.

        With 0 free slots, only refuse expired tickets.
        """

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket whose caller left; return if it was queued."""

    def served(
        self,
        ticket: Ticket,
        tokens: int,
        done: bool = True,
        now_ms: int | None = None,
    ) -> None:
        """Correct the cost charged for a started ticket.

        ``tokens`` is the number generated so far; with ``done`` it is final.
        Without ``now_ms`` the time of the latest call is used.
        """

    def apply(
        self,
        classes: collections.abc.Mapping[str, ClassPolicy],
        customer_weights: collections.abc.Mapping[str, float],
    ) -> None:
        """Replace weights and shares; queued tickets stay queued."""

    def retry_after_ms(self, class_name: str, tier: int) -> int:
        """Return after how many ms to retry a refused request."""

    def dump(self) -> dict:
        """Return the state as plain data."""


@attrs.frozen(kw_only=True)
class Engine:
    """A backend server that a balancer can choose.

    ``born_ms`` is its start in ms since the Unix epoch, 0 if unknown. A
    different value means a different incarnation with the same id. An
    ``evacuated`` one gets no requests until its domain is used again.
    ``kv_tokens`` is its memory for tokens, 0 if unknown.
    It is cold until ``cold_until_ms``, by the same clock; 0 if it is not.
    """

    id: str
    born_ms: int = 0
    failure_domain: str = ''
    cold_until_ms: int = 0
    slots: int = 8
    cheap: bool = False
    leaving: bool = False
    evacuated: bool = False
    can_resume: bool = False
    kv_tokens: int = 0


@attrs.frozen(kw_only=True)
class Work:
    """Properties of a request by which the balancer chooses an engine.

    ``prefix`` holds the digests of the prompt's leading blocks, shortest
    prefix first. ``avoid`` holds the ids of engines of earlier attempts.
    """

    prompt_tokens: int = 0
    prefix: tuple = ()
    avoid: frozenset = frozenset()


@attrs.define(eq=False)
class Flight:
    """An in-flight request on an engine; opaque to callers."""

    engine_id: str
    work: Work
    started_ms: int
    last_ms: int
    tokens: int = 0
    is_late: bool = False
    is_probe: bool = False


@attrs.frozen(kw_only=True)
class LoadReport:
    """A load report of an engine, ``age_ms`` old when received.

    ``pace_percent`` is how long work takes on the engine's machine relative
    to an undisturbed one, ``None`` if the engine does not tell it.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 0
    age_ms: int = 0
    pace_percent: int | None = None


class Balancer(typing.Protocol):
    """Decides which engine runs a request."""

    def sync(
        self, engines: collections.abc.Iterable[Engine], now_ms: int
    ) -> None:
        """Replace the list of engines; drop the state of unlisted ones."""

    def set_share(self, low: float, high: float) -> None:
        """Set this daemon's share [low, high) of every engine's slots.

        The shares of all daemons cover [0, 1) without overlap, so that the
        daemons together never use more slots than an engine has.
        """

    def free_slots(self) -> int:
        """Return how many requests can be placed now."""

    def choose(
        self,
        candidates: collections.abc.Sequence[Engine],
        work: Work,
        now_ms: int,
    ) -> Flight | None:
        """Occupy a slot of one of ``candidates``; None if none is free."""

    def observe(self, flight: Flight, now_ms: int, tokens: int) -> None:
        """Record that the response now has ``tokens`` tokens in total."""

    def finish(self, flight: Flight, now_ms: int, ok: bool) -> None:
        """Free the slot. ``ok`` is false only for a fault of the engine."""

    def report(self, engine_id: str, report: LoadReport, now_ms: int) -> None:
        """Record a load report."""

    def tick(self, now_ms: int) -> collections.abc.Sequence:
        """Eject slow engines; return the new ejections.

        Must be called at least every 100 ms.
        """

    def drop_domain(
        self, failure_domain: str, now_ms: int
    ) -> collections.abc.Sequence[Flight]:
        """Eject all engines of a domain; return their in-flight requests."""

    def probes(self, now_ms: int) -> collections.abc.Sequence[Flight]:
        """Return the probes to send now, each a one-token request.

        Report their outcome to ``observe`` and ``finish``.
        """

    def dump(self) -> dict:
        """Return the state as plain data."""


class Planner(typing.Protocol):
    """Decides which backend servers to order, drain, stop and load."""

    def plan(self, view) -> collections.abc.Sequence:
        """Return the orders for a :class:`PlanView`."""
