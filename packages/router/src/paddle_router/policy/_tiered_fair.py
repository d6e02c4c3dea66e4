"""Scheduler by tier, with guaranteed class shares and fair customers.

Tiers are served in strict order, except that a class that received less than
its guaranteed share while it was waiting goes first. Within a tier each
customer has a virtual counter of the tokens it was served, divided by its
weight; the lowest counter is served next. Source of the counters and of the
lift of a returning customer: Sheng et al., "Fairness in Serving Large
Language Models", OSDI 2024.
"""

import collections
import math

import attrs

from paddle_router.policy import _heap
from paddle_router.policy import _hooks
from paddle_router.policy import _meter

DEFAULT_CAPACITY = 1_000
# A slot is held per generated token, a prompt is processed at once.
DEFAULT_GENERATED_WEIGHT = 10.0
# The guarantees together leave this part of service to strict priority.
MAX_GUARANTEED = 0.5
# Slots are kept for higher tiers only if the next slot may become free later
# than this part of their first-token target. One in twenty waits is longer
# than three mean intervals.
RESERVE_WAIT_PART = 0.5
WAIT_INTERVALS = 3.0
# Expected running requests of the higher tiers below which none is kept.
MIN_RESERVED = 0.1
MAX_RESERVED_PART = 0.5
MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 60_000
COUNTERS_SLACK = 1_024
# A response longer than predicted is charged in steps of so many tokens.
CHARGE_STEP_TOKENS = 16
# The expected wait varies; without a margin half of the requests admitted at
# the limit would expire in the queue.
OFFER_MARGIN = 0.8


@attrs.define(eq=False)
class _ClassQueue:
    """Waiting tickets of one class, one queue per customer."""

    name: str
    policy: _hooks.ClassPolicy
    share: float = 0.0
    # Guaranteed service not yet received; below 0 when ahead.
    credit: float = 0.0
    queued: int = 0
    cost: float = 0.0
    reserved: int = 1
    flows: dict = attrs.field(factory=dict)
    order: _heap.KeyedHeap = attrs.field(factory=_heap.KeyedHeap)
    backlog: _heap.KeyedHeap = attrs.field(factory=_heap.KeyedHeap)

    @property
    def excess(self):
        return max(0, self.queued - self.reserved)


@attrs.define(eq=False)
class _Flow:
    """Waiting tickets of one customer in one class, oldest first."""

    tickets: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    cost: float = 0.0


@attrs.define(eq=False)
class _Tier:
    """Counters of the customers of one tier and its classes."""

    number: int
    virtual: float = 0.0
    cost: float = 0.0
    queued: int = 0
    classes: dict = attrs.field(factory=dict)
    counters: dict = attrs.field(factory=dict)
    prune_at: int = COUNTERS_SLACK
    active: collections.Counter = attrs.field(factory=collections.Counter)
    arrivals: _meter.ArrivalRate = attrs.field(factory=_meter.ArrivalRate)
    requests: _meter.ArrivalRate = attrs.field(factory=_meter.ArrivalRate)
    service: _meter.ServiceRate = attrs.field(factory=_meter.ServiceRate)
    running: int = 0
    target_ms: int = 0

    def floor(self):
        """Return the lowest counter of a waiting customer.

        Without one, the lowest when a request was last taken.
        """
        tops = [group.order.peek() for group in self.classes.values()]
        return min((top[0] for top in tops if top), default=self.virtual)


@attrs.define(eq=False)
class _Started:
    tier: _Tier
    group: _ClassQueue
    charged: float
    tokens: int
    started_ms: int


