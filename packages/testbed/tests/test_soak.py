"""Tests of the soak test itself: its checks, its proxy and a short seed.

Each function in ``DEFECTS`` changes valid records as a faulty program would.
A check that misses its defect would let that fault pass in every seed.
"""

import attrs
import gevent
import gevent.socket
import pytest

from paddle_testbed import fakes
from paddle_testbed import soak
from paddle_testbed.soak import _callers
from paddle_testbed.soak import _ledger
from paddle_testbed.soak import _proxy

GATEWAY = 'front-0'
# Short enough for every CI run, long enough for a kill and a restart.
CI_SEED = 7
CI_OPTIONS = soak.SoakOptions(seconds=5, callers=4)


def run(request_id, kind=_ledger.BOOK, **fields):
    return _ledger.Run(
        request_id=request_id,
        kind=kind,
        **{'server': 'i-1', 'at_ms': 1_000, **fields},
    )


def attempt(request_id, kind=_ledger.BOOK, **fields):
    defaults = {
        'gateway': GATEWAY,
        'sent_ms': 1_000,
        'ended_ms': 1_050,
        'status': 200,
        'is_complete': True,
    }
    return _ledger.Attempt(
        request_id=request_id, kind=kind, **{**defaults, **fields}
    )


def call(holder, fence, at_ms, window=1, counts=None):
    return fakes.DutyCall(
        path='/usage',
        holder=holder,
        fence=fence,
        body={'window': window, 'counts': counts or {'cust': 3}},
        at_ms=at_ms,
    )


def sent_signal(**fields):
    defaults = {
        'machine': GATEWAY,
        'pid': 7,
        'name': 'SIGHUP',
        'at_ms': 5_000,
    }
    return _ledger.Signal(**{**defaults, **fields})


def valid_records():
    """Return records and platform calls without a defect."""
    ledger = soak.Ledger(
        runs=[run('b1'), run('s1', _ledger.SAFE), run('c1', _ledger.CHAT)],
        attempts=[
            attempt('b1'),
            attempt('s1', _ledger.SAFE),
            attempt(
                'c1',
                _ledger.CHAT,
                events=list(range(1, _ledger.EVENTS_PER_STREAM + 1)),
            ),
        ],
        sent={1: {'version': 1}, 2: {'version': 2}},
        acknowledged=[1, 2],
        read_back={'core-0': {'version': 2}},
        served_after={GATEWAY: 1.0},
        stops=[(GATEWAY, 0, 3_000)],
        signals=[sent_signal()],
        reported=[sent_signal(at_ms=5_010)],
    )
    return ledger, [call('a', 1, 0), call('b', 2, 9_000, window=2)]


def booking_run_twice(ledger, calls):
    ledger.runs.append(run('b1', server='i-2'))


def false_refusal(ledger, calls):
    ledger.attempts[0].status = 503


def body_of_another_request(ledger, calls):
    ledger.attempts[1].has_own_body = False


def allowed_request_denied(ledger, calls):
    ledger.attempts[1].status = 404


def duplicate_event(ledger, calls):
    ledger.attempts[2].events = [1, 2, 2, 3]


def truncated_stream(ledger, calls):
    ledger.attempts[2].events = [1, 2]


def too_many_retries(ledger, calls):
    ledger.runs.extend(run('s1', _ledger.SAFE) for _ in range(60))


def conflicting_usage_count(ledger, calls):
    calls.append(call('b', 2, 9_100, counts={'cust': 4}))


def former_holder_returns(ledger, calls):
    calls.append(call('b', 2, 100))
    calls.append(call('a', 1, 200))


def shared_fence(ledger, calls):
    calls.append(call('c', 2, 9_500, window=2))


def older_version_read(ledger, calls):
    ledger.read_back['core-0'] = {'version': 1}


def changed_content_read(ledger, calls):
    ledger.read_back['core-0'] = {'version': 2, 'routes': []}


def nothing_read(ledger, calls):
    ledger.read_back['core-0'] = None


