"""The gateway over real sockets, between scripted callers and servers."""

import json
import random
import time
import zlib

from fleet_adapter import dialect
import gevent
import gevent.socket
import paddle_kernel
from paddle_router import gateway
import pytest
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


class Controllers:
    """Stands in for the transport to the controllers."""

    def __init__(self):
        self.servers = ()
        self.config = CONFIG
        self.requests = []

    def call(self, address, message, timeout_ms):
        self.requests.append(message)
        content = json.dumps(self.config).encode()
        return returns.result.Success(
            gateway.SyncReply(
                controller=address,
                members=(address,),
                confirmed=True,
                version=self.config['version'],
                document=zlib.compress(content),
                listing=str(hash(self.servers)),
                servers=self.servers,
                fronts=1,
                flights=(),
                true_ms=0,
            )
        )

    def close(self):
        pass


class Bed:
    """A gateway with its stand-ins."""

    def __init__(self):
        self.controllers = Controllers()
        self.origins = []
        host = '127.0.0.1:0'
        settings = gateway.GatewaySettings(
            name='g1',
            failure_domain='d1',
            listen=host,
            ready=host,
            controllers=('c:1',),
            stop_ms=8_000,
            retry_ratio=0.2,
            retry_slack=56,
            usage_window_ms=5_000,
        )
        self.gateway = gateway.Gateway(
            settings,
            dialect.FleetDialect(),
            ready_path='/api/readiness',
            transport=self.controllers,
        )
        self.follower = self.gateway.parts.follower

    def serve(self, *scripts):
        self.origins = [fakes.FakeOrigin(script) for script in scripts]
        self.controllers.servers = tuple(
            gateway.ListedServer(
                id=f'i-{index}',
                service='plain',
                address=origin.address,
                domain='d1',
                slots=4,
            )
            for index, origin in enumerate(self.origins)
        )
        self.follower.step()
        self.gateway.entry.start()
        return self

    @property
    def requests(self):
        return [req for origin in self.origins for req in origin.requests]

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


@pytest.fixture
def bed():
    built = Bed()
    yield built
    built.close()


def request(path, *, method='GET', body=b'', extra=(), key='key1'):
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: h',
        f'Rosemarypaddle-Request-Id: r{random.random()}',
        'Rosemarypaddle-Deadline-Milliseconds: 3000',
    ]
    if key:
        lines.append(f'Authorization: Token {key}')
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, *extra, '', '']).encode() + body


def read_answer(sock):
    """Return ``(status, headers text, body)``; body is raw to the end."""
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


def exchange(bed, data):
    sock = bed.connect()
    sock.sendall(data)
    answer = read_answer(sock)
    sock.close()
    return answer


def fine(req, _sock):
    return fakes.whole(req)


# Forwarding


def test_a_request_is_forwarded_byte_for_byte(bed):
    bed.serve(fine)
    raw = request('/book/a%2Fb//?q=1&x=%20', method='POST', body=b'\x00\xffz')
    assert exchange(bed, raw)[0] == 200
    (got,) = bed.requests
    assert got.line == b'POST /book/a%2Fb//?q=1&x=%20 HTTP/1.1'
    assert got.body == b'\x00\xffz'
    assert got.headers[b'rosemarypaddle-tenant'] == b'cust'
    assert got.headers[b'rosemarypaddle-expect-instance'] == b'i-0'
    assert b'authorization' not in got.headers
    left = int(got.headers[b'rosemarypaddle-deadline-milliseconds'])
    assert 1_000 < left <= 1_500


def test_a_chunked_body_arrives_whole(bed):
    bed.serve(fine)
    raw = request(
        '/book/x', method='POST', extra=('Transfer-Encoding: chunked',)
    )
    assert exchange(bed, raw + b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n')[0] == 200
    assert bed.requests[0].body == b'abcde'


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/none/x', 'key1', 404),
        ('/safe/x', 'wrong', 401),
        ('/safe/x', None, 401),
        ('/open/x', None, 200),
    ],
)
def test_routes_and_keys_decide_before_a_server(bed, path, key, status):
    bed.serve(fine)
    assert exchange(bed, request(path, key=key))[0] == status
    assert len(bed.requests) == (status == 200)


def test_without_configuration_the_answer_promises_not_run(bed):
    # A 404 there would deny requests that a valid configuration allows.
    bed.gateway.entry.start()
    status, text, _body = exchange(bed, request('/safe/x'))
    assert status == 503 and 'retry-after' in text


# Reading requests strictly


