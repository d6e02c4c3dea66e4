"""Tests of usage windows: flushes, sealing, reports and removal."""

import functools
import json

import paddle_coord as coord
import paddle_kernel as kernel
import pytest
import returns.result

from paddle_coord import _seal
from paddle_coord import _windows

WINDOW_MS = 60_000
TIMING = coord.WindowTiming(settle_windows=2, retention_windows=4)
START_MS = 1_700_000_040_000 - 1_700_000_040_000 % WINDOW_MS
SEAL_DELAY_MS = WINDOW_MS + TIMING.grace_ms


class Killed(Exception):
    """The process that ran the operation is killed."""


class KillingRegister(coord.MemoryRegister):
    """Raises at each operation in ``kill_at``, before or after its effect."""

    def __init__(self, kill_at=(), after=False):
        super().__init__()
        self.kill_at = kill_at
        self.after = after
        self.count = 0

    def _operation(self, run):
        self.count += 1
        if self.count not in self.kill_at:
            return run()
        if self.after:
            run()
        raise Killed

    def change(self, key, function):
        apply = super().change
        return self._operation(lambda: apply(key, function))

    def quick_read(self, key):
        value = self.values.get(key)
        return self._operation(lambda: returns.result.Success(value))

    def keys(self, prefix):
        found = tuple(key for key in self.values if key.startswith(prefix))
        return self._operation(lambda: returns.result.Success(found))

    def delete(self, key, function):
        result = self.change(key, function)
        return result.map(lambda change: change.value is None)


class Sink:
    """Receiver that records the bodies of all reports by window."""

    def __init__(self):
        self.reports = {}
        self.answer = 'accepted'

    def connect(self):
        return self

    def close(self):
        pass

    def put(self, conn, window, data, number, timeout_ms):
        self.reports.setdefault(window, []).append(data)
        if self.answer is None:
            raise TimeoutError
        return self.answer


class Holder:
    def __init__(self, register, clock, sink, name):
        self.lease = coord.Lease(register, clock, name)
        self.sealer = coord.WindowSealer(
            register,
            self.lease,
            clock,
            keys=register.keys,
            delete=register.delete,
            timing=TIMING,
        )
        self.reporter = coord.WindowReporter(
            register, self.lease, self.sealer, sink
        )

    def step(self):
        self.lease.tick()
        self.sealer.step()
        self.reporter.step()
        self.sealer.remove_old_keys()


def counts(requests):
    return {
        'acme': {
            'chat': {
                'requests': requests,
                'prompt_tokens': 10 * requests,
                'generated_tokens': 100 * requests,
            }
        }
    }


def total(requests):
    if not requests:
        return {}
    return {('acme', 'chat'): (requests, 10 * requests, 100 * requests)}


@pytest.fixture
def clock():
    return kernel.FakeClock(wall_start_ms=START_MS)


@pytest.fixture
def register():
    return KillingRegister()


@pytest.fixture
def sink():
    return Sink()


@pytest.fixture
def holder(register, clock, sink):
    holder = Holder(register, clock, sink, 'a')
    holder.lease.tick()
    return holder


@pytest.fixture
def ledger(register, clock):
    return coord.UsageLedger(register, clock, 'd1')


def billed_totals(sink):
    return coord.report_totals(bodies[0] for bodies in sink.reports.values())


def test_flush_is_idempotent_and_never_decreases(register, ledger):
    # Guards against a delayed older flush that lowers the counts.
    ledger.flush(START_MS, counts(3))
    ledger.flush(START_MS, counts(3))
    ledger.flush(str(START_MS), counts(2))
    stored = json.loads(register.values[f'usage/{START_MS}/d1'])
    assert stored == counts(3)


def test_window_is_sealed_after_its_grace_period(clock, holder, ledger):
    # Guards against reports that miss the last flush of a window.
    ledger.flush(START_MS, counts(1))
    clock.advance(SEAL_DELAY_MS - 1)
    holder.lease.tick()
    assert holder.sealer.step() is None
    clock.advance(1)
    assert holder.sealer.step() == START_MS


