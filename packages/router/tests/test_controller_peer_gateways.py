"""Tests of the peers that controllers name to gateways."""

import collections
import types

import paddle_coord
import paddle_kernel
from paddle_router.controller import _evacuation
from paddle_router.controller import _fleet
from paddle_router.controller import _peer_gateways
from paddle_router.controller import _state_exchange
from paddle_router import gateway
from paddle_router.gateway import _peers
import pytest
import returns.result

HOLDER = 'c0'


class Controller:
    """A controller whose messages to the lease holder are encoded."""

    def __init__(self, cluster, address, domain):
        register = types.SimpleNamespace(peek=lambda key: None)
        self.cluster = cluster
        self.clock = cluster.clock
        self.wall = paddle_kernel.SteadyWall(cluster.clock)
        self.transport = self
        self.fleet = _fleet.Fleet(cluster.clock)
        self.lease = types.SimpleNamespace(observed_holder=f'{HOLDER}/1')
        self.document = paddle_coord.VersionedDocument(register, self.clock)
        self.evacuations = _evacuation.Evacuations(
            register, self.clock, is_served=False
        )
        self.list_requested = types.SimpleNamespace(set=lambda: None)
        self.holds_lease = address == HOLDER
        self.exchange = _state_exchange.StateExchange(
            self,
            gateway.ControllerLocation(address=address, domain=domain),
        )

    def members(self):
        return tuple(self.cluster.controllers)

    def request_refresh(self):
        pass

    def call(self, address, report, _timeout_ms):
        holder = self.cluster.controllers[address].exchange
        reply = holder.handle_report(self.cluster.sent('relay', report))
        return returns.result.Success(self.cluster.sent('relay', reply))


class Front:
    """A gateway that reports to one controller."""

    def __init__(self, cluster, number, domain, controller):
        self.cluster = cluster
        self.controller = controller
        self.name = f'gateway-{number}'
        self.domain = domain
        self.reach = types.SimpleNamespace(is_cut=False)
        self.sequence = 0
        self.peers = _peers.Peers(
            types.SimpleNamespace(
                name=self.name,
                failure_domain=domain,
                peer_listen=f'10.0.{number // 250}.{number % 250}:7341',
            ),
            cluster.clock,
            self.reach,
            f'{number:016}',
            f'{number:032}',
        )

    def report(self):
        self.sequence += 1
        request = gateway.SyncRequest(
            reports=(
                gateway.GatewayReport(
                    name=self.name,
                    incarnation=f'{self.name}/1',
                    sequence=self.sequence,
                    flights=(),
                    usage=(),
                    **self.peers.report_fields(),
                ),
            ),
            version=0,
            listing='',
            attached=True,
        )
        reply = self.controller.exchange.handle_sync(
            self.cluster.sent('sync', request)
        )
        self.peers.apply(self.cluster.sent('sync', reply))

    @property
    def known(self):
        return {item['name'] for item in self.peers.dump()['peers']}


class Cluster:
    """Five controllers and ``count`` gateways in three domains.

    Most gateways report to a controller of their domain, unless ``by_domain``
    is false.
    """

    def __init__(self, count, *, by_domain=True):
        self.clock = paddle_kernel.FakeClock()
        self.bytes = collections.Counter()
        self.controllers = {
            f'c{index}': Controller(self, f'c{index}', f'd{index % 3}')
            for index in range(5)
        }
        self.fronts = [
            Front(
                self,
                number,
                f'd{(number if by_domain else number // 2) % 3}',
                self.controllers[
                    f'c{(number % 3 + 3 * (number % 2)) % 5}'
                    if by_domain
                    else f'c{number % 5}'
                ],
            )
            for number in range(count)
        ]

    def sent(self, kind, message):
        """Return ``message`` as it is received; count its bytes."""
        name, data = paddle_kernel.codec.encode(message)
        self.bytes[kind] += len(data)
        return paddle_kernel.codec.decode(name, data)

    def play(self, duration_ms, *, stopped=()):
        end_ms = self.clock.now_ms() + duration_ms
        step = 0
        while self.clock.now_ms() < end_ms:
            if step % 5 == 0:
                for front in self.fronts:
                    if front not in stopped:
                        front.report()
            if step % 3 == 0:
                for controller in self.controllers.values():
                    controller.exchange.relay()
            self.clock.advance(50)
            step += 1

    def ask_again(self, front):
        """Return the names that ``front`` gets in its next report."""
        front.reach.is_cut = True
        for item in front.peers._items:
            front.peers.mark_failed(item)
        front.report()
        front.reach.is_cut = False
        return front.known


