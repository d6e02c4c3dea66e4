"""Fault injectors: functions that cause a fault, wait and repair it.

Each is registered by name. ``system`` is the
:class:`paddle_testbed.soak._run.SoakSystem`; ``rng`` draws times and targets.
"""

import contextlib
import signal

import gevent

import paddle_kernel
from paddle_testbed import endless_peer
from paddle_testbed import fakes
from paddle_testbed import fleet as fleets
from paddle_testbed.soak import _callers
from paddle_testbed.soak import _ledger
from paddle_testbed.soak import _proxy
from paddle_testbed.soak import _servers

SHORT_PAUSE_S = (0.2, 1.0)
MEDIUM_PAUSE_S = (0.5, 3.0)
# Above gracePeriodS (8 s), the longest time a stopped gateway goes on serving.
STOP_LIMIT_S = 10
TORN_WRITE_BYTES = (1, 40)
SIGNAL_GAP_S = (0.0, 0.3)
# Longer than drainMs, so that requests after the drain time would be seen.
LEAVING_DURATION_S = (3.5, 5.0)
RESTART_SLICE_END = 6
# Longer than the time in which gateways must learn of a limit, and a window.
LIMIT_DURATION_S = (7.5, 10.0)
LIMITS_PER_S = (0.5, 6.0)
# Longer than the time in which gateways must apply an evacuation.
EVACUATION_DURATION_S = (6.5, 9.0)
# Time until gateways use a server that the platform has just listed.
LISTING_DELAY_S = 1.5
# Longer than the time in which other requests have to be answered.
ENDLESS_DURATION_S = (3.5, 5.0)

faults = paddle_kernel.Registry('fault')


@contextlib.contextmanager
def recorded_disturbance(system, kind, target):
    """Record the block as a disturbance of ``target``."""
    begin_ms = _ledger.now_ms()
    try:
        yield
    finally:
        system.ledger.disturbances.append(
            _ledger.Disturbance(
                kind=kind,
                target=target,
                begin_ms=begin_ms,
                end_ms=_ledger.now_ms(),
            )
        )


def sleep_random(rng, span_s):
    """Sleep for a random time within ``span_s``."""
    gevent.sleep(rng.uniform(*span_s))


def _kill_and_start(system, rng, role):
    with system.locks.lock_any(rng, role) as name:
        if name is None:
            return
        with recorded_disturbance(system, 'kill', name):
            system.kill(name)
            sleep_random(rng, MEDIUM_PAUSE_S)
            system.restart(name)


@faults.register('kill_gateway')
def kill_gateway(system, rng):
    _kill_and_start(system, rng, 'gateway')


@faults.register('kill_controller')
def kill_controller(system, rng):
    _kill_and_start(system, rng, 'controller')


@faults.register('kill_all')
def kill_all(system, rng):
    with contextlib.ExitStack() as stack:
        names = [
            name
            for role in ('gateway', 'controller')
            for name in system.locks.lock_all(stack, role)
        ]
        stack.enter_context(recorded_disturbance(system, 'kill', 'all'))
        for name in names:
            system.kill(name)
        sleep_random(rng, SHORT_PAUSE_S)
        rng.shuffle(names)
        for name in names:
            system.restart(name)
            sleep_random(rng, (0, 0.2))


@faults.register('torn_write')
def torn_write(system, rng):
    """Kill a controller and append random bytes to its register log.

    They stand for the incomplete last record of an interrupted write.
    """
    with system.locks.lock_any(rng, 'controller') as name:
        if name is None:
            return
        with recorded_disturbance(system, 'kill', name):
            system.kill(name)
            path = system.fleet.register_path(name)
            # A disk that was just emptied has no log file yet.
            if path.exists():
                with path.open('ab') as log:
                    log.write(rng.randbytes(rng.randint(*TORN_WRITE_BYTES)))
            sleep_random(rng, SHORT_PAUSE_S)
            system.restart(name)


