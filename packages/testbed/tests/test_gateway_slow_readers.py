"""Tests with callers that read slowly or not at all, and large bodies.

Load: hundreds of callers leave large answers unread or read a little now and
then, while others need their answers in time.
"""

import contextlib
import copy
import time
import tracemalloc

import gevent
import gevent.event
import gevent.pool
import gevent.socket
import paddle_kernel
from paddle_router import _sse
import pytest

from paddle_testbed import fakes
from paddle_testbed import fleet
from paddle_testbed import gateway_harness
from paddle_testbed import gateway_process

MEMORY_MB = 200
# A gateway has to stay well under its memory. An idle one needs a quarter of
# it, and this is for all that callers can cause.
GROWTH_LIMIT_MB = 75
SLOW_CALLERS = 200
ARRIVAL_PAUSE_S = 0.002
DEADLINE_MS = 8_000
OTHER_REQUESTS = 100
# The time limit of their route; shorter than the slow callers stay.
OTHER_TIMEOUT_MS = 3_000
IN_TIME_S = OTHER_TIMEOUT_MS / 1_000
IN_TIME_RATIO = 0.95
# A server cuts off an answer that is not read for this long.
CUT_S = 0.7
STEADY_ANSWER = bytes(1_000_000)
STEADY_READ_BYTES = 40_000
READ_PAUSE_S = 0.1
LARGE_BODY = bytes(4_000_000)
LARGE_BODIES = 16


def build_config():
    """Return a configuration with a service of large answers."""
    config = copy.deepcopy(gateway_harness.CONFIG)
    config['limits'] = {'headerTimeoutMs': DEADLINE_MS}
    config['routes'][0]['timeoutMs'] = OTHER_TIMEOUT_MS
    config['services'].append({'name': 'large', 'connectionLimit': 1_000})
    config['routes'] += [
        {
            'name': name,
            'host': 'h',
            'pathPrefix': f'/{name}/',
            'kind': kind,
            'timeoutMs': DEADLINE_MS,
            'targetLatencyMs': 1_000,
            'targetGapMs': 1_000,
            'service': 'large',
            'attempts': 1,
        }
        for name, kind in (('large', 'safe'), ('events', 'streaming'))
    ]
    return config


def request(address, path, receive_bytes):
    """Send a request on a new connection."""
    sock = gevent.socket.socket()
    sock.setsockopt(
        gevent.socket.SOL_SOCKET, gevent.socket.SO_RCVBUF, receive_bytes
    )
    sock.connect(paddle_kernel.split_address(address))
    sock.settimeout(DEADLINE_MS / 1_000)
    sock.sendall(
        gateway_harness.request(path, method='POST', deadline_ms=DEADLINE_MS)
    )
    return sock


def dribble(sock):
    """Read 100 bytes every 100 ms until the connection ends."""
    try:
        while sock.recv(100):
            gevent.sleep(0.1)
    except OSError:
        # The gateway has ended the slow caller.
        return


def answer_times(address):
    """Return the times of other requests, failed ones as infinite."""
    times_s = []

    def send(number):
        start_s = time.monotonic()
        sock = request(address, f'/safe/{number}', 65_536)
        is_served = gateway_harness.read_response(sock)[::2] == (200, b'ok')
        sock.close()
        passed_s = time.monotonic() - start_s
        times_s.append(passed_s if is_served else float('inf'))

    pool = gevent.pool.Pool()
    for number in range(OTHER_REQUESTS):
        pool.spawn(send, number)
        gevent.sleep(0.03)
    pool.join()
    return times_s


@pytest.fixture
def start_gateway():
    """Return a function that starts a gateway process with its servers."""
    origin = fakes.FakeOrigin(lambda req, _sock: fakes.response(req))
    running = [gateway_process.Process('answers')]
    addresses = {'plain': origin.address, 'large': running[0].address}

    def start(**settings):
        running.append(
            gateway_process.Process(
                'gateway', build_config(), addresses, settings
            )
        )
        return running[-1]

    yield start
    origin.stop()
    for item in running:
        item.stop()


