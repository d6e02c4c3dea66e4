"""Tests of streams that are moved when their server is shut down."""

import json
import types

import attrs
import gevent
import gevent.event
import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

request = gateway_harness.request
exchange = gateway_harness.exchange

LAST_EVENT = 12
PAUSE_S = 0.12
HOLD_TIMEOUT_S = 5
# Longer than any stream here takes on a busy machine.
STREAM_TIMEOUT_MS = 10_000


class Engine:
    """Script of a model engine that can stop, copy and continue runs."""

    def __init__(self, *, move_status=200, accepts_copies=True):
        self.move_status = move_status
        self.accepts_copies = accepts_copies
        self.moves = []
        self.runs = []
        self.stopped = set()
        self.delay_s = 0
        self.pause_s = PAUSE_S
        self.announces_shutdown = False
        # While set, the runs pause after this many events.
        self.hold_after = None
        self.released = gevent.event.Event()

    def __call__(self, req, _sock):
        if req.line.startswith(b'POST /api/kv-move'):
            return self._move(req)
        if req.line.startswith(b'GET /safe/'):
            extra_headers = (
                (b'Server-Leaving: 1',) if self.announces_shutdown else ()
            )
            return [PAUSE_S, fakes.response(req, extra=extra_headers)]
        if not self.accepts_copies and b'kv-from' in req.headers:
            return fakes.response(
                req,
                b'full',
                status=b'503 Full',
                extra=(b'Rosemarypaddle-Not-Run: 1',),
            )
        return self._run(req)

    def _move(self, req):
        order = json.loads(req.body)
        self.moves.append(order)
        if self.move_status != 404:
            self.stopped.add(order['identifier'].encode())
        document = {} if self.move_status == 404 else {'handle': 'h7'}
        body = json.dumps(document).encode()
        return [
            2 * PAUSE_S,
            b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s'
            % (self.move_status, len(body), body),
        ]

    def _run(self, req):
        self.runs.append(req)
        self.stopped.discard(req.id)
        first = int(req.headers.get(b'last-event-id', b'0')) + 1
        yield fakes.stream_head(req)
        yield self.delay_s
        for number in range(first, LAST_EVENT + 1):
            if req.id in self.stopped:
                # An engine may stop in the middle of an event.
                yield b'20\r\nid: %d\nda' % number
                yield None
            yield fakes.event(number)
            if number == self.hold_after:
                self.released.wait(timeout=HOLD_TIMEOUT_S)
            yield self.pause_s
        yield fakes.STREAM_END


@pytest.fixture
def serve_movable(harness):
    """Return a function that starts a gateway with engines that move runs."""
    config = gateway_harness.build_engine_config()
    for route in config['routes']:
        if route['name'] == 'report':
            route['timeoutMs'] = STREAM_TIMEOUT_MS
    harness.controllers.config = config

    def serve(*engines):
        harness.serve(*engines)
        return harness

    return serve


def wait_for_events(harness, events):
    """Wait until the gateway has received ``events`` of the stream."""
    with gevent.Timeout(HOLD_TIMEOUT_S):
        while not any(
            stream.events >= events
            for streams in harness.gateway.components.moves._streams.values()
            for stream in streams
        ):
            gevent.sleep(0.005)


def mark_server_leaving(
    harness, engines, *, spot=True, in_ms=None, after_events=4
):
    """Mark the server that runs the stream as leaving; return its index.

    The stream has exactly ``after_events`` events by then.
    """
    for engine in engines:
        engine.hold_after = after_events
    wait_for_events(harness, after_events)
    number = next(i for i, engine in enumerate(engines) if engine.runs)
    servers = list(harness.controllers.servers)
    at_ms = harness.gateway.components.wall.now_ms() + in_ms if in_ms else 0
    servers[number] = attrs.evolve(
        servers[number], leaving=True, spot=spot, leaves_at_ms=at_ms
    )
    harness.controllers.servers = tuple(servers)
    harness.follower.step()
    for engine in engines:
        engine.hold_after = None
        engine.released.set()
    return number


def reject_copies(engines):
    """Make the server without the run reject copies of it."""
    while not any(engine.runs for engine in engines):
        gevent.sleep(0.01)
    for engine in engines:
        engine.accepts_copies = bool(engine.runs)


def event_ids(body):
    return [
        int(part.split(b'\n')[0])
        for part in body.replace(b'id: ', b'|').split(b'|')[1:]
    ]


def start_stream(harness, path='/report/x'):
    raw = request(
        path,
        method='POST',
        body=b'p',
        extra=(f'Rosemarypaddle-Token-Counts: 10,{LAST_EVENT}',),
        deadline_ms=STREAM_TIMEOUT_MS,
    )
    return gevent.spawn(exchange, harness, raw)


