"""Tests of servers that announce a shutdown or a quiet time in responses.

A scripted server that is leaving sets a header in all its responses; one that
is full rejects requests with a quiet time in Retry-After.
"""

import itertools
import time

import gevent
import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

request = gateway_harness.request
exchange = gateway_harness.exchange
respond_ok = gateway_harness.respond_ok

LEAVING = b'Server-Leaving: 1'
NOT_RUN = b'Rosemarypaddle-Not-Run: 1'
REQUESTS = 20
PAUSE_S = 0.02
BOOKING = {'method': 'POST', 'body': b'b'}
CHAT = {'method': 'POST', 'body': b'p'}


def announce_shutdown(req, _sock):
    return fakes.response(req, extra=(LEAVING,))


def announce_shutdown_and_fail(req, _sock):
    return fakes.response(req, status=b'500 Failed', extra=(LEAVING,))


def announce_shutdown_and_stream(req, _sock):
    head = fakes.stream_head(req, extra=(LEAVING,))
    return [head, fakes.event(1), 0.05, fakes.event(2), fakes.STREAM_END]


def stream(req, _sock):
    begin = int(req.headers.get(b'last-event-id', b'0')) + 1
    events = [fakes.event(number) for number in range(begin, 3)]
    return [fakes.stream_head(req), *events, fakes.STREAM_END]


def announce_shutdown_and_break(req, _sock):
    head = fakes.stream_head(req, extra=(LEAVING,))
    return [head, fakes.event(1), None]


def announce_shutdown_and_reject(req, _sock):
    return fakes.response(
        req, b'', status=b'503 Stopping', extra=(LEAVING, NOT_RUN)
    )


def announce_shutdown_in_stale_response(req, _sock):
    """Send a duplicate of an old response with the announcement first."""
    stray = fakes.Received(b'GET / HTTP/1.1', b'')
    stray.headers = {b'rosemarypaddle-request-id': b'other'}
    return fakes.response(stray, b'old', extra=(LEAVING,)) + fakes.response(
        req
    )


def reject_with_quiet_time(value):
    """Return a script that rejects requests for ``value`` seconds."""

    def script(req, _sock):
        retry_after = b'Retry-After: ' + value
        return fakes.response(
            req, b'', status=b'503 Full', extra=(NOT_RUN, retry_after)
        )

    return script


def reject_once_with_quiet_time(value, good=respond_ok):
    """Return a script that rejects the first request only."""
    count = itertools.count()
    reject = reject_with_quiet_time(value)

    def script(req, sock):
        return good(req, sock) if next(count) else reject(req, sock)

    return script


def record_request_times(origin):
    """Record the arrival times of requests at ``origin`` in a list."""
    times = []
    script = origin.script

    def timed(req, sock):
        times.append(time.monotonic())
        return script(req, sock)

    origin.script = timed
    return times


def send_requests(harness, path, count=REQUESTS, **options):
    """Send requests in sequence; return their statuses."""
    statuses = []
    for number in range(count):
        raw = request(f'{path}{number}', **options)
        statuses.append(exchange(harness, raw)[0])
        gevent.sleep(PAUSE_S)
    return statuses


# Shutdown


@pytest.mark.parametrize(
    ('script', 'good', 'path', 'options'),
    [
        (announce_shutdown, respond_ok, '/safe/', {}),
        (announce_shutdown, respond_ok, '/book/', BOOKING),
        (announce_shutdown_and_fail, respond_ok, '/safe/', {}),
        (announce_shutdown_and_reject, respond_ok, '/safe/', {}),
        (announce_shutdown_in_stale_response, respond_ok, '/safe/', {}),
        (announce_shutdown_and_stream, stream, '/chat/', CHAT),
        (announce_shutdown_and_break, stream, '/chat/', CHAT),
    ],
)
def test_a_server_that_announces_its_shutdown_gets_no_more_requests(
    harness, script, good, path, options
):
    # Guards against requests to a leaving server until the list shows it.
    harness.serve(script, good)
    send_requests(harness, path, **options)
    assert len(harness.origins[0].requests) <= 1
    assert len(harness.origins[1].requests) >= REQUESTS - 1


def test_a_broken_stream_is_resumed_on_a_server_that_is_not_leaving(harness):
    harness.serve(
        announce_shutdown_and_break, announce_shutdown_and_break, stream
    )
    statuses = send_requests(harness, '/chat/', count=6, **CHAT)
    assert statuses == [200] * 6
    assert len(harness.origins[0].requests) <= 1
    assert len(harness.origins[1].requests) <= 1


