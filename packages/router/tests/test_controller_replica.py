"""Tests of how a controller opens its replica."""

import errno
import types

import paddle_coord as coord
import paddle_kernel as kernel
import pytest

from paddle_router.controller import _controller


@pytest.fixture
def controller(tmp_path):
    """A controller with what it needs to open its replica."""
    built = object.__new__(_controller.Controller)
    built.settings = types.SimpleNamespace(
        data_dir=tmp_path,
        peer='a:1',
        seeds=('a:1',),
        first_start=True,
        tolerated_losses=1,
    )
    built.replica = built.forming = None
    built.clock = kernel.FakeClock()
    network = kernel.MemoryNetwork()
    built.transport = network.transport('a:1')
    built.register = coord.Proposer(
        built.transport, ('a:1',), built.clock, 'p'
    )
    network.serve('a:1', lambda message: built.replica.handle(message))
    yield built
    built.replica.stop()


def test_a_failed_write_of_the_permit_does_not_end_the_membership(
    controller, monkeypatch
):
    # Guards against a controller that never joins a set because its disk was
    # full when it had opened its replica.
    def fail(*_args, **_fields):
        raise OSError(errno.ENOSPC, 'No space left on device')

    with monkeypatch.context() as patch:
        patch.setattr(coord.SelfForming, 'open', fail)
        controller._keep_membership()
    controller._keep_membership()
    assert controller.replica.voting
