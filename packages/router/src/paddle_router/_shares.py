"""This daemon's share of engine slots and limits, from its demand.

With every poll the daemon reports its demand to all replicas. The answer
places it on a line on which all daemons lie one after the other; its stretch
of that line is its part of the slots of every engine and of every limit.
"""

import uuid

import paddle_coord
import paddle_kernel

CALL_TIMEOUT_MS = 500
# Replicas forget a daemon that was silent for 3,000 ms.
LONGEST_MS = 1_000


class ShareTask:
    """Reports demand and applies the share.

    ``addresses()`` returns the present replicas.
    """

    def __init__(self, core, transport, addresses, settings):
        self._core = core
        self._transport = transport
        self._addresses = addresses
        self._settings = settings
        self._incarnation = uuid.uuid4().hex
        self._applied = None
        self.leaving = False
        self.live_daemons = None
        self._totals = None
        if settings.replicas:
            # Without a share of its own a new daemon would use slots that
            # belong to others.
            core.dispatcher.set_share(0.0, 0.0)

    @property
    def known(self):
        """Whether a share is known."""
        return self._applied is not None or not self._settings.replicas

    def poll(self):
        """Report once; without any answer the last share is kept."""
        if not self._settings.replicas:
            return
        report = self._report()
        calls = dict.fromkeys(self._addresses(), report)
        answers = [
            result.unwrap()
            for _, result in paddle_kernel.broadcast(
                self._transport, calls, CALL_TIMEOUT_MS
            )
            if isinstance(result.value_or(None), paddle_coord.DemandTotals)
        ]
        totals = paddle_coord.choose_totals(answers)
        if totals is not None:
            self._totals = totals
            self.live_daemons = totals.live_daemons
            self._apply(paddle_coord.compute_share(report, totals))

    def demand_by_class(self):
        """Return the requests queued and running at all daemons.

        By class; ``None`` before the first answer.
        """
        if self._totals is None:
            return None
        # Each live daemon counts one more than its demand.
        return {
            item.class_name: max(0, item.total - self._totals.live_daemons)
            for item in self._totals.classes
            if item.class_name
        }

    def dump(self):
        """Return plain data for the state dump."""
        return {'share': self._applied, 'live_daemons': self.live_daemons}

    def _report(self):
        # A draining daemon still takes requests until it stops listening,
        # so it counts as live until then.
        state = 'draining' if self.leaving else 'live'
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

    def _apply(self, share):
        total = max(1, share.total)
        part = (share.before / total, (share.before + share.own) / total)
        if part != self._applied:
            self._applied = part
            self._core.dispatcher.set_share(*part)
