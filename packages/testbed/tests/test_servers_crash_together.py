"""Tests of several servers that crash together while they run long streams.

The programs run as processes. All requests begin with the same prompt part, so
it was running at every server that crashed, and no request that was sent in
the last seconds has ended.
"""

import itertools
import time

import gevent
import pytest

from paddle_testbed import fakes
from paddle_testbed import fleet_load

SERVERS = 8
CRASHED = 3
DOWN_S = 2.0
FIRST_EVENT_S = 1.0
EVENTS = 24
EVENT_GAP_S = 0.25
SEND_INTERVAL_S = 1 / 16
WARM_UP_S = 3.0
RUN_S = 8.0
# From the last crash until the crashed servers are used again.
RETURN_S = DOWN_S + 1.0
PREAMBLE = 'a1:300'
CONFIG = fleet_load.build_config(
    'engines',
    kind='streaming',
    timeoutMs=12_000,
    targetLatencyMs=1_500,
    targetGapMs=500,
    attempts=1,
)


def respond(req, _sock):
    steps = [FIRST_EVENT_S, fakes.stream_head(req)]
    for number in range(1, EVENTS + 1):
        steps += [fakes.event(number), EVENT_GAP_S]
    return [*steps, fakes.STREAM_END]


@pytest.fixture
def origins():
    built = [fakes.FakeOrigin(respond) for _ in range(SERVERS)]
    yield built
    for item in built:
        item.stop()


@pytest.fixture
def fleet(tmp_path, origins):
    entries = [
        fleet_load.list_entry(f'i-{number}', 'engines', origin)
        for number, origin in enumerate(origins)
    ]
    with fleet_load.running_fleet(
        tmp_path, entries, CONFIG, gateways=2
    ) as built:
        yield built


def send_stream(address, number):
    """Send one request; return whether it is served completely."""
    data = fleet_load.send_request(
        address,
        method='POST',
        headers=(
            'Rosemarypaddle-Model: m',
            'Rosemarypaddle-Token-Counts: 600,60',
            f'Rosemarypaddle-Prompt-Prefix: {PREAMBLE},e{number}:100',
            'Rosemarypaddle-Deadline-Milliseconds: 12000',
        ),
        body=b'%d' % number,
        end=fakes.STREAM_END,
    )
    return data.startswith(b'HTTP/1.1 200') and data.endswith(fakes.STREAM_END)


@pytest.mark.parametrize('apart_s', [0.0, 0.3])
def test_sound_requests_are_served_after_servers_crash_together(
    fleet, origins, apart_s
):
    # Guards against a part of all prompts of a kind that is refused for ten
    # minutes, since streams that run on at other servers prove nothing until
    # they end, and each crashed server counts as a proof of its own.
    for number, origin in enumerate(origins[:CRASHED]):
        gevent.spawn_later(WARM_UP_S + number * apart_s, origin.crash, DOWN_S)
    addresses = fleet_load.gateway_addresses(fleet)
    sent = []
    start_s = time.monotonic()
    for number in itertools.count():
        passed_s = time.monotonic() - start_s
        if passed_s > RUN_S:
            break
        request = gevent.spawn(send_stream, next(addresses), number)
        sent.append((passed_s, request))
        gevent.sleep(SEND_INTERVAL_S)
    gevent.joinall([request for _sent_s, request in sent])
    last_crash_s = WARM_UP_S + (CRASHED - 1) * apart_s
    later = [
        request.value
        for sent_s, request in sent
        if sent_s > last_crash_s + RETURN_S
    ]
    assert len(later) >= 10
    assert later.count(False) == 0
