"""Control task of a daemon: the lease and the work of the lease holder.

Daemons with a data directory contend for the lease. The lease holder executes
the open orders and seals and reports the usage windows. Lease, orders and
windows run in separate greenlets, so that a slow platform does not delay the
renewal of the lease.
"""

import returns.result

import paddle_coord
import paddle_kernel
from paddle_router import _events
from paddle_router import _platform

# Well below the renewal period of 1,000 ms, so that a renewal starts on time
# and a contender soon notices that the lease has expired.
LEASE_TICK_MS = 200
ORDER_TICK_MS = 200
WINDOW_TICK_MS = 500
MAX_SEALS_PER_TICK = 16


class Control:
    """Contends for the lease and does the work of the lease holder."""

    def __init__(
        self,
        register,
        clock,
        incarnation,
        *,
        gateway,
        sink,
        lease_timing=None,
        window_timing=None,
        holder=None,
        contends=True,
    ):
        self._clock = clock
        self._window_ms = (
            window_timing or paddle_coord.WindowTiming()
        ).window_ms
        self._contends = contends
        self._last_cleanup_ms = None
        self._tickers = []
        self.lease = paddle_coord.Lease(
            register, clock, holder or incarnation, timing=lease_timing
        )
        self.orders = paddle_coord.OrderBook(register, self.lease, clock)
        self.runner = paddle_coord.OrderRunner(
            self.orders, self.lease, gateway, clock
        )
        self.ledger = paddle_coord.UsageLedger(register, clock, incarnation)
        self.sealer = paddle_coord.WindowSealer(
            register,
            self.lease,
            clock,
            keys=register.keys,
            delete=_conditional_delete(register),
            timing=window_timing,
        )
        self.reporter = paddle_coord.WindowReporter(
            register, self.lease, self.sealer, sink
        )

    @classmethod
    def from_settings(
        cls, settings, clock, *, register, instances, incarnation
    ):
        """Return the control task of a daemon.

        ``incarnation`` is unique for each start of the process.
        """
        return cls(
            register,
            clock,
            incarnation,
            gateway=_platform.OrderGateway(
                settings.platform, instances, clock
            ),
            sink=_platform.UsageSink(settings.platform),
            window_timing=paddle_coord.WindowTiming(
                window_ms=settings.bounds.usage_window_ms
            ),
            holder=f'{settings.name}-{incarnation}',
            contends=contends_for_lease(settings),
        )

    def start(self):
        """Start the periodic tasks if this daemon contends for the lease."""
        if not self._contends:
            return self
        for function, period_ms in (
            (self.lease.tick, LEASE_TICK_MS),
            (self.runner.step, ORDER_TICK_MS),
            (self.step_windows, WINDOW_TICK_MS),
        ):
            ticker = paddle_kernel.Ticker(
                function,
                period_ms=period_ms,
                clock=self._clock,
                on_error=_report_error,
            )
            self._tickers.append(ticker.start())
        return self

    def stop(self):
        """Stop the periodic tasks, then release the lease.

        A send in progress is aborted first, since the next lease holder
        relies on nothing being sent after the release.
        """
        self.close()
        self.lease.release()

    def close(self):
        """Stop the periodic tasks and leave the lease to expire."""
        for ticker in self._tickers:
            ticker.stop()
        self._tickers.clear()

    def write_usage(self, window, counts):
        """Write cumulative usage counts; return whether they are durable."""
        result = self.ledger.flush(window, counts)
        return isinstance(result, returns.result.Success)

    def step_windows(self):
        """Seal due windows, report sealed ones, delete settled records."""
        for _ in range(MAX_SEALS_PER_TICK):
            if self.sealer.step() is None:
                break
        self.reporter.step()
        now = self._clock.now_ms()
        due = self._last_cleanup_ms is None or (
            now - self._last_cleanup_ms >= self._window_ms
        )
        if due and self.lease.number() is not None:
            self._last_cleanup_ms = now
            self.sealer.remove_old_keys()

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'lease': self.lease.dump(),
            'usage_flushed_ms': self.ledger.flushed_ms,
        }


def contends_for_lease(settings):
    """Return whether a daemon contends for the lease.

    With replicas, only daemons with a data directory contend: without a
    majority of them no decision is possible anyway, and every contender
    reads the lease 5 times a second.
    """
    return settings.data_dir is not None or not settings.replicas


def _conditional_delete(register):
    """Return ``delete(key, function)`` for ``register``.

    ``function`` gets the value of ``key`` and returns ``None`` to delete it.
    """
    if isinstance(register, paddle_coord.Proposer):
        return register.delete

    def delete(key, function):
        return register.change(key, function).map(
            lambda change: change.value is None
        )

    return delete


def _report_error(exc):
    paddle_kernel.emit(
        _events.CONTROL_FAILED, error=type(exc).__name__, detail=str(exc)
    )
