"""Model of the founding of a replica set and of empty replicas that join it.

Three seed replicas start with empty disks. The first one may found the set by
letting the others adopt the first view one after another; any process can be
killed meanwhile and any disk can be lost, but not a majority of a formed set
at the same time. A replica without a view joins a set of which it finds a
majority. No two sets may ever have a majority each.
"""

import functools

import attrs
import minicheck

from paddle_testbed.specs import _spec

SEEDS = 3
MAJORITY = 2
MAX_LOSSES = 3
MAX_FOUNDINGS = 2
FIELDS = ('replicas', 'foundings', 'losses', 'founding_identities')


@attrs.frozen(cache_hash=True)
class Replica:
    """Data that one seed replica has on disk.

    ``identity`` is incremented with each lost disk. ``origin`` is the number
    of the founding whose set the replica belongs to, 0 for none; ``permit``
    is the permission to found a set.
    """

    identity: int = 0
    origin: int = 0
    permit: bool = False


@attrs.frozen(kw_only=True)
class Rules:
    """Rules of the protocol; a seeded defect turns some off."""

    needs_permit: bool = True
    one_founder: bool = True
    checks_for_existing_set: bool = True


def _replaced(items, index, item):
    return (*items[:index], item, *items[index + 1 :])


def _members(replicas, origin):
    return [item for item in replicas if item.origin == origin]


def _may_found_set(replicas, index, rules):
    replica = replicas[index]
    if replica.origin:
        return False
    if rules.checks_for_existing_set and any(item.origin for item in replicas):
        return False
    if rules.one_founder and index:
        return False
    return replica.permit or not rules.needs_permit


def _found_set(state, rules):
    replicas, foundings, losses, founding_identities = state
    for index, replica in enumerate(replicas):
        if foundings < MAX_FOUNDINGS and _may_found_set(
            replicas, index, rules
        ):
            number = foundings + 1
            first = attrs.evolve(replica, origin=number)
            identities = tuple(item.identity for item in replicas)
            yield (
                f'r{index} founds',
                (
                    _replaced(replicas, index, first),
                    number,
                    losses,
                    (*founding_identities, identities),
                ),
            )


def _adopt(state):
    """A founder lets another seed adopt the first view.

    The seed must still have the identity that it had at the founding.
    """
    replicas, foundings, losses, founding_identities = state
    for number, identities in enumerate(founding_identities, start=1):
        if not _members(replicas, number):
            continue
        for index, replica in enumerate(replicas):
            if replica.origin or replica.identity != identities[index]:
                continue
            new = attrs.evolve(replica, origin=number)
            yield (
                f'r{index} adopts the set {number}',
                (
                    _replaced(replicas, index, new),
                    foundings,
                    losses,
                    founding_identities,
                ),
            )


def _join(state):
    replicas, foundings, losses, founding_identities = state
    for index, replica in enumerate(replicas):
        if replica.origin:
            continue
        for number in range(1, foundings + 1):
            if len(_members(replicas, number)) >= MAJORITY:
                new = attrs.evolve(replica, origin=number)
                yield (
                    f'r{index} joins the set {number}',
                    (
                        _replaced(replicas, index, new),
                        foundings,
                        losses,
                        founding_identities,
                    ),
                )


def _lose_disk(state, rules):
    """A disk is lost; the process restarts without permission to found."""
    replicas, foundings, losses, founding_identities = state
    if losses == MAX_LOSSES:
        return
    for index, replica in enumerate(replicas):
        remaining = len(_members(replicas, replica.origin)) - 1
        if replica.origin and remaining < MAJORITY - 1:
            continue
        new = Replica(identity=replica.identity + 1)
        yield (
            f'r{index} loses its disk',
            (
                _replaced(replicas, index, new),
                foundings,
                losses + 1,
                founding_identities,
            ),
        )


def _transitions(state, rules):
    return [
        *_found_set(state, rules),
        *_adopt(state),
        *_join(state),
        *_lose_disk(state, rules),
    ]


def _one_set(fields):
    replicas = fields['replicas']
    formed = [
        number
        for number in range(1, fields['foundings'] + 1)
        if _members(replicas, number)
    ]
    return len(formed) <= 1


def _build(name, rules):
    first = Replica(permit=True)
    others = Replica(permit=not rules.one_founder)
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=FIELDS,
        initial=((first,) + (others,) * (SEEDS - 1), 0, 0, ()),
        transitions=lambda state: _transitions(state, rules),
        invariants={'one_set': _one_set},
    )


def _spec_of(name, **rules):
    build = functools.partial(_build, name, Rules(**rules))
    return _spec.Spec(name, build)


SPECS = (_spec_of('founding/kills and lost disks'),)

DEFECTS = (
    _spec_of(
        'founding/an emptied seed founds again',
        needs_permit=False,
        checks_for_existing_set=False,
    ),
    _spec_of(
        'founding/every seed founds',
        one_founder=False,
        checks_for_existing_set=False,
    ),
)
