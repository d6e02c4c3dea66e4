"""Tests of the framing and of calls between processes."""

import io

import gevent
import gevent.socket
import hypothesis
from hypothesis import strategies as st
import paddle_coord as coord
import paddle_kernel as kernel
from paddle_kernel import _transport
import pytest
import returns.result

REPORT = coord.DemandReport('d', 'i', 'live', ())


class ChunkedSocket:
    """A socket that returns its data in chunks of the given sizes."""

    def __init__(self, data, sizes):
        self._data = io.BytesIO(data)
        self._sizes = iter(sizes)

    def recv(self, _size):
        return self._data.read(next(self._sizes, 1))


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(st.lists(st.integers(1, 200), max_size=20))
def test_frames_are_read_from_chunks_of_any_size(sizes):
    # Guards against a reader that loses bytes received after a frame.
    data = b''.join(_transport.pack(number, REPORT) for number in range(5))
    reader = _transport.FrameReader(
        ChunkedSocket(data, sizes), kernel.Traffic()
    )
    frames = [reader.read() for _ in range(5)]
    assert frames == [(number, REPORT) for number in range(5)]
    with pytest.raises(EOFError):
        reader.read()


@pytest.fixture
def emitted_events(monkeypatch):
    events = []
    monkeypatch.setattr(
        kernel._events,
        'emit',
        lambda event, **fields: events.append((event.number, fields)),
    )
    return events


def test_malformed_message_closes_its_connection_and_is_logged(emitted_events):
    # Guards against a connection to a faulty peer that closes without a log.
    server = kernel.TcpServer('127.0.0.1:0', lambda message: message).start()
    transport = kernel.TcpTransport()
    assert transport.call(server.address, REPORT, 2_000).unwrap() == REPORT
    bad = gevent.socket.create_connection(
        kernel.split_address(server.address), 2
    )
    bad.sendall(b'\0\0\0\x20' + b'\xff' * 32)
    assert bad.recv(1) == b''
    assert transport.call(server.address, REPORT, 2_000).unwrap() == REPORT
    transport.close()
    server.stop()
    assert [number for number, _fields in emitted_events] == [1002]


def test_handler_error_affects_only_its_call(emitted_events):
    # Guards against an exception in a handler that stops the process or
    # blocks the other calls on the same connection.
    def handler(message):
        if message.daemon == 'bad':
            raise KeyError(message.daemon)
        return message

    server = kernel.TcpServer('127.0.0.1:0', handler).start()
    transport = kernel.TcpTransport()
    bad = coord.DemandReport('bad', 'i', 'live', ())
    assert transport.call(server.address, bad, 100).failure().kind == 'timeout'
    assert transport.call(server.address, REPORT, 2_000).unwrap() == REPORT
    transport.close()
    server.stop()
    assert [number for number, _fields in emitted_events] == [1003]


UNENCODABLE = coord.DemandReport('d', '\ud800', 'live', ())


def test_an_answer_that_cannot_be_encoded_fails_only_its_call(emitted_events):
    # Guards against a caller that waits for an answer that never comes.
    server = kernel.TcpServer('127.0.0.1:0', lambda _message: UNENCODABLE)
    transport = kernel.TcpTransport()
    for _ in range(2):
        result = transport.call(server.start().address, REPORT, 60_000)
        assert result.failure().kind == 'failed'
        assert result.failure().was_sent
    transport.close()
    server.stop()
    numbers = [number for number, _fields in emitted_events]
    assert numbers == [1005, 1005]
    assert emitted_events[0][1]['message'] == 'DemandReport'
    assert emitted_events[0][1]['field'] == 'incarnation'


@pytest.mark.parametrize(
    ('reduced', 'outcome'),
    [(REPORT, REPORT), (UNENCODABLE, 'failed'), (None, 'failed')],
)
def test_the_part_that_can_be_encoded_is_sent(
    emitted_events, reduced, outcome
):
    server = kernel.TcpServer(
        '127.0.0.1:0',
        lambda _message: UNENCODABLE,
        reduce_answer=lambda _request, _answer: reduced,
    ).start()
    transport = kernel.TcpTransport()
    result = transport.call(server.address, REPORT, 60_000)
    transport.close()
    server.stop()
    if outcome is REPORT:
        assert result.unwrap() == REPORT
    else:
        assert result.failure().kind == outcome


def test_a_message_that_cannot_be_encoded_is_not_sent(emitted_events):
    server = kernel.TcpServer('127.0.0.1:0', lambda message: message).start()
    transport = kernel.TcpTransport()
    result = transport.call(server.address, UNENCODABLE, 2_000)
    assert kernel.is_unencodable(result) and not result.failure().was_sent
    assert transport.call(server.address, REPORT, 2_000).unwrap() == REPORT
    transport.close()
    server.stop()
    assert [number for number, _fields in emitted_events] == [1005]


@pytest.mark.parametrize('address', ['127.0.0.1:70000', 'x:y', '\ud800:1'])
def test_a_call_to_an_odd_address_is_refused(address):
    result = kernel.TcpTransport().call(address, REPORT, 500)
    assert result.failure().kind == 'refused'


def test_call_to_a_closed_port_is_refused_and_not_sent():
    # Guards against reporting an unsent message as possibly delivered.
    server = kernel.TcpServer('127.0.0.1:0', lambda message: message).start()
    address = server.address
    server.stop()
    result = kernel.TcpTransport().call(address, None, 500)
    assert isinstance(result, returns.result.Failure)
    assert not result.failure().was_sent


def test_a_call_without_a_message_closes_its_connection(emitted_events):
    server = kernel.TcpServer('127.0.0.1:0', lambda message: message).start()
    result = kernel.TcpTransport().call(server.address, None, 2_000)
    server.stop()
    assert result.failure().kind == 'closed'
    assert [number for number, _fields in emitted_events] == [1002]


def test_loop_is_libev_with_epoll():
    # Guards against gevent choosing its io_uring loop.
    kernel.check_loop()
    assert gevent.get_hub().loop.backend == 'epoll'


def test_a_call_that_raises_does_not_stop_a_broadcast():
    # Guards against a change that waits for good, and with it all later ones.
    class Raising:
        def call(self, address, message, timeout_ms):
            raise ValueError(address)

    with gevent.Timeout(1):
        answers = list(kernel.broadcast(Raising(), {'a:1': None}, 100))
    assert len(answers) == 1
