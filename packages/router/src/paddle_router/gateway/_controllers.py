"""Selection of the controller that a gateway exchanges state with.

Each gateway prefers controllers in its own failure domain. Among several, each
incarnation of a gateway uses its own order (rendezvous hashing), so that
gateways are spread over the controllers, and the gateways of a failed
controller are spread over the remaining ones.
"""

import hashlib

import attrs

# Backoff after a failed call, doubled for each repeated failure. An overloaded
# or partly unreachable controller must not get its gateways back immediately.
MIN_BACKOFF_MS = 2_000
MAX_BACKOFF_MS = 16_000
# Random part of the backoff, so that gateways do not return together.
BACKOFF_JITTER_RATIO = 0.5
# A gateway whose controllers cannot reach the lease holder contacts the lease
# holder directly for this long.
DIRECT_CONTACT_MS = 5_000


@attrs.define
class _Backoff:
    until_ms: int
    length_ms: int
    last_tried_ms: int


class ControllerSelector:
    """Chooses among the controllers named in replies and settings."""

    def __init__(self, incarnation, domain, seeds, rng):
        self._incarnation = incarnation
        self._domain = domain
        self._seeds = list(seeds)
        self._rng = rng
        self._locations = ()
        self._members = ()
        self._backoffs = {}
        self._preferred = (None, 0)

    def update(self, locations, members, is_confirmed=True):
        """Replace the known controllers; empty values change nothing.

        A controller that is not confirmed may only know those that are cut
        off like itself. Its values are used only if there are no others.
        """
        if locations and (is_confirmed or not self._locations):
            self._locations = tuple(locations)
        if members and (is_confirmed or not self._members):
            self._members = tuple(members)

    def add(self, addresses):
        """Add fallback addresses, used if no other controller is usable."""
        for address in addresses:
            if address not in self._seeds:
                self._seeds.append(address)

    def prefer(self, address, now_ms):
        """Prefer ``address`` for a while, whatever its failure domain."""
        self._preferred = (address, now_ms + DIRECT_CONTACT_MS)

    def mark_failed(self, address, now_ms):
        """Start or extend the backoff of ``address`` after a failure."""
        backoff = self._backoffs.get(address)
        if backoff is not None and now_ms < backoff.until_ms:
            # Retried during its backoff because all are backing off, for
            # example while all controllers start.
            backoff.last_tried_ms = now_ms
            return
        length_ms = MIN_BACKOFF_MS
        if backoff is not None and now_ms - backoff.until_ms < MAX_BACKOFF_MS:
            length_ms = min(2 * backoff.length_ms, MAX_BACKOFF_MS)
        varied_ms = length_ms * (
            1 + BACKOFF_JITTER_RATIO * (self._rng.random() - 0.5)
        )
        self._backoffs[address] = _Backoff(
            now_ms + int(varied_ms), length_ms, now_ms
        )

    def choose(self, now_ms):
        """Return the address to contact next, ``None`` if none is known.

        The order is: the address set by :meth:`prefer` while it is valid, live
        controllers of the own failure domain, live controllers of other
        domains, then members of the replica set and the seeds.
        """
        direct, until_ms = self._preferred
        if now_ms < until_ms and not self._is_backing_off(direct, now_ms):
            return direct
        groups = self._groups()
        for group in groups:
            usable = [
                item
                for item in group
                if not self._is_backing_off(item, now_ms)
            ]
            if usable:
                return min(usable, key=self._rendezvous_hash)
        backing_off = {item for group in groups for item in group}
        if not backing_off:
            return None
        return min(
            backing_off, key=lambda item: self._backoffs[item].last_tried_ms
        )

    def usable_addresses(self, now_ms):
        """Return the known addresses that are not backing off."""
        known = {item for group in self._groups() for item in group}
        return sorted(
            item for item in known if not self._is_backing_off(item, now_ms)
        )

    @property
    def members(self):
        """The peer addresses of the replica set, as far as known."""
        return self._members

    def known_addresses(self):
        """Return all addresses of controllers that replies named.

        Those of the settings if there was no reply yet.
        """
        known = {*self._members, *(item.address for item in self._locations)}
        return sorted(known or self._seeds)

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'controllers': [attrs.asdict(item) for item in self._locations],
            'members': list(self._members),
            'seeds': self._seeds,
        }

    def _groups(self):
        """Return the known addresses in groups, preferred ones first."""
        return (
            [x.address for x in self._locations if x.domain == self._domain],
            [x.address for x in self._locations],
            [*self._members, *self._seeds],
        )

    def _is_backing_off(self, address, now_ms):
        backoff = self._backoffs.get(address)
        return backoff is not None and now_ms < backoff.until_ms

    def _rendezvous_hash(self, address):
        text = f'{self._incarnation}/{address}'.encode()
        return hashlib.blake2b(text, digest_size=8).digest()
