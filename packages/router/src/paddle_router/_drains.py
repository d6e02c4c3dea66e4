"""Backend servers that get no new work because they are to be stopped.

The holder of the lease keeps the set in one register, fenced by its number.
Every daemon follows the register and treats these servers as leaving.
"""

import json

import attrs
import returns.result

import paddle_coord

DRAINS_KEY = 'drains'
POLL_MS = 1_000


@attrs.frozen
class Drains:
    """Value of the register.

    ``number`` is the highest fencing number that changed it.
    """

    number: int = 0
    instances: frozenset = frozenset()

    def to_bytes(self):
        """Return the register's bytes."""
        document = {
            'number': self.number,
            'instances': sorted(self.instances),
        }
        return json.dumps(document, sort_keys=True).encode()

    @classmethod
    def from_bytes(cls, data):
        """Return the value in ``data``; an absent key is an empty set."""
        if data is None:
            return cls()
        document = json.loads(data)
        return cls(document['number'], frozenset(document['instances']))


def update(drains, number, *, add=(), remove=()):
    """Return the changed set, or a rejection of an older number."""
    if number < drains.number:
        return paddle_coord.Reject(
            f'number {number} is older than {drains.number}'
        )
    return Drains(number, (drains.instances | set(add)) - set(remove))


class DrainList:
    """The set as this daemon knows it; ``on_change`` gets each new set."""

    def __init__(self, register, on_change):
        self._register = register
        self._on_change = on_change
        self.instances = frozenset()

    def poll(self):
        """Follow the register; without an answer the last set is kept."""
        result = self._register.quick_read(DRAINS_KEY)
        if isinstance(result, returns.result.Success):
            self._apply(Drains.from_bytes(result.unwrap()))

    def change(self, number, *, add=(), remove=()):
        """Change the set as holder of the lease; return whether it did."""

        def function(data):
            new = update(
                Drains.from_bytes(data), number, add=add, remove=remove
            )
            if isinstance(new, paddle_coord.Reject):
                return new
            return new.to_bytes()

        result = self._register.change(DRAINS_KEY, function)
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
