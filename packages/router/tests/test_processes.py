"""Tests of daemon processes: rolling restart under load, exit codes."""

import hashlib
import json
import subprocess
import sys

import gevent
import pytest

from paddle_testbed import cluster
from paddle_testbed import fakes

KEY = 'process-test-key'
DAEMON_COUNT = 3


class System:
    """Three daemons with replicas, two fake engines and a fake platform."""

    def __init__(self, folder, request):
        self._request = request
        self.engines = [
            fakes.FakeEngine(
                fakes.EngineOptions(slots=64, inter_token_ms=5.0)
            ).start()
            for _ in range(2)
        ]
        self.platform = fakes.FakePlatform(list_lag_ms=0).start()
        for index, engine in enumerate(self.engines):
            self.platform.add(
                f'engine-{index}', engine.address, models=['small'], slots=64
            )
        self.cluster = cluster.Cluster(
            folder,
            self.platform.address,
            daemons=DAEMON_COUNT,
            disks=DAEMON_COUNT,
            domains=('a', 'b', 'c'),
        )

    def start(self):
        self.cluster.write_settings()
        self.cluster.start_all()
        peers = [spec.peer for spec in self.cluster.specs]
        self.post('/replicas/form', {'addresses': peers})
        self.cluster.wait_ready()
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        self.change(0, 'put_customer', name='acme')
        self.change(1, 'issue_key', digest=digest, customer='acme')
        # A daemon accepts a new key once it has read the configuration log.
        for spec in self.cluster.specs:
            cluster.wait_until(
                lambda: self.send_chat(spec).status == 200, 5, 'the key'
            )

    def post(self, path, body):
        address = self.cluster.specs[0].operator
        reply = self._request(
            address, 'POST', path, key=self.cluster.token, body=body
        )
        assert reply.status == 200, reply.body

    def change(self, version, op, **args):
        change = {
            'id': f'change-{version}',
            'expected_version': version,
            'op': op,
            'args': args,
        }
        self.post('/changes', change)

    def send_chat(self, spec):
        body = {
            'model': 'small',
            'messages': [{'role': 'user', 'content': 'hello'}],
            'stream': True,
            'max_tokens': 20,
        }
        return self._request(
            spec.listen, 'POST', '/v1/chat/completions', key=KEY, body=body
        )

    def stop(self):
        self.cluster.close()
        for part in (*self.engines, self.platform):
            part.stop()


@pytest.fixture
def system(tmp_path, stack):
    running_system = System(tmp_path, stack.request)
    yield running_system
    running_system.stop()


class ReadyDaemonTraffic:
    """Sends requests to the daemons whose ``/readyz`` answers 200."""

    def __init__(self, system):
        self._system = system
        self.ready = list(system.cluster.specs)
        self.results = []
        self._greenlets = [gevent.spawn(self._watch)]
        self._greenlets += [gevent.spawn(self._call, i) for i in range(4)]

    def stop(self):
        gevent.killall(self._greenlets)

    def _watch(self):
        # The load balancer of the platform does the same.
        while True:
            self.ready = [
                spec
                for spec in self._system.cluster.specs
                if cluster.status_of(spec.listen, '/readyz') == 200
            ]
            gevent.sleep(0.1)

    def _call(self, index):
        while True:
            spec = self.ready[index % len(self.ready)]
            try:
                reply = self._system.send_chat(spec)
                is_done = reply.body.endswith(b'data: [DONE]\n\n')
                self.results.append(
                    'ok' if is_done else str(reply.body[-300:])
                )
            except OSError as exc:
                self.results.append(repr(exc))


def test_rolling_restart_of_processes(system):
    """Guards against requests that fail because of a planned restart."""
    system.start()
    traffic = ReadyDaemonTraffic(system)
    gevent.sleep(0.5)
    codes = []
    for spec in system.cluster.specs:
        codes.append(system.cluster.stop(spec))
        system.cluster.start(spec)
        system.cluster.wait_ready([spec])
    gevent.sleep(0.5)
    traffic.stop()
    assert codes == [0] * DAEMON_COUNT
    assert len(traffic.results) > 20
    assert [item for item in traffic.results if item != 'ok'] == []


def run_command(*arguments):
    return subprocess.run(
        [sys.executable, '-m', 'paddle_router.daemon', *arguments],
        capture_output=True,
        text=True,
        timeout=30,
    )


def test_settings_check_reports_all_findings(tmp_path):
    """Guards against a check that reports only the first finding."""
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps({'name': '', 'listen': 'x', 'colour': 1}))
    result = run_command(f'--settings={path}', '--check')
    assert result.returncode == 2
    for place in ('$.name', '$.listen', '$.colour', '$.platform'):
        assert place in result.stderr


def test_token_file_readable_by_others_is_a_finding(tmp_path):
    """Guards against an operator token that other users can read."""
    token = tmp_path / 'token'
    token.write_text('operator-secret')
    token.chmod(0o644)
    addresses = ('listen', 'operator', 'peer', 'platform')
    document = {
        'name': 'd',
        'failure_domain': 'a',
        'operator_token_file': str(token),
        **dict.fromkeys(addresses, '127.0.0.1:0'),
    }
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(document))
    result = run_command(f'--settings={path}', '--check')
    assert result.returncode == 2 and 'owner-only' in result.stderr
    assert 'operator-secret' not in result.stderr
    token.chmod(0o600)
    assert run_command(f'--settings={path}', '--check').returncode == 0
