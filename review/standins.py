"""Stand-ins for the cases: platform, backend servers, callers, and a fleet.

Standard library only. The fleet starts the deployed roles with the commands
of the deploy file, each machine on a loopback address of its own.
"""

from http import client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
KEY = 'k-review-0123456789abcdef'
TENANT = 'tenant-a'
HOST = 'review.example'
STAMP = b'3e1b.07.5a2.600.0.c9f2a4d1'
BOUNDS = {
    'seedLagS': 3, 'reuseAfterS': 2, 'contactMs': 3000,
    'acknowledgeMs': 4000, 'catchUpS': 4, 'drainMs': 3000,
    'gracePeriodS': 8, 'lossSlackMs': 200, 'configurationMs': 2000,
    'rollbackSlackMs': 250, 'outerBoundMs': 5000, 'strictRevocation': False,
    'revokeMs': 5000, 'retryBudgetRatio': 0.2, 'retryWindowS': 10,
    'retryBudgetSlack': 56, 'fencingRequired': True,
    'leaseDurationMs': 3000, 'thawSlackMs': 300, 'usageWindowS': 5,
    'usageTolerance': 0.05, 'usageLateS': 10, 'recoveryS': 12,
    'passMs': 120, 'reuseWindowS': 10,
}
# A script has 120 s; the rest is for ending its processes.
LIMIT_S = 110
START = time.monotonic()


class CannotRun(Exception):
    """The case could not be set up."""


def now_ms():
    """Return the ms since the start of the script."""
    return int((time.monotonic() - START) * 1000)


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._out = open(pathlib.Path(folder) / sys.argv[1], 'w')
        self._lock = threading.Lock()

    def __call__(self, text):
        with self._lock:
            self._out.write(f'{now_ms():7d} {text}\n')
            self._out.flush()


def free_port():
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


# Backend servers and the platform


class Request:
    """A request as a server or the platform received it."""

    def __init__(self, line, headers, body):
        self.method, self.target = line.split(' ')[:2]
        self.headers = headers
        self.body = body
        self.id = headers.get('rosemarypaddle-request-id', '')


def read_request(stream):
    """Return the next request of a connection, None at its end."""
    line = stream.readline()
    if not line:
        return None
    headers = {}
    while (item := stream.readline().strip()):
        name, _, value = item.partition(b':')
        headers[name.decode('latin-1').lower()] = value.strip().decode(
            'latin-1'
        )
    body = stream.read(int(headers.get('content-length', '0')))
    return Request(line.decode('latin-1').strip(), headers, body)


class Listener:
    """Accepts connections; ``serve(sock)`` runs in a thread for each."""

    def __init__(self, ip, serve, port=0):
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((ip, port))
        self._sock.listen(512)
        self._serve = serve
        self.address = '%s:%d' % self._sock.getsockname()[:2]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._sock.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._run, args=(sock,), daemon=True
            ).start()

    def _run(self, sock):
        try:
            self._serve(sock)
        except OSError:
            pass
        finally:
            try:
                sock.close()
            except OSError:
                pass


