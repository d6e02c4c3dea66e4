"""Token-rate limits of customers and classes, divided among the daemons.

Each daemon enforces its share of a limit locally, so that no request needs a
round trip. The shares of all daemons add up to at most 1, so that together
they stay within the limit.
"""

import collections

import attrs

# Bucket size: after idle time, up to this many seconds of the limit can be
# used at once.
MAX_BURST_S = 10
MS_PER_S = 1_000
# Beyond this number the least recently used buckets are dropped. These are
# usually full, as a new bucket would be.
MAX_BUCKETS = 40_000


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Limits in tokens (prompt and generated) per second.

    Customers and classes without an entry are not limited.
    """

    customers: dict = attrs.field(factory=dict)
    classes: dict = attrs.field(factory=dict)


@attrs.frozen
class LimitExceeded:
    """The limit that was exceeded and when to retry the request."""

    kind: str
    name: str
    retry_after_ms: int


@attrs.define
class _TokenBucket:
    level: float
    updated_ms: int


class Limits:
    """Token buckets by customer and by class."""

    def __init__(self, settings=None):
        self._settings = settings or LimitSettings()
        self._share = 1.0
        self._class_shares = {}
        self._buckets = collections.OrderedDict()

    def apply(self, settings):
        """Replace the limits; keep the levels of the buckets."""
        self._settings = settings

    def set_share(self, share, class_name=None):
        """Set this daemon's share of all limits, or of a class limit."""
        if class_name is None:
            self._share = share
        else:
            self._class_shares[class_name] = share

    def admit(self, customer, class_name, now_ms, tokens=1):
        """Charge ``tokens``; return None, or a :class:`LimitExceeded`.

        A request is admitted if no bucket is empty. It may overdraw a bucket,
        so that a small share does not exclude long requests.
        """
        charged = []
        for kind, name, rate in self._applicable_rates(customer, class_name):
            bucket = self._bucket(kind, name, rate, now_ms)
            if bucket.level <= 0:
                after_ms = int((1 - bucket.level) * MS_PER_S / rate) + 1
                return LimitExceeded(kind, name, after_ms)
            charged.append(bucket)
        for bucket in charged:
            bucket.level -= tokens
        return None

    def correct(self, customer, class_name, now_ms, difference):
        """Charge ``difference`` more tokens, or refund them if negative."""
        for kind, name, rate in self._applicable_rates(customer, class_name):
            bucket = self._bucket(kind, name, rate, now_ms)
            bucket.level = min(rate * MAX_BURST_S, bucket.level - difference)

    def _applicable_rates(self, customer, class_name):
        limit = self._settings.customers.get(customer)
        if limit is not None:
            yield 'customer', customer, max(1e-6, limit * self._share)
        limit = self._settings.classes.get(class_name)
        if limit is not None:
            share = self._class_shares.get(class_name, self._share)
            yield 'class', class_name, max(1e-6, limit * share)

    def _bucket(self, kind, name, rate, now_ms):
        full = rate * MAX_BURST_S
        bucket = self._buckets.get((kind, name))
        if bucket is None:
            bucket = self._buckets[(kind, name)] = _TokenBucket(full, now_ms)
            if len(self._buckets) > MAX_BUCKETS:
                self._buckets.popitem(last=False)
        else:
            self._buckets.move_to_end((kind, name))
        passed_ms = max(0, now_ms - bucket.updated_ms)
        refilled = bucket.level + rate * passed_ms / MS_PER_S
        bucket.level = min(full, refilled)
        bucket.updated_ms = now_ms
        return bucket
