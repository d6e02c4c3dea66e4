"""Fake plain service: bookings and status lookups."""

import json

import falcon
import gevent

from paddle_testbed.fakes import _server

MS_PER_S = 1_000


class FakeService(_server.FakeServer):
    """Service with a non-idempotent call and an idempotent one.

    ``bookings`` lists the body of every booking that ran. ``delay_ms`` is the
    time between a booking and its answer. ``break_answer`` makes the next
    answer end within its body, once.
    """

    def __init__(self, *, delay_ms=0, **server_options):
        self.bookings = []
        self.delay_ms = delay_ms
        self.break_answer = False
        app = falcon.App()
        app.add_route('/bookings', _Bookings(self))
        app.add_route('/orders/{order}', _Status(self))
        super().__init__(app, **server_options)


class _Bookings:
    def __init__(self, service):
        self._service = service

    def on_post(self, req, resp):
        body = json.loads(req.bounded_stream.read())
        self._service.bookings.append(body)
        number = len(self._service.bookings)
        gevent.sleep(self._service.delay_ms / MS_PER_S)
        if self._service.break_answer:
            self._service.break_answer = False
            # The connection closes before a body of this length was sent.
            resp.set_header('Content-Length', '100')
            resp.stream = _broken_body()
            return
        resp.status = falcon.HTTP_201
        resp.media = {'booking': number, 'slot': body.get('slot')}


class _Status:
    def __init__(self, service):
        self._service = service

    def on_get(self, req, resp, order):
        resp.media = {'order': order, 'state': 'scanned'}


def _broken_body():
    yield b'{'
    raise ConnectionResetError('injected')
