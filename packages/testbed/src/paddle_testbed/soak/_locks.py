"""Locks that keep two faults from disturbing the same machine at a time."""

import contextlib


class Locks:
    """Locks on the machines of ``fleet``, and one lock for losing a disk."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._locked = set()
        self._is_disk_locked = False
        self._are_domains_locked = False

    def is_locked(self, name):
        """Whether a fault holds the lock of machine ``name``."""
        return name in self._locked

    @contextlib.contextmanager
    def lock(self, name):
        """Lock machine ``name`` if it is free; yield whether it was."""
        if name in self._locked:
            yield False
            return
        self._locked.add(name)
        try:
            yield True
        finally:
            self._locked.discard(name)

    @contextlib.contextmanager
    def lock_any(self, rng, role):
        """Lock a random free machine of ``role``.

        Yields its name, or ``None`` if no machine is free.
        """
        free = [
            item
            for item in self._fleet.names(role)
            if item not in self._locked
        ]
        if not free:
            yield None
            return
        name = rng.choice(free)
        with self.lock(name):
            yield name

    def lock_all(self, stack, role):
        """Lock all free machines of ``role`` until ``stack`` is closed.

        Returns their names.
        """
        return [
            name
            for name in self._fleet.names(role)
            if stack.enter_context(self.lock(name))
        ]

    @contextlib.contextmanager
    def lock_disk(self):
        """Lock the right to empty a disk; yield whether it was free."""
        if self._is_disk_locked:
            yield False
            return
        self._is_disk_locked = True
        try:
            yield True
        finally:
            self._is_disk_locked = False

    @contextlib.contextmanager
    def lock_domains(self):
        """Lock the right to evacuate a domain; yield whether it was free."""
        if self._are_domains_locked:
            yield False
            return
        self._are_domains_locked = True
        try:
            yield True
        finally:
            self._are_domains_locked = False
