"""Assembly of a controller."""

import pathlib
import secrets

import falcon
import gevent
import gevent.event
from gevent import pywsgi

import paddle_coord
import paddle_kernel
from paddle_router.controller import _clocks
from paddle_router.controller import _control_api
from paddle_router.controller import _duties
from paddle_router.controller import _evacuation
from paddle_router.controller import _events
from paddle_router.controller import _fenced_sender
from paddle_router.controller import _fleet
from paddle_router.controller import _gateway_sums
from paddle_router.controller import _platform
from paddle_router.controller import _request_crashes
from paddle_router.controller import _scaling
from paddle_router.controller import _server_list
from paddle_router.controller import _state_exchange
from paddle_router import gateway

# Gateways receive a change one exchange (250 ms) after the controller reads
# it.
REFRESH_PERIOD_MS = 200
IDLE_REFRESH_PERIOD_MS = 1_000
LIST_PERIOD_MS = 500
# Period of reading the server list without a reachable lease holder. Each
# controller with gateways then reads it itself; the platform limits and
# charges for the reads of all controllers together.
FALLBACK_LIST_PERIOD_MS = 1_000
LEASE_TICK_PERIOD_MS = 200
# Period of reading the lease while its holder replies to reports. Each read
# queries all replicas.
FOLLOWER_LEASE_PERIOD_MS = 3_000
USAGE_PERIOD_MS = 400
SCALING_PERIOD_MS = 500
CLOCK_CHECK_PERIOD_MS = 250
VERSIONS_PERIOD_MS = 150
REPLICA_RETRY_MS = 500
MAX_LOGGED_ENTRIES = 10
# Path of the evacuations for the operator's command.
EVACUATION_PATH = '/evacuation'
# Time limit for a register change with its retries; an operator tries another
# controller after a second.
REGISTER_CHANGE_TIMEOUT_MS = 1_500
REGISTER_CALL_TIMEOUT_MS = 400
# With the release of the lease below the 8 s within which a stopped process
# has to end.
LEAVE_TIMEOUT_MS = 4_000


