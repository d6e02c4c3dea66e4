"""Traits of requests that crash servers, as one gateway observes them.

The controllers decide which traits are refused, from the observations of all
gateways; see :class:`paddle_router.policy.RequestCrashes`.
"""

import collections
import itertools

import gevent

import paddle_kernel
from paddle_router.gateway import _connections
from paddle_router.gateway import _events
from paddle_router import policy

# A server that crashes ends its connections one after the other and then stops
# listening; after this time it refuses connections.
CRASH_CHECK_DELAY_MS = 20
# Reports are repeated in this time, so that they outlast a lost exchange and a
# change of the lease holder.
REPEAT_MS = 30_000
# Bounds on memory and on the size of a message.
MAX_REPORTS = 32
MAX_TRAITS_PER_REPORT = 64
MAX_SERVED_TRAITS = 4_096


class RequestCrashRecorder:
    """Records crashes and served traits; knows the refused traits.

    ``components`` are the :class:`GatewayComponents`, ``incarnation`` is the
    id of this gateway process in reports.
    """

    def __init__(self, components, incarnation):
        self._components = components
        self._clock = components.clock
        self._wall = components.wall
        self._incarnation = incarnation
        self._numbers = itertools.count(1)
        # Requests whose server is being checked, with their traits, by server.
        self._unchecked = {}
        # Bytes of bodies at that server when the first of them was lost.
        self._held_bytes = {}
        self._reports = collections.deque(maxlen=MAX_REPORTS)
        # When a request with a trait was last served.
        self._served_ms = collections.OrderedDict()
        self._suspects = ()
        self._refused_until_ms = {}

    def refused_trait(self, call):
        """Return the :class:`RefusedTrait` that ``call`` has, or ``None``."""
        if not self._refused_until_ms:
            return None
        now_ms = self._wall.now_ms()
        # The fingerprint is last; it explains most.
        for trait in reversed(call.traits):
            until_ms = self._refused_until_ms.get(trait, 0)
            if until_ms > now_ms:
                return policy.RefusedTrait(id=trait, until_ms=until_ms)
        return None

    def retry_after_ms(self, refused):
        """Return the time until requests with ``refused`` are sent again."""
        return max(0, refused.until_ms - self._wall.now_ms())

    def record_begun(self, call):
        """Record that a server has begun to answer the prompt of ``call``."""
        self._record(call.metadata.shared_part_ids)

    def record_served(self, call):
        """Record that ``call`` was served completely."""
        self._record(call.traits)

    def _record(self, traits):
        now_ms = self._wall.now_ms()
        for trait in traits:
            self._served_ms[trait] = now_ms
            self._served_ms.move_to_end(trait)
        while len(self._served_ms) > MAX_SERVED_TRAITS:
            self._served_ms.popitem(last=False)

    def is_suspected(self, call):
        """Return whether ``call`` or a repeat of it ran at a crash."""
        trait = policy.request_trait(call.fingerprint)
        return trait in self._suspects or any(
            trait in item.traits for item in self._reports
        )

    def check_server(self, call, server, flight):
        """Find out whether ``server`` crashed while it ran ``call``.

        If it had begun to answer in ``flight``, the prompt is not the cause.
        """
        traits = call.traits[-1:] if flight.started else call.traits
        sent_ms = flight.sent_ms + self._wall.now_ms() - self._clock.now_ms()
        calls = self._unchecked.setdefault(server.incarnation, [])
        calls.append((call, traits[-MAX_TRAITS_PER_REPORT:], sent_ms))
        if len(calls) == 1:
            balancer = self._components.balancers[server.service]
            self._held_bytes[server.incarnation] = balancer.held_bytes(
                server.id
            )
            gevent.spawn(self._check, server)

    def report_fields(self):
        """Return the fields of a :class:`GatewayReport` on crashes."""
        now_ms = self._wall.now_ms()
        return {
            'crashes': tuple(
                item
                for item in self._reports
                if now_ms - item.at_ms <= REPEAT_MS
            ),
            'served': tuple(
                policy.ServedTrait(id=trait, at_ms=self._served_ms[trait])
                for trait in self._suspects
                if trait in self._served_ms
            ),
            'refused': tuple(
                policy.RefusedTrait(id=trait, until_ms=until_ms)
                for trait, until_ms in self._refused_until_ms.items()
            ),
        }

    def apply_reply(self, reply):
        """Apply the suspects and refused traits of a :class:`SyncReply`."""
        self._suspects = reply.suspects
        now_ms = self._wall.now_ms()
        for item in reply.refused:
            if item.id not in self._refused_until_ms:
                paddle_kernel.emit(
                    _events.TRAIT_REFUSED,
                    trait=item.id,
                    for_ms=item.until_ms - now_ms,
                )
            self._refused_until_ms[item.id] = item.until_ms
        self._refused_until_ms = {
            trait: until_ms
            for trait, until_ms in self._refused_until_ms.items()
            if until_ms > now_ms
        }

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'reports': [
                {
                    'id': item.id,
                    'server': item.server.id,
                    'at_ms': item.at_ms,
                    'traits': list(item.traits),
                }
                for item in self._reports
            ],
            'suspects': list(self._suspects),
            'refused_until_ms': dict(self._refused_until_ms),
        }

    def _check(self, server):
        at_ms = self._wall.now_ms()
        self._clock.sleep_ms(CRASH_CHECK_DELAY_MS)
        is_crashed = self._refuses_connections(server)
        calls = self._unchecked.pop(server.incarnation)
        held_bytes = self._held_bytes.pop(server.incarnation)
        if not is_crashed:
            return
        self._components.metrics.server_crashes.inc()
        self._lower_limit(server, held_bytes)
        for call, traits, sent_ms in calls:
            report = policy.CrashReport(
                id=f'{self._incarnation}/{next(self._numbers)}',
                server=server.incarnation,
                at_ms=at_ms,
                traits=traits,
                sent_ms=sent_ms,
            )
            self._reports.append(report)
            paddle_kernel.emit(
                _events.SERVER_CRASHED,
                request=call.metadata.request_id,
                server=server.id,
                address=server.address,
                traits=traits,
            )

    def _lower_limit(self, server, held_bytes):
        """Lower the limit on bodies if the server may have lacked memory."""
        balancer = self._components.balancers[server.service]
        limit_bytes = balancer.record_crash(held_bytes, self._clock.now_ms())
        if limit_bytes is not None:
            paddle_kernel.emit(
                _events.BODY_LIMIT_LOWERED,
                service=server.service,
                server=server.id,
                held=held_bytes,
                limit=limit_bytes,
            )

    def _refuses_connections(self, server):
        """Return whether no process listens at the server's address.

        A timeout may be a fault of the network and does not count.
        """
        pool = self._components.pool
        try:
            conn = pool.acquire(
                server.address,
                limit=self._components.connection_limit(server.service),
                owner=server.incarnation,
            )
        except _connections.NoConnectionError as exc:
            return isinstance(exc.__cause__, ConnectionRefusedError)
        pool.release(conn, idle_ms=None)
        return False
