"""Lease row: two contenders and a receiver that ignores fencing numbers."""

import gevent
import paddle_coord as coord

from paddle_testbed.faults import _rows

STEP_MS = 1_000
# Longer than the 4,030 ms for which a contender waits before a takeover.
TAKEOVER_WAIT_MS = 4_200
SUCCESSOR_TICKS = 8
# Below the number of idle rounds after which the runner repairs the fault.
IDLE_ROUNDS = 10


def wait_until_idle(environment, rounds):
    """Return after ``rounds`` rounds of the event loop without a step."""
    idle_rounds = 0
    while idle_rounds < rounds:
        step_count = len(environment.steps)
        gevent.sleep(0)
        idle_rounds = (
            idle_rounds + 1 if len(environment.steps) == step_count else 0
        )


class Receiver:
    """Accepts all calls and records them in ``arrivals``."""

    def __init__(self):
        self.arrivals = []

    def connect(self):
        return self

    def close(self):
        pass


class Process:
    """A process that contends for the lease."""

    def __init__(self, environment, name):
        self._environment = environment
        self.name = name
        self.clock = environment.clock
        self.register = environment.proposer(name)
        self.lease = coord.Lease(self.register, environment.clock, name)

    def take_over_when_idle(self):
        """Wait for the lease to expire and take it over if it was not renewed.

        Begins when the other processes are done or stopped by the fault, so
        that they hold the lease until then.
        """
        wait_until_idle(self._environment, IDLE_ROUNDS)
        self.lease.tick()
        self.clock.sleep_ms(TAKEOVER_WAIT_MS)
        self.lease.tick()

    def acquire_lease(self):
        """Try to take the lease and return whether it is held."""
        for _ in range(SUCCESSOR_TICKS):
            if self.lease.tick() is not None:
                return True
            self.clock.sleep_ms(STEP_MS)
        return False


@_rows.ROWS.register('lease.takeover')
class LeaseRow:
    """A former lease holder must not send after its successor."""

    def start(self, environment):
        environment.form(3)
        self.receiver = Receiver()
        self.first = Process(environment, 'a')
        self.second = Process(environment, 'b')
        self.first.lease.tick()

    def act(self, environment):
        environment.spawn('a', self._hold, self.first)
        environment.spawn('b', self._take_over, self.second)

    def _hold(self, process):
        for _ in range(2):
            process.clock.sleep_ms(STEP_MS)
            process.lease.tick()
            self._send(process)

    def _take_over(self, process):
        for _ in range(2):
            process.take_over_when_idle()
            self._send(process)

    def _send(self, process):
        def send(conn, number, _timeout_ms):
            conn.arrivals.append((number, process.name))

        coord.guarded_send(
            process.lease,
            self.receiver.connect,
            send,
            process.lease.timing.in_flight_ms,
        )

    def verify(self, environment):
        successor = Process(environment, 'c')
        problems = []
        if not successor.acquire_lease():
            problems.append('no successor took over')
        for process in (self.first, self.second, successor):
            self._send(process)
        arrivals = self.receiver.arrivals
        numbers = [number for number, _ in arrivals]
        if numbers != sorted(numbers):
            problems.append(
                f'a former lease holder sent after its successor: {arrivals}'
            )
        if len(set(arrivals)) != len(set(numbers)):
            problems.append(
                f'two lease holders have the same number: {arrivals}'
            )
        return problems
