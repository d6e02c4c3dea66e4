"""Tests of copying shared prompt parts instead of prefilling them again."""

import collections
import random

import pytest

from paddle_router import policy

COPY_RATE_TOKENS_PER_MS = 800.0
SHARED_TOKENS = 4_900
EXCHANGE_MS = 250
CACHE_LIFETIME_MS = 10_000
# Time from sending a prompt until its server has it in the cache.
PREFILL_MS = 200
GATEWAYS = 20
SERVERS = 12


def placement(part='p', server='s0', sent_ms=1_000):
    return policy.PartPlacement(part=part, server=server, sent_ms=sent_ms)


def long_prompt(session, number, copy_rate=COPY_RATE_TOKENS_PER_MS):
    return policy.EngineWork(
        prompt_tokens=12_000,
        parts=(
            ('0', 512),
            (f'session-{session}', SHARED_TOKENS - 512),
            (f'own-{number}', 7_100),
        ),
        target_ms=2_500,
        gap_ms=1_200,
        copy_rate=copy_rate,
    )


class Gateways:
    """Gateways that exchange loads and placements every 250 ms.

    ``caches`` are the sessions that each server has, and when they were used.
    """

    def __init__(self):
        self.placements = [policy.PartPlacements() for _ in range(GATEWAYS)]
        self.balancers = [
            policy.SharedLoadBalancer(
                rng=random.Random(index), placements=self.placements[index]
            )
            for index in range(GATEWAYS)
        ]
        self.caches = collections.defaultdict(dict)
        self.reread_tokens = 0

    def exchange(self, live, now_ms):
        engines = [
            policy.Engine(id=f's{index}', failure_domain='d', slots=32)
            for index in live
        ]
        listed = {engine.id for engine in engines}
        for server_id in set(self.caches) - listed:
            del self.caches[server_id]
        totals = collections.Counter()
        for balancer in self.balancers:
            balancer.sync(engines, now_ms)
            for server_id, load in balancer.own_loads(now_ms).items():
                totals[server_id] += load.running
        for balancer in self.balancers:
            own = balancer.own_loads(now_ms)
            balancer.set_other_loads(
                {
                    key: policy.SharedLoad(
                        running=total
                        - own.get(key, policy.SharedLoad()).running
                    )
                    for key, total in totals.items()
                },
                now_ms,
            )
        recent = [item.recent(now_ms) for item in self.placements]
        for known in self.placements:
            for item in recent:
                known.add(item, now_ms)

    def send(self, index, work, now_ms):
        flight = self.balancers[index].choose(work, now_ms)
        session = work.parts[-2][0]
        oldest_ms = now_ms - CACHE_LIFETIME_MS

        def has(server_id):
            used_ms = self.caches[server_id].get(session, oldest_ms)
            return server_id is not None and used_ms > oldest_ms

        is_known = any(map(has, list(self.caches)))
        if (
            is_known
            and not has(flight.server_id)
            and not has(flight.copy_from_id)
        ):
            self.reread_tokens += SHARED_TOKENS
        return flight

    def start(self, index, flight, now_ms):
        """The first event of a prompt arrives."""
        self.balancers[index].observe(flight, now_ms, 1)
        self.caches[flight.server_id][flight.work.parts[-2][0]] = now_ms


def replay(copy_rate):
    """Send long prompts of 40 sessions while servers come and go.

    Returns the tokens that were prefilled again.
    """
    rng = random.Random(7)
    fleet = Gateways()
    running = []
    for now_ms in range(0, 20_000, 25):
        if now_ms % EXCHANGE_MS == 0:
            # Every 2 s a third of the servers is replaced by others.
            first = now_ms // 2_000 * SERVERS // 3
            fleet.exchange(range(first, first + SERVERS), now_ms)
        index = rng.randrange(GATEWAYS)
        work = long_prompt(rng.randrange(40), now_ms, copy_rate)
        running.append((index, fleet.send(index, work, now_ms), now_ms))
        for index, flight, sent_ms in running:
            if sent_ms == now_ms - PREFILL_MS:
                fleet.start(index, flight, now_ms)
        while running and running[0][2] <= now_ms - 1_500:
            index, flight, _sent_ms = running.pop(0)
            fleet.balancers[index].finish(flight, now_ms, True)
    return fleet.reread_tokens


def test_shared_parts_are_copied_when_servers_come_and_go():
    # Guards against prompts that are prefilled again at each server that joins
    # and each server that a burst spreads to. Without copies 800 prompts with
    # 40 shared parts read far more than one part each.
    without_copies = replay(copy_rate=0.0)
    assert replay(copy_rate=COPY_RATE_TOKENS_PER_MS) <= without_copies / 4


