"""Scheduler by tier, with guaranteed class shares and fair customers.

Tiers are served in order of strict priority, except that a class that received
less than its guaranteed share while it was waiting goes first. Within a tier
customers are served by weighted fair queueing: each customer has a counter of
the tokens it was served, divided by its weight, and the customer with the
lowest counter is served next. When a customer returns after idle time, its
counter is raised to the tier's virtual time. Source of this method: Sheng et
al., "Fairness in Serving Large Language Models", OSDI 2024.
"""

import collections
import math

import attrs

from paddle_router.policy import _heap
from paddle_router.policy import _hooks
from paddle_router.policy import _meter

DEFAULT_CAPACITY_REQUESTS = 1_000
# Cost of a generated token in prompt tokens. Each generated token occupies the
# slot for a step, while the prompt is processed in one go.
DEFAULT_GENERATED_WEIGHT = 10.0
# Upper limit of the sum of all guaranteed shares; the rest of the service goes
# by strict priority.
MAX_GUARANTEED_RATIO = 0.5
# Slots are reserved for a higher tier only if ``WAIT_INTERVALS`` mean
# intervals between freed slots exceed this fraction of its time-to-first-token
# target.
# One in twenty waits for a slot is longer than three mean intervals.
RESERVE_WAIT_RATIO = 0.5
WAIT_INTERVALS = 3.0
# No slot is reserved for a higher tier with fewer expected running requests.
MIN_EXPECTED_RUNNING = 0.1
MAX_RESERVED_RATIO = 0.5
MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 60_000
COUNTERS_PRUNE_SLACK = 1_024
# A response longer than predicted is charged in steps of this many tokens.
CHARGE_STEP_TOKENS = 16
# A request is admitted if its expected wait is below this fraction of the time
# left. The wait varies, so that without this margin half of the requests
# admitted at the limit would expire in the queue.
MAX_WAIT_RATIO = 0.8


@attrs.define(eq=False)
class _ClassQueue:
    """Waiting tickets of one class, one queue per customer."""

    name: str
    policy: _hooks.ClassPolicy
    share: float = 0.0
    # Guaranteed service not yet received; negative if the class received more.
    credit: float = 0.0
    queued: int = 0
    cost: float = 0.0
    reserved_places: int = 1
    flows: dict = attrs.field(factory=dict)
    customers_by_counter: _heap.KeyedHeap = attrs.field(
        factory=_heap.KeyedHeap
    )
    customers_by_cost: _heap.KeyedHeap = attrs.field(factory=_heap.KeyedHeap)

    @property
    def excess(self):
        return max(0, self.queued - self.reserved_places)


@attrs.define(eq=False)
class _Flow:
    """Waiting tickets of one customer in one class, oldest first."""

    tickets: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    cost: float = 0.0


@attrs.define(eq=False)
class _Tier:
    """Customer counters, classes and service rates of one tier."""

    number: int
    virtual_time: float = 0.0
    cost: float = 0.0
    queued: int = 0
    classes: dict = attrs.field(factory=dict)
    counters: dict = attrs.field(factory=dict)
    prune_threshold: int = COUNTERS_PRUNE_SLACK
    active: collections.Counter = attrs.field(factory=collections.Counter)
    arrivals: _meter.ArrivalRate = attrs.field(factory=_meter.ArrivalRate)
    requests: _meter.ArrivalRate = attrs.field(factory=_meter.ArrivalRate)
    service: _meter.ServiceRate = attrs.field(factory=_meter.ServiceRate)
    running: int = 0
    target_ms: int = 0

    def lowest_counter(self):
        """Return the lowest counter of the waiting customers.

        Without any, the virtual time: the lowest counter when a request was
        last started.
        """
        heads = [
            class_queue.customers_by_counter.peek()
            for class_queue in self.classes.values()
        ]
        return min((top[0] for top in heads if top), default=self.virtual_time)


@attrs.define(eq=False)
class _RunningTicket:
    tier: _Tier
    class_queue: _ClassQueue
    charged: float
    tokens: int
    started_ms: int