@pytest.mark.parametrize(
    'header',
    [
        'Content-Length: +3',
        'Content-Length: 0_3',
        'Content-Length : 3',
        'Transfer-Encoding : chunked',
        'Transfer-Encoding: gzip, chunked',
        'Transfer-Encoding: chunked\r\nContent-Length: 3',
        'Content-Length: 3\r\nContent-Length: 4',
        'X-Nul: a\x00b',
        'X-Fold: a\r\n b',
        'X Name: 1',
        'Host: other',
    ],
)
def test_a_request_that_two_readers_see_differently_is_refused(bed, header):
    # Guards against a second request hidden in the body of the first.
    bed.serve(fine)
    raw = request('/safe/x', method='POST', extra=(header,))
    sock = bed.connect()
    sock.sendall(raw + b'abc' + request('/safe/hidden'))
    status, _text, _body = read_answer(sock)
    assert status in (400, 501)
    assert sock.recv(100) == b''
    assert not any(b'hidden' in req.line for req in bed.requests)


def test_a_body_over_the_limit_is_refused(bed):
    bed.serve(fine)
    raw = request('/book/x', method='POST', body=b'x' * 2_000)
    assert exchange(bed, raw)[0] == 413
    assert not bed.requests


def test_a_caller_that_trickles_is_answered_and_closed(bed):
    bed.serve(fine)
    sock = bed.connect()
    sock.sendall(b'GET /safe/x HTTP/1.1\r\nHos')
    assert read_answer(sock)[0] == 408


def test_two_requests_on_one_connection_get_their_own_answers(bed):
    bed.serve(lambda req, sock: fakes.whole(req, req.line))
    sock = bed.connect()
    sock.sendall(request('/safe/1') + request('/safe/2'))
    assert b'/safe/1' in read_answer(sock)[2]
    assert b'/safe/2' in read_answer(sock)[2]


# Answers of servers


def test_an_answer_of_another_request_is_skipped(bed):
    # A server answers an earlier request twice on a kept connection.
    def script(req, _sock):
        stray = fakes.Received(b'GET / HTTP/1.1', b'')
        stray.headers = {b'rosemarypaddle-request-id': b'other'}
        return fakes.whole(stray, b'stray') + fakes.whole(req, b'own')

    bed.serve(script)
    assert exchange(bed, request('/safe/x'))[2] == b'own'


def test_bytes_after_an_answer_spoil_the_connection(bed):
    bed.serve(lambda req, sock: fakes.whole(req) + b'more')
    assert exchange(bed, request('/safe/x'))[2] == b'ok'
    assert exchange(bed, request('/safe/y'))[2] == b'ok'


def test_a_cut_answer_is_no_success(bed):
    def script(req, _sock):
        return [fakes.whole(req, b'x' * 50)[:-20], None]

    bed.serve(script)
    assert exchange(bed, request('/book/x', method='POST'))[0] == 502


def test_a_success_without_signature_is_no_success(bed):
    bed.serve(
        lambda req, sock: b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
    )
    assert exchange(bed, request('/book/x', method='POST'))[0] == 502


def test_an_answer_without_length_ends_with_its_connection(bed):
    def script(req, _sock):
        head = fakes.whole(req, b'')
        head = head.replace(b'Content-Length: 0\r\n', b'')
        return [head + b'all of it', None]

    bed.serve(script)
    assert exchange(bed, request('/safe/x'))[2] == b'all of it'


@pytest.mark.parametrize('status', [b'503 Busy', b'429 Slow', b'408 Late'])
def test_a_promise_is_given_only_if_the_server_gave_it(bed, status):
    # Guards against "not run" for a request that ran.
    bed.serve(lambda req, sock: fakes.whole(req, status=status))
    code, text, _body = exchange(bed, request('/book/x', method='POST'))
    assert code == 502 and 'stamp' not in text
    extra = (b'Rosemarypaddle-Not-Run: 1',)
    bed.origins[0].script = lambda req, sock: fakes.whole(
        req, status=status, extra=extra
    )
    code, text, _body = exchange(bed, request('/book/x', method='POST'))
    assert code == 503 and 'retry-after' in text


def test_a_request_that_must_not_run_twice_is_sent_once(bed):
    bed.serve(lambda req, sock: [None], lambda req, sock: [None])
    for _ in range(6):
        assert exchange(bed, request('/book/x', method='POST'))[0] == 502
    assert len(bed.requests) == 6


def test_an_idempotent_request_goes_to_another_server(bed):
    bed.serve(lambda req, sock: [None], fine)
    for _ in range(4):
        assert exchange(bed, request('/safe/x'))[0] == 200


def test_a_silent_server_does_not_hold_an_idempotent_request(bed):
    bed.serve(lambda req, sock: None, fine)
    assert all(exchange(bed, request('/safe/x'))[0] == 200 for _ in range(3))


def test_an_unanswered_request_ends_at_the_time_of_its_route(bed):
    bed.serve(lambda req, sock: None)
    with gevent.Timeout(2.2):
        assert exchange(bed, request('/book/x', method='POST'))[0] == 504


# Streams


