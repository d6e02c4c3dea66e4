"""The gateway process: its components, start and graceful stop."""

import collections
import random
import secrets

import falcon
import gevent
from gevent import pywsgi

import paddle_kernel
from paddle_router.gateway import _buffers
from paddle_router.gateway import _connections
from paddle_router.gateway import _entry
from paddle_router.gateway import _events
from paddle_router.gateway import _explain
from paddle_router.gateway import _follower
from paddle_router.gateway import _forward
from paddle_router.gateway import _metrics
from paddle_router.gateway import _moves
from paddle_router.gateway import _peer_entry
from paddle_router.gateway import _peer_exchange
from paddle_router.gateway import _peers
from paddle_router.gateway import _reach
from paddle_router.gateway import _request_crashes
from paddle_router.gateway import _server_notices
from paddle_router.gateway import _server_starts
from paddle_router.gateway import _stream_origins
from paddle_router.gateway import _usage_counts
from paddle_router.gateway import _waiting
from paddle_router import policy

BALANCER = 'shared_load'
PRUNE_INTERVAL_MS = 500
# Share of the common retry budget that the gateways divide among themselves;
# the rest covers gateways that the controllers do not count yet.
SHARED_BUDGET_RATIO = 0.8
# Share of its slack that a gateway starts with, because several gateways may
# be restarted within one budget window.
START_BUDGET_RATIO = 0.5
# The load balancer in front of the gateways checks readiness once a second and
# removes a gateway after two failed checks. Callers that it sends until then
# are served.
READINESS_NOTICE_MS = 2_300
# Requests that still run this long before the forced end are aborted, so that
# the process can close its own connections.
ABORT_MARGIN_MS = 400
STOP_POLL_MS = 20
# Callers that the load balancer sends late are accepted for this long after
# the stop signal. Requests accepted after 3 s must not be aborted any more.
STOP_ACCEPT_MS = 2_900
# File descriptors reserved for backend servers, files and peers.
OTHER_DESCRIPTORS = 1_000
DEFAULT_DESCRIPTORS = 4_000


class _Budgets:
    """This gateway's shares of the common retry budgets, by service."""

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._by_service = {}
        self._gateway_count = 1

    def of(self, service):
        """Return the :class:`WindowBudget` of ``service``."""
        budget = self._by_service.get(service)
        if budget is None:
            budget = self._by_service[service] = policy.WindowBudget(
                ratio=SHARED_BUDGET_RATIO * self._settings.retry_ratio,
                slack=self._slack(),
                window_ms=self._settings.retry_window_ms,
                start_ratio=START_BUDGET_RATIO,
                now_ms=self._clock.now_ms(),
            )
        return budget

    def set_gateway_count(self, gateway_count):
        """Divide the budget among ``gateway_count`` gateways."""
        if gateway_count != self._gateway_count:
            self._gateway_count = gateway_count
            for budget in self._by_service.values():
                budget.limit(self._slack())

    def _slack(self):
        return (
            SHARED_BUDGET_RATIO
            * self._settings.retry_slack
            / self._gateway_count
        )


