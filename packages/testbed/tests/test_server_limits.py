"""Tests of servers that name a limit of requests a second in their answers.

The limit holds for all gateways together. The programs run as processes, with
more requests than the limited servers take.
"""

import itertools
import time

import gevent
from paddle_router import policy
import pytest

from paddle_testbed import fakes
from paddle_testbed import fleet_load
from paddle_testbed import gateway_harness

GATEWAYS = 4
SEND_INTERVAL_S = 0.02
SERVICE_S = 0.01
# The users count from this time after the first answer with a limit, in any
# window of this length, and allow this much more than the limit.
CONTACT_S = 3.0
WINDOW_S = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_REQUESTS = 5
RUN_S = 12.0
CONFIG = fleet_load.build_config(
    'plain', kind='safe', timeoutMs=1500, targetLatencyMs=200, attempts=2
)


class LimitedServer:
    """A backend server that names ``limit`` in its answers, if it has one."""

    def __init__(self, name):
        self.name = name
        self.limit = None
        self.arrivals = []
        self.origin = fakes.FakeOrigin(self._respond)

    def most_in_window(self, since_s):
        """Return the most requests in a window that begins at ``since_s``."""
        times = [at_s for at_s in self.arrivals if at_s >= since_s]
        return max(
            (
                sum(first <= at_s < first + WINDOW_S for at_s in times)
                for first in times
            ),
            default=0,
        )

    def _respond(self, req, _sock):
        self.arrivals.append(time.monotonic())
        extra = ()
        if self.limit is not None:
            extra = (b'Server-Limit: %g' % self.limit,)
        return [SERVICE_S, fakes.response(req, extra=extra)]


@pytest.fixture
def servers():
    built = [LimitedServer(f'i-{number}') for number in range(3)]
    yield built
    for item in built:
        item.origin.stop()


@pytest.fixture
def fleet(tmp_path, servers):
    entries = [
        fleet_load.list_entry(item.name, 'plain', item.origin)
        for item in servers
    ]
    with fleet_load.running_fleet(
        tmp_path, entries, CONFIG, gateways=GATEWAYS
    ) as built:
        yield built


def send_request(address):
    """Return the status of one request, ``None`` without an answer."""
    data = fleet_load.send_request(
        address, headers=('Rosemarypaddle-Deadline-Milliseconds: 1500',)
    )
    return int(data.split()[1]) if data else None


def send_load(fleet, run_s=RUN_S):
    """Send requests to all gateways in turn; return their statuses."""
    addresses = fleet_load.gateway_addresses(fleet)
    requests = []
    end_s = time.monotonic() + run_s
    while time.monotonic() < end_s:
        requests.append(gevent.spawn(send_request, next(addresses)))
        gevent.sleep(SEND_INTERVAL_S)
    gevent.joinall(requests)
    return [request.value for request in requests]


def allowed_in_window(limit):
    return ALLOWED_RATIO * WINDOW_S * limit + ALLOWED_REQUESTS


@pytest.mark.parametrize('limit', [1, 8])
def test_all_gateways_together_respect_the_limit_of_a_server(
    fleet, servers, limit
):
    # Guards against a server in need that gets as many requests as the others:
    # 20 in 4 s at a limit of 1 a second.
    limited = servers[0]
    limited.limit = limit
    begin_s = time.monotonic()
    statuses = send_load(fleet)
    assert limited.most_in_window(begin_s + CONTACT_S) <= allowed_in_window(
        limit
    )
    # The server is still used, and the others take the rest.
    late = [at_s for at_s in limited.arrivals if at_s > begin_s + CONTACT_S]
    assert len(late) >= 0.5 * limit * (RUN_S - CONTACT_S)
    assert statuses.count(200) >= 0.98 * len(statuses)


# One gateway


