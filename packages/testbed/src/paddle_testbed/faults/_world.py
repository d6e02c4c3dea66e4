"""Processes, replicas, disks and network of one cell of the fault matrix.

Everything runs in one thread with the in-memory transport and the fake
clock; replicas and proposers are the shipped code.
"""

import os
import pathlib
import shutil

import attrs
import gevent
import gevent.event
import paddle_coord as coord
import paddle_kernel as kernel
import returns.result

# Longer than any lease or freshness bound of the system.
FREEZE_MS = 60_000
IDLE_ROUNDS = 40
MAX_ROUNDS = 60_000

MESSAGE = 'message'
DISK = 'disk'


@attrs.frozen
class StepSeen:
    """One step: its kind, text, sending process, replica and message."""

    kind: str
    text: str
    source: str
    target: str
    message: object = None


class _Clock(kernel.FakeClock):
    """Fake clock whose longer sleeps let others take more steps.

    Otherwise proposers that back off from each other would go on in step.
    """

    def sleep_ms(self, duration_ms):
        wake_ms = self.now_ms() + duration_ms
        for _ in range(min(duration_ms, IDLE_ROUNDS - 1)):
            gevent.sleep(0)
        self.advance(max(0, wake_ms - self.now_ms()))


class _Gate:
    """Whether a process or replica runs, is frozen or killed."""

    def __init__(self):
        self.killed = False
        self.running = gevent.event.Event()
        self.running.set()
        # Set while calls to it time out.
        self.blocked = gevent.event.Event()

    def freeze(self):
        self.running.clear()
        self.blocked.set()

    def thaw(self):
        self.blocked.clear()
        self.running.set()

    def kill(self):
        self.killed = True
        self.blocked.set()
        self.running.set()

    def check(self, error):
        """Wait while frozen; raise ``error`` if killed."""
        self.running.wait()
        if self.killed:
            raise error


