"""Control task: what the holder of the lease does.

The daemons with a disk take part in the contest for the lease. The holder
drives open orders, seals usage windows and reports them. Lease, orders and
windows run in separate greenlets, so that a slow platform does not delay a
renewal.
"""

import returns.result

import paddle_coord
import paddle_kernel
from paddle_router import _events
from paddle_router import _platform

# Well below the renewal period of 1,000 ms, so that a renewal starts on time
# and a contender notices the end of its wait soon.
LEASE_TICK_MS = 200
ORDER_TICK_MS = 200
WINDOW_TICK_MS = 500
MAX_SEALS_PER_TICK = 16


class Control:
    """Takes part in the contest for the lease and does the holder's work."""

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
        self._cleaned_ms = None
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
        """Start the periodic tasks; without contest there are none."""
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
        """End the periodic tasks, then give the lease back.

        A send in progress is aborted first, since a successor relies on
        nothing being sent after the release.
        """
        self.close()
        self.lease.release()

    def close(self):
        """End the periodic tasks and keep the lease until it expires."""
        for ticker in self._tickers:
            ticker.stop()
        self._tickers.clear()

    def write_usage(self, window, counts):
        """Write cumulative counts; return whether they are durable."""
        result = self.ledger.flush(window, counts)
        return isinstance(result, returns.result.Success)

    def step_windows(self):
        """Seal and report what is due, and remove what is settled."""
        for _ in range(MAX_SEALS_PER_TICK):
            if self.sealer.step() is None:
                break
        self.reporter.step()
        now = self._clock.now_ms()
        due = self._cleaned_ms is None or (
            now - self._cleaned_ms >= self._window_ms
        )
        if due and self.lease.number() is not None:
            self._cleaned_ms = now
            self.sealer.clean()

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'lease': self.lease.dump(),
            'usage_flushed_ms': self.ledger.flushed_ms,
        }


def contends_for_lease(settings):
    """Whether a daemon takes part in the contest for the lease.

    Those with a disk are enough: without a majority of them nothing can be
    decided anyway, and every contender reads the lease 5 times a second.
    """
    return settings.data_dir is not None or not settings.replicas


def _conditional_delete(register):
    """Return ``delete(key, function)`` of ``register``."""
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
