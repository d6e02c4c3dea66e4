"""Tests of the planner task of the lease holder."""

import types

import attrs
import pytest

import paddle_coord as coord
import paddle_kernel as kernel
from paddle_router import _control
from paddle_router import _drains
from paddle_router import _instances
from paddle_router import _planning
from paddle_router import _planning_settings
from paddle_router import policy

OFFER = _planning_settings.OfferSettings(
    failure_domain='a', cheap=False, price_per_hour=2.0
)
CFG = _planning_settings.PlannerSettings(
    offers=(OFFER,), requests_per_server=8
)


class ScriptedPlanner:
    """Returns the given orders once and records the views it gets."""

    def __init__(self, *orders):
        self.orders = list(orders)
        self.views = []

    def plan(self, view):
        self.views.append(view)
        orders, self.orders = self.orders, []
        return orders


class FakeShares:
    def demand_by_class(self):
        return {'chat': 5}


class FakeConfigView:
    def request_class(self, name):
        return policy.ClassPolicy(tier=1)


class FakeConfigSource:
    view = FakeConfigView()


class FakeCore:
    def __init__(self, clock):
        self.clock = clock
        self.shares = FakeShares()
        self.config = FakeConfigSource()
        self.engine_reports = {}
        self.instances = _instances.InstanceList('', clock=clock)


class FakeControl:
    def __init__(self, register, clock, holder):
        self.lease = coord.Lease(register, clock, holder)
        self.orders = coord.OrderBook(register, self.lease, clock)


@attrs.define
class PlannerHarness:
    clock: object
    register: object
    core: object
    control: object
    drains: object

    def task(self, *orders):
        planner = ScriptedPlanner(*orders)
        task = _planning.PlanTask(
            CFG, self.control, self.drains, self.core, planner
        )
        return task, planner

    def advance(self, duration_ms):
        """Advance the clock in steps short enough to keep the lease."""
        for _ in range(duration_ms // 500):
            self.clock.advance(500)
            self.control.lease.tick()


@pytest.fixture
def harness():
    clock = kernel.FakeClock()
    register = coord.MemoryRegister()
    core = FakeCore(clock)
    control = FakeControl(register, clock, 'holder')
    drains = _drains.DrainList(register, core.instances.set_draining)
    control.lease.tick()
    assert control.lease.number() is not None
    return PlannerHarness(clock, register, core, control, drains)


def _make_engine(name, **options):
    return _instances.Instance(id=name, address='127.0.0.1:1', **options)


def _plan_one_start(harness):
    args = {'failure_domain': 'a', 'cheap': False}
    task, planner = harness.task(policy.Order('start', args))
    task.step()
    return task, planner


def test_nothing_is_planned_without_the_lease(harness):
    # Guards against two processes that order servers at the same time.
    task, planner = harness.task()
    harness.clock.advance(60_000)
    task.step()
    assert planner.views == []


def test_recorded_start_counts_as_a_starting_server(harness):
    # Guards against a second start order for the same demand.
    task, planner = _plan_one_start(harness)
    task.step()
    (server,) = planner.views[-1].servers
    assert server.state == policy.STARTING
    assert len(harness.control.orders.open_orders().unwrap()) == 1


def test_accepted_start_that_never_appears_stops_counting(harness):
    # Guards against counting a server for ever that was never listed.
    task, planner = _plan_one_start(harness)
    (order,) = harness.control.orders.open_orders().unwrap()
    harness.control.orders.finish(order.id)
    task.step()
    assert len(planner.views[-1].servers) == 1
    harness.advance(_planning.LISTING_TIMEOUT_MS)
    task.step()
    assert planner.views[-1].servers == ()


def test_refused_server_type_is_unavailable_until_the_retry_time(harness):
    # Guards against a new order every second for a type of server that the
    # platform cannot provide.
    task, planner = _plan_one_start(harness)
    task.step()
    (order,) = harness.control.orders.open_orders().unwrap()
    harness.control.orders.give_up(order.id)
    task.step()
    assert not planner.views[-1].offers[0].available
    harness.advance(CFG.retry_offer_ms)
    task.step()
    assert planner.views[-1].offers[0].available


def test_drained_server_counts_as_busy_until_the_drain_has_settled(harness):
    # Guards against a stop order while requests placed by other daemons run.
    harness.core.instances.replace([_make_engine('e1')])
    harness.core.engine_reports['e1'] = policy.LoadReport(age_ms=500)
    task, planner = harness.task(policy.Order('drain', {'instance': 'e1'}))
    task.step()
    assert harness.core.instances.engines('small') == []
    assert harness.core.instances.instances[0].state == _instances.LEAVING
    task.step()
    assert planner.views[-1].servers[0].running == 1
    harness.advance(_planning.DRAIN_SETTLE_MS + 500)
    task.step()
    assert planner.views[-1].servers[0].running == 0


def test_drain_with_an_older_lease_number_is_rejected(harness):
    # Guards against a former lease holder that still drains servers.
    assert harness.drains.change(5, add=('e1',))
    assert not harness.drains.change(4, add=('e2',))
    assert harness.drains.instances == {'e1'}


def test_stop_is_recorded_once(harness):
    # Guards against two stop orders for one server.
    stop = policy.Order('stop', {'instance': 'e1'})
    task, _ = harness.task(stop, stop)
    task.step()
    assert len(harness.control.orders.open_orders().unwrap()) == 1


@pytest.mark.parametrize(
    ('data_dir', 'replicas', 'expected'),
    [('/d', ('a',), True), (None, ('a',), False), (None, (), True)],
)
def test_daemons_with_a_disk_contend_for_the_lease(
    data_dir, replicas, expected
):
    # Guards against lease reads by every daemon, and against a system in
    # which no daemon takes the lease.
    cfg = types.SimpleNamespace(data_dir=data_dir, replicas=replicas)
    assert _control.contends_for_lease(cfg) is expected
