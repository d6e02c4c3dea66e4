"""Selection of gevent's event loop.

gevent also ships a loop based on io_uring, which the platform forbids. The
loop is therefore set to libev with epoll before gevent is first used.
"""

import os

import gevent

from paddle_kernel import _clock

LOOP_VARIABLE = 'GEVENT_LOOP'
LOOP_NAME = 'libev-cext'
BACKEND_NAME = 'epoll'
# Time after which a greenlet that never blocks lets the event loop run. Other
# requests wait for this long at each of their steps.
MAX_RUN_MS = 5
# A pause of 0 s would only run greenlets that are ready, some dozen times,
# before the loop polls its sockets again.
POLL_PAUSE_S = 1e-6


class WrongLoopError(RuntimeError):
    """gevent does not use libev with epoll."""


def pin():
    """Select the loop; must be called before gevent creates its hub."""
    os.environ.setdefault(LOOP_VARIABLE, LOOP_NAME)
    gevent.config.loop = LOOP_NAME
    gevent.config.libev_backend = BACKEND_NAME


def check():
    """Verify the loop in use.

    :raises WrongLoopError: if it is not libev with epoll.
    """
    loop = gevent.get_hub().loop
    module = type(loop).__module__
    backend = getattr(loop, 'backend', None)
    if 'libev' not in module or backend != BACKEND_NAME:
        raise WrongLoopError(
            f'event loop is {module} with backend {backend}; set '
            f'{LOOP_VARIABLE}={LOOP_NAME} and remove other gevent settings'
        )


def state():
    """Return the loop and backend in use, for logs and the state dump."""
    loop = gevent.get_hub().loop
    return f'{type(loop).__module__}/{getattr(loop, "backend", None)}'


class _RunWatch:
    """Measures how long greenlets have run since the event loop polled."""

    def __init__(self, clock):
        self._clock = clock
        self._iteration = None
        self._since_ms = None

    def yield_if_due(self):
        iteration = gevent.get_hub().loop.iteration
        if iteration != self._iteration:
            self._iteration, self._since_ms = iteration, None
            return
        now_ms = self._clock.now_ms()
        if self._since_ms is None:
            self._since_ms = now_ms
        elif now_ms - self._since_ms >= MAX_RUN_MS:
            gevent.sleep(POLL_PAUSE_S)


_run_watch = _RunWatch(_clock.SystemClock())


def yield_if_due():
    """Let other greenlets run if the event loop has not polled for a while.

    gevent switches only where an operation would block. Each loop over data
    from a peer calls this at every step, because it never blocks while the
    peer sends as fast as the loop reads: no other greenlet would run, and no
    timeout would be raised.
    """
    _run_watch.yield_if_due()


# Runs on import, so that importing the package selects the loop.
pin()
