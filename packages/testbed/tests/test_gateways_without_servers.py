"""Tests of gateways that are cut off from all servers for some seconds.

The programs run as processes. Callers, controllers and the other gateways
still reach such a gateway, and the other gateways reach the servers.
"""

import collections
import itertools
import time

import attrs
import gevent
import pytest

from paddle_testbed import fakes
from paddle_testbed import fleet as fleets
from paddle_testbed import fleet_load
from paddle_testbed import server_links

GATEWAYS = 4
SERVERS = 6
SERVICE = 'backend'
# The users count first tries that are sent later than this after the cut.
CONTACT_S = 3.0
CUT_S = 7.0
CALM_S = 1.0
# Time after a cut in which all gateways serve again.
RECOVERY_S = 3.0
AFTER_S = 1.5
# 50 requests a second in all.
SEND_INTERVAL_S = 0.02
# The users' rule on the share that is served, and the failures it allows.
SHARE_OF_OTHERS = 2 / 3
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_RATIO = 1 / 50
WORK_S = 0.02
EVENTS = 5
EVENT_INTERVAL_S = 0.04
# PROTOCOL.md: servers close connections "occasionally" after a response.
RESPONSES_PER_CLOSE = 5
# Time that callers wait for each kind of request.
WAIT_MS = {'safe': 800, 'unsafe': 800, 'streaming': 2_000}
# Its length shares no factor with the number of gateways, so that each of
# them gets each kind.
KINDS = ('safe', 'unsafe', 'streaming', 'safe', 'unsafe')


def build_config():
    """Return a configuration with one route of each kind."""
    config = fleet_load.build_config(SERVICE)
    (route,) = config['routes']
    config['routes'] = [
        {
            **route,
            'name': kind,
            'pathPrefix': f'/{kind}/',
            'kind': kind,
            'timeoutMs': wait_ms,
            'targetLatencyMs': 300,
            'attempts': 2,
        }
        for kind, wait_ms in WAIT_MS.items()
    ]
    config['routes'][-1]['targetGapMs'] = 300
    return config


def build_origin():
    """Return a sound server that closes some connections after a response."""
    numbers = itertools.count(1)

    def respond(req, _sock):
        if next(numbers) % RESPONSES_PER_CLOSE:
            return build_response(req, ())
        return [*build_response(req, (b'Connection: close',)), None]

    return fakes.FakeOrigin(respond)


def build_response(req, extra):
    """Return the steps of a complete response."""
    if b'/streaming/' not in req.line:
        return [WORK_S, fakes.response(req, extra=extra)]
    steps = [fakes.stream_head(req, extra=extra)]
    for number in range(1, EVENTS + 1):
        steps += [EVENT_INTERVAL_S, fakes.event(number)]
    return [*steps, fakes.STREAM_END]


@attrs.define
class Try:
    """A caller's first try: where and when it was sent, and its response."""

    gateway: str
    kind: str
    request_id: str
    sent_s: float
    data: bytes = b''
    took_s: float = 0

    @property
    def is_served(self):
        """Whether a complete success arrived in time."""
        return (
            self.data.startswith(b'HTTP/1.1 200')
            and self.data.endswith(self.end)
            and self.took_s * 1_000 <= WAIT_MS[self.kind]
        )

    @property
    def end(self):
        """The bytes that end a complete response."""
        return fakes.STREAM_END if self.kind == 'streaming' else b'ok'

    def send(self, address):
        """Send it and store the response."""
        begin_s = time.monotonic()
        self.data = fleet_load.send_request(
            address,
            method='GET' if self.kind == 'safe' else 'POST',
            path=f'/{self.kind}/x',
            request_id=self.request_id,
            headers=(
                f'Rosemarypaddle-Deadline-Milliseconds: {WAIT_MS[self.kind]}',
            ),
            end=self.end,
        )
        self.took_s = time.monotonic() - begin_s


