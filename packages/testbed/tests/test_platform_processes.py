"""Tests of the platform's programs as processes, against fake peers."""

import copy
import json
import os
import pathlib
import select
import signal
import time

import gevent
import gevent.pool
import gevent.socket
import pytest

from paddle_testbed import fakes
from paddle_testbed import fleet as fleets
from paddle_testbed.soak import _checks as soak_checks

HOST = 'h.example'
SERVICE = {'name': 'plain', 'healthPath': '/health', 'connectionLimit': 100}
ROUTE = {
    'name': 'r',
    'host': HOST,
    'pathPrefix': '/a/',
    'kind': 'safe',
    'timeoutMs': 2000,
    'targetLatencyMs': 200,
    'service': 'plain',
    'attempts': 2,
}
CONFIG = {
    'version': 3,
    'routes': [ROUTE],
    'services': [SERVICE],
    'limits': {'idleTimeoutMs': 15000},
    'tenants': [{'name': 'cust', 'accessKeys': ['k1']}],
}


# The users' bound for an evacuation to be in force.
EVACUATION_S = 5
# Each request writes about three lines of 300 bytes.
BURST_REQUESTS = 400
BURST_CLIENTS = 20
BURST_LIMIT_S = 30


def build_config(version, **fields):
    return {**copy.deepcopy(CONFIG), 'version': version, **fields}


@pytest.fixture
def origin():
    built = fakes.FakeOrigin(lambda req, sock: fakes.response(req))
    yield built
    built.stop()


@pytest.fixture
def cloud(origin):
    built = fakes.FakeCloud()
    built.entries = [
        {
            'identifier': 'i-1',
            'service': 'plain',
            'address': origin.address,
            'zone': 'z1',
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
        },
        'bytes of another writer',
    ]
    yield built
    built.stop()


@pytest.fixture
def fleet(tmp_path, cloud):
    built = fleets.Fleet(tmp_path, cloud, controllers=3, gateways=2)
    yield built
    built.stop()


def start_fleet(fleet):
    fleet.start_all()
    fleet.put_configuration(CONFIG)
    for name in fleet.names('gateway'):
        fleet.wait_ready(name)
    return fleet


@pytest.fixture
def serving(fleet):
    return start_fleet(fleet)


@pytest.fixture
def far_origin():
    """The server of a second failure domain."""
    built = fakes.FakeOrigin(lambda req, sock: fakes.response(req))
    yield built
    built.stop()


@pytest.fixture
def evacuable_fleet(tmp_path, cloud, far_origin):
    """A running fleet on a platform whose operators evacuate domains."""
    cloud.entries.append(
        {
            **cloud.entries[0],
            'identifier': 'i-2',
            'address': far_origin.address,
            'zone': 'z2',
        }
    )
    built = fleets.Fleet(
        tmp_path,
        cloud,
        controllers=3,
        gateways=2,
        bounds={'evacuationMs': EVACUATION_S * 1_000},
    )
    yield start_fleet(built)
    built.stop()


@pytest.fixture
def fleet_with_late_reports(tmp_path, cloud):
    """A running fleet with the users' bound on late usage reports.

    The shorter bound of the other tests leaves no time for a takeover.
    """
    built = fleets.Fleet(
        tmp_path,
        cloud,
        controllers=3,
        gateways=2,
        bounds={'usageLateS': 10},
    )
    yield start_fleet(built)
    built.stop()


def send_request(fleet, name, path='/a/x', key='k1'):
    """Return the status of one request, ``None`` for a closed connection."""
    sock = gevent.socket.create_connection(fleet.gateway_address(name), 2)
    sock.settimeout(3)
    sock.sendall(
        f'GET {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Rosemarypaddle-Request-Id: r{time.monotonic_ns()}\r\n'
        f'Authorization: Token {key}\r\n\r\n'.encode()
    )
    data = sock.recv(4096)
    sock.close()
    return int(data.split()[1]) if data else None


def is_writable(descriptor):
    """Whether a pipe accepts a write without blocking.

    The number of bytes in a full pipe varies, because pages may be partly
    used.
    """
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return bool(poll.poll(0))


def read_config_version(fleet, name):
    status, body = fleet.call(name, 'GET', '/api/configuration')
    return json.loads(body)['version'] if status == 200 else None


