"""Exchange of sums between the controllers.

Each gateway reports to a controller near it. A controller passes the sums
over its own gateways on to the one in charge and gets those over all others
back, so each pays for its own gateways and the one in charge for one message
a period from each controller, however many gateways there are.

The load of another controller's gateway in the totals is as old as two
periods, the time between two exchanges of a gateway and ``SNAPSHOT_MS`` at
most, without the time on the way.
"""

import attrs

from paddle_router.controller import _expiring_map
from paddle_router.controller import _load_sums
from paddle_router import gateway

REPORT_MS = 150
# A controller that did not report for this long is not named to gateways, and
# its sums end; one report may be lost.
LIVE_MS = 1_000
# Sums of the one in charge are used for this long after it was last heard of;
# a successor takes over within 3 s.
REMOTE_MS = 2_000
# The number of gateways that the one in charge counted is kept for this long,
# also over a change of the holder; gateways that left only make the shares of
# the retry budget smaller meanwhile.
GATEWAY_COUNT_MS = 10_000
# Totals are encoded once for all replies within this time.
SNAPSHOT_MS = 50


@attrs.frozen
class _Part:
    place: gateway.ControllerLocation
    flights: tuple


class GatewaySums:
    """Sums over the gateways of all controllers, as one of them knows them.

    ``fleet`` holds the gateways of this one.
    """

    def __init__(self, place, fleet, clock):
        self._place = place
        self._fleet = fleet
        self._clock = clock
        # Reports of others to this controller, while it is in charge.
        self._parts = _expiring_map.ExpiringMap()
        self._sums = _load_sums.LoadSums()
        # The last reply of the one in charge, and when it was asked for.
        self._reply = None
        self._remote = ()
        self._reply_ms = None
        self._gateway_count = 0
        self._gateway_count_ms = None
        self._holder = None
        self._confirmed_usage = {}
        self._snapshot = None
        self._snapshot_ms = None

    # In charge

    def add_report(self, report):
        """Keep the sums that another controller reported."""
        self._reply = self._reply_ms = None
        part = _Part(report.place, gateway.unpack_loads(report.loads))
        now_ms = self._clock.now_ms()
        previous = self._parts.put(report.place.address, part, now_ms)
        if previous is not None:
            self._sums.remove(previous.flights)
        self._sums.add(part.flights)
        self._fleet.add_relayed_reports(report.fronts)
        self._fleet.list.mark_leaving(report.leaving, report.place.address)

    def flights_for(self, address):
        """Return the sums over the gateways of all but ``address``."""
        self._end_parts()
        sums = self._sums.copy()
        part = self._parts.get(address)
        if part is not None:
            sums.remove(part.flights)
        sums.add(self._fleet.flights().values())
        return tuple(sums.flights().values())

    # Not in charge

    def report(self, holder, version):
        """Return the :class:`ControllerReport` for ``holder`` of the lease."""
        if holder != self._holder:
            # Another process knows no counts of these gateways yet.
            self._holder = holder
            self._confirmed_usage = {}
        return gateway.ControllerReport(
            place=self._place,
            fronts=self._fleet.reports_to_relay(self._confirmed_usage),
            loads=gateway.pack_loads(self._fleet.flights().values()),
            version=version,
            listing=self._fleet.listing,
            leaving=self._fleet.list.leaving(),
        )

    def apply_reply(self, report, reply, asked_ms):
        """Keep what the one in charge answered to ``report``."""
        self._reply = reply
        self._remote = gateway.unpack_loads(reply.loads)
        self._reply_ms = asked_ms
        self._gateway_count = reply.fronts
        self._gateway_count_ms = asked_ms
        self._fleet.expect_reports(reply.reporting)
        self._drop_parts(self._clock.now_ms() + 1)
        for relayed in report.fronts:
            known = self._confirmed_usage.setdefault(relayed.incarnation, {})
            for item in relayed.usage:
                known[item.window, item.customer] = item.requests
        live = self._fleet.incarnations()
        for incarnation in set(self._confirmed_usage) - live:
            del self._confirmed_usage[incarnation]

    def reply_age_ms(self):
        """Return the age of the last reply, ``None`` without one."""
        if self._reply_ms is None:
            return None
        return self._clock.now_ms() - self._reply_ms

    # For gateways

    def controllers(self):
        """Return the controllers heard of lately, this one included."""
        self._end_parts()
        controllers = {self._place.address: self._place}
        if self._has_reply():
            controllers.update((x.address, x) for x in self._reply.controllers)
        for part in self._parts.values():
            controllers[part.place.address] = part.place
        return tuple(controllers[key] for key in sorted(controllers))

    def count(self, controllers):
        """Return the number of all gateways.

        Without a count of the one in charge, as many as here are taken to be
        at each of the ``controllers``: a share of the retry budget that is
        too large could break it.
        """
        own = self._fleet.count()
        now_ms = self._clock.now_ms()
        if (
            self._gateway_count_ms is not None
            and now_ms - self._gateway_count_ms < GATEWAY_COUNT_MS
        ):
            return max(own, self._gateway_count)
        if len(self._parts):
            return own
        return own * max(1, controllers)

    def totals(self, incarnation):
        """Return the encoded totals and the sequence counted in them.

        The sequence is that of the last report of the gateway
        ``incarnation``.
        """
        now_ms = self._clock.now_ms()
        if (
            self._snapshot is None
            or now_ms - self._snapshot_ms >= SNAPSHOT_MS
            or incarnation not in self._snapshot[1]
        ):
            self._snapshot = self._take_snapshot()
            self._snapshot_ms = now_ms
        encoded, sequences = self._snapshot
        return encoded, sequences.get(incarnation, 0)

    def all_flights(self):
        """Return the sums over all gateways by server id."""
        self._end_parts()
        sums = self._sums.copy()
        sums.add(self._fleet.flights().values())
        if self._has_reply():
            sums.add(self._remote)
        return sums.flights()

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'controllers': [attrs.asdict(item) for item in self.controllers()],
            'reply_age_ms': self.reply_age_ms(),
        }

    def _take_snapshot(self):
        encoded = gateway.pack_loads(self.all_flights().values())
        return encoded, self._fleet.sequences()

    def _has_reply(self):
        age_ms = self.reply_age_ms()
        return age_ms is not None and age_ms < REMOTE_MS

    def _end_parts(self):
        self._drop_parts(self._clock.now_ms() - LIVE_MS)

    def _drop_parts(self, limit_ms):
        for part in self._parts.expire_before(limit_ms):
            self._sums.remove(part.flights)
