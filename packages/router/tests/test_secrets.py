"""Keys, tokens and bodies are not logged, exposed, forwarded or stored."""

import io
import json

import paddle_kernel

TOKEN = 'operator-secret'
BODY_MARKER = 'body-mark-81f3'


def test_secrets_are_not_logged_exposed_or_forwarded(stack, capsys):
    """Guards against a key, token or body in log, dump, metrics or requests.

    The log is at its most detailed level; the requests include refused,
    broken and malformed ones.
    """
    log = io.StringIO()
    paddle_kernel.configure_log(style='json', level='DEBUG', stream=log)
    engine = stack.add_engine()
    stack.platform.instances['engine-1']['can_resume'] = False
    daemon = stack.add_daemon()
    stack.post_chat(daemon, text=BODY_MARKER, max_tokens=1)
    engine.crash_after_tokens = 1
    _, response = stack.open_stream(daemon, text=BODY_MARKER)
    response.read_all(stack.limit)
    stack.post_chat(daemon, key='wrong-key-5517', text=BODY_MARKER)
    stack.post_chat(daemon, model=BODY_MARKER)
    stack.post_chat(daemon, headers=[('Paddle-Class', BODY_MARKER)])
    broken = json.dumps({'messages': BODY_MARKER, 'key': stack.key}).encode()
    for target in (stack.chat_path, f'/orders/1?api_key={stack.key}'):
        stack.request(
            daemon.server.bound_address,
            'POST',
            target,
            key=stack.key,
            body=broken,
        )
    stack.request(
        daemon.server.bound_address, 'GET', f'/{BODY_MARKER}', key=stack.key
    )
    stack.request(
        daemon.server.bound_address,
        'POST',
        '/bookings',
        key=stack.key,
        body={'slot': BODY_MARKER},
        headers=[('Idempotency-Key', 'key-mark-77')],
    )
    stack.wait_for(lambda: not daemon.core.active)
    operator_pages = [
        stack.request(
            daemon.operator.bound_address, 'GET', path, key=TOKEN
        ).body
        for path in ('/status', '/dump', '/metrics')
    ]
    written = (
        b''.join(operator_pages).decode()
        + log.getvalue()
        + capsys.readouterr().err
    )
    for secret in (
        stack.key,
        TOKEN,
        BODY_MARKER,
        'wrong-key-5517',
        'key-mark-77',
    ):
        assert secret not in written
    forwarded = repr(engine.seen) + repr(stack.service.seen)
    assert stack.key not in forwarded and TOKEN not in forwarded
    stored = repr(stack.register.values)
    assert stack.key not in stored and 'key-mark-77' not in stored
