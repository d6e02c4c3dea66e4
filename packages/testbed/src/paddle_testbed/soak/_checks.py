"""Checks of the guarantees that hold under every fault.

Each check reads the records of one seed and adds a finding for every request,
machine or usage window that violates its guarantee.
"""

import bisect
import collections

import paddle_kernel
from paddle_testbed import fleet as fleets
from paddle_testbed.soak import _ledger

# These statuses promise that the request has not run and never will.
REFUSALS = frozenset({408, 421, 429, 503})
DENIALS = frozenset({401, 403, 404})
# Time until a machine has its connections again after a disturbance, and
# until the whole system works again after all processes were killed.
RECONNECT_MS = 3_000
RECOVERY_MS = 12_000
# A request sent while the gateway closes the connection may go unanswered.
LOSS_SLACK_MS = 200
RETRY_WINDOW_MS = 10_000
# Timeout of the routes that are no streams, and the time after it until which
# most requests have to be answered.
ROUTE_TIMEOUT_MS = 2_000
LATE_MS = 500
MIN_SERVED_RATIO = 0.95
# When a server asks for quiet, requests already in flight may still arrive
# within the grace time, and two more after it.
QUIET_GRACE_MS = 500
MAX_QUIET_REQUESTS = 2
# From this time after its first answer with a limit, a server gets at most
# this many times the limit in a window of this length, and some more.
LIMIT_CONTACT_MS = 3_000
LIMIT_GRACE_MS = 500
LIMIT_WINDOW_MS = 4_000
LIMIT_RATIO = 1.5
LIMIT_SLACK_REQUESTS = 5
# The users' bound for an evacuation to be in force.
EVACUATION_MS = 5_000
# A signal that arrives while a process exits is not logged.
EXIT_GRACE_MS = 500
# Loading a program takes half a second, longer when many start at once.
PROGRAM_LOAD_MS = 2_000
# Logged times are wall-clock times, converted when the log is read; the wall
# clock may have been adjusted in between.
CLOCK_TOLERANCE_MS = 200
STOP_LIMIT_MS = fleets.BOUNDS['gracePeriodS'] * 1_000 + 500

checks = paddle_kernel.Registry('check')


def check_all(ledger, cloud_calls):
    """Run all checks and return their findings."""
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
                'no refusal, since the request ran',
            )


@checks.register('answers are whole and belong to their request')
def whole_answers(ledger, calls, findings):
    for item in ledger.attempts:
        location = f'{item.kind} {item.request_id} at {item.gateway}'
        if not item.has_own_body:
            findings.add(location, 'the body of another request', 'its own')
        if item.status in DENIALS:
            findings.add(
                location,
                item.status,
                'no denial, since the request is allowed',
            )
        if item.kind != _ledger.CHAT or item.status != 200:
            continue
        expected = list(range(1, len(item.events) + 1))
        if item.events != expected:
            findings.add(location, item.events, 'each event once, in order')
        elif (
            item.is_complete and len(item.events) != _ledger.EVENTS_PER_STREAM
        ):
            findings.add(
                location, item.events, 'an end only after the last event'
            )


@checks.register('requests are answered by their time limit')
def late_answers(ledger, calls, findings):
    """Check that a gateway ends requests that exceed their route's timeout.

    Of the requests that are unanswered at the timeout, at most half may have
    no answer half a second later.
    """
    spent_ms = [
        item.ended_ms - item.sent_ms
        for item in ledger.attempts
        if item.ended_ms is not None
        and item.kind != _ledger.CHAT
        and not _was_disturbed(
            ledger,
            (item.gateway, 'all'),
            item.sent_ms - RECONNECT_MS,
            item.ended_ms,
        )
    ]
    unanswered = [item for item in spent_ms if item > ROUTE_TIMEOUT_MS]
    late = [item for item in unanswered if item > ROUTE_TIMEOUT_MS + LATE_MS]
    if len(late) > len(unanswered) / 2:
        findings.add(
            f'{len(unanswered)} requests unanswered after '
            f'{ROUTE_TIMEOUT_MS} ms',
            f'{len(late)} without an answer {LATE_MS} ms later',
            'half of them at most',
        )


@checks.register('repeats stay within the budget')
def retry_budget(ledger, calls, findings):
    seen = set()
    retries = []
    for run in ledger.runs:
        if run.request_id in seen:
            retries.append(run.at_ms)
        seen.add(run.request_id)
    sent = sorted(item.sent_ms for item in ledger.attempts)
    slack = fleets.BOUNDS['retryBudgetSlack']
    ratio = fleets.BOUNDS['retryBudgetRatio']
    for index, end_ms in enumerate(retries):
        begin_ms = end_ms - RETRY_WINDOW_MS
        count = index + 1 - bisect.bisect_left(retries, begin_ms)
        # The budget counts requests of this window or of the previous one.
        requests = max(
            _count_between(sent, begin_ms, end_ms),
            _count_between(sent, begin_ms - RETRY_WINDOW_MS, begin_ms),
        )
        allowed = ratio * requests + slack
        if count > allowed:
            findings.add(f'repeats until {end_ms} ms', count, f'{allowed:.0f}')
            return


