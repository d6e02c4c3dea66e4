"""Tests of streams that broke off and whose next server sends no rest.

The caller gets the rest of its stream from a server, or a stream that is
visibly broken off.
"""

import copy

import gevent
import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

request = gateway_harness.request

ALL_EVENTS = list(range(1, 7))
FOREIGN = b'foreign'
NOT_RUN = b'Rosemarypaddle-Not-Run: 1'
EVENT_STREAM = b'Content-Type: text/event-stream'


def respond(status, *headers, body=FOREIGN):
    """Return a script that answers with a complete response."""

    def script(req):
        return [fakes.response(req, body, status=status, extra=headers)]

    return script


def send_stream(*chunks, head=fakes.stream_head):
    """Return a script that answers with ``chunks`` of a stream."""
    return lambda req: [head(req), *chunks, fakes.STREAM_END]


def chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


def unsigned_head(req):
    return fakes.stream_head(req).replace(fakes.STAMP + b'\r\n', b'')


def html_head(req):
    return fakes.stream_head(req).replace(b'event-stream', b'html')


def unframed(req):
    head = b'Transfer-Encoding: chunked'
    data = fakes.stream_head(req).replace(head, b'Connection: close')
    return [data + FOREIGN, None]


WRONG_RESTS = {
    '400': respond(b'400 Bad'),
    '404': respond(b'404 Not Found', EVENT_STREAM),
    '404 without a body': respond(b'404 Not Found', body=b''),
    '429 that may have run': respond(b'429 Slow'),
    '500': respond(b'500 Failed'),
    '503 that has not run': respond(b'503 Full', NOT_RUN),
    '302': respond(b'302 Found', b'Location: /other'),
    '204': lambda req: [
        b'HTTP/1.1 204 No\r\nRosemarypaddle-Request-Id: %s\r\n%s\r\n\r\n'
        % (req.id, fakes.STAMP)
    ],
    'a plain success': respond(b'200 OK', b'Content-Type: text/plain'),
    'a plain success of events': respond(
        b'200 OK',
        b'Content-Type: text/plain',
        body=b'id: 9\ndata: foreign\n\n',
    ),
    'no content type': respond(b'200 OK'),
    'an encoded stream': respond(
        b'200 OK', EVENT_STREAM, b'Content-Encoding: gzip'
    ),
    'another type': send_stream(chunk(FOREIGN), head=html_head),
    'unsigned': send_stream(fakes.event(5), head=unsigned_head),
    'text in a stream': send_stream(chunk(FOREIGN)),
    'text before events': send_stream(chunk(FOREIGN + b'\n\n')),
    'text without an end': unframed,
    'the start again': send_stream(
        *[fakes.event(number, FOREIGN) for number in ALL_EVENTS]
    ),
    'the last event again': send_stream(fakes.event(4, FOREIGN)),
    'bytes that are not HTTP': lambda req: [b'\x00' + FOREIGN, None],
    'nothing': lambda req: [None],
}


class BreakingServers:
    """A script for all servers: breaks the first attempt off.

    The attempts after it are answered by ``rests`` in turn, then by the rest
    of the stream.
    """

    def __init__(self, *rests, first=4):
        self.rests = list(rests)
        self.first = first
        self.attempts = []

    def __call__(self, req, _sock):
        self.attempts.append(req)
        if len(self.attempts) == 1:
            events = ALL_EVENTS[: self.first]
            tail = b'20\r\nid: 5\nda'
            return [
                fakes.stream_head(req),
                *map(fakes.event, events),
                tail,
                None,
            ]
        if self.rests:
            return self.rests.pop(0)(req)
        begin = int(req.headers.get(b'last-event-id', b'0'))
        return [
            fakes.stream_head(req),
            *map(fakes.event, ALL_EVENTS[begin:]),
            fakes.STREAM_END,
        ]


def serve(harness, script, attempts):
    harness.controllers.config = copy.deepcopy(gateway_harness.CONFIG)
    for route in harness.controllers.config['routes']:
        route['attempts'] = attempts
    harness.serve(*[script] * 3)


def tick():
    """Keep the event loop turning, as the timers of a program do."""
    while True:
        gevent.sleep(0.02)


def read_stream(harness, version):
    """Return the bytes that a caller reads and whether they look complete."""
    # A reset is only sent in a later turn of the event loop.
    timer = gevent.spawn(tick) if version == b'1.0' else None
    raw = request('/chat/x', method='POST', body=b'p')
    sock = harness.connect()
    sock.sendall(raw.replace(b'HTTP/1.1', b'HTTP/' + version))
    data = b''
    is_reset = False
    try:
        while more := sock.recv(65_536):
            data += more
            if data.endswith(b'\r\n' + fakes.STREAM_END):
                break
    except ConnectionResetError:
        is_reset = True
    sock.close()
    if timer is not None:
        timer.kill()
    head, _end, body = data.partition(b'\r\n\r\n')
    if b'chunked' in head:
        return head, body, body.endswith(b'\r\n' + fakes.STREAM_END)
    return head, body, not is_reset


