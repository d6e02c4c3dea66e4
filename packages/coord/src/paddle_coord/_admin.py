"""Administration of the replica set: formation, replacement, status."""

import paddle_kernel as kernel
import returns.result

from paddle_coord import _messages
from paddle_coord import _proposer
from paddle_coord import _view
from paddle_coord import _view_change

CALL_TIMEOUT_MS = 2_000


class ReplicaAdmin:
    """Operations on the replica set for operators."""

    def __init__(self, transport, clock, *, call_timeout_ms=CALL_TIMEOUT_MS):
        self._transport = transport
        self._clock = clock
        self._call_timeout_ms = call_timeout_ms
        self._addresses = ()

    def form(self, addresses):
        """Make the replicas at ``addresses`` the first set.

        Needed once; repeating the call with the same addresses completes an
        interrupted one. Returns ``Success(View)`` or
        ``Failure(AdminError)``.
        """
        self._addresses = tuple(addresses)
        statuses = self.status()
        unreachable = [item for item in addresses if statuses[item] is None]
        if unreachable:
            return _view_change.failure(
                f'no answer from {", ".join(unreachable)}'
            )
        members = tuple(
            _view.Member(statuses[item].identity, item) for item in addresses
        )
        view = _view.View(1, members, members)
        for address, status in statuses.items():
            if status.view not in (_view.UNFORMED, view):
                return _view_change.failure(
                    f'{address} already belongs to another set of replicas; '
                    'use replace, or an empty data directory'
                )
        return self._push_first(view)

    def replace(self, old_addresses, new_addresses):
        """Make the replicas at ``new_addresses`` the whole set.

        ``old_addresses`` is the current set, of which a majority must
        answer. Replicas can be exchanged, added and removed. A change found
        in progress is finished first. Returns
        ``Success(View)`` or ``Failure(AdminError)``; it may be repeated.
        """
        addresses = dict.fromkeys((*old_addresses, *new_addresses))
        result = self._open_view_change(addresses).replace(
            tuple(new_addresses)
        )
        if isinstance(result, returns.result.Success):
            self._addresses = tuple(new_addresses)
        return result

    def resume(self, addresses):
        """Finish a change of the set that another process abandoned.

        ``addresses`` are replicas of the set. Returns ``Success(View)`` with
        the current view or ``Failure(AdminError)``.
        """
        return self._open_view_change(addresses).resume()

    def status(self, addresses=()):
        """Return ``{address: ReplicaStatus | None}``."""
        if addresses:
            self._addresses = tuple(addresses)
        calls = {item: _messages.StatusRequest() for item in self._addresses}
        answers = dict(
            kernel.broadcast(self._transport, calls, self._call_timeout_ms)
        )
        return {item: answers[item].value_or(None) for item in self._addresses}

    def _open_view_change(self, addresses):
        proposer = open_proposer(self._transport, addresses, self._clock)
        options = _view_change.ViewChangeOptions(
            call_timeout_ms=self._call_timeout_ms
        )
        return _view_change.ViewChange(
            proposer, self._transport, self._clock, options=options
        )

    def _push_first(self, view):
        calls = {
            item.address: _messages.AdoptView(item.identity, view)
            for item in view.new
        }
        for address, result in kernel.broadcast(
            self._transport, calls, self._call_timeout_ms
        ):
            answer = result.value_or(None)
            adopted = (
                isinstance(answer, _messages.ReplicaStatus)
                and answer.view == view
            )
            if not adopted:
                return _view_change.failure(
                    f'{address} did not adopt the view; repeat the operation'
                )
        return returns.result.Success(view)


def open_proposer(transport, addresses, clock):
    """Return a proposer for a change of the replica set."""
    return _proposer.Proposer(transport, addresses, clock, 'admin')
