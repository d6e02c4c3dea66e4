"""Fake backend server of the users' platform with scripted answers.

It reads one request at a time from each connection and answers with the bytes
that a script returns, so that tests can answer as a faulty server would.
"""

import json
import socket as plain_socket

import gevent
import gevent.server

STAMP = b'Rosemarypaddle-Response-Stamp: 3e1b.07'
RECEIVE_BYTES = 65_536


class Received:
    """A received request; header names are lower-case bytes."""

    def __init__(self, head, body):
        lines = head.split(b'\r\n')
        self.line = lines[0]
        self.headers = {}
        for line in lines[1:]:
            name, _colon, value = line.partition(b':')
            self.headers[name.strip().lower()] = value.strip()
        self.body = body

    @property
    def id(self):
        """The request id as bytes."""
        return self.headers.get(b'rosemarypaddle-request-id', b'')


class FakeOrigin:
    """Answers each request with the result of ``script(request, sock)``.

    The script returns bytes, or a list of bytes, pauses in seconds, functions
    to call and ``None`` to close the connection; a result of ``None`` sends no
    answer. ``aborted`` counts the connections that the other side closed
    before the answer was sent.
    """

    def __init__(self, script):
        self.script = script
        self.requests = []
        self.aborted = 0
        self._connections = set()
        self._server = self._listen(('127.0.0.1', 0))

    @property
    def address(self):
        """The address in use as ``'host:port'``."""
        host, port = self._server.address[:2]
        return f'{host}:{port}'

    def stop(self):
        """Stop listening and close all connections."""
        self._server.stop(timeout=0)

    def crash(self, down_s):
        """End all connections; listen again after ``down_s`` seconds."""
        address = self._server.address
        self._server.stop(timeout=0)
        for sock in self._connections:
            try:
                sock.shutdown(plain_socket.SHUT_RDWR)
            except OSError:
                # The other side has closed it already.
                continue
        gevent.spawn_later(down_s, self._restart, address)

    def _restart(self, address):
        self._server = self._listen(address)

    def _listen(self, address):
        server = gevent.server.StreamServer(address, self._serve)
        server.start()
        return server

    def _serve(self, sock, _peer):
        self._connections.add(sock)
        try:
            self._serve_requests(sock)
        finally:
            self._connections.discard(sock)

    def _serve_requests(self, sock):
        data = b''
        while True:
            while b'\r\n\r\n' not in data:
                received = _receive(sock)
                if not received:
                    return
                data += received
            head, _end, data = data.partition(b'\r\n\r\n')
            req = Received(head, b'')
            size = int(req.headers.get(b'content-length', b'0'))
            while len(data) < size:
                received = _receive(sock)
                if not received:
                    return
                data += received
            req.body, data = data[:size], data[size:]
            self.requests.append(req)
            if not self._answer(sock, req):
                sock.close()
                return

    def _answer(self, sock, req):
        steps = self.script(req, sock)
        if steps is None:
            self._wait_closed(sock)
            return False
        for step in [steps] if isinstance(steps, bytes) else steps:
            if step is None:
                return False
            if callable(step):
                step()
            elif isinstance(step, bytes):
                try:
                    sock.sendall(step)
                except OSError:
                    self.aborted += 1
                    return False
            else:
                gevent.sleep(step)
        return True

    def _wait_closed(self, sock):
        try:
            sock.recv(1)
        except ConnectionResetError:
            pass
        self.aborted += 1


def _receive(sock):
    try:
        return sock.recv(RECEIVE_BYTES)
    except OSError:
        # A reset by the caller, or a crash of this server, counts as a closed
        # connection.
        return b''


def response(req, body=b'ok', *, status=b'200 OK', extra=()):
    """Return a complete answer with a stamp and a content length."""
    return b'\r\n'.join(
        [
            b'HTTP/1.1 ' + status,
            b'Rosemarypaddle-Request-Id: ' + req.id,
            STAMP,
            b'Content-Length: %d' % len(body),
            *extra,
            b'',
            body,
        ]
    )


def stream_head(req, *, extra=()):
    """Return the head of a chunked stream of events."""
    return unframed_head(req, extra=(b'Transfer-Encoding: chunked', *extra))


def unframed_head(req, *, extra=()):
    """Return the head of a stream that ends with its connection."""
    return b'\r\n'.join(
        [
            b'HTTP/1.1 200 OK',
            b'Rosemarypaddle-Request-Id: ' + req.id,
            STAMP,
            b'Content-Type: text/event-stream',
            *extra,
            b'',
            b'',
        ]
    )


def move_response(status, document, *, extra=()):
    """Return the response to a request to move a run."""
    body = json.dumps(document).encode()
    return b'\r\n'.join(
        [
            b'HTTP/1.1 %d X' % status,
            b'Content-Length: %d' % len(body),
            *extra,
            b'',
            body,
        ]
    )


def event(number, data=b'x'):
    """Return one server-sent event as a chunk of a stream."""
    text = b'id: %d\ndata: %s\n\n' % (number, data)
    return b'%x\r\n%s\r\n' % (len(text), text)


STREAM_END = b'0\r\n\r\n'
