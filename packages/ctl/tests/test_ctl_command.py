"""Tests of the command line tool with a stub of the operator interface."""

import json
import urllib.parse

import gevent.pywsgi
import pytest

from paddle_ctl import command
from paddle_ctl import commands

KEY_ISSUE_WORDS = ['key', 'issue', 'club']


class FakeDaemon:
    """Answers ``GET /config`` and records the changes it receives."""

    def __init__(self, status=200):
        self.changes = []
        self._status = status
        self._server = gevent.pywsgi.WSGIServer(
            ('127.0.0.1', 0), self._serve, log=None
        )
        self._server.start()
        self.address = '{}:{}'.format(*self._server.address)

    def close(self):
        self._server.stop(timeout=0)

    def _serve(self, environ, start_response):
        status, body = '200 OK', {'version': 7, 'config': {}}
        if environ['REQUEST_METHOD'] == 'POST':
            self.changes.append(json.loads(environ['wsgi.input'].read()))
            status = f'{self._status} X'
            body = {'outcome': 'accepted', 'version': 8}
        start_response(status, [('Content-Type', 'application/json')])
        return [json.dumps(body).encode()]


@pytest.fixture
def run(tmp_path, capsys):
    """Return a function that runs a command against given addresses."""

    def run_command(addresses, words, *options):
        token = tmp_path / 'token'
        token.write_text('t')
        token.chmod(0o600)
        cfg = {'addresses': addresses, 'token_file': str(token)}
        path = tmp_path / 'ctl.json'
        path.write_text(json.dumps(cfg))
        command.FLAGS.unparse_flags()
        argv = ['ctl', f'--ctl_settings={path}', '--json', *options, *words]
        code = command.main(command.FLAGS(argv))
        return code, capsys.readouterr()

    return run_command


def test_issued_key_is_sent_only_as_a_digest(run):
    # Guards against an API key that is stored in plaintext.
    daemon = FakeDaemon()
    code, captured = run([daemon.address], KEY_ISSUE_WORDS)
    daemon.close()
    key = json.loads(captured.out)['key']
    assert code == command.EXIT_OK
    assert key not in json.dumps(daemon.changes)
    assert daemon.changes[0]['expected_version'] == 7


def test_command_is_sent_to_the_next_daemon_when_one_is_down(run):
    # Guards against a command that fails when its first daemon is down.
    down, daemon = FakeDaemon(), FakeDaemon()
    down.close()
    code, _ = run([down.address, daemon.address], KEY_ISSUE_WORDS)
    daemon.close()
    assert code == command.EXIT_OK


@pytest.mark.parametrize(
    ('status', 'expected'),
    [
        (409, command.EXIT_CONFLICT),
        (422, command.EXIT_REJECTED),
        (503, command.EXIT_UNKNOWN),
        (401, command.EXIT_UNAUTHORIZED),
    ],
)
def test_exit_code_shows_the_outcome_of_the_change(run, status, expected):
    # Guards against scripts that take an unknown outcome for success.
    daemon = FakeDaemon(status)
    code, _ = run([daemon.address], KEY_ISSUE_WORDS, '--change_id=c1')
    daemon.close()
    assert code == expected
    assert daemon.changes[0]['id'] == 'c1'


def test_unknown_command_lists_the_available_ones(run):
    # Guards against an error message that does not name the valid commands.
    code, captured = run(['127.0.0.1:1'], ['kee'])
    assert code == command.EXIT_USAGE
    assert 'key issue' in captured.err


def test_difference_names_the_changed_field_of_a_named_object():
    # Guards against a dry run that prints whole lists for one new value.
    before = {'classes': [{'name': 'chat', 'tier': 1}, {'name': 'bulk'}]}
    after = {'classes': [{'name': 'bulk'}, {'name': 'chat', 'tier': 2}]}
    assert commands.difference(before, after) == [
        {'path': '$.classes.chat.tier', 'before': 1, 'after': 2}
    ]


class FakeController:
    """Records orders that evacuate domains; answers with ``status``."""

    def __init__(self, status):
        self.orders = []
        self._status = status
        self._server = gevent.pywsgi.WSGIServer(
            ('127.0.0.1', 0), self._serve, log=None
        )
        self._server.start()
        self.address = '{}:{}'.format(*self._server.address)

    def close(self):
        self._server.stop(timeout=0)

    def _serve(self, environ, start_response):
        self.orders.append((environ['REQUEST_METHOD'], environ['PATH_INFO']))
        start_response(
            f'{self._status} X', [('Content-Type', 'application/json')]
        )
        return [b'{"version": 1, "domains": ["d 1"]}']


