"""Row of the lease: two contenders and a receiver that ignores numbers."""

import gevent
import paddle_coord as coord

from paddle_testbed.faults import _rows

STEP_MS = 1_000
# Longer than the wait of a contender, 4,030 ms.
WAIT_MS = 4_200
SUCCESSOR_STEPS = 8
# Below the number of idle rounds after which the runner repairs the fault.
QUIET_ROUNDS = 10


def wait_for_quiet(world, rounds):
    """Return after ``rounds`` turns of the loop without a step."""
    quiet = 0
    while quiet < rounds:
        before = len(world.steps)
        gevent.sleep(0)
        quiet = quiet + 1 if len(world.steps) == before else 0


class Receiver:
    """Accepts everything and notes what arrived."""

    def __init__(self):
        self.arrivals = []

    def connect(self):
        return self

    def close(self):
        pass


class Process:
    """A process that contends for the lease."""

    def __init__(self, world, name):
        self._world = world
        self.name = name
        self.clock = world.clock
        self.register = world.proposer(name)
        self.lease = coord.Lease(self.register, world.clock, name)

    def contend(self):
        """Wait as a contender and take over if nothing changed.

        Begins when the others are done or stopped by the fault, so that they
        hold the lease until then.
        """
        wait_for_quiet(self._world, QUIET_ROUNDS)
        self.lease.tick()
        self.clock.sleep_ms(WAIT_MS)
        self.lease.tick()

    def succeed(self):
        """Try until the lease is held; return whether it is."""
        for _ in range(SUCCESSOR_STEPS):
            if self.lease.tick() is not None:
                return True
            self.clock.sleep_ms(STEP_MS)
        return False


@_rows.ROWS.register('lease.takeover')
class LeaseRow:
    """Sends must not come from a former holder after its successor."""

    def start(self, world):
        world.form(3)
        self.receiver = Receiver()
        self.first = Process(world, 'a')
        self.second = Process(world, 'b')
        self.first.lease.tick()

    def act(self, world):
        world.spawn('a', self._hold, self.first)
        world.spawn('b', self._take_over, self.second)

    def _hold(self, process):
        for _ in range(2):
            process.clock.sleep_ms(STEP_MS)
            process.lease.tick()
            self._send(process)

    def _take_over(self, process):
        for _ in range(2):
            process.contend()
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

    def verify(self, world):
        successor = Process(world, 'c')
        problems = []
        if not successor.succeed():
            problems.append('no successor took over')
        for process in (self.first, self.second, successor):
            self._send(process)
        arrivals = self.receiver.arrivals
        numbers = [number for number, _ in arrivals]
        if numbers != sorted(numbers):
            problems.append(f'a former holder sent: {arrivals}')
        if len(set(arrivals)) != len(set(numbers)):
            problems.append(f'two holders with one number: {arrivals}')
        return problems
