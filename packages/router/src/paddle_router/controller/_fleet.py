"""Soft state of a controller: gateways, their load and the server list."""

import collections
import math
import statistics

import attrs

import paddle_kernel
from paddle_router.controller import _expiring_map
from paddle_router.controller import _load_sums
from paddle_router.controller import _server_list
from paddle_router import gateway

# Time between two reports of a gateway; longer at a controller with many, so
# that it answers 250 exchanges a second at most.
SYNC_MS = 250
SYNC_MS_PER_GATEWAY = 4
# A gateway that misses this many reports is not counted as sending any more.
# It may report to another controller meanwhile and then counts twice.
LIVE_PERIODS = 4
# Three reads of the list fit. An older list may name servers that left, or
# lack those that a gateway's own list has.
LIST_FRESH_MS = 1_600
# Gateways that lose their controller find the next one within 0.9 s and then
# report within a period, and controllers pass their reports on every 150 ms.
INFORMED_MS = 1_200
# Gateways are counted for the retry budget a while longer, since what they
# sent still counts in the window of the budget.
COUNTED_MS = 5_000
# A gateway that was frozen or cut off may still have counts to report.
REPORTING_MS = 15_000
# What the controller in charge before said of that number is used this long.
EXPECTED_MS = 60_000
# Usage of a gateway is kept until all windows it took part in were sealed.
KEPT_MS = 60_000


@attrs.frozen
class _Known:
    """The last report of a gateway; ``usage`` maps (window, customer)."""

    name: str
    incarnation: str
    sequence: int
    made_ms: int
    server_rate: int
    usage: dict
    flights: tuple = ()
    is_attached: bool = False


def _merged_usage(known, counts):
    """Return the counts known of a gateway with newer ones.

    Counts are cumulative, so of two for a window the larger one is newer.
    """
    usage = dict(known.usage) if known is not None else {}
    for item in counts:
        key = item.window, item.customer
        usage[key] = max(item.requests, usage.get(key, 0))
    return usage