class Controller:
    """Stores the configuration, serves gateways and runs periodic duties.

    While it holds the lease, it also seals and reports usage and orders
    backend servers. Operators use ``config_path`` and, if it is given,
    ``evacuation_path``; the latter is also served as ``/evacuation``.
    """

    def __init__(
        self,
        settings,
        dialect,
        platform,
        *,
        config_path,
        evacuation_path=None,
        clock=None,
        transport=None,
    ):
        self.settings = settings
        self.platform = platform
        self.clock = clock or paddle_kernel.SystemClock()
        self.wall = paddle_kernel.SteadyWall(self.clock)
        self.transport = transport or paddle_kernel.TcpTransport()
        self.fleet = _fleet.Fleet(self.clock, self.wall)
        self.clocks = _clocks.ClockComparison(
            self.clock,
            self.wall,
            self.transport,
            members=self.members,
            own_address=settings.peer,
        )
        self.replica = None
        self.forming = None
        self.register = paddle_coord.Proposer(
            self.transport,
            settings.seeds,
            self.clock,
            settings.name,
            options=paddle_coord.ProposerOptions(
                call_timeout_ms=REGISTER_CALL_TIMEOUT_MS,
                change_limit_ms=REGISTER_CHANGE_TIMEOUT_MS,
            ),
        )
        self.document = paddle_coord.VersionedDocument(
            self.register, self.clock
        )
        self.evacuations = _evacuation.Evacuations(
            self.register,
            self.clock,
            is_served=evacuation_path is not None,
        )
        self.lease = paddle_coord.Lease(
            self.register,
            self.clock,
            f'{settings.peer}/{secrets.token_hex(8)}',
            timing=paddle_coord.LeaseTiming(
                duration_ms=settings.lease_ms,
                in_flight_ms=_fenced_sender.MAX_IN_FLIGHT_MS,
            ),
        )
        self.fenced_sender = _fenced_sender.FencedSender(self.lease, platform)
        self.usage = _duties.UsageDuty(settings, self)
        self.scaling = _scaling.ScalingDuty(self)
        self._dialect = dialect
        self._decoded = None
        self.dump = paddle_kernel.StateDump()
        for name, component in (
            ('document', self.document),
            ('evacuations', self.evacuations),
            ('lease', self.lease),
            ('fleet', self.fleet),
            ('usage', self.usage),
            ('scaling', self.scaling),
        ):
            self.dump.register(name, component.dump)
        self.dump.register(
            'replica', lambda: self.replica.dump() if self.replica else None
        )
        self.exchange = _state_exchange.StateExchange(
            self,
            gateway.ControllerLocation(
                address=settings.peer, domain=settings.failure_domain
            ),
        )
        self._lease_read_ms = None
        self._fallback_list_read_ms = None
        self._rejected_entries = set()
        self.dump.register('sums', self.exchange.sums.dump)
        self.dump.register(
            'request_crashes', self.exchange.request_crashes.dump
        )
        self.dump.register('peers', self.exchange.peers.dump)
        self.dump.register('limits', self.exchange.limits.dump)
        self.dump.register('stream_origins', self.exchange.origins.dump)
        self.dump.register('traffic', self.transport.traffic.dump)
        self._peer_server = paddle_kernel.TcpServer(
            settings.peer,
            self._handle,
            reduce_answer=_state_exchange.reduce_answer,
        )
        self._api_server = pywsgi.WSGIServer(
            paddle_kernel.split_address(settings.listen),
            self._application(dialect, config_path, evacuation_path),
            log=None,
            error_log=None,
            handler_class=_control_api.OperatorHandler,
        )
        self.list_requested = gevent.event.Event()
        self._refresh_wake = gevent.event.Event()
        self._is_refresh_requested = False
        self._greenlets = []

    @property
    def holds_lease(self):
        """Whether this process holds the lease."""
        return self.lease.number() is not None

    def configuration(self):
        """Return the decoded configuration, ``None`` if there is none."""
        current = self.document.current
        if current is None:
            return None
        if self._decoded is None or self._decoded.version != current.version:
            self._decoded = self._dialect.read_configuration(current.content)
        return self._decoded

    def start(self):
        """Start the servers and the periodic tasks; return ``self``."""
        self._peer_server.start()
        self._api_server.start()
        self._run(self._keep_membership, paddle_coord.MEMBERSHIP_LOOK_MS)
        self._run(self._refresh, REFRESH_PERIOD_MS, wake=self._refresh_wake)
        self._run(self._tick_lease, LEASE_TICK_PERIOD_MS)
        self._run(self._read_list, LIST_PERIOD_MS, wake=self.list_requested)
        self._run(self.exchange.relay, _gateway_sums.RELAY_PERIOD_MS)
        self._run(
            self.exchange.decide_on_refusals,
            _request_crashes.DECISION_PERIOD_MS,
        )
        self._run(self.exchange.track_versions, VERSIONS_PERIOD_MS)
        self._run(self.clocks.step, CLOCK_CHECK_PERIOD_MS)
        if self.settings.reports_usage:
            self._run(self.usage.step, USAGE_PERIOD_MS)
        if self.settings.orders_servers:
            self._run(self.scaling.step, SCALING_PERIOD_MS)
        paddle_kernel.emit(
            _events.STARTED,
            name=self.settings.name,
            listen=self.settings.listen,
            peer=self.settings.peer,
            first_start=self.settings.first_start,
            loop=paddle_kernel.loop_state(),
        )
        return self

    def stop(self):
        """Release the lease, leave the replica set and stop; return true."""
        paddle_kernel.emit(_events.STOPPING, in_charge=self.holds_lease)
        with gevent.Timeout(2 * REGISTER_CHANGE_TIMEOUT_MS / 1_000, False):
            self.lease.release()
        if self.forming is not None:
            with gevent.Timeout(LEAVE_TIMEOUT_MS / 1_000, False):
                self.forming.leave()
        self.close()
        return True

    def reload(self, controllers):
        """Add the peer addresses of reloaded settings."""
        self.register.add_addresses(controllers)
        if self.forming is not None:
            self.forming.known.update(controllers)
        paddle_kernel.emit(
            _events.SETTINGS_RELOADED, controllers=list(controllers)
        )

    def close(self):
        """Stop immediately without releasing the lease."""
        gevent.killall(self._greenlets, block=False)
        self._api_server.stop(timeout=0)
        self._peer_server.stop()
        if self.replica is not None:
            self.replica.stop()
        self.transport.close()

    # Periodic work

    def _run(self, function, period_ms, wake=None):
        def loop():
            while True:
                try:
                    function()
                except Exception as exc:
                    paddle_kernel.emit(
                        _events.TASK_FAILED,
                        task=function.__name__,
                        error=f'{type(exc).__name__}: {exc}',
                    )
                if wake is None:
                    self.clock.sleep_ms(period_ms)
                else:
                    wake.wait(period_ms / paddle_kernel.MS_PER_S)
                    wake.clear()

        self._greenlets.append(gevent.spawn(loop))

    def _keep_membership(self):
        if self.forming is None:
            self._open_replica()
        if self.forming is not None:
            self.forming.step(self.register.view)

    def _open_replica(self):
        try:
            # A disk may hang for seconds.
            paddle_kernel.run_in_thread(self._open_missing)
        except (OSError, paddle_coord.StoreError) as exc:
            paddle_kernel.emit(_events.REPLICA_FAILED, error=str(exc))

    def _open_missing(self):
        """Open the replica and its membership task unless they are open."""
        folder = pathlib.Path(self.settings.data_dir) / 'replica'
        if self.replica is None:
            folder.mkdir(parents=True, exist_ok=True)
            self.replica = paddle_coord.Replica.open(
                folder, self.settings.peer, self.clock
            )
        self.forming = paddle_coord.SelfForming.open(
            self.replica,
            self.transport,
            self.clock,
            paddle_coord.Placement(
                self.settings.peer,
                self.settings.seeds,
                self.settings.tolerated_losses,
            ),
            data_dir=folder,
            first_start=self.settings.first_start,
        )

    def _refresh(self):
        if not self.register.view.epoch:
            if self.forming is not None:
                self.register.add_addresses(self.forming.known)
            if not self.register.refresh_view().epoch:
                return
        # Before the configuration, without which gateways serve nothing.
        self.exchange.request_crashes.load(self.register)
        self.exchange.origins.load(self.register)
        if not self.evacuations.is_known and not self.evacuations.refresh():
            return
        if self._needs_fresh_document():
            # Also while the lease holder confirms the configuration: one of
            # the version before does not report evacuations.
            self.evacuations.refresh_if_due()
        age_ms = self.document.age_ms()
        if age_ms is not None:
            if age_ms < REFRESH_PERIOD_MS:
                return
            if (
                age_ms < _state_exchange.HOLDER_SILENCE_MS
                and not self.exchange.is_holder_silent()
            ):
                return
            if (
                age_ms < IDLE_REFRESH_PERIOD_MS
                and not self._needs_fresh_document()
            ):
                return
        self._is_refresh_requested = False
        self.document.refresh()

    def request_refresh(self):
        """Compare the configuration soon, for a gateway that asked for it."""
        self._is_refresh_requested = True
        self._refresh_wake.set()

    def _needs_fresh_document(self):
        """Whether gateways or peers depend on this controller's document."""
        return (
            self.holds_lease
            or self.fleet.serves_gateways
            or self._is_refresh_requested
        )

    def _tick_lease(self):
        """Try to acquire or renew the lease; rarely while the holder replies.

        Skipping a read only delays a takeover: the wait for an unchanged
        lease starts with the next read.
        """
        now_ms = self.clock.now_ms()
        if (
            not self.holds_lease
            and not self.exchange.is_holder_silent()
            and self._lease_read_ms is not None
            and now_ms - self._lease_read_ms < FOLLOWER_LEASE_PERIOD_MS
        ):
            return
        self._lease_read_ms = now_ms
        self.lease.tick()
        self.fleet.set_lease_held(self.holds_lease)

    def _may_read_list(self):
        """Whether to read the platform's list.

        The other controllers receive the lease holder's list.
        """
        if self.holds_lease:
            return True
        if (
            not self.fleet.serves_gateways
            or not self.exchange.is_holder_silent()
        ):
            return False
        now_ms = self.clock.now_ms()
        if (
            self._fallback_list_read_ms is not None
            and now_ms - self._fallback_list_read_ms < FALLBACK_LIST_PERIOD_MS
            and self.fleet.servers is not None
        ):
            return False
        self._fallback_list_read_ms = now_ms
        return True

    def _read_list(self):
        if not self._may_read_list():
            return
        try:
            listing = self.platform.list_servers()
        except (OSError, _platform.PlatformError) as exc:
            paddle_kernel.emit(
                _events.LIST_FAILED,
                error=str(exc),
                age_ms=self.fleet.list_age_ms(),
            )
            return
        servers, unencodable = _server_list.split_encodable(listing.servers)
        self._log_rejected_entries(listing.rejected + unencodable)
        if self.fleet.set_servers(servers, is_platform_read=True):
            self.exchange.log_list()

    def _log_rejected_entries(self, rejected):
        """Log the entries that are not used, once until they change."""
        if rejected and set(rejected) != self._rejected_entries:
            paddle_kernel.emit(
                _events.ENTRIES_REJECTED,
                count=len(rejected),
                entries=[
                    f'{item.entry}: {item.reason}'
                    for item in rejected[:MAX_LOGGED_ENTRIES]
                ],
            )
        self._rejected_entries = set(rejected)

    # Messages

    def _handle(self, message):
        if isinstance(message, gateway.SyncRequest):
            return self.exchange.handle_sync(message)
        if isinstance(message, gateway.ControllerReport):
            return self.exchange.handle_report(message)
        if isinstance(message, gateway.RecordStreams):
            return self.exchange.origins.handle_record(message)
        if isinstance(message, gateway.FindStream):
            return self.exchange.origins.handle_query(message)
        if self.replica is None:
            return None
        return self.replica.handle(message)

    def members(self):
        """Return the peer addresses of the replica set."""
        return tuple(item.address for item in self.register.view.new)

    def _application(self, dialect, config_path, evacuation_path):
        app = falcon.App()
        app.add_route(
            config_path,
            _control_api.ConfigurationResource(self.document, dialect),
        )
        if evacuation_path is not None:
            listing = _control_api.EvacuationListResource(self.evacuations)
            domain = _control_api.EvacuationResource(
                self.evacuations, self.fleet, self.clock
            )
            for path in (evacuation_path, EVACUATION_PATH):
                app.add_route(path, listing)
                app.add_route(path + '/{domain}', domain)
        app.add_route('/dump', _DumpResource(self.dump))
        return app


class _DumpResource:
    def __init__(self, dump):
        self._dump = dump

    def on_get(self, _req, resp):
        resp.media = self._dump.collect()
