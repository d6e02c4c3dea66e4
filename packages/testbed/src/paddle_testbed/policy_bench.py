"""Discrete-event simulation of the policies with modelled engines.

Each pair of scheduler and balancer gets the same seeded arrivals. A modelled
engine has slots, a prefill time, a time per token that grows with its batch,
and load reports that are out of date.
"""

import collections
import heapq
import itertools
import random
import statistics

import attrs
from paddle_router import policy

ENGINES, DOMAINS, SLOTS = 12, 4, 16
MS_PER_TOKEN, BATCH_SLOWDOWN = 25, 0.6
PREFILL_BASE_MS, PREFILL_MS_PER_TOKEN = 40, 0.1
TOKENS_PER_EVENT = 16
TICK_MS, REPORT_LAG_MS = 50, 1_000
# Figures count the requests that arrive between FAULT_MS and FAULT_END_MS.
FAULT_MS, FAULT_END_MS, END_MS = 20_000, 80_000, 90_000
FAIR_WINDOW_MS = 5_000
STEADY_LOAD, BURST_LOAD = 0.6, 3.0
SLOW_FACTOR = 10
# Share of each customer in the traffic, the largest first.
CUSTOMERS = [0.3, 0.2, 0.14, 0.1, 0.08, 0.06, 0.05, 0.03, 0.02, 0.02]


def _class(tier, first_token_ms, inter_token_ms):
    return policy.ClassPolicy(
        tier=tier, first_token_ms=first_token_ms, inter_token_ms=inter_token_ms
    )


CLASSES = {
    'tagging': _class(1, 1_400, 53),
    'chat': _class(1, 1_400, 53),
    'question': _class(2, 1_400, 53),
    'report': _class(3, 10_000, 80),
}
# Share of the load, mean prompt and mean response in tokens.
TRAFFIC = {
    'tagging': (0.2, 300, 12),
    'chat': (0.3, 500, 120),
    'question': (0.25, 200, 60),
    'report': (0.25, 800, 400),
}


@attrs.frozen
class Scenario:
    """A load, and faults as ``(time in ms, action, engine index)``."""

    name: str
    burst: str | None = None
    flood: bool = False
    faults: tuple = ()


_RECLAIM = tuple(
    (FAULT_MS + delay_ms, action, index)
    for delay_ms, action in ((5_000, 'leave'), (8_000, 'crash'))
    for index in range(0, ENGINES, DOMAINS)
)
SCENARIOS = [
    Scenario('steady'),
    Scenario('class burst', burst='question'),
    Scenario('customer flood', flood=True),
    Scenario('engine 10x slower', faults=((FAULT_MS, 'slow', 0),)),
    Scenario('engine frozen', faults=((FAULT_MS, 'freeze', 0),)),
    Scenario('engine crash', faults=((FAULT_MS, 'crash', 0),)),
    Scenario('domain lost in burst', burst='question', faults=_RECLAIM),
]
POLICIES = [
    ('fifo', 'round_robin'),
    ('fifo', 'least_reported_load'),
    ('tiered_fair', 'observed'),
]


@attrs.define(eq=False)
class Request:
    """One request and its progress."""

    customer: str
    name: str
    arrival_ms: int
    prompt: int
    length: int
    ticket: object = None
    flight: object = None
    tokens: int = 0
    attempts: int = 0
    first_ms: int | None = None
    end_ms: int | None = None

    def inter_ms(self):
        """Return the mean time between two tokens."""
        return (self.end_ms - self.first_ms) / (self.length - 1)

    def is_good(self):
        """Whether the whole response met the targets of its class."""
        targets = CLASSES[self.name]
        return (
            self.end_ms is not None
            and self.first_ms - self.arrival_ms <= targets.first_token_ms
            and self.inter_ms() <= targets.inter_token_ms
        )


