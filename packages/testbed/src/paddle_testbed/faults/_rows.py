"""Interface of the rows of the fault matrix.

A module adds rows by registering classes in :data:`ROWS`; the runner imports
every module of this package whose name starts with ``rows_``. A row is one
run of a protocol. The runner first executes it without a fault and records its
steps: each message before and after it is handled, and each disk write before
it, before its sync and after its sync. It then repeats the run once for each
step and fault.
"""

import typing

import paddle_kernel as kernel

ROWS = kernel.Registry('fault_row')


class Row(typing.Protocol):
    """One run of a protocol.

    The runner creates an instance for each cell, without arguments.

    Registered with ``@ROWS.register('<protocol>.<action>')``. Example::

        @faults.ROWS.register('claims.claim')
        class ClaimRow:
            def start(self, environment):
                environment.form(3)

            def act(self, environment):
                environment.spawn('a', self.claim, environment.proposer('a'))
                environment.spawn('b', self.claim, environment.proposer('b'))

            def verify(self, environment):
                return [] if self.claims <= 1 else ['claimed twice']
    """

    def start(self, environment) -> None:
        """Set up the row; no fault is injected during this call."""

    def act(self, environment) -> None:
        """Start processes with ``environment.spawn(name, function, *args)``.

        The fault is injected at a step of these processes or of a replica.
        The runner lets them run until they are done or blocked, repairs the
        fault (resumes frozen processes, reconnects the network, restarts
        replicas, replaces a lost disk), delivers delayed messages and lets
        them run again. A killed process is not started again; start its
        successor in ``verify``.
        """

    def verify(self, environment) -> list[str]:
        """Return a description of each violated property."""
