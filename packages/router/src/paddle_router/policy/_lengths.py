"""Lengths of responses, learned per class and customer."""

import collections
import math

import attrs

# Bounds the memory to a few MB; customers beyond it use their class.
MAX_CUSTOMERS = 16_384
# Buckets of a quarter of a doubling cover 1 to 65,536 tokens.
BUCKETS_PER_DOUBLING = 4
BUCKETS = 16 * BUCKETS_PER_DOUBLING
# A weight halves after about 700 responses of the class.
DECAY = 0.999
RESCALE_ABOVE = 1e9
# The quantiles of a class are computed again after so many responses.
REFRESH_EVERY = 32
# Step of a customer's quantiles in doublings, larger for the first ones.
STEP = 0.15
FIRST_STEP = 1.0
# The class counts as much as this many responses of the customer.
PRIOR_WEIGHT = 5.0
DEFAULT_TOKENS = 200
DEFAULT_CHARS_PER_TOKEN = 4.0
HIGH = 0.9


@attrs.frozen
class LengthPrediction:
    """Expected number of generated tokens: mean, median and 90% quantile."""

    mean: int
    median: int
    high: int


class _Histogram:
    """Decayed histogram with logarithmic buckets."""

    def __init__(self):
        self._weights = [0.0] * BUCKETS
        self._unit = 1.0
        self._mean = float(DEFAULT_TOKENS)
        self._count = 0
        self._summary = None

    def add(self, tokens):
        index = int(math.log2(max(1, tokens)) * BUCKETS_PER_DOUBLING)
        self._weights[min(index, BUCKETS - 1)] += self._unit
        self._unit /= DECAY
        if self._unit > RESCALE_ABOVE:
            self._weights = [item / self._unit for item in self._weights]
            self._unit = 1.0
        self._count += 1
        gain = max(1 - DECAY, 1 / self._count)
        self._mean += gain * (tokens - self._mean)
        if self._count < REFRESH_EVERY or self._count % REFRESH_EVERY == 0:
            self._summary = None

    def summary(self):
        """Return the prediction from all lengths; refreshed now and then."""
        if self._summary is None:
            median = self.quantile(0.5)
            high = max(median, self.quantile(HIGH))
            self._summary = LengthPrediction(round(self._mean), median, high)
        return self._summary

    def quantile(self, part, above=0):
        """Return the quantile of the lengths greater than ``above``."""
        first = 0
        if above:
            first = int(math.log2(above) * BUCKETS_PER_DOUBLING) + 1
        total = sum(self._weights[first:])
        if not total:
            return max(DEFAULT_TOKENS, 2 * above) if above else DEFAULT_TOKENS
        passed = 0.0
        for index in range(first, BUCKETS):
            passed += self._weights[index]
            if passed >= part * total:
                return int(2 ** ((index + 0.5) / BUCKETS_PER_DOUBLING))
        raise AssertionError('weights do not add up')


class _Customer:
    """Decayed mean, median and high quantile; the last two as logarithms."""

    __slots__ = ('count', 'high', 'mean', 'median')

    def __init__(self, prior):
        self.count = 0
        self.mean = float(prior.mean)
        self.median = math.log2(prior.median)
        self.high = math.log2(prior.high)

    def add(self, tokens):
        self.count += 1
        value = math.log2(max(1, tokens))
        step = max(STEP, FIRST_STEP / self.count)
        self.median += step * (0.5 - (value < self.median))
        self.high += step * (HIGH - (value < self.high))
        self.high = max(self.high, self.median)
        gain = max(0.05, 1 / (self.count + 1))
        self.mean += gain * (tokens - self.mean)


class LengthEstimator:
    """Predicts lengths and corrects the prediction while streaming."""

    def __init__(self, *, max_customers=MAX_CUSTOMERS):
        self._max_customers = max_customers
        self._classes = collections.defaultdict(_Histogram)
        self._customers = collections.OrderedDict()
        self._chars_per_token = {}

    def observe(self, customer, class_name, tokens):
        """Learn from a complete response of ``tokens`` tokens."""
        key = (customer, class_name)
        entry = self._customers.get(key)
        if entry is None:
            entry = _Customer(self._of_class(class_name))
            self._customers[key] = entry
            if len(self._customers) > self._max_customers:
                self._customers.popitem(last=False)
        self._customers.move_to_end(key)
        entry.add(tokens)
        self._classes[class_name].add(tokens)

    def predict(self, customer, class_name):
        """Return the :class:`LengthPrediction` of a new response."""
        prior = self._of_class(class_name)
        entry = self._customers.get((customer, class_name))
        if entry is None:
            return prior
        part = entry.count / (entry.count + PRIOR_WEIGHT)
        return LengthPrediction(
            round(prior.mean + part * (entry.mean - prior.mean)),
            _mix(prior.median, entry.median, part),
            _mix(prior.high, entry.high, part),
        )

    def correct(self, customer, class_name, generated):
        """Return the expected total of a response while it is streamed."""
        predicted = self.predict(customer, class_name).mean
        if generated < predicted:
            return predicted
        return self._classes[class_name].quantile(0.5, above=generated)

    def observe_prompt(self, class_name, characters, tokens):
        """Learn how many characters of a class make a token."""
        old = self._chars_per_token.get(class_name, DEFAULT_CHARS_PER_TOKEN)
        value = characters / max(1, tokens)
        self._chars_per_token[class_name] = old + 0.05 * (value - old)

    def predict_prompt(self, class_name, characters):
        """Return the expected tokens of a prompt of so many characters."""
        per_token = self._chars_per_token.get(
            class_name, DEFAULT_CHARS_PER_TOKEN
        )
        return max(1, round(characters / max(0.1, per_token)))

    def _of_class(self, class_name):
        return self._classes[class_name].summary()


def _mix(prior, logarithm, part):
    """Mix a value and a logarithm geometrically."""
    base = math.log2(max(1, prior))
    return round(2 ** (base + part * (logarithm - base)))
