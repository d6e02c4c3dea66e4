"""Tests of servers that say in their answers that they are brittle.

From some seconds later they queue nothing, and one that turns away more than
the number of requests in ``Server-Brittle`` within a second falls over. The
number holds for all gateways together.
"""

import time

import gevent
from paddle_router import policy
import pytest

from paddle_testbed import fakes
from paddle_testbed import fleet_load
from paddle_testbed import gateway_harness

GATEWAYS = 4
SERVERS = 3
SLOTS = 2
QUEUE = 4
SERVICE_S = 0.1
# Four fifths of what the servers can take.
SEND_INTERVAL_S = 1.25 * SERVICE_S / (SERVERS * SLOTS)
MAX_REJECTIONS = 2
CONTACT_S = 3.0
RUN_S = 12.0
# The users allow this many falls.
ALLOWED_FALLS = 2 + 0.1 * SERVERS
CONFIG = fleet_load.build_config(
    'plain', kind='safe', timeoutMs=1500, targetLatencyMs=500, attempts=2
)
BRITTLE = b'Server-Brittle: %d' % MAX_REJECTIONS


class BrittleServer:
    """A server with few places that would fall by too many rejections."""

    def __init__(self, name):
        self.name = name
        self.begin_s = time.monotonic()
        self.busy_until = []
        self.rejected = []
        self.falls = 0
        self.origin = fakes.FakeOrigin(self._respond)

    def _respond(self, req, _sock):
        now_s = time.monotonic()
        is_binding = now_s - self.begin_s >= CONTACT_S
        self.busy_until = [at_s for at_s in self.busy_until if at_s > now_s]
        room = SLOTS + (0 if is_binding else QUEUE)
        if len(self.busy_until) >= room:
            if is_binding:
                self._record_rejection(now_s)
            return fakes.response(
                req,
                status=b'503 Service Unavailable',
                extra=(BRITTLE, b'Rosemarypaddle-Not-Run: 1'),
            )
        start_s = now_s
        if len(self.busy_until) >= SLOTS:
            start_s = sorted(self.busy_until)[-SLOTS]
        end_s = start_s + SERVICE_S
        self.busy_until.append(end_s)
        return [end_s - now_s, fakes.response(req, extra=(BRITTLE,))]

    def _record_rejection(self, now_s):
        self.rejected = [at_s for at_s in self.rejected if at_s > now_s - 1]
        self.rejected.append(now_s)
        if len(self.rejected) > MAX_REJECTIONS:
            self.falls += 1
            self.rejected.clear()


@pytest.fixture
def servers():
    built = [BrittleServer(f'i-{number}') for number in range(SERVERS)]
    yield built
    for item in built:
        item.origin.stop()


@pytest.fixture
def fleet(tmp_path, servers):
    entries = [
        {
            **fleet_load.list_entry(item.name, 'plain', item.origin),
            'slots': SLOTS,
        }
        for item in servers
    ]
    with fleet_load.running_fleet(
        tmp_path, entries, CONFIG, gateways=GATEWAYS
    ) as built:
        yield built


def send_request(address):
    """Return the status of one request, ``None`` without an answer."""
    data = fleet_load.send_request(
        address, headers=('Rosemarypaddle-Deadline-Milliseconds: 1500',)
    )
    return int(data.split()[1]) if data else None


def test_all_gateways_together_spare_brittle_servers(fleet, servers):
    # Guards against gateways that each send to servers without room, which
    # fall over by what they have to reject for all gateways together.
    addresses = fleet_load.gateway_addresses(fleet)
    begin_s = time.monotonic()
    for item in servers:
        item.begin_s = begin_s
    requests = []
    while time.monotonic() < begin_s + RUN_S:
        requests.append(gevent.spawn(send_request, next(addresses)))
        gevent.sleep(SEND_INTERVAL_S)
    gevent.joinall(requests)
    statuses = [request.value for request in requests]
    falls = sum(item.falls for item in servers)
    print(f'falls {falls}, {statuses.count(200)} of {len(statuses)} served')
    assert falls <= ALLOWED_FALLS
    assert statuses.count(200) >= 0.9 * len(statuses)


