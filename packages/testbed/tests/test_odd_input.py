"""Tests of the programs with odd entries in the list and odd documents."""

import json
import time

import gevent
import gevent.socket
import pytest

from paddle_testbed import fakes
from paddle_testbed import fleet as fleets

HOST = 'h.example'
# The users' bound configurationMs.
CONFIGURATION_S = 2
NEW_SERVER_S = 4
ROUTE = {
    'name': 'r',
    'host': HOST,
    'pathPrefix': '/a/',
    'kind': 'safe',
    'timeoutMs': 2000,
    'targetLatencyMs': 200,
    'service': 'plain',
    'attempts': 2,
}
ENTRY = {
    'service': 'plain',
    'zone': 'z1',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
}
DEPTH = 100_000
REJECTED_MARK = '"event": 3422,'
# A traceback, and failures of a periodic task, a request or a message.
FAILURE_MARKS = (
    'Traceback',
    '"event": 1003,',
    '"event": 1005,',
    '"event": 3303,',
    '"event": 3315,',
    '"event": 3402,',
)


class Deployment:
    """A running fleet whose list of servers has an odd entry at times."""

    def __init__(self, folder):
        self.cloud = fakes.FakeCloud()
        self.origins = []
        self.add_server()
        self.fleet = fleets.Fleet(
            folder, self.cloud, controllers=3, gateways=2
        )
        self._version = 0

    def start(self):
        self.fleet.start_all()
        self.put_configuration()
        for name in self.fleet.names('gateway'):
            self.fleet.wait_ready(name)

    def stop(self):
        self.fleet.stop()
        self.cloud.stop()
        for origin in self.origins:
            origin.stop()

    def add_server(self):
        origin = fakes.FakeOrigin(lambda req, sock: fakes.response(req))
        self.origins.append(origin)
        self.cloud.entries.append(
            {
                **ENTRY,
                'identifier': f'i-{len(self.origins)}',
                'address': origin.address,
            }
        )
        return origin

    def next_configuration(self):
        """Return the path of a request on a new route, and its document."""
        self._version += 1
        prefix = f'/v{self._version}/'
        return prefix + 'x', {
            'version': self._version,
            'routes': [
                ROUTE,
                {**ROUTE, 'name': 'added', 'pathPrefix': prefix},
            ],
            'services': [{'name': 'plain'}],
        }

    def put_configuration(self):
        """Add a route; return the path of a request on it."""
        path, document = self.next_configuration()
        self.fleet.put_configuration(document)
        return path

    def wait_for_list(self):
        """Wait until the list that is served now has been read twice."""
        reads = self.cloud.reads
        fleets.wait_for(lambda: self.cloud.reads >= reads + 2, 'no list read')

    def send(self, name, path='/a/x'):
        """Return the status of one request, ``None`` without an answer."""
        sock = gevent.socket.create_connection(
            self.fleet.gateway_address(name), 2
        )
        sock.settimeout(3)
        head = (
            f'GET {path} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Rosemarypaddle-Request-Id: r{time.monotonic_ns()}\r\n\r\n'
        )
        sock.sendall(head.encode())
        data = sock.recv(4096)
        sock.close()
        return int(data.split()[1]) if data else None

    def failures(self):
        """Return the numbers of tracebacks and internal errors logged."""
        return {mark: self.count_logged(mark) for mark in FAILURE_MARKS}

    def count_logged(self, mark):
        """Return how often a text occurs in the logs of the processes."""
        return sum(
            (machine.folder / 'log').read_text().count(mark)
            for machine in self.fleet.machines.values()
        )


@pytest.fixture(scope='module')
def deployment(tmp_path_factory):
    built = Deployment(tmp_path_factory.mktemp('fleet'))
    try:
        built.start()
        yield built
    finally:
        built.stop()


@pytest.mark.parametrize('kind', fakes.ODD_ENTRIES)
def test_an_odd_entry_costs_neither_configuration_nor_other_servers(
    deployment, kind
):
    # Guards against gateways that get neither list nor configuration, and a
    # list that is not followed any more.
    fleet = deployment.fleet
    names = fleet.names('gateway')
    failures = deployment.failures()
    rejected = deployment.count_logged(REJECTED_MARK)
    deployment.cloud.raw_entries = [fakes.ODD_ENTRIES[kind]]
    try:
        deployment.wait_for_list()
        added = deployment.add_server()
        path = deployment.put_configuration()
        acknowledged_s = time.monotonic()
        for name in names:
            fleets.wait_for(
                lambda name=name: deployment.send(name, path) == 200,
                f'{name} does not serve the added route',
                wait_s=acknowledged_s + CONFIGURATION_S - time.monotonic(),
            )

        def is_added_server_used():
            assert {deployment.send(name) for name in names} == {200}
            return added.requests

        fleets.wait_for(
            is_added_server_used, 'the added server is not used', NEW_SERVER_S
        )
    finally:
        deployment.cloud.raw_entries = []
        deployment.wait_for_list()
    # Each controller that reads the list logs what it does not use once.
    logged = deployment.count_logged(REJECTED_MARK) - rejected
    assert 1 <= logged <= len(fleet.names('controller'))
    assert all(item.process.poll() is None for item in fleet.machines.values())
    assert deployment.failures() == failures