def _count_between(times, begin, end):
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, begin)


@checks.register('servers that leave get no new requests')
def leaving_servers(ledger, calls, findings):
    """Check requests sent after the gateway relayed the leaving notice.

    The time counts from the end of an answer that carried the notice and
    reached its caller.
    """
    attempts = {item.request_id: item for item in ledger.attempts}
    notice_ms_by_pair = {}
    for notice in ledger.notices:
        attempt = attempts.get(notice.request_id)
        if notice.quiet_ms or attempt is None or not attempt.is_complete:
            continue
        key = notice.server, attempt.gateway
        notice_ms_by_pair[key] = min(
            notice_ms_by_pair.get(key, attempt.ended_ms), attempt.ended_ms
        )
    drain_ms = fleets.BOUNDS['drainMs']
    for run in ledger.runs:
        attempt = attempts.get(run.request_id)
        if attempt is None:
            continue
        notice_ms = notice_ms_by_pair.get((run.server, attempt.gateway))
        if notice_ms is None or attempt.sent_ms <= notice_ms + drain_ms:
            continue
        targets = (attempt.gateway, 'all')
        if not _was_disturbed(ledger, targets, notice_ms, run.at_ms):
            findings.add(
                f'{run.kind} {run.request_id} from {attempt.gateway}',
                f'at {run.server} {run.at_ms - notice_ms} ms after it said '
                'that it leaves',
                f'sent by its caller within {drain_ms} ms',
            )


@checks.register('servers that want quiet have it')
def quiet_periods(ledger, calls, findings):
    attempts = {item.request_id: item for item in ledger.attempts}
    arrivals = collections.defaultdict(list)
    for run in ledger.runs:
        attempt = attempts.get(run.request_id)
        if attempt is not None:
            arrivals[run.server, attempt.gateway].append(run.at_ms)
    for notice in ledger.notices:
        attempt = attempts.get(notice.request_id)
        if not notice.quiet_ms or attempt is None:
            continue
        begin_ms = notice.at_ms + QUIET_GRACE_MS
        end_ms = notice.at_ms + notice.quiet_ms
        count = sum(
            begin_ms < at_ms < end_ms
            for at_ms in arrivals[notice.server, attempt.gateway]
        )
        targets = (attempt.gateway, 'all', notice.server, notice.address)
        if count > MAX_QUIET_REQUESTS and not _was_disturbed(
            ledger, targets, notice.at_ms, end_ms
        ):
            findings.add(
                f'{notice.server} asked {attempt.gateway} for quiet',
                f'{count} requests within {notice.quiet_ms} ms',
                f'{MAX_QUIET_REQUESTS}',
            )


@checks.register('limits of servers are kept')
def server_limits(ledger, calls, findings):
    """Check the requests of all gateways that were told of a limit.

    A gateway counts half a second after it has passed on an answer with the
    limit, unless it was disturbed meanwhile.
    """
    attempts = {item.request_id: item for item in ledger.attempts}
    for period in ledger.limit_periods:
        runs = [
            (run.at_ms, attempts[run.request_id])
            for run in ledger.runs
            if run.server == period.server
            and period.begin_ms <= run.at_ms <= period.end_ms
            and run.request_id in attempts
        ]
        told_ms = {}
        for _at_ms, attempt in runs:
            if attempt.is_complete:
                told_ms[attempt.gateway] = min(
                    attempt.ended_ms,
                    told_ms.get(attempt.gateway, attempt.ended_ms),
                )
        counted_ms = sorted(
            at_ms
            for at_ms, attempt in runs
            if at_ms >= runs[0][0] + LIMIT_CONTACT_MS
            and at_ms >= told_ms.get(attempt.gateway, at_ms) + LIMIT_GRACE_MS
            and not _was_disturbed(
                ledger,
                (attempt.gateway, 'all'),
                period.begin_ms,
                at_ms,
            )
        )
        _check_limit(period, counted_ms, findings)


def _check_limit(period, times_ms, findings):
    allowed = (
        LIMIT_RATIO * period.limit_per_s * LIMIT_WINDOW_MS / 1_000
        + LIMIT_SLACK_REQUESTS
    )
    for begin_ms in times_ms:
        count = _count_between(
            times_ms, begin_ms, begin_ms + LIMIT_WINDOW_MS - 1
        )
        if count > allowed:
            findings.add(
                f'{period.server} with a limit of {period.limit_per_s}/s',
                f'{count} requests in {LIMIT_WINDOW_MS} ms',
                f'{allowed:.0f}',
            )
            return