def test_the_whole_path_serves_and_reports_usage(serving, cloud, origin):
    # Guards against faults that occur only with separate processes.
    sent = 0
    for _ in range(10):
        for name in serving.names('gateway'):
            assert send_request(serving, name) == 200
            sent += 1
    assert len(origin.requests) == sent
    fleets.wait_for(
        lambda: (
            sum(
                reports[0].get('cust', 0) for reports in cloud.usage().values()
            )
            == sent
        ),
        'the usage was not reported',
    )
    assert len({call.holder for call in cloud.calls}) == 1


def test_a_stalled_log_reader_does_not_block_requests(serving, origin):
    # Guards against a gateway that blocks on a full log pipe (64 KiB). This
    # burst writes several times as much.
    name, *_others = serving.names('gateway')
    serving.kill(name)
    read_end, write_end = os.pipe()
    try:
        serving.start(name, output=write_end)
        serving.wait_ready(name)
        burst = gevent.pool.Pool(BURST_CLIENTS)
        start_s = time.monotonic()
        statuses = burst.map(
            lambda _: send_request(serving, name), range(BURST_REQUESTS)
        )
        assert set(statuses) == {200}
        assert time.monotonic() - start_s < BURST_LIMIT_S
        # The pipe is full, so a blocking writer would have stalled.
        assert not is_writable(write_end)
    finally:
        os.close(read_end)
        os.close(write_end)


def test_a_configuration_change_reaches_every_gateway(serving):
    serving.put_configuration(
        build_config(9, routes=[{**ROUTE, 'pathPrefix': '/b/'}])
    )
    for name in serving.names('gateway'):
        fleets.wait_for(
            lambda name=name: send_request(serving, name, '/b/x') == 200,
            'the added route is not served',
            wait_s=2,
        )
        assert send_request(serving, name) == 404
    for name in serving.names('controller'):
        assert read_config_version(serving, name) == 9
    serving.put_configuration(build_config(5))
    assert read_config_version(serving, 'core-0') == 9
    status, _body = serving.call(
        'core-1', 'PUT', '/api/configuration', b'{"version": 12'
    )
    assert status == 400


def test_a_takeover_sends_no_conflicting_usage_report(serving, cloud):
    # Guards against two reports of one window with different counts.
    send_request(serving, 'front-0')
    fleets.wait_for(lambda: cloud.calls, 'no controller holds the lease')
    first = cloud.calls[-1].holder
    serving.kill(first)
    fleets.wait_for(
        lambda: cloud.calls[-1].holder != first, 'no controller took over'
    )
    assert all(
        all(item == reports[0] for item in reports)
        for reports in cloud.usage().values()
    )
    fences = [call.fence for call in cloud.calls]
    assert fences == sorted(fences)
    assert send_request(serving, 'front-0') == 200


def followed_controller(fleet, name):
    """Return the address of the controller that a gateway follows."""
    return fleet.dump(name)['follower']['controller']


def wait_follows(fleet, name, controller, *, wait_s=5):
    """Wait until a gateway follows ``controller``."""
    address = f'{fleet.machines[controller].ip}:{fleets.PEER_PORTS[0]}'
    fleets.wait_for(
        lambda: followed_controller(fleet, name) == address,
        f'{name} did not follow {controller}',
        wait_s=wait_s,
    )
    return address


def test_a_gateway_follows_the_controller_of_its_domain(serving):
    # Guards against one controller serving all gateways while the others idle.
    # The second domain has one controller.
    wait_follows(serving, 'front-1', 'core-1')


def test_usage_stays_exact_while_a_gateway_changes_its_controller(
    fleet_with_late_reports, cloud
):
    # A frozen controller holds counts that it has not relayed, and the gateway
    # meanwhile reports them to another one. The frozen controller may hold the
    # lease.
    serving = fleet_with_late_reports
    frozen = wait_follows(serving, 'front-1', 'core-1')
    sent = sum(send_request(serving, 'front-1') == 200 for _ in range(10))
    serving.signal('core-1', signal.SIGSTOP)
    sent += sum(send_request(serving, 'front-1') == 200 for _ in range(10))
    fleets.wait_for(
        lambda: followed_controller(serving, 'front-1') != frozen,
        'the gateway still follows the frozen controller',
        wait_s=2,
    )
    sent += sum(send_request(serving, 'front-1') == 200 for _ in range(10))
    gevent.sleep(3)
    serving.signal('core-1', signal.SIGCONT)
    assert sent == 30
    fleets.wait_for(
        lambda: (
            sum(
                reports[0].get('cust', 0) for reports in cloud.usage().values()
            )
            >= sent
        ),
        'the usage was not reported',
    )
    counts = [reports[0].get('cust', 0) for reports in cloud.usage().values()]
    assert sum(counts) == sent


