"""Tests of responses without a length or chunks that their server cuts.

Guards against a part that is passed on as complete although the reason why
the server closes the connection is known to the gateway.
"""

import contextlib
import json
import socket as plain_socket
import threading

import attrs
import gevent
import gevent.event
import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

request = gateway_harness.request
exchange = gateway_harness.exchange

LAST_EVENT = 12
ALL_EVENTS = list(range(1, LAST_EVENT + 1))
EVENTS_BEFORE_MOVE = 4
PAUSE_S = 0.1
TICK_S = 0.02
HOLD_TIMEOUT_S = 5
STREAM_TIMEOUT_MS = 10_000
LIMITED_STREAMS = 40
LIMIT_MS = 600
STOP_IN_MS = 700
DEADLINE = b'rosemarypaddle-deadline-milliseconds'
MS_PER_S = 1_000
NOT_RUN = b'Rosemarypaddle-Not-Run: 1'


def event_ids(body):
    return [
        int(part.split(b'\n')[0])
        for part in body.replace(b'id: ', b'|').split(b'|')[1:]
    ]


def is_cut(body):
    return not body.endswith(fakes.STREAM_END)


class Engine:
    """Script of an engine that stops its run when a move asks for it."""

    def __init__(self, move_steps, *, is_chunked=False, stops_after_s=0):
        self.move_steps = move_steps
        self.is_chunked = is_chunked
        self.stops_after_s = stops_after_s
        self.pause_s = PAUSE_S
        self.runs = []
        self.stopped = set()
        self.released = gevent.event.Event()
        self.ends_at = None

    def __call__(self, req, _sock):
        if req.line.startswith(b'POST /api/kv-move'):
            return self._move(req)
        return self._run(req)

    def _move(self, req):
        yield self.stops_after_s
        self.stopped.add(json.loads(req.body)['identifier'].encode())
        yield 2 * PAUSE_S
        yield from self.move_steps

    def _run(self, req):
        self.runs.append(req)
        self.stopped.discard(req.id)
        make_head = fakes.stream_head
        if not self.is_chunked:
            make_head = fakes.unframed_head
        yield make_head(req)
        first = int(req.headers.get(b'last-event-id', b'0')) + 1
        for number in range(first, LAST_EVENT + 1):
            if req.id in self.stopped or number == self.ends_at:
                yield None
            text = b'id: %d\ndata: x\n\n' % number
            if self.is_chunked:
                text = b'%x\r\n%s\r\n' % (len(text), text)
            yield text
            if number == EVENTS_BEFORE_MOVE:
                self.released.wait(timeout=HOLD_TIMEOUT_S)
            yield self.pause_s
        if self.is_chunked:
            yield fakes.STREAM_END
        yield None


@pytest.fixture
def serve(harness):
    """Return a function that starts a gateway with two engines."""
    ticks = gevent.spawn(_tick)

    def start(*engines, moves=True, timeout_ms=STREAM_TIMEOUT_MS):
        config = gateway_harness.build_engine_config()
        config['services'][0]['engine']['moves'] = moves
        for route in config['routes']:
            if route['name'] in ('chat', 'report', 'book'):
                route['timeoutMs'] = timeout_ms
        harness.controllers.config = config
        harness.serve(*engines)
        return harness

    yield start
    ticks.kill()


def _tick():
    while True:
        gevent.sleep(TICK_S)


def stream_request(path):
    return request(
        path,
        method='POST',
        body=b'p',
        extra=(f'Rosemarypaddle-Token-Counts: 10,{LAST_EVENT}',),
        deadline_ms=STREAM_TIMEOUT_MS,
    )