def test_changes_of_a_limit_are_logged(harness, events):
    # Without them, logs do not show that a server asked for fewer requests.
    values = iter([b'2', b'2', b'5', None, b'many'])

    def respond(req, _sock):
        value = next(values)
        extra = () if value is None else (b'Server-Limit: ' + value,)
        return fakes.response(req, extra=extra)

    harness.serve(respond)
    for _ in range(5):
        gateway_harness.exchange(harness, gateway_harness.request('/safe/x'))
        gevent.sleep(0.01)
    changes = [item['limit_per_s'] for item in events.fields_of(3337)]
    assert changes == [2.0, 5.0, None]
    assert [item['value'] for item in events.fields_of(3338)] == ['many']


def name_limit(value):
    """Return a script that names ``value`` as the limit in each answer."""

    def script(req, _sock):
        return fakes.response(req, extra=(b'Server-Limit: ' + value,))

    return script


def send_statuses(harness, path, count, **options):
    statuses = []
    for number in range(count):
        raw = gateway_harness.request(f'{path}{number}', **options)
        statuses.append(gateway_harness.exchange(harness, raw)[0])
    return statuses


def test_requests_wait_for_the_only_server_at_its_limit(harness):
    # The route allows 1.5 s, and a permit comes every 0.5 s; three of them can
    # be used when the limit is learnt.
    harness.serve(name_limit(b'2'))
    begin_s = time.monotonic()
    statuses = send_statuses(harness, '/safe/', 8)
    assert statuses == [200] * 8
    assert time.monotonic() - begin_s > 1.4


def test_a_request_that_cannot_wait_is_told_when_to_come_back(harness):
    harness.serve(name_limit(b'0.2'))
    responses = [
        gateway_harness.exchange(
            harness, gateway_harness.request('/book/x', method='POST')
        )
        for _ in range(3)
    ]
    status, text, _body = responses[-1]
    assert status == 503
    assert 'not-run' not in text
    retry_after_s = float(text.split('retry-after:')[1].split()[0])
    assert 1.0 < retry_after_s < 15.0
    assert len(harness.requests) <= 2


def test_a_server_that_lifts_its_limit_is_used_as_before(harness):
    answers = itertools.chain([name_limit(b'1')] * 2, itertools.repeat(None))

    def respond(req, sock):
        script = next(answers)
        return script(req, sock) if script else fakes.response(req)

    harness.serve(respond)
    send_statuses(harness, '/safe/', 3)
    begin_s = time.monotonic()
    assert send_statuses(harness, '/safe/', 10) == [200] * 10
    assert time.monotonic() - begin_s < 0.5


def test_a_limit_is_learnt_from_the_controllers(harness):
    # Guards against a gateway that has not had an answer with the limit yet,
    # as after its restart.
    harness.serve(name_limit(b'0.1'), gateway_harness.respond_ok)
    listed = harness.controllers.servers[0]
    harness.controllers.limits = (
        policy.ServerLimit(
            server=listed.incarnation,
            milli_per_s=100,
            seen_ms=harness.gateway.components.wall.now_ms(),
        ),
    )
    harness.follower.step()
    assert send_statuses(harness, '/safe/', 20) == [200] * 20
    assert len(harness.origins[0].requests) <= 1


def test_a_limit_is_reported_to_the_controllers(harness):
    harness.serve(name_limit(b'1.5'))
    send_statuses(harness, '/safe/', 1)
    harness.follower.step()
    (report,) = harness.controllers.requests[-1].reports
    assert [item.milli_per_s for item in report.limits] == [1_500]


def test_a_stale_response_does_not_lift_a_limit(harness):
    # Guards against a duplicate of an old response, from before the server
    # named its limit, that arrives on a connection in use again.
    stray = fakes.Received(b'GET / HTTP/1.1', b'')
    stray.headers = {b'rosemarypaddle-request-id': b'other'}
    limits = harness.gateway.components.limits
    seen = []

    def respond(req, _sock):
        if b'/safe/0' in req.line:
            return fakes.response(req, extra=(b'Server-Limit: 5',))
        return [
            fakes.response(stray, b'old'),
            0.2,
            lambda: seen.extend(limits.reports(0)),
            fakes.response(req),
        ]

    harness.serve(respond)
    assert send_statuses(harness, '/safe/', 2) == [200, 200]
    assert [limit.milli_per_s for limit in seen] == [5_000]
