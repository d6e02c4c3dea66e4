"""Views: which replicas vote and which of them form a quorum.

Pure functions, called by replicas, proposers and the model checker.
"""

import attrs

WRONG_REPLICA = 'wrong_replica'
WRONG_EPOCH = 'wrong_epoch'
NOT_A_MEMBER = 'not_a_member'
STORE_FAILED = 'store_failed'


@attrs.frozen
class Member:
    """A replica: its identity, address and the epoch it joined in.

    ``since`` is 0 for replicas of the formed set.
    """

    identity: str
    address: str
    since: int = 0


@attrs.frozen
class View:
    """A replica set; the old and the new set while it is being changed.

    ``floor`` is the highest deletion floor when the view was decided.
    """

    epoch: int
    old: tuple[Member, ...] = ()
    new: tuple[Member, ...] = ()
    floor: int = 0

    @property
    def changing(self):
        """Whether a change from ``old`` to ``new`` is in progress."""
        return identities(self.old) != identities(self.new)

    def member(self, identity):
        """Return the member with ``identity`` or ``None``."""
        for item in self.old + self.new:
            if item.identity == identity:
                return item
        return None


UNFORMED = View(0)


def identities(members):
    """Return the set of identities of ``members``."""
    return frozenset(item.identity for item in members)


def has_majority(members, voters):
    """Return whether ``voters`` hold a majority of ``members``."""
    ids = identities(members)
    return 2 * len(ids & frozenset(voters)) > len(ids)


def has_quorum(view, voters):
    """Return whether ``voters`` are a majority of both sets of ``view``."""
    return has_majority(view.old, voters) and has_majority(view.new, voters)


def contacts(view):
    """Return ``{address: member}`` of all members that can be reached.

    A new replica may listen at the address of the one that it replaces; the
    old identity can then no longer be reached.
    """
    return {item.address: item for item in view.old + view.new}


def without_absent(members, present, min_members):
    """Return the ``members`` that should remain when others are absent.

    ``present`` holds the identities of the members that answer, ``members``
    begins with those that should rather remain. Each absent member adds to
    the quorum, but a set of an odd size bears as many losses as the even one
    below it, so one absent member remains where that makes the size odd. The
    set does not become smaller than ``min_members``.
    """
    remaining = [item for item in members if item.identity in present]
    absent = [item for item in members if item.identity not in present]
    if len(remaining) % 2 == 0:
        remaining += absent[:1]
    if len(remaining) < min_members:
        return tuple(members)
    return tuple(item for item in members if item in remaining)


def refusal(view, identity, target, epoch):
    """Return the reason why a replica must not vote, or ``None``."""
    if target != identity:
        return WRONG_REPLICA
    if epoch != view.epoch:
        return WRONG_EPOCH
    if view.member(identity) is None:
        return NOT_A_MEMBER
    return None


def adopts(current, proposed):
    """Return whether a replica with ``current`` adopts ``proposed``."""
    return proposed.epoch > current.epoch


def must_clear(current, proposed, identity):
    """Return whether adopting ``proposed`` discards the stored keys.

    A replica that joins, also one that joins again without having received
    its removal, may hold keys that were deleted while it was not a member.
    """
    member = proposed.member(identity)
    return member is not None and current.epoch < member.since


def transitional(view, new_members):
    """Return the view that starts the change from ``view``."""
    return View(view.epoch + 1, view.new, tuple(new_members), view.floor)


def final(view, floor):
    """Return the view that ends the change in ``view``."""
    return View(view.epoch + 1, view.new, view.new, max(view.floor, floor))
