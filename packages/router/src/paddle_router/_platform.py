"""Adapters for the HTTP protocol of the platform (``docs/platform.md``).

Another platform needs a replacement of this module. Each order and report
uses a new connection, which the caller opens before it checks the lease. A
reused connection may be broken without notice, and the failed send would
then have to be repeated without knowing whether it arrived.
"""

import json
import socket as plain_socket

import gevent.socket

import paddle_kernel
from paddle_router import _http_out

CONNECT_TIMEOUT_MS = 1_000
MAX_ANSWER_BYTES = 64 * 1024
# Longer than the poll period plus the usual lag of the list, so that one lost
# poll does not stop the look-up of orders.
MAX_LIST_AGE_MS = 5_000
ACCEPTED = 'accepted'
REFUSED = 'refused'
STALE_NUMBER = 'stale_number'
CONFLICT = 'conflict'


class UnclearAnswerError(ConnectionError):
    """The answer does not tell whether the platform did what was asked."""


class StaleListError(ConnectionError):
    """The instance list is too old to tell whether an order was executed."""


def connect(address):
    """Return a new connection to ``address``.

    :raises OSError: if it cannot be opened within ``CONNECT_TIMEOUT_MS``.
    """
    sock = gevent.socket.create_connection(
        paddle_kernel.split_address(address),
        CONNECT_TIMEOUT_MS / paddle_kernel.MS_PER_S,
    )
    sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
    sock.setsockopt(
        plain_socket.SOL_SOCKET,
        plain_socket.SO_LINGER,
        # An aborted request must not arrive after the in-flight bound.
        _http_out.RESET_ON_CLOSE,
    )
    return _http_out.Connection(address, sock)


def exchange(
    conn,
    method,
    target,
    headers,
    body,
    timeout_ms,
    *,
    max_bytes=MAX_ANSWER_BYTES,
):
    """Send one request without retries; return ``(status, body)``."""
    headers = [('Content-Type', 'application/json'), *headers]
    conn.send(method, target, headers, body, timeout_ms=timeout_ms)
    answer = conn.read_head(timeout_ms)
    return answer.get_code(), answer.read_all(max_bytes)


def _exchange_json(conn, method, target, headers, body, timeout_ms):
    """Send one request without retries; return ``(status, document)``.

    The document is empty if the answer is not a JSON object.
    """
    status, data = exchange(conn, method, target, headers, body, timeout_ms)
    try:
        document = json.loads(data)
    except (RecursionError, ValueError):
        document = None
    return status, document if isinstance(document, dict) else {}


class OrderGateway:
    """Sends orders to the platform for :class:`paddle_coord.OrderRunner`.

    ``instances`` is the polled instance list, in which the platform shows the
    id of the order that started an instance.
    """

    def __init__(
        self, address, instances, clock, *, max_list_age_ms=MAX_LIST_AGE_MS
    ):
        self._address = address
        self._instances = instances
        self._clock = clock
        self._max_list_age_ms = max_list_age_ms

    def connect(self):
        """Return a new connection to the platform."""
        return connect(self._address)

    def send(self, conn, order, number, timeout_ms):
        """Send ``order`` once and return the platform's answer.

        :raises OSError: if the outcome is unknown.
        """
        document = {
            'id': order.id,
            'number': number,
            'verb': order.verb,
            'args': dict(order.args),
        }
        status, answer = _exchange_json(
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
        """Return whether an instance started by the order is listed.

        :raises StaleListError: if the list is older than allowed.
        """
        received_ms = self._instances.received_ms
        if received_ms is None or (
            self._clock.now_ms() - received_ms > self._max_list_age_ms
        ):
            raise StaleListError(
                'no instance list was received within '
                f'{self._max_list_age_ms} ms'
            )
        return any(
            item.order_id == order_id for item in self._instances.instances
        )


class UsageSink:
    """Sends usage reports for :class:`paddle_coord.WindowReporter`."""

    def __init__(self, address):
        self._address = address

    def connect(self):
        """Return a new connection to the platform."""
        return connect(self._address)

    def put(self, conn, window, data, number, timeout_ms):
        """Send the report once and return the platform's answer.

        :raises OSError: if the outcome is unknown.
        """
        status, answer = _exchange_json(
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
