"""Callers that use keep-alive connections and record every answer."""

import re

import gevent
import gevent.socket
import h11

from paddle_testbed.soak import _ledger

HOST = 'soak.example'
KEY = 'soak-key'
RECEIVE_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
# Longer than the timeout of any route.
RESPONSE_TIMEOUT_S = 12.0
PAUSE_S = (0.0, 0.12)
KINDS = (_ledger.SAFE, _ledger.SAFE, _ledger.BOOK, _ledger.CHAT)
_EVENT = re.compile(rb'id: (\d+)\ndata: (\S*)\n\n')


def request_bytes(path, request_id, state=None):
    """Return the bytes of a request; ``state`` is that of its connection."""
    state = state or h11.Connection(h11.CLIENT)
    head = h11.Request(
        method='GET',
        target=path,
        headers=[
            ('Host', HOST),
            ('Authorization', f'Token {KEY}'),
            ('Rosemarypaddle-Request-Id', request_id),
        ],
    )
    return state.send(head) + state.send(h11.EndOfMessage())


class Connection:
    """One connection to a gateway, for one request at a time."""

    def __init__(self, address):
        self._sock = gevent.socket.create_connection(
            address, CONNECT_TIMEOUT_S
        )
        self._sock.settimeout(RESPONSE_TIMEOUT_S)
        self._state = h11.Connection(h11.CLIENT)

    def close(self):
        """Close the connection."""
        self._sock.close()

    def send(self, attempt):
        """Send one request and record the answer in ``attempt``.

        Returns whether the connection can be used again.

        :raises OSError: if the connection ends before the answer is complete.
        """
        path = f'/{attempt.kind}/x'
        self._sock.sendall(
            request_bytes(path, attempt.request_id, self._state)
        )
        body = bytearray()
        try:
            self._read(attempt, body)
        finally:
            _check_body(attempt, bytes(body))
        if self._state.our_state is h11.MUST_CLOSE:
            return False
        self._state.start_next_cycle()
        return True

    def _read(self, attempt, body):
        while True:
            event = self._state.next_event()
            if event is h11.NEED_DATA:
                data = self._sock.recv(RECEIVE_BYTES)
                try:
                    self._state.receive_data(data)
                    if not data:
                        raise ConnectionError(
                            'connection closed before the answer was complete'
                        )
                except h11.RemoteProtocolError as exc:
                    raise ConnectionError(str(exc)) from exc
            elif isinstance(event, h11.Response):
                attempt.status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                attempt.is_complete = True
                return


def _check_body(attempt, body):
    """Record whether ``body`` is the complete answer to this request.

    Backend servers answer with the request id.
    """
    expected = attempt.request_id.encode()
    if attempt.status != 200:
        return
    if attempt.kind == _ledger.CHAT:
        found = _EVENT.findall(body)
        attempt.events = [int(number) for number, _data in found]
        attempt.has_own_body = _has_only_events(body, expected)
    else:
        attempt.has_own_body = expected.startswith(body)
        attempt.is_complete = attempt.is_complete and body == expected


def _has_only_events(body, expected):
    """Return whether ``body`` contains nothing but events of this request.

    The last event may be incomplete.
    """
    end = number = 0
    for match in _EVENT.finditer(body):
        if match.start() != end or match[2] != expected:
            return False
        end, number = match.end(), int(match[1])
    next_event = b'id: %d\ndata: %s\n\n' % (number + 1, expected)
    return next_event.startswith(body[end:])


class Caller:
    """Sends requests one after the other until :meth:`stop` is called."""

    def __init__(self, name, fleet, ledger, rng):
        self._name = name
        self._fleet = fleet
        self._ledger = ledger
        self._rng = rng
        self._conn = None
        self._gateway = None
        self._count = 0
        self._is_stopping = False
        self._greenlet = gevent.spawn(self._run)

    def stop(self):
        """Wait for the current request, then end and disconnect."""
        self._is_stopping = True
        self._greenlet.join()
        if self._conn is not None:
            self._conn.close()

    def send_one(self, kind, gateway=None):
        """Send one request and return the :class:`Attempt`."""
        self._count += 1
        attempt = _ledger.Attempt(
            request_id=f'{self._name}-{self._count}',
            kind=kind,
            gateway=gateway or self._gateway,
            sent_ms=_ledger.now_ms(),
        )
        self._ledger.attempts.append(attempt)
        is_reusable = False
        try:
            if self._conn is None:
                self._conn = Connection(
                    self._fleet.gateway_address(attempt.gateway)
                )
            is_reusable = self._conn.send(attempt)
        except (OSError, h11.RemoteProtocolError):
            # The attempt stays recorded as one without a complete answer.
            pass
        finally:
            attempt.ended_ms = _ledger.now_ms()
            if not is_reusable and self._conn is not None:
                self._conn.close()
                self._conn = None
        return attempt

    def _run(self):
        while not self._is_stopping:
            if self._conn is None:
                self._gateway = self._rng.choice(self._fleet.names('gateway'))
            attempt = self.send_one(self._rng.choice(KINDS))
            gevent.sleep(self._rng.uniform(*PAUSE_S))
            if attempt.status is None:
                gevent.sleep(self._rng.uniform(*PAUSE_S))
