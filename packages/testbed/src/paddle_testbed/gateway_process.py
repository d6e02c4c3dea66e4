"""A gateway and a server of large answers as processes of their own.

The memory of the gateway can be read, and the server does not take time from
the callers of the test.
"""

import json
import os
import pathlib
import subprocess
import sys

import gevent

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

MODULE = 'paddle_testbed.gateway_process'
# They end by themselves, should a test be killed.
LIFETIME_S = 60
KB_PER_MB = 1_000
ANSWER_BYTES = 4_000_000
PIECE = bytes(50_000)
PIECES = ANSWER_BYTES // len(PIECE)


class Process:
    """A process that serves at ``address``."""

    def __init__(self, command, *arguments):
        self._process = subprocess.Popen(
            [sys.executable, '-m', MODULE, command, json.dumps(arguments)],
            env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        self.address = self._process.stdout.readline().decode().strip()

    def memory_mb(self, name):
        """Return ``VmRSS`` or ``VmHWM`` of the process."""
        status = pathlib.Path(f'/proc/{self._process.pid}/status').read_text()
        return int(status.split(f'{name}:')[1].split()[0]) / KB_PER_MB

    def stop(self):
        """End the process."""
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()


def _serve_gateway(config, addresses, settings):
    """Serve before one server for each service of ``addresses``."""
    harness = gateway_harness.GatewayHarness(**settings)
    harness.controllers.config = config
    harness.controllers.servers = tuple(
        gateway_harness.listed_server(
            f'i-{service}', service, address, slots=1_000
        )
        for service, address in addresses.items()
    )
    harness.follower.step()
    harness.gateway.entry.start()
    harness.limit_send_buffers()
    return harness.gateway.entry.address


def _serve_answers():
    """Serve answers of 4 MB, streams below ``/events/``."""
    return fakes.FakeOrigin(_answer).address


def _answer(req, _sock):
    if b'/events/' in req.line:
        yield fakes.stream_head(req)
        for number in range(PIECES):
            yield fakes.event(number, PIECE)
        yield fakes.STREAM_END
        return
    head = fakes.response(req).partition(b'\r\nContent-Length')[0]
    yield head + b'\r\nContent-Length: %d\r\n\r\n' % ANSWER_BYTES
    for _ in range(PIECES):
        yield PIECE


_COMMANDS = {'gateway': _serve_gateway, 'answers': _serve_answers}

if __name__ == '__main__':
    print(_COMMANDS[sys.argv[1]](*json.loads(sys.argv[2])), flush=True)
    gevent.sleep(LIFETIME_S)
