"""Non-idempotent calls: claim, connect, check the deadline, send.

The first byte is sent only after the claim is durable. The outcome is
``not_run`` if provably nothing was sent, ``done`` if there is a response,
which is stored and replayed, and ``unknown`` in all other cases.
"""

import hashlib

import returns.result

import paddle_coord
import paddle_kernel
from paddle_router import _dispatch
from paddle_router import _errors
from paddle_router import _events
from paddle_router import _request

MAX_KEY_CHARS = 256
MAX_CONNECT_ATTEMPTS = 3
MAX_COMPLETE_ATTEMPTS = 3
# Claim reason: the key was used for another request.
OTHER_REQUEST = 'other_request'
REPLAYED_HEADER = ('Paddle-Replayed', 'true')
State = _request.State


class ClaimedCalls:
    """Runs each call at most once.

    ``choose_instance(service)`` returns a live instance or raises a refusal.
    """

    def __init__(self, core, choose_instance):
        self._core = core
        self._choose_instance = choose_instance

    def run(self, call):
        """Run ``call`` or replay its stored response into it.

        :raises Refusal: if there is no response.
        """
        key = call.idempotency_key
        if not key or len(key) > MAX_KEY_CHARS:
            raise _errors.Refusal(
                400,
                'missing_idempotency_key',
                f'this call needs an Idempotency-Key of 1 to {MAX_KEY_CHARS} '
                'characters',
            )
        core = self._core
        call.request.advance(State.QUEUED)
        outcome = core.claims.claim(
            call.request.customer or '',
            key,
            request_digest(call),
            core.clock.now_ms() + core.bounds.claim_ms,
        )
        if outcome.claim is not None:
            self._run_granted(call, outcome.claim)
        else:
            _replay(call, outcome)

    def _run_granted(self, call, claim):
        try:
            self._connect(call)
            self._core.admission.recheck(call.request)
            if call.watch.is_disconnected:
                raise _errors.Refusal(
                    499, 'caller_gone', 'the caller closed the connection'
                )
            if not self._core.claims.may_send(claim):
                raise _errors.unavailable(
                    'claim_expired', 'the call could not be sent in time'
                )
        except BaseException:
            # Nothing was sent, so another attempt may claim the key.
            call.close()
            self._core.claims.release(claim)
            raise
        self._send(call, claim)

    def _connect(self, call):
        for attempt in range(1, MAX_CONNECT_ATTEMPTS + 1):
            try:
                call.connect(self._choose_instance(call.route.service))
                return
            except OSError:
                call.request.advance(State.QUEUED)
                if attempt == MAX_CONNECT_ATTEMPTS:
                    raise _errors.service_failure(was_sent=False) from None

    def _send(self, call, claim):
        remaining_ms = max(1, claim.deadline_ms - self._core.clock.now_ms())
        answer = None
        try:
            call.send(remaining_ms)
            answer = paddle_coord.Answer.from_response(
                call.status, call.response_headers, call.data
            )
        except OSError:
            raise _errors.service_failure(was_sent=True) from None
        finally:
            call.close()
            self._complete(claim, answer)

    def _complete(self, claim, answer):
        for _ in range(MAX_COMPLETE_ATTEMPTS):
            completion = self._core.claims.complete(claim, answer)
            if isinstance(completion, returns.result.Success):
                return
        # A repeated call then finds the claim in progress and, later, gets an
        # unknown outcome.
        paddle_kernel.emit(_events.CLAIM_NOT_COMPLETED, key=claim.key)


def request_digest(call):
    """Return a digest that distinguishes calls with the same key."""
    request_line = f'{call.method} {call.target}\n'.encode()
    return hashlib.sha256(request_line + call.body).hexdigest()


def _replay(call, outcome):
    """Replay the stored response of the first call with this key.

    :raises Refusal: if that response was not stored.
    """
    answer = outcome.answer
    if answer is not None and answer.body is not None:
        call.request.advance(State.CONNECTING)
        call.request.advance(State.FINISHED)
        call.status = answer.status
        call.response_headers = (*answer.headers, REPLAYED_HEADER)
        call.data = answer.body
        return
    call.request.advance(State.REFUSED)
    raise _refusal_of(outcome)


def _refusal_of(outcome):
    retry_after_s = None
    if outcome.retry_after_ms is not None:
        retry_after_s = _dispatch.retry_after_seconds(outcome.retry_after_ms)
    if outcome.answer is not None:
        return _errors.Refusal(
            409,
            'answer_not_kept',
            'the call ran, but its response was too long to be stored',
            outcome=_errors.DONE,
        )
    if outcome.outcome == _errors.UNKNOWN:
        return _errors.Refusal(
            409,
            'outcome_unknown',
            'an earlier call with this key may have run',
            kind=_errors.SERVER,
            outcome=_errors.UNKNOWN,
            retry_after_s=retry_after_s,
        )
    if outcome.reason == OTHER_REQUEST:
        return _errors.Refusal(
            422,
            'idempotency_key_reused',
            'this Idempotency-Key was used for another request',
        )
    return _errors.unavailable(
        'claim_unavailable', 'the claim cannot be stored at present'
    )
