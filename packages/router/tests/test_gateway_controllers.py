"""Tests of controller selection and of state exchange with a controller."""

import collections
import random
import zlib

import gevent
import paddle_kernel
from paddle_router.controller import _state_exchange
from paddle_router import gateway
from paddle_router.gateway import _controllers
from paddle_router.gateway import _follower
from paddle_router import policy
import pytest
import returns.result


def make_locations(*names):
    """Return locations from texts of the form ``'domain/address'``."""
    return tuple(
        gateway.ControllerLocation(domain=text[:2], address=text)
        for text in names
    )


def make_selector(incarnation='x', domain='d1', seeds=('seed',)):
    return _controllers.ControllerSelector(
        incarnation, domain, seeds, random.Random(1)
    )


def test_a_controller_in_the_own_failure_domain_is_preferred():
    selector = make_selector()
    assert selector.choose(0) == 'seed'
    selector.update(make_locations('d1/a', 'd2/b'), ('d1/a', 'd2/b'))
    assert selector.choose(0) == 'd1/a'


def test_a_failed_controller_is_used_again_after_its_backoff():
    selector = make_selector()
    selector.update(make_locations('d1/a', 'd2/b'), ())
    selector.mark_failed('d1/a', 0)
    assert selector.choose(0) == 'd2/b'
    selector.mark_failed('d2/b', 0)
    assert selector.choose(0) == 'seed'
    assert selector.choose(2 * _controllers.MIN_BACKOFF_MS) == 'd1/a'


