"""Replays of load above capacity, without a network.

Two servers of four places that work 100 ms on each request, and gateways that
know each other's load as sums of the last exchange.
"""

import hashlib
import heapq
import itertools
import random
import statistics
import sys

import attrs
import pytest

from paddle_router import policy

WORK_MS = 100
TARGET_MS = 500
TIMEOUT_MS = 3_000
SERVERS = 2
SLOTS = 4
SERVER_QUEUE = 4
CAPACITY_PER_S = SERVERS * SLOTS * 1_000 / WORK_MS
EXCHANGE_MS = 250
CHECK_MS = 20
DURATION_MS = 20_000
# Demand is known after two exchanges and a response.
WARM_UP_MS = 2_000
URGENT, NORMAL = (0, 0), (1, 1)


@attrs.define(eq=False)
class Caller:
    """A request and what its caller does when it is refused."""

    rank: tuple
    customer: str
    digest: str
    sent_ms: int
    retries: int = 0
    is_patient: bool = True
    tries: int = 1
    attempts: int = 0
    done_ms: int | None = None
    refused_ms: int | None = None
    placed_ms: int | None = None

    @property
    def is_in_time(self):
        return (
            self.done_ms is not None
            and self.done_ms - self.sent_ms <= TARGET_MS
        )


class Server:
    def __init__(self, replay):
        self.replay = replay
        self.running = 0
        self.queue = []

    def accept(self, on_done):
        if self.running == SLOTS:
            if len(self.queue) == SERVER_QUEUE:
                return False
            self.queue.append(on_done)
        else:
            self._run(on_done)
        return True

    @property
    def count(self):
        return self.running + len(self.queue)

    def load(self):
        return policy.LoadReport(
            running=self.running, waiting=len(self.queue), slots=SLOTS
        )

    def _run(self, on_done):
        self.running += 1
        work_ms = int(WORK_MS * self.replay.rng.uniform(0.8, 1.2))
        self.replay.at(work_ms, lambda: self._finish(on_done))

    def _finish(self, on_done):
        self.running -= 1
        if self.queue:
            self._run(self.queue.pop(0))
        on_done()


class Gateway:
    def __init__(self, replay):
        self.replay = replay
        self.admission = policy.LoadAdmission()
        self.balancer = policy.SharedLoadBalancer(rng=replay.rng)
        self.balancer.sync(
            [
                policy.Engine(id=server_id, slots=SLOTS)
                for server_id in replay.servers
            ],
            replay.now_ms,
        )

    def views(self):
        return self.balancer.views(self.replay.now_ms)

    def receive(self, caller):
        now_ms = self.replay.now_ms
        req = policy.LoadRequest(
            rank=caller.rank,
            customer=caller.customer,
            class_name=str(caller.rank),
            fingerprint=caller.digest,
            arrived_ms=now_ms,
            target_ms=TARGET_MS,
            timeout_ms=TIMEOUT_MS,
            end_ms=caller.sent_ms + TIMEOUT_MS,
            payload=caller,
        )
        self.add(req)

    def add(self, req, **fields):
        now_ms = self.replay.now_ms
        self.admission.add(req, self.views(), now_ms, now_ms, **fields)
        self.decide()

    def decide(self):
        now_ms = self.replay.now_ms
        for req in self.admission.decide(self.views(), now_ms):
            if isinstance(req.decision, policy.Send):
                req.payload.placed_ms = now_ms
                self.send(req)
            else:
                self.refuse(req, req.decision.retry_after_ms)

    def send(self, req):
        """Send to a server; to a second one if the first rejects it."""
        now_ms = self.replay.now_ms
        views = self.views()
        server_id = self.choose(views)
        work = policy.EngineWork(target_ms=TARGET_MS)
        flight = self.balancer.place(server_id, work, now_ms)
        self.admission.placed(req)
        server = self.replay.servers[server_id]
        if server.accept(lambda: self.finish(req, flight)):
            return
        self.balancer.finish(flight, now_ms, False)
        self.admission.finish(req, now_ms)
        req.payload.attempts += 1
        if req.payload.attempts % 2:
            pause_ms = self.admission.retry_pause_ms(views, now_ms)
            self.replay.at(pause_ms, lambda: self.add(req, is_retry=True))
        else:
            self.refuse(req, TARGET_MS)

    def choose(self, views):
        """Return the server with the fewest requests; see Replay."""
        servers = self.replay.servers
        if self.replay.has_ideal_placing:
            return min(servers, key=lambda item: servers[item].count)
        weights = [max(0.5, 2 * SLOTS - view.running) ** 2 for view in views]
        return self.replay.rng.choices(views, weights)[0].server.id

    def finish(self, req, flight):
        now_ms = self.replay.now_ms
        self.balancer.finish(flight, now_ms, True)
        self.admission.finish(req, now_ms)
        server = self.replay.servers[flight.server_id]
        self.balancer.report(flight.server_id, server.load(), now_ms)
        req.payload.done_ms = now_ms
        self.replay.served_ms.append(now_ms)
        if self in self.replay.gateways:
            self.decide()

    def refuse(self, req, retry_after_ms):
        caller = req.payload
        caller.refused_ms = caller.refused_ms or self.replay.now_ms
        if caller.tries <= caller.retries:
            caller.tries += 1
            after_ms = retry_after_ms if caller.is_patient else 1
            self.replay.at(after_ms, lambda: self.replay.arrive(caller))


