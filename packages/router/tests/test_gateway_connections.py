"""Tests of the connection pool for backend servers."""

import paddle_kernel
from paddle_router.gateway import _buffers
from paddle_router.gateway import _connections
from paddle_router.gateway import _reach
import pytest


@pytest.mark.parametrize(
    'address', ['127.0.0.1:70000', '127.0.0.1:-1', '\ud800:80', 'h:port']
)
def test_an_odd_address_is_no_connection(address):
    # Guards against a request that fails as internal error instead of being
    # sent to another server.
    clock = paddle_kernel.FakeClock()
    pool = _connections.ConnectionPool(
        clock,
        _buffers.BufferAccount(0, clock, metrics=None),
        _reach.ServerReachability(clock, lambda: ()),
    )
    for _ in range(2):
        with pytest.raises(_connections.NoConnectionError):
            pool.acquire(address, limit=1)
    assert pool.dump()[address] == {'open': 0, 'idle': 0}
