"""Tests of the schedulers; each names the failure it guards against."""

import random

import hypothesis
import hypothesis.strategies as st
from paddle_router import policy

FAR_MS = 10**9
CLASSES = {
    'top': policy.ClassPolicy(tier=1, min_share=0.05),
    'mid': policy.ClassPolicy(tier=2, min_share=0.05),
    'low': policy.ClassPolicy(tier=3, min_share=0.05),
}
arrivals = st.lists(
    st.tuples(
        st.sampled_from(sorted(CLASSES)),
        st.sampled_from('abcd'),
        st.integers(1, 500),
    ),
    max_size=80,
)


def make_ticket(class_name, customer, tokens=100, **more):
    options = {'arrival_ms': 0, 'deadline_ms': FAR_MS, **more}
    return policy.Ticket(
        customer=customer,
        class_name=class_name,
        tier=CLASSES[class_name].tier,
        prompt_tokens=tokens,
        generated_tokens=tokens,
        **options,
    )


def make_scheduler(**options):
    return policy.schedulers.create('tiered_fair', classes=CLASSES, **options)


def offer_all(scheduler, tickets):
    refused = []
    for ticket in tickets:
        refused.extend(scheduler.offer(ticket, 0))
    return [refusal.ticket for refusal in refused]


@hypothesis.given(arrivals, st.integers(1, 20))
def test_lower_tiers_do_not_change_the_refusals_of_a_higher_tier(
    items, capacity
):
    # Guards against shedding requests of a higher tier for a lower one.
    tickets = [make_ticket(*item) for item in items]
    with_all = offer_all(make_scheduler(capacity=capacity), tickets)
    for tier in (1, 2):
        upper = [item for item in tickets if item.tier <= tier]
        alone = offer_all(make_scheduler(capacity=capacity), upper)
        assert alone == [item for item in with_all if item.tier <= tier]


@hypothesis.given(arrivals, st.integers(1, 20))
def test_overflow_sheds_the_lowest_tier_above_its_reserve(items, capacity):
    # Guards against keeping lower tiers beyond their reserved places.
    scheduler = make_scheduler(capacity=capacity)
    reserved = max(1, int(0.05 * capacity))
    queued = []
    for item in items:
        ticket = make_ticket(*item)
        queued.append(ticket)
        for refusal in scheduler.offer(ticket, 0):
            queued.remove(refusal.ticket)
            for name, settings in CLASSES.items():
                if settings.tier > refusal.ticket.tier:
                    kept = [t for t in queued if t.class_name == name]
                    assert len(kept) <= reserved
    assert len(queued) <= capacity + len(CLASSES) * reserved


@hypothesis.settings(deadline=None, max_examples=30)
@hypothesis.given(st.integers(0, 10**6), st.sampled_from(sorted(CLASSES)))
def test_each_class_gets_its_guaranteed_share_at_overload(seed, victim):
    # Guards against starvation of a class by higher tiers, by its own tier or
    # because it received much service in the past.
    rng = random.Random(seed)
    scheduler = make_scheduler(capacity=50)
    served = dict.fromkeys(CLASSES, 0)
    for step in range(1500):
        if step == 700:
            served = dict.fromkeys(CLASSES, 0)
        names = [victim] if step < 500 else sorted(CLASSES)
        for name in names:
            tokens = rng.randint(10, 200)
            scheduler.offer(make_ticket(name, 'c', tokens), step)
        for ticket in scheduler.next(1, step).started:
            served[ticket.class_name] += ticket.generated_tokens
            scheduler.served(ticket, ticket.generated_tokens)
    total = sum(served.values())
    # One request of 200 tokens may be outstanding at the end.
    assert all(part >= 0.05 * total - 200 for part in served.values())


