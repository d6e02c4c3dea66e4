"""Graceful stop of one daemon and a rolling restart of all under traffic."""

import itertools
import json

import gevent

DAEMONS = 3


def test_stop_waits_for_requests_in_progress(stack):
    """Guards against a graceful stop that breaks a running stream."""
    stack.add_engine(inter_token_ms=10.0)
    daemon = stack.add_daemon()
    _, response = stack.open_stream(daemon, max_tokens=40)
    response.read_some()
    stopping = gevent.spawn(daemon.stop)
    stack.wait_for(lambda: daemon.core.draining)
    data = response.read_all(stack.limit)
    assert data.endswith(b'data: [DONE]\n\n')
    assert stopping.get(timeout=5) is True


def test_stop_ends_at_its_time_limit(stack):
    """Guards against a stop that waits forever for a stream."""
    stack.add_engine(inter_token_ms=10.0)
    daemon = stack.add_daemon(bounds={'stop_ms': 200})
    _, response = stack.open_stream(daemon, max_tokens=100_000)
    response.read_some()
    with gevent.Timeout(5):
        assert daemon.stop() is False


def test_stop_flushes_usage_and_releases_the_lease(stack):
    """Guards against losing usage that was not flushed before the stop."""
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
    """Guards against failed requests while all daemons are replaced."""
    for _ in range(2):
        stack.add_engine(slots=64, inter_token_ms=3.0)
    daemons = [stack.add_daemon() for _ in range(DAEMONS)]
    running = True
    results = []

    def is_ready(daemon):
        return daemon.core.not_ready_reason() is None

    def send_call(turns):
        # Simulates the platform's load balancer, which polls /readyz.
        ready = [daemon for daemon in daemons if is_ready(daemon)]
        daemon = ready[next(turns) % len(ready)]
        if next(turns) % 2:
            return stack.post_chat(daemon, max_tokens=8).status == 200
        _, response = stack.open_stream(daemon, max_tokens=8)
        return response.read_all(stack.limit).endswith(b'data: [DONE]\n\n')

    def run_caller(first_turn):
        turns = itertools.count(first_turn)
        while running:
            results.append(send_call(turns))

    callers = [gevent.spawn(run_caller, index) for index in range(6)]
    for index in range(DAEMONS):
        gevent.sleep(0.1)
        old = daemons[index]
        daemons[index] = stack.add_daemon()
        assert old.stop() is True
    gevent.sleep(0.1)
    running = False
    gevent.joinall(callers, timeout=5, raise_error=True)
    assert len(results) > 30 and all(results)
