"""Tests of requests that a gateway without servers sends through another."""

import copy
import types

import attrs
import gevent
import gevent.event
import gevent.socket
import paddle_kernel
from paddle_router import gateway
from paddle_router.gateway import _peers
import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

HOST = '127.0.0.1:0'
PATHS = {
    'safe': '/safe/x',
    'unsafe': '/book/x',
    'resumable': '/chat/x',
    'stream': '/report/x',
}
IDEMPOTENT = frozenset({'safe', 'resumable'})
request = gateway_harness.request
exchange = gateway_harness.exchange


@attrs.define
class Reach:
    is_cut: bool = False

    def suspect(self, _address):
        pass

    def begin_exchange(self):
        pass

    def end_exchange(self):
        pass


class LosingReach(Reach):
    """Finds that no server can be reached when it looks."""

    def wait(self):
        gevent.sleep(0.05)

    def step(self):
        self.is_cut = True


@attrs.define(kw_only=True)
class Peer:
    name: str
    address: str
    key: str
    incarnation: str = '1'
    domain: str = 'd1'


class Peers:
    def __init__(self, items):
        self.items = items
        self.failed = []

    def choose(self, excluded_names):
        return next(
            (item for item in self.items if item.name not in excluded_names),
            None,
        )

    def begin_attempt(self, peer):
        pass

    def mark_connected(self, peer):
        pass

    def mark_failed(self, peer):
        self.failed.append(peer.name)


class CutPool:
    """Opens no connection to a server, in one of several ways."""

    def __init__(self, reach, pause_s):
        self._reach = reach
        self._pause_s = pause_s
        self.tries = 0

    def acquire(self, *_args, **_options):
        self.tries += 1
        gevent.sleep(self._pause_s)
        self._reach.is_cut = True
        raise gateway.NoConnectionError('no connection')


class HangingPool:
    """Connects to all but some addresses, which do not answer."""

    def __init__(self, pool, addresses):
        self._pool = pool
        self._addresses = addresses
        self.hung = []

    def __getattr__(self, name):
        return getattr(self._pool, name)

    def acquire(self, address, **options):
        if address not in self._addresses:
            return self._pool.acquire(address, **options)
        self.hung.append(address)
        gevent.sleep(0.3)
        raise gateway.NoConnectionError('timed out')


class Fleet:
    """A gateway and its peers, each with servers of its own."""

    def __init__(self):
        self.harnesses = []

    def add(self, *scripts, versions=()):
        harness = gateway_harness.GatewayHarness(peer_listen=HOST)
        self.harnesses.append(harness)
        harness.components = harness.gateway.components
        harness.reach = harness.components.reach = Reach()
        harness.serve(*scripts)
        harness.set_servers(versions=versions)
        harness.gateway.open_peer_entry()
        return harness

    def connect(self):
        """Let the first gateway use the others; return it."""
        front, *others = self.harnesses
        front.peers = front.components.peers = Peers(
            [
                Peer(
                    name=f'p{number}',
                    address=item.gateway.peer_entry.address,
                    key=item.components.peer_key,
                )
                for number, item in enumerate(others)
            ]
        )
        return front


@pytest.fixture
def fleet():
    built = Fleet()
    yield built
    for harness in built.harnesses:
        harness.gateway.peer_entry.stop_listening()
        harness.close()


@pytest.fixture
def pair(fleet):
    """A gateway that is cut off and a peer, both with a sound server."""
    fleet.add(serve_any)
    peer = fleet.add(serve_any)
    front = fleet.connect()
    front.reach.is_cut = True
    return front, peer


def serve_any(req, _sock):
    if b'/chat/' in req.line or b'/report/' in req.line:
        first = int(req.headers.get(b'last-event-id', b'0')) + 1
        events = [fakes.event(number) for number in range(first, 4)]
        return [fakes.stream_head(req), *events, fakes.STREAM_END]
    return fakes.response(req, b'done')


def serve_part(req, _sock):
    """End a stream after two events."""
    return [fakes.stream_head(req), fakes.event(1), fakes.event(2), None]


def serve_resumed(req, sock):
    """Complete only streams that are resumed."""
    if b'last-event-id' in req.headers:
        return serve_any(req, sock)
    return serve_part(req, sock)


def is_complete(kind, response):
    status, text, body = response
    if kind in ('safe', 'unsafe'):
        return status == 200 and body == b'done' and 'stamp' in text
    events = b''.join(fakes.event(number) for number in (1, 2, 3))
    return status == 200 and body == events + fakes.STREAM_END


