"""Tests of forwarding: routes, request framing and server responses."""

import itertools

import attrs
import gevent
from paddle_router import policy
import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

request = gateway_harness.request
exchange = gateway_harness.exchange
read_response = gateway_harness.read_response
respond_ok = gateway_harness.respond_ok


# Forwarding


@pytest.mark.parametrize(
    ('path', 'key', 'extra', 'status'),
    [
        ('/none/x', 'key1', (), 404),
        ('/safe/x', 'wrong', (), 401),
        ('/safe/x', 'key1', (), 503),
        ('/safe/x', 'key1', ('X-Folded: a\r\n b',), 400),
    ],
)
def test_a_refused_head_request_is_answered_without_a_body(
    harness, path, key, extra, status
):
    # Guards against a connection that is closed without an answer.
    harness.serve(respond_ok)
    harness.controllers.servers = ()
    harness.follower.step()
    sock = harness.connect()
    head = request(path, method='HEAD', key=key, extra=extra)
    sock.sendall(head + request('/none/y'))
    data = b''
    while data.count(b'HTTP/1.1') < (1 if status == 400 else 2):
        received = sock.recv(65_536)
        assert received
        data += received
    sock.close()
    first, _end, rest = data.partition(b'\r\n\r\n')
    assert int(first.split()[1]) == status
    # The next answer follows at once, as the first one has no body.
    assert not rest or rest.startswith(b'HTTP/1.1 404')


def test_a_successful_head_request_is_answered_without_a_body(harness):
    harness.serve(
        lambda req, _sock: fakes.response(req, b'').replace(
            b'Content-Length: 0', b'Content-Length: 5'
        )
    )
    sock = harness.connect()
    sock.sendall(request('/safe/x', method='HEAD') + request('/none/y'))
    data = b''
    while data.count(b'HTTP/1.1') < 2:
        received = sock.recv(65_536)
        assert received
        data += received
    sock.close()
    _first, _end, rest = data.partition(b'\r\n\r\n')
    assert data.startswith(b'HTTP/1.1 200')
    assert rest.startswith(b'HTTP/1.1 404')


def test_a_request_is_forwarded_byte_for_byte(harness):
    harness.serve(respond_ok)
    raw = request('/book/a%2Fb//?q=1&x=%20', method='POST', body=b'\x00\xffz')
    assert exchange(harness, raw)[0] == 200
    (got,) = harness.requests
    assert got.line == b'POST /book/a%2Fb//?q=1&x=%20 HTTP/1.1'
    assert got.body == b'\x00\xffz'
    assert got.headers[b'rosemarypaddle-tenant'] == b'cust'
    assert got.headers[b'rosemarypaddle-expect-instance'] == b'i-0'
    assert b'authorization' not in got.headers
    left = int(got.headers[b'rosemarypaddle-deadline-milliseconds'])
    assert 1_000 < left <= 1_500


def test_a_chunked_body_arrives_whole(harness):
    harness.serve(respond_ok)
    raw = request(
        '/book/x', method='POST', extra=('Transfer-Encoding: chunked',)
    )
    assert (
        exchange(harness, raw + b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n')[0] == 200
    )
    assert harness.requests[0].body == b'abcde'


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/none/x', 'key1', 404),
        ('/safe/x', 'wrong', 401),
        ('/safe/x', None, 401),
        ('/open/x', None, 200),
    ],
)
def test_unknown_routes_and_keys_are_rejected_by_the_gateway(
    harness, path, key, status
):
    harness.serve(respond_ok)
    assert exchange(harness, request(path, key=key))[0] == status
    assert len(harness.requests) == (status == 200)


def test_without_configuration_requests_get_503_with_retry_after(harness):
    # A 404 would reject requests that the configuration may allow.
    harness.gateway.entry.start()
    status, text, _body = exchange(harness, request('/safe/x'))
    assert status == 503 and 'retry-after' in text


# Strict request parsing


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
def test_a_request_with_ambiguous_framing_is_rejected(harness, header):
    # Guards against request smuggling.
    harness.serve(respond_ok)
    raw = request('/safe/x', method='POST', extra=(header,))
    sock = harness.connect()
    sock.sendall(raw + b'abc' + request('/safe/hidden'))
    status, _text, _body = read_response(sock)
    assert status in (400, 501)
    assert sock.recv(100) == b''
    assert not any(b'hidden' in req.line for req in harness.requests)


def test_a_body_over_the_limit_is_rejected(harness):
    harness.serve(respond_ok)
    raw = request('/book/x', method='POST', body=b'x' * 2_000)
    assert exchange(harness, raw)[0] == 413
    assert not harness.requests


def test_a_caller_that_sends_too_slowly_gets_408(harness):
    harness.serve(respond_ok)
    sock = harness.connect()
    sock.sendall(b'GET /safe/x HTTP/1.1\r\nHos')
    assert read_response(sock)[0] == 408


