"""Queueing, retries, resume, key revocation and stale configuration."""

import contextlib
import json
import tracemalloc

import gevent
import pytest


def text_of(data):
    """Return the text of all events in ``data``."""
    words = []
    for line in data.splitlines():
        if line.startswith(b'data: {'):
            document = json.loads(line[6:])
            for choice in document.get('choices', ()):
                words.append(choice['delta'].get('content', ''))
    return ''.join(words)


def add_patient_class(stack):
    """Add a class whose requests may wait in the queue for a long time."""
    stack.config.change(
        'put_class',
        name='patient',
        tier=4,
        first_token_target_ms=60_000,
        inter_token_target_ms=60_000,
    )


PATIENT = [('Paddle-Class', 'patient')]


def occupy_slot(stack, daemon, engine):
    """Fill the only slot of ``engine`` with a long stream."""
    conn, response = stack.open_stream(
        daemon, headers=PATIENT, max_tokens=100_000
    )
    response.read_some()
    assert engine.running == 1
    return conn


def queued_count(daemon):
    pools = daemon.core.dispatcher.dump().values()
    return sum(pool['waiting'] for pool in pools)


def test_retry_is_invisible_to_the_caller(stack):
    """Guards against an error when an engine dies before its first token."""
    engines = [stack.add_engine() for _ in range(2)]
    daemon = stack.add_daemon()
    engines[0].stop()
    replies = [stack.post_chat(daemon, max_tokens=2) for _ in range(6)]
    assert {reply.status for reply in replies} == {200}
    # The balancer stops choosing the dead engine, and nothing ran twice.
    assert engines[1].generated_tokens == 12


def test_retries_stay_within_the_budget(stack, scripted_server):
    """Guards against retries that multiply the load of a failing pool."""
    servers = [scripted_server(lambda sock, number: False) for _ in range(2)]
    for index, server in enumerate(servers):
        stack.platform.add(
            f'engine-{index}',
            server.address,
            models=['small'],
            failure_domain=str(index),
        )
    stack.config.change(
        'put_class', name='hasty', tier=1, first_token_target_ms=50
    )
    daemon = stack.add_daemon(bounds={'load_poll_ms': 600_000})
    hasty = [('Paddle-Class', 'hasty')]
    replies = [stack.post_chat(daemon, headers=hasty) for _ in range(30)]
    assert {reply.status for reply in replies} <= {502, 503}
    # The budget allows one retry, plus one per ten requests.
    assert sum(server.arrivals for server in servers) <= 30 + 1 + 3
    text = daemon.metrics.render().decode()
    line = next(
        line
        for line in text.splitlines()
        if line.startswith('paddle_retries_total{kind="retry"}')
    )
    assert 1 <= float(line.split()[-1]) <= 1 + 3


def test_broken_stream_is_resumed_without_gap_or_repetition(stack):
    """Guards against repeated or missing text after an engine crash."""
    engines = [stack.add_engine(seed=5) for _ in range(2)]
    daemon = stack.add_daemon()
    _, response = stack.open_stream(daemon, max_tokens=30)
    complete_text = text_of(response.read_all(stack.limit))
    for engine in engines:
        engine.crash_after_tokens = 7
    _, response = stack.open_stream(daemon, max_tokens=30)
    data = response.read_all(stack.limit)
    assert text_of(data) == complete_text
    assert data.count(b'[DONE]') == 1 and b'"error"' not in data
    resumes = [
        headers['Paddle-Resume-From']
        for engine in engines
        for _, _, headers in engine.seen
        if 'Paddle-Resume-From' in headers
    ]
    assert resumes[0] == '7'


