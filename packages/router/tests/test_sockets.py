"""Sending on sockets whose buffer takes only a part at once."""

import gevent
import gevent.socket
import pytest

from paddle_router import _sockets

MORE_THAN_A_BUFFER = 8 * 1024 * 1024
PIECE_BYTES = 65_536
TIMEOUT_S = 10


def test_data_larger_than_the_buffer_arrives_whole():
    # Guards against the rest of a partial send being lost or sent twice.
    near, far = gevent.socket.socketpair()
    data = bytes(range(256)) * (MORE_THAN_A_BUFFER // 256)
    sender = gevent.spawn(_sockets.send_whole, near, data)
    got = bytearray()
    with gevent.Timeout(TIMEOUT_S):
        while len(got) < len(data):
            got += far.recv(PIECE_BYTES)
        sender.get()
    assert bytes(got) == data
    near.close()
    far.close()


def test_other_side_that_is_gone_raises():
    near, far = gevent.socket.socketpair()
    far.close()
    with pytest.raises(OSError, match='pipe|reset'):
        _sockets.send_whole(near, b'x')
    near.close()
