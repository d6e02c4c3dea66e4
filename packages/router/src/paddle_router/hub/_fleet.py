"""Soft state of a controller: gateways, their load and the server list."""

import collections
import hashlib
import statistics

import attrs

from paddle_router import gateway

# A gateway reports every 250 ms; after six missing reports it is not counted
# as sending any more.
LIVE_MS = 1_500
# Three reads of the list fit. An older list may name servers that left, or
# lack those that a gateway's own list has.
LIST_FRESH_MS = 1_600
# Gateways that lose their controller find the next one within 1.2 s.
INFORMED_MS = 1_300
# Gateways are counted for the retry budget a while longer, since what they
# sent still counts in the window of the budget.
COUNTED_MS = 5_000
# Usage of a gateway is kept until all windows it took part in were sealed.
KEPT_MS = 60_000


@attrs.define
class _Known:
    report: gateway.FrontReport
    seen_ms: int
    is_attached: bool


class Fleet:
    """What gateways reported and the platform listed."""

    def __init__(self, clock):
        self._clock = clock
        self._reports = {}
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
        return self._clock.now_ms() - self._attached_ms < LIVE_MS

    @property
    def is_informed(self):
        """Whether a list was read and gateways had time to report.

        A controller that just took over would otherwise give servers back
        and seal usage windows without knowing the load and the counts.
        """
        if self.servers is None or self._informed_since_ms is None:
            return False
        informed_ms = self._clock.now_ms() - self._informed_since_ms
        return self.has_gateways and informed_ms >= INFORMED_MS

    def note(self, reports, attached):
        """Keep the reports that are newer than those held."""
        now_ms = self._clock.now_ms()
        if attached and not self.has_gateways:
            self._informed_since_ms = now_ms
        if attached:
            self._attached_ms = now_ms
        for report in reports:
            known = self._reports.get(report.incarnation)
            if known is None or report.sequence > known.report.sequence:
                self._reports[report.incarnation] = _Known(
                    report, now_ms, attached
                )
        for key, known in list(self._reports.items()):
            if now_ms - known.seen_ms > KEPT_MS:
                del self._reports[key]

    def own_reports(self):
        """Return the reports of gateways that exchange state here."""
        now_ms = self._clock.now_ms()
        return tuple(
            known.report
            for known in self._reports.values()
            if known.is_attached and now_ms - known.seen_ms < COUNTED_MS
        )

    def count(self):
        """Return the number of gateways seen in the last seconds."""
        now_ms = self._clock.now_ms()
        return len(
            {
                known.report.name
                for known in self._reports.values()
                if now_ms - known.seen_ms < COUNTED_MS
            }
        )

    def flights(self):
        """Return the sums over all live gateways, by server id."""
        now_ms = self._clock.now_ms()
        sums = {}
        for known in self._reports.values():
            if now_ms - known.seen_ms < LIVE_MS:
                for item in known.report.flights:
                    sums[item.id] = _add(sums.get(item.id), item)
        return sums

    def server_rate(self):
        """Return the median reading rate that gateways measured, or 0."""
        now_ms = self._clock.now_ms()
        rates = [
            known.report.server_rate
            for known in self._reports.values()
            if now_ms - known.seen_ms < LIVE_MS and known.report.server_rate
        ]
        return statistics.median(rates) if rates else 0

    def usage(self, window):
        """Return ``{customer: requests}`` of ``window``."""
        totals = collections.Counter()
        for known in self._reports.values():
            for item in known.report.usage:
                if item.window == window:
                    totals[item.customer] += item.requests
        return dict(totals)

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


def _add(total, item):
    if total is None:
        return item
    answers = total.answers + item.answers
    paced = total.pace_ms * total.answers + item.pace_ms * item.answers
    return gateway.ServerFlights(
        id=item.id,
        running=total.running + item.running,
        prefill=total.prefill + item.prefill,
        failures=total.failures + item.failures,
        answers=answers,
        pace_ms=paced // answers if answers else 0,
        read_rate=total.read_rate + item.read_rate,
    )
