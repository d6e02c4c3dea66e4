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
        is_run = self.fault is not Fault.REJECTS
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
        if not is_run:
            not_run = (b'Rosemarypaddle-Not-Run: 1',)
            return fakes.whole(
                req, b'', status=b'503 Service Unavailable', extra=not_run
            )
        steps = self._steps(req, kind, after)
        gevent.sleep(0)
        return steps

    def _steps(self, req, kind, after):
        """Return the answer as steps of :class:`fakes.FakeOrigin`."""
        if self.fault is Fault.HANGS:
            return None
        slow = SLOW_FACTOR if self.fault is Fault.SLOW else 1
        if self.fault is Fault.LOSES_ANSWERS:
            return [WORK_S, None]
        if self.fault is Fault.GARBLES:
            return [WORK_S, b'\x00HTP/9 nonsense\r\n\r\n', None]
        if self.fault is Fault.FAILING:
            return [WORK_S, fakes.whole(req, b'', status=b'500 Error')]
        if kind != _ledger.CHAT:
            return [WORK_S * slow, fakes.whole(req, req.id)]
        steps = [fakes.stream_head(req)]
        for number in range(after + 1, _ledger.EVENTS + 1):
            if self.fault is Fault.BREAKS_STREAMS and number > 3:
                return [*steps, None]
            steps.append(GAP_S * slow)
            steps.append(fakes.event(number, req.id))
        return [*steps, fakes.STREAM_END]
