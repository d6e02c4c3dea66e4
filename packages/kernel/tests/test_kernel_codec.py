"""Tests of the encoding of messages and frames, with generated input."""

import gevent.socket
import hypothesis
from hypothesis import strategies as st
import pytest

import paddle_coord as coord
from paddle_coord import _acceptor
from paddle_coord import _messages
import paddle_kernel as kernel
from paddle_kernel import _transport

TEXT = st.text(max_size=40)
DEMAND = st.builds(coord.ClassDemand, TEXT, st.integers(0, 2**32 - 1))
REPORT = st.builds(
    coord.DemandReport,
    TEXT,
    TEXT,
    TEXT,
    st.lists(DEMAND, max_size=5).map(tuple),
)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(REPORT)
def test_message_is_the_same_after_encoding_and_decoding(report):
    # Guards against fields that are lost or mixed up on the wire.
    kind, data = kernel.codec.encode(report)
    assert kernel.codec.decode(kind, data) == report


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(st.binary(max_size=200))
def test_random_frame_is_a_frame_error(data):
    # Guards against an unexpected exception for a malformed frame from a peer.
    try:
        _transport.unpack(data)
    except kernel.FrameError:
        return


def test_server_survives_garbage_and_truncated_frames():
    # Guards against one faulty connection that stops the server.
    report = coord.DemandReport('d', 'i', 'live', ())
    server = kernel.TcpServer('127.0.0.1:0', lambda message: message).start()
    host, port = kernel.split_address(server.address)
    frame = _transport.pack(1, report)
    for data in (b'\xff' * 64, frame[:-3], b'\0\0\0\x04abcd'):
        sock = gevent.socket.create_connection((host, port), 2)
        sock.sendall(data)
        sock.close()
    transport = kernel.TcpTransport()
    answer = transport.call(server.address, report, 2_000).unwrap()
    transport.close()
    server.stop()
    assert answer == report


def test_unknown_message_kind_error_suggests_an_upgrade():
    # Guards against an obscure error when processes of different versions
    # communicate during an upgrade.
    with pytest.raises(kernel.UnknownMessageError, match='upgrade'):
        kernel.codec.decode('NotAMessage', b'')


@pytest.mark.parametrize('value', [None, b'', b'x'])
def test_absent_and_empty_values_remain_distinct(value):
    # Guards against a deleted value that is decoded as an empty one.
    promise = _messages.Promise(
        coord.Ballot(1, 'p'), _acceptor.Record(value), 0
    )
    kind, data = kernel.codec.encode(promise)
    assert kernel.codec.decode(kind, data).record.value == value
