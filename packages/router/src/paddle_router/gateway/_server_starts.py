"""Log of the servers that are cold or whose load grows with their answers."""

import collections

import paddle_kernel
from paddle_router.gateway import _events
from paddle_router import policy

COLD = policy.ServerView.COLD
STARTING = policy.ServerView.STARTING


class ServerStarts:
    """Logs when servers become cold or start, and when that ends.

    ``balancers`` are the balancers of all services by name.
    """

    def __init__(self, balancers, clock):
        self._balancers = balancers
        self._clock = clock
        self._known = {}

    def count(self, phase):
        """Return the number of servers that are ``COLD`` or ``STARTING``."""
        return collections.Counter(self._phases().values())[phase]

    def log_changes(self):
        """Log the changes since the last call."""
        phases = self._phases()
        for server_id, phase in phases.items():
            if self._known.get(server_id) != phase:
                event = (
                    _events.SERVER_COLD
                    if phase == COLD
                    else _events.SERVER_STARTING
                )
                paddle_kernel.emit(event, server=server_id)
        for server_id in self._known.keys() - phases.keys():
            paddle_kernel.emit(_events.SERVER_WARM, server=server_id)
        self._known = phases

    def _phases(self):
        now_ms = self._clock.now_ms()
        return {
            server_id: phase
            for balancer in self._balancers.values()
            for server_id, phase in balancer.start_phases(now_ms).items()
        }
