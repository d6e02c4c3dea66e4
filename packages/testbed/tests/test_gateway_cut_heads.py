"""Tests of servers that stop in the middle of a response's head."""

import pytest

from paddle_testbed import fakes
from paddle_testbed import gateway_harness

exchange = gateway_harness.exchange
ROUTES = ('/safe/x', '/book/x', '/chat/x', '/report/x')


def build_head(req, path):
    if path in ('/safe/x', '/book/x'):
        return fakes.response(req, b'').rpartition(b'\r\n')[0]
    return fakes.stream_head(req).rpartition(b'\r\n')[0]


def cut_positions(size):
    """Return positions in all parts of a head, up to its last byte."""
    return sorted({0, 1, 8, 9, 12, 15, 17, *range(20, size, 23), size})


class CutServer:
    """Serves every other request; cuts the head of the others."""

    def __init__(self, path):
        self._path = path
        self.is_cut = False
        self.position = 0
        self.cuts = 0

    def __call__(self, req, _sock):
        if not self.is_cut:
            if self._path in ('/safe/x', '/book/x'):
                return fakes.response(req)
            return [fakes.stream_head(req), fakes.event(1), fakes.STREAM_END]
        self.cuts += 1
        head = build_head(req, self._path)
        return [head[: self.position], None]


@pytest.mark.parametrize('is_kept', [True, False])
@pytest.mark.parametrize('path', ROUTES)
def test_a_head_that_is_cut_is_no_success(harness, path, is_kept):
    # Guards against callers that get a 200 with an empty body, framed as
    # complete. A kept connection has served another request before.
    server = CutServer(path)
    harness.serve(server)
    call = {'method': 'POST', 'body': b'p'}
    size = len(build_head(fakes.Received(b'', b''), path))
    for position in cut_positions(size + 20):
        if is_kept:
            server.is_cut = False
            request = gateway_harness.request(path, **call)
            assert exchange(harness, request)[0] == 200
        else:
            harness.gateway.components.pool.close_all_except(())
        server.is_cut, server.position, server.cuts = True, position, 0
        request = gateway_harness.request(path, **call)
        status, _text, body = exchange(harness, request)
        assert status == 502, (position, body)
        assert server.cuts == 1