@faults.register('lost_disk')
def lost_disk(system, rng):
    """Empty the disk of one controller.

    No other disk is emptied until this replica votes again.
    """
    with system.locks.lock_disk() as is_free:
        if not is_free:
            return
        with system.locks.lock_any(rng, 'controller') as name:
            if name is None:
                return
            with recorded_disturbance(system, 'kill', name):
                system.kill(name)
                system.fleet.delete_data(name)
                sleep_random(rng, SHORT_PAUSE_S)
                system.restart(name)
        system.fleet.wait_voting_again(name)


@faults.register('replace_controller')
def replace_controller(system, rng):
    """Replace one controller as planned: the new one first, then SIGTERM.

    No other controller is disturbed until the old one has stopped; any may be
    from then on.
    """
    with contextlib.ExitStack() as stack:
        if not stack.enter_context(system.locks.lock_disk()):
            return
        names = system.locks.lock_all(stack, 'controller')
        if names != system.fleet.names('controller'):
            return
        for name in names:
            system.fleet.wait_voting_again(name)
        new = system.fleet.add_controller()
        stack.enter_context(system.locks.lock(new))
        system.fleet.wait_voting_again(new)
        gevent.sleep(system.fleet.bounds['catchUpS'])
        old = rng.choice(names)
        with recorded_disturbance(system, 'stop', old):
            system.stop(old, STOP_LIMIT_S)
            system.fleet.remove(old)


@faults.register('full_disk')
def full_disk(system, rng):
    """Make the files of one controller refuse writes for a while."""
    with system.locks.lock_any(rng, 'controller') as name:
        if name is None:
            return
        with recorded_disturbance(system, 'full disk', name):
            make_room = system.fleet.fill_disk(name)
            sleep_random(rng, MEDIUM_PAUSE_S)
            make_room()


def _stop_and_start(system, rng, role):
    with system.locks.lock_any(rng, role) as name:
        if name is None:
            return
        with recorded_disturbance(system, 'stop', name):
            system.stop_and_start(name, STOP_LIMIT_S)


@faults.register('stop_gateway')
def stop_gateway(system, rng):
    _stop_and_start(system, rng, 'gateway')


@faults.register('stop_controller')
def stop_controller(system, rng):
    _stop_and_start(system, rng, 'controller')


@faults.register('freeze')
def freeze(system, rng):
    with system.locks.lock_any(
        rng, rng.choice(['gateway', 'controller'])
    ) as name:
        if name is None:
            return
        with recorded_disturbance(system, 'freeze', name):
            system.fleet.signal(name, signal.SIGSTOP)
            sleep_random(rng, (0.3, 4.0))
            system.fleet.signal(name, signal.SIGCONT)


@faults.register('reload')
def reload(system, rng):
    """Send SIGHUP to all programs, twice in a row."""
    for _ in range(2):
        for name, machine in system.fleet.machines.items():
            with system.locks.lock(name) as is_free:
                if is_free and not machine.is_removed:
                    system.signal(name, signal.SIGHUP)
        sleep_random(rng, (0, 0.3))


@faults.register('server_fault')
def server_fault(system, rng):
    server = rng.choice(system.servers)
    # WANTS_QUIET does not excuse a lost request, so it is not recorded as a
    # disturbance; the fault server_quiet covers it.
    harmless = (_servers.Fault.NONE, _servers.Fault.WANTS_QUIET)
    kinds = [item for item in _servers.Fault if item not in harmless]
    server.fault = rng.choice(kinds)
    with recorded_disturbance(system, server.fault.value, server.name):
        sleep_random(rng, MEDIUM_PAUSE_S)
        server.fault = _servers.Fault.NONE


@faults.register('endless_answer')
def endless_answer(system, rng):
    """One caller reads an answer without end, as fast as it comes.

    It excuses nothing, so it is not recorded as a disturbance.
    """
    kind = rng.choice(sorted(endless_peer.PIECES))
    name = rng.choice(system.fleet.names('gateway'))
    address = '%s:%d' % system.fleet.gateway_address(name)
    peers = [endless_peer.EndlessPeer.serve()]
    server = peers[0].read_line()
    system.endless_addresses.append(server)
    system.publish_servers()
    try:
        gevent.sleep(LISTING_DELAY_S)
        req = _callers.request_bytes(f'/endless/{kind}', server)
        peers.append(endless_peer.EndlessPeer.read(address, req))
        sleep_random(rng, ENDLESS_DURATION_S)
    finally:
        for peer in peers:
            peer.stop()
        system.endless_addresses.remove(server)
        system.publish_servers()


