"""Base of the fakes: a falcon application on its own port."""

import gevent.pywsgi
import gevent.socket


class _Handler(gevent.pywsgi.WSGIHandler):
    """Handler that sends each chunk at once, without Nagle's algorithm."""

    def handle(self):
        self.socket.setsockopt(
            gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1
        )
        super().handle()


class FakeServer:
    """Serves ``app`` on a loopback address; port 0 takes any free port.

    ``seen`` lists ``(method, path, headers, body)`` of every request that
    arrived, so that tests can check what reached the backend server.
    """

    def __init__(self, app, host='127.0.0.1', port=0):
        self.seen = []
        self._app = app
        self._server = gevent.pywsgi.WSGIServer(
            (host, port),
            self._record,
            handler_class=_Handler,
            log=None,
            error_log=None,
        )

    def start(self):
        """Start listening."""
        self._server.start()
        return self

    def stop(self):
        """Stop at once, as in a crash, and close open connections."""
        self._server.stop(timeout=0)

    @property
    def address(self):
        """The address in use as ``'host:port'``."""
        host, port = self._server.address
        return f'{host}:{port}'

    def _record(self, environ, start_response):
        headers = {
            name[5:].replace('_', '-').title(): value
            for name, value in environ.items()
            if name.startswith('HTTP_')
        }
        query = environ.get('QUERY_STRING')
        path = environ['PATH_INFO'] + (f'?{query}' if query else '')
        self.seen.append((environ['REQUEST_METHOD'], path, headers))
        return self._app(environ, start_response)
