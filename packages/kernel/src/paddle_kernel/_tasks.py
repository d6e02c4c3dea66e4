"""Actors, periodic tasks and work in threads, based on greenlets."""

import gevent
import gevent.queue

_STOP = object()


class Task:
    """An actor: a greenlet with an inbox; subclasses implement ``handle``.

    Only the task's own greenlet uses its sockets and state; other greenlets
    communicate with it through :meth:`send`.
    """

    def __init__(self):
        self._inbox = gevent.queue.Queue()
        self._greenlet = None

    def start(self):
        """Start handling messages."""
        self._greenlet = gevent.spawn(self._run)
        return self

    def send(self, message):
        """Put ``message`` into the inbox without waiting."""
        self._inbox.put(message)

    def stop(self, timeout_s=None):
        """Handle the messages already in the inbox, then end."""
        self._inbox.put(_STOP)
        if self._greenlet is not None:
            self._greenlet.join(timeout_s)

    def handle(self, message):
        """Process one message; implemented by subclasses."""
        raise NotImplementedError

    def _run(self):
        for message in self._inbox:
            if message is _STOP:
                return
            self.handle(message)


class Ticker:
    """Calls a function periodically in its own greenlet.

    The function must handle the errors it expects; any other exception is
    passed to ``on_error``, and the next call takes place as usual.
    """

    def __init__(self, function, *, period_ms, clock, on_error):
        self._function = function
        self._period_ms = period_ms
        self._clock = clock
        self._on_error = on_error
        self._greenlet = None

    def start(self):
        """Start the greenlet; the first call takes place at once."""
        self._greenlet = gevent.spawn(self._run)
        return self

    def stop(self):
        """Kill the greenlet, which ends when it next switches."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self):
        while True:
            try:
                self._function()
            except Exception as exc:
                self._on_error(exc)
            self._clock.sleep_ms(self._period_ms)


def run_in_thread(function, *args):
    """Run ``function`` in gevent's thread pool and return its result.

    Other greenlets run meanwhile. Use it for work that blocks or takes long.
    An exception is raised in the caller only; the pool by itself would also
    write its traceback to stderr.
    """
    result, exc = gevent.get_hub().threadpool.apply(_capture, (function, args))
    if exc is not None:
        raise exc
    return result


def _capture(function, args):
    """Return the result of ``function`` or the exception that it raised."""
    try:
        return function(*args), None
    except Exception as exc:
        return None, exc
