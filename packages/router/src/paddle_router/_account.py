"""Accounting of requests: metrics, usage and learned estimates."""

from paddle_router import _metrics
from paddle_router import _request

State = _request.State
# Larger counts in the response of an engine are recorded as this one.
MAX_TOKENS = 2**31 - 1


class Account:
    """Records the chunks, retries and outcome of each request."""

    def __init__(self, clock, metrics, usage, policies):
        self._clock = clock
        self._policies = policies
        self.metrics = metrics
        self.usage = usage

    def record_chunks(self, request, count):
        """Record that ``count`` content chunks are sent to the caller."""
        now_ms = self._clock.now_ms()
        class_metrics = self.metrics.for_class(request.request_class.name)
        if request.first_chunk_ms is None:
            request.first_chunk_ms = now_ms
            class_metrics.first_token.observe(
                (now_ms - request.received_ms) * _metrics.S_PER_MS
            )
            gap_ms, gaps = 0, count - 1
        else:
            # The time since the last chunk is divided evenly among chunks
            # that arrive together.
            gap_ms, gaps = (now_ms - request.last_chunk_ms) / count, count
        if gaps:
            class_metrics.inter_token.observe(gap_ms * _metrics.S_PER_MS, gaps)
        request.last_chunk_ms = now_ms
        request.chunks += count

    def record_end(self, request, usage=None, outcome=None):
        """Record an ended request.

        ``usage`` is the engine's usage object, or ``None`` if the response
        had none or was truncated; the chunks sent to the caller then count as
        the generated tokens. ``outcome`` overrides the outcome of the request
        by the one that the caller got.
        """
        name = request.request_class.name
        label = self.metrics.label_of(name)
        self.metrics.requests.labels(label, outcome or request.outcome).inc()
        if not request.was_sent or not request.model:
            return
        prompt, generated = _token_counts(request, usage)
        self._update_estimates(request, usage, prompt, generated)
        class_metrics = self.metrics.for_class(name)
        class_metrics.prompt_tokens.inc(prompt)
        class_metrics.generated_tokens.inc(generated)
        if request.state is not State.FINISHED:
            class_metrics.wasted_tokens.inc(generated)
        elif self._meets_targets(request, generated):
            class_metrics.attained.inc()
        if request.customer is not None:
            self.usage.add(request.customer, name, prompt, generated)

    def record_retry(self, kind):
        """Count an additional attempt; ``kind`` is retry or resume."""
        self.metrics.retries.labels(kind).inc()

    def _update_estimates(self, request, usage, prompt, generated):
        """Correct the token limits; update length and time estimates."""
        policies = self._policies
        now_ms = self._clock.now_ms()
        name = request.request_class.name
        correction = prompt + generated - request.charged_tokens
        policies.tokens.correct(request.customer, name, now_ms, correction)
        if request.state is not State.FINISHED:
            return
        policies.lengths.observe(request.customer, name, generated)
        if usage is not None:
            policies.lengths.observe_prompt(name, request.prompt_chars, prompt)
        if request.first_chunk_ms is not None:
            gaps = request.chunks - 1
            span_ms = request.last_chunk_ms - request.first_chunk_ms
            policies.admission.observe(
                prompt,
                request.first_chunk_ms - request.sent_ms,
                span_ms / gaps if gaps else None,
            )

    def _meets_targets(self, request, generated):
        targets = request.request_class
        if not request.stream:
            # Without streaming, the targets together bound the total time.
            limit_ms = targets.first_token_target_ms + (
                generated * targets.inter_token_target_ms
            )
            return self._clock.now_ms() - request.received_ms <= limit_ms
        first_ms = request.first_chunk_ms
        if first_ms is None:
            return False
        gaps = max(1, request.chunks - 1)
        mean_ms = (request.last_chunk_ms - first_ms) / gaps
        return (
            first_ms - request.received_ms <= targets.first_token_target_ms
            and mean_ms <= targets.inter_token_target_ms
        )


def _token_counts(request, usage):
    try:
        return (
            max(0, min(int(usage['prompt_tokens']), MAX_TOKENS)),
            max(0, min(int(usage['completion_tokens']), MAX_TOKENS)),
        )
    except (KeyError, OverflowError, TypeError, ValueError):
        return request.prompt_tokens, request.chunks
