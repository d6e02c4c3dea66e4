"""Backend servers that record the requests they run and inject faults."""

import enum
import weakref

import gevent

from paddle_testbed import fakes
from paddle_testbed.soak import _ledger
from paddle_testbed.soak import _proxy

PROCESSING_S = 0.02
EVENT_GAP_S = 0.02
SLOW_FACTOR = 20
SLOTS_PER_SERVER = 8


class Fault(enum.Enum):
    """How a server misbehaves towards requests."""

    NONE = 'none'
    SLOW = 'slow'
    # Runs the request and answers 500.
    FAILING = 'failing'
    # Runs the request and closes the connection without an answer.
    LOSES_ANSWERS = 'loses_answers'
    HANGS = 'hangs'
    # Closes the connection of a stream after three events.
    BREAKS_STREAMS = 'breaks_streams'
    # Answers 503 with the header for a request that was not run.
    REJECTS = 'rejects'
    # Answers with bytes that are not valid HTTP.
    GARBLES = 'garbles'
    # Like REJECTS, with a Retry-After during which it expects no requests.
    WANTS_QUIET = 'wants_quiet'
    # Writes a refusal of the request before it ahead of each answer on a kept
    # connection, and runs the request.
    REPEATS_REFUSALS = 'repeats_refusals'
    # Answers resumed streams with an error or another text.
    FAILS_RESUMES = 'fails_resumes'


def request_kind(req):
    """Return the kind of request, the first segment of its path."""
    path = req.line.split()[1]
    return path.split(b'/')[1].decode()


class Server:
    """A backend server behind a proxy.

    The platform lists the address of the proxy.
    """

    def __init__(self, name, domain, ledger):
        self.name = name
        self.domain = domain
        self.fault = Fault.NONE
        self.state = 'ready'
        # Whether its answers announce that it leaves.
        self.is_leaving = False
        self.retry_after_s = 1.0
        # The limit in requests a second that its answers name.
        self.limit_per_s = None
        self._starts = 0
        self._last_id = b''
        self._wrong_rests = 0
        self._used_sockets = weakref.WeakSet()
        self._ledger = ledger
        self._backend = fakes.FakeOrigin(self._respond)
        self.proxy = _proxy.Proxy(self._backend.address)

    def list_entry(self):
        """Return the entry for the platform's list of instances."""
        return {
            'identifier': self.name,
            'service': 'plain',
            'address': self.proxy.address,
            'zone': self.domain,
            'version': 'v1',
            'slots': SLOTS_PER_SERVER,
            'state': self.state,
        }

    def replace(self):
        """Continue as a new instance at the same address."""
        self._starts += 1
        self.name = f'{self.name.partition("+")[0]}+{self._starts}'
        self.state, self.is_leaving = 'ready', False

    def stop(self):
        """Stop listening and end all connections."""
        self.proxy.stop()
        self._backend.stop()

    def _respond(self, req, sock):
        if not req.id:
            # Only probes of the gateway itself have no request id.
            return fakes.response(req)
        stale_id, self._last_id = self._last_id, req.id
        is_used = sock in self._used_sockets
        self._used_sockets.add(sock)
        answer = self._answer(req)
        if self.fault is Fault.REPEATS_REFUSALS and is_used:
            return [_refusal_of(stale_id), *answer]
        return answer

    def _answer(self, req):
        kind = request_kind(req)
        last_event = int(req.headers.get(b'last-event-id', b'0') or b'0')
        expected = req.headers.get(b'rosemarypaddle-expect-instance')
        if expected is not None and expected.decode() != self.name:
            return fakes.response(req, b'', status=b'421 Misdirected')
        is_run = self.fault not in (Fault.REJECTS, Fault.WANTS_QUIET)
        self._ledger.runs.append(
            _ledger.Run(
                request_id=req.id.decode(),
                kind=kind,
                server=self.name,
                at_ms=_ledger.now_ms(),
                is_run=is_run,
                last_event=last_event,
            )
        )
        headers = ()
        if self.is_leaving:
            headers = (b'Server-Leaving: 1',)
            self._record_notice(req)
        if self.limit_per_s is not None:
            headers += (b'Server-Limit: %.2f' % self.limit_per_s,)
        if not is_run:
            headers += (b'Rosemarypaddle-Not-Run: 1',)
            if self.fault is Fault.WANTS_QUIET:
                headers += (b'Retry-After: %.2f' % self.retry_after_s,)
                self._record_notice(req, int(1_000 * self.retry_after_s))
            return fakes.response(
                req, b'', status=b'503 Service Unavailable', extra=headers
            )
        steps = self._response_steps(req, kind, last_event, headers)
        gevent.sleep(0)
        return steps

    def _record_notice(self, req, quiet_ms=0):
        self._ledger.notices.append(
            _ledger.Notice(
                request_id=req.id.decode(),
                server=self.name,
                address=self.proxy.address,
                at_ms=_ledger.now_ms(),
                quiet_ms=quiet_ms,
            )
        )

    def _response_steps(self, req, kind, last_event, headers):
        """Return the answer as script steps of :class:`fakes.FakeOrigin`."""
        if self.fault is Fault.HANGS:
            return None
        delay_factor = SLOW_FACTOR if self.fault is Fault.SLOW else 1
        if self.fault is Fault.LOSES_ANSWERS:
            return [PROCESSING_S, None]
        if self.fault is Fault.GARBLES:
            return [PROCESSING_S, b'\x00HTP/9 nonsense\r\n\r\n', None]
        if self.fault is Fault.FAILING:
            return [
                PROCESSING_S,
                fakes.response(req, b'', status=b'500 Error', extra=headers),
            ]
        if self.fault is Fault.FAILS_RESUMES and last_event:
            return [PROCESSING_S, self._wrong_rest(req)]
        if kind != _ledger.CHAT:
            return [
                PROCESSING_S * delay_factor,
                fakes.response(req, req.id, extra=headers),
            ]
        steps = [fakes.stream_head(req, extra=headers)]
        for number in range(last_event + 1, _ledger.EVENTS_PER_STREAM + 1):
            if self.fault is Fault.BREAKS_STREAMS and number > 3:
                return [*steps, None]
            steps.append(EVENT_GAP_S * delay_factor)
            steps.append(fakes.event(number, req.id))
        return [*steps, fakes.STREAM_END]

    def _wrong_rest(self, req):
        """Return an answer that is not the rest of a stream."""
        self._wrong_rests += 1
        status = (b'404 Not Found', b'500 Error', b'200 OK')
        return fakes.response(
            req, b'foreign\n\n', status=status[self._wrong_rests % len(status)]
        )


def _refusal_of(request_id):
    """Return an answer that ``request_id`` was not run."""
    refused = fakes.Received(b'', b'')
    refused.headers[b'rosemarypaddle-request-id'] = request_id
    return fakes.response(
        refused,
        b'',
        status=b'503 Service Unavailable',
        extra=(b'Rosemarypaddle-Not-Run: 1',),
    )
