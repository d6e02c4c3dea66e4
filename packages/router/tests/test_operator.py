"""Tests of the operator interface: token, status, changes and drain."""

TOKEN = 'operator-secret'
DIGEST = 'ab' * 32


def call(stack, daemon, method, path, *, token=TOKEN, body=b''):
    return stack.request(
        daemon.operator.bound_address, method, path, key=token, body=body
    )


def test_requests_without_the_operator_token_are_rejected(stack):
    """Guards against operator access with an API key or a wrong token."""
    daemon = stack.add_daemon()
    for token in (None, '', 'wrong', stack.key, TOKEN + 'x'):
        for path in ('/status', '/dump', '/metrics', '/config'):
            reply = call(stack, daemon, 'GET', path, token=token)
            assert reply.status == 401
        reply = call(stack, daemon, 'POST', '/drain', token=token)
        assert reply.status == 401
    assert not daemon.core.draining
    reply = stack.request(
        daemon.server.bound_address, 'GET', '/status', key=TOKEN
    )
    assert reply.status == 404


def test_status_dump_and_metrics_show_a_running_request(stack):
    """Guards against status resources that fail while a request runs."""
    stack.add_engine()
    daemon = stack.add_daemon()
    _, answer = stack.open_stream(daemon, max_tokens=50)
    answer.read_some()
    status = call(stack, daemon, 'GET', '/status').json()
    assert status['ready'] and status['active_preset'] == 'ordinary'
    assert status['engines'][0]['running'] == 1
    dump = call(stack, daemon, 'GET', '/dump').json()
    assert dump['process']['backend'] == 'epoll'
    assert dump['requests'][0]['state'] == 'streaming'
    text = call(stack, daemon, 'GET', '/metrics').body.decode()
    assert 'paddle_requests_in_progress 1.0' in text
    answer.read_all(stack.limit)
    text = call(stack, daemon, 'GET', '/metrics').body.decode()
    assert 'paddle_requests_total{class="default",outcome="done"} 1' in text
    assert 'paddle_inter_token_seconds_count{class="default"} 49' in text


def test_repeated_and_outdated_changes_are_not_applied(stack):
    """Guards against two operators who overwrite each other's changes."""
    daemon = stack.add_daemon()
    config = call(stack, daemon, 'GET', '/config').json()
    change = {
        'id': 'change-1',
        'expected_version': config['version'],
        'op': 'put_customer',
        'args': {'name': 'beta'},
    }
    preview = call(
        stack, daemon, 'POST', '/changes', body={**change, 'dry_run': True}
    )
    names = [
        c['name'] for c in preview.json()['config']['config']['customers']
    ]
    assert names == ['acme', 'beta']
    first = call(stack, daemon, 'POST', '/changes', body=change)
    again = call(stack, daemon, 'POST', '/changes', body=change)
    assert first.status == again.status == 200
    assert first.json()['version'] == config['version'] + 1
    assert again.json() == first.json()
    outdated = {**change, 'id': 'change-2', 'args': {'name': 'gamma'}}
    assert call(stack, daemon, 'POST', '/changes', body=outdated).status == 409
    invalid = {
        **change,
        'id': 'change-3',
        'expected_version': config['version'] + 1,
        'op': 'issue_key',
        'args': {'digest': DIGEST, 'customer': 'nobody'},
    }
    reply = call(stack, daemon, 'POST', '/changes', body=invalid)
    assert reply.status == 422
    assert reply.json()['findings'][0]['path'] == '$.args.customer'
    for body in (b'{', b'[]', {'id': 3}, {**change, 'expected_version': '1'}):
        reply = call(stack, daemon, 'POST', '/changes', body=body)
        assert reply.status == 400
    stack.register.available = False
    change = {**outdated, 'id': 'change-4'}
    assert call(stack, daemon, 'POST', '/changes', body=change).status == 503


def test_drain_fails_only_the_readiness_check(stack):
    """Guards against a drain that rejects requests.

    Load balancers need time to notice the failing readiness check, and callers
    still send requests meanwhile.
    """
    stack.add_engine()
    daemon = stack.add_daemon()
    assert call(stack, daemon, 'POST', '/drain').json() == {'draining': True}
    ready = stack.request(daemon.server.bound_address, 'GET', '/readyz')
    assert (ready.status, ready.json()['reason']) == (503, 'draining')
    assert (
        stack.request(daemon.server.bound_address, 'GET', '/healthz').status
        == 200
    )
    assert stack.post_chat(daemon, max_tokens=1).status == 200
    call(stack, daemon, 'POST', '/drain', body={'undo': True})
    assert (
        stack.request(daemon.server.bound_address, 'GET', '/readyz').status
        == 200
    )