class Replay:
    """Callers, gateways and servers, driven by a queue of events.

    A request goes to the server with the fewest requests, so that only the
    admission is tested; without ``has_ideal_placing`` at random to one with
    probably free places by the last sums.
    """

    def __init__(self, gateway_count, seed=1, has_ideal_placing=True):
        self.has_ideal_placing = has_ideal_placing
        self.now_ms = 10_000
        self.rng = random.Random(seed)
        self.events = []
        self.numbers = itertools.count()
        self.servers = {f's{index}': Server(self) for index in range(SERVERS)}
        self.gateways = [Gateway(self) for _ in range(gateway_count)]
        self.reports = {}
        self.callers = []
        self.served_ms = []
        self.are_controllers_reachable = True
        for item in self.gateways:
            self.start(item)

    def start(self, item):
        self.at(self.rng.randrange(EXCHANGE_MS), lambda: self.exchange(item))
        self.at(self.rng.randrange(CHECK_MS), lambda: self.check(item))

    def at(self, after_ms, action):
        heapq.heappush(
            self.events,
            (self.now_ms + after_ms, next(self.numbers), action),
        )

    def arrive(self, caller):
        self.rng.choice(self.gateways).receive(caller)

    def check(self, item):
        if item in self.gateways:
            if len(item.admission):
                item.decide()
            self.at(CHECK_MS, lambda: self.check(item))

    def exchange(self, item):
        if item not in self.gateways:
            self.reports.pop(item, None)
            return
        self.at(EXCHANGE_MS, lambda: self.exchange(item))
        if not self.are_controllers_reachable:
            return
        self.reports[item] = (
            item.balancer.own_loads(self.now_ms),
            item.admission.own_demands(self.now_ms),
        )
        running = dict.fromkeys(self.servers, 0)
        answers = dict.fromkeys(self.servers, 0)
        pace_ms = dict.fromkeys(self.servers, 0)
        per_ms = {}
        for other, (loads, demands) in self.reports.items():
            if other is item:
                continue
            for server_id, load in loads.items():
                running[server_id] += load.running
                answers[server_id] += load.answers
                pace_ms[server_id] += load.answers * load.pace_ms
            for demand in demands:
                per_ms[demand.rank] = (
                    per_ms.get(demand.rank, 0) + demand.per_ms
                )
        item.balancer.set_other_loads(
            {
                server_id: policy.SharedLoad(
                    running=running[server_id],
                    answers=answers[server_id],
                    pace_ms=pace_ms[server_id] // max(1, answers[server_id]),
                )
                for server_id in self.servers
            },
            self.now_ms,
        )
        item.admission.set_others(
            [
                policy.RankDemand(rank=rank, per_ms=rate)
                for rank, rate in per_ms.items()
            ],
            len(self.gateways),
            self.now_ms,
        )

    def add_callers(self, load, rank=NORMAL, customers=10, name='c', **fields):
        """Add callers that ask for ``load`` times the capacity."""
        at_ms = 0.0
        while at_ms < DURATION_MS:
            at_ms += self.rng.expovariate(load * CAPACITY_PER_S / 1_000)
            caller = Caller(
                rank=rank,
                customer=f'{name}{self.rng.randrange(customers)}',
                digest=hashlib.blake2b(
                    self.rng.randbytes(8), digest_size=12
                ).hexdigest(),
                sent_ms=self.now_ms + int(at_ms),
                **fields,
            )
            self.callers.append(caller)
            self.at(int(at_ms), lambda caller=caller: self.arrive(caller))

    def run(self):
        end_ms = self.now_ms + DURATION_MS
        while self.events and self.events[0][0] < end_ms:
            self.now_ms, _number, action = heapq.heappop(self.events)
            action()
        return self

    def in_time_ratio(self, select=lambda caller: True, after_ms=WARM_UP_MS):
        chosen = [
            caller.is_in_time
            for caller in self._settled(after_ms)
            if select(caller)
        ]
        return statistics.mean(chosen)

    def served_in_time_of_capacity(self, after_ms=WARM_UP_MS):
        in_time = sum(item.is_in_time for item in self._settled(after_ms))
        span_s = (DURATION_MS - TARGET_MS - after_ms) / 1_000
        return in_time / span_s / CAPACITY_PER_S

    def _settled(self, after_ms):
        begin_ms = 10_000 + after_ms
        end_ms = 10_000 + DURATION_MS - TARGET_MS
        return [
            item for item in self.callers if begin_ms <= item.sent_ms < end_ms
        ]


