"""Random sequences of faulty answers, judged by what callers and servers see.

Servers repeat refusals of earlier requests, refuse, lose answers and break
streams off at any byte; the next server goes on, fails or sends other text.
"""

import copy
import random

import gevent
import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

SEEDS = range(12)
REQUESTS = 24
CALLERS = 4
LAST_EVENT = 5
ROUTES = ('safe', 'book', 'chat', 'report')
IDEMPOTENT = {'safe', 'chat'}
REFUSALS = {408, 421, 429, 503}
NOT_RUN = b'Rosemarypaddle-Not-Run: 1'


class FaultyServer:
    """Answers at random as one of several faulty servers would."""

    def __init__(self, rng, runs, earlier):
        self._rng = rng
        self._runs = runs
        # Ids of requests that any server has had.
        self._earlier = earlier
        self._used = set()

    def __call__(self, req, sock):
        is_used = sock in self._used
        self._used.add(sock)
        steps = []
        if is_used and self._earlier and self._rng.random() < 0.4:
            steps = [self._refusal(self._rng.choice(self._earlier)), 0.01]
        self._earlier.append(req.id)
        fault = self._rng.random()
        if fault < 0.2:
            return [*steps, self._refusal(req.id, retry_after=fault / 2)]
        self._runs.append(req)
        if fault < 0.3:
            return [*steps, None]
        if fault < 0.4:
            status = self._rng.choice([b'404 No', b'500 No', b'503 No'])
            return [*steps, fakes.response(req, b'foreign', status=status)]
        if b'/chat/' in req.line or b'/report/' in req.line:
            return [*steps, *self._stream(req)]
        return [*steps, fakes.response(req, req.id)]

    def _refusal(self, request_id, retry_after=None):
        refused = fakes.Received(b'', b'')
        refused.headers[b'rosemarypaddle-request-id'] = request_id
        extra = [NOT_RUN]
        if retry_after is not None:
            extra.append(b'Retry-After: %.2f' % retry_after)
        data = fakes.response(refused, b'', status=b'503 No', extra=extra)
        if retry_after is None and self._rng.random() < 0.3:
            return data.replace(b'Rosemarypaddle-Request-Id', b'X-Other')
        return data

    def _stream(self, req):
        begin = int(req.headers.get(b'last-event-id', b'0'))
        if self._rng.random() < 0.1:
            begin = 0
        events = range(begin + 1, LAST_EVENT + 1)
        data = b''.join(fakes.event(number, req.id) for number in events)
        if begin and self._rng.random() < 0.2:
            return [fakes.response(req, b'foreign')]
        if self._rng.random() < 0.6:
            cut = self._rng.randrange(len(data) + 1)
            return [fakes.stream_head(req), data[:cut], None]
        return [fakes.stream_head(req), data, fakes.STREAM_END]


def send(harness, route, request_id):
    raw = gateway_harness.request(f'/{route}/x', method='POST', body=b'b')
    head, _name, rest = raw.partition(b'Rosemarypaddle-Request-Id: ')
    if request_id is not None:
        head += b'Rosemarypaddle-Request-Id: ' + request_id + b'\r\n'
    return gateway_harness.exchange(harness, head + rest.partition(b'\r\n')[2])


def decode(body):
    """Return the content of a chunked body and whether it has its end."""
    is_complete = body.endswith(fakes.STREAM_END)
    content = b''
    while body and body != b'<closed>':
        size, _end, body = body.partition(b'\r\n')
        content += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]
    return content, is_complete


def expected_stream(request_id):
    return [
        b'id: %d\ndata: %s\n\n' % (number, request_id)
        for number in range(1, LAST_EVENT + 1)
    ]


def check_answer(route, request_id, answer, runs):
    """Check one answer against REFUSED, TWICE, ORDER and MIXED."""
    status, _text, body = answer
    own = [req for req in runs if req.id == request_id]
    if route not in IDEMPOTENT:
        assert len(own) <= 1
        assert not (own and status in REFUSALS)
    if status != 200:
        return
    if route in ('safe', 'book'):
        assert body == request_id
        return
    content, is_complete = decode(body)
    events = expected_stream(request_id)
    assert content in [b''.join(events[:count]) for count in range(6)]
    assert not is_complete or content == b''.join(events)


@pytest.mark.parametrize('seed', SEEDS)
def test_no_sequence_of_faulty_answers_reaches_a_caller(harness, seed):
    rng = random.Random(seed)
    runs, earlier = [], []
    harness.controllers.config = copy.deepcopy(gateway_harness.CONFIG)
    for route in harness.controllers.config['routes']:
        route['attempts'] = 3
    harness.serve(*[FaultyServer(rng, runs, earlier) for _ in range(3)])
    requests = [
        (rng.choice(ROUTES), b's%d-%d' % (seed, number))
        for number in range(REQUESTS)
    ]
    answers = {}

    def call(items):
        for route, request_id in items:
            answers[request_id] = send(harness, route, request_id)

    callers = [
        gevent.spawn(call, requests[number::CALLERS])
        for number in range(CALLERS)
    ]
    gevent.joinall(callers, raise_error=True)
    for route, request_id in requests:
        check_answer(route, request_id, answers[request_id], runs)
