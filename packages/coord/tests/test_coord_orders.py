"""Tests of the order book and of the runner that sends its orders."""

import paddle_coord as coord
import paddle_kernel as kernel
import pytest

from paddle_coord import _orders

TAKEOVER_WAIT_MS = 10_000


class Connection:
    def close(self):
        pass


class Gateway:
    """Receiver that starts every order without checking its number."""

    def __init__(self):
        self.started = []
        self.answer = 'accepted'
        self.reachable = True
        self.before_send = lambda: None

    def connect(self):
        if not self.reachable:
            raise ConnectionRefusedError
        return Connection()

    def send(self, conn, order, number, timeout_ms):
        self.before_send()
        self.started.append((order.id, number))
        if self.answer is None:
            raise TimeoutError
        return self.answer

    def lookup(self, order_id):
        if not self.reachable:
            raise ConnectionRefusedError
        return any(started == order_id for started, _ in self.started)


class Holder:
    """One process that competes for the lease."""

    def __init__(self, register, clock, gateway, name):
        self.clock = clock
        self.lease = coord.Lease(register, clock, name)
        self.book = coord.OrderBook(register, self.lease, clock)
        self.runner = coord.OrderRunner(self.book, self.lease, gateway, clock)
        self.lease.tick()

    def take_over(self):
        self.clock.advance(TAKEOVER_WAIT_MS)
        return self.lease.tick()

    def record(self):
        order = self.book.new_order('start', {'failure_domain': 'x'})
        self.book.record(order).unwrap()
        return order


@pytest.fixture
def clock():
    return kernel.FakeClock()


@pytest.fixture
def register():
    return coord.MemoryRegister()


@pytest.fixture
def gateway():
    return Gateway()


@pytest.fixture
def first(register, clock, gateway):
    return Holder(register, clock, gateway, 'a')


@pytest.fixture
def second(first, register, clock, gateway):
    return Holder(register, clock, gateway, 'b')


def states(register):
    book = _orders.OrderList.from_bytes(register.values[coord.ORDERS_KEY])
    return {order.id: order.state for order in book.orders}


def test_recorded_order_is_sent_once_with_the_number(first, register, gateway):
    # Guards against orders that are lost or repeated in normal operation.
    order = first.record()
    assert first.runner.step() == 1
    assert first.runner.step() == 0
    assert gateway.started == [(order.id, 1)]
    assert states(register) == {order.id: 'done'}


def test_order_is_marked_sent_before_the_first_byte(first, register, gateway):
    # Guards against a successor that finds a sent order still recorded, and
    # sends it again.
    seen = []
    gateway.before_send = lambda: seen.extend(states(register).values())
    first.record()
    first.runner.step()
    assert seen == ['sent']


def test_successor_sends_recorded_orders(first, second, gateway):
    # Guards against orders that are lost with the holder that recorded them.
    order = first.record()
    second.take_over()
    second.runner.step()
    assert gateway.started == [(order.id, 2)]


def test_successor_finishes_a_sent_order_that_is_listed(
    first, second, register, gateway
):
    # Guards against a second start after a lost answer.
    order = first.record()
    gateway.answer = None
    first.runner.step()
    second.take_over()
    second.runner.step()
    assert gateway.started == [(order.id, 1)]
    assert states(register) == {order.id: 'done'}


def test_successor_gives_up_a_sent_order_that_is_not_listed(
    first, second, register, gateway, clock
):
    # Guards against a resend, and against an order that stays open forever.
    order = first.record()
    first.book.mark_sent(order.id)
    second.take_over()
    second.runner.step()
    clock.advance(_orders.LOOKUP_TIMEOUT_MS - 1)
    second.lease.tick()
    second.runner.step()
    assert states(register) == {order.id: 'sent'}
    clock.advance(1)
    gateway.reachable = False
    second.runner.step()
    assert states(register) == {order.id: 'sent'}
    gateway.reachable = True
    second.runner.step()
    assert states(register) == {order.id: 'given_up'}
    assert gateway.started == []


@pytest.mark.parametrize('failure', ['unknown_applied', 'unknown_lost'])
def test_order_is_not_sent_if_marking_has_an_unknown_outcome(
    first, register, gateway, failure
):
    # Guards against two senders when marking was not decided.
    first.record()
    first.book.open_orders()
    register.failures = [failure]
    first.runner.step()
    assert gateway.started == []


def test_lease_lost_between_mark_and_write_sends_nothing(
    first, gateway, clock, register
):
    # Guards against a send after the end of the lease.
    first.record()
    apply = register.change

    def change(key, function):
        result = apply(key, function)
        if b'"state":"sent"' in register.values[coord.ORDERS_KEY]:
            clock.advance(TAKEOVER_WAIT_MS)
        return result

    register.change = change
    first.runner.step()
    assert gateway.started == []


def test_order_stays_recorded_while_the_platform_is_unreachable(
    first, register, gateway
):
    # Guards against orders that are given up although nothing was sent.
    order = first.record()
    gateway.reachable = False
    first.runner.step()
    assert states(register) == {order.id: 'recorded'}


@pytest.mark.parametrize('answer', ['refused', 'stale_number'])
def test_refused_order_is_given_up(first, register, gateway, answer):
    # Guards against endless retries of an order that cannot be fulfilled.
    order = first.record()
    gateway.answer = answer
    first.runner.step()
    assert states(register) == {order.id: 'given_up'}


def test_change_with_an_older_number_is_rejected(register, clock, gateway):
    # Guards against a former holder that does not yet know that its lease has
    # ended.
    old = Holder(register, clock, gateway, 'a')
    order = old.record()
    new = Holder(register, clock, gateway, 'b')
    new.take_over()
    new.book.open_orders()
    old.book._lease = type('Stale', (), {'number': lambda self: 1})()
    for result in (
        old.book.mark_sent(order.id),
        old.book.give_up(order.id),
        old.book.record(old.book.new_order('start', {})),
    ):
        assert isinstance(result.failure(), coord.NotInCharge)


def test_finished_orders_are_trimmed_and_cannot_be_recorded_again(
    first, register, gateway, clock
):
    # Guards against a register that grows without bound, and against a
    # repeated record() that starts a finished order again.
    orders = []
    for _ in range(_orders.MAX_FINISHED + 1):
        orders.append(first.record())
        first.runner.step()
        first.lease.tick()
    assert len(states(register)) == _orders.MAX_FINISHED
    assert orders[0].id not in states(register)
    result = first.book.record(orders[0])
    assert isinstance(result.failure(), coord.Reject)


def test_open_orders_are_bounded(first):
    # Guards against a register value that exceeds the size of a message.
    for _ in range(_orders.MAX_OPEN):
        first.record()
    result = first.book.record(first.book.new_order('start', {}))
    assert isinstance(result.failure(), coord.Reject)


def test_record_repeated_after_unknown_outcome_keeps_one_order(
    first, register, gateway
):
    # Guards against two starts for one decision of the planner.
    order = first.book.new_order('start', {'cheap': True})
    register.failures = ['unknown_applied']
    assert first.book.record(order).failure().kind == coord.UNKNOWN
    first.book.record(order).unwrap()
    first.runner.step()
    first.book.record(order).unwrap()
    first.runner.step()
    assert gateway.started == [(order.id, 1)]
