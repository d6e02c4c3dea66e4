"""A gateway with real sockets, scripted backend servers and controllers.

Requires ``platform/`` on the import path, as in the tests.
"""

import copy
import json
import random
import zlib

from fleet_adapter import dialect
import gevent.socket
import paddle_kernel
from paddle_router import gateway
import returns.result

from paddle_testbed import fakes

CONFIG = {
    'version': 5,
    'routes': [
        {
            'name': 'safe',
            'host': 'h',
            'pathPrefix': '/safe/',
            'kind': 'safe',
            'timeoutMs': 1500,
            'targetLatencyMs': 150,
            'service': 'plain',
            'attempts': 2,
        },
        {
            'name': 'book',
            'host': 'h',
            'pathPrefix': '/book/',
            'kind': 'unsafe',
            'timeoutMs': 1500,
            'targetLatencyMs': 150,
            'service': 'plain',
            'attempts': 1,
        },
        {
            'name': 'chat',
            'host': 'h',
            'pathPrefix': '/chat/',
            'kind': 'streaming',
            'timeoutMs': 4000,
            'targetLatencyMs': 300,
            'service': 'plain',
            'attempts': 2,
            'resumable': True,
            'targetGapMs': 300,
        },
        {
            'name': 'report',
            'host': 'h',
            'pathPrefix': '/report/',
            'kind': 'streaming',
            'timeoutMs': 4000,
            'targetLatencyMs': 300,
            'service': 'plain',
            'attempts': 1,
        },
        {
            'name': 'open',
            'host': 'h',
            'pathPrefix': '/open/',
            'kind': 'safe',
            'timeoutMs': 1500,
            'service': 'plain',
            'public': True,
        },
    ],
    'services': [{'name': 'plain', 'connectionLimit': 50}],
    'limits': {'maxBodyBytes': 1000, 'headerTimeoutMs': 500},
    'tenants': [{'name': 'cust', 'accessKeys': ['key1']}],
}


def build_engine_config():
    """Return the configuration with model engines that move runs."""
    config = copy.deepcopy(CONFIG)
    config['services'][0]['engine'] = {
        'slots': 4,
        'kvCacheTokens': 1000,
        'stride': 1,
        'moves': True,
    }
    return config


SEND_BUFFER_BYTES = 16_384


class FakeControllers:
    """Replaces the transport to the controllers."""

    def __init__(self):
        self.servers = ()
        self.config = CONFIG
        self.suspects = ()
        self.refused = ()
        self.limits = ()
        self.evacuation = None
        self.loads = ()
        self.demands = ()
        self.requests = []

    def call(self, address, message, timeout_ms):
        self.requests.append(message)
        content = json.dumps(self.config).encode()
        return returns.result.Success(
            gateway.SyncReply(
                controllers=(),
                members=(address,),
                confirmed=True,
                version=self.config['version'],
                document=zlib.compress(content),
                listing=str(hash(self.servers)),
                servers=self.servers,
                fronts=1,
                totals=gateway.pack_loads(self.loads) if self.loads else b'',
                demands=self.demands,
                counted=0,
                period_ms=250,
                true_ms=0,
                suspects=self.suspects,
                refused=self.refused,
                limits=self.limits,
                position=1,
                evacuation=self.evacuation,
            )
        )

    def close(self):
        pass


def listed_server(server_id, service, address, **fields):
    """Return the entry of a server, with ``fields`` set in it."""
    return gateway.ListedServer(
        **{
            'id': server_id,
            'service': service,
            'address': address,
            'domain': 'd1',
            'slots': 4,
            'software_version': '',
            **fields,
        }
    )


class GatewayHarness:
    """A gateway with fake controllers and backend servers.

    ``settings`` are set in its :class:`GatewaySettings`.
    """

    def __init__(self, **settings):
        self.controllers = FakeControllers()
        self.origins = []
        host = '127.0.0.1:0'
        built = gateway.GatewaySettings(
            name='g1',
            failure_domain='d1',
            listen=host,
            ready=host,
            controllers=('c:1',),
            stop_ms=8_000,
            retry_ratio=0.2,
            retry_slack=56,
            retry_window_ms=10_000,
            usage_window_ms=5_000,
            **settings,
        )
        self.gateway = gateway.Gateway(
            built,
            dialect.FleetDialect(),
            ready_path='/api/readiness',
            transport=self.controllers,
        )
        self.follower = self.gateway.components.follower

    def serve(self, *scripts):
        self.origins = [fakes.FakeOrigin(script) for script in scripts]
        self.set_servers()
        self.gateway.entry.start()
        return self

    def set_servers(self, *, versions=(), **fields):
        """List all servers, with ``fields`` set in their entries.

        ``versions`` are their software versions in turn.
        """
        self.controllers.servers = tuple(
            listed_server(
                f'i-{index}',
                'plain',
                origin.address,
                software_version=versions[index % len(versions)]
                if versions
                else '',
                **fields,
            )
            for index, origin in enumerate(self.origins)
        )
        self.follower.step()

    @property
    def requests(self):
        return [req for origin in self.origins for req in origin.requests]

    def limit_send_buffers(self):
        """Let the kernel take few bytes for callers that do not read.

        The windows of the users' platform are small. Accepted connections
        inherit the size.
        """
        self.gateway.entry._server.socket.setsockopt(
            gevent.socket.SOL_SOCKET,
            gevent.socket.SO_SNDBUF,
            SEND_BUFFER_BYTES,
        )

    def connect(self):
        host, port = paddle_kernel.split_address(self.gateway.entry.address)
        sock = gevent.socket.create_connection((host, port))
        sock.settimeout(5)
        return sock

    def close(self):
        self.gateway.entry.stop_listening()
        self.gateway.close()
        for origin in self.origins:
            origin.stop()


def request(
    path,
    *,
    method='GET',
    body=b'',
    extra=(),
    key='key1',
    deadline_ms=3_000,
):
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: h',
        f'Rosemarypaddle-Request-Id: r{random.random()}',
        f'Rosemarypaddle-Deadline-Milliseconds: {deadline_ms}',
    ]
    if key:
        lines.append(f'Authorization: Token {key}')
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, *extra, '', '']).encode() + body


def read_response(sock):
    """Return ``(status, headers text, body)``; the body is not decoded."""
    data = b''
    while b'\r\n\r\n' not in data:
        more = sock.recv(65_536)
        if not more:
            return None, '', data
        data += more
    head, _end, rest = data.partition(b'\r\n\r\n')
    text = head.decode().lower()
    status = int(head.split()[1])
    if 'content-length:' in text:
        size = int(text.split('content-length:')[1].split()[0])
        while len(rest) < size:
            rest += sock.recv(65_536)
        return status, text, rest
    while not rest.endswith(b'0\r\n\r\n'):
        more = sock.recv(65_536)
        if not more:
            return status, text, rest + b'<closed>'
        rest += more
    return status, text, rest


def exchange(harness, data):
    sock = harness.connect()
    sock.sendall(data)
    response = read_response(sock)
    sock.close()
    return response


def respond_ok(req, _sock):
    return fakes.response(req)