def run_until_leaving(harness, engines, path, *, in_ms=0, send=exchange):
    """Return the body of a stream whose server leaves in the meantime."""
    caller = gevent.spawn(send, harness, stream_request(path))
    with gevent.Timeout(HOLD_TIMEOUT_S):
        while not any(
            stream.events >= EVENTS_BEFORE_MOVE
            for streams in harness.gateway.components.moves._streams.values()
            for stream in streams
        ):
            gevent.sleep(0.005)
    number = next(i for i, engine in enumerate(engines) if engine.runs)
    servers = list(harness.controllers.servers)
    at_ms = harness.gateway.components.wall.now_ms() + in_ms if in_ms else 0
    servers[number] = attrs.evolve(
        servers[number], leaving=True, spot=True, leaves_at_ms=at_ms
    )
    harness.controllers.servers = tuple(servers)
    harness.follower.step()
    for engine in engines:
        engine.released.set()
    status, _text, body = caller.get(timeout=HOLD_TIMEOUT_S)
    assert status == 200
    return body, number


@pytest.mark.parametrize('is_chunked', [False, True])
@pytest.mark.parametrize('path', ['/report/x', '/chat/x'])
def test_a_handle_is_used_whatever_the_response_says(serve, path, is_chunked):
    # Guards against a stopped run that is lost or passed on as complete: a
    # handle is that of a stopped run, also if the server marks its refusal to
    # copy it as not run.
    steps = [fakes.move_response(503, {'handle': 'h7'}, extra=(NOT_RUN,))]
    engines = [Engine(steps, is_chunked=is_chunked) for _ in range(2)]
    harness = serve(*engines)
    body, _number = run_until_leaving(harness, engines, path)
    assert event_ids(body) == ALL_EVENTS and not is_cut(body)


def test_a_move_that_is_carried_out_late_leaves_the_stream_incomplete(serve):
    # Guards against a part that is passed on as complete when the server
    # stops the run only after the gateway has given up the move.
    steps = [fakes.move_response(200, {'handle': 'h7'})]
    engines = [Engine(steps, stops_after_s=2.0) for _ in range(2)]
    for engine in engines:
        engine.pause_s = 4 * PAUSE_S
    harness = serve(*engines)
    body, _number = run_until_leaving(harness, engines, '/report/x')
    assert EVENTS_BEFORE_MOVE < len(event_ids(body)) < LAST_EVENT
    assert is_cut(body)


def test_a_stream_whose_time_ends_during_its_move_is_incomplete(serve):
    # Guards against a part that is passed on as complete when the deadline is
    # reached while the response to the move is awaited.
    engines = [Engine([HOLD_TIMEOUT_S]) for _ in range(2)]
    harness = serve(*engines, timeout_ms=1_000)
    body, _number = run_until_leaving(harness, engines, '/report/x')
    assert len(event_ids(body)) < LAST_EVENT and is_cut(body)


def test_an_http_1_0_caller_sees_that_a_moved_stream_is_cut(serve):
    # Guards against an end of the connection that looks like the end of the
    # response: without chunks only a reset tells them apart.
    engines = [Engine([fakes.move_response(500, {})]) for _ in range(2)]
    harness = serve(*engines)
    outcomes = []

    def send_1_0(harness, raw):
        sock = harness.connect()
        sock.sendall(raw.replace(b'HTTP/1.1', b'HTTP/1.0', 1))
        body = b''
        try:
            while data := sock.recv(65_536):
                body += data
            outcomes.append('end')
        except ConnectionResetError:
            outcomes.append('reset')
        return 200, '', body

    body, _number = run_until_leaving(
        harness, engines, '/report/x', send=send_1_0
    )
    assert outcomes == ['reset'] and len(event_ids(body)) < LAST_EVENT


@pytest.mark.parametrize('is_chunked', [False, True])
def test_a_copy_that_ends_before_the_made_events_is_incomplete(
    serve, is_chunked
):
    # Guards against a continuation that ends early: the response to the move
    # tells how many events the run had made.
    engines = [
        Engine([fakes.move_response(200, {'handle': 'h7', 'made': 9})])
        for _ in range(2)
    ]
    harness = serve(*engines)

    def end_copy():
        while not any(engine.runs for engine in engines):
            gevent.sleep(0.005)
        target = next(engine for engine in engines if not engine.runs)
        target.ends_at = EVENTS_BEFORE_MOVE + 3
        if is_chunked:
            # A whole response without the rest of the events.
            target._run = whole_part

    def whole_part(req):
        yield fakes.stream_head(req)
        yield fakes.STREAM_END
        yield None

    gevent.spawn(end_copy)
    body, _number = run_until_leaving(harness, engines, '/report/x')
    assert len(event_ids(body)) < 9 and is_cut(body)


