"""Planner task of the lease holder: starts, drains and stops backend servers.

The task builds the planner's view from the order book, the drains and the
instance list of this daemon, and executes the planner's decisions. Demand and
the rate of a server are both counted in concurrent requests.
"""

import returns.result

import paddle_coord
import paddle_kernel
from paddle_router import _events
from paddle_router import _instances
from paddle_router import policy

PLAN_TICK_MS = 1_000
# After this time every daemon has read a drain or has stopped admitting.
DRAIN_SETTLE_MS = 4_000
# Time in which the platform lists the server of an accepted start order;
# longer than the lag of its list.
LISTING_TIMEOUT_MS = 15_000
START = 'start'
STOP = 'stop'
DRAIN = 'drain'
KEEP = 'keep'


class PlanTask:
    """Plans periodically while this daemon holds the lease."""

    def __init__(self, cfg, control, drains, core, planner=None):
        self._cfg = cfg
        self._control = control
        self._drains = drains
        self._core = core
        self._planner = planner or policy.planners.create(cfg.planner)
        self._forecast = policy.DemandForecast()
        self._startup_time = policy.StartUpTime()
        self._lease_number = None
        self._drain_start_ms = {}
        self._first_seen_ms = {}
        self._refused_ms = {}
        self._order_states = {}

    def step(self):
        """Plan once; do nothing without the lease."""
        number = self._control.lease.number()
        if number != self._lease_number:
            self._reset(number)
        if number is None:
            return
        result = self._control.orders.listed()
        if not isinstance(result, returns.result.Success):
            return
        now_ms = self._core.clock.now_ms()
        orders = result.unwrap()
        self._record_order_progress(orders, now_ms)
        view = self._plan_view(orders, now_ms)
        if view is None:
            return
        for order in self._planner.plan(view):
            self._execute(order, number)

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'holds_lease': self._lease_number is not None,
            'demand': self._forecast.at(0),
            'start_up_ms': self._startup_time.value_ms(),
            'draining': self._drains.dump(),
        }

    def _reset(self, number):
        """Reset for another lease number; drains have to settle again."""
        self._lease_number = number
        self._drain_start_ms.clear()
        self._order_states.clear()

    def _record_order_progress(self, orders, now_ms):
        """Record start-up times and the server types that are refused."""
        listed = {
            item.order_id: item
            for item in self._core.instances.listed
            if item.order_id
        }
        for order in orders:
            if order.verb != START:
                continue
            args = dict(order.args)
            server_type = args['failure_domain'], args['cheap']
            previous_state = self._order_states.get(order.id)
            if order.state == paddle_coord.GIVEN_UP and previous_state in (
                paddle_coord.RECORDED,
                paddle_coord.SENT,
            ):
                self._refused_ms[server_type] = now_ms
            self._first_seen_ms.setdefault(order.id, now_ms)
            item = listed.get(order.id)
            if item is not None and item.state == _instances.LIVE:
                first_seen_ms = self._first_seen_ms[order.id]
                if first_seen_ms is not None and previous_state is not None:
                    self._startup_time.observe(now_ms - first_seen_ms)
                self._first_seen_ms[order.id] = None
            self._order_states[order.id] = order.state

    def _plan_view(self, orders, now_ms):
        """Return the :class:`PlanView`, ``None`` if demand is unknown."""
        demand = self._core.shares.demand_by_class()
        if demand is None:
            return None
        demand_by_tier = {}
        for name, count in demand.items():
            request_class = self._core.config.view.request_class(name)
            if request_class is not None:
                demand_by_tier[request_class.tier] = (
                    demand_by_tier.get(request_class.tier, 0) + count
                )
        for tier, rate in demand_by_tier.items():
            self._forecast.observe(tier, rate, now_ms)
        start_up_ms = self._startup_time.value_ms()
        return policy.PlanView(
            now_ms=now_ms,
            servers=self._plan_servers(orders, now_ms),
            offers=self._plan_offers(now_ms),
            demand=self._forecast.at(start_up_ms),
            server_rate=self._cfg.requests_per_server,
            start_up_ms=start_up_ms,
        )

    def _plan_offers(self, now_ms):
        offers = []
        for offer in self._cfg.offers:
            server_type = offer.failure_domain, offer.cheap
            refused_ms = self._refused_ms.get(server_type)
            available = (
                refused_ms is None
                or now_ms - refused_ms >= self._cfg.retry_offer_ms
            )
            offers.append(
                policy.Offer(
                    failure_domain=offer.failure_domain,
                    cheap=offer.cheap,
                    price=offer.price_per_hour,
                    available=available,
                )
            )
        return tuple(offers)

    def _plan_servers(self, orders, now_ms):
        """Return listed engines and started ones that are not listed yet."""
        servers = [
            self._plan_server(item, now_ms)
            for item in self._core.instances.listed
            if item.kind == _instances.ENGINE
        ]
        listed = {item.order_id for item in self._core.instances.listed}
        listed.discard(None)
        prices = {
            (item.failure_domain, item.cheap): item.price_per_hour
            for item in self._cfg.offers
        }
        for order in orders:
            if order.verb != START or order.id in listed:
                continue
            if not self._is_pending(order, now_ms):
                continue
            args = dict(order.args)
            server_type = args['failure_domain'], args['cheap']
            servers.append(
                policy.Server(
                    id=f'order {order.id}',
                    failure_domain=server_type[0],
                    cheap=server_type[1],
                    price=prices.get(server_type, 0.0),
                    state=policy.STARTING,
                )
            )
        return tuple(servers)

    def _is_pending(self, order, now_ms):
        """Return whether the server of a start order may still be listed.

        The platform lists the server of an accepted order within
        ``LISTING_TIMEOUT_MS``. After that time, an order without a listed
        server is taken for one whose server was listed and has left since.
        """
        if order.state in (paddle_coord.RECORDED, paddle_coord.SENT):
            return True
        if order.state == paddle_coord.GIVEN_UP:
            return False
        first_seen_ms = self._first_seen_ms.get(order.id)
        return (
            first_seen_ms is not None
            and now_ms - first_seen_ms < LISTING_TIMEOUT_MS
        )

    def _plan_server(self, item, now_ms):
        state, running = item.state, 0
        if item.id in self._drains.instances and state == _instances.LIVE:
            state = policy.DRAINING
            running = self._count_running(item, now_ms)
        return policy.Server(
            id=item.id,
            failure_domain=item.failure_domain,
            cheap=item.cheap,
            price=item.price_per_hour,
            state=state,
            running=running,
            loaded=frozenset(item.models),
        )

    def _count_running(self, item, now_ms):
        """Return the requests on a draining server, 1 if not known yet.

        Other daemons may still place requests until the drain has settled,
        and the load report is already some time old when it is read.
        """
        since_ms = self._drain_start_ms.setdefault(item.id, now_ms)
        report = self._core.engine_reports.get(item.id)
        if (
            report is None
            or now_ms - since_ms < DRAIN_SETTLE_MS + report.age_ms
        ):
            return 1
        return report.running + report.waiting

    def _execute(self, order, number):
        instance = order.args.get('instance')
        if order.verb == DRAIN:
            if self._drains.change(number, add=(instance,)):
                self._drain_start_ms[instance] = self._core.clock.now_ms()
        elif order.verb == KEEP:
            self._drains.change(number, remove=(instance,))
            self._drain_start_ms.pop(instance, None)
        else:
            self._record_order(order)
        paddle_kernel.emit(_events.PLANNED, verb=order.verb, **order.args)

    def _record_order(self, order):
        book = self._control.orders
        new_order = book.new_order(order.verb, order.args)
        if new_order is not None and not self._has_open_stop(order):
            book.record(new_order)

    def _has_open_stop(self, order):
        """Return whether ``order`` is a stop that is already open."""
        if order.verb != STOP:
            return False
        result = self._control.orders.open_orders()
        args = tuple(sorted(order.args.items()))
        return any(
            item.verb == STOP and item.args == args
            for item in result.value_or(())
        )


def from_settings(settings, control, drains, core):
    """Return the :class:`PlanTask`, ``None`` without planner settings."""
    if settings.planner is None:
        return None
    return PlanTask(settings.planner, control, drains, core)