def usage(harness):
    return sum(item.requests for item in harness.components.usage.recent())


def budget(harness):
    """Return how many requests and retries the budget has recorded."""
    found = harness.components.budgets.of('plain')
    return len(found._requests_ms), len(found._retries_ms)


def peer_entry(harness, address=None, *, domain='other'):
    """Return what controllers tell of a gateway."""
    address = address or harness.gateway.peer_entry.address
    return gateway.PeerGateway(
        name=address,
        incarnation=address,
        address=address,
        domain=domain,
        key=harness.components.peer_key,
    )


def watch_peers(harness, *entries):
    """Let a gateway itself find out which peers can help; return its list."""
    harness.components.peers = _peers.Peers(
        harness.gateway.settings,
        harness.gateway.clock,
        harness.reach,
        'g1/1',
        'own key',
    )
    harness.components.peers.apply(types.SimpleNamespace(peers=entries))
    return harness.components.peers


def relay_headers(harness, **changed):
    fields = {
        'Key': harness.components.peer_key,
        'Sender': 'g9',
        'Version': '5',
        'Attempts': '0',
        'Exchange': 'e1',
        **changed,
    }
    return [
        f'Paddle-Peer-{name}: {value}'
        for name, value in fields.items()
        if value is not None
    ]


def connect_to_peer(harness):
    address = paddle_kernel.split_address(harness.gateway.peer_entry.address)
    sock = gevent.socket.create_connection(address)
    sock.settimeout(5)
    return sock


def send_to_peer(harness, data):
    sock = connect_to_peer(harness)
    sock.sendall(data)
    response = gateway_harness.read_response(sock)
    sock.close()
    return response


class RawPeer(fakes.FakeOrigin):
    """A peer that answers with prepared bytes."""

    def __init__(self, harness, script):
        super().__init__(script)
        self.peer = Peer(name='raw', address=self.address, key='k')
        harness.peers.items.insert(0, self.peer)


def peer_response(req, body=b'done', *, extra=(), **options):
    stated = (
        b'Paddle-Peer-Exchange: ' + req.headers[b'paddle-peer-exchange'],
        b'Paddle-Peer-Version: 5',
        b'Paddle-Peer-Source: server',
        b'Paddle-Peer-Attempts: 1',
    )
    return fakes.response(req, body, extra=(*stated, *extra), **options)


# Serving while no server is reachable


@pytest.mark.parametrize('kind', PATHS)
def test_a_request_is_served_through_a_peer(pair, kind, events):
    # Guards against callers that fail although another gateway could help.
    front, peer = pair
    front.components.pool = CutPool(front.reach, 1.0)
    with gevent.Timeout(0.5):
        response = exchange(front, request(PATHS[kind], deadline_ms=1_200))
    assert is_complete(kind, response)
    assert b'paddle-peer' not in response[1].encode()
    (got,) = peer.requests
    assert not [name for name in got.headers if b'paddle-peer' in name]
    assert b'authorization' not in got.headers
    assert got.headers[b'rosemarypaddle-tenant'] == b'cust'
    left_ms = int(got.headers[b'rosemarypaddle-deadline-milliseconds'])
    assert 600 < left_ms <= 1_200
    assert not front.requests
    assert (usage(front), usage(peer)) == (0, 1)
    assert budget(front) == (1, 0)
    assert budget(peer) == (0, 0)
    assert {3380, 3381} <= set(events.numbers)
    names = [fields['peer'] for fields in events.fields_of(3310)]
    assert sorted(names) == ['g1', 'p0']


@pytest.mark.parametrize('kind', PATHS)
@pytest.mark.parametrize('pause_s', [0.3, 0.0], ids=['hang', 'refused'])
def test_a_request_whose_connections_fail_goes_to_a_peer(pair, kind, pause_s):
    # Guards against trying one server after the other once all are cut off.
    front, peer = pair
    front.reach.is_cut = False
    front.components.pool = CutPool(front.reach, pause_s)
    response = exchange(front, request(PATHS[kind]))
    assert is_complete(kind, response)
    assert len(peer.requests) == 1
    # Nothing was sent before, so nothing is repeated.
    assert budget(front) == (1, 0)


