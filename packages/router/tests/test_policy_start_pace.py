"""Tests of the pace at which a server that has started gets requests.

The load: 87 gateways send 300 plain requests a second to ten servers, one of
which has just started. It is five times slower for 4 s and refuses requests
beyond two at once.
"""

import heapq
import itertools
import random

from paddle_router import policy
import pytest

GATEWAYS = 87
SERVERS = 10
SLOTS = 6
QUEUE = 24
ARRIVALS_PER_S = 300
SERVICE_MS = 80
SLOW_FACTOR = 5
SLOW_MS = 4_000
SLOW_SLOTS = 2
TARGET_MS = 385
HOP_MS = 3
SYNC_MS = 250
START_MS = 6_000
NEW_ID = f's{SERVERS - 1}'
ATTEMPTS = 2
STARTS = 5
# What the callers and operators ask for.
MAX_REFUSED_RATIO = 0.15
MIN_FIRST_REQUESTS = 8
MIN_IN_TIME_RATIO = 0.93
FAIR_WITHIN_MS = 4_000
FAIR_RATIO = 0.8


class Server:
    """Runs requests in its slots and queues some; refuses the others."""

    def __init__(self, slow_until_ms=0):
        self.slow_until_ms = slow_until_ms
        self.end_ms = []
        self.arrived_ms = []
        self.refused_ms = []

    def accept(self, now_ms):
        """Return when the request ends, ``None`` if it is refused."""
        self.arrived_ms.append(now_ms)
        is_slow = now_ms < self.slow_until_ms
        self.end_ms = [at_ms for at_ms in self.end_ms if at_ms > now_ms]
        if len(self.end_ms) >= (SLOW_SLOTS if is_slow else SLOTS + QUEUE):
            self.refused_ms.append(now_ms)
            return None
        begin_ms = now_ms
        if len(self.end_ms) >= SLOTS:
            begin_ms = sorted(self.end_ms)[-SLOTS]
        service_ms = SERVICE_MS * (SLOW_FACTOR if is_slow else 1)
        self.end_ms.append(begin_ms + service_ms)
        return begin_ms + service_ms

    def report(self, now_ms):
        """Return the load that an answer tells."""
        count = sum(at_ms > now_ms for at_ms in self.end_ms)
        return policy.LoadReport(
            running=min(count, SLOTS), waiting=max(0, count - SLOTS)
        )


class Load:
    """Gateways under load; ``in_time`` holds ``(time, whether)`` of calls."""

    def __init__(self, seed, *, has_pace):
        self.rng = random.Random(seed)
        self.servers = {f's{number}': Server() for number in range(SERVERS)}
        self.in_time = []
        self._events = []
        self._order = itertools.count()
        self._gateways = []
        for index in range(GATEWAYS):
            turns = policy.GatewayTurns()
            turns.set_position(index, GATEWAYS, 2**50, 0)
            balancer = policy.SharedLoadBalancer(rng=self.rng, turns=turns)
            balancer.configure_starts(has_pace=has_pace)
            self._gateways.append(balancer)
            self._at(self.rng.randint(0, SYNC_MS), self._sync, balancer)
        self._sums = dict.fromkeys(self._gateways, {})
        self._list_servers(set(self.servers) - {NEW_ID})
        self._at(0, self._arrive)

    def run(self, until_ms):
        while self._events and self._events[0][0] <= until_ms:
            now_ms, _order, action, args = heapq.heappop(self._events)
            action(now_ms, *args)

    def add_server(self):
        self.servers[NEW_ID].slow_until_ms = START_MS + SLOW_MS
        self._list_servers(set(self.servers))

    def count(self, server_id, since_ms, until_ms):
        """Return how many requests arrived at a server."""
        times = self.servers[server_id].arrived_ms
        return sum(since_ms <= at_ms < until_ms for at_ms in times)

    def _list_servers(self, ids):
        now_ms = self._events[0][0] if self._events else 0
        for balancer in self._gateways:
            balancer.sync(
                [policy.Engine(id=item, slots=SLOTS) for item in sorted(ids)],
                now_ms,
            )

    def _at(self, at_ms, action, *args):
        heapq.heappush(self._events, (at_ms, next(self._order), action, args))

    def _sync(self, now_ms, balancer):
        """Exchange the sums; those of the others are one period old."""
        others = {}
        for other, loads in self._sums.items():
            if other is balancer:
                continue
            for server_id, load in loads.items():
                others.setdefault(server_id, []).append(load)
        balancer.set_other_loads(
            {key: add_loads(loads) for key, loads in others.items()}, now_ms
        )
        self._sums[balancer] = balancer.own_loads(now_ms)
        self._at(now_ms + SYNC_MS, self._sync, balancer)

    def _arrive(self, now_ms):
        pause_ms = self.rng.expovariate(ARRIVALS_PER_S / 1_000)
        self._at(now_ms + pause_ms, self._arrive)
        self._send(now_ms, now_ms, self.rng.choice(self._gateways), ())

    def _send(self, now_ms, begun_ms, balancer, tried):
        work = policy.EngineWork(target_ms=TARGET_MS, avoid=frozenset(tried))
        flight = balancer.choose(work, now_ms)
        end_ms = self.servers[flight.server_id].accept(now_ms + HOP_MS)
        if end_ms is None:
            action, end_ms = self._refuse, now_ms + HOP_MS
        else:
            action = self._answer
        self._at(end_ms + HOP_MS, action, begun_ms, balancer, flight, tried)

    def _refuse(self, now_ms, begun_ms, balancer, flight, tried):
        balancer.record_rejection(flight, now_ms)
        balancer.finish(flight, now_ms, False)
        if len(tried) + 1 < ATTEMPTS:
            tried = (*tried, flight.server_id)
            self._send(now_ms, begun_ms, balancer, tried)
        else:
            self.in_time.append((begun_ms, False))

    def _answer(self, now_ms, begun_ms, balancer, flight, _tried):
        report = self.servers[flight.server_id].report(now_ms - HOP_MS)
        balancer.report(flight.server_id, report, now_ms)
        balancer.finish(flight, now_ms, True)
        self.in_time.append((begun_ms, now_ms - begun_ms <= TARGET_MS))