@_hooks.schedulers.register('tiered_fair')
class TieredFairScheduler:
    """Priority tiers with fair queueing and guaranteed class shares.

    Every operation takes O(log n) time in the queue length.

    ``capacity`` bounds the queue. In addition each class has
    ``min_share * capacity`` reserved places (at least one) that don't count
    towards this bound. So the guaranteed share of a lower tier never takes a
    place from a higher tier: the higher tier's refusals are the same with and
    without the lower tier.

    The caller must end each started ticket with ``served(ticket, tokens)``.

    Without ``is_only_user`` other processes use the same slots. Waits are then
    not forecast from the requests of this process and no slots are reserved;
    the caller does both.
    """

    def __init__(
        self,
        *,
        capacity=DEFAULT_CAPACITY_REQUESTS,
        classes=None,
        customer_weights=None,
        generated_weight=DEFAULT_GENERATED_WEIGHT,
        is_only_user=True,
    ):
        self._capacity = capacity
        self._is_only_user = is_only_user
        self._generated_weight = generated_weight
        self._tiers = {}
        self._class_queues = []
        self._excess = 0
        self._service_meter = _meter.ServiceRate()
        self._now_ms = 0
        self._latest_start = _heap.KeyedHeap()
        self._running = {}
        self._running_cost = 0.0
        self.apply(classes or {}, customer_weights or {})

    # Settings

    def apply(self, classes, customer_weights):
        self._policies = dict(classes)
        self._customer_weights = dict(customer_weights)
        for class_queue in self._class_queues:
            class_queue.policy = self._policies.get(
                class_queue.name, class_queue.policy
            )
        self._set_shares()

    def _set_shares(self):
        shares = {
            name: policy.min_share for name, policy in self._policies.items()
        }
        for class_queue in self._class_queues:
            shares.setdefault(class_queue.name, class_queue.policy.min_share)
        factor = min(1.0, MAX_GUARANTEED_RATIO / (sum(shares.values()) or 1.0))
        for class_queue in self._class_queues:
            self._excess -= class_queue.excess
            class_queue.share = shares[class_queue.name] * factor
            class_queue.reserved_places = max(
                1, int(class_queue.share * self._capacity)
            )
            self._excess += class_queue.excess

    def _tier_and_class(self, ticket):
        tier = self._tiers.get(ticket.tier)
        if tier is None:
            tier = self._tiers[ticket.tier] = _Tier(number=ticket.tier)
            self._tiers = dict(sorted(self._tiers.items()))
        class_queue = tier.classes.get(ticket.class_name)
        if class_queue is None:
            policy = self._policies.get(
                ticket.class_name, _hooks.ClassPolicy(tier=ticket.tier)
            )
            class_queue = _ClassQueue(name=ticket.class_name, policy=policy)
            tier.classes[ticket.class_name] = class_queue
            self._class_queues.append(class_queue)
            self._set_shares()
        return tier, class_queue

    def _weight(self, ticket, class_queue):
        weight = self._customer_weights.get(ticket.customer, 1.0)
        return weight * class_queue.policy.weight

    def _cost(self, ticket, generated_tokens):
        return max(
            1.0,
            ticket.prompt_tokens + self._generated_weight * generated_tokens,
        )

    # Queue

    @property
    def queued(self):
        """The number of waiting tickets."""
        return len(self._latest_start)

    def tiers(self):
        """Return the numbers of all tiers that had tickets, highest first."""
        return tuple(self._tiers)

    def queued_by_tier(self):
        """Return ``{tier number: waiting tickets}``, without empty tiers."""
        return {
            tier.number: tier.queued
            for tier in self._tiers.values()
            if tier.queued
        }

    def offer(self, ticket, now_ms):
        self._now_ms = max(self._now_ms, now_ms)
        tier, class_queue = self._tier_and_class(ticket)
        latest_ms = ticket.deadline_ms - ticket.start_up_ms
        wait_ms = self._wait_ms(tier, class_queue, ticket)
        if wait_ms > MAX_WAIT_RATIO * (latest_ms - now_ms):
            return (self._refusal(ticket, _hooks.DEADLINE, now_ms),)
        self._enqueue(ticket, tier, class_queue)
        cost = self._cost(ticket, ticket.generated_tokens)
        tier.arrivals.add(cost, now_ms)
        tier.requests.add(1, now_ms)
        tier.target_ms = ticket.deadline_ms - ticket.arrival_ms
        refused = []
        while self._excess > self._capacity:
            shed_ticket = self._ticket_to_shed()
            self.remove(shed_ticket)
            refused.append(self._refusal(shed_ticket, _hooks.OVERFLOW, now_ms))
        return refused

    def _enqueue(self, ticket, tier, class_queue):
        customer = ticket.customer
        if not tier.active[customer]:
            tier.counters[customer] = max(
                tier.counters.get(customer, 0.0), tier.virtual_time
            )
        flow = class_queue.flows.get(customer)
        if flow is None:
            flow = class_queue.flows[customer] = _Flow()
            class_queue.customers_by_counter.set(
                customer, tier.counters[customer]
            )
        flow.tickets[ticket] = None
        self._latest_start.set(ticket, ticket.deadline_ms - ticket.start_up_ms)
        self._update_totals(ticket, tier, class_queue, flow, 1)

    def _update_totals(self, ticket, tier, class_queue, flow, sign):
        """Add (``sign`` 1) or subtract (-1) a ticket in all totals."""
        cost = sign * self._cost(ticket, ticket.generated_tokens)
        self._excess -= class_queue.excess
        class_queue.queued += sign
        self._excess += class_queue.excess
        tier.queued += sign
        for part in (tier, class_queue, flow):
            part.cost += cost
        tier.active[ticket.customer] += sign
        if not tier.active[ticket.customer]:
            del tier.active[ticket.customer]
        weight = self._weight(ticket, class_queue)
        class_queue.customers_by_cost.set(ticket.customer, -flow.cost / weight)

    def remove(self, ticket):
        if ticket not in self._latest_start:
            return False
        tier, class_queue = self._tier_and_class(ticket)
        flow = class_queue.flows[ticket.customer]
        del flow.tickets[ticket]
        self._latest_start.discard(ticket)
        self._update_totals(ticket, tier, class_queue, flow, -1)
        if not flow.tickets:
            del class_queue.flows[ticket.customer]
            class_queue.customers_by_counter.discard(ticket.customer)
            class_queue.customers_by_cost.discard(ticket.customer)
        return True

    def _ticket_to_shed(self):
        """Return the ticket to shed on overflow.

        That is the newest one of the customer with the largest queued cost in
        the lowest tier that is above its reserve.
        """
        for tier in reversed(self._tiers.values()):
            class_queue = max(
                tier.classes.values(), key=lambda item: item.excess
            )
            if class_queue.excess:
                _, customer = class_queue.customers_by_cost.peek()
                return next(reversed(class_queue.flows[customer].tickets))
        raise AssertionError('excess without a class above its reserve')

    # Service

    def next(self, free_slots, now_ms, tiers=None):
        """See :meth:`Scheduler.next`; start only tickets of ``tiers``.

        ``None`` stands for all tiers.
        """
        self._now_ms = max(self._now_ms, now_ms)
        refused = self._remove_expired(now_ms)
        started = []
        while len(started) < free_slots:
            selected = self._select_class(tiers)
            if selected is None:
                break
            tier, class_queue, is_guaranteed = selected
            left = free_slots - len(started)
            if not is_guaranteed and left <= self._reserved_slots(tier, left):
                break
            started.append(self._start_next(tier, class_queue, now_ms))
        return _hooks.SchedulingDecision(started, refused)

    def _reserved_slots(self, tier, free_slots):
        """Return how many free slots to reserve for tiers above ``tier``.

        Running requests are not preempted, so with few slots and long
        responses a higher tier would miss its target before a slot is freed.
        """
        slots = len(self._running) + free_slots
        rate = self._service_rate()
        if not rate or not self._is_only_user:
            return 0
        # By cost, so that long responses count from their start.
        interval_ms = self._running_cost / rate / slots
        kept = 0
        for higher in self._tiers.values():
            if higher.number >= tier.number:
                break
            allowed_ms = RESERVE_WAIT_RATIO * higher.target_ms
            if WAIT_INTERVALS * interval_ms <= allowed_ms:
                continue
            arrivals = higher.requests.rate(self._now_ms)
            expected = arrivals * higher.service.duration_ms
            if expected >= MIN_EXPECTED_RUNNING:
                kept += max(0, math.ceil(expected) - higher.running)
        return min(kept, int(MAX_RESERVED_RATIO * slots))

    def _remove_expired(self, now_ms):
        refused = []
        while True:
            first = self._latest_start.peek()
            if first is None or first[0] >= now_ms:
                return refused
            self.remove(first[1])
            refused.append(self._refusal(first[1], _hooks.DEADLINE, now_ms))

    def _start_next(self, tier, class_queue, now_ms):
        _, customer = class_queue.customers_by_counter.peek()
        ticket = next(iter(class_queue.flows[customer].tickets))
        tier.virtual_time = max(tier.virtual_time, tier.lowest_counter())
        cost = self._cost(ticket, ticket.generated_tokens)
        self.remove(ticket)
        self._charge(ticket, tier, class_queue, cost)
        tier.running += 1
        self._running_cost += cost
        self._running[ticket] = _RunningTicket(
            tier, class_queue, cost, ticket.generated_tokens, now_ms
        )
        return ticket

    def _select_class(self, numbers):
        """Return the tier and class to serve next, ``None`` without any."""
        tiers = [
            tier
            for tier in self._tiers.values()
            if tier.queued and (numbers is None or tier.number in numbers)
        ]
        for tier in tiers:
            below_share = [
                class_queue
                for class_queue in tier.classes.values()
                if class_queue.queued and class_queue.credit > 0
            ]
            if below_share:
                class_queue = max(below_share, key=lambda item: item.credit)
                return tier, class_queue, True
        for tier in tiers:
            waiting = (item for item in tier.classes.values() if item.queued)
            return tier, min(waiting, key=_class_sort_key), False
        return None

    def _charge(self, ticket, tier, class_queue, cost):
        """Charge the customer and update the credits of all classes."""
        self._add_to_counter(ticket, tier, class_queue, cost)
        for other in self._class_queues:
            credit = other.credit + other.share * cost
            other.credit = credit if other.queued else min(0.0, credit)
        # Bound the debt, so that a class with much service in the past gets
        # its guaranteed share again soon after it needs it.
        class_queue.credit = max(class_queue.credit - cost, -cost)

    def _add_to_counter(self, ticket, tier, class_queue, cost):
        customer = ticket.customer
        counter = tier.counters.get(customer, tier.virtual_time)
        counter += cost / self._weight(ticket, class_queue)
        tier.counters[customer] = counter
        for other in tier.classes.values():
            if customer in other.flows:
                other.customers_by_counter.set(customer, counter)
        if len(tier.counters) > tier.prune_threshold:
            self._prune(tier)

    def _prune(self, tier):
        # A counter that would be raised when the customer returns need not be
        # kept.
        tier.counters = {
            name: value
            for name, value in tier.counters.items()
            if value > tier.virtual_time or name in tier.active
        }
        # Prune again at twice the remaining size, so that the amortised cost
        # per charge stays constant even if most counters are kept.
        tier.prune_threshold = 2 * len(tier.counters) + COUNTERS_PRUNE_SLACK

    def served(self, ticket, tokens, done=True, now_ms=None):
        running = self._running.get(ticket)
        if running is None:
            return
        if not done:
            # Called for every chunk; charge in steps in advance.
            if tokens <= running.tokens:
                return
            tokens += CHARGE_STEP_TOKENS
        if now_ms is not None and now_ms > self._now_ms:
            self._now_ms = now_ms
        running.tokens = tokens
        difference = self._cost(ticket, tokens) - running.charged
        if done:
            del self._running[ticket]
            duration_ms = self._now_ms - running.started_ms
            for meter in (self._service_meter, running.tier.service):
                meter.add(running.charged + difference, duration_ms)
            running.tier.running -= 1
            self._running_cost -= running.charged
        else:
            self._running_cost += difference
        running.charged += difference
        self._add_to_counter(
            ticket, running.tier, running.class_queue, difference
        )
        # Bound the debt as in _charge, so that many long responses that end
        # at the same time do not suspend the guaranteed share.
        class_queue = running.class_queue
        class_queue.credit = max(
            class_queue.credit - difference, -running.charged
        )

    # Estimates

    def _service_rate(self):
        """Return the cost served per ms by all running requests.

        ``None`` while too few requests have been completed.
        """
        rate_per_request = self._service_meter.rate_per_request()
        return rate_per_request and rate_per_request * max(
            1, len(self._running)
        )

    def _wait_ms(self, tier, class_queue, ticket):
        """Return the expected wait of a new ticket; 0 if unknown."""
        rate = self._service_rate()
        if not rate or not self._latest_start or not self._is_only_user:
            return 0
        higher = [
            item for item in self._tiers.values() if item.number < tier.number
        ]
        taken = sum(item.arrivals.rate(self._now_ms) for item in higher)
        tier_rate = max(rate * class_queue.share, rate - taken)
        queued = sum(item.cost for item in higher)
        flow = class_queue.flows.get(ticket.customer)
        customer_cost = own_cost = flow.cost if flow else 0.0
        counter = tier.counters.get(ticket.customer, 0.0)
        own_cost += max(0.0, counter - tier.lowest_counter())
        # Until its turn, each other customer is served as much as this one.
        same_tier_cost = min(tier.cost, own_cost * len(tier.active))
        by_priority = queued / rate + same_tier_cost / tier_rate
        # A guaranteed share is small, so its wait depends on which customers
        # are queued at the next turn. Refuse only what is certainly too late.
        debt_cost = -min(0.0, class_queue.credit)
        by_guarantee = (customer_cost + debt_cost) / (rate * class_queue.share)
        return min(by_priority, by_guarantee)

    def _refusal(self, ticket, reason, now_ms):
        after_ms = self.retry_after_ms(ticket.class_name, ticket.tier)
        return _hooks.Refusal(ticket, reason, after_ms)

    def retry_after_ms(self, class_name, tier):
        rate = self._service_rate()
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
            'running': len(self._running),
            'rate_per_ms': self._service_rate(),
            'classes': [
                {
                    'name': class_queue.name,
                    'queued': class_queue.queued,
                    'customers': len(class_queue.flows),
                    'credit': class_queue.credit,
                    'share': class_queue.share,
                }
                for class_queue in self._class_queues
            ],
        }


def _class_sort_key(class_queue):
    """Return the sort key of a class: lowest counter, then deadline."""
    counter, customer = class_queue.customers_by_counter.peek()
    ticket = next(iter(class_queue.flows[customer].tickets))
    return counter, ticket.deadline_ms