def overloaded(gateways, load, **options):
    replay = Replay(gateways, **options)
    replay.add_callers(load / 4, URGENT)
    replay.add_callers(load * 3 / 4, NORMAL)
    return replay


def is_urgent(caller):
    return caller.rank == URGENT


def refusal_delays_ms(replay):
    return [
        caller.refused_ms - caller.sent_ms
        for caller in replay.callers
        if caller.refused_ms is not None
    ]


@pytest.mark.parametrize('load', [2, 4])
@pytest.mark.parametrize('gateways', [3, 60])
def test_urgent_work_is_in_time(gateways, load):
    # Load: a burst of two and four times the capacity, a quarter of it urgent.
    # Guards against urgent work that waits or is rejected behind other work.
    replay = overloaded(gateways, load).run()
    assert replay.in_time_ratio(is_urgent) >= 0.95


@pytest.mark.parametrize('load', [1, 2, 4])
@pytest.mark.parametrize('gateways', [3, 60])
def test_places_stay_full(gateways, load):
    # Guards against gateways that turn away what servers have places for, also
    # with more gateways than places.
    replay = overloaded(gateways, load).run()
    assert replay.served_in_time_of_capacity() >= 0.85


@pytest.mark.parametrize('gateways', [3, 60])
def test_the_bounds_hold_with_stale_placing(gateways):
    # Load: twice the capacity. Guards against an admission that needs better
    # placing than the last sums allow.
    replay = overloaded(gateways, 2, has_ideal_placing=False).run()
    assert replay.in_time_ratio(is_urgent) >= 0.95
    assert replay.served_in_time_of_capacity() >= 0.85


@pytest.mark.parametrize('gateways', [3, 60])
def test_other_customers_are_served_beside_a_flood(gateways):
    # Load: ten customers at half of the capacity, one of whom sends twelve
    # times as much. Guards against a flood that the others pay for.
    replay = Replay(gateways)
    replay.add_callers(0.45, customers=9)
    replay.add_callers(12 * 0.05, name='flood', customers=1)
    replay.run()
    others = replay.in_time_ratio(lambda caller: caller.customer[0] == 'c')
    assert others >= 0.93


@pytest.mark.parametrize('gateways', [3, 60])
def test_callers_that_return_as_told_are_served_no_less(gateways):
    # Load: half of the callers repeat at once, up to four times. Guards
    # against repeats that buy a place.
    replay = Replay(gateways)
    replay.add_callers(1, retries=1)
    replay.add_callers(1, retries=4, is_patient=False, name='r')
    replay.run()
    served = {True: [], False: []}
    for caller in replay.callers:
        served[caller.is_patient].append(caller.done_ms is not None)
    assert statistics.mean(served[True]) >= statistics.mean(served[False])


@pytest.mark.parametrize('load', [1, 4])
@pytest.mark.parametrize('gateways', [1, 3, 60])
def test_refusals_come_within_half_of_the_target(gateways, load):
    # Guards against callers that are held and refused when it is too late to
    # try again.
    delays_ms = refusal_delays_ms(overloaded(gateways, load).run())
    assert delays_ms and max(delays_ms) <= TARGET_MS / 2


@pytest.mark.parametrize('gateways', [1, 3, 60])
def test_at_half_load_nothing_waits_or_is_refused(gateways):
    # Guards against an admission that costs callers something without need.
    replay = overloaded(gateways, 0.5).run()
    delays_ms = sorted(
        caller.placed_ms - caller.sent_ms
        for caller in replay.callers
        if caller.placed_ms is not None
    )
    assert not refusal_delays_ms(replay)
    assert delays_ms[int(0.99 * len(delays_ms))] < 2


