"""Checks that every request must pass before it is relayed."""

from paddle_router import _auth
from paddle_router import _dispatch
from paddle_router import _errors
from paddle_router import _http_in
from paddle_router import policy

RATE_LIMIT_MESSAGE = 'the rate limit of the {} is reached'


class Admission:
    """Checks configuration age, key, class and limits; raises refusals."""

    def __init__(self, core):
        self._core = core

    def check_config_fresh(self):
        """Check that the configuration was confirmed recently.

        :raises Refusal: if it is older than the freshness bound.
        """
        if self._core.config.age_ms() > self._core.bounds.freshness_ms:
            raise _errors.unavailable(
                'config_stale', 'the configuration cannot be confirmed'
            )

    def key_record(self, environ, key):
        """Return the record of the key that a request presents.

        :raises Refusal: if the key is not valid, or if it also occurs in the
            path or query.
        """
        record = _auth.authenticate(
            self._core.config.view, key, self._core.clock.wall_ms()
        )
        target = environ['PATH_INFO'] + '?' + environ['QUERY_STRING']
        if key in target:
            raise misplaced_key_refusal('path or query')
        return record

    def read_body(self, environ, key):
        """Return the request body.

        :raises Refusal: if it is too large, too slow or contains the key.
        """
        bounds = self._core.bounds
        raw = _http_in.read_body(
            environ, limit=bounds.body_bytes, timeout_ms=bounds.request_ms
        )
        if key is not None and key.encode() in raw:
            raise misplaced_key_refusal('body')
        return raw

    def request_class(self, environ, default):
        """Return the class named in the request, or the default one.

        :raises Refusal: if it is unknown, or not admitted by the active
            preset.
        """
        name = environ.get('HTTP_PADDLE_CLASS') or default
        request_class = self._core.config.view.request_class(name)
        if request_class is None:
            raise _errors.Refusal(
                400, 'unknown_class', 'the class is unknown', param='class'
            )
        if not request_class.admitted:
            raise _errors.unavailable(
                'class_not_admitted',
                'the active preset does not admit this class',
                retry_after_s=60,
            )
        return request_class

    def check_limits(self, request):
        """Charge the request to the rate limits of its customer and class.

        :raises Refusal: if a limit is reached.
        """
        policies = self._core.policies
        now_ms = self._core.clock.now_ms()
        name = request.request_class.name
        exceeded = policies.requests.admit(request.customer, name, now_ms)
        if exceeded is None and request.model:
            tokens = request.prompt_tokens + request.expected_tokens
            exceeded = policies.tokens.admit(
                request.customer, name, now_ms, tokens
            )
            request.charged_tokens = 0 if exceeded else tokens
        if exceeded is not None:
            raise _errors.Refusal(
                429,
                'rate_limited',
                RATE_LIMIT_MESSAGE.format(exceeded.kind),
                kind=_errors.RATE_LIMIT,
                retry_after_s=_dispatch.retry_after_seconds(
                    exceeded.retry_after_ms
                ),
            )

    def check_targets(self, request):
        """Check that the targets of the request's class can be met.

        :raises Refusal: if the predicted times exceed a target.
        """
        policy_admission = self._core.policies.admission
        missed_target = policy_admission.missed_target(
            request.request_class.name,
            policy_admission.predict(request.prompt_tokens),
            self._core.clock.now_ms(),
        )
        if missed_target is not None:
            ordinal = (
                'first' if missed_target == policy.FIRST_TOKEN else 'next'
            )
            raise _errors.unavailable(
                'target_missed',
                f'the target for the {ordinal} token cannot be met at present',
                retry_after_s=2,
            )

    def recheck(self, request):
        """Repeat the checks whose result may have changed in the queue.

        :raises Refusal: if the key of ``request`` was revoked, or the
            configuration is no longer confirmed.
        """
        self.check_config_fresh()
        refusal = self.key_refusal(request)
        if refusal is not None:
            raise refusal

    def key_refusal(self, request):
        """Return a refusal if the key of ``request`` was revoked."""
        if request.key_digest is None:
            return None
        record = self._core.config.view.key(request.key_digest)
        if record is not None and not record.revoked:
            return None
        return _errors.Refusal(
            401,
            'revoked_key',
            'the key was revoked',
            kind=_errors.AUTHENTICATION,
            outcome=request.outcome,
        )


def misplaced_key_refusal(place):
    """Return the refusal of a request with its key in ``place``.

    Relaying it would leak the key to a backend server.
    """
    return _errors.Refusal(
        400,
        'key_in_request',
        f'the {place} contains the key; send it in Authorization only',
    )
