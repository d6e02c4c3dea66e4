"""Which requests are sent, wait or are turned away when load exceeds capacity.

Every gateway decides for its own callers, from its own requests and from sums
over all gateways that are up to 600 ms old. A place at a plain server is free
again after 50 ms, so no gateway knows which places are free. What the sums do
tell is the ratio of requests that can be served:

* The demand of all gateways is compared with the capacity of the servers, by
  rank. A rank gets what higher ranks leave, at least a floor.
* Within a rank, customers share what there is by max-min fairness, so that the
  flood of one customer does not reach the others.
* Whether a request belongs to the ratio that is served follows from its
  fingerprint and the synchronized time. All gateways decide alike, so a caller
  that repeats a request at once gets the same answer everywhere. The requests
  that are served change with time, and ``Retry-After`` is when it is their
  turn.

Engines queue by rank and preempt. For them only the number of requests at
full servers is bounded.
"""

import collections
import math
import statistics

import attrs

from paddle_kernel import MS_PER_S
from paddle_router.policy import _hooks
from paddle_router.policy import _meter
from paddle_router.policy import _server_view
from paddle_router.policy import _tiered_fair

# Assumed time of a response until a service's own time is known; the slower
# services of the users take 80 ms.
DEFAULT_SERVICE_TIME_MS = 80
# A gateway whose sums of other gateways are older is cut off.
DEMAND_LIFETIME_MS = 2_000
# By how much the demand of others may have changed meanwhile, as the own has.
MAX_CHANGE = 4.0
# Time constant of the demand of one customer at one gateway. A gateway sees
# few requests of each customer, so that a shorter one makes all look unequal.
CUSTOMER_DECAY_MS = 10_000
# Customers that the demand is kept for, most recent first.
MAX_CUSTOMERS = 512
# Capacity that a rank gets at least while it has requests.
MIN_RANK_SHARE = _hooks.DEFAULT_MIN_SHARE
# Requests at a server, as a multiple of its slots, up to which those of the
# lowest and of the highest rank are sent. Those beyond the slots wait there
# for the next place, where a higher rank cannot overtake them.
LOWEST_RANK_OCCUPANCY = 1.25
MAX_OCCUPANCY = 2.0
# Engines keep requests of the highest rank waiting beyond their slots; the
# lowest rank gets the slots only.
ENGINE_QUEUE_RATIO = 0.25
# A higher rank is not refused at engines for this time after a lower one could
# last be sent: requests of the lower one still wait and start there, and the
# engines run the higher one first.
LOWER_RANK_MEMORY_MS = 15_000
# The mean occupancy that is wanted while requests are turned away. The ratios
# are lower above it and higher below it.
WANTED_OCCUPANCY = 1.1
# The same for the highest rank: lower ranks make room for it.
HIGHEST_WANTED_OCCUPANCY = 1.5
# Requests wait at some servers while others have a free place; this part of
# the places is free when requests begin to wait.
UNEVEN_OCCUPANCY = 0.2
OCCUPANCY_GAIN = 0.6
# What still differs is corrected by this ratio a second: demand is counted
# twice if a caller repeats its request at several gateways.
CORRECTION_PER_S = 0.1
CORRECTION_RANGE = (0.9, 3.0)
# Below this occupancy every request is sent.
SPARE_OCCUPANCY = 0.5
# For how long a rank counts as partly served after the last such decision.
RATIO_LIFETIME_MS = 2_000
# A rank with less demand at all gateways has ended; one request in 20 s.
MIN_RANK_PER_MS = 1 / 20_000
# Time constant of the mean of other gateways' requests at the servers, whose
# sums come every 250 ms.
MEAN_TIME_S = 1.0
# Gateways among which one sees enough requests of its own for that mean.
CUT_OFF_GATEWAYS = 3
# The same for the occupancy that the measured response times reflect; servers'
# paces are means over 2.5 to 5 s.
PACE_TIME_S = 3.0
# Part of the latency target for which a request that is to be served may wait
# for a place.
MAX_WAIT_RATIO = 0.4
# Part of the service time that a request waits after a server has rejected it.
RETRY_PAUSE_RATIO = 0.25
# Callers honour a Retry-After of up to a third of their time left.
HONOURED_RATIO = 3
# The turn of every request comes once in this multiple of its time limit. In
# the third of it that callers honour, it comes for a twelfth of the requests,
# so that those who return leave most places to new requests, which can still
# be in time.
TURN_PERIOD_RATIO = 4
# Well above the difference between the clocks of gateways.
MIN_TURN_PERIOD_MS = 2_000
# How far within its turn a request returns, in periods: the ratio may have
# fallen meanwhile.
RETURN_MARGIN = 0.03
# Refused requests that are remembered until they may return.
MAX_REFUSED = 4_096
# Requests of the ratio that customers' shares have left unused, and part of
# them that the next request may use.
MAX_CARRY_REQUESTS = 5.0
CARRY_GAIN = 0.05
# Interval at which a waiting request is decided on again at the latest.
CHECK_INTERVAL_MS = 20
FINGERPRINT_DIGITS = 12