class System:
    """A fleet, its servers, and the links of each gateway to them."""

    def __init__(self, folder):
        self.origins = [build_origin() for _ in range(SERVERS)]
        self.links = {}
        self.sent_ids = set()
        entries = [
            fleet_load.list_entry(f'i-{number}', SERVICE, origin)
            for number, origin in enumerate(self.origins)
        ]
        self.running = fleet_load.running_fleet(
            folder,
            entries,
            build_config(),
            gateways=GATEWAYS,
            prepare=self._link,
        )

    def stop(self):
        """Stop the servers and forwarders."""
        for item in [*self.links.values(), *self.origins]:
            item.stop()

    def send_load(self, fleet, run_s):
        """Send to all gateways in turn; return the tries and greenlets."""
        names = itertools.cycle(fleet.names('gateway'))
        kinds = itertools.cycle(KINDS)
        tries, sent = [], []
        end_s = time.monotonic() + run_s
        while time.monotonic() < end_s:
            item = Try(
                next(names),
                next(kinds),
                f'r{len(self.sent_ids)}',
                time.monotonic(),
            )
            address = fleet.gateway_address(item.gateway)
            self.sent_ids.add(item.request_id)
            tries.append(item)
            sent.append(gevent.spawn(item.send, address))
            gevent.sleep(SEND_INTERVAL_S)
        return tries, sent

    def play_cut(self, fleet, form, names):
        """Cut the gateways ``names``; return the tries of all phases."""
        before, sent = self.send_load(fleet, CALM_S)
        gevent.joinall(sent)
        for name in names:
            getattr(self.links[name], form)()
        early, sent_early = self.send_load(fleet, CONTACT_S)
        counted, sent_counted = self.send_load(fleet, CUT_S - CONTACT_S)
        for name in names:
            self.links[name].restore()
        gap, sent_gap = self.send_load(fleet, RECOVERY_S)
        after, sent_after = self.send_load(fleet, AFTER_S)
        gevent.joinall([*sent_early, *sent_counted, *sent_gap, *sent_after])
        return {
            'before': before,
            'early': early,
            'counted': counted,
            'gap': gap,
            'after': after,
        }

    def arrivals(self):
        """Return how often each request id reached a server."""
        return collections.Counter(
            req.id.decode()
            for origin in self.origins
            for req in origin.requests
            if b' /health ' not in req.line
        )

    def _link(self, fleet):
        addresses = [origin.address for origin in self.origins]
        for name in fleet.names('gateway'):
            machine = fleet.machines[name]
            machine.command = ['-m', server_links.__name__, str(fleets.MAIN)]
            self.links[name] = server_links.ServerLinks(machine.ip, addresses)


@pytest.fixture(scope='module')
def system(tmp_path_factory):
    built = System(tmp_path_factory.mktemp('fleet'))
    yield built
    built.stop()


@pytest.fixture(scope='module')
def fleet(system):
    with system.running as built:
        yield built


def count_served(tries):
    return sum(item.is_served for item in tries), len(tries)


def describe(phases, names):
    """Return the served and sent requests of both groups in each phase."""
    lines = []
    for phase, tries in phases.items():
        groups = {
            'cut': [item for item in tries if item.gateway in names],
            'others': [item for item in tries if item.gateway not in names],
        }
        for group, members in groups.items():
            parts = []
            for kind in (None, *WAIT_MS):
                chosen = [
                    item for item in members if kind in (None, item.kind)
                ]
                served, sent = count_served(chosen)
                parts.append(f'{kind or "all"} {served}/{sent}')
            lines.append(f'{phase}, {group}: {", ".join(parts)}')
    return '\n'.join(['served/sent', *lines])


def breaks_the_rule(counted, names):
    """Return whether the users' rule is broken in the tries ``counted``."""
    cut = [item for item in counted if item.gateway in names]
    others = [item for item in counted if item.gateway not in names]
    served, sent = count_served(cut)
    served_by_others, sent_to_others = count_served(others)
    is_served_less = (
        served / sent < SHARE_OF_OTHERS * served_by_others / sent_to_others
    )
    allowed = ALLOWED_FAILURES + ALLOWED_FAILURE_RATIO * len(counted)
    return is_served_less and sent - served > allowed


def check_safety(system, phases):
    """Check what holds at any time, cut or not."""
    tries = [item for phase in phases.values() for item in phase]
    arrivals = system.arrivals()
    assert (
        max(
            (
                arrivals[item.request_id]
                for item in tries
                if item.kind != 'safe'
            )
        )
        <= 1
    ), 'an unsafe request reached servers twice'
    whole = b''.join(fakes.event(n) for n in range(1, EVENTS + 1))
    for item in tries:
        if item.kind == 'streaming' and item.data.endswith(fakes.STREAM_END):
            _head, _end, body = item.data.partition(b'\r\n\r\n')
            assert body == whole + fakes.STREAM_END, item
    unknown = arrivals.keys() - system.sent_ids
    assert not unknown, f'no caller sent {unknown}'


@pytest.mark.parametrize(
    'form,cut_count',
    [
        ('hang', 2),
        ('reset_and_refuse', 2),
        ('refuse_new', 2),
        ('hang', 3),
    ],
)
def test_callers_of_gateways_without_servers_are_served(
    system, fleet, form, cut_count
):
    # Guards against callers that fail at a gateway without a link to any
    # server, although the other gateways reach all servers.
    names = fleet.names('gateway')[:cut_count]
    phases = system.play_cut(fleet, form, names)
    counts = describe(phases, names)
    print(counts)
    check_safety(system, phases)
    served, sent = count_served(phases['before'])
    assert served >= 0.95 * sent, f'before the cut; {counts}'
    after = collections.defaultdict(list)
    for item in phases['after']:
        after[item.gateway].append(item)
    for name, tries in after.items():
        served, sent = count_served(tries)
        assert served >= 0.9 * sent, f'{name} after the cut; {counts}'
    others = [item for item in phases['counted'] if item.gateway not in names]
    served, sent = count_served(others)
    assert served >= 0.9 * sent, f'at the others; {counts}'
    is_broken = breaks_the_rule(phases['counted'], names)
    assert not is_broken, counts
