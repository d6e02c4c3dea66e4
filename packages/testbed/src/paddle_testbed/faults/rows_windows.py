"""Row of the usage windows: a daemon, two sealers and a receiver."""

import collections

import paddle_coord as coord

from paddle_testbed.faults import _rows
from paddle_testbed.faults import rows_lease

TIMING = coord.WindowTiming(window_ms=2_000, grace_ms=500, settle_windows=1)
SUCCESSOR_STEPS = 8


class Sink(rows_lease.Receiver):
    """Keeps every report by window."""

    def put(self, conn, window, data, number, timeout_ms):
        self.arrivals.append((window, data))
        return 'accepted'


class Process(rows_lease.Process):
    """A process that seals and reports while it holds the lease."""

    def __init__(self, world, name, sink):
        super().__init__(world, name)
        self.sealer = coord.WindowSealer(
            self.register,
            self.lease,
            world.clock,
            keys=self.register.keys,
            delete=self.register.delete,
            timing=TIMING,
        )
        self.reporter = coord.WindowReporter(
            self.register, self.lease, self.sealer, sink
        )

    def work(self):
        """Do what the control task does in one tick."""
        while self.sealer.step() is not None:
            pass
        self.reporter.step()
        self.sealer.clean()


@_rows.ROWS.register('windows.report')
class WindowsRow:
    """One report per window, and billed usage equals flushed usage."""

    def start(self, world):
        world.form(3)
        self.sink = Sink()
        # Requests by window: confirmed as written, and possibly written.
        self.confirmed = collections.Counter()
        self.attempted = collections.Counter()
        wall = world.clock.wall_ms()
        self.first_ms = wall - wall % TIMING.window_ms
        self.ledger = coord.UsageLedger(world.proposer('d'), world.clock, 'd')
        self._flush(0, 1)
        world.clock.advance(2 * TIMING.window_ms)
        self.first = Process(world, 'a', self.sink)
        self.second = Process(world, 'b', self.sink)
        self.first.lease.tick()
        self.second.lease.tick()

    def act(self, world):
        world.spawn('d', self._flush_late, world)
        world.spawn('a', self.first.work)
        world.spawn('b', self._take_over)

    def _flush_late(self, world):
        # After the first holder and before its successor seals.
        rows_lease.wait_for_quiet(world, rows_lease.QUIET_ROUNDS // 2)
        self._flush(0, 2)

    def _flush(self, index, requests):
        self.attempted[index] = requests
        counts = {'acme': {'chat': {'requests': requests}}}
        window = self.first_ms + index * TIMING.window_ms
        if self.ledger.flush(window, counts).value_or(None) is not None:
            self.confirmed[index] = requests

    def _take_over(self):
        self.second.contend()
        self.second.work()

    def verify(self, world):
        successor = Process(world, 'c', self.sink)
        if not successor.succeed():
            return ['no successor took over']
        for _ in range(SUCCESSOR_STEPS):
            successor.lease.tick()
            successor.work()
            world.clock.sleep_ms(rows_lease.STEP_MS)
        for process in (self.first, self.second):
            process.work()
        bodies = collections.defaultdict(set)
        for window, data in self.sink.arrivals:
            bodies[window].add(data)
        problems = [
            f'window {window} was reported with {len(data)} values'
            for window, data in bodies.items()
            if len(data) > 1
        ]
        # A new reader, since the processes keep seals that they have read.
        reader = Process(world, 'e', self.sink).sealer
        problems += [
            f'window {window} is sealed with other bytes than reported'
            for window, data in bodies.items()
            if reader.report_bytes(window).value_or(None) not in data
        ]
        billed = coord.report_totals(min(data) for data in bodies.values())
        requests = billed.get(('acme', 'chat'), (0, 0, 0))[0]
        low, high = self.confirmed.total(), self.attempted.total()
        if not low <= requests <= high:
            problems.append(f'billed {requests}, flushed {low} to {high}')
        return problems
