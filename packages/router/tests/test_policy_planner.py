"""Tests of the planners; each names the failure it guards against."""

import hypothesis
import hypothesis.strategies as st
from paddle_router import policy

STEP_MS = 10_000
START_UP_MS = 60_000


def make_offers(cheap_available=True):
    return tuple(
        policy.Offer(
            failure_domain=f'd{number}',
            cheap=cheap,
            price=0.3 if cheap else 1.0,
            available=cheap_available or not cheap,
        )
        for number in range(3)
        for cheap in (True, False)
    )


class SimulatedPlatform:
    """Executes orders; servers become live after the start-up time."""

    def __init__(self, planner):
        self.planner = planner
        self.servers = {}
        self.ready_ms = {}
        self.now_ms = 0
        self.verbs = []

    def step(self, demand, running=0, **options):
        self.now_ms += STEP_MS
        for name, server in list(self.servers.items()):
            if server.state == policy.STARTING:
                if self.now_ms >= self.ready_ms[name]:
                    self.set_state(name, policy.LIVE)
        options.setdefault('offers', make_offers())
        view = policy.PlanView(
            now_ms=self.now_ms,
            servers=tuple(self.servers.values()),
            demand=demand,
            server_rate=100.0,
            start_up_ms=START_UP_MS,
            **options,
        )
        for order in self.planner.plan(view):
            self.verbs.append(order.verb)
            self.execute(order, running)

    def execute(self, order, running):
        if order.verb == 'start':
            name = f's{len(self.ready_ms)}'
            self.ready_ms[name] = self.now_ms + START_UP_MS
            self.servers[name] = policy.Server(
                id=name,
                price=0.3 if order.args['cheap'] else 1.0,
                state=policy.STARTING,
                running=running,
                **order.args,
            )
        elif order.verb == 'drain':
            self.set_state(order.args['instance'], policy.DRAINING)
        elif order.verb == 'stop':
            server = self.servers.pop(order.args['instance'])
            assert server.state == policy.DRAINING and not server.running

    def set_state(self, name, state):
        server = self.servers[name]
        self.servers[name] = policy.Server(
            id=name,
            failure_domain=server.failure_domain,
            cheap=server.cheap,
            price=server.price,
            state=state,
            running=server.running,
        )

    def live(self, **match):
        return [
            server
            for server in self.servers.values()
            if server.state == policy.LIVE
            and all(getattr(server, k) == v for k, v in match.items())
        ]


def make_platform(name='bounded_cheap', **options):
    return SimulatedPlatform(policy.planners.create(name, **options))


limits = st.lists(st.integers(0, 12), min_size=4, max_size=4)


@hypothesis.given(st.integers(0, 12), st.integers(0, 8), limits)
def test_mix_is_the_cheapest_that_survives_the_loss_of_a_domain(
    total, protected, counts
):
    # Guards against a mix that is too small after a loss, or too expensive.
    options = [
        (price, (f'd{index % 2}', index < 2), limit)
        for index, (price, limit) in enumerate(zip((3, 4, 10, 10), counts))
    ]
    mix = policy.cheapest_mix(total, protected, options)
    best = None
    for first in range(counts[0] + counts[2] + 1):
        for second in range(counts[1] + counts[3] + 1):
            if first + second < total or min(first, second) < protected:
                continue
            price = 3 * min(first, counts[0]) + 4 * min(second, counts[1])
            price += 10 * max(0, first - counts[0])
            price += 10 * max(0, second - counts[1])
            best = price if best is None else min(best, price)
    if best is not None:
        prices = {kind: price for price, kind, _ in options}
        assert best == sum(prices[kind] * mix[kind] for kind in mix)
        assert sum(mix.values()) >= total
        for domain in ('d0', 'd1'):
            outside = sum(n for kind, n in mix.items() if kind[0] != domain)
            assert outside >= protected


