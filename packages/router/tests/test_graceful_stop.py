"""Graceful stop of one daemon and a rolling restart of all under traffic."""

import itertools
import json

import gevent

DAEMONS = 3


def test_stop_waits_for_requests_in_progress(stack):
    """Guards against a planned stop that cuts a stream."""
    stack.add_engine(inter_token_ms=10.0)
    daemon = stack.add_daemon()
    _, answer = stack.open_stream(daemon, max_tokens=40)
    answer.read_some()
    stopping = gevent.spawn(daemon.stop)
    stack.wait_for(lambda: daemon.core.draining)
    data = answer.read_all(stack.limit)
    assert data.endswith(b'data: [DONE]\n\n')
    assert stopping.get(timeout=5) is True


def test_stop_is_bounded(stack):
    """Guards against a stop that waits for ever for one stream."""
    stack.add_engine(inter_token_ms=10.0)
    daemon = stack.add_daemon(bounds={'stop_ms': 200})
    _, answer = stack.open_stream(daemon, max_tokens=100_000)
    answer.read_some()
    with gevent.Timeout(5):
        assert daemon.stop() is False


def test_stop_flushes_usage_and_releases_the_lease(stack):
    """Guards against usage of the last second that is lost at a stop."""
    stack.add_engine()
    daemon = stack.add_daemon(bounds={'usage_flush_ms': 600_000})
    stack.wait_for(lambda: daemon.control.lease.number() is not None)
    stack.post_chat(daemon, max_tokens=4)
    daemon.stop()
    (key,) = [key for key in stack.register.values if key.startswith('usage/')]
    counts = json.loads(stack.register.values[key])
    assert counts['acme']['default']['generated_tokens'] == 4
    assert json.loads(stack.register.values['lease/control'])[0] is None


def test_rolling_restart_interrupts_no_request(stack):
    """Guards against errors for callers while all daemons are replaced."""
    for _ in range(2):
        stack.add_engine(slots=64, inter_token_ms=3.0)
    daemons = [stack.add_daemon() for _ in range(DAEMONS)]
    running = True
    results = []

    def is_ready(daemon):
        return daemon.core.not_ready_reason() is None

    def call(turn):
        # Stands for the platform's load balancer, which asks /readyz.
        ready = [daemon for daemon in daemons if is_ready(daemon)]
        daemon = ready[next(turn) % len(ready)]
        if next(turn) % 2:
            return stack.post_chat(daemon, max_tokens=8).status == 200
        _, answer = stack.open_stream(daemon, max_tokens=8)
        return answer.read_all(stack.limit).endswith(b'data: [DONE]\n\n')

    def caller(first):
        turn = itertools.count(first)
        while running:
            results.append(call(turn))

    callers = [gevent.spawn(caller, index) for index in range(6)]
    for index in range(DAEMONS):
        gevent.sleep(0.1)
        old = daemons[index]
        daemons[index] = stack.add_daemon()
        assert old.stop() is True
    gevent.sleep(0.1)
    running = False
    gevent.joinall(callers, timeout=5, raise_error=True)
    assert len(results) > 30 and all(results)
