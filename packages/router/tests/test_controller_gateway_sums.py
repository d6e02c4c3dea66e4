"""Tests of the load sums that controllers exchange."""

import collections

from hypothesis import given
from hypothesis import strategies as st
import paddle_kernel
from paddle_router.controller import _fleet
from paddle_router.controller import _gateway_sums
from paddle_router import gateway
import pytest

HOLDER, NEAR, FAR = 'c0', 'c1', 'c2'
GATEWAYS = ('g0', 'g1', 'g2', 'g3')
WINDOW = 7


class Cluster:
    """The soft state of three controllers; ``HOLDER`` holds the lease."""

    def __init__(self):
        self.clock = paddle_kernel.FakeClock()
        self.fleets = {}
        self.sums = {}
        self.holder = f'{HOLDER}/1'
        for address in (HOLDER, NEAR, FAR):
            self.start(address)

    def start(self, address):
        fleet = _fleet.Fleet(self.clock)
        location = gateway.ControllerLocation(address=address, domain='d')
        self.fleets[address] = fleet
        self.sums[address] = _gateway_sums.GatewaySums(
            location, fleet, self.clock
        )

    def send_report(self, address, name, sequence, *, running=1, requests=0):
        usage = gateway.UsageCount(
            window=WINDOW, customer='c', requests=requests
        )
        self.fleets[address].add_reports(
            (
                gateway.GatewayReport(
                    name=name,
                    incarnation=name,
                    sequence=sequence,
                    flights=(
                        gateway.ServerFlights(id='i-1', running=running),
                    ),
                    usage=(usage,),
                ),
            ),
            True,
        )

    def relay(self, address, *, lost_reply=False):
        sums = self.sums[address]
        requested_ms = self.clock.now_ms()
        report = sums.report(self.holder, 0)
        self.sums[HOLDER].add_report(report)
        reply = gateway.ControllerReply(
            in_charge=True,
            controllers=self.sums[HOLDER].controllers(),
            fronts=self.sums[HOLDER].gateway_count(3),
            loads=gateway.pack_loads(
                self.sums[HOLDER].loads_excluding(address)
            ),
            version=0,
            confirmed_age_ms=-1,
            listing='',
            list_age_ms=-1,
            servers=(),
        )
        if not lost_reply:
            sums.apply_reply(report, reply, requested_ms)
        return report

    def relay_all(self):
        for address in (NEAR, FAR):
            self.relay(address)

    def running(self, address):
        total = self.sums[address].all_loads().get('i-1')
        return total.running if total else 0


@pytest.fixture
def cluster():
    return Cluster()


def test_every_controller_has_the_sums_over_all_gateways(cluster):
    cluster.send_report(HOLDER, 'g0', 1, running=1)
    cluster.send_report(NEAR, 'g1', 1, running=2)
    cluster.send_report(FAR, 'g2', 1, running=4)
    cluster.relay_all()
    cluster.relay_all()
    assert {cluster.running(address) for address in cluster.sums} == {7}
    assert {sums.gateway_count(3) for sums in cluster.sums.values()} == {3}


def test_a_gateway_that_changes_its_controller_counts_once(cluster):
    # Guards against load and usage that are counted twice after a gateway
    # switches to another controller.
    cluster.send_report(NEAR, 'g0', 1, running=3, requests=5)
    cluster.relay_all()
    cluster.send_report(FAR, 'g0', 2, running=4, requests=6)
    cluster.relay_all()
    cluster.clock.advance(1_200)
    cluster.send_report(FAR, 'g0', 3, running=4, requests=6)
    cluster.relay_all()
    assert cluster.running(HOLDER) == 4
    assert cluster.sums[HOLDER].gateway_count(3) == 1
    assert cluster.fleets[HOLDER].usage(WINDOW) == {'c': 6}


def test_usage_counts_are_relayed_until_they_are_confirmed(cluster):
    # A lost reply must not lose counts, and a confirmed count must not be sent
    # again with each report.
    cluster.send_report(NEAR, 'g0', 1, requests=5)
    assert cluster.relay(NEAR, lost_reply=True).fronts[0].usage
    assert cluster.relay(NEAR).fronts[0].usage
    assert not cluster.relay(NEAR).fronts[0].usage
    cluster.send_report(NEAR, 'g0', 2, requests=6)
    assert cluster.relay(NEAR).fronts[0].usage
    assert cluster.fleets[HOLDER].usage(WINDOW) == {'c': 6}


def test_a_restarted_lease_holder_receives_all_usage_counts_again(cluster):
    cluster.send_report(NEAR, 'g0', 1, requests=5)
    cluster.relay(NEAR)
    cluster.start(HOLDER)
    cluster.holder = f'{HOLDER}/2'
    cluster.relay(NEAR)
    assert cluster.fleets[HOLDER].usage(WINDOW) == {'c': 5}


