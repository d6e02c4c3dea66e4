"""Requests that wait at the gateway until a server may be asked again."""

import gevent.event

import paddle_kernel
from paddle_kernel import MS_PER_S
from paddle_router.gateway import _events
from paddle_router.gateway import _model
from paddle_router import policy

# Time of a plain answer until a service has shown its own; of the users'
# services the slower ones take 80 ms.
DEFAULT_ANSWER_MS = 80
# A server that takes requests again answers the first of them within this
# time; only the first request in a line looks that often.
LOOK_MS = 50


class Waiting:
    """The lines of all services.

    A request joins one only if every server that it could go to wants quiet,
    and only if it will be served in its time. Requests that may go to the
    same servers share a line.
    """

    def __init__(self, parts):
        self._parts = parts
        self._clock = parts.clock
        # By service, then by the servers that are left out.
        self._lines = {}
        self._turned_away = {}

    @property
    def count(self):
        """The number of requests that wait."""
        return sum(
            len(line)
            for lines in self._lines.values()
            for line in lines.values()
        )

    def place(self, call, work):
        """Return a flight for ``call``, ``None`` if it cannot be placed.

        May wait until a server can be asked again.
        """
        balancer = self._parts.balancers.get(call.service)
        if balancer is None:
            return None
        if not self._is_anyone_due(call.service):
            flight = balancer.choose(work, self._clock.now_ms())
            if flight is not None:
                return flight
        if not self._is_worth(call, balancer):
            return None
        return self._wait(call, work, balancer)

    def may_wait(self, call):
        """Whether ``call`` could be served after waiting for a server."""
        balancer = self._parts.balancers.get(call.service)
        return balancer is not None and self._is_worth(call, balancer)

    def wait_ms(self, call):
        """Return when a place will be free for ``call``, from now.

        ``None`` if that is not known, or if no time was named.
        """
        balancer = self._parts.balancers.get(call.service)
        if balancer is None:
            return None
        now_ms = self._clock.now_ms()
        available = balancer.next_availability(frozenset(), now_ms)
        if available is None or available.at_ms <= now_ms:
            return None
        # Callers who were told to come back take the places before.
        told, at_ms = self._turned_away.get(call.service, (0, 0))
        if at_ms != available.at_ms:
            told = 0
        self._turned_away[call.service] = told + 1, available.at_ms
        waiting = sum(map(len, self._lines_of(call.service)))
        rounds = available.rounds_before(told + waiting)
        answer_ms = self._answer_ms(call, balancer)
        return available.at_ms + rounds * answer_ms - now_ms

    def poke(self, service):
        """Let the request whose turn it is look for a place."""
        first = self._due(service)
        if first is not None:
            first.event.set()

    def poke_all(self, service):
        """Let every request judge again whether it waits."""
        for line in self._lines_of(service):
            for waiter in line.payloads():
                waiter.event.set()

    def _lines_of(self, service):
        return self._lines.get(service, {}).values()

    def _due(self, service):
        """Return the first waiter that a server takes now, or ``None``."""
        lines = self._lines_of(service)
        if not lines:
            return None
        balancer = self._parts.balancers[service]
        now_ms = self._clock.now_ms()
        for line in sorted(lines, key=policy.WaitingLine.first_place):
            waiter = line.first()
            if balancer.can_place(waiter.call.tried, now_ms):
                return waiter
        return None

    def _is_anyone_due(self, service):
        return self._due(service) is not None

    def _is_worth(self, call, balancer):
        """Whether ``call`` will be served in its time if it waits."""
        now_ms = self._clock.now_ms()
        available = balancer.next_availability(call.tried, now_ms)
        if available is None:
            return False
        ahead = sum(
            line.ahead(call.rank, call.req.received_ms)
            for line in self._lines_of(call.service)
        )
        answer_ms = self._answer_ms(call, balancer)
        rounds = available.rounds_before(ahead) + 1
        return available.at_ms + rounds * answer_ms <= call.end_ms

    def _answer_ms(self, call, balancer):
        if call.route.kind is _model.Kind.STREAM:
            # Its first event is due by then.
            return call.route.target_ms
        known_ms = balancer.answer_ms(self._clock.now_ms())
        return known_ms or DEFAULT_ANSWER_MS

    def _wait(self, call, work, balancer):
        lines = self._lines.setdefault(call.service, {})
        key = frozenset(call.tried)
        line = lines.setdefault(key, policy.WaitingLine())
        waiter = _Waiter(call)
        place = line.join(call.rank, call.req.received_ms, waiter)
        began_ms = self._clock.now_ms()
        paddle_kernel.emit(
            _events.REQUEST_WAITS,
            request=call.metadata.request_id,
            service=call.service,
            rank=call.rank,
            waiting=len(line),
        )
        try:
            return self._wait_in(line, place, waiter, work, balancer)
        finally:
            line.leave(place)
            if line:
                # It has to set a timer of its own.
                line.first().event.set()
            else:
                del lines[key]
            self._parts.metrics.waited.observe(
                (self._clock.now_ms() - began_ms) / MS_PER_S
            )
            self.poke(call.service)

    def _wait_in(self, line, place, waiter, work, balancer):
        call = waiter.call
        while True:
            pause_ms = None
            if line.is_first(place):
                now_ms = self._clock.now_ms()
                if self._due(call.service) is waiter:
                    flight = balancer.choose(work, now_ms)
                    if flight is not None:
                        return flight
                available = balancer.next_availability(call.tried, now_ms)
                if available is None:
                    return None
                pause_ms = max(LOOK_MS, available.at_ms - now_ms)
            if not self._is_worth(call, balancer):
                return None
            waiter.event.wait(
                None if pause_ms is None else pause_ms / MS_PER_S
            )
            waiter.event.clear()


class _Waiter:
    """A request that waits; ``event`` is set when it should look again."""

    def __init__(self, call):
        self.call = call
        self.event = gevent.event.Event()
