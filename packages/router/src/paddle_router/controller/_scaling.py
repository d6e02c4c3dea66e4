"""Orders the wanted number of backend servers, under the lease.

Orders are numbers, not steps, so that one carried out late or twice does no
lasting harm: what the platform lists is compared with what is wanted, and a
difference that stays is ordered again.
"""

import collections

import attrs

import paddle_kernel
from paddle_router.controller import _events
from paddle_router.controller import _platform
from paddle_router import policy

# Beyond the start-up time, the time that the list lags and one order takes.
LIST_SLACK_MS = 3_000
# Servers of the dearer sort are given back only once the others serve.
RETRY_MS = 1_500


@attrs.define
class _Sent:
    count: int
    at_ms: int
    confirmed: bool


class ScalingDuty:
    """Keeps the number of servers near what the policy wants."""

    def __init__(self, parts):
        self._parts = parts
        self._sizes = collections.defaultdict(policy.FleetSize)
        self._sent = {}

    def step(self):
        """Order what is due; call about once a second."""
        fenced_sender = self._parts.fenced_sender
        configuration = self._parts.configuration()
        fleet = self._parts.fleet
        if fenced_sender.number() is None:
            self._sent.clear()
            self._sizes.clear()
            return
        if configuration is None or not fleet.is_informed:
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
        now_ms = self._parts.clock.now_ms()
        existing = self._existing(service)
        going = self._going(service)
        wanted = self._sizes[service.name].wanted(
            self._demand(service), _bounds(service), existing, now_ms
        )
        # Servers are given back only while enough others serve already.
        spare = max(
            0, sum(existing.values()) - self._sizes[service.name].least
        )
        taken = self._firm_places(service)
        for kind, count in sorted(wanted.items(), key=lambda i: not i[0][1]):
            domain, cheap = kind
            if cheap:
                # The platform cuts an order above the maximum of both sorts
                # and does not make up for it later.
                most = service.scaling.maximum - taken[domain]
                key = (service.name, domain, cheap)
                sent = self._sent.get(key)
                least = max(existing[kind], sent.count if sent else 0)
                count = min(count, max(least, most))
            surplus = max(0, existing[kind] - count)
            count += max(0, surplus - spare)
            spare -= min(surplus, spare)
            # The platform still counts those that it does not list so.
            extra = going[kind]
            self._order(
                service,
                kind,
                min(count + extra, service.scaling.maximum),
                existing[kind] + extra,
                now_ms,
            )

    def _firm_places(self, service):
        """Return the firm servers by domain, leaving ones included."""
        return collections.Counter(
            item.domain
            for item in self._parts.fleet.servers
            if item.service == service.name and not item.spot
        )

    def _existing(self, service):
        return collections.Counter(
            (item.domain, item.spot)
            for item in self._parts.fleet.servers
            if item.service == service.name and not item.leaving
        )

    def _going(self, service):
        """Count the servers that only said in answers that they leave."""
        heard = set(self._parts.fleet.list.leaving())
        return collections.Counter(
            (item.domain, item.spot)
            for item in self._parts.fleet.servers
            if item.service == service.name and item.incarnation in heard
        )

    def _demand(self, service):
        fleet = self._parts.fleet
        ids = {
            item.id for item in fleet.servers if item.service == service.name
        }
        flights = [
            item
            for key, item in self._parts.exchange.sums.all_flights().items()
            if key in ids
        ]
        slots = [item.slots for item in fleet.servers if item.id in ids]
        return policy.Demand(
            read_rate=sum(item.read_rate for item in flights),
            running=sum(item.running for item in flights),
            server_rate=fleet.server_rate() or policy.DEFAULT_SERVER_RATE,
            slots=min(slots, default=1),
        )

    def _order(self, service, kind, count, existing, now_ms):
        domain, cheap = kind
        key = (service.name, domain, cheap)
        sent = self._sent.get(key)
        if sent is None and existing == count:
            return
        if sent is not None and existing <= count < sent.count:
            # The servers of the earlier order have not started yet.
            if now_ms - sent.at_ms < service.scaling.boot_ms + LIST_SLACK_MS:
                return
        if sent is not None and sent.count == count:
            settle_ms = RETRY_MS
            if sent.confirmed:
                settle_ms = service.scaling.boot_ms + LIST_SLACK_MS
            if existing == count or now_ms - sent.at_ms < settle_ms:
                return
        if not self._sizes[service.name].is_available(kind, now_ms):
            return
        order = _platform.CountOrder(
            service=service.name, domain=domain, count=count, spot=cheap
        )
        self._send(order, key, existing, now_ms)

    def _send(self, order, key, existing, now_ms):
        receipt = self._parts.fenced_sender.send(
            lambda conn, number, timeout_ms: (
                self._parts.platform.order_servers(
                    conn, order, number, timeout_ms
                )
            )
        )
        accepted = receipt is not None and receipt.accepted
        self._sent[key] = _Sent(order.count, now_ms, accepted)
        if receipt is not None and receipt.unavailable:
            self._sizes[order.service].mark_unavailable(key[1:], now_ms)
        paddle_kernel.emit(
            _events.SERVERS_ORDERED if accepted else _events.ORDER_FAILED,
            service=order.service,
            domain=order.domain,
            cheap=order.spot,
            count=order.count,
            existing=existing,
            detail='no answer' if receipt is None else receipt.detail,
        )


def _bounds(service):
    scaling = service.scaling
    return policy.FleetBounds(
        minimum=scaling.minimum,
        maximum=scaling.maximum,
        prices=scaling.prices,
        cheap_part=scaling.spot_price,
    )
