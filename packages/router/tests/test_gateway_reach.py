"""Tests of the probes of backend servers, over sockets on loopback."""

import socket as plain_socket

import gevent
import gevent.server
import gevent.socket
import paddle_kernel
from paddle_router import gateway as router_gateway
from paddle_router.gateway import _buffers
from paddle_router.gateway import _connections
from paddle_router.gateway import _events
from paddle_router.gateway import _reach
import pytest

# The platform allows this time to notice a lost way.
CONTACT_MS = 3_000


class Server:
    """A server that answers, stops listening or lets connections hang."""

    def __init__(self, host, domain, service):
        self.host, self.domain, self.service = host, domain, service
        self.port = 0
        self.accepted = 0
        self.listener = self.blocked = None
        self.start()

    def start(self):
        self.listener = gevent.server.StreamServer(
            (self.host, self.port), self._serve
        )
        self.listener.start()
        self.port = self.listener.server_port

    def _serve(self, sock, _address):
        self.accepted += 1
        while sock.recv(1_000):
            sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')

    def refuse(self):
        self.listener.stop()

    def hang(self):
        """Let new connections hang: a full backlog drops SYN packets."""
        self.listener.stop()
        self.blocked = plain_socket.socket()
        self.blocked.setsockopt(
            plain_socket.SOL_SOCKET, plain_socket.SO_REUSEADDR, 1
        )
        self.blocked.bind((self.host, self.port))
        self.blocked.listen(0)
        self.waiting = [gevent.socket.socket() for _ in range(3)]
        for sock in self.waiting:
            sock.setblocking(False)
            sock.connect_ex((self.host, self.port))

    def recover(self):
        if self.blocked is not None:
            for sock in (self.blocked, *self.waiting):
                sock.close()
            self.blocked = None
        self.start()

    @property
    def listed(self):
        return router_gateway.ListedServer(
            id=f'{self.host}:{self.port}',
            service=self.service,
            address=f'{self.host}:{self.port}',
            domain=self.domain,
            slots=4,
        )


class Gateway:
    """The pool and the probes of a gateway that knows ``servers``."""

    def __init__(self, servers):
        self.servers = servers
        self.clock = paddle_kernel.SystemClock()
        self.reach = _reach.ServerReachability(
            self.clock, lambda: [item.listed for item in self.servers]
        )
        self.pool = _connections.ConnectionPool(
            self.clock,
            _buffers.BufferAccount(0, self.clock, metrics=None),
            self.reach,
        )
        self.task = gevent.spawn(self._watch)

    def _watch(self):
        while True:
            self.reach.wait()
            self.reach.step()

    def connect(self, server):
        """Return whether a new connection is opened."""
        try:
            self.pool.discard(
                self.pool.acquire(
                    server.listed.address, limit=5, must_be_new=True
                )
            )
        except _connections.NoConnectionError:
            return False
        return True

    def wait_until(self, is_cut, timeout_ms):
        """Return the ms until ``is_cut``, ``None`` if it is not in time."""
        began_ms = self.clock.now_ms()
        while self.clock.now_ms() - began_ms < timeout_ms:
            if self.reach.is_cut is is_cut:
                return self.clock.now_ms() - began_ms
            self.clock.sleep_ms(10)
        return None


@pytest.fixture
def servers():
    built = [
        Server(f'127.0.3.{index}', f'd{index % 3}', f's{index % 2}')
        for index in range(1, 7)
    ]
    yield built
    for item in built:
        item.listener.stop()
        if item.blocked is not None:
            for sock in (item.blocked, *item.waiting):
                sock.close()


@pytest.fixture
def gateway(servers):
    built = Gateway(servers)
    yield built
    built.task.kill()


@pytest.fixture
def logged(monkeypatch):
    events = []
    monkeypatch.setattr(
        paddle_kernel,
        'emit',
        lambda event, **fields: events.append((event, fields)),
    )
    return events