def cut_controllers(replay):
    replay.are_controllers_reachable = False


def stop_gateways(replay):
    del replay.gateways[::3]


def add_gateways(replay):
    for _ in range(max(1, len(replay.gateways) // 3)):
        item = Gateway(replay)
        replay.gateways.append(item)
        replay.start(item)


@pytest.mark.parametrize(
    'fault', [cut_controllers, stop_gateways, add_gateways]
)
@pytest.mark.parametrize('gateways', [3, 60])
def test_two_seconds_after_a_fault_the_bounds_hold(gateways, fault):
    # Load: twice the capacity. Guards against gateways that admit too much or
    # too little without the sums, or after the number of gateways changed.
    replay = overloaded(gateways, 2)
    replay.at(DURATION_MS // 2, lambda: fault(replay))
    replay.run()
    after_ms = DURATION_MS // 2 + 2_000
    assert replay.in_time_ratio(is_urgent, after_ms) >= 0.95
    assert replay.served_in_time_of_capacity(after_ms) >= 0.85


def engine_decisions(running, ranks):
    """Return the decisions on one request of each rank at an engine."""
    admission = policy.LoadAdmission(is_engine=True)
    admission.set_others((), 1, 0)
    views = (
        policy.ServerView(
            server=policy.Incarnation('s'),
            slots=16,
            own=running,
            running=running,
        ),
    )
    requests = []
    for number, rank in enumerate(ranks):
        req = policy.LoadRequest(
            rank=rank,
            customer='c',
            class_name=str(rank),
            fingerprint=f'{number:012x}',
            arrived_ms=0,
            target_ms=TARGET_MS,
            timeout_ms=TIMEOUT_MS,
            end_ms=TIMEOUT_MS,
        )
        admission.add(req, views, 0, 0)
        requests.append(req)
    admission.decide(views, 1)
    admission.decide(views, TARGET_MS // 2)
    return [type(req.decision) for req in requests]


def test_a_caller_that_leaves_does_not_wait_on():
    # Guards against places that are kept for callers who have gone.
    replay = Replay(1)
    item = replay.gateways[0]
    for number in range(2 * SERVERS * SLOTS + 1):
        caller = Caller(URGENT, 'c', f'{number:012x}', replay.now_ms)
        item.receive(caller)
    waiting = [req for req in item.admission._tickets if req.decision is None]
    assert len(item.admission) == len(waiting) == 1
    item.admission.finish(waiting[0], replay.now_ms)
    assert len(item.admission) == 0


def test_engines_get_every_request_while_a_slot_is_free():
    # Guards against engines, which queue by rank themselves, that are idle.
    assert engine_decisions(12, [NORMAL, URGENT]) == [policy.Send] * 2


def test_a_full_engine_still_takes_urgent_work():
    # Load: an engine with all slots taken. Guards against lower ranks that
    # queue there, and against callers who are not told early.
    assert engine_decisions(17, [NORMAL, URGENT]) == [
        policy.TurnAway,
        policy.Send,
    ]


def test_the_replay_shows_what_happens_without_an_admission(monkeypatch):
    # Guards against a replay in which urgent work is in time by itself.
    monkeypatch.setattr(
        policy.LoadAdmission, '_is_served', lambda *_args: True
    )
    monkeypatch.setattr(policy.LoadAdmission, '_may_send', lambda *_args: True)
    replay = overloaded(3, 4).run()
    assert replay.in_time_ratio(is_urgent) < 0.5


ENGINE_SLOTS = 32
RUN_MS = 2_000
WINDOW_MS = 5_000


def views(running, **fields):
    return (
        policy.ServerView(
            server=policy.Incarnation('s'),
            slots=16,
            running=running,
            **fields,
        ),
    )


def load_request(rank, number, now_ms):
    return policy.LoadRequest(
        rank=rank,
        customer='c',
        class_name=str(rank),
        fingerprint=f'{number:012x}',
        arrived_ms=now_ms,
        target_ms=500,
        timeout_ms=3_000,
        end_ms=now_ms + 3_000,
    )


class EngineServer(Server):
    """An engine: a queue by rank without a bound."""

    def accept(self, on_done, rank):
        if self.running == ENGINE_SLOTS:
            self.queue.append((rank, on_done))
            self.queue.sort(key=lambda item: item[0])
        else:
            self._start(rank, on_done)

    def _start(self, rank, on_done):
        if rank == NORMAL:
            self.replay.normal_begun_ms.append(self.replay.now_ms)
        self.running += 1
        run_ms = int(RUN_MS * self.replay.rng.uniform(0.75, 1.5))
        self.replay.at(run_ms, lambda: self._finish(on_done))

    def _finish(self, on_done):
        self.running -= 1
        if self.queue:
            self._start(*self.queue.pop(0))
        on_done()


class EngineGateway(Gateway):
    def __init__(self, replay):
        super().__init__(replay)
        self.admission = policy.LoadAdmission(is_engine=True)

    def send(self, req):
        server_id = self.choose(self.views())
        work = policy.EngineWork(target_ms=500, gap_ms=200)
        flight = self.balancer.place(server_id, work, self.replay.now_ms)
        self.admission.placed(req)
        self.replay.servers[server_id].accept(
            lambda: self.finish(req, flight), req.rank
        )


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('gateways', [3, 60])
def test_urgent_work_is_not_refused_while_other_work_begins(
    monkeypatch, gateways, seed
):
    # Load: a burst of four times the capacity of the engines beside urgent
    # work for two fifths of it. Guards against urgent work that is refused
    # because less urgent work waits at the engines, and begins there.
    replays = sys.modules[__name__]
    monkeypatch.setattr(replays, 'SLOTS', ENGINE_SLOTS)
    monkeypatch.setattr(replays, 'Server', EngineServer)
    monkeypatch.setattr(replays, 'Gateway', EngineGateway)
    capacity_per_s = SERVERS * ENGINE_SLOTS * 1_000 / RUN_MS
    monkeypatch.setattr(replays, 'CAPACITY_PER_S', capacity_per_s)
    replay = Replay(gateways, seed=seed)
    replay.normal_begun_ms = []
    replay.add_callers(0.4, URGENT)
    at_ms = 5_000.0
    while at_ms < 12_000:
        at_ms += replay.rng.expovariate(4 * capacity_per_s / 1_000)
        caller = Caller(
            NORMAL,
            f'c{replay.rng.randrange(10)}',
            hashlib.blake2b(replay.rng.randbytes(8)).hexdigest()[:24],
            replay.now_ms + int(at_ms),
        )
        replay.callers.append(caller)
        replay.at(int(at_ms), lambda caller=caller: replay.arrive(caller))
    replay.run()
    for begin_ms in range(10_000, 26_000, 500):
        end_ms = begin_ms + WINDOW_MS
        urgent = [
            item
            for item in replay.callers
            if item.rank == URGENT and begin_ms <= item.sent_ms < end_ms
        ]
        refused = sum(item.refused_ms is not None for item in urgent)
        begun = sum(begin_ms <= x < end_ms for x in replay.normal_begun_ms)
        assert refused < 10 or refused <= len(urgent) / 12 or not begun


@pytest.mark.parametrize('running', [20, 24, 32])
def test_a_gateway_that_starts_sends_urgent_work_to_full_engines(running):
    decisions = engine_decisions(running, [NORMAL, URGENT])
    assert decisions[1] is policy.Send


def test_a_rank_that_has_ended_lowers_no_other():
    # Guards against a limit that stays low since urgent work came once.
    admission = policy.LoadAdmission(is_engine=True)
    req = load_request(URGENT, 1, 0)
    admission.add(req, views(1), 0, 0)
    admission.decide(views(1), 0)
    admission.finish(req, 100)
    req = load_request(NORMAL, 2, 60_000)
    admission.add(req, views(17), 60_000, 0)
    admission.decide(views(17), 60_000)
    assert isinstance(req.decision, policy.Send)


def test_the_correction_ends_with_the_overload():
    # Load: an overload of 2 s and 30 s of calm. Guards against a correction
    # that grows in the calm, so that the next burst gets three times too much.
    admission = policy.LoadAdmission()
    demands = [policy.RankDemand(rank=NORMAL, per_ms=4.0)]
    for number in range(80):
        is_calm = number >= 20
        now_ms = 500 * number if is_calm else 100 * number
        admission.set_others(() if is_calm else demands, 3, now_ms)
        rank, running = (URGENT, 1) if is_calm else (NORMAL, 20)
        req = load_request(rank, number, now_ms)
        admission.add(req, views(running, pace_ms=100), now_ms, now_ms)
        admission.decide(views(running, pace_ms=100), now_ms)
        admission.finish(req, now_ms)
    state = admission.dump(now_ms)
    assert state['turned_away']
    assert state['correction'] < 1.2
