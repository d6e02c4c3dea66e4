"""Tests of the sums that controllers exchange."""

import collections

from hypothesis import given
from hypothesis import strategies as st
import paddle_kernel
from paddle_router.controller import _fleet
from paddle_router.controller import _gateway_sums
from paddle_router import gateway
import pytest

CHARGE, NEAR, FAR = 'c0', 'c1', 'c2'
GATEWAYS = ('g0', 'g1', 'g2', 'g3')
WINDOW = 7


class Cluster:
    """The soft state of three controllers; ``CHARGE`` holds the lease."""

    def __init__(self):
        self.clock = paddle_kernel.FakeClock()
        self.fleets = {}
        self.sums = {}
        self.holder = f'{CHARGE}/1'
        for address in (CHARGE, NEAR, FAR):
            self.start(address)

    def start(self, address):
        fleet = _fleet.Fleet(self.clock)
        place = gateway.ControllerLocation(address=address, domain='d')
        self.fleets[address] = fleet
        self.sums[address] = _gateway_sums.GatewaySums(
            place, fleet, self.clock
        )

    def say(self, address, name, sequence, *, running=1, requests=0):
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
        asked_ms = self.clock.now_ms()
        report = sums.report(self.holder, 0)
        self.sums[CHARGE].add_report(report)
        reply = gateway.ControllerReply(
            in_charge=True,
            controllers=self.sums[CHARGE].controllers(),
            fronts=self.sums[CHARGE].count(3),
            loads=gateway.pack_loads(self.sums[CHARGE].flights_for(address)),
            version=0,
            confirmed_age_ms=-1,
            listing='',
            list_age_ms=-1,
            servers=(),
        )
        if not lost_reply:
            sums.apply_reply(report, reply, asked_ms)
        return report

    def relay_all(self):
        for address in (NEAR, FAR):
            self.relay(address)

    def running(self, address):
        found = self.sums[address].all_flights().get('i-1')
        return found.running if found else 0


@pytest.fixture
def cluster():
    return Cluster()


def test_every_controller_knows_the_sums_over_all_gateways(cluster):
    cluster.say(CHARGE, 'g0', 1, running=1)
    cluster.say(NEAR, 'g1', 1, running=2)
    cluster.say(FAR, 'g2', 1, running=4)
    cluster.relay_all()
    cluster.relay_all()
    assert {cluster.running(address) for address in cluster.sums} == {7}
    assert {sums.count(3) for sums in cluster.sums.values()} == {3}


def test_a_gateway_that_moves_counts_once_in_the_end(cluster):
    # Guards against load and usage that count twice after a change of the
    # controller.
    cluster.say(NEAR, 'g0', 1, running=3, requests=5)
    cluster.relay_all()
    cluster.say(FAR, 'g0', 2, running=4, requests=6)
    cluster.relay_all()
    cluster.clock.advance(1_200)
    cluster.say(FAR, 'g0', 3, running=4, requests=6)
    cluster.relay_all()
    assert cluster.running(CHARGE) == 4
    assert cluster.sums[CHARGE].count(3) == 1
    assert cluster.fleets[CHARGE].usage(WINDOW) == {'c': 6}


def test_counts_are_passed_on_until_they_are_confirmed(cluster):
    # A lost reply must not lose counts, and a confirmed count is not sent
    # with each report.
    cluster.say(NEAR, 'g0', 1, requests=5)
    assert cluster.relay(NEAR, lost_reply=True).fronts[0].usage
    assert cluster.relay(NEAR).fronts[0].usage
    assert not cluster.relay(NEAR).fronts[0].usage
    cluster.say(NEAR, 'g0', 2, requests=6)
    assert cluster.relay(NEAR).fronts[0].usage
    assert cluster.fleets[CHARGE].usage(WINDOW) == {'c': 6}


def test_a_restarted_holder_gets_all_counts_again(cluster):
    cluster.say(NEAR, 'g0', 1, requests=5)
    cluster.relay(NEAR)
    cluster.start(CHARGE)
    cluster.holder = f'{CHARGE}/2'
    cluster.relay(NEAR)
    assert cluster.fleets[CHARGE].usage(WINDOW) == {'c': 5}


