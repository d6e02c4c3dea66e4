"""Request queues and allocation of engine slots.

State changes only in functions that do not switch greenlets. They are
therefore atomic, as if one task handled them as messages, without the cost of
a greenlet switch per request. A request waits on its :class:`Waiter` only
when no slot is free.
"""

import math

import attrs
import gevent
import gevent.event

import paddle_kernel
from paddle_router import _errors
from paddle_router import _pools
from paddle_router import policy

TICK_MS = 100
MS_PER_S = paddle_kernel.MS_PER_S


@attrs.define(eq=False)
class Slot:
    """Permission to use one engine for one request.

    ``on_ejected`` is called when the engine is ejected while this request is
    overdue on it.
    """

    pool: object
    ticket: object
    flight: object
    instance: object
    started_ms: int
    on_ejected: object = None


class Waiter:
    """A queued request; ``outcome`` is a :class:`Slot` or a refusal.

    ``needs_resume`` restricts it to engines that can resume a stream.
    """

    def __init__(self, request, work, *, needs_resume=False):
        self.request = request
        self.work = work
        self.needs_resume = needs_resume
        self.ticket = None
        self.outcome = None
        self._event = None

    def resolve(self, outcome):
        """Set the outcome and wake the waiting greenlet."""
        self.outcome = outcome
        if self._event is not None:
            self._event.set()

    def wait(self):
        """Return the outcome; block until there is one."""
        if self.outcome is None:
            self._event = gevent.event.Event()
            self._event.wait()
        return self.outcome


