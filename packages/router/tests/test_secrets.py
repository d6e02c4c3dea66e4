"""No key, token or body in anything written or sent elsewhere."""

import io
import json

import paddle_kernel

TOKEN = 'operator-secret'
BODY_MARK = 'body-mark-81f3'


def test_secrets_are_nowhere(stack, capsys):
    """Guards against a key, token or body in log, dump, metrics or requests.

    The log is at its most detailed level; the requests include refused,
    broken and malformed ones.
    """
    log = io.StringIO()
    paddle_kernel.configure_log(style='json', level='DEBUG', stream=log)
    engine = stack.add_engine()
    stack.platform.instances['engine-1']['can_resume'] = False
    daemon = stack.add_daemon()
    stack.post_chat(daemon, text=BODY_MARK, max_tokens=1)
    engine.crash_after_tokens = 1
    _, answer = stack.open_stream(daemon, text=BODY_MARK)
    answer.read_all(stack.limit)
    stack.post_chat(daemon, key='wrong-key-5517', text=BODY_MARK)
    stack.post_chat(daemon, model=BODY_MARK)
    stack.post_chat(daemon, headers=[('Paddle-Class', BODY_MARK)])
    broken = json.dumps({'messages': BODY_MARK, 'key': stack.key}).encode()
    for target in (stack.chat_path, f'/orders/1?api_key={stack.key}'):
        stack.request(
            daemon.server.bound, 'POST', target, key=stack.key, body=broken
        )
    stack.request(daemon.server.bound, 'GET', f'/{BODY_MARK}', key=stack.key)
    stack.request(
        daemon.server.bound,
        'POST',
        '/bookings',
        key=stack.key,
        body={'slot': BODY_MARK},
        headers=[('Idempotency-Key', 'key-mark-77')],
    )
    stack.wait_for(lambda: not daemon.core.active)
    shown = [
        stack.request(daemon.operator.bound, 'GET', path, key=TOKEN).body
        for path in ('/status', '/dump', '/metrics')
    ]
    written = (
        b''.join(shown).decode() + log.getvalue() + capsys.readouterr().err
    )
    for secret in (
        stack.key,
        TOKEN,
        BODY_MARK,
        'wrong-key-5517',
        'key-mark-77',
    ):
        assert secret not in written
    arrived = repr(engine.seen) + repr(stack.service.seen)
    assert stack.key not in arrived and TOKEN not in arrived
    stored = repr(stack.register.values)
    assert stack.key not in stored and 'key-mark-77' not in stored
