"""A backend server and callers that send or read without ever pausing.

They run as processes of their own, since a peer in the process of the gateway
would pause whenever the gateway runs. ``EndlessPeer`` starts such a process,
which ends by itself after ``LIFETIME_S``.
"""

import select
import signal
import socket
import subprocess
import sys

from paddle_testbed import fakes

MODULE = 'paddle_testbed.endless_peer'
RECEIVE_BYTES = 1 << 20
# Each write holds many pieces, so that the reader always finds more.
WRITE_BYTES = 1 << 18
START_LIMIT_S = 10
LIFETIME_S = 12


def chunk(data):
    """Return ``data`` as a chunk of a body."""
    return b'%x\r\n%s\r\n' % (len(data), data)


NONSENSE = b'\x00HTP/9 nonsense\r\n\r\n' * 1_000
# Bodies that repeat without end, by the name in the path of the request.
PIECES = {
    'nonsense': chunk(NONSENSE),
    'events': chunk(b'data: x\n\n') * 100,
    'comments': chunk(b':\n\n') * 100,
    'lines': chunk(b'\n' * 60_000),
    'bytes': chunk(b'x') * 1_000,
    'text': chunk(b'x' * 60_000),
}


class EndlessPeer:
    """A process with a server of endless answers, or a caller."""

    def __init__(self, *arguments):
        self._process = subprocess.Popen(
            [sys.executable, '-m', MODULE, *arguments],
            stdout=subprocess.PIPE,
        )

    @classmethod
    def serve(cls):
        """Start a server; the path of a request selects its body."""
        return cls('serve')

    @classmethod
    def read(cls, address, request):
        """Start a caller that sends ``request`` and reads on and on."""
        return cls('read', address, request.hex())

    @classmethod
    def write(cls, address, request, piece):
        """Start a caller that sends ``piece`` after ``request`` for ever."""
        return cls('write', address, request.hex(), piece.hex())

    def read_line(self):
        """Return the next line that the process has written.

        :raises TimeoutError: if there is none in time.
        """
        if not select.select([self._process.stdout], [], [], START_LIMIT_S)[0]:
            raise TimeoutError('the endless peer has written nothing')
        return self._process.stdout.readline().decode().strip()

    def is_running(self):
        """Whether its connection still lasts, for a caller."""
        return self._process.poll() is None

    def stop(self):
        """End the process."""
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()


def _request_head(sock):
    data = b''
    while b'\r\n\r\n' not in data:
        more = sock.recv(RECEIVE_BYTES)
        if not more:
            return None
        data += more
    return fakes.Received(data.partition(b'\r\n\r\n')[0], b'')


def _answer(sock):
    req = _request_head(sock)
    if req is None:
        return
    sock.sendall(fakes.stream_head(req))
    kind = req.line.split()[1].rpartition(b'/')[2].decode()
    piece = PIECES[kind]
    data = piece * (WRITE_BYTES // len(piece) + 1)
    while True:
        sock.sendall(data)


def _serve():
    listener = socket.create_server(('127.0.0.1', 0))
    print('%s:%d' % listener.getsockname()[:2], flush=True)
    while True:
        sock, _peer = listener.accept()
        with sock:
            try:
                _answer(sock)
            except OSError:
                # The other side has closed the connection.
                continue


def _connect(address):
    host, _colon, port = address.rpartition(':')
    return socket.create_connection((host, int(port)))


def _read(address, request):
    with _connect(address) as sock:
        sock.sendall(bytes.fromhex(request))
        print('sent', flush=True)
        while sock.recv(RECEIVE_BYTES):
            continue


def _write(address, request, piece):
    data = bytes.fromhex(piece)
    data *= WRITE_BYTES // len(data) + 1
    with _connect(address) as sock:
        sock.sendall(bytes.fromhex(request))
        print('sent', flush=True)
        while True:
            sock.sendall(data)


_COMMANDS = {'serve': _serve, 'read': _read, 'write': _write}

if __name__ == '__main__':
    signal.alarm(LIFETIME_S)
    try:
        _COMMANDS[sys.argv[1]](*sys.argv[2:])
    except OSError as exc:
        print(f'the connection ended: {exc}', flush=True)
