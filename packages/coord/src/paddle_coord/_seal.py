"""Usage counts and sealed windows, without I/O.

Counts are ``{customer: {class: {field: int}}}`` with the fields ``requests``,
``prompt_tokens`` and ``generated_tokens``, cumulative per window and daemon
incarnation. A window is identified by its start in ms since the Unix epoch.
Usage is a mapping ``{(window, daemon): counts}``, whose keys are usage ids.
"""

import collections
import json

import attrs

from paddle_coord import _register


def canonical_json(value):
    """Return canonical JSON: equal values give the same text."""
    return json.dumps(value, separators=(',', ':'), sort_keys=True)


def _combine(left, right, function):
    """Apply ``function`` to each pair of numbers; missing ones are 0."""
    result = {}
    for customer in left.keys() | right.keys():
        classes = left.get(customer, {}), right.get(customer, {})
        for name in classes[0].keys() | classes[1].keys():
            fields = classes[0].get(name, {}), classes[1].get(name, {})
            combined = {
                field: function(
                    fields[0].get(field, 0), fields[1].get(field, 0)
                )
                for field in fields[0].keys() | fields[1].keys()
            }
            if any(combined.values()):
                result.setdefault(customer, {})[name] = combined
    return result


def total_of(all_counts):
    """Return the sum of many counts, in time linear in the rows."""
    total = {}
    for counts in all_counts:
        for customer, classes in counts.items():
            sums = total.setdefault(customer, {})
            for name, fields in classes.items():
                row = sums.setdefault(name, {})
                for field, value in fields.items():
                    row[field] = row.get(field, 0) + value
    return total


def subtract(counts, billed):
    """Return ``counts`` minus ``billed``, without rows of zeros."""
    return _combine(counts, billed, lambda a, b: max(0, a - b))


def merge(data, counts):
    """Return the field-wise maximum of stored and new counts as bytes.

    A delayed older flush therefore changes nothing.
    """
    stored = {} if data is None else json.loads(data)
    return canonical_json(_combine(stored, counts, max)).encode()


@attrs.frozen(kw_only=True)
class Seal:
    """Value of the write-once register of a window.

    ``report`` is the text of the report. ``included`` has the cumulative
    counts of this window by daemon, and ``late`` those of earlier windows by
    ``<window>/<daemon>``, both at the time of sealing. ``previous`` is the
    window that was sealed before this one.
    """

    window: int
    previous: int | None
    report: str
    included: dict
    late: dict

    def to_bytes(self):
        """Return the register's bytes."""
        return canonical_json(attrs.asdict(self)).encode()

    @classmethod
    def from_bytes(cls, data):
        """Return the seal in ``data``, ``None`` for an absent key."""
        return None if data is None else cls(**json.loads(data))


@attrs.frozen
class Head:
    """The window sealed last or being sealed, and its predecessor."""

    previous: int | None
    window: int

    def to_bytes(self):
        """Return the register's bytes."""
        return canonical_json([self.previous, self.window]).encode()

    @classmethod
    def from_bytes(cls, data):
        """Return the head in ``data``, ``None`` before the first window."""
        return None if data is None else cls(*json.loads(data))


def advance_head(data, expected, window):
    """Return the bytes of the next head if ``expected`` is the head.

    All processes thereby agree on the order of sealing, also when windows are
    skipped. Otherwise one process could skip a window without usage that
    another one seals, and its late usage would be billed twice.
    """
    head = Head.from_bytes(data)
    if head != expected:
        return _register.Reject('another process advanced the head')
    previous = None if head is None else head.window
    if previous is not None and window <= previous:
        return _register.Reject(f'window {window} is not after {previous}')
    return Head(previous, window).to_bytes()


def write_once(data, seal):
    """Return the bytes of ``seal`` unless the window is already sealed."""
    if data is not None:
        return _register.Reject('the window is already sealed')
    return seal.to_bytes()


