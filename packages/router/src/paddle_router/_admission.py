"""Steps that every request passes before it is relayed."""

from paddle_router import _auth
from paddle_router import _dispatch
from paddle_router import _errors
from paddle_router import _http_in
from paddle_router import policy

LIMIT_TEXT = 'the rate limit of the {} is reached'


class Admission:
    """Checks freshness, key, class and limits; raises refusals."""

    def __init__(self, core):
        self._core = core

    def check_fresh(self):
        """Refuse while the configuration is not confirmed."""
        if self._core.config.age_ms() > self._core.bounds.freshness_ms:
            raise _errors.unavailable(
                'config_stale', 'the configuration cannot be confirmed'
            )

    def key_record(self, environ, key):
        """Return the valid key record of a request.

        :raises Refusal: if there is none or if the key is also elsewhere.
        """
        record = _auth.authenticate(
            self._core.config.view, key, self._core.clock.wall_ms()
        )
        target = environ['PATH_INFO'] + '?' + environ['QUERY_STRING']
        if key in target:
            raise key_elsewhere('path or query')
        return record

    def read_body(self, environ, key):
        """Return the body within the bounds.

        :raises Refusal: if it exceeds them or holds the key.
        """
        bounds = self._core.bounds
        raw = _http_in.read_body(
            environ, limit=bounds.body_bytes, timeout_ms=bounds.request_ms
        )
        if key is not None and key.encode() in raw:
            raise key_elsewhere('body')
        return raw

    def request_class(self, environ, default):
        """Return the class named in the request, or the default one.

        :raises Refusal: if it is unknown or not admitted at present.
        """
        name = environ.get('HTTP_PADDLE_CLASS') or default
        found = self._core.config.view.request_class(name)
        if found is None:
            raise _errors.Refusal(
                400, 'unknown_class', 'the class is unknown', param='class'
            )
        if not found.admitted:
            raise _errors.unavailable(
                'class_not_admitted',
                'the active preset does not admit this class',
                retry_after_s=60,
            )
        return found

    def check_limits(self, request):
        """Charge the limits of customer and class.

        :raises Refusal: if one is reached.
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
                LIMIT_TEXT.format(exceeded.kind),
                kind=_errors.RATE_LIMIT,
                retry_after_s=_dispatch.seconds(exceeded.retry_after_ms),
            )

    def check_targets(self, request):
        """Refuse what would miss the targets of its class.

        :raises Refusal: if the observed times exceed a target.
        """
        judge = self._core.policies.admission
        missed = judge.judge(
            request.request_class.name,
            judge.predict(request.prompt_tokens),
            self._core.clock.now_ms(),
        )
        if missed is not None:
            which = 'first' if missed == policy.FIRST_TOKEN else 'next'
            raise _errors.unavailable(
                'target_missed',
                f'the target for the {which} token cannot be met at present',
                retry_after_s=2,
            )

    def recheck(self, request):
        """Check again what may have changed while ``request`` waited.

        :raises Refusal: if its key or the configuration is not valid now.
        """
        self.check_fresh()
        refusal = self.key_refusal(request)
        if refusal is not None:
            raise refusal

    def key_refusal(self, request):
        """Return the refusal if the key of ``request`` was revoked."""
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


def key_elsewhere(place):
    """Return the refusal of a request that would leak its own key."""
    return _errors.Refusal(
        400,
        'key_in_request',
        f'the {place} contains the key; send it in Authorization only',
    )
