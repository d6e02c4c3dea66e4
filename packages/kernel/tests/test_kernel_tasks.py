"""Tests of work in threads."""

import errno
import sys

import gevent
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
