"""Processes, replicas, disks and network of one cell of the fault matrix.

Everything runs in one thread with the in-memory transport and the fake
clock; replicas and proposers are the shipped code.
"""

import errno
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
MAX_IDLE_ROUNDS = 40
MAX_ROUNDS = 60_000

MESSAGE = 'message'
DISK = 'disk'


@attrs.frozen
class Step:
    """A point of a run at which a fault can be injected.

    ``source`` is the sending process, empty for a step within a replica, and
    ``target`` the address of the replica.
    """

    kind: str
    text: str
    source: str
    target: str
    message: object = None


class _Clock(kernel.FakeClock):
    """Fake clock whose longer sleeps let other greenlets take more steps.

    Without this, competing proposers would all resume at the same time,
    whatever their backoff.
    """

    def sleep_ms(self, duration_ms):
        wake_ms = self.now_ms() + duration_ms
        for _ in range(min(duration_ms, MAX_IDLE_ROUNDS - 1)):
            gevent.sleep(0)
        self.advance(max(0, wake_ms - self.now_ms()))


class _RunControl:
    """Freezes, resumes and kills a process, a replica or a disk."""

    def __init__(self):
        self.killed = False
        self.running = gevent.event.Event()
        self.running.set()
        # Set while calls to the process or replica time out.
        self.unresponsive = gevent.event.Event()

    def freeze(self):
        self.running.clear()
        self.unresponsive.set()

    def resume(self):
        self.unresponsive.clear()
        self.running.set()

    def kill(self):
        self.killed = True
        self.unresponsive.set()
        self.running.set()

    def wait_until_running(self, error):
        """Wait while frozen, then raise ``error`` if killed."""
        self.running.wait()
        if self.killed:
            raise error


