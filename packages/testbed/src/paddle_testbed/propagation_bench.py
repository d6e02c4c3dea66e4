"""Measure how long a configuration change takes to reach all followers.

``python -m paddle_testbed.propagation_bench --daemons=8,32,128`` runs three
replicas and the followers in worker processes and the submitter in this one,
all over TCP on loopback. Each follower has its own connections and
polls as a daemon does. The time counts from the sending of the change to the
end of the poll that puts it into effect at a follower. CPU and bytes are
measured in the worker processes and divided by the number of followers; CPU
is also shown for the busiest replica. Absolute times depend on the machine;
the ratio to the first size of the same run depends on it less.
"""

import json
import pathlib
import random
import subprocess
import sys
import tempfile

from absl import app
from absl import flags
import gevent
import tabulate

import paddle_coord as coord
import paddle_kernel as kernel
from paddle_router import _config_model
from paddle_testbed import _slope

FLAGS = flags.FLAGS
flags.DEFINE_list('daemons', ['8', '32', '128'], 'Numbers of followers.')
flags.DEFINE_integer('changes', 20, 'Changes for each number.', 1, 200)
flags.DEFINE_integer('seed', 1, "Seed of the polls' start times.")
flags.DEFINE_list(
    'addresses', [], 'Replica addresses; for worker processes only.'
)
flags.DEFINE_string(
    'replica', None, 'Data directory; for replica processes only.'
)

REPLICAS = 3
POLL_MS = 200
CHANGE_PERIOD_MS = 250
# Few enough that the event loop of a worker does not delay its followers.
FOLLOWERS_PER_WORKER = 32
# Ends the run of one size even if followers never catch up.
FOLLOWER_TIMEOUT_S = 120


class _Follower:
    """Polls and records when each version came into effect."""

    def __init__(self, clock, name, addresses):
        self._clock = clock
        self.transport = kernel.TcpTransport()
        proposer = coord.Proposer(self.transport, addresses, clock, name)
        self._log = coord.ConfigLog(
            proposer, clock, fold=_config_model.ConfigFold()
        )
        self.seen_ms = {}
        self.polls = 0

    def run(self, delay_ms, versions):
        """Poll until ``versions`` are in effect."""
        self._clock.sleep_ms(delay_ms)
        while self._log.version < versions:
            before = self._log.version
            self._log.refresh()
            self.polls += 1
            for version in range(before + 1, self._log.version + 1):
                self.seen_ms[version] = self._clock.now_ms()
            self._clock.sleep_ms(POLL_MS)


def run_followers(count, versions):
    """Run ``count`` followers and print their measurements as JSON."""
    clock = kernel.SystemClock()
    rng = random.Random(FLAGS.seed)
    followers = [
        _Follower(clock, f'f{index}', FLAGS.addresses)
        for index in range(count)
    ]
    cpu_s, begin_ms = _slope.cpu_s(), clock.now_ms()
    greenlets = [
        gevent.spawn(item.run, rng.randrange(POLL_MS), versions)
        for item in followers
    ]
    print('ready', flush=True)
    gevent.joinall(greenlets, timeout=FOLLOWER_TIMEOUT_S)
    traffic = [item.transport.traffic for item in followers]
    results = {
        'seen_ms': [item.seen_ms for item in followers],
        'cpu_s': _slope.cpu_s() - cpu_s,
        'bytes': sum(item.sent + item.received for item in traffic),
        'polls': sum(item.polls for item in followers),
        'duration_ms': clock.now_ms() - begin_ms,
    }
    print(json.dumps(results), flush=True)


def run_replica():
    """Run one replica until standard input ends; print its CPU time."""
    clock = kernel.SystemClock()
    replica = coord.Replica.open(FLAGS.replica, 'replica', clock)
    server = kernel.TcpServer('127.0.0.1:0', replica.handle).start()
    print(server.address, flush=True)
    gevent.get_hub().threadpool.apply(sys.stdin.read)
    server.stop()
    replica.stop()
    print(_slope.cpu_s(), flush=True)


