"""Selection of gevent's event loop.

gevent also ships a loop based on io_uring, which the platform forbids. The
loop is therefore set to libev with epoll before gevent is first used.
"""

import os

import gevent

LOOP_VARIABLE = 'GEVENT_LOOP'
LOOP_NAME = 'libev-cext'
BACKEND_NAME = 'epoll'


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


# Runs on import, so that importing the package selects the loop.
pin()
