"""Tests of streams that a gateway continues beside other software versions."""

import copy

import attrs
import gevent
import pytest

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
    config = copy.deepcopy(gateway_harness.CONFIG)
    config['services'][0]['engine'] = {
        'slots': 4,
        'kvCacheTokens': 1000,
        'stride': 1,
        'moves': True,
    }
    harness.controllers.config = config
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