def test_stream_without_an_end_of_its_event_is_broken_off(
    stack, scripted_server
):
    """Guards against a daemon that keeps a stream until memory is full."""

    def script(sock, number):
        sock.sendall(
            b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        with contextlib.suppress(OSError):
            for _ in range(2_000):
                sock.sendall(b'10000\r\n' + b'x' * 65_536 + b'\r\n')
        return False

    server = scripted_server(script)
    stack.platform.add('engine-1', server.address, models=['small'])
    daemon = stack.add_daemon(bounds={'load_poll_ms': 600_000})
    tracemalloc.start()
    try:
        _, response = stack.open_stream(daemon)
        data = response.read_all(stack.limit)
        assert tracemalloc.get_traced_memory()[1] < 12_000_000
    finally:
        tracemalloc.stop()
    assert json.loads(data.removeprefix(b'data: '))['error']


def test_broken_stream_ends_with_an_error_event(stack):
    """Guards against a broken stream that looks complete."""
    engine = stack.add_engine()
    stack.platform.instances['engine-1']['can_resume'] = False
    daemon = stack.add_daemon()
    engine.crash_after_tokens = 3
    _, response = stack.open_stream(daemon, max_tokens=30)
    data = response.read_all(stack.limit)
    last = data.strip().splitlines()[-1]
    error = json.loads(last.removeprefix(b'data: '))['error']
    assert error['outcome'] == 'unknown'
    assert b'[DONE]' not in data
    assert len(text_of(data).split()) == 3


def test_queued_request_of_a_disconnected_caller_is_dropped(stack):
    """Guards against serving callers that disconnected while queued."""
    engine = stack.add_engine(slots=1, inter_token_ms=5.0)
    add_patient_class(stack)
    daemon = stack.add_daemon()
    busy = occupy_slot(stack, daemon, engine)
    body = stack.chat(True)
    conn = stack.start(
        daemon.server.bound_address,
        'POST',
        stack.chat_path,
        key=stack.key,
        headers=PATIENT,
        body=body,
    )
    stack.wait_for(lambda: queued_count(daemon) == 1)
    conn.close()
    stack.wait_for(lambda: queued_count(daemon) == 0)
    assert len(stack.received_requests(engine)) == 1
    busy.close()


def test_late_request_is_refused_at_once(stack):
    """Guards against queueing a request that must miss its target."""
    engine = stack.add_engine(slots=1, inter_token_ms=5.0)
    add_patient_class(stack)
    stack.config.change(
        'put_class', name='hasty', tier=1, first_token_target_ms=150
    )
    daemon = stack.add_daemon()
    busy = occupy_slot(stack, daemon, engine)
    reply = stack.post_chat(daemon, headers=[('Paddle-Class', 'hasty')])
    assert reply.status == 503
    assert reply.error['code'] == 'too_late'
    assert reply.error['outcome'] == 'not_run'
    assert int(reply.headers['retry-after']) >= 1
    assert len(stack.received_requests(engine)) == 1
    busy.close()


def test_request_without_a_usable_engine_is_refused_in_time(stack):
    """Guards against a request that waits forever for an engine."""
    stack.add_engine()
    stack.config.change(
        'put_class', name='hasty', tier=1, first_token_target_ms=150
    )
    daemon = stack.add_daemon()
    pool = daemon.core.dispatcher.pool('small')
    pool.balancer.choose = lambda *_: None
    with gevent.Timeout(5):
        reply = stack.post_chat(daemon, headers=[('Paddle-Class', 'hasty')])
    assert (reply.status, reply.error['code']) == (503, 'too_late')
    assert reply.error['outcome'] == 'not_run'
    assert daemon.core.dispatcher.demand() == {}


def test_priority_field_is_the_tier(stack):
    """Guards against a caller that chooses its priority at the engine."""
    engine = stack.add_engine()
    daemon = stack.add_daemon()
    seen = []
    acquire = engine.acquire
    engine.acquire = lambda priority: (
        seen.append(priority),
        acquire(priority),
    )
    stack.post_chat(daemon, max_tokens=1)
    stack.post_chat(daemon, max_tokens=1, priority=0)
    stack.post_chat(
        daemon, max_tokens=1, headers=[('Paddle-Class', 'bulk')], priority=1
    )
    assert seen == [3, 3, 5]


def test_revoked_key_ends_queued_and_running_requests(stack):
    """Guards against serving a revoked key beyond the grace period."""
    engine = stack.add_engine(slots=1, inter_token_ms=5.0)
    add_patient_class(stack)
    daemon = stack.add_daemon(bounds={'revoke_grace_ms': 200})
    _, response = stack.open_stream(
        daemon, headers=PATIENT, max_tokens=100_000
    )
    response.read_some()
    waiting = gevent.spawn(stack.post_chat, daemon, headers=PATIENT)
    stack.wait_for(lambda: queued_count(daemon) == 1)
    stack.revoke()
    reply = waiting.get(timeout=5)
    assert (reply.status, reply.error['outcome']) == (401, 'not_run')
    with gevent.Timeout(5):
        data = response.read_all(stack.limit * 10)
    last = json.loads(data.strip().splitlines()[-1].removeprefix(b'data: '))
    assert last['error']['code'] == 'revoked_key'
    assert last['error']['outcome'] == 'unknown'
    assert b'[DONE]' not in data
    stack.wait_for(lambda: engine.cancelled == 1)
    assert len(stack.received_requests(engine)) == 1


def test_stale_configuration_refuses_new_requests_only(stack):
    """Guards against serving revoked keys while no replica responds."""
    stack.add_engine(inter_token_ms=10.0)
    daemon = stack.add_daemon(bounds={'freshness_ms': 300})
    _, response = stack.open_stream(daemon, max_tokens=100)
    response.read_some()
    stack.register.available = False
    stack.wait_for(
        lambda: daemon.core.not_ready_reason() == 'configuration not confirmed'
    )
    reply = stack.post_chat(daemon)
    assert (reply.status, reply.error['outcome']) == (503, 'not_run')
    assert reply.headers['retry-after'] == '1'
    assert response.read_all(stack.limit).endswith(b'data: [DONE]\n\n')
    stack.register.available = True
    stack.wait_for(lambda: daemon.core.not_ready_reason() is None)
    assert stack.post_chat(daemon, max_tokens=1).status == 200


def test_leaving_engine_gets_no_new_requests(stack):
    """Guards against new requests to a server that is about to leave."""
    leaving, staying = stack.add_engine(), stack.add_engine()
    daemon = stack.add_daemon()
    stack.platform.instances['engine-1']['state'] = 'leaving'
    stack.wait_for(
        lambda: any(
            item.state == 'leaving' for item in daemon.core.instances.instances
        )
    )
    for _ in range(5):
        assert stack.post_chat(daemon, max_tokens=1).status == 200
    assert stack.received_requests(leaving) == []
    assert staying.generated_tokens == 5


def test_limit_of_a_customer_is_enforced(stack):
    """Guards against one customer taking all capacity."""
    stack.add_engine()
    stack.config.change('put_customer', name='acme', requests_per_s=1)
    daemon = stack.add_daemon()
    replies = [stack.post_chat(daemon, max_tokens=1) for _ in range(15)]
    codes = [reply.status for reply in replies]
    assert codes.count(200) >= 10 and codes[-1] == 429
    assert replies[-1].error['outcome'] == 'not_run'
    assert int(replies[-1].headers['retry-after']) >= 1


@pytest.mark.parametrize('window_count', [1, 2])
def test_usage_is_counted_for_complete_and_broken_streams(
    stack, monkeypatch, window_count
):
    """Guards against unbilled tokens of a stream without a usage chunk."""
    engine = stack.add_engine()
    stack.platform.instances['engine-1']['can_resume'] = False
    daemon = stack.add_daemon()
    wall_ms = daemon.clock.wall_ms()
    monkeypatch.setattr(daemon.clock, 'wall_ms', lambda: wall_ms)
    stack.post_chat(daemon, text='one two three', max_tokens=4)
    wall_ms += (window_count - 1) * daemon.settings.bounds.usage_window_ms
    engine.crash_after_tokens = 3
    _, response = stack.open_stream(daemon, text='one two three', max_tokens=9)
    response.read_all(stack.limit)
    stack.wait_for(lambda: not daemon.core.active)
    windows = daemon.usage.dump()['windows']
    assert len(windows) == window_count
    counts = [
        daemon.usage.counts(window)['acme']['default'] for window in windows
    ]
    assert sum(item['requests'] for item in counts) == 2
    assert sum(item['generated_tokens'] for item in counts) == 4 + 3
    assert sum(item['prompt_tokens'] for item in counts) >= 6


def test_stream_of_a_silent_engine_is_resumed_elsewhere(stack):
    """Guards against a stream that hangs forever on a frozen engine."""
    engines = [stack.add_engine(seed=5) for _ in range(2)]
    daemon = stack.add_daemon(bounds={'idle_ms': 300, 'first_byte_ms': 300})
    _, response = stack.open_stream(daemon, max_tokens=60)
    first = response.read_some()
    (busy,) = [engine for engine in engines if engine.running]
    busy.frozen = True
    with gevent.Timeout(5):
        data = first + response.read_all(stack.limit)
    busy.frozen = False
    assert len(text_of(data).split()) == 60
    assert data.endswith(b'data: [DONE]\n\n')


def test_drained_engine_gets_no_new_requests(stack):
    """Guards against stopping an engine that still gets requests."""
    drained, other = stack.add_engine(), stack.add_engine()
    daemon, second = stack.add_daemon(), stack.add_daemon()
    assert daemon.drains.change(1, add=('engine-1',))
    stack.wait_for(lambda: second.drains.instances)
    for _ in range(5):
        assert stack.post_chat(second, max_tokens=1).status == 200
    assert stack.received_requests(drained) == []
    assert other.generated_tokens == 5


def test_refusal_by_the_engine_is_passed_on(stack, scripted_server):
    """Guards against a retry of a request that the engine rejects."""
    body = b'{"error": {"message": "the prompt is too long"}}'
    head = f'HTTP/1.1 400 Bad Request\r\nContent-Length: {len(body)}\r\n\r\n'

    def script(sock, number):
        sock.sendall(head.encode() + body)
        return True

    server = scripted_server(script)
    stack.platform.add('engine-1', server.address, models=['small'])
    daemon = stack.add_daemon(bounds={'load_poll_ms': 600_000})
    reply = stack.post_chat(daemon)
    assert (reply.status, reply.error['outcome']) == (400, 'done')
    assert reply.error['message'] == 'the prompt is too long'
    assert server.arrivals == 1


def test_caller_that_does_not_read_loses_its_slot(stack, scripted_server):
    """Guards against slots held forever by callers that stopped reading."""
    event = b'data: {"delta": {"content": "' + b'x' * 60_000 + b'"}}\n\n'

    def flood(sock, number):
        sock.sendall(b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n')
        with contextlib.suppress(OSError):
            while True:
                sock.sendall(event)
        return False

    server = scripted_server(flood)
    stack.platform.add('engine-1', server.address, models=['small'])
    daemon = stack.add_daemon(bounds={'load_poll_ms': 600_000, 'idle_ms': 300})
    conn, response = stack.open_stream(daemon)
    response.read_some()
    stack.wait_for(lambda: not daemon.core.active)
    assert daemon.core.dispatcher.demand() == {}
    conn.close()
