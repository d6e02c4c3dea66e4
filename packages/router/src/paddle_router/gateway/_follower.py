"""Keeps a gateway's configuration, server list and load totals current."""

import collections
import itertools
import random
import zlib

import attrs
import returns.result

import paddle_kernel
from paddle_router.gateway import _controllers
from paddle_router.gateway import _events
from paddle_router.gateway import _messages
from paddle_router.gateway import _model
from paddle_router.gateway import _packed_loads
from paddle_router.gateway import _routes
from paddle_router.gateway import _server_notices
from paddle_router import policy

# Time between state exchanges until a controller sets another period.
DEFAULT_SYNC_PERIOD_MS = 250
# Two timed-out calls and one connection attempt must fit into 2,000 ms, the
# shortest bound for putting a configuration into force.
CALL_TIMEOUT_MS = 500
RETRY_DELAY_MS = 50
# A gateway without a configuration retries after this delay, which grows by
# the backoff factor up to DEFAULT_SYNC_PERIOD_MS. When all machines start at
# the same time, all gateways call the few controllers in their settings.
START_RETRY_MS = 50
START_BACKOFF_FACTOR = 1.5
# A gateway whose controller cannot confirm its configuration version for this
# long looks for a confirmed one. It leaves its controller without one after
# MAX_UNCONFIRMED_MS.
SEARCH_DELAY_MS = 200
MAX_UNCONFIRMED_MS = 700
SEARCH_TIMEOUT_MS = 300
# A controller that is not followed yet is asked a second time before it counts
# as not confirmed: without gateways it rarely compares its version, and the
# first request makes it do so.
CANDIDATE_RETRY_MS = 150
CANDIDATE_EXPIRY_MS = 1_000
# While it tries other controllers, a gateway exchanges state with its
# confirmed one at the latest after this time, plus one call.
MAX_TRIAL_GAP_MS = 500
# If the gateway's controller cannot reach the lease holder for this long, the
# gateway contacts the lease holder directly, because usage and loads are not
# passed on meanwhile.
MAX_HOLDER_UNREACHABLE_MS = 800
# Clocks of instances normally differ by less. A larger difference means that
# the clock was wrong when the process started.
CLOCK_TOLERANCE_MS = 100
# Reports kept to subtract the gateway's own loads from the totals. Totals
# contain a report that is a few exchanges old at most.
MAX_KEPT_REPORTS = 16
# Reason in the log event when an unconfirmed controller is left.
NOT_CONFIRMED = 'not confirmed'
MAX_COUNT = 2**32 - 1


