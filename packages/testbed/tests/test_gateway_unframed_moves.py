"""Tests of moved streams that have neither a length nor chunks.

Guards against a stream that is passed on as complete although its server was
told to stop the run and closed the connection between two events.
"""

import json

import attrs
import gevent
import gevent.event
import paddle_kernel
import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

request = gateway_harness.request
exchange = gateway_harness.exchange

LAST_EVENT = 12
ALL_EVENTS = list(range(1, LAST_EVENT + 1))
EVENTS_BEFORE_MOVE = 4
PAUSE_S = 0.05
TICK_S = 0.05
HOLD_TIMEOUT_S = 5
STREAM_TIMEOUT_MS = 10_000
# Later than the gateway waits for the response to a move.
LATE_S = 2.0


COPIED = fakes.move_response(200, {'handle': 'h7', 'made': EVENTS_BEFORE_MOVE})
NO_ROOM = fakes.move_response(503, {'handle': 'h7'})
NOT_RUN = b'Rosemarypaddle-Not-Run: 1'
# Responses that name a copy, so that the run can go on.
COPY_RESPONSES = {
    'copied': [COPIED],
    'no room': [NO_ROOM],
    'copied late': [0.5, COPIED],
}
# Responses after which the run cannot go on and may have been stopped.
NO_COPY_RESPONSES = {
    '500': [fakes.move_response(500, {})],
    '200 without a handle': [fakes.move_response(200, {})],
    '200 without JSON': [b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{x'],
    '503 without a handle': [fakes.move_response(503, {})],
    # Another server responds, so the one with the run has ended.
    '421': [fakes.move_response(421, {})],
    'cut': [b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{', None],
    'none': [None],
    'too late': [LATE_S, COPIED],
}
# Responses that state that no run was stopped.
REFUSALS = {
    '404': [fakes.move_response(404, {})],
    '404 without JSON': [b'HTTP/1.1 404 X\r\nContent-Length: 4\r\n\r\ngone'],
    '409': [fakes.move_response(409, {})],
    '503 not run': [fakes.move_response(503, {}, extra=(NOT_RUN,))],
}


class Engine:
    """Script of a model engine whose streams end with their connection.

    ``move_steps`` answer a request to move a run; ``stops`` tells whether it
    is carried out, ``closes_first`` whether the stream is closed before the
    answer.
    """

    def __init__(self, move_steps, *, stops=True, closes_first=True):
        self.move_steps = move_steps
        self.stops = stops
        self.closes_first = closes_first
        self.moves = []
        self.runs = []
        self.stopped = set()
        self.hold_after = None
        self.released = gevent.event.Event()

    def __call__(self, req, _sock):
        if req.line.startswith(b'POST /api/kv-move'):
            return self._move(req)
        return self._run(req)

    def _move(self, req):
        self.moves.append(req)
        if self.stops:
            self.stopped.add(json.loads(req.body)['identifier'].encode())
        if self.closes_first:
            yield 2 * PAUSE_S
        yield from self.move_steps

    def _run(self, req):
        self.runs.append(req)
        self.stopped.discard(req.id)
        yield fakes.unframed_head(req)
        first = int(req.headers.get(b'last-event-id', b'0')) + 1
        for number in range(first, LAST_EVENT + 1):
            if req.id in self.stopped:
                yield None
            yield b'id: %d\ndata: x\n\n' % number
            if number == self.hold_after:
                self.released.wait(timeout=HOLD_TIMEOUT_S)
            yield 2 * PAUSE_S
        yield None


@pytest.fixture
def serve_unframed(harness):
    """Return a function that starts a gateway with two engines."""
    config = gateway_harness.build_engine_config()
    for route in config['routes']:
        if route['name'] in ('chat', 'report'):
            route['timeoutMs'] = STREAM_TIMEOUT_MS
    harness.controllers.config = config
    # As a program's timers do, lets the loop notice closed sockets.
    ticks = gevent.spawn(_tick)

    def serve(steps, **options):
        engines = [Engine(steps, **options) for _ in range(2)]
        harness.serve(*engines)
        return harness, engines

    yield serve
    ticks.kill()


def _tick():
    while True:
        gevent.sleep(TICK_S)


def run_moved_stream(harness, engines, path):
    """Return the body of a stream whose server leaves in the meantime."""
    for engine in engines:
        engine.hold_after = EVENTS_BEFORE_MOVE
    raw = request(
        path,
        method='POST',
        body=b'p',
        extra=(f'Rosemarypaddle-Token-Counts: 10,{LAST_EVENT}',),
        deadline_ms=STREAM_TIMEOUT_MS,
    )
    caller = gevent.spawn(exchange, harness, raw)
    with gevent.Timeout(HOLD_TIMEOUT_S):
        while not any(
            stream.events >= EVENTS_BEFORE_MOVE
            for streams in harness.gateway.components.moves._streams.values()
            for stream in streams
        ):
            gevent.sleep(0.005)
    number = next(i for i, engine in enumerate(engines) if engine.runs)
    servers = list(harness.controllers.servers)
    servers[number] = attrs.evolve(servers[number], leaving=True, spot=True)
    harness.controllers.servers = tuple(servers)
    harness.follower.step()
    for engine in engines:
        engine.hold_after = None
        engine.released.set()
    status, _text, body = caller.get(timeout=HOLD_TIMEOUT_S)
    assert status == 200 and len(engines[number].moves) == 1
    return body


def event_ids(body):
    return [
        int(part.split(b'\n')[0])
        for part in body.replace(b'id: ', b'|').split(b'|')[1:]
    ]


@pytest.mark.parametrize('path', ['/report/x', '/chat/x'])
@pytest.mark.parametrize('name', COPY_RESPONSES)
def test_a_stream_closed_for_its_move_goes_on(serve_unframed, name, path):
    harness, engines = serve_unframed(COPY_RESPONSES[name])
    body = run_moved_stream(harness, engines, path)
    assert event_ids(body) == ALL_EVENTS
    assert body.endswith(fakes.STREAM_END)


@pytest.mark.parametrize('closes_first', [True, False])
@pytest.mark.parametrize('name', NO_COPY_RESPONSES)
def test_a_stream_closed_for_a_failed_move_is_incomplete(
    serve_unframed, name, closes_first
):
    harness, engines = serve_unframed(
        NO_COPY_RESPONSES[name], closes_first=closes_first
    )
    body = run_moved_stream(harness, engines, '/report/x')
    events = event_ids(body)
    assert events == ALL_EVENTS[: len(events)] and len(events) < LAST_EVENT
    assert not body.endswith(fakes.STREAM_END)
    assert sum(len(engine.runs) for engine in engines) == 1


@pytest.mark.parametrize('name', NO_COPY_RESPONSES)
def test_a_resumable_stream_closed_for_a_failed_move_is_resumed(
    serve_unframed, name
):
    harness, engines = serve_unframed(NO_COPY_RESPONSES[name])
    body = run_moved_stream(harness, engines, '/chat/x')
    assert event_ids(body) == ALL_EVENTS
    assert body.endswith(fakes.STREAM_END)


@pytest.mark.parametrize('path', ['/report/x', '/chat/x'])
@pytest.mark.parametrize('name', REFUSALS)
def test_a_stream_whose_move_was_refused_ends_complete(
    serve_unframed, name, path
):
    # Guards against sound streams that are cut: the server has stopped
    # nothing, so the end of the connection is that of the stream.
    harness, engines = serve_unframed(REFUSALS[name], stops=False)
    body = run_moved_stream(harness, engines, path)
    assert event_ids(body) == ALL_EVENTS
    assert body.endswith(fakes.STREAM_END)
    assert sum(len(engine.runs) for engine in engines) == 1


@pytest.mark.parametrize(
    'steps, move, status',
    [
        (REFUSALS['404'], 'failed', 404),
        (NO_COPY_RESPONSES['500'], 'failed', 500),
        (NO_COPY_RESPONSES['none'], 'failed', None),
        (COPY_RESPONSES['copied'], 'copied', None),
    ],
)
def test_the_log_tells_how_a_moved_stream_ended(
    serve_unframed, logged, steps, move, status
):
    # Guards against a log that cannot tell a stream that was stopped for its
    # move from a complete one.
    harness, engines = serve_unframed(steps, stops=move == 'copied')
    run_moved_stream(harness, engines, '/report/x')
    (done,) = logged(3310)
    assert (done['unframed'], done['move']) == (True, move)
    failures = [(item['sent'], item['status']) for item in logged(3318)]
    assert failures == ([] if move == 'copied' else [(True, status)])


@pytest.fixture
def logged(monkeypatch):
    """Return a function that lists the fields of an event's log lines."""
    lines = []
    emit = paddle_kernel.emit

    def record(event, **fields):
        lines.append((event.number, fields))
        emit(event, **fields)

    monkeypatch.setattr(paddle_kernel, 'emit', record)
    return lambda number: [item for n, item in lines if n == number]
