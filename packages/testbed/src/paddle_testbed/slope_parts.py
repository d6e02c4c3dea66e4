"""Measurements that :mod:`paddle_testbed.slopes` runs at several sizes."""

import hashlib
import json
import os
import pathlib
import random
import tempfile

import gevent
import returns.result

import paddle_coord as coord
import paddle_kernel as kernel
from paddle_router import _config_items
from paddle_router import _config_model
from paddle_router import policy
from paddle_testbed import _slope
from paddle_testbed import cluster
from paddle_testbed import fakes

CUSTOMERS = (1_000, 4_000, 16_000)
DAEMONS = (8, 32, 128, 390)
OPERATIONS = (200, 400, 800)
REPLICAS = 3
IDLE_S = 10
WINDOW_MS = 60_000
ROWS_PER_DAEMON = 40
CLASSES = ('chat', 'tagging', 'reports', 'questions', 'describe', 'bulk')


def _key_operation(index):
    digest = hashlib.sha256(str(index).encode()).hexdigest()
    name = f'customer-{index}'
    key = _config_items.Key(digest=digest, customer=name)
    return key, _config_items.Customer(name=name)


@_slope.part('configuration', sizes=CUSTOMERS, unit='customer with a key')
def configuration(size):
    """Measure state, snapshot and changes for ``size`` customers."""
    fold = _config_model.ConfigFold()
    text = _configuration_text(fold, size)
    before = _slope.resident_bytes()
    state = fold.load(json.loads(text))
    memory = _slope.resident_bytes() - before
    begin_s = _slope.cpu_s()
    data = json_bytes(fold.dump(state))
    encode_s = _slope.cpu_s() - begin_s
    begin_s = _slope.cpu_s()
    fold.load(fold.dump(state))
    load_s = _slope.cpu_s() - begin_s
    begin_s = _slope.cpu_s()
    rounds = 20
    for index in range(rounds):
        name = f'customer-{index}'
        operation = {'op': 'put_customer', 'args': {'name': name}}
        state = fold.apply(state, operation).unwrap()
    return {
        'memory bytes': memory,
        'snapshot bytes': len(data),
        'encode CPU ms': encode_s * kernel.MS_PER_S,
        'load CPU ms': load_s * kernel.MS_PER_S,
        'change CPU ms': (_slope.cpu_s() - begin_s) / rounds * kernel.MS_PER_S,
    }


def _configuration_text(fold, size):
    """Return the JSON snapshot of a configuration of ``size`` customers."""
    state = fold.initial()
    pairs = [_key_operation(index) for index in range(size)]
    state.customers.update({item.name: item for _, item in pairs})
    state.keys.update({key.digest: key for key, _ in pairs})
    return json_bytes(fold.dump(state))


def json_bytes(data):
    """Return the JSON text of ``data``."""
    return json.dumps(data).encode()


@_slope.part('policy', sizes=CUSTOMERS, unit='customer seen')
def policies(size):
    """Measure scheduler accounts and learned lengths of customers."""
    scheduler = policy.schedulers.create('tiered_fair')
    scheduler.apply({name: policy.ClassPolicy() for name in CLASSES}, {})
    lengths = policy.LengthEstimator()
    rng = random.Random(1)
    before = _slope.resident_bytes()
    begin_s = _slope.cpu_s()
    for index in range(size):
        customer = f'customer-{index}'
        name = CLASSES[index % len(CLASSES)]
        lengths.observe(customer, name, rng.randint(1, 900))
        ticket = policy.Ticket(
            customer=customer,
            class_name=name,
            tier=1,
            prompt_tokens=100,
            generated_tokens=200,
            arrival_ms=index,
            deadline_ms=index + 1_400,
        )
        scheduler.offer(ticket, index)
        scheduler.next(1, index)
        scheduler.served(ticket, 150)
    cpu_s = _slope.cpu_s() - begin_s
    return {
        'memory bytes': _slope.resident_bytes() - before,
        'CPU us per request': cpu_s / size * 1e6,
    }