@pytest.mark.parametrize('by_domain', [True, False])
@pytest.mark.parametrize('count', [8, 12, 300])
def test_all_gateways_get_peers_of_their_own_and_other_domains(
    count, by_domain
):
    # Guards against a gateway whose controller knows few others, so that it
    # has no peer when its links are cut.
    cluster = Cluster(count, by_domain=by_domain)
    cluster.play(12_000)
    for front in cluster.fronts:
        known = [item['domain'] for item in front.peers.dump()['peers']]
        assert len(known) == min(count - 1, _peer_gateways.MAX_PEERS)
        assert front.name not in front.known
        near = known.count(front.domain)
        assert 1 <= near < len(known)
        if count == 300 and by_domain:
            assert near == _peer_gateways.MAX_PEERS // 2


def test_no_gateway_is_a_peer_of_all():
    # Guards against one gateway that gets the requests of all that are cut.
    cluster = Cluster(60)
    cluster.play(3_000)
    named = collections.Counter(
        name for front in cluster.fronts for name in front.known
    )
    # Of 60 gateways, each gets 8: every one is named 8 times on average.
    assert max(named.values()) < 30
    assert len(named) > 50


def test_a_gateway_that_is_cut_is_not_named():
    # Guards against requests that go through a gateway with the same fault.
    cluster = Cluster(12)
    cluster.play(3_000)
    cut = cluster.fronts[:4]
    for front in cut:
        front.reach.is_cut = True
    names = {front.name for front in cut}
    cluster.play(500)
    for front in cluster.fronts[4:]:
        if front.controller is cut[0].controller:
            assert cut[0].name not in cluster.ask_again(front)
    # At the other controllers it lasts two exchanges of samples.
    cluster.play(2 * _peer_gateways.SAMPLE_PERIOD_MS)
    for front in cluster.fronts[4:]:
        assert not names & cluster.ask_again(front)
    for front in cut:
        front.peers.mark_failed(front.peers.choose())
        front.report()
        assert front.known and not names & front.known
    for front in cut:
        front.reach.is_cut = False
    cluster.play(3_000)
    assert all(
        names & cluster.ask_again(front) for front in cluster.fronts[4:]
    )


def test_a_gateway_that_stopped_is_not_named_for_long():
    # Guards against peers that accept no connections.
    cluster = Cluster(12)
    cluster.play(3_000)
    stopped = cluster.fronts[0]
    cluster.play(5_000, stopped=[stopped])
    for front in cluster.fronts[1:]:
        assert stopped.name not in cluster.ask_again(front)


def test_samples_of_the_lease_holder_are_used_for_a_few_seconds():
    # Guards against gateways without peers while the lease holder changes, and
    # against entries that nobody has confirmed for long.
    cluster = Cluster(12)
    cluster.play(3_000)
    for controller in cluster.controllers.values():
        controller.holds_lease = False
        controller.lease.observed_holder = ''
    cluster.play(3_000)
    front = cluster.fronts[0]
    others = {
        item.name
        for item in cluster.fronts
        if item.controller is not front.controller
    }
    assert others & cluster.ask_again(front)
    cluster.play(3_000)
    front.peers._items = ()
    front.report()
    assert not others & front.known


def test_peers_cost_few_bytes_at_300_gateways(monkeypatch):
    # Guards against a lease holder that is busy with peers nobody uses.
    with_peers = Cluster(300)
    with_peers.play(10_000)
    without = Cluster(300)
    for front in without.fronts:
        monkeypatch.setattr(front.peers, 'report_fields', dict)
    without.play(10_000)
    added = {
        kind: (with_peers.bytes[kind] - without.bytes[kind]) / 10
        for kind in ('sync', 'relay')
    }
    # Two samples of 12 entries of less than 200 bytes each second for each of
    # four controllers.
    assert added['relay'] < 4 * 2 * 12 * 200
    # An entry each second and eight each ten seconds for each gateway.
    assert added['sync'] < 300 * (200 + 8 * 200 / 10 + 4 * 2 * 16)
