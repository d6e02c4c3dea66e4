"""Links from gateways to servers that a test can cut, without isolation tools.

A gateway that is started with ``python -m paddle_testbed.server_links`` opens
its connections to servers at a forwarder of the test, which listens at the
gateway's own loopback address and at the server's port. All other connections
are opened as usual.
"""

import contextlib
import ctypes
import json
import os
import pathlib
import runpy
import socket as plain_socket
import struct
import sys

import gevent.event
import gevent.server
import gevent.socket

# The fake servers listen there; controllers and gateways have addresses of
# their own.
SERVER_HOST = '127.0.0.1'
RECEIVE_BYTES = 65_536
# From <asm-generic/socket.h>, not in the socket module.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
# The packet filter "return 0", which drops every packet before TCP sees it:
# nothing is acknowledged or answered.
_DROP_ALL = ctypes.create_string_buffer(struct.pack('HBBI', 0x06, 0, 0, 0))
_DROP_FILTER = struct.pack('HL', 1, ctypes.addressof(_DROP_ALL))
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class ServerLinks:
    """The forwarders between one gateway and all servers."""

    def __init__(self, gateway_ip, server_addresses):
        self._passing = gevent.event.Event()
        self._passing.set()
        self._open = []
        self._listeners = {}
        for address in server_addresses:
            host, _colon, port = address.rpartition(':')
            self._listen((gateway_ip, int(port)), (host, int(port)))

    def hang(self):
        """Drop all packets of open and new connections."""
        self._passing.clear()
        for item in self._listeners.values():
            _set_filter(item.socket, is_dropping=True)
        for caller, _server in self._open:
            _set_filter(caller, is_dropping=True)

    def refuse_new(self):
        """Refuse new connections; open ones go on."""
        for item in self._listeners.values():
            item.close()

    def reset_and_refuse(self):
        """Reset open connections and refuse new ones."""
        self.refuse_new()
        for pair in list(self._open):
            for sock in pair:
                _close_with_reset(sock)

    def restore(self):
        """Forward as before the cut."""
        for caller, _server in self._open:
            _set_filter(caller, is_dropping=False)
        for (local, target), item in list(self._listeners.items()):
            if item.closed:
                self._listen(local, target)
            else:
                _set_filter(item.socket, is_dropping=False)
        self._passing.set()

    def stop(self):
        """Stop listening and close all connections."""
        self.reset_and_refuse()

    def _listen(self, local, target):
        server = gevent.server.StreamServer(
            local, lambda sock, _peer: self._forward(sock, target)
        )
        server.start()
        self._listeners[local, target] = server

    def _forward(self, caller, target):
        try:
            server = gevent.socket.create_connection(target)
        except OSError:
            _close_with_reset(caller)
            return
        pair = (caller, server)
        self._open.append(pair)
        both = [
            gevent.spawn(self._copy, caller, server),
            gevent.spawn(self._copy, server, caller),
        ]
        gevent.joinall(both)
        self._open.remove(pair)
        for sock in pair:
            sock.close()

    def _copy(self, source, target):
        try:
            while data := source.recv(RECEIVE_BYTES):
                self._passing.wait()
                target.sendall(data)
            self._passing.wait()
            target.shutdown(plain_socket.SHUT_WR)
        except OSError:
            # A reset of one side is a reset of the other.
            self._passing.wait()
            _close_with_reset(source)
            _close_with_reset(target)


def _set_filter(sock, *, is_dropping):
    # Closed meanwhile, or no filter attached.
    with contextlib.suppress(OSError):
        if is_dropping:
            sock.setsockopt(
                plain_socket.SOL_SOCKET, SO_ATTACH_FILTER, _DROP_FILTER
            )
        else:
            sock.setsockopt(plain_socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


def _close_with_reset(sock):
    # Closed by the other direction already.
    with contextlib.suppress(OSError):
        sock.setsockopt(
            plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, _RESET_ON_CLOSE
        )
        sock.close()


def _run_gateway(main):
    """Run ``main`` with connections to servers opened at the forwarders."""
    path = pathlib.Path(os.environ['ROSEMARYPADDLE_CONFIG'])
    settings = json.loads(path.read_text())
    connect = gevent.socket.socket.connect

    def connect_to_forwarder(sock, address):
        host, port = address[:2]
        is_cloud = f'{host}:{port}' == settings['cloud']['address']
        if host == SERVER_HOST and not is_cloud:
            address = (settings['ipAddress'], port)
        return connect(sock, address)

    gevent.socket.socket.connect = connect_to_forwarder
    sys.argv = [main, 'gateway']
    sys.path.insert(0, str(pathlib.Path(main).parent))
    runpy.run_path(main, run_name='__main__')


if __name__ == '__main__':
    _run_gateway(sys.argv[1])