def late_id(window, daemon):
    """Return the key of late usage within :attr:`Seal.late`."""
    return f'{window}/{daemon}'


def split_late_id(name):
    """Return ``(window, daemon)`` of a key made by :func:`late_id`."""
    window, _, daemon = name.partition('/')
    return int(window), daemon


def billed_by(seals):
    """Return the cumulative usage that ``seals`` have billed."""
    billed = {}
    for seal in seals:
        own = {
            (seal.window, daemon): counts
            for daemon, counts in seal.included.items()
        }
        late = {
            split_late_id(name): counts for name, counts in seal.late.items()
        }
        for usage_id, counts in {**own, **late}.items():
            billed[usage_id] = _combine(billed.get(usage_id, {}), counts, max)
    return billed


def unbilled(window, usage, billed):
    """Return the usage of earlier windows that is not billed yet."""
    remaining = {
        usage_id: subtract(counts, billed.get(usage_id, {}))
        for usage_id, counts in usage.items()
        if usage_id[0] < window
    }
    return {
        usage_id: counts for usage_id, counts in remaining.items() if counts
    }


def build_seal(window, window_ms, previous, usage, billed):
    """Return the seal of ``window`` for ``usage``.

    ``billed`` is the usage billed by the seals up to ``previous``.
    """
    included = {
        daemon: counts
        for (start, daemon), counts in usage.items()
        if start == window
    }
    late = unbilled(window, usage, billed)
    return Seal(
        window=window,
        previous=previous,
        report=_report_json(window, window_ms, included, late),
        included=included,
        late={late_id(*usage_id): usage[usage_id] for usage_id in late},
    )


def _report_json(window, window_ms, included, late):
    return canonical_json(
        {
            'window': str(window),
            'start_ms': window,
            'end_ms': window + window_ms,
            'usage': _rows(total_of(included.values())),
            'late': [
                {
                    'id': f'late/{late_id(start, daemon)}',
                    'window': str(start),
                    'usage': _rows(counts),
                }
                for (start, daemon), counts in sorted(late.items())
            ],
        }
    )


def _rows(counts):
    """Return counts as sorted rows, one per customer and class."""
    return [
        {'customer': customer, 'class': name, **fields}
        for customer, classes in sorted(counts.items())
        for name, fields in sorted(classes.items())
    ]


def report_totals(reports):
    """Return the sum of all rows of ``reports``, by customer and class.

    Each value is ``(requests, prompt tokens, generated tokens)``.
    """
    totals = collections.defaultdict(lambda: (0, 0, 0))
    for data in reports:
        report = json.loads(data)
        rows = list(report['usage'])
        for entry in report['late']:
            rows.extend(entry['usage'])
        for row in rows:
            customer_class = row['customer'], row['class']
            counts = (
                row.get('requests', 0),
                row.get('prompt_tokens', 0),
                row.get('generated_tokens', 0),
            )
            totals[customer_class] = tuple(
                map(sum, zip(totals[customer_class], counts, strict=True))
            )
    return dict(totals)


@attrs.frozen
class ReportProgress:
    """The last reported window, and windows with conflicting reports."""

    window: int | None = None
    conflicts: tuple = ()

    def to_bytes(self):
        """Return the register's bytes."""
        return canonical_json([self.window, self.conflicts]).encode()

    @classmethod
    def from_bytes(cls, data):
        """Return the value in ``data``; an empty one for an absent key."""
        if data is None:
            return cls()
        window, conflicts = json.loads(data)
        return cls(window, tuple(conflicts))


def mark_reported(data, window, conflict, kept):
    """Return the bytes with ``window`` marked as reported.

    The last ``kept`` conflicts are kept.
    """
    reported = ReportProgress.from_bytes(data)
    if reported.window is not None and reported.window >= window:
        return _register.Reject('the window is already reported')
    conflicts = reported.conflicts
    if conflict:
        conflicts = (*conflicts, window)[-kept:]
    return ReportProgress(window, conflicts).to_bytes()