def not_served_after(ledger, calls):
    ledger.served_after[GATEWAY] = 0.9


def unexpected_exit(ledger, calls):
    ledger.unexpected_exits.append((GATEWAY, 1))


def repair_overdue(ledger, calls):
    ledger.overdue.append(('lost_disk', 'core-1 did not count again'))


def slow_stop(ledger, calls):
    ledger.stops.append((GATEWAY, 0, 9_000))


def lost_without_a_fault(ledger, calls):
    ledger.attempts[0].status = None
    ledger.attempts[0].is_complete = False


def unreported_before_a_kill(ledger, calls):
    ledger.signals.append(sent_signal(pid=8))
    ledger.started[8] = 1_000
    ledger.killed[8] = 6_000


def unreported_signal(ledger, calls):
    ledger.signals.append(sent_signal(name='SIGTERM'))


def request_after_leaving_notice(ledger, calls):
    ledger.notices.append(
        _ledger.Notice(request_id='s1', server='i-1', address='a', at_ms=1_000)
    )
    ledger.attempts.append(attempt('s2', _ledger.SAFE, sent_ms=4_060))
    ledger.runs.append(run('s2', _ledger.SAFE, at_ms=4_065))


def requests_in_quiet_period(ledger, calls):
    ledger.notices.append(
        _ledger.Notice(
            request_id='s1',
            server='i-1',
            address='a',
            at_ms=1_000,
            quiet_ms=2_000,
        )
    )
    for number in range(3):
        name = f'q{number}'
        ledger.attempts.append(attempt(name, _ledger.SAFE, sent_ms=1_600))
        ledger.runs.append(run(name, _ledger.SAFE, at_ms=1_610))


def late_answer(ledger, calls):
    ledger.attempts.append(attempt('late', kind=_ledger.SAFE, ended_ms=3_600))


def requests_beyond_a_limit(ledger, calls):
    ledger.limit_periods.append(
        _ledger.LimitPeriod(
            server='i-1', limit_per_s=1.0, begin_ms=0, end_ms=9_000
        )
    )
    for number in range(12):
        name = f'l{number}'
        at_ms = 4_000 + 100 * number
        ledger.attempts.append(attempt(name, _ledger.SAFE, sent_ms=at_ms))
        ledger.runs.append(run(name, _ledger.SAFE, at_ms=at_ms + 10))


def request_in_an_evacuated_domain(ledger, calls):
    ledger.evacuations.append(
        _ledger.EvacuationPeriod(
            domain='z0',
            servers=frozenset({'i-1'}),
            begin_ms=10_000,
            end_ms=18_000,
        )
    )
    ledger.attempts.append(attempt('e1', _ledger.SAFE, sent_ms=15_100))
    ledger.runs.append(run('e1', _ledger.SAFE, at_ms=15_110))


def withdrawal_lost(ledger, calls):
    ledger.evacuated_after['core-0'] = ['z0']


DEFECTS = (
    request_in_an_evacuated_domain,
    withdrawal_lost,
    booking_run_twice,
    false_refusal,
    body_of_another_request,
    allowed_request_denied,
    duplicate_event,
    truncated_stream,
    too_many_retries,
    conflicting_usage_count,
    former_holder_returns,
    shared_fence,
    older_version_read,
    changed_content_read,
    nothing_read,
    not_served_after,
    unexpected_exit,
    repair_overdue,
    slow_stop,
    late_answer,
    lost_without_a_fault,
    unreported_signal,
    unreported_before_a_kill,
    request_after_leaving_notice,
    requests_in_quiet_period,
    requests_beyond_a_limit,
)


def test_valid_records_have_no_finding():
    ledger, calls = valid_records()
    assert soak.check_all(ledger, calls) == []


@pytest.mark.parametrize('defect', DEFECTS, ids=lambda item: item.__name__)
def test_a_defect_is_found(defect):
    ledger, calls = valid_records()
    defect(ledger, calls)
    assert soak.check_all(ledger, calls)


