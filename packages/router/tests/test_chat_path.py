"""End-to-end tests of chat requests and plain services."""


def test_response_without_streaming_is_relayed(stack):
    """Guards against a modified or truncated body."""
    stack.add_engine()
    reply = stack.post_chat(stack.add_daemon(), max_tokens=3)
    assert reply.status == 200
    assert reply.json()['usage']['completion_tokens'] == 3
    assert reply.headers['paddle-outcome'] == 'done'


def test_stream_is_relayed_as_it_arrives(stack):
    """Guards against buffering a stream until its end."""
    engine = stack.add_engine(inter_token_ms=20.0)
    _, response = stack.open_stream(stack.add_daemon(), max_tokens=20)
    first = response.read_some()
    assert first.startswith(b'data: ') and b'[DONE]' not in first
    assert engine.running == 1
    rest = response.read_all(stack.limit)
    assert (first + rest).count(b'"content"') == 20
    assert rest.endswith(b'data: [DONE]\n\n')


def test_disconnect_cancels_the_request_at_the_engine(stack):
    """Guards against generating tokens for a disconnected caller."""
    engine = stack.add_engine(inter_token_ms=10.0)
    daemon = stack.add_daemon()
    conn, response = stack.open_stream(daemon, max_tokens=5_000)
    response.read_some()
    conn.close()
    stack.wait_for(lambda: engine.cancelled == 1)
    stack.wait_for(lambda: not daemon.core.active)


def test_plain_service_is_reached_by_route(stack):
    """Guards against losing the status, body or headers of a service."""
    address = stack.add_daemon().server.bound_address
    reply = stack.request(address, 'GET', '/orders/17')
    assert reply.json() == {'order': '17', 'state': 'scanned'}
    assert stack.request(address, 'GET', '/other').status == 404
