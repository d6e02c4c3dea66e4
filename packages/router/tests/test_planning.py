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
    """Returns the given orders once and keeps the views."""

    def __init__(self, *orders):
        self.orders = list(orders)
        self.views = []

    def plan(self, view):
        self.views.append(view)
        orders, self.orders = self.orders, []
        return orders


class Shares:
    def demand_by_class(self):
        return {'chat': 5}


class View:
    def request_class(self, name):
        return policy.ClassPolicy(tier=1)


class Source:
    view = View()


class Core:
    def __init__(self, clock):
        self.clock = clock
        self.shares = Shares()
        self.config = Source()
        self.engine_reports = {}
        self.instances = _instances.InstanceList(None, '', clock=clock)


class Control:
    def __init__(self, register, clock, holder):
        self.lease = coord.Lease(register, clock, holder)
        self.orders = coord.OrderBook(register, self.lease, clock)


@attrs.define
class World:
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
        """Move the clock in steps that keep the lease."""
        for _ in range(duration_ms // 500):
            self.clock.advance(500)
            self.control.lease.tick()


@pytest.fixture
def world():
    clock = kernel.FakeClock()
    register = coord.MemoryRegister()
    core = Core(clock)
    control = Control(register, clock, 'holder')
    drains = _drains.DrainList(register, core.instances.set_draining)
    control.lease.tick()
    assert control.lease.number() is not None
    return World(clock, register, core, control, drains)


def _engine(name, **options):
    return _instances.Instance(id=name, address='127.0.0.1:1', **options)


def _start(world):
    args = {'failure_domain': 'a', 'cheap': False}
    task, planner = world.task(policy.Order('start', args))
    task.step()
    return task, planner


def test_nothing_is_planned_without_the_lease(world):
    # Guards against two processes that both order servers.
    task, planner = world.task()
    world.clock.advance(60_000)
    task.step()
    assert planner.views == []


def test_recorded_start_counts_as_a_starting_server(world):
    # Guards against a second start for the same need.
    task, planner = _start(world)
    task.step()
    (server,) = planner.views[-1].servers
    assert server.state == policy.STARTING
    assert len(world.control.orders.open_orders().unwrap()) == 1


def test_accepted_start_that_never_appears_stops_counting(world):
    # Guards against a server that is missing for good but still counted.
    task, planner = _start(world)
    (order,) = world.control.orders.open_orders().unwrap()
    world.control.orders.finish(order.id)
    task.step()
    assert len(planner.views[-1].servers) == 1
    world.advance(_planning.LISTING_TIMEOUT_MS)
    task.step()
    assert planner.views[-1].servers == ()


def test_refused_sort_of_server_is_not_offered_for_a_while(world):
    # Guards against an order per second for servers that are not to be had.
    task, planner = _start(world)
    task.step()
    (order,) = world.control.orders.open_orders().unwrap()
    world.control.orders.give_up(order.id)
    task.step()
    assert not planner.views[-1].offers[0].available
    world.advance(CFG.retry_offer_ms)
    task.step()
    assert planner.views[-1].offers[0].available


def test_drained_server_counts_as_busy_until_the_drain_has_settled(world):
    # Guards against a stop that cuts requests which other daemons placed.
    world.core.instances.replace([_engine('e1')])
    world.core.engine_reports['e1'] = policy.LoadReport(age_ms=500)
    task, planner = world.task(policy.Order('drain', {'instance': 'e1'}))
    task.step()
    assert world.core.instances.engines('small') == []
    assert world.core.instances.instances[0].state == _instances.LEAVING
    task.step()
    assert planner.views[-1].servers[0].running == 1
    world.advance(_planning.DRAIN_SETTLE_MS + 500)
    task.step()
    assert planner.views[-1].servers[0].running == 0


def test_drain_by_an_older_number_is_rejected(world):
    # Guards against a former holder that drains servers of its successor.
    assert world.drains.change(5, add=('e1',))
    assert not world.drains.change(4, add=('e2',))
    assert world.drains.instances == {'e1'}


def test_stop_is_recorded_once(world):
    # Guards against two stop orders for one server.
    stop = policy.Order('stop', {'instance': 'e1'})
    task, _ = world.task(stop, stop)
    task.step()
    assert len(world.control.orders.open_orders().unwrap()) == 1


@pytest.mark.parametrize(
    ('data_dir', 'replicas', 'expected'),
    [('/d', ('a',), True), (None, ('a',), False), (None, (), True)],
)
def test_daemons_with_a_disk_contend_for_the_lease(
    data_dir, replicas, expected
):
    # Guards against control traffic of every daemon, and against a system
    # in which none takes the lease.
    cfg = types.SimpleNamespace(data_dir=data_dir, replicas=replicas)
    assert _control.contends_for_lease(cfg) is expected
