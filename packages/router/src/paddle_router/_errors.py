"""Refusals and failures as the caller sees them."""

import json

NOT_RUN = 'not_run'
DONE = 'done'
UNKNOWN = 'unknown'

OUTCOME_HEADER = 'Paddle-Outcome'

INVALID = 'invalid_request_error'
AUTHENTICATION = 'authentication_error'
PERMISSION = 'permission_error'
NOT_FOUND = 'not_found_error'
RATE_LIMIT = 'rate_limit_error'
OVERLOADED = 'overloaded_error'
SERVER = 'server_error'


class Refusal(Exception):
    """The final answer to a request that is not relayed.

    ``outcome`` is ``not_run`` only when the request provably did not run.
    ``status`` is the HTTP status, ``retry_after_s`` whole seconds or
    ``None``.
    """

    def __init__(
        self,
        status,
        code,
        message,
        *,
        kind=INVALID,
        param=None,
        outcome=NOT_RUN,
        retry_after_s=None,
    ):
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.kind = kind
        self.param = param
        self.outcome = outcome
        self.retry_after_s = retry_after_s

    def document(self):
        """Return the body in the error form of the protocol."""
        return {
            'error': {
                'message': self.message,
                'type': self.kind,
                'code': self.code,
                'param': self.param,
                'outcome': self.outcome,
            }
        }

    def body(self):
        """Return the JSON body as bytes."""
        return json.dumps(self.document()).encode()

    def headers(self):
        """Return the answer headers as a list of pairs."""
        pairs = [
            ('Content-Type', 'application/json'),
            (OUTCOME_HEADER, self.outcome),
        ]
        if self.retry_after_s is not None:
            pairs.append(('Retry-After', str(self.retry_after_s)))
        return pairs

    def event(self):
        """Return a server-sent event that ends a running stream."""
        return b'data: ' + self.body() + b'\n\n'


def unavailable(code, message, *, retry_after_s=1):
    """Return the refusal of a request that may be sent again later."""
    return Refusal(
        503, code, message, kind=OVERLOADED, retry_after_s=retry_after_s
    )


def broken_answer(code, message, *, outcome=UNKNOWN):
    """Return the failure of a request that reached a backend server."""
    return Refusal(502, code, message, kind=SERVER, outcome=outcome)


def service_failure(*, was_sent):
    """Return the failure of a service call without a complete answer."""
    if was_sent:
        return broken_answer(
            'service_failed', 'the service broke off its answer'
        )
    return unavailable('service_unreachable', 'the service cannot be reached')
