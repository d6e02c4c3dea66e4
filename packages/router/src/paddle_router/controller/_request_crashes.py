"""Collects the gateways' observations of traits that crash servers.

The controllers pass the observations of their gateways on to the lease holder,
which decides for all. Every instance keeps the decisions in force and reports
them, so they outlast a change of the lease holder and a restart of all
controllers. The lease holder also stores them in a register, for a restart of
all instances.
"""

import json

import paddle_coord
import paddle_kernel
import returns.result

from paddle_router.controller import _events
from paddle_router.controller import _gateway_sums
from paddle_router import policy

DECISION_PERIOD_MS = 150
REGISTER_KEY = 'refused-parts'


def _decode(data):
    """Return the stored :class:`policy.RefusedTrait` objects."""
    return tuple(
        policy.RefusedTrait(id=trait, until_ms=until_ms)
        for trait, until_ms in (json.loads(data) if data else {}).items()
    )


def _merge(data, refused, now_ms):
    """Return the register value ``data`` with ``refused`` added."""
    until_ms = {item.id: item.until_ms for item in _decode(data)}
    for item in refused:
        until_ms[item.id] = max(item.until_ms, until_ms.get(item.id, 0))
    merged = {
        trait: end_ms for trait, end_ms in until_ms.items() if end_ms > now_ms
    }
    if data is not None and merged == json.loads(data):
        return paddle_coord.Reject('nothing to add')
    return json.dumps(merged).encode()


class RequestCrashCollection:
    """The evidence of one controller and the decisions in force."""

    def __init__(self, wall, fleet):
        self._wall = wall
        self._fleet = fleet
        self._evidence = policy.RequestCrashes()
        # Suspects as the lease holder named them.
        self._suspects = ()
        # Ids of reports that the lease holder has confirmed.
        self._confirmed = set()
        self._holder = None
        self._is_loaded = False
        self._stored = frozenset()

    def load(self, register):
        """Add the stored refusals, once; repeat the call after a failure."""
        if self._is_loaded:
            return
        result = register.quick_read(REGISTER_KEY)
        if not isinstance(result, returns.result.Success):
            return
        self._is_loaded = True
        self._evidence.add_refused(
            _decode(result.unwrap()), self._wall.now_ms()
        )

    def store(self, register):
        """Store refusals that have not been stored yet."""
        now_ms = self._wall.now_ms()
        refused = self._evidence.refused(now_ms)
        if self._stored.issuperset(refused):
            return
        result = register.change(
            REGISTER_KEY, lambda data: _merge(data, refused, now_ms)
        )
        if isinstance(result, returns.result.Success):
            self._stored = frozenset(refused)
        else:
            paddle_kernel.emit(
                _events.REFUSALS_NOT_STORED, error=str(result.failure())
            )

    def add(self, report):
        """Add the evidence in a report of a gateway or a controller."""
        now_ms = self._wall.now_ms()
        self._evidence.add_reports(report.crashes, now_ms)
        self._evidence.add_served(report.served, now_ms)
        self._evidence.add_refused(report.refused, now_ms)

    def decide(self):
        """Decide on suspects and refused traits, as the lease holder."""
        # A later lease holder has no reports.
        self._holder = None
        period_ms = self._fleet.period_ms() + _gateway_sums.RELAY_PERIOD_MS
        # One period to announce a suspect, one for the replies.
        blames = self._evidence.decide(
            self._wall.now_ms(), 2 * period_ms + DECISION_PERIOD_MS
        )
        self._suspects = self._evidence.suspects
        for blame in blames:
            paddle_kernel.emit(
                _events.TRAIT_BLAMED,
                trait=blame.trait.id,
                until_ms=blame.trait.until_ms,
                servers=[item.id for item in blame.servers],
            )

    def report_fields(self, holder):
        """Return the fields of a :class:`ControllerReport` on crashes."""
        if holder != self._holder:
            # A new holder has no reports and asks for its own suspects.
            self._holder = holder
            self._suspects = ()
            self._confirmed = set()
        reports = self._evidence.reports()
        self._confirmed.intersection_update(item.id for item in reports)
        return {
            'crashes': tuple(
                item for item in reports if item.id not in self._confirmed
            ),
            'served': self._evidence.served(self._suspects),
            'refused': self._evidence.refused(self._wall.now_ms()),
        }

    def apply_reply(self, report, reply):
        """Apply the lease holder's reply to ``report``."""
        self._confirmed.update(item.id for item in report.crashes)
        self._suspects = reply.suspects
        self._evidence.add_refused(reply.refused, self._wall.now_ms())

    def reply_fields(self):
        """Return the fields on crashes of a reply to a report."""
        return {
            'suspects': self._suspects,
            'refused': self._evidence.refused(self._wall.now_ms()),
        }

    def dump(self):
        """Return plain data for the state dump."""
        return self._evidence.dump()