# One gateway


def name_brittle(value):
    """Return a script that names ``value`` in each answer."""

    def script(req, _sock):
        return fakes.response(req, extra=(b'Server-Brittle: ' + value,))

    return script


def test_changes_are_logged_and_shown(harness, events):
    # Guards against logs that do not show that a server was brittle.
    values = iter([b'2', b'2', b'many', b'5', None])

    def respond(req, sock):
        value = next(values)
        if value is None:
            return fakes.response(req)
        return name_brittle(value)(req, sock)

    harness.serve(respond)
    shown = []
    for number in range(5):
        raw = gateway_harness.request(f'/safe/{number}')
        status, text, _body = gateway_harness.exchange(harness, raw)
        assert status == 200
        assert 'server-brittle' not in text.lower()
        gevent.sleep(0.01)
        shown.append(
            [
                item.get('rejections_per_s')
                for item in harness.gateway.dump.collect()['brittle'].values()
            ]
        )
    changes = [item['rejections_per_s'] for item in events.fields_of(3390)]
    assert changes == [2.0, 5.0, None]
    assert [item['value'] for item in events.fields_of(3391)] == ['many']
    assert shown == [[2.0], [2.0], [2.0], [5.0], [None]]


def test_it_is_reported_to_the_controllers(harness):
    harness.serve(name_brittle(b'3'))
    raw = gateway_harness.request('/safe/x')
    assert gateway_harness.exchange(harness, raw)[0] == 200
    harness.follower.step()
    (report,) = harness.controllers.requests[-1].reports
    assert [item.brittle_milli_per_s for item in report.limits] == [3_000]


def test_it_is_learnt_from_the_controllers(harness):
    # Guards against a gateway that has not had an answer of a brittle server
    # yet, as after its restart, and sends as many requests as before.
    most = []
    running = []

    def respond(req, _sock):
        running.append(req)
        most.append(len(running))
        return [0.1, running.pop, fakes.response(req, extra=(BRITTLE,))]

    harness.serve(respond)
    (listed,) = harness.controllers.servers
    harness.controllers.limits = (
        policy.ServerLimit(
            server=listed.incarnation,
            milli_per_s=0,
            seen_ms=harness.gateway.components.wall.now_ms(),
            brittle_milli_per_s=2_000,
        ),
    )
    harness.follower.step()
    slots = listed.slots
    requests = [
        gevent.spawn(
            gateway_harness.exchange,
            harness,
            gateway_harness.request(f'/safe/{number}'),
        )
        for number in range(slots + 4)
    ]
    gevent.joinall(requests)
    assert [item.value[0] for item in requests] == [200] * (slots + 4)
    assert max(most) <= slots


def test_a_caller_that_leaves_does_not_free_the_place(harness):
    # Guards against a place that is used again at once while the server still
    # runs a request whose caller has closed the connection.
    most = []
    running = []

    def respond(req, _sock):
        running.append(req)
        most.append(len(running))
        return [0.06, running.pop, fakes.response(req, extra=(BRITTLE,))]

    harness.serve(respond)
    (listed,) = harness.controllers.servers
    raw = gateway_harness.request('/safe/first')
    assert gateway_harness.exchange(harness, raw)[0] == 200
    callers = []
    for number in range(listed.slots):
        callers.append(harness.connect())
        callers[-1].sendall(gateway_harness.request(f'/safe/left-{number}'))
    with gevent.Timeout(5):
        while len(most) < 1 + listed.slots:
            gevent.sleep(0.002)
    for sock in callers:
        sock.close()
    gevent.sleep(0.005)
    raw = gateway_harness.request('/safe/last')
    assert gateway_harness.exchange(harness, raw)[0] == 200
    assert max(most) <= listed.slots