def head(req, status='200 OK', extra=()):
    """Return the head of a server's own answer to ``req``."""
    lines = [
        f'HTTP/1.1 {status}',
        f'Rosemarypaddle-Request-Id: {req.id}',
        f'Rosemarypaddle-Response-Stamp: {STAMP.decode()}',
        *extra,
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def respond(sock, req, body, status='200 OK', extra=()):
    sock.sendall(
        head(req, status, (f'Content-Length: {len(body)}', *extra)) + body
    )


class Server:
    """A backend server. ``answer(server, req, sock)`` writes the response.

    ``answer`` returns whether the connection stays open.
    """

    def __init__(self, name, service, record, answer, ip='127.0.0.1',
                 domain='z1', slots=16):
        self.name, self.service, self.domain = name, service, domain
        self.slots = slots
        self.record = record
        self.answer = answer
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.listener = Listener(ip, self._serve)
        self.runs = []

    def entry(self):
        return {
            'identifier': self.name, 'service': self.service,
            'address': self.listener.address, 'zone': self.domain,
            'version': 'v1', 'slots': self.slots, 'state': self.state,
            'coldRemainingMs': 0, 'born': self.born,
        }

    def ran(self, req):
        """Record that the server began to work on ``req``."""
        self.runs.append((now_ms(), req.id))
        self.record(f'run {req.id} at {self.name}')

    def _serve(self, sock):
        stream = sock.makefile('rb')
        while (req := read_request(stream)) is not None:
            if not req.id:
                # A probe of health or a report.
                sock.sendall(
                    b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
                    b'Rosemarypaddle-Instance-Id: %s\r\n\r\n'
                    % self.name.encode()
                )
                continue
            expected = req.headers.get('rosemarypaddle-expect-instance')
            if expected not in (None, self.name):
                respond(sock, req, b'', '421 Misdirected Request')
                continue
            if not self.answer(self, req, sock):
                return


class Cloud:
    """The platform: list of servers, usage reports and orders."""

    def __init__(self, record, ip='127.0.0.1'):
        self.servers = []
        self.record = record
        self.fences = {}
        self.calls = []
        self.lock = threading.Lock()
        # An entry by another writer, as its bytes stand in the list.
        self.odd_entry = b''
        self.listener = Listener(ip, self._serve)
        self.address = self.listener.address

    def _serve(self, sock):
        stream = sock.makefile('rb')
        while (req := read_request(stream)) is not None:
            status, document = self._answer(req)
            body = json.dumps(document).encode()
            if self.odd_entry and 'instances' in document:
                body = body.replace(b'[{', b'[%s, {' % self.odd_entry, 1)
            sock.sendall(
                b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                b'Content-Length: %d\r\n\r\n%s' % (status, len(body), body)
            )

    def _answer(self, req):
        if req.target.startswith('/instances'):
            entries = [item.entry() for item in self.servers if item.state]
            return 200, {'instances': entries, 'next': None}
        document = json.loads(req.body)
        fence = int(req.headers.get('rosemarypaddle-fencing-token', '0'))
        holder = req.headers.get('rosemarypaddle-duty-holder')
        subject = ('usage',)
        if req.target == '/scale':
            subject = ('scale', document['service'], document['zone'])
        with self.lock:
            stale = fence < self.fences.get(subject, 0)
            if not stale:
                self.fences[subject] = fence
            self.calls.append(
                (now_ms(), req.target, holder, fence, document, not stale)
            )
        self.record(
            f'platform {req.target} holder={holder} fence={fence} '
            f'{json.dumps(document, sort_keys=True)} accepted={not stale}'
        )
        return (409 if stale else 200), {}


# Callers


class Answer:
    """What a caller got: status (0 without a head), body, completeness."""

    def __init__(self, status=0, headers=(), body=b'', complete=False,
                 error='', took_ms=0):
        self.status, self.headers, self.body = status, dict(headers), body
        self.complete, self.error, self.took_ms = complete, error, took_ms

    def __str__(self):
        return (
            f'status={self.status} bytes={len(self.body)} '
            f'complete={self.complete} took_ms={self.took_ms} '
            f'error={self.error!r}'
        )


def request_bytes(req_id, path, method='POST', body=b'', deadline_ms=1500,
                  extra=()):
    lines = [
        f'{method} {path} HTTP/1.1', f'Host: {HOST}',
        f'Rosemarypaddle-Request-Id: {req_id}',
        f'Rosemarypaddle-Deadline-Milliseconds: {deadline_ms}',
        f'Authorization: Token {KEY}', *extra,
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


def call(address, req_id, path, method='POST', body=b'', deadline_ms=1500,
         patience_ms=None, extra=(), keep_body=True, record=None):
    """Send one request on a new connection; wait until the time limit.

    ``record`` gets a line when it is sent and one when it is answered.
    """
    if record is not None:
        record(f'sent {req_id} {method} {path} to {address}')
        answer = call(address, req_id, path, method, body, deadline_ms,
                      patience_ms, extra, keep_body)
        reason = answer.body[:60] if answer.status >= 400 else b''
        record(f'answered {req_id} {answer} '
               f'retry-after={answer.headers.get("retry-after")} {reason}')
        return answer
    began = time.monotonic()
    end = began + (patience_ms or deadline_ms) / 1000
    host, port = address.rsplit(':', 1)
    answer = Answer()
    try:
        sock = socket.create_connection((host, int(port)), 1.0)
    except OSError as exc:
        answer.error = f'connect: {exc}'
        return answer
    with sock:
        try:
            sock.sendall(request_bytes(
                req_id, path, method, body, deadline_ms, extra
            ))
            read_answer(sock, answer, end, keep_body)
        except OSError as exc:
            answer.error = f'{type(exc).__name__}: {exc}'
    answer.took_ms = int((time.monotonic() - began) * 1000)
    return answer


def read_answer(sock, answer, end, keep_body=True):
    """Read one answer until ``end`` on the monotonic clock."""
    data = b''

    def more():
        left = end - time.monotonic()
        if left <= 0:
            raise TimeoutError('time limit')
        sock.settimeout(left)
        piece = sock.recv(1 << 20)
        return piece

    while b'\r\n\r\n' not in data:
        piece = more()
        if not piece:
            raise ConnectionError('closed before the answer')
        data += piece
    raw, _, data = data.partition(b'\r\n\r\n')
    lines = raw.decode('latin-1').split('\r\n')
    answer.status = int(lines[0].split()[1])
    answer.headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(':') for line in lines[1:])
    }
    length = answer.headers.get('content-length')
    if length is not None:
        while len(data) < int(length):
            piece = more()
            if not piece:
                raise ConnectionError('closed within the body')
            data += piece
        answer.body, answer.complete = data[:int(length)], True
        return
    if 'chunked' not in answer.headers.get('transfer-encoding', ''):
        while (piece := more()):
            data += piece
        answer.body, answer.complete = data, True
        return
    tail = data[-64:]
    count = len(data)
    parts = [data]
    while not tail.endswith(b'0\r\n\r\n'):
        piece = more()
        if not piece:
            raise ConnectionError('closed within the chunks')
        count += len(piece)
        tail = (tail + piece)[-64:]
        if keep_body:
            parts.append(piece)
    answer.body, answer.complete = _unchunk(b''.join(parts)), True


