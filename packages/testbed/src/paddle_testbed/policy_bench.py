"""Runs the policies alone in an event loop against modelled engines.

The same seeded arrivals are given to each pair of scheduler and balancer. A
modelled engine has slots, a prefill time, a time per token that grows with
its batch, and a load report that lags.
"""

import collections
import heapq
import itertools
import random
import statistics

import attrs
from paddle_router import policy

ENGINES = 12
DOMAINS = 4
SLOTS = 16
TOKEN_MS = 25
BATCH_SLOWDOWN = 0.6
PREFILL_BASE_MS = 40
PREFILL_MS = 0.1
SEGMENT = 16
REPORT_LAG_MS = 1_000
END_MS = 90_000
WARM_MS = 10_000
FAULT_MS = 20_000
CALM_MS = 80_000
TICK_MS = 50
RESUME_RETRY_MS = 20
FAIR_WINDOW_MS = 5_000
STEADY_LOAD = 0.6
BURST_LOAD = 3.0
# Customers from large to small, by share of the traffic.
CUSTOMERS = [0.3, 0.2, 0.14, 0.1, 0.08, 0.06, 0.05, 0.03, 0.02, 0.02]


@attrs.frozen
class Kind:
    """A class: settings, share of the load, mean prompt and response."""

    policy: policy.ClassPolicy
    load: float
    prompt: int
    length: int

    def slot_ms(self):
        """Return the mean time in a slot of a full engine."""
        token_ms = TOKEN_MS * (1 + BATCH_SLOWDOWN)
        prefill_ms = PREFILL_BASE_MS + PREFILL_MS * self.prompt
        return prefill_ms + token_ms * self.length


def _kind(tier, first_ms, inter_ms, *rest):
    settings = policy.ClassPolicy(
        tier=tier, first_token_ms=first_ms, inter_token_ms=inter_ms
    )
    return Kind(settings, *rest)


KINDS = {
    'tagging': _kind(1, 1_400, 53, 0.2, 300, 12),
    'chat': _kind(1, 1_400, 53, 0.3, 500, 120),
    'question': _kind(2, 1_400, 53, 0.25, 200, 60),
    'report': _kind(3, 10_000, 80, 0.25, 800, 400),
}
CLASSES = {name: kind.policy for name, kind in KINDS.items()}


@attrs.define(eq=False)
class Request:
    """One request and what became of it."""

    customer: str
    name: str
    arrival_ms: int
    prompt: int
    length: int
    ticket: object = None
    flight: object = None
    tokens: int = 0
    generated: int = 0
    attempts: int = 0
    first_ms: int | None = None
    end_ms: int | None = None
    is_failed: bool = False

    def is_good(self):
        """Tell if the whole response came within the class's targets."""
        targets = CLASSES[self.name]
        if self.end_ms is None or self.is_failed:
            return False
        inter_ms = (self.end_ms - self.first_ms) / max(1, self.length - 1)
        return (
            self.first_ms - self.arrival_ms <= targets.first_token_ms
            and inter_ms <= targets.inter_token_ms
        )


@attrs.frozen
class Scenario:
    """Load and faults; ``faults`` holds ``(time, action, engine index)``."""

    name: str
    burst_class: str | None = None
    flood_customer: str | None = None
    faults: tuple = ()


_DOMAIN = tuple(
    (FAULT_MS + delay_ms, action, index)
    for delay_ms, action in ((5_000, 'leave'), (8_000, 'reclaim'))
    for index in range(0, ENGINES, DOMAINS)
)
SCENARIOS = [
    Scenario('steady'),
    Scenario('class burst', burst_class='question'),
    Scenario('customer flood', flood_customer='c0'),
    Scenario('engine 10x slower', faults=((FAULT_MS, 'slow', 0),)),
    Scenario('engine frozen', faults=((FAULT_MS, 'freeze', 0),)),
    Scenario('engine crash', faults=((FAULT_MS, 'crash', 0),)),
    Scenario('domain reclaimed in burst', 'question', faults=_DOMAIN),
]
POLICIES = [
    ('fifo', 'round_robin'),
    ('fifo', 'least_reported_load'),
    ('tiered_fair', 'observed'),
]