def arrivals(scenario, seed):
    """Return the requests of ``scenario`` in the order of their arrival."""
    result = []
    for name, (load, prompt, length) in TRAFFIC.items():
        # Each class and its burst have their own generators, so that a burst
        # does not change the arrivals of other classes.
        rng = random.Random(f'{seed}-{name}')
        burst_rng = random.Random(f'{seed}-{name}-burst')
        token_ms = MS_PER_TOKEN * (1 + BATCH_SLOWDOWN)
        slot_ms = (
            PREFILL_BASE_MS + PREFILL_MS_PER_TOKEN * prompt + token_ms * length
        )
        full_rate = ENGINES * SLOTS / slot_ms
        steady, burst = (
            STEADY_LOAD * full_rate,
            (BURST_LOAD - STEADY_LOAD) * full_rate,
        )
        streams = [(rng, load * steady, 0, END_MS, CUSTOMERS)]
        if scenario.burst == name:
            streams.append(
                (burst_rng, burst, FAULT_MS, FAULT_END_MS, CUSTOMERS)
            )
        elif scenario.flood:
            streams.append(
                (burst_rng, load * burst, FAULT_MS, FAULT_END_MS, [1.0])
            )
        for source, rate, begin_ms, end_ms, weights in streams:
            now_ms = begin_ms + source.expovariate(rate)
            while now_ms < end_ms:
                customer = source.choices(range(len(weights)), weights)[0]
                tokens = length * source.lognormvariate(-0.125, 0.5)
                words = prompt * source.uniform(0.5, 1.5)
                sizes = max(1, int(words)), max(2, int(tokens))
                result.append(Request(customer, name, int(now_ms), *sizes))
                now_ms += source.expovariate(rate)
    return sorted(result, key=lambda item: item.arrival_ms)


@attrs.define(eq=False)
class EngineModel:
    """Running requests of one engine by flight, and its faults.

    ``reported_running`` is the number of running requests that the next load
    report will show.
    """

    running: dict = attrs.field(factory=dict)
    slow_factor: int = 1
    state: str = 'live'
    reported_running: int = 0

    def token_ms(self):
        """Return the time per token at the current batch size."""
        fill = len(self.running) / SLOTS
        return MS_PER_TOKEN * (1 + BATCH_SLOWDOWN * fill) * self.slow_factor


