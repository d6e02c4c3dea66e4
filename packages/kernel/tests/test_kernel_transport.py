"""Tests of frames and calls between processes."""

import gevent
import paddle_kernel as kernel
import returns.result


def test_call_to_a_closed_port_is_refused_and_not_sent():
    # Guards against reporting an unsent message as possibly delivered.
    server = kernel.TcpServer('127.0.0.1:0', lambda message: message).start()
    address = server.address
    server.stop()
    result = kernel.TcpTransport().call(address, None, 500)
    assert isinstance(result, returns.result.Failure)
    assert not result.failure().was_sent


def test_loop_is_libev_with_epoll():
    # Guards against gevent choosing its io_uring loop.
    kernel.check_loop()
    assert gevent.get_hub().loop.backend == 'epoll'
