"""Faults, each a function that disturbs, waits and repairs.

A fault registers itself under its name. ``world`` is the
:class:`paddle_testbed.soak._run.World`, ``rng`` draws its times.
"""

import contextlib
import signal

import gevent

import paddle_kernel
from paddle_testbed.soak import _ledger
from paddle_testbed.soak import _proxy
from paddle_testbed.soak import _servers

SHORT_S = (0.2, 1.0)
MIDDLE_S = (0.5, 3.0)
# A stopped gateway serves for gracePeriodS (8 s) at most.
STOP_LIMIT_S = 10
TORN_BYTES = (1, 40)
SERIES_S = (0.0, 0.3)
# A server that says that it leaves goes on for longer than drainMs.
LEAVING_S = (3.5, 5.0)
MOST_RESTARTS = 6

faults = paddle_kernel.Registry('fault')


@contextlib.contextmanager
def noted(world, kind, target):
    """Record the disturbance of ``target``."""
    begin_ms = _ledger.now_ms()
    try:
        yield
    finally:
        world.ledger.disturbances.append(
            _ledger.Disturbance(
                kind=kind,
                target=target,
                begin_ms=begin_ms,
                end_ms=_ledger.now_ms(),
            )
        )


def pause(rng, span_s):
    """Wait for a random time within ``span_s``."""
    gevent.sleep(rng.uniform(*span_s))


def _kill_and_start(world, rng, role):
    with world.locks.one_machine(rng, role) as name:
        if name is None:
            return
        with noted(world, 'kill', name):
            world.kill(name)
            pause(rng, MIDDLE_S)
            world.start_again(name)


@faults.register('kill_gateway')
def kill_gateway(world, rng):
    _kill_and_start(world, rng, 'gateway')


@faults.register('kill_controller')
def kill_controller(world, rng):
    _kill_and_start(world, rng, 'controller')


@faults.register('kill_all')
def kill_all(world, rng):
    with contextlib.ExitStack() as stack:
        names = [
            name
            for role in ('gateway', 'controller')
            for name in world.locks.take_machines(stack, role)
        ]
        stack.enter_context(noted(world, 'kill', 'all'))
        for name in names:
            world.kill(name)
        pause(rng, SHORT_S)
        rng.shuffle(names)
        for name in names:
            world.start_again(name)
            pause(rng, (0, 0.2))


@faults.register('torn_write')
def torn_write(world, rng):
    """Leave bytes of an unfinished write at the end of a killed disk."""
    with world.locks.one_machine(rng, 'controller') as name:
        if name is None:
            return
        with noted(world, 'kill', name):
            world.kill(name)
            path = world.log_of(name)
            # A disk that was just emptied has no file yet.
            if path.exists():
                with path.open('ab') as log:
                    log.write(rng.randbytes(rng.randint(*TORN_BYTES)))
            pause(rng, SHORT_S)
            world.start_again(name)


@faults.register('lost_disk')
def lost_disk(world, rng):
    """Empty one controller; no other disk is lost until it counts again."""
    with world.locks.one_disk() as is_free:
        if not is_free:
            return
        with world.locks.one_machine(rng, 'controller') as name:
            if name is None:
                return
            with noted(world, 'kill', name):
                world.kill(name)
                world.fleet.wipe(name)
                pause(rng, SHORT_S)
                world.start_again(name)
        world.fleet.wait_counts_again(name)


def _stop_and_start(world, rng, role):
    with world.locks.one_machine(rng, role) as name:
        if name is None:
            return
        with noted(world, 'stop', name):
            world.stop_and_start(name, STOP_LIMIT_S)


@faults.register('stop_gateway')
def stop_gateway(world, rng):
    _stop_and_start(world, rng, 'gateway')


@faults.register('stop_controller')
def stop_controller(world, rng):
    _stop_and_start(world, rng, 'controller')


@faults.register('freeze')
def freeze(world, rng):
    with world.locks.one_machine(
        rng, rng.choice(['gateway', 'controller'])
    ) as name:
        if name is None:
            return
        with noted(world, 'freeze', name):
            world.fleet.signal(name, signal.SIGSTOP)
            pause(rng, (0.3, 4.0))
            world.fleet.signal(name, signal.SIGCONT)


@faults.register('reload')
def reload(world, rng):
    """Tell all programs that their settings changed, twice in a row."""
    for _ in range(2):
        for name in world.fleet.machines:
            with world.locks.machine(name) as is_free:
                if is_free:
                    world.signal(name, signal.SIGHUP)
        pause(rng, (0, 0.3))


@faults.register('server_fault')
def server_fault(world, rng):
    server = rng.choice(world.servers)
    # One that wants quiet is no excuse for a lost request.
    harmless = (_servers.Fault.NONE, _servers.Fault.WANTS_QUIET)
    kinds = [item for item in _servers.Fault if item not in harmless]
    server.fault = rng.choice(kinds)
    with noted(world, server.fault.value, server.name):
        pause(rng, MIDDLE_S)
        server.fault = _servers.Fault.NONE


