"""Change of the replica set under load.

Steps: decide the transitional view in a write-once register of the current
view; have majorities of both sets adopt it; rewrite every key through joint
quorums; decide the final view in the same way; have it adopted. Each step is
idempotent, so any process can resume a change that another one abandoned.
"""

import attrs
import gevent.pool
import paddle_kernel as kernel
import returns.result

from paddle_coord import _events
from paddle_coord import _messages
from paddle_coord import _proposer
from paddle_coord import _register
from paddle_coord import _view

# Keys rewritten concurrently: enough to fill the group commits of the
# replicas, while memory stays bounded.
REWRITE_CONCURRENCY = 32


class AdminError(Exception):
    """An operation on the replica set failed; the message says why."""


@attrs.frozen(kw_only=True)
class ViewChangeOptions:
    """Timeouts of one message and of one step, and the retry pause."""

    call_timeout_ms: int = 2_000
    step_limit_ms: int = 30_000
    retry_ms: int = 100


def view_key(epoch):
    """Return the key of the write-once register for the view ``epoch``."""
    return f'{_proposer.RESERVED_PREFIX}view/{epoch}'


def encode_view(view):
    """Return the register value that holds ``view``."""
    return kernel.codec.encode(view)[1]


def decode_view(value):
    """Return the view held in a register value."""
    return kernel.codec.decode(_view.View.__name__, value)


