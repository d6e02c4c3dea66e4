"""Run of one seed: processes, callers, faults, and the final checks."""

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
PROBES_PER_GATEWAY = 20
READ_TIMEOUT_S = 20
# Time within which an acknowledged configuration must be in force everywhere.
CONFIG_PROPAGATION_S = 2
PROCESS_POLL_S = 0.1
FAULT_PAUSE_S = (0.1, 1.2)
# Service and route of servers whose answers have no end.
ENDLESS = 'endless'
ROUTE = {
    'host': _callers.HOST,
    'service': 'plain',
    'targetLatencyMs': 300,
    'timeoutMs': _checks.ROUTE_TIMEOUT_MS,
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
        {
            **ROUTE,
            'name': ENDLESS,
            'pathPrefix': f'/{ENDLESS}/',
            'kind': 'streaming',
            'timeoutMs': 8000,
            'service': ENDLESS,
            'attempts': 1,
        },
    ],
    'services': [
        {'name': 'plain', 'connectionLimit': 100},
        {'name': ENDLESS, 'connectionLimit': 10},
    ],
    'limits': {'idleTimeoutMs': 15000},
    'tenants': [{'name': 'cust', 'accessKeys': [_callers.KEY]}],
}


@attrs.frozen(kw_only=True)
class SoakOptions:
    """Size of a run; faults are injected for ``seconds``."""

    seconds: float = 15
    controllers: int = 3
    gateways: int = 2
    servers: int = 4
    callers: int = 6
    max_concurrent_faults: int = 3


