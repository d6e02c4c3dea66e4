"""Cost of the daemon per request, compared with a bare relay and no relay.

Three routes to one fake engine are measured in alternating rounds of one run:
directly, through a relay of falcon and geventhttpclient without any policy,
and through a daemon. Each runs in its own process; processor time is read
from the kernel's accounting per thread in ns. Only the ratios are comparable
between runs.
"""

import hashlib
import json
import pathlib
import socket
import statistics
import subprocess
import sys
import tempfile
import time

from absl import app
from absl import flags
import attrs
import falcon
import gevent
import gevent.pool
import gevent.pywsgi
import geventhttpclient

from paddle_testbed import cluster
from paddle_testbed import fakes

FLAGS = flags.FLAGS
flags.DEFINE_enum(
    'role', 'driver', ['driver', 'engine', 'bare'], 'Role of this process.'
)
flags.DEFINE_string('engine', None, 'Address of the engine for --role=bare.')
flags.DEFINE_integer('port', 0, 'Port for --role=engine and --role=bare.')
flags.DEFINE_integer('rounds', 8, 'Rounds of each route.', 1, 50)
flags.DEFINE_integer('requests', 150, 'Requests per round.', 10, 2_000)
flags.DEFINE_integer('callers', 8, 'Concurrent callers.', 1, 64)
flags.DEFINE_string('out', None, 'File for the figures as JSON.')

CHAT_PATH = '/v1/chat/completions'
KEY = 'relay-bench-key'
RESPONSE_TOKENS = 20
NS_PER_MS = 1_000_000
WARM_UP_REQUESTS = 30
IDLE_S = 2.0
TIMEOUT_S = 20
BODY = json.dumps(
    {
        'model': 'small',
        'stream': True,
        'max_tokens': RESPONSE_TOKENS,
        'messages': [{'role': 'user', 'content': 'Where is my box? ' * 20}],
    }
)
HEADERS = {
    'Authorization': f'Bearer {KEY}',
    'Content-Type': 'application/json',
}


class NoDelayHandler(gevent.pywsgi.WSGIHandler):
    """Handler that disables Nagle's algorithm, as engines do.

    Otherwise every first event waits about 40 ms for a delayed
    acknowledgement, which hides the cost of the relay.
    """

    def handle(self):
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()


class NoDelayEngine(fakes.FakeEngine):
    """Fake engine that disables Nagle's algorithm."""

    def start(self):
        self._server.handler_class = NoDelayHandler
        return super().start()


class BareRelay:
    """Relay that forwards chat requests and their events one by one."""

    def __init__(self, engine):
        self._client = geventhttpclient.HTTPClient.from_url(
            f'http://{engine}', concurrency=64, network_timeout=TIMEOUT_S
        )

    def on_post(self, req, resp):
        upstream = self._client.post(
            CHAT_PATH,
            req.bounded_stream.read(),
            headers={'Content-Type': 'application/json'},
        )
        resp.content_type = 'text/event-stream'
        resp.stream = _events(upstream)


def _events(upstream):
    while event := upstream.readline(b'\n\n'):
        yield event


def serve_engine(port):
    """Run the fake engine until the process is killed."""
    options = fakes.EngineOptions(slots=64, inter_token_ms=2.0)
    NoDelayEngine(options, port=port).start()
    gevent.get_hub().join()


def serve_bare(port, engine):
    """Run the bare relay until the process is killed."""
    relay = falcon.App()
    relay.add_route(CHAT_PATH, BareRelay(engine))
    gevent.pywsgi.WSGIServer(
        ('127.0.0.1', port),
        relay,
        handler_class=NoDelayHandler,
        log=None,
        error_log=None,
    ).serve_forever()


@attrs.define
class Route:
    """One route to the engine and its measurements."""

    name: str
    address: str
    process: object = None
    cpu_ms: list = attrs.field(factory=list)
    first_ms: list = attrs.field(factory=list)

    def cpu_ns(self):
        """Return the processor time of all threads so far."""
        if self.process is None:
            return 0
        folder = pathlib.Path(f'/proc/{self.process.pid}/task')
        return sum(
            int((task / 'schedstat').read_text().split()[0])
            for task in folder.iterdir()
        )


def run_round(route, requests, callers):
    """Send ``requests`` over ``route``; return first-token times in ms."""
    pool = gevent.pool.Pool(callers)
    client = geventhttpclient.HTTPClient.from_url(
        f'http://{route.address}',
        concurrency=callers,
        network_timeout=TIMEOUT_S,
    )

    def send_one(_):
        begin = time.monotonic_ns()
        response = client.post(CHAT_PATH, BODY, headers=HEADERS)
        first = response.readline(b'\n\n')
        spent = time.monotonic_ns() - begin
        remainder = bytes(response.read())
        if not (first + remainder).rstrip().endswith(b'data: [DONE]'):
            raise RuntimeError(
                f'{route.name}: incomplete answer {remainder[-300:]}'
            )
        return spent / NS_PER_MS

    try:
        return list(pool.imap_unordered(send_one, range(requests)))
    finally:
        client.close()


