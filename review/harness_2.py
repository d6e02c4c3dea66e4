"""Starts controllers and gateways with the commands of the deploy file.

For the scripts of the cases. Only the standard library is used; every address
is in 127/8. A deployment has one platform, whose interface is served here.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[1]
CONTROL_PORT, FRONT_PORT, READY_PORT = 8229, 8227, 8220
PEER_PORTS = [7340, 7355]
HOST = 'ficu95.example'
LIMIT_S = 112
KEY = 'n2ctnfzs989anu6wsjnb'
BOUNDS = {
    'seedLagS': 3, 'reuseAfterS': 2, 'contactMs': 3000,
    'acknowledgeMs': 4000, 'catchUpS': 4, 'drainMs': 3000, 'gracePeriodS': 8,
    'lossSlackMs': 200, 'configurationMs': 2000, 'rollbackSlackMs': 250,
    'outerBoundMs': 5000, 'strictRevocation': False, 'revokeMs': 5000,
    'retryBudgetRatio': 0.2, 'retryWindowS': 10, 'retryBudgetSlack': 56,
    'fencingRequired': True, 'leaseDurationMs': 3000, 'thawSlackMs': 300,
    'usageWindowS': 5, 'usageTolerance': 0.05, 'usageLateS': 10,
    'recoveryS': 12, 'passMs': 120, 'reuseWindowS': 10,
}
CONTRACTS = ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine',
             'stream', 'tenants', 'leader']


class CannotRun(Exception):
    """The deployment did not come up."""


class Record:
    """Writes what was seen to ``record.txt`` and to standard output."""

    def __init__(self, folder):
        path = os.environ.get('RECORD') or pathlib.Path(folder, 'record.txt')
        self._file = open(path, 'w')
        self._start = time.monotonic()
        self._lock = threading.Lock()

    def __call__(self, *words, quiet=False):
        with self._lock:
            line = f'{time.monotonic() - self._start:8.3f} '
            line += ' '.join(map(str, words))
            self._file.write(line + '\n')
            self._file.flush()
            if not quiet:
                print(line, flush=True)


def exit_code(main):
    """Return what ``main()`` returns, 2 if it cannot finish.

    A signal to stop, or the time limit, also ends what the case has started.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, lambda *_: sys.exit(2))
    signal.alarm(LIMIT_S)
    try:
        return main()
    except Exception:
        traceback.print_exc()
        return 2


def new_net():
    """Return the first three numbers of a free part of 127/8."""
    rng = random.SystemRandom()
    return f'127.{rng.randint(20, 220)}.{rng.randint(1, 250)}'


class Platform:
    """The platform's list of servers, and the calls of the duties."""

    def __init__(self, ip):
        self.entries = []
        self.calls = []
        self.delay_s = 0.0
        self._fences = {}
        self._listener = socket.socket()
        self._listener.bind((ip, 0))
        self._listener.listen(128)
        self.address = f'{ip}:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        with sock:
            try:
                request = read_message(sock)
                if request is None:
                    return
                line, headers, body = request
                status, document = self._answer(line, headers, body)
                data = json.dumps(document).encode()
                sock.sendall(
                    b'HTTP/1.1 %d OK\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\nConnection: close\r\n\r\n'
                    % (status, len(data)) + data
                )
            except OSError:
                pass

    def _answer(self, line, headers, body):
        path = line.split()[1].decode()
        if path.startswith('/instances'):
            return 200, {'instances': list(self.entries), 'next': None}
        fence = int(headers.get('rosemarypaddle-fencing-token', 0))
        if fence < self._fences.get(path, 0):
            return 409, {}
        self._fences[path] = fence
        self.calls.append(
            (time.monotonic(), path, headers.get('rosemarypaddle-duty-holder'),
             fence, json.loads(body or b'{}'))
        )
        return 200, {}


