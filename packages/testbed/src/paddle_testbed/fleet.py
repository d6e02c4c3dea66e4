"""Start the programs of the users' platform as processes on loopback.

Every process has its own address in 127/8, since all machines of the platform
use the same ports. Only processes started here are ever signalled.
"""

import json
import os
import pathlib
import resource
import shutil
import signal
import subprocess
import sys
import time

import attrs
import gevent
import geventhttpclient

from paddle_testbed import cluster

MAIN = pathlib.Path(__file__).parents[4] / 'platform' / 'main.py'
CONTROL_PORT = 8229
GATEWAY_PORT = 8227
READY_PORT = 8220
PEER_PORTS = [7340, 7355]
POLL_INTERVAL_S = 0.05
WAIT_S = 20
BOUNDS = {
    'catchUpS': 4,
    'drainMs': 3_000,
    'gracePeriodS': 8,
    'leaseDurationMs': 3_000,
    'retryBudgetRatio': 0.2,
    'retryBudgetSlack': 56,
    'retryWindowS': 10,
    'usageWindowS': 2,
    'usageLateS': 4,
}


class WaitError(RuntimeError):
    """A condition did not become true in time."""


@attrs.define
class Machine:
    """A machine: its address, its folder and its process."""

    name: str
    role: str
    ip: str
    folder: pathlib.Path
    process: subprocess.Popen | None = None
    # Whether it was removed for good; its folder and log remain.
    is_removed: bool = False
    # Arguments of Python that run its program, by default main.py.
    command: list[str] | None = None


