"""Probes backend servers when the gateway may have lost the way to them."""

import errno
import random

import gevent
import gevent.event
import gevent.socket

import paddle_kernel
from paddle_router.gateway import _connections
from paddle_router.gateway import _events
from paddle_router import policy

# Time between two looks at the requests in progress; short compared with the
# silence that makes a gateway suspicious.
CHECK_PERIOD_MS = 100
# The next server is probed if the one before has not accepted by then: a
# reachable server accepts within a few ms, and connections are priced.
PROBE_STAGGER_MS = 50
# Errors of this machine, which tell nothing about the network path.
LOCAL_ERRORS = frozenset(
    {
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)


class ServerReachability:
    """Whether this gateway reaches any backend server.

    ``servers()`` returns the listed servers. The methods that requests call do
    no I/O; :meth:`step` probes.
    """

    def __init__(self, clock, servers, rng=None):
        self._clock = clock
        self._servers = servers
        self._rng = rng or random.Random()
        self._reach = policy.ServerReach()
        self._wake = gevent.event.Event()
        self.probe_count = 0

    @property
    def is_cut(self):
        """Whether no server accepts connections from this gateway."""
        return self._reach.is_cut

    def suspect(self, address):
        """Record that a connection to ``address`` was refused or lost."""
        self._reach.suspect(address, self._clock.now_ms())
        self._wake.set()

    def record_connected(self):
        """Record that a server has accepted a new connection."""
        self._reach.record_connected(self._clock.now_ms())

    def record_response(self):
        """Record that bytes of a response have arrived."""
        self._reach.record_response(self._clock.now_ms())

    def begin_exchange(self):
        """Record that a request is sent to a server."""
        self._reach.begin_exchange(self._clock.now_ms())

    def end_exchange(self):
        """Record that an exchange with a server has ended."""
        self._reach.end_exchange()

    def wait(self):
        """Wait until the next :meth:`step` may have something to do."""
        self._wake.wait(CHECK_PERIOD_MS / paddle_kernel.MS_PER_S)
        self._wake.clear()

    def step(self):
        """Probe servers if that is due."""
        began_ms = self._clock.now_ms()
        if not self._reach.is_round_due(began_ms):
            return
        suspected_ms = self._reach.suspected_ms
        changed_ms = self._reach.changed_ms
        targets = self._reach.begin_round(
            [
                policy.ProbeTarget(
                    address=item.address,
                    service=item.service,
                    domain=item.domain,
                    leaving=item.leaving,
                )
                for item in self._servers()
            ],
            self._rng,
            began_ms,
        )
        results = self._probe_all([item.address for item in targets])
        now_ms = self._clock.now_ms()
        if not self._reach.finish_round(results, began_ms, now_ms):
            return
        if self._reach.is_cut:
            paddle_kernel.emit(
                _events.SERVERS_UNREACHABLE,
                probes=[f'{item.address}: {item.error}' for item in results],
                suspected_for_ms=now_ms - (suspected_ms or began_ms),
            )
        else:
            paddle_kernel.emit(
                _events.SERVERS_REACHABLE,
                connected=[
                    item.address for item in results if item.is_connected
                ],
                cut_ms=now_ms - changed_ms,
            )

    def dump(self):
        """Return plain data for the state dump."""
        return {
            **self._reach.dump(self._clock.now_ms()),
            'probes': self.probe_count,
        }

    def _probe_all(self, addresses):
        """Probe one address after the other until enough have accepted."""
        needed = policy.MIN_CONNECTED if self.is_cut else 1
        probes = []
        for address in addresses:
            probes.append(gevent.spawn(self._probe, address))
            self.probe_count += 1
            gevent.joinall(
                probes, timeout=PROBE_STAGGER_MS / paddle_kernel.MS_PER_S
            )
            connected = sum(
                item.ready() and item.get().is_connected is True
                for item in probes
            )
            if connected >= needed:
                break
        gevent.joinall(probes)
        return [item.get() for item in probes]

    def _probe(self, address):
        try:
            sock = gevent.socket.create_connection(
                paddle_kernel.split_address(address),
                _connections.CONNECT_TIMEOUT_MS / paddle_kernel.MS_PER_S,
            )
        except (OSError, OverflowError, ValueError) as exc:
            # The address may be no valid one.
            is_local = getattr(exc, 'errno', None) in LOCAL_ERRORS
            return policy.ProbeResult(
                address=address,
                is_connected=None if is_local else False,
                error=str(exc),
            )
        sock.close()
        return policy.ProbeResult(address=address, is_connected=True)
