"""Sending more data than fits into the send buffer of a socket."""

import gevent
import gevent.socket
import pytest

from paddle_router import _sockets

# Larger than the send buffer of a socket.
DATA_BYTES = 8 * 1024 * 1024
RECEIVE_BYTES = 65_536
TIMEOUT_S = 10


def test_data_larger_than_the_send_buffer_arrives_complete():
    # Guards against the rest of a partial send being lost or sent twice.
    local, remote = gevent.socket.socketpair()
    data = bytes(range(256)) * (DATA_BYTES // 256)
    sender = gevent.spawn(_sockets.send_all, local, data)
    received = bytearray()
    with gevent.Timeout(TIMEOUT_S):
        while len(received) < len(data):
            received += remote.recv(RECEIVE_BYTES)
        sender.get()
    assert bytes(received) == data
    local.close()
    remote.close()


def test_send_to_a_closed_peer_raises():
    local, remote = gevent.socket.socketpair()
    remote.close()
    with pytest.raises(OSError, match='pipe|reset'):
        _sockets.send_all(local, b'x')
    local.close()
