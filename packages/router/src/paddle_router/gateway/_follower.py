"""Keeps a gateway's configuration, server list and sums up to date."""

import collections
import itertools
import random
import secrets
import zlib

import returns.result

import paddle_kernel
from paddle_router.gateway import _controllers
from paddle_router.gateway import _events
from paddle_router.gateway import _messages
from paddle_router.gateway import _model
from paddle_router.gateway import _packed_loads
from paddle_router.gateway import _routes
from paddle_router.gateway import _server_notes
from paddle_router import policy

# Time between two exchanges until a controller has named another one.
SYNC_MS = 250
# Two missed answers and one connection attempt stay below the shortest bound
# in which a configuration has to be in force (2,000 ms).
CALL_TIMEOUT_MS = 500
RETRY_MS = 50
# A gateway without a configuration asks again after this time, then after
# half as long again up to SYNC_MS: when all machines start at the same time,
# all gateways ask the few controllers that their settings name.
START_MS = 50
START_GROWTH = 1.5
# A controller whose configuration is unconfirmed is left after this time.
UNCONFIRMED_MS = 700
# Time without the holder of the lease after which a gateway asks it directly;
# usage and loads do not get on meanwhile.
UNHEARD_MS = 800
# True times of instances differ by less; a larger difference is a clock that
# was wrong when the process started.
CLOCK_TOLERANCE_MS = 100
# Reports remembered to take the own part out of totals; those in totals are a
# few exchanges old at most.
REPORTS_KEPT = 16


