"""Measure durable writes: ``python -m paddle_testbed.register_bench``.

Compares the register with 3 and 5 replicas over TCP on loopback with a
single local file that is synced after each write. The three take turns in
rounds of one run, because times on a shared machine are only comparable
within a run. All replicas and the proposer run in this process and share its
CPU.
"""

import os
import pathlib
import statistics
import sys
import tempfile
import time

from absl import app
from absl import flags
import gevent
import gevent.pool
import paddle_coord as coord
import paddle_kernel as kernel
import tabulate

ROUNDS = flags.DEFINE_integer('rounds', 5, 'rounds of each target', 1, 50)
WRITES = flags.DEFINE_integer('writes', 100, 'writes per round', 1, 5_000)
WRITERS = flags.DEFINE_integer('writers', 1, 'concurrent writers', 1, 256)
SYNC_DELAY_MS = flags.DEFINE_integer(
    'sync_delay_ms', 0, 'delay added to each sync, in ms', 0, 1_000
)
MAX_RUN_S = flags.DEFINE_integer(
    'limit_s', 60, 'no round starts after this time, in s', 1, 300
)

VALUE = bytes(64)


def _sync(fd):
    os.fdatasync(fd)
    if SYNC_DELAY_MS.value:
        # Runs in a thread of the pool, so it does not block the event loop.
        time.sleep(SYNC_DELAY_MS.value / kernel.MS_PER_S)


class LocalFile:
    """Baseline: append to one file and sync after each write."""

    def __init__(self, folder):
        self._fd = os.open(folder / 'baseline', os.O_RDWR | os.O_CREAT, 0o600)

    def write(self, _key):
        """Write and sync one value."""
        gevent.get_hub().threadpool.apply(self._write)

    def close(self):
        """Close the file."""
        os.close(self._fd)

    def _write(self):
        os.write(self._fd, VALUE)
        _sync(self._fd)


class Register:
    """Replicas on loopback and one proposer."""

    def __init__(self, folder, count):
        clock = kernel.SystemClock()
        self._servers, self._replicas = [], []
        for index in range(count):
            self._add_replica(folder / f'{count}-{index}', clock)
        self._transport = kernel.TcpTransport()
        addresses = [item.address for item in self._servers]
        admin = coord.ReplicaAdmin(self._transport, clock)
        admin.form(addresses).unwrap()
        self._proposer = coord.Proposer(
            self._transport, addresses, clock, 'bench'
        )

    def _add_replica(self, data_dir, clock):
        index = len(self._servers)
        server = kernel.TcpServer(
            '127.0.0.1:0',
            lambda message: self._replicas[index].handle(message),
        ).start()
        self._servers.append(server)
        self._replicas.append(
            coord.Replica.open(data_dir, server.address, clock, sync=_sync)
        )

    def write(self, key):
        """Change one key."""
        self._proposer.change(key, lambda _: VALUE).unwrap()

    def close(self):
        """Stop the replicas."""
        self._transport.close()
        for server in self._servers:
            server.stop()
        for replica in self._replicas:
            replica.stop()


def _write_timed(target, key, times_ms):
    start = time.perf_counter()
    target.write(key)
    times_ms.append((time.perf_counter() - start) * kernel.MS_PER_S)


def run_round(target, number):
    """Return (writes per second, times in ms) of one round."""
    times_ms = []
    pool = gevent.pool.Pool(WRITERS.value)
    start = time.perf_counter()
    for index in range(WRITES.value):
        pool.spawn(_write_timed, target, f'{number}/{index}', times_ms)
    pool.join(raise_error=True)
    return len(times_ms) / (time.perf_counter() - start), times_ms


def measure(targets):
    """Return ``{name: (rates, times)}``; the targets take turns."""
    results = {name: ([], []) for name in targets}
    end = time.monotonic() + MAX_RUN_S.value
    for number in range(ROUNDS.value):
        for name, target in targets.items():
            rate, times_ms = run_round(target, number)
            results[name][0].append(rate)
            results[name][1].extend(times_ms)
        if time.monotonic() > end:
            print(f'stopped by --limit_s after {number + 1} rounds')
            break
    return results


def report(results):
    """Return the table as text; ratios are relative to the first row."""
    base_rate = base_p50 = None
    lines = []
    for name, (rates, times_ms) in results.items():
        rate = statistics.median(rates)
        percentiles = statistics.quantiles(times_ms, n=100)
        base_rate, base_p50 = base_rate or rate, base_p50 or percentiles[49]
        lines.append(
            [
                name,
                f'{rate:.0f}',
                f'{percentiles[49]:.2f}',
                f'{percentiles[98]:.2f}',
                f'{rate / base_rate:.2f}',
                f'{percentiles[49] / base_p50:.2f}',
            ]
        )
    headers = ['target', 'writes/s', 'p50 ms', 'p99 ms', 'rate x', 'p50 x']
    return tabulate.tabulate(lines, headers, disable_numparse=True)


def main(_argv):
    """Run the measurement."""
    kernel.configure_log(level='WARNING')
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        targets = {
            'local file': LocalFile(folder),
            '3 replicas': Register(folder, 3),
            '5 replicas': Register(folder, 5),
        }
        results = measure(targets)
        for target in targets.values():
            target.close()
    print(
        f'{WRITERS.value} writers, {WRITES.value} writes a round, '
        f'{SYNC_DELAY_MS.value} ms added to each sync'
    )
    print(report(results))


if __name__ == '__main__':
    sys.exit(app.run(main))
