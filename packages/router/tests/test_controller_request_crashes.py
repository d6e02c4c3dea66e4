"""Tests of how controllers exchange evidence on prompts that crash servers."""

import paddle_kernel
from paddle_router.controller import _fleet
from paddle_router.controller import _request_crashes
from paddle_router import gateway
from paddle_router import policy
import pytest

HOLDER, NEAR, FAR = 'c0/1', 'c1/1', 'c2/1'
CRASHING, PREAMBLE = 'dead', 'a1'


class Cluster:
    """The evidence of three controllers, with gateways at two of them."""

    def __init__(self):
        self.clock = paddle_kernel.FakeClock()
        self.wall = paddle_kernel.SteadyWall(self.clock)
        self.holder = HOLDER
        self.collections = {}
        for name in (HOLDER, NEAR, FAR):
            self.start(name)
        self.number = 0

    def start(self, name):
        self.collections[name] = _request_crashes.RequestCrashCollection(
            self.wall, _fleet.Fleet(self.clock)
        )

    def report(self, name, *, parts=(), served=(), refused=()):
        """Send a gateway's report to the controller ``name``."""
        self.number += 1
        now_ms = self.wall.now_ms()
        crashes = ()
        if parts:
            crashes = (
                policy.CrashReport(
                    id=str(self.number),
                    server=policy.Incarnation(f's{self.number}'),
                    at_ms=now_ms,
                    traits=parts,
                    sent_ms=now_ms,
                ),
            )
        self.collections[name].add(
            gateway.GatewayReport(
                name='g',
                incarnation='g/1',
                sequence=1,
                flights=(),
                usage=(),
                crashes=crashes,
                served=tuple(
                    policy.ServedTrait(id=part, at_ms=now_ms)
                    for part in served
                ),
                refused=refused,
            )
        )

    def exchange(self, count=1, *, lost_replies=False):
        """Let the holder decide and all others report, ``count`` times."""
        holder = self.collections[self.holder]
        for _ in range(count):
            self.clock.advance(150)
            holder.decide()
            for name, collection in self.collections.items():
                if name == self.holder:
                    continue
                report = gateway.ControllerReport(
                    place=gateway.ControllerLocation(address=name, domain='d'),
                    fronts=(),
                    loads=b'',
                    version=0,
                    listing='',
                    **collection.report_fields(self.holder),
                )
                holder.add(report)
                reply = gateway.ControllerReply(
                    in_charge=True,
                    controllers=(),
                    fronts=1,
                    loads=b'',
                    version=0,
                    confirmed_age_ms=-1,
                    listing='',
                    list_age_ms=-1,
                    servers=(),
                    **holder.reply_fields(),
                )
                if not lost_replies:
                    collection.apply_reply(report, reply)

    def refused(self, name):
        return [
            item.id
            for item in self.collections[name].reply_fields()['refused']
        ]

    def crash_three_servers(self):
        for name in (NEAR, FAR, HOLDER):
            self.report(name, parts=(PREAMBLE, CRASHING))
            self.exchange(4)


@pytest.fixture
def cluster():
    return Cluster()


def test_crashes_seen_at_several_controllers_are_added_up(cluster):
    cluster.report(NEAR, served=(PREAMBLE,))
    cluster.crash_three_servers()
    cluster.report(FAR, served=(PREAMBLE,))
    cluster.exchange(12)
    for name in (HOLDER, NEAR, FAR):
        assert cluster.refused(name) == [CRASHING]


def test_a_part_served_at_another_controller_is_not_refused(cluster):
    # Guards against a decision without the gateways of other controllers.
    cluster.report(NEAR, parts=(PREAMBLE,))
    cluster.exchange(2)
    assert cluster.collections[FAR].reply_fields()['suspects'] == (PREAMBLE,)
    for _ in range(2):
        cluster.report(NEAR, parts=(PREAMBLE,))
    cluster.report(FAR, served=(PREAMBLE,))
    cluster.exchange(12)
    assert cluster.refused(HOLDER) == []


def test_a_new_lease_holder_gets_the_evidence_of_the_others(cluster):
    # Guards against counting the crashes anew after a change of the holder.
    for name in (NEAR, FAR):
        cluster.report(name, parts=(PREAMBLE, CRASHING))
        cluster.exchange(2)
    del cluster.collections[HOLDER]
    cluster.holder = FAR
    cluster.report(NEAR, parts=(CRASHING,))
    cluster.exchange(20)
    assert cluster.refused(FAR) == cluster.refused(NEAR) == [CRASHING]


def test_reports_are_sent_again_after_a_lost_reply(cluster):
    for _ in range(3):
        cluster.report(NEAR, parts=(CRASHING,))
        cluster.exchange(4, lost_replies=True)
    cluster.exchange(12)
    assert cluster.refused(NEAR) == [CRASHING]


def test_refusals_survive_a_restart_of_all_controllers(cluster):
    # The gateways report what they refuse.
    cluster.crash_three_servers()
    cluster.exchange(12)
    refused = cluster.collections[NEAR].reply_fields()['refused']
    for name in (HOLDER, NEAR, FAR):
        cluster.start(name)
    cluster.report(FAR, refused=refused)
    cluster.exchange(2)
    for name in (HOLDER, NEAR, FAR):
        assert cluster.refused(name) == [CRASHING]


def test_unconfirmed_reports_are_bounded_without_a_lease_holder(cluster):
    for _ in range(1_000):
        cluster.report(NEAR, parts=(PREAMBLE, CRASHING))
        cluster.clock.advance(2_000)
    fields = cluster.collections[NEAR].report_fields('')
    assert len(fields['crashes']) <= 301