def read_message(sock, buffer=b''):
    """Return ``(first line, headers, body)``, ``None`` at the end."""
    while b'\r\n\r\n' not in buffer:
        data = sock.recv(65536)
        if not data:
            return None
        buffer += data
    head, _, body = buffer.partition(b'\r\n\r\n')
    lines = head.split(b'\r\n')
    headers = {}
    for item in lines[1:]:
        name, _, value = item.partition(b':')
        headers[name.decode('latin-1').lower()] = (
            value.strip().decode('latin-1')
        )
    length = int(headers.get('content-length', 0))
    while len(body) < length:
        data = sock.recv(65536)
        if not data:
            return None
        body += data
    return lines[0], headers, body


class Deployment:
    """Controllers and gateways as processes, and the platform."""

    def __init__(self, record, *, controllers=3, gateways=1, bounds=None,
                 contracts=None, duties=('usage',)):
        self.record = record
        self.net = new_net()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='paddle-review-'))
        self.platform = Platform(f'{self.net}.250')
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.contracts = contracts or CONTRACTS
        self.duties = list(duties)
        self.processes = {}
        self.others = []
        self.controllers = [f'core-{n}' for n in range(controllers)]
        self.gateways = [f'front-{n}' for n in range(gateways)]
        self.ips = {
            name: f'{self.net}.{number}'
            for number, name in enumerate(
                [*self.controllers, *self.gateways], 1
            )
        }
        self.seeds = [
            f'{self.ips[name]}:{CONTROL_PORT}'
            for name in self.controllers[:3]
        ]

    def start(self, name, *, first=False):
        """Start the process of a machine."""
        role = 'controller' if name.startswith('core') else 'gateway'
        ip = self.ips[name]
        path = self.folder / f'{name}.json'
        data = self.folder / name
        listen = {'front': f'{ip}:{FRONT_PORT}', 'ready': f'{ip}:{READY_PORT}'}
        if role == 'controller':
            data.mkdir(exist_ok=True)
            listen = {'control': f'{ip}:{CONTROL_PORT}'}
        number = int(name.rpartition('-')[2])
        path.write_text(json.dumps({
            'nodeName': name, 'role': role,
            'machineClass': 'core' if role == 'controller' else 'front',
            'serves': ['control' if role == 'controller' else 'front'],
            'ipAddress': ip, 'zone': f'z{number % 3}', 'region': 'r',
            'zones': {'z0': 'r', 'z1': 'r', 'z2': 'r'},
            'listen': listen, 'internalPorts': PEER_PORTS,
            'seeds': self.seeds, 'firstStart': first,
            'countedInTolerance': role == 'controller',
            'limits': {'cpuShare': 0.645, 'cores': 1, 'memoryMb': 300,
                       'fileDescriptors': 4100, 'linkMbps': 1000.0,
                       'diskMb': 128 if role == 'controller' else 0},
            'dataDirectory': str(data) if role == 'controller' else None,
            'discovery': 'cloud_api', 'entry': 'virtual_ip',
            'heartbeatIntervalMs': 1200, 'contracts': self.contracts,
            'toleratedLosses': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': self.bounds, 'configurationMode': 'highest',
            'cloud': {'address': self.platform.address, 'ratePerS': 44.0,
                      'duties': self.duties, 'lagMs': 800, 'dutyPerS': 50.0},
        }))
        env = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG')
               if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['ROSEMARYPADDLE_CONFIG'] = str(path)
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes[name] = subprocess.Popen(
                ['python3', 'platform/main.py', role],
                cwd=ROOT, env=env, stdout=log, stderr=log,
            )

    def start_all(self, document):
        """Start all machines, store ``document``, wait until ready.

        :raises CannotRun: if that takes over 30 s.
        """
        for name in [*self.controllers, *self.gateways]:
            self.start(name, first=True)
        self.wait(lambda: self.put(document), 'no acknowledgement')
        for name in self.gateways:
            self.wait(lambda name=name: self.is_ready(name), 'not ready')

    def wait(self, function, text, limit_s=30):
        """Wait until ``function()`` is true.

        :raises CannotRun: with ``text`` after ``limit_s``.
        """
        end = time.monotonic() + limit_s
        while not function():
            if time.monotonic() > end:
                raise CannotRun(text)
            time.sleep(0.1)

    def call(self, ip, port, method, path, body=None, timeout_s=1.0):
        """Return ``(status, body)``, ``(None, text)`` without an answer."""
        conn = http.client.HTTPConnection(ip, port, timeout=timeout_s)
        try:
            conn.request(method, path, body=body,
                         headers={'Content-Type': 'application/json'})
            answer = conn.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException) as exc:
            return None, str(exc).encode()
        finally:
            conn.close()

    def put(self, document, names=None):
        """Send a configuration to one node after the other.

        Return the name of the one that acknowledged it.
        """
        body = json.dumps(document).encode()
        for name in names or self.controllers:
            status, _body = self.call(
                self.ips[name], CONTROL_PORT, 'PUT', '/api/configuration', body
            )
            self.record('configuration', document['version'], 'to', name,
                        'answer', status)
            if status == 200:
                return name
        return None

    def get(self, name):
        """Return ``(status, document)`` of a read of the configuration."""
        status, body = self.call(
            self.ips[name], CONTROL_PORT, 'GET', '/api/configuration'
        )
        return status, json.loads(body) if status == 200 else None

    def is_ready(self, name):
        """Whether a gateway says that it is ready."""
        return self.call(
            self.ips[name], READY_PORT, 'GET', '/api/readiness'
        )[0] == 200

    def front(self, name):
        """Return the address of a gateway for clients."""
        return self.ips[name], FRONT_PORT

    def close(self):
        """End all processes that were started."""
        for process in [*self.processes.values(), *self.others]:
            if process.poll() is None:
                process.kill()
            process.wait()
        if os.environ.get('KEEP'):
            self.record('logs in', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, services):
    """Return a configuration document with one tenant."""
    return {
        'version': version, 'routes': routes, 'services': services,
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                   'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
        'tenants': [{'name': 'hule930', 'accessKeys': [KEY], 'priority': 1}],
    }


