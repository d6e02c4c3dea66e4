"""Tells gateways through which others they can reach the servers.

Each controller knows the gateways that report to it. It sends the lease holder
a random sample of them and receives one of those at all other controllers, so
that every controller can name peers, also in domains that report elsewhere.
"""

import itertools
import random

from paddle_router.controller import _expiring_map

# Peers that a gateway gets. If half of all gateways are cut off, all eight are
# in one of 256 cases.
MAX_PEERS = 8
# Gateways in a sample: MAX_PEERS besides those that the asking gateway cannot
# use, about 1.5 KB.
MAX_SAMPLE = 12
# Time between two exchanges of samples. A gateway without a link to servers
# must soon not be named any more, but samples are large compared with the
# reports that controllers exchange every 150 ms.
SAMPLE_PERIOD_MS = 1_000
# A gateway whose entry was not repeated for this long is not named any more.
# Gateways repeat it every second.
ENTRY_EXPIRY_MS = 2_500
# Samples of other controllers are used for this long; a new lease holder takes
# over within 3 s.
SAMPLE_EXPIRY_MS = 5_000
# Key of the lease holder's sample among those by controller address.
_HOLDER = ''


class PeerGateways:
    """The gateways that can pass on requests of others.

    ``place`` is the address and failure domain of this controller.
    """

    def __init__(self, place, clock, rng=None):
        self._place = place
        self._clock = clock
        self._rng = rng or random.Random()
        # Entries of the gateways that report here, and whether they have
        # reported that they reach no server, both by name.
        self._entries = _expiring_map.ExpiringMap()
        self._cut = _expiring_map.ExpiringMap()
        # Samples of other controllers.
        self._samples = _expiring_map.ExpiringMap()
        self._sampled_ms = None

    def add(self, report):
        """Store what a :class:`GatewayReport` says."""
        now_ms = self._clock.now_ms()
        if report.peer is not None:
            self._entries.put(report.name, report.peer, now_ms)
        if report.is_cut or self._cut.get(report.name):
            self._cut.put(report.name, report.is_cut, now_ms)

    def choose(self, report):
        """Return peers for the gateway that sent ``report``."""
        if not report.wants_peers:
            return ()
        candidates = self._all()
        candidates.pop(report.name, None)
        own = report.peer or self._entries.get(report.name)
        domain = own.domain if own is not None else self._place.domain
        return self._spread(candidates.values(), domain, MAX_PEERS)

    # While another controller holds the lease

    def report_fields(self):
        """Return the fields of a :class:`ControllerReport` about peers."""
        now_ms = self._clock.now_ms()
        if (
            self._sampled_ms is not None
            and now_ms - self._sampled_ms < SAMPLE_PERIOD_MS
        ):
            return {}
        return {
            'peers': self._spread(
                self._own().values(), self._place.domain, MAX_SAMPLE
            ),
            'wants_peers': True,
        }

    def apply_reply(self, report, reply):
        """Store the sample in the lease holder's reply to ``report``."""
        if not report.wants_peers:
            return
        now_ms = self._clock.now_ms()
        self._sampled_ms = now_ms
        self._samples.expire_before(now_ms + 1)
        self._samples.put(_HOLDER, reply.peers, now_ms)

    # While holding the lease

    def add_report(self, report):
        """Store the sample that another controller reported."""
        if report.wants_peers:
            self._samples.put(
                report.place.address, report.peers, self._clock.now_ms()
            )

    def reply_fields(self, report):
        """Return the fields of the :class:`ControllerReply` to ``report``."""
        if not report.wants_peers:
            return {}
        candidates = self._all()
        for item in report.peers:
            candidates.pop(item.name, None)
        return {
            'peers': self._spread(
                candidates.values(), report.place.domain, MAX_SAMPLE
            )
        }

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'own': sorted(self._own()),
            'all': sorted(self._all()),
        }

    def _own(self):
        """Return the usable gateways that report here, by name."""
        now_ms = self._clock.now_ms()
        self._entries.expire_before(now_ms - ENTRY_EXPIRY_MS)
        self._cut.expire_before(now_ms - SAMPLE_EXPIRY_MS)
        return {
            item.name: item
            for item in self._entries.values()
            if not self._cut.get(item.name)
        }

    def _all(self):
        """Return all usable gateways that are known, by name."""
        self._samples.expire_before(self._clock.now_ms() - SAMPLE_EXPIRY_MS)
        own = self._own()
        samples = itertools.chain.from_iterable(self._samples.values())
        others = {
            item.name: item for item in samples if not self._cut.get(item.name)
        }
        return {**others, **own}

    def _spread(self, candidates, domain, count):
        """Return up to ``count`` gateways, half of them in ``domain``.

        The others are spread over the other domains; all are random.
        """
        by_domain = {}
        for item in self._rng.sample(list(candidates), len(candidates)):
            by_domain.setdefault(item.domain, []).append(item)
        near = by_domain.pop(domain, [])
        turns = itertools.zip_longest(*by_domain.values())
        far = [item for turn in turns for item in turn if item is not None]
        near_count = min(len(near), max(count // 2, count - len(far)))
        return tuple(near[:near_count] + far[: count - near_count])