class SoakSystem:
    """Processes, fake servers and records of one run."""

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
        self.endless_addresses = []
        self.publish_servers()
        self.fleet = fleets.Fleet(
            folder,
            self.platform_proxy,
            controllers=options.controllers,
            gateways=options.gateways,
            bounds={'evacuationMs': _checks.EVACUATION_MS},
        )
        self.locks = _locks.Locks(self.fleet)
        self._version = FIRST_VERSION
        self._callers = []
        self._rng = rng

    def start(self, callers):
        """Start all processes and callers; wait until requests are served."""
        self.fleet.start_all()
        self.ledger.sent[FIRST_VERSION] = CONFIG
        self.fleet.put_configuration(CONFIG)
        self.ledger.acknowledged.append(FIRST_VERSION)
        for name in self.fleet.names('gateway'):
            self.fleet.wait_ready(name)
        gevent.sleep(_checks.RECONNECT_MS / 1_000)
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
        """Stop callers, processes and fake servers."""
        for caller in self._callers:
            caller.stop()
        self.fleet.stop()
        for server in self.servers:
            server.stop()
        self.platform_proxy.stop()
        self.cloud.stop()

    def publish_servers(self):
        """Publish the current servers in the platform's list of instances."""
        self.cloud.entries = [
            *(item.list_entry() for item in self.servers),
            *(
                {
                    'identifier': f'endless-{address}',
                    'service': ENDLESS,
                    'address': address,
                    'zone': DOMAINS[0],
                    'version': 'v1',
                    'slots': 1,
                    'state': 'ready',
                }
                for address in self.endless_addresses
            ),
        ]

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

    def stop_and_start(self, name, limit_s, signal_schedule=()):
        """Stop a process with SIGTERM as in planned maintenance; restart it.

        ``signal_schedule`` lists further signals for it as pairs of a pause
        in s and a signal number.
        """
        self.stop(name, limit_s, signal_schedule)
        self.restart(name)
        if name in self.fleet.names('gateway'):
            self.fleet.wait_ready(name)

    def stop(self, name, limit_s, signal_schedule=()):
        """Stop a process with SIGTERM; kill it after ``limit_s``."""
        process = self.fleet.machines[name].process
        begin_ms = _ledger.now_ms()
        self.signal(name, signal.SIGTERM)
        for pause_s, number in signal_schedule:
            gevent.sleep(pause_s)
            if process.poll() is None:
                self.signal(name, number)
        with gevent.Timeout(limit_s, False):
            while process.poll() is None:
                gevent.sleep(PROCESS_POLL_S)
        self.ledger.ended[process.pid] = _ledger.now_ms()
        elapsed_ms = _ledger.now_ms() - begin_ms
        self.ledger.stops.append((name, process.poll(), elapsed_ms))
        if process.poll() is None:
            self.kill(name)

    def restart(self, name):
        """Start a process and wait until it has its own signal handlers.

        Before that, a SIGHUP ends the interpreter by default, as one that
        was sent 20 ms after the start did (seed 1572442404).
        """
        self.fleet.start(name)
        process = self.fleet.machines[name].process
        self.ledger.started[process.pid] = _ledger.now_ms()
        fleets.wait_for(
            lambda: _has_signal_handler(process, signal.SIGHUP),
            f'{name} did not install its signal handlers',
        )

    def submit_configuration(self, rng):
        """Submit a new configuration version to a random controller."""
        version, document = self._next_configuration(rng)
        name = rng.choice(self.fleet.names('controller'))
        body = json.dumps(document).encode()
        status, _body = self.fleet.call(
            name, 'PUT', '/api/configuration', body
        )
        if status == 200:
            self.ledger.acknowledged.append(version)

    def submit_final_configuration(self, rng):
        """Submit a version that has to be acknowledged after all faults."""
        version, document = self._next_configuration(rng)
        try:
            self.fleet.put_configuration(document)
        except fleets.WaitError as exc:
            self.ledger.overdue.append(('final change', str(exc)))
        else:
            self.ledger.acknowledged.append(version)

    def _next_configuration(self, rng):
        """Return a new version and its document."""
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
        return version, document

    def watch_processes(self):
        """Record processes that ended although no fault disturbed them."""
        while True:
            gevent.sleep(PROCESS_POLL_S)
            for machine in self.fleet.machines.values():
                if (
                    self.locks.is_locked(machine.name)
                    or machine.is_removed
                    or not machine.process
                ):
                    continue
                code = machine.process.poll()
                entry = (machine.name, code)
                if (
                    code is not None
                    and entry not in self.ledger.unexpected_exits
                ):
                    self.ledger.unexpected_exits.append(entry)

    def collect_final_state(self):
        """Wait until all gateways are ready, then record the final state.

        That is the configuration that each controller returns, the ratio of
        requests that each gateway serves, and the signals that were logged.
        """
        for name in self.fleet.names('gateway'):
            self.fleet.wait_ready(name)
        newest = max(self.ledger.acknowledged)
        for name in self.fleet.names('controller'):
            self.ledger.read_back[name] = self._read_configuration(
                name, newest
            )
            self.ledger.evacuated_after[name] = self.fleet.evacuated(name)
        for caller in self._callers:
            caller.stop()
        # After this time the newest version is in force everywhere.
        gevent.sleep(CONFIG_PROPAGATION_S)
        for name in self.fleet.names('gateway'):
            self.ledger.served_after[name] = self._probe(name)
        for machine in self.fleet.machines.values():
            self.ledger.reported.extend(_logged_signals(machine))

    def _read_configuration(self, name, newest):
        """Return the configuration that a controller answers with.

        Waits up to ``READ_TIMEOUT_S`` for version ``newest``; after that
        returns the last one read.
        """
        seen = {}

        def is_newest():
            status, body = self.fleet.call(name, 'GET', '/api/configuration')
            if status == 200:
                seen['document'] = json.loads(body)
            return seen.get('document', {}).get('version', 0) >= newest

        with contextlib.suppress(fleets.WaitError):
            # The check reports the older version that was read.
            fleets.wait_for(
                is_newest,
                'the newest configuration was not returned',
                READ_TIMEOUT_S,
            )
        return seen.get('document')

    def _probe(self, name):
        prober = _callers.Caller(
            f'p-{name}', self.fleet, self.ledger, self._rng
        )
        prober.stop()
        kinds = [
            _callers.KINDS[number % 4] for number in range(PROBES_PER_GATEWAY)
        ]
        kinds += self._added_route_names()
        answers = [prober.send_one(kind, name) for kind in kinds]
        return sum(item.is_complete for item in answers) / len(kinds)

    def _added_route_names(self):
        """Return the names of routes that submitted configurations added."""
        return sorted(
            {
                route['name']
                for document in self.ledger.read_back.values()
                if document
                for route in document['routes']
                if route['name'] not in (*_callers.KINDS, ENDLESS)
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


def _has_signal_handler(process, number):
    """Whether a process handles signal ``number``, or has ended."""
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
    """Run one seed; return ``(findings, ledger)``.

    The logs of the processes stay in ``folder`` if it is given.
    """
    options = options or SoakOptions()
    rng = random.Random(seed)
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = stack.enter_context(
                tempfile.TemporaryDirectory(prefix=f'paddle-soak-{seed}-')
            )
        system = SoakSystem(pathlib.Path(folder), options, rng)
        stack.callback(system.close)
        system.start(options.callers)
        watcher = gevent.spawn(system.watch_processes)
        stack.callback(watcher.kill)
        _inject_faults(system, rng, options)
        gevent.sleep(_checks.RECONNECT_MS / 1_000)
        system.submit_final_configuration(rng)
        system.collect_final_state()
        findings = _checks.check_all(system.ledger, system.cloud.calls)
        return findings, system.ledger


def _inject_faults(system, rng, options):
    """Start random faults for ``options.seconds``; wait for their ends."""
    greenlets = []
    names = _faults.faults.names()
    with gevent.Timeout(options.seconds, False):
        while True:
            running = sum(not item.ready() for item in greenlets)
            if running < options.max_concurrent_faults:
                fault_rng = random.Random(rng.random())
                name = rng.choice(names)
                greenlets.append(
                    gevent.spawn(_run_fault, system, fault_rng, name)
                )
            gevent.sleep(rng.uniform(*FAULT_PAUSE_S))
    # Also raises the exceptions of faults that ended earlier.
    gevent.joinall(greenlets, raise_error=True)


def _run_fault(system, rng, name):
    try:
        _faults.faults.create(name, system=system, rng=rng)
    except fleets.WaitError as exc:
        system.ledger.overdue.append((name, str(exc)))
