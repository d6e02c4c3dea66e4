"""Promises that hold under every fault, checked from the records of a seed.

Each check registers itself and adds a finding with the request, machine or
window that breaks the promise.
"""

import bisect
import collections

import paddle_kernel
from paddle_testbed import fleet as fleets
from paddle_testbed.soak import _ledger

# Refusals promise that the request has not run and never will.
REFUSALS = frozenset({408, 421, 429, 503})
DENIALS = frozenset({401, 403, 404})
# A machine is in touch this long after its last disturbance, and all of them
# after everything was killed.
CONTACT_MS = 3_000
RECOVERY_MS = 12_000
# A request that crosses the close of its connection may go unanswered.
LOSS_SLACK_MS = 200
BUDGET_WINDOW_MS = 10_000
SERVED_AFTER_MIN = 0.95
# Requests may be on their way when a server asks for quiet, and two may come
# later.
QUIET_GRACE_MS = 500
QUIET_REQUESTS = 2
# A signal that arrives while a process ends leaves no line.
ENDING_MS = 500
# A program is loaded in half a second alone, longer beside many others.
LOADING_MS = 2_000
# Times of day are read when the log is, and may have been corrected since.
CLOCK_MS = 200
STOP_LIMIT_MS = fleets.BOUNDS['gracePeriodS'] * 1_000 + 500

checks = paddle_kernel.Registry('check')


def check_all(ledger, cloud_calls):
    """Return the findings of all checks."""
    findings = paddle_kernel.Findings()
    for name in checks.names():
        checks.create(
            name, ledger=ledger, calls=cloud_calls, findings=findings
        )
    return list(findings)


def _runs_by_id(ledger):
    runs = collections.defaultdict(list)
    for run in ledger.runs:
        if run.is_run:
            runs[run.request_id].append(run)
    return runs


@checks.register('bookings run at most once')
def bookings(ledger, calls, findings):
    for request_id, runs in _runs_by_id(ledger).items():
        if runs[0].kind == _ledger.BOOK and len(runs) > 1:
            servers = [run.server for run in runs]
            findings.add(f'booking {request_id}', servers, 'one run')


@checks.register('refusals are true')
def refusals(ledger, calls, findings):
    runs = _runs_by_id(ledger)
    for item in ledger.attempts:
        if item.kind != _ledger.BOOK or item.status not in REFUSALS:
            continue
        if item.request_id in runs:
            findings.add(
                f'booking {item.request_id}',
                item.status,
                'no refusal of a request that ran',
            )


@checks.register('answers are whole and belong to their request')
def answers(ledger, calls, findings):
    for item in ledger.attempts:
        place = f'{item.kind} {item.request_id} at {item.gateway}'
        if not item.is_own:
            findings.add(place, 'the body of another request', 'its own')
        if item.status in DENIALS:
            findings.add(place, item.status, 'no denial of what is allowed')
        if item.kind != _ledger.CHAT or item.status != 200:
            continue
        expected = list(range(1, len(item.events) + 1))
        if item.events != expected:
            findings.add(place, item.events, 'each event once, in order')
        elif item.is_whole and len(item.events) != _ledger.EVENTS:
            findings.add(place, item.events, 'no end before the last event')


@checks.register('repeats stay within the budget')
def budget(ledger, calls, findings):
    seen = set()
    repeats = []
    for run in ledger.runs:
        if run.request_id in seen:
            repeats.append(run.at_ms)
        seen.add(run.request_id)
    sent = sorted(item.sent_ms for item in ledger.attempts)
    slack = fleets.BOUNDS['retryBudgetSlack']
    ratio = fleets.BOUNDS['retryBudgetRatio']
    for index, end_ms in enumerate(repeats):
        begin_ms = end_ms - BUDGET_WINDOW_MS
        count = index + 1 - bisect.bisect_left(repeats, begin_ms)
        # Requests of this window, or of the one before it.
        requests = max(
            _between(sent, begin_ms, end_ms),
            _between(sent, begin_ms - BUDGET_WINDOW_MS, begin_ms),
        )
        allowed = ratio * requests + slack
        if count > allowed:
            findings.add(f'repeats until {end_ms} ms', count, f'{allowed:.0f}')
            return