class Fleet:
    """Controllers and gateways of one system under ``folder``."""

    def __init__(self, folder, cloud, *, controllers, gateways, bounds=None):
        self.folder = pathlib.Path(folder)
        self.cloud = cloud
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.machines = {}
        for index in range(controllers):
            self.add(f'core-{index}', 'controller')
        for index in range(gateways):
            self.add(f'front-{index}', 'gateway')
        self.seeds = self._first_controllers()

    def add(self, name, role):
        """Add a machine without starting it."""
        folder = self.folder / name
        folder.mkdir()
        machine = Machine(name, role, cluster.own_address(), folder)
        self.machines[name] = machine
        return machine

    def start_all(self):
        """Start the processes of all machines for the first time."""
        for name in self.machines:
            self.start(name, first_start=True)

    def start(self, name, *, first_start=False, output=None):
        """Start the process of a machine.

        ``output`` is the file descriptor for its standard output, by default
        the log file of the machine.
        """
        machine = self.machines[name]
        path = machine.folder / 'settings.json'
        path.write_text(json.dumps(self._settings(machine, first_start)))
        log = open(machine.folder / 'log', 'ab')
        machine.process = subprocess.Popen(
            [sys.executable, *(machine.command or [str(MAIN), machine.role])],
            env={**os.environ, 'ROSEMARYPADDLE_CONFIG': str(path)},
            stdout=log if output is None else output,
            stderr=log,
        )
        log.close()

    def signal(self, name, number):
        """Send a signal to the process of a machine."""
        self.machines[name].process.send_signal(number)

    def kill(self, name):
        """Kill the process of a machine."""
        process = self.machines[name].process
        process.kill()
        process.wait()

    def add_controller(self):
        """Start a controller with an empty disk; return its name."""
        count = sum(
            item.role == 'controller' for item in self.machines.values()
        )
        name = f'core-{count}'
        self.add(name, 'controller')
        self.start(name)
        return name

    def remove(self, name):
        """Remove a controller that was stopped for good.

        Machines that start later get other seeds.
        """
        self.machines[name].is_removed = True
        self.seeds = self._first_controllers()

    def delete_data(self, name):
        """Delete the data directory of a stopped machine."""
        shutil.rmtree(self.machines[name].folder / 'data')

    def register_path(self, name):
        """Return the path of a controller's register file."""
        return self.machines[name].folder / 'data/replica/register.log'

    def fill_disk(self, name):
        """Make the files of a machine, its log included, refuse writes.

        Returns a function that makes room again.
        """
        pid = self.machines[name].process.pid
        soft, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, hard))
        return lambda: resource.prlimit(
            pid, resource.RLIMIT_FSIZE, (soft, hard)
        )

    def stop(self):
        """Kill all processes that still run."""
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()

    def call(self, name, method, path, body=None, timeout_s=2):
        """Send a request to the control or readiness port of a machine.

        Returns ``(status, body)``, or ``(None, b'')`` without an answer.
        """
        machine = self.machines[name]
        port = CONTROL_PORT if machine.role == 'controller' else READY_PORT
        client = geventhttpclient.HTTPClient(
            machine.ip,
            port,
            connection_timeout=timeout_s,
            network_timeout=timeout_s,
        )
        try:
            answer = client.request(method, path, body=body or b'', headers={})
            return answer.status_code, bytes(answer.read())
        except OSError:
            return None, b''
        finally:
            client.close()

    def put_configuration(self, document, names=None):
        """Submit a configuration until a controller acknowledges it.

        Returns the name of that controller.
        """
        body = json.dumps(document).encode()
        names = names or self.names('controller')

        def submit_once():
            for name in names:
                status, _body = self.call(
                    name, 'PUT', '/api/configuration', body
                )
                if status == 200:
                    return name
            return None

        return wait_for(
            submit_once, 'no controller acknowledged the configuration'
        )

    def order_evacuation(self, method, domain, names=None):
        """Send an order until a controller acknowledges it.

        ``method`` is POST to evacuate ``domain`` and DELETE to use it again.
        """

        def send_once():
            return any(
                self.call(name, method, f'/api/evacuation/{domain}')[0] == 200
                for name in names or self.names('controller')
            )

        wait_for(send_once, f'no controller acknowledged {method} {domain}')

    def evacuated(self, name):
        """Return the evacuated domains, ``None`` if they are not confirmed."""
        status, body = self.call(name, 'GET', '/api/evacuation')
        return json.loads(body)['domains'] if status == 200 else None

    def names(self, role):
        """Return the names of the machines of ``role``."""
        return [
            item.name
            for item in self.machines.values()
            if item.role == role and not item.is_removed
        ]

    def gateway_address(self, name):
        """Return the address of a gateway for callers, as ``(ip, port)``."""
        return self.machines[name].ip, GATEWAY_PORT

    def wait_ready(self, name):
        """Wait until the readiness endpoint of a gateway answers 200."""
        wait_for(
            lambda: self.call(name, 'GET', '/api/readiness')[0] == 200,
            f'{name} was not ready',
        )

    def wait_voting_again(self, name):
        """Wait until a controller with an emptied disk votes again.

        While the replica set changes, a majority of the old set is needed as
        well, and the emptied replica does not count in it.
        """

        def is_voting():
            replica = self.dump(name).get('replica') or {}
            return replica.get('voting') and not replica.get('changing')

        wait_for(is_voting, f'{name} did not become a voting replica again')

    def dump(self, name):
        """Return the state dump of a process, or ``{}`` without an answer."""
        status, body = self.call(name, 'GET', '/dump')
        return json.loads(body) if status == 200 else {}

    def _first_controllers(self):
        """Return the addresses for operators of three controllers at most."""
        ips = [self.machines[name].ip for name in self.names('controller')]
        return [f'{ip}:{CONTROL_PORT}' for ip in ips[:3]]

    def _settings(self, machine, first_start):
        ip = machine.ip
        data = machine.folder / 'data'
        listen = {'control': f'{ip}:{CONTROL_PORT}'}
        if machine.role == 'gateway':
            listen = {
                'front': f'{ip}:{GATEWAY_PORT}',
                'ready': f'{ip}:{READY_PORT}',
            }
        else:
            data.mkdir(exist_ok=True)
        return {
            'nodeName': machine.name,
            'zone': f'z{int(machine.name.rpartition("-")[2]) % 2}',
            'ipAddress': ip,
            'listen': listen,
            'internalPorts': PEER_PORTS,
            'seeds': self.seeds,
            'firstStart': first_start,
            'dataDirectory': str(data),
            'bounds': self.bounds,
            'cloud': {
                'address': self.cloud.address,
                'duties': ['usage'],
            },
        }


def wait_for(function, text, wait_s=WAIT_S):
    """Return the first true result of ``function()``.

    :raises WaitError: with ``text`` if there is none within ``wait_s``.
    """
    end_s = time.monotonic() + wait_s
    while time.monotonic() < end_s:
        result = function()
        if result:
            return result
        gevent.sleep(POLL_INTERVAL_S)
    raise WaitError(f'{text} within {wait_s} s')
