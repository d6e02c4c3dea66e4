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
from paddle_router import policy

# Time between two reports of a gateway; longer at a controller with many, so
# that it answers 250 exchanges a second at most.
SYNC_PERIOD_MS = 250
SYNC_PERIOD_PER_GATEWAY_MS = 4
# The load of a gateway that misses this many reports is removed from the sums.
# If it has moved to another controller, its load counts twice until then.
LOAD_EXPIRY_PERIODS = 4
# Three reads of the list fit into this time. An older list may contain servers
# that have stopped, or lack servers that the gateway's own list contains.
LIST_FRESHNESS_MS = 1_600
# A gateway that loses its controller connects to the next one within 0.9 s and
# then reports within a period; controllers relay reports every 150 ms.
REPORT_COLLECTION_MS = 1_200
# Gateways are counted for the retry budget longer than their load, because the
# requests they sent stay in the window of the budget.
GATEWAY_EXPIRY_MS = 5_000
# How long a position is exclusive. A gateway renews it with each exchange, and
# one that has lost its controller follows another one within 0.9 s.
POSITION_LEASE_MS = 2_000
# Time after a change of the positions in which none is exclusive: those of
# before expire, by clocks that differ.
POSITION_HOLD_MS = POSITION_LEASE_MS + 2 * policy.CLOCK_ERROR_MS
# A gateway that was frozen or partitioned may still report usage counts for
# this long.
REPORTING_EXPIRY_MS = 15_000
# How long the number of gateways from the previous lease holder is used.
EXPECTED_GATEWAYS_EXPIRY_MS = 60_000
# Usage of a gateway is kept until all windows it contributed to are sealed.
USAGE_RETENTION_MS = 60_000


@attrs.frozen
class _GatewayState:
    """State of a gateway as of its last report.

    ``usage`` maps (window, customer) to cumulative request counts.
    """

    name: str
    incarnation: str
    sequence: int
    reported_at_ms: int
    server_rate: int
    usage: dict
    loads: tuple = ()
    demands: tuple = ()
    is_attached: bool = False


def _merged_usage(state, counts):
    """Return the usage in ``state`` updated with ``counts``.

    Counts are cumulative, so the larger of two for a window is the newer one.
    """
    usage = dict(state.usage) if state is not None else {}
    for item in counts:
        key = item.window, item.customer
        usage[key] = max(item.requests, usage.get(key, 0))
    return usage


