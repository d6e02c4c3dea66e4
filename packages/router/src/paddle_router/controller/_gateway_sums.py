"""Exchange of load sums between the controllers.

Each gateway reports to a controller near it. A controller relays the sums
over its own gateways to the lease holder and receives the sums over all other
gateways. A controller's cost therefore depends only on its own gateways, and
the lease holder handles one message per period from each controller, however
many gateways there are.

Apart from network latency, the load of another controller's gateway in the
totals is at most as old as two relay periods, the time between two exchanges
of a gateway and ``SNAPSHOT_MAX_AGE_MS`` together.
"""

import attrs

from paddle_router.controller import _expiring_map
from paddle_router.controller import _load_sums
from paddle_router import gateway

RELAY_PERIOD_MS = 150
# A controller without a report for this long is not announced to gateways, and
# its sums are dropped. One lost report is tolerated.
PEER_EXPIRY_MS = 1_000
# The lease holder's sums are used for this long after its last reply; a
# successor takes over within 3 s.
REMOTE_LOADS_EXPIRY_MS = 2_000
# The lease holder's count of gateways is used for this long, also while the
# holder changes. Gateways that have stopped meanwhile only make the shares of
# the retry budget smaller.
GATEWAY_COUNT_EXPIRY_MS = 10_000
# Encoded totals are reused for all replies within this time.
SNAPSHOT_MAX_AGE_MS = 50


@attrs.frozen
class _PeerReport:
    location: gateway.ControllerLocation
    loads: tuple
    demands: tuple


@attrs.frozen(kw_only=True)
class _Snapshot:
    """Encoded totals, and the gateways' reports that they contain."""

    loads: bytes
    extra_loads: bytes
    demands: tuple
    sequences: dict