@pytest.mark.parametrize('kind', ['large', 'events'])
def test_slow_readers_take_little_memory_and_delay_nobody(start_gateway, kind):
    # Guards against answers that pile up in the memory of a gateway until it
    # is killed, and against others that pay for it.
    gateway = start_gateway(memory_mb=MEMORY_MB)
    before_mb = gateway.memory_mb('VmRSS')
    socks = []
    for _ in range(2 * SLOW_CALLERS):
        socks.append(request(gateway.address, f'/{kind}/x', 4_096))
        gevent.sleep(ARRIVAL_PAUSE_S)
    readers = [gevent.spawn(dribble, sock) for sock in socks[SLOW_CALLERS:]]
    times_s = answer_times(gateway.address)
    gevent.killall(readers)
    for sock in socks:
        sock.close()
    growth_mb = gateway.memory_mb('VmHWM') - before_mb
    in_time = sum(item <= IN_TIME_S for item in times_s)
    assert growth_mb < GROWTH_LIMIT_MB
    assert in_time >= IN_TIME_RATIO * OTHER_REQUESTS


def answer_or_cut(req, sock):
    """Send 1 MB, but break off if it is not read in time."""
    sock.setsockopt(
        gevent.socket.SOL_SOCKET,
        gevent.socket.SO_SNDBUF,
        gateway_harness.SEND_BUFFER_BYTES,
    )
    if b'/events/' in req.line:
        pieces = [fakes.stream_head(req)]
        for number in range(20):
            pieces.append(fakes.event(number, b'x' * 50_000))
        pieces.append(fakes.STREAM_END)
    else:
        pieces = [fakes.response(req, STEADY_ANSWER)]
    with gevent.Timeout(CUT_S, False):
        sock.sendall(b''.join(pieces))
        return []
    return [None]


@pytest.fixture
def bounded():
    """A harness whose gateway has a memory limit."""
    built = gateway_harness.GatewayHarness(
        memory_mb=MEMORY_MB, bounds_engine_tokens=True
    )
    built.controllers.config = build_config()
    yield built
    built.close()


def serve_large(harness, script):
    """Serve ``large`` and ``plain`` with ``script``."""
    harness.serve(script)
    address = harness.origins[0].address
    harness.controllers.servers = tuple(
        gateway_harness.listed_server(f'i-{service}', service, address)
        for service in ('plain', 'large')
    )
    harness.follower.step()
    harness.limit_send_buffers()


@pytest.mark.parametrize('kind', ['large', 'events'])
def test_a_slow_but_steady_reader_gets_its_whole_answer(bounded, kind):
    # Guards against a server that cuts off an answer, because its gateway
    # reads it only as fast as the caller does.
    serve_large(bounded, answer_or_cut)
    sock = request(bounded.gateway.entry.address, f'/{kind}/x', 4_096)
    data = b''
    while not data.endswith(b'0\r\n\r\n'):
        gevent.sleep(READ_PAUSE_S)
        part = b''
        while len(part) < STEADY_READ_BYTES and (more := sock.recv(4_096)):
            part += more
            if part.endswith(b'0\r\n\r\n'):
                break
        assert part, len(data)
        data += part
    assert data.startswith(b'HTTP/1.1 200')
    assert len(data) > len(STEADY_ANSWER)
    assert bounded.gateway.components.buffers.held_for_callers == 0


@pytest.mark.parametrize('end', ['complete', 'closed', 'caller leaves'])
def test_an_incomplete_event_counts_as_held_for_its_caller(bounded, end):
    # Guards against streams that together hold more than a gateway has room
    # for, since only events that were complete were counted.
    event = fakes.event(1, b'x' * 40_000)
    was_seen = gevent.event.Event()
    last_piece = {
        'complete': event[30_000:] + fakes.STREAM_END,
        'closed': None,
        'caller leaves': 30.0,
    }[end]

    def script(req, _sock):
        head = fakes.stream_head(req)
        return [head, event[:30_000], was_seen.wait, last_piece]

    serve_large(bounded, script)
    buffers = bounded.gateway.components.buffers
    sock = request(bounded.gateway.entry.address, '/events/x', 65_536)
    fleet.wait_for(lambda: buffers.held_for_callers > 25_000, 'bytes held')
    assert buffers.held_for_callers <= 30_000
    was_seen.set()
    if end == 'caller leaves':
        sock.close()
    else:
        status, _text, _body = gateway_harness.read_response(sock)
        assert status == (200 if end == 'complete' else 502)
    fleet.wait_for(lambda: not buffers.held_for_callers, 'nothing held')


@contextlib.contextmanager
def tracing_events():
    """Yield a function that returns the bytes of events in memory."""
    filters = [tracemalloc.Filter(True, _sse.__file__)]

    def kept_bytes():
        snapshot = tracemalloc.take_snapshot().filter_traces(filters)
        return sum(item.size for item in snapshot.traces)

    tracemalloc.start()
    yield kept_bytes
    tracemalloc.stop()