def test_a_notice_of_another_incarnation_is_ignored(
    harness,
):
    # Addresses are reused: a 421 comes from the server that uses it now.
    count = itertools.count()

    def script(req, sock):
        if next(count):
            return respond_ok(req, sock)
        return fakes.response(req, b'', status=b'421 Other', extra=(LEAVING,))

    harness.serve(script)
    send_requests(harness, '/safe/', count=1)
    (listed,) = harness.controllers.servers
    assert not harness.gateway.components.notices.is_leaving(
        listed.incarnation
    )


@pytest.mark.parametrize('change', ['list', 'configuration', 'reload'])
def test_a_leaving_notice_survives_older_information(harness, change):
    # An older list shows the server as ready; controllers may not know yet.
    harness.serve(announce_shutdown, respond_ok)
    send_requests(harness, '/safe/', count=6)
    if change == 'list':
        harness.controllers.servers = tuple(
            reversed(harness.controllers.servers)
        )
    elif change == 'configuration':
        harness.controllers.config = {
            **harness.controllers.config,
            'version': 6,
        }
    else:
        harness.gateway.reload(('c:2',))
    harness.follower.step()
    send_requests(harness, '/safe/')
    assert len(harness.origins[0].requests) <= 1


def test_a_new_incarnation_under_the_same_id_is_not_leaving(harness):
    harness.serve(announce_shutdown, respond_ok)
    send_requests(harness, '/safe/', count=6)
    harness.origins[0].script = respond_ok
    harness.set_servers(born_ms=1_000)
    send_requests(harness, '/safe/')
    assert len(harness.origins[0].requests) > 2


def test_a_service_whose_servers_all_leave_is_served_until_the_drain_ends(
    harness, events
):
    # The drain time is 3 s, of which the gateway does not use the last 0.5 s.
    harness.serve(announce_shutdown, announce_shutdown)
    statuses = send_requests(harness, '/safe/')
    assert statuses == [200] * REQUESTS
    gevent.sleep(2.6)
    assert send_requests(harness, '/safe/', count=3) == [503] * 3
    assert [number for number in events.numbers if number == 3332] == [3332]


def test_leaving_servers_are_reported_to_the_controller(harness):
    harness.serve(announce_shutdown, respond_ok)
    leaving, _other = harness.origins
    for _ in range(60):
        # Of two idle servers, one is chosen at random.
        if leaving.requests:
            break
        send_requests(harness, '/safe/', count=1)
    harness.follower.step()
    (report,) = harness.controllers.requests[-1].reports
    assert [item.id for item in report.leaving] == ['i-0']


# Quiet times


@pytest.mark.parametrize(
    ('path', 'options'), [('/safe/', {}), ('/book/', BOOKING)]
)
def test_the_only_server_gets_no_request_during_its_quiet_time(
    harness, path, options
):
    # Guards against requests in the quiet time: 28 of 38 within 1.9 s.
    harness.serve(reject_with_quiet_time(b'2'))
    times = record_request_times(harness.origins[0])
    end_s = time.monotonic() + 1.9
    while time.monotonic() < end_s:
        exchange(harness, request(f'{path}x', **options))
        gevent.sleep(PAUSE_S)
    # Requests with enough time may have waited for the end of it.
    assert all(at_s - times[0] >= 2 for at_s in times[1:])


def test_another_server_is_used_during_a_quiet_time(harness):
    # Guards against a failure penalty that ends before the quiet time.
    harness.serve(reject_once_with_quiet_time(b'1.5'), respond_ok)
    times = record_request_times(harness.origins[0])
    end_s = time.monotonic() + 2.5
    statuses = []
    while time.monotonic() < end_s:
        statuses.append(exchange(harness, request('/safe/x'))[0])
        gevent.sleep(PAUSE_S)
    assert set(statuses) == {200}
    first, *later = times
    assert later and later[0] - first >= 1.5


def test_a_rejected_caller_gets_the_expected_waiting_time(harness):
    harness.serve(reject_with_quiet_time(b'2'))
    exchange(harness, request('/book/x', **BOOKING))
    status, text, _body = exchange(harness, request('/book/y', **BOOKING))
    assert status == 503
    retry_after_s = float(text.split('retry-after:')[1].split()[0])
    assert 1.7 < retry_after_s < 3.0


def test_waiting_requests_are_served_in_order_of_rank(harness):
    # The chat has a higher rank than the lookups that arrived before it.
    harness.controllers.config = {
        **harness.controllers.config,
        'routes': [
            {**route, 'priority': 0 if route['name'] == 'chat' else 2}
            for route in harness.controllers.config['routes']
        ],
    }

    def serves(req, sock):
        if b'/chat/' in req.line:
            return stream(req, sock)
        return respond_ok(req, sock)

    harness.serve(reject_once_with_quiet_time(b'0.6', serves))
    exchange(harness, request('/book/x', **BOOKING))
    callers = []
    for raw in (
        request('/safe/x'),
        request('/safe/y'),
        request('/chat/x', **CHAT),
    ):
        callers.append(gevent.spawn(exchange, harness, raw))
        gevent.sleep(0.05)
    gevent.joinall(callers)
    assert [item.value[0] for item in callers] == [200] * 3
    lines = [req.line.split()[1] for req in harness.requests[1:]]
    assert lines[0] == b'/chat/x'


