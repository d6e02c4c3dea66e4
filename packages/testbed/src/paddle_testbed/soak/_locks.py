"""Which machines are being disturbed, each by one fault at a time."""

import contextlib


class Locks:
    """Machines of ``fleet`` that faults have taken, and the one lost disk."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._taken = set()
        self._disk_taken = False

    def is_taken(self, name):
        """Whether a fault is at work on ``name``."""
        return name in self._taken

    @contextlib.contextmanager
    def machine(self, name):
        """Take ``name`` if it is free; yields whether it was."""
        if name in self._taken:
            yield False
            return
        self._taken.add(name)
        try:
            yield True
        finally:
            self._taken.discard(name)

    @contextlib.contextmanager
    def one_machine(self, rng, role):
        """Take a free machine of ``role``; yields ``None`` without one."""
        free = [
            item for item in self._fleet.names(role) if item not in self._taken
        ]
        if not free:
            yield None
            return
        name = rng.choice(free)
        with self.machine(name):
            yield name

    def take_machines(self, stack, role):
        """Take all free machines of ``role`` until ``stack`` ends."""
        return [
            name
            for name in self._fleet.names(role)
            if stack.enter_context(self.machine(name))
        ]

    @contextlib.contextmanager
    def one_disk(self):
        """Take the right to lose a disk; yields whether it was free."""
        if self._disk_taken:
            yield False
            return
        self._disk_taken = True
        try:
            yield True
        finally:
            self._disk_taken = False