def test_an_event_that_was_passed_on_is_not_kept(bounded):
    # Guards against a gateway that keeps the last event of each stream in
    # memory until the next one arrives.
    was_seen = gevent.event.Event()

    def script(req, _sock):
        event = fakes.event(1, b'x' * 200_000)
        head = fakes.stream_head(req)
        return [head, event, was_seen.wait, fakes.STREAM_END]

    serve_large(bounded, script)
    with tracing_events() as kept_bytes:
        sock = request(bounded.gateway.entry.address, '/events/x', 65_536)
        data = b''
        while len(data) < 200_000:
            data += sock.recv(65_536)
        fleet.wait_for(lambda: kept_bytes() < 20_000, 'no event kept')
    was_seen.set()
    # The stream was not ended meanwhile.
    while more := sock.recv(65_536):
        data += more
        if data.endswith(fakes.STREAM_END):
            break
    assert data.endswith(fakes.STREAM_END)


def test_a_caller_that_is_ended_gets_no_complete_answer(bounded, events):
    # Guards against an answer that was cut and looks complete, and against a
    # caller that is ended while there is room for it.
    serve_large(bounded, lambda req, _sock: fakes.response(req, LARGE_BODY))
    buffers = bounded.gateway.components.buffers
    address = bounded.gateway.entry.address
    sock = request(address, '/large/x', 4_096)
    gevent.sleep(1.5)
    assert buffers.held_for_callers
    assert not buffers.ended_count
    # Other callers take the rest of the room.
    buffers.add_for_callers(buffers.dump()['bound_for_callers'])
    with pytest.raises(ConnectionResetError):
        while sock.recv(65_536):
            gevent.sleep(READ_PAUSE_S)
    assert buffers.ended_count == 1
    assert 3360 in events.numbers


def test_large_bodies_wait_or_are_refused_before_small_ones(bounded):
    # Guards against large bodies of many callers that fill the memory, and
    # against small requests that pay for them.
    def answer(req, _sock):
        gevent.sleep(0.2)
        return fakes.response(req)

    serve_large(bounded, answer)
    buffers = bounded.gateway.components.buffers
    held = [0]

    def send(body):
        data = gateway_harness.request(
            '/large/x', method='POST', body=body, deadline_ms=DEADLINE_MS
        )
        response = gateway_harness.exchange(bounded, data)
        held.append(buffers.held_bodies)
        return response

    large = [gevent.spawn(send, LARGE_BODY) for _ in range(LARGE_BODIES)]
    gevent.sleep(0.05)
    small = [gevent.spawn(send, bytes(1_000)) for _ in range(LARGE_BODIES)]
    gevent.joinall(large + small, timeout=8)
    statuses = [item.value[0] for item in large]
    assert [item.value[0] for item in small] == [200] * LARGE_BODIES
    assert set(statuses) == {200, 503}
    assert max(held) <= buffers.dump()['bound_for_bodies']
    assert all(
        'retry-after:' in item.value[1]
        for item in large
        if item.value[0] == 503
    )
    received = [req for req in bounded.requests if len(req.body) > 1_000]
    assert len(received) == statuses.count(200)
    assert buffers.held_bodies == 0


def test_prompts_wait_for_memory_of_the_engine(bounded):
    # Guards against an engine that gets more prompt tokens at a time than it
    # has memory for, although it has free slots.
    running = []
    most = [0]

    def answer(req, _sock):
        running.append(req)
        most.append(len(running))
        gevent.sleep(0.1)
        running.remove(req)
        return [fakes.stream_head(req), fakes.event(1), fakes.STREAM_END]

    config = build_config()
    config['version'] += 1
    config['services'][1]['engine'] = {'slots': 16, 'kvCacheTokens': 1_000}
    bounded.controllers.config = config
    serve_large(bounded, answer)
    data = [
        gateway_harness.request(
            f'/events/{number}',
            method='POST',
            deadline_ms=DEADLINE_MS,
            extra=('Rosemarypaddle-Token-Counts: 600,1',),
        )
        for number in range(5)
    ]
    sent = [
        gevent.spawn(gateway_harness.exchange, bounded, item) for item in data
    ]
    gevent.joinall(sent, timeout=5)
    assert [item.value[0] for item in sent] == [200] * len(sent)
    assert max(most) == 1