def test_two_requests_on_one_connection_get_their_own_responses(harness):
    harness.serve(lambda req, sock: fakes.response(req, req.line))
    sock = harness.connect()
    sock.sendall(request('/safe/1') + request('/safe/2'))
    assert b'/safe/1' in read_response(sock)[2]
    assert b'/safe/2' in read_response(sock)[2]


# Server responses


def test_a_response_to_another_request_is_skipped(harness):
    # A server responds twice to an earlier request on a reused connection.
    def script(req, _sock):
        stray = fakes.Received(b'GET / HTTP/1.1', b'')
        stray.headers = {b'rosemarypaddle-request-id': b'other'}
        return fakes.response(stray, b'stray') + fakes.response(req, b'own')

    harness.serve(script)
    assert exchange(harness, request('/safe/x'))[2] == b'own'


def test_a_connection_with_bytes_after_the_response_is_not_reused(harness):
    harness.serve(lambda req, sock: fakes.response(req) + b'more')
    assert exchange(harness, request('/safe/x'))[2] == b'ok'
    assert exchange(harness, request('/safe/y'))[2] == b'ok'


def test_a_truncated_response_is_not_a_success(harness):
    def script(req, _sock):
        return [fakes.response(req, b'x' * 50)[:-20], None]

    harness.serve(script)
    assert exchange(harness, request('/book/x', method='POST'))[0] == 502


def test_a_success_without_signature_is_rejected(harness):
    harness.serve(
        lambda req, sock: b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
    )
    assert exchange(harness, request('/book/x', method='POST'))[0] == 502


def test_a_response_without_length_ends_with_its_connection(harness):
    def script(req, _sock):
        head = fakes.response(req, b'')
        head = head.replace(b'Content-Length: 0\r\n', b'')
        return [head + b'all of it', None]

    harness.serve(script)
    assert exchange(harness, request('/safe/x'))[2] == b'all of it'


@pytest.mark.parametrize('status', [b'503 Busy', b'429 Slow', b'408 Late'])
def test_not_run_is_reported_only_if_the_server_reported_it(harness, status):
    # Guards against "not run" for a request that a server ran.
    harness.serve(lambda req, sock: fakes.response(req, status=status))
    code, text, _body = exchange(harness, request('/book/x', method='POST'))
    assert code == 502 and 'stamp' not in text
    extra = (b'Rosemarypaddle-Not-Run: 1',)
    harness.origins[0].script = lambda req, sock: fakes.response(
        req, status=status, extra=extra
    )
    code, text, _body = exchange(harness, request('/book/x', method='POST'))
    assert code == 503 and 'retry-after' in text


def test_a_server_that_rejects_at_once_gets_few_requests(harness):
    # Its responses are faster than those of other servers.
    def rejects(req, _sock):
        return fakes.response(
            req, b'', status=b'503 Full', extra=(b'Rosemarypaddle-Not-Run: 1',)
        )

    harness.serve(rejects, respond_ok)
    found = [
        exchange(harness, request('/book/x', method='POST'))[0]
        for _ in range(20)
    ]
    assert found.count(503) <= 3


def test_a_server_whose_address_was_reassigned_gets_one_request(harness):
    # The list still contains a server whose address another one uses now.
    def another(req, _sock):
        return fakes.response(req, b'', status=b'421 Misdirected')

    harness.serve(another, respond_ok)
    found = [
        exchange(harness, request('/book/x', method='POST'))[0]
        for _ in range(20)
    ]
    assert found.count(503) <= 1


def test_a_request_that_must_not_run_twice_is_sent_once(harness):
    harness.serve(lambda req, sock: [None], lambda req, sock: [None])
    for _ in range(6):
        assert exchange(harness, request('/book/x', method='POST'))[0] == 502
    assert len(harness.requests) == 6


def test_an_idempotent_request_goes_to_another_server(harness):
    harness.serve(lambda req, sock: [None], respond_ok)
    for _ in range(4):
        assert exchange(harness, request('/safe/x'))[0] == 200


def test_an_idempotent_request_is_retried_if_a_server_is_silent(harness):
    harness.serve(lambda req, sock: None, respond_ok)
    assert all(
        exchange(harness, request('/safe/x'))[0] == 200 for _ in range(3)
    )


def test_an_unanswered_request_ends_at_the_timeout_of_its_route(harness):
    harness.serve(lambda req, sock: None)
    with gevent.Timeout(2.2):
        assert exchange(harness, request('/book/x', method='POST'))[0] == 504


