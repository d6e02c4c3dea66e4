"""Assembly of a daemon from its settings."""

import gevent

import paddle_kernel
from paddle_router import _account
from paddle_router import _config_source
from paddle_router import _core
from paddle_router import _dispatch
from paddle_router import _events
from paddle_router import _http_in
from paddle_router import _http_out
from paddle_router import _instances
from paddle_router import _metrics
from paddle_router import _resources
from paddle_router import _usage

STOP_POLL_S = 0.02


class Daemon:
    """One running daemon."""

    def __init__(self, settings, *, clock=None, config=None):
        self.settings = settings
        self.clock = clock or paddle_kernel.SystemClock()
        self.pool = _http_out.Pool(self.clock)
        self.instances = _instances.InstanceList(
            self.pool, settings.platform, clock=self.clock
        )
        self.metrics = _metrics.Metrics()
        self.usage = _usage.UsageMeter(
            self.clock, settings.bounds.usage_window_ms
        )
        self.core = _core.Core(
            settings=settings,
            clock=self.clock,
            config=config
            or _config_source.LocalConfig.from_file(settings.local_config),
            instances=self.instances,
            pool=self.pool,
            account=_account.Account(self.clock, self.metrics, self.usage),
            dispatcher=_dispatch.RoundRobin(self.instances),
        )
        self.server = _http_in.CallerServer(
            settings.listen,
            _resources.application(self.core),
            header_bytes=settings.bounds.header_bytes,
            request_ms=settings.bounds.request_ms,
        )
        self._tickers = []

    def start(self):
        """Start serving."""
        self.server.start()
        self._tick(self.instances.poll, self.settings.bounds.list_poll_ms)
        paddle_kernel.emit(
            _events.STARTED,
            name=self.settings.name,
            listen=self.server.bound,
        )
        return self

    def stop(self):
        """Stop gracefully; return whether all requests could finish."""
        paddle_kernel.emit(_events.STOPPING)
        self.core.draining = True
        self.server.draining = True
        finished = self._await_requests()
        self.close()
        paddle_kernel.emit(_events.STOPPED)
        return finished

    def close(self):
        """Stop at once."""
        for ticker in self._tickers:
            ticker.stop()
        self.server.stop(timeout=0)
        self.pool.close()

    def _await_requests(self):
        deadline_ms = self.clock.now_ms() + self.settings.bounds.stop_ms
        while self.server.busy:
            if self.clock.now_ms() >= deadline_ms:
                paddle_kernel.emit(
                    _events.STOP_TIMED_OUT, left=self.server.busy
                )
                return False
            gevent.sleep(STOP_POLL_S)
        return True

    def _tick(self, function, period_ms):
        ticker = paddle_kernel.Ticker(
            function,
            period_ms=period_ms,
            clock=self.clock,
            on_error=_report_tick_error,
        )
        self._tickers.append(ticker.start())


def _report_tick_error(exc):
    paddle_kernel.emit(_events.TICK_FAILED, error=type(exc).__name__)