def test_a_stream_continues_when_its_server_is_reclaimed(serve_movable):
    # Guards against streams that are aborted when their server stops: 36 of
    # the 38 failed streams of a day with little load.
    engines = [Engine(), Engine()]
    harness = serve_movable(*engines)
    caller = start_stream(harness)
    number = mark_server_leaving(harness, engines)
    source, target = engines[number], engines[1 - number]
    status, _text, body = caller.get(timeout=5)
    assert status == 200 and body.endswith(b'0\r\n\r\n')
    assert event_ids(body) == list(range(1, LAST_EVENT + 1))
    (order,) = source.moves
    assert order['final'] is True
    assert order['target'] == harness.origins[1 - number].address
    (run,) = target.runs
    address = harness.origins[number].address.encode()
    assert run.headers[b'kv-from'] == address + b'/h7'
    # The urgency does not change.
    urgency = b'rosemarypaddle-request-urgency'
    assert run.headers[urgency] == source.runs[0].headers[urgency]
    assert run.id == source.runs[0].id


def test_a_stream_is_moved_once_its_server_announces_its_shutdown(
    serve_movable,
):
    # The response to another request announces it before the list does.
    engines = [Engine(), Engine()]
    for engine in engines:
        engine.pause_s = 2 * PAUSE_S
    harness = serve_movable(*engines)
    caller = start_stream(harness)
    wait_for_events(harness, 2)
    number = next(i for i, engine in enumerate(engines) if engine.runs)
    engines[number].announces_shutdown = True
    # Enough concurrent requests that the server of the stream gets some.
    lookups = [
        gevent.spawn(exchange, harness, request('/safe/x')) for _ in range(8)
    ]
    gevent.joinall(lookups)
    assert harness.gateway.components.notices.leaving_servers()
    status, _text, body = caller.get(timeout=8)
    assert status == 200 and event_ids(body) == list(range(1, LAST_EVENT + 1))
    assert engines[number].moves and engines[1 - number].runs


def test_a_stream_that_ends_before_its_server_stops_is_not_moved(
    serve_movable,
):
    # Guards against needless moves: most of 13 runs moved on a day with little
    # load would have ended in time.
    engines = [Engine(), Engine()]
    harness = serve_movable(*engines)
    caller = start_stream(harness)
    mark_server_leaving(harness, engines, in_ms=3_000)
    status, _text, body = caller.get(timeout=5)
    assert status == 200 and event_ids(body) == list(range(1, LAST_EVENT + 1))
    assert not any(engine.moves for engine in engines)


@pytest.mark.parametrize(
    'leaves_in_ms, remaining_ms, is_moved',
    [(1_200, 2_000, False), (800, 300, False), (800, 900, True)],
)
def test_a_stream_is_moved_only_if_it_would_not_end_in_time(
    serve_movable, leaves_in_ms, remaining_ms, is_moved
):
    # Guards against moves that begin long before the server stops, or of
    # streams that end in time.
    harness = serve_movable(Engine())
    components = harness.gateway.components
    stream = types.SimpleNamespace(
        call=types.SimpleNamespace(
            service='plain', has_event_id=True, has_data=True
        ),
        events=4,
        remaining_ms=lambda stride: remaining_ms,
    )
    server = attrs.evolve(
        harness.controllers.servers[0],
        leaving=True,
        leaves_at_ms=components.wall.now_ms() + leaves_in_ms,
    )
    assert components.moves._needs_move(stream, server) is is_moved


def test_a_stream_is_moved_late_but_before_its_server_stops(serve_movable):
    engines = [Engine(), Engine()]
    for engine in engines:
        engine.pause_s = 0.3
    harness = serve_movable(*engines)
    caller = start_stream(harness)
    number = mark_server_leaving(harness, engines, in_ms=1_500, after_events=2)
    gevent.sleep(0.3)
    assert not engines[number].moves
    gevent.sleep(0.8)
    assert engines[number].moves
    status, _text, body = caller.get(timeout=8)
    assert status == 200 and event_ids(body) == list(range(1, LAST_EVENT + 1))


def test_a_stream_that_starts_on_a_leaving_server_is_moved(serve_movable):
    # Guards against streams that are not moved because they had no event yet
    # when the list showed their server as leaving (three in one domain).
    engines = [Engine(), Engine()]
    for engine in engines:
        engine.delay_s = 5 * PAUSE_S
    harness = serve_movable(*engines)
    caller = start_stream(harness)
    number = mark_server_leaving(harness, engines, after_events=0)
    assert not engines[number].moves
    status, _text, body = caller.get(timeout=5)
    assert status == 200 and event_ids(body) == list(range(1, LAST_EVENT + 1))
    assert engines[number].moves and engines[1 - number].runs


