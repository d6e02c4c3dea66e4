"""Model of what a gateway keeps of servers that leave or want quiet.

One address, at which servers follow each other: the next one has another id,
or the same id and a later start. The gateway's list lags, so it may name one
that is gone. The gateway sends when its notices allow it; the server there
answers, says that it leaves, or asks for quiet for two ticks of the clock. One
that is not the server that was meant rejects the request.

Nothing goes to an incarnation that has said that it leaves, nor within its
quiet time, and one that has said neither gets requests. The notices are those
of :mod:`paddle_router.policy`. That all servers of a service may leave, and
the time for which they then take work, are not modelled.
"""

import functools

import attrs
import minicheck
from paddle_router import policy

from paddle_testbed.specs import _spec

FIELDS = ('server', 'listed', 'kept', 'told', 'clock', 'flaw')
QUIET_TICKS = 2
LAST_TICK = 4
STARTS = 3
NAMES = ('a', 'b')


@attrs.frozen(cache_hash=True)
class Server:
    """The server at the address."""

    incarnation: policy.Incarnation = policy.Incarnation('a', 1)
    leaves: bool = False


@attrs.frozen(cache_hash=True)
class Kept:
    """What is known of servers: who leaves, and quiet times by incarnation."""

    leaving: frozenset = frozenset()
    quiet: frozenset = frozenset()

    def with_leaving(self, key):
        return attrs.evolve(self, leaving=self.leaving | {key})

    def with_quiet(self, key, until):
        return attrs.evolve(self, quiet=self.quiet | {(key, until)})


@attrs.frozen(kw_only=True)
class Rules:
    """Rules that a seeded defect leaves out."""

    by_incarnation: bool = True
    kept_at_reload: bool = True
    kept_over_lists: bool = True
    quiet_to_its_end: bool = True
    ignores_other_servers: bool = True


def _key(incarnation, rules):
    return incarnation if rules.by_incarnation else policy.Incarnation('x')


def _may_send(state, rules):
    """Whether the gateway's notices allow a request to the listed server."""
    _server, listed, kept, _told, clock, _flaw = state
    notices = policy.ServerNotices()
    for item in kept.leaving:
        notices.mark_leaving(item, 0)
    for item, until in kept.quiet:
        early = 0 if rules.quiet_to_its_end else 1
        notices.mark_quiet(item, until - early, 0)
    key = _key(listed, rules)
    return not notices.is_leaving(key) and not notices.is_quiet(key, clock)


def _send(state, rules):
    server, listed, kept, told, clock, flaw = state
    if flaw or not _may_send(state, rules):
        return
    is_meant = server.incarnation == listed
    if is_meant and listed in told.leaving:
        flaw = 'sent to a server that had said that it leaves'
    if is_meant and any(
        item == listed and clock < until for item, until in told.quiet
    ):
        flaw = 'sent within a quiet time'
    heeded = is_meant or not rules.ignores_other_servers
    key = _key(listed, rules)
    new_kept, new_told = kept, told
    if server.leaves:
        if heeded:
            new_kept = new_kept.with_leaving(key)
        if is_meant:
            new_told = new_told.with_leaving(listed)
    yield (
        'a request is answered',
        (server, listed, new_kept, new_told, clock, flaw),
    )
    until = clock + QUIET_TICKS
    if heeded:
        new_kept = new_kept.with_quiet(key, until)
    if is_meant:
        new_told = new_told.with_quiet(listed, until)
    yield (
        'a request is turned away',
        (server, listed, new_kept, new_told, clock, flaw),
    )


def _change_server(state):
    server, listed, kept, told, clock, flaw = state
    if not server.leaves:
        new = attrs.evolve(server, leaves=True)
        yield (
            'the server begins to leave',
            (
                new,
                listed,
                kept,
                told,
                clock,
                flaw,
            ),
        )
    born_ms = server.incarnation.born_ms + 1
    if born_ms > STARTS:
        return
    for name in NAMES:
        new = Server(policy.Incarnation(name, born_ms))
        yield (
            f'server {name} starts at the address',
            (new, listed, kept, told, clock, flaw),
        )


def _read_list(state, rules):
    """The list names the present server, or still the one before."""
    server, listed, kept, told, clock, flaw = state
    if not rules.kept_over_lists:
        kept = attrs.evolve(kept, leaving=kept.leaving - {listed})
    for named in {server.incarnation, listed}:
        yield 'a list is read', (server, named, kept, told, clock, flaw)


def _reload(state, rules):
    server, listed, kept, told, clock, flaw = state
    if not rules.kept_at_reload:
        kept = Kept()
    yield (
        'the settings are reloaded',
        (
            server,
            listed,
            kept,
            told,
            clock,
            flaw,
        ),
    )


def _tick(state):
    server, listed, kept, told, clock, flaw = state
    if clock < LAST_TICK:
        yield 'time passes', (server, listed, kept, told, clock + 1, flaw)


def _transitions(state, rules):
    return [
        *_send(state, rules),
        *_change_server(state),
        *_read_list(state, rules),
        *_reload(state, rules),
        *_tick(state),
    ]


def _no_flaw(fields):
    return not fields['flaw']


def _a_fresh_server_is_used(fields, rules):
    """Whether a listed server that said nothing may be sent a request."""
    listed, told = fields['listed'], fields['told']
    if listed in told.leaving or any(
        item == listed for item, _until in told.quiet
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
            Kept(),
            Kept(),
            0,
            '',
        ),
        transitions=lambda state: _transitions(state, rules),
        invariants={
            'no_flaw': _no_flaw,
            'a_fresh_server_is_used': lambda fields: _a_fresh_server_is_used(
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
    _spec_of('notices/forgotten at a reload', kept_at_reload=False),
    _spec_of('notices/lifted by an old list', kept_over_lists=False),
    _spec_of('notices/quiet that ends early', quiet_to_its_end=False),
    _spec_of(
        'notices/heard from another server at the address',
        ignores_other_servers=False,
    ),
)
