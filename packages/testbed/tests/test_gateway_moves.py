"""Streams that go on at another server when theirs leaves."""

import copy
import json

import attrs
import gevent
import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

request = gateway_harness.request
exchange = gateway_harness.exchange

LAST = 8
PAUSE_S = 0.1


class Engine:
    """Script of a model engine that can stop a run and continue one."""

    def __init__(self, *, move_status=200, takes=True):
        self.move_status = move_status
        self.takes = takes
        self.moves = []
        self.runs = []
        self.stopped = set()
        self.delay_s = 0
        self.pause_s = PAUSE_S
        self.leaves = False

    def __call__(self, req, _sock):
        if req.line.startswith(b'POST /api/kv-move'):
            return self._move(req)
        if req.line.startswith(b'GET /safe/'):
            says = (b'Server-Leaving: 1',) if self.leaves else ()
            return [PAUSE_S, fakes.whole(req, extra=says)]
        if not self.takes and b'kv-from' in req.headers:
            return fakes.whole(
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
        for number in range(first, LAST + 1):
            if req.id in self.stopped:
                # Within an event, as an engine that stops may do.
                yield b'20\r\nid: %d\nda' % number
                yield None
            yield fakes.event(number)
            yield self.pause_s
        yield fakes.STREAM_END


@pytest.fixture
def moving(harness):
    """Return a function that serves by engines that move runs."""
    config = copy.deepcopy(gateway_harness.CONFIG)
    config['services'][0]['engine'] = {
        'slots': 4,
        'kvCacheTokens': 1000,
        'stride': 1,
        'moves': True,
    }
    harness.controllers.config = config

    def serve(*engines):
        harness.serve(*engines)
        return harness

    return serve


def leave(harness, engines, *, spot=True, in_ms=None):
    """Let the server that runs the stream leave; return its number."""
    while not any(engine.runs for engine in engines):
        gevent.sleep(0.01)
    gevent.sleep(3.5 * PAUSE_S)
    number = next(i for i, engine in enumerate(engines) if engine.runs)
    servers = list(harness.controllers.servers)
    at_ms = harness.gateway.parts.wall.now_ms() + in_ms if in_ms else 0
    servers[number] = attrs.evolve(
        servers[number], leaving=True, spot=spot, leaves_at_ms=at_ms
    )
    harness.controllers.servers = tuple(servers)
    harness.follower.step()
    return number


def take_no_copies(engines):
    """Let the server without the run reject copies of it."""
    while not any(engine.runs for engine in engines):
        gevent.sleep(0.01)
    for engine in engines:
        engine.takes = bool(engine.runs)


def ids(body):
    return [
        int(part.split(b'\n')[0])
        for part in body.replace(b'id: ', b'|').split(b'|')[1:]
    ]


def start(harness, path='/report/x'):
    raw = request(
        path,
        method='POST',
        body=b'p',
        extra=('Rosemarypaddle-Token-Counts: 10,8',),
    )
    return gevent.spawn(exchange, harness, raw)


def test_a_stream_goes_on_when_its_server_is_reclaimed(moving):
    # It was cut in the middle: 36 of 38 failed streams of a quiet day.
    engines = [Engine(), Engine()]
    harness = moving(*engines)
    caller = start(harness)
    number = leave(harness, engines)
    source, target = engines[number], engines[1 - number]
    status, _text, body = caller.get(timeout=5)
    assert status == 200 and body.endswith(b'0\r\n\r\n')
    assert ids(body) == list(range(1, LAST + 1))
    (order,) = source.moves
    assert order['final'] is True
    assert order['target'] == harness.origins[1 - number].address
    (run,) = target.runs
    address = harness.origins[number].address.encode()
    assert run.headers[b'kv-from'] == address + b'/h7'
    # It is as urgent there as before.
    urgency = b'rosemarypaddle-request-urgency'
    assert run.headers[urgency] == source.runs[0].headers[urgency]
    assert run.id == source.runs[0].id


def test_a_stream_is_moved_once_its_server_says_that_it_leaves(moving):
    # The answer to another request says so, and the list not yet.
    engines = [Engine(), Engine()]
    for engine in engines:
        engine.pause_s = 4 * PAUSE_S
    harness = moving(*engines)
    caller = start(harness)
    while not any(engine.runs for engine in engines):
        gevent.sleep(0.01)
    gevent.sleep(6 * PAUSE_S)
    number = next(i for i, engine in enumerate(engines) if engine.runs)
    engines[number].leaves = True
    # Enough at the same time that the server with the stream gets some.
    lookups = [
        gevent.spawn(exchange, harness, request('/safe/x')) for _ in range(8)
    ]
    gevent.joinall(lookups)
    assert harness.gateway.parts.notices.leaving_servers()
    status, _text, body = caller.get(timeout=8)
    assert status == 200 and ids(body) == list(range(1, LAST + 1))
    assert engines[number].moves and engines[1 - number].runs


def test_a_stream_that_ends_before_its_server_is_not_moved(moving):
    # Of 13 runs moved on a quiet day, the most would have ended in time.
    engines = [Engine(), Engine()]
    harness = moving(*engines)
    caller = start(harness)
    leave(harness, engines, in_ms=1_500)
    status, _text, body = caller.get(timeout=5)
    assert status == 200 and ids(body) == list(range(1, LAST + 1))
    assert not any(engine.moves for engine in engines)


def test_a_stream_is_moved_late_but_before_its_server_is_gone(moving):
    engines = [Engine(), Engine()]
    for engine in engines:
        engine.pause_s = 0.3
    harness = moving(*engines)
    caller = start(harness)
    number = leave(harness, engines, in_ms=1_500)
    gevent.sleep(0.3)
    assert not engines[number].moves
    gevent.sleep(0.8)
    assert engines[number].moves
    status, _text, body = caller.get(timeout=8)
    assert status == 200 and ids(body) == list(range(1, LAST + 1))


def test_a_stream_that_begins_at_a_leaving_server_is_moved(moving):
    # Three streams of a reclaimed domain had no event yet when the list
    # showed that their servers leave.
    engines = [Engine(), Engine()]
    for engine in engines:
        engine.delay_s = 5 * PAUSE_S
    harness = moving(*engines)
    caller = start(harness)
    number = leave(harness, engines)
    assert not engines[number].moves
    status, _text, body = caller.get(timeout=5)
    assert status == 200 and ids(body) == list(range(1, LAST + 1))
    assert engines[number].moves and engines[1 - number].runs


def test_a_run_without_room_elsewhere_goes_on_at_its_server(moving):
    engines = [Engine(move_status=503), Engine(move_status=503)]
    harness = moving(*engines)
    caller = start(harness)
    number = leave(harness, engines)
    status, _text, body = caller.get(timeout=5)
    assert status == 200 and ids(body) == list(range(1, LAST + 1))
    assert len(engines[number].runs) == 2
    assert not engines[1 - number].runs


def test_a_copy_that_is_not_taken_goes_on_at_its_server(moving):
    # Guards against a second run of a request that must not be repeated.
    engines = [Engine(), Engine()]
    harness = moving(*engines)
    caller = start(harness)
    take_no_copies(engines)
    number = leave(harness, engines)
    status, _text, body = caller.get(timeout=5)
    assert status == 200 and ids(body) == list(range(1, LAST + 1))
    assert len(engines[number].runs) == 2
    assert not engines[1 - number].runs


def test_a_server_that_took_no_copy_is_not_offered_another(moving):
    # A run with more than 400 ms to go was stopped again and again.
    engines = [Engine(), Engine()]
    for engine in engines:
        engine.pause_s = 3 * PAUSE_S
    harness = moving(*engines)
    caller = start(harness)
    take_no_copies(engines)
    number = leave(harness, engines)
    status, _text, body = caller.get(timeout=8)
    assert status == 200 and ids(body) == list(range(1, LAST + 1))
    assert len(engines[number].moves) == 1


def test_a_copy_that_nobody_takes_ends_the_stream(moving):
    engines = [Engine(), Engine()]
    harness = moving(*engines)
    caller = start(harness)
    while not any(engine.runs for engine in engines):
        gevent.sleep(0.01)
    for engine in engines:
        engine.takes = False
    leave(harness, engines)
    status, _text, body = caller.get(timeout=5)
    assert status == 200 and not body.endswith(b'0\r\n\r\n')
    assert sum(len(engine.runs) for engine in engines) == 1


def test_a_run_that_cannot_be_moved_goes_on(moving):
    # The run ended meanwhile, or the server knows nothing of it.
    engines = [Engine(move_status=404), Engine(move_status=404)]
    harness = moving(*engines)
    caller = start(harness)
    leave(harness, engines)
    status, _text, body = caller.get(timeout=5)
    assert status == 200 and ids(body) == list(range(1, LAST + 1))
    assert sum(len(engine.runs) for engine in engines) == 1


def test_a_stream_that_ends_in_time_is_not_moved(moving):
    # A server that drains serves on for some seconds; moves are priced.
    engines = [Engine(), Engine()]
    harness = moving(*engines)
    caller = start(harness)
    leave(harness, engines, spot=False)
    status, _text, body = caller.get(timeout=5)
    assert status == 200 and ids(body) == list(range(1, LAST + 1))
    assert not any(engine.moves for engine in engines)


def test_a_caller_cannot_name_a_copy(moving):
    engines = [Engine(), Engine()]
    harness = moving(*engines)
    raw = request(
        '/report/x', method='POST', body=b'p', extra=('Kv-From: 10.0.0.1:1/x',)
    )
    assert exchange(harness, raw)[0] == 200
    (run,) = [run for engine in engines for run in engine.runs]
    assert b'kv-from' not in run.headers
