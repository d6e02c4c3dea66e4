"""Fixtures: daemons in the test process, with fake backend servers."""

import hashlib
import json
import socket
import struct

import gevent
import gevent.server
import pytest

import paddle_kernel
from paddle_kernel import settings as kernel_settings
from paddle_router import _config_source
from paddle_router import _daemon
from paddle_router import _hosting
from paddle_router import _http_out
from paddle_router import _settings
from paddle_testbed import fakes

KEY = 'pk-test-5f0c9a4be1d27783'
WAIT_TIMEOUT_S = 5
FAST_BOUNDS = {'notice_ms': 10, 'list_poll_ms': 50, 'config_poll_ms': 50}
TIMEOUT_MS = 5_000
MAX_RESPONSE_BYTES = 1_000_000


def key_entry(key, customer='acme', **options):
    digest = hashlib.sha256(key.encode()).hexdigest()
    return {'digest': digest, 'customer': customer, **options}


OPERATIONS = (
    ('put_customer', {'name': 'acme'}),
    ('issue_key', key_entry(KEY)),
    ('put_class', {'name': 'bulk', 'tier': 5}),
    (
        'put_route',
        {
            'name': 'bookings',
            'path_prefix': '/bookings',
            'method': 'POST',
            'kind': 'service',
            'service': 'booking',
            'idempotent': False,
        },
    ),
    (
        'put_route',
        {
            'name': 'orders',
            'path_prefix': '/orders',
            'method': 'GET',
            'kind': 'service',
            'service': 'booking',
            'open': True,
        },
    ),
)


def wait_for(condition, timeout_s=WAIT_TIMEOUT_S):
    """Let other greenlets run until ``condition()`` is true."""
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.005)


class Reply:
    """Status, headers and body of a response."""

    def __init__(self, response, body):
        self.status = response.get_code()
        self.headers = dict(response.items())
        self.body = body

    def json(self):
        return json.loads(self.body)

    @property
    def error(self):
        return self.json()['error']


def start_request(address, method, target, *, key=None, body=b'', headers=()):
    """Send a request; return the connection."""
    header_pairs = list(headers)
    if key is not None:
        header_pairs.append(('Authorization', f'Bearer {key}'))
    if isinstance(body, dict):
        body = json.dumps(body).encode()
    conn = _http_out.connect(address, TIMEOUT_MS)
    # Callers end their connections cleanly.
    conn._sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 0, 0)
    )
    conn.send(method, target, header_pairs, body, timeout_ms=TIMEOUT_MS)
    return conn


def send_request(address, method, target, **options):
    """Send a request and return its :class:`Reply`."""
    conn = start_request(address, method, target, **options)
    response = conn.read_head(TIMEOUT_MS)
    body = response.read_all(MAX_RESPONSE_BYTES)
    conn.close()
    return Reply(response, body)


def chat_body(stream=False, text='hello there', **fields):
    """Return the body of a chat request."""
    message = {'role': 'user', 'content': text}
    return {
        'model': 'small',
        'messages': [message],
        'stream': stream,
        **fields,
    }


class ScriptedServer:
    """Server that handles each received request by a function.

    ``script(sock, number)`` handles request ``number``, counted from 1. The
    connection is closed if it returns false.
    """

    def __init__(self, script):
        self.arrivals = 0
        self._script = script
        self._server = gevent.server.StreamServer(
            ('127.0.0.1', 0), self._serve
        )
        self._server.start()
        self.address = f'127.0.0.1:{self._server.address[1]}'

    def _serve(self, sock, _peer):
        while sock.recv(65_536):
            self.arrivals += 1
            if not self._script(sock, self.arrivals):
                break
        sock.close()

    def stop(self):
        self._server.stop(timeout=0)


class Stack:
    """Daemons in the test process, with a fake platform and servers."""

    key = KEY
    limit = MAX_RESPONSE_BYTES
    timeout_ms = TIMEOUT_MS
    chat_path = '/v1/chat/completions'
    chat = staticmethod(chat_body)
    request = staticmethod(send_request)
    start = staticmethod(start_request)
    wait_for = staticmethod(wait_for)

    def __init__(self, tmp_path):
        self.tmp_path = tmp_path
        self.platform = fakes.FakePlatform(list_lag_ms=0).start()
        self.service = fakes.FakeService().start()
        self.platform.add(
            'service-1',
            self.service.address,
            kind='service',
            service='booking',
        )
        self.engines = []
        self.daemons = []
        self.register = _hosting.LocalRegister()
        self.config = _config_source.ConfigSource.from_register(
            self.register, paddle_kernel.SystemClock()
        )
        self.config.poll()
        for op, args in OPERATIONS:
            self.config.change(op, **args)

    def add_engine(self, **options):
        options = {'inter_token_ms': 1.0, **options}
        engine = fakes.FakeEngine(fakes.EngineOptions(**options)).start()
        self.engines.append(engine)
        self.platform.add(
            f'engine-{len(self.engines)}',
            engine.address,
            models=['small'],
            slots=engine.options.slots,
        )
        return engine

    def add_daemon(self, **options):
        token = self.tmp_path / 'operator-token'
        token.write_text('operator-secret\n')
        token.chmod(0o600)
        document = {
            'name': f'daemon-{len(self.daemons) + 1}',
            'failure_domain': 'a',
            'listen': '127.0.0.1:0',
            'operator': '127.0.0.1:0',
            'peer': '127.0.0.1:0',
            'platform': self.platform.address,
            'operator_token_file': str(token),
            **options,
            'bounds': {**FAST_BOUNDS, **options.get('bounds', {})},
        }
        loaded = kernel_settings.load(_settings.Settings, document)
        daemon = _daemon.Daemon(loaded, register=self.register).start()
        self.daemons.append(daemon)
        wait_for(lambda: daemon.core.not_ready_reason() is None)
        return daemon

    def received_requests(self, engine):
        """Return the requests ``engine`` received, except load polls."""
        return [item for item in engine.seen if item[1] != '/load']

    def issue(self, key, **options):
        """Issue ``key`` to a customer."""
        self.config.change('issue_key', **key_entry(key, **options))

    def revoke(self, key=KEY):
        """Revoke ``key``."""
        self.config.change('revoke_key', digest=key_entry(key)['digest'])

    def post_chat(self, daemon, *, key=KEY, headers=(), **fields):
        """Send a chat request and return its reply."""
        return send_request(
            daemon.server.bound_address,
            'POST',
            self.chat_path,
            key=key,
            headers=headers,
            body=chat_body(**fields),
        )

    def open_stream(self, daemon, *, key=KEY, headers=(), **fields):
        """Start a stream; return the connection and the response."""
        conn = start_request(
            daemon.server.bound_address,
            'POST',
            self.chat_path,
            key=key,
            headers=headers,
            body=chat_body(True, **fields),
        )
        return conn, conn.read_head(TIMEOUT_MS)

    def stop(self):
        for part in (*self.daemons, *self.engines):
            (part.close if hasattr(part, 'close') else part.stop)()
        self.service.stop()
        self.platform.stop()


@pytest.fixture
def stack(tmp_path):
    stack = Stack(tmp_path)
    yield stack
    stack.stop()


@pytest.fixture
def scripted_server():
    servers = []

    def build(script):
        servers.append(ScriptedServer(script))
        return servers[-1]

    yield build
    for server in servers:
        server.stop()
