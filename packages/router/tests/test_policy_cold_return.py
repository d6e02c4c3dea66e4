"""Tests of servers of a failure domain that crash and return cold at once.

The load: 87 gateways send 240 requests a second to 24 servers. Half of them
crash, are down for 2 s, and return cold under the same ids. The list shows it
late, and gateways hear of failures by sums that are two exchanges old.
"""

import random

from paddle_router import policy
import pytest

GATEWAYS = 87
SERVERS = 24
ARRIVALS_PER_S = 240
RATE_PER_S = 7.9
OVERAGE = 1.5
SLACK = 5
BOUND = RATE_PER_S * OVERAGE + SLACK
COLD_START_MS = 3_000
CRASH_MS = 4_000
RETURN_MS = 6_000
WARM_MS = RETURN_MS + COLD_START_MS
END_MS = WARM_MS + 8_000
# Lag of the list, time between two reads of it and one exchange.
LIST_LAG_MS = 1_500
SYNC_MS = 250
WALL_MS = 1_700_000_000_000
CLOCK_ERROR_MS = 100
SERVICE_MS = 250
WORK = policy.EngineWork(prompt_tokens=800, gap_ms=600, target_ms=600)
FAILED_DOMAIN = 'd1'


class Gateway:
    def __init__(self, index, rng):
        self.turns = policy.GatewayTurns()
        self.turns.wall_offset_ms = WALL_MS + rng.randint(
            -CLOCK_ERROR_MS, CLOCK_ERROR_MS
        )
        self.turns.set_position(index, GATEWAYS, 2**50, -10_000)
        self.balancer = policy.SharedLoadBalancer(
            rng=rng,
            turns=self.turns,
            cold_overage=OVERAGE,
            cold_slack=SLACK,
        )
        self.is_cut_off = False
        self.sync_ms = rng.randint(0, SYNC_MS)
        self.reported = self.loads = {}


