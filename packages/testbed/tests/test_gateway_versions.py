"""Tests of streams that a gateway continues beside other software versions."""

import copy

import attrs
import gevent
from paddle_router import gateway
import pytest
import returns.result

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

EVENTS = 4
# Placement is random among equal servers.
REPEATS = 8
CHAT = {
    'method': 'POST',
    'body': b'p',
    'extra': ('Rosemarypaddle-Token-Counts: 10,200',),
}


class CutServer:
    """Breaks each stream off after two events; continues others to the end."""

    def __init__(self, version):
        self.version = version
        self.resumed = []

    def __call__(self, req, _sock):
        first = int(req.headers.get(b'last-event-id', b'0')) + 1
        events = [
            fakes.event(number, self.version.encode())
            for number in range(first, EVENTS + 1)
        ]
        if first == 1:
            return [fakes.stream_head(req), *events[:2], None]
        self.resumed.append(req)
        return [fakes.stream_head(req), *events, fakes.STREAM_END]


def serve(harness, *versions):
    servers = [CutServer(version) for version in versions]
    harness.serve(*servers)
    harness.set_servers(versions=versions)
    return servers


def found_versions(body):
    return {word for word in (b'v1', b'v2') if word in body}


def test_a_stream_is_resumed_at_the_version_that_began_it(harness):
    # Guards against streams that the gateway joins from two versions.
    serve(harness, 'v1', 'v2', 'v1', 'v2')
    for _ in range(REPEATS):
        request = gateway_harness.request('/chat/x', **CHAT)
        status, _text, body = gateway_harness.exchange(harness, request)
        assert status == 200
        assert body.endswith(fakes.STREAM_END)
        assert len(found_versions(body)) == 1


def test_a_stream_without_another_server_of_its_version_is_incomplete(harness):
    servers = serve(harness, 'v1', 'v2')
    for _ in range(REPEATS):
        request = gateway_harness.request('/chat/x', **CHAT)
        _status, _text, body = gateway_harness.exchange(harness, request)
        assert not body.endswith(fakes.STREAM_END)
        assert len(found_versions(body)) == 1
    assert [server.resumed for server in servers] == [[], []]


class MovableServer:
    """Streams until it is told to stop and copy the run."""

    def __init__(self):
        self.targets = []
        self.stopped = False

    def __call__(self, req, _sock):
        if req.line.startswith(b'POST /api/kv-move'):
            self.targets.append(req.body)
            self.stopped = True
            return (
                b'HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{"handle":"h7"}'
            )
        return self._run(req)

    def _run(self, req):
        yield fakes.stream_head(req)
        for number in range(1, 60):
            if self.stopped:
                yield None
            yield fakes.event(number)
            yield 0.02
        yield fakes.STREAM_END


@pytest.mark.parametrize('is_other_same', [True, False])
def test_a_run_is_moved_only_to_a_server_of_its_version(
    harness, is_other_same
):
    # Guards against most joined streams of the incident: runs moved from
    # servers that leave when a new version is released.
    harness.controllers.config = gateway_harness.build_engine_config()
    servers = [MovableServer() for _ in range(4)]
    harness.serve(*servers)
    versions = ['v1', 'v2', 'v2', 'v1' if is_other_same else 'v2']
    harness.set_servers(versions=versions)
    harness.controllers.servers = harness.controllers.servers[:1]
    harness.follower.step()
    request = gateway_harness.request('/report/x', **CHAT)
    caller = gevent.spawn(gateway_harness.exchange, harness, request)
    gevent.sleep(0.3)
    harness.set_servers(versions=versions)
    first, *others = harness.controllers.servers
    leaving = attrs.evolve(first, leaving=True, spot=True)
    harness.controllers.servers = (leaving, *others)
    harness.follower.step()
    caller.get(timeout=5)
    expected = harness.origins[3].address.encode()
    targets = servers[0].targets
    if is_other_same:
        assert len(targets) == 1
        assert expected in targets[0]
    else:
        assert targets == []


