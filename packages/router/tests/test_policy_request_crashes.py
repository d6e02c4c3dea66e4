"""Tests of the decision which traits of requests crash servers."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from paddle_router import policy

START_MS = 1_700_000_000_000
COLLECTION_MS = 900
CRASHING = 'dead'
PREAMBLE = 'a1'


# Time from the sending of a request to the crash that it causes.
RUN_MS = 50


def report(number, at_ms, *parts, server=None, sent_ms=None):
    if sent_ms is None:
        sent_ms = at_ms - RUN_MS
    return policy.CrashReport(
        id=f'g/{number}',
        server=policy.Incarnation(server or f's{number}'),
        at_ms=START_MS + at_ms,
        traits=parts,
        sent_ms=START_MS + sent_ms,
    )


class Decider:
    """Decides every 150 ms, as the lease holder does."""

    def __init__(self):
        self.crashes = policy.RequestCrashes()
        self.now_ms = 0

    def run_until(self, now_ms):
        while self.now_ms < now_ms:
            self.now_ms += 150
            self.crashes.decide(START_MS + self.now_ms, COLLECTION_MS)

    def add_crash(self, number, at_ms, *prompts, sent_ms=None):
        """Add a crash that left requests with ``prompts`` unanswered."""
        self.run_until(at_ms)
        self.crashes.add_reports(
            [
                report(
                    f'{number}.{index}',
                    at_ms,
                    *parts,
                    server=f's{number}',
                    sent_ms=sent_ms,
                )
                for index, parts in enumerate(prompts)
            ],
            START_MS + at_ms,
        )

    def add_served(self, at_ms, *parts):
        self.run_until(at_ms)
        self.crashes.add_served(
            [
                policy.ServedTrait(id=part, at_ms=START_MS + at_ms)
                for part in parts
            ],
            START_MS + at_ms,
        )

    def refused(self):
        refused = self.crashes.refused(START_MS + self.now_ms)
        return [item.id for item in refused]


@pytest.fixture
def decider():
    return Decider()


def test_a_part_in_three_crashes_is_refused(decider):
    for number in range(3):
        decider.add_served(900 * number, PREAMBLE)
        decider.add_crash(number, 1_000 * number, (PREAMBLE, CRASHING))
    decider.run_until(4_000)
    assert decider.refused() == [CRASHING]


def test_two_crashes_are_no_proof(decider):
    for number in range(2):
        decider.add_crash(number, 1_000 * number, (CRASHING,))
    decider.run_until(30_000)
    assert decider.refused() == []


@pytest.mark.parametrize('apart_ms', [0, 3, 400])
@pytest.mark.parametrize('count', [3, 12])
def test_servers_that_crash_together_count_once(decider, count, apart_ms):
    # Guards against a part of all requests of a kind that is refused for ten
    # minutes because several servers lost their power together.
    for number in range(count):
        at_ms = 3_000 + number * apart_ms // count
        decider.add_crash(
            number,
            at_ms,
            (PREAMBLE, f'b{number}', request_of(number)),
            sent_ms=3_000 - 200 * number - 1,
        )
    decider.run_until(30_000)
    assert decider.refused() == []


def test_requests_sent_after_each_crash_count_each(decider):
    # Guards against a part that crashes servers one soon after the other and
    # is taken for a loss of power.
    for number in range(3):
        decider.add_crash(number, 100 * number, (CRASHING,), sent_ms=None)
    decider.run_until(3_000)
    assert decider.refused() == [CRASHING]


def test_crashes_far_apart_count_each(decider):
    # Guards against a part whose requests all waited at a server for long.
    for number in range(3):
        decider.add_crash(number, 1_500 * number, (CRASHING,), sent_ms=-9_000)
    decider.run_until(6_000)
    assert decider.refused() == [CRASHING]


def test_several_requests_in_one_crash_count_once(decider):
    # Guards against a part that is refused after one crash of a server with
    # several waiting requests, reported by several gateways.
    decider.add_crash(0, 0, *[(CRASHING,)] * 5)
    decider.run_until(10_000)
    assert decider.refused() == []


def test_the_first_part_of_all_prompts_is_not_refused(decider):
    # Guards against a refusal of a whole route: nearly all its requests have
    # the crashing part, so the common part was in every crash too.
    decider.add_served(0, PREAMBLE)
    for number in range(6):
        decider.add_crash(number, 900 * number, (PREAMBLE, CRASHING))
    decider.add_served(4_600, PREAMBLE)
    decider.run_until(8_000)
    assert decider.refused() == [CRASHING]


def test_parts_that_waited_beside_the_crashing_one_are_not_refused(decider):
    # Guards against refusing parts whose requests were at the same servers.
    for number in range(8):
        decider.add_crash(
            number, 500 * number, (PREAMBLE, CRASHING), (PREAMBLE, 'beside')
        )
        decider.add_served(500 * number + 100, PREAMBLE)
    decider.run_until(6_000)
    assert CRASHING in decider.refused()
    assert PREAMBLE not in decider.refused()


def test_indistinguishable_parts_are_refused_by_the_last_one(decider):
    # Fewer requests have the last part of a prompt.
    for number in range(3):
        decider.add_crash(number, 1_000 * number, ('first', 'last'))
    decider.run_until(5_000)
    assert decider.refused() == ['last']


def test_a_part_that_is_served_elsewhere_is_not_refused(decider):
    # Guards against crashes for another reason while few servers are left.
    for number in range(9):
        decider.add_crash(number, 500 * number, ('popular',))
        decider.add_served(500 * number + 100, 'popular')
    decider.run_until(9_000)
    assert decider.refused() == []


def test_a_part_that_begins_to_crash_servers_is_refused_later(decider):
    decider.add_served(0, CRASHING)
    for number in range(8):
        decider.add_crash(number, 1_000 + 1_000 * number, (CRASHING,))
    decider.run_until(9_500)
    assert decider.refused() == [CRASHING]


def test_gateways_have_time_to_report_that_a_part_was_served(decider):
    # Guards against a decision before all gateways were asked.
    for number in range(5):
        decider.add_crash(number, 100 * number, ('popular',))
    decider.run_until(COLLECTION_MS)
    assert decider.refused() == []
    assert decider.crashes.suspects == ('popular',)
    decider.add_served(COLLECTION_MS, 'popular')
    decider.run_until(5_000)
    assert decider.refused() == []


def test_one_crash_is_enough_after_a_refusal_has_ended(decider):
    for number in range(3):
        decider.add_crash(number, 1_000 * number, (CRASHING,))
    decider.run_until(620_000)
    assert decider.refused() == []
    decider.add_crash(9, 625_000, (CRASHING,))
    decider.run_until(630_000)
    assert decider.refused() == [CRASHING]


def test_a_refusal_of_another_instance_ends_at_the_same_time(decider):
    part = policy.RefusedTrait(id=CRASHING, until_ms=START_MS + 1_000)
    for now_ms in (0, 500, 900):
        decider.crashes.add_refused([part], START_MS + now_ms)
    decider.run_until(1_200)
    assert decider.refused() == []


@given(st.randoms(use_true_random=False))
def test_evidence_may_arrive_in_any_order_and_repeatedly(rng):
    reports = [report(n, 400 * n, PREAMBLE, CRASHING) for n in range(4)]
    served = [policy.ServedTrait(id=PREAMBLE, at_ms=START_MS + 2_000)]
    decider = Decider()
    facts = [*reports, *reports]
    rng.shuffle(facts)
    for fact in facts:
        decider.crashes.add_reports([fact], START_MS + 2_000)
        if rng.random() < 0.5:
            decider.crashes.add_served(served, START_MS + 2_000)
    decider.crashes.add_served(served, START_MS + 2_000)
    decider.run_until(4_000)
    assert decider.refused() == [CRASHING]


@pytest.mark.parametrize('seed', range(5))
def test_crashes_for_other_reasons_refuse_nothing(decider, seed):
    # Replays servers that fail by turns, with a fifth of the requests in a
    # rarely used part; each crash leaves three requests unanswered.
    rng = random.Random(seed)
    for number in range(100):
        at_ms = 600 * number
        prompts = [
            (PREAMBLE, f'b{rng.randrange(40)}')
            if rng.random() < 0.8
            else (PREAMBLE, f'c{rng.randrange(2_000)}')
            for _ in range(30)
        ]
        decider.add_crash(number, at_ms, *prompts[:3])
        decider.add_served(
            at_ms + 200, PREAMBLE, *[parts[1] for parts in prompts[3:]]
        )
        # The callers of the first requests try again.
        decider.add_served(at_ms + 500, *[parts[1] for parts in prompts[:3]])
    decider.run_until(70_000)
    assert decider.refused() == []


class Fleet:
    """Servers with requests that all begin with ``PREAMBLE``.

    A request begins to be answered ``first_ms`` after it was sent, and ends
    ``stream_ms`` later. The gateways tell the decider what they see.
    """

    def __init__(self, decider, rng, *, servers, first_ms, stream_ms):
        self._decider = decider
        self._rng = rng
        self._servers = servers
        self._first_ms = first_ms
        self._stream_ms = stream_ms
        self._running = []
        self._number = 0

    def run(self, end_ms, crashes):
        """Send a request each 100 ms; ``crashes`` are pairs (ms, server)."""
        for now_ms in range(self._decider.now_ms, end_ms, 100):
            self._number += 1
            server = self._rng.randrange(self._servers)
            self._running.append((now_ms, server, self._number))
            while crashes and crashes[0][0] <= now_ms:
                self._crash(*crashes.pop(0))
            self._serve(now_ms)

    def _crash(self, at_ms, server):
        for sent_ms, running, number in self._running:
            if running != server or sent_ms > at_ms:
                continue
            has_begun = at_ms - sent_ms >= self._first_ms
            traits = (PREAMBLE, request_of(number))[has_begun:]
            self._decider.crashes.add_reports(
                [
                    report(
                        f'{number}.{at_ms}',
                        at_ms,
                        *traits,
                        server=f's{server}',
                        sent_ms=sent_ms,
                    )
                ],
                START_MS + at_ms,
            )
        self._running = [
            item
            for item in self._running
            if item[1] != server or item[0] > at_ms
        ]

    def _serve(self, now_ms):
        last_ms = self._first_ms + self._stream_ms
        for sent_ms, _server, number in self._running:
            if 0 <= now_ms - sent_ms - self._first_ms < 100:
                self._decider.add_served(now_ms, PREAMBLE)
            if now_ms - sent_ms >= last_ms:
                self._decider.add_served(now_ms, PREAMBLE, request_of(number))
        self._running = [
            item for item in self._running if now_ms - item[0] < last_ms
        ]


@pytest.mark.parametrize('first_ms', [200, 2_000, 5_000, 9_000])
@pytest.mark.parametrize('seed', range(6))
def test_groups_of_servers_that_crash_refuse_nothing(decider, first_ms, seed):
    # Guards against a decision that depends on how long requests wait and
    # run: up to half of the servers crash at one moment or soon after each
    # other, up to three times.
    rng = random.Random(100 * first_ms + seed)
    servers = rng.choice([4, 12, 30])
    crashes = []
    at_ms = 2 * first_ms
    for _round in range(rng.randint(1, 3)):
        at_ms += rng.randint(3_000, 9_000)
        group = rng.sample(range(servers), rng.randint(2, servers // 2))
        spread_ms = rng.choice([0, 50, 900])
        crashes += [
            (at_ms + rng.randint(0, spread_ms), item) for item in group
        ]
    fleet = Fleet(
        decider,
        rng,
        servers=servers,
        first_ms=first_ms,
        stream_ms=rng.choice([500, 7_000]),
    )
    fleet.run(at_ms + 30_000, sorted(crashes))
    decider.run_until(at_ms + 30_000)
    assert decider.refused() == []


def test_evidence_is_bounded_at_controllers_that_never_decide():
    # Guards against memory that grows with every crash, as only the lease
    # holder decides.
    crashes = policy.RequestCrashes()
    for number in range(2_000):
        at_ms = 2_000 * number
        crashes.add_reports(
            [report(number, at_ms, 'a1', f'b{number}')], START_MS + at_ms
        )
    assert len(crashes.reports()) <= 600_000 / 2_000 + 1
    assert len(crashes.dump()['crashes']) <= 600_000 / 2_000 + 1


def request_of(number):
    return policy.request_trait(f'{number:04x}')


def test_a_repeated_request_is_refused_and_not_its_prompt(decider):
    # Guards against a refusal of sound requests that share the prompt parts.
    for number in range(3):
        decider.add_crash(
            number, 1_000 * number, (PREAMBLE, 'b1', request_of(7))
        )
    decider.run_until(5_000)
    assert decider.refused() == [request_of(7)]


def test_interrupted_requests_that_are_served_later_are_not_refused(decider):
    # Guards against sound requests that are refused since they ran on each
    # server that another request crashed.
    crashing, *sound = [request_of(number) for number in range(40)]
    for number in range(3):
        interrupted = [(item,) for item in (*sound, crashing)]
        decider.add_crash(number, 400 * number, *interrupted)
    decider.add_served(1_500, *sound)
    decider.run_until(5_000)
    assert decider.refused() == [crashing]


def test_a_request_that_had_events_goes_before_parts_that_waited(decider):
    # Guards against a refusal of the prompts that waited at the servers which
    # a request crashed after its first events.
    for number in range(3):
        waiting = (PREAMBLE, 'b1', request_of(10 + number))
        decider.add_crash(number, 1_000 * number, (request_of(1),), waiting)
    decider.run_until(5_000)
    assert decider.refused() == [request_of(1)]


def test_requests_with_prompts_are_not_blamed_before_others(decider):
    # Guards against a choice by the number of prompt parts among requests
    # that ran at the same crashes.
    crashing, sound = request_of(1), request_of(2)
    for number in range(3):
        decider.add_crash(
            number, 400 * number, (crashing,), ('a1', 'b1', sound)
        )
    decider.add_served(1_500, 'a1', 'b1', sound)
    decider.run_until(5_000)
    assert decider.refused() == [crashing]


def test_a_part_is_found_although_its_first_request_is_repeated(decider):
    # Guards against requests with a crashing part that are only refused one
    # by one, since each is repeated until it explains its own crashes.
    for number in range(3):
        decider.add_crash(number, 1_000 * number, (CRASHING, request_of(1)))
    decider.run_until(4_000)
    assert decider.refused() == [request_of(1)]
    for number in (3, 4):
        decider.add_crash(
            number, 1_000 * number + 2_000, (CRASHING, request_of(number))
        )
    decider.run_until(9_000)
    assert CRASHING in decider.refused()


def test_requests_of_a_single_crash_are_not_announced_as_suspects(decider):
    # Guards against lists of all interrupted requests in every reply.
    decider.add_crash(0, 0, *[(request_of(item),) for item in range(60)])
    decider.run_until(2_000)
    assert decider.crashes.suspects == ()
    decider.add_crash(1, 2_000, (request_of(5),))
    decider.run_until(3_000)
    assert decider.crashes.suspects == (request_of(5),)