OVERLOADED = 'overloaded'


@attrs.frozen(kw_only=True)
class RankDemand:
    """Demand for a service by requests of one rank.

    ``waiting`` requests wait at the gateways and ``per_ms`` arrive per ms.
    """

    rank: tuple
    waiting: int = 0
    per_ms: float = 0.0


@attrs.define(kw_only=True, eq=False)
class LoadRequest:
    """A request that an admission decides on; compared by identity.

    ``rank`` is its sort key, lowest first. ``tokens`` is its cost for the
    fairness between customers, 1 for a plain request. ``timeout_ms`` is the
    time limit of its route, ``end_ms`` the caller's. ``fingerprint`` is a
    hexadecimal digest that it has again when it is repeated. ``decision`` is
    set to :class:`Send` or :class:`TurnAway`.
    """

    rank: tuple
    customer: str
    class_name: str
    fingerprint: str
    arrived_ms: int
    target_ms: int
    timeout_ms: int
    end_ms: int
    tokens: int = 1
    payload: object = None
    decision: object = None
    retry_after_ms: int = 0


@attrs.frozen(kw_only=True)
class _Capacity:
    """Places of the usable servers, and what is known of their use.

    ``per_ms`` is the number of requests that they complete in a ms.
    ``running`` contains the mean load by other gateways, ``latest_running``
    the last one.
    """

    places: float
    running: float
    own: int
    per_ms: float
    latest_running: float = 0.0

    @property
    def occupancy(self):
        return self.running / self.places if self.places else 0.0

    @property
    def is_half_free(self):
        """Whether under half of the places are taken, now and on average."""
        running = max(self.running, self.latest_running)
        return running < SPARE_OCCUPANCY * self.places

    @property
    def service_ms(self):
        return self.places / self.per_ms if self.per_ms else 0.0

    @classmethod
    def from_views(cls, views):
        usable = [view for view in views if not view.is_excluded]
        paces_ms = [view.pace_ms for view in usable if view.pace_ms]
        mean_ms = (
            sum(paces_ms) / len(paces_ms)
            if paces_ms
            else DEFAULT_SERVICE_TIME_MS
        )
        places = per_ms = 0.0
        for view in usable:
            size = view.slots
            if view.allowance is not None:
                size = min(size, view.running + view.allowance)
            places += size
            per_ms += size / (view.pace_ms or mean_ms)
        return cls(
            places=places,
            running=sum(view.running for view in usable),
            own=sum(view.own for view in usable),
            per_ms=per_ms,
        )


