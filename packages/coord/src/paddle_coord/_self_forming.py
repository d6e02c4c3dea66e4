"""A replica set that founds itself and takes in empty replicas.

At the first start of the whole system the replica at the first seed address
makes the replicas at all seed addresses the first set. Every other replica,
and each one that came back with an empty disk, joins the set by itself. The
permission to found is kept in the data directory before it is used, because a
process restarted during the first start is told that it is not the first one.
A replica without that permission can only join, so a second set cannot arise.
"""

import os
import pathlib
import random

import attrs
import paddle_kernel as kernel
import returns.result

from paddle_coord import _admin
from paddle_coord import _events
from paddle_coord import _messages
from paddle_coord import _store
from paddle_coord import _view
from paddle_coord import _view_change

PERMIT_NAME = 'found.permit'
# Pause between two looks at the own membership; an empty replica has to count
# again within a few seconds.
LOOK_MS = 300
CALL_TIMEOUT_MS = 500
# A member that answered nothing for this long is taken for gone when another
# replica joins; it joins again by itself if it comes back.
ABSENT_MS = 1_200
# A change of the set is left to whoever began it for this long; a change
# takes 100 to 400 ms. If all replicas resume it at the same time, each
# rewrites every key and their ballots conflict.
RESUME_MS = 800
# The wait varies by up to this much, so that one replica resumes first.
RESUME_SPREAD_MS = 800


@attrs.frozen
class Placement:
    """Own address of a replica and the addresses to look for others at."""

    address: str
    seeds: tuple[str, ...]


class SelfForming:
    """Keeps one replica a member; :meth:`step` is called periodically."""

    def __init__(
        self, replica, transport, clock, placement, *, may_found, rng=None
    ):
        self._replica = replica
        self._transport = transport
        self._clock = clock
        self._placement = placement
        self._may_found = may_found
        self._absent_since_ms = {}
        self._rng = rng or random.Random()
        # The epoch of the change seen in progress, and when to resume it.
        self._changing = (0, 0)
        self.known = set(placement.seeds)

    @classmethod
    def open(
        cls, replica, transport, clock, placement, *, data_dir, first_start
    ):
        """Return the task of the replica whose store is in ``data_dir``.

        :raises OSError: if the permission to found cannot be stored.
        """
        permit = pathlib.Path(data_dir) / PERMIT_NAME
        founder = placement.seeds and placement.address == placement.seeds[0]
        if first_start and founder and not permit.exists():
            _write_permit(permit)
        return cls(
            replica,
            transport,
            clock,
            placement,
            may_found=bool(founder and permit.exists()),
        )

    def step(self, seen=_view.UNFORMED):
        """Found, join or do nothing, whatever is due.

        ``seen`` is the newest view known to this process. A replica that was
        replaced while it was away learns it only from others.
        """
        status = self._replica.handle(_messages.StatusRequest())
        for view in (status.view, seen):
            self.known.update(_view.contacts(view))
        newest = max(status.view, seen, key=lambda view: view.epoch)
        member = newest.member(status.identity)
        if member is not None and not newest.changing:
            return
        if newest.changing and not self._is_left(newest):
            return
        found = self._look()
        newest = max(
            (item.view for item in found.values()),
            key=lambda view: view.epoch,
            default=_view.UNFORMED,
        )
        if newest.epoch:
            self._enter(newest, status, found)
        elif self._may_found and not status.view.epoch:
            self._found()

    def _look(self):
        """Return the status of every replica that answers, by address."""
        addresses = self.known | {self._placement.address}
        calls = {item: _messages.StatusRequest() for item in addresses}
        found = {}
        now_ms = self._clock.now_ms()
        for address, result in kernel.broadcast(
            self._transport, calls, CALL_TIMEOUT_MS
        ):
            answer = result.value_or(None)
            if isinstance(answer, _messages.ReplicaStatus):
                found[address] = answer
                self._absent_since_ms.pop(address, None)
                self.known.update(_view.contacts(answer.view))
            else:
                self._absent_since_ms.setdefault(address, now_ms)
        return found

    def _found(self):
        admin = _admin.ReplicaAdmin(
            self._transport, self._clock, call_timeout_ms=CALL_TIMEOUT_MS
        )
        result = admin.form(self._placement.seeds)
        self._report('founded', result)

    def _enter(self, view, status, found):
        """Finish a change in progress, or start the one that joins."""
        change = _view_change.ViewChange(
            self._proposer(view),
            self._transport,
            self._clock,
            options=_view_change.ViewChangeOptions(
                call_timeout_ms=CALL_TIMEOUT_MS, step_limit_ms=2_000
            ),
        )
        if view.changing or view.member(status.identity) is not None:
            if not view.changing or self._is_left(view):
                self._report('resumed', change.resume())
            return
        addresses = self._wanted(view, found)
        if addresses is not None:
            joined = change.replace_at(view.epoch, addresses)
            self._report('joined', joined)

    def _is_left(self, view):
        """Whether whoever began the change seems not to finish it."""
        now_ms = self._clock.now_ms()
        epoch, resume_ms = self._changing
        if epoch != view.epoch:
            wait_ms = RESUME_MS + self._rng.randint(0, RESUME_SPREAD_MS)
            resume_ms = now_ms + wait_ms
            self._changing = (view.epoch, resume_ms)
        return now_ms >= resume_ms

    def _wanted(self, view, found):
        """Return the addresses of the set with this replica in it.

        One member that is gone is left out, since a joining replica usually
        stands in for it. ``None`` while a silent member may yet answer.
        """
        own = self._placement.address
        others = [item.address for item in view.new if item.address != own]
        silent = [item for item in others if item not in found]
        if len(others) == len(view.new) and silent:
            now_ms = self._clock.now_ms()
            # Addresses learned by this look were not asked yet.
            since = {
                item: self._absent_since_ms.setdefault(item, now_ms)
                for item in silent
            }
            longest = min(silent, key=since.__getitem__)
            if now_ms - since[longest] < ABSENT_MS:
                return None
            others.remove(longest)
        return (*others, own)

    def _proposer(self, view):
        proposer = _admin.open_proposer(
            self._transport, tuple(self.known), self._clock
        )
        proposer.learn_view(view)
        return proposer

    def _report(self, step, result):
        failed = not isinstance(result, returns.result.Success)
        kernel.emit(
            _events.MEMBERSHIP_STEP,
            replica=self._placement.address,
            step=step,
            epoch=None if failed else result.unwrap().epoch,
            failure=str(result.failure()) if failed else '',
        )


def _write_permit(path):
    path.parent.mkdir(parents=True, exist_ok=True)
    with open(path, 'wb') as out:
        out.write(b'first start\n')
        out.flush()
        os.fsync(out.fileno())
    _store.sync_directory(path.parent)