def request_bytes(method, path, request_id, body=b'', *, limit_ms=12000,
                  extra=''):
    """Return a client's request."""
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Rosemarypaddle-Request-Id: {request_id}\r\n'
        f'Rosemarypaddle-Deadline-Milliseconds: {limit_ms}\r\n'
        f'Authorization: Token {KEY}\r\n{extra}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


class Answer:
    """What a client has got: status, headers, body, and whether it is whole.

    ``is_complete`` is set if the framing of HTTP says that the answer ended.
    """

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b''
        self.is_complete = False
        self.error = ''


def read_answer(sock, timeout_s=15):
    """Read one answer from a client's channel."""
    answer = Answer()
    end = time.monotonic() + timeout_s
    buffer = b''

    def more():
        nonlocal buffer
        sock.settimeout(max(0.01, end - time.monotonic()))
        data = sock.recv(65536)
        if not data:
            raise EOFError('channel closed')
        buffer += data

    try:
        while b'\r\n\r\n' not in buffer:
            more()
        head, _, buffer = buffer.partition(b'\r\n\r\n')
        lines = head.split(b'\r\n')
        answer.status = int(lines[0].split()[1])
        for item in lines[1:]:
            name, _, value = item.partition(b':')
            answer.headers[name.decode('latin-1').lower()] = (
                value.strip().decode('latin-1')
            )
        if answer.headers.get('transfer-encoding') == 'chunked':
            while True:
                while b'\r\n' not in buffer:
                    more()
                size, _, buffer = buffer.partition(b'\r\n')
                count = int(size.split(b';')[0], 16)
                while len(buffer) < count + 2:
                    more()
                answer.body += buffer[:count]
                buffer = buffer[count + 2:]
                if not count:
                    answer.is_complete = True
                    break
        else:
            length = int(answer.headers.get('content-length', 0))
            while len(buffer) < length:
                more()
            answer.body = buffer[:length]
            answer.is_complete = True
    except (OSError, EOFError, ValueError) as exc:
        answer.error = f'{type(exc).__name__}: {exc}'
    return answer
