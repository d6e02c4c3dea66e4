"""Exchange of state between a controller, its gateways and its peers."""

import functools
import zlib

import attrs
import gevent

import paddle_kernel
from paddle_router.controller import _events
from paddle_router.controller import _gateway_sums
from paddle_router.controller import _peer_gateways
from paddle_router.controller import _request_crashes
from paddle_router.controller import _stream_origins
from paddle_router import gateway
from paddle_router import policy

# A confirmation of the version that is older than this is not used; three
# refreshes fit into this time.
CONFIRMATION_MAX_AGE_MS = 650
RELAY_TIMEOUT_MS = 400
# The lease holder counts as silent when its last reply is older than this.
HOLDER_SILENCE_MS = 450


@functools.singledispatch
def reduce_answer(request, _answer):
    """Return the part of an answer that is sent if not all can be encoded.

    ``None`` if there is no such part.
    """
    return None


@reduce_answer.register
def _reduce_sync_reply(request: gateway.SyncRequest, answer):
    # The gateway keeps its list and still gets the configuration.
    return attrs.evolve(
        answer,
        listing=request.listing,
        servers=(),
        totals=b'',
        extra_totals=b'',
        demands=(),
        counted=0,
        suspects=(),
        refused=(),
        limits=(),
        placements=(),
        peers=(),
    )


@reduce_answer.register
def _reduce_controller_reply(request: gateway.ControllerReport, answer):
    return attrs.evolve(
        answer,
        listing=request.listing,
        list_age_ms=-1,
        servers=(),
        suspects=(),
        refused=(),
        limits=(),
        placements=(),
        peers=(),
    )


def _reduce_report(report):
    """Return the part of a report that only this process has made up."""
    return attrs.evolve(
        report,
        fronts=tuple(attrs.evolve(item, usage=()) for item in report.fronts),
        leaving=(),
        crashes=(),
        served=(),
        refused=(),
        limits=(),
        placements=(),
        peers=(),
    )


