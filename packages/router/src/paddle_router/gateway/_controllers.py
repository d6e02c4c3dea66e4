"""Which controller a gateway exchanges state with.

Each gateway prefers a controller in its own failure domain; among several,
each incarnation of a gateway orders them by a hash of its own (rendezvous
hashing), so gateways spread over the controllers and those of a lost one
spread over the rest.
"""

import hashlib

import attrs

# A controller that did not answer is left alone this long, then twice as
# long: a choked or half-cut one must not take its gateways back at once.
HOLD_MIN_MS = 2_000
HOLD_MAX_MS = 16_000
# Part of that time that varies, so that gateways do not return together.
HOLD_SPREAD = 0.5
# A gateway whose controllers cannot reach the holder of the lease asks the
# holder itself for this long.
DIRECT_MS = 5_000


@attrs.define
class _Hold:
    until_ms: int
    length_ms: int
    tried_ms: int


class ControllerChoice:
    """Chooses among the controllers that replies and settings name."""

    def __init__(self, incarnation, domain, seeds, rng):
        self._incarnation = incarnation
        self._domain = domain
        self._seeds = list(seeds)
        self._rng = rng
        self._places = ()
        self._members = ()
        self._holds = {}
        self._direct = (None, 0)

    def learn(self, places, members):
        """Use the controllers of a reply; empty values change nothing."""
        if places:
            self._places = tuple(places)
        if members:
            self._members = tuple(members)

    def add(self, addresses):
        """Try these addresses, too, while no other is known to work."""
        for address in addresses:
            if address not in self._seeds:
                self._seeds.append(address)

    def go_to(self, address, now_ms):
        """Ask ``address`` for a while, wherever it is."""
        self._direct = (address, now_ms + DIRECT_MS)

    def leave(self, address, now_ms):
        """Note that ``address`` did not answer usably."""
        hold = self._holds.get(address)
        if hold is not None and now_ms < hold.until_ms:
            # Tried because no other one is left, as when all of them start.
            hold.tried_ms = now_ms
            return
        length_ms = HOLD_MIN_MS
        if hold is not None and now_ms - hold.until_ms < HOLD_MAX_MS:
            length_ms = min(2 * hold.length_ms, HOLD_MAX_MS)
        varied_ms = length_ms * (1 + HOLD_SPREAD * (self._rng.random() - 0.5))
        self._holds[address] = _Hold(
            now_ms + int(varied_ms), length_ms, now_ms
        )

    def choose(self, now_ms):
        """Return the address to ask next, ``None`` if none is known.

        That of :meth:`go_to` comes first for its time.
        Live controllers of the own domain come first, then live ones of
        others, then members of the replica set and the seeds.
        """
        direct, until_ms = self._direct
        if now_ms < until_ms and not self._is_held(direct, now_ms):
            return direct
        near = [x.address for x in self._places if x.domain == self._domain]
        groups = (
            near,
            [x.address for x in self._places],
            [*self._members, *self._seeds],
        )
        for group in groups:
            usable = [
                item for item in group if not self._is_held(item, now_ms)
            ]
            if usable:
                return min(usable, key=self._order)
        held = {item for group in groups for item in group}
        if not held:
            return None
        return min(held, key=lambda item: self._holds[item].tried_ms)

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'controllers': [attrs.asdict(item) for item in self._places],
            'members': list(self._members),
            'seeds': self._seeds,
        }

    def _is_held(self, address, now_ms):
        hold = self._holds.get(address)
        return hold is not None and now_ms < hold.until_ms

    def _order(self, address):
        text = f'{self._incarnation}/{address}'.encode()
        return hashlib.blake2b(text, digest_size=8).digest()
