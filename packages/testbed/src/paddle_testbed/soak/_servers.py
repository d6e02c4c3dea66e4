"""Backend servers that record what they run and misbehave on request."""

import enum

import gevent

from paddle_testbed import fakes
from paddle_testbed.soak import _ledger
from paddle_testbed.soak import _proxy

WORK_S = 0.02
GAP_S = 0.02
SLOW_FACTOR = 20
SLOTS = 8


class Fault(enum.Enum):
    """What a server does to requests."""

    NONE = 'none'
    SLOW = 'slow'
    # It answers 500 after running the request.
    FAILING = 'failing'
    # It runs the request and closes the connection.
    LOSES_ANSWERS = 'loses_answers'
    HANGS = 'hangs'
    # Streams end after some events.
    BREAKS_STREAMS = 'breaks_streams'
    # It rejects requests as not run.
    REJECTS = 'rejects'
    # It answers with bytes that are no answer.
    GARBLES = 'garbles'
    # It turns requests away and names a time for which it wants none.
    WANTS_QUIET = 'wants_quiet'


def kind_of(req):
    """Return the kind of request that the path stands for."""
    path = req.line.split()[1]
    return path.split(b'/')[1].decode()


class Server:
    """A backend server behind a proxy; the proxy's address is listed."""

    def __init__(self, name, domain, ledger):
        self.name = name
        self.domain = domain
        self.fault = Fault.NONE
        self.state = 'ready'
        # Set once its answers say that it leaves.
        self.leaves = False
        self.quiet_s = 1.0
        self._starts = 0
        self._ledger = ledger
        self._origin = fakes.FakeOrigin(self._script)
        self.proxy = _proxy.Proxy(self._origin.address)

    def entry(self):
        """Return the entry in the platform's list."""
        return {
            'identifier': self.name,
            'service': 'plain',
            'address': self.proxy.address,
            'zone': self.domain,
            'version': 'v1',
            'slots': SLOTS,
            'state': self.state,
        }

    def start_again(self):
        """Become another server at the same address."""
        self._starts += 1
        self.name = f'{self.name.partition("+")[0]}+{self._starts}'
        self.state, self.leaves = 'ready', False

    def stop(self):
        """Stop listening and end all connections."""
        self.proxy.stop()
        self._origin.stop()

    def _script(self, req, _sock):
        kind = kind_of(req)
        if not req.id:
            # A probe of the gateway's own.
            return fakes.whole(req)
        after = int(req.headers.get(b'last-event-id', b'0') or b'0')
        expected = req.headers.get(b'rosemarypaddle-expect-instance')
        if expected is not None and expected.decode() != self.name:
            return fakes.whole(req, b'', status=b'421 Misdirected')
        is_run = self.fault not in (Fault.REJECTS, Fault.WANTS_QUIET)
        self._ledger.runs.append(
            _ledger.Run(
                request_id=req.id.decode(),
                kind=kind,
                server=self.name,
                at_ms=_ledger.now_ms(),
                is_run=is_run,
                after=after,
            )
        )
        says = ()
        if self.leaves:
            says = (b'Server-Leaving: 1',)
            self._note(req)
        if not is_run:
            says += (b'Rosemarypaddle-Not-Run: 1',)
            if self.fault is Fault.WANTS_QUIET:
                says += (b'Retry-After: %.2f' % self.quiet_s,)
                self._note(req, int(1_000 * self.quiet_s))
            return fakes.whole(
                req, b'', status=b'503 Service Unavailable', extra=says
            )
        steps = self._steps(req, kind, after, says)
        gevent.sleep(0)
        return steps

    def _note(self, req, quiet_ms=0):
        self._ledger.wishes.append(
            _ledger.Wish(
                request_id=req.id.decode(),
                server=self.name,
                address=self.proxy.address,
                at_ms=_ledger.now_ms(),
                quiet_ms=quiet_ms,
            )
        )

    def _steps(self, req, kind, after, says):
        """Return the answer as steps of :class:`fakes.FakeOrigin`."""
        if self.fault is Fault.HANGS:
            return None
        slow = SLOW_FACTOR if self.fault is Fault.SLOW else 1
        if self.fault is Fault.LOSES_ANSWERS:
            return [WORK_S, None]
        if self.fault is Fault.GARBLES:
            return [WORK_S, b'\x00HTP/9 nonsense\r\n\r\n', None]
        if self.fault is Fault.FAILING:
            return [
                WORK_S,
                fakes.whole(req, b'', status=b'500 Error', extra=says),
            ]
        if kind != _ledger.CHAT:
            return [
                WORK_S * slow,
                fakes.whole(req, req.id, extra=says),
            ]
        steps = [fakes.stream_head(req, extra=says)]
        for number in range(after + 1, _ledger.EVENTS + 1):
            if self.fault is Fault.BREAKS_STREAMS and number > 3:
                return [*steps, None]
            steps.append(GAP_S * slow)
            steps.append(fakes.event(number, req.id))
        return [*steps, fakes.STREAM_END]
