"""Messages between proposers and replicas, and store records.

Each request names the identity of the replica and the view epoch that it is
meant for. Structs with the same names are in ``coord.capnp``.
"""

import pathlib

import attrs
import capnp
import paddle_kernel as kernel

from paddle_coord import _acceptor
from paddle_coord import _ballot
from paddle_coord import _view


@attrs.frozen
class Prepare:
    """Request a promise; answered by Promise, Conflict or Refusal."""

    target: str
    epoch: int
    key: str
    ballot: _ballot.Ballot


@attrs.frozen
class Promise:
    """The ballot is promised; with the value accepted before."""

    accepted: _ballot.Ballot
    record: _acceptor.Record | None
    floor: int


@attrs.frozen
class Accept:
    """Request acceptance; answered by Accepted, Conflict or Refusal."""

    target: str
    epoch: int
    key: str
    ballot: _ballot.Ballot
    record: _acceptor.Record


@attrs.frozen
class Accepted:
    """The value is accepted and synced to disk."""

    ballot: _ballot.Ballot


@attrs.frozen
class Conflict:
    """The replica has promised a higher ballot."""

    promised: _ballot.Ballot


@attrs.frozen
class Refusal:
    """The replica does not vote; ``view`` is the one that it has adopted.

    ``kind`` is one of the constants of :mod:`paddle_coord._view`.
    """

    kind: str
    identity: str
    view: _view.View


@attrs.frozen
class Fetch:
    """Request the accepted value; answered by Fetched or Refusal."""

    target: str
    epoch: int
    key: str


@attrs.frozen
class Fetched:
    """The value that the replica has accepted and synced to disk."""

    accepted: _ballot.Ballot
    record: _acceptor.Record | None


@attrs.frozen
class Peek:
    """Request the accepted ballot; answered by Peeked or Refusal."""

    target: str
    epoch: int
    key: str


@attrs.frozen
class Peeked:
    """The ballot of the value that is accepted and synced to disk."""

    accepted: _ballot.Ballot


@attrs.frozen
class ListKeys:
    """Request the keys after ``after``; ``stored`` includes empty cells."""

    target: str
    epoch: int
    prefix: str
    after: str
    stored: bool


@attrs.frozen
class KeyList:
    """Keys in order; ``more`` if the list is truncated."""

    keys: tuple[str, ...]
    more: bool
    floor: int


@attrs.frozen
class DropKey:
    """Request to drop a key with the tombstone accepted at ``ballot``."""

    target: str
    epoch: int
    key: str
    ballot: _ballot.Ballot


@attrs.frozen
class KeyDropped:
    """Answer to DropKey; ``done`` if the key is no longer stored."""

    done: bool


@attrs.frozen
class AdoptView:
    """Request to adopt a decided view; answered by ReplicaStatus."""

    target: str
    view: _view.View


@attrs.frozen
class StatusRequest:
    """Request a ReplicaStatus."""


@attrs.frozen
class ReplicaStatus:
    """Identity and state of a replica; ``leaving`` if it is about to stop."""

    identity: str
    address: str
    view: _view.View
    voting: bool
    keys: int
    floor: int
    leaving: bool = False


@attrs.frozen
class IdentityRecord:
    """Store record: identity of the replica."""

    identity: str


@attrs.frozen
class CellRecord:
    """Store record: state of one key."""

    key: str
    promised: _ballot.Ballot
    accepted: _ballot.Ballot
    record: _acceptor.Record | None


@attrs.frozen
class DropRecord:
    """Store record: a key is no longer stored."""

    key: str


@attrs.frozen
class FloorRecord:
    """Store record: deletion floor."""

    floor: int


@attrs.frozen
class ViewRecord:
    """Store record: adopted view; ``cleared`` if all keys were dropped."""

    view: _view.View
    cleared: bool


_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('coord.capnp')))
kernel.codec.register_schema(
    _SCHEMA,
    (
        Accept,
        Accepted,
        AdoptView,
        CellRecord,
        Conflict,
        DropKey,
        DropRecord,
        Fetch,
        Fetched,
        Peek,
        Peeked,
        FloorRecord,
        IdentityRecord,
        KeyDropped,
        KeyList,
        ListKeys,
        Prepare,
        Promise,
        Refusal,
        ReplicaStatus,
        StatusRequest,
        ViewRecord,
        _view.View,
    ),
)
