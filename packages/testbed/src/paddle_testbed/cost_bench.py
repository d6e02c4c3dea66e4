"""Run the planners over a day of demand on a simulated platform.

The cost is relative to that of a planner that knows the whole trace, see
``policy.offline_cost``.
"""

import math
import random

import attrs
from paddle_router import policy

STEP_MS = 30_000
DAY_MS = 24 * 3_600_000
START_UP_MS = 120_000
DRAIN_MS = 60_000
SERVER_TOKENS_PER_S = 100.0
MEAN_TOKENS_PER_S, DAILY_SWING = 1_500.0, 0.7
# Ratio of the demand by tier.
DEMAND_RATIO_BY_TIER = {1: 0.45, 2: 0.3, 3: 0.25}
NOISE_RATIO, NOISE_CORRELATION_MS = 0.04, 300_000
OFFERS = tuple(
    policy.Offer(
        failure_domain=f'd{index}', cheap=cheap, price=0.35 if cheap else 1.0
    )
    for index in range(4)
    for cheap in (True, False)
)
# At the peak, the cheap servers of one domain are reclaimed, and no cheap
# ones are available for two hours.
RECLAIM_MS = DAY_MS // 2
CHEAP_AVAILABLE_MS = RECLAIM_MS + 2 * 3_600_000


def day_demand(seed):
    """Return the demand by tier for each step."""
    rng = random.Random(seed)
    noise = 0.0
    correlation = math.exp(-STEP_MS / NOISE_CORRELATION_MS)
    steps = []
    for index in range(DAY_MS // STEP_MS):
        noise = correlation * noise + math.sqrt(
            1 - correlation**2
        ) * rng.gauss(0, NOISE_RATIO)
        wave = 1 - DAILY_SWING * math.cos(
            2 * math.pi * index * STEP_MS / DAY_MS
        )
        rate = MEAN_TOKENS_PER_S * wave * (1 + noise)
        steps.append(
            {tier: rate * part for tier, part in DEMAND_RATIO_BY_TIER.items()}
        )
    return steps


class DaySimulation:
    """Simulation of one day with one planner; ``servers`` are by id."""

    def __init__(self, planner, steps, *, is_reclaimed):
        self.planner = planner
        self.steps = steps
        self.is_reclaimed = is_reclaimed
        self.servers = {}
        self.due_ms = {}
        self.now_ms = 0
        self.cost = 0.0
        self.served = self.cheap = self.demand = 0.0
        self.tier_1_unserved = self.tier_1_demand = 0.0

    def run(self):
        """Run all steps and return the figures."""
        forecast = policy.DemandForecast()
        for index, demand in enumerate(self.steps):
            self.now_ms = index * STEP_MS
            for tier, rate in demand.items():
                forecast.observe(tier, rate, self.now_ms)
            if self.is_reclaimed and self.now_ms == RECLAIM_MS:
                self.reclaim()
            self.update_states()
            self.plan(forecast.at(START_UP_MS + STEP_MS))
            self.serve_demand(demand)
        reference = policy.offline_cost(
            self.steps, STEP_MS, OFFERS, SERVER_TOKENS_PER_S, START_UP_MS
        )
        return {
            'cost': self.cost / reference,
            'cost per Mtoken': self.cost * 1e6 / self.served,
            'on cheap': self.cheap / self.served,
            'unserved': 1 - self.served / self.demand,
            'unserved tier 1': self.tier_1_unserved / self.tier_1_demand,
        }

    def offers(self):
        is_cheap_unavailable = self.is_reclaimed and (
            RECLAIM_MS <= self.now_ms < CHEAP_AVAILABLE_MS
        )
        return tuple(
            attrs.evolve(
                offer, available=not (offer.cheap and is_cheap_unavailable)
            )
            for offer in OFFERS
        )

    def reclaim(self):
        """Remove the cheap servers of the domain that has the most of them."""
        domains = [
            item.failure_domain for item in self.servers.values() if item.cheap
        ]
        lost_domain = max(
            sorted(set(domains)), key=domains.count, default=None
        )
        for name, item in list(self.servers.items()):
            if item.cheap and item.failure_domain == lost_domain:
                del self.servers[name]

    def update_states(self):
        """Mark servers as live or drained when their time is due."""
        for name, item in list(self.servers.items()):
            if self.now_ms < self.due_ms[name]:
                continue
            if item.state == policy.STARTING:
                self.servers[name] = attrs.evolve(item, state=policy.LIVE)
            elif item.state == policy.DRAINING:
                self.servers[name] = attrs.evolve(item, running=0)

    def plan(self, demand):
        view = policy.PlanView(
            now_ms=self.now_ms,
            servers=tuple(self.servers.values()),
            offers=self.offers(),
            demand=demand,
            server_rate=SERVER_TOKENS_PER_S,
            start_up_ms=START_UP_MS,
        )
        for order in self.planner.plan(view):
            name = order.args.get('instance', f's{len(self.due_ms)}')
            if order.verb == 'start':
                self.start(name, **order.args)
            elif order.verb == 'stop':
                del self.servers[name]
            else:
                is_drain = order.verb == 'drain'
                state = policy.DRAINING if is_drain else policy.LIVE
                item = self.servers[name]
                self.servers[name] = attrs.evolve(item, state=state)
                self.due_ms[name] = self.now_ms + DRAIN_MS

    def start(self, name, failure_domain, cheap):
        price = 0.35 if cheap else 1.0
        self.servers[name] = policy.Server(
            id=name,
            failure_domain=failure_domain,
            cheap=cheap,
            price=price,
            state=policy.STARTING,
            running=1,
        )
        # Servers ordered in the first step are live at once.
        delay_ms = START_UP_MS if self.now_ms else 0
        self.due_ms[name] = self.now_ms + delay_ms

    def serve_demand(self, demand):
        """Serve the demand with the live servers; add the cost of all."""
        live = [
            item
            for item in self.servers.values()
            if item.state == policy.LIVE or not self.now_ms
        ]
        capacity = len(live) * SERVER_TOKENS_PER_S
        served = min(capacity, sum(demand.values()))
        seconds = STEP_MS / 1_000
        self.demand += sum(demand.values()) * seconds
        self.served += served * seconds
        self.tier_1_demand += demand[1]
        self.tier_1_unserved += max(0.0, demand[1] - capacity)
        if live:
            part = sum(item.cheap for item in live) / len(live)
            self.cheap += served * part * seconds
        price = sum(item.price for item in self.servers.values())
        self.cost += price * STEP_MS / 3_600_000


def run(seed):
    """Return ``(scenario, planner, figures)`` for each day and planner."""
    steps = day_demand(seed)
    peak = max(sum(demand.values()) for demand in steps)
    rows = []
    for is_reclaimed in (False, True):
        name = 'day, domain reclaimed' if is_reclaimed else 'day'
        for planner_name, options in (
            ('static_peak', {'peak_rate': peak}),
            ('bounded_cheap', {}),
        ):
            planner = policy.planners.create(planner_name, **options)
            result = DaySimulation(
                planner, steps, is_reclaimed=is_reclaimed
            ).run()
            rows.append((name, planner_name, result))
    return rows