@pytest.mark.parametrize('kind', PATHS)
def test_a_request_whose_connection_is_reset_runs_at_most_once_if_unsafe(
    fleet, kind
):
    # Guards against an unsafe call that runs here and again at a peer.
    def lose(_req, _sock):
        front.reach.is_cut = True
        return [0.05, None]

    front = fleet.add(lose)
    peer = fleet.add(serve_any)
    fleet.connect()
    response = exchange(front, request(PATHS[kind]))
    if kind in IDEMPOTENT:
        assert is_complete(kind, response)
        assert len(peer.requests) == 1
        assert budget(front) == (1, 1)
        # The lost response counted as usage here already.
        assert (usage(front), usage(peer)) == (1, 0)
    else:
        assert response[0] == 502
        assert not peer.requests


def test_a_connection_to_a_peer_is_reused(pair):
    # Guards against a connect time for each request.
    front, _peer = pair
    for _ in range(3):
        assert exchange(front, request('/safe/x'))[0] == 200
    assert front.components.relays.pool.opened_count == 1


def test_a_body_passes_a_peer_byte_for_byte(pair):
    # Guards against a request that changes on its way.
    front, peer = pair
    raw = request('/book/a%2Fb?q=1', method='POST', body=b'\x00\xffz')
    assert exchange(front, raw)[0] == 200
    assert peer.requests[0].line == b'POST /book/a%2Fb?q=1 HTTP/1.1'
    assert peer.requests[0].body == b'\x00\xffz'


def test_attempts_at_the_sender_count_at_the_peer(fleet):
    # Guards against a request that goes to more servers than its route allows.
    def lose(_req, _sock):
        front.reach.is_cut = True
        return [0.05, None]

    def fail(req, _sock):
        return fakes.response(req, b'bad', status=b'500 Error')

    front = fleet.add(lose)
    peer = fleet.add(fail, fail)
    fleet.connect()
    status, text, body = exchange(front, request('/safe/x'))
    assert (status, body) == (500, b'bad')
    assert 'stamp' in text
    assert len(front.requests) + len(peer.requests) == 2


def test_the_failure_of_a_server_passes_a_peer_unchanged(fleet):
    # Guards against a changed status or a lost signature.
    fleet.add(serve_any)
    fleet.add(lambda req, _sock: fakes.response(req, b'n', status=b'409 No'))
    front = fleet.connect()
    front.reach.is_cut = True
    status, text, body = exchange(front, request('/book/x'))
    assert (status, body) == (409, b'n')
    assert 'rosemarypaddle-response-stamp: 3e1b.07' in text


def test_the_refusal_of_a_peer_keeps_its_retry_after(fleet):
    # Guards against callers who come back too soon or take it for a failure.
    fleet.add(serve_any)
    peer = fleet.add(serve_any)
    front = fleet.connect()
    front.reach.is_cut = True
    peer.controllers.servers = ()
    peer.follower.step()
    status, text, body = exchange(front, request('/book/x'))
    assert (status, body) == (503, b'{"error":"no server"}')
    assert 'retry-after: 0.300' in text and 'stamp' not in text
    assert not front.requests


def test_a_refusal_of_a_peer_does_not_deny_an_earlier_run(fleet):
    # Guards against a 503, which promises that nothing ran, for a call that
    # the own server may have run before the way was lost.
    def lose(_req, _sock):
        front.reach.is_cut = True
        return [0.05, None]

    front = fleet.add(lose)
    peer = fleet.add(serve_any)
    fleet.connect()
    peer.controllers.servers = ()
    peer.follower.step()
    status, text, body = exchange(front, request('/safe/x'))
    assert (status, body) == (502, b'{"error":"no server"}')
    assert 'retry-after' not in text
    assert len(front.requests) == 1
    assert not peer.requests


def test_a_caller_that_leaves_ends_the_run_at_the_peers_server(fleet):
    # Guards against work for callers that have gone.
    fleet.add(serve_any)
    peer = fleet.add(lambda _req, _sock: None)
    front = fleet.connect()
    front.reach.is_cut = True
    sock = front.connect()
    sock.sendall(request('/book/x'))
    wait_until(lambda: peer.requests)
    sock.close()
    wait_until(lambda: peer.origins[0].aborted)
    wait_until(lambda: not peer.gateway.peer_entry.busy)


def wait_until(condition):
    with gevent.Timeout(1.0):
        while not condition():
            gevent.sleep(0.01)


# Peers that cannot help


@pytest.mark.parametrize('kind', PATHS)
def test_a_peer_that_is_cut_off_too_is_replaced_by_the_next(fleet, kind):
    # Guards against loops and against a request that is lost between gateways.
    fleet.add(serve_any)
    cut = fleet.add(serve_any)
    sound = fleet.add(serve_any)
    front = fleet.connect()
    front.reach.is_cut = cut.reach.is_cut = True
    cut.components.peers = Peers(list(front.peers.items[1:]))
    assert is_complete(kind, exchange(front, request(PATHS[kind])))
    assert front.peers.failed == ['p0']
    assert not cut.requests
    assert len(sound.requests) == 1
    assert budget(front) == (1, 0)