def test_repeated_failures_extend_the_backoff():
    selector = make_selector()
    selector.update(make_locations('d1/a', 'd2/b'), ())
    selector.mark_failed('d1/a', 0)
    selector.mark_failed('d1/a', 3_000)
    assert (
        selector.choose(3_000 + _controllers.MIN_BACKOFF_MS * 5 // 4) == 'd2/b'
    )


def test_an_address_is_chosen_while_all_are_backing_off():
    # Guards against a gateway that calls no controller while they all start.
    selector = make_selector()
    for now_ms in range(0, 400, 50):
        assert selector.choose(now_ms) == 'seed'
        selector.mark_failed('seed', now_ms)


def test_retries_while_all_are_backing_off_do_not_extend_the_backoff():
    # Guards against a backoff that doubles with each retry while all
    # controllers are backing off: a gateway that was started before the
    # controllers avoided its local one for 16 s.
    selector = make_selector(seeds=('d1/a', 'd2/b', 'd3/c'))
    selector.update(make_locations('d1/a', 'd2/b', 'd3/c'), ())
    tried = []
    for now_ms in range(0, 1_500, 50):
        tried.append(selector.choose(now_ms))
        selector.mark_failed(tried[-1], now_ms)
    assert set(tried[3:6]) == {'d1/a', 'd2/b', 'd3/c'}
    assert selector.choose(_controllers.MIN_BACKOFF_MS * 3 // 2) == 'd1/a'


def test_gateways_of_a_failed_controller_spread_over_the_others():
    names = [f'd{number}/c' for number in range(1, 7)]
    chosen = collections.Counter()
    for number in range(600):
        selector = make_selector(incarnation=str(number), domain='d1')
        selector.update(make_locations(*names), ())
        assert selector.choose(0) == 'd1/c'
        selector.mark_failed('d1/c', 0)
        chosen[selector.choose(0)] += 1
    assert len(chosen) == 5
    assert max(chosen.values()) < 2 * min(chosen.values())


class FakeBalancer:
    """Records the loads of other gateways."""

    def __init__(self):
        self.running = 0
        self.server_id = 'i-1'
        self.others = None

    def own_loads(self, _now_ms):
        return {
            self.server_id: gateway.ServerFlights(
                id=self.server_id, running=self.running
            )
        }

    def server_rate(self):
        return 0

    def set_other_loads(self, loads, _now_ms):
        self.others = loads


class FakeController:
    """Replies with the configured totals."""

    def __init__(self):
        self.addresses = []
        self.reports = []
        self.counted = 0
        self.running = 0
        self.confirmed = True
        self.unheard_holder = ''
        self.position = 0
        self.fronts = 3
        self.failing_addresses = ()

    def call(self, address, message, _timeout_ms):
        self.addresses.append(address)
        try:
            paddle_kernel.codec.encode(message)
        except paddle_kernel.EncodeError:
            return returns.result.Failure(
                paddle_kernel.CallError('unencodable', address)
            )
        self.reports.append(message.reports)
        if address in self.failing_addresses:
            return returns.result.Failure(
                paddle_kernel.CallError('timeout', address)
            )
        flights = (gateway.ServerFlights(id='i-1', running=self.running),)
        return returns.result.Success(
            gateway.SyncReply(
                controllers=make_locations('d1/a', 'd2/b'),
                members=('d1/a', 'd2/b'),
                confirmed=self.confirmed,
                version=0,
                document=None,
                listing='',
                servers=(),
                fronts=self.fronts,
                position=self.position,
                totals=gateway.pack_loads(flights),
                counted=self.counted,
                period_ms=250,
                true_ms=0,
                unheard_holder=''
                if address == 'd3/h'
                else self.unheard_holder,
            )
        )


@pytest.fixture
def clock():
    return paddle_kernel.FakeClock()


@pytest.fixture
def balancer():
    return FakeBalancer()


@pytest.fixture
def controller():
    return FakeController()


@pytest.fixture
def limits():
    return policy.ServerLimits()


class VersionDialect:
    """Reads configurations that consist of their version number."""

    def read_configuration(self, content):
        return gateway.Configuration(
            version=int(content),
            routes=(),
            services={},
            limits=None,
            customers=None,
        )


def make_follower(
    clock, transport, *, balancer, limits, incarnation='g1/1', seeds=('seed',)
):
    settings = gateway.GatewaySettings(
        name='g1',
        failure_domain='d1',
        listen='',
        ready='',
        controllers=seeds,
        stop_ms=8_000,
        retry_ratio=0.2,
        retry_slack=50,
        retry_window_ms=10_000,
        usage_window_ms=5_000,
    )

    class Usage:
        def recent(self):
            return ()

    class RequestCrashes:
        def report_fields(self):
            return {}

        def apply_reply(self, reply):
            pass

    class Waiting:
        def demands(self):
            return ()

        def apply_demands(self, totals, counted, gateway_count):
            pass

    return _follower.Follower(
        settings,
        VersionDialect(),
        clock,
        paddle_kernel.SteadyWall(clock),
        transport,
        balancers={'s': balancer},
        usage=Usage(),
        notices=policy.ServerNotices(),
        limits=limits,
        turns=policy.GatewayTurns(),
        request_crashes=RequestCrashes(),
        waiting=Waiting(),
        incarnation=incarnation,
    )


@pytest.fixture
def follower(clock, balancer, controller, limits):
    return make_follower(clock, controller, balancer=balancer, limits=limits)


def test_own_loads_are_subtracted_from_the_totals(
    follower, balancer, controller
):
    # The totals contain an earlier report. Subtracting the current report
    # instead would leave requests that no gateway has.
    balancer.running = 4
    follower.step()
    balancer.running = 1
    controller.counted = 1
    controller.running = 10
    follower.step()
    assert balancer.others['i-1'].running == 6


def test_a_gateway_keeps_its_position_while_it_is_unknown(
    follower, controller, limits
):
    # Guards against gateways that choose other permits of a server, which
    # belong to others, while the lease holder changes.
    server = policy.Incarnation('i-1')
    limits.record(server, 1.0, 1)
    controller.position, controller.fronts = 4, 8
    follower.step()
    permit_ms = limits.next_permit_ms(server, 0)
    controller.position, controller.fronts = 0, 3
    follower.step()
    assert limits.interval_ms(server) == 8_000
    assert limits.next_permit_ms(server, 0) == permit_ms


def test_the_gateway_switches_to_the_local_controller(follower, controller):
    follower.step()
    follower.step()
    assert controller.addresses == ['seed', 'd1/a']


def test_an_unresponsive_controller_is_left_after_one_call(
    follower, controller
):
    # A suspended or unreachable controller costs one call of 500 ms.
    follower.step()
    controller.failing_addresses = ('d1/a',)
    follower.step()
    follower.step()
    assert controller.addresses == ['seed', 'd1/a', 'd2/b']


def test_an_unconfirmed_controller_is_left(follower, controller, clock):
    follower.step()
    controller.confirmed = False
    for _ in range(5):
        follower.step()
        clock.advance(250)
    assert controller.addresses[-1] == 'd2/b'


def test_starting_gateways_poll_with_increasing_pauses(follower):
    # When a large system starts, all gateways call the same three seeds.
    pauses = [follower.step() for _ in range(8)]
    assert pauses[0] == _follower.START_RETRY_MS
    assert pauses == sorted(pauses)
    assert pauses[-1] == _follower.DEFAULT_SYNC_PERIOD_MS


def test_a_lease_holder_cut_off_from_controllers_is_contacted_directly(
    follower, controller, clock
):
    # Only the connections from other controllers to the lease holder fail.
    # Usage and loads would not reach the lease holder meanwhile.
    controller.unheard_holder = 'd3/h'
    for _ in range(6):
        follower.step()
        clock.advance(250)
    assert controller.addresses[-1] == 'd3/h'
    assert controller.addresses.count('d1/a') >= 3


def test_an_unreachable_lease_holder_is_called_once(
    follower, controller, clock
):
    controller.unheard_holder = 'd3/h'
    controller.failing_addresses = ('d3/h',)
    for _ in range(10):
        follower.step()
        clock.advance(250)
    assert controller.addresses.count('d3/h') == 1
    assert controller.addresses[-1] == 'd1/a'


def test_the_gateway_returns_to_the_local_controller(
    follower, controller, clock
):
    controller.unheard_holder = 'd3/h'
    for _ in range(6):
        follower.step()
        clock.advance(250)
    controller.unheard_holder = ''
    clock.advance(_controllers.DIRECT_CONTACT_MS)
    follower.step()
    assert controller.addresses[-1] == 'd1/a'


def test_a_load_too_large_for_the_report_is_bounded(
    follower, balancer, controller
):
    # Guards against headers with huge token counts that cost the gateway all
    # exchanges with its controllers.
    balancer.running = 10**30
    follower.step()
    assert controller.reports[0][0].flights[0].running == 2**32 - 1


def test_a_report_that_cannot_be_encoded_costs_no_configuration(
    follower, balancer, controller, clock
):
    balancer.server_id = '\ud800'
    clock.advance(1)
    follower.step()
    assert follower.synced_ms == clock.now_ms()
    assert controller.addresses == ['seed', 'seed']
    assert controller.reports == [()]


# Controllers that are cut off from the majority

MINORITY = ('d1/a', 'd1/b', 'd2/d', 'd3/g')
MAJORITY = ('d1/c', 'd2/e', 'd2/f', 'd3/h', 'd3/i')
VERSION_PERIOD_MS = 500
# The shortest bound for putting an acknowledged configuration into force.
CONFIGURATION_MS = 2_000
CUT_MS = 3_000


class SplitControllers:
    """Controllers with a new version each period; a cut after ``CUT_MS``.

    From then on those in ``silent`` do not reply, and the others of the
    minority keep the version that they had and name each other as the live
    controllers. Those in ``idle`` are not confirmed at the first request.
    """

    def __init__(self, clock, *, silent=(), idle=()):
        self._clock = clock
        self._start_ms = clock.now_ms()
        self._silent = silent
        self._idle = idle
        self._refreshed = set()
        self.addresses = []

    def elapsed_ms(self):
        return self._clock.now_ms() - self._start_ms

    def version(self):
        return 1 + self.elapsed_ms() // VERSION_PERIOD_MS

    def call(self, address, message, timeout_ms):
        self.addresses.append((self.elapsed_ms(), address))
        cut_for_ms = self.elapsed_ms() - CUT_MS
        if cut_for_ms >= 0 and address in self._silent:
            deadline_ms = self._clock.now_ms() + timeout_ms
            for _ in range(3):
                # The other calls of a broadcast begin at the same time.
                gevent.sleep(0)
            self._clock.advance(max(0, deadline_ms - self._clock.now_ms()))
            return returns.result.Failure(
                paddle_kernel.CallError('timeout', address)
            )
        version, live, confirmed = self.version(), MINORITY + MAJORITY, True
        if cut_for_ms >= 0 and address in MINORITY:
            version, live = 1 + CUT_MS // VERSION_PERIOD_MS, MINORITY
            confirmed = cut_for_ms < _state_exchange.CONFIRMATION_MAX_AGE_MS
        elif address in self._idle:
            confirmed = address in self._refreshed
            self._refreshed.add(address)
        is_newer = version > message.version
        return returns.result.Success(
            gateway.SyncReply(
                controllers=make_locations(*live),
                members=MINORITY + MAJORITY,
                confirmed=confirmed,
                version=version,
                document=zlib.compress(b'%d' % version) if is_newer else None,
                listing='1',
                servers=(),
                fronts=1,
                totals=b'',
                counted=0,
                period_ms=250,
                true_ms=0,
                unheard_holder='',
            )
        )


def longest_delay_ms(clock, network, incarnation):
    """Return the longest time from a version's start to its use."""
    follower = make_follower(
        clock,
        network,
        balancer=FakeBalancer(),
        limits=policy.ServerLimits(),
        incarnation=incarnation,
        seeds=MINORITY + MAJORITY,
    )
    clock.advance(follower.step())
    longest_ms = 0
    while network.elapsed_ms() < 30_000:
        newer_since_ms = (
            follower.table.configuration.version * VERSION_PERIOD_MS
        )
        pause_ms = follower.step()
        longest_ms = max(longest_ms, network.elapsed_ms() - newer_since_ms)
        clock.advance(pause_ms)
    return longest_ms


@pytest.mark.parametrize(
    'silent, idle',
    [
        ((), ()),
        (MINORITY[:2], ()),
        (MINORITY, ()),
        ((), MAJORITY),
    ],
    ids=['unconfirmed', 'some-silent', 'silent', 'idle-majority'],
)
def test_configurations_are_applied_in_time_while_controllers_are_cut_off(
    silent, idle
):
    # Guards against a gateway that follows one unconfirmed controller after
    # another: with four of nine, it applied no configuration for 7 s.
    for number in range(20):
        clock = paddle_kernel.FakeClock()
        network = SplitControllers(clock, silent=silent, idle=idle)
        delay_ms = longest_delay_ms(clock, network, f'g{number}/1')
        assert delay_ms <= CONFIGURATION_MS, number


def test_controllers_named_by_an_unconfirmed_one_are_not_used():
    # Guards against a gateway that only knows the controllers of a minority,
    # because one of them named these as live.
    selector = make_selector()
    selector.update(make_locations('d1/a', 'd1/b'), (), True)
    selector.update(make_locations('d1/a'), (), False)
    selector.mark_failed('d1/a', 0)
    assert selector.choose(0) == 'd1/b'


def test_an_unconfirmed_lease_holder_does_not_replace_a_confirmed_controller(
    clock,
):
    # Guards against a gateway that follows the last lease holder of a
    # minority, which another controller names.
    network = SplitControllers(clock)
    follower = make_follower(
        clock,
        network,
        balancer=FakeBalancer(),
        limits=policy.ServerLimits(),
        seeds=('d1/c',),
    )
    follower.step()
    clock.advance(CUT_MS + _state_exchange.CONFIRMATION_MAX_AGE_MS)
    follower.step()
    follower._selector.prefer('d3/g', clock.now_ms())
    for _ in range(3):
        follower.step()
        assert follower.dump()['controller'] in MAJORITY
    assert 'd3/g' in [address for _, address in network.addresses]
