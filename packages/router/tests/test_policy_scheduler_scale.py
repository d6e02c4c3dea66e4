"""Test of the scheduler's cost per request with very many customers."""

from paddle_router import policy
from paddle_router.policy import _tiered_fair

CUSTOMERS = 20_000
MAX_PRUNES = 10


def test_counters_are_pruned_rarely_with_many_customers(monkeypatch):
    # Guards against a cost per request that grows with the number of
    # customers seen so far.
    prunes = []
    prune = _tiered_fair.TieredFairScheduler._prune
    monkeypatch.setattr(
        _tiered_fair.TieredFairScheduler,
        '_prune',
        lambda self, tier: (prunes.append(tier), prune(self, tier)),
    )
    scheduler = policy.schedulers.create('tiered_fair')
    scheduler.apply({'chat': policy.ClassPolicy()}, {})
    for index in range(CUSTOMERS):
        ticket = policy.Ticket(
            customer=f'customer-{index}',
            class_name='chat',
            tier=1,
            prompt_tokens=10,
            generated_tokens=10,
            arrival_ms=index,
            deadline_ms=index + 1_400,
        )
        scheduler.offer(ticket, index)
        scheduler.next(1, index)
        scheduler.served(ticket, 5)
    assert len(prunes) <= MAX_PRUNES