def test_engines_that_copy_no_faster_than_they_read_are_not_asked_to():
    fleet = Gateways()
    fleet.exchange(range(SERVERS), 0)
    for number in range(50):
        work = long_prompt(1, number, copy_rate=50.0)
        assert fleet.send(number % GATEWAYS, work, number).copy_from_id is None


def test_the_source_of_a_copy_is_a_listed_server():
    # Guards against a wait for a server that is gone.
    placements = policy.PartPlacements()
    placements.add([placement('session-1', 'gone', 1_000)], 1_000)
    balancer = policy.SharedLoadBalancer(
        rng=random.Random(1), placements=placements
    )
    balancer.sync([policy.Engine(id='s0')], 1_000)
    assert balancer.choose(long_prompt(1, 1), 1_100).copy_from_id is None


def balancer_with(placements, *engines):
    built = policy.SharedLoadBalancer(
        rng=random.Random(1), placements=placements
    )
    built.sync(engines, 1_000)
    return built


def test_a_server_that_got_no_prompt_is_no_source():
    # Guards against a refused connection that replaces the server with the
    # part by one that is down, at all gateways.
    placements = policy.PartPlacements()
    balancer = balancer_with(
        placements, policy.Engine(id='s0'), policy.Engine(id='s1')
    )
    refused = balancer.choose(long_prompt(1, 1), 1_100)
    balancer.back_off(refused, 1_110)
    assert placements.find('session-1', 1_200) is None
    served = balancer.choose(long_prompt(1, 2), 1_300)
    balancer.observe(served, 1_500, 1)
    assert placements.find('session-1', 1_600).server == served.server_id


def test_a_server_that_has_restarted_is_no_source():
    # Guards against a copy from a server whose cache is empty.
    placements = policy.PartPlacements()
    placements.add([placement('session-1', 's0', 1_000)], 1_000)
    balancer = balancer_with(
        placements,
        policy.Engine(id='s0', born_ms=1_050, leaving=True),
        policy.Engine(id='s1'),
    )
    flight = balancer.choose(long_prompt(1, 1), 1_100)
    assert (flight.server_id, flight.copy_from_id) == ('s1', None)


def test_copied_tokens_do_not_raise_the_prefill_rate():
    # Guards against prompts that look cheap to prefill where nothing is
    # cached, because others were copied.
    placements = policy.PartPlacements()
    placements.add([placement('session-1', 's0', 1_000)], 1_000)
    balancer = balancer_with(
        placements,
        policy.Engine(id='s0', leaving=True),
        policy.Engine(id='s1'),
    )
    flight = balancer.choose(long_prompt(1, 1), 1_100)
    assert flight.copy_from_id == 's0'
    balancer.observe(flight, 1_110, 1)
    assert balancer.server_rate() == 0


def test_long_ids_of_parts_are_not_kept():
    # Guards against callers whose ids fill the memory of all gateways.
    placements = policy.PartPlacements()
    balancer = balancer_with(placements, policy.Engine(id='s0'))
    flight = balancer.choose(long_prompt('x' * 1_000, 1), 1_100)
    balancer.observe(flight, 1_200, 1)
    assert placements.dump() == {'parts': 0}


def test_the_newest_placement_of_a_part_counts():
    # Guards against a report that arrives late and names an earlier server.
    placements = policy.PartPlacements()
    placements.add([placement(server='new', sent_ms=2_000)], 2_100)
    placements.add([placement(server='old', sent_ms=1_000)], 2_200)
    assert placements.find('p', 2_300).server == 'new'


def test_a_wrong_clock_does_not_pin_a_part():
    # Guards against an instance whose clock is ahead by an hour.
    placements = policy.PartPlacements()
    placements.add([placement(server='ahead', sent_ms=3_600_000)], 1_000)
    placements.add([placement(server='new', sent_ms=1_100)], 1_200)
    assert placements.find('p', 1_300).server == 'new'


def test_an_old_placement_is_not_used():
    # The cache of a part that nobody uses yields to others.
    placements = policy.PartPlacements()
    placements.add([placement(sent_ms=1_000)], 1_000)
    assert placements.find('p', 10_000).server == 's0'
    assert placements.find('p', 12_000) is None


@pytest.mark.parametrize('count', [10, 10_000])
def test_messages_and_memory_are_bounded(count):
    # Guards against messages that grow with the number of prompts.
    placements = policy.PartPlacements()
    for number in range(count):
        placements.add([placement(part=str(number))], 1_000)
    recent = placements.recent(1_100)
    assert len(recent) == min(count, 64)
    assert recent[0].part == str(count - 1)
    assert placements.dump()['parts'] == min(count, 4_096)
    assert placements.recent(1_701) == ()
