"""Authentication of callers by key.

Only the key identifies the customer; headers that name one are ignored.
"""

import hashlib

from paddle_router import _errors

SCHEME = 'bearer'


def key_digest(key):
    """Return the SHA-256 digest of ``key`` in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(environ):
    """Return the bearer key of a request or ``None``."""
    header = environ.get('HTTP_AUTHORIZATION', '')
    scheme, _, key = header.partition(' ')
    key = key.strip()
    return key if scheme.lower() == SCHEME and key else None


def authenticate(view, key, wall_ms):
    """Return the :class:`Key` record that ``key`` belongs to.

    :raises Refusal: if the key is missing, unknown, revoked or expired.
    """
    if key is None:
        raise _unauthorized(
            'missing_key', 'no key in the Authorization header'
        )
    record = view.key(key_digest(key))
    if record is None:
        raise _unauthorized('invalid_key', 'the key is unknown')
    reason = invalid_reason(record, wall_ms)
    if reason is not None:
        raise _unauthorized(f'{reason}_key', f'the key is {reason}')
    return record


def invalid_reason(record, wall_ms):
    """Return ``'revoked'``, ``'expired'`` or ``None`` for a valid key."""
    if record.revoked:
        return 'revoked'
    expires = record.expires_wall_ms
    if expires is not None and wall_ms >= expires:
        return 'expired'
    return None


def _unauthorized(code, message):
    return _errors.Refusal(401, code, message, kind=_errors.AUTHENTICATION)
