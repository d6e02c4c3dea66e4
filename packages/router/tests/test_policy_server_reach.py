"""Tests of the decision that a gateway has lost the way to all servers."""

import random

from paddle_router import policy
from paddle_router.policy import _server_reach
import pytest


def targets(*domains, services=('s',)):
    return [
        policy.ProbeTarget(
            address=f'{domain}{service}', service=service, domain=domain
        )
        for domain in domains
        for service in services
    ]


class Gateway:
    """A gateway whose probes reach the addresses not in ``down``."""

    def __init__(self, listed):
        self.reach = policy.ServerReach()
        self.listed = listed
        self.down = set()
        self.now_ms = 10_000
        self.rng = random.Random(3)
        self.probed = []

    def cut(self):
        self.down = {item.address for item in self.listed}

    def play(self, duration_ms, *, round_ms=50, suspects=()):
        """Do what is due in the next ``duration_ms``; return the rounds."""
        rounds = 0
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            for address in suspects:
                self.reach.suspect(address, self.now_ms)
            if self.reach.is_round_due(self.now_ms):
                rounds += 1
                chosen = self.reach.begin_round(
                    self.listed, self.rng, self.now_ms
                )
                self.probed.append([item.address for item in chosen])
                began_ms = self.now_ms
                self.now_ms += round_ms
                self.reach.finish_round(
                    [
                        policy.ProbeResult(
                            address=item.address,
                            is_connected=item.address not in self.down,
                        )
                        for item in chosen
                    ],
                    began_ms,
                    self.now_ms,
                )
            self.now_ms += 50
        return rounds


@pytest.fixture
def gateway():
    return Gateway(targets('d1', 'd2', 'd3', services=('s', 't')))


def test_a_lost_way_is_noticed_and_its_return_too(gateway):
    # Guards against a gateway that offers its callers servers it cannot reach,
    # and against one that sends its requests elsewhere for good.
    gateway.cut()
    gateway.reach.suspect('d1s', gateway.now_ms)
    gateway.play(100)
    assert gateway.reach.is_cut
    gateway.play(5_000)
    assert gateway.reach.is_cut
    gateway.down = set()
    gateway.play(400)
    assert not gateway.reach.is_cut
    assert gateway.play(3_000) == 0


def test_nothing_is_probed_without_suspicion(gateway):
    # Guards against connections to servers, which are priced, in quiet times.
    assert gateway.play(10_000) == 0


@pytest.mark.parametrize('seed', range(20))
def test_servers_of_one_domain_or_service_that_are_down_are_no_lost_way(seed):
    # Guards against a false alarm by any choice of the probed servers.
    for down in ('d1', 's'):
        listed = targets('d1', 'd2', services=('s', 't'))
        gateway = Gateway(listed)
        gateway.rng = random.Random(seed)
        gateway.down = {
            item.address
            for item in listed
            if down in (item.domain, item.service)
        }
        gateway.play(5_000, suspects=sorted(gateway.down))
        assert not gateway.reach.is_cut


@pytest.mark.parametrize('seed', range(20))
def test_a_large_domain_or_service_that_is_down_is_no_lost_way(seed):
    # Guards against probes of servers of one domain or service only, where
    # most servers are.
    for crowd in (
        targets('d1', services='stuvwx') + targets('d2'),
        targets('d1', 'd2', 'd3', 'd4', 'd5') + targets('d1', services=('t',)),
    ):
        gateway = Gateway(crowd)
        gateway.rng = random.Random(seed)
        gateway.down = {item.address for item in crowd[:-1]}
        gateway.play(2_000, suspects=sorted(gateway.down))
        assert not gateway.reach.is_cut


