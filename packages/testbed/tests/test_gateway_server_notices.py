"""Servers that say in their answers that they leave or want no requests.

Both are scripted: a server that leaves sets a header in all its answers, one
that is full turns requests away and names a time.
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


def leaves(req, _sock):
    return fakes.whole(req, extra=(LEAVING,))


def leaves_and_fails(req, _sock):
    return fakes.whole(req, status=b'500 Failed', extra=(LEAVING,))


def leaves_and_streams(req, _sock):
    head = fakes.stream_head(req, extra=(LEAVING,))
    return [head, fakes.event(1), 0.05, fakes.event(2), fakes.STREAM_END]


def streams(req, _sock):
    begin = int(req.headers.get(b'last-event-id', b'0')) + 1
    events = [fakes.event(number) for number in range(begin, 3)]
    return [fakes.stream_head(req), *events, fakes.STREAM_END]


def leaves_and_breaks(req, _sock):
    head = fakes.stream_head(req, extra=(LEAVING,))
    return [head, fakes.event(1), None]


def leaves_and_rejects(req, _sock):
    return fakes.whole(
        req, b'', status=b'503 Stopping', extra=(LEAVING, NOT_RUN)
    )


def leaves_too_late(req, _sock):
    """Answer another request first, as a second copy of an old answer."""
    stray = fakes.Received(b'GET / HTTP/1.1', b'')
    stray.headers = {b'rosemarypaddle-request-id': b'other'}
    return fakes.whole(stray, b'old', extra=(LEAVING,)) + fakes.whole(req)


def quiet_for(value):
    """Return a script that turns requests away for ``value`` seconds."""

    def script(req, _sock):
        wish = b'Retry-After: ' + value
        return fakes.whole(req, b'', status=b'503 Full', extra=(NOT_RUN, wish))

    return script


def quiet_once(value, good=respond_ok):
    """Return a script that turns the first request away, then serves."""
    count = itertools.count()
    turns_away = quiet_for(value)

    def script(req, sock):
        return good(req, sock) if next(count) else turns_away(req, sock)

    return script


def times_of(origin):
    """Record when requests arrive at ``origin``; return the list."""
    times = []
    script = origin.script

    def timed(req, sock):
        times.append(time.monotonic())
        return script(req, sock)

    origin.script = timed
    return times


def ask_all(harness, path, count=REQUESTS, **options):
    """Send requests one after the other; return their statuses."""
    statuses = []
    for number in range(count):
        raw = request(f'{path}{number}', **options)
        statuses.append(exchange(harness, raw)[0])
        gevent.sleep(PAUSE_S)
    return statuses


# Leaving


@pytest.mark.parametrize(
    ('script', 'good', 'path', 'options'),
    [
        (leaves, respond_ok, '/safe/', {}),
        (leaves, respond_ok, '/book/', BOOKING),
        (leaves_and_fails, respond_ok, '/safe/', {}),
        (leaves_and_rejects, respond_ok, '/safe/', {}),
        (leaves_too_late, respond_ok, '/safe/', {}),
        (leaves_and_streams, streams, '/chat/', CHAT),
        (leaves_and_breaks, streams, '/chat/', CHAT),
    ],
)
def test_a_server_that_says_it_leaves_is_not_asked_again(
    harness, script, good, path, options
):
    # It was asked as often as the others until a list showed it leaving.
    harness.serve(script, good)
    ask_all(harness, path, **options)
    assert len(harness.origins[0].requests) <= 1
    assert len(harness.origins[1].requests) >= REQUESTS - 1


def test_a_stream_that_breaks_off_goes_on_at_a_server_that_stays(harness):
    harness.serve(leaves_and_breaks, leaves_and_breaks, streams)
    statuses = ask_all(harness, '/chat/', count=6, **CHAT)
    assert statuses == [200] * 6
    assert len(harness.origins[0].requests) <= 1
    assert len(harness.origins[1].requests) <= 1


def test_an_answer_of_another_incarnation_says_nothing_about_the_listed(
    harness,
):
    # Addresses are used again: a 421 comes from whoever has it now.
    count = itertools.count()

    def script(req, sock):
        if next(count):
            return respond_ok(req, sock)
        return fakes.whole(req, b'', status=b'421 Other', extra=(LEAVING,))

    harness.serve(script)
    ask_all(harness, '/safe/', count=1)
    (listed,) = harness.controllers.servers
    assert not harness.gateway.parts.notices.is_leaving(listed.incarnation)


@pytest.mark.parametrize('change', ['list', 'configuration', 'reload'])
def test_leaving_is_kept_over_what_knows_less(harness, change):
    # An older list still says ready, and a controller may not know yet.
    harness.serve(leaves, respond_ok)
    ask_all(harness, '/safe/', count=6)
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
    ask_all(harness, '/safe/')
    assert len(harness.origins[0].requests) <= 1


def test_a_new_incarnation_under_the_same_id_starts_fresh(harness):
    harness.serve(leaves, respond_ok)
    ask_all(harness, '/safe/', count=6)
    harness.origins[0].script = respond_ok
    harness.set_servers(born_ms=1_000)
    ask_all(harness, '/safe/')
    assert len(harness.origins[0].requests) > 2


def test_a_service_whose_servers_all_leave_stays_served_for_the_drain(
    harness, events
):
    # The bound of the test's gateway is 3 s, of which it leaves half a second.
    harness.serve(leaves, leaves)
    statuses = ask_all(harness, '/safe/')
    assert statuses == [200] * REQUESTS
    gevent.sleep(2.6)
    assert ask_all(harness, '/safe/', count=3) == [503] * 3
    assert [number for number in events.numbers if number == 3332] == [3332]


def test_gateways_tell_each_other_which_servers_leave(harness):
    harness.serve(leaves, respond_ok)
    ask_all(harness, '/safe/', count=6)
    harness.follower.step()
    (report,) = harness.controllers.requests[-1].reports
    assert [item.id for item in report.leaving] == ['i-0']


# Quiet


@pytest.mark.parametrize(
    ('path', 'options'), [('/safe/', {}), ('/book/', BOOKING)]
)
def test_the_only_server_is_not_asked_before_its_time(harness, path, options):
    # It was asked 38 times in 1.9 s, 28 of them while it wanted none.
    harness.serve(quiet_for(b'2'))
    times = times_of(harness.origins[0])
    end_s = time.monotonic() + 1.9
    while time.monotonic() < end_s:
        exchange(harness, request(f'{path}x', **options))
        gevent.sleep(PAUSE_S)
    # A request that had the time for it may have waited for the end.
    assert all(at_s - times[0] >= 2 for at_s in times[1:])


def test_another_server_serves_while_one_wants_quiet(harness):
    # The penalty for failures ended before the time that the server named.
    harness.serve(quiet_once(b'1.5'), respond_ok)
    times = times_of(harness.origins[0])
    end_s = time.monotonic() + 2.5
    statuses = []
    while time.monotonic() < end_s:
        statuses.append(exchange(harness, request('/safe/x'))[0])
        gevent.sleep(PAUSE_S)
    assert set(statuses) == {200}
    first, *later = times
    assert later and later[0] - first >= 1.5


def test_a_refused_caller_is_told_when_a_place_will_be_free(harness):
    harness.serve(quiet_for(b'2'))
    exchange(harness, request('/book/x', **BOOKING))
    status, text, _body = exchange(harness, request('/book/y', **BOOKING))
    assert status == 503
    retry_after_s = float(text.split('retry-after:')[1].split()[0])
    assert 1.7 < retry_after_s < 3.0


def test_requests_with_time_left_wait_in_order_of_rank(harness):
    # The chat outranks the lookup that arrived before it.
    harness.controllers.config = {
        **harness.controllers.config,
        'routes': [
            {**route, 'priority': 0 if route['name'] == 'chat' else 2}
            for route in harness.controllers.config['routes']
        ],
    }

    def serves(req, sock):
        if b'/chat/' in req.line:
            return streams(req, sock)
        return respond_ok(req, sock)

    harness.serve(quiet_once(b'0.6', serves))
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


def test_a_request_that_waits_for_one_server_holds_up_no_other(harness):
    # Its first server broke the answer, the other one wants quiet. Callers
    # who came later waited behind it, although the first server takes them.
    count = itertools.count()

    def breaks(req, _sock):
        if b'/safe/first' in req.line:
            return [b'', None]
        return fakes.whole(req)

    harness.serve(quiet_once(b'1'), breaks)
    while not harness.origins[0].requests:
        exchange(harness, request(f'/book/{next(count)}', **BOOKING))
    waiting = gevent.spawn(exchange, harness, request('/safe/first'))
    gevent.sleep(0.1)
    assert harness.gateway.parts.waiting.count == 1
    with gevent.Timeout(0.3):
        assert exchange(harness, request('/safe/later'))[0] == 200
    assert waiting.get(timeout=3)[0] == 200


def test_the_next_in_line_is_served_if_the_first_gives_up(harness):
    # Only the first one has a timer for the end of the quiet time.
    harness.serve(quiet_once(b'0.8'))
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
    # All that waited arrived in the same ms.
    def slow(req, _sock):
        return [0.1, fakes.whole(req)]

    harness.serve(quiet_once(b'0.5', slow))
    exchange(harness, request('/book/x', **BOOKING))
    times = times_of(harness.origins[0])
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
def test_an_odd_time_is_no_reason_to_give_a_server_up(harness, value, events):
    harness.serve(quiet_once(value))
    exchange(harness, request('/safe/x'))
    gevent.sleep(0.35)
    (listed,) = harness.controllers.servers
    until_ms = harness.gateway.parts.notices.quiet_until_ms(listed.incarnation)
    assert (until_ms or 0) - harness.gateway.clock.now_ms() <= 60_000
    if value != b'9' * 4_000:
        assert exchange(harness, request('/safe/y'))[0] == 200
    assert 3331 in events.numbers


def test_both_answers_in_one_exchange_of_several_tries_count(harness):
    harness.serve(quiet_for(b'5'), leaves_and_rejects, respond_ok)
    ask_all(harness, '/safe/')
    assert len(harness.origins[0].requests) <= 1
    assert len(harness.origins[1].requests) <= 1


def test_pipelined_requests_keep_to_it_too(harness):
    harness.serve(quiet_for(b'5'))
    sock = harness.connect()
    sock.sendall(request('/safe/1') + request('/safe/2') + request('/safe/3'))
    data = b''
    with gevent.Timeout(5):
        while data.count(b'HTTP/1.1 503') < 3:
            data += sock.recv(65_536)
    assert len(harness.requests) == 1


def test_a_frozen_gateway_keeps_to_the_time_that_was_named(harness):
    # The clock goes on while the process stands still.
    harness.serve(quiet_for(b'1'))
    times = times_of(harness.origins[0])
    exchange(harness, request('/book/x', **BOOKING))
    waiting = gevent.spawn(exchange, harness, request('/book/y', **BOOKING))
    gevent.sleep(0.05)
    time.sleep(0.5)
    waiting.join()
    # It waited for the rest of the time, not for all of it once more.
    assert 1.0 <= times[1] - times[0] < 1.3
