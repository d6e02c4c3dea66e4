"""Soft state: demand reported by daemons, and their shares of capacity.

Replicas keep the reports in memory only. All daemons are put in one order, and
the answer to a report tells a daemon its own weight, the sum of the weights
before it and the total. A capacity is divided in proportion to these prefix
sums, rounded down. Neighbours round the same sum, so the parts add up to the
capacity exactly.

The weight of a live daemon is its demand plus one, so that a daemon without
demand gets a part for its first request. The weight of a draining daemon is
its demand only.
"""

import itertools
import pathlib

import attrs
import capnp

import paddle_kernel as kernel

LIVE = 'live'
DRAINING = 'draining'
SILENCE_LIMIT_MS = 3_000
# Totals are computed at most once per period, which is also the polling period
# of the daemons. This bounds the work of a replica (9 ms for 390 daemons with
# 6 classes), and daemons that poll within one period get consistent totals.
TOTALS_PERIOD_MS = 200


@attrs.frozen
class ClassDemand:
    """Demand of one class, in a unit that is the same for all daemons."""

    class_name: str
    demand: int


@attrs.frozen
class DemandReport:
    """Demand of a daemon, sent with its configuration poll."""

    daemon: str
    incarnation: str
    state: str
    classes: tuple[ClassDemand, ...]


@attrs.frozen
class ClassTotal:
    """Position of a daemon among the weights of one class.

    ``before`` is the sum of the weights of the daemons that come before it,
    ``own`` its own weight and ``total`` that of all.
    """

    class_name: str
    total: int
    before: int
    own: int


@attrs.frozen
class DemandTotals:
    """Answer to a report. ``rank`` counts the live daemons before it.

    Besides the reported classes there is an entry with the empty name for
    the demand of all classes together.
    """

    live_daemons: int
    rank: int
    classes: tuple[ClassTotal, ...]


ALL_CLASSES = ''


class SoftState:
    """Reports of the daemons that one replica has received."""

    def __init__(self, clock):
        self._clock = clock
        # Report and time of arrival by daemon name.
        self._entries = {}
        self._totals = {}
        self._computed_ms = self._oldest_report_ms = clock.now_ms()

    def report(self, report):
        """Keep ``report`` and return the :class:`DemandTotals` for it.

        The totals may be computed from reports that are up to
        :data:`TOTALS_PERIOD_MS` old, also from an older one of the caller.
        """
        now_ms = self._clock.now_ms()
        self._entries[report.daemon] = (report, now_ms)
        is_due = now_ms - self._computed_ms >= TOTALS_PERIOD_MS
        has_silent = now_ms - self._oldest_report_ms > SILENCE_LIMIT_MS
        if is_due or has_silent or report.daemon not in self._totals:
            self._update_totals(now_ms)
        return self._totals[report.daemon]

    def _update_totals(self, now_ms):
        self._expire(now_ms)
        self._computed_ms = now_ms
        self._oldest_report_ms = min(
            received_ms for _, received_ms in self._entries.values()
        )
        self._totals = compute_totals(
            [self._entries[name][0] for name in sorted(self._entries)]
        )

    def dump(self):
        """Return plain data about the daemons with a recent report."""
        now_ms = self._clock.now_ms()
        self._expire(now_ms)
        return {
            name: {'state': report.state, 'age_ms': now_ms - received_ms}
            for name, (report, received_ms) in sorted(self._entries.items())
        }

    def _expire(self, now_ms):
        silent = [
            name
            for name, (_, received_ms) in self._entries.items()
            if now_ms - received_ms > SILENCE_LIMIT_MS
        ]
        for name in silent:
            del self._entries[name]


def compute_totals(reports):
    """Return the :class:`DemandTotals` of each daemon by its name.

    ``reports`` has one report of each daemon, in the order of summation.
    """
    demands = [_demands(report) for report in reports]
    live = [int(report.state == LIVE) for report in reports]
    class_names = sorted({name for demand in demands for name in demand})
    positions = [[] for _ in reports]
    for name in class_names:
        weights = [
            demand.get(name, 0) + base
            for demand, base in zip(demands, live, strict=True)
        ]
        total, before = sum(weights), 0
        for position, weight in zip(positions, weights, strict=True):
            position.append(ClassTotal(name, total, before, weight))
            before += weight
    ranks = itertools.accumulate(live, initial=0)
    return {
        report.daemon: DemandTotals(sum(live), rank, tuple(position))
        for report, rank, position in zip(reports, ranks, positions)
    }


def choose_totals(candidates):
    """Return the totals to use out of the answers of several replicas.

    The answer with the most live daemons is used as a whole, because
    positions of different replicas are not consistent. A replica that
    restarted has few reports and would grant each daemon too much.
    """
    return max(
        candidates, key=lambda totals: totals.live_daemons, default=None
    )


def _demands(report):
    demands = {ALL_CLASSES: 0}
    for item in report.classes:
        demands[item.class_name] = demands.get(item.class_name, 0)
        demands[item.class_name] += item.demand
        demands[ALL_CLASSES] += item.demand
    return demands


@attrs.frozen
class Share:
    """Share of one daemon in a capacity."""

    total: int
    before: int
    own: int

    def of(self, capacity):
        """Return the part of the integer ``capacity`` of this daemon."""
        if not self.total:
            return 0
        end = capacity * (self.before + self.own) // self.total
        return end - capacity * self.before // self.total


def compute_share(own, totals, class_name=ALL_CLASSES):
    """Return the :class:`Share` of the daemon that sent the report ``own``.

    ``totals`` has to be an answer to this daemon. With ``class_name`` the
    share of one class is computed, for example of a customer's limit in it,
    otherwise that of all classes together. The parts of all daemons whose
    answers are based on the same reports add up to the capacity. A class that
    no daemon has reported is divided evenly.
    """
    for item in totals.classes:
        if item.class_name == class_name:
            return Share(item.total, item.before, item.own)
    return even_share(own, totals)


def even_share(own, totals):
    """Return the :class:`Share` that divides evenly by live daemons."""
    live = 1 if own.state == LIVE else 0
    return Share(totals.live_daemons, totals.rank, live)


_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('soft_state.capnp')))
kernel.codec.register_schema(
    _SCHEMA, (ClassDemand, ClassTotal, DemandReport, DemandTotals)
)