@_hooks.schedulers.register('tiered_fair')
class TieredFairScheduler:
    """See the module; every operation is O(log n) in the queue length.

    ``capacity`` bounds the queue. In addition each class has a reserve of
    ``min_share * capacity`` places (at least one) outside that bound, so a
    lower tier's guaranteed share never costs a higher tier a place: the
    higher tier's refusals are the same with and without the lower tier.

    Each started ticket must end with ``served(ticket, tokens)``.
    """

    def __init__(
        self,
        *,
        capacity=DEFAULT_CAPACITY,
        classes=None,
        customer_weights=None,
        generated_weight=DEFAULT_GENERATED_WEIGHT,
    ):
        self._capacity = capacity
        self._generated_weight = generated_weight
        self._tiers = {}
        self._groups = []
        self._excess = 0
        self._service = _meter.ServiceRate()
        self._now_ms = 0
        self._latest_start = _heap.KeyedHeap()
        self._started = {}
        self._running_cost = 0.0
        self.apply(classes or {}, customer_weights or {})

    # Settings

    def apply(self, classes, customer_weights):
        self._policies = dict(classes)
        self._customer_weights = dict(customer_weights)
        for group in self._groups:
            group.policy = self._policies.get(group.name, group.policy)
        self._set_shares()

    def _set_shares(self):
        shares = {
            name: policy.min_share for name, policy in self._policies.items()
        }
        for group in self._groups:
            shares.setdefault(group.name, group.policy.min_share)
        factor = min(1.0, MAX_GUARANTEED / (sum(shares.values()) or 1.0))
        for group in self._groups:
            self._excess -= group.excess
            group.share = shares[group.name] * factor
            group.reserved = max(1, int(group.share * self._capacity))
            self._excess += group.excess

    def _place(self, ticket):
        tier = self._tiers.get(ticket.tier)
        if tier is None:
            tier = self._tiers[ticket.tier] = _Tier(number=ticket.tier)
            self._tiers = dict(sorted(self._tiers.items()))
        group = tier.classes.get(ticket.class_name)
        if group is None:
            policy = self._policies.get(
                ticket.class_name, _hooks.ClassPolicy(tier=ticket.tier)
            )
            group = _ClassQueue(name=ticket.class_name, policy=policy)
            tier.classes[ticket.class_name] = group
            self._groups.append(group)
            self._set_shares()
        return tier, group

    def _weight(self, ticket, group):
        weight = self._customer_weights.get(ticket.customer, 1.0)
        return weight * group.policy.weight

    def _cost(self, ticket, generated_tokens):
        return max(
            1.0,
            ticket.prompt_tokens + self._generated_weight * generated_tokens,
        )

    # Queue

    def offer(self, ticket, now_ms):
        self._now_ms = max(self._now_ms, now_ms)
        tier, group = self._place(ticket)
        latest_ms = ticket.deadline_ms - ticket.start_up_ms
        wait_ms = self._wait_ms(tier, group, ticket)
        if wait_ms > OFFER_MARGIN * (latest_ms - now_ms):
            return (self._refusal(ticket, _hooks.DEADLINE, now_ms),)
        self._insert(ticket, tier, group)
        cost = self._cost(ticket, ticket.generated_tokens)
        tier.arrivals.add(cost, now_ms)
        tier.requests.add(1, now_ms)
        tier.target_ms = ticket.deadline_ms - ticket.arrival_ms
        refused = []
        while self._excess > self._capacity:
            victim = self._lowest()
            self.remove(victim)
            refused.append(self._refusal(victim, _hooks.OVERFLOW, now_ms))
        return refused

    def _insert(self, ticket, tier, group):
        customer = ticket.customer
        if not tier.active[customer]:
            tier.counters[customer] = max(
                tier.counters.get(customer, 0.0), tier.virtual
            )
        flow = group.flows.get(customer)
        if flow is None:
            flow = group.flows[customer] = _Flow()
            group.order.set(customer, tier.counters[customer])
        flow.tickets[ticket] = None
        self._latest_start.set(ticket, ticket.deadline_ms - ticket.start_up_ms)
        self._count(ticket, tier, group, flow, 1)

    def _count(self, ticket, tier, group, flow, sign):
        """Add (1) or subtract (-1) a ticket everywhere it is counted."""
        cost = sign * self._cost(ticket, ticket.generated_tokens)
        self._excess -= group.excess
        group.queued += sign
        self._excess += group.excess
        tier.queued += sign
        for part in (tier, group, flow):
            part.cost += cost
        tier.active[ticket.customer] += sign
        if not tier.active[ticket.customer]:
            del tier.active[ticket.customer]
        weight = self._weight(ticket, group)
        group.backlog.set(ticket.customer, -flow.cost / weight)

    def remove(self, ticket):
        if ticket not in self._latest_start:
            return False
        tier, group = self._place(ticket)
        flow = group.flows[ticket.customer]
        del flow.tickets[ticket]
        self._latest_start.discard(ticket)
        self._count(ticket, tier, group, flow, -1)
        if not flow.tickets:
            del group.flows[ticket.customer]
            group.order.discard(ticket.customer)
            group.backlog.discard(ticket.customer)
        return True

    def _lowest(self):
        """Return the ticket to shed: lowest tier, largest backlog, newest."""
        for tier in reversed(self._tiers.values()):
            group = max(tier.classes.values(), key=lambda item: item.excess)
            if group.excess:
                _, customer = group.backlog.peek()
                return next(reversed(group.flows[customer].tickets))
        raise AssertionError('excess without a class above its reserve')

    # Service

    def next(self, free_slots, now_ms):
        self._now_ms = max(self._now_ms, now_ms)
        refused = self._expire(now_ms)
        started = []
        while len(started) < free_slots and self._latest_start:
            tier, group, is_guaranteed = self._pick()
            left = free_slots - len(started)
            if not is_guaranteed and left <= self._reserved(tier, left):
                break
            started.append(self._take(tier, group, now_ms))
        return _hooks.SchedulingDecision(started, refused)

    def _reserved(self, tier, free_slots):
        """Return how many free slots to keep for the tiers above ``tier``.

        Running requests are not preempted. With few slots and long responses
        a higher tier would miss its target before a slot becomes free.
        """
        slots = len(self._started) + free_slots
        rate = self._rate()
        if not rate:
            return 0
        # By cost, so that a class with long responses counts at once.
        interval_ms = self._running_cost / rate / slots
        kept = 0
        for higher in self._tiers.values():
            if higher.number >= tier.number:
                break
            allowed_ms = RESERVE_WAIT_PART * higher.target_ms
            if WAIT_INTERVALS * interval_ms <= allowed_ms:
                continue
            arrivals = higher.requests.rate(self._now_ms)
            expected = arrivals * higher.service.duration_ms
            if expected >= MIN_RESERVED:
                kept += max(0, math.ceil(expected) - higher.running)
        return min(kept, int(MAX_RESERVED_PART * slots))

    def _expire(self, now_ms):
        refused = []
        while True:
            first = self._latest_start.peek()
            if first is None or first[0] >= now_ms:
                return refused
            self.remove(first[1])
            refused.append(self._refusal(first[1], _hooks.DEADLINE, now_ms))

    def _take(self, tier, group, now_ms):
        _, customer = group.order.peek()
        ticket = next(iter(group.flows[customer].tickets))
        tier.virtual = max(tier.virtual, tier.floor())
        cost = self._cost(ticket, ticket.generated_tokens)
        self.remove(ticket)
        self._charge(ticket, tier, group, cost)
        tier.running += 1
        self._running_cost += cost
        self._started[ticket] = _Started(
            tier, group, cost, ticket.generated_tokens, now_ms
        )
        return ticket

    def _pick(self):
        for tier in self._tiers.values():
            behind = [
                group
                for group in tier.classes.values()
                if group.queued and group.credit > 0
            ]
            if behind:
                group = max(behind, key=lambda item: item.credit)
                return tier, group, True
        for tier in self._tiers.values():
            if tier.queued:
                waiting = (
                    item for item in tier.classes.values() if item.queued
                )
                return tier, min(waiting, key=_first_in_group), False
        raise AssertionError('no ticket is queued')

    def _charge(self, ticket, tier, group, cost):
        """Charge the customer and account the classes' guarantees."""
        self._add_to_counter(ticket, tier, group, cost)
        for other in self._groups:
            credit = other.credit + other.share * cost
            other.credit = credit if other.queued else min(0.0, credit)
        # The debt is bounded, so a class that took much in the past gets its
        # guarantee again soon after it needs it.
        group.credit = max(group.credit - cost, -cost)

    def _add_to_counter(self, ticket, tier, group, cost):
        customer = ticket.customer
        counter = tier.counters.get(customer, tier.virtual)
        counter += cost / self._weight(ticket, group)
        tier.counters[customer] = counter
        for other in tier.classes.values():
            if customer in other.flows:
                other.order.set(customer, counter)
        if len(tier.counters) > tier.prune_at:
            self._prune(tier)

    def _prune(self, tier):
        # A counter that would be lifted on return need not be kept.
        tier.counters = {
            name: value
            for name, value in tier.counters.items()
            if value > tier.virtual or name in tier.active
        }
        # Twice what is left, so that the cost per charge stays constant when
        # most counters are kept.
        tier.prune_at = 2 * len(tier.counters) + COUNTERS_SLACK

    def served(self, ticket, tokens, done=True, now_ms=None):
        entry = self._started.get(ticket)
        if entry is None:
            return
        if not done:
            # Called for every chunk; charged in advance in steps.
            if tokens <= entry.tokens:
                return
            tokens += CHARGE_STEP_TOKENS
        if now_ms is not None and now_ms > self._now_ms:
            self._now_ms = now_ms
        entry.tokens = tokens
        difference = self._cost(ticket, tokens) - entry.charged
        if done:
            del self._started[ticket]
            duration_ms = self._now_ms - entry.started_ms
            for meter in (self._service, entry.tier.service):
                meter.add(entry.charged + difference, duration_ms)
            entry.tier.running -= 1
            self._running_cost -= entry.charged
        else:
            self._running_cost += difference
        entry.charged += difference
        self._add_to_counter(ticket, entry.tier, entry.group, difference)
        # Bounded as in _charge: many long responses that end together must
        # not suspend the guarantee.
        group = entry.group
        group.credit = max(group.credit - difference, -entry.charged)

    # Estimates

    def _rate(self):
        """Return the cost served per ms by all running requests, or None."""
        per_request = self._service.per_request()
        return per_request and per_request * max(1, len(self._started))

    def _wait_ms(self, tier, group, ticket):
        """Return the expected wait of a new ticket; 0 when unknown."""
        rate = self._rate()
        if not rate or not self._latest_start:
            return 0
        higher = [
            item for item in self._tiers.values() if item.number < tier.number
        ]
        taken = sum(item.arrivals.rate(self._now_ms) for item in higher)
        tier_rate = max(rate * group.share, rate - taken)
        queued = sum(item.cost for item in higher)
        flow = group.flows.get(ticket.customer)
        queue = own = flow.cost if flow else 0.0
        counter = tier.counters.get(ticket.customer, 0.0)
        own += max(0.0, counter - tier.floor())
        # Other customers are served as much as this one until its turn.
        same = min(tier.cost, own * len(tier.active))
        by_priority = queued / rate + same / tier_rate
        # A guaranteed share is small, so who is present when a turn comes
        # decides; only what is certainly too late is refused.
        debt = -min(0.0, group.credit)
        by_guarantee = (queue + debt) / (rate * group.share)
        return min(by_priority, by_guarantee)

    def _refusal(self, ticket, reason, now_ms):
        after_ms = self.retry_after_ms(ticket.class_name, ticket.tier)
        return _hooks.Refusal(ticket, reason, after_ms)

    def retry_after_ms(self, class_name, tier):
        rate = self._rate()
        if not rate:
            return MIN_RETRY_AFTER_MS
        ahead = sum(
            item.cost for item in self._tiers.values() if item.number <= tier
        )
        return int(
            min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, ahead / rate))
        )

    def dump(self):
        return {
            'queued': len(self._latest_start),
            'running': len(self._started),
            'rate_per_ms': self._rate(),
            'classes': [
                {
                    'name': group.name,
                    'queued': group.queued,
                    'customers': len(group.flows),
                    'credit': group.credit,
                    'share': group.share,
                }
                for group in self._groups
            ],
        }


def _first_in_group(group):
    """Sort key of a class with waiting tickets: counter, then deadline."""
    counter, customer = group.order.peek()
    ticket = next(iter(group.flows[customer].tickets))
    return counter, ticket.deadline_ms