class LoadAdmission:
    """Decides on the requests of one service at one gateway.

    With ``is_engine`` the servers queue by rank. Each request is passed to
    :meth:`add`; :meth:`decide` then returns those with a decision, at once or
    after a wait. Every request that was added ends with :meth:`finish`.

    Load: a burst above the capacity, the flood of one customer, and callers
    that repeat at once.
    """

    def __init__(self, *, is_engine=False):
        self._is_engine = is_engine
        self._scheduler = _tiered_fair.TieredFairScheduler(is_only_user=False)
        self._tickets = {}
        # Requests that are sent and not in the views yet.
        self._unplaced = set()
        # When requests of each rank could last be sent.
        self._open_ms = {}
        # Requests with a decision that decide() has not returned yet.
        self._decided = []
        self._own = {}
        self._others = {}
        self._others_ms = None
        self._own_per_ms_then = 0.0
        self._gateway_count = 1
        # Times when refused requests may return, by fingerprint.
        self._refused = collections.OrderedDict()
        self._mean_others = 0.0
        self._occupancy = 0.0
        self._pace_occupancy = 0.0
        self._updated_ms = 0
        self._correction = 1.0
        self.turned_away = 0

    def __len__(self):
        return self._scheduler.queued

    # What gateways share

    def set_others(self, demands, gateway_count, now_ms):
        """Set the demand at the other gateways, by :class:`RankDemand`.

        After ``DEMAND_LIFETIME_MS`` without newer sums, the demand of the
        other gateways is taken to change as that of this one.
        """
        self._gateway_count = max(1, gateway_count)
        self._others = {item.rank: item for item in demands}
        self._others_ms = now_ms
        self._own_per_ms_then = self._own_per_ms(now_ms)

    def own_demands(self, now_ms):
        """Return the :class:`RankDemand` of this gateway."""
        waiting = self._scheduler.queued_by_tier()
        return tuple(
            RankDemand(
                rank=rank,
                waiting=waiting.get(rank, 0),
                per_ms=demand.total.rate(now_ms),
            )
            for rank, demand in self._own.items()
        )

    # Requests

    def add(self, req, views, now_ms, wall_ms, *, is_retry=False):
        """Queue ``req``, which has just arrived.

        ``wall_ms`` is the synchronized time. A request that a server has
        rejected is added again with ``is_retry``.
        """
        capacity = self._capacity(views, now_ms)
        if not is_retry and not self._is_served(
            req, capacity, now_ms, wall_ms
        ):
            self._decided.append(self._turn_away(req, now_ms))
            return
        latest_ms = min(
            req.end_ms - capacity.service_ms,
            req.arrived_ms + MAX_WAIT_RATIO * req.target_ms,
        )
        ticket = _hooks.Ticket(
            customer=req.customer,
            class_name=req.class_name,
            tier=req.rank,
            prompt_tokens=req.tokens,
            generated_tokens=0,
            arrival_ms=req.arrived_ms,
            deadline_ms=max(now_ms, int(latest_ms)),
            payload=req,
        )
        req.decision = None
        self._tickets[req] = ticket
        for refusal in self._scheduler.offer(ticket, now_ms):
            self._decided.append(
                self._turn_away(refusal.ticket.payload, now_ms)
            )

    def placed(self, req):
        """Record that ``req`` counts in the views from now on."""
        self._unplaced.discard(req)

    def finish(self, req, now_ms):
        """Record that ``req`` has ended, was given up or was rejected."""
        self._unplaced.discard(req)
        ticket = self._tickets.pop(req, None)
        if ticket is not None and not self._scheduler.remove(ticket):
            self._scheduler.served(ticket, 0, now_ms=now_ms)

    def decide(self, views, now_ms):
        """Return the waiting requests that are sent or turned away now.

        Their ``decision`` is set. All others wait, and should be decided on
        again after :attr:`check_ms` or when a response has ended.
        """
        capacity = self._capacity(views, now_ms)
        decided, self._decided = self._decided, []
        if not capacity.places:
            # The caller knows when a server will accept requests.
            return decided + self._send_all(now_ms)
        live_ranks = self._live_ranks(now_ms)
        if self._is_engine:
            self._record_open_ranks(capacity, live_ranks, now_ms)
        while True:
            ranks = {
                rank
                for rank in self._scheduler.queued_by_tier()
                if self._may_send(rank, capacity, live_ranks, now_ms)
            }
            choice = self._scheduler.next(1 if ranks else 0, now_ms, ranks)
            for refusal in choice.refused:
                req = refusal.ticket.payload
                decided.append(self._turn_away(req, now_ms))
            if not choice.started:
                return decided
            decided.append(self._send(choice.started[0]))
            capacity = attrs.evolve(capacity, running=capacity.running + 1)

    def retry_pause_ms(self, views, now_ms):
        """Return how long a request waits after a server has rejected it.

        In this time some places become free.
        """
        return int(
            RETRY_PAUSE_RATIO * self._capacity(views, now_ms).service_ms
        )

    @property
    def check_ms(self):
        """The time until waiting requests are decided on again."""
        return CHECK_INTERVAL_MS

    def dump(self, now_ms):
        """Return the state as plain data."""
        return {
            'waiting': len(self),
            'turned_away': self.turned_away,
            'occupancy': self._occupancy,
            'correction': self._correction,
            'gateways': self._gateway_count,
            'is_cut_off': self._is_cut_off(now_ms),
            'ranks': [
                {
                    'rank': list(rank),
                    'own_per_s': MS_PER_S * own.total.rate(now_ms),
                    'all_per_s': MS_PER_S * self._total(rank, now_ms),
                    'served_ratio': own.ratio,
                    'customers': len(own.customers),
                }
                for rank, own in self._own.items()
            ],
        }

    # Which requests are served

    def _capacity(self, views, now_ms):
        """Return the capacity, with the mean load by other gateways.

        The requests of others at one moment say little about the next.
        """
        capacity = _Capacity.from_views(views)
        capacity = attrs.evolve(
            capacity,
            own=capacity.own + len(self._unplaced),
            running=capacity.running + len(self._unplaced),
        )
        others = capacity.running - capacity.own
        is_cut_off = self._is_cut_off(now_ms)
        mean_time_s = MEAN_TIME_S
        if is_cut_off:
            # The own requests tell those of others, over a time that grows
            # with the number of gateways.
            others = capacity.own * (self._gateway_count - 1)
            mean_time_s *= self._gateway_count / CUT_OFF_GATEWAYS
        latest_running = capacity.own + others
        if is_cut_off and self._gateway_count > CUT_OFF_GATEWAYS:
            # The own requests alone do not show that places are free.
            latest_running = math.inf
        passed_s = max(0, now_ms - self._updated_ms) / MS_PER_S
        self._updated_ms = now_ms
        gain = 1 - math.exp(-passed_s / mean_time_s)
        self._mean_others += gain * (others - self._mean_others)
        capacity = attrs.evolve(
            capacity,
            running=capacity.own + self._mean_others,
            latest_running=latest_running,
        )
        gain = 1 - math.exp(-passed_s / MEAN_TIME_S)
        self._occupancy += gain * (capacity.occupancy - self._occupancy)
        self._update_correction(min(passed_s, MEAN_TIME_S), now_ms)
        gain = 1 - math.exp(-passed_s / PACE_TIME_S)
        self._pace_occupancy += gain * (
            capacity.occupancy - self._pace_occupancy
        )
        # Requests that wait at the servers lengthen the responses as much as
        # they increase the number of requests there.
        return attrs.evolve(
            capacity,
            per_ms=capacity.per_ms
            * max(1.0, self._pace_occupancy + UNEVEN_OCCUPANCY),
        )

    def _update_correction(self, passed_s, now_ms):
        change = CORRECTION_PER_S * passed_s
        if any(own.is_limited(now_ms) for own in self._own.values()):
            self._correction *= math.exp(
                change * (WANTED_OCCUPANCY - self._occupancy)
            )
        else:
            self._correction += change * (1 - self._correction)
        low, high = CORRECTION_RANGE
        self._correction = min(high, max(low, self._correction))

    def _is_served(self, req, capacity, now_ms, wall_ms):
        """Whether ``req`` is among the requests that are served now."""
        if self._is_engine or capacity.is_half_free:
            demand = self._demand(req.rank)
            demand.ratio = 1.0
            demand.record(req.customer, now_ms)
            return True
        due_ms = self._refused.get(req.fingerprint)
        if due_ms is not None and now_ms < due_ms:
            # It has come back too early, and gains nothing by it.
            req.retry_after_ms = due_ms - now_ms
            return False
        self._refused.pop(req.fingerprint, None)
        demand = self._demand(req.rank)
        ratio = self._rank_ratio(req.rank, capacity, now_ms)
        ratio = demand.customer_ratio(req.customer, ratio, now_ms)
        demand.record(req.customer, now_ms)
        period_ms = max(MIN_TURN_PERIOD_MS, TURN_PERIOD_RATIO * req.timeout_ms)
        turn = _turn(req.fingerprint, wall_ms, period_ms)
        if turn < ratio:
            return True
        req.retry_after_ms = int(
            (turn - max(0.0, ratio - RETURN_MARGIN)) * period_ms
        )
        return False

    def _demand(self, rank):
        demand = self._own.get(rank)
        if demand is None:
            demand = self._own[rank] = _OwnDemand()
        return demand

    def _rank_ratio(self, rank, capacity, now_ms):
        """Return the ratio of requests of ``rank`` that can be served."""
        total = self._total(rank, now_ms)
        if not total or not capacity.per_ms:
            return 1.0
        ranks = set(self._own) | set(self._others)
        wanted = WANTED_OCCUPANCY + _precedence(
            rank, self._live_ranks(now_ms)
        ) * (HIGHEST_WANTED_OCCUPANCY - WANTED_OCCUPANCY)
        excess = self._occupancy - wanted
        per_ms = (
            capacity.per_ms
            * self._correction
            * math.exp(-OCCUPANCY_GAIN * excess)
        )
        left = per_ms - sum(
            self._total(other, now_ms) for other in ranks if other < rank
        )
        left = max(left, MIN_RANK_SHARE * per_ms)
        return min(1.0, left / total)

    def _total(self, rank, now_ms):
        """Return the demand of a rank at all gateways, per ms."""
        demand = self._own.get(rank)
        own = demand.total.rate(now_ms) if demand else 0.0
        others = self._others.get(rank)
        others_per_ms = others.per_ms if others else 0.0
        if self._is_cut_off(now_ms):
            if self._gateway_count <= CUT_OFF_GATEWAYS:
                return own * self._gateway_count
            # The demand of others is taken to have changed as the own has.
            then = self._own_per_ms_then
            change = self._own_per_ms(now_ms) / then if then else 1.0
            others_per_ms *= min(MAX_CHANGE, max(1 / MAX_CHANGE, change))
        return own + others_per_ms

    def _own_per_ms(self, now_ms):
        """Return this gateway's demand of all ranks over some seconds."""
        return sum(
            meter.rate(now_ms)
            for demand in self._own.values()
            for meter in demand.customers.values()
        )

    def _is_cut_off(self, now_ms):
        """Whether there are other gateways whose sums have become too old."""
        return (
            self._gateway_count > 1
            and now_ms - self._others_ms > DEMAND_LIFETIME_MS
        )

    # Places

    def _may_send(self, rank, capacity, ranks, now_ms):
        if self._is_engine and any(
            now_ms - self._open_ms[other] < LOWER_RANK_MEMORY_MS
            for other in ranks
            if other > rank
        ):
            return True
        return self._is_below_limit(rank, capacity, ranks)

    def _record_open_ranks(self, capacity, ranks, now_ms):
        for rank in ranks:
            if rank not in self._open_ms or self._is_below_limit(
                rank, capacity, ranks
            ):
                self._open_ms[rank] = now_ms

    def _is_below_limit(self, rank, capacity, ranks):
        if self._is_engine:
            limit = 1.0 + ENGINE_QUEUE_RATIO * _precedence(rank, ranks)
        else:
            # Of servers that others use, too little is known at one moment
            # to keep places for higher ranks; the ratios do this.
            part = max(_precedence(rank, ranks), 1 - 1 / self._gateway_count)
            limit = LOWEST_RANK_OCCUPANCY + part * (
                MAX_OCCUPANCY - LOWEST_RANK_OCCUPANCY
            )
        return capacity.running < limit * capacity.places

    def _live_ranks(self, now_ms):
        """Return the ranks with waiting or recent requests, highest first."""
        queued = self._scheduler.queued_by_tier()
        return sorted(
            rank
            for rank in set(self._own) | set(self._others)
            if rank in queued or self._total(rank, now_ms) > MIN_RANK_PER_MS
        )

    def _send_all(self, now_ms):
        choice = self._scheduler.next(len(self), now_ms)
        tickets = [
            *choice.started,
            *(refusal.ticket for refusal in choice.refused),
        ]
        return [self._send(ticket) for ticket in tickets]

    def _send(self, ticket):
        ticket.payload.decision = _server_view.Send()
        self._unplaced.add(ticket.payload)
        return ticket.payload

    def _turn_away(self, req, now_ms):
        self._tickets.pop(req, None)
        self.turned_away += 1
        honoured_ms = max(0, req.end_ms - now_ms) // HONOURED_RATIO
        after_ms = min(
            req.retry_after_ms or honoured_ms,
            # Spread over the second half of the time, so that callers do not
            # return together.
            int(honoured_ms * (1 + _place(req.fingerprint)) / 2),
        )
        self._refused[req.fingerprint] = now_ms + after_ms
        self._refused.move_to_end(req.fingerprint)
        while len(self._refused) > MAX_REFUSED:
            self._refused.popitem(last=False)
        req.decision = _server_view.TurnAway(after_ms, OVERLOADED)
        return req