class _Server:
    """One replica with its disk."""

    def __init__(self, environment, address):
        self._environment = environment
        self.address = address
        self.path = environment.folder / address.replace(':', '_')
        self.synced_size = 0
        self.start()

    def start(self):
        self.run_control = _RunControl()
        self.disk_control = _RunControl()
        self.is_disk_full = False
        self.replica = coord.Replica.open(
            self.path,
            self.address,
            self._environment.clock,
            sync=self._sync,
            blocking=self._write,
        )
        self._environment.network.serve(self.address, self._handle)

    def kill(self):
        self._environment.network.stop(self.address)
        self.run_control.kill()
        self.disk_control.kill()

    def restart(self, *, blank=False):
        """Start again after a power loss, or with an empty disk."""
        self.replica.stop()
        log = self.path / 'register.log'
        unsynced = log.stat().st_size - self.synced_size
        # Any part of what was written but not synced may have survived.
        surviving_size = self._environment.fault_rng.choice(
            (0, unsynced // 2, unsynced)
        )
        os.truncate(log, self.synced_size + surviving_size)
        if blank:
            shutil.rmtree(self.path)
        self.start()

    def _handle(self, message):
        run_control = self.run_control
        answer = self.replica.handle(message)
        kind = type(message).__name__
        self._environment.record_step(
            MESSAGE, f'{kind} handled', '', self.address
        )
        run_control.running.wait()
        return None if run_control.killed else answer

    def _wait_for_disk(self):
        error = OSError('killed')
        self.run_control.wait_until_running(error)
        self.disk_control.wait_until_running(error)

    def _check_room(self):
        if self.is_disk_full:
            raise OSError(errno.ENOSPC, 'No space left on device')

    def _sync(self, fd):
        if self._environment.is_recording:
            self._environment.record_step(DISK, 'written', '', self.address)
            self._wait_for_disk()
        self._check_room()
        self.synced_size = os.fstat(fd).st_size

    def _write(self, function, *args):
        gevent.sleep(0)
        self._environment.record_step(DISK, 'before write', '', self.address)
        self._wait_for_disk()
        if args:
            # Without arguments the function only reads.
            self._check_room()
        result = function(*args)
        self._environment.record_step(DISK, 'synced', '', self.address)
        self._wait_for_disk()
        return result


class _Transport:
    """Transport of one process; stops while that is frozen or killed."""

    def __init__(self, environment, name):
        self._environment = environment
        self._name = name

    def call(self, address, message, timeout_ms):
        """See :class:`paddle_kernel.Transport`."""
        run_control = self._environment.run_control(self._name)
        run_control.wait_until_running(gevent.GreenletExit())
        kind = type(message).__name__
        action = self._environment.record_step(
            MESSAGE, f'{kind} sent', self._name, address, message
        )
        run_control.wait_until_running(gevent.GreenletExit())
        result = self._environment.deliver(
            self._name, address, message, action
        )
        run_control.wait_until_running(gevent.GreenletExit())
        return result


class FaultEnvironment:
    """Replicas, processes, network and clock that a fault matrix row uses.

    ``rng`` is for the code under test, ``fault_rng`` for the faults, so that
    a fault does not change the steps before it. ``inject`` is called with
    this environment, the index of the step and the step, and may return an
    action for a message. ``is_recording`` is whether steps are recorded and
    faults injected. ``duplicates`` holds messages to deliver again after the
    repair.
    """

    def __init__(self, folder, rng, fault_rng, inject):
        self.folder = pathlib.Path(folder)
        self.rng = rng
        self.fault_rng = fault_rng
        self.clock = _Clock()
        self.network = kernel.MemoryNetwork()
        self.network.on_call = self._on_call
        self.steps = []
        self.is_recording = False
        self.servers = {}
        self.duplicates = []
        self._inject = inject
        self._actions = {}
        self._run_controls = {}
        self._greenlets = []

    def form(self, count):
        """Start ``count`` replicas as one set and return their addresses."""
        addresses = self.add_replicas(count)
        self.admin('form').form(addresses).unwrap()
        return addresses

    def add_replicas(self, count):
        """Start ``count`` replicas with empty disks; return addresses."""
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
        """Return a replica administrator in the process ``name``."""
        return coord.ReplicaAdmin(self.transport(name), self.clock)

    def spawn(self, name, function, *args):
        """Run ``function`` in the process ``name``."""
        self._greenlets.append(gevent.spawn(function, *args))

    def run_control(self, name):
        """Return what freezes and kills the process ``name``."""
        return self._run_controls.setdefault(name, _RunControl())

    def run(self):
        """Let all greenlets run until they are done or blocked."""
        idle_rounds, previous = 0, None
        for _ in range(MAX_ROUNDS):
            gevent.sleep(0)
            now = (len(self.steps), self.clock.now_ms())
            idle_rounds = idle_rounds + 1 if now == previous else 0
            previous = now
            if idle_rounds > MAX_IDLE_ROUNDS:
                return
        raise RuntimeError('the processes of a cell do not become idle')

    def record_step(self, kind, text, source, target, message=None):
        """Record a step and inject the fault planned for it, if any."""
        if not self.is_recording:
            return kernel.DELIVER
        step = Step(kind, text, source, target, message)
        self.steps.append(step)
        action = self._inject(self, len(self.steps) - 1, step)
        return action or kernel.DELIVER

    def deliver(self, source, address, message, action):
        """Deliver a call; it times out while the receiver is frozen."""
        server = self.servers.get(address)
        unresponsive = (
            server.run_control.unresponsive if server else gevent.event.Event()
        )
        if unresponsive.is_set() and not server.run_control.killed:
            action = kernel.DELAY
        self._actions[id(message)] = action
        job = gevent.spawn(self.network.call, source, address, message)
        gevent.wait([job, unresponsive], count=1)
        if action == kernel.DELAY or job.ready():
            job.join()
            return job.value
        timeout = kernel.CallError('timeout', address)
        return returns.result.Failure(timeout)

    def repair(self):
        """End all faults, restart replicas and deliver delayed messages."""
        self.clock.advance(FREEZE_MS)
        self.network.heal()
        for server in self.servers.values():
            if server.run_control.killed:
                server.restart()
            server.disk_control.resume()
            server.is_disk_full = False
            server.run_control.resume()
        for run_control in self._run_controls.values():
            if not run_control.killed:
                run_control.resume()
        self.network.release()
        for address, message in self.duplicates:
            self.servers[address].replica.handle(message)
        self.duplicates.clear()

    def close(self):
        """Stop all processes and replicas."""
        self.is_recording = False
        for run_control in self._run_controls.values():
            run_control.kill()
        for server in self.servers.values():
            server.kill()
        gevent.sleep(0)
        gevent.killall(self._greenlets)
        for server in self.servers.values():
            server.replica.stop()

    def _on_call(self, step):
        return self._actions.pop(id(step.message), kernel.DELIVER)
