"""Tests of a controller's soft state and of sealed usage windows."""

import attrs
import paddle_coord
import paddle_kernel
from paddle_router import gateway
from paddle_router.hub import _duties
from paddle_router.hub import _fleet
import pytest

SERVER = gateway.ListedServer(
    id='i-1', service='s', address='10.0.0.1:80', domain='d1', slots=4
)


@pytest.fixture
def clock():
    return paddle_kernel.FakeClock()


@pytest.fixture
def fleet(clock):
    return _fleet.Fleet(clock)


def report(name='g1', sequence=1, running=2, usage=()):
    return gateway.FrontReport(
        name=name,
        incarnation=f'{name}-x',
        sequence=sequence,
        flights=(gateway.ServerFlights(id='i-1', running=running),),
        usage=tuple(
            gateway.UsageCount(window=window, customer='c', requests=count)
            for window, count in usage
        ),
    )


def test_an_old_list_replaces_no_list_of_a_gateway(fleet, clock):
    # A controller read an empty list when the system started. Gateways that
    # lost the one in charge turned to it and had no server left.
    fleet.set_servers(())
    clock.advance(10_000)
    assert fleet.listing_for('held') == ('held', ())
    fleet.set_servers((SERVER,))
    assert fleet.listing_for('held') == (fleet.listing, (SERVER,))
    assert fleet.listing_for(fleet.listing) == (fleet.listing, ())


def test_a_gateway_without_a_list_gets_an_old_one(fleet, clock):
    # The platform is down and the gateway was just started.
    fleet.set_servers((SERVER,))
    clock.advance(10_000)
    assert fleet.listing_for('') == (fleet.listing, (SERVER,))
    assert _fleet.Fleet(clock).listing_for('') == ('', ())


def test_sums_leave_out_gateways_that_are_silent(fleet, clock):
    fleet.note((report('g1'),), True)
    clock.advance(1_000)
    fleet.note((report('g2', running=3),), False)
    assert fleet.flights()['i-1'].running == 5
    clock.advance(1_000)
    assert fleet.flights()['i-1'].running == 3
    assert fleet.count() == 2


def test_an_older_report_does_not_replace_a_newer_one(fleet):
    # Reports also come through other controllers, later.
    fleet.note((report(sequence=5, running=7),), True)
    fleet.note((report(sequence=4, running=1),), False)
    assert fleet.flights()['i-1'].running == 7


def test_a_controller_is_informed_after_gateways_had_time(fleet, clock):
    fleet.set_servers((SERVER,))
    fleet.note((report(),), True)
    assert not fleet.is_informed
    for sequence in range(2, 12):
        clock.advance(250)
        fleet.note((report(sequence=sequence),), True)
    assert fleet.is_informed
    clock.advance(3_000)
    assert not fleet.is_informed


def test_a_sealed_window_keeps_its_counts():
    data = _duties.seal(None, 7, {'a': 1})
    again = _duties.seal(data, 7, {'a': 2})
    assert isinstance(again, paddle_coord.Reject)
    older = _duties.seal(data, 6, {'a': 2})
    assert isinstance(older, paddle_coord.Reject)
    later = _duties.seal(data, 8, {'b': 3})
    assert _duties.SealedWindows.from_bytes(later).windows == {
        7: {'a': 1},
        8: {'b': 3},
    }


def test_the_length_of_the_list_of_sealed_windows_is_bounded():
    data = None
    for window in range(50):
        data = _duties.seal(data, window, {'a': window})
    kept = _duties.SealedWindows.from_bytes(data).windows
    assert sorted(kept) == list(range(42, 50))


def test_counts_of_a_gateway_are_cumulative(fleet):
    fleet.note((report(usage=((7, 3),)),), True)
    fleet.note((report(sequence=2, usage=((7, 5),)),), True)
    fleet.note((report('g2', usage=((7, 1), (8, 4))),), True)
    assert fleet.usage(7) == {'c': 6}
    assert fleet.usage(9) == {}


def test_servers_that_only_grow_warm_are_no_new_list(fleet):
    # Otherwise every read would be sent to every gateway.
    fleet.set_servers((attrs.evolve(SERVER, cold_ms=500),))
    listing = fleet.listing
    assert not fleet.set_servers((attrs.evolve(SERVER, cold_ms=400),))
    assert fleet.listing == listing