def test_report_sums_daemons_and_repeats_the_same_bytes(
    register, clock, holder, ledger, sink
):
    # Guards against two reports of one window with different values.
    ledger.flush(START_MS, counts(1))
    coord.UsageLedger(register, clock, 'd2').flush(START_MS, counts(2))
    clock.advance(SEAL_DELAY_MS)
    sink.answer = None
    holder.step()
    ledger.flush(START_MS, counts(5))
    sink.answer = 'accepted'
    holder.step()
    first, second = sink.reports[str(START_MS)]
    assert first == second
    assert coord.report_totals([first]) == total(3)
    assert holder.sealer.report_bytes(START_MS).unwrap() == first


def test_late_usage_is_billed_once_under_its_own_id(
    clock, holder, ledger, sink
):
    # Guards against late usage that is lost or billed twice.
    ledger.flush(START_MS, counts(1))
    clock.advance(SEAL_DELAY_MS)
    holder.step()
    ledger.flush(START_MS, counts(4))
    for _ in range(3):
        clock.advance(WINDOW_MS)
        holder.step()
    (late,) = json.loads(sink.reports[str(START_MS + WINDOW_MS)][0])['late']
    assert late['id'] == f'late/{START_MS}/d1'
    assert late['usage'][0]['requests'] == 3
    assert billed_totals(sink) == total(4)


def test_windows_are_reported_in_order(clock, holder, ledger, sink):
    # Guards against a gap in the reports after the platform was unreachable.
    sink.answer = None
    for index in range(3):
        ledger.flush(START_MS + index * WINDOW_MS, counts(1))
    clock.advance(4 * WINDOW_MS)
    for _ in range(3):
        holder.step()
    sink.answer = 'accepted'
    sink.reports.clear()
    holder.step()
    assert list(sink.reports) == [
        str(START_MS + index * WINDOW_MS) for index in range(3)
    ]


def test_conflict_is_kept_and_does_not_block_later_windows(
    register, clock, holder, ledger, sink
):
    # Guards against one conflicting window that stops all reports.
    ledger.flush(START_MS, counts(1))
    ledger.flush(START_MS + WINDOW_MS, counts(1))
    clock.advance(2 * SEAL_DELAY_MS)
    sink.answer = 'conflict'
    holder.step()
    sink.answer = 'accepted'
    holder.step()
    reported = _seal.ReportProgress.from_bytes(
        register.values[_windows.REPORTED_KEY]
    )
    assert reported == _seal.ReportProgress(START_MS + WINDOW_MS, (START_MS,))


def test_nothing_is_reported_without_the_lease(
    register, clock, holder, ledger, sink
):
    # Guards against reports of a process that does not hold the lease.
    ledger.flush(START_MS, counts(1))
    clock.advance(SEAL_DELAY_MS)
    holder.lease.tick()
    holder.sealer.step()
    other = Holder(register, clock, sink, 'b')
    other.step()
    clock.advance(holder.lease.remaining_ms())
    holder.reporter.step()
    assert sink.reports == {}


def test_settled_usage_is_removed_only_after_it_is_billed(
    register, clock, holder, ledger
):
    # Guards against usage that is removed before it is billed.
    key = f'usage/{START_MS}/d1'
    ledger.flush(START_MS, counts(1))
    ledger.flush(START_MS + 3 * WINDOW_MS, counts(1))
    clock.advance(5 * WINDOW_MS)
    holder.lease.tick()
    assert holder.sealer.step() == START_MS
    assert holder.sealer.step() == START_MS + 3 * WINDOW_MS
    ledger.flush(START_MS, counts(2))
    holder.sealer.remove_old_keys()
    assert key in register.values
    clock.advance(WINDOW_MS)
    holder.step()
    assert key not in register.values


def test_flush_after_removal_bills_only_the_difference(
    register, clock, holder, ledger, sink
):
    # Guards against billing a window twice when its key is written again.
    ledger.flush(START_MS, counts(2))
    for index in range(1, 4):
        ledger.flush(START_MS + index * WINDOW_MS, counts(1))
    clock.advance(5 * WINDOW_MS)
    for _ in range(6):
        holder.step()
    assert f'usage/{START_MS}/d1' not in register.values
    ledger.flush(START_MS, counts(3))
    for _ in range(3):
        clock.advance(WINDOW_MS)
        holder.step()
    assert billed_totals(sink) == total(6)