class Dispatcher:
    """Queues requests and assigns them slots on engines."""

    def __init__(self, clock, policies, metrics):
        self._clock = clock
        self._policies = policies
        self._metrics = metrics
        self._pools = {}
        self._share_range = (0.0, 1.0)
        self._send_probe = None

    def set_probe_sender(self, function):
        """Set ``function(pool, flight, instance)``, which sends a probe."""
        self._send_probe = function

    # Settings and engines

    def apply(self, view):
        """Apply a new version of the configuration."""
        self._policies.apply(view)
        for pool in self._pools.values():
            pool.scheduler.apply(
                self._policies.classes, self._policies.customer_weights
            )

    def set_share(self, low, high):
        """Set this daemon's share of all slots and limits to [low, high)."""
        self._share_range = (low, high)
        self._policies.set_share(high - low)
        for pool in self._pools.values():
            pool.balancer.set_share(low, high)
            self._fill_slots(pool)

    def sync(self, instances):
        """Apply a new list of backend servers."""
        now_ms = self._clock.now_ms()
        pairs_by_model = _pools.engines_by_model(instances, self._demand_of)
        for model in set(pairs_by_model) | set(self._pools):
            pairs = pairs_by_model.get(model, [])
            pool = self._get_or_create_pool(model)
            engines = [engine for engine, _ in pairs]
            pool.sync(engines, {item.id: item for _, item in pairs}, now_ms)
            self._fill_slots(pool)
        for model, pool in list(self._pools.items()):
            if not pool.engines and not pool.demand:
                del self._pools[model]

    def models(self):
        """Return the names of all models served by engines."""
        return self._pools.keys()

    def pool(self, model):
        """Return the :class:`Pool` of ``model`` or ``None``."""
        return self._pools.get(model)

    def can_resume(self, model):
        """Return whether any engine of ``model`` can resume streams."""
        pool = self._pools.get(model)
        return pool is not None and any(
            item.can_resume for item in pool.engines
        )

    def demand(self):
        """Return the number of queued and running requests by class."""
        result = {}
        for pool in self._pools.values():
            for entry in (*pool.waiting, *pool.running):
                name = entry.ticket.class_name
                result[name] = result.get(name, 0) + 1
        return result

    # Requests

    def acquire(self, request, watch, *, avoid=frozenset(), resumed=False):
        """Queue ``request`` and return its :class:`Slot`.

        ``avoid`` holds the ids of engines that earlier attempts used;
        ``resumed`` means that the caller already has the first token.

        :raises Refusal: if no slot becomes free in time.
        """
        pool = self._pools.get(request.model)
        if pool is None or not pool.engines:
            raise _errors.unavailable(
                'no_engine', 'no engine serves this model at present'
            )
        now_ms = self._clock.now_ms()
        waiter = self._enqueue(pool, request, avoid, resumed, now_ms)
        if waiter.outcome is None:
            watch.on_disconnect(lambda: self._abandon(pool, waiter))
            waiter.wait()
            watch.on_disconnect(None)
        if isinstance(waiter.outcome, Slot):
            return waiter.outcome
        raise waiter.outcome

    def release(self, slot, *, ok, tokens):
        """Free ``slot``; ``ok`` is false only if the engine failed."""
        pool = slot.pool
        now_ms = self._clock.now_ms()
        pool.remove_running(slot)
        pool.balancer.finish(slot.flight, now_ms, ok)
        pool.scheduler.served(slot.ticket, tokens)
        if pool.waiting:
            self._fill_slots(pool)

    def record_progress(self, slot, tokens):
        """Record that the response has ``tokens`` tokens so far."""
        slot.pool.balancer.observe(slot.flight, self._clock.now_ms(), tokens)
        slot.pool.scheduler.served(slot.ticket, tokens, done=False)

    def refuse_waiting(self, refusal_for):
        """Refuse queued requests selected by ``refusal_for``.

        ``refusal_for(request)`` returns a refusal, or ``None`` to keep the
        request in the queue.
        """
        for pool in self._pools.values():
            for waiter in list(pool.waiting):
                refusal = refusal_for(waiter.request)
                if refusal is not None:
                    self._withdraw(pool, waiter)
                    waiter.resolve(refusal)

    def tick(self):
        """Refuse late requests, eject faulty engines and send probes."""
        now_ms = self._clock.now_ms()
        for pool in self._pools.values():
            pool.tier_load.update(now_ms)
            for ejection in pool.balancer.tick(now_ms):
                self._cancel_overdue(pool, ejection)
            for flight in pool.balancer.probes(now_ms):
                instance = pool.instances.get(flight.engine_id)
                if instance is not None and self._send_probe is not None:
                    gevent.spawn(self._send_probe, pool, flight, instance)
            self._fill_slots(pool)
        self._publish_queue_depth()

    def record_load_report(self, instance_id, report):
        """Record a load report of an engine."""
        now_ms = self._clock.now_ms()
        for pool in self._pools.values():
            if instance_id in pool.instances:
                pool.balancer.report(instance_id, report, now_ms)

    def dump(self):
        """Return plain data for the state dump."""
        return {
            model: {
                'scheduler': pool.scheduler.dump(),
                'balancer': pool.balancer.dump(),
                'waiting': len(pool.waiting),
                'running': len(pool.running),
            }
            for model, pool in self._pools.items()
        }

    # Internals

    def _get_or_create_pool(self, model):
        pool = self._pools.get(model)
        if pool is None:
            pool = _pools.Pool(
                model,
                self._policies.new_scheduler(),
                self._policies.new_balancer(),
            )
            pool.balancer.set_share(*self._share_range)
            self._pools[model] = pool
        return pool

    def _demand_of(self, model):
        pool = self._pools.get(model)
        return pool.demand if pool is not None else 0

    def _enqueue(self, pool, request, avoid, resumed, now_ms):
        work = policy.Work(
            prompt_tokens=request.prompt_tokens,
            prefix=request.prefix,
            avoid=avoid,
        )
        waiter = Waiter(request, work, needs_resume=resumed)
        waiter.ticket = self._build_ticket(request, resumed, now_ms, waiter)
        pool.add_waiting(waiter)
        for refused in pool.scheduler.offer(waiter.ticket, now_ms):
            self._refuse(pool, refused)
        if waiter.outcome is None:
            self._fill_slots(pool)
        return waiter

    def _build_ticket(self, request, resumed, now_ms, waiter):
        start_ms = now_ms if resumed else request.received_ms
        estimate = self._policies.admission.predict(request.prompt_tokens)
        targets = request.request_class
        return policy.Ticket(
            customer=request.customer or '',
            class_name=targets.name,
            tier=targets.tier,
            prompt_tokens=request.prompt_tokens,
            generated_tokens=request.expected_tokens,
            arrival_ms=now_ms,
            deadline_ms=start_ms + targets.first_token_target_ms,
            start_up_ms=estimate.start_up_ms,
            payload=waiter,
        )

    def _fill_slots(self, pool):
        """Start queued requests while slots are free; refuse late ones."""
        now_ms = self._clock.now_ms()
        pool.unplaced = [
            ticket
            for ticket in pool.unplaced
            if not self._place(pool, ticket, now_ms)
        ]
        while True:
            # One at a time: each start changes the slots available to the
            # next tier.
            decision = pool.scheduler.next(
                min(1, pool.available_slots()), now_ms
            )
            for refused in decision.refused:
                self._refuse(pool, refused)
            for ticket in decision.started:
                if not self._place(pool, ticket, now_ms):
                    pool.unplaced.append(ticket)
            if not decision.started or not pool.waiting:
                return

    def _place(self, pool, ticket, now_ms):
        """Place ``ticket`` on an engine.

        Return whether it is settled: placed, refused or no longer waiting.
        """
        waiter = ticket.payload
        if waiter not in pool.waiting:
            return True
        if now_ms > ticket.deadline_ms:
            self._expire_unplaced(pool, ticket)
            return True
        engines = pool.engines
        if waiter.needs_resume:
            engines = [item for item in engines if item.can_resume]
        flight = pool.balancer.choose(engines, waiter.work, now_ms)
        if flight is None and waiter.work.avoid:
            # Prefer retrying on the same engine over not placing it.
            waiter.work = attrs.evolve(waiter.work, avoid=frozenset())
            flight = pool.balancer.choose(engines, waiter.work, now_ms)
        if flight is None:
            return False
        instance = pool.instances[flight.engine_id]
        slot = Slot(pool, ticket, flight, instance, now_ms)
        pool.remove_waiting(waiter)
        pool.add_running(slot)
        waiter.resolve(slot)
        return True

    def _expire_unplaced(self, pool, ticket):
        """Refuse a ticket that the scheduler has already dequeued."""
        pool.scheduler.served(ticket, 0)
        retry_after_ms = pool.scheduler.retry_after_ms(
            ticket.class_name, ticket.tier
        )
        refused = policy.Refusal(ticket, policy.DEADLINE, retry_after_ms)
        self._refuse(pool, refused)

    def _refuse(self, pool, refused):
        waiter = refused.ticket.payload
        pool.remove_waiting(waiter)
        waiter.resolve(to_http_refusal(refused))

    def _abandon(self, pool, waiter):
        if waiter in pool.waiting:
            self._withdraw(pool, waiter)
            waiter.resolve(
                _errors.Refusal(
                    499, 'caller_gone', 'the caller closed the connection'
                )
            )

    def _withdraw(self, pool, waiter):
        pool.remove_waiting(waiter)
        if not pool.scheduler.remove(waiter.ticket):
            # The scheduler had started it, but no engine was chosen.
            pool.scheduler.served(waiter.ticket, 0)

    def _cancel_overdue(self, pool, ejection):
        overdue = set(ejection.overdue)
        for slot in list(pool.running):
            if slot.flight in overdue and slot.on_ejected is not None:
                slot.on_ejected()

    def _publish_queue_depth(self):
        depth_by_class = {}
        for pool in self._pools.values():
            for waiter in pool.waiting:
                name = waiter.ticket.class_name
                depth_by_class[name] = depth_by_class.get(name, 0) + 1
        for name in self._policies.classes:
            gauge = self._metrics.for_class(name).queue_depth
            gauge.set(depth_by_class.get(name, 0))


def to_http_refusal(refused):
    """Return the HTTP refusal for a refusal by the scheduler."""
    is_late = refused.reason == policy.DEADLINE
    return _errors.unavailable(
        'too_late' if is_late else 'queue_full',
        'no engine becomes free within the first-token target of this class'
        if is_late
        else 'the queue is full',
        retry_after_s=retry_after_seconds(refused.retry_after_ms),
    )


def retry_after_seconds(duration_ms):
    """Return whole seconds for a ``Retry-After`` header, at least one."""
    return max(1, math.ceil(duration_ms / MS_PER_S))
