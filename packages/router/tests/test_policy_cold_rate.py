"""Tests of the bound of the requests that all gateways send to a cold server.

The load: 87 gateways that all have a request for the server at any moment.
"""

import random

import paddle_kernel
from paddle_router.controller import _fleet
from paddle_router import gateway
from paddle_router import policy
import pytest

GATEWAYS = 87
# The users' deployment with the least rate.
RATE_PER_S = 7.9
OVERAGE = 1.5
SLACK = 5
BOUND = RATE_PER_S * OVERAGE + SLACK
COLD_START_MS = 3_000
CLOCK_ERROR_MS = 100
STEP_MS = 10
SYNC_MS = 250
SERVER = policy.Incarnation('s0', 1)
LISTED = gateway.ListedServer(
    id='s0', service='s', address='10.0.0.1:80', domain='d1', slots=16
)


class Gateway:
    """The rights of one gateway, whose clock is off."""

    def __init__(self, name, number, rng, now_ms):
        self.name = name
        self.incarnation = f'{name}-{number}'
        self.turns = policy.GatewayTurns()
        self.cold = policy.ColdRate(self.turns, overage=OVERAGE, slack=SLACK)
        self.cold.configure(RATE_PER_S, COLD_START_MS)
        self.error_ms = rng.randint(-CLOCK_ERROR_MS, CLOCK_ERROR_MS)
        self.sync_ms = now_ms + rng.randint(0, SYNC_MS)
        self.sequence = 0
        self.is_cut_off = False

    def exchange(self, fleet, clock, cold_until_ms):
        self.sequence += 1
        report = gateway.GatewayReport(
            name=self.name,
            incarnation=self.incarnation,
            sequence=self.sequence,
            flights=(),
            usage=(),
        )
        fleet.add_reports((report,), True)
        now_ms = clock.now_ms()
        self.turns.wall_offset_ms = clock.wall_ms() - now_ms + self.error_ms
        self.turns.record_contact(now_ms)
        position = fleet.position(self.name)
        count, until_ms = fleet.turn()
        if position:
            self.turns.set_position(position - 1, count, until_ms, now_ms)
        self.cold.set_servers({SERVER: cold_until_ms}, now_ms)