def test_a_peer_that_loses_its_servers_says_that_nothing_ran(fleet):
    # Guards against a final refusal while a third gateway could help.
    fleet.add(serve_any)
    losing = fleet.add(serve_any)
    sound = fleet.add(serve_any)
    front = fleet.connect()
    front.reach.is_cut = True
    losing.components.pool = CutPool(losing.reach, 0.0)
    assert exchange(front, request('/book/x'))[0] == 200
    assert len(sound.requests) == 1


@pytest.mark.parametrize('kind', PATHS)
def test_a_peer_that_loses_one_of_many_servers_hands_the_request_back(
    fleet, kind
):
    # Guards against a peer that is cut off too and tries one server after the
    # other, 300 ms each, while a third gateway could help.
    fleet.add(serve_any)
    losing = fleet.add(*[serve_any] * 5)
    sound = fleet.add(serve_any)
    front = fleet.connect()
    front.reach.is_cut = True
    losing.components.pool = CutPool(losing.reach, 0.3)
    assert is_complete(kind, exchange(front, request(PATHS[kind])))
    assert losing.components.pool.tries == 1
    assert len(sound.requests) == 1


def test_without_help_a_request_takes_the_local_path_and_relays_pause(
    fleet, events
):
    # Guards against time lost at peers while the servers themselves are down.
    fleet.add(serve_any)
    cut = fleet.add(serve_any)
    front = fleet.connect()
    front.reach.is_cut = cut.reach.is_cut = True
    for _ in range(4):
        assert exchange(front, request('/safe/x'))[0] == 200
    assert len(front.requests) == 4
    assert len(front.peers.failed) == 2
    assert events.numbers.count(3384) == 1
    cut.reach.is_cut = False
    gevent.sleep(0.55)
    assert exchange(front, request('/safe/x'))[0] == 200
    assert len(cut.requests) == 1


def test_a_request_that_nobody_could_send_is_refused_as_not_run(pair):
    # Guards against callers that may not repeat what no server has seen.
    front, peer = pair
    front.components.pool = CutPool(front.reach, 0.0)
    peer.reach.is_cut = True
    status, text, _body = exchange(front, request('/book/x'))
    assert status == 503 and 'retry-after' in text


def test_a_peer_that_accepts_no_connection_is_replaced(pair):
    # Guards against callers that fail with the first peer.
    front, peer = pair
    front.peers.items.insert(0, Peer(name='x', address='127.0.0.1:1', key='k'))
    assert exchange(front, request('/book/x'))[0] == 200
    assert front.peers.failed == ['x']
    assert len(peer.requests) == 1


def test_one_request_at_a_time_tries_an_unreachable_peer_again(pair):
    # Guards against all callers that wait, each second anew, for peers of the
    # own domain that accept no connections.
    front, peer = pair
    relays = front.components.relays
    addresses = ['10.0.0.1:80', '10.0.0.2:80']
    relays.pool = HangingPool(relays.pool, addresses)
    own_domain = front.gateway.settings.failure_domain
    near = [peer_entry(peer, item, domain=own_domain) for item in addresses]
    peers = watch_peers(front, *near, peer_entry(peer))
    for item in near:
        peers.mark_failed(item)
    gevent.sleep(_peers.PEER_RETRY_MS / 1_000)
    callers = [
        gevent.spawn(exchange, front, request('/safe/x')) for _ in range(20)
    ]
    assert [item.get(timeout=5)[0] for item in callers] == [200] * 20
    assert len(relays.pool.hung) <= 2


def test_a_peer_that_is_reached_again_is_used_by_all(pair):
    # Guards against a peer that gets one request a second for ever.
    front, peer = pair
    entry = peer_entry(peer)
    watch_peers(front, entry).mark_failed(entry)
    gevent.sleep(_peers.PEER_RETRY_MS / 1_000)
    for _ in range(5):
        assert exchange(front, request('/safe/x'))[0] == 200
    assert len(peer.requests) == 5


