"""Decides whether a gateway has lost the way to all backend servers.

A refused, reset or silent connection tells nothing about the other servers, so
it only makes a gateway suspicious. A round of probes, new connections to
several servers, decides. Responses on kept connections do not count: these may
live on while new ones are refused.
"""

import attrs

# Servers probed in a round; a failure domain or a service whose servers are
# all down leaves others among them.
MAX_PROBED = 4
# Failed probes of different servers that show a lost way. A single server may
# be restarted or fall silent for a second.
MIN_FAILED = 2
# Successful probes that show that the way is back; servers may accept single
# connections while the network path recovers.
MIN_CONNECTED = 2
# Time between two rounds. Opening connections to servers is priced, so a
# server that refuses connections for long must not cause many.
ROUND_PERIOD_MS = 500
# The same while the way is lost: requests take a longer path until it is back.
CUT_ROUND_PERIOD_MS = 250
# Servers probed in a round while the way is lost. The next round probes
# others, so servers that are down do not hide that the way is back.
CUT_MAX_PROBED = 2
# Requests in progress and no byte from any server for this long: plain
# services respond in 50 ms and engines send an event every 100 ms or so, and
# with a round of probes the lost way is known within half of the 3,000 ms that
# the platform allows for noticing it.
SILENCE_MS = 600
# The outcome of a longer round is not used: probes also time out if this
# process was stopped meanwhile. A round takes 450 ms at most otherwise.
MAX_ROUND_MS = 800


@attrs.frozen(kw_only=True)
class ProbeTarget:
    """A listed server that can be probed."""

    address: str
    service: str
    domain: str
    leaving: bool = False


@attrs.frozen(kw_only=True)
class ProbeResult:
    """Outcome of a probe.

    ``is_connected`` is ``None`` if the connection failed for a local reason,
    such as a lack of file descriptors.
    """

    address: str
    is_connected: bool | None
    error: str = ''


class ServerReach:
    """What a gateway knows about its way to the servers.

    All times are by one monotonic clock.
    """

    def __init__(self):
        self.is_cut = False
        self.changed_ms = None
        self.suspected_ms = None
        self.suspected_address = None
        self.rounds = 0
        self._outstanding = 0
        # Since when no server has responded although one should, and whether a
        # request was sent since the last response.
        self._silent_since_ms = None
        self._is_unanswered = False
        self._round_ms = None
        self._connected_count = 0
        # Addresses that accepted in the last round while the way is lost.
        self._confirming = frozenset()
        # Addresses by the time of their last probe.
        self._probed_ms = {}

    def suspect(self, address, now_ms):
        """Record that a connection to ``address`` was refused or lost."""
        if self.suspected_ms is None:
            self.suspected_ms = now_ms
            self.suspected_address = address

    def record_connected(self, now_ms):
        """Record that a server has accepted a new connection."""
        self.record_response(now_ms)
        self._clear_suspicion()

    def record_response(self, now_ms):
        """Record that bytes of a response have arrived."""
        self._silent_since_ms = now_ms if self._outstanding else None
        self._is_unanswered = False

    def begin_exchange(self, now_ms):
        """Record that a request is sent to a server."""
        if self._silent_since_ms is None:
            self._silent_since_ms = now_ms
        self._outstanding += 1
        self._is_unanswered = True

    def end_exchange(self):
        """Record that an exchange with a server has ended.

        If it ended without a response, the silence lasts: callers may leave
        sooner than it is noticed.
        """
        self._outstanding -= 1
        if not self._outstanding and not self._is_unanswered:
            self._silent_since_ms = None

    def is_round_due(self, now_ms):
        """Whether servers have to be probed now."""
        period_ms = CUT_ROUND_PERIOD_MS if self.is_cut else ROUND_PERIOD_MS
        if self._round_ms is not None and now_ms - self._round_ms < period_ms:
            return False
        if (
            self._silent_since_ms is not None
            and now_ms - self._silent_since_ms >= SILENCE_MS
        ):
            self.suspect('', now_ms)
        return self.is_cut or self.suspected_ms is not None

    def begin_round(self, targets, rng, now_ms):
        """Return the targets to probe, of different domains and services.

        A single server is probed twice.
        """
        self._round_ms = now_ms
        self.rounds += 1
        limit = CUT_MAX_PROBED if self.is_cut else MAX_PROBED
        left = {item.address: item for item in targets}
        self._probed_ms = {
            address: probed_ms
            for address, probed_ms in self._probed_ms.items()
            if address in left
        }
        chosen = []
        while left and len(chosen) < limit:
            target = min(
                left.values(),
                key=lambda item: (
                    *self._preference(item, chosen),
                    rng.random(),
                ),
            )
            chosen.append(left.pop(target.address))
        for item in chosen:
            self._probed_ms[item.address] = now_ms
        if len(chosen) == 1:
            chosen *= 2
        return chosen

    def _preference(self, target, chosen):
        """Return the sort key of a target; the lowest is probed next."""
        return (
            target.address not in self._confirming,
            # While the way is lost, the servers take turns.
            self._probed_ms.get(target.address, 0) if self.is_cut else 0,
            # A leaving server may have stopped.
            target.leaving,
            sum(item.domain == target.domain for item in chosen),
            sum(item.service == target.service for item in chosen),
            target.address == self.suspected_address,
        )

    def finish_round(self, results, began_ms, now_ms):
        """Apply the results of a round; return whether ``is_cut`` changed."""
        if now_ms - began_ms > MAX_ROUND_MS:
            return False
        connected = sum(item.is_connected is True for item in results)
        if connected:
            self.record_connected(now_ms)
        if self.is_cut:
            self._connected_count = (
                self._connected_count + connected if connected else 0
            )
            self._confirming = frozenset(
                item.address for item in results if item.is_connected
            )
            # Without servers, there is nothing to be cut off from.
            if results and self._connected_count < MIN_CONNECTED:
                return False
        elif (
            connected
            or len(results) < MIN_FAILED
            or any(item.is_connected is None for item in results)
        ):
            return False
        self.is_cut = not self.is_cut
        self._confirming = frozenset()
        self._connected_count = 0
        self.changed_ms = now_ms
        self._clear_suspicion()
        return True

    def dump(self, now_ms):
        """Return plain data for the state dump."""
        return {
            'is_cut': self.is_cut,
            'changed_age_ms': None
            if self.changed_ms is None
            else now_ms - self.changed_ms,
            'suspected_address': self.suspected_address,
            'outstanding': self._outstanding,
            'rounds': self.rounds,
        }

    def _clear_suspicion(self):
        self.suspected_ms = self.suspected_address = None
