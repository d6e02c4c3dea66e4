"""Queues of requests that wait for a server to accept requests again."""

import collections
import hashlib

import gevent
import gevent.event

import paddle_kernel
from paddle_kernel import MS_PER_S
from paddle_router.gateway import _events
from paddle_router.gateway import _messages
from paddle_router.gateway import _model
from paddle_router import policy

# Assumed time of a plain response until a service's own time is known; the
# slower services of the users take 80 ms.
DEFAULT_SERVICE_TIME_MS = 80
# A server that accepts requests again responds to the first of them within
# this time. Only the first request of a queue checks that often.
MIN_RECHECK_INTERVAL_MS = 50


FINGERPRINT_BYTES = 12
# Arrivals are reported per 1,000 s, so that a gateway with less than one
# request a second counts.
ARRIVALS_SPAN_MS = 1_000_000


class WaitingRequests:
    """Queues of waiting requests of all services.

    Services with load control also have a :class:`policy.LoadAdmission`, which
    decides first.

    A request is queued only if every server that it could use is in its quiet
    time or at its limit, and only if it can be served before its deadline.
    Requests that may use the same servers and need similar room there share a
    queue, so that small ones do not wait for the room that large ones need.
    """

    def __init__(self, components):
        self._components = components
        self._clock = components.clock
        # By service, then by the set of excluded servers and the size.
        self._queues = {}
        self._refused_callers = {}
        # Admissions by service, and when each of them decided last.
        self._admissions = {}
        self._decided_ms = {}
        # Greenlets that decide at intervals, by service.
        self._checks = {}

    @property
    def count(self):
        """The number of waiting requests."""
        return sum(
            len(queue)
            for queues in self._queues.values()
            for queue in queues.values()
        )

    def place(self, call, work):
        """Return a flight for ``call``, ``None`` if no server can take it.

        Wait for a server that accepts requests again if there is time for it.
        """
        balancer = self._components.balancers.get(call.service)
        if balancer is None:
            return None
        if not self._is_admitted(call, balancer):
            return None
        flight = self._place_admitted(call, work, balancer)
        if call.load_request is not None:
            self._admissions[call.service].placed(call.load_request)
        return flight

    def _place_admitted(self, call, work, balancer):
        if not self._has_due_waiter(call.service):
            flight = balancer.choose(work, self._clock.now_ms())
            if flight is not None:
                return flight
        if not self._can_finish_in_time(call, balancer):
            return None
        return self._wait(call, work, balancer)

    def can_wait(self, call):
        """Return whether ``call`` can wait and still meet its deadline."""
        balancer = self._components.balancers.get(call.service)
        return balancer is not None and self._can_finish_in_time(
            call, balancer
        )

    def retry_after_ms(self, call):
        """Return the time until a server should have room for ``call``.

        ``None`` if it is unknown, or if a server is available now. Each call
        counts as one more caller who will retry at that time.
        """
        balancer = self._components.balancers.get(call.service)
        if balancer is None:
            return None
        now_ms = self._clock.now_ms()
        available = balancer.next_availability(frozenset(), now_ms)
        if available is None or available.at_ms <= now_ms:
            return None
        # Callers that were refused earlier are expected to retry first.
        refused_count, at_ms = self._refused_callers.get(call.service, (0, 0))
        if at_ms != available.at_ms:
            refused_count = 0
        self._refused_callers[call.service] = (
            refused_count + 1,
            available.at_ms,
        )
        waiting = sum(map(len, self._queues_of(call.service)))
        wait_ms = available.wait_ms(
            refused_count + waiting, self._service_time_ms(call, balancer)
        )
        return available.at_ms + wait_ms - now_ms

    # Admission by load

    def demands(self):
        """Return the :class:`ServiceDemand` of this gateway's callers."""
        now_ms = self._clock.now_ms()
        weight = int(MS_PER_S * self._components.settings.cpu_share)
        return tuple(
            _messages.ServiceDemand(
                service=service,
                rank=demand.rank,
                waiting=demand.waiting,
                arrivals=int(ARRIVALS_SPAN_MS * demand.per_ms),
                weight=weight,
            )
            for service, admission in self._admissions.items()
            for demand in admission.own_demands(now_ms)
        )

    def apply_demands(self, totals, counted, gateway_count):
        """Pass the demand of all gateways to the admissions.

        ``counted`` is the demand of this gateway that ``totals`` contain.
        """
        own = {(item.service, item.rank): item for item in counted}
        others = collections.defaultdict(list)
        for item in totals:
            mine = own.get((item.service, item.rank))
            arrivals = item.arrivals - (mine.arrivals if mine else 0)
            waiting = item.waiting - (mine.waiting if mine else 0)
            others[item.service].append(
                policy.RankDemand(
                    rank=item.rank,
                    waiting=max(0, waiting),
                    per_ms=max(0, arrivals) / ARRIVALS_SPAN_MS,
                )
            )
        now_ms = self._clock.now_ms()
        for service, admission in self._admissions.items():
            admission.set_others(others[service], gateway_count, now_ms)

    def pause_after_rejection(self, call):
        """Wait until a server that has rejected ``call`` may have room."""
        if call.load_request is None:
            return
        balancer = self._components.balancers[call.service]
        now_ms = self._clock.now_ms()
        pause_ms = self._admissions[call.service].retry_pause_ms(
            balancer.views(now_ms), now_ms
        )
        self._clock.sleep_ms(min(pause_ms, max(0, call.end_ms - now_ms)))

    def finish(self, call):
        """Record the end of ``call``, whatever it was."""
        if call.load_request is not None:
            self._admissions[call.service].finish(
                call.load_request, self._clock.now_ms()
            )

    def dump(self):
        """Return plain data for the state dump."""
        now_ms = self._clock.now_ms()
        return {
            service: admission.dump(now_ms)
            for service, admission in self._admissions.items()
        }

    def _is_admitted(self, call, balancer):
        """Wait for the decision on ``call``; return whether it is sent."""
        if (
            call.response_started
            or call.last_event_id is not None
            or not self._components.has_load_control(call.service)
        ):
            # A stream that goes on has been admitted before.
            return True
        admission = self._admission(call.service)
        now_ms = self._clock.now_ms()
        is_retry = call.load_request is not None
        if is_retry:
            admission.finish(call.load_request, now_ms)
        else:
            call.load_request = _load_request(call)
        req = call.load_request
        req.payload = gevent.event.Event()
        views = balancer.views(now_ms)
        admission.add(
            req,
            views,
            now_ms,
            self._components.wall.now_ms(),
            is_retry=is_retry,
        )
        self._decide(call.service, views)
        if req.decision is None:
            self._start_checks(call.service, admission)
            req.payload.wait()
        waited_ms = self._clock.now_ms() - now_ms
        self._components.metrics.load_waited.observe(waited_ms / MS_PER_S)
        if isinstance(req.decision, policy.Send):
            return True
        self._components.metrics.turned_away.labels(
            call.route.kind.value
        ).inc()
        paddle_kernel.emit(
            _events.REQUEST_TURNED_AWAY,
            request=call.metadata.request_id,
            service=call.service,
            rank=call.rank,
            waited_ms=waited_ms,
            retry_after_ms=req.decision.retry_after_ms,
        )
        return False

    def _start_checks(self, service, admission):
        """Decide at intervals while requests of ``service`` wait.

        One timer for all of them: with a timer each, 1,000 waiting requests
        take a whole core.
        """
        if not self._checks.get(service):
            self._checks[service] = gevent.spawn(
                self._check_waiting, service, admission
            )

    def _check_waiting(self, service, admission):
        while len(admission):
            self._clock.sleep_ms(admission.check_ms)
            self._decide_again(service, admission.check_ms)

    def _decide_again(self, service, interval_ms=0):
        """Decide unless this was done within ``interval_ms``."""
        now_ms = self._clock.now_ms()
        if now_ms - self._decided_ms.get(service, 0) >= interval_ms:
            views = self._components.balancers[service].views(now_ms)
            self._decide(service, views)

    def _decide(self, service, views):
        """Decide on the waiting requests of ``service`` and wake them."""
        now_ms = self._clock.now_ms()
        self._decided_ms[service] = now_ms
        for req in self._admissions[service].decide(views, now_ms):
            req.payload.set()

    def _admission(self, service):
        admission = self._admissions.get(service)
        if admission is None:
            admission = self._admissions[service] = policy.LoadAdmission(
                is_engine=self._components.engine_traits(service) is not None
            )
        return admission

    # Servers that accept no requests for a time

    def wake_next(self, service):
        """Wake the first request that a server accepts now."""
        if service in self._admissions and len(self._admissions[service]):
            self._decide_again(service)
        first = self._first_due_waiter(service)
        if first is not None:
            first.event.set()

    def wake_all(self, service):
        """Wake every request to check again whether waiting is worthwhile."""
        for queue in self._queues_of(service):
            for waiter in queue.payloads():
                waiter.event.set()

    def _queues_of(self, service):
        return self._queues.get(service, {}).values()

    def _first_due_waiter(self, service):
        """Return the first waiter that a server accepts now, or ``None``."""
        queues = self._queues_of(service)
        if not queues:
            return None
        balancer = self._components.balancers[service]
        now_ms = self._clock.now_ms()
        for queue in sorted(queues, key=policy.WaitingQueue.first_position):
            waiter = queue.first()
            if balancer.can_place(waiter.call.excluded, now_ms, waiter.work):
                return waiter
        return None

    def _has_due_waiter(self, service):
        return self._first_due_waiter(service) is not None

    def _can_finish_in_time(self, call, balancer):
        """Return whether ``call`` can wait and finish before its deadline."""
        now_ms = self._clock.now_ms()
        available = balancer.next_availability(call.excluded, now_ms)
        if available is None:
            return False
        ahead = sum(
            queue.count_ahead(call.rank, call.req.received_ms)
            for queue in self._queues_of(call.service)
        )
        service_time_ms = self._service_time_ms(call, balancer)
        sent_ms = available.at_ms + available.wait_ms(ahead, service_time_ms)
        return sent_ms + service_time_ms <= call.end_ms

    def _service_time_ms(self, call, balancer):
        if call.route.kind is _model.Kind.STREAM:
            # Time until the first event is due.
            return call.route.target_ms
        known_ms = balancer.median_response_ms(self._clock.now_ms())
        return known_ms or DEFAULT_SERVICE_TIME_MS

    def _wait(self, call, work, balancer):
        queues = self._queues.setdefault(call.service, {})
        key = call.excluded, balancer.held_work.size_class(work)
        queue = queues.setdefault(key, policy.WaitingQueue())
        waiter = _Waiter(call, work)
        position = queue.join(call.rank, call.req.received_ms, waiter)
        wait_start_ms = self._clock.now_ms()
        paddle_kernel.emit(
            _events.REQUEST_WAITING,
            request=call.metadata.request_id,
            service=call.service,
            rank=call.rank,
            waiting=len(queue),
        )
        try:
            return self._wait_for_flight(
                queue, position, waiter, work, balancer
            )
        finally:
            queue.leave(position)
            if queue:
                # The new first request has to set its own timer.
                queue.first().event.set()
            else:
                del queues[key]
            self._components.metrics.waited.observe(
                (self._clock.now_ms() - wait_start_ms) / MS_PER_S
            )
            self.wake_next(call.service)

    def _wait_for_flight(self, queue, position, waiter, work, balancer):
        call = waiter.call
        while True:
            pause_ms = None
            if self._components.relays.is_available(call):
                # Only another gateway reaches the servers.
                return None
            if queue.is_first(position):
                now_ms = self._clock.now_ms()
                if self._first_due_waiter(call.service) is waiter:
                    flight = balancer.choose(work, now_ms)
                    if flight is not None:
                        return flight
                available = balancer.next_availability(call.excluded, now_ms)
                if available is None:
                    return None
                pause_ms = max(
                    MIN_RECHECK_INTERVAL_MS, available.at_ms - now_ms
                )
            if not self._can_finish_in_time(call, balancer):
                return None
            waiter.event.wait(
                None if pause_ms is None else pause_ms / MS_PER_S
            )
            waiter.event.clear()


def _load_request(call):
    return policy.LoadRequest(
        rank=call.rank,
        customer=call.customer.name if call.customer else '',
        class_name=call.route.name,
        fingerprint=_load_fingerprint(call),
        arrived_ms=call.req.received_ms,
        target_ms=call.route.target_ms or call.route.timeout_ms,
        timeout_ms=call.route.timeout_ms,
        end_ms=call.end_ms,
        tokens=max(1, call.metadata.prompt_tokens),
    )


def _load_fingerprint(call):
    """Return a digest that decides when it is the turn of ``call``.

    Requests without a body have the same fingerprint whenever they ask for the
    same key, so that a popular key would be served and refused in blocks of
    some seconds. They are told apart by their id.
    """
    if call.req.body or call.metadata.request_id is None:
        return call.fingerprint
    digest = hashlib.blake2b(
        call.metadata.request_id.encode(), digest_size=FINGERPRINT_BYTES
    )
    return digest.hexdigest()


class _Waiter:
    """A waiting request; ``event`` is set when it should check again."""

    def __init__(self, call, work):
        self.call = call
        self.work = work
        self.event = gevent.event.Event()