def test_a_failure_that_cannot_be_retried_is_forwarded(harness):
    # Guards against a 502 in place of the server's own response when the retry
    # budget is exhausted.
    harness.serve(
        *[lambda req, sock: fakes.response(req, status=b'500 No')] * 2
    )
    budget = harness.gateway.components.budgets.of('plain')
    budget.limit(0)
    status, text, _body = exchange(harness, request('/safe/x'))
    assert status == 500 and 'stamp' in text
    assert len(harness.requests) == 1


# Usage


def started_requests(harness):
    """Return how many requests were counted as usage."""
    return sum(
        item.requests for item in harness.gateway.components.usage.recent()
    )


@pytest.mark.parametrize(
    ('path', 'pause_s'), [('/book/x', 0.05), ('/report/x', 0.01)]
)
def test_a_request_whose_response_is_lost_counts_as_usage(
    harness, path, pause_s
):
    # Connections to engines broke at the first token of a stream, 4 to 155 ms
    # after the request was sent. A usage window was off by 174 of 1,835
    # requests.
    harness.serve(lambda req, sock: [pause_s, None])
    exchange(harness, request(path, method='POST', body=b'b'))
    assert started_requests(harness) == 1


def test_a_request_that_a_server_never_read_is_not_usage(harness):
    # The server closed the idle connection, so the next request is reset.
    count = itertools.count()

    def script(req, _sock):
        return fakes.response(req) if next(count) == 0 else None

    harness.serve(script)
    assert exchange(harness, request('/safe/x'))[0] == 200
    harness.origins[0].script = lambda req, sock: [0.001, None]
    exchange(harness, request('/book/x', method='POST', body=b'b'))
    assert started_requests(harness) == 1


def test_a_retried_request_counts_once(harness):
    count = itertools.count()

    def script(req, _sock):
        return [0.05, None] if next(count) == 0 else fakes.response(req)

    harness.serve(script, script)
    assert exchange(harness, request('/safe/x'))[0] == 200
    assert started_requests(harness) == 1


# Logs


@pytest.mark.parametrize(
    ('steps', 'received'),
    [
        ([b'', None], 'nothing'),
        ([fakes.stream_head, None], 'head'),
        ([fakes.stream_head, fakes.event(1), None], 'events'),
    ],
)
def test_a_failed_attempt_is_logged_with_its_prompt_parts(
    harness, events, steps, received
):
    # Without them, logs do not show what requests that crash servers share.
    def respond(req, _sock):
        return [step(req) if callable(step) else step for step in steps]

    harness.serve(respond)
    raw = request(
        '/report/x',
        method='POST',
        body=b'p',
        extra=('Rosemarypaddle-Prompt-Prefix: a1:30,b2:20,c3:10',),
    )
    exchange(harness, raw)
    (fields,) = events.fields_of(3312)
    assert fields['received'] == received
    assert fields['shared'] == ('a1', 'b2')


def test_an_internal_error_is_logged_and_answered(
    harness, monkeypatch, events
):
    # Guards against a connection that is closed without an answer, and an
    # error of which only a traceback tells.
    harness.serve(respond_ok)

    def fail(server_id):
        raise KeyError(server_id)

    with monkeypatch.context() as patch:
        patch.setattr(harness.gateway.components, 'server', fail)
        assert exchange(harness, request('/safe/x'))[0] == 502
    assert exchange(harness, request('/safe/x'))[0] == 200
    (failed,) = events.fields_of(3315)
    assert failed['error'] == "KeyError: 'i-0'"


def test_a_prompt_names_the_server_to_copy_its_shared_parts_from(harness):
    # Guards against parts that are prefilled again although another gateway
    # has told where they are cached, and against a source that a caller names.
    config = gateway_harness.build_engine_config()
    config['services'][0]['engine'].update(
        kvTokenBytes=163_840, linkMbps=1_100_000
    )
    harness.controllers.config = config
    components = harness.gateway.components
    components.settings = attrs.evolve(components.settings, load_control=True)
    harness.serve(respond_ok, respond_ok)
    prompt = (
        'Rosemarypaddle-Token-Counts: 6000,10',
        'Rosemarypaddle-Prompt-Prefix: aa:5000,bb:1000',
        'Kv-Fetch: 10.0.0.1:80',
    )
    exchange(harness, request('/safe/x', extra=prompt))
    (chosen,) = (item for item in harness.origins if item.requests)
    (other,) = (item for item in harness.origins if not item.requests)
    (other_id,) = (
        item.id
        for item in harness.controllers.servers
        if item.address == other.address
    )
    now_ms = components.wall.now_ms()
    components.placements.add(
        [policy.PartPlacement(part='aa', server=other_id, sent_ms=now_ms)],
        now_ms,
    )
    exchange(harness, request('/safe/x', extra=prompt))
    first, second = chosen.requests
    assert b'kv-fetch' not in first.headers
    assert second.headers[b'kv-fetch'] == other.address.encode()
