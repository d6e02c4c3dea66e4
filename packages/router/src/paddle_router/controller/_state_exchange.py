"""State that a controller exchanges with gateways and with its peers."""

import zlib

import gevent

import paddle_kernel
from paddle_router.controller import _events
from paddle_router.controller import _gateway_sums
from paddle_router import gateway

# A confirmation older than this is none; three refreshes fit.
CONFIRMED_MS = 650
RELAY_TIMEOUT_MS = 400
# Age of the last reply of the lease's holder above which it counts as silent.
SILENT_MS = 450


class StateExchange:
    """Answers gateways and peers; keeps in touch with the lease's holder."""

    def __init__(self, parts, place):
        self._parts = parts
        self.sums = _gateway_sums.GatewaySums(place, parts.fleet, parts.clock)
        self._packed_version = None
        self._packed_content = b''

    def relay(self):
        """Exchange sums, list and version with the controller in charge."""
        holder = self._parts.lease.observed_holder
        if self._parts.in_charge or not holder:
            return
        report = self.sums.report(holder, self._version())
        asked_ms = self._parts.clock.now_ms()
        reply = self._parts.transport.call(
            # The holder of a lease is named by address and incarnation.
            holder.partition('/')[0],
            report,
            RELAY_TIMEOUT_MS,
        ).value_or(None)
        if isinstance(reply, gateway.ControllerReply) and reply.in_charge:
            self._use_reply(report, reply, asked_ms)

    def holder_is_silent(self):
        """Whether no reply of the lease's holder came lately."""
        age_ms = self.sums.reply_age_ms()
        return age_ms is None or age_ms > SILENT_MS

    def _unheard_holder(self):
        """Return the address of the lease's holder if it is silent."""
        holder = self._parts.lease.observed_holder
        if self._parts.in_charge or not holder or not self.holder_is_silent():
            return ''
        return holder.partition('/')[0]

    def _use_reply(self, report, reply, asked_ms):
        self.sums.apply_reply(report, reply, asked_ms)
        if reply.confirmed_age_ms >= 0:
            self._parts.document.confirm(
                reply.version, asked_ms - reply.confirmed_age_ms
            )
        if reply.version > self._version():
            self._parts.document.refresh()
        if reply.list_age_ms >= 0:
            # The reply may have been on its way since it was asked for.
            way_ms = self._parts.clock.now_ms() - asked_ms
            self._use_list(report, reply, way_ms + reply.list_age_ms)

    def _use_list(self, report, reply, age_ms):
        fleet = self._parts.fleet
        held_ms = fleet.list_age_ms()
        if reply.listing == fleet.listing:
            fleet.confirm_list(age_ms)
        elif reply.listing == report.listing:
            # The reply holds no servers; another list was read meanwhile.
            return
        elif held_ms is None or age_ms < held_ms:
            if fleet.set_servers(reply.servers, age_ms):
                self.log_list()

    def log_list(self):
        """Log the list of servers held."""
        paddle_kernel.emit(
            _events.LIST_READ,
            listing=self._parts.fleet.listing,
            servers=len(self._parts.fleet.servers),
            leaving=[
                item.id for item in self._parts.fleet.servers if item.leaving
            ],
        )

    def sync(self, message):
        if message.attached and not self._parts.fleet.serves_gateways:
            # Gateways that were just started wait for the list.
            self._parts.list_wanted.set()
        listing = self._parts.fleet.listing
        self._parts.fleet.add_reports(message.reports, message.attached)
        if self._parts.fleet.listing != listing:
            self.log_list()
        current = self._parts.document.current
        version = self._version()
        age_ms = self._parts.document.age_ms()
        is_newer = message.attached and version > message.version
        listing, servers = message.listing, ()
        if message.attached:
            listing, servers = self._parts.fleet.listing_for(message.listing)
        totals, counted = b'', 0
        if message.reports:
            totals, counted = self.sums.totals(message.reports[0].incarnation)
        members = self._parts.members()
        return gateway.SyncReply(
            controllers=self.sums.controllers(),
            members=members,
            confirmed=age_ms is not None and age_ms < CONFIRMED_MS,
            version=version,
            document=self._packed(current) if is_newer else None,
            listing=listing,
            servers=servers,
            fronts=self.sums.count(len(members)),
            totals=totals,
            counted=counted,
            period_ms=self._parts.fleet.period_ms(),
            true_ms=self._parts.wall.now_ms(),
            unheard_holder=self._unheard_holder(),
        )

    def take_report(self, report):
        """Answer another controller that takes this one to be in charge."""
        in_charge = self._parts.in_charge
        if in_charge:
            listing = self._parts.fleet.listing
            self.sums.add_report(report)
            if self._parts.fleet.listing != listing:
                self.log_list()
            if report.version > self._version():
                gevent.spawn(self._parts.document.refresh)
        confirmed_ms = self._parts.document.age_ms()
        list_ms = self._parts.fleet.list_age_ms()
        listing, servers = (
            self._parts.fleet.listing,
            self._parts.fleet.servers or (),
        )
        return gateway.ControllerReply(
            in_charge=in_charge,
            controllers=self.sums.controllers() if in_charge else (),
            fronts=self.sums.count(len(self._parts.members())),
            loads=gateway.pack_loads(
                self.sums.flights_for(report.place.address)
            )
            if in_charge
            else b'',
            version=self._version(),
            confirmed_age_ms=-1 if confirmed_ms is None else confirmed_ms,
            listing=listing,
            list_age_ms=-1 if list_ms is None else list_ms,
            servers=() if listing == report.listing else servers,
            reporting=self._parts.fleet.reporting(),
        )

    def _packed(self, document):
        """Return the compressed content, computed once for a version."""
        if self._packed_version != document.version:
            self._packed_version = document.version
            self._packed_content = zlib.compress(document.content, 1)
        return self._packed_content

    def _version(self):
        current = self._parts.document.current
        return current.version if current else 0
