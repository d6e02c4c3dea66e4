"""Tests of the bounds on what servers hold for many gateways.

Load: four times the work that the servers have memory for, long prompts or
large bodies, by many gateways that know of each other with a delay.
"""

import random

from paddle_router import policy
import pytest

GATEWAYS = 20
SERVERS = 4
STEP_MS = 10
SUM_DELAY_MS = 300
SUM_INTERVAL_MS = 250
WORK_MS = 2_000
DOWN_MS = 1_000
PROMPT_TOKENS = 12_000
KV_TOKENS = 466_000
BODY_BYTES = 200_000
MEMORY_BYTES = 2_000_000


class Play:
    """Gateways send ``work`` to servers that crash above ``memory``.

    ``load`` is the arriving work as a multiple of what the servers can hold.
    """

    def __init__(self, work, size, memory, *, load, is_enabled, kv_tokens=0):
        self._work = work
        self._size = size
        self._memory = memory
        self._engines = [
            policy.Engine(id=f's{index}', slots=200, kv_tokens=kv_tokens)
            for index in range(SERVERS)
        ]
        self._gateways = [
            policy.balancers.create('shared_load', rng=random.Random(index))
            for index in range(GATEWAYS)
        ]
        for index, item in enumerate(self._gateways):
            item.held_work.index = index
            item.held_work.is_enabled = is_enabled
            item.held_work.gateway_count = GATEWAYS
            item.sync(self._engines, 0)
        self._per_step = load * SERVERS * memory / size / WORK_MS * STEP_MS
        self._rng = random.Random(1)
        self._sums = []
        # Pairs of gateway and flight, by server.
        self._running = {item.id: [] for item in self._engines}
        self._down_until_ms = dict.fromkeys(self._running, 0)
        self.crash_times_ms = []
        self.done = 0

    def run(self, duration_ms):
        due = 0.0
        for now_ms in range(0, duration_ms, STEP_MS):
            if now_ms % SUM_INTERVAL_MS == 0:
                self._exchange_sums(now_ms)
            due += self._per_step
            while due >= 1:
                due -= 1
                self._send(now_ms)
            for server_id in self._running:
                self._finish(server_id, now_ms)
        return self

    def _exchange_sums(self, now_ms):
        self._sums.append(
            (now_ms, [item.own_loads(now_ms) for item in self._gateways])
        )
        if self._sums[0][0] > now_ms - SUM_DELAY_MS:
            return
        _at_ms, loads = self._sums.pop(0)
        for index, gateway in enumerate(self._gateways):
            others = {
                server_id: policy.SharedLoad(
                    running=sum(
                        load[server_id].running
                        for number, load in enumerate(loads)
                        if number != index and server_id in load
                    )
                )
                for server_id in self._running
            }
            gateway.set_other_loads(others, now_ms)

    def _send(self, now_ms):
        gateway = self._rng.choice(self._gateways)
        flight = gateway.choose(self._work, now_ms)
        if flight is None:
            return
        server_id = flight.server_id
        running = self._running[server_id]
        if now_ms < self._down_until_ms[server_id]:
            gateway.back_off(flight, now_ms)
            return
        running.append((gateway, flight))
        if len(running) * self._size > self._memory:
            self._crash(server_id, now_ms)

    def _crash(self, server_id, now_ms):
        self.crash_times_ms.append(now_ms)
        self._down_until_ms[server_id] = now_ms + DOWN_MS
        for gateway in self._gateways:
            held_bytes = gateway.held_bytes(server_id)
            gateway.record_crash(held_bytes, now_ms)
        for gateway, flight in self._running[server_id]:
            gateway.finish(flight, now_ms, False)
        self._running[server_id] = []

    def _finish(self, server_id, now_ms):
        kept = []
        for gateway, flight in self._running[server_id]:
            if now_ms - flight.sent_ms < WORK_MS:
                kept.append((gateway, flight))
            else:
                gateway.finish(flight, now_ms, True)
                self.done += 1
        self._running[server_id] = kept


