"""Tests of the explanation of where a request would go."""

import copy
import json
import urllib.parse

import falcon.testing
import gevent
import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

exchange = gateway_harness.exchange
request = gateway_harness.request
respond_ok = gateway_harness.respond_ok
NOT_RUN = b'Rosemarypaddle-Not-Run: 1'


@pytest.fixture
def serving(harness):
    return harness.serve(respond_ok, respond_ok)


def explain(harness, **params):
    """Return ``(status, body)`` of an explanation."""
    client = falcon.testing.TestClient(
        harness.gateway._admin_server.application
    )
    query = {'host': 'h', 'path': '/safe/x', 'customer': 'cust', **params}
    answer = client.simulate_get(
        '/explain',
        query_string=urllib.parse.urlencode(
            {name: value for name, value in query.items() if value is not None}
        ),
    )
    return answer.status_code, answer.json


def test_an_explanation_shows_route_servers_and_decision(serving):
    exchange(serving, request('/safe/x'))
    status, found = explain(serving)
    assert (status, found['route'], found['version']) == (200, 'safe', 5)
    (service,) = found['services']
    assert service['decision'] == 'send'
    assert {row['id'] for row in service['servers']} == {'i-0', 'i-1'}
    assert all(row['cost'] is not None for row in service['servers'])
    assert set(service['candidates']) <= {'i-0', 'i-1'}


def observable_state(harness):
    """Return what requests change, as plain data."""
    gateway = harness.gateway
    components = gateway.components
    dump = gateway.dump.collect()
    dump.pop('process', None)
    metrics = [
        line
        for line in gateway.metrics.text().decode().splitlines()
        if not line.startswith(('process_', 'python_'))
    ]
    return copy.deepcopy(
        {
            'dump': json.loads(json.dumps(dump, default=str)),
            'metrics': metrics,
            'usage': components.usage.recent(),
            'waiting': components.waiting.count,
            'rng': components._rng.getstate(),
            'connections': components.pool.opened_count,
        }
    )


def test_nothing_is_sent_or_counted(serving):
    # Guards against a command that changes where the next request goes.
    exchange(serving, request('/safe/x'))
    sent = len(serving.requests)
    before = observable_state(serving)
    for path in ('/safe/x', '/book/x', '/chat/x', '/nowhere/x'):
        for method in ('GET', 'POST'):
            explain(serving, path=path, method=method, parts='p1:400,p2:20')
    assert observable_state(serving) == before
    gevent.sleep(0.05)
    assert len(serving.requests) == sent


@pytest.mark.parametrize(
    ('params', 'status', 'reason'),
    [
        ({'path': '/nowhere/x'}, 404, 'no route'),
        ({'host': 'other'}, 404, 'no route'),
        ({'customer': 'stranger'}, 401, 'unknown customer'),
        ({'customer': None}, 401, 'unknown customer'),
    ],
)
def test_a_request_that_would_be_denied_is_explained(
    serving, params, status, reason
):
    _status, found = explain(serving, **params)
    assert (found['decision'], found['status'], found['reason']) == (
        'refuse',
        status,
        reason,
    )


def test_a_public_route_needs_no_customer(serving):
    _status, found = explain(serving, path='/open/x', customer=None)
    assert found['services'][0]['decision'] == 'send'


@pytest.mark.parametrize(
    'params',
    [{'host': ''}, {'path': ''}, {'tokens': 'x'}, {'parts': 'a,b:x'}],
)
def test_a_wrong_question_is_answered_with_what_is_allowed(serving, params):
    status, found = explain(serving, **params)
    assert status == 400 and next(iter(params)) in found['error']


def test_a_quiet_server_is_shown_as_a_wait(harness):
    # Guards against an explanation that begins the end of the quiet time.
    def ask_for_quiet(req, _sock):
        return fakes.response(
            req, b'', status=b'503 Full', extra=(NOT_RUN, b'Retry-After: 0.8')
        )

    harness.serve(ask_for_quiet)
    exchange(harness, request('/safe/x', deadline_ms=300))
    _status, found = explain(harness)
    (service,) = found['services']
    assert service['decision'] == 'wait' and not service['candidates']
    assert service['servers'][0]['excluded']
    _status, found = explain(harness, path='/book/x')
    assert found['services'][0]['decision'] == 'wait'


def test_a_gateway_that_is_not_ready_refuses(harness):
    _status, found = explain(harness)
    assert (found['decision'], found['status']) == ('refuse', 503)