def test_top_tier_survives_any_domain_and_cheap_ones_are_preferred():
    # Guards against putting all cheap servers into one failure domain.
    platform = make_platform()
    for _ in range(20):
        platform.step({1: 500.0, 2: 300.0})
    live = platform.live()
    assert len(platform.live(cheap=True)) == len(live) == 9
    for number in range(3):
        lost = platform.live(failure_domain=f'd{number}')
        assert (len(live) - len(lost)) * 100 >= 500


def test_unavailable_cheap_servers_are_replaced_by_firm_ones():
    # Guards against waiting for a kind that is not available, and against
    # keeping the expensive kind forever.
    platform = make_platform()
    for _ in range(20):
        platform.step({1: 400.0}, offers=make_offers(False))
    assert len(platform.live(cheap=False)) >= 5
    for _ in range(200):
        platform.step({1: 400.0})
        assert len(platform.live()) >= 5
    assert not platform.live(cheap=False)


def test_short_dips_cause_no_drain_and_servers_drain_before_a_stop():
    # Guards against repeated stops and starts, and against interrupted
    # requests.
    platform = make_platform()
    for step in range(60):
        platform.step({1: 600.0 if step % 4 else 300.0})
    assert 'drain' not in platform.verbs
    for _ in range(30):
        platform.step({1: 200.0})
    assert platform.verbs.index('drain') < platform.verbs.index('stop')
    # With 5% headroom, three servers must remain if any domain is lost.
    assert len(platform.servers) == 5


def test_running_server_is_not_stopped():
    # Guards against a stop that interrupts requests.
    platform = make_platform()
    for step in range(60):
        platform.step({1: 600.0 if step < 20 else 100.0}, running=1)
    assert 'drain' in platform.verbs
    assert 'stop' not in platform.verbs


def test_loads_respect_the_rate_of_the_store_and_start_with_the_top_tier():
    # Guards against overloading the weight store.
    platform = make_platform()
    loads = tuple(
        policy.Load(
            verb='load_model',
            name=f'model-{tier}',
            tier=tier,
            servers=1,
            size_bytes=2_000_000,
        )
        for tier in (2, 1)
    )
    names = []
    planner = platform.planner
    servers = tuple(
        policy.Server(
            id=f's{i}', failure_domain=f'd{i}', cheap=True, price=0.3
        )
        for i in range(3)
    )
    for now_ms in (0, 10_000, 20_000):
        view = policy.PlanView(
            now_ms=now_ms,
            servers=servers,
            offers=make_offers(),
            demand={1: 10.0},
            server_rate=100.0,
            loads=loads if now_ms < 20_000 else loads[:1],
            store_bytes_per_s=100_000.0,
        )
        orders = planner.plan(view)
        names += [
            order.args['name'] for order in orders if order.verb[0] == 'l'
        ]
    assert names == ['model-1', 'model-2']


def test_roles_follow_the_demand_after_the_hold_time():
    # Guards against changing roles at every fluctuation.
    planner = make_platform().planner
    servers = tuple(
        policy.Server(
            id=f's{i}',
            failure_domain='d',
            cheap=True,
            price=0.3,
            role='decode',
        )
        for i in range(4)
    )
    changes = []
    for now_ms in range(0, 70_000, 10_000):
        view = policy.PlanView(
            now_ms=now_ms,
            servers=servers,
            offers=make_offers(),
            demand={1: 400.0},
            server_rate=100.0,
            roles={'prefill': 1.0, 'decode': 3.0},
        )
        orders = planner.plan(view)
        changes += [
            (now_ms, order.args['role'])
            for order in orders
            if order.verb == 'change_role'
        ]
    assert changes == [(60_000, 'prefill')]


def test_forecast_follows_a_ramp_and_start_up_is_learned():
    # Guards against servers that are live too late for a rising demand.
    forecast = policy.DemandForecast()
    for now_ms in range(0, 3_600_000, 10_000):
        forecast.observe(1, now_ms / 1_000, now_ms)
    assert abs(forecast.at(60_000)[1] - 3_650) < 40
    start_up = policy.StartUpTime(10_000)
    for _ in range(6):
        start_up.observe(90_000)
    assert start_up.value_ms() > 85_000