class World:
    """Gateways that press, and the lease holder's numbers of them."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = paddle_kernel.FakeClock()
        self.fleet = _fleet.Fleet(self.clock)
        self.fleet.set_servers((LISTED,))
        self.fleet.set_lease_held(True)
        self.gateways = []
        self.is_frozen = False
        self.cold_until_ms = 2**50
        self.sent_ms = []
        # Requests that were allowed and are written when a gateway wakes.
        self.started_count = 0
        for number in range(GATEWAYS):
            self.start(f'front-{number:02}')

    def start(self, name):
        """Start a gateway, in place of the one with its name."""
        self.gateways = [item for item in self.gateways if item.name != name]
        self.started_count += 1
        self.gateways.append(
            Gateway(name, self.started_count, self.rng, self.clock.now_ms())
        )

    def run(self, for_ms):
        end_ms = self.clock.now_ms() + for_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(STEP_MS)
            self._step(self.clock.now_ms())

    def _step(self, now_ms):
        for item in self.gateways:
            if now_ms >= item.sync_ms:
                item.sync_ms = now_ms + SYNC_MS
                if not self.is_frozen and not item.is_cut_off:
                    item.exchange(self.fleet, self.clock, self.cold_until_ms)
        for item in self.rng.sample(self.gateways, len(self.gateways)):
            if item.turns.since_ms is None:
                # Without a configuration there are no requests.
                continue
            if not item.cold.is_cold(SERVER, now_ms) or item.cold.take(
                SERVER, now_ms
            ):
                self.sent_ms.append(now_ms)

    def most_in_second(self, since_ms=0):
        times = [at_ms for at_ms in self.sent_ms if at_ms >= since_ms]
        most = first = 0
        for last, at_ms in enumerate(times):
            while times[first] <= at_ms - 1_000:
                first += 1
            most = max(most, last - first + 1)
        return most


@pytest.fixture(params=range(3))
def world(request):
    built = World(request.param)
    built.run(6_000)
    return built


def test_all_gateways_together_keep_the_bound(world):
    # Guards against gateways that flood a server which looks idle.
    world.sent_ms.clear()
    world.run(10_000)
    assert world.most_in_second() <= BOUND
    # The rate that the server tolerates is used.
    assert len(world.sent_ms) >= 0.9 * 10 * RATE_PER_S


def test_gateways_out_of_touch_keep_the_bound(world):
    # Guards against old positions that are used beside new ones: some gateways
    # are cut off, and the positions of the others change.
    for item in world.rng.sample(world.gateways, 20):
        item.is_cut_off = True
    for name in ('front-00', 'front-10', 'zone-00'):
        world.run(3_000)
        world.start(name)
    world.run(9_000)
    assert world.most_in_second() <= BOUND


def test_frozen_controllers_leave_the_bound(world):
    # Guards against positions that the holder gave out before it froze and
    # numbers anew when it wakes.
    world.is_frozen = True
    world.run(2_000)
    for number in range(0, GATEWAYS, 9):
        world.start(f'front-{number:02}')
    world.run(6_000)
    world.is_frozen = False
    world.run(8_000)
    assert world.most_in_second() <= BOUND


def test_killed_restarted_and_joined_gateways_keep_the_bound(world):
    # Guards against a permit that a process used before it was killed and its
    # successor uses again, and against two owners while positions shift.
    for number in range(24):
        world.run(world.rng.randint(100, 900))
        world.start(
            f'extra-{number:02}'
            if number % 3 == 0
            else world.rng.choice(world.gateways).name
        )
        if number % 4 == 0:
            world.gateways.remove(world.rng.choice(world.gateways))
    world.run(9_000)
    assert world.most_in_second() <= BOUND


def test_a_new_lease_holder_keeps_the_bound(world):
    # Guards against a successor that numbers gateways while those that it has
    # not heard of use the positions of the holder before.
    world.fleet = _fleet.Fleet(world.clock)
    world.fleet.set_servers((LISTED,))
    world.fleet.set_lease_held(True)
    for item in world.gateways[::7]:
        item.is_cut_off = True
    world.run(10_000)
    assert world.most_in_second() <= BOUND


def test_a_gateway_out_of_touch_takes_a_silent_server_for_cold(world):
    # Guards against gateways that do not hear that a server they know as warm
    # has become cold.
    world.cold_until_ms = 0
    for item in world.gateways:
        item.cold.set_servers({SERVER: 0}, world.clock.now_ms())
        item.cold._until_ms.clear()
    world.is_frozen = True
    world.run(2_500)
    world.sent_ms.clear()
    since_ms = world.clock.now_ms()
    world.run(6_000)
    assert world.most_in_second(since_ms) <= BOUND
    for item in world.gateways:
        item.cold.record_answer(SERVER, world.clock.now_ms())
    item = world.gateways[0]
    assert not item.cold.is_cold(SERVER, world.clock.now_ms() + 1_900)
    assert item.cold.is_cold(SERVER, world.clock.now_ms() + 2_100)


# One gateway


@pytest.fixture
def cold():
    turns = policy.GatewayTurns()
    turns.set_position(0, 1, 10**9, 0)
    built = policy.ColdRate(turns, overage=OVERAGE, slack=SLACK)
    built.configure(RATE_PER_S, COLD_START_MS)
    return built


def test_the_servers_of_the_first_list_are_as_cold_as_it_says(cold):
    # Guards against a restart of all processes after which no server is used.
    other = policy.Incarnation('s1')
    cold.set_servers({SERVER: 0, other: 2_000}, 500)
    assert not cold.is_cold(SERVER, 500)
    assert cold.is_cold(other, 1_999)
    assert not cold.is_cold(other, 2_000 + policy.CLOCK_ERROR_MS)


@pytest.mark.parametrize(
    'server', [policy.Incarnation('s1'), policy.Incarnation('s0', 2)]
)
def test_a_server_that_appears_is_cold_until_it_has_started(cold, server):
    # Guards against an entry that does not say yet that its server is cold.
    cold.set_servers({SERVER: 0}, 0)
    cold.set_servers({server: 0}, 1_000)
    assert cold.is_cold(server, 1_000 + COLD_START_MS)
    assert not cold.is_cold(server, 1_200 + COLD_START_MS)


def test_a_server_that_failed_may_return_cold(cold):
    # Guards against a crashed server that the list shows as warm for seconds.
    cold.set_servers({SERVER: 0}, 0)
    cold.mark_suspected(SERVER, 5_000)
    assert cold.is_cold(SERVER, 5_000 + COLD_START_MS)
    assert not cold.is_cold(SERVER, 10_000 + COLD_START_MS)


def test_a_permit_whose_request_was_not_sent_is_used_again(cold):
    # Guards against a failed connection that costs the others a permit, and
    # against a permit that is given back twice or after a later one.
    cold.set_servers({SERVER: 10**6}, 0)
    first = cold.take(SERVER, 2_000)
    cold.give_back(first)
    assert cold.take(SERVER, 2_000) == first
    second = cold.take(SERVER, 2_200)
    cold.give_back(first)
    third = cold.take(SERVER, 2_400)
    assert first.at_ms < second.at_ms < third.at_ms
    cold.give_back(third)
    cold.give_back(third)
    assert cold.take(SERVER, 2_400) == third


@pytest.mark.parametrize(
    ('rate_per_s', 'overage', 'slack'),
    [(7.9, 1.5, 5), (7.9, 1.0, 0), (2, 1.0, 0), (40, 1.2, 3), (0.5, 1, 0)],
)
def test_one_gateway_keeps_the_bound_after_an_idle_time(
    rate_per_s, overage, slack
):
    # Guards against permits that are saved up and used at once.
    turns = policy.GatewayTurns()
    turns.set_position(0, 1, 10**9, 0)
    cold = policy.ColdRate(turns, overage=overage, slack=slack)
    cold.configure(rate_per_s, COLD_START_MS)
    cold.set_servers({SERVER: 10**6}, 0)
    count = 0
    for now_ms in range(50_000, 51_000, STEP_MS):
        while cold.take(SERVER, now_ms):
            count += 1
    assert count <= rate_per_s * overage + slack
