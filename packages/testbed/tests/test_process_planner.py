"""Test of orders for backend servers with real daemon processes."""

import gevent

from paddle_testbed import cluster
from paddle_testbed import fakes

WAIT_S = 20
CALLERS = 6
PLANNER = {
    'requests_per_server': 2,
    'offers': [
        {'failure_domain': domain, 'cheap': False, 'price_per_hour': 2.0}
        for domain in ('a', 'b', 'c')
    ],
}


def test_demand_starts_servers_once_each_and_they_are_used(start_system):
    # Guards against two daemons that send the same order, and against ordered
    # servers that get no requests.
    system = start_system(planner=PLANNER)
    started = []

    def launch(order):
        engine = fakes.FakeEngine(
            fakes.EngineOptions(inter_token_ms=5)
        ).start()
        started.append(engine)
        return {
            'id': f'ordered-{len(started)}',
            'address': engine.address,
            'models': ['small'],
            'failure_domain': order['args']['failure_domain'],
        }

    system.platform.launch = launch
    stopping = []

    def caller(index):
        while not stopping:
            status, _ = system.chat(index % 3)
            assert status in (200, 429, 503)

    callers = [gevent.spawn(caller, index) for index in range(CALLERS)]
    try:
        cluster.wait_until(
            lambda: any(item.generated_tokens for item in started),
            WAIT_S,
            'an ordered engine to generate tokens',
        )
    finally:
        stopping.append(True)
        gevent.joinall(callers, timeout=WAIT_S, raise_error=True)
        for engine in started:
            engine.stop()
    starts = [
        order for order in system.platform.orders if order['verb'] == 'start'
    ]
    assert len({order['id'] for order in starts}) == len(starts)
    assert len({order['number'] for order in starts}) == 1
    assert system.platform.stale_orders == 0