@_slope.part('soft state', sizes=DAEMONS, unit='daemon')
def soft_state(size):
    """Measure the work of one replica per report period of all daemons."""
    clock = kernel.FakeClock()
    table = coord.SoftState(clock)
    classes = tuple(coord.ClassDemand(name, 40) for name in CLASSES)
    reports = [
        coord.DemandReport(f'd{index}', 'a', 'live', classes)
        for index in range(size)
    ]
    for report in reports:
        table.report(report)
    rounds = 5
    begin_s = _slope.cpu_s()
    for _ in range(rounds):
        clock.advance(1_000)
        for report in reports:
            answer = table.report(report)
    cpu_ms = (_slope.cpu_s() - begin_s) / rounds * kernel.MS_PER_S
    kind, data = kernel.codec.encode(reports[0])
    _, encoded_answer = kernel.codec.encode(answer)
    return {
        'CPU ms per period': cpu_ms,
        'bytes per report and answer': len(data) + len(encoded_answer),
    }


class _Replicas:
    """A formed replica set in this process behind TCP servers."""

    def __init__(self, folder):
        clock = kernel.SystemClock()
        self.replicas, self._servers = [], []
        for index in range(REPLICAS):
            path = pathlib.Path(folder) / str(index)
            replica = coord.Replica.open(path, f'r{index}', clock)
            server = kernel.TcpServer('127.0.0.1:0', replica.handle)
            self._servers.append(server.start())
            self.replicas.append(replica)
        self.addresses = [server.address for server in self._servers]
        transport = kernel.TcpTransport()
        formed = coord.ReplicaAdmin(transport, clock).form(self.addresses)
        formed.unwrap()
        self.register = coord.Proposer(
            transport, self.addresses, clock, 'slopes'
        )

    def file_bytes(self):
        """Return the size of the first replica's file."""
        return self.replicas[0].dump()['file_bytes']

    def close(self):
        """Stop servers and replicas."""
        for server in self._servers:
            server.stop()
        for replica in self.replicas:
            replica.stop()


@_slope.part('register change', sizes=OPERATIONS, unit='change')
def register_change(size):
    """Measure changes; the CPU is of the proposer and three replicas."""
    with tempfile.TemporaryDirectory() as folder:
        system = _Replicas(folder)
        system.register.change('warm', lambda value: b'0').unwrap()
        bytes_before = system.file_bytes()
        begin_s = _slope.cpu_s()
        for index in range(size):
            system.register.change(
                f'key/{index}', lambda value: b'x' * 200
            ).unwrap()
        cpu_ms = (_slope.cpu_s() - begin_s) * kernel.MS_PER_S
        result = {
            'CPU ms, proposer and 3 replicas': cpu_ms,
            'file bytes at one replica': system.file_bytes() - bytes_before,
        }
        system.close()
    return result


@_slope.part('poll', sizes=OPERATIONS, unit='poll')
def poll(size):
    """Measure polls without a change; CPU of follower and replicas."""
    with tempfile.TemporaryDirectory() as folder:
        system = _Replicas(folder)
        log = coord.ConfigLog(
            system.register,
            kernel.SystemClock(),
            fold=_config_model.ConfigFold(),
        )
        log.refresh().unwrap()
        begin_s = _slope.cpu_s()
        for _ in range(size):
            log.refresh().unwrap()
        cpu_ms = (_slope.cpu_s() - begin_s) * kernel.MS_PER_S
        system.close()
    return {'CPU ms, follower and 3 replicas': cpu_ms}


@_slope.part('claim', sizes=OPERATIONS, unit='claim')
def claim(size):
    """Measure claims that are completed with a small answer."""
    with tempfile.TemporaryDirectory() as folder:
        system = _Replicas(folder)
        clock = kernel.SystemClock()
        book = coord.ClaimBook(system.register, clock, 'slopes')
        bytes_before = system.file_bytes()
        memory = _slope.resident_bytes()
        begin_s = _slope.cpu_s()
        for index in range(size):
            deadline_ms = clock.now_ms() + 30_000
            granted = book.claim('club', f'k{index}', 'd', deadline_ms).claim
            book.may_send(granted)
            answer = coord.Answer.from_response(201, (), b'x' * 100)
            book.complete(granted, answer).unwrap()
            gevent.sleep(0)
        result = {
            'CPU ms, daemon and 3 replicas': (_slope.cpu_s() - begin_s)
            * kernel.MS_PER_S,
            'file bytes at one replica': system.file_bytes() - bytes_before,
            'memory bytes, 3 replicas': _slope.resident_bytes() - memory,
        }
        system.close()
    return result


