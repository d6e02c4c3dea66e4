"""Tests of the balancers; each names the failure it guards against."""

import random

import hypothesis
import hypothesis.strategies as st
from paddle_router import policy

STEP_MS = 10
FIRST_TOKEN_MS = 100
TOKEN_MS = 20
RESPONSE_TOKENS = 40


class Pool:
    """Simulated engines behind a balancer.

    ``factors`` slows down the token times of each engine; with 0 the engine
    never responds.
    """

    def __init__(self, count, seed=1, rate=1, name='observed', domains=1):
        self.engines = [
            policy.Engine(id=f'e{i}', failure_domain=f'd{i % domains}')
            for i in range(count)
        ]
        self.balancer = policy.balancers.create(name, rng=random.Random(seed))
        self.balancer.sync(self.engines, 0)
        self.factors = {engine.id: 1 for engine in self.engines}
        self.counts = dict.fromkeys(self.factors, 0)
        self.flights = []
        self.now_ms = 0
        self.rate = rate
        self.ejected = []

    def run(self, steps):
        for _ in range(steps):
            self.now_ms += STEP_MS
            for item in self.balancer.tick(self.now_ms):
                self.ejected.append(item.engine_id)
            self.flights += self.balancer.probes(self.now_ms)
            for _ in range(self.rate):
                flight = self.balancer.choose(
                    self.engines, policy.Work(), self.now_ms
                )
                if flight:
                    self.flights.append(flight)
                    self.counts[flight.engine_id] += 1
            self.flights = [
                item for item in self.flights if self.advance(item)
            ]

    def advance(self, flight):
        factor = self.factors[flight.engine_id]
        if not factor:
            return True
        spent_ms = (self.now_ms - flight.started_ms) / factor
        tokens = int((spent_ms - FIRST_TOKEN_MS) / TOKEN_MS) + 1
        if tokens > flight.tokens:
            self.balancer.observe(flight, self.now_ms, tokens)
        if tokens >= RESPONSE_TOKENS:
            self.balancer.finish(flight, self.now_ms, True)
        return tokens < RESPONSE_TOKENS


@hypothesis.given(st.integers(1, 400), st.integers(1, 16), st.integers(1, 50))
def test_shares_of_all_daemons_add_up_to_the_slots(daemons, slots, number):
    # Guards against more requests on an engine than it has slots.
    engine = policy.Engine(id=f'engine-{number}', slots=slots)
    parts = [
        policy.own_slots(engine, *policy.share_of(index, daemons))
        for index in range(daemons)
    ]
    assert sum(parts) == slots
    assert min(parts) >= 0


def test_slow_engine_is_ejected_and_readmitted():
    # Guards against a slow engine that keeps its traffic, and against one
    # that is never readmitted.
    pool = Pool(4)
    pool.run(300)
    pool.factors['e0'] = 10
    before = pool.counts['e0']
    pool.run(300)
    assert pool.ejected == ['e0']
    # One request in flight per slot, then the four that lead to ejection.
    assert pool.counts['e0'] - before <= 8 + 4
    pool.factors['e0'] = 1
    before = pool.counts['e0']
    pool.run(1500)
    assert pool.counts['e0'] - before > 50
    assert pool.ejected == ['e0']


def test_frozen_engine_is_ejected_without_a_response():
    # Guards against an engine that is not ejected because it never responds.
    pool = Pool(4)
    pool.run(300)
    pool.factors['e1'] = 0
    pool.run(100)
    assert pool.ejected == ['e1']


def test_slowdown_of_all_engines_ejects_none():
    # Guards against ejections when all engines slow down at the same time.
    for seed in range(8):
        pool = Pool(6, seed=seed)
        pool.run(300)
        pool.factors = dict.fromkeys(pool.factors, 10)
        pool.run(600)
        assert not pool.ejected


def test_ejection_is_bounded_to_half_of_the_pool():
    # Guards against overloading the few engines that remain in the pool.
    pool = Pool(4)
    pool.run(300)
    pool.factors.update(e0=0, e1=0, e2=0)
    pool.run(500)
    assert len(pool.ejected) <= 2


def test_engine_reporting_idle_does_not_attract_traffic():
    # Guards against a wrong load report outweighing measured times.
    pool = Pool(4)
    for _ in range(60):
        pool.run(10)
        for engine in pool.engines:
            load = 0 if engine.id == 'e0' else 8
            report = policy.LoadReport(running=load, slots=8, age_ms=50)
            pool.balancer.report(engine.id, report, pool.now_ms)
    assert pool.counts['e0'] < 1.5 * pool.counts['e1']
    assert not pool.balancer.dump()['e0']['trusted']


def test_leaving_engine_gets_no_new_work():
    # Guards against interrupting requests at a planned stop.
    pool = Pool(2)
    pool.run(50)
    leaving = policy.Engine(id='e0', failure_domain='d0', leaving=True)
    pool.balancer.sync([leaving, pool.engines[1]], pool.now_ms)
    before = dict(pool.counts)
    pool.run(100)
    assert pool.counts['e0'] == before['e0']
    assert pool.counts['e1'] > before['e1']


def test_lost_domain_is_ejected_at_once():
    # Guards against sending requests to engines of a reclaimed domain.
    pool = Pool(6, domains=3)
    pool.run(100)
    held = sum(item.engine_id in ('e0', 'e3') for item in pool.flights)
    lost = pool.balancer.drop_domain('d0', pool.now_ms)
    assert len(lost) == held > 0
    pool.factors.update(e0=0, e3=0)
    before = dict(pool.counts)
    pool.run(300)
    assert pool.counts['e0'] == before['e0']
    assert pool.counts['e3'] == before['e3']


def test_failures_of_all_engines_of_a_domain_eject_it():
    # Guards against detecting a lost domain only engine by engine.
    pool = Pool(4, domains=2)
    pool.run(100)
    for item in list(pool.flights):
        if item.engine_id in ('e0', 'e2'):
            pool.balancer.finish(item, pool.now_ms, False)
    states = pool.balancer.dump()
    assert states['e0']['status'] == states['e2']['status'] == 'lost'
    assert states['e1']['status'] == 'ok'


def test_prefix_affinity_yields_to_load():
    # Guards against missing the prefix cache, and against overloading the
    # engine that has the prefix.
    rng = random.Random(3)
    balancer = policy.balancers.create('observed', rng=rng)
    engines = [policy.Engine(id=f'e{i}') for i in range(10)]
    balancer.sync(engines, 0)
    work = policy.Work(prompt_tokens=900, prefix=('a', 'ab', 'abc'))
    flights = [balancer.choose(engines, work, 0) for _ in range(40)]
    held = [flight.engine_id for flight in flights]
    assert held[0] == held[1]
    assert held.count(held[0]) <= 7


def test_baselines_use_free_slots_only():
    # Guards against a baseline that overfills or wastes slots, which would
    # make comparisons with it unfair.
    for name in ('round_robin', 'least_reported_load'):
        pool = Pool(2, name=name)
        flights = [
            pool.balancer.choose(pool.engines, policy.Work(), 0)
            for _ in range(17)
        ]
        assert flights[16] is None
        assert all(flights[:16])
        pool.balancer.finish(flights[3], 0, True)
        assert pool.balancer.free_slots() == 1
