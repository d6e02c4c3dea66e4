"""Tests with servers that write an earlier refusal once more.

Each server counts the requests that it runs. A request that has run must not
be reported as "not run", and one that is not idempotent runs once.
"""

import copy

import gevent
import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

request = gateway_harness.request
exchange = gateway_harness.exchange

NOT_RUN = b'Rosemarypaddle-Not-Run: 1'
REFUSALS = {408, 421, 429, 503}
PAUSE_S = 0.05
PATHS = ('/safe/x', '/book/x', '/chat/x', '/report/x')


def refusal(request_id, *, status=b'503 Full', extra=(NOT_RUN,)):
    """Return a refusal of ``request_id``, without an id if it is ``None``."""
    refused = fakes.Received(b'', b'')
    refused.headers[b'rosemarypaddle-request-id'] = request_id or b''
    data = fakes.response(refused, b'', status=status, extra=extra)
    if request_id is None:
        data = data.replace(b'Rosemarypaddle-Request-Id: \r\n', b'')
    return data


class RepeatingServer:
    """Runs each request, after ``stale`` on a connection used before.

    ``refusals`` are answers to first requests; these are not run.
    """

    def __init__(self, *stale, on_new=()):
        self.stale = stale
        self.on_new = on_new
        self.runs = []
        self.refused = []
        self.refusing = 0
        self._used = set()

    def __call__(self, req, sock):
        is_used = sock in self._used
        self._used.add(sock)
        if self.refusing:
            self.refusing -= 1
            self.refused.append(req.id)
            extra = (NOT_RUN, b'Retry-After: 0.1')
            return refusal(req.id, extra=extra)
        self.runs.append(req)
        stale = self.stale if is_used else self.on_new
        steps = [item(self) if callable(item) else item for item in stale]
        if req.line.split()[1].startswith((b'/chat/', b'/report/')):
            answer = [
                fakes.stream_head(req),
                fakes.event(1),
                fakes.event(2),
                fakes.STREAM_END,
            ]
        else:
            answer = [fakes.response(req, b'own')]
        return [*steps, PAUSE_S, *answer]


def repeat_last_refusal(server):
    return refusal(server.refused[-1])


def serve(harness, *servers):
    """Serve with routes that allow two attempts each."""
    harness.controllers.config = copy.deepcopy(gateway_harness.CONFIG)
    for route in harness.controllers.config['routes']:
        route['attempts'] = 2
    harness.serve(*servers)


def keep_connections(harness, count=1):
    """Leave ``count`` idle connections to the only server."""
    callers = [
        gevent.spawn(exchange, harness, request('/safe/x'))
        for _ in range(count)
    ]
    assert [caller.get()[0] for caller in callers] == [200] * count


def without_id(raw):
    """Return the request ``raw`` without its id."""
    head, _name, rest = raw.partition(b'Rosemarypaddle-Request-Id: ')
    return head + rest.partition(b'\r\n')[2]


def post(path):
    return request(path, method='POST', body=b'b')


def check_ran_once(response, *servers):
    status, _text, body = response
    assert status == 200 and (b'own' in body or b'id: 2' in body)
    assert sum(len(server.runs) for server in servers) == 1


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('request_id', [b'other', None])
@pytest.mark.parametrize('status', [b'503 Full', b'429 Slow', b'421 Moved'])
def test_a_refusal_of_another_request_is_not_the_answer(
    harness, path, request_id, status
):
    # Guards against "not run" for a request that runs.
    server = RepeatingServer(refusal(request_id, status=status))
    serve(harness, server)
    keep_connections(harness)
    server.runs.clear()
    check_ran_once(exchange(harness, post(path)), server)


