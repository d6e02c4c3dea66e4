"""The software version that began each stream that a caller may take up.

Two versions generate different continuations, and a server does not know
which one began a stream. A caller that takes a stream up again names the
request that brought its first event, and may come to any gateway.
"""

import collections
import hashlib

import attrs
import gevent
import gevent.event

import paddle_kernel
from paddle_kernel import MS_PER_S
from paddle_router.gateway import _events
from paddle_router.gateway import _messages
from paddle_router.gateway import _model
from paddle_router import policy

# Controllers that get the record of a stream, so that one may fail.
RECORD_COPIES = 2
# A record is on its way while the server reads the prompt. The first event
# waits this long for it at most, if a controller does not respond.
RECORD_TIMEOUT_MS = 100
QUERY_TIMEOUT_MS = 250
# Bound on the size of a message.
MAX_ORIGINS_PER_MESSAGE = 500
# Bound on memory: twice the streams that a gateway serves in the retention
# time at 30 a second.
MAX_ORIGINS = 4_096


class StreamOrigins:
    """The origins of this gateway's streams, and of those of others.

    ``components`` are the :class:`GatewayComponents`.
    """

    def __init__(self, components, transport):
        self._components = components
        self._clock = components.clock
        self._wall = components.wall
        self._transport = transport
        self._history = policy.VersionHistory()
        # Origins by request id, oldest first.
        self._origins = collections.OrderedDict()
        self._mixed_services = frozenset()

    # Streams that begin

    def record_sent(self, call, server):
        """Tell controllers that the stream of ``call`` runs at ``server``.

        Only while other versions might serve a part of it.
        """
        if not self._may_be_taken_up(call) or call.software_version:
            return
        call.origin = _messages.StreamOrigin(
            id=call.metadata.request_id,
            service=call.service,
            version=server.software_version,
            sent_ms=self._wall.now_ms(),
        )
        call.origin_recorded = None
        if len(self._candidates(call.route)) > 1:
            call.origin_recorded = gevent.event.Event()
            self._send((call.origin,), call.origin_recorded)

    def record_begun(self, call):
        """Remember the origin of ``call``, whose first event has arrived.

        Waits for a controller to know it too.
        """
        if call.origin is None:
            return
        if call.origin_recorded is not None:
            call.origin_recorded.wait(RECORD_TIMEOUT_MS / MS_PER_S)
        self._add(call.origin)

    def record_relayed(self, call):
        """Remember the origin of ``call``, whose first event a peer sent."""
        if self._may_be_taken_up(call):
            self._add(
                _messages.StreamOrigin(
                    id=call.metadata.request_id,
                    service=call.service,
                    version=call.software_version,
                    sent_ms=self._wall.now_ms(),
                )
            )

    def apply_versions(self, servers, unlisted):
        """Apply the current list of servers and recent unlisted versions.

        Streams that began while one version of a service served are recorded
        once there are several.
        """
        now_ms = self._wall.now_ms()
        pairs = {(item.service, item.software_version) for item in servers}
        self._history.observe(pairs, now_ms)
        self._history.add(unlisted, now_ms)
        counts = collections.Counter(
            item.service for item in self._history.items(now_ms)
        )
        mixed = frozenset(
            service for service, count in counts.items() if count > 1
        )
        new = mixed - self._mixed_services
        self._mixed_services = mixed
        if new:
            self._send(
                [
                    item
                    for item in self._origins.values()
                    if item.service in new
                ]
            )

    # Streams that callers take up

    def resolve(self, call):
        """Return whether ``call`` can be served at the version it needs.

        A call that does not take a stream up can be served at any.
        """
        if (
            call.metadata.last_event_id is None
            or call.route.kind is not _model.Kind.STREAM
        ):
            return True
        resumed_id = call.metadata.resumed_id or ''
        origin = self._origins.get(resumed_id) or self._ask(call, resumed_id)
        paddle_kernel.emit(
            _events.STREAM_TAKEN_UP,
            request=call.metadata.request_id,
            resumed=resumed_id,
            software=origin.version if origin else None,
            found=origin is not None and origin.id == resumed_id,
        )
        if origin is None or origin.service not in _services(call.route):
            return False
        call.service = origin.service
        call.software_version = origin.version
        if resumed_id:
            self._add(attrs.evolve(origin, id=resumed_id))
        return True

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'origins': len(self._origins),
            'versions': self._history.dump(),
        }

    def _may_be_taken_up(self, call):
        return (
            call.route.kind is _model.Kind.STREAM
            and call.route.can_resume
            and call.metadata.request_id is not None
        )

    def _candidates(self, route):
        """Return the ``(service, version)`` that may serve ``route``."""
        now_ms = self._wall.now_ms()
        return {
            (service, version)
            for service in _services(route)
            for version in self._history.versions(service, now_ms)
        }

    def _ask(self, call, resumed_id):
        """Return the origin that controllers know of, or ``None``.

        Without a record, it is known if only one version served recently. A
        minority of the controllers may have missed another one, and this
        gateway and a majority may not know yet of servers that just joined.
        Whoever began a stream there has sent a record, so the controllers
        that would have it are waited for.
        """
        follower = self._components.follower
        members = follower.member_addresses()
        controllers = follower.controller_addresses()
        message = _messages.FindStream(id=resumed_id)
        complete = set()
        recorders = set(_recorders(resumed_id, controllers))
        for address, result in paddle_kernel.broadcast(
            self._transport,
            dict.fromkeys(controllers, message),
            QUERY_TIMEOUT_MS,
        ):
            recorders.discard(address)
            answer = result.value_or(None)
            if isinstance(answer, _messages.StreamFound):
                if answer.origin is not None:
                    return answer.origin
                self._history.add(answer.versions, self._wall.now_ms())
                if answer.is_complete and address in members:
                    complete.add(address)
            candidates = self._candidates(call.route)
            if (
                not recorders
                and 2 * len(complete) > len(members)
                and len(candidates) == 1
            ):
                ((service, version),) = candidates
                return _messages.StreamOrigin(
                    id='',
                    service=service,
                    version=version,
                    sent_ms=self._wall.now_ms(),
                )
        return None

    def _add(self, origin):
        self._origins[origin.id] = origin
        self._origins.move_to_end(origin.id)
        oldest_ms = self._wall.now_ms() - policy.STREAM_RETENTION_MS
        while self._origins and (
            len(self._origins) > MAX_ORIGINS
            or next(iter(self._origins.values())).sent_ms < oldest_ms
        ):
            self._origins.popitem(last=False)

    def _send(self, origins, recorded=None):
        """Send ``origins`` to controllers; set ``recorded`` on success."""
        controllers = self._components.follower.controller_addresses()
        by_address = collections.defaultdict(list)
        for origin in origins:
            for address in _recorders(origin.id, controllers):
                by_address[address].append(origin)
        for address, items in by_address.items():
            for start in range(0, len(items), MAX_ORIGINS_PER_MESSAGE):
                gevent.spawn(
                    self._send_to,
                    address,
                    tuple(items[start : start + MAX_ORIGINS_PER_MESSAGE]),
                    recorded,
                )

    def _send_to(self, address, origins, recorded):
        result = self._transport.call(
            address,
            _messages.RecordStreams(origins=origins),
            QUERY_TIMEOUT_MS,
        )
        if not isinstance(result.value_or(None), _messages.StreamsRecorded):
            paddle_kernel.emit(
                _events.STREAMS_NOT_RECORDED,
                address=address,
                count=len(origins),
            )
        elif recorded is not None:
            recorded.set()


def _services(route):
    return {item.service for item in route.services}


def _recorders(request_id, controllers):
    """Return the controllers that get the record of a stream."""
    ranked = sorted(
        controllers, key=lambda address: _rank(request_id, address)
    )
    return ranked[:RECORD_COPIES]


def _rank(request_id, address):
    text = f'{request_id}/{address}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
