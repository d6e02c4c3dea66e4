"""Tests of the protocols of the fakes."""

import json

import geventhttpclient
import geventhttpclient.response
import pytest

from paddle_testbed import fakes


def _client(address):
    return geventhttpclient.HTTPClient.from_url(f'http://{address}')


def _body(**options):
    messages = [{'role': 'user', 'content': 'hello there'}]
    return json.dumps({'model': 'small', 'messages': messages, **options})


def test_resumed_stream_continues_after_the_received_chunks():
    # Guards against repeated or missing chunks after a resume.
    engine = fakes.FakeEngine(fakes.EngineOptions(inter_token_ms=1)).start()
    body = _body(stream=True, max_tokens=4)
    path = '/v1/chat/completions'
    whole = _client(engine.address).post(path, body).read()
    resumed = _client(engine.address).post(
        path, body, headers={'Paddle-Resume-From': '2'}
    )
    engine.stop()
    assert resumed.read().split(b'\n\n') == whole.split(b'\n\n')[2:]


def test_second_usage_report_with_other_bytes_is_a_conflict():
    # Guards against a fake that accepts two different reports of a window.
    platform = fakes.FakePlatform().start()
    client = _client(platform.address)
    headers = {'Paddle-Number': '1'}
    codes = [
        client.put('/usage/w1', body, headers=headers).status_code
        for body in (b'{"a":1}', b'{"a":1}', b'{"a":2}')
    ]
    platform.stop()
    assert codes == [200, 200, 409]


def test_broken_answer_of_the_service_ends_within_its_body():
    # Guards against a simulated crash that looks like a complete answer.
    service = fakes.FakeService().start()
    service.break_answer = True
    with pytest.raises(geventhttpclient.response.HTTPParseError):
        bytes(_client(service.address).post('/bookings', '{}').read())
    service.stop()
    assert len(service.bookings) == 1
