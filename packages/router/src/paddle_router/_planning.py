"""Planner task of the holder of the lease: orders backend servers.

It translates between the planner's pure decisions and the order book, the
drains and the lists of this daemon. Demand and the rate of a server are both
counted in concurrent requests.
"""

import returns.result

import paddle_coord
import paddle_kernel
from paddle_router import _events
from paddle_router import _instances
from paddle_router import policy

PLAN_TICK_MS = 1_000
# After this time every daemon knows of a drain or has stopped admitting.
SETTLE_MS = 4_000
# Longer than the lag of the platform's list.
LISTED_WITHIN_MS = 15_000
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
        self._start_up = policy.StartUpTime()
        self._number = None
        self._drained_ms = {}
        self._started_ms = {}
        self._refused_ms = {}
        self._known_orders = {}

    def step(self):
        """Plan once; do nothing without the lease."""
        number = self._control.lease.number()
        if number != self._number:
            self._forget(number)
        if number is None:
            return
        result = self._control.orders.listed()
        if not isinstance(result, returns.result.Success):
            return
        now_ms = self._core.clock.now_ms()
        orders = result.unwrap()
        self._note_orders(orders, now_ms)
        view = self._view(orders, now_ms)
        if view is None:
            return
        for order in self._planner.plan(view):
            self._carry_out(order, number)

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'holds_lease': self._number is not None,
            'demand': self._forecast.at(0),
            'start_up_ms': self._start_up.value_ms(),
            'draining': self._drains.dump(),
        }

    def _forget(self, number):
        """Start anew under another number; drains begin to settle again."""
        self._number = number
        self._drained_ms.clear()
        self._known_orders.clear()

    def _note_orders(self, orders, now_ms):
        """Learn start-up times and which sorts the platform refuses."""
        listed = {
            item.order_id: item
            for item in self._core.instances.listed
            if item.order_id
        }
        for order in orders:
            if order.verb != START:
                continue
            args = dict(order.args)
            kind = args['failure_domain'], args['cheap']
            before = self._known_orders.get(order.id)
            if order.state == paddle_coord.GIVEN_UP and before in (
                paddle_coord.RECORDED,
                paddle_coord.SENT,
            ):
                self._refused_ms[kind] = now_ms
            self._started_ms.setdefault(order.id, now_ms)
            item = listed.get(order.id)
            if item is not None and item.state == _instances.LIVE:
                began_ms = self._started_ms[order.id]
                if began_ms is not None and before is not None:
                    self._start_up.observe(now_ms - began_ms)
                self._started_ms[order.id] = None
            self._known_orders[order.id] = order.state

    def _view(self, orders, now_ms):
        """Return the :class:`PlanView`, ``None`` without known demand."""
        demand = self._core.shares.demand_by_class()
        if demand is None:
            return None
        by_tier = {}
        for name, count in demand.items():
            found = self._core.config.view.request_class(name)
            if found is not None:
                by_tier[found.tier] = by_tier.get(found.tier, 0) + count
        for tier, rate in by_tier.items():
            self._forecast.observe(tier, rate, now_ms)
        start_up_ms = self._start_up.value_ms()
        return policy.PlanView(
            now_ms=now_ms,
            servers=self._servers(orders, now_ms),
            offers=self._offers(now_ms),
            demand=self._forecast.at(start_up_ms),
            server_rate=self._cfg.requests_per_server,
            start_up_ms=start_up_ms,
        )

    def _offers(self, now_ms):
        offers = []
        for offer in self._cfg.offers:
            kind = offer.failure_domain, offer.cheap
            refused_ms = self._refused_ms.get(kind)
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

    def _servers(self, orders, now_ms):
        """Return listed engines and open starts that are not listed yet."""
        servers = [
            self._server(item, now_ms)
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
            kind = args['failure_domain'], args['cheap']
            servers.append(
                policy.Server(
                    id=f'order {order.id}',
                    failure_domain=kind[0],
                    cheap=kind[1],
                    price=prices.get(kind, 0.0),
                    state=policy.STARTING,
                )
            )
        return tuple(servers)

    def _is_pending(self, order, now_ms):
        """Whether the server of a start order may still appear.

        The platform lists an accepted start within its usual lag; later the
        server was listed and has left since.
        """
        if order.state in (paddle_coord.RECORDED, paddle_coord.SENT):
            return True
        if order.state == paddle_coord.GIVEN_UP:
            return False
        seen_ms = self._started_ms.get(order.id)
        return seen_ms is not None and now_ms - seen_ms < LISTED_WITHIN_MS

    def _server(self, item, now_ms):
        state, running = item.state, 0
        if item.id in self._drains.instances and state == _instances.LIVE:
            state = policy.DRAINING
            running = self._running(item, now_ms)
        return policy.Server(
            id=item.id,
            failure_domain=item.failure_domain,
            cheap=item.cheap,
            price=item.price_per_hour,
            state=state,
            running=running,
            loaded=frozenset(item.models),
        )

    def _running(self, item, now_ms):
        """Return the requests on a draining server, at least 1 if unsure.

        Other daemons may still place requests until the drain has settled,
        and the report lags behind.
        """
        since_ms = self._drained_ms.setdefault(item.id, now_ms)
        report = self._core.engine_reports.get(item.id)
        if report is None or now_ms - since_ms < SETTLE_MS + report.age_ms:
            return 1
        return report.running + report.waiting

    def _carry_out(self, order, number):
        instance = order.args.get('instance')
        if order.verb == DRAIN:
            if self._drains.change(number, add=(instance,)):
                self._drained_ms[instance] = self._core.clock.now_ms()
        elif order.verb == KEEP:
            self._drains.change(number, remove=(instance,))
            self._drained_ms.pop(instance, None)
        else:
            self._record(order)
        paddle_kernel.emit(_events.PLANNED, verb=order.verb, **order.args)

    def _record(self, order):
        book = self._control.orders
        new = book.new_order(order.verb, order.args)
        if new is not None and not self._is_open(order):
            book.record(new)

    def _is_open(self, order):
        """Whether a stop of the same instance is on its way."""
        if order.verb != STOP:
            return False
        result = self._control.orders.open_orders()
        wanted = tuple(sorted(order.args.items()))
        return any(
            item.verb == STOP and item.args == wanted
            for item in result.value_or(())
        )


def from_settings(settings, control, drains, core):
    """Return the :class:`PlanTask`, ``None`` when nothing may be ordered."""
    if settings.planner is None:
        return None
    return PlanTask(settings.planner, control, drains, core)