def arrivals(scenario, seed):
    """Return the requests of ``scenario`` in the order of their arrival."""
    result = []
    slots = ENGINES * SLOTS
    for name, kind in KINDS.items():
        # One generator per class, so that a burst changes no other class.
        rng = random.Random(f'{seed}-{name}')
        base = STEADY_LOAD * kind.load * slots / kind.slot_ms()
        extra = 0.0
        if scenario.burst_class == name:
            extra = (BURST_LOAD - STEADY_LOAD) * slots / kind.slot_ms()
        elif scenario.flood_customer:
            extra = base * (BURST_LOAD - STEADY_LOAD) / STEADY_LOAD
        _stream(result, rng, name, base, 0, END_MS, CUSTOMERS)
        rng = random.Random(f'{seed}-{name}-burst')
        weights = CUSTOMERS
        if scenario.flood_customer:
            weights = [1.0] + [0.0] * (len(CUSTOMERS) - 1)
        if extra:
            _stream(result, rng, name, extra, FAULT_MS, CALM_MS, weights)
    return sorted(result, key=lambda item: item.arrival_ms)


def _stream(result, rng, name, rate, now_ms, end_ms, weights):
    kind = KINDS[name]
    names = [f'c{index}' for index in range(len(weights))]
    while True:
        now_ms += rng.expovariate(rate)
        if now_ms >= end_ms:
            return
        length = kind.length * rng.lognormvariate(-0.125, 0.5)
        result.append(
            Request(
                rng.choices(names, weights)[0],
                name,
                int(now_ms),
                max(1, int(kind.prompt * rng.uniform(0.5, 1.5))),
                max(2, int(length)),
            )
        )


class EngineModel:
    """Running requests of one engine and its faults."""

    def __init__(self):
        self.running = set()
        self.factor = 1
        self.is_frozen = False
        self.is_gone = False
        self.reports = collections.deque()

    def token_ms(self):
        """Return the present time per token."""
        fill = len(self.running) / SLOTS
        return TOKEN_MS * (1 + BATCH_SLOWDOWN * fill) * self.factor