def test_a_peer_with_all_connections_in_use_is_used_once_one_is_free(
    pair, monkeypatch
):
    # Guards against a second without the peer, whose callers it could serve,
    # after each request above the limit of connections.
    front, peer = pair
    module = 'paddle_router.gateway._peer_exchange.'
    monkeypatch.setattr(module + 'MAX_CONNECTIONS_PER_PEER', 2)
    front.components.pool = CutPool(front.reach, 0.0)
    watch_peers(front, peer_entry(peer))
    held = gevent.event.Event()
    peer.origins[0].script = lambda req, _sock: [
        held.wait,
        fakes.response(req, b'done'),
    ]
    running = [
        gevent.spawn(exchange, front, request('/book/x')) for _ in range(2)
    ]
    wait_until(lambda: len(peer.requests) == 2)
    assert exchange(front, request('/book/x'))[0] == 503
    held.set()
    assert [item.get(timeout=2)[0] for item in running] == [200] * 2
    assert [exchange(front, request('/book/x'))[0] for _ in range(5)] == [
        200
    ] * 5


@pytest.mark.parametrize('kind', PATHS)
def test_after_a_lost_response_of_a_peer_nothing_is_sent_again(pair, kind):
    # Guards against runs at more servers than the route allows: the peer may
    # have used all attempts.
    front, peer = pair
    raw = RawPeer(front, lambda _req, _sock: [None])
    assert exchange(front, request(PATHS[kind]))[0] == 502
    assert len(raw.requests) == 1
    assert not peer.requests and not front.requests
    assert front.peers.failed == ['raw']
    assert usage(front) == 0
    raw.stop()


@pytest.mark.parametrize(
    ('answer', 'status'),
    [
        (lambda req: peer_response(req), 200),
        (lambda req: peer_response(req).replace(fakes.STAMP, b'X-A: 1'), 502),
        (lambda req: fakes.response(req), 502),
        (
            lambda req: peer_response(req).replace(
                b'Version: 5', b'Version: 4'
            ),
            502,
        ),
        (
            lambda req: peer_response(req).replace(
                b'Exchange: ', b'Exchange: 0'
            ),
            502,
        ),
    ],
    ids=['sound', 'unsigned', 'no gateway', 'older', 'other request'],
)
def test_only_a_signed_response_of_a_peer_reaches_the_caller(
    pair, answer, status
):
    # Guards against a success that no server has sent for this request.
    front, _peer = pair
    raw = RawPeer(front, lambda req, _sock: answer(req))
    assert exchange(front, request('/book/x'))[0] == status
    raw.stop()


def test_the_longest_head_that_is_accepted_passes_a_peer(pair):
    # Guards against peers that count as failed for the size of our headers.
    _front, peer = pair
    extra = ('X-Long: ' + 'a' * 16_200, *relay_headers(peer))
    raw = request('/safe/x', extra=extra)
    assert len(raw) > 16_384
    sock = connect_to_peer(peer)
    # A head that arrives in one piece is not measured.
    sock.sendall(raw[:-3])
    gevent.sleep(0.05)
    sock.sendall(raw[-3:])
    assert gateway_harness.read_response(sock)[0] == 200
    sock.close()


def test_an_unreadable_request_does_not_count_against_the_peer(fleet):
    # Guards against a caller that takes the peers from all others.
    fleet.add(serve_any)
    peer = fleet.add(serve_any)
    front = fleet.connect()
    front.reach.is_cut = True
    peer.controllers.config = copy.deepcopy(gateway_harness.CONFIG)
    peer.controllers.config['limits']['maxBodyBytes'] = 10
    configure(peer, 6, peer.controllers.config)
    raw = request('/book/x', method='POST', body=b'x' * 20)
    assert exchange(front, raw)[0] == 200
    assert (len(front.requests), len(peer.requests)) == (1, 0)
    assert front.peers.failed == []


def test_a_waiting_request_goes_to_a_peer_once_the_way_is_lost(pair):
    # Guards against requests that wait here for servers out of reach.
    front, peer = pair
    front.reach.is_cut = False
    front.origins[0].script = lambda req, _sock: fakes.response(
        req,
        status=b'503 Busy',
        extra=(b'Rosemarypaddle-Not-Run: 1', b'Retry-After: 0.9'),
    )
    # The server is in its quiet time from the first request on.
    assert exchange(front, request('/book/x'))[0] == 503
    waiting = gevent.spawn(exchange, front, request('/book/y'))
    gevent.sleep(0.05)
    assert not waiting.ready()
    front.reach.is_cut = True
    front.components.waiting.wake_all('plain')
    assert waiting.get(timeout=0.4)[0] == 200
    assert (len(front.requests), len(peer.requests)) == (1, 1)


