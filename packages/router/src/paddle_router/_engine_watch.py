"""Reading of engine load reports and probes of ejected engines."""

import json

from paddle_router import _http_out
from paddle_router import _instances
from paddle_router import policy

MAX_REPORT_BYTES = 65_536
REPORT_TIMEOUT_MS = 1_000
PROBE_TIMEOUT_MS = 5_000
MAX_PROBE_ANSWER_BYTES = 1024 * 1024
# Limits the control traffic of a daemon with many engines. Reports only
# correct what the daemon observes itself, so they may be read less often.
REPORTS_PER_TICK = 10
# Larger figures in a report count as this one.
MAX_REPORTED = 2**31 - 1
OK = 200
JSON_HEADERS = (('Content-Type', 'application/json'),)


class EngineWatch:
    """Reads load reports and sends the probes the dispatcher asks for."""

    def __init__(self, core):
        self._core = core
        self._next_index = 0

    def poll(self):
        """Read the load reports of the next few engines."""
        engines = [
            item
            for item in self._core.instances.listed
            if item.kind == _instances.ENGINE
        ]
        count = min(REPORTS_PER_TICK, len(engines))
        for offset in range(count):
            self._read_report(
                engines[(self._next_index + offset) % len(engines)]
            )
        self._next_index += count
        reports = self._core.engine_reports
        for engine_id in set(reports) - {item.id for item in engines}:
            del reports[engine_id]

    def probe(self, pool, flight, instance):
        """Send a one-token request to an ejected engine.

        The balancer of ``pool`` gets the outcome.
        """
        body = {
            'model': pool.model,
            'messages': [{'role': 'user', 'content': 'ping'}],
            'max_tokens': 1,
        }
        core = self._core
        try:
            status, _ = _http_out.exchange(
                instance.address,
                'POST',
                '/v1/chat/completions',
                timeout_ms=PROBE_TIMEOUT_MS,
                limit=MAX_PROBE_ANSWER_BYTES,
                headers=JSON_HEADERS,
                body=json.dumps(body).encode(),
            )
        except OSError:
            status = 0
        now_ms = core.clock.now_ms()
        if status == OK:
            pool.balancer.observe(flight, now_ms, 1)
        else:
            pool.balancer.finish(flight, now_ms, False)

    def _read_report(self, engine):
        try:
            status, body = _http_out.exchange(
                engine.address,
                'GET',
                '/load',
                timeout_ms=REPORT_TIMEOUT_MS,
                limit=MAX_REPORT_BYTES,
            )
            if status == OK:
                report = _parse_report(body)
                self._core.engine_reports[engine.id] = report
                self._core.dispatcher.record_load_report(engine.id, report)
        except (OSError, ValueError):
            # Without a report the daemon relies on its own observations.
            pass


def _parse_report(body):
    """Return the :class:`LoadReport` in the body of an answer.

    :raises ValueError: if the body is malformed.
    """
    names = ('running', 'waiting', 'slots', 'age_ms')
    try:
        document = json.loads(body)
        return policy.LoadReport(
            **{
                name: max(0, min(int(document[name]), MAX_REPORTED))
                for name in names
            }
        )
    except (KeyError, OverflowError, RecursionError, TypeError) as exc:
        raise ValueError(f'malformed load report: {exc}') from exc
