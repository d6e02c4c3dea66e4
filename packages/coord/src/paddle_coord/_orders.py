"""Orders that are sent at most once, across changes of the lease holder.

An order is recorded, marked as sent and only then sent. Marking is a change of
the register that succeeds for one process only, so at most one process writes
the order to a connection, even if the receiver checks neither fencing numbers
nor repeated ids.
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
# All orders are in one register value, so the number of both open and
# finished ones is bounded.
MAX_OPEN = 256
MAX_FINISHED = 64
# Longer than the in-flight limit plus the usual lag of the platform's list.
LOOKUP_TIMEOUT_MS = 30_000

ACCEPTED = 'accepted'
REFUSED = 'refused'
STALE_NUMBER = 'stale_number'


@attrs.frozen(kw_only=True)
class Order:
    """One order; ``args`` is JSON data as a sorted tuple of pairs.

    ``id`` is ``<number>.<sequence>``: the fencing number under which it was
    recorded and its place among the orders of that number.
    """

    id: str
    verb: str
    args: tuple = ()
    state: str = RECORDED

    @property
    def place(self):
        """The id as a pair of integers, by which orders are sorted."""
        number, _, sequence = self.id.partition('.')
        return int(number), int(sequence)


@attrs.frozen(kw_only=True)
class OrderList:
    """Value of the register.

    ``number`` is the highest fencing number that has changed it, ``last``
    the place of the last recorded order.
    """

    number: int = 0
    last: tuple = (0, 0)
    orders: tuple = ()

    def find(self, order_id):
        """Return the order, ``None`` if it is absent or was trimmed."""
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


def _check_fencing_number(book, number):
    if number < book.number:
        return _register.Reject(f'number {number} is older than {book.number}')
    return attrs.evolve(book, number=number)


def adopt(book, number):
    """Return the list that rejects changes with lower numbers."""
    return _check_fencing_number(book, number)


def record(book, number, order):
    """Return the list with ``order`` recorded.

    Recording an order again changes nothing while it is listed, and is
    rejected after it was trimmed.
    """
    checked = _check_fencing_number(book, number)
    if isinstance(checked, _register.Reject):
        return checked
    listed = checked.find(order.id)
    if listed is not None and attrs.evolve(listed, state=RECORDED) == order:
        return checked
    if order.place <= checked.last:
        return _register.Reject(f'order {order.id} is not new')
    open_count = sum(item.state in OPEN_STATES for item in checked.orders)
    if open_count >= MAX_OPEN:
        return _register.Reject(f'{open_count} orders are open')
    return attrs.evolve(
        checked, last=order.place, orders=(*checked.orders, order)
    )


def mark_sent(book, number, order_id):
    """Return the list with the order marked as sent; once only."""
    return _set_state(book, number, order_id, (RECORDED,), SENT)


def finish(book, number, order_id):
    """Return the list with the order done."""
    return _set_state(book, number, order_id, OPEN_STATES, DONE)


def give_up(book, number, order_id):
    """Return the list with the order given up."""
    return _set_state(book, number, order_id, OPEN_STATES, GIVEN_UP)


def _set_state(book, number, order_id, allowed, state):
    checked = _check_fencing_number(book, number)
    if isinstance(checked, _register.Reject):
        return checked
    order = checked.find(order_id)
    if order is None:
        return _register.Reject(f'order {order_id} is not listed')
    if order.state not in allowed:
        return _register.Reject(f'order {order_id} is {order.state}')
    updated = tuple(
        attrs.evolve(item, state=state) if item.id == order_id else item
        for item in checked.orders
    )
    return attrs.evolve(checked, orders=_trimmed(updated))


def _trimmed(orders):
    """Return the orders without the oldest finished ones."""
    finished = [item for item in orders if item.state not in OPEN_STATES]
    surplus = {item.id for item in finished[:-MAX_FINISHED]}
    return tuple(item for item in orders if item.id not in surplus)


@attrs.frozen
class NotInCharge:
    """The lease is not held, or the list has a higher fencing number."""

    reason: str


class OrderBook:
    """List of orders that only the lease holder changes.

    A process has one book per lease, since the book assigns the order ids.
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

        The caller keeps the order to repeat :meth:`record` after an unknown
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
        """Record ``order``, which the current lease holder then sends."""
        return self._change(lambda book, number: record(book, number, order))

    def mark_sent(self, order_id):
        """Mark the order as sent; it may be sent only after a success."""
        return self._change(
            lambda book, number: mark_sent(book, number, order_id)
        )

    def finish(self, order_id):
        """Mark the order as done."""
        return self._change(
            lambda book, number: finish(book, number, order_id)
        )

    def give_up(self, order_id):
        """Mark the order as given up: it failed or its outcome is unknown."""
        return self._change(
            lambda book, number: give_up(book, number, order_id)
        )

    def open_orders(self):
        """Return the recorded and sent orders, oldest first.

        The first call with a new fencing number makes the list reject
        changes with lower ones, so that a former lease holder can no longer
        send the returned orders.
        """
        return self.listed().map(
            lambda orders: tuple(
                order for order in orders if order.state in OPEN_STATES
            )
        )

    def listed(self):
        """Return all orders of the list, finished ones too, oldest first.

        As in :meth:`open_orders`, the first call fences former holders.
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
            self._key, lambda data: _apply_to_bytes(function, data, number)
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


def _apply_to_bytes(function, data, number):
    new = function(OrderList.from_bytes(data), number)
    return new if isinstance(new, _register.Reject) else new.to_bytes()


def _failure(error):
    return returns.result.Failure(error)


class OrderRunner:
    """Sends open orders through a gateway, one at a time.

    The gateway has ``connect()``, which opens a connection;
    ``send(conn, order, number, timeout_ms)``, which writes the order and
    returns ``'accepted'``, ``'refused'`` or ``'stale_number'``; and
    ``lookup(order_id)``, which returns whether the platform lists the order.
    All raise ``OSError`` on failure.
    """

    def __init__(
        self, book, lease, gateway, clock, *, look_up_ms=LOOKUP_TIMEOUT_MS
    ):
        self._book = book
        self._lease = lease
        self._gateway = gateway
        self._clock = clock
        self._look_up_ms = look_up_ms
        self._first_seen_sent_ms = {}
        self._number = None

    def step(self):
        """Handle each open order once; return the number still open."""
        number = self._lease.number()
        if number != self._number:
            self._first_seen_sent_ms.clear()
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
        self._forget_closed_orders(orders)
        return len(orders)

    def _send(self, order):
        try:
            conn = self._gateway.connect()
        except OSError:
            # The order is still recorded; the next step retries.
            return
        marked = self._book.mark_sent(order.id)
        if not isinstance(marked, returns.result.Success):
            # After an unknown outcome the order may be marked as sent, but
            # this process must not send it.
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
        self._record_answer(order, result.value_or(None))

    def _record_answer(self, order, answer):
        if answer == ACCEPTED:
            self._book.finish(order.id)
            kernel.emit(_events.ORDER_ACCEPTED, id=order.id, verb=order.verb)
        elif answer in (REFUSED, STALE_NUMBER):
            self._book.give_up(order.id)
            kernel.emit(_events.ORDER_REFUSED, id=order.id, answer=answer)

    def _look_up(self, order):
        """Resolve a sent order whose answer was not received."""
        now_ms = self._clock.now_ms()
        first_seen_ms = self._first_seen_sent_ms.setdefault(order.id, now_ms)
        try:
            listed = self._gateway.lookup(order.id)
        except OSError:
            # An order is given up only after an answer of the platform, since
            # it is then replaced by a new order.
            return
        if listed:
            self._book.finish(order.id)
        elif now_ms - first_seen_ms >= self._look_up_ms:
            self._book.give_up(order.id)
            kernel.emit(_events.ORDER_GIVEN_UP, id=order.id, verb=order.verb)

    def _forget_closed_orders(self, orders):
        still_open = {order.id for order in orders}
        for order_id in set(self._first_seen_sent_ms) - still_open:
            del self._first_seen_sent_ms[order_id]