def test_a_lost_way_wakes_the_requests_that_wait(pair):
    # Guards against requests that wait for servers until their timer, though
    # peers could serve them.
    front, peer = pair
    front.reach = front.components.reach = LosingReach()
    front.origins[0].script = lambda req, _sock: fakes.response(
        req,
        status=b'503 Busy',
        extra=(b'Rosemarypaddle-Not-Run: 1', b'Retry-After: 0.9'),
    )
    assert exchange(front, request('/book/x'))[0] == 503
    waiting = gevent.spawn(exchange, front, request('/book/y'))
    gevent.sleep(0.05)
    watch = gevent.spawn(front.gateway._watch_reach)
    assert waiting.get(timeout=0.4)[0] == 200
    watch.kill()
    assert (len(front.requests), len(peer.requests)) == (1, 1)


def test_a_stream_of_a_peer_without_a_marked_end_is_not_complete(pair):
    # Guards against a peer that stops between two events.
    def script(req, _sock):
        answer = peer_response(req, b'id: 1\ndata: x\n\n')
        return [answer.replace(b'Content-Length: 15', b'X-A: 1'), None]

    front, _peer = pair
    raw = RawPeer(front, script)
    assert exchange(front, request('/report/x'))[0] == 502
    raw.stop()


# Strangers


@pytest.mark.parametrize('key', [None, '', 'wrong'])
def test_a_request_without_the_key_is_refused(pair, key, events):
    # Guards against anyone but our gateways using this listener.
    _front, peer = pair
    headers = relay_headers(peer, Key=key)
    response = send_to_peer(peer, request('/safe/x', extra=headers))
    assert response[0] == 403
    assert not peer.requests
    assert 3385 in events.numbers


def test_a_request_with_the_key_is_served_as_its_callers(pair):
    # Guards against a listener that lets requests in without admission.
    _front, peer = pair
    headers = relay_headers(peer)
    assert send_to_peer(peer, request('/safe/x', extra=headers))[0] == 200
    wrong = request('/safe/x', extra=headers, key='other')
    assert send_to_peer(peer, wrong)[0] == 401
    assert send_to_peer(peer, request('/none/x', extra=headers))[0] == 404


@pytest.mark.parametrize(
    'changed', [{'Version': None}, {'Attempts': '-1'}, {'Version': 'x'}]
)
def test_a_relayed_request_with_malformed_headers_is_refused(pair, changed):
    # Guards against a request that runs under unknown conditions.
    _front, peer = pair
    headers = relay_headers(peer, **changed)
    response = send_to_peer(peer, request('/safe/x', extra=headers))
    assert response[0] == 400
    assert not peer.requests


def test_own_headers_mean_nothing_on_the_public_listener(pair):
    # Guards against callers that choose their attempts or avoid the budget.
    _front, peer = pair
    headers = relay_headers(peer, Attempts='9', Version='99', Counted='1')
    assert exchange(peer, request('/safe/x', extra=headers))[0] == 200
    (got,) = peer.requests
    assert not [name for name in got.headers if b'paddle-peer' in name]
    assert budget(peer) == (1, 0)
    assert usage(peer) == 1


def test_own_headers_of_a_caller_do_not_reach_the_peer(pair):
    # Guards against a caller that overrides what the sender states.
    front, peer = pair
    headers = relay_headers(peer, Key='wrong', Attempts='9', Counted='1')
    assert exchange(front, request('/safe/x', extra=headers))[0] == 200
    assert usage(peer) == 1


# Configurations


def configure(harness, version, config=gateway_harness.CONFIG):
    harness.controllers.config = copy.deepcopy(config)
    harness.controllers.config['version'] = version
    harness.follower.step()


def test_a_peer_with_an_older_configuration_is_not_used(fleet):
    # Guards against a request that is handled by a replaced configuration.
    front = fleet.add(serve_any)
    older = fleet.add(serve_any)
    current = fleet.add(serve_any)
    fleet.connect()
    configure(front, 6)
    configure(current, 6)
    front.reach.is_cut = True
    assert exchange(front, request('/book/x'))[0] == 200
    assert not older.requests and len(current.requests) == 1


def test_a_gateway_does_not_go_back_behind_what_a_peer_used(fleet):
    # Guards against callers of one machine that see an old configuration
    # after a new one.
    front = fleet.add(serve_any)
    newer = fleet.add(serve_any)
    older = fleet.add(serve_any)
    fleet.connect()
    configure(newer, 6)
    front.reach.is_cut = True
    assert exchange(front, request('/book/x'))[0] == 200
    front.reach.is_cut = False
    status, text, _body = exchange(front, request('/safe/x'))
    assert status == 503 and 'retry-after' in text
    configure(front, 6)
    assert exchange(front, request('/safe/x'))[0] == 200
    newer.reach.is_cut = front.reach.is_cut = True
    assert exchange(front, request('/safe/x'))[0] == 200
    assert not older.requests


