"""A replica set that forms itself and that empty replicas join by themselves.

At the first start of the whole system the replica at the first seed address
forms the first set from the replicas at all seed addresses. Every other
replica, and each one that restarts with an empty disk, joins the set by
itself. The permission to form a set is stored in the data directory before it
is used, because a process that is restarted during the first start gets
``first_start=False``. A replica without the permission can only join, so a
second set cannot be formed.
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
# Other replicas wait this long before they resume a change of the set; a
# change takes 100 to 400 ms. If all replicas resumed it at the same time, each
# would rewrite every key and their ballots would conflict.
RESUME_DELAY_MS = 800
# Random part of the wait, so that one replica resumes first.
RESUME_JITTER_MS = 800


@attrs.frozen
class Placement:
    """Own address of a replica and the seed addresses of the replica set."""

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
        """Form a set, join one or resume a change, if necessary.

        ``seen`` is the newest view received by this process. A replica that
        was replaced while it was unreachable learns that only from others.
        """
        status = self._replica.handle(_messages.StatusRequest())
        for view in (status.view, seen):
            self.known.update(_view.contacts(view))
        newest = max(status.view, seen, key=lambda view: view.epoch)
        member = newest.member(status.identity)
        if member is not None and not newest.changing:
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

    def _query_replicas(self):
        """Return the status of every replica that answers, by address."""
        addresses = self.known | {self._placement.address}
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
        change = _view_change.ViewChange(
            self._proposer(view),
            self._transport,
            self._clock,
            options=_view_change.ViewChangeOptions(
                call_timeout_ms=CALL_TIMEOUT_MS, step_limit_ms=2_000
            ),
        )
        if view.changing or view.member(status.identity) is not None:
            if not view.changing or self._is_abandoned(view):
                self._log_step('resumed', change.resume())
            return
        addresses = self._addresses_after_join(view, statuses)
        if addresses is not None:
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