def numbered(first, last, *tail):
    def script(req, _sock):
        begin = int(req.headers.get(b'last-event-id', b'0')) + 1
        begin = max(begin, first)
        return [
            fakes.stream_head(req),
            *[fakes.event(number) for number in range(begin, last + 1)],
            *tail,
        ]

    return script


def ids(body):
    return [
        int(part.split(b'\n')[0])
        for part in body.replace(b'id: ', b'|').split(b'|')[1:]
    ]


def test_a_broken_stream_is_resumed_without_gap_or_repeat(bed):
    # The server stops in the middle of an event.
    bed.serve(
        numbered(1, 4, b'20\r\nid: 5\nda', None),
        numbered(1, 9, fakes.STREAM_END),
    )
    seen = set()
    for _ in range(4):
        status, _text, body = exchange(
            bed, request('/chat/x', method='POST', body=b'p')
        )
        assert status == 200 and ids(body) == list(range(1, 10))
        seen.add(len(bed.requests))
    resumed = [req for req in bed.requests if b'last-event-id' in req.headers]
    assert resumed
    assert all(req.headers[b'last-event-id'] == b'4' for req in resumed)


def test_a_broken_stream_that_cannot_be_resumed_looks_broken(bed):
    bed.serve(numbered(1, 4, None), numbered(1, 4, None))
    status, _text, body = exchange(
        bed, request('/report/x', method='POST', body=b'p')
    )
    assert status == 200 and not body.endswith(b'0\r\n\r\n')
    assert len(bed.requests) == 1


def test_events_are_passed_on_as_they_arrive(bed):
    def script(req, _sock):
        return [
            fakes.stream_head(req),
            fakes.event(1),
            0.5,
            fakes.event(2),
            fakes.STREAM_END,
        ]

    bed.serve(script)
    sock = bed.connect()
    sock.sendall(request('/chat/x', method='POST', body=b'p'))
    data = b''
    with gevent.Timeout(0.4):
        while b'id: 1' not in data:
            data += sock.recv(1_000)
    assert b'id: 2' not in data


def test_the_server_sees_at_once_that_the_caller_left(bed):
    # Guards against an engine that works for nobody.
    bed.serve(lambda req, sock: None)
    sock = bed.connect()
    sock.sendall(request('/chat/x', method='POST', body=b'p'))
    while not bed.requests:
        gevent.sleep(0.01)
    sock.close()
    with gevent.Timeout(0.5):
        while not bed.origins[0].aborted:
            gevent.sleep(0.01)


def test_usage_counts_the_requests_that_began(bed):
    bed.serve(numbered(1, 3, fakes.STREAM_END))
    exchange(bed, request('/chat/x', method='POST', body=b'p'))
    (count,) = bed.gateway.parts.usage.recent()
    assert (count.customer, count.requests) == ('cust', 1)


# Stop


def test_a_planned_stop_finishes_requests_and_closes_connections(bed):
    def script(req, _sock):
        return [0.3, fakes.whole(req)]

    bed.serve(script)
    assert bed.gateway.ready
    sock = bed.connect()
    sock.sendall(request('/safe/x'))
    idle = bed.connect()
    gevent.sleep(0.1)
    stopping = gevent.spawn(bed.gateway.stop)
    status, text, _body = read_answer(sock)
    assert status == 200 and 'connection: close' in text
    assert not bed.gateway.ready
    assert idle.recv(10) == b''
    # The balancer in front may send a caller late. What is taken after 3 s
    # could not be finished in time any more.
    gevent.sleep(2.0)
    bed.origins[0].script = lambda req, sock: [1.2, fakes.whole(req)]
    late = gevent.spawn(exchange, bed, request('/book/x', method='POST'))
    gevent.sleep(0.8)
    with pytest.raises(OSError):
        exchange(bed, request('/safe/later'))
    assert late.get()[0] == 200
    assert stopping.get(timeout=8) is True


def test_a_request_that_arrived_before_the_close_is_served(bed):
    # The process was not scheduled between the arrival and the close.
    bed.serve(fine)
    sock = bed.connect()
    sock.sendall(request('/safe/1'))
    assert read_answer(sock)[0] == 200
    sock.sendall(request('/safe/2'))
    time.sleep(0.05)
    bed.gateway.entry.close_idle()
    assert read_answer(sock)[0] == 200


def test_a_failure_that_cannot_be_retried_is_passed_on(bed):
    # The budget was spent; the server's own answer was lost for a 502.
    bed.serve(*[lambda req, sock: fakes.whole(req, status=b'500 No')] * 2)
    budget = bed.gateway.parts.budgets.of('plain')
    budget.limit(0)
    status, text, _body = exchange(bed, request('/safe/x'))
    assert status == 500 and 'stamp' in text
    assert len(bed.requests) == 1