class Fleet:
    """What gateways reported and the platform listed."""

    def __init__(self, clock, wall=None):
        self._clock = clock
        self._wall = wall or paddle_kernel.SteadyWall(clock)
        # By incarnation: reports that count as load, names that count as
        # gateways, and reports whose usage is kept. By name: gateways that
        # may still report usage.
        self._live = _expiring_map.ExpiringMap()
        self._attached = 0
        self._counted = _expiring_map.ExpiringMap()
        self._kept = _expiring_map.ExpiringMap()
        self._reporting = _expiring_map.ExpiringMap()
        self._sums = _load_sums.LoadSums()
        self._names = collections.Counter()
        self._attached_ms = None
        self._heard_ms = None
        self._informed_since_ms = None
        self._in_charge = False
        self._expected = 0
        self._expected_ms = None
        self.list = _server_list.ServerList(clock, self._wall)

    @property
    def serves_gateways(self):
        """Whether a gateway exchanged state with this process lately."""
        return self._is_recent(self._attached_ms)

    @property
    def has_gateways(self):
        """Whether a gateway was heard of lately, also through others."""
        return self._is_recent(self._heard_ms)

    def set_in_charge(self, in_charge):
        """Note whether this process holds the lease.

        Other controllers pass on what their gateways report only to the one
        in charge, so it has to wait for that when it takes over.
        """
        if in_charge and not self._in_charge:
            self._informed_since_ms = self._clock.now_ms()
        self._in_charge = in_charge

    @property
    def is_informed(self):
        """Whether a list was read and gateways had time to report.

        A controller that just took over would otherwise give servers back
        and seal usage windows without knowing the load and the counts.
        """
        if self.servers is None or not self._in_charge:
            return False
        informed_ms = self._clock.now_ms() - self._informed_since_ms
        needed_ms = INFORMED_MS + self.period_ms()
        return self.has_gateways and informed_ms >= needed_ms

    def add_reports(self, reports, attached):
        """Keep the reports of gateways that are newer than those held."""
        now_ms = self._clock.now_ms()
        if attached:
            self._hear(now_ms)
            self._attached_ms = now_ms
        for report in reports:
            self.list.mark_leaving(report.leaving, report.name)
            known = self._kept.get(report.incarnation)
            if known is not None and report.sequence <= known.sequence:
                continue
            self._keep(
                _Known(
                    name=report.name,
                    incarnation=report.incarnation,
                    sequence=report.sequence,
                    made_ms=now_ms,
                    server_rate=report.server_rate,
                    usage=_merged_usage(known, report.usage),
                    flights=report.flights,
                    is_attached=attached,
                )
            )
        self._kept.expire_before(now_ms - KEPT_MS)

    def add_relayed_reports(self, reports):
        """Keep what another controller passed on of its gateways."""
        now_ms = self._clock.now_ms()
        for item in reports:
            self._hear(now_ms)
            known = self._kept.get(item.incarnation)
            if known is not None and item.sequence < known.sequence:
                continue
            if known is not None and item.sequence == known.sequence:
                # Counts may follow later than the report itself.
                known.usage.update(_merged_usage(known, item.usage))
                continue
            self._keep(
                _Known(
                    name=item.name,
                    incarnation=item.incarnation,
                    sequence=item.sequence,
                    made_ms=now_ms - item.age_ms,
                    server_rate=item.server_rate,
                    usage=_merged_usage(known, item.usage),
                )
            )
        self._kept.expire_before(now_ms - KEPT_MS)

    def reports_to_relay(self, confirmed):
        """Return :class:`RelayedReport` of the gateways that report here.

        ``confirmed`` maps incarnations to the counts, by (window, customer),
        that the receiver has already.
        """
        self._end_counted()
        now_ms = self._clock.now_ms()
        return tuple(
            gateway.RelayedReport(
                name=known.name,
                incarnation=known.incarnation,
                sequence=known.sequence,
                age_ms=now_ms - known.made_ms,
                server_rate=known.server_rate,
                usage=tuple(
                    gateway.UsageCount(
                        window=key[0], customer=key[1], requests=requests
                    )
                    for key, requests in known.usage.items()
                    if confirmed.get(known.incarnation, {}).get(key)
                    != requests
                ),
            )
            for known in self._counted.values()
            if known.is_attached
        )

    def incarnations(self):
        """Return the incarnations of all gateways counted."""
        self._end_counted()
        return {known.incarnation for known in self._counted.values()}

    def sequences(self):
        """Return ``{incarnation: sequence}`` of the reports in the sums."""
        self._end_live()
        return {
            known.incarnation: known.sequence
            for known in self._live.values()
            if known.is_attached
        }

    def period_ms(self):
        """Return the time between two reports of a gateway here."""
        return max(SYNC_MS, SYNC_MS_PER_GATEWAY * self._attached)

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
            known.server_rate
            for known in self._live.values()
            if known.server_rate
        ]
        return statistics.median(rates) if rates else 0

    def usage(self, window):
        """Return ``{customer: requests}`` of ``window``."""
        totals = collections.Counter()
        for known in self._kept.values():
            for (number, customer), requests in known.usage.items():
                if number == window:
                    totals[customer] += requests
        return dict(totals)

    def oldest_window(self):
        """Return the oldest window with counts, ``None`` without any."""
        return min(
            (
                window
                for known in self._kept.values()
                for window, _customer in known.usage
            ),
            default=None,
        )

    def has_reports_of_all(self, age_ms):
        """Whether every gateway has reported in the last ``age_ms``.

        Gateways that were not heard of for ``REPORTING_MS`` are left out;
        false unless gateways were heard of for that long, or as many of them
        as the controller in charge before knew.
        """
        now_ms = self._clock.now_ms()
        reporting = self.reporting()
        if not self.is_informed:
            return False
        if (
            now_ms - self._informed_since_ms < REPORTING_MS
            and reporting < self._expected_reports(now_ms)
        ):
            return False
        return now_ms - min(self._reporting.values()) <= age_ms

    def reporting(self):
        """Return the number of gateways whose usage may still arrive."""
        self._reporting.expire_before(self._clock.now_ms() - REPORTING_MS)
        return len(self._reporting)

    def expect_reports(self, count):
        """Note how many gateways the controller in charge knows."""
        self._expected = count
        self._expected_ms = self._clock.now_ms()

    def _expected_reports(self, now_ms):
        if (
            not self._expected
            or self._expected_ms is None
            or now_ms - self._expected_ms > EXPECTED_MS
        ):
            return math.inf
        return self._expected

    @property
    def servers(self):
        """The servers listed, ``None`` before the first list."""
        return self.list.servers

    @property
    def listing(self):
        """The version of the list of servers."""
        return self.list.listing

    def set_servers(self, servers, age_ms=0, *, is_own_read=False):
        """Use a list read ``age_ms`` ago; return whether it differs."""
        return self.list.use(servers, age_ms, is_own_read=is_own_read)

    def confirm_list(self, age_ms):
        """Note that the list held was the platform's ``age_ms`` ago."""
        self.list.confirm(age_ms)

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
        if self.list.listed_ms is None:
            return None
        return self._clock.now_ms() - self.list.listed_ms

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'gateways': self.count(),
            'servers': len(self.servers or ()),
            'list_age_ms': self.list_age_ms(),
            'notices': self.list.dump(),
            'flights': {
                key: item.running for key, item in self.flights().items()
            },
        }

    def _keep(self, known):
        key, seen_ms = known.incarnation, known.made_ms
        self._kept.put(key, known, seen_ms)
        self._reporting.put(known.name, seen_ms, seen_ms)
        if self._counted.put(key, known, seen_ms) is None:
            self._names[known.name] += 1
        previous = self._live.put(key, known, seen_ms)
        if previous is not None:
            self._forget(previous)
        self._attached += known.is_attached
        self._sums.add(known.flights)

    def _forget(self, known):
        self._attached -= known.is_attached
        self._sums.remove(known.flights)

    def _hear(self, now_ms):
        if not self.has_gateways:
            self._informed_since_ms = now_ms
        self._heard_ms = now_ms

    def _is_recent(self, at_ms):
        if at_ms is None:
            return False
        return self._clock.now_ms() - at_ms < self._live_ms()

    def _end_live(self):
        limit_ms = self._clock.now_ms() - self._live_ms()
        for known in self._live.expire_before(limit_ms + 1):
            self._forget(known)

    def _end_counted(self):
        limit_ms = self._clock.now_ms() - COUNTED_MS
        for known in self._counted.expire_before(limit_ms + 1):
            name = known.name
            self._names[name] -= 1
            if not self._names[name]:
                del self._names[name]

    def _live_ms(self):
        return LIVE_PERIODS * self.period_ms()
