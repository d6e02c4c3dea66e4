"""Tests of how a gateway finds the version that began a stream."""

import types

import gevent
import paddle_kernel
from paddle_router import gateway
from paddle_router.gateway import _messages
from paddle_router.gateway import _model
from paddle_router.gateway import _stream_origins
from paddle_router import policy
import pytest
import returns.result

CONTROLLERS = tuple(f'c{number}:1' for number in range(5))
SERVICE = 'engines'
STREAM = 'r1'


class Controllers:
    """Controllers that answer look-ups, each after ``delays_ms``."""

    def __init__(self, wall):
        self._wall = wall
        self.delays_ms = dict.fromkeys(CONTROLLERS, 0)
        self.versions = dict.fromkeys(CONTROLLERS, ('v1',))
        self.origins = {}

    def call(self, address, message, timeout_ms):
        assert message == gateway.FindStream(id=STREAM)
        delay_ms = self.delays_ms[address]
        gevent.sleep(min(delay_ms, timeout_ms) / paddle_kernel.MS_PER_S)
        if delay_ms >= timeout_ms:
            return returns.result.Failure(
                paddle_kernel.CallError('timeout', address)
            )
        now_ms = self._wall.now_ms()
        return returns.result.Success(
            gateway.StreamFound(
                origin=self.origins.get(address),
                versions=tuple(
                    policy.ServiceVersion(
                        service=SERVICE, version=version, seen_ms=now_ms
                    )
                    for version in self.versions[address]
                ),
                is_complete=True,
            )
        )


class Lookup:
    """The origins of a gateway that only knows version v1."""

    def __init__(self):
        clock = paddle_kernel.SystemClock()
        wall = paddle_kernel.SteadyWall(clock)
        self.controllers = Controllers(wall)
        follower = types.SimpleNamespace(
            member_addresses=lambda: CONTROLLERS,
            controller_addresses=lambda: CONTROLLERS,
        )
        self.origins = _stream_origins.StreamOrigins(
            types.SimpleNamespace(clock=clock, wall=wall, follower=follower),
            self.controllers,
        )
        self.recorders = _stream_origins._recorders(STREAM, CONTROLLERS)

    def record(self, address, version):
        self.controllers.versions[address] = ('v1', version)
        self.controllers.origins[address] = _messages.StreamOrigin(
            id=STREAM, service=SERVICE, version=version, sent_ms=1
        )

    def take_up(self):
        """Return the version that may continue the stream, or ``None``."""
        route = types.SimpleNamespace(
            kind=_model.Kind.STREAM,
            services=(types.SimpleNamespace(service=SERVICE),),
        )
        call = types.SimpleNamespace(
            metadata=types.SimpleNamespace(
                last_event_id=b'3', resumed_id=STREAM, request_id='r2'
            ),
            route=route,
            service=SERVICE,
            software_version=None,
        )
        return call.software_version if self.origins.resolve(call) else None


@pytest.fixture
def lookup():
    return Lookup()


@pytest.mark.parametrize('copies', [1, 2])
def test_a_record_is_found_before_other_controllers_know_the_version(
    lookup, copies
):
    # Guards against a stream of a version that has just joined: a majority
    # answered at once that only the old version serves, before the answer of
    # a controller with the record of the stream.
    for address in lookup.recorders:
        lookup.controllers.delays_ms[address] = 50
    for address in lookup.recorders[:copies]:
        lookup.record(address, 'v2')
    assert lookup.take_up() == 'v2'


def test_a_stream_without_a_record_goes_on_while_one_version_serves(lookup):
    # Guards against refusals of take-ups beside lost controllers.
    for address in lookup.recorders:
        lookup.controllers.delays_ms[address] = 10_000
    assert lookup.take_up() == 'v1'


def test_a_stream_without_a_record_is_refused_beside_another_version(lookup):
    # Guards against a gateway that decides by the versions that it knows.
    lookup.controllers.versions[CONTROLLERS[0]] = ('v1', 'v2')
    for address in CONTROLLERS[3:]:
        lookup.controllers.delays_ms[address] = 10_000
    assert lookup.take_up() is None
