"""Connection pool for backend servers."""

import collections
import socket as plain_socket

import attrs
import gevent.socket

import paddle_kernel
from paddle_router.gateway import _http1

# A reachable server accepts within a few ms. A lost SYN packet is only resent
# after 1 s; trying another server is faster.
CONNECT_TIMEOUT_MS = 300
# If sent bytes stay unacknowledged for this long, the server or the network
# path is considered down. Shorter times would break links with some packet
# loss.
UNACKED_TIMEOUT_MS = 1_500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Idle time after which a connection is not reused; a shorter keep-alive time
# announced by the server has precedence.
MAX_IDLE_MS = 4_000
# A request is lost if the server closes the idle connection at the same time,
# so connections are not reused in the last part of their idle time.
IDLE_MARGIN_MS = 700


class NoConnectionError(Exception):
    """The server did not accept a connection; nothing was sent."""


class ConnectionLimitError(NoConnectionError):
    """All connections that may be open to the address are in use."""


@attrs.define
class _AddressState:
    """Connections to one address; the last of ``idle`` was used last."""

    idle: collections.deque = attrs.field(factory=collections.deque)
    open: int = 0


class UnwatchedReach:
    """Stands for the reachability of peers, which is not watched."""

    def suspect(self, _address):
        """Do nothing: the user of the pool marks the peer as failed."""

    def record_connected(self):
        """Do nothing."""

    def record_response(self):
        """Do nothing."""


class ConnectionPool:
    """Opens connections and keeps idle ones for the next request.

    ``buffers`` is the :class:`BufferAccount` that bounds what is received, and
    ``reach`` the :class:`ServerReachability` that learns what servers accept
    and send.
    """

    def __init__(self, clock, buffers, reach):
        self._clock = clock
        self._buffers = buffers
        self._reach = reach
        self._addresses = collections.defaultdict(_AddressState)
        self.opened_count = 0

    def acquire(self, address, *, limit, owner=None, must_be_new=False):
        """Return an idle or new connection; at most ``limit`` are open.

        ``owner`` identifies the server at the address. Connections to a
        previous server at the same address are not reused.
        ``must_be_new`` excludes idle ones, on which the server may write a
        response to an earlier request.

        :raises NoConnectionError: if no connection can be opened.
        """
        state = self._addresses[address]
        while state.idle and not must_be_new:
            conn = state.idle.pop()
            if conn.owner == owner and self._is_usable(conn):
                return conn
            self.discard(conn)
        if state.idle and state.open >= limit:
            self.discard(state.idle.popleft())
        if state.open >= limit:
            raise ConnectionLimitError(
                f'{address}: {limit} connections in use'
            )
        conn = self._open(address, state)
        conn.owner = owner
        return conn

    def release(self, conn, *, idle_ms):
        """Return ``conn`` to the pool; the server keeps it for ``idle_ms``."""
        conn.idle_since_ms = self._clock.now_ms()
        conn.idle_limit_ms = idle_ms
        conn.was_idle = True
        self._addresses[conn.address].idle.append(conn)

    def discard(self, conn):
        """Close ``conn``."""
        self._addresses[conn.address].open -= 1
        conn.close()

    def close_all_except(self, addresses):
        """Close idle connections to addresses not in ``addresses``."""
        for address in set(self._addresses) - set(addresses):
            state = self._addresses[address]
            while state.idle:
                self.discard(state.idle.pop())
            if not state.open:
                del self._addresses[address]

    def prune(self):
        """Close connections that have been idle for too long."""
        for state in list(self._addresses.values()):
            while state.idle and not self._is_usable(state.idle[0]):
                self.discard(state.idle.popleft())

    def dump(self):
        """Return plain data for the state dump."""
        return {
            address: {'open': state.open, 'idle': len(state.idle)}
            for address, state in self._addresses.items()
        }

    def _is_usable(self, conn):
        limit_ms = MAX_IDLE_MS
        if conn.idle_limit_ms is not None:
            limit_ms = min(limit_ms, conn.idle_limit_ms)
        idle_ms = self._clock.now_ms() - conn.idle_since_ms
        return idle_ms < limit_ms - IDLE_MARGIN_MS and conn.is_open_and_idle()

    def _open(self, address, state):
        state.open += 1
        try:
            sock = gevent.socket.create_connection(
                paddle_kernel.split_address(address),
                CONNECT_TIMEOUT_MS / paddle_kernel.MS_PER_S,
            )
        except (OSError, OverflowError, ValueError) as exc:
            # The address may be no valid one.
            state.open -= 1
            self._reach.suspect(address)
            raise NoConnectionError(f'{address}: {exc}') from exc
        except BaseException:
            state.open -= 1
            raise
        self.opened_count += 1
        self._reach.record_connected()
        _set_options(sock)
        self._buffers.limit_receive_buffer(sock)
        return _http1.ServerConnection(
            sock,
            address,
            receive_bytes=self._buffers.receive_bytes,
            on_receive=self._reach.record_response,
        )


def _set_options(sock):
    sock.settimeout(None)
    _http1.set_no_delay(sock)
    tcp = plain_socket.IPPROTO_TCP
    for level, name, value in (
        (plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE, 1),
        (tcp, plain_socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS),
        (tcp, plain_socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (tcp, plain_socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (tcp, plain_socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(level, name, value)
