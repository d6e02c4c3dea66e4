"""Tests of requests that crash each server that runs them.

The programs run as processes. The same request comes again and again, at any
gateway; each server that runs it goes down for some time and cuts the
responses to all other requests.
"""

import itertools
import time

import gevent
from paddle_router import policy
import pytest

from paddle_testbed import fakes
from paddle_testbed import fleet_load
from paddle_testbed import gateway_harness


SERVERS = 6
DOWN_S = 1.0
WORK_S = 0.02
# The users count repeats that are sent later than this after the third crash,
# and allow three of them.
CONTACT_S = 3.0
COUNTED_CRASHES = 3
ALLOWED_REPEATS = 3
RUN_S = 8.0
SEND_INTERVAL_S = 0.04
# One request in so many is the crashing one.
CRASHING_INTERVAL = 12
CRASHING = b'crash'
STREAM = {
    'kind': 'streaming',
    'timeoutMs': 2000,
    'targetLatencyMs': 300,
    'targetGapMs': 300,
}
PLAIN = {'timeoutMs': 800, 'targetLatencyMs': 150}
# Fields of the route, prompt parts and events before the crash.
KINDS = {
    'lookup': ({**PLAIN, 'kind': 'safe', 'attempts': 3}, '', 0),
    'booking': ({**PLAIN, 'kind': 'unsafe', 'attempts': 1}, '', 0),
    'stream': ({**STREAM, 'attempts': 1}, '', 0),
    'stream_sharing_all_parts': (
        {**STREAM, 'attempts': 1},
        'a1:300,b1:200,c1:9',
        0,
    ),
    'stream_after_two_events': (
        {**STREAM, 'attempts': 2, 'resumable': True},
        '',
        2,
    ),
}


class CrashingServer:
    """A backend server that the request with the body ``CRASHING`` ends."""

    def __init__(self, name, events):
        self.name = name
        self.crashes = []
        self.arrivals = []
        self._events = events
        self.origin = fakes.FakeOrigin(self._respond)

    def _respond(self, req, _sock):
        is_stream = b'rosemarypaddle-model' in req.headers
        head = [fakes.stream_head(req)] if is_stream else []
        events = [fakes.event(number) for number in range(1, 6)]
        if CRASHING in (req.body or req.line):
            self.arrivals.append(time.monotonic())
            return [*head, *events[: self._events], WORK_S, self._crash, None]
        if not is_stream:
            return [WORK_S, fakes.response(req)]
        return [*head, WORK_S, *events, fakes.STREAM_END]

    def _crash(self):
        self.crashes.append(time.monotonic())
        self.origin.crash(DOWN_S)


@pytest.fixture
def kind(request):
    return KINDS[request.param]


@pytest.fixture
def servers(kind):
    _route, _parts, events = kind
    built = [
        CrashingServer(f'i-{number}', events) for number in range(SERVERS)
    ]
    yield built
    for item in built:
        item.origin.stop()


@pytest.fixture
def fleet(tmp_path, servers, kind):
    route, _parts, _events = kind
    entries = [
        fleet_load.list_entry(item.name, 'backend', item.origin)
        for item in servers
    ]
    config = fleet_load.build_config('backend', **route)
    with fleet_load.running_fleet(
        tmp_path, entries, config, gateways=3
    ) as built:
        yield built


def send(address, kind, content):
    """Send one request with ``content``; return whether it is served."""
    route, parts, _events = kind
    if route['kind'] == 'safe':
        data = fleet_load.send_request(address, path=f'/a/{content.decode()}')
        return data.startswith(b'HTTP/1.1 200')
    is_stream = route['kind'] == 'streaming'
    headers = ('Rosemarypaddle-Model: m',) if is_stream else ()
    if parts:
        headers += (f'Rosemarypaddle-Prompt-Prefix: {parts}',)
    end = fakes.STREAM_END if is_stream else b''
    data = fleet_load.send_request(
        address, method='POST', headers=headers, body=content, end=end
    )
    return data.startswith(b'HTTP/1.1 200') and data.endswith(end)