def measure(routes, rounds, requests, callers):
    """Alternate rounds of all routes; reverse their order each time."""
    for route in routes:
        run_round(route, WARM_UP_REQUESTS, callers)
    for index in range(rounds):
        order = routes if index % 2 else list(reversed(routes))
        for route in order:
            before = route.cpu_ns()
            times = run_round(route, requests, callers)
            spent = (route.cpu_ns() - before) / NS_PER_MS
            route.cpu_ms.append(spent / requests)
            route.first_ms.append(statistics.median(times))


def idle_ms_per_s(route):
    """Measure the processor time of an idle process in ms per second."""
    before, begin = route.cpu_ns(), time.monotonic()
    gevent.sleep(IDLE_S)
    spent = (route.cpu_ns() - before) / NS_PER_MS
    return spent / (time.monotonic() - begin)


def figures(direct, bare, daemon, idle):
    """Return the figures of a run; times in ms."""
    ratios = [
        daemon_ms / bare_ms
        for daemon_ms, bare_ms in zip(daemon.cpu_ms, bare.cpu_ms, strict=True)
    ]
    first = {
        route.name: statistics.median(route.first_ms)
        for route in (direct, bare, daemon)
    }
    return {
        'cpu_ms_per_request': {
            route.name: round(statistics.median(route.cpu_ms), 4)
            for route in (bare, daemon)
        },
        'cpu_ratio': round(statistics.median(ratios), 3),
        'cpu_ratio_range': [round(min(ratios), 3), round(max(ratios), 3)],
        'daemon_idle_cpu_ms_per_s': round(idle, 2),
        'first_token_ms': {k: round(v, 3) for k, v in first.items()},
        'first_token_extra_ms': {
            name: round(first[name] - first['direct'], 3)
            for name in ('bare', 'daemon')
        },
    }


class BenchProcesses:
    """Processes of one run under ``folder``."""

    def __init__(self, folder):
        self._folder = pathlib.Path(folder)
        self._processes = []
        self._platform = fakes.FakePlatform(list_lag_ms=0).start()
        self._cluster = None

    def start(self):
        """Start engine, bare relay and daemon; return the three routes."""
        engine_port, bare_port = cluster.free_ports('127.0.0.1', 2)
        engine = f'127.0.0.1:{engine_port}'
        bare = f'127.0.0.1:{bare_port}'
        self._spawn('--role=engine', f'--port={engine_port}')
        process = self._spawn(
            '--role=bare', f'--port={bare_port}', f'--engine={engine}'
        )
        self._platform.add('engine', engine, models=['small'], slots=64)
        self._cluster = self._start_daemon()
        (spec,) = self._cluster.specs
        for address in (engine, bare):
            self._cluster.wait_listening(address)
        self._cluster.wait_ready()
        return (
            Route('direct', engine),
            Route('bare', bare, process),
            Route('daemon', spec.listen, self._cluster.processes[spec.name]),
        )

    def close(self):
        """End all processes of the run."""
        if self._cluster is not None:
            self._cluster.close()
        for process in self._processes:
            process.kill()
            process.wait()
        self._platform.stop()

    def _spawn(self, *arguments):
        process = subprocess.Popen(
            [sys.executable, '-m', 'paddle_testbed.relay_bench', *arguments]
        )
        self._processes.append(process)
        return process

    def _start_daemon(self):
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        key = {'digest': digest, 'customer': 'bench'}
        operations = [
            {'op': 'put_customer', 'args': {'name': 'bench'}},
            {'op': 'issue_key', 'args': key},
        ]
        local = self._folder / 'config.json'
        local.write_text(json.dumps(operations))
        system = cluster.Cluster(
            self._folder,
            self._platform.address,
            daemons=1,
            disks=0,
            domains=('a',),
            local_config=str(local),
        )
        system.write_settings()
        system.start_all()
        return system


def run_driver():
    """Run the bench and print its figures as JSON."""
    with tempfile.TemporaryDirectory(prefix='paddle-relay-') as folder:
        bench = BenchProcesses(folder)
        try:
            routes = bench.start()
            measure(routes, FLAGS.rounds, FLAGS.requests, FLAGS.callers)
            result = figures(*routes, idle_ms_per_s(routes[2]))
        finally:
            bench.close()
    text = json.dumps(result, indent=2)
    print(text)
    if FLAGS.out:
        pathlib.Path(FLAGS.out).write_text(text + '\n')


def main(argv):
    if FLAGS.role == 'engine':
        serve_engine(FLAGS.port)
    elif FLAGS.role == 'bare':
        serve_bare(FLAGS.port, FLAGS.engine)
    else:
        run_driver()


if __name__ == '__main__':
    app.run(main)