@faults.register('stream_errors')
def stream_errors(system, rng):
    """One server breaks streams off, another fails to resume them."""
    servers = [
        item for item in system.servers if item.fault is _servers.Fault.NONE
    ]
    if len(servers) < 3:
        return
    pair = rng.sample(servers, 2)
    kinds = _servers.Fault.BREAKS_STREAMS, _servers.Fault.FAILS_RESUMES
    with contextlib.ExitStack() as stack:
        for server, kind in zip(pair, kinds, strict=True):
            server.fault = kind
            stack.enter_context(
                recorded_disturbance(system, kind.value, server.name)
            )
        sleep_random(rng, MEDIUM_PAUSE_S)
        for server in pair:
            server.fault = _servers.Fault.NONE


@faults.register('server_link')
def server_link(system, rng):
    proxy = rng.choice(system.servers).proxy
    modes = [item for item in _proxy.Mode if item is not _proxy.Mode.PASS]
    _disturb_link(system, rng, proxy, rng.choice(modes))


@faults.register('server_reset')
def server_reset(system, rng):
    server = rng.choice(system.servers)
    with recorded_disturbance(system, 'reset', server.name):
        server.proxy.reset_all()
        sleep_random(rng, (0, 0.1))


@faults.register('platform_link')
def platform_link(system, rng):
    modes = [item for item in _proxy.Mode if item is not _proxy.Mode.PASS]
    _disturb_link(system, rng, system.platform_proxy, rng.choice(modes))


def _disturb_link(system, rng, proxy, mode):
    with recorded_disturbance(system, f'link {mode.value}', proxy.address):
        proxy.delay_ms = rng.randint(20, 400)
        proxy.mode = mode
        sleep_random(rng, MEDIUM_PAUSE_S)
        proxy.mode = _proxy.Mode.PASS
        if mode is not _proxy.Mode.DELAY:
            # Bytes were lost, so the streams of the open connections are
            # incomplete and must not continue.
            proxy.reset_all()


@faults.register('platform_down')
def platform_down(system, rng):
    with recorded_disturbance(system, 'platform down', 'platform'):
        system.cloud.down = True
        sleep_random(rng, MEDIUM_PAUSE_S)
        system.cloud.down = False


@faults.register('odd_list_entry')
def odd_list_entry(system, rng):
    """Another writer leaves an odd entry in the list for some time.

    It excuses nothing, so it is not recorded as a disturbance.
    """
    entry = fakes.ODD_ENTRIES[rng.choice(sorted(fakes.ODD_ENTRIES))]
    system.cloud.raw_entries.append(entry)
    sleep_random(rng, MEDIUM_PAUSE_S)
    system.cloud.raw_entries.remove(entry)


@faults.register('drain_server')
def drain_server(system, rng):
    ready = [item for item in system.servers if item.state == 'ready']
    if len(ready) < 3:
        return
    server = rng.choice(ready)
    server.state = 'draining'
    system.publish_servers()
    sleep_random(rng, MEDIUM_PAUSE_S)
    server.state = 'ready'
    system.publish_servers()


@faults.register('server_leaves')
def server_leaves(system, rng):
    """A server announces that it leaves, and is replaced some time later.

    In half of the cases the platform also lists it as draining meanwhile; in
    the others it is listed as ready until it is replaced.
    """
    available = [
        item
        for item in system.servers
        if item.state == 'ready' and not item.is_leaving
    ]
    if len(available) < 3:
        return
    server = rng.choice(available)
    server.is_leaving = True
    sleep_random(rng, SHORT_PAUSE_S)
    if rng.random() < 0.5:
        server.state = 'draining'
        system.publish_servers()
    sleep_random(rng, LEAVING_DURATION_S)
    server.replace()
    system.publish_servers()


@faults.register('server_quiet')
def server_quiet(system, rng):
    server = rng.choice(system.servers)
    if server.fault is not _servers.Fault.NONE:
        return
    server.retry_after_s = rng.uniform(*MEDIUM_PAUSE_S)
    server.fault = _servers.Fault.WANTS_QUIET
    sleep_random(rng, MEDIUM_PAUSE_S)
    if server.fault is _servers.Fault.WANTS_QUIET:
        server.fault = _servers.Fault.NONE


