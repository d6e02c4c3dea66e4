"""The programs of the users' platform as processes, against stand-ins."""

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


# Each request writes about three lines of 300 bytes.
BURST = 400
BURST_CALLERS = 20
BURST_LIMIT_S = 30


def changed(version, **fields):
    return {**copy.deepcopy(CONFIG), 'version': version, **fields}


@pytest.fixture
def origin():
    built = fakes.FakeOrigin(lambda req, sock: fakes.whole(req))
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


def start(fleet):
    fleet.start_all()
    fleet.put(CONFIG)
    for name in fleet.names('gateway'):
        fleet.wait_ready(name)
    return fleet


@pytest.fixture
def serving(fleet):
    return start(fleet)


@pytest.fixture
def reporting_later(tmp_path, cloud):
    """Processes with the users' bound on reports of usage.

    The shorter one of the other tests leaves no time for a takeover.
    """
    built = fleets.Fleet(
        tmp_path,
        cloud,
        controllers=3,
        gateways=2,
        bounds={'usageLateS': 10},
    )
    yield start(built)
    built.stop()


def ask(fleet, name, path='/a/x', key='k1'):
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


def has_room(descriptor):
    """Whether a pipe takes a write without blocking.

    The bytes in a full pipe vary, since each page may be partly used.
    """
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return bool(poll.poll(0))


def read_version(fleet, name):
    status, body = fleet.call(name, 'GET', '/api/configuration')
    return json.loads(body)['version'] if status == 200 else None


def test_the_whole_path_serves_and_reports_usage(serving, cloud, origin):
    # Guards against a path that works in one process only.
    sent = 0
    for _ in range(10):
        for name in serving.names('gateway'):
            assert ask(serving, name) == 200
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


def test_service_does_not_wait_for_a_log_reader_that_stalls(serving, origin):
    # Guards against a write to a full pipe (64 KiB) that stops a gateway:
    # this burst writes several times as much.
    name, *_others = serving.names('gateway')
    serving.kill(name)
    read_end, write_end = os.pipe()
    try:
        serving.start(name, output=write_end)
        serving.wait_ready(name)
        burst = gevent.pool.Pool(BURST_CALLERS)
        began = time.monotonic()
        answers = burst.map(lambda _: ask(serving, name), range(BURST))
        assert set(answers) == {200}
        assert time.monotonic() - began < BURST_LIMIT_S
        # A writer that does not look for room would have blocked here.
        assert not has_room(write_end)
    finally:
        os.close(read_end)
        os.close(write_end)


def test_a_change_is_in_force_on_every_gateway(serving):
    serving.put(changed(9, routes=[{**ROUTE, 'pathPrefix': '/b/'}]))
    for name in serving.names('gateway'):
        fleets.wait_for(
            lambda name=name: ask(serving, name, '/b/x') == 200,
            'the added route is not served',
            wait_s=2,
        )
        assert ask(serving, name) == 404
    for name in serving.names('controller'):
        assert read_version(serving, name) == 9
    serving.put(changed(5))
    assert read_version(serving, 'core-0') == 9
    status, _body = serving.call(
        'core-1', 'PUT', '/api/configuration', b'{"version": 12'
    )
    assert status == 400


def test_the_next_controller_takes_over_without_a_second_report(
    serving, cloud
):
    # Guards against two reports of a window with different counts.
    ask(serving, 'front-0')
    fleets.wait_for(lambda: cloud.calls, 'no controller is in charge')
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
    assert ask(serving, 'front-0') == 200


def followed(fleet, name):
    """Return the address of the controller that a gateway follows."""
    return fleet.dump(name)['follower']['controller']


def wait_follows(fleet, name, controller, *, wait_s=5):
    """Wait until a gateway follows ``controller``."""
    address = f'{fleet.machines[controller].ip}:{fleets.PEER_PORTS[0]}'
    fleets.wait_for(
        lambda: followed(fleet, name) == address,
        f'{name} did not follow {controller}',
        wait_s=wait_s,
    )
    return address


def test_a_gateway_follows_the_controller_of_its_domain(serving):
    # One controller served all gateways while the others idled. The second
    # domain has one controller.
    wait_follows(serving, 'front-1', 'core-1')