def send_mixed_load(fleet, kind):
    """Send sound requests and the crashing one, in turn.

    Returns ``(time, greenlet)`` of the sound ones; each greenlet's value is
    whether the request was served.
    """
    addresses = fleet_load.gateway_addresses(fleet)
    sound = []
    start_s = time.monotonic()
    for number in itertools.count():
        now_s = time.monotonic()
        if now_s - start_s > RUN_S:
            return sound
        is_crashing = number % CRASHING_INTERVAL == CRASHING_INTERVAL - 1
        content = CRASHING if is_crashing else b'sound%d' % number
        sent = gevent.spawn(send, next(addresses), kind, content)
        if not is_crashing:
            sound.append((now_s, sent))
        gevent.sleep(SEND_INTERVAL_S)


@pytest.mark.parametrize('kind', KINDS, indirect=True)
def test_a_request_that_crashes_servers_stops_reaching_them(
    fleet, servers, kind
):
    # Guards against one request that crashes server after server, since
    # nothing connects it with its repeats.
    sound = send_mixed_load(fleet, kind)
    gevent.joinall([sent for _sent_s, sent in sound])
    crashes = sorted(at_s for item in servers for at_s in item.crashes)
    arrivals = [at_s for item in servers for at_s in item.arrivals]
    assert len(crashes) >= COUNTED_CRASHES
    limit_s = crashes[COUNTED_CRASHES - 1] + CONTACT_S
    late = [at_s for at_s in arrivals if at_s > limit_s]
    assert len(late) <= ALLOWED_REPEATS
    # Sound requests share the route, the caller and the prompt parts.
    served = [
        sent.value
        for sent_s, sent in sound
        if sent_s > crashes[-1] + DOWN_S + 0.5
    ]
    assert len(served) >= 20
    assert served.count(True) >= 0.95 * len(served)


# One gateway

exchange = gateway_harness.exchange
BOOKING = {'method': 'POST', 'body': b'crash'}


def serve_crashing(harness, servers):
    """Serve with backend servers that crash on every request."""
    harness.serve(*[lambda req, sock: None] * servers)
    for origin in harness.origins:
        origin.script = lambda req, sock, origin=origin: [
            0.02,
            lambda: origin.crash(5.0),
            None,
        ]


def reported_traits(harness):
    """Return the traits in the gateway's next report, one row a crash."""
    gevent.sleep(0.2)
    harness.follower.step()
    (report,) = harness.controllers.requests[-1].reports
    return [item.traits for item in report.crashes]


@pytest.mark.parametrize('path', ['/safe/x', '/book/x', '/chat/x'])
def test_a_crash_is_reported_with_the_fingerprint(harness, path):
    # Guards against crashes by requests without prompt parts that are not
    # connected.
    serve_crashing(harness, 2)
    call = gateway_harness.request(path, **BOOKING)
    exchange(harness, call)
    first = reported_traits(harness)
    assert len(set(first)) == 1
    ((trait,),) = set(first)
    assert policy.is_request_trait(trait)


def test_only_the_same_request_is_refused(harness):
    # Guards against sound requests that are refused with the crashing one.
    serve_crashing(harness, 1)
    crashing = gateway_harness.request('/book/x', **BOOKING)
    exchange(harness, crashing)
    ((trait,),) = reported_traits(harness)
    harness.origins.append(fakes.FakeOrigin(gateway_harness.respond_ok))
    until_ms = harness.gateway.components.wall.now_ms() + 5_000
    harness.controllers.refused = (
        policy.RefusedTrait(id=trait, until_ms=until_ms),
    )
    harness.set_servers()
    sent = len(harness.requests)
    assert exchange(harness, crashing)[0] == 503
    assert len(harness.requests) == sent
    for other in (
        gateway_harness.request('/book/x', method='POST', body=b'sound'),
        gateway_harness.request('/book/y', **BOOKING),
    ):
        assert exchange(harness, other)[0] == 200


def test_a_request_that_ran_at_a_crash_is_not_retried_at_another(harness):
    # Guards against our own retries that crash one server more at each repeat
    # of a caller.
    serve_crashing(harness, 4)
    call = gateway_harness.request('/safe/x', method='GET')
    exchange(harness, call)
    gevent.sleep(0.2)
    assert len(harness.requests) == 2
    exchange(harness, call)
    assert len(harness.requests) == 3