@pytest.mark.parametrize('path', ['/book/x', '/report/x'])
def test_an_attempt_that_only_gets_repeated_refusals_may_have_run(
    harness, path
):
    # Guards against "not run", and a second run, after answers were skipped.
    servers = [RepeatingServer(refusal(b'other'), None) for _ in range(2)]
    serve(harness, *servers)
    keep_connections(harness, 6)
    for server in servers:
        server.runs.clear()
    assert exchange(harness, post(path))[0] == 502
    assert sum(len(server.runs) for server in servers) == 1


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('request_id', [b'other', None])
def test_a_refusal_is_not_the_answer_to_a_request_without_an_id(
    harness, path, request_id
):
    # Guards against "not run", and a second run, where nothing tells whose
    # answer it is.
    servers = [RepeatingServer(refusal(request_id)) for _ in range(2)]
    serve(harness, *servers)
    keep_connections(harness, 6)
    for server in servers:
        server.runs.clear()
    check_ran_once(exchange(harness, without_id(post(path))), *servers)


@pytest.mark.parametrize('path', PATHS)
def test_a_refusal_is_not_the_answer_to_the_next_attempt(harness, path):
    # Guards against "not run" for a request that its server refused before
    # and runs now: both attempts have the same id.
    server = RepeatingServer()
    serve(harness, server)
    keep_connections(harness, 3)
    server.runs.clear()
    server.stale, server.refusing = [repeat_last_refusal], 1
    check_ran_once(exchange(harness, post(path)), server)


@pytest.mark.parametrize('path', ['/book/x', '/report/x'])
def test_a_refusal_by_another_server_is_not_the_answer_to_the_next_attempt(
    harness, path
):
    # Guards against servers that share what they write, as behind a proxy.
    refused = []

    class RefusingOnce(RepeatingServer):
        def __call__(self, req, sock):
            self.refused = refused
            self.refusing = bool(self.stale) and not refused
            return super().__call__(req, sock)

    servers = [RefusingOnce(), RefusingOnce()]
    serve(harness, *servers)
    keep_connections(harness, 6)
    for server in servers:
        server.runs.clear()
        server.stale = [repeat_last_refusal]
    check_ran_once(exchange(harness, post(path)), *servers)


@pytest.mark.parametrize('path', PATHS)
def test_a_refusal_without_an_id_is_not_taken_after_a_skipped_answer(
    harness, path
):
    # Guards against a new connection that is trusted after it has shown an
    # answer to another request.
    server = RepeatingServer(on_new=(refusal(b'other'), refusal(None)))
    serve(harness, server)
    check_ran_once(exchange(harness, post(path)), server)


def test_a_repeated_refusal_does_not_prolong_the_quiet_time(harness):
    # Guards against requests that are refused though the server is available.
    extra = (NOT_RUN, b'Retry-After: 5')
    server = RepeatingServer(refusal(b'other', extra=extra))
    serve(harness, server)
    keep_connections(harness)
    for _ in range(2):
        assert exchange(harness, post('/book/x'))[0] == 200


def test_a_repeated_answer_does_not_bring_back_a_limit(harness, events):
    server = RepeatingServer(refusal(b'other', extra=(b'Server-Limit: 1',)))
    serve(harness, server)
    keep_connections(harness)
    exchange(harness, post('/book/x'))
    assert not events.fields_of(3337)


def test_an_attempt_that_only_gets_repeated_refusals_is_a_failure(harness):
    # Guards against a faulty server that is chosen as if it had been idle.
    extra = (NOT_RUN, b'Retry-After: 5')
    servers = [
        RepeatingServer(refusal(b'other', extra=extra), None) for _ in range(2)
    ]
    serve(harness, *servers)
    keep_connections(harness, 6)
    exchange(harness, post('/book/x'))
    balancer = harness.gateway.components.balancers['plain']
    loads = balancer.own_loads(harness.gateway.clock.now_ms())
    assert sum(load.failures for load in loads.values()) == 1


def test_a_repeated_refusal_without_an_id_does_not_prolong_the_quiet_time(
    harness,
):
    # Guards against requests that are refused though the server is available.
    extra = (NOT_RUN, b'Retry-After: 5')
    server = RepeatingServer(refusal(None, extra=extra))
    serve(harness, server)
    keep_connections(harness)
    for _ in range(2):
        assert exchange(harness, post('/book/x'))[0] == 200