class GatewayComponents:
    """Components that the requests of one gateway share."""

    def __init__(self, settings, dialect, clock, transport):
        self.settings = settings
        self.dialect = dialect
        self.clock = clock
        self.wall = paddle_kernel.SteadyWall(clock)
        self.metrics = _metrics.GatewayMetrics()
        self.buffers = _buffers.BufferAccount(
            settings.memory_mb, clock, self.metrics
        )
        self.reach = _reach.ServerReachability(
            clock, lambda: self.follower.servers or ()
        )
        self.pool = _connections.ConnectionPool(
            clock, self.buffers, self.reach
        )
        self.balancers = {}
        self.notices = policy.ServerNotices(drain_ms=settings.drain_ms)
        self.limits = policy.ServerLimits()
        self.placements = policy.PartPlacements()
        self.turns = policy.GatewayTurns()
        self.starts = _server_starts.ServerStarts(self.balancers, clock)
        self.waiting = _waiting.WaitingRequests(self)
        self.notice_recorder = _server_notices.ServerNoticeRecorder(
            self.notices,
            self.limits,
            clock,
            self.wall,
            self.metrics,
            on_leaving=self.apply_servers,
            on_quiet=self.waiting.wake_all,
            on_brittle=self.waiting.wake_all,
        )
        self.budgets = _Budgets(settings, clock)
        self.moves = _moves.StreamMover(self)
        self.usage = _usage_counts.UsageCounts(
            self.wall, settings.usage_window_ms
        )
        incarnation = secrets.token_hex(8)
        # Other gateways that present it may send requests to this one.
        self.peer_key = secrets.token_hex(16)
        self.peers = _peers.Peers(
            settings, clock, self.reach, incarnation, self.peer_key
        )
        self.request_crashes = _request_crashes.RequestCrashRecorder(
            self, incarnation
        )
        self.follower = _follower.Follower(
            settings,
            dialect,
            clock,
            self.wall,
            transport,
            balancers=self.balancers,
            usage=self.usage,
            notices=self.notices,
            limits=self.limits,
            turns=self.turns,
            request_crashes=self.request_crashes,
            placements=self.placements,
            waiting=self.waiting,
            incarnation=incarnation,
            peers=self.peers,
        )
        self.relays = _peer_exchange.PeerRelays(self)
        self.origins = _stream_origins.StreamOrigins(self, transport)
        self.follower.on_reply(
            lambda reply: self.origins.apply_versions(
                self.follower.servers or (), reply.unlisted_versions
            )
        )
        # In a planned stop, the time at which requests in progress are cut.
        self.cut_at_ms = None
        self._last_resort_services = set()
        # Ids of the listed servers in evacuated failure domains.
        self.evacuated_ids = frozenset()
        self._evacuated_services = set()
        self._paced_services = set()
        self._servers = {}
        self._rng = random.Random()
        self.follower.on_change(self.apply_servers)
        self.follower.on_reply(lambda _reply: self.starts.log_changes())

    def apply_servers(self):
        """Apply server list, evacuations and the servers' announcements."""
        now_ms = self.clock.now_ms()
        servers = self.follower.servers or ()
        evacuated = frozenset(self.follower.evacuation.domains)
        self.evacuated_ids = frozenset(
            item.id for item in servers if item.domain in evacuated
        )
        self._servers = {item.id: item for item in servers}
        groups = collections.defaultdict(list)
        for item in servers:
            groups[item.service].append(
                policy.Engine(
                    id=item.id,
                    born_ms=item.born_ms,
                    failure_domain=item.domain,
                    cold_until_ms=item.cold_until_ms,
                    slots=item.slots,
                    cheap=item.spot,
                    leaving=item.leaving,
                    evacuated=item.id in self.evacuated_ids,
                    kv_tokens=self._kv_tokens(item.service),
                )
            )
        for service in set(self.balancers) | set(groups):
            if service not in self.balancers:
                self.balancers[service] = policy.balancers.create(
                    BALANCER,
                    rng=self._rng,
                    failure_domain=self.settings.failure_domain,
                    notices=self.notices,
                    limits=self.limits,
                    placements=self.placements,
                    load_control=self.has_load_control(service),
                    turns=self.turns,
                    cold_overage=self.settings.cold_overage,
                    cold_slack=self.settings.cold_slack,
                )
            held_work = self.balancers[service].held_work
            held_work.is_enabled = self.buffers.is_enabled
            self._configure_starts(service)
            self.balancers[service].sync(groups[service], now_ms)
            self.waiting.wake_all(service)
        self._log_evacuated(groups)
        self.share_limits()
        self.notices.retain((item.incarnation for item in servers), now_ms)
        self.limits.retain(item.incarnation for item in servers)
        self.pool.close_all_except(item.address for item in servers)
        self.moves.update_leaving(
            _server_notices.mark_known_leaving(self.notices, servers)
        )

    def _log_evacuated(self, groups):
        """Log once that a service has servers in evacuated domains only."""
        services = {
            service
            for service, engines in groups.items()
            if all(item.evacuated for item in engines)
        }
        for service in sorted(services - self._evacuated_services):
            paddle_kernel.emit(_events.ALL_SERVERS_EVACUATED, service=service)
        self._evacuated_services = services

    def share_limits(self):
        """Divide the common limits among the gateways known now."""
        gateway_count = self.follower.gateway_count
        self.budgets.set_gateway_count(gateway_count)
        for balancer in self.balancers.values():
            balancer.held_work.gateway_count = gateway_count
            balancer.held_work.index = self.limits.index
            balancer.held_work.wall_offset_ms = self.limits.wall_offset_ms

    def _configure_starts(self, service):
        """Set how servers of ``service`` that start or are cold are used."""
        table = self.follower.table
        config = table and table.configuration.services.get(service)
        if not config:
            return
        self.balancers[service].configure_starts(
            # Servers that are fast from their start need no pace, and the
            # others can't take their load in a burst.
            has_pace=self.has_load_control(service)
            and config.cold_start_ms > 0,
            cold_rate_per_s=config.cold_rate_per_s,
            cold_start_ms=config.cold_start_ms,
        )

    def log_last_resort(self, service):
        """Log once when only leaving servers of ``service`` remain."""
        if not self.balancers[service].is_last_resort:
            self._last_resort_services.discard(service)
        elif service not in self._last_resort_services:
            self._last_resort_services.add(service)
            paddle_kernel.emit(_events.ALL_SERVERS_LEAVING, service=service)

    def engine_traits(self, service):
        """Return the :class:`EngineTraits` of a service or ``None``."""
        config = self.follower.table.configuration.services.get(service)
        return config.engine if config is not None else None

    def copy_rate(self, service):
        """Return the cached tokens per ms that servers copy, 0 if they don't.

        They copy only where load control is on.
        """
        traits = self.engine_traits(service)
        if traits is None or not self.has_load_control(service):
            return 0.0
        return traits.copy_rate

    def _kv_tokens(self, service):
        if (
            not self.settings.bounds_engine_tokens
            or self.follower.table is None
        ):
            return 0
        engine = self.engine_traits(service)
        return 0 if engine is None else engine.kv_tokens

    def server(self, server_id):
        """Return the listed server.

        :raises KeyError: if it is not listed any more.
        """
        return self._servers[server_id]

    def address_of(self, server_id):
        """Return the address of a server, ``None`` if it is not listed."""
        server = self._servers.get(server_id)
        return None if server is None else server.address

    def server_ids(self, service):
        """Return the ids of the servers of ``service``."""
        return {
            item.id
            for item in self._servers.values()
            if item.service == service
        }

    def exclude_other_versions(self, call):
        """Exclude the servers that cannot continue the stream of ``call``.

        Two software versions generate different continuations, and a server
        does not know which one began a stream.
        """
        if call.software_version is not None:
            call.unsuitable = frozenset(
                item.id
                for item in self._servers.values()
                if not call.can_continue_at(item)
            )

    def connection_limit(self, service):
        """Return this gateway's share of a server's connection limit."""
        table = self.follower.table
        config = table.configuration.services.get(service)
        if config is None:
            return 1
        return max(2, config.connection_limit // self.follower.gateway_count)

    def record_response(self, call):
        """Record once that a server has started to respond to ``call``."""
        self.observe_response(call)
        self.count_usage(call)

    def observe_response(self, call):
        """Measure once how long ``call`` took until its response."""
        if not call.response_seen:
            call.response_seen = True
            self.metrics.observe_latency(
                call.route.kind.value,
                self.clock.now_ms() - call.req.received_ms,
            )

    def count_usage(self, call):
        """Count ``call`` as usage, once."""
        if call.run_started:
            return
        call.run_started = True
        if call.customer is not None:
            self.usage.count_request(call.customer.name)

    def has_load_control(self, service):
        """Whether requests of ``service`` wait and are turned away by load.

        The settings ask for it, or a server of the service has told the pace
        of its machine, so that its capacity changes from moment to moment.
        """
        return self.settings.load_control or service in self._paced_services

    def record_load(self, service, server_id, load):
        """Pass the load reported in a response to the balancer."""
        if (
            load.pace_percent is not None
            and service not in self._paced_services
        ):
            self._paced_services.add(service)
            self.balancers[service].load_control = True
            self._configure_starts(service)
        self.balancers[service].report(
            server_id,
            policy.LoadReport(
                running=load.running,
                waiting=load.waiting,
                slots=load.slots,
                pace_percent=load.pace_percent,
            ),
            self.clock.now_ms(),
        )


class Gateway:
    """One running gateway.

    ``ready_path`` is the path of the readiness check for the load balancer.
    """

    def __init__(
        self, settings, dialect, *, ready_path, clock=None, transport=None
    ):
        self.settings = settings
        self.clock = clock or paddle_kernel.SystemClock()
        self.transport = transport or paddle_kernel.TcpTransport()
        self.components = GatewayComponents(
            settings, dialect, self.clock, self.transport
        )
        self.metrics = self.components.metrics
        self._forwarder = _forward.Forwarder(self.components)
        self.entry = _entry.Entry(
            settings.listen,
            self.components.follower,
            self._forwarder,
            self.clock,
            self.components.buffers,
            max_connections=DEFAULT_DESCRIPTORS - OTHER_DESCRIPTORS,
        )
        self.peer_entry = None
        self.dump = paddle_kernel.StateDump()
        for name, part in (
            ('follower', self.components.follower),
            ('connections', self.components.pool),
            ('reach', self.components.reach),
            ('peers', self.components.peers),
            ('request_crashes', self.components.request_crashes),
            ('stream_origins', self.components.origins),
            ('entry', self.entry),
            ('relays', self.components.relays),
            ('buffers', self.components.buffers),
        ):
            self.dump.register(name, part.dump)
        self.dump.register('balancers', self._dump_balancers)
        self.dump.register('brittle', self._dump_brittle)
        self.dump.register(
            'notices',
            lambda: self.components.notices.dump(self.clock.now_ms()),
        )
        self.dump.register('limits', self.components.limits.dump)
        self.dump.register('placements', self.components.placements.dump)
        self.dump.register('waiting', self.components.waiting.dump)
        if isinstance(self.transport, paddle_kernel.TcpTransport):
            self.dump.register('traffic', self.transport.traffic.dump)
        self.dump.register(
            'peer_entry',
            lambda: self.peer_entry.dump() if self.peer_entry else None,
        )
        self.metrics.add_state_gauges(self)
        self._stopping = False
        self._greenlets = []
        self._admin_server = pywsgi.WSGIServer(
            paddle_kernel.split_address(settings.ready),
            self._application(ready_path),
            log=None,
        )

    @property
    def ready(self):
        """Whether new callers should be sent here."""
        return not self._stopping and self.components.follower.is_ready

    def start(self):
        """Start serving."""
        self._greenlets = [
            gevent.spawn(self._follow),
            gevent.spawn(self._prune_connections),
            gevent.spawn(self._watch_reach),
        ]
        self._admin_server.start()
        self.entry.start()
        self.open_peer_entry()
        paddle_kernel.emit(
            _events.STARTED,
            name=self.settings.name,
            listen=self.settings.listen,
            ready=self.settings.ready,
            loop=paddle_kernel.loop_state(),
        )
        return self

    def open_peer_entry(self):
        """Accept requests of other gateways if the settings ask for it.

        Without the listener, this gateway still serves its own callers.
        """
        address = self.settings.peer_listen
        if not address:
            return
        try:
            self.peer_entry = _peer_entry.PeerEntry(
                address, self.components, self._forwarder
            )
        except OSError as exc:
            paddle_kernel.emit(
                _events.PEER_ENTRY_FAILED, address=address, error=str(exc)
            )
            return
        self.peer_entry.start()

    def stop(self):
        """Stop gracefully; return whether all requests finished."""
        stop_start_ms = self.clock.now_ms()
        self._stopping = True
        self.entry.closing = True
        if self.peer_entry is not None:
            # Other gateways can help at once.
            self.peer_entry.close_idle()
        paddle_kernel.emit(_events.STOPPING, busy=self._busy)
        self.clock.sleep_ms(READINESS_NOTICE_MS)
        self.entry.close_idle()
        self.clock.sleep_ms(STOP_ACCEPT_MS - READINESS_NOTICE_MS)
        abort_at_ms = stop_start_ms + self.settings.stop_ms - ABORT_MARGIN_MS
        self.components.cut_at_ms = abort_at_ms
        self.entry.stop_listening()
        if self.peer_entry is not None:
            self.peer_entry.stop_listening()
        while self._busy and self.clock.now_ms() < abort_at_ms:
            self.clock.sleep_ms(STOP_POLL_MS)
        self.components.follower.step()
        unfinished = self._busy
        paddle_kernel.emit(_events.STOPPED, left=unfinished)
        self.close()
        return not unfinished

    @property
    def _busy(self):
        """The number of requests in progress, those of peers included."""
        busy = self.entry.busy
        return busy + (self.peer_entry.busy if self.peer_entry else 0)

    def reload(self, controllers):
        """Add the controller addresses of changed settings."""
        self.components.follower.add_controllers(controllers)
        paddle_kernel.emit(
            _events.SETTINGS_RELOADED, controllers=list(controllers)
        )

    def close(self):
        """Stop without waiting for requests."""
        gevent.killall(self._greenlets, block=False)
        self._admin_server.stop(timeout=0)
        self.transport.close()

    def _follow(self):
        while True:
            pause_ms = _follower.RETRY_DELAY_MS
            try:
                pause_ms = self.components.follower.step()
                self.components.share_limits()
            except Exception as exc:
                _log_failure(exc)
            self.clock.sleep_ms(pause_ms)

    def _prune_connections(self):
        while True:
            self.clock.sleep_ms(PRUNE_INTERVAL_MS)
            try:
                self.components.pool.prune()
                self.components.relays.pool.prune()
            except Exception as exc:
                _log_failure(exc)

    def _watch_reach(self):
        while True:
            self.components.reach.wait()
            was_cut = self.components.reach.is_cut
            try:
                self.components.reach.step()
            except Exception as exc:
                _log_failure(exc)
            if self.components.reach.is_cut and not was_cut:
                # Those that wait for servers can be sent through a peer.
                for service in self.components.balancers:
                    self.components.waiting.wake_all(service)

    def _application(self, ready_path):
        app = falcon.App()
        app.add_route(ready_path, _Readiness(self))
        app.add_route('/metrics', _MetricsText(self.metrics))
        app.add_route('/dump', _Dump(self.dump))
        app.add_route(
            '/explain',
            _explain.ExplanationResource(
                _explain.Explainer(self.components, self.settings.name)
            ),
        )
        return app

    def _dump_balancers(self):
        return {
            name: item.dump(self.components.clock.now_ms())
            for name, item in self.components.balancers.items()
        }

    def _dump_brittle(self):
        return {
            name: item.brittle_state(self.components.clock.now_ms())
            for name, item in self.components.balancers.items()
        }


class _Readiness:
    def __init__(self, gateway):
        self._gateway = gateway

    def on_get(self, _req, resp):
        resp.status = 200 if self._gateway.ready else 503
        resp.media = {'ready': self._gateway.ready}


class _MetricsText:
    def __init__(self, metrics):
        self._metrics = metrics

    def on_get(self, _req, resp):
        resp.content_type = 'text/plain; version=0.0.4'
        resp.data = self._metrics.text()


class _Dump:
    def __init__(self, dump):
        self._dump = dump

    def on_get(self, _req, resp):
        resp.media = self._dump.collect()


def _log_failure(exc):
    paddle_kernel.emit(
        _events.TASK_FAILED, error=f'{type(exc).__name__}: {exc}'
    )
