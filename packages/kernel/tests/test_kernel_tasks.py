"""Tests of work in threads."""

import errno
import sys
import time

import gevent
import gevent.socket
import paddle_kernel as kernel
import pytest


class FullStream:
    """Stream to a file on a full disk."""

    def write(self, _text):
        raise OSError(errno.ENOSPC, 'No space left on device')

    def flush(self):
        self.write('')


def test_an_error_in_a_thread_reaches_the_caller_if_stderr_is_full(
    monkeypatch,
):
    # Guards against a caller that waits for ever, because the pool failed to
    # print the traceback.
    def fail():
        raise OSError(errno.EIO, 'failed')

    monkeypatch.setattr(sys, 'stderr', FullStream())
    with gevent.Timeout(2), pytest.raises(OSError, match='failed'):
        kernel.run_in_thread(fail)


def test_a_loop_that_never_blocks_lets_timers_and_sockets_run():
    # Guards against a greenlet that always finds data to process: nothing
    # else runs, and its own timeout is never raised.
    reader, writer = gevent.socket.socketpair()
    received = gevent.spawn(reader.recv, 1)
    gevent.sleep(0)
    writer.send(b'x')
    end_s = time.monotonic() + 2
    with pytest.raises(gevent.Timeout), gevent.Timeout(0.1):
        while time.monotonic() < end_s:
            kernel.yield_if_due()
    assert received.ready()
    reader.close()
    writer.close()
