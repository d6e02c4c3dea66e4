"""Admission control: compares predicted latencies with class targets."""

import attrs

# Weight of a new observation in the moving averages.
MOVING_AVERAGE_GAIN = 0.05
# The time-to-first-token is modelled as proportional to the prompt length plus
# this constant.
PROMPT_BASE_TOKENS = 500
# A class that would miss its targets is still admitted one request per
# interval, so that it neither starves nor stays refused after the engines have
# recovered.
TRIAL_INTERVAL_MS = 1_000
# Predictions are this many mean absolute deviations above the mean, so that
# few requests start too late.
MEAN_DEVIATIONS = 2.0

FIRST_TOKEN = 'first_token'
INTER_TOKEN = 'inter_token'


@attrs.frozen
class Prediction:
    """Expected times in ms; 0 if nothing has been observed yet.

    ``start_up_ms`` is the part of ``first_token_ms`` after the wait: the time
    from the start of the request to its first token.
    """

    first_token_ms: int
    inter_token_ms: float
    start_up_ms: int


class Admission:
    """Refuses requests that would miss the targets of their class."""

    def __init__(self, classes=None):
        self._classes = dict(classes or {})
        self._first_token_ms_per_token = None
        self._mean_deviation = 0.0
        self._inter_token_ms = None
        self._last_trial_ms = {}

    def apply(self, classes):
        """Replace the targets of all classes."""
        self._classes = dict(classes)

    def observe(self, prompt_tokens, first_token_ms=None, inter_token_ms=None):
        """Record times measured at an engine, excluding the queueing time."""
        if first_token_ms is not None:
            value = first_token_ms / (PROMPT_BASE_TOKENS + prompt_tokens)
            if self._first_token_ms_per_token is not None:
                deviation = abs(value - self._first_token_ms_per_token)
                self._mean_deviation = _moving_average(
                    self._mean_deviation, deviation
                )
            self._first_token_ms_per_token = _moving_average(
                self._first_token_ms_per_token, value
            )
        if inter_token_ms is not None:
            self._inter_token_ms = _moving_average(
                self._inter_token_ms, inter_token_ms
            )

    def predict(self, prompt_tokens, wait_ms=0):
        """Return the :class:`Prediction` after a wait of ``wait_ms``."""
        ms_per_token = (
            self._first_token_ms_per_token or 0.0
        ) + MEAN_DEVIATIONS * self._mean_deviation
        start_up_ms = ms_per_token * (PROMPT_BASE_TOKENS + prompt_tokens)
        return Prediction(
            int(wait_ms + start_up_ms),
            self._inter_token_ms or 0.0,
            int(start_up_ms),
        )

    def missed_target(self, class_name, prediction, now_ms):
        """Return the target that would be missed, or None to admit."""
        targets = self._classes.get(class_name)
        if targets is None:
            return None
        if prediction.first_token_ms > targets.first_token_ms:
            reason = FIRST_TOKEN
        elif prediction.inter_token_ms > targets.inter_token_ms:
            reason = INTER_TOKEN
        else:
            return None
        last_ms = self._last_trial_ms.get(class_name)
        if last_ms is None or now_ms - last_ms >= TRIAL_INTERVAL_MS:
            self._last_trial_ms[class_name] = now_ms
            return None
        return reason


def _moving_average(average, value):
    return (
        value
        if average is None
        else average + MOVING_AVERAGE_GAIN * (value - average)
    )