def limited(answer):
    """Return a script that stops at the deadline that it is given.

    The time is kept by a thread, as another process would keep it.
    """

    def script(req, sock):
        left_s = int(req.headers[DEADLINE]) / MS_PER_S
        threading.Timer(left_s, _end_writing, (sock._sock,)).start()
        yield answer(req)
        yield 2 * left_s
        yield None

    return script


def _end_writing(sock):
    with contextlib.suppress(OSError):
        sock.shutdown(plain_socket.SHUT_WR)


def run_limited(harness, path):
    """Return the bodies of requests that reach their time limit."""
    callers = []
    for number in range(LIMITED_STREAMS):
        callers.append(gevent.spawn(exchange, harness, stream_request(path)))
        gevent.sleep(0.003 + number / 40_000)
    gevent.joinall(callers, timeout=HOLD_TIMEOUT_S)
    return [caller.value for caller in callers]


def test_a_stream_cut_at_the_time_limit_is_incomplete(serve):
    # Guards against a part that is passed on as complete: the server stops
    # work at the deadline that the gateway itself has passed on.
    script = limited(
        lambda req: fakes.unframed_head(req) + b'id: 1\ndata: x\n\n'
    )
    harness = serve(*[script] * 12, timeout_ms=LIMIT_MS)
    results = run_limited(harness, '/report/x')
    streams = [body for status, _text, body in results if status == 200]
    assert len(streams) >= LIMITED_STREAMS / 2
    assert [body for body in streams if not is_cut(body)] == []


def test_a_plain_response_cut_at_the_time_limit_is_incomplete(serve):
    # The same for a plain response, which is buffered until its end.
    script = limited(
        lambda req: (
            fakes.unframed_head(req).replace(
                b'text/event-stream', b'text/plain'
            )
            + b'part'
        )
    )
    harness = serve(*[script] * 12, timeout_ms=LIMIT_MS)
    results = run_limited(harness, '/book/x')
    assert [status for status, _text, _body in results if status == 200] == []


@pytest.mark.parametrize('moves', [False, True])
def test_a_close_at_the_stop_time_of_a_server_is_no_end(serve, moves):
    # Guards against a part that is passed on as complete: the server closes
    # its streams when its time is up, and the run was not moved, since the
    # service has no moves or there is no target.
    engine = Engine([])
    engine.ends_at = (
        EVENTS_BEFORE_MOVE + 1 + int(STOP_IN_MS / (PAUSE_S * MS_PER_S))
    )
    harness = serve(engine, moves=moves)
    body, _number = run_until_leaving(
        harness, [engine], '/report/x', in_ms=STOP_IN_MS
    )
    assert len(event_ids(body)) < LAST_EVENT and is_cut(body)


@pytest.mark.parametrize('path', ['/book/x', '/safe/x'])
def test_a_plain_response_cut_at_the_stop_time_is_incomplete(serve, path):
    # The same as for a stream at the stop time of its server.
    stop_s = STOP_IN_MS / MS_PER_S

    def script(req, sock):
        del sock
        text = fakes.unframed_head(req).replace(
            b'text/event-stream', b'text/plain'
        )
        return [text + b'part', stop_s, None]

    harness = serve(script)
    caller = gevent.spawn(exchange, harness, request(path, key='key1'))
    with gevent.Timeout(HOLD_TIMEOUT_S):
        while not harness.requests:
            gevent.sleep(0.005)
    at_ms = harness.gateway.components.wall.now_ms() + STOP_IN_MS
    harness.set_servers(leaving=True, spot=True, leaves_at_ms=at_ms)
    status, _text, body = caller.get(timeout=HOLD_TIMEOUT_S)
    assert status in (502, 504), body