def test_an_acknowledged_version_survives_a_lost_disk(serving):
    # Guards against a replica with a wiped disk that votes again and so
    # contradicts its earlier votes.
    serving.put_configuration(build_config(20))
    serving.kill('core-0')
    serving.delete_data('core-0')
    serving.start('core-0')
    serving.wait_voting_again('core-0')
    serving.kill('core-1')
    assert read_config_version(serving, 'core-2') == 20
    assert read_config_version(serving, 'core-0') == 20


# contactMs and acknowledgeMs of the users' platform.
CONTACT_S = 3
ACKNOWLEDGE_S = 4
# Time after which the platform's operator stops waiting for an answer.
OPERATOR_WAIT_S = 1


def test_a_configuration_can_be_read_and_changed_after_full_disks(serving):
    # Guards against controllers that do not vote until a restart after their
    # disk has been full: reads and changes were refused for ever.
    names = serving.names('controller')
    restores = [serving.fill_disk(name) for name in names[:2]]
    body = json.dumps(build_config(40)).encode()
    status, _body = serving.call(
        names[0], 'PUT', '/api/configuration', body, timeout_s=5
    )
    assert status == 503
    for restore in restores:
        restore()
    for name in names:
        fleets.wait_for(
            lambda name=name: read_config_version(serving, name),
            f'{name} returned no configuration',
            wait_s=CONTACT_S,
        )
    begin_s = time.monotonic()
    serving.put_configuration(build_config(41))
    assert time.monotonic() - begin_s < ACKNOWLEDGE_S
    assert {read_config_version(serving, name) for name in names} == {41}


def test_reads_and_changes_without_a_majority_are_refused_within_a_second(
    serving,
):
    # Guards against an answer that comes after the operator has left, which
    # counts as silence.
    for name in serving.names('controller')[:2]:
        serving.fill_disk(name)
    body = json.dumps(build_config(50)).encode()
    for name in serving.names('controller'):
        for request in (('PUT', body), ('GET', None)):
            method, content = request
            status, _body = serving.call(
                name, method, '/api/configuration', content, OPERATOR_WAIT_S
            )
            assert (name, method, status) == (name, method, 503)


def test_a_read_without_a_majority_is_refused(serving):
    serving.kill('core-1')
    serving.kill('core-2')
    status, _body = serving.call(
        'core-0', 'GET', '/api/configuration', timeout_s=5
    )
    assert status == 503
    assert send_request(serving, 'front-0') == 200


def test_the_configuration_survives_a_kill_of_all_processes(serving):
    serving.put_configuration(build_config(30))
    for name in serving.machines:
        serving.kill(name)
    for name in serving.machines:
        serving.start(name)
    fleets.wait_for(
        lambda: read_config_version(serving, 'core-1') == 30,
        'the acknowledged version is lost',
    )
    serving.wait_ready('front-0')
    assert send_request(serving, 'front-0') == 200


def test_a_planned_replacement_is_followed_by_the_loss_of_a_disk(serving):
    # Guards against a controller that was stopped for good and remains a
    # member: the next lost disk left no quorum, and the acknowledged
    # configuration could not be read or changed any more.
    replacement = serving.add_controller()
    serving.wait_voting_again(replacement)
    serving.signal('core-2', signal.SIGTERM)
    assert serving.machines['core-2'].process.wait(timeout=9) == 0
    serving.remove('core-2')
    serving.put_configuration(build_config(30))
    serving.kill('core-1')
    serving.delete_data('core-1')
    serving.start('core-1')
    for name in serving.names('controller'):
        fleets.wait_for(
            lambda name=name: read_config_version(serving, name) == 30,
            f'{name} does not return the acknowledged version',
        )
    serving.put_configuration(build_config(31))