def test_a_peer_uses_the_service_that_the_sender_chose(fleet):
    # Guards against shares of services and budgets that do not fit.
    front = fleet.add(serve_any)
    peer = fleet.add(serve_any)
    fleet.connect()
    config = copy.deepcopy(gateway_harness.CONFIG)
    config['services'].append({'name': 'new', 'connectionLimit': 50})
    del config['routes'][0]['service']
    split = [
        {'service': 'plain', 'weight': 1_000_000},
        {'service': 'new', 'weight': 1},
    ]
    config['routes'][0]['split'] = split
    configure(front, 6, config)
    split[0]['weight'], split[1]['weight'] = 1, 1_000_000
    configure(peer, 6, config)
    front.reach.is_cut = True
    # Only the service that the sender chose has a server.
    assert exchange(front, request('/safe/x'))[0] == 200
    assert len(peer.requests) == 1


# Streams


def test_events_pass_a_peer_as_they_arrive(fleet):
    # Guards against a peer that holds events back.
    def script(req, _sock):
        head = fakes.stream_head(req)
        return [head, fakes.event(1), 0.5, fakes.event(2), fakes.STREAM_END]

    fleet.add(serve_any)
    fleet.add(script)
    front = fleet.connect()
    front.reach.is_cut = True
    sock = front.connect()
    sock.sendall(request('/report/x'))
    data = b''
    with gevent.Timeout(0.35):
        while b'id: 1' not in data:
            data += sock.recv(65_536)
    assert b'id: 2' not in data
    sock.close()


def test_the_sender_resumes_a_stream_and_not_the_peer(fleet):
    # Guards against attempts and retries that no gateway counts.
    fleet.add(serve_any)
    peer = fleet.add(serve_resumed, serve_resumed)
    front = fleet.connect()
    front.reach.is_cut = True
    response = exchange(front, request('/chat/x'))
    assert is_complete('resumable', response)
    assert len(peer.requests) == 2
    assert (budget(front), budget(peer)) == ((1, 1), (0, 0))


def test_attempts_of_the_peer_count_when_a_stream_is_resumed(fleet):
    # Guards against a stream that runs on more servers than its route allows.
    def script(req, sock):
        return [None] if len(peer.requests) == 1 else serve_part(req, sock)

    fleet.add(serve_any)
    peer = fleet.add(script, script, script)
    front = fleet.connect()
    front.reach.is_cut = True
    status, _text, body = exchange(front, request('/chat/x'))
    assert status == 200 and body.endswith(b'<closed>')
    assert len(peer.requests) == 2


@pytest.mark.parametrize('kind', ['resumable', 'stream'])
def test_a_stream_that_breaks_at_the_peer_is_resumed_or_incomplete(
    fleet, kind
):
    # Guards against an incomplete stream that looks complete.
    fleet.add(serve_any)
    breaking = fleet.add(serve_part)
    sound = fleet.add(serve_any)
    front = fleet.connect()
    front.reach.is_cut = True

    def use_next(req, sock):
        front.peers.items.reverse()
        return serve_part(req, sock)

    breaking.origins[0].script = use_next
    status, _text, body = response = exchange(front, request(PATHS[kind]))
    if kind == 'resumable':
        assert is_complete(kind, response)
        (resumed,) = sound.requests
        assert resumed.headers[b'last-event-id'] == b'2'
        assert budget(front) == (1, 1)
        assert usage(breaking) + usage(sound) == 1
    else:
        assert status == 200
        assert body == fakes.event(1) + fakes.event(2) + b'<closed>'
        assert not sound.requests
    assert budget(breaking) == budget(sound) == (0, 0)


def test_a_stream_cut_from_its_server_is_resumed_through_a_peer(fleet):
    # Guards against streams that end with the way to the servers.
    def lose(req, sock):
        front.reach.is_cut = True
        return serve_part(req, sock)

    front = fleet.add(lose)
    peer = fleet.add(serve_any)
    fleet.connect()
    assert is_complete('resumable', exchange(front, request('/chat/x')))
    assert peer.requests[0].headers[b'last-event-id'] == b'2'
    assert (usage(front), usage(peer)) == (1, 0)


