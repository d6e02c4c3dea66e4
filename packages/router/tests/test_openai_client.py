"""The published client library of the protocol against a daemon."""

import gevent
import gevent.threadpool
import openai
import pytest


@pytest.fixture
def ask(stack):
    """Return a function that uses the client in a thread."""
    pool = gevent.threadpool.ThreadPool(1)

    def call(daemon, function, key=stack.key):
        base = f'http://{daemon.server.bound}/v1'

        def run():
            with openai.OpenAI(
                api_key=key, base_url=base, max_retries=0, timeout=10
            ) as api:
                return function(api.chat.completions)

        return pool.spawn(run).get(timeout=20)

    yield call
    pool.kill()


def messages(text='hello'):
    return [{'role': 'user', 'content': text}]


def test_client_reads_an_answer(stack, ask):
    """Guards against an answer that the client library cannot read."""
    stack.add_engine()
    answer = ask(
        stack.add_daemon(),
        lambda chat: chat.create(
            model='small', messages=messages(), max_tokens=4
        ),
    )
    assert len(answer.choices[0].message.content.split()) == 4
    assert answer.usage.completion_tokens == 4


@pytest.mark.parametrize('line_end', ['\n', '\r\n'])
def test_client_reads_a_stream(stack, ask, line_end):
    """Guards against a stream that the client library cannot read."""
    stack.add_engine(line_end=line_end)

    def stream(chat):
        chunks = chat.create(
            model='small', messages=messages(), max_tokens=6, stream=True
        )
        return [chunk.choices[0] for chunk in chunks if chunk.choices]

    choices = ask(stack.add_daemon(), stream)
    text = ''.join(choice.delta.content or '' for choice in choices)
    assert len(text.split()) == 6
    assert choices[-1].finish_reason == 'stop'


def test_client_sees_typed_errors(stack, ask):
    """Guards against an error form that the client does not recognise."""
    stack.add_engine()
    daemon = stack.add_daemon()

    def create(chat, model='small'):
        return chat.create(model=model, messages=messages())

    with pytest.raises(openai.AuthenticationError) as caught:
        ask(daemon, create, key='wrong')
    assert caught.value.code == 'invalid_key'
    assert caught.value.body['outcome'] == 'not_run'
    with pytest.raises(openai.NotFoundError):
        ask(daemon, lambda chat: create(chat, model='huge'))


def test_client_sees_a_broken_stream_as_an_error(stack, ask):
    """Guards against a cut answer that passes as complete."""
    engine = stack.add_engine(can_resume=False)
    stack.platform.instances['engine-1']['can_resume'] = False
    engine.crash_after_tokens = 3

    def stream(chat):
        chunks = chat.create(
            model='small', messages=messages(), max_tokens=6, stream=True
        )
        return list(chunks)

    with pytest.raises(openai.APIError) as caught:
        ask(stack.add_daemon(), stream)
    assert caught.value.code == 'stream_broken'
    assert caught.value.body['outcome'] == 'unknown'