class Simulation:
    """One run of one scenario with one pair of policies."""

    def __init__(self, scenario, scheduler, balancer, seed):
        self.rng = random.Random(seed)
        self.scheduler = policy.schedulers.create(scheduler, classes=CLASSES)
        self.balancer = policy.balancers.create(balancer, rng=self.rng)
        self.requests = arrivals(scenario, seed)
        self.lengths = policy.LengthEstimator()
        self.admission = policy.Admission(CLASSES)
        self.budget = policy.RetryBudget()
        self.engines = [
            policy.Engine(
                id=f'e{index}',
                failure_domain=f'd{index % DOMAINS}',
                slots=SLOTS,
                can_resume=True,
            )
            for index in range(ENGINES)
        ]
        self.models = {item.id: EngineModel() for item in self.engines}
        self.balancer.sync(self.engines, 0)
        self.now_ms = 0
        self.occupancy = []
        self.ejected = []
        self._events = []
        self._count = itertools.count()
        for request in self.requests:
            self.at(request.arrival_ms, self.arrive, request)
        for fault in scenario.faults:
            self.at(fault[0], self.fault, *fault[1:])
        self.at(0, self.tick)

    def at(self, time_ms, function, *args):
        """Call ``function`` at ``time_ms``."""
        entry = (time_ms, next(self._count), function, args)
        heapq.heappush(self._events, entry)

    def run(self):
        """Run to the end and let running requests finish."""
        while self._events and self.now_ms < 2 * END_MS:
            time_ms, _, function, args = heapq.heappop(self._events)
            self.now_ms = int(time_ms)
            function(*args)
        return self

    # Router

    def arrive(self, request):
        predicted = self.lengths.predict(request.customer, request.name)
        targets = CLASSES[request.name]
        start_up_ms = self.admission.predict(request.prompt).start_up_ms
        self.budget.note_request()
        request.ticket = policy.Ticket(
            customer=request.customer,
            class_name=request.name,
            tier=targets.tier,
            prompt_tokens=request.prompt,
            generated_tokens=predicted.mean,
            arrival_ms=self.now_ms,
            deadline_ms=self.now_ms + targets.first_token_ms,
            start_up_ms=start_up_ms,
            payload=request,
        )
        self.scheduler.offer(request.ticket, self.now_ms)
        self.pump()

    def pump(self):
        """Start queued requests on free slots."""
        free = self.balancer.free_slots()
        for ticket in self.scheduler.next(free, self.now_ms).started:
            self.place(ticket.payload, frozenset())

    def place(self, request, avoid):
        work = policy.Work(prompt_tokens=request.prompt, avoid=avoid)
        request.flight = self.balancer.choose(self.engines, work, self.now_ms)
        if request.flight is None:
            if self.now_ms < request.ticket.deadline_ms or request.tokens:
                later_ms = self.now_ms + RESUME_RETRY_MS
                self.at(later_ms, self.place, request, frozenset())
            else:
                self.scheduler.served(request.ticket, 0)
            return
        request.attempts += 1
        model = self.models[request.flight.engine_id]
        if model.is_gone:
            self.at(self.now_ms + 1, self.broken, request, request.flight)
            return
        model.running.add(request.flight)
        spent_ms = PREFILL_BASE_MS + PREFILL_MS * request.prompt
        due_ms = self.now_ms + spent_ms * model.factor
        self.at(due_ms, self.progress, request, request.flight, 1)

    def progress(self, request, flight, count):
        """Deliver ``count`` more tokens and plan the next ones."""
        model = self.models[flight.engine_id]
        if request.flight is not flight or model.is_gone:
            return
        if model.is_frozen:
            self.at(self.now_ms + 100, self.progress, request, flight, count)
            return
        request.tokens += count
        request.generated += count
        if request.first_ms is None:
            request.first_ms = self.now_ms
            waited_ms = self.now_ms - flight.started_ms
            self.admission.observe(request.prompt, waited_ms)
        self.balancer.observe(flight, self.now_ms, request.tokens)
        if request.tokens >= request.length:
            self.complete(request, flight, model)
            return
        step = min(SEGMENT, request.length - request.tokens)
        due_ms = self.now_ms + step * model.token_ms()
        self.at(due_ms, self.progress, request, flight, step)

    def complete(self, request, flight, model):
        request.end_ms = self.now_ms
        self.release(flight, True)
        self.scheduler.served(
            request.ticket, request.length, now_ms=self.now_ms
        )
        self.lengths.observe(request.customer, request.name, request.length)
        self.pump()

    def release(self, flight, ok):
        model = self.models[flight.engine_id]
        model.running.discard(flight)
        self.balancer.finish(flight, self.now_ms, ok)

    def broken(self, request, flight):
        """Retry or resume a request whose engine failed."""
        if request.flight is not flight:
            return
        request.flight = None
        self.release(flight, False)
        attempt = policy.Attempt(
            idempotent=True,
            was_sent=True,
            events_delivered=request.tokens,
            engine_can_resume=True,
            attempts=request.attempts,
        )
        action = policy.decide_retry(attempt, self.budget, self.now_ms)
        if action in (policy.Action.RETRY, policy.Action.RESUME):
            self.place(request, frozenset([flight.engine_id]))
        else:
            request.is_failed = True
            self.scheduler.served(request.ticket, request.tokens)
        self.pump()

    def tick(self):
        for item in self.balancer.tick(self.now_ms):
            self.ejected.append((self.now_ms, item.engine_id))
            for flight in item.overdue:
                for request in self.requests:
                    if request.flight is flight:
                        self.broken(request, flight)
        for probe in self.balancer.probes(self.now_ms):
            model = self.models[probe.engine_id]
            if not model.is_frozen and not model.is_gone:
                due_ms = self.now_ms + PREFILL_BASE_MS * model.factor
                self.at(due_ms, self.answer_probe, probe)
        for engine_id, model in self.models.items():
            self.report(engine_id, model)
        self.pump()
        models = [item for item in self.models.values() if not item.is_gone]
        if FAULT_MS + 2_000 <= self.now_ms < CALM_MS:
            used = sum(len(item.running) for item in models)
            self.occupancy.append(used / SLOTS / len(models))
        self.at(self.now_ms + TICK_MS, self.tick)

    def answer_probe(self, probe):
        self.balancer.observe(probe, self.now_ms, 1)

    def report(self, engine_id, model):
        if model.is_gone or model.is_frozen:
            return
        running = 0 if model.factor > 1 else len(model.running)
        model.reports.append(running)
        if len(model.reports) * TICK_MS > REPORT_LAG_MS:
            report = policy.LoadReport(
                running=model.reports.popleft(),
                slots=SLOTS,
                age_ms=REPORT_LAG_MS,
            )
            self.balancer.report(engine_id, report, self.now_ms)

    # Faults

    def fault(self, action, index):
        engine = self.engines[index]
        model = self.models[engine.id]
        if action == 'slow':
            model.factor = 10
        elif action == 'freeze':
            model.is_frozen = True
        elif action == 'leave':
            self.engines[index] = attrs.evolve(engine, leaving=True)
            self.balancer.sync(self.engines, self.now_ms)
        else:
            model.is_gone = True
            for request in self.requests:
                if request.flight in model.running:
                    self.broken(request, request.flight)