def add_loads(loads):
    """Return the sum; paces are means over the answers."""
    answers = sum(item.answers for item in loads)
    return policy.SharedLoad(
        running=sum(item.running for item in loads),
        failures=sum(item.failures for item in loads),
        answers=answers,
        pace_ms=sum(item.pace_ms * item.answers for item in loads)
        // max(1, answers),
        rejections=sum(item.rejections for item in loads),
        in_time=sum(item.in_time for item in loads),
    )


def run_start(seed, *, has_pace):
    load = Load(seed, has_pace=has_pace)
    load.run(START_MS)
    load.add_server()
    load.run(START_MS + SLOW_MS + FAIR_WITHIN_MS + 2_000)
    return load


def refused_ratio(load):
    server = load.servers[NEW_ID]
    refused = sum(at_ms < START_MS + SLOW_MS for at_ms in server.refused_ms)
    return refused / load.count(NEW_ID, 0, START_MS + SLOW_MS)


@pytest.fixture(scope='module')
def starts():
    """Several starts: in one of them only some requests reach the server."""
    return [run_start(seed, has_pace=True) for seed in range(STARTS)]


def test_a_slow_start_is_not_flooded(starts):
    # Guards against gateways that all choose the idle server.
    ratios = [refused_ratio(load) for load in starts]
    assert sum(ratios) <= MAX_REFUSED_RATIO * STARTS
    for load in starts:
        during = [
            ok
            for at_ms, ok in load.in_time
            if START_MS <= at_ms < START_MS + SLOW_MS
        ]
        assert sum(during) >= MIN_IN_TIME_RATIO * len(during)


def test_a_slow_start_is_not_left_idle(starts):
    # Guards against a limit that outlasts the slow start.
    warm_ms = START_MS + SLOW_MS
    fair_ms = warm_ms + FAIR_WITHIN_MS
    for load in starts:
        assert load.count(NEW_ID, START_MS, warm_ms) >= MIN_FIRST_REQUESTS
        counts = {
            key: load.count(key, fair_ms, fair_ms + 2_000)
            for key in load.servers
        }
        others = (sum(counts.values()) - counts[NEW_ID]) / (SERVERS - 1)
        assert counts[NEW_ID] >= FAIR_RATIO * others


# One server


def test_the_servers_of_the_first_list_are_not_limited():
    # Guards against a gateway that starts, or a start of all processes, after
    # which the warm servers are left idle.
    balancer = policy.SharedLoadBalancer(rng=random.Random(1))
    balancer.configure_starts(has_pace=True)
    balancer.sync([policy.Engine(id='a')], 0)
    assert balancer.start_phases(0) == {}
    balancer.sync([policy.Engine(id='a'), policy.Engine(id='b')], 1_000)
    assert balancer.start_phases(1_000) == {'b': 'starting'}
    view = {item.server.id: item for item in balancer.views(1_000)}['b']
    assert view.reason == 'starting'
    assert view.allowance in (0, 1)


