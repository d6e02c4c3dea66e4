"""Connections to backend servers, kept between exchanges."""

import collections
import socket as plain_socket

import attrs
import gevent.socket

import paddle_kernel
from paddle_router.gateway import _http1

# A server in reach accepts within a few ms; a lost opening packet is sent
# again after 1 s, which another server makes up for sooner.
CONNECT_MS = 300
# Bytes that stay unacknowledged for this long mean that the server or the
# path to it is gone; shorter times would cut links with a few lost packets.
UNACKED_MS = 1_500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Idle time after which a connection is not used again when the server did
# not say how long it keeps it.
IDLE_MS = 4_000
# A request that crosses the server's idle close is lost, so the last part of
# the announced time is left alone.
IDLE_MARGIN_MS = 700


class NoConnectionError(Exception):
    """The server did not accept a connection; nothing was sent."""


@attrs.define
class _Address:
    """Connections to one address; ``idle`` has the newest last."""

    idle: collections.deque = attrs.field(factory=collections.deque)
    open: int = 0


class ConnectionPool:
    """Opens connections and keeps idle ones for the next request."""

    def __init__(self, clock):
        self._clock = clock
        self._addresses = collections.defaultdict(_Address)
        self.opened = 0

    def acquire(self, address, *, limit, owner=None):
        """Return a connection; ``limit`` bounds those open to the address.

        ``owner`` is the server there; one that was opened to another server
        at the same address is not used again.

        :raises NoConnectionError: if none can be opened.
        """
        state = self._addresses[address]
        while state.idle:
            conn = state.idle.pop()
            if conn.owner == owner and self._is_usable(conn):
                return conn
            self.discard(conn)
        if state.open >= limit:
            raise NoConnectionError(f'{address}: {limit} connections in use')
        conn = self._open(address, state)
        conn.owner = owner
        return conn

    def release(self, conn, *, idle_ms):
        """Keep ``conn``; the server closes it after ``idle_ms`` idle."""
        conn.idle_since_ms = self._clock.now_ms()
        conn.idle_limit_ms = idle_ms
        self._addresses[conn.address].idle.append(conn)

    def discard(self, conn):
        """Close ``conn``."""
        self._addresses[conn.address].open -= 1
        conn.close()

    def keep_only(self, addresses):
        """Close idle connections to all other addresses."""
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
        limit_ms = IDLE_MS
        if conn.idle_limit_ms is not None:
            limit_ms = min(limit_ms, conn.idle_limit_ms)
        idle_ms = self._clock.now_ms() - conn.idle_since_ms
        return idle_ms < limit_ms - IDLE_MARGIN_MS and conn.is_quiet()

    def _open(self, address, state):
        state.open += 1
        try:
            sock = gevent.socket.create_connection(
                paddle_kernel.split_address(address),
                CONNECT_MS / paddle_kernel.MS_PER_S,
            )
        except OSError as exc:
            state.open -= 1
            raise NoConnectionError(f'{address}: {exc}') from exc
        except BaseException:
            state.open -= 1
            raise
        self.opened += 1
        _set_options(sock)
        return _http1.ServerConnection(sock, address)


def _set_options(sock):
    sock.settimeout(None)
    _http1.set_no_delay(sock)
    tcp = plain_socket.IPPROTO_TCP
    for level, name, value in (
        (plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE, 1),
        (tcp, plain_socket.TCP_USER_TIMEOUT, UNACKED_MS),
        (tcp, plain_socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (tcp, plain_socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (tcp, plain_socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(level, name, value)
