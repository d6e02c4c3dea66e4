"""A replica set that forms itself and that empty replicas join by themselves.

At the first start of the whole system the replica at the first seed address
forms the first set from the replicas at all seed addresses. Every other
replica, and each one that restarts with an empty disk, joins the set by
itself. The permission to form a set is stored in the data directory before it
is used, because a process that is restarted during the first start gets
``first_start=False``. A replica without the permission can only join, so a
second set cannot be formed.

A member that is gone counts in every later quorum. A replica that stops
therefore leaves the set first, and the members remove one that does not
answer for longer than a restart takes, both only if the rest of the set then
bears more losses.
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

FOUNDING_PERMIT_NAME = 'found.permit'
# Interval between calls of step(). An empty replica has to be a member again
# within a few seconds.
STEP_INTERVAL_MS = 300
CALL_TIMEOUT_MS = 500
# A member that has not answered for this long may be replaced by a joining
# replica. It joins again by itself if it comes back.
MEMBER_ABSENT_MS = 1_200
# Interval at which a member checks whether the others answer; it checks at
# each step while one does not.
MEMBER_CHECK_INTERVAL_MS = 1_000
# A member that has not answered for this long is removed if it adds to the
# quorum. Longer than a restart; with the time until it is noticed and that of
# the change still below the 4 s after which another member may be lost.
MEMBER_REMOVAL_MS = 2_000
# Limit for leaving the set, and the pause between two tries.
LEAVE_LIMIT_MS = 3_000
LEAVE_RETRY_MS = 200
# Other replicas wait this long before they resume a change of the set; a
# change takes 100 to 400 ms. If all replicas resumed it at the same time, each
# would rewrite every key and their ballots would conflict.
RESUME_DELAY_MS = 800
# Random part of the wait, so that one replica resumes first.
RESUME_JITTER_MS = 800


@attrs.frozen
class Placement:
    """Own address of a replica and the seed addresses of the replica set.

    ``tolerated_losses`` is the number of replicas that may lose their disks
    at the same time; the set never shrinks below what that takes.
    """

    address: str
    seeds: tuple[str, ...]
    tolerated_losses: int = 1

    @property
    def min_members(self):
        """Size of the smallest set that bears the tolerated losses."""
        return 2 * self.tolerated_losses + 1


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
        self._next_check_ms = 0
        self._is_leaving = False
        self._rng = rng or random.Random()
        # Epoch of a change in progress and the time at which to resume it.
        self._observed_change = (0, 0)
        self.known = set(placement.seeds)

    @classmethod
    def open(
        cls, replica, transport, clock, placement, *, data_dir, first_start
    ):
        """Return the membership task of the replica in ``data_dir``.

        :raises OSError: if the permission to form a set cannot be stored.
        """
        permit = pathlib.Path(data_dir) / FOUNDING_PERMIT_NAME
        is_founder = (
            placement.seeds and placement.address == placement.seeds[0]
        )
        if first_start and is_founder and not permit.exists():
            _write_permit(permit)
        return cls(
            replica,
            transport,
            clock,
            placement,
            may_found=bool(is_founder and permit.exists()),
        )

    def step(self, seen=_view.UNFORMED):
        """Form, join or repair a set or resume a change, if necessary.

        ``seen`` is the newest view received by this process. A replica that
        was replaced while it was unreachable learns that only from others.
        """
        if self._is_leaving:
            return
        status = self._replica.handle(_messages.StatusRequest())
        for view in (status.view, seen):
            self.known.update(_view.contacts(view))
        newest = max(status.view, seen, key=lambda view: view.epoch)
        member = newest.member(status.identity)
        if member is not None and not newest.changing:
            self._check_members(newest)
            return
        if newest.changing and not self._is_abandoned(newest):
            return
        statuses = self._query_replicas()
        newest = max(
            (item.view for item in statuses.values()),
            key=lambda view: view.epoch,
            default=_view.UNFORMED,
        )
        if newest.epoch:
            self._join_or_resume(newest, status, statuses)
        elif self._may_found and not status.view.epoch:
            self._form_first_set()

    def leave(self):
        """Have the set go on without this replica, which is about to stop.

        Returns when it is no member any more or the set is better off with
        it, at the latest after about ``LEAVE_LIMIT_MS``.
        """
        self._is_leaving = self._replica.is_leaving = True
        deadline_ms = self._clock.now_ms() + LEAVE_LIMIT_MS
        while not self._try_leave() and self._clock.now_ms() < deadline_ms:
            self._clock.sleep_ms(LEAVE_RETRY_MS)

    def _try_leave(self):
        """Return whether this replica need not try again to leave."""
        own = self._replica.handle(_messages.StatusRequest())
        statuses = self._query(_view.contacts(own.view))
        view = max(
            (own.view, *(item.view for item in statuses.values())),
            key=lambda view: view.epoch,
        )
        if view.changing:
            # The process that began the change finishes it, or another one
            # resumes it.
            return False
        if view.member(own.identity) is None:
            return True
        if view.epoch > own.view.epoch:
            statuses = self._query(_view.contacts(view))
        # Others that leave at the same time are about to be absent too.
        statuses = {
            address: item
            for address, item in statuses.items()
            if not item.leaving
        }
        # This replica has been absent for the shortest time.
        members = sorted(
            view.new, key=lambda item: item.identity != own.identity
        )
        remaining = self._remaining(members, statuses)
        if len(remaining) == len(members):
            return True
        return self._change_members('left', view, remaining)

    def _check_members(self, view):
        """Remove members that have not answered for long, if that helps."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_check_ms:
            return
        if now_ms > self._next_check_ms + MEMBER_CHECK_INTERVAL_MS:
            # This process has stood still, so the others may have answered.
            self._absent_since_ms.clear()
        contacts = _view.contacts(view)
        statuses = self._query(contacts)
        self._next_check_ms = self._clock.now_ms()
        if len(statuses) == len(contacts):
            self._next_check_ms += MEMBER_CHECK_INTERVAL_MS
            return
        present = {item.identity for item in statuses.values()}
        if not _view.has_quorum(view, present):
            return
        now_ms = self._clock.now_ms()
        # The one that was silent last is the most likely one to come back.
        members = sorted(
            view.new,
            key=lambda item: -self._absent_since_ms.get(item.address, 0),
        )
        remaining = self._remaining(members, statuses)
        removed = [item for item in members if item not in remaining]
        if removed and all(
            now_ms - self._absent_since_ms.get(item.address, now_ms)
            >= MEMBER_REMOVAL_MS
            for item in removed
        ):
            self._change_members('removed', view, remaining)

    def _remaining(self, members, statuses):
        """Return the ``members`` to keep if only ``statuses`` answered."""
        present = {
            item.identity for item in members if item.address in statuses
        }
        return _view.without_absent(
            members, present, self._placement.min_members
        )

    def _change_members(self, step, view, members):
        """Change the set to ``members``; return whether that succeeded."""
        addresses = [item.address for item in members]
        result = self._view_change(view).replace_at(view.epoch, addresses)
        self._log_step(step, result)
        return isinstance(result, returns.result.Success)

    def _query_replicas(self):
        """Return the status of every known replica that answers."""
        return self._query(self.known | {self._placement.address})

    def _query(self, addresses):
        """Return the status of the replicas that answer, by address."""
        calls = {item: _messages.StatusRequest() for item in addresses}
        statuses = {}
        now_ms = self._clock.now_ms()
        for address, result in kernel.broadcast(
            self._transport, calls, CALL_TIMEOUT_MS
        ):
            answer = result.value_or(None)
            if isinstance(answer, _messages.ReplicaStatus):
                statuses[address] = answer
                self._absent_since_ms.pop(address, None)
                self.known.update(_view.contacts(answer.view))
            else:
                self._absent_since_ms.setdefault(address, now_ms)
        return statuses

    def _form_first_set(self):
        admin = _admin.ReplicaAdmin(
            self._transport, self._clock, call_timeout_ms=CALL_TIMEOUT_MS
        )
        result = admin.form(self._placement.seeds)
        self._log_step('founded', result)

    def _join_or_resume(self, view, status, statuses):
        """Resume an abandoned change, or start the change that joins."""
        change = self._view_change(view)
        if view.changing or view.member(status.identity) is not None:
            if not view.changing or self._is_abandoned(view):
                self._log_step('resumed', change.resume())
            return
        addresses = self._addresses_after_join(view, statuses)
        if addresses is not None and not self._is_leaving:
            joined = change.replace_at(view.epoch, addresses)
            self._log_step('joined', joined)

    def _is_abandoned(self, view):
        """Whether the change has been in progress for too long."""
        now_ms = self._clock.now_ms()
        epoch, resume_ms = self._observed_change
        if epoch != view.epoch:
            wait_ms = RESUME_DELAY_MS + self._rng.randint(0, RESUME_JITTER_MS)
            resume_ms = now_ms + wait_ms
            self._observed_change = (view.epoch, resume_ms)
        return now_ms >= resume_ms

    def _addresses_after_join(self, view, statuses):
        """Return the addresses of the set including this replica.

        One unreachable member is left out, since a joining replica usually
        replaces it. ``None`` while a member that does not answer has not
        been silent for long enough.
        """
        own = self._placement.address
        others = [item.address for item in view.new if item.address != own]
        silent = [item for item in others if item not in statuses]
        if len(others) == len(view.new) and silent:
            now_ms = self._clock.now_ms()
            # Addresses learned from these answers were not queried yet.
            absent_since_ms = {
                item: self._absent_since_ms.setdefault(item, now_ms)
                for item in silent
            }
            longest_silent = min(silent, key=absent_since_ms.__getitem__)
            if now_ms - absent_since_ms[longest_silent] < MEMBER_ABSENT_MS:
                return None
            others.remove(longest_silent)
        return (*others, own)

    def _view_change(self, view):
        return _view_change.ViewChange(
            self._proposer(view),
            self._transport,
            self._clock,
            options=_view_change.ViewChangeOptions(
                call_timeout_ms=CALL_TIMEOUT_MS, step_limit_ms=2_000
            ),
        )

    def _proposer(self, view):
        proposer = _admin.open_proposer(
            self._transport, tuple(self.known), self._clock
        )
        proposer.learn_view(view)
        return proposer

    def _log_step(self, step, result):
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
    try:
        with open(path, 'wb') as out:
            out.write(b'first start\n')
            out.flush()
            os.fsync(out.fileno())
        _store.sync_directory(path.parent)
    except OSError:
        # A permit that is not durable must not be used.
        path.unlink(missing_ok=True)
        raise