def play_prompts(*, is_enabled):
    work = policy.EngineWork(
        prompt_tokens=PROMPT_TOKENS, target_ms=2_000, gap_ms=1_000
    )
    return Play(
        work,
        PROMPT_TOKENS,
        KV_TOKENS,
        load=4,
        is_enabled=is_enabled,
        kv_tokens=KV_TOKENS,
    ).run(10_000)


def play_bodies(*, is_enabled, duration_ms):
    work = policy.EngineWork(body_bytes=BODY_BYTES)
    return Play(
        work, BODY_BYTES, MEMORY_BYTES, load=4, is_enabled=is_enabled
    ).run(duration_ms)


def test_prompts_of_many_gateways_fit_into_the_memory_of_engines():
    # Guards against engines that crash under four times their load, and take
    # the requests of all gateways with them.
    assert play_prompts(is_enabled=False).crash_times_ms
    play = play_prompts(is_enabled=True)
    assert not play.crash_times_ms
    assert play.done > play_prompts(is_enabled=False).done


def test_servers_of_unknown_memory_stop_crashing_under_large_bodies():
    # Guards against servers that crash again and again under the same load.
    duration_ms = 20_000
    unbounded = play_bodies(is_enabled=False, duration_ms=duration_ms)
    assert unbounded.crash_times_ms[-1] > duration_ms / 2
    play = play_bodies(is_enabled=True, duration_ms=duration_ms)
    assert play.crash_times_ms[-1] < duration_ms / 4
    assert play.done > unbounded.done


@pytest.fixture
def held_work():
    return policy.HeldWork(is_enabled=True, gateway_count=1)


def test_a_lowered_limit_recovers(held_work):
    # Guards against one crash that limits a service for ever.
    full = held_work.limit_bytes(0)
    assert held_work.record_crash(4_000_000, 0) == 2_000_000
    assert held_work.limit_bytes(60_000) == 8_000_000
    assert held_work.limit_bytes(600_000) == full


def test_a_crash_with_few_bytes_lowers_nothing(held_work):
    # Guards against crashes for other reasons that limit a service.
    assert held_work.record_crash(1_000, 0) is None


def test_without_a_memory_limit_every_server_has_room():
    # Guards against other deployments that are served differently.
    states = [object()]
    work = policy.EngineWork(prompt_tokens=10**9, body_bytes=10**9)
    assert policy.HeldWork().with_room(states, work, 0) is states


def test_repeated_crashes_leave_a_limit_that_recovers(held_work):
    # Guards against a limit of 0, which no doubling raises again.
    full = held_work.limit_bytes(0)
    for second in range(40):
        held_work.record_crash(70_000, second * 1_000)
    assert held_work.limit_bytes(600_000) == full


def test_gateways_take_turns_by_the_synchronized_time():
    # Guards against two gateways that use the same room in the same turn,
    # because the clocks of their machines started at different times.
    engine = policy.Engine(id='s0', slots=200, kv_tokens=100_000)
    work = policy.EngineWork(prompt_tokens=10_000)
    wall_ms = 1_000_000
    placed = 0
    for index, now_ms in enumerate((4_800, 4_200, 3_600, 3_000)):
        built = policy.balancers.create('shared_load', rng=random.Random(1))
        built.sync([engine], 0)
        built.held_work.is_enabled = True
        built.held_work.gateway_count = 4
        built.held_work.index = index
        built.held_work.wall_offset_ms = wall_ms - now_ms
        held = {'s0': policy.SharedLoad(running=5)}
        built.set_other_loads(held, now_ms)
        placed += built.choose(work, now_ms) is not None
    assert placed == 1


def test_a_lone_gateway_uses_all_of_the_room():
    # Guards against a prompt that fits and is never placed.
    built = policy.balancers.create('shared_load', rng=random.Random(1))
    built.sync([policy.Engine(id='s0', slots=200, kv_tokens=100_000)], 0)
    built.held_work.is_enabled = True
    assert built.choose(policy.EngineWork(prompt_tokens=26_000), 0)
    assert built.choose(policy.EngineWork(prompt_tokens=30_000), 10_000)
    assert not built.choose(policy.EngineWork(prompt_tokens=30_000), 20_000)