class Simulation:
    """Run of one scenario with one pair of policies."""

    def __init__(self, scenario, scheduler, balancer, seed):
        self.scheduler = policy.schedulers.create(scheduler, classes=CLASSES)
        self.balancer = policy.balancers.create(
            balancer, rng=random.Random(seed)
        )
        self.requests = arrivals(scenario, seed)
        self.lengths = policy.LengthEstimator()
        self.admission = policy.Admission(CLASSES)
        self.budget = policy.RetryBudget()
        self.engines = [
            policy.Engine(id=str(i), failure_domain=i % DOMAINS, slots=SLOTS)
            for i in range(ENGINES)
        ]
        self.models = {item.id: EngineModel() for item in self.engines}
        self.balancer.sync(self.engines, 0)
        self.now_ms = 0
        self.occupancy = []
        self.ejected = []
        self._count = itertools.count()
        self._events = []
        for request in self.requests:
            self.schedule(request.arrival_ms, self.arrive, request)
        for fault in scenario.faults:
            self.schedule(fault[0], self.inject_fault, *fault[1:])
        self.schedule(0, self.tick)

    def schedule(self, time_ms, function, *args):
        """Schedule a call of ``function`` at ``time_ms``."""
        entry = (time_ms, next(self._count), function, args)
        heapq.heappush(self._events, entry)

    def run(self):
        """Process events for long enough that all responses can end."""
        while self.now_ms < END_MS + FAULT_END_MS:
            time_ms, _, function, args = heapq.heappop(self._events)
            self.now_ms = int(time_ms)
            function(*args)
        return self

    def arrive(self, request):
        """Queue an arriving request."""
        targets = CLASSES[request.name]
        predicted = self.lengths.predict(request.customer, request.name)
        self.budget.record_request()
        request.ticket = policy.Ticket(
            customer=request.customer,
            class_name=request.name,
            tier=targets.tier,
            prompt_tokens=request.prompt,
            generated_tokens=predicted.mean,
            arrival_ms=self.now_ms,
            deadline_ms=self.now_ms + targets.first_token_ms,
            start_up_ms=self.admission.predict(request.prompt).start_up_ms,
            payload=request,
        )
        self.scheduler.offer(request.ticket, self.now_ms)
        self.start_queued()

    def start_queued(self):
        """Dispatch queued requests to free slots."""
        free = self.balancer.free_slots()
        for ticket in self.scheduler.next(free, self.now_ms).started:
            self.dispatch(ticket.payload, frozenset())

    def dispatch(self, request, avoid):
        """Dispatch ``request`` to an engine; retry later if none is free."""
        work = policy.Work(prompt_tokens=request.prompt, avoid=avoid)
        flight = self.balancer.choose(self.engines, work, self.now_ms)
        if flight is None:
            self.schedule(
                self.now_ms + TICK_MS, self.dispatch, request, frozenset()
            )
            return
        request.flight = flight
        request.attempts += 1
        model = self.models[flight.engine_id]
        model.running[flight] = request
        if model.state == 'gone':
            self.schedule(self.now_ms + 1, self.fail_flight, flight)
            return
        spent_ms = PREFILL_BASE_MS + PREFILL_MS_PER_TOKEN * request.prompt
        due_ms = self.now_ms + spent_ms * model.slow_factor
        self.schedule(due_ms, self.deliver_tokens, flight, 1)

    def deliver_tokens(self, flight, count):
        """Deliver ``count`` more tokens and schedule the next ones."""
        model = self.models[flight.engine_id]
        request = model.running.get(flight)
        if request is None:
            return
        if model.state == 'frozen':
            self.schedule(
                self.now_ms + TICK_MS, self.deliver_tokens, flight, count
            )
            return
        request.tokens += count
        if request.first_ms is None:
            request.first_ms = self.now_ms
            spent_ms = self.now_ms - flight.started_ms
            self.admission.observe(request.prompt, spent_ms)
        self.balancer.observe(flight, self.now_ms, request.tokens)
        step_tokens = min(TOKENS_PER_EVENT, request.length - request.tokens)
        if step_tokens:
            due_ms = self.now_ms + step_tokens * model.token_ms()
            self.schedule(due_ms, self.deliver_tokens, flight, step_tokens)
            return
        request.end_ms = self.now_ms
        self.lengths.observe(request.customer, request.name, request.length)
        self.end_flight(flight, True)

    def end_flight(self, flight, ok):
        """Remove a request from its engine and return it."""
        request = self.models[flight.engine_id].running.pop(flight)
        self.balancer.finish(flight, self.now_ms, ok)
        if ok:
            self.scheduler.served(
                request.ticket, request.tokens, now_ms=self.now_ms
            )
            self.start_queued()
        return request

    def fail_flight(self, flight):
        """Retry or resume a request whose engine failed."""
        if flight not in self.models[flight.engine_id].running:
            return
        request = self.end_flight(flight, False)
        attempt = policy.Attempt(
            idempotent=True,
            was_sent=True,
            events_delivered=request.tokens,
            engine_can_resume=True,
            attempts=request.attempts,
        )
        action = policy.decide_retry(attempt, self.budget, self.now_ms)
        if action in (policy.Action.RETRY, policy.Action.RESUME):
            self.dispatch(request, frozenset([flight.engine_id]))
        else:
            self.scheduler.served(request.ticket, request.tokens)

    def tick(self):
        """Eject engines, send probes and load reports."""
        for item in self.balancer.tick(self.now_ms):
            self.ejected.append((self.now_ms, item.engine_id))
            for flight in item.overdue:
                self.fail_flight(flight)
        for probe in self.balancer.probes(self.now_ms):
            model = self.models[probe.engine_id]
            if model.state == 'live':
                due_ms = self.now_ms + PREFILL_BASE_MS * model.slow_factor
                self.schedule(due_ms, self.answer_probe, probe)
        if self.now_ms % REPORT_LAG_MS == 0:
            self.send_load_reports()
        self.start_queued()
        if FAULT_MS <= self.now_ms < FAULT_END_MS:
            models = [m for m in self.models.values() if m.state != 'gone']
            used = sum(len(model.running) for model in models)
            self.occupancy.append(used / SLOTS / len(models))
        self.schedule(self.now_ms + TICK_MS, self.tick)

    def answer_probe(self, probe):
        """Deliver the only token of the answer to a probe."""
        self.balancer.observe(probe, self.now_ms, 1)

    def send_load_reports(self):
        """Send load reports; a slow engine reports that it is idle."""
        for engine_id, model in self.models.items():
            report = policy.LoadReport(
                running=model.reported_running,
                slots=SLOTS,
                age_ms=REPORT_LAG_MS,
            )
            if model.state == 'live':
                self.balancer.report(engine_id, report, self.now_ms)
            model.reported_running = (
                0 if model.slow_factor > 1 else len(model.running)
            )

    def inject_fault(self, action, index):
        """Apply a fault to an engine."""
        engine = self.engines[index]
        model = self.models[engine.id]
        if action == 'slow':
            model.slow_factor = SLOW_FACTOR
        elif action == 'freeze':
            model.state = 'frozen'
        elif action == 'leave':
            self.engines[index] = attrs.evolve(engine, leaving=True)
            self.balancer.sync(self.engines, self.now_ms)
        else:
            model.state = 'gone'
            for flight in list(model.running):
                self.fail_flight(flight)


