"""Fault tests with real processes: signals, lost disks and restarts."""

import shutil
import signal

import gevent

from paddle_testbed import cluster

WAIT_S = 15
KEPT = 'rp-kept'


def test_booking_of_a_killed_daemon_does_not_run_again_elsewhere(system):
    # Guards against a second booking when a daemon is killed before it has
    # answered and the caller retries through another daemon.
    system.service.delay_ms = 2_000
    first = gevent.spawn(system.book, 0, 'b-1')
    cluster.wait_until(
        lambda: system.service.bookings, WAIT_S, 'the booking to run'
    )
    system.cluster.kill(system.daemons[0])
    first.join(WAIT_S)
    status, body = system.book(1, 'b-1')
    assert status == 409
    assert body['error']['outcome'] == 'unknown'
    assert len(system.service.bookings) == 1


def test_configuration_survives_a_restart_of_all_daemons_at_once(system):
    # Guards against accepted changes that were not synced to disk, and
    # against a daemon that serves an older version after its restart.
    version = system.change('switch_preset', name='peak')
    for spec in system.daemons:
        system.cluster.kill(spec)
    system.cluster.start_all()
    system.cluster.wait_ready()
    for index in range(3):
        system.wait_served(index)
        _, status = system.call_operator(index, '/status')
        assert status['config_version'] >= version
        assert status['active_preset'] == 'peak'


def test_daemon_without_a_majority_refuses_as_not_run_and_recovers(system):
    # Guards against serving with a configuration that no majority of the
    # replicas has confirmed recently.
    frozen = [system.cluster.processes[name] for name in ('d1', 'd2')]
    for process in frozen:
        process.send_signal(signal.SIGSTOP)
    cluster.wait_until(
        lambda: system.chat(0)[0] == 503, WAIT_S, 'requests to be refused'
    )
    status, body = system.chat(0)
    for process in frozen:
        process.send_signal(signal.SIGCONT)
    assert status == 503
    assert body['error']['outcome'] == 'not_run'
    for index in range(3):
        system.wait_served(index)


def test_replaced_disk_and_a_second_failure_lose_nothing(system):
    # Guards against an empty replica that is counted with the data of the old
    # one, and against a repair that leaves a value on too few replicas.
    version = system.change('put_customer', name='second')
    replaced = system.daemons[0]
    system.cluster.kill(replaced)
    shutil.rmtree(system.cluster.folder / 'd0.data')
    system.cluster.start(replaced)
    system.cluster.wait_listening(replaced.operator)
    peers = [spec.peer for spec in system.daemons]
    status, body = system.call_operator(
        1, '/replicas/replace', {'old': peers, 'new': peers}
    )
    assert status == 200, body
    system.cluster.kill(system.daemons[1])
    system.wait_served(0)
    _, body = system.call_operator(0, '/config')
    assert body['version'] >= version
    system.wait_served(2)
