"""Adapters of the platform's protocol (``docs/platform.md``).

Another platform replaces this module. Each order and report goes over a
connection of its own, which the caller opens before it checks the lease; a
used connection could be broken without notice and tempt to send again.
"""

import json
import socket as plain_socket
import struct

import gevent.socket

import paddle_kernel
from paddle_router import _http_out

CONNECT_MS = 1_000
ANSWER_BYTES = 64 * 1024
# Longer than the poll period and the usual lag, so that one lost poll does
# not stop the look-up of orders.
LIST_AGE_MS = 5_000
ACCEPTED = 'accepted'
REFUSED = 'refused'
STALE_NUMBER = 'stale_number'
CONFLICT = 'conflict'
# Sockets closed with this option drop unsent bytes, so that an aborted
# request cannot arrive after the in-flight bound.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class UnclearAnswerError(ConnectionError):
    """The platform answered without saying what it did."""


class StaleListError(ConnectionError):
    """The instance list is too old to conclude anything from it."""


def connect(address):
    """Return a new connection to ``address``.

    :raises OSError: if it does not accept in time.
    """
    sock = gevent.socket.create_connection(
        paddle_kernel.split_address(address),
        CONNECT_MS / paddle_kernel.MS_PER_S,
    )
    sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
    sock.setsockopt(
        plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, RESET_ON_CLOSE
    )
    return _http_out.Connection(address, sock)


def exchange(
    conn, method, target, headers, body, timeout_ms, *, most_bytes=ANSWER_BYTES
):
    """Send once; return ``(status, body)``."""
    headers = [('Content-Type', 'application/json'), *headers]
    conn.send(method, target, headers, body, timeout_ms=timeout_ms)
    answer = conn.read_head(timeout_ms)
    return answer.get_code(), answer.read_all(most_bytes)


def _exchange(conn, method, target, headers, body, timeout_ms):
    """Send once; return ``(status, document)``."""
    status, data = exchange(conn, method, target, headers, body, timeout_ms)
    try:
        document = json.loads(data)
    except ValueError:
        document = None
    return status, document if isinstance(document, dict) else {}


class OrderGateway:
    """Gateway of :class:`paddle_coord.OrderRunner`.

    ``instances`` is the polled list; the platform shows an order's id with
    the instance that it started.
    """

    def __init__(self, address, instances, clock, *, list_age_ms=LIST_AGE_MS):
        self._address = address
        self._instances = instances
        self._clock = clock
        self._list_age_ms = list_age_ms

    def connect(self):
        """Return a new connection to the platform."""
        return connect(self._address)

    def send(self, conn, order, number, timeout_ms):
        """Write ``order`` once and return the platform's answer.

        :raises OSError: if the outcome is unknown.
        """
        document = {
            'id': order.id,
            'number': number,
            'verb': order.verb,
            'args': dict(order.args),
        }
        status, answer = _exchange(
            conn,
            'POST',
            '/orders',
            (),
            json.dumps(document).encode(),
            timeout_ms,
        )
        if status in (200, 202):
            return ACCEPTED
        if status == 409 and answer.get('error') == STALE_NUMBER:
            return STALE_NUMBER
        if status < 500 or answer.get('error') == 'unavailable':
            return REFUSED
        raise UnclearAnswerError(f'{self._address} answered {status}')

    def lookup(self, order_id):
        """Whether the platform lists an instance started by the order.

        :raises StaleListError: if the list is older than the bound.
        """
        received = self._instances.received_ms
        if received is None or (
            self._clock.now_ms() - received > self._list_age_ms
        ):
            raise StaleListError(
                f'no instance list within {self._list_age_ms} ms'
            )
        return any(
            item.order_id == order_id for item in self._instances.instances
        )


class UsageSink:
    """Sink of :class:`paddle_coord.WindowReporter`."""

    def __init__(self, address):
        self._address = address

    def connect(self):
        """Return a new connection to the platform."""
        return connect(self._address)

    def put(self, conn, window, data, number, timeout_ms):
        """Write the report once and return the platform's answer.

        :raises OSError: if the outcome is unknown.
        """
        status, answer = _exchange(
            conn,
            'PUT',
            f'/usage/{window}',
            [('Paddle-Number', str(number))],
            data,
            timeout_ms,
        )
        if status == 200:
            return ACCEPTED
        error = answer.get('error')
        if status == 409 and error in (CONFLICT, STALE_NUMBER):
            return error
        raise UnclearAnswerError(f'{self._address} answered {status}')