@pytest.mark.parametrize('fault', [Server.refuse, Server.hang])
def test_a_lost_way_is_noticed_in_time_and_ends_with_the_first_connections(
    gateway, servers, logged, fault
):
    # Guards against a gateway that tries one server after the other for the
    # whole time of its requests.
    for server in servers:
        fault(server)
    began_ms = gateway.clock.now_ms()
    assert not gateway.connect(servers[0])
    if fault is Server.hang:
        # The connection was not refused.
        passed_ms = gateway.clock.now_ms() - began_ms
        assert passed_ms >= _connections.CONNECT_TIMEOUT_MS - 5
    assert gateway.wait_until(True, CONTACT_MS / 2) is not None
    assert gateway.clock.now_ms() - began_ms < CONTACT_MS / 2
    gevent.sleep(0.6)
    assert gateway.reach.is_cut
    for server in servers:
        server.recover()
    assert gateway.wait_until(False, 1_500) is not None
    assert [event for event, _fields in logged] == [
        _events.SERVERS_UNREACHABLE,
        _events.SERVERS_REACHABLE,
    ]
    assert len(logged[0][1]['probes']) == 4
    assert logged[1][1]['cut_ms'] >= 600


def test_kept_connections_without_a_response_are_noticed_in_time(
    gateway, servers
):
    # Guards against a gateway of few requests whose only one in progress hangs
    # on a kept connection, so that it opens no new one.
    conn = gateway.pool.acquire(servers[0].listed.address, limit=5)
    for server in servers:
        server.hang()
    gateway.reach.begin_exchange()
    assert gateway.wait_until(True, CONTACT_MS / 2) is not None
    gateway.pool.discard(conn)


def test_a_response_ends_the_silence(gateway, servers):
    # Guards against probes although a server responds on a kept connection.
    conn = gateway.pool.acquire(servers[0].listed.address, limit=5)
    gateway.reach.begin_exchange()
    for _ in range(5):
        conn.send(b'GET', b'/', [(b'Host', b'h')], b'')
        conn.read_head()
        assert conn.read_data() is None
        gevent.sleep(0.2)
    assert gateway.reach.probe_count == 0


@pytest.mark.parametrize('fault', [Server.refuse, Server.hang])
@pytest.mark.parametrize(
    'is_down',
    [
        lambda server: server.domain == 'd1',
        lambda server: server.service == 's0',
        lambda server: server.host == '127.0.3.2',
    ],
)
def test_servers_that_are_down_are_no_lost_way(
    gateway, servers, fault, is_down
):
    # Guards against requests that take a longer path because a domain, a
    # service or one server is down or silent.
    down = [item for item in servers if is_down(item)]
    for server in down:
        fault(server)
    for _ in range(4):
        gevent.joinall([gevent.spawn(gateway.connect, item) for item in down])
        gevent.sleep(0.2)
        assert not gateway.reach.is_cut
    # One round in 500 ms, each of which needs few connections.
    assert 1 <= gateway.reach.probe_count <= 16


def test_restarted_servers_are_no_lost_way(gateway, servers):
    # Guards against a false alarm while servers restart one after the other.
    for server in servers:
        server.refuse()
        gateway.connect(server)
        gevent.sleep(0.15)
        assert not gateway.reach.is_cut
        server.start()


def test_a_lack_of_descriptors_is_no_lost_way(gateway, servers, monkeypatch):
    # Guards against a false alarm of a gateway that has no descriptor left.
    def fail(*_arguments):
        raise OSError(24, 'Too many open files')

    monkeypatch.setattr(gevent.socket, 'create_connection', fail)
    for _ in range(3):
        assert not gateway.connect(servers[0])
        gevent.sleep(0.4)
    assert gateway.reach.probe_count
    assert not gateway.reach.is_cut


def test_an_address_that_is_no_valid_one_fails_the_probe(gateway, servers):
    # Guards against a watch that ends with an exception.
    gateway.servers = [odd_server(address) for address in ('h:port', '::')]
    gateway.reach.suspect('h:port')
    assert gateway.wait_until(True, 1_000) is not None
    gateway.servers = servers
    assert gateway.wait_until(False, 1_500) is not None


def odd_server(address):
    listed = router_gateway.ListedServer(
        id=address, service='s', address=address, domain='d', slots=1
    )
    return type('Entry', (), {'listed': listed})