class _HeldLease:
    """A lease that is always held."""

    def number(self):
        return 1


def _usage_counts(daemon, rows):
    return {
        f'customer-{daemon * rows + index}': {
            'chat': {
                'requests': 3,
                'prompt_tokens': 1_200,
                'generated_tokens': 900,
            }
        }
        for index in range(rows)
    }


@_slope.part('usage window', sizes=(400, 1_600, 6_400), unit='usage row')
def usage_window(size):
    """Measure flush and seal of a window; a row is a customer and class."""
    clock = kernel.FakeClock()
    register = coord.MemoryRegister()

    def keys(prefix):
        found = [key for key in register.values if key.startswith(prefix)]
        return returns.result.Success(sorted(found))

    window = clock.wall_ms() // WINDOW_MS * WINDOW_MS
    begin_s = _slope.cpu_s()
    for daemon in range(size // ROWS_PER_DAEMON):
        ledger = coord.UsageLedger(register, clock, f'd{daemon}')
        counts = _usage_counts(daemon, ROWS_PER_DAEMON)
        ledger.flush(window, counts).unwrap()
    flush_cpu = _slope.cpu_s() - begin_s
    usage_bytes = sum(len(value) for value in register.values.values())
    clock.advance(2 * WINDOW_MS)
    sealer = coord.WindowSealer(
        register, _HeldLease(), clock, keys=keys, delete=None
    )
    begin_s = _slope.cpu_s()
    sealer.step()
    return {
        'bytes of a flush': usage_bytes,
        'bytes of the seal': len(register.values[f'seal/{window}']),
        'CPU ms to encode flushes': flush_cpu * kernel.MS_PER_S,
        'CPU ms to seal': (_slope.cpu_s() - begin_s) * kernel.MS_PER_S,
    }


@_slope.part('idle daemon', sizes=(3, 6, 12), unit='daemon in the system')
def idle_daemon(size):
    """Measure a replica and another daemon of a system without requests."""
    platform = fakes.FakePlatform().start()
    with tempfile.TemporaryDirectory() as folder:
        system = cluster.Cluster(
            folder,
            platform.address,
            daemons=size,
            disks=REPLICAS,
            domains=('a', 'b', 'c'),
        )
        system.write_settings()
        try:
            system.start_all()
            admin = coord.ReplicaAdmin(
                kernel.TcpTransport(), kernel.SystemClock()
            )
            admin.form([s.peer for s in system.specs[:REPLICAS]]).unwrap()
            system.wait_ready()
            gevent.sleep(2)
            replica = _idle_usage(system, system.specs[0], IDLE_S)
            result = {f'replica {name}': v for name, v in replica.items()}
            if size > REPLICAS:
                other = _idle_usage(system, system.specs[-1], IDLE_S)
            else:
                other = replica
            result.update({f'other {name}': v for name, v in other.items()})
        finally:
            system.close()
            platform.stop()
    return result


def _idle_usage(system, spec, duration_s):
    """Measure processor time, bytes and memory of one idle daemon."""
    pid = system.processes[spec.name].pid
    before, cpu_s = system.dump(spec), process_cpu_s(pid)
    gevent.sleep(duration_s)
    after = system.dump(spec)
    cpu_used_s = process_cpu_s(pid) - cpu_s
    transferred = _traffic_bytes(after) - _traffic_bytes(before)
    return {
        'CPU share': cpu_used_s / duration_s,
        'bytes per s': transferred / duration_s,
        'resident KiB': after['process']['resident_kb'],
    }


def _traffic_bytes(dump):
    parts = (dump['traffic_as_client'], dump['traffic_as_replica'])
    return sum(value for part in parts for value in part.values())


def process_cpu_s(pid):
    """Return the processor time of a process in s (Linux)."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')


ORDER = (
    'configuration',
    'policy',
    'soft state',
    'poll',
    'register change',
    'claim',
    'usage window',
    'idle daemon',
)
