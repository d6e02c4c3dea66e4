"""Orders row: the platform ignores fencing numbers and repeated ids."""

import collections

import paddle_coord as coord

from paddle_testbed.faults import _rows
from paddle_testbed.faults import rows_lease

# Covers the 30,000 ms for which an order is looked up at the platform.
LOOKUP_STEPS = 34


class Platform(rows_lease.Receiver):
    """Starts an instance for each order that arrives."""

    def send(self, conn, order, number, timeout_ms):
        self.arrivals.append(order.id)
        return 'accepted'

    def lookup(self, order_id):
        return order_id in self.arrivals


class Process(rows_lease.Process):
    """A process that carries out orders while it holds the lease."""

    def __init__(self, environment, name, platform):
        super().__init__(environment, name)
        self.book = coord.OrderBook(
            self.register, self.lease, environment.clock
        )
        self.runner = coord.OrderRunner(
            self.book, self.lease, platform, environment.clock
        )


@_rows.ROWS.register('orders.send')
class OrdersRow:
    """No order is started twice, and none stays open."""

    def start(self, environment):
        environment.form(3)
        self.platform = Platform()
        self.recorded = False
        self.first = Process(environment, 'a', self.platform)
        self.second = Process(environment, 'b', self.platform)
        self.first.lease.tick()
        self.second.lease.tick()

    def act(self, environment):
        environment.spawn('a', self._order)
        environment.spawn('b', self._take_over)

    def _order(self):
        order = self.first.book.new_order('start', {})
        recorded = self.first.book.record(order)
        self.recorded = recorded.value_or(None) is not None
        self.first.runner.step()

    def _take_over(self):
        self.second.take_over_when_idle()
        self.second.runner.step()

    def verify(self, environment):
        successor = Process(environment, 'c', self.platform)
        if not successor.acquire_lease():
            return ['no successor took over']
        for _ in range(LOOKUP_STEPS):
            successor.lease.tick()
            successor.runner.step()
            environment.clock.sleep_ms(rows_lease.STEP_MS)
        for process in (self.first, self.second):
            process.runner.step()
        problems = [
            f'order {order_id} was started {count} times'
            for order_id, count in collections.Counter(
                self.platform.arrivals
            ).items()
            if count > 1
        ]
        successor.lease.tick()
        listed = successor.book.listed().value_or(None)
        if listed is None or any(
            order.state in ('recorded', 'sent') for order in listed
        ):
            problems.append(f'orders stayed open: {listed}')
        if self.recorded and not listed:
            problems.append('a recorded order was lost')
        return problems