def test_without_load_control_no_server_is_limited():
    # Guards against earlier deployments that are served otherwise.
    balancer = policy.SharedLoadBalancer(rng=random.Random(1))
    balancer.sync([policy.Engine(id='a')], 0)
    balancer.sync([policy.Engine(id='a'), policy.Engine(id='b')], 1_000)
    assert balancer.start_phases(1_000) == {}
    assert all(item.allowance is None for item in balancer.views(1_000))


def test_a_service_whose_servers_mostly_start_is_not_limited():
    # Guards against callers that are refused after all servers of a service
    # have restarted, though none is left to take the load.
    balancer = policy.SharedLoadBalancer(rng=random.Random(1))
    balancer.configure_starts(has_pace=True)
    balancer.sync([policy.Engine(id=item, born_ms=1) for item in 'abc'], 0)
    balancer.sync(
        [policy.Engine(id=item, born_ms=2) for item in 'ab']
        + [policy.Engine(id='c', born_ms=1)],
        1_000,
    )
    assert balancer.start_phases(1_000) == {}


def test_a_server_that_fails_again_is_probed_less_often():
    # Guards against callers whose requests a failing server gets because it
    # counts as recovering.
    balancer = policy.SharedLoadBalancer(rng=random.Random(1))
    balancer.configure_starts(has_pace=True)
    balancer.sync([policy.Engine(id=item) for item in 'abc'], 0)
    work = policy.EngineWork(target_ms=385)
    failed = 0
    for now_ms in range(1_000, 31_000, 50):
        flight = balancer.choose(work, now_ms)
        if flight.server_id == 'a':
            failed += 1
        balancer.finish(flight, now_ms + 1, flight.server_id != 'a')
    assert 3 <= failed <= 12


def test_an_idle_server_is_not_limited_for_long():
    # Guards against a limit that only answers end, where none are sent.
    pace = policy.StartPace(policy.GatewayTurns())
    pace.is_enabled = True
    server = policy.Incarnation('a')
    pace.retain([server, policy.Incarnation('b')])
    pace.begin(server, 0, policy.Answers())
    pace.update(server, policy.Answers(), 9_000)
    assert pace.is_limited(server)
    pace.update(server, policy.Answers(), 10_000)
    assert not pace.is_limited(server)


def test_streams_that_begin_in_time_are_not_late_when_sums_slide():
    # Guards against streams whose begin leaves the sums before their end does,
    # which looks like late answers and would keep the rate low.
    balancer = policy.SharedLoadBalancer(rng=random.Random(1))
    balancer.configure_starts(has_pace=True)
    balancer.sync([policy.Engine(id='a')], 0)
    work = policy.EngineWork(target_ms=600, gap_ms=400)
    flights = []
    for now_ms in range(0, 20_000, 100):
        for flight in [
            item for item in flights if item.sent_ms < now_ms - 900
        ]:
            flights.remove(flight)
            balancer.finish(flight, now_ms, True)
        flights.append(balancer.choose(work, now_ms))
        balancer.observe(flights[-1], now_ms + 50, 1)
        load = balancer.own_loads(now_ms + 50)['a']
        assert load.answers == load.in_time


def test_refusals_halve_the_rate_that_answers_have_raised():
    # Guards against a rate that only grows.
    pace = policy.StartPace(policy.GatewayTurns())
    pace.is_enabled = True
    server = policy.Incarnation('a')
    pace.retain([server, policy.Incarnation('b')])
    pace.begin(server, 0, policy.Answers())
    rates = []
    for answers in (
        policy.Answers(answers=4, in_time=4),
        policy.Answers(answers=8, in_time=8),
        policy.Answers(answers=8, in_time=8, rejections=1),
        policy.Answers(answers=9, in_time=8, rejections=1),
    ):
        pace.update(server, answers, 1_000)
        rates.append(pace.rate_per_s(server))
    assert rates == [8, 16, 8, 4]


def test_without_a_pace_a_slow_start_is_flooded():
    # Shows that the load is one that needs the pace.
    assert refused_ratio(run_start(0, has_pace=False)) > MAX_REFUSED_RATIO
