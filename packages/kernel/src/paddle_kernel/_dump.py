"""Dump of the state of a process as JSON."""

import json
import os
import signal

import gevent
import gevent.signal


class StateDump:
    """Collects the state of the components of a process.

    Each component registers a function that returns plain JSON data, which
    must not include keys, tokens and bodies.
    """

    def __init__(self):
        self._parts = {}

    def register(self, name, function):
        """Add the component ``name``."""
        self._parts[name] = function

    def collect(self):
        """Return the state of all components as one dict."""
        state = {'process': process_state()}
        for name, function in self._parts.items():
            state[name] = function()
        return state

    def write(self, file_path):
        """Write the state as JSON to ``file_path``."""
        text = json.dumps(self.collect(), indent=2, default=str)
        with open(file_path, 'w') as out:
            out.write(text + '\n')

    def write_on_signal(self, file_path, number=signal.SIGUSR1):
        """Write the state to ``file_path`` on each signal ``number``."""
        gevent.signal.signal(
            number, lambda *_: gevent.spawn(self.write, file_path)
        )


def process_state():
    """Return process id, event loop and memory use."""
    loop = gevent.get_hub().loop
    return {
        'pid': os.getpid(),
        'loop': type(loop).__module__,
        'backend': getattr(loop, 'backend', None),
        'resident_kb': resident_kb(),
    }


def resident_kb():
    """Return the resident memory of this process in KiB (Linux)."""
    with open('/proc/self/status') as status:
        for line in status:
            if line.startswith('VmRSS:'):
                return int(line.split()[1])
    return 0