@hypothesis.given(arrivals, st.randoms(use_true_random=False))
def test_each_ticket_is_started_refused_or_removed_exactly_once(items, rng):
    # Guards against lost or duplicated tickets and wrong totals.
    scheduler = make_scheduler(capacity=10)
    finished = []
    tickets = [
        make_ticket(*item, deadline_ms=rng.randint(0, 100)) for item in items
    ]
    for now_ms, ticket in enumerate(tickets):
        finished += [item.ticket for item in scheduler.offer(ticket, now_ms)]
        choice = rng.random()
        if choice < 0.3:
            decision = scheduler.next(rng.randint(0, 3), now_ms)
            finished += decision.started
            finished += [item.ticket for item in decision.refused]
        elif choice < 0.5:
            ticket = rng.choice(tickets[: now_ms + 1])
            if scheduler.remove(ticket):
                finished.append(ticket)
    decision = scheduler.next(len(tickets), FAR_MS // 2)
    finished += decision.started + [item.ticket for item in decision.refused]
    assert sorted(map(id, finished)) == sorted(map(id, tickets))
    assert scheduler.dump()['queued'] == 0


def test_small_customer_is_not_delayed_by_a_burst_of_another():
    # Guards against first come, first served within a tier.
    scheduler = make_scheduler()
    offer_all(scheduler, [make_ticket('top', 'large') for _ in range(100)])
    scheduler.next(20, 0)
    small = make_ticket('top', 'small')
    scheduler.offer(small, 0)
    assert scheduler.next(1, 0).started == [small]


def test_idle_customer_gains_no_credit():
    # Guards against a returning customer monopolising the engines.
    scheduler = make_scheduler()
    offer_all(scheduler, [make_ticket('top', 'a') for _ in range(200)])
    scheduler.next(100, 0)
    offer_all(scheduler, [make_ticket('top', 'b') for _ in range(100)])
    started = scheduler.next(40, 0).started
    assert 19 <= sum(item.customer == 'a' for item in started) <= 21


def test_actual_length_corrects_the_counter():
    # Guards against charging only the predicted length.
    scheduler = make_scheduler()
    first = make_ticket('top', 'a', 10)
    scheduler.offer(first, 0)
    scheduler.next(1, 0)
    scheduler.served(first, 1000)
    offer_all(scheduler, [make_ticket('top', 'a', 10) for _ in range(9)])
    offer_all(scheduler, [make_ticket('top', 'b', 10) for _ in range(9)])
    started = scheduler.next(9, 0).started
    assert [item.customer for item in started] == ['b'] * 9


def test_long_responses_do_not_suspend_the_guarantee():
    # Guards against a large debt of the class from responses that are longer
    # than predicted.
    scheduler = make_scheduler()
    offer_all(scheduler, [make_ticket('low', 'a', 10) for _ in range(50)])
    for ticket in scheduler.next(50, 0).started:
        scheduler.served(ticket, 100)
    offer_all(scheduler, [make_ticket('low', 'a', 10) for _ in range(10)])
    # The share is 5%. The debt may be one long response with a cost of 1,010,
    # which corresponds to 184 requests of the top tier with a cost of 110.
    offer_all(scheduler, [make_ticket('top', 'b', 10) for _ in range(2_000)])
    started = scheduler.next(900, 0).started
    assert [item.class_name for item in started].count('low') == 10


def simulate(scheduler, slots, duration_ms, arriving):
    """Offer the tickets of ``arriving(now_ms)`` and run the started ones.

    Return ``[(ticket, start_ms)]``.
    """
    running, started = [], []
    for now_ms in range(0, duration_ms, 50):
        for ticket, end_ms in list(running):
            if end_ms <= now_ms:
                running.remove((ticket, end_ms))
                scheduler.served(
                    ticket, ticket.generated_tokens, now_ms=now_ms
                )
        for ticket in arriving(now_ms):
            scheduler.offer(ticket, now_ms)
        for ticket in scheduler.next(slots - len(running), now_ms).started:
            end_ms = now_ms + 20 * ticket.generated_tokens
            running.append((ticket, end_ms))
            started.append((ticket, now_ms))
    return started


def test_slot_is_reserved_for_the_top_tier_when_slots_free_slowly():
    # Guards against a top tier that waits until long responses end, and
    # against a reservation that leaves many fast slots idle.
    def arriving(now_ms):
        times = {'arrival_ms': now_ms, 'deadline_ms': now_ms + 1_400}
        if now_ms % 1_000 == 0:
            yield make_ticket('top', 'a', 20, **times)
        yield make_ticket('low', 'b', 150, arrival_ms=now_ms)

    started = simulate(make_scheduler(), 3, 60_000, arriving)
    top = [(item, at) for item, at in started if item.class_name == 'top']
    # The first ones arrive before any duration is known.
    assert len(top) >= 59
    waits = sorted(at - item.arrival_ms for item, at in top)
    assert waits[-5] <= 400
    low = len(started) - len(top)
    # Two of three slots serve the low tier for 3 s each.
    assert low >= 38
    started = simulate(make_scheduler(), 60, 20_000, arriving)
    low = sum(item.class_name == 'low' for item, _ in started)
    assert low >= 55 * 20 / 3


def test_late_requests_are_refused_with_a_retry_time_from_the_queue():
    # Guards against queueing requests that can no longer be in time.
    scheduler = make_scheduler()
    offer_all(scheduler, [make_ticket('top', 'a') for _ in range(200)])
    running = []
    for now_ms in range(0, 2000, 100):
        for ticket in running:
            scheduler.served(ticket, 100, now_ms=now_ms)
        running = scheduler.next(1, now_ms).started
    late = make_ticket('top', 'a', arrival_ms=2000, deadline_ms=3000)
    (refusal,) = scheduler.offer(late, 2000)
    assert refusal.reason == policy.DEADLINE
    # 180 tickets wait and one is served every 100 ms.
    assert 15_000 <= refusal.retry_after_ms <= 21_000
    expiring = make_ticket('top', 'b', deadline_ms=2500, start_up_ms=100)
    assert not scheduler.offer(expiring, 2000)
    assert not scheduler.next(0, 2400).refused
    assert scheduler.next(0, 2401).refused[0].ticket is expiring


def test_applying_settings_keeps_queued_and_running_requests():
    # Guards against a preset switch that drops requests.
    scheduler = make_scheduler(capacity=10)
    running = make_ticket('mid', 'a')
    offer_all(scheduler, [running] + [make_ticket('low', 'a')] * 1)
    scheduler.next(1, 0)
    heavy = {'low': policy.ClassPolicy(tier=3, weight=5, min_share=0.4)}
    scheduler.apply(heavy, {'a': 2.0})
    scheduler.served(running, 50)
    assert [t.class_name for t in scheduler.next(5, 0).started] == ['low']


def test_retry_budget_allows_a_tenth_of_requests_and_a_minimum_rate():
    # Guards against a retry storm, and against no retries at low traffic.
    budget = policy.RetryBudget(now_ms=0)
    assert budget.take(0)
    assert not budget.take(0)
    assert budget.take(2_000)
    for _ in range(500):
        budget.record_request()
    assert sum(budget.take(2_000) for _ in range(500)) == 50


def test_requests_that_are_not_idempotent_are_never_sent_twice():
    # Guards against repeating a call that may have been executed.
    budget = policy.RetryBudget(now_ms=0)
    sent = policy.Attempt(idempotent=False, was_sent=True)
    assert policy.decide_retry(sent, budget, 0) is policy.Action.ANSWER_UNKNOWN
    unsent = policy.Attempt(idempotent=False, was_sent=False)
    assert policy.decide_retry(unsent, budget, 0) is policy.Action.RETRY
    assert (
        policy.decide_retry(unsent, budget, 0) is policy.Action.REFUSE_NOT_RUN
    )


def test_streams_are_resumed_only_where_supported():
    # Guards against text that is sent twice after an interruption.
    budget = policy.RetryBudget(now_ms=0)
    cut = policy.Attempt(idempotent=True, was_sent=True, events_delivered=3)
    assert policy.decide_retry(cut, budget, 0) is policy.Action.ERROR_EVENT
    cut = policy.Attempt(
        idempotent=True,
        was_sent=True,
        events_delivered=3,
        engine_can_resume=True,
    )
    assert policy.decide_retry(cut, budget, 0) is policy.Action.RESUME
