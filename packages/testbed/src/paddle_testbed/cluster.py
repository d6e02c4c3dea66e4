"""Start daemons as processes on loopback addresses, for demo and bench."""

import json
import os
import pathlib
import secrets
import signal
import subprocess
import sys
import time

import attrs
import gevent
import gevent.socket
import geventhttpclient

POLL_INTERVAL_S = 0.02
START_TIMEOUT_S = 15
STOP_TIMEOUT_S = 20
OWNER_ONLY_MODE = 0o600
MAX_ADDRESS_BYTE = 254


class StartError(RuntimeError):
    """A process did not become ready in time."""


def own_address():
    """Return a random loopback address.

    Outgoing connections use ports of 127.0.0.1, so neither they nor other
    programs can occupy a port of this address before a daemon listens on it.
    """
    return '127.' + '.'.join(
        str(secrets.randbelow(MAX_ADDRESS_BYTE) + 1) for _ in range(3)
    )


def free_ports(address, count):
    """Return ``count`` currently unused ports of ``address``."""
    sockets = [gevent.socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((address, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


@attrs.frozen(kw_only=True)
class DaemonSpec:
    """Addresses and failure domain of one daemon."""

    name: str
    failure_domain: str
    listen: str
    operator: str
    peer: str
    has_disk: bool


class Cluster:
    """Daemons of one system under ``folder``; the first ones have disks."""

    def __init__(
        self, folder, platform, *, daemons, disks, domains, **extra_settings
    ):
        self.folder = pathlib.Path(folder)
        self.platform = platform
        self.token = secrets.token_hex(16)
        self.token_file = self.folder / 'operator.token'
        self._extra_settings = extra_settings
        self.processes = {}
        host = own_address()
        ports = iter(free_ports(host, 3 * daemons))
        self.specs = [
            DaemonSpec(
                name=f'd{index}',
                failure_domain=domains[index % len(domains)],
                listen=f'{host}:{next(ports)}',
                operator=f'{host}:{next(ports)}',
                peer=f'{host}:{next(ports)}',
                has_disk=index < disks,
            )
            for index in range(daemons)
        ]

    def write_settings(self):
        """Write the token file and one settings file per daemon."""
        descriptor = os.open(
            self.token_file, os.O_CREAT | os.O_WRONLY, OWNER_ONLY_MODE
        )
        with open(descriptor, 'w') as file:
            file.write(self.token + '\n')
        for spec in self.specs:
            path = self.settings_path(spec)
            path.write_text(json.dumps(self._settings(spec), indent=2))
        ctl = {
            'addresses': [spec.operator for spec in self.specs],
            'token_file': str(self.token_file),
        }
        self.ctl_path.write_text(json.dumps(ctl))

    @property
    def ctl_path(self):
        """Path of the settings file of the operator's command."""
        return self.folder / 'ctl.json'

    def settings_path(self, spec):
        """Return the path of the settings file of one daemon."""
        return self.folder / f'{spec.name}.json'

    def start(self, spec):
        """Start one daemon and return its process."""
        log = open(self.folder / f'{spec.name}.log', 'ab')
        process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'paddle_router.daemon',
                f'--settings={self.settings_path(spec)}',
            ],
            stdout=log,
            stderr=log,
        )
        log.close()
        self.processes[spec.name] = process
        return process

    def start_all(self):
        """Start all daemons and wait until their operator ports answer."""
        for spec in self.specs:
            self.start(spec)
        for spec in self.specs:
            self.wait_listening(spec.operator)

    def wait_listening(self, address):
        """Wait until ``address`` accepts connections."""
        host, port = address.rsplit(':', 1)

        def accepts_connections():
            try:
                gevent.socket.create_connection((host, int(port)), 1).close()
            except OSError:
                return False
            return True

        wait_until(
            accepts_connections, START_TIMEOUT_S, f'{address} to listen'
        )

    def wait_ready(self, specs=None):
        """Wait until ``/readyz`` of all given daemons answers 200."""
        for spec in specs or self.specs:
            wait_until(
                lambda: status_of(spec.listen, '/readyz') == 200,
                START_TIMEOUT_S,
                f'{spec.name} to be ready',
            )

    def stop(self, spec):
        """Stop one daemon gracefully and return its exit code."""
        process = self.processes.pop(spec.name)
        process.send_signal(signal.SIGTERM)
        wait_until(
            lambda: process.poll() is not None,
            STOP_TIMEOUT_S,
            f'{spec.name} to stop',
        )
        return process.returncode

    def kill(self, spec):
        """Kill one daemon."""
        process = self.processes.pop(spec.name)
        process.kill()
        process.wait()

    def dump(self, spec):
        """Return the state dump of one daemon."""
        client = geventhttpclient.HTTPClient.from_url(
            f'http://{spec.operator}', network_timeout=10
        )
        headers = {'Authorization': f'Bearer {self.token}'}
        try:
            return json.loads(client.get('/dump', headers=headers).read())
        finally:
            client.close()

    def close(self):
        """Kill all processes that still run."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        self.processes.clear()

    def _settings(self, spec):
        data_dir = self.folder / f'{spec.name}.data'
        return {
            'name': spec.name,
            'failure_domain': spec.failure_domain,
            'listen': spec.listen,
            'operator': spec.operator,
            'peer': spec.peer,
            'platform': self.platform,
            'operator_token_file': str(self.token_file),
            'data_dir': str(data_dir) if spec.has_disk else None,
            'replicas': [item.peer for item in self.specs if item.has_disk],
            **self._extra_settings,
        }


def status_of(address, path):
    """Return the HTTP status of ``GET path``, or 0 without an answer."""
    client = geventhttpclient.HTTPClient.from_url(
        f'http://{address}', connection_timeout=1, network_timeout=2
    )
    try:
        return client.get(path).status_code
    except (OSError, ValueError):
        return 0
    finally:
        client.close()


def wait_until(condition, timeout_s, what):
    """Poll ``condition()`` until it is true.

    :raises StartError: if it is not true within ``timeout_s``.
    """
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise StartError(
                f'timed out after {timeout_s} s waiting for {what}'
            )
        gevent.sleep(POLL_INTERVAL_S)
