"""Orders that are started at most once, across changes of the holder.

An order is recorded, marked as sent and only then sent. The mark is a change
of the register that succeeds for exactly one process, so exactly one process
ever writes the order to a connection, whatever the receiver does with
fencing numbers or repeated ids.
"""

import json

import attrs
import returns.result

from paddle_coord import _events
from paddle_coord import _lease
from paddle_coord import _register
import paddle_kernel as kernel

ORDERS_KEY = 'orders'
RECORDED = 'recorded'
SENT = 'sent'
DONE = 'done'
GIVEN_UP = 'given_up'
OPEN_STATES = (RECORDED, SENT)
# The register holds all orders in one value, so both lists are bounded.
MAX_OPEN = 256
KEPT_FINISHED = 64
# Longer than the in-flight bound plus the usual lag of the platform's list.
LOOK_UP_MS = 30_000

ACCEPTED = 'accepted'
REFUSED = 'refused'
STALE_NUMBER = 'stale_number'


@attrs.frozen(kw_only=True)
class Order:
    """One order; ``args`` is plain JSON data as a sorted tuple of pairs.

    ``id`` is ``<number>.<sequence>``: the fencing number under which it was
    recorded and its place among the orders of that number.
    """

    id: str
    verb: str
    args: tuple = ()
    state: str = RECORDED

    @property
    def place(self):
        """The id as a pair of integers, which orders all orders."""
        number, _, sequence = self.id.partition('.')
        return int(number), int(sequence)


@attrs.frozen(kw_only=True)
class OrderList:
    """Value of the register.

    ``number`` is the highest fencing number that changed it and ``last`` the
    place of the last recorded order.
    """

    number: int = 0
    last: tuple = (0, 0)
    orders: tuple = ()

    def find(self, order_id):
        """Return the order, ``None`` if it is absent or trimmed."""
        for order in self.orders:
            if order.id == order_id:
                return order
        return None

    def to_bytes(self):
        """Return the register's bytes."""
        return json.dumps(
            attrs.asdict(self), separators=(',', ':'), sort_keys=True
        ).encode()

    @classmethod
    def from_bytes(cls, data):
        """Return the value in ``data``; an absent key is an empty list."""
        if data is None:
            return cls()
        fields = json.loads(data)
        orders = tuple(
            Order(**{**item, 'args': _frozen_args(item['args'])})
            for item in fields['orders']
        )
        return cls(
            number=fields['number'], last=tuple(fields['last']), orders=orders
        )


def _frozen_args(pairs):
    return tuple((name, value) for name, value in pairs)


def _fenced(book, number):
    if number < book.number:
        return _register.Reject(f'number {number} is older than {book.number}')
    return attrs.evolve(book, number=number)


def adopt(book, number):
    """Return the list that rejects all numbers below ``number``."""
    return _fenced(book, number)


def record(book, number, order):
    """Return the list with ``order`` recorded.

    Recording an order a second time changes nothing while it is listed and
    is rejected after it was trimmed.
    """
    fenced = _fenced(book, number)
    if isinstance(fenced, _register.Reject):
        return fenced
    listed = fenced.find(order.id)
    if listed is not None and attrs.evolve(listed, state=RECORDED) == order:
        return fenced
    if order.place <= fenced.last:
        return _register.Reject(f'order {order.id} is not new')
    open_count = sum(item.state in OPEN_STATES for item in fenced.orders)
    if open_count >= MAX_OPEN:
        return _register.Reject(f'{open_count} orders are open')
    return attrs.evolve(
        fenced, last=order.place, orders=(*fenced.orders, order)
    )


def mark_sent(book, number, order_id):
    """Return the list with the order marked; rejected a second time."""
    return _move(book, number, order_id, (RECORDED,), SENT)


def finish(book, number, order_id):
    """Return the list with the order done."""
    return _move(book, number, order_id, OPEN_STATES, DONE)


def give_up(book, number, order_id):
    """Return the list with the order given up."""
    return _move(book, number, order_id, OPEN_STATES, GIVEN_UP)


def _move(book, number, order_id, allowed, state):
    fenced = _fenced(book, number)
    if isinstance(fenced, _register.Reject):
        return fenced
    order = fenced.find(order_id)
    if order is None:
        return _register.Reject(f'order {order_id} is not listed')
    if order.state not in allowed:
        return _register.Reject(f'order {order_id} is {order.state}')
    moved = tuple(
        attrs.evolve(item, state=state) if item.id == order_id else item
        for item in fenced.orders
    )
    return attrs.evolve(fenced, orders=_trimmed(moved))


def _trimmed(orders):
    """Return the orders without the oldest finished ones."""
    finished = [item for item in orders if item.state not in OPEN_STATES]
    surplus = {item.id for item in finished[:-KEPT_FINISHED]}
    return tuple(item for item in orders if item.id not in surplus)


@attrs.frozen
class NotInCharge:
    """The lease is not held, or the list has a newer number."""

    reason: str


