"""Fixtures that run daemons as real processes or gateways in process."""

import hashlib
import json
import uuid

import geventhttpclient
import geventhttpclient.response
import loguru
import pytest

from paddle_testbed import cluster
from paddle_testbed import fakes
from paddle_testbed import gateway_harness

DOMAINS = ('a', 'b', 'c')
KEY = 'rp-process-test'
TIMEOUT_S = 15


class System:
    """Three daemons with disks, one engine, one service, one platform."""

    def __init__(self, folder, daemons=3, **extra_settings):
        self.engine = fakes.FakeEngine(
            fakes.EngineOptions(inter_token_ms=5)
        ).start()
        self.service = fakes.FakeService().start()
        self.platform = fakes.FakePlatform().start()
        self.platform.add('e0', self.engine.address, models=['small'])
        self.platform.add(
            's0', self.service.address, kind='service', service='desk'
        )
        self.cluster = cluster.Cluster(
            folder,
            self.platform.address,
            daemons=daemons,
            disks=3,
            domains=DOMAINS,
            **extra_settings,
        )
        self.cluster.write_settings()
        self.cluster.start_all()
        self.daemons = self.cluster.specs

    def form_replicas(self):
        """Form the replica set and create customer, key and route."""
        peers = [spec.peer for spec in self.daemons if spec.has_disk]
        self.call_operator(0, '/replicas/form', {'addresses': peers})
        self.cluster.wait_ready()
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        self.change('put_customer', name='club')
        self.change('issue_key', digest=digest, customer='club')
        version = self.change(
            'put_route',
            name='bookings',
            method='POST',
            path_prefix='/bookings',
            kind='service',
            service='desk',
            idempotent=False,
        )
        for index in range(len(self.daemons)):
            self.wait_version(index, version)
            self.wait_served(index)

    def change(self, op, *, at=0, **args):
        """Submit a change of the configuration and return its version."""
        status, body = self.call_operator(at, '/config')
        change = {
            'id': uuid.uuid4().hex,
            'expected_version': body['version'],
            'op': op,
            'args': args,
        }
        status, body = self.call_operator(at, '/changes', change)
        assert status == 200, body
        return body['version']

    def call_operator(self, index, path, body=None):
        """Return ``(status, JSON)`` of a request to the operator interface."""
        headers = {'Authorization': f'Bearer {self.cluster.token}'}
        address = self.daemons[index].operator
        return _exchange(address, path, body, headers)

    def call(self, index, path, body, **headers):
        """Return ``(status, JSON)`` of a call with the customer's key."""
        all_headers = {'Authorization': f'Bearer {KEY}', **headers}
        return _exchange(self.daemons[index].listen, path, body, all_headers)

    def chat(self, index):
        """Return ``(status, JSON)`` of a short chat request."""
        messages = [{'role': 'user', 'content': 'hello'}]
        body = {'model': 'small', 'messages': messages, 'max_tokens': 2}
        return self.call(index, '/v1/chat/completions', body)

    def book(self, index, key):
        """Return ``(status, JSON)`` of a booking."""
        headers = {'Idempotency-Key': key}
        return self.call(index, '/bookings', {'slot': key}, **headers)

    def revoke_key(self):
        """Revoke the customer's key."""
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        self.change('revoke_key', digest=digest)

    def wait_version(self, index, version):
        """Wait until a daemon uses at least this configuration version."""
        cluster.wait_until(
            lambda: (
                self.call_operator(index, '/status')[1]['config_version']
                >= version
            ),
            TIMEOUT_S,
            f'daemon {index} to use configuration version {version}',
        )

    def wait_served(self, index):
        """Wait until a daemon answers a chat request with 200."""
        cluster.wait_until(
            lambda: self.chat(index)[0] == 200,
            TIMEOUT_S,
            f'daemon {index} to serve',
        )

    def close(self):
        """End all processes and fakes."""
        self.cluster.close()
        for fake in (self.engine, self.service, self.platform):
            fake.stop()


def _exchange(address, path, body, headers):
    client = geventhttpclient.HTTPClient.from_url(
        f'http://{address}', connection_timeout=2, network_timeout=TIMEOUT_S
    )
    try:
        if body is None:
            response = client.get(path, headers=headers)
        else:
            response = client.post(path, json.dumps(body), headers=headers)
        return response.status_code, json.loads(response.read())
    except (OSError, geventhttpclient.response.HTTPParseError) as exc:
        return 0, str(exc)
    finally:
        client.close()


@pytest.fixture
def start_system(tmp_path):
    """Return a function that starts a formed system with extra settings."""
    running = []

    def start(**extra_settings):
        running.append(System(tmp_path, **extra_settings))
        running[0].form_replicas()
        return running[0]

    yield start
    for item in running:
        item.close()


@pytest.fixture
def system(tmp_path):
    """A formed system that serves requests."""
    running = System(tmp_path)
    try:
        running.form_replicas()
        yield running
    finally:
        running.close()


@pytest.fixture
def harness():
    """A gateway with fake controllers and servers."""
    built = gateway_harness.GatewayHarness()
    yield built
    built.close()


class EventLog:
    """Log sink that records the events in order.

    ``numbers`` holds their numbers, ``records`` pairs of number and fields.
    """

    def __init__(self):
        self.numbers = []
        self.records = []

    def __call__(self, message):
        extra = message.record['extra']
        self.numbers.append(extra.get('event'))
        self.records.append((extra.get('event'), extra.get('fields')))

    def fields_of(self, number):
        """Return the fields of all events with ``number``."""
        return [fields for found, fields in self.records if found == number]


@pytest.fixture
def events():
    """Record the events that this process logs."""
    log = EventLog()
    number = loguru.logger.add(log, level='DEBUG')
    yield log
    loguru.logger.remove(number)
