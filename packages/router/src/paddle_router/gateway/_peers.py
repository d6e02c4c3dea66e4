"""Other gateways that can pass on requests to servers."""

import random

import attrs

import paddle_kernel
from paddle_router.gateway import _events
from paddle_router.gateway import _messages

# A peer that could not help is left out for this long: one whose own way to
# the servers is lost notices it within this time.
PEER_RETRY_MS = 1_000
# Peers that are older are replaced; gateways may have stopped meanwhile.
# Replies with peers are ten times as large as most.
PEERS_MAX_AGE_MS = 10_000
# Time between two reports that contain this gateway's own entry. Controllers
# drop an entry that was not repeated in time.
ANNOUNCE_PERIOD_MS = 1_000


class Peers:
    """The peers that controllers have named, and this gateway's own entry.

    Without an address in ``settings.peer_listen``, there are none. ``reach``
    is the :class:`ServerReachability` of this gateway and ``key`` what others
    must present to send requests to it.
    """

    def __init__(self, settings, clock, reach, incarnation, key, rng=None):
        self._settings = settings
        self._clock = clock
        self._reach = reach
        self._own = _messages.PeerGateway(
            name=settings.name,
            incarnation=incarnation,
            address=settings.peer_listen,
            domain=settings.failure_domain,
            key=key,
        )
        self._rng = rng or random.Random()
        self._items = ()
        self._applied_ms = None
        self._announced_ms = None
        # Time of the last failure by incarnation.
        self._failed_ms = {}
        self._has_failed = False

    @property
    def count(self):
        """The number of known peers."""
        return len(self._items)

    @property
    def wants_peers(self):
        """Whether the next report asks for peers."""
        if not self._settings.peer_listen:
            return False
        return (
            not self._items
            or self._clock.now_ms() - self._applied_ms > PEERS_MAX_AGE_MS
            or (self._reach.is_cut and self._has_failed)
        )

    def report_fields(self):
        """Return the fields of a :class:`GatewayReport` about peers."""
        if not self._settings.peer_listen:
            return {}
        now_ms = self._clock.now_ms()
        wants_peers = self.wants_peers
        own = None
        if (
            wants_peers
            or self._announced_ms is None
            or now_ms - self._announced_ms >= ANNOUNCE_PERIOD_MS
        ):
            self._announced_ms = now_ms
            own = self._own
        return {
            'peer': own,
            'is_cut': self._reach.is_cut,
            'wants_peers': wants_peers,
        }

    def apply(self, reply):
        """Use the peers in a controller's reply, if there are any."""
        items = tuple(
            item for item in reply.peers if item.name != self._own.name
        )
        if not items:
            return
        if not self._items or self._reach.is_cut:
            paddle_kernel.emit(
                _events.PEERS_RECEIVED, peers=[item.name for item in items]
            )
        self._items = items
        self._applied_ms = self._clock.now_ms()
        self._has_failed = False
        self._failed_ms = {
            item.incarnation: self._failed_ms[item.incarnation]
            for item in items
            if item.incarnation in self._failed_ms
        }

    def choose(self, excluded_names=()):
        """Return a peer at random, one of the own domain first.

        ``None`` if there is none besides the ``excluded_names``, which the
        request has tried, and those that have failed recently.
        """
        now_ms = self._clock.now_ms()
        usable = [
            item
            for item in self._items
            if item.name not in excluded_names
            and not self._is_failed(item, now_ms)
        ]
        if excluded_names:
            # Another peer that failed before may cost as much time again.
            sound = [
                item
                for item in usable
                if item.incarnation not in self._failed_ms
            ]
            usable = sound or usable
        near = [item for item in usable if item.domain == self._own.domain]
        return self._rng.choice(near or usable) if usable else None

    def begin_attempt(self, peer):
        """Record that a connection to ``peer`` is being opened.

        If it has failed before, other requests leave it out meanwhile: a peer
        that does not answer would delay all of them by the connect timeout.
        """
        if peer.incarnation in self._failed_ms:
            self._failed_ms[peer.incarnation] = self._clock.now_ms()

    def mark_connected(self, peer):
        """Use ``peer`` for all requests again: it accepts connections."""
        self._failed_ms.pop(peer.incarnation, None)

    def mark_failed(self, peer):
        """Leave out ``peer`` for ``PEER_RETRY_MS``."""
        now_ms = self._clock.now_ms()
        if not self._is_failed(peer, now_ms):
            paddle_kernel.emit(
                _events.PEER_FAILED, peer=peer.name, address=peer.address
            )
        self._has_failed = True
        if peer in self._items:
            self._failed_ms[peer.incarnation] = now_ms

    def dump(self):
        """Return plain data for the state dump."""
        now_ms = self._clock.now_ms()
        return {
            'peers': [
                attrs.asdict(
                    item, filter=lambda field, _value: field.name != 'key'
                )
                for item in self._items
            ],
            'failed': [
                item.name
                for item in self._items
                if self._is_failed(item, now_ms)
            ],
            'age_ms': None
            if self._applied_ms is None
            else now_ms - self._applied_ms,
            'wants_peers': self.wants_peers,
        }

    def _is_failed(self, peer, now_ms):
        failed_ms = self._failed_ms.get(peer.incarnation)
        return failed_ms is not None and now_ms - failed_ms < PEER_RETRY_MS
