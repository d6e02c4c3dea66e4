"""Fake platform of the daemons: instance list, orders, usage reports."""

import collections
import json
import time

import falcon
import gevent

from paddle_testbed.fakes import _server

MS_PER_S = 1_000
NS_PER_MS = 1_000_000


def _now_ms():
    return time.monotonic_ns() // NS_PER_MS


class FakePlatform(_server.FakeServer):
    """Platform with a delayed instance list and orders by failure domain.

    ``launch(order) -> dict | None`` starts a backend server for a start
    order and returns its list entry, or ``None`` if none is available;
    ``halt(instance_id)`` stops one. ``usage`` maps a window to all bodies
    reported for it; ``orders`` lists the accepted orders.
    """

    def __init__(
        self,
        *,
        list_lag_ms=300,
        checks_numbers=True,
        launch=lambda order: None,
        halt=lambda instance_id: None,
        **server_options,
    ):
        self.instances = {}
        self.orders = []
        self.usage = collections.defaultdict(list)
        self.list_lag_ms = list_lag_ms
        self.checks_numbers = checks_numbers
        self.highest_number = 0
        self.stale_orders = 0
        self.launch = launch
        self.halt = halt
        self._list_history = collections.deque()
        app = falcon.App()
        app.add_route('/instances', _Instances(self))
        app.add_route('/orders', _PlatformOrders(self))
        app.add_route('/usage/{window}', _Usage(self))
        super().__init__(app, **server_options)

    def add(self, instance_id, address, *, kind='engine', **entry):
        """Add a live backend server to the list."""
        self.instances[instance_id] = {
            'id': instance_id,
            'address': address,
            'kind': kind,
            'service': None,
            'models': [],
            'slots': 8,
            'failure_domain': 'a',
            'cheap': False,
            'price_per_hour': 1.0,
            'checks_numbers': True,
            'can_resume': True,
            'state': 'live',
            'leaves_in_ms': None,
            'order_id': None,
            **entry,
        }

    def reclaim(self, failure_domain, notice_ms):
        """Announce that the cheap servers of a failure domain leave.

        They are removed after ``notice_ms``.
        """
        for entry in self.instances.values():
            if entry['failure_domain'] == failure_domain and entry['cheap']:
                entry['state'] = 'leaving'
                entry['leaves_in_ms'] = notice_ms
                gevent.spawn_later(
                    notice_ms / MS_PER_S, self.remove, entry['id']
                )

    def remove(self, instance_id):
        """Remove a backend server from the list and halt it."""
        if self.instances.pop(instance_id, None) is not None:
            self.halt(instance_id)

    def shown_instances(self):
        """Return the list as it was ``list_lag_ms`` ago."""
        now_ms = _now_ms()
        current = [dict(entry) for entry in self.instances.values()]
        self._list_history.append((now_ms, current))
        while (
            len(self._list_history) > 1
            and self._list_history[1][0] <= now_ms - self.list_lag_ms
        ):
            self._list_history.popleft()
        return self._list_history[0][1]

    def is_stale(self, number):
        """Return whether a fencing number is too old; record it if not."""
        if self.checks_numbers and number < self.highest_number:
            self.stale_orders += 1
            return True
        self.highest_number = max(self.highest_number, number)
        return False


class _Instances:
    def __init__(self, platform):
        self._platform = platform

    def on_get(self, req, resp):
        resp.media = {'instances': self._platform.shown_instances()}


class _PlatformOrders:
    def __init__(self, platform):
        self._platform = platform

    def on_post(self, req, resp):
        order = json.loads(req.bounded_stream.read())
        platform = self._platform
        if platform.is_stale(order['number']):
            resp.status = falcon.HTTP_409
            resp.media = {'error': 'stale_number'}
            return
        platform.orders.append(order)
        if order['verb'] == 'stop':
            platform.remove(order['args']['instance'])
        else:
            entry = platform.launch(order)
            if entry is None:
                resp.status = falcon.HTTP_503
                resp.media = {'error': 'unavailable'}
                return
            options = {'order_id': order['id'], **entry}
            platform.add(options.pop('id'), options.pop('address'), **options)
        resp.status = falcon.HTTP_202
        resp.media = {'id': order['id'], 'state': 'accepted'}


class _Usage:
    def __init__(self, platform):
        self._platform = platform

    def on_put(self, req, resp, window):
        body = req.bounded_stream.read()
        platform = self._platform
        if platform.is_stale(int(req.get_header('Paddle-Number'))):
            resp.status = falcon.HTTP_409
            resp.media = {'error': 'stale_number'}
            return
        earlier_bodies = platform.usage[window]
        if earlier_bodies and earlier_bodies[0] != body:
            resp.status = falcon.HTTP_409
            resp.media = {'error': 'conflict'}
            return
        earlier_bodies.append(body)
        resp.media = {'window': window}