class _Worker:
    """A process of this module with other flags."""

    def __init__(self, *options):
        module = 'paddle_testbed.propagation_bench'
        self._process = subprocess.Popen(
            [sys.executable, '-m', module, *options],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def read_line(self):
        """Return the next line of its output."""
        pool = gevent.get_hub().threadpool
        return pool.apply(self._process.stdout.readline)

    def end_input(self):
        """Close its standard input, which makes a replica end."""
        self._process.stdin.close()

    def stop(self):
        """Terminate the process."""
        self._process.terminate()
        self._process.wait()


def _start_followers(addresses, count):
    sizes = [FOLLOWERS_PER_WORKER] * (count // FOLLOWERS_PER_WORKER)
    sizes += [count % FOLLOWERS_PER_WORKER]
    return [
        _Worker(
            f'--addresses={",".join(addresses)}',
            f'--daemons={size}',
            f'--changes={FLAGS.changes}',
            f'--seed={FLAGS.seed}',
        )
        for size in sizes
        if size
    ]


def _submit_changes(register, clock):
    """Submit all changes; return their sending times by version."""
    log = coord.ConfigLog(register, clock, fold=_config_model.ConfigFold())
    sent_ms = {}
    for index in range(FLAGS.changes):
        operation = {
            'op': 'put_customer',
            'args': {'name': f'customer-{index}'},
        }
        begin_ms = clock.now_ms()
        log.submit(coord.ConfigChange(f'c{index}', index, operation)).unwrap()
        sent_ms[log.version] = begin_ms
        clock.sleep_ms(CHANGE_PERIOD_MS)
    return sent_ms


def measure(count):
    """Measure one size and return its figures."""
    workers = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            return _measure(count, pathlib.Path(folder), workers)
        finally:
            for worker in workers:
                worker.stop()


def _measure(count, folder, workers):
    clock = kernel.SystemClock()
    transport = kernel.TcpTransport()
    replicas = [
        _Worker(f'--replica={folder / str(index)}')
        for index in range(REPLICAS)
    ]
    workers.extend(replicas)
    addresses = [worker.read_line().strip() for worker in replicas]
    coord.ReplicaAdmin(transport, clock).form(addresses).unwrap()
    followers = _start_followers(addresses, count)
    workers.extend(followers)
    for worker in followers:
        worker.read_line()
    register = coord.Proposer(transport, addresses, clock, 'submit')
    sent_ms = _submit_changes(register, clock)
    results = [json.loads(worker.read_line()) for worker in followers]
    for worker in replicas:
        worker.end_input()
    cpu_s = [float(worker.read_line()) for worker in replicas]
    return _summary(count, sent_ms, results, max(cpu_s))


def _summary(count, sent_ms, results, replica_cpu_s):
    delays = sorted(
        seen[str(version)] - begin_ms
        for result in results
        for seen in result['seen_ms']
        for version, begin_ms in sent_ms.items()
        if str(version) in seen
    )
    follower_s = sum(
        len(result['seen_ms']) * result['duration_ms'] / kernel.MS_PER_S
        for result in results
    )
    return {
        'followers': count,
        'missed': count * len(sent_ms) - len(delays),
        'p50 ms': delays[len(delays) // 2],
        'p99 ms': delays[len(delays) * 99 // 100],
        'bytes/s each': round(
            sum(item['bytes'] for item in results) / follower_s
        ),
        'bytes/poll': round(
            sum(item['bytes'] for item in results)
            / sum(item['polls'] for item in results)
        ),
        'CPU % each': round(
            100 * sum(item['cpu_s'] for item in results) / follower_s, 2
        ),
        'CPU % replica': round(
            100
            * replica_cpu_s
            * kernel.MS_PER_S
            / max(item['duration_ms'] for item in results)
        ),
    }


def main(_argv):
    if FLAGS.replica:
        run_replica()
        return
    if FLAGS.addresses:
        run_followers(int(FLAGS.daemons[0]), FLAGS.changes)
        return
    print(f'seed {FLAGS.seed}, {FLAGS.changes} changes for each size')
    rows = [measure(int(count)) for count in FLAGS.daemons]
    for row in rows:
        row['p99 ratio'] = round(row['p99 ms'] / rows[0]['p99 ms'], 2)
    print(tabulate.tabulate(rows, headers='keys'))


def run():
    kernel.configure_log(level='WARNING')
    app.run(main)


if __name__ == '__main__':
    run()
