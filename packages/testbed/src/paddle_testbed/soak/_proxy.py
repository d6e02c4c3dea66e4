"""Loopback proxy that delays, resets, cuts or silences connections."""

import enum
import socket as plain_socket
import struct

import gevent
import gevent.server
import gevent.socket

import paddle_kernel

RECEIVE_BYTES = 65_536
# A socket closed with this option resets its connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """What happens to the bytes of all connections."""

    PASS = 'pass'
    DELAY = 'delay'
    # Bytes to the server, or to the caller, vanish.
    CUT_FORTH = 'cut_forth'
    CUT_BACK = 'cut_back'
    SILENT = 'silent'
    # Connections end at once.
    REFUSE = 'refuse'


class Proxy:
    """Passes connections on to ``target`` (``host:port``)."""

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
        forth = gevent.spawn(self._pump, caller, server, Mode.CUT_FORTH)
        self._pump(server, caller, Mode.CUT_BACK)
        forth.kill()
        self._pairs.discard(pair)
        caller.close()
        server.close()

    def _pump(self, source, target, cut):
        try:
            while data := source.recv(RECEIVE_BYTES):
                if self.mode is Mode.DELAY:
                    gevent.sleep(self.delay_ms / 1_000)
                if self.mode is Mode.REFUSE:
                    break
                if self.mode not in (cut, Mode.SILENT):
                    target.sendall(data)
        except OSError:
            # One side ended the connection; the other one is told below.
            pass
        try:
            target.shutdown(plain_socket.SHUT_WR)
        except OSError:
            # Both sides are gone.
            pass


def _reset(sock):
    try:
        sock.setsockopt(
            plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, RESET_ON_CLOSE
        )
        # Greenlets that wait on it see the end at once.
        sock.shutdown(plain_socket.SHUT_RD)
        sock.close()
    except OSError:
        # It was closed meanwhile.
        pass