def set_chat_route(harness, **fields):
    """Change the configuration's chat route."""
    config = copy.deepcopy(gateway_harness.CONFIG)
    config['version'] += 1
    for route in config['routes']:
        if route['name'] == 'chat':
            route.update(fields)
            if 'split' in fields:
                del route['service']
    config['services'].append({'name': 'other', 'connectionLimit': 50})
    harness.controllers.config = config
    harness.follower.step()


class QuietServer(CutServer):
    """Asks for a quiet time once before it resumes a stream."""

    QUIET = (b'Rosemarypaddle-Not-Run: 1', b'Retry-After: 0.6')

    def __init__(self, version):
        super().__init__(version)
        self.refusals = 0

    def __call__(self, req, sock):
        if b'last-event-id' in req.headers and not self.refusals:
            self.refusals += 1
            return fakes.response(
                req, b'', status=b'503 Full', extra=self.QUIET
            )
        return super().__call__(req, sock)


def test_a_stream_that_waits_does_not_go_on_at_a_version_listed_meanwhile(
    harness,
):
    # Guards against a choice from the list of when the wait began.
    servers = [QuietServer('v1'), QuietServer('v1'), CutServer('v2')]
    harness.serve(*servers)
    set_chat_route(harness, attempts=3)
    versions = ['v1', 'v1', 'v2']
    harness.set_servers(versions=versions)
    harness.controllers.servers = harness.controllers.servers[:2]
    harness.follower.step()
    request = gateway_harness.request('/chat/x', **CHAT)
    caller = gevent.spawn(gateway_harness.exchange, harness, request)
    gevent.sleep(0.3)
    harness.set_servers(versions=versions)
    _status, _text, body = caller.get(timeout=5)
    assert sum(server.refusals for server in servers[:2]) == 1
    assert found_versions(body) == {b'v1'}
    assert body.endswith(fakes.STREAM_END)
    assert servers[2].resumed == []


def test_a_taken_up_stream_goes_on_at_the_service_that_began_it(harness):
    # Guards against a take-up that is split between services like a new
    # request.
    shares = [{'service': name, 'weight': 1} for name in ('plain', 'other')]
    serve(harness, 'v1', 'v2')
    set_chat_route(harness, split=shares, attempts=1)
    first, second = harness.controllers.servers
    harness.controllers.servers = (
        attrs.evolve(first, software_version='v1'),
        attrs.evolve(second, service='other', software_version='v1'),
    )
    harness.follower.step()
    for number in range(REPEATS):
        request = gateway_harness.request('/chat/x', **CHAT)
        request_id = request.split(b'Request-Id: ')[1].split(b'\r\n')[0]
        _status, _text, begun = gateway_harness.exchange(harness, request)
        extra = ('Last-Event-Id: 2', f'Resumes: {request_id.decode()}')
        again = gateway_harness.request(
            '/chat/x', method='POST', body=b'p', extra=extra
        )
        status, _text, rest = gateway_harness.exchange(harness, again)
        assert status == 200, number
        assert found_versions(rest) == found_versions(begun)


def test_a_configuration_that_arrives_during_a_look_up_ends_no_request(
    harness,
):
    # Guards against a connection that is closed without an answer, because
    # the service of the taken-up stream is not configured any more.
    serve(harness, 'v1')
    answer = harness.controllers.call

    def replace_configuration(address, message, timeout_ms):
        if isinstance(message, gateway.FindStream):
            config = copy.deepcopy(gateway_harness.CONFIG)
            config['version'] += 1
            config['routes'] = config['routes'][:1]
            config['routes'][0]['service'] = 'other'
            config['services'] = [{'name': 'other', 'connectionLimit': 5}]
            harness.controllers.config = config
            harness.follower.step()
            found = gateway.StreamOrigin(
                id=message.id, service='plain', version='v1', sent_ms=1
            )
            return returns.result.Success(
                gateway.StreamFound(
                    origin=found, versions=(), is_complete=True
                )
            )
        return answer(address, message, timeout_ms)

    harness.controllers.call = replace_configuration
    extra = ('Last-Event-Id: 2', 'Resumes: elsewhere')
    request = gateway_harness.request(
        '/chat/x', method='POST', body=b'p', extra=extra
    )
    assert gateway_harness.exchange(harness, request)[0] == 200