def _between(times, begin, end):
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, begin)


@checks.register('servers that leave get no new requests')
def leaving(ledger, calls, findings):
    """Counted from an answer that said so and reached the caller."""
    attempts = {item.request_id: item for item in ledger.attempts}
    heard = {}
    for wish in ledger.wishes:
        attempt = attempts.get(wish.request_id)
        if wish.quiet_ms or attempt is None or not attempt.is_whole:
            continue
        key = wish.server, attempt.gateway
        heard[key] = min(heard.get(key, attempt.ended_ms), attempt.ended_ms)
    drain_ms = fleets.BOUNDS['drainMs']
    for run in ledger.runs:
        attempt = attempts.get(run.request_id)
        if attempt is None:
            continue
        heard_ms = heard.get((run.server, attempt.gateway))
        if heard_ms is None or attempt.sent_ms <= heard_ms + drain_ms:
            continue
        targets = (attempt.gateway, 'all')
        if not _is_excused(ledger, targets, heard_ms, run.at_ms):
            findings.add(
                f'{run.kind} {run.request_id} from {attempt.gateway}',
                f'at {run.server} {run.at_ms - heard_ms} ms after it said '
                'that it leaves',
                f'sent by its caller within {drain_ms} ms',
            )


@checks.register('servers that want quiet have it')
def quiet(ledger, calls, findings):
    attempts = {item.request_id: item for item in ledger.attempts}
    arrivals = collections.defaultdict(list)
    for run in ledger.runs:
        attempt = attempts.get(run.request_id)
        if attempt is not None:
            arrivals[run.server, attempt.gateway].append(run.at_ms)
    for wish in ledger.wishes:
        attempt = attempts.get(wish.request_id)
        if not wish.quiet_ms or attempt is None:
            continue
        begin_ms = wish.at_ms + QUIET_GRACE_MS
        end_ms = wish.at_ms + wish.quiet_ms
        count = sum(
            begin_ms < at_ms < end_ms
            for at_ms in arrivals[wish.server, attempt.gateway]
        )
        targets = (attempt.gateway, 'all', wish.server, wish.address)
        if count > QUIET_REQUESTS and not _is_excused(
            ledger, targets, wish.at_ms, end_ms
        ):
            findings.add(
                f'{wish.server} asked {attempt.gateway} for quiet',
                f'{count} requests within {wish.quiet_ms} ms',
                f'{QUIET_REQUESTS}',
            )


def _is_excused(ledger, targets, begin_ms, end_ms):
    """Whether one of ``targets`` was disturbed between two times."""
    return any(
        item.target in targets
        and item.begin_ms <= end_ms
        and item.end_ms >= begin_ms
        for item in ledger.disturbances
    )


@checks.register('each signal is reported')
def signals(ledger, calls, findings):
    """Two of a sort may be one for the process if they meet."""
    for sent in ledger.signals:
        if _could_not_report(ledger, sent):
            continue
        if not any(
            (item.pid, item.name) == (sent.pid, sent.name)
            and item.at_ms >= sent.at_ms - CLOCK_MS
            for item in ledger.reported
        ):
            findings.add(
                f'process {sent.pid} of {sent.machine}',
                f'{sent.name} was not reported',
                'a log line for each signal',
            )


def _could_not_report(ledger, sent):
    """Whether the process ended soon after the signal, or never began.

    One that is killed while it is loaded has no log yet.
    """
    killed_ms = ledger.killed.get(sent.pid)
    started_ms = ledger.started.get(sent.pid)
    if None not in (killed_ms, started_ms) and (
        killed_ms - started_ms < LOADING_MS
    ):
        return True
    return any(
        ended_ms is not None and sent.at_ms > ended_ms - ENDING_MS
        for ended_ms in (killed_ms, ledger.ended.get(sent.pid))
    )


