"""Backend servers that get no new requests because they will be stopped.

The lease holder stores the set under one key, fenced by its lease number.
Every daemon polls this key and treats these servers as leaving.
"""

import json

import attrs
import returns.result

import paddle_coord

DRAINS_KEY = 'drains'
POLL_PERIOD_MS = 1_000


@attrs.frozen
class Drains:
    """The set of draining servers as stored.

    ``number`` is the highest lease number that changed it.
    """

    number: int = 0
    instances: frozenset = frozenset()

    def to_bytes(self):
        """Return the stored form."""
        document = {
            'number': self.number,
            'instances': sorted(self.instances),
        }
        return json.dumps(document, sort_keys=True).encode()

    @classmethod
    def from_bytes(cls, data):
        """Return the set stored as ``data``; empty for an absent key."""
        if data is None:
            return cls()
        document = json.loads(data)
        return cls(document['number'], frozenset(document['instances']))


def update(drains, number, *, add=(), remove=()):
    """Return the changed set, or a rejection if ``number`` is outdated."""
    if number < drains.number:
        return paddle_coord.Reject(
            f'lease number {number} is older than {drains.number}'
        )
    return Drains(number, (drains.instances | set(add)) - set(remove))


class DrainList:
    """The set last read; ``on_change`` is called with each new set."""

    def __init__(self, register, on_change):
        self._register = register
        self._on_change = on_change
        self.instances = frozenset()

    def poll(self):
        """Read the set; keep the last one if the read fails."""
        result = self._register.quick_read(DRAINS_KEY)
        if isinstance(result, returns.result.Success):
            self._apply(Drains.from_bytes(result.unwrap()))

    def change(self, number, *, add=(), remove=()):
        """Change the set as lease holder; return whether it was changed."""

        def update_bytes(data):
            new = update(
                Drains.from_bytes(data), number, add=add, remove=remove
            )
            if isinstance(new, paddle_coord.Reject):
                return new
            return new.to_bytes()

        result = self._register.change(DRAINS_KEY, update_bytes)
        if not isinstance(result, returns.result.Success):
            return False
        change = result.unwrap()
        self._apply(Drains.from_bytes(change.value))
        return change.applied

    def dump(self):
        """Return plain data for the state dump."""
        return sorted(self.instances)

    def _apply(self, drains):
        if drains.instances != self.instances:
            self.instances = drains.instances
            self._on_change(self.instances)
