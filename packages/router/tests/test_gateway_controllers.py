"""Tests of the choice of a controller, and of what a gateway takes from it."""

import collections
import random

from fleet_adapter import dialect
import paddle_kernel
from paddle_router import gateway
from paddle_router.gateway import _controllers
from paddle_router.gateway import _follower
from paddle_router import policy
import pytest
import returns.result


def places(*names):
    """Return places from ``'domain/address'``."""
    return tuple(
        gateway.ControllerLocation(domain=text[:2], address=text)
        for text in names
    )


def choice(incarnation='x', domain='d1', seeds=('seed',)):
    return _controllers.ControllerSelector(
        incarnation, domain, seeds, random.Random(1)
    )


def test_a_controller_in_the_own_domain_comes_first():
    found = choice()
    assert found.choose(0) == 'seed'
    found.update(places('d1/a', 'd2/b'), ('d1/a', 'd2/b'))
    assert found.choose(0) == 'd1/a'


def test_a_lost_controller_is_left_and_later_used_again():
    found = choice()
    found.update(places('d1/a', 'd2/b'), ())
    found.mark_failed('d1/a', 0)
    assert found.choose(0) == 'd2/b'
    found.mark_failed('d2/b', 0)
    assert found.choose(0) == 'seed'
    assert found.choose(2 * _controllers.MIN_BACKOFF_MS) == 'd1/a'


def test_a_controller_that_fails_again_is_left_for_longer():
    found = choice()
    found.update(places('d1/a', 'd2/b'), ())
    found.mark_failed('d1/a', 0)
    found.mark_failed('d1/a', 3_000)
    assert found.choose(3_000 + _controllers.MIN_BACKOFF_MS * 5 // 4) == 'd2/b'


def test_some_address_is_tried_when_all_have_failed():
    # Guards against a gateway that asks nobody while the controllers start.
    found = choice()
    for now_ms in range(0, 400, 50):
        assert found.choose(now_ms) == 'seed'
        found.mark_failed('seed', now_ms)


def test_controllers_that_start_are_tried_in_turn_and_not_left_longer():
    # Each try while all were left doubled the time: a gateway that started
    # before the controllers left the one near it for 16 s.
    found = choice(seeds=('d1/a', 'd2/b', 'd3/c'))
    found.update(places('d1/a', 'd2/b', 'd3/c'), ())
    tried = []
    for now_ms in range(0, 1_500, 50):
        tried.append(found.choose(now_ms))
        found.mark_failed(tried[-1], now_ms)
    assert set(tried[3:6]) == {'d1/a', 'd2/b', 'd3/c'}
    assert found.choose(_controllers.MIN_BACKOFF_MS * 3 // 2) == 'd1/a'


def test_gateways_of_a_lost_controller_spread_over_the_others():
    names = [f'd{number}/c' for number in range(1, 7)]
    chosen = collections.Counter()
    for number in range(600):
        found = choice(incarnation=str(number), domain='d1')
        found.update(places(*names), ())
        assert found.choose(0) == 'd1/c'
        found.mark_failed('d1/c', 0)
        chosen[found.choose(0)] += 1
    assert len(chosen) == 5
    assert max(chosen.values()) < 2 * min(chosen.values())


class Balancer:
    """Records the loads of others."""

    def __init__(self):
        self.running = 0
        self.others = None

    def own_loads(self, _now_ms):
        return {'i-1': gateway.ServerFlights(id='i-1', running=self.running)}

    def server_rate(self):
        return 0

    def set_others(self, loads, _now_ms):
        self.others = loads


class Controller:
    """Answers with the totals that it is given."""

    def __init__(self):
        self.addresses = []
        self.counted = 0
        self.running = 0
        self.confirmed = True
        self.unheard_holder = ''
        self.fails = ()

    def call(self, address, message, _timeout_ms):
        self.addresses.append(address)
        if address in self.fails:
            return returns.result.Failure(
                paddle_kernel.CallError('timeout', address)
            )
        flights = (gateway.ServerFlights(id='i-1', running=self.running),)
        return returns.result.Success(
            gateway.SyncReply(
                controllers=places('d1/a', 'd2/b'),
                members=('d1/a', 'd2/b'),
                confirmed=self.confirmed,
                version=0,
                document=None,
                listing='',
                servers=(),
                fronts=3,
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
    return Balancer()


@pytest.fixture
def controller():
    return Controller()


@pytest.fixture
def follower(clock, balancer, controller):
    settings = gateway.GatewaySettings(
        name='g1',
        failure_domain='d1',
        listen='',
        ready='',
        controllers=('seed',),
        stop_ms=8_000,
        retry_ratio=0.2,
        retry_slack=50,
        retry_window_ms=10_000,
        usage_window_ms=5_000,
    )

    class Usage:
        def recent(self):
            return ()

    return _follower.Follower(
        settings,
        dialect.FleetDialect(),
        clock,
        paddle_kernel.SteadyWall(clock),
        controller,
        balancers={'s': balancer},
        usage=Usage(),
        notices=policy.ServerNotices(),
    )


def test_the_own_part_is_taken_out_of_the_totals(
    follower, balancer, controller
):
    # The totals hold an earlier report; the present one would leave requests
    # that no gateway has.
    balancer.running = 4
    follower.step()
    balancer.running = 1
    controller.counted = 1
    controller.running = 10
    follower.step()
    assert balancer.others['i-1'].running == 6


def test_the_gateway_moves_to_the_controller_near_it(follower, controller):
    follower.step()
    follower.step()
    assert controller.addresses == ['seed', 'd1/a']


def test_a_controller_without_an_answer_is_left_at_once(follower, controller):
    # A frozen or cut controller costs one call of 500 ms.
    follower.step()
    controller.fails = ('d1/a',)
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


def test_gateways_that_start_ask_ever_more_rarely(follower):
    # All gateways of a large system ask three seeds when it starts.
    pauses = [follower.step() for _ in range(8)]
    assert pauses[0] == _follower.START_RETRY_MS
    assert pauses == sorted(pauses)
    assert pauses[-1] == _follower.DEFAULT_SYNC_PERIOD_MS


def test_a_holder_that_controllers_cannot_reach_is_asked_directly(
    follower, controller, clock
):
    # The controller in charge refuses the others, not the gateways: usage and
    # loads would not reach it for as long as that lasts.
    controller.unheard_holder = 'd3/h'
    for _ in range(6):
        follower.step()
        clock.advance(250)
    assert controller.addresses[-1] == 'd3/h'
    assert controller.addresses.count('d1/a') >= 3


def test_a_holder_that_is_gone_costs_one_call(follower, controller, clock):
    controller.unheard_holder = 'd3/h'
    controller.fails = ('d3/h',)
    for _ in range(10):
        follower.step()
        clock.advance(250)
    assert controller.addresses.count('d3/h') == 1
    assert controller.addresses[-1] == 'd1/a'


def test_the_gateway_returns_to_the_controller_near_it(
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
