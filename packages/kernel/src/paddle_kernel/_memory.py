"""In-memory transport with injectable faults, for tests and simulations."""

import collections

import attrs
import gevent
import returns.result

from paddle_kernel import _transport

DELIVER = 'deliver'
DROP = 'drop'
LOSE_ANSWER = 'lose_answer'
DUPLICATE = 'duplicate'
DELAY = 'delay'


@attrs.frozen
class Step:
    """One call; ``index`` counts the calls in the order of sending."""

    index: int
    source: str
    target: str
    message: object


class MemoryNetwork:
    """Connects handlers by address and applies faults to calls.

    ``on_call`` gets the :class:`Step` of each call and returns one of the
    action constants of this module. A delayed message is delivered by
    :meth:`release`; its caller gets a timeout.
    """

    def __init__(self):
        self.on_call = lambda step: DELIVER
        self.steps = []
        self._handlers = {}
        self._cut_links = set()
        self._delayed = collections.deque()

    def serve(self, address, handler):
        """Answer calls to ``address`` with ``handler(message)``."""
        self._handlers[address] = handler

    def stop(self, address):
        """Make ``address`` refuse connections."""
        self._handlers.pop(address, None)

    def cut(self, source, target):
        """Drop all messages and answers from ``source`` to ``target``."""
        self._cut_links.add((source, target))

    def heal(self):
        """Remove all cuts."""
        self._cut_links.clear()

    def transport(self, source):
        """Return the transport of the process at ``source``."""
        return _MemoryTransport(self, source)

    def release(self):
        """Deliver all delayed messages, newest first."""
        while self._delayed:
            step = self._delayed.pop()
            handler = self._handlers.get(step.target)
            if handler is not None:
                handler(step.message)

    def call(self, source, target, message):
        """Return the result of one call, as :class:`Transport` does."""
        gevent.sleep(0)
        step = Step(len(self.steps), source, target, message)
        self.steps.append(step)
        action = self.on_call(step)
        if target not in self._handlers:
            return _failure('refused', target)
        if action == DROP or (source, target) in self._cut_links:
            return _failure('timeout', target)
        if action == DELAY:
            self._delayed.append(step)
            return _failure('timeout', target)
        answer = self._handlers[target](message)
        if action == DUPLICATE and target in self._handlers:
            self._handlers[target](message)
        if action == LOSE_ANSWER or (target, source) in self._cut_links:
            return _failure('timeout', target)
        if answer is None:
            return _failure('timeout', target)
        return returns.result.Success(answer)


def _failure(kind, address):
    return returns.result.Failure(_transport.CallError(kind, address))


class _MemoryTransport:
    def __init__(self, network, source):
        self._network = network
        self._source = source

    def call(self, address, message, timeout_ms):
        return self._network.call(self._source, address, message)

    def close(self):
        """Do nothing; there are no connections."""
