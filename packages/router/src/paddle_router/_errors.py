"""Errors returned to callers."""

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
    """Error response to a request.

    ``outcome`` is ``not_run`` only if the request provably did not run.
    ``status`` is the HTTP status; ``retry_after_s`` is in whole seconds or
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
        """Return the body as an error object of the chat protocol."""
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
        """Return the response headers as a list of pairs."""
        pairs = [
            ('Content-Type', 'application/json'),
            (OUTCOME_HEADER, self.outcome),
        ]
        if self.retry_after_s is not None:
            pairs.append(('Retry-After', str(self.retry_after_s)))
        return pairs

    def event(self):
        """Return the server-sent event that ends a stream with this error."""
        return b'data: ' + self.body() + b'\n\n'


def unavailable(code, message, *, retry_after_s=1):
    """Return a 503 refusal; the caller may retry the request later."""
    return Refusal(
        503, code, message, kind=OVERLOADED, retry_after_s=retry_after_s
    )


def bad_gateway(code, message, *, outcome=UNKNOWN):
    """Return a 502 refusal for a request that reached a backend server."""
    return Refusal(502, code, message, kind=SERVER, outcome=outcome)


def service_failure(*, was_sent):
    """Return the refusal for a service call without a complete response."""
    if was_sent:
        return bad_gateway(
            'service_failed', 'the service did not complete its response'
        )
    return unavailable('service_unreachable', 'the service cannot be reached')