class OrderBook:
    """The list of orders as changed by the holder of a lease.

    A process has one book per lease, since the book numbers the orders.
    All operations return ``Success(value)``, ``Failure(NotInCharge)``,
    ``Failure(Reject)`` or ``Failure(RegisterError)``.
    """

    def __init__(self, register, lease, clock, *, key=ORDERS_KEY):
        self._register = register
        self._lease = lease
        self._clock = clock
        self._key = key
        self._adopted = None
        self._sequence = 0

    def new_order(self, verb, args):
        """Return a new order with a fresh id, ``None`` without lease.

        The caller keeps it to repeat :meth:`record` after an unknown
        outcome.
        """
        number = self._lease.number()
        if number is None:
            return None
        self._sequence += 1
        return Order(
            id=f'{number}.{self._sequence}',
            verb=verb,
            args=tuple(sorted(args.items())),
        )

    def record(self, order):
        """Record ``order``; it is sent by whoever holds the lease."""
        return self._change(lambda book, number: record(book, number, order))

    def mark_sent(self, order_id):
        """Mark the order; only after a success may it be sent."""
        return self._change(
            lambda book, number: mark_sent(book, number, order_id)
        )

    def finish(self, order_id):
        """Note that the order took effect."""
        return self._change(
            lambda book, number: finish(book, number, order_id)
        )

    def give_up(self, order_id):
        """Note that the order failed or that nothing is known of it."""
        return self._change(
            lambda book, number: give_up(book, number, order_id)
        )

    def open_orders(self):
        """Return the recorded and sent orders, oldest first.

        The first call under a new number makes the list reject all changes
        with older ones, so that what is returned cannot be sent by a former
        holder any more.
        """
        return self.listed().map(
            lambda orders: tuple(
                order for order in orders if order.state in OPEN_STATES
            )
        )

    def listed(self):
        """Return all orders of the list, finished ones too, oldest first.

        As with :meth:`open_orders`, the first call fences former holders.
        """
        if self._lease.number() != self._adopted:
            result = self._change(adopt)
        else:
            result = self._register.quick_read(self._key).map(
                OrderList.from_bytes
            )
        return result.map(lambda book: book.orders)

    def _change(self, function):
        number = self._lease.number()
        if number is None:
            return _failure(NotInCharge('the lease is not held'))
        result = self._register.change(
            self._key, lambda data: _encoded(function, data, number)
        )
        if not isinstance(result, returns.result.Success):
            return result
        change = result.unwrap()
        book = OrderList.from_bytes(change.value)
        if book.number > number:
            return _failure(NotInCharge(change.rejected or 'newer number'))
        if not change.applied:
            return _failure(_register.Reject(change.rejected))
        self._adopted = number
        return returns.result.Success(book)


def _encoded(function, data, number):
    new = function(OrderList.from_bytes(data), number)
    return new if isinstance(new, _register.Reject) else new.to_bytes()


def _failure(error):
    return returns.result.Failure(error)


class OrderRunner:
    """Drives open orders through a gateway, one at a time.

    The gateway has ``connect()``, which opens a connection;
    ``send(conn, order, number, timeout_ms)``, which writes the order and
    returns ``'accepted'``, ``'refused'`` or ``'stale_number'``; and
    ``lookup(order_id)``, which returns whether the platform lists the order.
    All raise ``OSError`` on failure.
    """

    def __init__(self, book, lease, gateway, clock, *, look_up_ms=LOOK_UP_MS):
        self._book = book
        self._lease = lease
        self._gateway = gateway
        self._clock = clock
        self._look_up_ms = look_up_ms
        self._seen_sent = {}
        self._number = None

    def step(self):
        """Handle each open order once; return the number still open."""
        number = self._lease.number()
        if number != self._number:
            self._seen_sent.clear()
            self._number = number
        if number is None:
            return 0
        result = self._book.open_orders()
        if not isinstance(result, returns.result.Success):
            return 0
        orders = result.unwrap()
        for order in orders:
            if order.state == RECORDED:
                self._send(order)
            else:
                self._look_up(order)
        self._forget_closed(orders)
        return len(orders)

    def _send(self, order):
        try:
            conn = self._gateway.connect()
        except OSError:
            # Still recorded; the next step tries again.
            return
        marked = self._book.mark_sent(order.id)
        if not isinstance(marked, returns.result.Success):
            # After an unknown outcome it counts as sent, but not by us.
            conn.close()
            return
        result = _lease.guarded_send(
            self._lease,
            lambda: conn,
            lambda opened, number, timeout_ms: self._gateway.send(
                opened, order, number, timeout_ms
            ),
            self._lease.timing.in_flight_ms,
        )
        self._note_answer(order, result.value_or(None))

    def _note_answer(self, order, answer):
        if answer == ACCEPTED:
            self._book.finish(order.id)
            kernel.emit(_events.ORDER_ACCEPTED, id=order.id, verb=order.verb)
        elif answer in (REFUSED, STALE_NUMBER):
            self._book.give_up(order.id)
            kernel.emit(_events.ORDER_REFUSED, id=order.id, answer=answer)

    def _look_up(self, order):
        """Close a sent order whose answer nobody has."""
        now = self._clock.now_ms()
        first_seen = self._seen_sent.setdefault(order.id, now)
        try:
            listed = self._gateway.lookup(order.id)
        except OSError:
            # Given up only on an answer; giving up leads to a new order.
            return
        if listed:
            self._book.finish(order.id)
        elif now - first_seen >= self._look_up_ms:
            self._book.give_up(order.id)
            kernel.emit(_events.ORDER_GIVEN_UP, id=order.id, verb=order.verb)

    def _forget_closed(self, orders):
        still_open = {order.id for order in orders}
        for order_id in set(self._seen_sent) - still_open:
            del self._seen_sent[order_id]