class Fleet:
    """Reports of gateways and the platform's list of servers."""

    def __init__(self, clock, wall=None):
        self._clock = clock
        self._wall = wall or paddle_kernel.SteadyWall(clock)
        # Keyed by gateway incarnation: _live holds states whose load is in the
        # sums, _counted states that count as gateways, and _retained states
        # whose usage is kept. _reporting is keyed by gateway name and holds
        # gateways that may still report usage.
        self._live = _expiring_map.ExpiringMap()
        self._attached_count = 0
        self._counted = _expiring_map.ExpiringMap()
        self._retained = _expiring_map.ExpiringMap()
        self._reporting = _expiring_map.ExpiringMap()
        self._sums = _load_sums.LoadSums()
        self._demand_sums = _load_sums.DemandSums()
        self._counted_names = collections.Counter()
        # Positions of the counted names in alphabetical order; ``None`` after
        # a change.
        self._positions = None
        self._names_changed_ms = clock.now_ms()
        self._last_exchange_ms = None
        self._last_report_ms = None
        self._collecting_since_ms = None
        self._holds_lease = False
        self._expected_gateways = 0
        self._expected_since_ms = None
        self.list = _server_list.ServerList(clock, self._wall)

    @property
    def serves_gateways(self):
        """Whether a gateway recently exchanged state with this process."""
        return self._is_recent(self._last_exchange_ms)

    @property
    def has_gateways(self):
        """Whether any gateway recently reported, directly or relayed."""
        return self._is_recent(self._last_report_ms)

    def set_lease_held(self, is_held):
        """Record whether this process holds the lease.

        Other controllers relay the reports of their gateways only to the
        lease holder, so a new holder has to wait until it has collected them.
        """
        if is_held and not self._holds_lease:
            self._collecting_since_ms = self._clock.now_ms()
        self._holds_lease = is_held

    @property
    def has_collected_reports(self):
        """Whether a list was read and all gateways had time to report.

        Without this check, a controller that has just taken over would
        release servers and seal usage windows without the load and the
        counts of all gateways.
        """
        if self.servers is None or not self._holds_lease:
            return False
        collecting_ms = self._clock.now_ms() - self._collecting_since_ms
        needed_ms = REPORT_COLLECTION_MS + self.period_ms()
        return self.has_gateways and collecting_ms >= needed_ms

    def add_reports(self, reports, attached):
        """Store those reports of gateways that are newer than the stored ones.

        ``attached`` is set for gateways that exchange state with this process.
        """
        now_ms = self._clock.now_ms()
        if attached:
            self._record_report_time(now_ms)
            self._last_exchange_ms = now_ms
        for report in reports:
            self.list.mark_leaving(report.leaving, report.name)
            state = self._retained.get(report.incarnation)
            if state is not None and report.sequence <= state.sequence:
                continue
            self._store(
                _GatewayState(
                    name=report.name,
                    incarnation=report.incarnation,
                    sequence=report.sequence,
                    reported_at_ms=now_ms,
                    server_rate=report.server_rate,
                    usage=_merged_usage(state, report.usage),
                    loads=report.flights,
                    demands=report.demands,
                    is_attached=attached,
                )
            )
        self._retained.expire_before(now_ms - USAGE_RETENTION_MS)

    def add_relayed_reports(self, reports):
        """Store reports that another controller relays from its gateways."""
        now_ms = self._clock.now_ms()
        for item in reports:
            self._record_report_time(now_ms)
            state = self._retained.get(item.incarnation)
            if state is not None and item.sequence < state.sequence:
                continue
            if state is not None and item.sequence == state.sequence:
                # Usage counts may arrive later than the report itself.
                state.usage.update(_merged_usage(state, item.usage))
                continue
            self._store(
                _GatewayState(
                    name=item.name,
                    incarnation=item.incarnation,
                    sequence=item.sequence,
                    reported_at_ms=now_ms - item.age_ms,
                    server_rate=item.server_rate,
                    usage=_merged_usage(state, item.usage),
                )
            )
        self._retained.expire_before(now_ms - USAGE_RETENTION_MS)

    def reports_to_relay(self, confirmed):
        """Return a :class:`RelayedReport` for each gateway attached here.

        ``confirmed`` maps incarnations to the counts, by (window, customer),
        that the receiver has confirmed; these are left out.
        """
        self._expire_counted()
        now_ms = self._clock.now_ms()
        return tuple(
            gateway.RelayedReport(
                name=state.name,
                incarnation=state.incarnation,
                sequence=state.sequence,
                age_ms=now_ms - state.reported_at_ms,
                server_rate=state.server_rate,
                usage=tuple(
                    gateway.UsageCount(
                        window=key[0], customer=key[1], requests=requests
                    )
                    for key, requests in state.usage.items()
                    if confirmed.get(state.incarnation, {}).get(key)
                    != requests
                ),
            )
            for state in self._counted.values()
            if state.is_attached
        )

    def incarnations(self):
        """Return the incarnations of all gateways that are counted."""
        self._expire_counted()
        return {state.incarnation for state in self._counted.values()}

    def sequences(self):
        """Return ``{incarnation: sequence}`` of attached gateways' reports.

        These are the reports that the sums of the load contain.
        """
        self._expire_live()
        return {
            state.incarnation: state.sequence
            for state in self._live.values()
            if state.is_attached
        }

    def period_ms(self):
        """Return the time between two reports of an attached gateway."""
        return max(
            SYNC_PERIOD_MS, SYNC_PERIOD_PER_GATEWAY_MS * self._attached_count
        )

    def gateway_count(self):
        """Return the number of gateways that reported recently."""
        self._expire_counted()
        return len(self._counted_names)

    def position(self, name):
        """Return the position of a gateway among all, from 1.

        0 if it is unknown: a new lease holder that has not heard of all
        gateways yet would number several of them alike.
        """
        if not self.has_collected_reports:
            return 0
        self._expire_counted()
        if self._positions is None:
            self._positions = {
                item: number
                for number, item in enumerate(sorted(self._counted_names), 1)
            }
        return self._positions.get(name, 0)

    def turn(self):
        """Return the number of positions and until when they are exclusive.

        The time is by the synchronized clock, 0 while gateways may still know
        positions from before a change, or from the lease holder before.
        """
        if not self.has_collected_reports:
            return 0, 0
        self._expire_counted()
        now_ms = self._clock.now_ms()
        changed_ms = max(self._collecting_since_ms, self._names_changed_ms)
        if now_ms - changed_ms < POSITION_HOLD_MS:
            return len(self._counted_names), 0
        return len(
            self._counted_names
        ), self._wall.now_ms() + POSITION_LEASE_MS

    def loads(self):
        """Return the load summed over all live gateways, by server id."""
        self._expire_live()
        return self._sums.loads()

    def demands(self):
        """Return the demand summed over all live gateways."""
        self._expire_live()
        return self._demand_sums.demands()

    def server_rate(self):
        """Return the median prefill rate that gateways measured, or 0."""
        self._expire_live()
        rates = [
            state.server_rate
            for state in self._live.values()
            if state.server_rate
        ]
        return statistics.median(rates) if rates else 0

    def usage(self, window):
        """Return ``{customer: requests}`` of ``window``."""
        totals = collections.Counter()
        for state in self._retained.values():
            for (number, customer), requests in state.usage.items():
                if number == window:
                    totals[customer] += requests
        return dict(totals)

    def oldest_window(self):
        """Return the oldest window with counts, ``None`` if there is none."""
        return min(
            (
                window
                for state in self._retained.values()
                for window, _customer in state.usage
            ),
            default=None,
        )

    def all_reported_within(self, age_ms):
        """Whether every gateway has reported in the last ``age_ms``.

        Gateways without a report for ``REPORTING_EXPIRY_MS`` are ignored. The
        result is false until reports were collected for that long, or from as
        many gateways as the previous lease holder counted.
        """
        now_ms = self._clock.now_ms()
        reporting_count = self.reporting_count()
        if not self.has_collected_reports:
            return False
        if (
            now_ms - self._collecting_since_ms < REPORTING_EXPIRY_MS
            and reporting_count < self._minimum_reporting(now_ms)
        ):
            return False
        return now_ms - min(self._reporting.values()) <= age_ms

    def reporting_count(self):
        """Return the number of gateways whose usage may still arrive."""
        self._reporting.expire_before(
            self._clock.now_ms() - REPORTING_EXPIRY_MS
        )
        return len(self._reporting)

    def set_expected_gateways(self, count):
        """Record how many gateways the lease holder counts."""
        self._expected_gateways = count
        self._expected_since_ms = self._clock.now_ms()

    def _minimum_reporting(self, now_ms):
        if (
            not self._expected_gateways
            or self._expected_since_ms is None
            or now_ms - self._expected_since_ms > EXPECTED_GATEWAYS_EXPIRY_MS
        ):
            return math.inf
        return self._expected_gateways

    @property
    def servers(self):
        """The listed servers, ``None`` before the first list."""
        return self.list.servers

    @property
    def listing(self):
        """The version of the list of servers."""
        return self.list.listing

    def set_servers(self, servers, age_ms=0, *, is_platform_read=False):
        """Store a list read ``age_ms`` ago; return whether it differs."""
        return self.list.update(
            servers, age_ms, is_platform_read=is_platform_read
        )

    def confirm_list(self, age_ms):
        """Record that the stored list was the platform's ``age_ms`` ago."""
        self.list.confirm(age_ms)

    def list_update(self, held_listing):
        """Return the list version and the servers to send to a gateway.

        There are no servers if the gateway holds this version, or if the list
        is too old to replace another one.
        """
        age_ms = self.list_age_ms()
        if age_ms is None or held_listing == self.listing:
            return held_listing, ()
        if held_listing and age_ms > LIST_FRESHNESS_MS:
            return held_listing, ()
        return self.listing, self.servers

    def list_age_ms(self):
        """Return the age of the list, ``None`` if there is none."""
        if self.list.listed_ms is None:
            return None
        return self._clock.now_ms() - self.list.listed_ms

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'gateways': self.gateway_count(),
            'servers': len(self.servers or ()),
            'list_age_ms': self.list_age_ms(),
            'notices': self.list.dump(),
            'flights': {
                key: item.running for key, item in self.loads().items()
            },
        }

    def _store(self, state):
        key, reported_at_ms = state.incarnation, state.reported_at_ms
        self._retained.put(key, state, reported_at_ms)
        self._reporting.put(state.name, reported_at_ms, reported_at_ms)
        if self._counted.put(key, state, reported_at_ms) is None:
            self._counted_names[state.name] += 1
            if self._counted_names[state.name] == 1:
                self._record_names_changed()
        previous = self._live.put(key, state, reported_at_ms)
        if previous is not None:
            self._remove_load(previous)
        self._attached_count += state.is_attached
        self._sums.add(state.loads)
        self._demand_sums.add(state.demands)

    def _remove_load(self, state):
        self._attached_count -= state.is_attached
        self._sums.remove(state.loads)
        self._demand_sums.remove(state.demands)

    def _record_report_time(self, now_ms):
        if not self.has_gateways:
            self._collecting_since_ms = now_ms
        self._last_report_ms = now_ms

    def _is_recent(self, at_ms):
        if at_ms is None:
            return False
        return self._clock.now_ms() - at_ms < self._load_expiry_ms()

    def _expire_live(self):
        limit_ms = self._clock.now_ms() - self._load_expiry_ms()
        for state in self._live.expire_before(limit_ms + 1):
            self._remove_load(state)

    def _expire_counted(self):
        limit_ms = self._clock.now_ms() - GATEWAY_EXPIRY_MS
        for state in self._counted.expire_before(limit_ms + 1):
            name = state.name
            self._counted_names[name] -= 1
            if not self._counted_names[name]:
                del self._counted_names[name]
                self._record_names_changed()

    def _record_names_changed(self):
        self._positions = None
        self._names_changed_ms = self._clock.now_ms()

    def _load_expiry_ms(self):
        return LOAD_EXPIRY_PERIODS * self.period_ms()
