"""Tests of servers that answer with a status code that HTTP does not have."""

import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

ROUTES = ('/safe/x', '/book/x', '/open/x', '/chat/x', '/report/x')
CODES = (
    '000',
    '001',
    '099',
    '600',
    '999',
    '20',
    '2000',
    '+20',
    '-20',
    '\uff12\uff10\uff10',
)
# Interim responses, or a change of the protocol, that end the exchange.
INTERIM_CODES = ('100', '101', '103', '199')


def send(harness, path):
    """Return the response to one call with a short body."""
    request = gateway_harness.request(path, method='POST', body=b'p')
    return gateway_harness.exchange(harness, request)


def answer_with(code):
    """Return a script that answers with the status ``code``."""

    def script(req, _sock):
        return [fakes.response(req, status=f'{code} X'.encode()), None]

    return script


@pytest.mark.parametrize('path', ROUTES)
@pytest.mark.parametrize('code', [*CODES, *INTERIM_CODES])
def test_a_status_code_that_is_none_is_a_broken_response(harness, path, code):
    # Guards against callers that get bytes that are no HTTP response, under
    # the stamp of a server.
    harness.serve(answer_with(code))
    status, text, _body = send(harness, path)
    assert status == 502
    assert 'response-stamp' not in text
    assert len(harness.requests) == 1


@pytest.mark.parametrize('code', ['000', '600', '999', '101'])
def test_only_requests_that_may_run_twice_are_sent_again(harness, code):
    harness.serve(answer_with(code), answer_with(code))
    send(harness, '/book/x')
    assert len(harness.requests) == 1
    send(harness, '/safe/x')
    assert len(harness.requests) == 3


@pytest.mark.parametrize('code', ['200', '204', '299', '404', '599'])
def test_status_codes_of_http_are_passed_on(harness, code):
    # 299 and 599 have no meaning of their own, but are valid.
    harness.serve(answer_with(code))
    assert send(harness, '/book/x')[0] == int(code)
