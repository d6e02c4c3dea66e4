"""Measure the time without writes when the lease holder fails.

Run with ``python -m paddle_testbed.failover_bench``. Replicas with synced
files and a receiver run in this process; the receiver counts writes with
an old fencing number but does not refuse them. Each member that competes for
the lease is its own process. Each round kills, freezes and gracefully stops
the holder in turn; the graceful stop is the baseline.
"""

import signal
import statistics
import subprocess
import sys
import tempfile
import time

from absl import app
from absl import flags
import gevent
import gevent.event
import gevent.server
import gevent.socket
import tabulate

import paddle_coord as coord
import paddle_kernel as kernel

FLAGS = flags.FLAGS
flags.DEFINE_integer(
    'rounds', 4, 'Number of rounds.', lower_bound=1, upper_bound=20
)
flags.DEFINE_string('member', None, 'Name of the member to run as.')
flags.DEFINE_list('replicas', [], 'Addresses of the replicas.')
flags.DEFINE_string('receiver', None, 'Address of the receiver.')

REPLICAS = 3
MEMBERS = 3
TICK_MS = 200
WRITE_INTERVAL_MS = 10
STEP_TIMEOUT_S = 20
MEMBER_LIMIT_S = 600
# Time in which a resumed holder could write with its old fencing number; it
# must not.
RESUMED_HOLDER_S = 1.5
GRACEFUL_STOP = 'graceful stop'
KILL = 'kill'
FREEZE = 'freeze'


class Receiver:
    """Records the sender and the time of the last write.

    ``stale_writes`` counts writes with a number below the highest one.
    """

    def __init__(self):
        self.highest = 0
        self.holder = None
        self.last_s = None
        self.stale_writes = 0
        self._server = gevent.server.StreamServer(
            ('127.0.0.1', 0), self._serve
        )
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def _serve(self, sock, _peer):
        line = sock.recv(200).decode()
        if line:
            member, number = line.split()
            self._record(member, int(number))
            sock.sendall(b'ok')
        sock.close()

    def _record(self, member, number):
        if number < self.highest:
            self.stale_writes += 1
            return
        self.highest = number
        self.holder = member
        self.last_s = time.monotonic()


class Members:
    """Processes that compete for the lease; a stopped one is replaced."""

    def __init__(self, replicas, receiver):
        self._options = [
            f'--replicas={",".join(replicas)}',
            f'--receiver={receiver}',
        ]
        self.processes = {}
        self._start_count = 0

    def start(self):
        self._start_count += 1
        name = f'm{self._start_count}'
        command = [sys.executable, '-m', 'paddle_testbed.failover_bench']
        self.processes[name] = subprocess.Popen(
            [*command, f'--member={name}', *self._options]
        )

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def remove(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait(STEP_TIMEOUT_S)

    def stop(self):
        for name in list(self.processes):
            self.remove(name)


def run_member(name, replicas, receiver):
    """Compete for the lease and write while holding it."""
    clock = kernel.SystemClock()
    register = coord.Proposer(kernel.TcpTransport(), replicas, clock, name)
    lease = coord.Lease(register, clock, name)
    stopping = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stopping.set)
    ticker = kernel.Ticker(
        lease.tick, period_ms=TICK_MS, clock=clock, on_error=print
    ).start()

    def connect():
        return gevent.socket.create_connection(
            kernel.split_address(receiver), STEP_TIMEOUT_S
        )

    def send(conn, number, _timeout_ms):
        conn.sendall(f'{name} {number}'.encode())
        return conn.recv(10)

    end_ms = clock.now_ms() + MEMBER_LIMIT_S * kernel.MS_PER_S
    while not stopping.is_set() and clock.now_ms() < end_ms:
        if lease.number() is not None:
            coord.guarded_send(lease, connect, send, lease.timing.in_flight_ms)
        clock.sleep_ms(WRITE_INTERVAL_MS)
    ticker.stop()
    lease.release()


def _wait_for(condition):
    with gevent.Timeout(STEP_TIMEOUT_S):
        while not condition():
            gevent.sleep(0.005)


def measure_gap(kind, members, receiver):
    """Stop the current holder; return the time without writes in ms."""
    holder = receiver.holder
    number = {
        KILL: signal.SIGKILL,
        FREEZE: signal.SIGSTOP,
        GRACEFUL_STOP: signal.SIGTERM,
    }[kind]
    members.signal(holder, number)
    gevent.sleep(0.1)
    last_s = receiver.last_s
    _wait_for(lambda: receiver.holder != holder)
    gap_ms = round((receiver.last_s - last_s) * kernel.MS_PER_S)
    if kind == FREEZE:
        members.signal(holder, signal.SIGCONT)
        gevent.sleep(RESUMED_HOLDER_S)
    members.remove(holder)
    members.start()
    # The new process must be running before the next holder is stopped, and
    # the stops must not always fall on the same time between two renewals.
    gevent.sleep(1.5 + 0.137 * receiver.highest % 1)
    return gap_ms


def run_bench(rounds, folder):
    """Return ``(gaps by kind, writes with an older number)``."""
    clock = kernel.SystemClock()
    replicas, servers = [], []
    for index in range(REPLICAS):
        replica = coord.Replica.open(f'{folder}/{index}', f'r{index}', clock)
        replicas.append(replica)
        servers.append(kernel.TcpServer('127.0.0.1:0', replica.handle).start())
    addresses = [server.address for server in servers]
    transport = kernel.TcpTransport()
    coord.ReplicaAdmin(transport, clock).form(addresses).unwrap()
    receiver = Receiver()
    members = Members(addresses, receiver.address)
    gaps = {KILL: [], FREEZE: [], GRACEFUL_STOP: []}
    try:
        for _ in range(MEMBERS):
            members.start()
        _wait_for(lambda: receiver.holder is not None)
        gevent.sleep(2)
        for _ in range(rounds):
            for kind, values in gaps.items():
                values.append(measure_gap(kind, members, receiver))
    finally:
        members.stop()
        for server, replica in zip(servers, replicas, strict=True):
            server.stop()
            replica.stop()
    return gaps, receiver.stale_writes


def main(_argv):
    """Run as a member or as the bench."""
    if FLAGS.member:
        run_member(FLAGS.member, FLAGS.replicas, FLAGS.receiver)
        return 0
    with tempfile.TemporaryDirectory() as folder:
        gaps, stale_writes = run_bench(FLAGS.rounds, folder)
    timing = coord.LeaseTiming()
    bound_ms = timing.takeover_ms + TICK_MS
    baseline = statistics.median(gaps[GRACEFUL_STOP])
    rows = [
        (
            kind,
            len(values),
            min(values),
            round(statistics.median(values)),
            max(values),
            round(statistics.median(values) / baseline, 2),
        )
        for kind, values in gaps.items()
    ]
    headers = ('loss', 'runs', 'min ms', 'median ms', 'max ms', 'to stop')
    print(tabulate.tabulate(rows, headers))
    print(f'stated bound after a kill: {bound_ms} ms plus two changes')
    print(f'writes with an older number: {stale_writes}')
    return 1 if stale_writes else 0


if __name__ == '__main__':
    app.run(main)
