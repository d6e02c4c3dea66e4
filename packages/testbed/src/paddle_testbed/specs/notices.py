"""Model of the notices that a gateway records about leaving or quiet servers.

Servers follow each other at one address: the next one has another id, or the
same id and a later start. The gateway's list of servers is delayed, so it may
name a server that no longer runs. The gateway sends a request when its notices
allow it; the server at the address answers, announces that it leaves, or asks
for no requests during two clock ticks (its quiet time). A server other than
the intended one rejects the request.

No request is sent to an incarnation that has announced that it leaves, nor
during its quiet time; an incarnation that has announced neither gets requests.
The notices are the ones of :mod:`paddle_router.policy`. The model does not
cover that all servers of a service may leave, nor the time during which they
then still take requests.
"""

import functools

import attrs
import minicheck
from paddle_router import policy

from paddle_testbed.specs import _spec

FIELDS = ('server', 'listed', 'recorded', 'announced', 'clock', 'violation')
QUIET_TICKS = 2
LAST_TICK = 4
MAX_STARTS = 3
SERVER_IDS = ('a', 'b')


@attrs.frozen(cache_hash=True)
class Server:
    """The server at the address."""

    incarnation: policy.Incarnation = policy.Incarnation('a', 1)
    leaves: bool = False


@attrs.frozen(cache_hash=True)
class NoticeSet:
    """Notices: leaving incarnations, and the ends of quiet times."""

    leaving: frozenset = frozenset()
    quiet: frozenset = frozenset()

    def with_leaving(self, key):
        return attrs.evolve(self, leaving=self.leaving | {key})

    def with_quiet(self, key, until_tick):
        return attrs.evolve(self, quiet=self.quiet | {(key, until_tick)})


@attrs.frozen(kw_only=True)
class Rules:
    """Rules of the protocol; a seeded defect turns some off."""

    by_incarnation: bool = True
    survives_reload: bool = True
    survives_lists: bool = True
    keeps_full_quiet_time: bool = True
    ignores_other_servers: bool = True


def _key(incarnation, rules):
    return incarnation if rules.by_incarnation else policy.Incarnation('x')


def _may_send(state, rules):
    """Return whether the notices allow a request to the listed server."""
    _server, listed, recorded, _announced, clock, _violation = state
    server_notices = policy.ServerNotices()
    for item in recorded.leaving:
        server_notices.mark_leaving(item, 0)
    for item, until_tick in recorded.quiet:
        early_ticks = 0 if rules.keeps_full_quiet_time else 1
        server_notices.mark_quiet(item, until_tick - early_ticks, 0)
    key = _key(listed, rules)
    return not server_notices.is_leaving(key) and not server_notices.is_quiet(
        key, clock
    )


def _send(state, rules):
    server, listed, recorded, announced, clock, violation = state
    if violation or not _may_send(state, rules):
        return
    is_intended = server.incarnation == listed
    if is_intended and listed in announced.leaving:
        violation = 'sent to a server that had said that it leaves'
    if is_intended and any(
        item == listed and clock < until_tick
        for item, until_tick in announced.quiet
    ):
        violation = 'sent within a quiet time'
    is_recorded = is_intended or not rules.ignores_other_servers
    key = _key(listed, rules)
    new_recorded, new_announced = recorded, announced
    if server.leaves:
        if is_recorded:
            new_recorded = new_recorded.with_leaving(key)
        if is_intended:
            new_announced = new_announced.with_leaving(listed)
    yield (
        'a request is answered',
        (server, listed, new_recorded, new_announced, clock, violation),
    )
    until_tick = clock + QUIET_TICKS
    if is_recorded:
        new_recorded = new_recorded.with_quiet(key, until_tick)
    if is_intended:
        new_announced = new_announced.with_quiet(listed, until_tick)
    yield (
        'a request is turned away',
        (server, listed, new_recorded, new_announced, clock, violation),
    )


def _change_server(state):
    server, listed, recorded, announced, clock, violation = state
    if not server.leaves:
        new = attrs.evolve(server, leaves=True)
        yield (
            'the server begins to leave',
            (
                new,
                listed,
                recorded,
                announced,
                clock,
                violation,
            ),
        )
    born_ms = server.incarnation.born_ms + 1
    if born_ms > MAX_STARTS:
        return
    for name in SERVER_IDS:
        new = Server(policy.Incarnation(name, born_ms))
        yield (
            f'server {name} starts at the address',
            (new, listed, recorded, announced, clock, violation),
        )


def _read_list(state, rules):
    """The list names the current server or still the one listed before."""
    server, listed, recorded, announced, clock, violation = state
    if not rules.survives_lists:
        recorded = attrs.evolve(recorded, leaving=recorded.leaving - {listed})
    for new_listed in {server.incarnation, listed}:
        yield (
            'a list is read',
            (server, new_listed, recorded, announced, clock, violation),
        )


def _reload(state, rules):
    server, listed, recorded, announced, clock, violation = state
    if not rules.survives_reload:
        recorded = NoticeSet()
    yield (
        'the settings are reloaded',
        (
            server,
            listed,
            recorded,
            announced,
            clock,
            violation,
        ),
    )


def _tick(state):
    server, listed, recorded, announced, clock, violation = state
    if clock < LAST_TICK:
        yield (
            'time passes',
            (server, listed, recorded, announced, clock + 1, violation),
        )


def _transitions(state, rules):
    return [
        *_send(state, rules),
        *_change_server(state),
        *_read_list(state, rules),
        *_reload(state, rules),
        *_tick(state),
    ]


def _no_violation(fields):
    return not fields['violation']


def _new_server_is_used(fields, rules):
    """Return whether a listed server without a notice gets requests."""
    listed, announced = fields['listed'], fields['announced']
    if listed in announced.leaving or any(
        item == listed for item, _until in announced.quiet
    ):
        return True
    return _may_send(tuple(fields[name] for name in FIELDS), rules)


def _build(name, rules):
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=FIELDS,
        initial=(
            Server(),
            Server().incarnation,
            NoticeSet(),
            NoticeSet(),
            0,
            '',
        ),
        transitions=lambda state: _transitions(state, rules),
        invariants={
            'no_flaw': _no_violation,
            'a_fresh_server_is_used': lambda fields: _new_server_is_used(
                fields, rules
            ),
        },
    )


def _spec_of(name, **rules):
    build = functools.partial(_build, name, Rules(**rules))
    return _spec.Spec(name, build)


SPECS = (_spec_of('notices/servers that follow each other'),)

DEFECTS = (
    _spec_of('notices/kept by address', by_incarnation=False),
    _spec_of('notices/forgotten at a reload', survives_reload=False),
    _spec_of('notices/lifted by an old list', survives_lists=False),
    _spec_of('notices/quiet that ends early', keeps_full_quiet_time=False),
    _spec_of(
        'notices/heard from another server at the address',
        ignores_other_servers=False,
    ),
)
