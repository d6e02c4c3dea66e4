"""The replica of a daemon, and the register of one without replicas."""

import errno
import time
import types

import gevent
import paddle_coord as coord
import paddle_kernel as kernel
from paddle_router import _hosting

HANG_S = 0.5


def test_conditional_delete_keeps_a_key_in_use():
    # Guards against garbage collection of a claim that was taken again.
    register = _hosting.LocalRegister()
    register.change('k', lambda value: b'new')
    kept = register.delete('k', lambda value: coord.Reject('in use'))
    assert not kept.unwrap()
    assert register.read('k').unwrap() == b'new'
    assert register.delete('k').unwrap()
    assert register.read('k').unwrap() is None


def test_a_replica_that_could_not_be_opened_is_opened_later(
    tmp_path, monkeypatch
):
    # Guards against a daemon that never votes because its disk was full when
    # it started.
    settings = types.SimpleNamespace(data_dir=tmp_path, peer='127.0.0.1:0')
    host = _hosting.ReplicaHost(settings, kernel.SystemClock())

    def fail(*_args):
        raise OSError(errno.ENOSPC, 'No space left on device')

    with monkeypatch.context() as patch:
        patch.setattr(coord.Replica, 'open', fail)
        host.start()
        host.open_replica()
    assert host.replica is None
    host.open_replica()
    assert host.replica is not None
    host.stop()


def test_a_hanging_disk_does_not_stop_the_event_loop_at_each_retry(
    tmp_path, monkeypatch
):
    # Guards against a daemon that serves nothing while it retries to open its
    # replica: a faulty disk hangs for seconds.
    settings = types.SimpleNamespace(data_dir=tmp_path, peer='127.0.0.1:0')
    host = _hosting.ReplicaHost(settings, kernel.SystemClock())

    def hang(*_args):
        time.sleep(HANG_S)
        raise OSError(errno.ENOSPC, 'No space left on device')

    longest_s = 0

    def tick():
        nonlocal longest_s
        while True:
            began_s = time.monotonic()
            gevent.sleep(0.01)
            longest_s = max(longest_s, time.monotonic() - began_s)

    monkeypatch.setattr(coord.Replica, 'open', hang)
    ticker = gevent.spawn(tick)
    gevent.sleep(0)
    gevent.spawn(host.open_replica).join()
    gevent.sleep(0.02)
    ticker.kill()
    assert longest_s < HANG_S / 2