@faults.register('server_link')
def server_link(world, rng):
    proxy = rng.choice(world.servers).proxy
    modes = [item for item in _proxy.Mode if item is not _proxy.Mode.PASS]
    _disturb_link(world, rng, proxy, rng.choice(modes))


@faults.register('server_reset')
def server_reset(world, rng):
    server = rng.choice(world.servers)
    with noted(world, 'reset', server.name):
        server.proxy.reset_all()
        pause(rng, (0, 0.1))


@faults.register('platform_link')
def platform_link(world, rng):
    modes = [item for item in _proxy.Mode if item is not _proxy.Mode.PASS]
    _disturb_link(world, rng, world.platform_proxy, rng.choice(modes))


def _disturb_link(world, rng, proxy, mode):
    with noted(world, f'link {mode.value}', proxy.address):
        proxy.delay_ms = rng.randint(20, 400)
        proxy.mode = mode
        pause(rng, MIDDLE_S)
        proxy.mode = _proxy.Mode.PASS
        if mode is not _proxy.Mode.DELAY:
            # Bytes were lost, so nothing sensible can follow on these.
            proxy.reset_all()


@faults.register('platform_down')
def platform_down(world, rng):
    with noted(world, 'platform down', 'platform'):
        world.cloud.down = True
        pause(rng, MIDDLE_S)
        world.cloud.down = False


@faults.register('drain_server')
def drain_server(world, rng):
    ready = [item for item in world.servers if item.state == 'ready']
    if len(ready) < 3:
        return
    server = rng.choice(ready)
    server.state = 'draining'
    world.publish_servers()
    pause(rng, MIDDLE_S)
    server.state = 'ready'
    world.publish_servers()


@faults.register('server_leaves')
def server_leaves(world, rng):
    """A server says that it leaves, is listed so later, and is replaced.

    Half of them are listed as ready until the end.
    """
    staying = [
        item
        for item in world.servers
        if item.state == 'ready' and not item.leaves
    ]
    if len(staying) < 3:
        return
    server = rng.choice(staying)
    server.leaves = True
    pause(rng, SHORT_S)
    if rng.random() < 0.5:
        server.state = 'draining'
        world.publish_servers()
    pause(rng, LEAVING_S)
    server.start_again()
    world.publish_servers()


@faults.register('server_quiet')
def server_quiet(world, rng):
    server = rng.choice(world.servers)
    if server.fault is not _servers.Fault.NONE:
        return
    server.quiet_s = rng.uniform(*MIDDLE_S)
    server.fault = _servers.Fault.WANTS_QUIET
    pause(rng, MIDDLE_S)
    if server.fault is _servers.Fault.WANTS_QUIET:
        server.fault = _servers.Fault.NONE


@faults.register('signal_series')
def signal_series(world, rng):
    """Signals in quick succession to one process, around its stop."""
    role = rng.choice(['gateway', 'controller'])
    with world.locks.one_machine(rng, role) as name:
        if name is None:
            return
        with noted(world, 'stop', name):
            for _ in range(rng.randint(0, 3)):
                world.signal(name, signal.SIGHUP)
                pause(rng, SERIES_S)
            later = [
                (
                    rng.uniform(*SERIES_S),
                    rng.choice([signal.SIGHUP, signal.SIGTERM]),
                )
                for _ in range(rng.randint(0, 4))
            ]
            world.stop_and_start(name, STOP_LIMIT_S, later)
            world.signal(name, signal.SIGHUP)


@faults.register('restart_series')
def restart_series(world, rng):
    """Gateways are restarted one soon after the other, beside changes."""
    with contextlib.ExitStack() as stack:
        names = world.locks.take_machines(stack, 'gateway')
        rng.shuffle(names)
        begun = []
        # One goes on serving.
        for name in names[1:MOST_RESTARTS]:
            begun.append(gevent.spawn(_restart, world, name))
            begun.append(gevent.spawn(world.hand_in, rng))
            pause(rng, SHORT_S)
        gevent.joinall(begun, raise_error=True)


def _restart(world, name):
    with noted(world, 'stop', name):
        world.stop_and_start(name, STOP_LIMIT_S)


@faults.register('change')
def change(world, rng):
    """Hand in versions in quick succession at several controllers."""
    for _ in range(rng.randint(1, 4)):
        world.hand_in(rng)
        pause(rng, (0, 0.15))


@faults.register('race')
def race(world, rng):
    """Two operators hand in different versions at the same time."""
    operators = [gevent.spawn(world.hand_in, rng) for _ in range(2)]
    gevent.joinall(operators, raise_error=True)