class ViewChange:
    """Replaces the replica set through ``proposer``."""

    def __init__(self, proposer, transport, clock, *, options=None):
        self._proposer = proposer
        self._transport = transport
        self._clock = clock
        self._options = options or ViewChangeOptions()

    def replace(self, new_addresses):
        """Make the replicas at ``new_addresses`` the replica set.

        A change found in progress is finished first. Returns
        ``Success(View)`` or ``Failure(AdminError)``; after a failure the
        call may be repeated.
        """
        return self.resume().bind(
            lambda view: self._resolve_members(view, new_addresses).bind(
                lambda members: self._start_change(view, members)
            )
        )

    def replace_at(self, epoch, new_addresses):
        """Like :meth:`replace`, but only in the view of ``epoch``.

        For addresses that were computed from that view: in a later view they
        would omit a replica that has joined since. A competing change that
        was decided first is left to the process that started it.
        """
        return self.resume().bind(
            lambda view: (
                self._resolve_members(view, new_addresses).bind(
                    lambda members: self._start_change(
                        view, members, finish_competing_change=False
                    )
                )
                if view.epoch == epoch
                else failure(
                    f'the replica set is at epoch {view.epoch}, not {epoch}'
                )
            )
        )

    def resume(self):
        """Finish a change in progress.

        Returns ``Success(View)`` with the current view, or ``Failure``.
        """
        view = self._proposer.refresh_view()
        if not view.epoch:
            return failure('no formed replica answered')
        if view.changing:
            return self._finish_change(view)
        decided = self._proposer.quick_read(view_key(view.epoch + 1))
        if not isinstance(decided, returns.result.Success):
            return failure(decided.failure().detail)
        if decided.unwrap() is None:
            # The read may have returned a newer view from a replica.
            view = self._proposer.view
            return (
                self._finish_change(view) if view.changing else _success(view)
            )
        return self._learn_and_continue(decode_view(decided.unwrap()))

    def _start_change(self, view, members, *, finish_competing_change=True):
        if _view.identities(members) == _view.identities(view.new):
            return _success(view)
        proposed = _view.transitional(view, members)
        decided = self._decide(proposed)
        if not isinstance(decided, returns.result.Success):
            return decided
        if decided.unwrap() == proposed:
            return self._learn_and_continue(proposed)
        if finish_competing_change:
            self._learn_and_continue(decided.unwrap())
        return failure(
            'another change was decided first; check the view and repeat'
        )

    def _resolve_members(self, view, addresses):
        """Return the new members; a replica that stays keeps its entry."""
        if len(set(addresses)) != len(addresses) or not addresses:
            return failure('the new addresses must be distinct, at least one')
        calls = {item: _messages.StatusRequest() for item in addresses}
        answers = dict(
            kernel.broadcast(
                self._transport, calls, self._options.call_timeout_ms
            )
        )
        members = []
        current_members = {item.address: item for item in view.new}
        for address in addresses:
            status = answers[address].value_or(None)
            if status is not None:
                if status.view.epoch > view.epoch:
                    return failure(f'{address} belongs to another replica set')
                current_member = view.member(status.identity)
                new = _view.Member(status.identity, address, view.epoch + 1)
                members.append(current_member or new)
            elif address in current_members:
                members.append(current_members[address])
            else:
                return failure(f'no answer from the new replica {address}')
        return _success(tuple(members))

    def _decide(self, view):
        """Return the view decided for ``view.epoch``."""
        value = encode_view(view)

        def write_once(current):
            return value if current is None else _register.Reject('decided')

        result = self._proposer.change(view_key(view.epoch), write_once)
        if not isinstance(result, returns.result.Success):
            return failure(
                f'view {view.epoch}: {result.failure().detail}; repeat'
            )
        return _success(decode_view(result.unwrap().value))

    def _learn_and_continue(self, view):
        self._proposer.learn_view(view)
        if view.changing:
            return self._finish_change(view)
        return self._push(view)

    def _finish_change(self, view):
        """Complete the change in the transitional ``view``."""
        pushed = self._push(view)
        if pushed.value_or(None) != view:
            return pushed
        return (
            self._rewrite(view)
            .bind(self._decide)
            .bind(self._learn_and_continue)
        )

    def _push(self, view):
        """Have a quorum of ``view`` adopt it.

        Returns ``view``, or a later one if another process has continued.
        """
        deadline_ms = self._clock.now_ms() + self._options.step_limit_ms
        while True:
            voters = self._push_once(view)
            if _view.has_quorum(view, voters):
                self._log_step(view, 'adopted')
                return _success(view)
            if self._proposer.view.epoch > view.epoch:
                return self.resume()
            if self._clock.now_ms() >= deadline_ms:
                return failure(f'no quorum adopted view {view.epoch}; repeat')
            self._clock.sleep_ms(self._options.retry_ms)

    def _push_once(self, view):
        contacts = _view.contacts(view)
        calls = {
            address: _messages.AdoptView(member.identity, view)
            for address, member in contacts.items()
        }
        voters = set()
        for address, result in kernel.broadcast(
            self._transport, calls, self._options.call_timeout_ms
        ):
            answer = result.value_or(None)
            if not isinstance(answer, _messages.ReplicaStatus):
                continue
            self._proposer.learn_view(answer.view)
            if answer.view == view:
                voters.add(contacts[address].identity)
        return voters

    def _rewrite(self, view):
        """Copy all keys to the new set; return the final view to decide.

        The list of keys is complete: a majority of the old set has adopted
        ``view``, so no later write can be decided by the old set alone.
        """
        listed = self._proposer.stored_keys('', view=view)
        if not isinstance(listed, returns.result.Success):
            return failure(listed.failure().detail)
        keys, floor = listed.unwrap()
        pool = gevent.pool.Pool(REWRITE_CONCURRENCY)
        for result in pool.imap_unordered(self._proposer.read, keys):
            if not isinstance(result, returns.result.Success):
                return failure(
                    f'a key was not copied: {result.failure().detail}; repeat'
                )
        self._log_step(view, 'copied', keys=len(keys))
        return _success(_view.final(view, floor))

    def _log_step(self, view, step, **fields):
        kernel.emit(_events.VIEW_CHANGE, epoch=view.epoch, step=step, **fields)


def failure(text):
    """Return the failed result of an operation on the replica set."""
    return returns.result.Failure(AdminError(text))


def _success(value):
    return returns.result.Success(value)
