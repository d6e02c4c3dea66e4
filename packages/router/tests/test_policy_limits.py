"""Tests of limits, admission control and length prediction."""

import random

import hypothesis
import hypothesis.strategies as st
from paddle_router import policy


@hypothesis.given(st.lists(st.integers(1, 9), min_size=1, max_size=8))
def test_daemons_together_stay_within_a_limit(parts):
    # Guards against a customer that gets its full limit from each daemon.
    settings = policy.LimitSettings(customers={'a': 100})
    admitted = 0
    for part in parts:
        limits = policy.Limits(settings)
        limits.set_share(part / sum(parts))
        for now_ms in range(0, 60_000, 200):
            if limits.admit('a', 'chat', now_ms, 50) is None:
                admitted += 50
    # 10 s of burst, 60 s at the rate and one overdraft per daemon.
    assert admitted <= 100 * 70 + 50 * len(parts)
    assert admitted >= 100 * 60


def test_refusal_states_the_limit_and_the_retry_time():
    # Guards against a retry time before the bucket is refilled.
    settings = policy.LimitSettings(classes={'chat': 10})
    limits = policy.Limits(settings)
    assert limits.admit('a', 'chat', 0, 200) is None
    refusal = limits.admit('a', 'chat', 0)
    assert (refusal.kind, refusal.name) == ('class', 'chat')
    assert limits.admit('a', 'chat', refusal.retry_after_ms - 200)
    assert limits.admit('a', 'chat', refusal.retry_after_ms) is None
    assert limits.admit('a', 'other', 0) is None
    limits.correct('a', 'chat', refusal.retry_after_ms, -50)
    assert limits.admit('a', 'chat', refusal.retry_after_ms) is None


def test_class_over_its_target_is_refused_but_does_not_starve():
    # Guards against admitting requests that would miss their target, and
    # against refusing the class forever after the engines have recovered.
    classes = {'chat': policy.ClassPolicy(inter_token_ms=50)}
    admission = policy.Admission(classes)
    assert admission.missed_target('chat', admission.predict(100), 0) is None
    admission.observe(100, 60, 80)
    slow = admission.predict(100)
    assert 59 <= slow.start_up_ms <= 60
    assert admission.missed_target('chat', slow, 0) is None
    assert admission.missed_target('chat', slow, 500) == policy.INTER_TOKEN
    assert admission.missed_target('chat', slow, 1_000) is None
    late = admission.predict(100, wait_ms=2_000)
    assert admission.missed_target('chat', late, 1_500) == policy.FIRST_TOKEN


def test_lengths_are_learned_per_customer_and_follow_changes():
    # Guards against one estimate for customers whose lengths differ tenfold.
    rng = random.Random(5)
    lengths = policy.LengthEstimator()
    for _ in range(300):
        lengths.observe('short', 'chat', rng.randint(20, 40))
        lengths.observe('long', 'chat', rng.randint(300, 500))
    assert 20 <= lengths.predict('short', 'chat').median <= 45
    assert 280 <= lengths.predict('long', 'chat').mean <= 480
    assert lengths.predict('long', 'chat').high >= 400
    unknown = lengths.predict('new', 'chat')
    assert 30 < unknown.mean < 400
    for _ in range(100):
        lengths.observe('short', 'chat', 400)
    assert lengths.predict('short', 'chat').mean > 300


def test_prediction_is_corrected_while_streaming():
    # Guards against a prediction below the number of generated tokens.
    lengths = policy.LengthEstimator()
    for tokens in [20] * 50 + [800] * 50:
        lengths.observe('a', 'chat', tokens)
    assert lengths.correct('a', 'chat', 700) > 700
    assert lengths.correct('a', 'chat', 60_000) > 60_000


def test_number_of_customer_estimates_is_bounded():
    # Guards against memory growth with the number of customers.
    lengths = policy.LengthEstimator(max_customers=100)
    for number in range(1000):
        lengths.observe(f'c{number}', 'chat', 50)
    assert len(lengths._customers) == 100
    assert 40 <= lengths.predict('c1', 'chat').mean <= 60


def test_applying_a_preset_changes_all_policies():
    # Guards against a switch that reaches only some of the policies.
    scheduler = policy.schedulers.create('tiered_fair')
    policies = policy.PolicySet(
        scheduler=scheduler,
        limits=policy.Limits(),
        admission=policy.Admission(),
    )
    assert policies.limits.admit('a', 'chat', 0, 10**6) is None
    preset = policy.PolicyPreset(
        classes={'chat': policy.ClassPolicy(first_token_ms=1)},
        limits=policy.LimitSettings(customers={'a': 1}),
    )
    policies.apply(preset)
    assert policies.limits.admit('a', 'chat', 0, 100) is None
    assert policies.limits.admit('a', 'chat', 0)
    late = policies.admission.predict(1, wait_ms=10)
    policies.admission.missed_target('chat', late, 0)
    assert (
        policies.admission.missed_target('chat', late, 1) == policy.FIRST_TOKEN
    )
