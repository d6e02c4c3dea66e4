"""Tests of prompt parts that crash each server that answers them.

The programs run as processes. Several gateways get requests with such a part;
each server that begins to answer one goes down for some seconds and cuts the
responses to all other requests.
"""

import itertools
import time

import gevent
from paddle_router import policy
import pytest

from paddle_testbed import fakes
from paddle_testbed import fleet as fleets
from paddle_testbed import fleet_load
from paddle_testbed import gateway_harness

request = gateway_harness.request
exchange = gateway_harness.exchange

SERVERS = 6
DOWN_S = 2.0
EVENTS = 6
EVENT_GAP_S = 0.02
# The users count requests with the part that are sent later than this after
# the fifth crash, and allow three of them.
CONTACT_S = 3.0
COUNTED_CRASHES = 5
ALLOWED_REQUESTS = 3
RUN_S = 12.0
SEND_INTERVAL_S = 0.04
# One request in so many has the crashing part.
CRASHING_INTERVAL = 20
PREAMBLE = 'a1:300'
CRASHING_PART = 'dead'
# Time in which a refusal is stored at a majority of the controllers.
STORE_S = 0.5
CONFIG = fleet_load.build_config(
    'engines',
    kind='streaming',
    timeoutMs=4000,
    targetLatencyMs=300,
    targetGapMs=300,
    attempts=1,
)


class CrashingServer:
    """A backend server that a prompt part crashes."""

    def __init__(self, name):
        self.name = name
        self.crashes = []
        # Arrival times of requests with the crashing part.
        self.arrivals = []
        self.origin = fakes.FakeOrigin(self._respond)

    def _respond(self, req, _sock):
        head = fakes.stream_head(req)
        prefix = req.headers.get(b'rosemarypaddle-prompt-prefix', b'')
        if CRASHING_PART.encode() in prefix:
            self.arrivals.append(time.monotonic())
            return [EVENT_GAP_S, head, EVENT_GAP_S, self._crash, None]
        steps = [head]
        for number in range(1, EVENTS + 1):
            steps += [EVENT_GAP_S, fakes.event(number)]
        return [*steps, fakes.STREAM_END]

    def _crash(self):
        self.crashes.append(time.monotonic())
        self.origin.crash(DOWN_S)


@pytest.fixture
def servers():
    built = [CrashingServer(f'i-{number}') for number in range(SERVERS)]
    yield built
    for item in built:
        item.origin.stop()


@pytest.fixture
def fleet(tmp_path, servers):
    entries = [
        fleet_load.list_entry(item.name, 'engines', item.origin)
        for item in servers
    ]
    with fleet_load.running_fleet(
        tmp_path, entries, CONFIG, gateways=3
    ) as built:
        yield built


def send_stream(address, parts):
    """Send a request with the prompt ``parts``; return whether it is served.

    A response is complete if it ends with the last chunk.
    """
    data = fleet_load.send_request(
        address,
        method='POST',
        headers=(
            'Rosemarypaddle-Model: m',
            'Rosemarypaddle-Token-Counts: 600,60',
            f'Rosemarypaddle-Prompt-Prefix: {parts}',
            'Rosemarypaddle-Deadline-Milliseconds: 4000',
        ),
        end=fakes.STREAM_END,
    )
    return data.startswith(b'HTTP/1.1 200') and data.endswith(fakes.STREAM_END)


def send_mixed_load(fleet):
    """Send sound requests and some with the crashing part, in turn.

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
        parts = f'{PREAMBLE},b{number % 7}:200,e{number}:100'
        is_crashing = number % CRASHING_INTERVAL == CRASHING_INTERVAL - 1
        if is_crashing:
            parts = f'{PREAMBLE},{CRASHING_PART}:200,e{number}:100'
        request = gevent.spawn(send_stream, next(addresses), parts)
        if not is_crashing:
            sound.append((now_s, request))
        gevent.sleep(SEND_INTERVAL_S)


def test_a_part_that_crashes_servers_stops_reaching_them(fleet, servers):
    # Guards against requests with such a part that crash one server after the
    # other, since nothing connects the crashes.
    sound = send_mixed_load(fleet)
    gevent.joinall([request for _sent_s, request in sound])
    crashes = sorted(at_s for item in servers for at_s in item.crashes)
    arrivals = [at_s for item in servers for at_s in item.arrivals]
    assert len(crashes) >= 2
    if len(crashes) >= COUNTED_CRASHES:
        limit_s = crashes[COUNTED_CRASHES - 1] + CONTACT_S
        late = [at_s for at_s in arrivals if at_s > limit_s]
        assert len(late) <= ALLOWED_REQUESTS
    # Sound requests share the first part and the caller's key.
    served = [
        request.value
        for sent_s, request in sound
        if sent_s > crashes[-1] + DOWN_S
    ]
    assert len(served) >= 20
    assert served.count(True) >= 0.95 * len(served)


def send_crashing_request(address):
    """Send one request with the crashing part."""
    number = time.monotonic_ns()
    send_stream(address, f'{PREAMBLE},{CRASHING_PART}:200,e{number}:100')


def test_a_refused_part_stays_refused_after_all_processes_are_killed(
    fleet, servers
):
    # Guards against servers that crash again after a loss of power, since the
    # refusal was in memory only.
    addresses = [
        fleet.gateway_address(name) for name in fleet.names('gateway')
    ]

    def is_refused():
        return all(
            fleet.dump(name)['request_crashes']['refused_until_ms']
            for name in fleet.names('gateway')
        )

    for number in range(3):
        send_crashing_request(addresses[number])
        gevent.sleep(0.5)
    fleets.wait_for(is_refused, 'the part was not refused')
    gevent.sleep(STORE_S)
    for name in fleet.machines:
        fleet.kill(name)
    crash_count = sum(len(item.crashes) for item in servers)
    for name in fleet.machines:
        fleet.start(name)
    for name in fleet.names('gateway'):
        fleet.wait_ready(name)
    for number in range(6):
        send_crashing_request(addresses[number % 3])
    assert sum(len(item.crashes) for item in servers) == crash_count


# One gateway


PARTS = 'Rosemarypaddle-Prompt-Prefix: a1:30,dead:20,e1:10'
CHAT = {'method': 'POST', 'body': b'p', 'extra': (PARTS,)}
REFUSED_MS = 5_000


def refuse_part(harness):
    """Let the controllers of ``harness`` refuse the crashing part."""
    until_ms = harness.gateway.components.wall.now_ms() + REFUSED_MS
    harness.controllers.refused = (
        policy.RefusedTrait(id=CRASHING_PART, until_ms=until_ms),
    )
    harness.follower.step()


def crash_reports(harness):
    """Return the crash reports of the gateway's next report."""
    gevent.sleep(0.2)
    harness.follower.step()
    (report,) = harness.controllers.requests[-1].reports
    return report.crashes


