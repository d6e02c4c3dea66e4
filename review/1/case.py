"""A core machine is replaced as planned; later another one loses its disk."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins  # noqa: E402

# catchUpS of the settings is 4; the system gets half as much again.
CATCH_UP_S = 6
# The time for the system to recover before the configuration is read back.
RECOVER_S = 30
# The operator reads back for at least contactMs.
READ_BACK_S = 8
# The time in which a gateway that starts should become ready.
RESTART_S = 10
ROUTES = [standins.route('book', 'desk', 'unsafe', 800)]


def configuration(version):
    return standins.config(version, ROUTES, ['desk'])


def run_booking(server, req, sock):
    server.ran(req)
    standins.respond(sock, req, b'booked ' + req.id.encode())
    return True


def case(record, trouble):
    cloud = standins.Cloud(record)
    cloud.servers = [standins.Server('i-desk', 'desk', record, run_booking)]
    fleet = standins.Fleet(cloud, record, controllers=3, gateways=1)
    try:
        fleet.start(configuration(10))
        time.sleep(CATCH_UP_S)
        # Planned: the successor first, then SIGTERM for good.
        fleet.add_controller('core-3').start()
        record('core-3 started at a new address with an empty disk')
        time.sleep(CATCH_UP_S)
        code = fleet.machines['core-2'].stop(8)
        del fleet.machines['core-2']
        record(f'core-2 stopped for good, exit code {code}')
        time.sleep(CATCH_UP_S)
        fleet.put_until_acknowledged(configuration(20))
        if trouble:
            fleet.machines['core-1'].lose_disk()
            record('core-1 killed, its disk is lost')
            time.sleep(1)
            fleet.list_seeds(fleet.machines['core-1'])
            fleet.machines['core-1'].start()
            record('core-1 started at its old address with an empty disk')
        time.sleep(RECOVER_S)
        return read_back(fleet, record)
    finally:
        fleet.close()


def read_back(fleet, record):
    """Read the configuration at every machine, and change it."""
    versions, statuses = set(), set()
    end = time.monotonic() + READ_BACK_S
    while time.monotonic() < end:
        for name in fleet.names('core'):
            running = fleet.machines[name].process.poll() is None
            record(f'sent read to {name}')
            status, document = fleet.get(name)
            version = document['version'] if document else None
            record(f'answered read by {name} running={running} status={status} '
                   f'version={version}')
            statuses.add(status)
            if document:
                versions.add(version)
        time.sleep(0.3)
    put = [fleet.put(name, configuration(30)) for name in fleet.names('core')]
    record(f'put version 30: statuses {put}')
    standins.call(fleet.front(0), 'book-1', '/book/x', record=record)
    front = fleet.machines['front-0']
    record(f'gateway stopped as planned, exit code {front.stop(8)}')
    front.start()
    time.sleep(RESTART_S)
    ready = fleet.is_ready('front-0')
    record(f'gateway started again; ready after {RESTART_S} s: {ready}')
    print(f'read back: versions {versions or "none"}, statuses {statuses}; '
          f'put of a new version: {put}; restarted gateway ready: {ready}')
    if 20 not in versions:
        return [
            'CONFIG/LOST: acknowledged version 20 was not read back at any '
            f'machine within {READ_BACK_S} s, {RECOVER_S} s after all were '
            'back'
        ]
    return []


standins.main(HERE, case)
