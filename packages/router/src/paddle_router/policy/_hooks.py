"""Hook specifications of the policies and the data they exchange.

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

    ``min_share`` is the part of all service guaranteed to the class while it
    has requests waiting. Tier 1 is the highest. Targets are in ms.
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
    """One request that waits for a slot; compared by identity.

    ``deadline_ms`` is the time by which the first token is due and
    ``start_up_ms`` the expected time from the start to the first token.
    ``payload`` belongs to the caller.
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
    """A ticket that gets its final answer "not run" now."""

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
        """Queue ``ticket``; return the tickets refused because of it."""

    def next(self, free_slots: int, now_ms: int) -> SchedulingDecision:
        """Take up to ``free_slots`` tickets; with 0, refuse late ones."""

    def remove(self, ticket: Ticket) -> bool:
        """Forget a queued ticket whose caller left; tell if it was queued."""

    def served(
        self,
        ticket: Ticket,
        tokens: int,
        done: bool = True,
        now_ms: int | None = None,
    ) -> None:
        """Correct the account of a started ticket.

        ``tokens`` is the number generated so far; with ``done`` it is final.
        Without ``now_ms`` the time of the last other call is used.
        """

    def apply(
        self,
        classes: collections.abc.Mapping[str, ClassPolicy],
        customer_weights: collections.abc.Mapping[str, float],
    ) -> None:
        """Use other weights and shares; queued tickets stay queued."""

    def retry_after_ms(self, class_name: str, tier: int) -> int:
        """Return when a refused request of the class may be sent again."""

    def dump(self) -> dict:
        """Return the state as plain data."""


@attrs.frozen(kw_only=True)
class Engine:
    """A backend server that can be chosen.

    ``born_ms`` is its start in ms since the Unix epoch, 0 if unknown; another
    one is another incarnation under the same id.
    """

    id: str
    born_ms: int = 0
    failure_domain: str = ''
    slots: int = 8
    cheap: bool = False
    leaving: bool = False
    can_resume: bool = False


@attrs.frozen(kw_only=True)
class Work:
    """What the balancer needs to know of a request.

    ``prefix`` holds the digests of the prompt's leading blocks, shortest
    prefix first. ``avoid`` names engines of earlier attempts.
    """

    prompt_tokens: int = 0
    prefix: tuple = ()
    avoid: frozenset = frozenset()


@attrs.define(eq=False)
class Flight:
    """A request on an engine; state of the balancer, opaque to callers."""

    engine_id: str
    work: Work
    started_ms: int
    last_ms: int
    tokens: int = 0
    is_late: bool = False
    is_probe: bool = False


@attrs.frozen(kw_only=True)
class LoadReport:
    """The last load report of an engine, ``age_ms`` old when received."""

    running: int = 0
    waiting: int = 0
    slots: int = 0
    age_ms: int = 0


class Balancer(typing.Protocol):
    """Decides which engine runs a request."""

    def sync(
        self, engines: collections.abc.Iterable[Engine], now_ms: int
    ) -> None:
        """Use this list of engines; engines not listed are forgotten."""

    def set_share(self, low: float, high: float) -> None:
        """Own the part [low, high) of every engine's slots.

        The parts of all daemons cover [0, 1) without overlap, so that the
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
        """Occupy a slot of one of ``candidates``; None when none is free."""

    def observe(self, flight: Flight, now_ms: int, tokens: int) -> None:
        """Note that the response now has ``tokens`` tokens in all."""

    def finish(self, flight: Flight, now_ms: int, ok: bool) -> None:
        """Free the slot. ``ok`` is false only for a fault of the engine."""

    def report(self, engine_id: str, report: LoadReport, now_ms: int) -> None:
        """Note a load report."""

    def tick(self, now_ms: int) -> collections.abc.Sequence:
        """Judge engines, at least every 100 ms; return new ejections."""

    def drop_domain(
        self, failure_domain: str, now_ms: int
    ) -> collections.abc.Sequence[Flight]:
        """Drop the engines of a domain; return the flights they held."""

    def probes(self, now_ms: int) -> collections.abc.Sequence[Flight]:
        """Return the probes to send now, a one-token request each.

        Answers are given to ``observe`` and ``finish``.
        """

    def dump(self) -> dict:
        """Return the state as plain data."""


class Planner(typing.Protocol):
    """Decides which backend servers to order, drain, stop and load."""

    def plan(self, view) -> collections.abc.Sequence:
        """Return the orders for a :class:`PlanView`."""
