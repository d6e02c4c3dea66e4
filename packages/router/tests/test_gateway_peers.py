"""Tests of a gateway's list of other gateways."""

import json
import random
import types

import paddle_kernel
from paddle_router import gateway
from paddle_router.gateway import _peers
import pytest


def entry(number, domain):
    return gateway.PeerGateway(
        name=f'g{number}',
        incarnation=f'g{number}/1',
        address=f'10.0.0.{number}:80',
        domain=domain,
        key=f'secret{number}',
    )


NEAR = (entry(1, 'd1'), entry(2, 'd1'))
FAR = (entry(3, 'd2'), entry(4, 'd3'))


class Gateway:
    def __init__(self, address='10.0.0.9:80'):
        self.clock = paddle_kernel.FakeClock()
        self.reach = types.SimpleNamespace(is_cut=False)
        self.peers = _peers.Peers(
            types.SimpleNamespace(
                name='g9', failure_domain='d1', peer_listen=address
            ),
            self.clock,
            self.reach,
            'g9/1',
            'secret9',
            random.Random(5),
        )

    def receive(self, *items):
        self.peers.apply(types.SimpleNamespace(peers=items))

    def choices(self, excluded=()):
        return {
            peer and peer.name
            for peer in (self.peers.choose(excluded) for _ in range(50))
        }


@pytest.fixture
def front():
    built = Gateway()
    built.receive(*NEAR, *FAR)
    return built


def test_all_peers_of_the_own_domain_come_first(front):
    # Guards against traffic between domains, which is priced, and against one
    # peer that gets the requests of all gateways that are cut off.
    assert front.choices() == {'g1', 'g2'}
    assert front.choices({'g1'}) == {'g2'}
    assert front.choices({'g1', 'g2'}) == {'g3', 'g4'}
    assert front.choices({'g1', 'g2', 'g3', 'g4'}) == {None}


def test_a_peer_that_failed_is_left_out_for_a_while(front):
    # Guards against a request that is sent again and again to a peer that is
    # cut off, too, and against a peer that is never used again.
    front.peers.mark_failed(NEAR[0])
    assert front.choices() == {'g2'}
    front.receive(*NEAR, *FAR)
    assert front.choices() == {'g2'}
    for peer in (*NEAR, *FAR):
        front.peers.mark_failed(peer)
    assert front.choices() == {None}
    front.clock.advance(_peers.PEER_RETRY_MS)
    assert front.choices() == {'g1', 'g2'}


def test_one_request_tries_a_peer_that_failed_until_it_accepts(front):
    # Guards against all requests that wait for the same peer again and again,
    # and against a peer that stays left out after it has accepted.
    front.peers.begin_attempt(NEAR[1])
    assert front.choices() == {'g1', 'g2'}
    front.peers.mark_failed(NEAR[0])
    front.clock.advance(_peers.PEER_RETRY_MS)
    front.peers.begin_attempt(NEAR[0])
    assert front.choices() == {'g2'}
    front.peers.mark_connected(NEAR[0])
    assert front.choices() == {'g1', 'g2'}
    front.peers.mark_failed(NEAR[0])
    front.clock.advance(_peers.PEER_RETRY_MS)
    front.peers.begin_attempt(NEAR[0])
    front.clock.advance(_peers.PEER_RETRY_MS)
    # The attempt has ended without an outcome, as its caller has left.
    assert front.choices() == {'g1', 'g2'}


def test_a_request_tries_one_peer_that_failed_before_the_sound_ones(front):
    # Guards against a request that uses all its attempts at peers that have
    # not answered before, each of which takes 300 ms.
    for peer in NEAR:
        front.peers.mark_failed(peer)
    front.clock.advance(_peers.PEER_RETRY_MS)
    assert front.choices() == {'g1', 'g2'}
    assert front.choices({'g1'}) == {'g3', 'g4'}
    assert front.choices({'g1', 'g3', 'g4'}) == {'g2'}


def test_peers_are_asked_for_only_if_they_are_needed(front):
    # Guards against peers in every reply, which is several times as large.
    def wants():
        return front.peers.report_fields()['wants_peers']

    assert Gateway().peers.wants_peers
    assert not wants()
    front.peers.mark_failed(NEAR[0])
    assert not wants()
    front.reach.is_cut = True
    assert wants()
    front.receive(*FAR)
    assert not wants()
    front.clock.advance(_peers.PEERS_MAX_AGE_MS + 1)
    assert wants()


def test_a_reply_without_peers_keeps_them(front):
    # Guards against a controller that has just started and knows none.
    front.receive()
    assert front.choices() == {'g1', 'g2'}


def test_the_gateway_is_not_its_own_peer(front):
    # Guards against a request that a gateway sends to itself.
    front.receive(entry(9, 'd1'), *FAR)
    assert front.choices() == {'g3', 'g4'}


def test_the_own_entry_is_repeated_from_time_to_time(front):
    # Guards against an entry that a controller drops, and against one in each
    # report.
    sent = 0
    for _ in range(40):
        fields = front.peers.report_fields()
        assert not fields['is_cut']
        sent += fields['peer'] is not None
        front.clock.advance(250)
    assert sent == 10
    front.reach.is_cut = True
    assert front.peers.report_fields()['is_cut']


def test_a_gateway_without_an_address_for_others_has_no_peers():
    # Guards against an entry that others cannot use.
    front = Gateway(address='')
    assert front.peers.report_fields() == {}
    assert not front.peers.wants_peers


def test_the_dump_and_texts_of_messages_contain_no_keys(front):
    # Guards against keys in logs; who has one may send requests.
    front.peers.mark_failed(NEAR[0])
    dumped = front.peers.dump()
    assert dumped['failed'] == ['g1']
    assert 'secret' not in json.dumps(dumped)
    assert 'secret' not in repr(NEAR[0])
