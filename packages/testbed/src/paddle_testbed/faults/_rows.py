"""Interface of the rows of the fault matrix.

A module adds rows by registering classes in :data:`ROWS`; the runner imports
every module of this package whose name starts with ``rows_``. A row is one
protocol run. The runner first performs it without a fault and records its
steps: before and after each message is handled, and before and after each
sync. It then repeats the run once per step and fault.
"""

import typing

import paddle_kernel as kernel

ROWS = kernel.Registry('fault_row')


class Row(typing.Protocol):
    """One protocol run; created anew for each cell, without arguments.

    Registered with ``@ROWS.register('<protocol>.<action>')``. Example::

        @faults.ROWS.register('claims.claim')
        class ClaimRow:
            def start(self, world):
                world.form(3)

            def act(self, world):
                world.spawn('a', self.claim, world.proposer('a'))
                world.spawn('b', self.claim, world.proposer('b'))

            def verify(self, world):
                return [] if self.claims <= 1 else ['claimed twice']
    """

    def start(self, world) -> None:
        """Set up, without faults."""

    def act(self, world) -> None:
        """Start the processes with ``world.spawn(name, function, *args)``.

        The fault happens at a step of these processes or of a replica. The
        runner lets them run until they are done or blocked, repairs the
        fault (thaws, reconnects, restarts, replaces a lost disk), delivers
        delayed messages and lets them run again. A killed process is not
        started again; start its successor in ``verify``.
        """

    def verify(self, world) -> list[str]:
        """Return a description of each violated property."""