def _unchunk(data):
    body = b''
    while data:
        size, _, data = data.partition(b'\r\n')
        length = int(size.split(b';')[0], 16)
        if not length:
            break
        body, data = body + data[:length], data[length + 2:]
    return body


# The fleet


class Machine:
    """One machine: a role, its settings file and its process."""

    def __init__(self, name, role, ip, settings, folder):
        self.name, self.role, self.ip = name, role, ip
        self.settings, self.folder = settings, folder
        self.process = None

    def write_settings(self):
        (self.folder / 'settings.json').write_text(json.dumps(self.settings))

    def start(self):
        self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['ROSEMARYPADDLE_CONFIG'] = str(
            self.folder / 'settings.json'
        )
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        self.log = open(self.folder / 'log', 'ab')
        self.process = subprocess.Popen(
            ['python3', 'platform/main.py', self.role], cwd=ROOT,
            env=environment, stdout=self.log, stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self, limit_s):
        """Send SIGTERM, and SIGKILL after ``limit_s``; return the code."""
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(limit_s)
        except subprocess.TimeoutExpired:
            self.kill()
        return self.process.returncode

    def lose_disk(self):
        """Kill the process; it will start with an empty data directory."""
        self.kill()
        empty = self.folder / 'data-after-loss'
        empty.mkdir()
        self.settings['dataDirectory'] = str(empty)
        self.settings['firstStart'] = False

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Fleet:
    """Controllers and gateways on addresses of 127/8."""

    def __init__(self, cloud, record, controllers=3, gateways=2,
                 bounds=None, duties=('usage', 'scaling')):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='paddle-review-'))
        net = f'127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}'
        control, front, ready, peer = (free_port() for _ in range(4))
        self.machines = {}
        ips = {f'core-{n}': f'{net}.{10 + n}' for n in range(controllers)}
        ips |= {f'front-{n}': f'{net}.{100 + n}' for n in range(gateways)}
        seeds = [
            f'{ips[f"core-{n}"]}:{control}' for n in range(min(3, controllers))
        ]
        for name, ip in ips.items():
            folder = self.folder / name
            folder.mkdir()
            is_core = name.startswith('core')
            number = int(name.split('-')[1])
            settings = {
                'nodeName': name, 'role': 'x',
                'machineClass': 'core' if is_core else 'front',
                'serves': ['control'] if is_core else ['front'],
                'ipAddress': ip, 'zone': f'z{number % 2 + 1}',
                'region': 'r', 'zones': {'z1': 'r', 'z2': 'r'},
                'listen': {'control': f'{ip}:{control}'} if is_core else {
                    'front': f'{ip}:{front}', 'ready': f'{ip}:{ready}'},
                'internalPorts': [peer, peer + 15], 'seeds': seeds,
                'firstStart': True, 'countedInTolerance': is_core,
                'limits': {'cpuShare': 0.6, 'cores': 1, 'memoryMb': 300,
                           'fileDescriptors': 4100, 'linkMbps': 1000.0,
                           'diskMb': 128 if is_core else 0},
                'dataDirectory': str(folder / 'data') if is_core else None,
                'discovery': 'cloud_api', 'entry': 'virtual_ip',
                'heartbeatIntervalMs': 1200,
                'contracts': ['base', 'drain', 'config', 'cost', 'retry',
                              'recover', 'engine', 'stream', 'tenants',
                              'leader'],
                'toleratedLosses': {'machines': 1, 'zones': 0, 'regions': 0},
                'bounds': {**BOUNDS, **(bounds or {})},
                'configurationMode': 'highest',
                'cloud': {'address': cloud.address, 'ratePerS': 44.0,
                          'duties': list(duties), 'lagMs': 800,
                          'dutyPerS': 50.0},
            }
            if is_core:
                (folder / 'data').mkdir()
            role = 'controller' if is_core else 'gateway'
            self.machines[name] = Machine(name, role, ip, settings, folder)
        self.control, self.front_port, self.ready_port = control, front, ready
        self.peer = peer

    def start(self, config, limit_s=20):
        """Start all processes; send the first configuration; wait."""
        for machine in self.machines.values():
            machine.start()
        self.put_until_acknowledged(config, limit_s)
        end = time.monotonic() + limit_s
        for name in self.names('front'):
            while not self.is_ready(name):
                if time.monotonic() > end:
                    raise CannotRun(f'{name} did not become ready')
                time.sleep(0.1)
        # contactMs
        time.sleep(3)

    def add_controller(self, name):
        """Return a new machine of the core, empty and not started."""
        like = self.machines['core-0']
        number = int(name.split('-')[1])
        ip = f'{like.ip.rpartition(".")[0]}.{10 + number}'
        folder = self.folder / name
        (folder / 'data').mkdir(parents=True)
        settings = {
            **like.settings, 'nodeName': name, 'ipAddress': ip,
            'zone': f'z{number % 2 + 1}', 'firstStart': False,
            'listen': {'control': f'{ip}:{self.control}'},
            'dataDirectory': str(folder / 'data'),
        }
        machine = Machine(name, 'controller', ip, settings, folder)
        self.machines[name] = machine
        return machine

    def list_seeds(self, machine):
        """Put the addresses of the present core into a machine's settings."""
        machine.settings['seeds'] = [
            f'{self.machines[name].ip}:{self.control}'
            for name in self.names('core')
        ][:3]

    def names(self, prefix):
        return [item for item in self.machines if item.startswith(prefix)]

    def front(self, number):
        return f'{self.machines[f"front-{number}"].ip}:{self.front_port}'

    def is_ready(self, name, timeout_s=1.0):
        status, _ = http(
            self.machines[name].ip, self.ready_port, 'GET', '/api/readiness',
            timeout_s=timeout_s,
        )
        return status == 200

    def put(self, name, config, timeout_s=1.0):
        body = json.dumps(config).encode()
        self.record(f'sent configuration {config["version"]} to {name}')
        status, _ = http(
            self.machines[name].ip, self.control, 'PUT', '/api/configuration',
            body, timeout_s,
        )
        self.record(f'answered configuration {config["version"]} by {name}: '
                    f'status {status}')
        return status

    def get(self, name, timeout_s=1.0):
        status, body = http(
            self.machines[name].ip, self.control, 'GET', '/api/configuration',
            timeout_s=timeout_s,
        )
        return status, json.loads(body) if status == 200 else None

    def put_until_acknowledged(self, config, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            for name in self.names('core'):
                if self.put(name, config) == 200:
                    self.record(f'config {config["version"]} acknowledged '
                                f'by {name}')
                    return name
            time.sleep(0.2)
        raise CannotRun('the configuration was not acknowledged')

    def close(self):
        for machine in self.machines.values():
            machine.kill()
        if os.environ.get('KEEP'):
            print('logs in', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def http(host, port, method, path, body=None, timeout_s=1.0):
    """Return (status, body); status 0 without an answer."""
    conn = client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        headers = {'Content-Type': 'application/json'} if body else {}
        conn.request(method, path, body, headers)
        answer = conn.getresponse()
        return answer.status, answer.read()
    except (OSError, client.HTTPException):
        return 0, b''
    finally:
        conn.close()


def route(name, service, kind, timeout_ms, **more):
    return {
        'name': name, 'host': HOST, 'pathPrefix': f'/{name}/', 'kind': kind,
        'timeoutMs': timeout_ms, 'targetLatencyMs': 150, 'priority': 0,
        'service': service, 'attempts': 1, 'public': False, 'sticky': False,
        'resumable': False, 'targetGapMs': 0, **more,
    }


def config(version, routes, services):
    return {
        'version': version, 'routes': routes,
        'services': [
            {'name': item, 'healthPath': '/health', 'connectionLimit': 110,
             'protocol': 'h1', 'tls': False} for item in services
        ],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                   'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
        'tenants': [
            {'name': TENANT, 'accessKeys': [KEY], 'priority': 1}],
    }


def _interrupt(number, _frame):
    raise CannotRun(f'ended by {signal.Signals(number).name}')


def main(folder, case):
    """Run ``case(record, trouble)``, which returns a list of breaks."""
    record = Record(folder)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        # The case then ends its processes.
        signal.signal(number, _interrupt)
    signal.alarm(LIMIT_S)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        broken = case(record, trouble)
    except Exception as exc:
        # Also an error of the script itself: nothing is known then.
        record(f'cannot run: {type(exc).__name__}: {exc}')
        print('cannot run:', type(exc).__name__, exc)
        sys.stdout.flush()
        os._exit(2)
    for text in broken:
        record(f'BROKEN {text}')
        print('BROKEN', text)
    record('result: broken' if broken else 'result: held')
    print('result:', 'broken' if broken else 'held')
    sys.stdout.flush()
    os._exit(1 if broken else 0)