def event_ids(body):
    return [int(part.split(b'\n')[0]) for part in body.split(b'id: ')[1:]]


@pytest.mark.parametrize('version', [b'1.1', b'1.0'])
@pytest.mark.parametrize('name', WRONG_RESTS)
def test_a_stream_whose_next_server_fails_is_visibly_broken_off(
    harness, name, version
):
    # Guards against an error in the middle of a stream, and against a stream
    # that ends there as if it were complete.
    script = BreakingServers(WRONG_RESTS[name])
    serve(harness, script, 2)
    head, body, is_complete = read_stream(harness, version)
    assert b' 200 ' in head
    assert FOREIGN not in body and b'HTTP/' not in body
    assert len(script.attempts) == 2
    assert not is_complete
    if version == b'1.1':
        # A reset may destroy what the caller has not read.
        assert event_ids(body) == ALL_EVENTS[:4]


@pytest.mark.parametrize('name', WRONG_RESTS)
def test_a_stream_is_resumed_after_the_error_of_a_server(harness, name):
    # Guards against an error that ends the stream though a further attempt is
    # allowed.
    script = BreakingServers(WRONG_RESTS[name])
    serve(harness, script, 3)
    _head, body, is_complete = read_stream(harness, b'1.1')
    assert FOREIGN not in body
    assert event_ids(body) == ALL_EVENTS
    assert is_complete and len(script.attempts) == 3


def test_a_stream_that_broke_after_its_last_event_ends(harness):
    # The next server has nothing more to send.
    script = BreakingServers(send_stream(), first=6)
    serve(harness, script, 2)
    _head, body, is_complete = read_stream(harness, b'1.1')
    assert event_ids(body) == ALL_EVENTS and is_complete


def test_an_internal_error_does_not_end_a_stream_as_complete(
    harness, monkeypatch
):
    # The response to a caller of HTTP/1.0 ends with its connection.
    script = BreakingServers()
    serve(harness, script, 2)
    components = harness.gateway.components
    find_server = components.server

    def fail_after_first(server_id):
        if script.attempts:
            raise KeyError(server_id)
        return find_server(server_id)

    monkeypatch.setattr(components, 'server', fail_after_first)
    assert not read_stream(harness, b'1.0')[2]


@pytest.mark.parametrize('events', [b'data: x\n\n', b'data: y\n\n: ping\n\n'])
def test_a_stream_without_event_ids_is_not_joined_to_another_run(
    harness, events
):
    # Guards against events that come twice: the next server begins anew.
    def script(req, _sock):
        return [fakes.stream_head(req), chunk(events), None]

    serve(harness, script, 2)
    _head, body, is_complete = read_stream(harness, b'1.1')
    assert body.count(b'data:') == 1 and not is_complete
    assert len(harness.requests) == 1


def test_a_stream_that_broke_after_a_comment_starts_again(harness):
    script = BreakingServers()

    def comment_first(req, sock):
        if script.attempts:
            return script(req, sock)
        script.attempts.append(req)
        return [fakes.stream_head(req), chunk(b': ping\n\n'), None]

    serve(harness, comment_first, 2)
    _head, body, is_complete = read_stream(harness, b'1.1')
    assert event_ids(body) == ALL_EVENTS and is_complete


def test_a_stream_is_resumed_after_an_event_id_of_many_digits(harness):
    # Guards against an internal error instead of a further attempt: int()
    # rejects more than 4,300 digits.
    repeated = b'id: ' + b'0' * 5_000 + b'1\ndata: x\n\n'
    script = BreakingServers(send_stream(chunk(repeated)))
    serve(harness, script, 3)
    _head, body, is_complete = read_stream(harness, b'1.1')
    assert event_ids(body) == ALL_EVENTS
    assert is_complete and len(script.attempts) == 3


@pytest.mark.parametrize(
    'block',
    [b'retry: 100\n\n', b'event: ping\n\n', b'data\n\n'],
    ids=['retry', 'event', 'data without a colon'],
)
def test_a_block_of_other_fields_is_a_part_of_a_resumed_stream(harness, block):
    # Guards against a sound stream that is broken off.
    rest = [fakes.event(number) for number in ALL_EVENTS[4:]]
    script = BreakingServers(send_stream(chunk(block), *rest))
    serve(harness, script, 2)
    _head, body, is_complete = read_stream(harness, b'1.1')
    assert event_ids(body) == ALL_EVENTS and is_complete