class Load:
    """The requests that reach the servers, ``{id: [time]}``."""

    def __init__(self, seed, *, is_bounded):
        self.rng = random.Random(seed)
        self.arrived_ms = {f's{number:02}': [] for number in range(SERVERS)}
        self.gateways = [Gateway(index, self.rng) for index in range(GATEWAYS)]
        self.sent_count = self.unsent_count = 0
        self._flights = []
        for item in self.gateways:
            item.balancer.configure_starts(
                has_pace=True,
                cold_rate_per_s=RATE_PER_S if is_bounded else 0,
                cold_start_ms=COLD_START_MS,
            )
            self._list(item, 0)

    def run(self):
        for now_ms in range(0, END_MS, 10):
            for item in self.gateways:
                if now_ms >= item.sync_ms and not item.is_cut_off:
                    item.sync_ms = now_ms + SYNC_MS
                    self._sync(item, now_ms)
            self._finish(now_ms)
            for _ in range(ARRIVALS_PER_S * 10 // 1_000):
                self._send(self.rng.choice(self.gateways), now_ms)
            if self.rng.random() < ARRIVALS_PER_S * 10 % 1_000 / 1_000:
                self._send(self.rng.choice(self.gateways), now_ms)

    def most_in_second(self, since_ms, until_ms):
        """Return the most requests to a returned server in any second."""
        return max(
            sum(first <= at_ms < first + 1_000 for at_ms in times)
            for server_id, times in self.arrived_ms.items()
            if domain_of(server_id) == FAILED_DOMAIN
            for first in times
            if since_ms <= first and first + 1_000 <= until_ms
        )

    def _list(self, item, now_ms):
        is_listed_cold = now_ms >= RETURN_MS + LIST_LAG_MS
        cold_until_ms = 0
        if is_listed_cold:
            cold_until_ms = WALL_MS + WARM_MS + LIST_LAG_MS
        item.balancer.sync(
            [
                policy.Engine(
                    id=server_id,
                    failure_domain=domain_of(server_id),
                    slots=16,
                    cold_until_ms=cold_until_ms
                    if domain_of(server_id) == FAILED_DOMAIN
                    else 0,
                )
                for server_id in self.arrived_ms
            ],
            now_ms,
        )

    def _sync(self, item, now_ms):
        item.turns.record_contact(now_ms)
        self._list(item, now_ms)
        loads = {}
        for other in self.gateways:
            if other is not item:
                for server_id, load in other.reported.items():
                    loads.setdefault(server_id, []).append(load)
        item.balancer.set_other_loads(
            {key: add_loads(values) for key, values in loads.items()}, now_ms
        )
        item.reported, item.loads = (
            item.loads,
            item.balancer.own_loads(now_ms),
        )

    def _send(self, item, now_ms):
        self.sent_count += 1
        flight = item.balancer.choose(WORK, now_ms)
        if flight is None:
            self.unsent_count += 1
        elif is_down(flight.server_id, now_ms):
            item.balancer.back_off(flight, now_ms)
        elif not item.balancer.may_send(flight, now_ms):
            item.balancer.cancel(flight)
        else:
            self.arrived_ms[flight.server_id].append(now_ms)
            self._flights.append((now_ms + SERVICE_MS, item, flight))

    def _finish(self, now_ms):
        kept = []
        for end_ms, item, flight in self._flights:
            if is_down(flight.server_id, now_ms):
                item.balancer.finish(flight, now_ms, False)
            elif now_ms >= end_ms:
                item.balancer.observe(flight, now_ms, 1)
                item.balancer.finish(flight, now_ms, True)
            else:
                kept.append((end_ms, item, flight))
        self._flights = kept


def add_loads(loads):
    return policy.SharedLoad(
        **{
            name: sum(getattr(item, name) for item in loads)
            for name in ('running', 'failures', 'answers', 'in_time')
        }
    )


def domain_of(server_id):
    return f'd{int(server_id[1:]) % 2}'


def is_down(server_id, now_ms):
    return (
        domain_of(server_id) == FAILED_DOMAIN
        and CRASH_MS <= now_ms < RETURN_MS
    )


@pytest.mark.parametrize('cut_off', [0, 20])
def test_a_failure_domain_that_returns_cold_keeps_the_bound(cut_off):
    # Guards against gateways that see idle servers come back, some of which
    # are out of touch all the while.
    load = Load(cut_off, is_bounded=True)
    for item in load.gateways[:cut_off]:
        item.is_cut_off = True
        item.turns.record_contact(0)
    load.run()
    assert load.most_in_second(RETURN_MS, WARM_MS) <= BOUND
    # The other domain takes the rest meanwhile.
    assert load.unsent_count <= 0.01 * load.sent_count
    # The returned servers are used while they are cold, and get half of the
    # requests, their part, soon after.
    returned = [
        at_ms
        for server_id, times in load.arrived_ms.items()
        if domain_of(server_id) == FAILED_DOMAIN
        for at_ms in times
    ]
    assert sum(RETURN_MS <= at_ms < WARM_MS for at_ms in returned) >= 24
    late = sum(at_ms >= WARM_MS + 4_000 for at_ms in returned)
    assert late >= 0.8 * 0.5 * ARRIVALS_PER_S * 4


def test_without_the_bound_returned_servers_are_flooded():
    # Shows that the load is one that needs the bound.
    load = Load(1, is_bounded=False)
    for item in load.gateways:
        item.balancer.configure_starts(has_pace=False)
    load.run()
    assert load.most_in_second(RETURN_MS, WARM_MS) > BOUND


def test_servers_of_a_domain_that_is_used_again_may_be_cold():
    # Guards against all gateways that return to a domain at once: its servers
    # may have become cold meanwhile, and the list shows it late.
    turns = policy.GatewayTurns()
    turns.wall_offset_ms = WALL_MS
    turns.set_position(0, GATEWAYS, 2**50, -10_000)
    balancer = policy.SharedLoadBalancer(
        rng=random.Random(1),
        turns=turns,
        cold_overage=OVERAGE,
        cold_slack=SLACK,
    )
    balancer.configure_starts(
        has_pace=False, cold_rate_per_s=RATE_PER_S, cold_start_ms=COLD_START_MS
    )
    evacuated = policy.Engine(id='s0', slots=16, evacuated=True)
    balancer.sync([evacuated], 0)
    balancer.sync([policy.Engine(id='s0', slots=16)], 10_000)
    sent = [
        balancer.choose(WORK, now_ms)
        for now_ms in range(10_000, 11_000, 10)
        for _ in range(2)
    ]
    # Its turn comes for less than one in 87 of the requests.
    assert sum(flight is not None for flight in sent) <= 1
    warm_ms = 10_000 + COLD_START_MS + 2_000
    turns.record_contact(warm_ms)
    assert balancer.choose(WORK, warm_ms) is not None
