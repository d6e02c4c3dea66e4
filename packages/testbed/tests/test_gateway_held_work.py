"""Tests of what a gateway holds for callers and servers, with real sockets."""

import copy

import gevent
import gevent.socket
import paddle_kernel
from paddle_router import policy
import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

MEMORY_MB = 200
DEADLINE_MS = 4_000
HEADER_MS = 3_000
# About 800 kB/s.
READ_BYTES = 40_000
READ_PAUSE_S = 0.05


@pytest.fixture
def bounded():
    """A harness whose gateway has a memory limit."""
    built = gateway_harness.GatewayHarness(
        memory_mb=MEMORY_MB, bounds_engine_tokens=True
    )
    config = copy.deepcopy(gateway_harness.CONFIG)
    config['limits'] = {'headerTimeoutMs': HEADER_MS}
    config['services'][0]['engine'] = {'slots': 16, 'kvCacheTokens': 1_000}
    built.controllers.config = config
    yield built
    built.close()


def test_a_large_prompt_without_room_delays_no_small_one(bounded):
    # Guards against small prompts that wait behind a large one, although the
    # engine has room for them.
    def answer(req, _sock):
        if b'/long' in req.line:
            gevent.sleep(2)
        return [fakes.stream_head(req), fakes.event(1), fakes.STREAM_END]

    bounded.serve(answer)

    def send(name, tokens):
        data = gateway_harness.request(
            f'/report/{name}',
            method='POST',
            deadline_ms=DEADLINE_MS,
            extra=(f'Rosemarypaddle-Token-Counts: {tokens},1',),
        )
        return gevent.spawn(gateway_harness.exchange, bounded, data)

    sent = [send('long', 400)]
    gevent.sleep(0.8)
    sent.append(send('large', 700))
    gevent.sleep(0.1)
    small = send('small', 50)
    gevent.joinall([small], timeout=0.6)
    is_served = small.successful()
    gevent.joinall([*sent, small], timeout=5)
    assert is_served
    assert [item.value[0] for item in (*sent, small)] == [200] * 3


def test_a_steady_reader_makes_progress_all_the_time(bounded):
    # Guards against a steady reader that is ended as stalled, because the
    # kernel takes more bytes for it only after it has read some MB.
    size = 6_000_000

    def answer(req, _sock):
        pieces = [fakes.stream_head(req)]
        pieces += [
            fakes.event(n, b'x' * 50_000) for n in range(size // 50_000)
        ]
        return [*pieces, fakes.STREAM_END]

    bounded.serve(answer)
    buffers = bounded.gateway.components.buffers
    # Its part has room for all of it.
    buffers._budget = policy.BufferBudget(answers=20 * size, bodies=size)
    sock = gevent.socket.socket()
    sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_RCVBUF, 8_192)
    sock.connect(paddle_kernel.split_address(bounded.gateway.entry.address))
    sock.sendall(gateway_harness.request('/report/x', deadline_ms=4_000))
    stalled_ms = []
    for _ in range(50):
        part = 0
        while part < READ_BYTES:
            data = sock.recv(READ_BYTES - part)
            assert data
            part += len(data)
        gevent.sleep(READ_PAUSE_S)
        now_ms = buffers.now_ms()
        stalled_ms += [item.stalled_ms(now_ms) for item in buffers.writers]
    sock.close()
    assert stalled_ms
    assert max(stalled_ms) < policy.STALL_MS


def test_a_refused_body_in_chunks_releases_its_room_at_once(bounded):
    # Guards against refused bodies that take the room of others for as long
    # as their callers send.
    bounded.serve(gateway_harness.respond_ok)
    buffers = bounded.gateway.components.buffers
    sock = bounded.connect()
    head = gateway_harness.request(
        '/open/x', method='POST', extra=('Transfer-Encoding: chunked',)
    )
    chunk = b'%x\r\n' % 60_000 + bytes(60_000) + b'\r\n'
    sock.sendall(head + chunk)
    gevent.sleep(0.2)
    assert buffers.held_bodies >= 60_000
    taken = buffers.dump()['bound_for_bodies']
    assert buffers.reserve_body(taken // 2 - 60_000 * 2)
    others = buffers.held_bodies
    buffers.held_bodies += taken - others
    sock.sendall(chunk)
    status, _head, _body = gateway_harness.read_response(sock)
    assert status == 503
    gevent.sleep(0.1)
    assert buffers.held_bodies == taken - 60_000
    sock.close()