def test_a_relayed_old_report_does_not_count_as_recent(cluster):
    # A controller that was frozen relays reports from before. A window sealed
    # on their basis would lack the counts made meanwhile.
    fleet = cluster.fleets[HOLDER]
    fleet.set_servers(())
    fleet.set_lease_held(True)
    for sequence in range(80):
        cluster.send_report(HOLDER, 'g0', sequence)
        cluster.send_report(NEAR, 'g1', sequence)
        cluster.relay(NEAR)
        cluster.clock.advance(250)
    assert fleet.all_reported_within(1_000)
    cluster.clock.advance(4_000)
    cluster.send_report(HOLDER, 'g0', 80)
    cluster.relay(NEAR)
    assert not fleet.all_reported_within(1_000)


def test_sums_of_an_unreachable_lease_holder_expire(cluster):
    cluster.send_report(HOLDER, 'g0', 1, running=1)
    cluster.send_report(NEAR, 'g1', 1, running=2)
    cluster.relay(NEAR)
    assert cluster.running(NEAR) == 3
    cluster.clock.advance(_gateway_sums.REMOTE_LOADS_EXPIRY_MS)
    cluster.send_report(NEAR, 'g1', 2, running=2)
    assert cluster.running(NEAR) == 2


def test_the_gateway_count_is_kept_without_a_lease_holder(cluster):
    # Guards against shares of the retry budget that grow ninefold because each
    # controller counts only its own gateways.
    for number in range(4):
        cluster.send_report(HOLDER, f'g{number}', 1)
    cluster.send_report(NEAR, 'g9', 1)
    cluster.relay(NEAR)
    assert cluster.sums[NEAR].gateway_count(9) == 5
    cluster.clock.advance(3_000)
    cluster.send_report(NEAR, 'g9', 2)
    assert cluster.sums[NEAR].gateway_count(9) == 5


def test_without_a_gateway_count_all_controllers_are_assumed_equal(cluster):
    cluster.send_report(NEAR, 'g9', 1)
    cluster.send_report(NEAR, 'g8', 1)
    assert cluster.sums[NEAR].gateway_count(9) == 18


def test_replies_contain_the_live_controllers(cluster):
    cluster.relay_all()
    cluster.relay_all()
    assert [
        location.address for location in cluster.sums[NEAR].controllers()
    ] == [
        HOLDER,
        NEAR,
        FAR,
    ]
    cluster.clock.advance(_gateway_sums.PEER_EXPIRY_MS + 1)
    cluster.relay(NEAR)
    assert [
        location.address for location in cluster.sums[NEAR].controllers()
    ] == [
        HOLDER,
        NEAR,
    ]


def test_totals_state_the_sequence_of_the_contained_report(cluster):
    # The gateway subtracts its own report from the totals. Subtracting a newer
    # or older one would leave requests that do not exist.
    cluster.send_report(NEAR, 'g0', 1, running=3)
    encoded, counted = cluster.sums[NEAR].totals('g0')
    assert counted == 1
    cluster.send_report(NEAR, 'g0', 2, running=9)
    assert cluster.sums[NEAR].totals('g0') == (encoded, 1)
    cluster.clock.advance(_gateway_sums.SNAPSHOT_MAX_AGE_MS)
    assert cluster.sums[NEAR].totals('g0')[1] == 2


operation_lists = st.lists(
    st.tuples(
        st.sampled_from([HOLDER, NEAR, FAR]),
        st.sampled_from(GATEWAYS),
        st.integers(min_value=0, max_value=3),
        st.sampled_from(['report', 'relay', 'lost', 'restart']),
    ),
    max_size=40,
)


@given(operation_lists)
def test_usage_is_exact_after_moves_lost_replies_and_restarts(operations):
    # Guards against counts that are lost or counted twice when gateways change
    # their controller, replies are lost and the lease holder restarts.
    cluster = Cluster()
    requests = collections.Counter()
    sequences = collections.Counter()
    incarnations = 1
    for address, name, new_requests, operation in operations:
        if operation == 'report':
            requests[name] += new_requests
            sequences[name] += 1
            cluster.send_report(
                address, name, sequences[name], requests=requests[name]
            )
        elif operation == 'restart':
            incarnations += 1
            cluster.start(HOLDER)
            cluster.holder = f'{HOLDER}/{incarnations}'
        elif address != HOLDER:
            cluster.relay(address, lost_reply=operation == 'lost')
        cluster.clock.advance(50)
    for name in GATEWAYS:
        sequences[name] += 1
        cluster.send_report(
            NEAR, name, sequences[name], requests=requests[name]
        )
    cluster.relay(NEAR)
    cluster.relay(FAR)
    total = cluster.fleets[HOLDER].usage(WINDOW).get('c', 0)
    assert total == sum(requests.values())
