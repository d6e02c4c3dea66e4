"""Tasks: greenlets that own their state and receive messages."""

import gevent
import gevent.queue

_STOP = object()


class Task:
    """A greenlet with an inbox; subclasses implement ``handle``.

    Only the task's own greenlet touches its sockets and state; others reach
    it through :meth:`send`.
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

    The function must handle its own expected errors; an unexpected one is
    passed to ``on_error`` and the next tick still happens.
    """

    def __init__(self, function, *, period_ms, clock, on_error):
        self._function = function
        self._period_ms = period_ms
        self._clock = clock
        self._on_error = on_error
        self._greenlet = None

    def start(self):
        """Start ticking; the first call happens at once."""
        self._greenlet = gevent.spawn(self._run)
        return self

    def stop(self):
        """End the greenlet at its next switch."""
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
    """Run ``function`` in a thread of the hub and return its result.

    Other greenlets go on meanwhile; for work that blocks or takes long.
    """
    return gevent.get_hub().threadpool.apply(function, args)
