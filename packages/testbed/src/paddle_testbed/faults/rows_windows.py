"""Usage window row: a daemon, two sealers and a receiver of reports."""

import collections

import paddle_coord as coord

from paddle_testbed.faults import _rows
from paddle_testbed.faults import rows_lease

TIMING = coord.WindowTiming(window_ms=2_000, grace_ms=500, settle_windows=1)
SUCCESSOR_TICKS = 8


class ReportReceiver(rows_lease.Receiver):
    """Records each report with its window."""

    def put(self, conn, window, data, number, timeout_ms):
        self.arrivals.append((window, data))
        return 'accepted'


class Process(rows_lease.Process):
    """A process that seals and reports while it holds the lease."""

    def __init__(self, environment, name, receiver):
        super().__init__(environment, name)
        self.sealer = coord.WindowSealer(
            self.register,
            self.lease,
            environment.clock,
            keys=self.register.keys,
            delete=self.register.delete,
            timing=TIMING,
        )
        self.reporter = coord.WindowReporter(
            self.register, self.lease, self.sealer, receiver
        )

    def run_tick(self):
        """Seal, report and clean up, as the control task does in one tick."""
        while self.sealer.step() is not None:
            pass
        self.reporter.step()
        self.sealer.remove_old_keys()


@_rows.ROWS.register('windows.report')
class WindowsRow:
    """One report per window, and billed usage equals flushed usage."""

    def start(self, environment):
        environment.form(3)
        self.receiver = ReportReceiver()
        # Requests by window: confirmed as flushed, and possibly flushed.
        self.confirmed = collections.Counter()
        self.attempted = collections.Counter()
        wall = environment.clock.wall_ms()
        self.first_ms = wall - wall % TIMING.window_ms
        self.ledger = coord.UsageLedger(
            environment.proposer('d'), environment.clock, 'd'
        )
        self._flush(0, 1)
        environment.clock.advance(2 * TIMING.window_ms)
        self.first = Process(environment, 'a', self.receiver)
        self.second = Process(environment, 'b', self.receiver)
        self.first.lease.tick()
        self.second.lease.tick()

    def act(self, environment):
        environment.spawn('d', self._flush_late, environment)
        environment.spawn('a', self.first.run_tick)
        environment.spawn('b', self._take_over)

    def _flush_late(self, environment):
        # After the first lease holder has sealed, before its successor does.
        rows_lease.wait_until_idle(environment, rows_lease.IDLE_ROUNDS // 2)
        self._flush(0, 2)

    def _flush(self, index, requests):
        self.attempted[index] = requests
        counts = {'acme': {'chat': {'requests': requests}}}
        window = self.first_ms + index * TIMING.window_ms
        if self.ledger.flush(window, counts).value_or(None) is not None:
            self.confirmed[index] = requests

    def _take_over(self):
        self.second.take_over_when_idle()
        self.second.run_tick()

    def verify(self, environment):
        successor = Process(environment, 'c', self.receiver)
        if not successor.acquire_lease():
            return ['no successor took over']
        for _ in range(SUCCESSOR_TICKS):
            successor.lease.tick()
            successor.run_tick()
            environment.clock.sleep_ms(rows_lease.STEP_MS)
        for process in (self.first, self.second):
            process.run_tick()
        data_by_window = collections.defaultdict(set)
        for window, data in self.receiver.arrivals:
            data_by_window[window].add(data)
        problems = [
            f'window {window} was reported with {len(data)} values'
            for window, data in data_by_window.items()
            if len(data) > 1
        ]
        # A new reader, since the processes cache the seals they have read.
        reader = Process(environment, 'e', self.receiver).sealer
        problems += [
            f'window {window} is sealed with other bytes than reported'
            for window, data in data_by_window.items()
            if reader.report_bytes(window).value_or(None) not in data
        ]
        billed = coord.report_totals(
            min(data) for data in data_by_window.values()
        )
        requests = billed.get(('acme', 'chat'), (0, 0, 0))[0]
        low, high = self.confirmed.total(), self.attempted.total()
        if not low <= requests <= high:
            problems.append(f'billed {requests}, flushed {low} to {high}')
        return problems