@faults.register('server_limit')
def server_limit(system, rng):
    """A server names a limit of requests a second for some time."""
    server = rng.choice(system.servers)
    if server.limit_per_s is not None or server.is_leaving:
        return
    begin_ms = _ledger.now_ms()
    name, limit_per_s = server.name, round(rng.uniform(*LIMITS_PER_S), 2)
    server.limit_per_s = limit_per_s
    sleep_random(rng, LIMIT_DURATION_S)
    server.limit_per_s = None
    system.ledger.limit_periods.append(
        _ledger.LimitPeriod(
            server=name,
            limit_per_s=limit_per_s,
            begin_ms=begin_ms,
            end_ms=_ledger.now_ms(),
        )
    )


@faults.register('evacuate')
def evacuate(system, rng):
    """Evacuate a domain for some time and use it again.

    The servers of the other domain may all be at their limits meanwhile, so
    it is recorded as a disturbance.
    """
    with contextlib.ExitStack() as stack:
        if not stack.enter_context(system.locks.lock_domains()):
            return
        domain = rng.choice(sorted({item.domain for item in system.servers}))
        stack.enter_context(recorded_disturbance(system, 'evacuation', domain))
        servers = [item for item in system.servers if item.domain == domain]
        names = {item.name for item in servers}
        try:
            system.fleet.order_evacuation('POST', domain)
            begin_ms = _ledger.now_ms()
            sleep_random(rng, EVACUATION_DURATION_S)
            names.update(item.name for item in servers)
            end_ms = _ledger.now_ms()
            system.fleet.order_evacuation('DELETE', domain)
        except fleets.WaitError as exc:
            system.ledger.overdue.append(('evacuate', str(exc)))
            return
    system.ledger.evacuations.append(
        _ledger.EvacuationPeriod(
            domain=domain,
            servers=frozenset(names),
            begin_ms=begin_ms,
            end_ms=end_ms,
        )
    )


@faults.register('signal_series')
def signal_series(system, rng):
    """Send signals in quick succession to one process around its stop."""
    role = rng.choice(['gateway', 'controller'])
    with system.locks.lock_any(rng, role) as name:
        if name is None:
            return
        with recorded_disturbance(system, 'stop', name):
            for _ in range(rng.randint(0, 3)):
                system.signal(name, signal.SIGHUP)
                sleep_random(rng, SIGNAL_GAP_S)
            later = [
                (
                    rng.uniform(*SIGNAL_GAP_S),
                    rng.choice([signal.SIGHUP, signal.SIGTERM]),
                )
                for _ in range(rng.randint(0, 4))
            ]
            system.stop_and_start(name, STOP_LIMIT_S, later)
            system.signal(name, signal.SIGHUP)


@faults.register('restart_series')
def restart_series(system, rng):
    """Restart gateways shortly after each other, with new configurations."""
    with contextlib.ExitStack() as stack:
        names = system.locks.lock_all(stack, 'gateway')
        rng.shuffle(names)
        greenlets = []
        # The first one is not restarted and goes on serving; at most five are.
        for name in names[1:RESTART_SLICE_END]:
            greenlets.append(gevent.spawn(_restart, system, name))
            greenlets.append(gevent.spawn(system.submit_configuration, rng))
            sleep_random(rng, SHORT_PAUSE_S)
        gevent.joinall(greenlets, raise_error=True)


def _restart(system, name):
    with recorded_disturbance(system, 'stop', name):
        system.stop_and_start(name, STOP_LIMIT_S)


@faults.register('change')
def change(system, rng):
    """Submit versions in quick succession to several controllers."""
    for _ in range(rng.randint(1, 4)):
        system.submit_configuration(rng)
        sleep_random(rng, (0, 0.15))


@faults.register('race')
def race(system, rng):
    """Two operators submit different versions at the same time."""
    operators = [
        gevent.spawn(system.submit_configuration, rng) for _ in range(2)
    ]
    gevent.joinall(operators, raise_error=True)
