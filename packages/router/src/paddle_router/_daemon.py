"""A daemon: construction from its settings, start and graceful stop."""

import paddle_coord
import paddle_kernel
from paddle_kernel import settings as kernel_settings
from paddle_router import _account
from paddle_router import _admission
from paddle_router import _config_polling
from paddle_router import _config_source
from paddle_router import _control
from paddle_router import _core
from paddle_router import _dispatch
from paddle_router import _drains
from paddle_router import _engine_watch
from paddle_router import _events
from paddle_router import _hosting
from paddle_router import _http_in
from paddle_router import _instances
from paddle_router import _metrics
from paddle_router import _operator
from paddle_router import _planning
from paddle_router import _policies
from paddle_router import _resources
from paddle_router import _shares
from paddle_router import _status
from paddle_router import _usage

STOP_POLL_PERIOD_MS = 20
FLUSH_RETRY_DELAY_MS = 200
# Rare, since obsolete records only take up space and each run lists all keys.
CLEANUP_PERIOD_MS = 600_000


class Daemon:
    """One daemon.

    Tests pass a ``register`` to use instead of the one in the settings.
    """

    def __init__(self, settings, *, clock=None, register=None):
        self.settings = settings
        self.clock = clock or paddle_kernel.SystemClock()
        self.transport = paddle_kernel.TcpTransport()
        self.hosting = _hosting.ReplicaHost(settings, self.clock)
        self.register = register or _hosting.open_register(
            settings, self.clock, self.transport
        )
        self.replica_admin = paddle_coord.ReplicaAdmin(
            self.transport, self.clock
        )
        self.metrics = _metrics.Metrics()
        self.usage = _usage.UsageMeter(
            self.clock, settings.bounds.usage_window_ms
        )
        self.core = self._build_core()
        self.control = _control.Control.from_settings(
            settings,
            self.clock,
            register=self.register,
            instances=self.core.instances,
            incarnation=self.usage.incarnation,
        )
        self.usage.ledger = self.control.write_usage
        self.drains = _drains.DrainList(
            self.register, self.core.instances.set_draining
        )
        self.planning = _planning.from_settings(
            settings, self.control, self.drains, self.core
        )
        self.dump = paddle_kernel.StateDump()
        self.status = _status.Status(self)
        self.server = self._build_caller_server()
        self.operator = self._build_operator_server()
        self._tickers = []
        self._connect_components()

    def start(self):
        """Start serving."""
        bounds = self.settings.bounds
        core = self.core
        self.hosting.start()
        self._start_ticker(self.hosting.open_replica, _hosting.OPEN_RETRY_MS)
        poll = _config_polling.ConfigPoll(core, self.metrics)
        for rate_limited_poll in (
            _config_polling.RateLimitedPoll(core, poll.poll),
            _config_polling.RateLimitedPoll(
                core, core.shares.poll, _shares.MAX_REPORT_PERIOD_MS
            ),
        ):
            self._start_ticker(rate_limited_poll.poll, bounds.config_poll_ms)
        self._start_ticker(core.instances.poll, bounds.list_poll_ms)
        self._start_ticker(core.dispatcher.tick, _dispatch.TICK_MS)
        self._start_ticker(self._check_idle_timeouts, _dispatch.TICK_MS)
        self._start_ticker(self._engine_watch.poll, bounds.load_poll_ms)
        self._start_ticker(self.usage.flush, bounds.usage_flush_ms)
        self.control.start()
        self._start_ticker(self.drains.poll, _drains.POLL_PERIOD_MS)
        self._start_ticker(self._delete_obsolete_records, CLEANUP_PERIOD_MS)
        if self.planning is not None:
            self._start_ticker(self.planning.step, _planning.PLAN_TICK_MS)
        self.server.start()
        self.operator.start()
        paddle_kernel.emit(
            _events.STARTED,
            name=self.settings.name,
            listen=self.server.bound_address,
            operator=self.operator.bound_address,
        )
        return self

    def drain(self, undo=False):
        """Fail the readiness check, so that load balancers send no callers.

        ``undo`` makes the daemon ready again.
        """
        self.core.draining = not undo
        paddle_kernel.emit(_events.DRAINING, undo=undo)

    def stop(self):
        """Stop gracefully; return whether all requests have finished."""
        paddle_kernel.emit(_events.STOPPING)
        self.drain()
        self.control.stop()
        deadline_ms = self.clock.now_ms() + self.settings.bounds.stop_ms
        # Load balancers see /readyz fail before the listener closes.
        self.clock.sleep_ms(self.settings.bounds.notice_ms)
        self.server.begin_stop()
        self.core.shares.is_leaving = True
        finished = self._await_requests(deadline_ms)
        while not self.usage.flush() and self.clock.now_ms() < deadline_ms:
            self.clock.sleep_ms(FLUSH_RETRY_DELAY_MS)
        self.close()
        paddle_kernel.emit(_events.STOPPED)
        return finished

    def close(self):
        """Stop at once, without releasing a lease that is still held."""
        self.control.close()
        for ticker in self._tickers:
            ticker.stop()
        self.server.stop(timeout=0)
        self.operator.stop(timeout=0)
        self.hosting.stop()
        self.transport.close()

    def _build_core(self):
        policies = _policies.Policies()
        register = self.register
        core = _core.Core(
            settings=self.settings,
            clock=self.clock,
            config=_config_source.ConfigSource.from_register(
                register, self.clock, self.settings.data_dir
            ),
            instances=_instances.InstanceList(
                self.settings.platform, clock=self.clock
            ),
            policies=policies,
            dispatcher=_dispatch.Dispatcher(
                self.clock, policies, self.metrics
            ),
            account=_account.Account(
                self.clock, self.metrics, self.usage, policies
            ),
            claims=paddle_coord.ClaimBook(
                register,
                self.clock,
                f'{self.settings.name}-{self.usage.incarnation}',
                keys=register.keys,
                delete=register.delete,
            ),
        )
        core.admission = _admission.Admission(core)
        core.shares = _shares.ShareTask(
            core, self.transport, self._replica_addresses, self.settings
        )
        return core

    def _replica_addresses(self):
        """Return the current replicas, at first those in the settings."""
        view = getattr(self.register, 'view', None)
        members = view.new if view is not None else ()
        addresses = tuple(member.address for member in members)
        return addresses or self.settings.replicas

    def _connect_components(self):
        core = self.core
        self._engine_watch = _engine_watch.EngineWatch(core)
        core.dispatcher.set_probe_sender(self._engine_watch.probe)
        core.instances.on_change(core.dispatcher.sync)
        core.config.on_change(core.dispatcher.apply)
        core.config.on_change(
            _config_polling.RevokedKeyHandler(core).on_config_change
        )
        for name, part in (
            ('config', core.config),
            ('instances', core.instances),
            ('dispatcher', core.dispatcher),
            ('shares', core.shares),
            ('usage', self.usage),
            ('control', self.control),
            ('drains', self.drains),
            ('hosting', self.hosting),
            ('traffic_as_client', self.transport.traffic),
            ('traffic_as_replica', self.hosting.traffic),
        ):
            self.dump.register(name, part.dump)
        self.dump.register('requests', self.status.requests)
        if self.planning is not None:
            self.dump.register('planner', self.planning.dump)
        self.status.install_gauges(self.metrics)

    def _build_caller_server(self):
        return _http_in.CallerServer(
            self.settings.listen,
            _resources.application(self.core),
            header_bytes=self.settings.bounds.header_bytes,
            request_ms=self.settings.bounds.request_ms,
        )

    def _build_operator_server(self):
        token = kernel_settings.read_secret(self.settings.operator_token_file)
        admin = _operator.ReplicaOperations(self.replica_admin)
        resources = {
            '/status': _operator.GetResource(self.status.collect),
            '/dump': _operator.GetResource(self.dump.collect),
            '/config': _operator.GetResource(self.core.config.describe),
            '/metrics': _operator.MetricsResource(self.metrics),
            '/changes': _operator.ChangesResource(self.core.config),
            '/replicas/form': _operator.PostResource(admin.form),
            '/replicas/replace': _operator.PostResource(admin.replace),
            '/drain': _operator.PostResource(self._drain_request),
        }
        return _http_in.CallerServer(
            self.settings.operator,
            _operator.application(
                token, resources, _resources.ErrorHandlers(self.metrics)
            ),
            header_bytes=self.settings.bounds.header_bytes,
            request_ms=self.settings.bounds.request_ms,
        )

    def _drain_request(self, document):
        self.drain(undo=bool(document.get('undo')))
        return _operator.success({'draining': self.core.draining})

    def _delete_obsolete_records(self):
        """Delete old claims and configuration slots while lease holder."""
        if self.control.lease.number() is not None:
            self.core.config.collect()
            self.core.claims.collect()

    def _check_idle_timeouts(self):
        now_ms = self.clock.now_ms()
        for relay in list(self.core.active):
            relay.check_idle_timeout(now_ms)

    def _await_requests(self, deadline_ms):
        while self.server.requests_in_progress:
            if self.clock.now_ms() >= deadline_ms:
                paddle_kernel.emit(
                    _events.STOP_TIMED_OUT,
                    left=self.server.requests_in_progress,
                )
                return False
            self.clock.sleep_ms(STOP_POLL_PERIOD_MS)
        return True

    def _start_ticker(self, function, period_ms):
        ticker = paddle_kernel.Ticker(
            function,
            period_ms=period_ms,
            clock=self.clock,
            on_error=_report_tick_error,
        )
        self._tickers.append(ticker.start())


def _report_tick_error(exc):
    paddle_kernel.emit(_events.TICK_FAILED, error=type(exc).__name__)