class Follower:
    """Exchanges state with one controller at a time, preferably a local one.

    Another controller is followed once it has replied that its configuration
    version is confirmed; until then the gateway stays with its confirmed one.

    ``table`` is the :class:`RouteTable` in use, ``None`` before the first
    configuration; its version never decreases. ``servers`` is the list of
    backend servers, ``None`` before the first one. ``evacuation`` holds the
    evacuated failure domains; its version never decreases either.
    """

    def __init__(
        self,
        settings,
        dialect,
        clock,
        wall,
        transport,
        *,
        balancers,
        usage,
        notices,
        limits,
        turns,
        request_crashes,
        waiting,
        incarnation,
        placements=None,
        peers=None,
    ):
        self._settings = settings
        self._dialect = dialect
        self._clock = clock
        self._wall = wall
        self._transport = transport
        self._balancers = balancers
        self._usage = usage
        self._notices = notices
        self._limits = limits
        self._turns = turns
        self._request_crashes = request_crashes
        self._placements = placements or policy.PartPlacements()
        self._peers = peers
        self._waiting = waiting
        self._incarnation = incarnation
        self._sequence = itertools.count(1)
        self._selector = _controllers.ControllerSelector(
            self._incarnation,
            settings.failure_domain,
            settings.controllers,
            random.Random(),
        )
        self._address = None
        self._is_confirmed = False
        self._is_trying_others = False
        self._unconfirmed_since_ms = None
        # Time of the first unconfirmed reply by address.
        self._unconfirmed_candidates = {}
        self._holder_unreachable_since_ms = None
        # Own loads by the sequence number of the report that contained them.
        self._reported_loads = collections.OrderedDict()
        self._reported_demands = {}
        self._start_retry_ms = START_RETRY_MS
        self._listing = ''
        self._has_position = False
        self._listeners = []
        self._reply_listeners = []
        self.table = None
        self.servers = None
        self.evacuation = _messages.Evacuation()
        self.gateway_count = 1
        self.synced_ms = None

    @property
    def is_ready(self):
        """Whether requests can be routed and placed."""
        return self.table is not None and self.servers is not None

    def on_change(self, listener):
        """Call ``listener()`` after a change of what requests depend on."""
        self._listeners.append(listener)

    def on_reply(self, listener):
        """Call ``listener(reply)`` after each reply of a controller."""
        self._reply_listeners.append(listener)

    def controller_addresses(self):
        """Return the addresses of all known controllers."""
        return self._selector.known_addresses()

    def member_addresses(self):
        """Return the addresses of the controllers in the replica set."""
        return self._selector.members

    def step(self):
        """Exchange state once; return the delay in ms until the next step."""
        address = self._choose_controller()
        if address is None:
            return DEFAULT_SYNC_PERIOD_MS
        is_trial = self._is_confirmed and address != self._address
        self._is_trying_others = is_trial
        request = self._request()
        result = self._transport.call(address, request, CALL_TIMEOUT_MS)
        if paddle_kernel.is_unencodable(result):
            # Configuration and list are worth more than the report.
            request = attrs.evolve(request, reports=())
            result = self._transport.call(address, request, CALL_TIMEOUT_MS)
        reply = result.value_or(None)
        if not isinstance(reply, _messages.SyncReply):
            self._drop_controller(address, _failure_reason(result))
            if not is_trial:
                self._is_confirmed = False
                self._search()
            return RETRY_DELAY_MS
        if is_trial and not reply.confirmed:
            self._reject_candidate(address)
            return CANDIDATE_RETRY_MS
        self._apply_reply(address, reply)
        if self.is_ready:
            self._start_retry_ms = START_RETRY_MS
            return reply.period_ms or DEFAULT_SYNC_PERIOD_MS
        pause_ms = self._start_retry_ms
        self._start_retry_ms = min(
            DEFAULT_SYNC_PERIOD_MS, int(pause_ms * START_BACKOFF_FACTOR)
        )
        return pause_ms

    def add_controllers(self, addresses):
        """Add controllers, for example from changed settings."""
        self._selector.add(addresses)

    def dump(self):
        """Return plain data for the state dump."""
        version = self.table.configuration.version if self.table else None
        return {
            'controller': self._address,
            **self._selector.dump(),
            'version': version,
            'listing': self._listing,
            'evacuation': attrs.asdict(self.evacuation),
            'fronts': self.gateway_count,
            'synced_ms': self.synced_ms,
        }

    def _choose_controller(self):
        """Return the address to contact next, ``None`` if none is known."""
        now_ms = self._clock.now_ms()
        if (
            self._is_trying_others
            and now_ms - self.synced_ms > MAX_TRIAL_GAP_MS
        ):
            return self._address
        return self._selector.choose(now_ms)

    def _search(self):
        """Follow the first other controller that replies as confirmed.

        All that are not backing off are asked at once, so that the time does
        not grow with the number of those that fail.
        """
        if self._address is None:
            return
        request = _messages.SyncRequest(
            reports=(),
            version=self._version(),
            listing=self._listing,
            attached=True,
        )
        calls = {
            address: request
            for address in self._selector.usable_addresses(
                self._clock.now_ms()
            )
            if address != self._address
        }
        for address, result in paddle_kernel.broadcast(
            self._transport, calls, SEARCH_TIMEOUT_MS
        ):
            reply = result.value_or(None)
            if not isinstance(reply, _messages.SyncReply):
                self._drop_controller(address, _failure_reason(result))
            elif not reply.confirmed:
                self._reject_candidate(address)
            else:
                self._apply_reply(address, reply)
                return

    def _reject_candidate(self, address):
        """Drop a controller that is not confirmed in its second reply."""
        now_ms = self._clock.now_ms()
        first_ms = self._unconfirmed_candidates.pop(address, None)
        if first_ms is None or now_ms - first_ms > CANDIDATE_EXPIRY_MS:
            self._unconfirmed_candidates[address] = now_ms
        else:
            self._drop_controller(address, NOT_CONFIRMED)

    def _version(self):
        return self.table.configuration.version if self.table else 0

    def _request(self):
        now_ms = self._clock.now_ms()
        loads = {}
        for balancer in self._balancers.values():
            loads.update(balancer.own_loads(now_ms))
        sequence = next(self._sequence)
        demands = self._waiting.demands()
        self._reported_loads[sequence] = loads
        self._reported_demands[sequence] = demands
        while len(self._reported_loads) > MAX_KEPT_REPORTS:
            oldest, _loads = self._reported_loads.popitem(last=False)
            del self._reported_demands[oldest]
        report = _messages.GatewayReport(
            name=self._settings.name,
            incarnation=self._incarnation,
            sequence=sequence,
            flights=tuple(
                _messages.ServerFlights(
                    id=server_id,
                    running=_bounded_count(load.running),
                    prefill=_bounded_count(load.prefill),
                    failures=_bounded_count(load.failures),
                    answers=_bounded_count(load.answers),
                    pace_ms=_bounded_count(load.pace_ms),
                    read_rate=_bounded_count(load.read_rate),
                    told_count=_bounded_count(load.told_count),
                    told_percent=_bounded_count(load.told_percent),
                    rejections=_bounded_count(load.rejections),
                    in_time=_bounded_count(load.in_time),
                )
                for server_id, load in loads.items()
            ),
            usage=self._usage.recent(),
            server_rate=_bounded_count(
                max(
                    (item.server_rate() for item in self._balancers.values()),
                    default=0,
                )
            ),
            leaving=_server_notices.unlisted_leaving_incarnations(
                self._notices, self.servers
            ),
            limits=self._limits.reports(self._wall.now_ms()),
            placements=self._placements.recent(self._wall.now_ms()),
            demands=demands,
            **self._request_crashes.report_fields(),
            **(self._peers.report_fields() if self._peers else {}),
        )
        return _messages.SyncRequest(
            reports=(report,),
            version=self._version(),
            listing=self._listing,
            attached=True,
        )

    def _apply_reply(self, address, reply):
        now_ms = self._clock.now_ms()
        self.synced_ms = now_ms
        self.gateway_count = max(1, reply.fronts)
        self._selector.update(
            reply.controllers, reply.members, reply.confirmed
        )
        if address != self._address:
            paddle_kernel.emit(_events.CONTROLLER_CHANGED, address=address)
            self._unconfirmed_since_ms = None
        self._address = address
        self._is_trying_others = False
        if reply.true_ms:
            self._wall.agree(reply.true_ms, CLOCK_TOLERANCE_MS)
        # First, since the gateway may be ready with the next two.
        if reply.evacuation is not None:
            self._apply_evacuation(reply.evacuation)
        self._apply_turn(reply, now_ms)
        if reply.document is not None:
            self._apply_configuration(reply)
        if reply.listing != self._listing:
            self._apply_listing(reply)
        if reply.totals:
            self._apply_totals(reply, now_ms)
            self._waiting.apply_demands(
                reply.demands,
                self._reported_demands.get(reply.counted, ()),
                self.gateway_count,
            )
        self._apply_limits(reply, now_ms)
        self._request_crashes.apply_reply(reply)
        self._placements.add(reply.placements, self._wall.now_ms())
        if self._peers:
            self._peers.apply(reply)
        for listener in self._reply_listeners:
            listener(reply)
        self._check_controller(address, reply, now_ms)

    def _apply_evacuation(self, evacuation):
        if evacuation.version <= self.evacuation.version:
            return
        self.evacuation = evacuation
        paddle_kernel.emit(
            _events.EVACUATION_APPLIED,
            version=evacuation.version,
            domains=list(evacuation.domains),
        )
        self._notify_listeners()

    def _apply_configuration(self, reply):
        held_version = self.table.configuration.version if self.table else -1
        if reply.version <= held_version:
            return
        try:
            configuration = self._dialect.read_configuration(
                zlib.decompress(reply.document)
            )
        except (_model.ConfigurationError, zlib.error) as exc:
            paddle_kernel.emit(
                _events.CONFIGURATION_UNREADABLE,
                version=reply.version,
                error=str(exc),
            )
            return
        self.table = _routes.RouteTable(configuration)
        paddle_kernel.emit(
            _events.CONFIGURATION_APPLIED,
            version=reply.version,
            previous=held_version,
            routes=len(configuration.routes),
        )
        self._notify_listeners()

    def _apply_listing(self, reply):
        self._listing = reply.listing
        self.servers = reply.servers
        paddle_kernel.emit(
            _events.SERVER_LIST_CHANGED,
            listing=reply.listing,
            servers=len(reply.servers),
            leaving=sum(item.leaving for item in reply.servers),
        )
        self._notify_listeners()

    def _apply_turn(self, reply, now_ms):
        self._turns.wall_offset_ms = self._wall.now_ms() - now_ms
        self._turns.record_contact(now_ms)
        if reply.position and reply.turn_count:
            self._turns.set_position(
                (reply.position - 1) % reply.turn_count,
                reply.turn_count,
                reply.turn_until_ms,
                now_ms,
            )
        else:
            # Several gateways may choose the same one, but not all of them.
            self._turns.set_position(
                zlib.crc32(self._incarnation.encode()) % self.gateway_count,
                self.gateway_count,
                0,
                now_ms,
            )

    def _apply_limits(self, reply, now_ms):
        self._limits.wall_offset_ms = self._wall.now_ms() - now_ms
        if reply.position:
            self._has_position = True
            self._limits.set_share(
                (reply.position - 1) % self.gateway_count, self.gateway_count
            )
        elif not self._has_position:
            # Before the first position, several gateways may choose the same
            # one, but not all of them.
            self._limits.set_share(
                zlib.crc32(self._incarnation.encode()) % self.gateway_count,
                self.gateway_count,
            )
        for limit in reply.limits:
            self._limits.add(limit)

    def _apply_totals(self, reply, now_ms):
        counted = self._reported_loads.get(reply.counted, {})
        loads = {}
        for item in _packed_loads.unpack_loads(
            reply.totals, reply.extra_totals
        ):
            own = counted.get(item.id, policy.SharedLoad())
            loads[item.id] = policy.SharedLoad(
                running=max(0, item.running - own.running),
                prefill=max(0, item.prefill - own.prefill),
                failures=max(0, item.failures - own.failures),
                answers=max(0, item.answers - own.answers),
                pace_ms=item.pace_ms,
                read_rate=max(0, item.read_rate - own.read_rate),
                told_count=max(0, item.told_count - own.told_count),
                told_percent=max(0, item.told_percent - own.told_percent),
                rejections=max(0, item.rejections - own.rejections),
                in_time=max(0, item.in_time - own.in_time),
            )
        for balancer in self._balancers.values():
            balancer.set_other_loads(loads, now_ms)

    def _check_controller(self, address, reply, now_ms):
        """Change the controller if this one is cut off from the others."""
        if not reply.unheard_holder:
            self._holder_unreachable_since_ms = None
        elif self._holder_unreachable_since_ms is None:
            self._holder_unreachable_since_ms = now_ms
        elif (
            now_ms - self._holder_unreachable_since_ms
            > MAX_HOLDER_UNREACHABLE_MS
        ):
            self._holder_unreachable_since_ms = None
            self._selector.prefer(reply.unheard_holder, now_ms)
        self._is_confirmed = reply.confirmed
        if reply.confirmed:
            self._unconfirmed_since_ms = None
            return
        if self._unconfirmed_since_ms is None:
            self._unconfirmed_since_ms = now_ms
        unconfirmed_ms = now_ms - self._unconfirmed_since_ms
        if unconfirmed_ms > SEARCH_DELAY_MS:
            self._search()
        if self._is_confirmed or unconfirmed_ms > MAX_UNCONFIRMED_MS:
            self._drop_controller(address, NOT_CONFIRMED)

    def _drop_controller(self, address, reason):
        paddle_kernel.emit(
            _events.CONTROLLER_LOST, address=address, reason=reason
        )
        if address == self._address:
            self._unconfirmed_since_ms = None
        self._selector.mark_failed(address, self._clock.now_ms())

    def _notify_listeners(self):
        for listener in self._listeners:
            listener()


def _bounded_count(value):
    """Return a count as the messages can hold it.

    Counts are sums over numbers that callers and servers send.
    """
    return min(int(value), MAX_COUNT)


def _failure_reason(result):
    if isinstance(result, returns.result.Success):
        return 'unexpected reply type'
    return result.failure().kind
