"""Measures how long a configuration change takes to reach all followers.

``python -m paddle_testbed.propagation_bench --daemons=8,32,128`` runs three
replicas and the followers in worker processes and the submitter in this one,
all over TCP on loopback. Each follower has its own connections and
polls as a daemon does. The time counts from the sending of the change to the
end of the poll that puts it into effect at a follower. CPU and bytes are those
of the followers' workers, divided by their followers, and CPU also that of
one replica. Absolute times depend on the
machine; the ratio to the first size of the same run holds better.
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
flags.DEFINE_list('addresses', [], 'Replicas; set for workers only.')
flags.DEFINE_string('replica', None, 'Data directory; for workers only.')

REPLICAS = 3
POLL_MS = 200
CHANGE_PERIOD_MS = 250
# A worker's event loop must not be what limits its followers.
FOLLOWERS_PER_WORKER = 32
# Bounds one size, also when followers never catch up.
LIMIT_S = 120


class _Follower:
    """Polls and notes when each version came into effect."""

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


def work(count, versions):
    """Run ``count`` followers and print their notes as JSON."""
    clock = kernel.SystemClock()
    rng = random.Random(FLAGS.seed)
    followers = [
        _Follower(clock, f'f{index}', FLAGS.addresses)
        for index in range(count)
    ]
    cpu_s, begin_ms = _slope.cpu_s(), clock.now_ms()
    running = [
        gevent.spawn(item.run, rng.randrange(POLL_MS), versions)
        for item in followers
    ]
    print('ready', flush=True)
    gevent.joinall(running, timeout=LIMIT_S)
    traffic = [item.transport.traffic for item in followers]
    notes = {
        'seen_ms': [item.seen_ms for item in followers],
        'cpu_s': _slope.cpu_s() - cpu_s,
        'bytes': sum(item.sent + item.received for item in traffic),
        'polls': sum(item.polls for item in followers),
        'duration_ms': clock.now_ms() - begin_ms,
    }
    print(json.dumps(notes), flush=True)


def serve():
    """Run one replica until the input ends, then print its CPU time."""
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
        """Ask a replica to end."""
        self._process.stdin.close()

    def stop(self):
        """End the process."""
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
    """Return the sending time of each accepted change by version."""
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
    """Return the figures of one size."""
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
    notes = [json.loads(worker.read_line()) for worker in followers]
    for worker in replicas:
        worker.end_input()
    cpu_s = [float(worker.read_line()) for worker in replicas]
    return _summary(count, sent_ms, notes, max(cpu_s))


def _summary(count, sent_ms, notes, replica_cpu_s):
    delays = sorted(
        seen[str(version)] - begin_ms
        for note in notes
        for seen in note['seen_ms']
        for version, begin_ms in sent_ms.items()
        if str(version) in seen
    )
    follower_s = sum(
        len(note['seen_ms']) * note['duration_ms'] / kernel.MS_PER_S
        for note in notes
    )
    return {
        'followers': count,
        'missed': count * len(sent_ms) - len(delays),
        'p50 ms': delays[len(delays) // 2],
        'p99 ms': delays[len(delays) * 99 // 100],
        'bytes/s each': round(sum(n['bytes'] for n in notes) / follower_s),
        'bytes/poll': round(
            sum(n['bytes'] for n in notes) / sum(n['polls'] for n in notes)
        ),
        'CPU % each': round(
            100 * sum(n['cpu_s'] for n in notes) / follower_s, 2
        ),
        'CPU % replica': round(
            100
            * replica_cpu_s
            * kernel.MS_PER_S
            / max(n['duration_ms'] for n in notes)
        ),
    }


def main(_argv):
    if FLAGS.replica:
        serve()
        return
    if FLAGS.addresses:
        work(int(FLAGS.daemons[0]), FLAGS.changes)
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