class StateExchange:
    """Answers gateways and peers, and exchanges state with the lease holder.

    ``controller`` is the :class:`Controller` that this belongs to, and
    ``location`` its address and failure domain.
    """

    def __init__(self, controller, location):
        self._controller = controller
        self.sums = _gateway_sums.GatewaySums(
            location, controller.fleet, controller.clock
        )
        self.peers = _peer_gateways.PeerGateways(location, controller.clock)
        self.request_crashes = _request_crashes.RequestCrashCollection(
            controller.wall, controller.fleet
        )
        self.origins = _stream_origins.StreamOrigins(
            controller.wall, controller.fleet
        )
        self.limits = policy.ServerLimits()
        self.placements = policy.PartPlacements()
        self._compressed_version = None
        self._compressed_content = b''

    def relay(self):
        """Exchange sums, server list and version with the lease holder."""
        holder = self._controller.lease.observed_holder
        if self._controller.holds_lease or not holder:
            return
        report = attrs.evolve(
            self.sums.report(holder, self._version()),
            evacuation_version=self._controller.evacuations.version,
            limits=self._reported_limits(),
            placements=self.placements.recent(self._controller.wall.now_ms()),
            **self.peers.report_fields(),
            **self.request_crashes.report_fields(holder),
        )
        requested_ms = self._controller.clock.now_ms()
        # The lease names its holder as address/incarnation.
        address = holder.partition('/')[0]
        result = self._controller.transport.call(
            address, report, RELAY_TIMEOUT_MS
        )
        if paddle_kernel.is_unencodable(result):
            report = _reduce_report(report)
            result = self._controller.transport.call(
                address, report, RELAY_TIMEOUT_MS
            )
        reply = result.value_or(None)
        if isinstance(reply, gateway.ControllerReply) and reply.in_charge:
            self._apply_reply(report, reply, requested_ms)

    def decide_on_refusals(self):
        """Decide which prompt parts are refused, as the lease holder."""
        if self._controller.holds_lease:
            self.request_crashes.decide()
            self.request_crashes.store(self._controller.register)

    def track_versions(self):
        """Record the versions in the list; store them as the lease holder."""
        self.origins.observe()
        if self._controller.holds_lease:
            self.origins.store(self._controller.register)

    def is_holder_silent(self):
        """Whether the lease holder has not replied recently."""
        age_ms = self.sums.reply_age_ms()
        return age_ms is None or age_ms > HOLDER_SILENCE_MS

    def _silent_holder(self):
        """Return the address of the lease holder if it is silent, or ''."""
        holder = self._controller.lease.observed_holder
        if (
            self._controller.holds_lease
            or not holder
            or not self.is_holder_silent()
        ):
            return ''
        return holder.partition('/')[0]

    def _apply_reply(self, report, reply, requested_ms):
        self.sums.apply_reply(report, reply, requested_ms)
        self.peers.apply_reply(report, reply)
        self.request_crashes.apply_reply(report, reply)
        self._add_observations(reply)
        if reply.confirmed_age_ms >= 0:
            self._controller.document.confirm(
                reply.version, requested_ms - reply.confirmed_age_ms
            )
        if reply.version > self._version():
            self._controller.document.refresh()
        if reply.evacuation is not None:
            self._controller.evacuations.adopt(reply.evacuation)
        if reply.list_age_ms >= 0:
            # The list may have aged by the whole round trip.
            round_trip_ms = self._controller.clock.now_ms() - requested_ms
            self._apply_list(report, reply, round_trip_ms + reply.list_age_ms)

    def _apply_list(self, report, reply, age_ms):
        fleet = self._controller.fleet
        held_age_ms = fleet.list_age_ms()
        if reply.listing == fleet.listing:
            fleet.confirm_list(age_ms)
        elif reply.listing == report.listing:
            # The reply contains no servers because it matches the reported
            # list, which has been replaced here meanwhile.
            return
        elif held_age_ms is None or age_ms < held_age_ms:
            if fleet.set_servers(reply.servers, age_ms):
                self.log_list()

    def log_list(self):
        """Log the current list of servers."""
        paddle_kernel.emit(
            _events.LIST_READ,
            listing=self._controller.fleet.listing,
            servers=len(self._controller.fleet.servers),
            leaving=[
                item.id
                for item in self._controller.fleet.servers
                if item.leaving
            ],
        )

    def handle_sync(self, request):
        """Return the reply to a gateway's :class:`SyncRequest`."""
        # A gateway that looks for a controller sends no report.
        is_followed = request.attached and bool(request.reports)
        if not self._controller.fleet.serves_gateways:
            if is_followed:
                # Gateways that have just started need the list to become
                # ready.
                self._controller.list_requested.set()
            if request.attached and not self._is_confirmed():
                self._controller.request_refresh()
        listing = self._controller.fleet.listing
        self._controller.fleet.add_reports(request.reports, is_followed)
        if self._controller.fleet.listing != listing:
            self.log_list()
        for item in request.reports:
            self.peers.add(item)
            self.request_crashes.add(item)
            self._add_observations(item)
        current = self._controller.document.current
        version = self._version()
        # Without the evacuations, a gateway that starts would send requests
        # to evacuated domains.
        is_newer = (
            request.attached
            and version > request.version
            and self._controller.evacuations.is_known
        )
        listing, servers = request.listing, ()
        if request.attached:
            listing, servers = self._controller.fleet.list_update(
                request.listing
            )
        totals, counted, position = b'', 0, 0
        turn_count, turn_until_ms = 0, 0
        if request.reports:
            position = self.sums.position(
                request.reports[0], self._controller.holds_lease
            )
            turn_count, turn_until_ms = self.sums.turn(
                self._controller.holds_lease
            )
            totals, counted = self.sums.totals(request.reports[0].incarnation)
        peers = ()
        if request.reports:
            peers = self.peers.choose(request.reports[0])
        members = self._controller.members()
        return gateway.SyncReply(
            controllers=self.sums.controllers(),
            members=members,
            confirmed=self._is_confirmed(),
            version=version,
            document=self._compressed(current) if is_newer else None,
            listing=listing,
            servers=servers,
            fronts=self.sums.gateway_count(len(members)),
            totals=totals,
            extra_totals=self.sums.extra_totals() if totals else b'',
            demands=self.sums.total_demands() if totals else (),
            counted=counted,
            period_ms=self._controller.fleet.period_ms(),
            true_ms=self._controller.wall.now_ms(),
            unheard_holder=self._silent_holder(),
            limits=self._reported_limits(),
            placements=self.placements.recent(self._controller.wall.now_ms()),
            position=position,
            turn_count=turn_count,
            turn_until_ms=turn_until_ms,
            unlisted_versions=self.origins.unlisted_versions(),
            evacuation=self._controller.evacuations.message(),
            peers=peers,
            **self.request_crashes.reply_fields(),
        )

    def handle_report(self, report):
        """Return the reply to a controller that regards this one as holder."""
        holds_lease = self._controller.holds_lease
        if holds_lease:
            listing = self._controller.fleet.listing
            self.sums.add_report(report)
            self.peers.add_report(report)
            self.request_crashes.add(report)
            self._add_observations(report)
            if self._controller.fleet.listing != listing:
                self.log_list()
            if report.version > self._version():
                gevent.spawn(self._controller.document.refresh)
            if (
                report.evacuation_version
                > self._controller.evacuations.version
            ):
                gevent.spawn(self._controller.evacuations.refresh)
        turn_count, turn_until_ms = self._controller.fleet.turn()
        confirmed_age_ms = self._controller.document.age_ms()
        list_age_ms = self._controller.fleet.list_age_ms()
        listing, servers = (
            self._controller.fleet.listing,
            self._controller.fleet.servers or (),
        )
        loads = (
            self.sums.loads_excluding(report.place.address)
            if holds_lease
            else ()
        )
        return gateway.ControllerReply(
            in_charge=holds_lease,
            controllers=self.sums.controllers() if holds_lease else (),
            fronts=self.sums.gateway_count(len(self._controller.members())),
            loads=gateway.pack_loads(loads) if holds_lease else b'',
            extra_loads=gateway.pack_extra_loads(loads),
            demands=self.sums.demands_excluding(report.place.address)
            if holds_lease
            else (),
            version=self._version(),
            confirmed_age_ms=-1
            if confirmed_age_ms is None
            else confirmed_age_ms,
            listing=listing,
            list_age_ms=-1 if list_age_ms is None else list_age_ms,
            servers=() if listing == report.listing else servers,
            reporting=self._controller.fleet.reporting_count(),
            evacuation=self._controller.evacuations.newer_message(
                report.evacuation_version
            ),
            limits=self._reported_limits(),
            placements=self.placements.recent(self._controller.wall.now_ms()),
            positions=tuple(
                self._controller.fleet.position(item.name)
                for item in report.fronts
            ),
            turn_count=turn_count,
            turn_until_ms=turn_until_ms,
            **(self.peers.reply_fields(report) if holds_lease else {}),
            **self.request_crashes.reply_fields(),
        )

    def _is_confirmed(self):
        age_ms = self._controller.document.age_ms()
        return (
            age_ms is not None
            and age_ms < CONFIRMATION_MAX_AGE_MS
            and self._controller.evacuations.is_known
        )

    def _add_observations(self, message):
        for limit in message.limits:
            self.limits.add(limit)
        self.placements.add(message.placements, self._controller.wall.now_ms())

    def _reported_limits(self):
        now_ms = self._controller.wall.now_ms()
        self.limits.forget_before(now_ms - policy.LIMIT_RETENTION_MS)
        return self.limits.reports(now_ms)

    def _compressed(self, document):
        """Return the compressed content, computed once per version."""
        if self._compressed_version != document.version:
            self._compressed_version = document.version
            self._compressed_content = zlib.compress(document.content, 1)
        return self._compressed_content

    def _version(self):
        current = self._controller.document.current
        return current.version if current else 0