def test_an_old_report_does_not_make_a_gateway_seem_alive(cluster):
    # A controller was frozen and passes on what it heard before. A window
    # sealed on it would lack the counts made meanwhile.
    fleet = cluster.fleets[CHARGE]
    fleet.set_servers(())
    fleet.set_in_charge(True)
    for sequence in range(80):
        cluster.say(CHARGE, 'g0', sequence)
        cluster.say(NEAR, 'g1', sequence)
        cluster.relay(NEAR)
        cluster.clock.advance(250)
    assert fleet.has_reports_of_all(1_000)
    cluster.clock.advance(4_000)
    cluster.say(CHARGE, 'g0', 80)
    cluster.relay(NEAR)
    assert not fleet.has_reports_of_all(1_000)


def test_sums_of_a_lost_holder_end(cluster):
    cluster.say(CHARGE, 'g0', 1, running=1)
    cluster.say(NEAR, 'g1', 1, running=2)
    cluster.relay(NEAR)
    assert cluster.running(NEAR) == 3
    cluster.clock.advance(_gateway_sums.REMOTE_MS)
    cluster.say(NEAR, 'g1', 2, running=2)
    assert cluster.running(NEAR) == 2


def test_the_count_of_gateways_stays_while_there_is_no_holder(cluster):
    # Shares of the retry budget grew ninefold if each controller counted its
    # own gateways only.
    for number in range(4):
        cluster.say(CHARGE, f'g{number}', 1)
    cluster.say(NEAR, 'g9', 1)
    cluster.relay(NEAR)
    assert cluster.sums[NEAR].count(9) == 5
    cluster.clock.advance(3_000)
    cluster.say(NEAR, 'g9', 2)
    assert cluster.sums[NEAR].count(9) == 5


def test_without_any_count_others_are_taken_to_serve_as_many(cluster):
    cluster.say(NEAR, 'g9', 1)
    cluster.say(NEAR, 'g8', 1)
    assert cluster.sums[NEAR].count(9) == 18


def test_replies_name_the_controllers_heard_of_lately(cluster):
    cluster.relay_all()
    cluster.relay_all()
    assert [x.address for x in cluster.sums[NEAR].controllers()] == [
        CHARGE,
        NEAR,
        FAR,
    ]
    cluster.clock.advance(_gateway_sums.LIVE_MS + 1)
    cluster.relay(NEAR)
    assert [x.address for x in cluster.sums[NEAR].controllers()] == [
        CHARGE,
        NEAR,
    ]


def test_totals_say_which_own_report_they_hold(cluster):
    # The gateway takes its own part out; a newer or older report would leave
    # requests that nobody has.
    cluster.say(NEAR, 'g0', 1, running=3)
    encoded, counted = cluster.sums[NEAR].totals('g0')
    assert counted == 1
    cluster.say(NEAR, 'g0', 2, running=9)
    assert cluster.sums[NEAR].totals('g0') == (encoded, 1)
    cluster.clock.advance(_gateway_sums.SNAPSHOT_MS)
    assert cluster.sums[NEAR].totals('g0')[1] == 2


steps = st.lists(
    st.tuples(
        st.sampled_from([CHARGE, NEAR, FAR]),
        st.sampled_from(GATEWAYS),
        st.integers(min_value=0, max_value=3),
        st.sampled_from(['report', 'relay', 'lost', 'restart']),
    ),
    max_size=40,
)


@given(steps)
def test_usage_is_exact_whatever_moves_and_is_lost(taken):
    # Guards against counts that are lost or doubled when gateways move,
    # replies are lost and the holder restarts.
    cluster = Cluster()
    requests = collections.Counter()
    sequences = collections.Counter()
    incarnations = 1
    for address, name, more, step in taken:
        if step == 'report':
            requests[name] += more
            sequences[name] += 1
            cluster.say(
                address, name, sequences[name], requests=requests[name]
            )
        elif step == 'restart':
            incarnations += 1
            cluster.start(CHARGE)
            cluster.holder = f'{CHARGE}/{incarnations}'
        elif address != CHARGE:
            cluster.relay(address, lost_reply=step == 'lost')
        cluster.clock.advance(50)
    for name in GATEWAYS:
        sequences[name] += 1
        cluster.say(NEAR, name, sequences[name], requests=requests[name])
    cluster.relay(NEAR)
    cluster.relay(FAR)
    total = cluster.fleets[CHARGE].usage(WINDOW).get('c', 0)
    assert total == sum(requests.values())
