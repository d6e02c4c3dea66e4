"""Tests of servers that are cold: all gateways together keep to their rate.

The programs run as processes; the platform's list says that one of three
servers is cold, and callers send more than it tolerates.
"""

import copy
import time

import attrs
import gevent
import pytest

from paddle_testbed import fakes
from paddle_testbed import fleet as fleets
from paddle_testbed import fleet_load
from paddle_testbed import gateway_harness

GATEWAYS = 4
SEND_INTERVAL_S = 0.01
RATE_PER_S = 4.0
OVERAGE = 1.5
SLACK = 4
BOUND = RATE_PER_S * OVERAGE + SLACK
COLD_S = 6.0
# The controllers collect the reports of all gateways before they give out
# positions; until then a cold server gets nothing.
SETTLE_S = 4.0
RUN_S = 4.0
CONFIG = fleet_load.build_config(
    'plain', kind='safe', timeoutMs=1500, targetLatencyMs=200, attempts=2
)
CONFIG['services'][0].update(coldStartS=COLD_S, coldPerS=RATE_PER_S)


class Server:
    """A backend server that records the times of its requests."""

    def __init__(self, name):
        self.name = name
        self.arrivals = []
        self.origin = fakes.FakeOrigin(self._respond)

    def most_in_second(self):
        return max(
            (
                sum(first <= at_s < first + 1 for at_s in self.arrivals)
                for first in self.arrivals
            ),
            default=0,
        )

    def _respond(self, req, _sock):
        self.arrivals.append(time.monotonic())
        return [0.02, fakes.response(req)]


@pytest.fixture
def servers():
    built = [Server(f'i-{number}') for number in range(3)]
    yield built
    for item in built:
        item.origin.stop()


def send_load(fleet):
    addresses = fleet_load.gateway_addresses(fleet)
    requests = []
    end_s = time.monotonic() + RUN_S
    while time.monotonic() < end_s:
        requests.append(
            gevent.spawn(
                fleet_load.send_request,
                next(addresses),
                headers=('Rosemarypaddle-Deadline-Milliseconds: 1500',),
            )
        )
        gevent.sleep(SEND_INTERVAL_S)
    gevent.joinall(requests)
    return [request.value for request in requests]


def test_a_server_that_the_list_shows_as_cold_gets_few_requests(
    tmp_path, servers
):
    # Guards against gateways that each keep to the rate by themselves: four of
    # them would send 32 a second here, as to the other servers.
    cold = servers[0]
    entries = [
        fleet_load.list_entry(item.name, 'plain', item.origin)
        for item in servers
    ]
    cloud = fakes.FakeCloud()
    cloud.entries = entries
    fleet = fleets.Fleet(
        tmp_path,
        cloud,
        controllers=3,
        gateways=GATEWAYS,
        bounds={'coldOverage': OVERAGE, 'coldSlack': SLACK},
    )
    try:
        fleet.start_all()
        fleet.put_configuration(CONFIG)
        for name in fleet.names('gateway'):
            fleet.wait_ready(name)
        gevent.sleep(SETTLE_S)
        entries[0]['coldRemainingMs'] = COLD_S * 1_000

        def is_known():
            return all(
                fleet.dump(name)['balancers']['plain']['i-0']['cold_until_ms']
                for name in fleet.names('gateway')
            )

        fleets.wait_for(is_known, 'the gateways did not hear of it')
        responses = send_load(fleet)
    finally:
        fleet.stop()
        cloud.stop()
    assert cold.most_in_second() <= BOUND
    # Cold servers are used, and the others take the rest.
    assert len(cold.arrivals) >= 0.3 * RATE_PER_S * RUN_S
    served = sum(data.startswith(b'HTTP/1.1 200') for data in responses)
    assert served >= 0.98 * len(responses)


# One gateway


def test_only_warm_servers_are_used_without_a_turn(harness, events):
    # Guards against a gateway that does not know its turn yet, as after its
    # restart, and against operators that don't see which servers are cold.
    config = copy.deepcopy(gateway_harness.CONFIG)
    config['services'][0].update(coldStartS=5, coldPerS=RATE_PER_S)
    harness.controllers.config = config
    harness.serve(gateway_harness.respond_ok, gateway_harness.respond_ok)
    cold, warm = harness.controllers.servers
    now_ms = harness.gateway.components.wall.now_ms()
    harness.controllers.servers = (
        attrs.evolve(cold, cold_until_ms=now_ms + 60_000),
        warm,
    )
    harness.follower.step()
    for number in range(10):
        status, _text, _body = gateway_harness.exchange(
            harness, gateway_harness.request(f'/safe/{number}')
        )
        assert status == 200
    assert not harness.origins[0].requests
    assert len(harness.origins[1].requests) == 10
    assert [item['server'] for item in events.fields_of(3355)] == [cold.id]
    assert b'paddle_gateway_servers_cold 1.0' in harness.gateway.metrics.text()
    harness.controllers.servers = (warm,)
    harness.follower.step()
    assert [item['server'] for item in events.fields_of(3357)] == [cold.id]
