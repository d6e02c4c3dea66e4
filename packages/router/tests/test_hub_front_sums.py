"""Tests of the sums that controllers exchange."""

import collections

from hypothesis import given
from hypothesis import strategies as st
import paddle_kernel
from paddle_router import gateway
from paddle_router.hub import _fleet
from paddle_router.hub import _front_sums
import pytest

CHARGE, NEAR, FAR = 'c0', 'c1', 'c2'
GATEWAYS = ('g0', 'g1', 'g2', 'g3')
WINDOW = 7


class Hub:
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
        place = gateway.ControllerPlace(address=address, domain='d')
        self.fleets[address] = fleet
        self.sums[address] = _front_sums.FrontSums(place, fleet, self.clock)

    def say(self, address, name, sequence, *, running=1, requests=0):
        usage = gateway.UsageCount(
            window=WINDOW, customer='c', requests=requests
        )
        self.fleets[address].note(
            (
                gateway.FrontReport(
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
        self.sums[CHARGE].note(report)
        reply = gateway.HubReply(
            in_charge=True,
            controllers=self.sums[CHARGE].places(),
            fronts=self.sums[CHARGE].count(3),
            loads=gateway.pack_loads(self.sums[CHARGE].flights_for(address)),
            version=0,
            confirmed_age_ms=-1,
            listing='',
            list_age_ms=-1,
            servers=(),
        )
        if not lost_reply:
            sums.use(report, reply, asked_ms)
        return report

    def relay_all(self):
        for address in (NEAR, FAR):
            self.relay(address)

    def running(self, address):
        found = self.sums[address].all_flights().get('i-1')
        return found.running if found else 0


@pytest.fixture
def hub():
    return Hub()


def test_every_controller_knows_the_sums_over_all_gateways(hub):
    hub.say(CHARGE, 'g0', 1, running=1)
    hub.say(NEAR, 'g1', 1, running=2)
    hub.say(FAR, 'g2', 1, running=4)
    hub.relay_all()
    hub.relay_all()
    assert {hub.running(address) for address in hub.sums} == {7}
    assert {sums.count(3) for sums in hub.sums.values()} == {3}


def test_a_gateway_that_moves_counts_once_in_the_end(hub):
    # Guards against load and usage that count twice after a change of the
    # controller.
    hub.say(NEAR, 'g0', 1, running=3, requests=5)
    hub.relay_all()
    hub.say(FAR, 'g0', 2, running=4, requests=6)
    hub.relay_all()
    hub.clock.advance(1_200)
    hub.say(FAR, 'g0', 3, running=4, requests=6)
    hub.relay_all()
    assert hub.running(CHARGE) == 4
    assert hub.sums[CHARGE].count(3) == 1
    assert hub.fleets[CHARGE].usage(WINDOW) == {'c': 6}


def test_counts_are_passed_on_until_they_are_confirmed(hub):
    # A lost reply must not lose counts, and a confirmed count is not sent
    # with each report.
    hub.say(NEAR, 'g0', 1, requests=5)
    assert hub.relay(NEAR, lost_reply=True).fronts[0].usage
    assert hub.relay(NEAR).fronts[0].usage
    assert not hub.relay(NEAR).fronts[0].usage
    hub.say(NEAR, 'g0', 2, requests=6)
    assert hub.relay(NEAR).fronts[0].usage
    assert hub.fleets[CHARGE].usage(WINDOW) == {'c': 6}


def test_a_restarted_holder_gets_all_counts_again(hub):
    hub.say(NEAR, 'g0', 1, requests=5)
    hub.relay(NEAR)
    hub.start(CHARGE)
    hub.holder = f'{CHARGE}/2'
    hub.relay(NEAR)
    assert hub.fleets[CHARGE].usage(WINDOW) == {'c': 5}


def test_an_old_report_does_not_make_a_gateway_seem_alive(hub):
    # A controller was frozen and passes on what it heard before. A window
    # sealed on it would lack the counts made meanwhile.
    fleet = hub.fleets[CHARGE]
    fleet.set_servers(())
    fleet.set_in_charge(True)
    for sequence in range(80):
        hub.say(CHARGE, 'g0', sequence)
        hub.say(NEAR, 'g1', sequence)
        hub.relay(NEAR)
        hub.clock.advance(250)
    assert fleet.has_reports_of_all(1_000)
    hub.clock.advance(4_000)
    hub.say(CHARGE, 'g0', 80)
    hub.relay(NEAR)
    assert not fleet.has_reports_of_all(1_000)


def test_sums_of_a_lost_holder_end(hub):
    hub.say(CHARGE, 'g0', 1, running=1)
    hub.say(NEAR, 'g1', 1, running=2)
    hub.relay(NEAR)
    assert hub.running(NEAR) == 3
    hub.clock.advance(_front_sums.REMOTE_MS)
    hub.say(NEAR, 'g1', 2, running=2)
    assert hub.running(NEAR) == 2


def test_the_count_of_gateways_stays_while_there_is_no_holder(hub):
    # Shares of the retry budget grew ninefold if each controller counted its
    # own gateways only.
    for number in range(4):
        hub.say(CHARGE, f'g{number}', 1)
    hub.say(NEAR, 'g9', 1)
    hub.relay(NEAR)
    assert hub.sums[NEAR].count(9) == 5
    hub.clock.advance(3_000)
    hub.say(NEAR, 'g9', 2)
    assert hub.sums[NEAR].count(9) == 5


def test_without_any_count_others_are_taken_to_serve_as_many(hub):
    hub.say(NEAR, 'g9', 1)
    hub.say(NEAR, 'g8', 1)
    assert hub.sums[NEAR].count(9) == 18


def test_replies_name_the_controllers_heard_of_lately(hub):
    hub.relay_all()
    hub.relay_all()
    assert [x.address for x in hub.sums[NEAR].places()] == [CHARGE, NEAR, FAR]
    hub.clock.advance(_front_sums.LIVE_MS + 1)
    hub.relay(NEAR)
    assert [x.address for x in hub.sums[NEAR].places()] == [CHARGE, NEAR]


def test_totals_say_which_own_report_they_hold(hub):
    # The gateway takes its own part out; a newer or older report would leave
    # requests that nobody has.
    hub.say(NEAR, 'g0', 1, running=3)
    encoded, counted = hub.sums[NEAR].totals('g0')
    assert counted == 1
    hub.say(NEAR, 'g0', 2, running=9)
    assert hub.sums[NEAR].totals('g0') == (encoded, 1)
    hub.clock.advance(_front_sums.SNAPSHOT_MS)
    assert hub.sums[NEAR].totals('g0')[1] == 2


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
    hub = Hub()
    requests = collections.Counter()
    sequences = collections.Counter()
    incarnations = 1
    for address, name, more, step in taken:
        if step == 'report':
            requests[name] += more
            sequences[name] += 1
            hub.say(address, name, sequences[name], requests=requests[name])
        elif step == 'restart':
            incarnations += 1
            hub.start(CHARGE)
            hub.holder = f'{CHARGE}/{incarnations}'
        elif address != CHARGE:
            hub.relay(address, lost_reply=step == 'lost')
        hub.clock.advance(50)
    for name in GATEWAYS:
        sequences[name] += 1
        hub.say(NEAR, name, sequences[name], requests=requests[name])
    hub.relay(NEAR)
    hub.relay(FAR)
    total = hub.fleets[CHARGE].usage(WINDOW).get('c', 0)
    assert total == sum(requests.values())