@checks.register('windows of usage are reported with one count')
def usage(ledger, calls, findings):
    reported = {}
    for call in calls:
        if call.path != '/usage':
            continue
        window = call.body['window']
        counts = reported.setdefault(window, call.body['counts'])
        if counts != call.body['counts']:
            findings.add(
                f'usage window {window}', call.body['counts'], str(counts)
            )


@checks.register('one holder at a time')
def holders(ledger, calls, findings):
    lease_ms = fleets.BOUNDS['leaseDurationMs']
    by_fence = {}
    for call in calls:
        holder = by_fence.setdefault((call.path, call.fence), call.holder)
        if holder != call.holder:
            findings.add(f'fence {call.fence}', call.holder, holder)
    last = collections.defaultdict(dict)
    for call in calls:
        times = last[call.path]
        previous = times.get(call.holder)
        between = [
            other
            for other, at_ms in times.items()
            if previous is not None and at_ms > previous
        ]
        if between and call.at_ms - previous < lease_ms:
            findings.add(
                f'{call.path} at {call.at_ms} ms',
                f'{call.holder} again after {between}',
                f'no return within {lease_ms} ms',
            )
        times[call.holder] = call.at_ms


@checks.register('acknowledged configurations stay')
def configurations(ledger, calls, findings):
    newest = max(ledger.acknowledged, default=0)
    for name, document in ledger.read_back.items():
        version = document.get('version') if document else None
        if version is None or version < newest:
            findings.add(f'read at {name}', version, f'at least {newest}')
        elif document != ledger.sent.get(version):
            findings.add(
                f'read at {name}', f'other content of {version}', 'as sent'
            )


@checks.register('service comes back after the last fault')
def recovery(ledger, calls, findings):
    for name, share in ledger.served_after.items():
        if share < SERVED_AFTER_MIN:
            findings.add(f'requests at {name}', share, f'{SERVED_AFTER_MIN}')


@checks.register('no process ends by itself')
def own_ends(ledger, calls, findings):
    for name, code in ledger.own_ends:
        findings.add(f'process {name}', f'exit code {code}', 'running')


@checks.register('machines come back in time')
def overdue(ledger, calls, findings):
    for fault, text in ledger.overdue:
        findings.add(f'fault {fault}', text, 'back in time')


@checks.register('planned stops end in time')
def planned_stops(ledger, calls, findings):
    for name, code, spent_ms in ledger.stops:
        if code != 0 or spent_ms > STOP_LIMIT_MS:
            findings.add(
                f'stop of {name}',
                f'exit code {code} after {spent_ms} ms',
                f'0 within {STOP_LIMIT_MS} ms',
            )


@checks.register('no request is lost without a fault')
def calm(ledger, calls, findings):
    """Planned stops and changes of the configuration cut no request."""
    runs = _runs_by_id(ledger)
    spans = _disturbed(ledger)
    for item in ledger.attempts:
        if item.ended_ms is None or item.is_whole:
            continue
        if _overlaps(spans, item):
            continue
        spent_ms = item.ended_ms - item.sent_ms
        was_read = item.request_id in runs or spent_ms > LOSS_SLACK_MS
        if item.status is None and not was_read:
            continue
        findings.add(
            f'{item.kind} {item.request_id} at {item.gateway}',
            f'status {item.status} after {spent_ms} ms',
            'a whole answer',
        )


def _disturbed(ledger):
    """Return spans in which requests may fail, each until calm again."""
    spans = []
    for item in ledger.disturbances:
        if item.kind == 'stop':
            # Readiness is asked once a second by the platform; callers here
            # do not ask and meet a gateway that is just starting.
            continue
        after_ms = RECOVERY_MS if item.target == 'all' else CONTACT_MS
        spans.append((item.begin_ms, item.end_ms + after_ms))
    return spans


def _overlaps(spans, item):
    return any(
        item.sent_ms <= end and item.ended_ms >= begin for begin, end in spans
    )