def test_only_the_rest_of_a_stream_follows_its_part(fleet):
    # Guards against another response of a peer's server inside a stream.
    def lose(req, sock):
        front.reach.is_cut = True
        return serve_part(req, sock)

    def serve_other(req, sock):
        head, *events = serve_any(req, sock)
        return [head.replace(b'event-stream', b'plain'), *events]

    front = fleet.add(lose)
    peer = fleet.add(serve_other)
    fleet.connect()
    status, _text, body = exchange(front, request('/chat/x'))
    assert status == 200
    assert body == fakes.event(1) + fakes.event(2) + b'<closed>'
    assert len(peer.requests) == 1


def test_a_stream_goes_on_through_a_peer_at_its_version(fleet):
    # Guards against streams that are joined from two versions.
    def lose(req, sock):
        front.reach.is_cut = True
        return serve_part(req, sock)

    front = fleet.add(lose, versions=['v1'])
    peer = fleet.add(*[serve_any] * 6, versions=['v2', 'v2', 'v1'])
    fleet.connect()
    assert is_complete('resumable', exchange(front, request('/chat/x')))
    (index,) = [
        number for number, item in enumerate(peer.origins) if item.requests
    ]
    assert index % 3 == 2


def test_a_caller_takes_up_a_stream_that_came_through_a_peer(fleet):
    # Guards against a take-up at another version, or one that is refused.
    fleet.add(serve_any, versions=['v1'])
    peer = fleet.add(*[serve_part] * 4, versions=['v2', 'v2', 'v1', 'v2'])
    front = fleet.connect()
    front.reach.is_cut = True
    raw = request('/chat/x')
    sent_id = raw.split(b'Request-Id: ')[1].split(b'\r\n')[0].decode()
    for item in peer.origins:
        item.script = serve_part
    # Each attempt ends after two events, so that the caller takes it up.
    _status, _text, body = exchange(front, raw)
    assert body.endswith(b'<closed>')
    used = {
        number % 4 == 2
        for number, item in enumerate(peer.origins)
        if item.requests
    }
    assert len(used) == 1
    for item in peer.origins:
        item.requests.clear()
        item.script = serve_any
    taken = request(
        '/chat/x', extra=('Last-Event-Id: 2', f'Resumes: {sent_id}')
    )
    status, _text, body = exchange(front, taken)
    assert (status, body) == (200, fakes.event(3) + fakes.STREAM_END)
    again = {
        number % 4 == 2
        for number, item in enumerate(peer.origins)
        if item.requests
    }
    assert again == used


def test_a_long_plain_response_passes_in_parts(fleet):
    # Guards against a response that is cut or held at the buffer limit.
    size = 3_000_000
    fleet.add(serve_any)
    fleet.add(lambda req, _sock: fakes.response(req, b'x' * size))
    front = fleet.connect()
    front.reach.is_cut = True
    status, _text, body = exchange(front, request('/safe/x'))
    assert status == 200
    assert body.count(b'x') == size


def test_a_gateway_serves_its_callers_without_the_listener_for_peers(
    pair, events
):
    # Guards against a gateway that does not start because a port is in use.
    front, peer = pair
    used = peer.gateway.peer_entry.address
    front.gateway.settings = attrs.evolve(
        front.gateway.settings, peer_listen=used
    )
    front.gateway.open_peer_entry()
    assert [item['address'] for item in events.fields_of(3386)] == [used]
    front.reach.is_cut = False
    assert exchange(front, request('/safe/x'))[0] == 200


# The planned stop


def test_a_planned_stop_finishes_relayed_requests_and_refuses_new_ones(
    pair, monkeypatch
):
    # Guards against callers of other gateways that are cut by a stop here.
    front, peer = pair
    module = 'paddle_router.gateway._gateway.'
    monkeypatch.setattr(module + 'READINESS_NOTICE_MS', 100)
    monkeypatch.setattr(module + 'STOP_ACCEPT_MS', 200)
    held = gevent.event.Event()
    peer.origins[0].script = lambda req, _sock: [
        held.wait,
        fakes.response(req, b'done'),
    ]
    running = gevent.spawn(exchange, front, request('/book/x'))
    wait_until(lambda: peer.requests)
    stop = gevent.spawn(peer.gateway.stop)
    gevent.sleep(0.05)
    status, text, _body = send_to_peer(
        peer, request('/book/y', extra=relay_headers(peer))
    )
    assert status == 503
    assert 'connection: close' in text and 'refusal: stopping' in text
    gevent.sleep(0.3)
    assert not stop.ready()
    held.set()
    assert is_complete('unsafe', running.get(timeout=2))
    assert len(peer.requests) == 1
    assert stop.get(timeout=6)