def test_a_run_without_room_elsewhere_continues_on_its_server(serve_movable):
    # Guards against a run that is stopped for each of its further events,
    # because the server without room is asked again.
    engines = [Engine(move_status=503), Engine(move_status=503)]
    for engine in engines:
        engine.pause_s = 3 * PAUSE_S
    harness = serve_movable(*engines)
    caller = start_stream(harness)
    number = mark_server_leaving(harness, engines, after_events=2)
    status, _text, body = caller.get(timeout=8)
    assert len(engines[number].moves) == 1
    assert status == 200 and event_ids(body) == list(range(1, LAST_EVENT + 1))
    assert len(engines[number].runs) == 2
    assert not engines[1 - number].runs


def test_a_run_whose_copy_is_rejected_continues_on_its_server(serve_movable):
    # Guards against a second run of a request that must not be retried.
    engines = [Engine(), Engine()]
    harness = serve_movable(*engines)
    caller = start_stream(harness)
    reject_copies(engines)
    number = mark_server_leaving(harness, engines)
    status, _text, body = caller.get(timeout=5)
    assert status == 200 and event_ids(body) == list(range(1, LAST_EVENT + 1))
    assert len(engines[number].runs) == 2
    assert not engines[1 - number].runs


def test_a_server_that_rejected_a_copy_is_not_asked_again(serve_movable):
    # Guards against a run with more than 400 ms remaining that is stopped
    # repeatedly.
    engines = [Engine(), Engine()]
    for engine in engines:
        engine.pause_s = 3 * PAUSE_S
    harness = serve_movable(*engines)
    caller = start_stream(harness)
    reject_copies(engines)
    number = mark_server_leaving(harness, engines, after_events=2)
    status, _text, body = caller.get(timeout=8)
    assert status == 200 and event_ids(body) == list(range(1, LAST_EVENT + 1))
    assert len(engines[number].moves) == 1


def test_a_stream_is_aborted_if_no_server_accepts_its_copy(serve_movable):
    engines = [Engine(), Engine()]
    harness = serve_movable(*engines)
    caller = start_stream(harness)
    while not any(engine.runs for engine in engines):
        gevent.sleep(0.01)
    for engine in engines:
        engine.accepts_copies = False
    mark_server_leaving(harness, engines)
    status, _text, body = caller.get(timeout=5)
    assert status == 200 and not body.endswith(b'0\r\n\r\n')
    assert sum(len(engine.runs) for engine in engines) == 1


def test_a_run_that_cannot_be_moved_continues(serve_movable):
    # The run has ended meanwhile, or the server does not know it.
    engines = [Engine(move_status=404), Engine(move_status=404)]
    harness = serve_movable(*engines)
    caller = start_stream(harness)
    mark_server_leaving(harness, engines)
    status, _text, body = caller.get(timeout=5)
    assert status == 200 and event_ids(body) == list(range(1, LAST_EVENT + 1))
    assert sum(len(engine.runs) for engine in engines) == 1


def test_a_stream_that_ends_before_the_drain_is_not_moved(serve_movable):
    # A draining server continues for some seconds, and moves have a cost.
    engines = [Engine(), Engine()]
    harness = serve_movable(*engines)
    caller = start_stream(harness)
    mark_server_leaving(harness, engines, spot=False)
    status, _text, body = caller.get(timeout=5)
    assert status == 200 and event_ids(body) == list(range(1, LAST_EVENT + 1))
    assert not any(engine.moves for engine in engines)


def test_the_copy_header_of_a_caller_is_not_forwarded(serve_movable):
    engines = [Engine(), Engine()]
    harness = serve_movable(*engines)
    raw = request(
        '/report/x', method='POST', body=b'p', extra=('Kv-From: 10.0.0.1:1/x',)
    )
    assert exchange(harness, raw)[0] == 200
    (run,) = [run for engine in engines for run in engine.runs]
    assert b'kv-from' not in run.headers


def test_an_earlier_move_response_is_not_taken_for_the_own_one(serve_movable):
    # Guards against a run that goes on from the memory of another request.
    class RepeatingEngine(Engine):
        def __init__(self):
            super().__init__()
            self._used = set()

        def __call__(self, req, sock):
            is_used = sock in self._used
            self._used.add(sock)
            steps = super().__call__(req, sock)
            if is_used and req.line.startswith(b'POST /api/kv-move'):
                stale = b'{"handle": "other"}'
                size = b'%d' % len(stale)
                head = b'HTTP/1.1 200 OK\r\nContent-Length: ' + size
                return [head + b'\r\n\r\n' + stale, *steps]
            return steps

    engines = [RepeatingEngine(), RepeatingEngine()]
    harness = serve_movable(*engines)
    lookups = [
        gevent.spawn(exchange, harness, request('/safe/x')) for _ in range(8)
    ]
    gevent.joinall(lookups)
    for engine in engines:
        engine.pause_s = 1.5 * PAUSE_S
    caller = start_stream(harness)
    number = mark_server_leaving(harness, engines)
    status, _text, body = caller.get(timeout=5)
    assert status == 200 and event_ids(body) == list(range(1, LAST_EVENT + 1))
    (run,) = engines[1 - number].runs
    assert run.headers[b'kv-from'].endswith(b'/h7')
