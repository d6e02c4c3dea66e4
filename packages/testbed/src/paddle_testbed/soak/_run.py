"""One seed: processes, callers, faults, and the checks at the end."""

import contextlib
import copy
import datetime
import json
import pathlib
import random
import signal
import tempfile
import time

import attrs
import gevent

import paddle_kernel
from paddle_testbed import fakes
from paddle_testbed import fleet as fleets
from paddle_testbed.soak import _callers
from paddle_testbed.soak import _checks
from paddle_testbed.soak import _faults
from paddle_testbed.soak import _ledger
from paddle_testbed.soak import _locks
from paddle_testbed.soak import _proxy
from paddle_testbed.soak import _servers

DOMAINS = ('z0', 'z1')
FIRST_VERSION = 10
PROBES = 20
SETTLE_S = 20
# Time within which an acknowledged configuration has to be in force.
CONFIGURATION_S = 2
WATCH_S = 0.1
FAULT_PAUSE_S = (0.1, 1.2)
ROUTE = {
    'host': _callers.HOST,
    'service': 'plain',
    'targetLatencyMs': 300,
    'timeoutMs': 2000,
    'attempts': 3,
}
CONFIG = {
    'version': FIRST_VERSION,
    'routes': [
        {**ROUTE, 'name': 'safe', 'pathPrefix': '/safe/', 'kind': 'safe'},
        {
            **ROUTE,
            'name': 'book',
            'pathPrefix': '/book/',
            'kind': 'unsafe',
        },
        {
            **ROUTE,
            'name': 'chat',
            'pathPrefix': '/chat/',
            'kind': 'streaming',
            'timeoutMs': 8000,
            'resumable': True,
            'targetGapMs': 300,
        },
    ],
    'services': [{'name': 'plain', 'connectionLimit': 100}],
    'limits': {'idleTimeoutMs': 15000},
    'tenants': [{'name': 'cust', 'accessKeys': [_callers.KEY]}],
}


@attrs.frozen(kw_only=True)
class SoakOptions:
    """Size of a seed; ``seconds`` is how long faults begin."""

    seconds: float = 15
    controllers: int = 3
    gateways: int = 2
    servers: int = 4
    callers: int = 6
    at_once: int = 3


class World:
    """The processes and stand-ins of one seed."""

    def __init__(self, folder, options, rng):
        self.ledger = _ledger.Ledger()
        self.cloud = fakes.FakeCloud()
        self.platform_proxy = _proxy.Proxy(self.cloud.address)
        self.servers = [
            _servers.Server(
                f'i-{number}', DOMAINS[number % len(DOMAINS)], self.ledger
            )
            for number in range(options.servers)
        ]
        self.publish_servers()
        self.fleet = fleets.Fleet(
            folder,
            self.platform_proxy,
            controllers=options.controllers,
            gateways=options.gateways,
        )
        self.locks = _locks.Locks(self.fleet)
        self._version = FIRST_VERSION
        self._callers = []
        self._rng = rng

    def start(self, callers):
        """Start all processes and callers; wait until requests are served."""
        self.fleet.start_all()
        self.ledger.sent[FIRST_VERSION] = CONFIG
        self.fleet.put(CONFIG)
        self.ledger.acknowledged.append(FIRST_VERSION)
        for name in self.fleet.names('gateway'):
            self.fleet.wait_ready(name)
        gevent.sleep(_checks.CONTACT_MS / 1_000)
        self._callers = [
            _callers.Caller(
                f'c{number}',
                self.fleet,
                self.ledger,
                random.Random(self._rng.random()),
            )
            for number in range(callers)
        ]

    def close(self):
        """End callers, processes and stand-ins."""
        for caller in self._callers:
            caller.stop()
        self.fleet.stop()
        for server in self.servers:
            server.stop()
        self.platform_proxy.stop()
        self.cloud.stop()

    def publish_servers(self):
        """Show the present servers in the platform's list."""
        self.cloud.entries = [item.entry() for item in self.servers]

    def log_of(self, name):
        """Return the path of a controller's register file."""
        return self.fleet.machines[name].folder / 'data/replica/register.log'

    def signal(self, name, number):
        """Send a signal to the process of a machine and record it."""
        self.ledger.signals.append(
            _ledger.Signal(
                machine=name,
                pid=self.fleet.machines[name].process.pid,
                name=signal.Signals(number).name,
                at_ms=_ledger.now_ms(),
            )
        )
        self.fleet.signal(name, number)

    def kill(self, name):
        """Kill the process of a machine and record it."""
        pid = self.fleet.machines[name].process.pid
        self.ledger.killed[pid] = _ledger.now_ms()
        self.fleet.kill(name)

    def stop_and_start(self, name, limit_s, later=()):
        """Stop a process as planned work does, then start it again.

        ``later`` are more signals for it, as pairs of a pause in s and a
        number.
        """
        process = self.fleet.machines[name].process
        begin_ms = _ledger.now_ms()
        self.signal(name, signal.SIGTERM)
        for pause_s, number in later:
            gevent.sleep(pause_s)
            if process.poll() is None:
                self.signal(name, number)
        with gevent.Timeout(limit_s, False):
            while process.poll() is None:
                gevent.sleep(WATCH_S)
        self.ledger.ended[process.pid] = _ledger.now_ms()
        spent_ms = _ledger.now_ms() - begin_ms
        self.ledger.stops.append((name, process.poll(), spent_ms))
        if process.poll() is None:
            self.kill(name)
        self.start_again(name)
        if name in self.fleet.names('gateway'):
            self.fleet.wait_ready(name)

    def start_again(self, name):
        """Start a process and wait until its program has begun.

        Until then a signal meets the interpreter, which ends: a reload 20 ms
        after the start did so (seed 1572442404).
        """
        self.fleet.start(name)
        process = self.fleet.machines[name].process
        self.ledger.started[process.pid] = _ledger.now_ms()
        fleets.wait_for(
            lambda: _handles(process, signal.SIGHUP), f'{name} did not begin'
        )

    def hand_in(self, rng):
        """Hand in a new version at a random controller."""
        self._version += rng.randint(1, 3)
        version = self._version
        document = copy.deepcopy(CONFIG)
        document['version'] = version
        document['routes'].append(
            {
                **ROUTE,
                'name': f'extra-{version}',
                'pathPrefix': f'/extra-{version}/',
                'kind': 'safe',
            }
        )
        self.ledger.sent[version] = document
        name = rng.choice(self.fleet.names('controller'))
        body = json.dumps(document).encode()
        status, _body = self.fleet.call(
            name, 'PUT', '/api/configuration', body
        )
        if status == 200:
            self.ledger.acknowledged.append(version)

    def watch(self):
        """Note processes that ended although nothing disturbed them."""
        while True:
            gevent.sleep(WATCH_S)
            for machine in self.fleet.machines.values():
                if self.locks.is_taken(machine.name) or not machine.process:
                    continue
                code = machine.process.poll()
                entry = (machine.name, code)
                if code is not None and entry not in self.ledger.own_ends:
                    self.ledger.own_ends.append(entry)

    def settle(self):
        """Wait until all is calm, then read and probe every machine."""
        for name in self.fleet.names('gateway'):
            self.fleet.wait_ready(name)
        newest = max(self.ledger.acknowledged)
        for name in self.fleet.names('controller'):
            self.ledger.read_back[name] = self._read(name, newest)
        for caller in self._callers:
            caller.stop()
        # The newest version is in force everywhere by then.
        gevent.sleep(CONFIGURATION_S)
        for name in self.fleet.names('gateway'):
            self.ledger.served_after[name] = self._probe(name)
        for machine in self.fleet.machines.values():
            self.ledger.reported.extend(_logged_signals(machine))

    def _read(self, name, newest):
        """Return the configuration, the last one read after ``SETTLE_S``."""
        seen = {}

        def is_newest():
            status, body = self.fleet.call(name, 'GET', '/api/configuration')
            if status == 200:
                seen['document'] = json.loads(body)
            return seen.get('document', {}).get('version', 0) >= newest

        with contextlib.suppress(fleets.WaitError):
            # The check reports what was read instead.
            fleets.wait_for(is_newest, 'not the newest', SETTLE_S)
        return seen.get('document')

    def _probe(self, name):
        prober = _callers.Caller(
            f'p-{name}', self.fleet, self.ledger, self._rng
        )
        prober.stop()
        kinds = [_callers.KINDS[number % 4] for number in range(PROBES)]
        kinds += self._added_routes()
        answers = [prober.ask_once(kind, name) for kind in kinds]
        return sum(item.is_whole for item in answers) / len(kinds)

    def _added_routes(self):
        """Return the routes that only the configuration in force has."""
        return sorted(
            {
                route['name']
                for document in self.ledger.read_back.values()
                if document
                for route in document['routes']
                if route['name'] not in _callers.KINDS
            }
        )