@pytest.mark.parametrize(
    ('words', 'order'),
    [
        (['start', 'd 1'], ('POST', '/evacuation/d 1')),
        (['stop', 'd 1'], ('DELETE', '/evacuation/d 1')),
        (['show'], ('GET', '/evacuation')),
    ],
)
@pytest.mark.parametrize(
    ('status', 'code'),
    [
        (200, command.EXIT_OK),
        (404, command.EXIT_REJECTED),
        (503, command.EXIT_UNKNOWN),
    ],
)
def test_evacuations_are_ordered_and_shown(run, words, order, status, code):
    # Guards against scripts that take an order without an acknowledgement
    # for one in force.
    controller = FakeController(status)
    found, captured = run([controller.address], ['evacuation', *words])
    controller.close()
    assert (found, controller.orders) == (code, [order])
    assert (code == command.EXIT_OK) == bool(captured.out)


def test_an_evacuation_of_no_domain_is_wrong_usage(run):
    code, captured = run(['127.0.0.1:1'], ['evacuation', 'start'])
    assert code == command.EXIT_USAGE
    assert 'evacuation start DOMAIN' in captured.err


EXPLANATION = {
    'gateway': 'g1',
    'route': 'chat',
    'services': [
        {
            'service': 's',
            'decision': 'send',
            'reason': 'lowest cost',
            'candidates': ['i-1'],
            'servers': [
                {'id': 'i-1', 'cost': 0.1, 'excluded': None},
                {'id': 'i-2', 'cost': None, 'excluded': 'evacuated'},
            ],
        }
    ],
}


class FakeGateway:
    """Records the questions and answers with an explanation."""

    def __init__(self, status=200):
        self.questions = []
        self._status = status
        self._server = gevent.pywsgi.WSGIServer(
            ('127.0.0.1', 0), self._serve, log=None
        )
        self._server.start()
        self.address = '{}:{}'.format(*self._server.address)

    def close(self):
        self._server.stop(timeout=0)

    def _serve(self, environ, start_response):
        self.questions.append(
            dict(urllib.parse.parse_qsl(environ['QUERY_STRING']))
        )
        start_response(f'{self._status} X', [])
        return [json.dumps(EXPLANATION).encode()]


QUESTION = ['explain', 'host=h', 'path=/a/x', 'customer=7', 'parts=p:4,q:2']


def test_all_gateways_explain_a_request(run):
    # Guards against an explanation of the first gateway that answers only,
    # and against one gateway that is down and hides the others.
    gateways = [FakeGateway(), FakeGateway(), FakeGateway()]
    gateways[0].close()
    code, captured = run([item.address for item in gateways], QUESTION)
    for item in gateways[1:]:
        item.close()
    rows = json.loads(captured.out)
    assert code == command.EXIT_OK
    assert rows[0]['gateway'] == gateways[0].address
    assert rows[0]['says'].startswith('no answer: ')
    assert [row['says'] for row in rows[1:4]] == [
        'send: lowest cost',
        'candidate',
        'evacuated',
    ]
    assert [item.questions for item in gateways[1:]] == [
        [{'host': 'h', 'path': '/a/x', 'customer': '7', 'parts': 'p:4,q:2'}]
    ] * 2


@pytest.mark.parametrize(
    ('words', 'status', 'expected'),
    [
        (['explain', 'host=h'], 200, command.EXIT_USAGE),
        ([*QUESTION, 'key=k'], 200, command.EXIT_USAGE),
        (QUESTION, 400, command.EXIT_REJECTED),
    ],
)
def test_a_wrong_question_is_not_explained(run, words, status, expected):
    gateway = FakeGateway(status)
    code, _captured = run([gateway.address], words)
    gateway.close()
    assert code == expected


def test_no_gateway_that_answers_is_no_explanation(run):
    gateway = FakeGateway()
    gateway.close()
    code, _captured = run([gateway.address], QUESTION)
    assert code == command.EXIT_UNKNOWN