def test_a_request_lost_during_a_fault_is_no_finding():
    ledger, calls = valid_records()
    lost_without_a_fault(ledger, calls)
    ledger.disturbances.append(
        _ledger.Disturbance(
            kind='kill', target=GATEWAY, begin_ms=0, end_ms=500
        )
    )
    assert soak.check_all(ledger, calls) == []


def test_a_request_lost_during_a_planned_stop_is_found():
    # A planned stop must not cut requests, so it excuses no loss.
    ledger, calls = valid_records()
    lost_without_a_fault(ledger, calls)
    ledger.disturbances.append(
        _ledger.Disturbance(
            kind='stop', target=GATEWAY, begin_ms=0, end_ms=5_000
        )
    )
    assert soak.check_all(ledger, calls)


@pytest.mark.parametrize(
    ('started_ms', 'killed_ms'), [(1_000, 5_100), (4_500, 6_400)]
)
def test_a_killed_process_need_not_log_its_signals(started_ms, killed_ms):
    # Killed right after the signal, or while its program was being loaded
    # (seed 2134026849: the process had not written a line of its log).
    ledger, calls = valid_records()
    ledger.signals.append(sent_signal(pid=8))
    ledger.started[8] = started_ms
    ledger.killed[8] = killed_ms
    assert soak.check_all(ledger, calls) == []


@pytest.fixture
def link():
    origin = fakes.FakeOrigin(lambda req, sock: fakes.response(req))
    proxy = soak.Proxy(origin.address)
    yield proxy
    proxy.stop()
    origin.stop()


def send_request(proxy):
    host, port = proxy.address.split(':')
    sock = gevent.socket.create_connection((host, int(port)), 1)
    sock.settimeout(0.5)
    try:
        sock.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        return sock.recv(100)
    finally:
        sock.close()


def test_a_proxy_forwards_bytes(link):
    assert send_request(link).startswith(b'HTTP/1.1 200')


@pytest.mark.parametrize(
    'mode',
    [
        _proxy.Mode.DROP_TO_SERVER,
        _proxy.Mode.DROP_TO_CALLER,
        _proxy.Mode.SILENT,
    ],
)
def test_a_proxy_drops_bytes(link, mode):
    link.mode = mode
    with pytest.raises(TimeoutError):
        send_request(link)


def test_a_proxy_refuses_connections(link):
    link.mode = _proxy.Mode.REFUSE
    with pytest.raises(ConnectionError):
        send_request(link)


def test_a_proxy_resets_open_connections(link):
    host, port = link.address.split(':')
    sock = gevent.socket.create_connection((host, int(port)), 1)
    sock.settimeout(2)
    gevent.sleep(0.1)
    link.reset_all()
    with pytest.raises(ConnectionResetError):
        sock.recv(1)


def test_every_fault_has_a_name():
    assert len(soak.faults.names()) >= 15


@pytest.mark.parametrize(
    ('body', 'is_own'),
    [
        (b'id: 1\ndata: c1\n\n', True),
        (b'id: 1\ndata: c1\n\nid: 2\nda', True),
        (b'id: 1\ndata: c2\n\n', False),
        (b'id: 1\ndata: c1\n\nforeign', False),
        (b'id: 1\ndata: c1\n\nforeign\n\nid: 2\ndata: c1\n\n', False),
        (b'id: 1\ndata: c1\n\nHTTP/1.1 500 Error\r\n', False),
    ],
)
def test_text_between_events_is_noticed(body, is_own):
    item = attempt('c1', _ledger.CHAT)
    _callers._check_body(item, body)
    assert item.has_own_body is is_own


def test_a_short_seed_has_no_finding(tmp_path):
    findings, ledger = soak.run_seed(CI_SEED, CI_OPTIONS, tmp_path)
    assert findings == []
    assert ledger.disturbances
    assert len(ledger.attempts) > 50
    assert attrs.asdict(ledger)['acknowledged']