def test_a_planned_stop_cuts_no_request(serving, origin):
    origin.script = lambda req, sock: [0.5, fakes.response(req)]
    pending = gevent.spawn(send_request, serving, 'front-0')
    while not origin.requests:
        gevent.sleep(0.01)
    serving.signal('front-0', signal.SIGTERM)
    assert pending.get(timeout=5) == 200
    fleets.wait_for(
        lambda: serving.call('front-0', 'GET', '/api/readiness')[0] != 200,
        'a stopping gateway still reports ready',
        wait_s=1,
    )
    assert serving.machines['front-0'].process.wait(timeout=9) == 0


def is_loading(process):
    """Whether a process has begun to load its libraries."""
    return 'gevent' in pathlib.Path(f'/proc/{process.pid}/maps').read_text()


@pytest.mark.parametrize('role', ['gateway', 'controller'])
@pytest.mark.parametrize('signum', [signal.SIGHUP, signal.SIGTERM])
def test_signals_during_the_start_are_handled(serving, role, signum):
    # With the default action, both signals kill a process that is still being
    # loaded. SIGHUP must not end it, and SIGTERM must end it with exit code 0
    # (soak seeds 1572442404 and 1268783226).
    name = serving.names(role)[0]
    serving.kill(name)
    serving.start(name)
    process = serving.machines[name].process
    fleets.wait_for(lambda: is_loading(process), 'not loading')
    serving.signal(name, signum)
    if signum == signal.SIGTERM:
        assert process.wait(timeout=9) == 0
        return
    if role == 'gateway':
        serving.wait_ready(name)
    else:
        fleets.wait_for(
            lambda: read_config_version(serving, name) == 3,
            'the process does not serve',
        )
    assert process.poll() is None


def logged_signals(fleet, name):
    """Return the signals that a machine's process logged, in order."""
    process = fleet.machines[name].process
    lines = (fleet.machines[name].folder / 'log').read_text().splitlines()
    found = [json.loads(line) for line in lines if '"event": 1004' in line]
    return [item['signal'] for item in found if item['pid'] == process.pid]


@pytest.mark.parametrize('role', ['gateway', 'controller'])
@pytest.mark.parametrize('is_new', [False, True])
def test_each_signal_of_a_series_is_logged(serving, role, is_new):
    # Guards against a SIGTERM that is logged only when the stop begins, or not
    # at all while the program is being loaded.
    name = serving.names(role)[0]
    process = serving.machines[name].process
    if is_new:
        serving.kill(name)
        serving.start(name)
        process = serving.machines[name].process
        fleets.wait_for(lambda: is_loading(process), 'not loading')
    series = [signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP]
    for signum in series[:2] if is_new else series:
        serving.signal(name, signum)
        gevent.sleep(0.1)
    if is_new:
        serving.signal(name, signal.SIGTERM)
    assert process.wait(timeout=9) == 0
    expected = ['SIGHUP', 'SIGHUP', 'SIGTERM']
    assert logged_signals(serving, name)[:3] == expected


def processor_ms(process):
    """Return the processor time of a process that has not been reaped."""
    text = pathlib.Path(f'/proc/{process.pid}/stat').read_text()
    ticks = sum(int(item) for item in text.rpartition(')')[2].split()[11:13])
    return ticks * 1_000 // os.sysconf('SC_CLK_TCK')


def process_state(process):
    """Return the state letter and whether SIGHUP is ignored."""
    text = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    fields = dict(line.split(':\t', 1) for line in text.splitlines())
    is_ignored = bool(int(fields['SigIgn'], 16) >> (signal.SIGHUP - 1) & 1)
    return fields['State'][0], is_ignored


