"""Compatibility of a daemon with the OpenAI client library."""

import gevent
import gevent.threadpool
import openai
import pytest


@pytest.fixture
def call_client(stack):
    """Return a function that calls the client library in a thread."""
    pool = gevent.threadpool.ThreadPool(1)

    def call(daemon, function, key=stack.key):
        base = f'http://{daemon.server.bound_address}/v1'

        def run():
            with openai.OpenAI(
                api_key=key, base_url=base, max_retries=0, timeout=10
            ) as client:
                return function(client.chat.completions)

        return pool.spawn(run).get(timeout=20)

    yield call
    pool.kill()


def messages(text='hello'):
    return [{'role': 'user', 'content': text}]


def test_client_reads_a_response(stack, call_client):
    """Guards against a response that the client library cannot parse."""
    stack.add_engine()
    response = call_client(
        stack.add_daemon(),
        lambda chat: chat.create(
            model='small', messages=messages(), max_tokens=4
        ),
    )
    assert len(response.choices[0].message.content.split()) == 4
    assert response.usage.completion_tokens == 4


@pytest.mark.parametrize('line_end', ['\n', '\r\n'])
def test_client_reads_a_stream(stack, call_client, line_end):
    """Guards against a stream that the client library cannot parse."""
    stack.add_engine(line_end=line_end)

    def stream(chat):
        chunks = chat.create(
            model='small', messages=messages(), max_tokens=6, stream=True
        )
        return [chunk.choices[0] for chunk in chunks if chunk.choices]

    choices = call_client(stack.add_daemon(), stream)
    text = ''.join(choice.delta.content or '' for choice in choices)
    assert len(text.split()) == 6
    assert choices[-1].finish_reason == 'stop'


def test_client_sees_typed_errors(stack, call_client):
    """Guards against an error format that the client does not recognise."""
    stack.add_engine()
    daemon = stack.add_daemon()

    def create(chat, model='small'):
        return chat.create(model=model, messages=messages())

    with pytest.raises(openai.AuthenticationError) as caught:
        call_client(daemon, create, key='wrong')
    assert caught.value.code == 'invalid_key'
    assert caught.value.body['outcome'] == 'not_run'
    with pytest.raises(openai.NotFoundError):
        call_client(daemon, lambda chat: create(chat, model='huge'))


def test_client_sees_a_broken_stream_as_an_error(stack, call_client):
    """Guards against a truncated stream that looks complete."""
    engine = stack.add_engine(can_resume=False)
    stack.platform.instances['engine-1']['can_resume'] = False
    engine.crash_after_tokens = 3

    def stream(chat):
        chunks = chat.create(
            model='small', messages=messages(), max_tokens=6, stream=True
        )
        return list(chunks)

    with pytest.raises(openai.APIError) as caught:
        call_client(stack.add_daemon(), stream)
    assert caught.value.code == 'stream_broken'
    assert caught.value.body['outcome'] == 'unknown'