def test_usage_stays_exact_while_a_gateway_changes_its_controller(
    reporting_later, cloud
):
    # A frozen controller holds counts that it has not passed on; the gateway
    # reports them to another one meanwhile. The frozen one may be in charge.
    serving = reporting_later
    frozen = wait_follows(serving, 'front-1', 'core-1')
    sent = sum(ask(serving, 'front-1') == 200 for _ in range(10))
    serving.signal('core-1', signal.SIGSTOP)
    sent += sum(ask(serving, 'front-1') == 200 for _ in range(10))
    fleets.wait_for(
        lambda: followed(serving, 'front-1') != frozen,
        'the frozen controller was not left',
        wait_s=2,
    )
    sent += sum(ask(serving, 'front-1') == 200 for _ in range(10))
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
    # Guards against an emptied replica that votes as if it had voted before.
    serving.put(changed(20))
    serving.kill('core-0')
    serving.wipe('core-0')
    serving.start('core-0')
    serving.wait_counts_again('core-0')
    serving.kill('core-1')
    assert read_version(serving, 'core-2') == 20
    assert read_version(serving, 'core-0') == 20


def test_a_read_without_a_majority_is_refused(serving):
    serving.kill('core-1')
    serving.kill('core-2')
    status, _body = serving.call(
        'core-0', 'GET', '/api/configuration', timeout_s=5
    )
    assert status == 503
    assert ask(serving, 'front-0') == 200


def test_all_processes_killed_come_back_with_the_configuration(serving):
    serving.put(changed(30))
    for name in serving.machines:
        serving.kill(name)
    for name in serving.machines:
        serving.start(name)
    fleets.wait_for(
        lambda: read_version(serving, 'core-1') == 30,
        'the acknowledged version is gone',
    )
    serving.wait_ready('front-0')
    assert ask(serving, 'front-0') == 200


def test_a_planned_stop_cuts_no_request(serving, origin):
    origin.script = lambda req, sock: [0.5, fakes.whole(req)]
    asking = gevent.spawn(ask, serving, 'front-0')
    while not origin.requests:
        gevent.sleep(0.01)
    serving.signal('front-0', signal.SIGTERM)
    assert asking.get(timeout=5) == 200
    fleets.wait_for(
        lambda: serving.call('front-0', 'GET', '/api/readiness')[0] != 200,
        'a stopping gateway still counts as ready',
        wait_s=1,
    )
    assert serving.machines['front-0'].process.wait(timeout=9) == 0


def is_loading(process):
    """Whether a process has begun to load its libraries."""
    return 'gevent' in pathlib.Path(f'/proc/{process.pid}/maps').read_text()


@pytest.mark.parametrize('role', ['gateway', 'controller'])
@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM])
def test_signals_during_the_start_are_heeded(serving, role, number):
    # By default both end a process that is still being loaded; a reload
    # must not, and a stop must end it without a failure. Found by the soak
    # (seeds 1572442404 and 1268783226).
    name = serving.names(role)[0]
    serving.kill(name)
    serving.start(name)
    process = serving.machines[name].process
    fleets.wait_for(lambda: is_loading(process), 'not loading')
    serving.signal(name, number)
    if number == signal.SIGTERM:
        assert process.wait(timeout=9) == 0
        return
    if role == 'gateway':
        serving.wait_ready(name)
    else:
        fleets.wait_for(
            lambda: read_version(serving, name) == 3, 'not serving'
        )
    assert process.poll() is None


def reported_signals(fleet, name):
    """Return the signals that the process of a machine logged, in order."""
    process = fleet.machines[name].process
    lines = (fleet.machines[name].folder / 'log').read_text().splitlines()
    found = [json.loads(line) for line in lines if '"event": 1004' in line]
    return [item['signal'] for item in found if item['pid'] == process.pid]


@pytest.mark.parametrize('role', ['gateway', 'controller'])
@pytest.mark.parametrize('is_new', [False, True])
def test_each_signal_of_a_series_is_reported(serving, role, is_new):
    # A stop left no line until it began, and none while a program was loaded.
    name = serving.names(role)[0]
    process = serving.machines[name].process
    if is_new:
        serving.kill(name)
        serving.start(name)
        process = serving.machines[name].process
        fleets.wait_for(lambda: is_loading(process), 'not loading')
    series = [signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP]
    for number in series[:2] if is_new else series:
        serving.signal(name, number)
        gevent.sleep(0.1)
    if is_new:
        serving.signal(name, signal.SIGTERM)
    assert process.wait(timeout=9) == 0
    wanted = ['SIGHUP', 'SIGHUP', 'SIGTERM']
    assert reported_signals(serving, name)[:3] == wanted


def test_sighup_leaves_requests_alone(serving, origin):
    origin.script = lambda req, sock: [0.3, fakes.whole(req)]
    asking = gevent.spawn(ask, serving, 'front-0')
    gevent.sleep(0.1)
    for name in serving.machines:
        serving.signal(name, signal.SIGHUP)
    assert asking.get(timeout=5) == 200
    assert all(
        item.process.poll() is None for item in serving.machines.values()
    )