def test_all_servers_are_probed_in_turn_while_the_way_is_lost():
    # Guards against a gateway that goes on probing servers that are down.
    gateway = Gateway(targets('d1', services=[f's{i}' for i in range(20)]))
    gateway.cut()
    gateway.reach.suspect('', gateway.now_ms)
    gateway.play(100)
    gateway.probed.clear()
    gateway.play(20 // _server_reach.CUT_MAX_PROBED * 300)
    assert {item for probed in gateway.probed for item in probed} == (
        gateway.down
    )


def test_a_single_server_that_is_down_causes_few_connections(gateway):
    # Guards against a probe for each refused connection.
    gateway.down = {'d1s'}
    rounds = gateway.play(10_000, suspects=['d1s'])
    assert not gateway.reach.is_cut
    assert rounds <= 10_000 / _server_reach.ROUND_PERIOD_MS


def test_a_server_that_accepts_meanwhile_spares_the_round(gateway):
    # Guards against probes after the restart of one server.
    gateway.reach.suspect('d1s', gateway.now_ms)
    gateway.reach.record_connected(gateway.now_ms)
    assert gateway.play(1_000) == 0


def test_responses_on_kept_connections_do_not_hide_a_lost_way(gateway):
    # Guards against a gateway that opens connections in vain because those
    # from before the partition still work.
    gateway.cut()
    gateway.reach.suspect('d1s', gateway.now_ms)
    gateway.reach.record_response(gateway.now_ms)
    gateway.play(100)
    assert gateway.reach.is_cut


def test_silence_alone_is_no_lost_way(gateway):
    # Guards against a false alarm while engines are slow.
    gateway.reach.begin_exchange(gateway.now_ms)
    assert gateway.play(_server_reach.SILENCE_MS - 100) == 0
    assert gateway.play(10_000) >= 1
    assert not gateway.reach.is_cut


def test_silence_in_a_lost_way_is_noticed(gateway):
    # Guards against a partition in which kept connections hang and a request
    # in progress opens no new one.
    gateway.cut()
    gateway.reach.begin_exchange(gateway.now_ms)
    gateway.play(1_500, round_ms=450)
    assert gateway.reach.is_cut


def test_silence_that_outlasts_the_requests_is_noticed(gateway):
    # Guards against kept connections that hang one after the other while each
    # caller leaves before the silence is long enough, as plain callers do.
    gateway.cut()
    for _ in range(2):
        gateway.reach.begin_exchange(gateway.now_ms)
        gateway.play(450)
        gateway.reach.end_exchange()
        gateway.play(550)
    assert gateway.reach.is_cut


def test_a_caller_that_leaves_causes_one_probe_at_most(gateway):
    # Guards against probes of an idle gateway.
    gateway.reach.begin_exchange(gateway.now_ms)
    gateway.play(100)
    gateway.reach.end_exchange()
    assert gateway.play(10_000) <= 1
    # A request that is answered leaves no silence behind.
    gateway.reach.begin_exchange(gateway.now_ms)
    gateway.reach.record_response(gateway.now_ms)
    gateway.reach.end_exchange()
    assert gateway.play(10_000) == 0


def test_one_silent_server_among_others_is_not_probed(gateway):
    # Guards against connections because of a request that takes long.
    gateway.reach.begin_exchange(gateway.now_ms)
    for _ in range(20):
        gateway.reach.begin_exchange(gateway.now_ms)
        gateway.reach.record_response(gateway.now_ms)
        gateway.reach.end_exchange()
        assert gateway.play(200) == 0


def test_an_idle_gateway_is_not_silent(gateway):
    # Guards against a probe when the first request after a pause is sent.
    gateway.play(60_000)
    gateway.reach.begin_exchange(gateway.now_ms)
    assert gateway.play(200) == 0
    gateway.reach.record_response(gateway.now_ms)
    gateway.reach.end_exchange()
    assert gateway.play(2_000) == 0


def test_the_only_server_is_probed_twice():
    # Guards against a gateway that never notices the loss of one server, and
    # against one that notices it by a single lost packet.
    gateway = Gateway(targets('d1'))
    gateway.cut()
    gateway.reach.suspect('d1s', gateway.now_ms)
    gateway.play(100)
    assert gateway.probed == [['d1s', 'd1s']]
    assert gateway.reach.is_cut


def test_a_flapping_server_does_not_end_a_lost_way_by_one_connection(gateway):
    # Guards against requests that go back to servers by a single connection.
    gateway.cut()
    gateway.reach.suspect('d1s', gateway.now_ms)
    gateway.play(100)
    for _ in range(10):
        gateway.reach.finish_round(
            [policy.ProbeResult(address='d1s', is_connected=True)],
            gateway.now_ms,
            gateway.now_ms,
        )
        gateway.reach.finish_round(
            [policy.ProbeResult(address='d1s', is_connected=False)],
            gateway.now_ms,
            gateway.now_ms,
        )
        assert gateway.reach.is_cut


def test_servers_that_are_down_do_not_hide_the_return_of_the_way(gateway):
    # Guards against probes of the same few servers while others accept.
    gateway.cut()
    gateway.reach.suspect('d1s', gateway.now_ms)
    gateway.play(1_000)
    gateway.down -= {'d3t'}
    gateway.play(1_500)
    assert not gateway.reach.is_cut


@pytest.mark.parametrize(
    'results, passed_ms',
    [
        ([False, False], _server_reach.MAX_ROUND_MS + 1),
        ([False, None], 10),
        ([], 10),
        ([False], 10),
    ],
)
def test_a_round_without_proof_changes_nothing(gateway, results, passed_ms):
    # Guards against a false alarm when this process was stopped during the
    # round, lacks file descriptors or knows no servers.
    began_ms = gateway.now_ms
    assert not gateway.reach.finish_round(
        [
            policy.ProbeResult(address=f'a{index}', is_connected=item)
            for index, item in enumerate(results)
        ],
        began_ms,
        began_ms + passed_ms,
    )
    assert not gateway.reach.is_cut