def break_response(req, _sock):
    return [fakes.stream_head(req), 0.05, None]


def serve_stream(req, _sock):
    return [fakes.stream_head(req), fakes.event(1), fakes.STREAM_END]


def test_a_crash_is_reported_with_the_shared_parts(harness):
    harness.serve(break_response)
    origin = harness.origins[0]
    origin.script = lambda req, sock: [
        fakes.stream_head(req),
        lambda: origin.crash(2.0),
        None,
    ]
    exchange(harness, request('/report/x', **CHAT))
    (report,) = crash_reports(harness)
    *parts, own = report.traits
    assert parts == ['a1', 'dead']
    assert policy.is_request_trait(own)
    assert report.server.id == 'i-0'


def test_a_broken_response_of_a_running_server_is_no_crash(harness):
    # Guards against parts that are refused since servers lose answers.
    harness.serve(break_response)
    for _ in range(5):
        exchange(harness, request('/report/x', **CHAT))
    assert crash_reports(harness) == ()


def test_a_crash_after_events_is_not_blamed_on_the_prompt(harness):
    # The request itself may be the cause.
    harness.serve(break_response)
    origin = harness.origins[0]
    origin.script = lambda req, sock: [
        fakes.stream_head(req),
        fakes.event(1),
        0.05,
        lambda: origin.crash(2.0),
        None,
    ]
    exchange(harness, request('/report/x', **CHAT))
    (report,) = crash_reports(harness)
    assert len(report.traits) == 1
    assert policy.is_request_trait(report.traits[0])


def test_a_request_with_a_refused_part_is_not_sent(harness):
    harness.serve(serve_stream)
    refuse_part(harness)
    status, text, _body = exchange(harness, request('/report/x', **CHAT))
    assert status == 503
    retry_after_s = float(text.split('retry-after:')[1].split()[0])
    assert 0.8 * REFUSED_MS < 1_000 * retry_after_s <= REFUSED_MS
    assert harness.requests == []
    others = {**CHAT, 'extra': (PARTS.replace('dead', 'b2'),)}
    assert exchange(harness, request('/report/x', **others))[0] == 200


def test_the_last_part_of_a_prompt_is_never_refused(harness):
    # It belongs to one request or session only.
    harness.serve(serve_stream)
    refuse_part(harness)
    last = 'Rosemarypaddle-Prompt-Prefix: a1:30,dead:20'
    raw = request('/report/x', **{**CHAT, 'extra': (last,)})
    assert exchange(harness, raw)[0] == 200


def test_a_request_that_waits_is_refused_with_its_part(harness):
    # Guards against requests that waited for a server while their part was
    # found to crash servers.
    rejected = []

    def reject_first(req, sock):
        if rejected:
            return serve_stream(req, sock)
        rejected.append(req)
        return fakes.response(
            req,
            b'',
            status=b'503 Full',
            extra=(b'Rosemarypaddle-Not-Run: 1', b'Retry-After: 0.6'),
        )

    harness.serve(reject_first)
    waiting = gevent.spawn(exchange, harness, request('/chat/x', **CHAT))
    gevent.sleep(0.2)
    refuse_part(harness)
    # The first attempt was not run, so the refusal says so.
    assert waiting.get(timeout=3)[0] == 503
    assert len(harness.requests) == 1


def test_a_served_suspect_is_reported(harness):
    # Guards against sound parts that are refused as nobody says that they
    # were served.
    harness.serve(serve_stream)
    exchange(harness, request('/report/x', **CHAT))
    harness.controllers.suspects = ('a1', 'unknown')
    harness.follower.step()
    harness.follower.step()
    (report,) = harness.controllers.requests[-1].reports
    assert [item.id for item in report.served] == ['a1']
