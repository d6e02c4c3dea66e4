"""Non-idempotent calls run at most once and report their outcome."""

import gevent

BOOKING = {'slot': 'Friday 09:00'}


def post_booking(stack, daemon, key='b-1', body=BOOKING, **options):
    return stack.request(
        daemon.server.bound_address,
        'POST',
        '/bookings',
        key=stack.key,
        body=body,
        headers=[('Idempotency-Key', key)] if key else (),
        **options,
    )


def test_resend_gets_the_stored_response(stack):
    """Guards against a duplicate booking, also through another daemon."""
    first, second = stack.add_daemon(), stack.add_daemon()
    replies = [
        post_booking(stack, first),
        post_booking(stack, first),
        post_booking(stack, second),
    ]
    assert [reply.status for reply in replies] == [201, 201, 201]
    assert len({reply.body for reply in replies}) == 1
    assert {reply.headers['paddle-outcome'] for reply in replies} == {'done'}
    assert 'paddle-replayed' not in replies[0].headers
    assert replies[2].headers['paddle-replayed'] == 'true'
    assert stack.service.bookings == [BOOKING]


def test_call_without_an_idempotency_key_is_refused(stack):
    """Guards against a call whose resend cannot be recognised."""
    reply = post_booking(stack, stack.add_daemon(), key=None)
    assert (reply.status, reply.error['outcome']) == (400, 'not_run')
    assert stack.service.seen == []


def test_other_body_under_the_same_key_is_refused(stack):
    """Guards against replaying the response to another request."""
    daemon = stack.add_daemon()
    post_booking(stack, daemon)
    reply = post_booking(stack, daemon, body={'slot': 'Monday'})
    assert (reply.status, reply.error['outcome']) == (422, 'not_run')
    assert stack.service.bookings == [BOOKING]


def test_resend_during_the_call_gets_retry_after(stack):
    """Guards against a second attempt while the first is running."""
    stack.service.delay_ms = 300
    daemon, other = stack.add_daemon(), stack.add_daemon()
    running = gevent.spawn(post_booking, stack, daemon)
    stack.wait_for(lambda: stack.service.bookings)
    reply = post_booking(stack, other)
    assert (reply.status, reply.error['outcome']) == (409, 'unknown')
    assert int(reply.headers['retry-after']) >= 1
    assert running.get(timeout=5).status == 201
    assert post_booking(stack, other).status == 201
    assert len(stack.service.bookings) == 1


def test_missing_response_leaves_the_outcome_unknown(stack, scripted_server):
    """Guards against a false ``not_run`` and against a second attempt.

    The service closes the connection without a response.
    """
    server = scripted_server(lambda sock, number: False)
    stack.platform.instances['service-1']['address'] = server.address
    daemon = stack.add_daemon()
    replies = [post_booking(stack, daemon), post_booking(stack, daemon)]
    assert [reply.status for reply in replies] == [502, 409]
    assert [r.error['outcome'] for r in replies] == ['unknown', 'unknown']
    assert server.arrivals == 1


def test_unreachable_service_releases_the_claim(stack):
    """Guards against a key that stays claimed after a failed connection."""
    daemon = stack.add_daemon()
    entry = stack.platform.instances['service-1']
    address = entry['address']
    # Nothing listens on the discard port of this loopback address.
    entry['address'] = '127.0.0.9:9'
    stack.wait_for(
        lambda: (
            daemon.core.instances.services('booking')[0].address
            == '127.0.0.9:9'
        )
    )
    reply = post_booking(stack, daemon)
    assert (reply.status, reply.error['outcome']) == (503, 'not_run')
    entry['address'] = address
    stack.wait_for(lambda: post_booking(stack, daemon).status == 201)
    assert len(stack.service.bookings) == 1


def test_unrecorded_claim_is_not_sent(stack):
    """Guards against sending a call without a durable claim."""
    daemon = stack.add_daemon()
    for failure, status, outcome in (
        ('not_written', 503, 'not_run'),
        ('unknown_lost', 503, 'not_run'),
    ):
        stack.register.failures = [failure]
        reply = post_booking(stack, daemon, key=f'b-{failure}')
        assert (reply.status, reply.error['outcome']) == (status, outcome)
    assert stack.service.bookings == []


def test_disconnect_does_not_cancel_a_sent_call(stack):
    """Guards against losing the outcome when the caller disconnects."""
    stack.service.delay_ms = 200
    daemon = stack.add_daemon()
    conn = stack.start(
        daemon.server.bound_address,
        'POST',
        '/bookings',
        key=stack.key,
        body=BOOKING,
        headers=[('Idempotency-Key', 'b-1')],
    )
    stack.wait_for(lambda: stack.service.bookings)
    conn.close()
    stack.revoke()
    other = stack.add_daemon()
    stack.issue('second-key')
    stack.wait_for(
        lambda: (
            stack.request(
                other.server.bound_address,
                'POST',
                '/bookings',
                key='second-key',
                body=BOOKING,
                headers=[('Idempotency-Key', 'b-1')],
            ).status
            == 201
        )
    )
    assert len(stack.service.bookings) == 1


def test_long_response_is_reported_as_not_stored(stack, monkeypatch):
    """Guards against replaying a truncated response."""
    daemon = stack.add_daemon()
    monkeypatch.setattr('paddle_coord._claims.MAX_BODY_BYTES', 5)
    assert post_booking(stack, daemon).status == 201
    reply = post_booking(stack, daemon)
    assert (reply.status, reply.error['outcome']) == (409, 'done')
    assert reply.error['code'] == 'answer_not_kept'
    assert len(stack.service.bookings) == 1