def _logged_signals(machine):
    """Return the signals that the processes of a machine logged."""
    wall_ms = time.time_ns() // 1_000_000 - _ledger.now_ms()
    event = f'"event": {paddle_kernel.SIGNAL_RECEIVED.number},'
    found = []
    for text in (machine.folder / 'log').read_text().splitlines():
        if event not in text:
            continue
        line = json.loads(text)
        at = datetime.datetime.fromisoformat(line['time'])
        found.append(
            _ledger.Signal(
                machine=machine.name,
                pid=line['pid'],
                name=line['signal'],
                at_ms=int(at.timestamp() * 1_000 - wall_ms),
            )
        )
    return found


def _handles(process, number):
    """Whether a process has its own handler for a signal, or has ended."""
    try:
        status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    except FileNotFoundError:
        return True
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith('SigCgt:')
    ]
    return not masks or masks[0] >> (number - 1) & 1


def run_seed(seed, options=None, folder=None):
    """Play one seed; return ``(findings, World.ledger)``.

    Logs of the processes stay in ``folder`` if it is given.
    """
    options = options or SoakOptions()
    rng = random.Random(seed)
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = stack.enter_context(
                tempfile.TemporaryDirectory(prefix=f'paddle-soak-{seed}-')
            )
        world = World(pathlib.Path(folder), options, rng)
        stack.callback(world.close)
        world.start(options.callers)
        watch = gevent.spawn(world.watch)
        stack.callback(watch.kill)
        _disturb(world, rng, options)
        gevent.sleep(_checks.CONTACT_MS / 1_000)
        world.settle()
        findings = _checks.check_all(world.ledger, world.cloud.calls)
        return findings, world.ledger


def _disturb(world, rng, options):
    """Begin faults at random, several at once, and wait for their ends."""
    begun = []
    names = _faults.faults.names()
    with gevent.Timeout(options.seconds, False):
        while True:
            running = sum(not item.ready() for item in begun)
            if running < options.at_once:
                own = random.Random(rng.random())
                name = rng.choice(names)
                begun.append(gevent.spawn(_play_fault, world, own, name))
            gevent.sleep(rng.uniform(*FAULT_PAUSE_S))
    # Also raises what those that ended before have raised.
    gevent.joinall(begun, raise_error=True)


def _play_fault(world, rng, name):
    try:
        _faults.faults.create(name, world=world, rng=rng)
    except fleets.WaitError as exc:
        world.ledger.overdue.append((name, str(exc)))
