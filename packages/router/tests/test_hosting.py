"""In-memory register of a daemon without replicas."""

import errno
import types

import paddle_coord as coord
import paddle_kernel as kernel
from paddle_router import _hosting


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
