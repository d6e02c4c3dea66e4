"""A fleet of processes under load, with scripted backend servers."""

import contextlib
import itertools
import time

import gevent.socket

from paddle_testbed import fakes
from paddle_testbed import fleet as fleets

HOST = 'h.example'
PATH = '/a/x'
KEY = 'k1'
CONNECT_TIMEOUT_S = 2
# Longer than the timeout of any route.
RESPONSE_TIMEOUT_S = 5
RECEIVE_BYTES = 65_536


def build_config(service, **route):
    """Return a configuration with one route to ``service``.

    ``route`` are the fields of the route in the platform's format.
    """
    return {
        'version': 3,
        'routes': [
            {
                'name': 'r',
                'host': HOST,
                'pathPrefix': '/a/',
                'service': service,
                **route,
            }
        ],
        'services': [
            {'name': service, 'healthPath': '/health', 'connectionLimit': 100}
        ],
        'tenants': [{'name': 'cust', 'accessKeys': [KEY]}],
    }


def list_entry(name, service, origin, *, version='v1'):
    """Return the entry of a server for the platform's list of instances."""
    return {
        'identifier': name,
        'service': service,
        'address': origin.address,
        'zone': 'z1',
        'version': version,
        'slots': 8,
        'state': 'ready',
    }


@contextlib.contextmanager
def running_fleet(folder, entries, config, *, gateways, prepare=None):
    """Run three controllers and ``gateways`` gateways that are ready.

    ``prepare`` is called with the fleet before its processes start.
    """
    cloud = fakes.FakeCloud()
    cloud.entries = entries
    fleet = fleets.Fleet(folder, cloud, controllers=3, gateways=gateways)
    try:
        if prepare is not None:
            prepare(fleet)
        fleet.start_all()
        fleet.put_configuration(config)
        for name in fleet.names('gateway'):
            fleet.wait_ready(name)
        yield fleet
    finally:
        fleet.stop()
        cloud.stop()


def gateway_addresses(fleet):
    """Return an endless iterator over the gateways' addresses, in turn."""
    return itertools.cycle(
        fleet.gateway_address(name) for name in fleet.names('gateway')
    )


def send_request(
    address,
    *,
    method='GET',
    path=PATH,
    request_id=None,
    headers=(),
    body=b'p',
    end=b'',
):
    """Send one request and return the bytes of its response.

    ``body`` is only sent with ``POST``.

    Reads until the response ends with ``end``, or once if that is empty. The
    bytes are incomplete if the connection breaks.
    """
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        'Rosemarypaddle-Request-Id: '
        + (request_id or f'r{time.monotonic_ns()}'),
        f'Authorization: Token {KEY}',
        *headers,
    ]
    body = body if method == 'POST' else b''
    if body:
        lines.append(f'Content-Length: {len(body)}')
    data = b''
    try:
        sock = gevent.socket.create_connection(address, CONNECT_TIMEOUT_S)
    except OSError:
        # The gateway is down; there is no response.
        return data
    try:
        sock.settimeout(RESPONSE_TIMEOUT_S)
        sock.sendall('\r\n'.join([*lines, '', '']).encode() + body)
        while received := sock.recv(RECEIVE_BYTES):
            data += received
            if data.endswith(end) or not data.startswith(b'HTTP/1.1 200'):
                break
    except OSError:
        # The caller sees that the response is incomplete.
        return data
    finally:
        sock.close()
    return data
