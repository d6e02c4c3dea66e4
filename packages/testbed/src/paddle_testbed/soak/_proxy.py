"""Loopback TCP proxy that delays, drops, resets or refuses traffic."""

import enum
import socket as plain_socket
import struct

import gevent
import gevent.server
import gevent.socket

import paddle_kernel

RECEIVE_BYTES = 65_536
# SO_LINGER with a time of 0: closing the socket sends a TCP reset.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """What happens to the bytes of all connections."""

    PASS = 'pass'
    DELAY = 'delay'
    # Drop the bytes to the server, to the caller, or in both directions.
    DROP_TO_SERVER = 'cut_forth'
    DROP_TO_CALLER = 'cut_back'
    SILENT = 'silent'
    # Reset new connections at once and end open ones.
    REFUSE = 'refuse'


class Proxy:
    """Forwards connections to ``target`` (``host:port``)."""

    def __init__(self, target, host='127.0.0.1'):
        self._target = paddle_kernel.split_address(target)
        self._pairs = set()
        self.mode = Mode.PASS
        self.delay_ms = 0
        self._server = gevent.server.StreamServer((host, 0), self._serve)
        self._server.start()

    @property
    def address(self):
        """The address in use as ``'host:port'``."""
        host, port = self._server.address[:2]
        return f'{host}:{port}'

    def stop(self):
        """Stop listening and end all connections."""
        self._server.stop(timeout=0)
        self.reset_all()

    def reset_all(self):
        """Reset every connection, in both directions."""
        for pair in list(self._pairs):
            for sock in pair:
                _reset(sock)

    def _serve(self, caller, _peer):
        if self.mode is Mode.REFUSE:
            _reset(caller)
            return
        try:
            server = gevent.socket.create_connection(self._target, 2)
        except OSError:
            _reset(caller)
            return
        pair = (caller, server)
        self._pairs.add(pair)
        forward = gevent.spawn(self._pump, caller, server, Mode.DROP_TO_SERVER)
        self._pump(server, caller, Mode.DROP_TO_CALLER)
        forward.kill()
        self._pairs.discard(pair)
        caller.close()
        server.close()

    def _pump(self, source, target, drop_mode):
        try:
            while data := source.recv(RECEIVE_BYTES):
                if self.mode is Mode.DELAY:
                    gevent.sleep(self.delay_ms / 1_000)
                if self.mode is Mode.REFUSE:
                    break
                if self.mode not in (drop_mode, Mode.SILENT):
                    target.sendall(data)
        except OSError:
            # One side closed the connection; the shutdown below passes it on.
            pass
        try:
            target.shutdown(plain_socket.SHUT_WR)
        except OSError:
            # The other side has closed the connection too.
            pass


def _reset(sock):
    try:
        sock.setsockopt(
            plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, RESET_ON_CLOSE
        )
        # Wakes greenlets that are blocked in recv() on this socket.
        sock.shutdown(plain_socket.SHUT_RD)
        sock.close()
    except OSError:
        # The socket was already closed.
        pass