def fair_shares(service, demand):
    """Split ``service`` max-min fairly over ``demand`` by customer."""
    shares = {}
    left = sorted(demand.items(), key=lambda item: item[1])
    while left:
        customer, wanted = left.pop(0)
        shares[customer] = min(wanted, service / (len(left) + 1))
        service -= shares[customer]
    return shares


def worst_share(requests):
    """Return the smallest share of its fair share that a customer got.

    Shares are of generated tokens within a tier and a window, since requests
    do not wait longer; a customer's shares are added up.
    """
    served = collections.Counter()
    fair = collections.Counter()
    groups = collections.defaultdict(list)
    for item in requests:
        window = item.arrival_ms // FAIR_WINDOW_MS
        groups[CLASSES[item.name].tier, window].append(item)
    for group in groups.values():
        demand = collections.Counter()
        good = collections.Counter()
        for item in group:
            demand[item.customer] += item.length
            good[item.customer] += item.length * item.is_good()
        fair.update(fair_shares(good.total(), demand))
        served.update(good)
    return min(served[name] / fair[name] for name in fair if fair[name])


def percentile(values, part):
    """Return the quantile ``part`` of ``values``, 0 without values."""
    values = sorted(values)
    return values[int(part * (len(values) - 1))] if values else 0


def measure(simulation, begin_ms, end_ms):
    """Return the figures of the requests that arrived in the interval."""
    requests = [
        item
        for item in simulation.requests
        if begin_ms <= item.arrival_ms < end_ms
    ]
    by_tier = collections.defaultdict(list)
    for item in requests:
        by_tier[CLASSES[item.name].tier].append(item.is_good())
    generated = sum(item.generated for item in requests)
    good = sum(item.length for item in requests if item.is_good())
    top = [
        item
        for item in requests
        if CLASSES[item.name].tier == 1 and item.end_ms is not None
    ]
    return {
        'attainment': {
            tier: statistics.mean(values)
            for tier, values in sorted(by_tier.items())
        },
        # Slots that are busy with work that turns out to be good.
        'goodput': good
        / max(1, generated)
        * statistics.mean(simulation.occupancy),
        'wasted': 1 - good / max(1, generated),
        'worst': worst_share(requests),
        'first_p95_ms': percentile(
            [item.first_ms - item.arrival_ms for item in top], 0.95
        ),
        'inter_p95_ms': percentile(
            [
                (item.end_ms - item.first_ms) / (item.length - 1)
                for item in top
            ],
            0.95,
        ),
        'ejected': [name for _, name in simulation.ejected],
    }
