"""Prediction of response lengths, learned per class and customer."""

import collections
import math

import attrs

# Bounds the memory use to a few MB. Customers without an estimate use that of
# their class.
MAX_CUSTOMERS = 16_384
# Four buckets for each doubling of the length cover 1 to 65,536 tokens.
BUCKETS_PER_DOUBLING = 4
BUCKET_COUNT = 16 * BUCKETS_PER_DOUBLING
# The weight of a response halves after about 700 more responses of its class.
WEIGHT_DECAY = 0.999
RESCALE_ABOVE = 1e9
# The prediction of a class is recomputed after this many responses.
REFRESH_INTERVAL_RESPONSES = 32
# Step by which a customer's quantiles move, in doublings of the length. It is
# larger for the first responses.
QUANTILE_STEP = 0.15
FIRST_QUANTILE_STEP = 1.0
# The class prediction counts as much as this many responses of the customer.
PRIOR_WEIGHT_RESPONSES = 5.0
DEFAULT_TOKENS = 200
DEFAULT_CHARS_PER_TOKEN = 4.0
HIGH_QUANTILE = 0.9


@attrs.frozen
class LengthPrediction:
    """Expected number of generated tokens: mean, median and 90% quantile."""

    mean: int
    median: int
    high: int


class _Histogram:
    """Histogram with logarithmic buckets and exponential decay."""

    def __init__(self):
        self._weights = [0.0] * BUCKET_COUNT
        self._next_weight = 1.0
        self._mean = float(DEFAULT_TOKENS)
        self._count = 0
        self._prediction = None

    def add(self, tokens):
        index = int(math.log2(max(1, tokens)) * BUCKETS_PER_DOUBLING)
        self._weights[min(index, BUCKET_COUNT - 1)] += self._next_weight
        self._next_weight /= WEIGHT_DECAY
        if self._next_weight > RESCALE_ABOVE:
            self._weights = [
                item / self._next_weight for item in self._weights
            ]
            self._next_weight = 1.0
        self._count += 1
        gain = max(1 - WEIGHT_DECAY, 1 / self._count)
        self._mean += gain * (tokens - self._mean)
        if (
            self._count < REFRESH_INTERVAL_RESPONSES
            or self._count % REFRESH_INTERVAL_RESPONSES == 0
        ):
            self._prediction = None

    def prediction(self):
        """Return the prediction from all lengths.

        It is cached and recomputed after
        ``REFRESH_INTERVAL_RESPONSES`` responses.
        """
        if self._prediction is None:
            median = self.quantile(0.5)
            high = max(median, self.quantile(HIGH_QUANTILE))
            self._prediction = LengthPrediction(
                round(self._mean), median, high
            )
        return self._prediction

    def quantile(self, probability, above=0):
        """Return a quantile of the lengths greater than ``above``."""
        first = 0
        if above:
            first = int(math.log2(above) * BUCKETS_PER_DOUBLING) + 1
        total = sum(self._weights[first:])
        if not total:
            return max(DEFAULT_TOKENS, 2 * above) if above else DEFAULT_TOKENS
        passed_weight = 0.0
        for index in range(first, BUCKET_COUNT):
            passed_weight += self._weights[index]
            if passed_weight >= probability * total:
                return int(2 ** ((index + 0.5) / BUCKETS_PER_DOUBLING))
        raise AssertionError('histogram weights do not add up to their total')


class _CustomerEstimate:
    """Moving mean, median and high quantile of one customer.

    The median and the quantile are base-2 logarithms.
    """

    __slots__ = ('count', 'high', 'mean', 'median')

    def __init__(self, prior):
        self.count = 0
        self.mean = float(prior.mean)
        self.median = math.log2(prior.median)
        self.high = math.log2(prior.high)

    def add(self, tokens):
        self.count += 1
        value = math.log2(max(1, tokens))
        step = max(QUANTILE_STEP, FIRST_QUANTILE_STEP / self.count)
        self.median += step * (0.5 - (value < self.median))
        self.high += step * (HIGH_QUANTILE - (value < self.high))
        self.high = max(self.high, self.median)
        gain = max(0.05, 1 / (self.count + 1))
        self.mean += gain * (tokens - self.mean)


class LengthEstimator:
    """Predicts response lengths and corrects predictions while streaming."""

    def __init__(self, *, max_customers=MAX_CUSTOMERS):
        self._max_customers = max_customers
        self._classes = collections.defaultdict(_Histogram)
        self._customers = collections.OrderedDict()
        self._chars_per_token = {}

    def observe(self, customer, class_name, tokens):
        """Learn from a complete response of ``tokens`` tokens."""
        key = (customer, class_name)
        estimate = self._customers.get(key)
        if estimate is None:
            estimate = _CustomerEstimate(self._class_prediction(class_name))
            self._customers[key] = estimate
            if len(self._customers) > self._max_customers:
                self._customers.popitem(last=False)
        self._customers.move_to_end(key)
        estimate.add(tokens)
        self._classes[class_name].add(tokens)

    def predict(self, customer, class_name):
        """Return the :class:`LengthPrediction` of a new response."""
        prior = self._class_prediction(class_name)
        estimate = self._customers.get((customer, class_name))
        if estimate is None:
            return prior
        ratio = estimate.count / (estimate.count + PRIOR_WEIGHT_RESPONSES)
        return LengthPrediction(
            round(prior.mean + ratio * (estimate.mean - prior.mean)),
            _geometric_mix(prior.median, estimate.median, ratio),
            _geometric_mix(prior.high, estimate.high, ratio),
        )

    def correct(self, customer, class_name, generated):
        """Return the expected total length of a response that is streamed.

        ``generated`` is the number of tokens generated so far.
        """
        predicted = self.predict(customer, class_name).mean
        if generated < predicted:
            return predicted
        return self._classes[class_name].quantile(0.5, above=generated)

    def observe_prompt(self, class_name, characters, tokens):
        """Learn the number of characters per token in prompts of a class."""
        old = self._chars_per_token.get(class_name, DEFAULT_CHARS_PER_TOKEN)
        value = characters / max(1, tokens)
        self._chars_per_token[class_name] = old + 0.05 * (value - old)

    def predict_prompt(self, class_name, characters):
        """Return the expected number of tokens of a prompt."""
        per_token = self._chars_per_token.get(
            class_name, DEFAULT_CHARS_PER_TOKEN
        )
        return max(1, round(characters / max(0.1, per_token)))

    def _class_prediction(self, class_name):
        return self._classes[class_name].prediction()


def _geometric_mix(prior, logarithm, ratio):
    """Return the weighted geometric mean of a value and a logarithm."""
    base = math.log2(max(1, prior))
    return round(2 ** (base + ratio * (logarithm - base)))
