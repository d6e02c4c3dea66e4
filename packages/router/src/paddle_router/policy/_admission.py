"""Admission by predicted latencies against the targets of a class."""

import attrs

# Weight of a new observation in the decayed averages.
GAIN = 0.05
# A first token takes as long as a prompt of this length, plus the prompt.
PROMPT_BASE_TOKENS = 500
# A class over its target between tokens still gets this many requests, so
# that it neither starves nor stays refused after the engines recovered.
TRIAL_INTERVAL_MS = 1_000
# Mean deviations above the mean, so that few requests start too late.
SPREADS = 2.0

FIRST_TOKEN = 'first_token'
INTER_TOKEN = 'inter_token'


@attrs.frozen
class Prediction:
    """Expected times in ms; 0 when nothing was observed yet.

    ``start_up_ms`` is the part of ``first_token_ms`` after the start.
    """

    first_token_ms: int
    inter_token_ms: float
    start_up_ms: int


class Admission:
    """Refuses what would miss its class's targets."""

    def __init__(self, classes=None):
        self._classes = dict(classes or {})
        self._first = None
        self._spread = 0.0
        self._inter = None
        self._trials_ms = {}

    def apply(self, classes):
        """Use other targets."""
        self._classes = dict(classes)

    def observe(self, prompt_tokens, first_token_ms=None, inter_token_ms=None):
        """Note times measured at an engine, without the wait for it."""
        if first_token_ms is not None:
            value = first_token_ms / (PROMPT_BASE_TOKENS + prompt_tokens)
            if self._first is not None:
                deviation = abs(value - self._first)
                self._spread = _decayed(self._spread, deviation)
            self._first = _decayed(self._first, value)
        if inter_token_ms is not None:
            self._inter = _decayed(self._inter, inter_token_ms)

    def predict(self, prompt_tokens, wait_ms=0):
        """Return the :class:`Prediction` after a wait of ``wait_ms``."""
        per_token = (self._first or 0.0) + SPREADS * self._spread
        start_up = per_token * (PROMPT_BASE_TOKENS + prompt_tokens)
        return Prediction(
            int(wait_ms + start_up), self._inter or 0.0, int(start_up)
        )

    def judge(self, class_name, prediction, now_ms):
        """Return None to admit, or the target that would be missed."""
        targets = self._classes.get(class_name)
        if targets is None:
            return None
        if prediction.first_token_ms > targets.first_token_ms:
            reason = FIRST_TOKEN
        elif prediction.inter_token_ms > targets.inter_token_ms:
            reason = INTER_TOKEN
        else:
            return None
        last_ms = self._trials_ms.get(class_name)
        if last_ms is None or now_ms - last_ms >= TRIAL_INTERVAL_MS:
            self._trials_ms[class_name] = now_ms
            return None
        return reason


def _decayed(average, value):
    return value if average is None else average + GAIN * (value - average)