def fair_shares(service, demand):
    """Split ``service`` over the demands of customers, max-min fairly."""
    shares = {}
    remaining = sorted(demand.items(), key=lambda item: item[1])
    while remaining:
        customer, wanted_tokens = remaining.pop(0)
        shares[customer] = min(wanted_tokens, service / (len(remaining) + 1))
        service -= shares[customer]
    return shares


def worst_share(requests):
    """Return the smallest ratio of service to fair share of any customer.

    Fair shares are of generated tokens within a tier and a window, since
    requests do not wait longer than a window; the shares of a customer are
    added up.
    """
    served_tokens, fair = collections.Counter(), collections.Counter()
    groups = collections.defaultdict(list)
    for item in requests:
        window = item.arrival_ms // FAIR_WINDOW_MS
        groups[CLASSES[item.name].tier, window].append(item)
    for group in groups.values():
        demand, good_tokens = collections.Counter(), collections.Counter()
        for item in group:
            demand[item.customer] += item.length
            good_tokens[item.customer] += item.length * item.is_good()
        fair.update(fair_shares(good_tokens.total(), demand))
        served_tokens.update(good_tokens)
    return min(served_tokens[name] / fair[name] for name in fair if fair[name])


def measure(simulation):
    """Return the figures of a run; the percentiles are of tier 1."""
    requests = [
        item
        for item in simulation.requests
        if FAULT_MS <= item.arrival_ms < FAULT_END_MS
    ]
    tiers = collections.defaultdict(list)
    for item in requests:
        tiers[CLASSES[item.name].tier].append(item)
    generated = sum(item.tokens for item in requests)
    good_tokens = sum(item.length for item in requests if item.is_good())
    top = [item for item in tiers[1] if item.end_ms is not None]
    first = [item.first_ms - item.arrival_ms for item in top]
    inter = [item.inter_ms() for item in top]
    occupancy = statistics.mean(simulation.occupancy)
    return {
        **{
            f'tier {tier}': statistics.mean(item.is_good() for item in group)
            for tier, group in sorted(tiers.items())
        },
        # Occupied slots times the ratio of tokens delivered within targets.
        'goodput': occupancy * good_tokens / max(1, generated),
        'wasted': 1 - good_tokens / max(1, generated),
        'worst customer': worst_share(requests),
        'first p95 ms': statistics.quantiles(first, n=20)[-1],
        'inter p95 ms': statistics.quantiles(inter, n=20)[-1],
    }
