"""Demonstration: serve requests through three daemons and stop them.

Fakes of two model engines, a booking service and the platform run in this
process; the daemons and the operator's command are processes of their own.
"""

import json
import pathlib
import sys
import tempfile
import time

import gevent.subprocess
import geventhttpclient

from paddle_testbed import cluster
from paddle_testbed import fakes

DOMAINS = ('domain-a', 'domain-b', 'domain-c')
HTTP_TIMEOUT_S = 10
REVOKE_TIMEOUT_S = 10
BOOKING = {'slot': 'Friday 09:00', 'carousel': 12}


class DemoError(RuntimeError):
    """A step did not have the expected result."""


class StepPrinter:
    """Prints the description of each step with the time since the start."""

    def __init__(self):
        self._start = time.monotonic()

    def __call__(self, text):
        print(f'{time.monotonic() - self._start:6.2f} s  {text}', flush=True)


def expect(condition, expected):
    """Raise :class:`DemoError` unless ``condition`` holds."""
    if not condition:
        raise DemoError(f'expected: {expected}')


class Caller:
    """A caller that uses one key."""

    def __init__(self, key):
        self._key = key

    def post(self, address, path, body, **headers):
        """Return ``(response, bytes)`` of a POST request."""
        client = geventhttpclient.HTTPClient.from_url(
            f'http://{address}', network_timeout=HTTP_TIMEOUT_S
        )
        all_headers = {
            'Authorization': f'Bearer {self._key}',
            'Content-Type': 'application/json',
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        response = client.post(path, json.dumps(body), headers=all_headers)
        return response, bytes(response.read())

    def chat(self, address, *, request_class):
        """Stream one answer; return ``(status, text or error)``."""
        body = {
            'model': 'small',
            'stream': True,
            'messages': [{'role': 'user', 'content': 'Where is my box?'}],
            'max_tokens': 12,
        }
        response, data = self.post(
            address, '/v1/chat/completions', body, Paddle_Class=request_class
        )
        return response.status_code, data.decode()


def stream_text(data):
    """Return the text of a server-sent event stream."""
    words = []
    for line in data.splitlines():
        if line.startswith('data: {'):
            delta = json.loads(line[6:])['choices'][0]['delta']
            words.append(delta.get('content', ''))
    return ''.join(words)


class Demo:
    """The demonstration; :meth:`run` runs its steps in order."""

    def __init__(self, folder):
        self._print_step = StepPrinter()
        self._engines = [
            fakes.FakeEngine(fakes.EngineOptions(seed=7)) for _ in range(2)
        ]
        self._service = fakes.FakeService()
        self._platform = fakes.FakePlatform()
        self._folder = folder
        self._cluster = None

    def run(self):
        """Run all steps; kill all remaining processes at the end."""
        try:
            self._start()
            key, digest = self._configure()
            caller = Caller(key)
            self._chat(caller)
            self._book(caller)
            self._switch_preset(caller)
            self._revoke(caller, digest)
            self._stop()
        finally:
            if self._cluster is not None:
                self._cluster.close()

    def ctl(self, *arguments):
        """Run the operator's command and return its decoded output."""
        command = [
            sys.executable,
            '-m',
            'paddle_ctl.command',
            f'--ctl_settings={self._cluster.ctl_path}',
            '--json',
            *arguments,
        ]
        result = gevent.subprocess.run(command, capture_output=True, text=True)
        line = ' '.join(arguments)
        expect(result.returncode == 0, f'{line}: {result.stderr}')
        return json.loads(result.stdout)

    def _start(self):
        for fake in (*self._engines, self._service, self._platform):
            fake.start()
        for index, engine in enumerate(self._engines):
            self._platform.add(
                f'engine-{index}',
                engine.address,
                models=['small'],
                failure_domain=DOMAINS[index],
            )
        self._platform.add(
            'desk-0',
            self._service.address,
            kind='service',
            service='desk',
            failure_domain=DOMAINS[2],
        )
        self._print_step('started fakes: 2 model engines, 1 service, platform')
        self._cluster = cluster.Cluster(
            self._folder,
            self._platform.address,
            daemons=3,
            disks=3,
            domains=DOMAINS,
        )
        self._cluster.write_settings()
        self._cluster.start_all()
        peers = ','.join(spec.peer for spec in self._cluster.specs)
        self.ctl('replica', 'form', peers)
        self._cluster.wait_ready()
        self._print_step(
            'started 3 daemons in 3 failure domains, replicas formed'
        )

    def _configure(self):
        self.ctl('customer', 'put', 'club')
        self.ctl(
            'class',
            'put',
            'chat',
            'tier=1',
            'first_token_target_ms=1400',
            'inter_token_target_ms=53',
        )
        self.ctl('class', 'put', 'tagging', 'tier=2')
        self.ctl(
            'route',
            'put',
            'bookings',
            'path_prefix=/bookings',
            'method=POST',
            'kind=service',
            'service=desk',
            'idempotent=false',
        )
        issued = self.ctl('key', 'issue', 'club')
        self._print_step(
            'created customer, key, classes chat and tagging, route'
        )
        return issued['key'], issued['digest']

    def _chat(self, caller):
        first = self._cluster.specs[0].listen
        last_answer = None

        def is_served():
            nonlocal last_answer
            last_answer = caller.chat(first, request_class='chat')
            return last_answer[0] == 200

        cluster.wait_until(is_served, REVOKE_TIMEOUT_S, 'd0 to accept the key')
        expect(
            last_answer[1].rstrip().endswith('data: [DONE]'),
            'a complete stream',
        )
        self._print_step(
            f'chat answer through d0: {stream_text(last_answer[1])[:40]}...'
        )

    def _book(self, caller):
        first, second, _ = self._cluster.specs
        answers = [
            caller.post(
                spec.listen, '/bookings', BOOKING, Idempotency_Key='b-1'
            )
            for spec in (first, second)
        ]
        codes = [response.status_code for response, _ in answers]
        expect(codes == [201, 201], f'201 from both daemons, got {answers}')
        expect(
            answers[0][1] == answers[1][1], 'the same answer from both daemons'
        )
        expect(len(self._service.bookings) == 1, 'one booking')
        self._print_step('booked through d0, sent again through d1: ran once')

    def _switch_preset(self, caller):
        self.ctl('preset', 'switch', 'peak')
        status, _ = caller.chat(
            self._cluster.specs[2].listen, request_class='chat'
        )
        expect(status == 200, 'service under the new preset')
        self._print_step('switched preset to peak')

    def _revoke(self, caller, digest):
        self.ctl('key', 'revoke', digest)
        begin = time.monotonic()
        for spec in self._cluster.specs:
            cluster.wait_until(
                lambda: (
                    caller.chat(spec.listen, request_class='chat')[0] == 401
                ),
                REVOKE_TIMEOUT_S,
                f'the key to be refused at {spec.name}',
            )
        waited_ms = (time.monotonic() - begin) * 1_000
        _, body = caller.chat(
            self._cluster.specs[0].listen, request_class='chat'
        )
        self._print_step(
            f'revoked the key; refused everywhere after '
            f'{waited_ms:.0f} ms: {body}'
        )

    def _stop(self):
        codes = [self._cluster.stop(spec) for spec in self._cluster.specs]
        expect(codes == [0, 0, 0], f'exit codes 0, got {codes}')
        self._print_step('stopped all daemons gracefully')


def main():
    """Run the demonstration and return the exit code."""
    with tempfile.TemporaryDirectory(prefix='paddle-demo-') as folder:
        try:
            Demo(folder).run()
        except (DemoError, cluster.StartError) as exc:
            print(f'failed: {exc}', file=sys.stderr)
            for path in sorted(pathlib.Path(folder).glob('*.log')):
                print(f'--- {path.name}', file=sys.stderr)
                print(path.read_text()[-3000:], file=sys.stderr)
            return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
