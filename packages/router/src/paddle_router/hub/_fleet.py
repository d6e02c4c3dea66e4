"""Soft state of a controller: gateways, their load and the server list."""

import collections
import hashlib
import statistics

import attrs

from paddle_router import gateway
from paddle_router.hub import _load_sums
from paddle_router.hub import _recent

# A gateway reports every 250 ms, more rarely among many; after six missing
# reports it is not counted as sending any more.
LIVE_PERIODS = 6
# Three reads of the list fit. An older list may name servers that left, or
# lack those that a gateway's own list has.
LIST_FRESH_MS = 1_600
# Gateways that lose their controller find the next one within 0.9 s and then
# report within a period.
INFORMED_MS = 1_050
# Gateways are counted for the retry budget a while longer, since what they
# sent still counts in the window of the budget.
COUNTED_MS = 5_000
# A gateway that was frozen or cut off may still have counts to report.
REPORTING_MS = 15_000
# Usage of a gateway is kept until all windows it took part in were sealed.
KEPT_MS = 60_000


@attrs.frozen
class _Known:
    report: gateway.FrontReport
    is_attached: bool


class Fleet:
    """What gateways reported and the platform listed."""

    def __init__(self, clock):
        self._clock = clock
        # By incarnation: reports that count as load, names that count as
        # gateways, and reports whose usage is kept. By name: gateways that
        # may still report usage.
        self._live = _recent.Recent()
        self._counted = _recent.Recent()
        self._kept = _recent.Recent()
        self._reporting = _recent.Recent()
        self._sums = _load_sums.LoadSums()
        self._names = collections.Counter()
        self._attached_ms = None
        self._informed_since_ms = None
        self.servers = None
        self.listing = ''
        self.listed_ms = None

    @property
    def has_gateways(self):
        """Whether a gateway exchanged state with this process lately."""
        if self._attached_ms is None:
            return False
        return self._clock.now_ms() - self._attached_ms < self._live_ms()

    @property
    def is_informed(self):
        """Whether a list was read and gateways had time to report.

        A controller that just took over would otherwise give servers back
        and seal usage windows without knowing the load and the counts.
        """
        if self.servers is None or self._informed_since_ms is None:
            return False
        informed_ms = self._clock.now_ms() - self._informed_since_ms
        needed_ms = INFORMED_MS + self._period_ms()
        return self.has_gateways and informed_ms >= needed_ms

    def note(self, reports, attached):
        """Keep the reports that are newer than those held."""
        now_ms = self._clock.now_ms()
        if attached and not self.has_gateways:
            self._informed_since_ms = now_ms
        if attached:
            self._attached_ms = now_ms
        for report in reports:
            known = self._kept.get(report.incarnation)
            if known is None or report.sequence > known.report.sequence:
                self._keep(_Known(report, attached), now_ms)
        self._kept.end_before(now_ms - KEPT_MS)

    def own_reports(self):
        """Return the reports of gateways that exchange state here."""
        self._end_counted()
        return tuple(
            known.report
            for known in self._counted.values()
            if known.is_attached
        )

    def count(self):
        """Return the number of gateways seen in the last seconds."""
        self._end_counted()
        return len(self._names)

    def flights(self):
        """Return the sums over all live gateways, by server id."""
        self._end_live()
        return self._sums.flights()

    def server_rate(self):
        """Return the median reading rate that gateways measured, or 0."""
        self._end_live()
        rates = [
            known.report.server_rate
            for known in self._live.values()
            if known.report.server_rate
        ]
        return statistics.median(rates) if rates else 0

    def usage(self, window):
        """Return ``{customer: requests}`` of ``window``."""
        totals = collections.Counter()
        for known in self._kept.values():
            for item in known.report.usage:
                if item.window == window:
                    totals[item.customer] += item.requests
        return dict(totals)

    def has_reports_of_all(self, age_ms):
        """Whether every gateway has reported in the last ``age_ms``.

        Gateways that were not heard of for ``REPORTING_MS`` are left out;
        false unless gateways were heard of for that long.
        """
        now_ms = self._clock.now_ms()
        self._reporting.end_before(now_ms - REPORTING_MS)
        if not self.is_informed:
            return False
        if now_ms - self._informed_since_ms < REPORTING_MS:
            return False
        # The one heard of longest ago comes first.
        return now_ms - self._reporting.values()[0] <= age_ms

    def set_servers(self, servers):
        """Use a list just read; return whether it differs."""
        self.listed_ms = self._clock.now_ms()
        # What changes with every read would be sent to every gateway.
        servers = tuple(
            attrs.evolve(item, cold_ms=0)
            for item in sorted(servers, key=lambda item: item.id)
        )
        if servers == self.servers:
            return False
        self.servers = servers
        self.listing = hashlib.blake2b(
            repr(servers).encode(), digest_size=8
        ).hexdigest()
        return True

    def listing_for(self, held):
        """Return the version and servers to send to a gateway.

        No servers if it holds this version, or if the list is too old to
        replace another one.
        """
        age_ms = self.list_age_ms()
        if age_ms is None or held == self.listing:
            return held, ()
        if held and age_ms > LIST_FRESH_MS:
            return held, ()
        return self.listing, self.servers

    def list_age_ms(self):
        """Return the age of the list, ``None`` without one."""
        if self.listed_ms is None:
            return None
        return self._clock.now_ms() - self.listed_ms

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'gateways': self.count(),
            'servers': len(self.servers or ()),
            'list_age_ms': self.list_age_ms(),
            'flights': {
                key: item.running for key, item in self.flights().items()
            },
        }

    def _keep(self, known, now_ms):
        report = known.report
        key = report.incarnation
        self._kept.see(key, known, now_ms)
        self._reporting.see(report.name, now_ms, now_ms)
        if self._counted.see(key, known, now_ms) is None:
            self._names[report.name] += 1
        previous = self._live.see(key, known, now_ms)
        if previous is not None:
            self._sums.remove(previous.report.flights)
        self._sums.add(report.flights)

    def _end_live(self):
        limit_ms = self._clock.now_ms() - self._live_ms()
        for known in self._live.end_before(limit_ms + 1):
            self._sums.remove(known.report.flights)

    def _end_counted(self):
        limit_ms = self._clock.now_ms() - COUNTED_MS
        for known in self._counted.end_before(limit_ms + 1):
            name = known.report.name
            self._names[name] -= 1
            if not self._names[name]:
                del self._names[name]

    def _period_ms(self):
        return gateway.sync_period_ms(self.count())

    def _live_ms(self):
        return LIVE_PERIODS * self._period_ms()
