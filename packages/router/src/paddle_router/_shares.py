"""This daemon's share of engine slots and limits, computed from its demand.

With each poll the daemon reports its demand to all replicas. From their
replies it computes a range [low, high) within [0, 1]. The ranges of all
daemons adjoin without overlap; each is the daemon's part of the slots of
every engine and of every limit.
"""

import uuid

import paddle_coord
import paddle_kernel

CALL_TIMEOUT_MS = 500
# Fraction of each capacity that is divided by demand; the rest is divided
# evenly. Demand changes faster than responses end, and a slot that changes
# its owner during a response is used by two daemons at once. Both divisions
# list the daemons in the same order, so their weighted mean has no overlap.
DEMAND_WEIGHT_RATIO = 0.25
# Longest period between reports: replicas drop a daemon that has not reported
# for 3,000 ms.
MAX_REPORT_PERIOD_MS = 1_000


class ShareTask:
    """Reports demand to the replicas and applies the resulting share.

    ``addresses()`` returns the addresses of the current replicas.
    """

    def __init__(self, core, transport, addresses, settings):
        self._core = core
        self._transport = transport
        self._addresses = addresses
        self._settings = settings
        self._incarnation = uuid.uuid4().hex
        self._applied_range = None
        self.is_leaving = False
        self.live_daemons = None
        self._totals = None
        if settings.replicas:
            # Until it has a share, a new daemon must not use slots that
            # belong to other daemons.
            core.dispatcher.set_share(0.0, 0.0)

    @property
    def is_known(self):
        """Whether the share is known; always true without replicas."""
        return self._applied_range is not None or not self._settings.replicas

    def poll(self):
        """Report once; if no replica replies, keep the last share."""
        if not self._settings.replicas:
            return
        report = self._build_report()
        calls = dict.fromkeys(self._addresses(), report)
        replies = [
            result.unwrap()
            for _, result in paddle_kernel.broadcast(
                self._transport, calls, CALL_TIMEOUT_MS
            )
            if isinstance(result.value_or(None), paddle_coord.DemandTotals)
        ]
        totals = paddle_coord.choose_totals(replies)
        if totals is not None:
            self._totals = totals
            self.live_daemons = totals.live_daemons
            self._apply(share_range(report, totals))

    def demand_by_class(self):
        """Return the queued and running requests of all daemons by class.

        Return ``None`` before the first reply.
        """
        if self._totals is None:
            return None
        # In the totals each live daemon counts with its demand plus one.
        return {
            item.class_name: max(0, item.total - self._totals.live_daemons)
            for item in self._totals.classes
            if item.class_name
        }

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'share': self._applied_range,
            'live_daemons': self.live_daemons,
        }

    def _build_report(self):
        # A draining daemon accepts requests until it stops listening, so it
        # reports itself as live until then.
        state = 'draining' if self.is_leaving else 'live'
        return paddle_coord.DemandReport(
            self._settings.name,
            self._incarnation,
            state,
            tuple(
                paddle_coord.ClassDemand(name, count)
                for name, count in sorted(
                    self._core.dispatcher.demand().items()
                )
            ),
        )

    def _apply(self, new_range):
        if new_range != self._applied_range:
            self._applied_range = new_range
            self._core.dispatcher.set_share(*new_range)


def share_range(report, totals):
    """Return the share ``(low, high)`` of the daemon that sent ``report``.

    Both are fractions of each capacity.
    """
    by_demand = _to_range(paddle_coord.compute_share(report, totals))
    even = _to_range(paddle_coord.even_share(report, totals))
    return tuple(
        DEMAND_WEIGHT_RATIO * first + (1 - DEMAND_WEIGHT_RATIO) * second
        for first, second in zip(by_demand, even, strict=True)
    )


def _to_range(share):
    total = max(1, share.total)
    return share.before / total, (share.before + share.own) / total