class _OwnDemand:
    """Demand of one rank at this gateway, and of its customers."""

    def __init__(self):
        self.total = _meter.ArrivalRate()
        self.customers = {}
        self.ratio = 1.0
        self._ratio_ms = 0
        # Requests that the ratio allows and customers have not used.
        self._carry = 0.0

    def record(self, customer, now_ms):
        self.total.add(1, now_ms)
        self._meter(customer).add(1, now_ms)

    def is_limited(self, now_ms):
        """Whether some requests were turned away a short time ago."""
        return self.ratio < 1 and now_ms - self._ratio_ms < RATIO_LIFETIME_MS

    def customer_ratio(self, customer, ratio, now_ms):
        """Return the ratio for ``customer`` if ``ratio`` holds for the rank.

        Customers with little demand get all of it, others an equal amount.
        """
        self.ratio = ratio
        self._ratio_ms = now_ms
        if ratio >= 1:
            self._carry = 0.0
            return 1.0
        rates = {
            name: meter.rate(now_ms) for name, meter in self.customers.items()
        }
        level = _fair_level(rates.values(), ratio * sum(rates.values()))
        rate = rates.get(customer, 0.0)
        if rate < 1 / CUSTOMER_DECAY_MS and rates:
            # Too few requests to tell it from the other customers.
            rate = max(rate, statistics.median_low(rates.values()))
        own = level / rate if rate > level else 1.0
        used = min(1.0, max(MIN_RANK_SHARE, own + CARRY_GAIN * self._carry))
        self._carry = max(
            -MAX_CARRY_REQUESTS,
            min(MAX_CARRY_REQUESTS, self._carry + ratio - used),
        )
        return used

    def _meter(self, customer):
        meter = self.customers.pop(customer, None)
        if meter is None:
            meter = _meter.ArrivalRate(CUSTOMER_DECAY_MS)
        # The least recently served customers come first.
        self.customers[customer] = meter
        while len(self.customers) > MAX_CUSTOMERS:
            del self.customers[next(iter(self.customers))]
        return meter


def _precedence(rank, ranks):
    """Return 1.0 for the highest of the sorted ``ranks``, down to 0.0."""
    if len(ranks) < 2 or rank not in ranks:
        return 1.0
    return 1 - ranks.index(rank) / (len(ranks) - 1)


def _fair_level(rates, amount):
    """Return the level at which rates are cut so that ``amount`` is left."""
    rates = sorted(rates)
    level = amount
    for index, rate in enumerate(rates):
        level = amount / (len(rates) - index)
        if rate >= level:
            return level
        amount -= rate
    return level


def _place(fingerprint):
    """Return a number from 0 to 1 that is the same at all gateways."""
    digits = fingerprint[:FINGERPRINT_DIGITS]
    return int(digits, 16) / 16 ** len(digits)


def _turn(fingerprint, wall_ms, period_ms):
    """Return how far a request is from its turn, in periods, 0 to 1."""
    return (_place(fingerprint) - wall_ms / period_ms) % 1.0