def test_seals_are_removed_after_the_retention(
    register, clock, holder, ledger, sink
):
    # Guards against a store that grows with every window.
    for index in range(8):
        ledger.flush(START_MS + index * WINDOW_MS, counts(1))
        clock.advance(WINDOW_MS)
        holder.step()
    clock.advance(WINDOW_MS)
    holder.step()
    kept = [key for key in register.values if key.startswith('seal/')]
    assert len(kept) == TIMING.retention_windows + 1
    ledger.flush(START_MS, counts(9))
    for _ in range(2):
        clock.advance(WINDOW_MS)
        holder.step()
    assert f'usage/{START_MS}/d1' not in register.values
    assert billed_totals(sink) == total(8)


class Scenario:
    """Daemons and lease holders of which one or more are killed.

    ``stored_requests`` has the requests in the register, by window and
    daemon.
    """

    def __init__(self, kill_at=(), after=False):
        self.register = KillingRegister(kill_at, after)
        self.clock = kernel.FakeClock(wall_start_ms=START_MS)
        self.sink = Sink()
        self.names = iter('abcdefgh')
        self.stored_requests = {}
        self.kills_both = False
        self.restart_holder()
        self.restart_daemon()

    def restart_holder(self):
        self.holder = Holder(
            self.register, self.clock, self.sink, next(self.names)
        )

    def restart_daemon(self):
        self.daemon = f'd{next(self.names)}'
        self.ledger = coord.UsageLedger(self.register, self.clock, self.daemon)

    def run_with_restart(self, function):
        try:
            function()
        except Killed:
            is_flush = function.func == self.flush
            if self.kills_both or not is_flush:
                self.restart_holder()
            if self.kills_both or is_flush:
                self.restart_daemon()

    def flush(self, index, requests):
        window = START_MS + index * WINDOW_MS
        try:
            self.ledger.flush(window, counts(requests))
        finally:
            data = self.register.values.get(f'usage/{window}/{self.daemon}')
            if data is not None:
                stored = json.loads(data)['acme']['chat']['requests']
                self.stored_requests[window, self.daemon] = stored

    def run(self):
        flush = functools.partial(functools.partial, self.flush)
        step = functools.partial(lambda: self.holder.step())
        for action in (
            *(flush(0, 1), step, flush(0, 2), flush(1, 1), step, step),
            *(flush(0, 3), step, flush(3, 1), flush(1, 4), step, step),
            *(flush(0, 5), step, step),
        ):
            self.run_with_restart(action)
            self.clock.advance(WINDOW_MS // 4)
        for _ in range(14):
            self.run_with_restart(step)
            self.clock.advance(WINDOW_MS // 2)
        return self

    def find_problems(self):
        found = [
            f'window {window} reported with different values'
            for window, bodies in self.sink.reports.items()
            if len(set(bodies)) > 1
        ]
        expected = total(sum(self.stored_requests.values()))
        if billed_totals(self.sink) != expected:
            found.append(f'billed {billed_totals(self.sink)}, used {expected}')
        return found


OPERATIONS = Scenario().run().register.count


@pytest.mark.parametrize('kills_both', [False, True])
@pytest.mark.parametrize('after', [False, True])
@pytest.mark.parametrize('gap', [0, 4])
def test_kill_at_any_operation_neither_loses_nor_doubles_usage(
    after, kills_both, gap
):
    # Guards against lost or doubled usage when the daemon, the holder or
    # both are killed before or after any register operation, and when the
    # successor is killed a few operations later.
    assert OPERATIONS > 100
    for kill_at in range(1, OPERATIONS + 1):
        scenario = Scenario((kill_at, kill_at + gap), after)
        scenario.kills_both = kills_both
        assert scenario.run().find_problems() == [], f'operation {kill_at}'