def test_a_request_that_waits_for_one_server_does_not_block_others(harness):
    # Its first server broke the response, the other one is in its quiet time.
    # Guards against later requests that wait behind it although the first
    # server accepts them.
    count = itertools.count()

    def breaks(req, _sock):
        if b'/safe/first' in req.line:
            return [b'', None]
        return fakes.response(req)

    harness.serve(reject_once_with_quiet_time(b'1'), breaks)
    while not harness.origins[0].requests:
        exchange(harness, request(f'/book/{next(count)}', **BOOKING))
    waiting = gevent.spawn(exchange, harness, request('/safe/first'))
    gevent.sleep(0.1)
    assert harness.gateway.components.waiting.count == 1
    with gevent.Timeout(0.3):
        assert exchange(harness, request('/safe/later'))[0] == 200
    assert waiting.get(timeout=3)[0] == 200


def test_the_next_waiting_request_is_served_if_the_first_disconnects(harness):
    # Only the first waiting request has a timer for the end of the quiet time.
    harness.serve(reject_once_with_quiet_time(b'0.8'))
    exchange(harness, request('/book/x', **BOOKING))
    first = harness.connect()
    first.sendall(request('/safe/first'))
    gevent.sleep(0.05)
    second = gevent.spawn(exchange, harness, request('/safe/second'))
    gevent.sleep(0.1)
    first.close()
    with gevent.Timeout(1.0):
        assert second.get()[0] == 200


def test_load_returns_gradually_after_a_quiet_time(harness):
    # Guards against all waiting requests being sent in the same ms.
    def slow(req, _sock):
        return [0.1, fakes.response(req)]

    harness.serve(reject_once_with_quiet_time(b'0.5', slow))
    exchange(harness, request('/book/x', **BOOKING))
    times = record_request_times(harness.origins[0])
    callers = [
        gevent.spawn(exchange, harness, request(f'/safe/{number}'))
        for number in range(4)
    ]
    gevent.joinall(callers)
    assert [item.value[0] for item in callers] == [200] * 4
    assert times[1] - times[0] >= 0.09


@pytest.mark.parametrize(
    'value',
    [
        b'Fri, 04 Dec 2026 12:00:00 GMT',
        b'-5',
        b'inf',
        b'nan',
        b'1e9',
        b'two',
        b'',
        b'9' * 4_000,
    ],
)
def test_a_server_with_an_invalid_quiet_time_is_still_used(
    harness, value, events
):
    harness.serve(reject_once_with_quiet_time(value))
    exchange(harness, request('/safe/x'))
    gevent.sleep(0.35)
    (listed,) = harness.controllers.servers
    until_ms = harness.gateway.components.notices.quiet_until_ms(
        listed.incarnation
    )
    assert (until_ms or 0) - harness.gateway.clock.now_ms() <= 60_000
    if value != b'9' * 4_000:
        assert exchange(harness, request('/safe/y'))[0] == 200
    assert 3331 in events.numbers


def test_notices_from_all_attempts_of_a_request_are_applied(harness):
    harness.serve(
        reject_with_quiet_time(b'5'), announce_shutdown_and_reject, respond_ok
    )
    send_requests(harness, '/safe/')
    assert len(harness.origins[0].requests) <= 1
    assert len(harness.origins[1].requests) <= 1


def test_pipelined_requests_respect_the_quiet_time(harness):
    harness.serve(reject_with_quiet_time(b'5'))
    sock = harness.connect()
    sock.sendall(request('/safe/1') + request('/safe/2') + request('/safe/3'))
    data = b''
    with gevent.Timeout(5):
        while data.count(b'HTTP/1.1 503') < 3:
            data += sock.recv(65_536)
    assert len(harness.requests) == 1


def test_a_suspended_gateway_respects_the_quiet_time(harness):
    # The clock advances while the process is suspended.
    harness.serve(reject_with_quiet_time(b'1'))
    times = record_request_times(harness.origins[0])
    exchange(harness, request('/book/x', **BOOKING))
    waiting = gevent.spawn(exchange, harness, request('/book/y', **BOOKING))
    gevent.sleep(0.05)
    time.sleep(0.5)
    waiting.join()
    # It waited for the rest of the quiet time, not for all of it again.
    assert 1.0 <= times[1] - times[0] < 1.3