class GatewaySums:
    """Sums over the gateways of all controllers, kept by each controller.

    ``fleet`` holds the gateways of this controller, ``location`` is its
    address and failure domain.
    """

    def __init__(self, location, fleet, clock):
        self._location = location
        self._fleet = fleet
        self._clock = clock
        # Reports of other controllers, received while holding the lease.
        self._peer_reports = _expiring_map.ExpiringMap()
        self._sums = _load_sums.LoadSums()
        self._demand_sums = _load_sums.DemandSums()
        # Last reply of the lease holder and the time of its request.
        self._reply = None
        self._remote_loads = ()
        self._remote_demands = ()
        self._reply_requested_ms = None
        self._gateway_count = 0
        self._gateway_count_ms = None
        # Positions of the own gateways as the lease holder numbers them.
        self._positions = {}
        self._holder = None
        self._confirmed_usage = {}
        self._snapshot = None
        self._snapshot_ms = None

    # While holding the lease

    def add_report(self, report):
        """Store the sums that another controller reported."""
        self._reply = self._reply_requested_ms = None
        self._positions = {}
        peer_report = _PeerReport(
            report.place,
            gateway.unpack_loads(report.loads, report.extra_loads),
            report.demands,
        )
        now_ms = self._clock.now_ms()
        previous = self._peer_reports.put(
            report.place.address, peer_report, now_ms
        )
        if previous is not None:
            self._sums.remove(previous.loads)
            self._demand_sums.remove(previous.demands)
        self._sums.add(peer_report.loads)
        self._demand_sums.add(peer_report.demands)
        self._fleet.add_relayed_reports(report.fronts)
        self._fleet.list.mark_leaving(report.leaving, report.place.address)

    def loads_excluding(self, address):
        """Return the load sums without the controller at ``address``."""
        self._expire_peers()
        sums = self._sums.copy()
        peer_report = self._peer_reports.get(address)
        if peer_report is not None:
            sums.remove(peer_report.loads)
        sums.add(self._fleet.loads().values())
        return tuple(sums.loads().values())

    def demands_excluding(self, address):
        """Return the demand sums without the controller at ``address``."""
        self._expire_peers()
        sums = self._demand_sums.copy()
        peer_report = self._peer_reports.get(address)
        if peer_report is not None:
            sums.remove(peer_report.demands)
        sums.add(self._fleet.demands())
        return sums.demands()

    # While another controller holds the lease

    def report(self, holder, version):
        """Return a :class:`ControllerReport` for the lease holder."""
        if holder != self._holder:
            # A new holder has not received any usage counts from here.
            self._holder = holder
            self._confirmed_usage = {}
        loads = tuple(self._fleet.loads().values())
        return gateway.ControllerReport(
            place=self._location,
            fronts=self._fleet.reports_to_relay(self._confirmed_usage),
            loads=gateway.pack_loads(loads),
            extra_loads=gateway.pack_extra_loads(loads),
            demands=self._fleet.demands(),
            version=version,
            listing=self._fleet.listing,
            leaving=self._fleet.list.leaving_by_notice(),
        )

    def apply_reply(self, report, reply, requested_ms):
        """Store the lease holder's reply to ``report``."""
        self._reply = reply
        self._remote_loads = gateway.unpack_loads(
            reply.loads, reply.extra_loads
        )
        self._remote_demands = reply.demands
        self._reply_requested_ms = requested_ms
        self._gateway_count = reply.fronts
        self._gateway_count_ms = requested_ms
        self._fleet.set_expected_gateways(reply.reporting)
        self._positions = {
            relayed.incarnation: position
            for relayed, position in zip(
                report.fronts, reply.positions, strict=False
            )
        }
        self._expire_peers_before(self._clock.now_ms() + 1)
        for relayed in report.fronts:
            confirmed = self._confirmed_usage.setdefault(
                relayed.incarnation, {}
            )
            for item in relayed.usage:
                confirmed[item.window, item.customer] = item.requests
        counted = self._fleet.incarnations()
        for incarnation in set(self._confirmed_usage) - counted:
            del self._confirmed_usage[incarnation]

    def reply_age_ms(self):
        """Return the age of the last reply, ``None`` if there is none."""
        if self._reply_requested_ms is None:
            return None
        return self._clock.now_ms() - self._reply_requested_ms

    # For gateways

    def controllers(self):
        """Return the live controllers, including this one."""
        self._expire_peers()
        controllers = {self._location.address: self._location}
        if self._has_reply():
            controllers.update(
                (item.address, item) for item in self._reply.controllers
            )
        for peer_report in self._peer_reports.values():
            controllers[peer_report.location.address] = peer_report.location
        return tuple(controllers[key] for key in sorted(controllers))

    def gateway_count(self, controllers):
        """Return the number of gateways at all controllers.

        Without a count from the lease holder, each of the ``controllers`` is
        assumed to serve as many gateways as this one: too small a number
        would give each gateway too large a share of the retry budget, which
        could then be exceeded.
        """
        local_count = self._fleet.gateway_count()
        now_ms = self._clock.now_ms()
        if (
            self._gateway_count_ms is not None
            and now_ms - self._gateway_count_ms < GATEWAY_COUNT_EXPIRY_MS
        ):
            return max(local_count, self._gateway_count)
        if len(self._peer_reports):
            return local_count
        return local_count * max(1, controllers)

    def position(self, report, holds_lease):
        """Return the position of the gateway that sent ``report``.

        It is counted over the gateways of all controllers, from 1; 0 if the
        lease holder has not told it yet.
        """
        if holds_lease:
            return self._fleet.position(report.name)
        return self._positions.get(report.incarnation, 0)

    def turn(self, holds_lease):
        """Return the number of positions and until when they are exclusive."""
        if holds_lease:
            return self._fleet.turn()
        if self._reply is None:
            return 0, 0
        return self._reply.turn_count, self._reply.turn_until_ms

    def totals(self, incarnation):
        """Return the encoded totals and the gateway's sequence in them.

        The sequence is that of the last report of the gateway ``incarnation``
        that the totals contain, 0 if there is none.
        """
        now_ms = self._clock.now_ms()
        if (
            self._snapshot is None
            or now_ms - self._snapshot_ms >= SNAPSHOT_MAX_AGE_MS
            or incarnation not in self._snapshot.sequences
        ):
            self._snapshot = self._take_snapshot()
            self._snapshot_ms = now_ms
        sequence = self._snapshot.sequences.get(incarnation, 0)
        return self._snapshot.loads, sequence

    def extra_totals(self):
        """Return the further columns of the last :meth:`totals`, encoded."""
        return b'' if self._snapshot is None else self._snapshot.extra_loads

    def total_demands(self):
        """Return the demands of the last :meth:`totals`."""
        return () if self._snapshot is None else self._snapshot.demands

    def all_demands(self):
        """Return the demand summed over all gateways."""
        self._expire_peers()
        sums = self._demand_sums.copy()
        sums.add(self._fleet.demands())
        if self._has_reply():
            sums.add(self._remote_demands)
        return sums.demands()

    def all_loads(self):
        """Return the load summed over all gateways, by server id."""
        self._expire_peers()
        sums = self._sums.copy()
        sums.add(self._fleet.loads().values())
        if self._has_reply():
            sums.add(self._remote_loads)
        return sums.loads()

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'controllers': [attrs.asdict(item) for item in self.controllers()],
            'reply_age_ms': self.reply_age_ms(),
        }

    def _take_snapshot(self):
        loads = tuple(self.all_loads().values())
        return _Snapshot(
            loads=gateway.pack_loads(loads),
            extra_loads=gateway.pack_extra_loads(loads),
            demands=self.all_demands(),
            sequences=self._fleet.sequences(),
        )

    def _has_reply(self):
        age_ms = self.reply_age_ms()
        return age_ms is not None and age_ms < REMOTE_LOADS_EXPIRY_MS

    def _expire_peers(self):
        self._expire_peers_before(self._clock.now_ms() - PEER_EXPIRY_MS)

    def _expire_peers_before(self, limit_ms):
        for peer_report in self._peer_reports.expire_before(limit_ms):
            self._sums.remove(peer_report.loads)
            self._demand_sums.remove(peer_report.demands)