ODD_FIELDS = {
    'nested_field': '"other": ' + '[' * DEPTH + ']' * DEPTH,
    'number_of_many_digits': '"other": ' + '9' * 5_000,
    'not_finite_limit': '"limits": {"maxBodyBytes": 1e999}',
    'nan_limit': '"limits": {"idleTimeoutMs": NaN}',
    'limit_of_another_type': '"limits": {"headerTimeoutMs": "soon"}',
    'surrogate_in_customer': (
        r'"tenants": [{"name": "\ud800", "accessKeys": ["k"]}]'
    ),
    'line_break_in_customer': (
        r'"tenants": [{"name": "a\r\nb", "accessKeys": ["k"]}]'
    ),
}


@pytest.mark.parametrize('kind', ODD_FIELDS)
def test_an_odd_configuration_is_rejected_and_not_in_force(deployment, kind):
    # Guards against status 500, after which the operator sends it again, and
    # against a configuration that no gateway can apply.
    path, document = deployment.next_configuration()
    body = f'{json.dumps(document)[:-1]}, {ODD_FIELDS[kind]}}}'.encode()
    fleet = deployment.fleet
    failures = deployment.failures()
    for name in fleet.names('controller'):
        status, answer = fleet.call(name, 'PUT', '/api/configuration', body)
        assert status == 400
        assert json.loads(answer)['error']
        status, current = fleet.call(name, 'GET', '/api/configuration')
        assert json.loads(current)['version'] < document['version']
    for name in fleet.names('gateway'):
        assert deployment.send(name, path) == 404
        assert deployment.send(name) == 200
    assert deployment.failures() == failures


def test_a_configuration_at_the_accepted_depth_is_in_force(deployment):
    # Guards against a document that the operator's interface can read and a
    # gateway cannot, since the depth that json reads depends on the stack.
    fleet = deployment.fleet
    accepted, rejected = 1, DEPTH
    while rejected - accepted > 1:
        depth = (accepted + rejected) // 2
        path, document = deployment.next_configuration()
        nested = '[' * depth + ']' * depth
        body = f'{json.dumps(document)[:-1]}, "other": {nested}}}'.encode()
        status, _answer = fleet.call(
            'core-0', 'PUT', '/api/configuration', body
        )
        assert status in (200, 400)
        if status == 200:
            accepted, accepted_path = depth, path
        else:
            rejected = depth
    for name in fleet.names('gateway'):
        fleets.wait_for(
            lambda name=name: deployment.send(name, accepted_path) == 200,
            f'{name} does not serve the route at depth {accepted}',
            wait_s=CONFIGURATION_S,
        )


def nested_configuration(deployment, depth):
    """Return the path of an added route, and a body nested ``depth`` deep."""
    path, document = deployment.next_configuration()
    nested = f'"other": {"[" * depth}{"]" * depth}'
    return path, f'{json.dumps(document)[:-1]}, {nested}}}'.encode()


def test_gateways_read_the_deepest_configuration_that_is_accepted(deployment):
    # Guards against a configuration that is acknowledged and never in force,
    # because gateways read it on a deeper stack than controllers.
    fleet = deployment.fleet
    controller = fleet.names('controller')[0]
    accepted, rejected = 0, 1_000
    while rejected - accepted > 1:
        depth = (accepted + rejected) // 2
        path, body = nested_configuration(deployment, depth)
        status, _ = fleet.call(controller, 'PUT', '/api/configuration', body)
        if status == 200:
            accepted = depth
        else:
            assert status == 400
            rejected = depth
    path, body = nested_configuration(deployment, accepted)
    status, _ = fleet.call(controller, 'PUT', '/api/configuration', body)
    assert status == 200
    for name in fleet.names('gateway'):
        fleets.wait_for(
            lambda name=name: deployment.send(name, path) == 200,
            f'{name} does not serve a route accepted at depth {accepted}',
            wait_s=CONFIGURATION_S,
        )
