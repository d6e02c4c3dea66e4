"""Orders of backend servers, sent by the lease holder.

An order gives the desired number of servers, not a change, so an order that
is carried out late or twice does no lasting harm: the listed servers are
compared with the desired number, and a remaining difference is ordered again.
"""

import collections

import attrs

import paddle_kernel
from paddle_router.controller import _events
from paddle_router.controller import _platform
from paddle_router import policy

# Added to the start-up time: lag of the list plus the duration of one order.
LIST_SLACK_MS = 3_000
# Servers of the more expensive kind are released only once the others serve.
RETRY_PERIOD_MS = 1_500


@attrs.define
class _SentOrder:
    count: int
    at_ms: int
    confirmed: bool


class ScalingDuty:
    """Keeps the number of servers near the policy's desired number."""

    def __init__(self, controller):
        self._controller = controller
        self._fleet_sizes = collections.defaultdict(policy.FleetSize)
        self._sent = {}

    def step(self):
        """Send the orders that are due; call about once a second."""
        fenced_sender = self._controller.fenced_sender
        configuration = self._controller.configuration()
        fleet = self._controller.fleet
        if fenced_sender.number() is None:
            self._sent.clear()
            self._fleet_sizes.clear()
            return
        if configuration is None or not fleet.has_collected_reports:
            return
        if not self._controller.evacuations.is_known:
            return
        for service in configuration.services.values():
            if service.scaling is not None:
                self._plan(service)

    def dump(self):
        """Return plain data for the state dump."""
        return {
            f'{service}/{domain}/{"cheap" if cheap else "firm"}': sent.count
            for (service, domain, cheap), sent in self._sent.items()
        }

    def _plan(self, service):
        now_ms = self._controller.clock.now_ms()
        # The platform's operator releases the servers of an evacuated domain.
        # Their load counts as demand for servers in the others.
        evacuated = self._controller.evacuations.domains
        bounds = _fleet_bounds(service, evacuated)
        for key in [
            key
            for key in self._sent
            if key[0] == service.name and key[1] in evacuated
        ]:
            del self._sent[key]
        if not bounds.prices:
            return
        existing = self._existing_counts(service, evacuated)
        leaving = self._leaving_by_notice_counts(service)
        wanted = self._fleet_sizes[service.name].wanted(
            self._demand(service), bounds, existing, now_ms
        )
        # Servers are released only while enough others already serve.
        spare = max(
            0,
            sum(existing.values())
            - self._fleet_sizes[service.name].min_servers,
        )
        on_demand = self._on_demand_counts(service)
        for kind, count in sorted(
            wanted.items(), key=lambda entry: not entry[0][1]
        ):
            domain, cheap = kind
            if cheap:
                # The platform truncates an order that exceeds the maximum of
                # spot and on-demand servers together, and does not start the
                # missing servers later.
                spot_limit = service.scaling.maximum - on_demand[domain]
                key = (service.name, domain, cheap)
                sent = self._sent.get(key)
                spot_minimum = max(existing[kind], sent.count if sent else 0)
                count = min(count, max(spot_minimum, spot_limit))
            surplus = max(0, existing[kind] - count)
            count += max(0, surplus - spare)
            spare -= min(surplus, spare)
            # The platform still counts servers that have announced to leave
            # but are not listed as leaving.
            leaving_count = leaving[kind]
            self._order_if_needed(
                service,
                kind,
                min(count + leaving_count, service.scaling.maximum),
                existing[kind] + leaving_count,
                now_ms,
            )

    def _on_demand_counts(self, service):
        """Count the on-demand servers by domain, leaving ones included."""
        return collections.Counter(
            item.domain
            for item in self._controller.fleet.servers
            if item.service == service.name and not item.spot
        )

    def _existing_counts(self, service, evacuated):
        return collections.Counter(
            (item.domain, item.spot)
            for item in self._controller.fleet.servers
            if item.service == service.name
            and not item.leaving
            and item.domain not in evacuated
        )

    def _leaving_by_notice_counts(self, service):
        """Count the servers that leave by notice but are listed as ready."""
        incarnations = set(self._controller.fleet.list.leaving_by_notice())
        return collections.Counter(
            (item.domain, item.spot)
            for item in self._controller.fleet.servers
            if item.service == service.name
            and item.incarnation in incarnations
        )

    def _demand(self, service):
        fleet = self._controller.fleet
        ids = {
            item.id for item in fleet.servers if item.service == service.name
        }
        loads = [
            item
            for key, item in self._controller.exchange.sums.all_loads().items()
            if key in ids
        ]
        slots = [item.slots for item in fleet.servers if item.id in ids]
        return policy.Demand(
            read_rate=sum(item.read_rate for item in loads),
            running=sum(item.running for item in loads),
            server_rate=fleet.server_rate() or policy.DEFAULT_SERVER_RATE,
            slots=min(slots, default=1),
        )

    def _order_if_needed(self, service, kind, count, existing, now_ms):
        domain, cheap = kind
        key = (service.name, domain, cheap)
        sent = self._sent.get(key)
        if sent is None and existing == count:
            return
        if sent is not None and existing <= count < sent.count:
            # The servers of the earlier order may not have started yet.
            if now_ms - sent.at_ms < service.scaling.boot_ms + LIST_SLACK_MS:
                return
        if sent is not None and sent.count == count:
            wait_ms = RETRY_PERIOD_MS
            if sent.confirmed:
                wait_ms = service.scaling.boot_ms + LIST_SLACK_MS
            if existing == count or now_ms - sent.at_ms < wait_ms:
                return
        if not self._fleet_sizes[service.name].is_available(kind, now_ms):
            return
        order = _platform.CountOrder(
            service=service.name, domain=domain, count=count, spot=cheap
        )
        self._send(order, key, existing, now_ms)

    def _send(self, order, key, existing, now_ms):
        receipt = self._controller.fenced_sender.send(
            lambda conn, number, timeout_ms: (
                self._controller.platform.order_servers(
                    conn, order, number, timeout_ms
                )
            )
        )
        accepted = receipt is not None and receipt.accepted
        self._sent[key] = _SentOrder(order.count, now_ms, accepted)
        if receipt is not None and receipt.unavailable:
            self._fleet_sizes[order.service].mark_unavailable(key[1:], now_ms)
        paddle_kernel.emit(
            _events.SERVERS_ORDERED if accepted else _events.ORDER_FAILED,
            service=order.service,
            domain=order.domain,
            cheap=order.spot,
            count=order.count,
            existing=existing,
            detail='no answer' if receipt is None else receipt.detail,
        )


def _fleet_bounds(service, evacuated):
    """Return the bounds for the domains that are not evacuated."""
    scaling = service.scaling
    return policy.FleetBounds(
        minimum=scaling.minimum,
        maximum=scaling.maximum,
        prices={
            domain: price
            for domain, price in scaling.prices.items()
            if domain not in evacuated
        },
        cheap_price_ratio=scaling.spot_price,
    )