@pytest.mark.parametrize('role', ['gateway', 'controller'])
def test_a_stopped_process_exits_soon_after_it_ignores_signals(serving, role):
    # Guards against a SIGHUP that is not logged because the interpreter shuts
    # down for 0.2 s of processor time, or for seconds on a busy machine.
    name = serving.names(role)[0]
    process = serving.machines[name].process
    serving.signal(name, signal.SIGTERM)
    ignoring_since_ms = None
    state = None
    while state != 'Z':
        state, is_ignored = process_state(process)
        if is_ignored and ignoring_since_ms is None:
            ignoring_since_ms = processor_ms(process)
        gevent.sleep(0.002)
    if ignoring_since_ms is not None:
        spent_ms = processor_ms(process) - ignoring_since_ms
        # A machine with five times the load still exits within the grace.
        assert spent_ms <= soak_checks.EXIT_GRACE_MS // 5
    assert process.wait(timeout=9) == 0


def test_sighup_does_not_interrupt_requests(serving, origin):
    origin.script = lambda req, sock: [0.3, fakes.response(req)]
    pending = gevent.spawn(send_request, serving, 'front-0')
    gevent.sleep(0.1)
    for name in serving.machines:
        serving.signal(name, signal.SIGHUP)
    assert pending.get(timeout=5) == 200
    assert all(
        item.process.poll() is None for item in serving.machines.values()
    )


def wait_evacuated(fleet, *domains):
    """Wait until all gateways have applied ``domains``, within the bound."""
    for name in fleet.names('gateway'):
        fleets.wait_for(
            lambda name=name: (
                fleet.dump(name)['follower']['evacuation']['domains']
                == list(domains)
            ),
            f'{name} has not applied the evacuations',
            wait_s=EVACUATION_S,
        )


def send_to_all(fleet, count=10):
    """Send requests to each gateway; return the statuses."""
    return {
        send_request(fleet, name)
        for name in fleet.names('gateway')
        for _ in range(count)
    }


def test_an_evacuation_survives_a_kill_of_all_processes(
    evacuable_fleet, origin, far_origin
):
    # Guards against an acknowledged order that only lives in memory, and
    # against one of two orders at the same time that is lost.
    fleet = evacuable_fleet
    operators = [
        gevent.spawn(fleet.order_evacuation, 'POST', domain, [name])
        for domain, name in (('z1', 'core-0'), ('z9', 'core-1'))
    ]
    gevent.joinall(operators, raise_error=True)
    for name in fleet.machines:
        fleet.kill(name)
    before = len(origin.requests)
    for name in fleet.machines:
        fleet.start(name)
    for name in fleet.names('gateway'):
        fleet.wait_ready(name)
    # Already the first requests of a gateway that is ready.
    assert send_to_all(fleet) == {200}
    assert len(origin.requests) == before and far_origin.requests
    fleets.wait_for(
        lambda: fleet.evacuated('core-2') == ['z1', 'z9'],
        'an acknowledged order is lost',
    )
    fleet.order_evacuation('DELETE', 'z1')
    wait_evacuated(fleet, 'z9')
    assert send_to_all(fleet) == {200}
    assert len(origin.requests) > before


def test_a_late_copy_of_an_order_does_not_repeat_it(
    evacuable_fleet, origin, far_origin
):
    # Guards against a controller that is frozen, and evacuates the domain once
    # more when it wakes, after the order was taken back elsewhere.
    fleet = evacuable_fleet
    fleet.signal('core-1', signal.SIGSTOP)
    status, _body = fleet.call(
        'core-1', 'POST', '/api/evacuation/z1', timeout_s=OPERATOR_WAIT_S
    )
    assert status is None
    others = ['core-0', 'core-2']
    fleet.order_evacuation('POST', 'z1', others)
    acknowledged_s = time.monotonic()
    wait_evacuated(fleet, 'z1')
    # A gateway that starts meanwhile, and may follow a controller that has not
    # heard of the order yet.
    fleet.kill('front-0')
    fleet.start('front-0')
    fleet.wait_ready('front-0')
    wait_evacuated(fleet, 'z1')
    assert time.monotonic() - acknowledged_s <= EVACUATION_S
    before = len(origin.requests)
    assert send_to_all(fleet) == {200}
    assert len(origin.requests) == before
    fleet.order_evacuation('DELETE', 'z1', others)
    fleet.signal('core-1', signal.SIGCONT)
    gevent.sleep(CONTACT_S)
    for name in fleet.names('controller'):
        fleets.wait_for(
            lambda name=name: fleet.evacuated(name) == [],
            f'{name} carried out the late order, or answers no read',
            wait_s=CONTACT_S,
        )