class Follower:
    """Exchanges state with one controller at a time, if possible a near one.

    ``table`` is the :class:`RouteTable` in use, ``None`` before the first
    configuration; its version never decreases. ``servers`` is the list of
    backend servers, ``None`` before the first one.
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
    ):
        self._settings = settings
        self._dialect = dialect
        self._clock = clock
        self._wall = wall
        self._transport = transport
        self._balancers = balancers
        self._usage = usage
        self._notices = notices
        self._incarnation = secrets.token_hex(8)
        self._sequence = itertools.count(1)
        self._choice = _controllers.ControllerChoice(
            self._incarnation,
            settings.failure_domain,
            settings.controllers,
            random.Random(),
        )
        self._address = None
        self._unconfirmed_since_ms = None
        self._unheard_since_ms = None
        # Own loads by the sequence of the report that carried them.
        self._reported = collections.OrderedDict()
        self._start_pause_ms = START_MS
        self._listing = ''
        self._listeners = []
        self.table = None
        self.servers = None
        self.gateway_count = 1
        self.synced_ms = None

    @property
    def is_ready(self):
        """Whether requests can be routed and placed."""
        return self.table is not None and self.servers is not None

    def on_change(self, function):
        """Call ``function()`` after a new configuration or server list."""
        self._listeners.append(function)

    def step(self):
        """Exchange state once; return the pause until the next step."""
        address = self._choice.choose(self._clock.now_ms())
        if address is None:
            return SYNC_MS
        result = self._transport.call(
            address, self._request(), CALL_TIMEOUT_MS
        )
        reply = result.value_or(None)
        if not isinstance(reply, _messages.SyncReply):
            self._leave(address, _reason(result))
            return RETRY_MS
        self._use(address, reply)
        if self.is_ready:
            self._start_pause_ms = START_MS
            return reply.period_ms or SYNC_MS
        pause_ms = self._start_pause_ms
        self._start_pause_ms = min(SYNC_MS, int(pause_ms * START_GROWTH))
        return pause_ms

    def add_controllers(self, addresses):
        """Try these controllers, too; settings name others after a change."""
        self._choice.add(addresses)

    def dump(self):
        """Return plain data for the state dump."""
        version = self.table.configuration.version if self.table else None
        return {
            'controller': self._address,
            **self._choice.dump(),
            'version': version,
            'listing': self._listing,
            'fronts': self.gateway_count,
            'synced_ms': self.synced_ms,
        }

    def _request(self):
        now_ms = self._clock.now_ms()
        loads = {}
        for balancer in self._balancers.values():
            loads.update(balancer.own_loads(now_ms))
        sequence = next(self._sequence)
        self._reported[sequence] = loads
        while len(self._reported) > REPORTS_KEPT:
            self._reported.popitem(last=False)
        report = _messages.GatewayReport(
            name=self._settings.name,
            incarnation=self._incarnation,
            sequence=sequence,
            flights=tuple(
                _messages.ServerFlights(
                    id=server_id,
                    running=load.running,
                    prefill=load.prefill,
                    failures=load.failures,
                    answers=load.answers,
                    pace_ms=load.pace_ms,
                    read_rate=load.read_rate,
                )
                for server_id, load in loads.items()
            ),
            usage=self._usage.recent(),
            server_rate=max(
                (item.server_rate() for item in self._balancers.values()),
                default=0,
            ),
            leaving=_server_notes.leaving_incarnations(
                self._notices, self.servers
            ),
        )
        return _messages.SyncRequest(
            reports=(report,),
            version=self.table.configuration.version if self.table else 0,
            listing=self._listing,
            attached=True,
        )

    def _use(self, address, reply):
        now_ms = self._clock.now_ms()
        self.synced_ms = now_ms
        self.gateway_count = max(1, reply.fronts)
        self._choice.learn(reply.controllers, reply.members)
        if address != self._address:
            paddle_kernel.emit(_events.CONTROLLER_USED, address=address)
        self._address = address
        if reply.true_ms:
            self._wall.agree(reply.true_ms, CLOCK_TOLERANCE_MS)
        if reply.document is not None:
            self._use_document(reply)
        if reply.listing != self._listing:
            self._use_listing(reply)
        if reply.totals:
            self._use_totals(reply, now_ms)
        self._judge(address, reply, now_ms)

    def _use_document(self, reply):
        held = self.table.configuration.version if self.table else -1
        if reply.version <= held:
            return
        try:
            configuration = self._dialect.read_configuration(
                zlib.decompress(reply.document)
            )
        except _model.ConfigurationError as exc:
            paddle_kernel.emit(
                _events.CONFIGURATION_UNREADABLE,
                version=reply.version,
                error=str(exc),
            )
            return
        self.table = _routes.RouteTable(configuration)
        paddle_kernel.emit(
            _events.CONFIGURATION_USED,
            version=reply.version,
            previous=held,
            routes=len(configuration.routes),
        )
        self._tell()

    def _use_listing(self, reply):
        self._listing = reply.listing
        self.servers = reply.servers
        paddle_kernel.emit(
            _events.LISTING_USED,
            listing=reply.listing,
            servers=len(reply.servers),
            leaving=sum(item.leaving for item in reply.servers),
        )
        self._tell()

    def _use_totals(self, reply, now_ms):
        counted = self._reported.get(reply.counted, {})
        loads = {}
        for item in _packed_loads.unpack_loads(reply.totals):
            own = counted.get(item.id, policy.SharedLoad())
            loads[item.id] = policy.SharedLoad(
                running=max(0, item.running - own.running),
                prefill=max(0, item.prefill - own.prefill),
                failures=max(0, item.failures - own.failures),
                answers=max(0, item.answers - own.answers),
                pace_ms=item.pace_ms,
                read_rate=max(0, item.read_rate - own.read_rate),
            )
        for balancer in self._balancers.values():
            balancer.set_others(loads, now_ms)

    def _judge(self, address, reply, now_ms):
        """Leave a controller that is cut off from the others."""
        if not reply.unheard_holder:
            self._unheard_since_ms = None
        elif self._unheard_since_ms is None:
            self._unheard_since_ms = now_ms
        elif now_ms - self._unheard_since_ms > UNHEARD_MS:
            self._unheard_since_ms = None
            self._choice.go_to(reply.unheard_holder, now_ms)
        if reply.confirmed:
            self._unconfirmed_since_ms = None
        elif self._unconfirmed_since_ms is None:
            self._unconfirmed_since_ms = now_ms
        elif now_ms - self._unconfirmed_since_ms > UNCONFIRMED_MS:
            self._leave(address, 'not confirmed')

    def _leave(self, address, reason):
        paddle_kernel.emit(
            _events.CONTROLLER_LOST, address=address, reason=reason
        )
        self._unconfirmed_since_ms = None
        self._choice.leave(address, self._clock.now_ms())

    def _tell(self):
        for function in self._listeners:
            function()


def _reason(result):
    if isinstance(result, returns.result.Success):
        return 'an answer of another kind'
    return result.failure().kind