@checks.register('evacuated domains get no requests')
def evacuations(ledger, calls, findings):
    """Check requests of undisturbed gateways after the bound.

    While most controllers are disturbed, an order may take longer. The domains
    are used again at the end.
    """
    attempts = {item.request_id: item for item in ledger.attempts}
    for period in ledger.evacuations:
        since_ms = period.begin_ms - RECONNECT_MS
        bound_ms = period.begin_ms + EVACUATION_MS
        controllers = [
            _was_disturbed(ledger, (name,), since_ms, bound_ms)
            for name in ledger.evacuated_after
        ]
        if 2 * sum(controllers) > len(controllers):
            continue
        for run in ledger.runs:
            attempt = attempts.get(run.request_id)
            if (
                attempt is not None
                and run.server in period.servers
                and bound_ms <= run.at_ms <= period.end_ms
                and not _was_disturbed(
                    ledger, (attempt.gateway, 'all'), since_ms, run.at_ms
                )
            ):
                findings.add(
                    f'{run.kind} {run.request_id} from {attempt.gateway}',
                    f'at {run.server} {run.at_ms - period.begin_ms} ms after '
                    f'{period.domain} was evacuated',
                    f'within {EVACUATION_MS} ms',
                )
    for name, domains in ledger.evacuated_after.items():
        if domains:
            findings.add(f'evacuated at {name}', domains, 'none')


def _was_disturbed(ledger, targets, begin_ms, end_ms):
    """Whether one of ``targets`` was disturbed between two times."""
    return any(
        item.target in targets
        and item.begin_ms <= end_ms
        and item.end_ms >= begin_ms
        for item in ledger.disturbances
    )


@checks.register('each signal is reported')
def signals(ledger, calls, findings):
    """Check that each signal sent to a process is in its log.

    Two pending signals of the same number are delivered once.
    """
    for sent in ledger.signals:
        if _may_be_unreported(ledger, sent):
            continue
        if not any(
            (item.pid, item.name) == (sent.pid, sent.name)
            and item.at_ms >= sent.at_ms - CLOCK_TOLERANCE_MS
            for item in ledger.reported
        ):
            findings.add(
                f'process {sent.pid} of {sent.machine}',
                f'{sent.name} was not reported',
                'a log line for each signal',
            )


def _may_be_unreported(ledger, sent):
    """Whether the process ended too soon to log the signal.

    It exited soon after the signal, or was killed while its program was still
    being loaded and had no log yet.
    """
    killed_ms = ledger.killed.get(sent.pid)
    started_ms = ledger.started.get(sent.pid)
    if None not in (killed_ms, started_ms) and (
        killed_ms - started_ms < PROGRAM_LOAD_MS
    ):
        return True
    return any(
        ended_ms is not None and sent.at_ms > ended_ms - EXIT_GRACE_MS
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
    holder_by_fence = {}
    for call in calls:
        holder = holder_by_fence.setdefault(
            (call.path, call.fence), call.holder
        )
        if holder != call.holder:
            findings.add(f'fence {call.fence}', call.holder, holder)
    call_times = collections.defaultdict(dict)
    for call in calls:
        times = call_times[call.path]
        previous_ms = times.get(call.holder)
        other_holders = [
            other
            for other, at_ms in times.items()
            if previous_ms is not None and at_ms > previous_ms
        ]
        if other_holders and call.at_ms - previous_ms < lease_ms:
            findings.add(
                f'{call.path} at {call.at_ms} ms',
                f'{call.holder} again after {other_holders}',
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
        if share < MIN_SERVED_RATIO:
            findings.add(f'requests at {name}', share, f'{MIN_SERVED_RATIO}')


@checks.register('no process ends by itself')
def unexpected_exits(ledger, calls, findings):
    for name, code in ledger.unexpected_exits:
        findings.add(f'process {name}', f'exit code {code}', 'running')


@checks.register('machines come back in time')
def overdue(ledger, calls, findings):
    for fault, text in ledger.overdue:
        findings.add(f'fault {fault}', text, 'repaired in time')


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
def undisturbed_requests(ledger, calls, findings):
    """Check that requests without a fault nearby are answered completely.

    Planned stops and changes of the configuration must not cut a request.
    """
    runs = _runs_by_id(ledger)
    spans = _disturbed_spans(ledger)
    for item in ledger.attempts:
        if item.ended_ms is None or item.is_complete:
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
            'a complete answer',
        )


def _disturbed_spans(ledger):
    """Return the time spans, with recovery, in which requests may fail."""
    spans = []
    for item in ledger.disturbances:
        if item.kind == 'stop':
            # A planned stop excuses no lost request. Connections refused by
            # a gateway that is starting are not findings: the platform polls
            # readiness once a second, but these callers do not.
            continue
        after_ms = RECOVERY_MS if item.target == 'all' else RECONNECT_MS
        spans.append((item.begin_ms, item.end_ms + after_ms))
    return spans


def _overlaps(spans, item):
    return any(
        item.sent_ms <= end and item.ended_ms >= begin for begin, end in spans
    )
