"""Formation, replacement and status of the set of replicas."""

import paddle_kernel as kernel
import returns.result

from paddle_coord import _messages
from paddle_coord import _view

CALL_TIMEOUT_MS = 2_000


class AdminError(Exception):
    """An operation on the replica set was refused; the text says why."""


class ReplicaAdmin:
    """Operator's functions on the set of replicas."""

    def __init__(self, transport, clock, *, call_timeout_ms=CALL_TIMEOUT_MS):
        self._transport = transport
        self._clock = clock
        self._call_timeout_ms = call_timeout_ms
        self._addresses = ()

    def form(self, addresses):
        """Make the replicas at ``addresses`` the first set.

        Done once; repeating it with the same addresses completes an
        interrupted call. Returns ``Success(View)`` or
        ``Failure(AdminError)``.
        """
        self._addresses = tuple(addresses)
        found = self.status()
        missing = [item for item in addresses if found[item] is None]
        if missing:
            return _failure(f'no answer from {", ".join(missing)}')
        members = tuple(
            _view.Member(found[item].identity, item) for item in addresses
        )
        view = _view.View(1, members, members)
        for address, status in found.items():
            if status.view not in (_view.UNFORMED, view):
                return _failure(
                    f'{address} already belongs to another set of replicas; '
                    'use replace, or an empty data directory'
                )
        return self._push_first(view)

    def status(self, addresses=()):
        """Return ``{address: ReplicaStatus | None}``."""
        if addresses:
            self._addresses = tuple(addresses)
        calls = {item: _messages.StatusRequest() for item in self._addresses}
        answers = dict(
            kernel.broadcast(self._transport, calls, self._call_timeout_ms)
        )
        return {item: answers[item].value_or(None) for item in self._addresses}

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
                return _failure(
                    f'{address} did not confirm; repeat the operation'
                )
        return returns.result.Success(view)


def _failure(text):
    return returns.result.Failure(AdminError(text))