class _Server:
    """One replica with its disk."""

    def __init__(self, world, address):
        self._world = world
        self.address = address
        self.path = world.folder / address.replace(':', '_')
        self.synced_size = 0
        self.start()

    def start(self):
        self.gate = _Gate()
        self.disk = _Gate()
        self.replica = coord.Replica.open(
            self.path,
            self.address,
            self._world.clock,
            sync=self._sync,
            blocking=self._write,
        )
        self._world.network.serve(self.address, self._handle)

    def kill(self):
        self._world.network.stop(self.address)
        self.gate.kill()
        self.disk.kill()

    def restart(self, *, blank=False):
        """Start again after a power loss, or with a blank disk."""
        self.replica.stop()
        log = self.path / 'register.log'
        unsynced = log.stat().st_size - self.synced_size
        # Any part of what was written but not synced may have survived.
        kept = self._world.fault_rng.choice((0, unsynced // 2, unsynced))
        os.truncate(log, self.synced_size + kept)
        if blank:
            shutil.rmtree(self.path)
        self.start()

    def _handle(self, message):
        gate = self.gate
        answer = self.replica.handle(message)
        kind = type(message).__name__
        self._world.step(MESSAGE, f'{kind} handled', '', self.address)
        gate.running.wait()
        return None if gate.killed else answer

    def _check_disk(self):
        error = OSError('killed')
        self.gate.check(error)
        self.disk.check(error)

    def _sync(self, fd):
        if self._world.started:
            self._world.step(DISK, 'written', '', self.address)
            self._check_disk()
        self.synced_size = os.fstat(fd).st_size

    def _write(self, function, data):
        gevent.sleep(0)
        self._world.step(DISK, 'before write', '', self.address)
        self._check_disk()
        function(data)
        self._world.step(DISK, 'synced', '', self.address)
        self._check_disk()


class _Transport:
    """Transport of one process; obeys its gate."""

    def __init__(self, world, name):
        self._world = world
        self._name = name

    def call(self, address, message, timeout_ms):
        """See :class:`paddle_kernel.Transport`."""
        gate = self._world.gate(self._name)
        gate.check(gevent.GreenletExit())
        kind = type(message).__name__
        action = self._world.step(
            MESSAGE, f'{kind} sent', self._name, address, message
        )
        gate.check(gevent.GreenletExit())
        result = self._world.deliver(self._name, address, message, action)
        gate.check(gevent.GreenletExit())
        return result


class World:
    """What a row works with; see :class:`paddle_testbed.faults.Row`.

    ``rng`` is for the code under test, ``fault_rng`` for the faults, so that
    a fault does not change the steps before it. ``inject`` is called with
    the number and the step, and may return an action for a message.
    """

    def __init__(self, folder, rng, fault_rng, inject):
        self.folder = pathlib.Path(folder)
        self.rng = rng
        self.fault_rng = fault_rng
        self.clock = _Clock()
        self.network = kernel.MemoryNetwork()
        self.network.on_call = self._on_call
        self.steps = []
        self.started = False
        self.servers = {}
        self.late = []
        self._inject = inject
        self._actions = {}
        self._gates = {}
        self._greenlets = []

    def form(self, count):
        """Start ``count`` replicas and form them; return addresses."""
        addresses = self.add_replicas(count)
        self.admin('form').form(addresses).unwrap()
        return addresses

    def add_replicas(self, count):
        """Start ``count`` blank replicas and return their addresses."""
        first = len(self.servers) + 1
        added = [f'r{first + index}:1' for index in range(count)]
        for address in added:
            self.servers[address] = _Server(self, address)
        return added

    def transport(self, name):
        """Return the transport of the process ``name``."""
        return _Transport(self, name)

    def proposer(self, name):
        """Return a proposer in the process ``name``."""
        return coord.Proposer(
            self.transport(name),
            tuple(self.servers),
            self.clock,
            name,
            rng=self.rng,
        )

    def admin(self, name):
        """Return a :class:`paddle_coord.ReplicaAdmin` in ``name``."""
        return coord.ReplicaAdmin(self.transport(name), self.clock)

    def spawn(self, name, function, *args):
        """Run ``function`` in the process ``name``."""
        self._greenlets.append(gevent.spawn(function, *args))

    def gate(self, name):
        """Return the gate of a process."""
        return self._gates.setdefault(name, _Gate())

    def run(self):
        """Let all greenlets run until they are done or blocked."""
        idle, before = 0, None
        for _ in range(MAX_ROUNDS):
            gevent.sleep(0)
            now = (len(self.steps), self.clock.now_ms())
            idle = idle + 1 if now == before else 0
            before = now
            if idle > IDLE_ROUNDS:
                return
        raise RuntimeError('the processes of a cell do not come to rest')

    def step(self, kind, text, source, target, message=None):
        """Record a step and apply the fault that is due at it."""
        if not self.started:
            return kernel.DELIVER
        seen = StepSeen(kind, text, source, target, message)
        self.steps.append(seen)
        action = self._inject(self, len(self.steps) - 1, seen)
        return action or kernel.DELIVER

    def deliver(self, source, address, message, action):
        """Carry a call; a frozen receiver makes the caller time out."""
        server = self.servers.get(address)
        blocked = server.gate.blocked if server else gevent.event.Event()
        if blocked.is_set() and not server.gate.killed:
            action = kernel.DELAY
        self._actions[id(message)] = action
        job = gevent.spawn(self.network.call, source, address, message)
        gevent.wait([job, blocked], count=1)
        if action == kernel.DELAY or job.ready():
            job.join()
            return job.value
        timeout = kernel.CallError('timeout', address)
        return returns.result.Failure(timeout)

    def repair(self):
        """End all faults; restart killed replicas; deliver late messages."""
        self.clock.advance(FREEZE_MS)
        self.network.heal()
        for server in self.servers.values():
            if server.gate.killed:
                server.restart()
            server.disk.thaw()
            server.gate.thaw()
        for gate in self._gates.values():
            if not gate.killed:
                gate.thaw()
        self.network.release()
        for address, message in self.late:
            self.servers[address].replica.handle(message)
        self.late.clear()

    def close(self):
        """Stop everything that still runs."""
        self.started = False
        for gate in self._gates.values():
            gate.kill()
        for server in self.servers.values():
            server.kill()
        gevent.sleep(0)
        gevent.killall(self._greenlets)
        for server in self.servers.values():
            server.replica.stop()

    def _on_call(self, step):
        return self._actions.pop(id(step.message), kernel.DELIVER)
