"""Cost of the daemon per request, against a bare relay and no relay.

Three ways to one fake engine are measured in alternating rounds of one run:
directly, through a relay of falcon and geventhttpclient without any policy,
and through a daemon. Each runs in its own process; processor time is read
from the kernel's accounting per thread in ns. The figures that hold from run
to run are the ratios.
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
flags.DEFINE_enum('role', 'driver', ['driver', 'engine', 'bare'], 'Process.')
flags.DEFINE_string('engine', None, 'Address of the engine for --role=bare.')
flags.DEFINE_integer('port', 0, 'Port for --role=engine and --role=bare.')
flags.DEFINE_integer('rounds', 8, 'Rounds of each way.', 1, 50)
flags.DEFINE_integer('requests', 150, 'Requests per round.', 10, 2_000)
flags.DEFINE_integer('callers', 8, 'Concurrent callers.', 1, 64)
flags.DEFINE_string('out', None, 'File for the figures as JSON.')

CHAT = '/v1/chat/completions'
KEY = 'relay-bench-key'
TOKENS = 20
NS_PER_MS = 1_000_000
WARM_UP_REQUESTS = 30
IDLE_S = 2.0
TIMEOUT_S = 20
BODY = json.dumps(
    {
        'model': 'small',
        'stream': True,
        'max_tokens': TOKENS,
        'messages': [{'role': 'user', 'content': 'Where is my box? ' * 20}],
    }
)
HEADERS = {
    'Authorization': f'Bearer {KEY}',
    'Content-Type': 'application/json',
}


class PromptHandler(gevent.pywsgi.WSGIHandler):
    """Sends without delay, as engines do.

    Otherwise every first event waits about 40 ms for a delayed
    acknowledgement, which hides what the bench measures.
    """

    def handle(self):
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()


class PromptEngine(fakes.FakeEngine):
    """Fake engine that sends without delay."""

    def start(self):
        self._server.handler_class = PromptHandler
        return super().start()


class BareRelay:
    """Passes chat requests on, event by event."""

    def __init__(self, engine):
        self._client = geventhttpclient.HTTPClient.from_url(
            f'http://{engine}', concurrency=64, network_timeout=TIMEOUT_S
        )

    def on_post(self, req, resp):
        upstream = self._client.post(
            CHAT,
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
    PromptEngine(options, port=port).start()
    gevent.get_hub().join()


def serve_bare(port, engine):
    """Run the bare relay until the process is killed."""
    relay = falcon.App()
    relay.add_route(CHAT, BareRelay(engine))
    gevent.pywsgi.WSGIServer(
        ('127.0.0.1', port),
        relay,
        handler_class=PromptHandler,
        log=None,
        error_log=None,
    ).serve_forever()


@attrs.define
class Way:
    """One way to the engine and what was measured on it."""

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


def run_round(way, requests, callers):
    """Send ``requests`` over ``way``; return the first-token times in ms."""
    pool = gevent.pool.Pool(callers)
    client = geventhttpclient.HTTPClient.from_url(
        f'http://{way.address}', concurrency=callers, network_timeout=TIMEOUT_S
    )

    def one(_):
        begin = time.monotonic_ns()
        response = client.post(CHAT, BODY, headers=HEADERS)
        first = response.readline(b'\n\n')
        spent = time.monotonic_ns() - begin
        rest = bytes(response.read())
        if not (first + rest).rstrip().endswith(b'data: [DONE]'):
            raise RuntimeError(f'{way.name}: incomplete answer {rest[-300:]}')
        return spent / NS_PER_MS

    try:
        return list(pool.imap_unordered(one, range(requests)))
    finally:
        client.close()


def measure(ways, rounds, requests, callers):
    """Alternate rounds of all ways, changing their order."""
    for way in ways:
        run_round(way, WARM_UP_REQUESTS, callers)
    for index in range(rounds):
        order = ways if index % 2 else list(reversed(ways))
        for way in order:
            before = way.cpu_ns()
            times = run_round(way, requests, callers)
            spent = (way.cpu_ns() - before) / NS_PER_MS
            way.cpu_ms.append(spent / requests)
            way.first_ms.append(statistics.median(times))


def idle_ms_per_s(way):
    """Return the processor time of an idle process in ms per second."""
    before, begin = way.cpu_ns(), time.monotonic()
    gevent.sleep(IDLE_S)
    spent = (way.cpu_ns() - before) / NS_PER_MS
    return spent / (time.monotonic() - begin)


def figures(direct, bare, daemon, idle):
    """Return the figures of a run; times in ms."""
    ratios = [
        mine / other
        for mine, other in zip(daemon.cpu_ms, bare.cpu_ms, strict=True)
    ]
    first = {
        way.name: statistics.median(way.first_ms)
        for way in (direct, bare, daemon)
    }
    return {
        'cpu_ms_per_request': {
            way.name: round(statistics.median(way.cpu_ms), 4)
            for way in (bare, daemon)
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


class Bench:
    """Processes of one run under ``folder``."""

    def __init__(self, folder):
        self._folder = pathlib.Path(folder)
        self._processes = []
        self._platform = fakes.FakePlatform(list_lag_ms=0).start()
        self._cluster = None

    def start(self):
        """Start engine, bare relay and daemon; return the three ways."""
        engine_port, bare_port = cluster.free_ports('127.0.0.1', 2)
        engine = f'127.0.0.1:{engine_port}'
        bare = f'127.0.0.1:{bare_port}'
        self._spawn('--role=engine', f'--port={engine_port}')
        process = self._spawn(
            '--role=bare', f'--port={bare_port}', f'--engine={engine}'
        )
        self._platform.add('engine', engine, models=['small'], slots=64)
        self._cluster = self._daemon()
        (spec,) = self._cluster.specs
        for address in (engine, bare):
            self._cluster.wait_listening(address)
        self._cluster.wait_ready()
        return (
            Way('direct', engine),
            Way('bare', bare, process),
            Way('daemon', spec.listen, self._cluster.processes[spec.name]),
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

    def _daemon(self):
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        key = {'digest': digest, 'customer': 'bench'}
        operations = [
            {'op': 'put_customer', 'args': {'name': 'bench'}},
            {'op': 'issue_key', 'args': key},
        ]
        local = self._folder / 'config.json'
        local.write_text(json.dumps(operations))
        built = cluster.Cluster(
            self._folder,
            self._platform.address,
            daemons=1,
            disks=0,
            domains=('a',),
            local_config=str(local),
        )
        built.write_settings()
        built.start_all()
        return built


def drive():
    """Run the bench and print its figures as JSON."""
    with tempfile.TemporaryDirectory(prefix='paddle-relay-') as folder:
        bench = Bench(folder)
        try:
            ways = bench.start()
            measure(ways, FLAGS.rounds, FLAGS.requests, FLAGS.callers)
            result = figures(*ways, idle_ms_per_s(ways[2]))
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
        drive()


if __name__ == '__main__':
    app.run(main)
