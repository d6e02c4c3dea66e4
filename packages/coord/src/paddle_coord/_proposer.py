"""Proposer that changes and reads registers at a quorum of replicas."""

import collections
import random

import attrs
import gevent
import paddle_kernel as kernel
import returns.result

from paddle_coord import _attempts
from paddle_coord import _ballot
from paddle_coord import _messages
from paddle_coord import _register
from paddle_coord import _view

# Prefix of internal keys, such as views; keys() does not list them.
RESERVED_PREFIX = '\x00'


@attrs.frozen(kw_only=True)
class ProposerOptions:
    """Times in milliseconds.

    ``call_timeout_ms`` bounds one message, ``change_limit_ms`` a whole
    operation with its retries. Before a retry the proposer waits a random
    time below a limit that doubles from ``backoff_min_ms`` up to
    ``backoff_max_ms``.
    """

    call_timeout_ms: int = 500
    change_limit_ms: int = 3_000
    backoff_min_ms: int = 4
    backoff_max_ms: int = 250


@attrs.define
class _RoundResult:
    """Answers to one message sent to all members of a view.

    ``possible_voters`` are the members that granted or may still grant.
    ``maybe_sent`` tells that a member without a usable answer may have
    received the message or may still accept it. ``outcomes`` counts the
    answers by kind: grants, conflicts, kinds of refusals and of failed calls.
    """

    view: _view.View
    grants: dict = attrs.Factory(dict)
    possible_voters: set = attrs.Factory(set)
    highest_conflict: _ballot.Ballot = _ballot.ZERO
    maybe_sent: bool = False
    outcomes: collections.Counter = attrs.Factory(collections.Counter)

    @property
    def is_granted(self):
        """Whether a quorum of members granted the request."""
        return _view.has_quorum(self.view, self.grants)

    @property
    def is_quorum_lost(self):
        """Whether a quorum can no longer be reached."""
        return not _view.has_quorum(self.view, self.possible_voters)


class Proposer:
    """Register whose values are stored by a set of replicas.

    ``addresses`` are replicas to ask for the current view. ``name`` becomes
    part of the ballots, followed by a random suffix.
    """

    def __init__(
        self,
        transport,
        addresses,
        clock,
        name,
        *,
        options=None,
        rng=None,
    ):
        self._transport = transport
        self._addresses = tuple(addresses)
        self._clock = clock
        self._options = options or ProposerOptions()
        self._rng = rng or random.Random()
        self._id = _ballot.new_proposer_id(name)
        self._counter = 0
        self._view = _view.UNFORMED

    @property
    def view(self):
        """The newest view received by this proposer."""
        return self._view

    def change(self, key, function):
        """See :meth:`paddle_coord.Register.change`."""
        return _ChangeOperation(self, key, function).run()

    def read(self, key):
        """See :meth:`paddle_coord.Register.read`."""
        result = self.change(key, lambda _: _register.Reject('read'))
        return result.map(lambda change: change.value)

    def quick_read(self, key):
        """See :meth:`paddle_coord.Register.quick_read`."""
        fetched = self.fetch(key)
        if isinstance(fetched, returns.result.Success):
            return fetched.map(lambda found: found[1])
        return self.read(key)

    def peek(self, key):
        """Return ``Success(Ballot)`` of the decided value of ``key``.

        Takes one round trip, transfers no value and causes no fsync.
        ``Failure`` unless a majority reports the same ballot.
        """
        if not self._view.epoch:
            self.refresh_view()
        answers = self.round(
            lambda member, epoch: _messages.Peek(member.identity, epoch, key),
            _messages.Peeked,
        )
        ballots = {item.accepted for item in answers.grants.values()}
        if answers.is_granted and len(ballots) == 1:
            return returns.result.Success(ballots.pop())
        return _failure(_register.NOT_WRITTEN, 'replicas do not agree')

    def fetch(self, key):
        """Return ``Success((ballot, value))`` on which a majority agrees.

        ``Failure`` when they differ; :meth:`read` then decides the value.
        """
        if not self._view.epoch:
            self.refresh_view()
        answers = self.round(
            lambda member, epoch: _messages.Fetch(member.identity, epoch, key),
            _messages.Fetched,
        )
        replies = list(answers.grants.values())
        if answers.is_granted and all(item == replies[0] for item in replies):
            return returns.result.Success(
                (replies[0].accepted, _value_of(replies[0].record))
            )
        return _failure(_register.NOT_WRITTEN, 'replicas do not agree')

    def keys(self, prefix):
        """Return ``Success(keys)`` that start with ``prefix``, in order.

        Every key with a decided value is included; a key whose deletion or
        first change is in progress may be.
        """
        result = self.stored_keys(prefix, stored=False)
        return result.map(
            lambda listing: tuple(
                key
                for key in listing[0]
                if not key.startswith(RESERVED_PREFIX)
            )
        )

    def delete(self, key, function=lambda value: None):
        """Delete ``key`` and free its space at all replicas.

        ``function`` is applied as in :meth:`change` and may return
        :class:`Reject`. Returns ``Success(True)`` when every replica dropped
        the key, ``Success(False)`` when it is deleted but its tombstone
        remains, for example because a replica did not answer; call again
        later. ``Failure`` as for :meth:`change`.
        """
        result = self.change(key, function)
        if not isinstance(result, returns.result.Success):
            return result
        change = result.unwrap()
        if change.value is not None:
            return returns.result.Success(False)
        return returns.result.Success(self._drop_tombstone(key))

    def add_addresses(self, addresses):
        """Add replicas that are asked for the current view."""
        self._addresses = tuple({*self._addresses, *addresses})

    def refresh_view(self):
        """Ask all known replicas for the current view and return it."""
        addresses = set(self._addresses) | set(_view.contacts(self._view))
        calls = {item: _messages.StatusRequest() for item in addresses}
        for _address, result in kernel.broadcast(
            self._transport, calls, self._options.call_timeout_ms
        ):
            answer = result.value_or(None)
            if isinstance(answer, _messages.ReplicaStatus):
                self.learn_view(answer.view)
        return self._view

    def learn_view(self, view):
        """Use ``view`` from now on if it is newer."""
        if view.epoch > self._view.epoch:
            self._view = view

    def stored_keys(self, prefix, *, stored=True, view=None):
        """Return ``Success((keys, floor))`` from a quorum of ``view``.

        ``floor`` is the highest deletion floor. With ``stored``, keys that
        hold only a promise or a tombstone are included.
        """
        if not self._view.epoch:
            self.refresh_view()
        view = view or self._view
        keys, floor, voters = set(), 0, set()
        for member in _view.contacts(view).values():
            listing = self._list_member(view, member, prefix, stored)
            if listing is not None:
                voters.add(member.identity)
                keys |= listing[0]
                floor = max(floor, listing[1])
        if not _view.has_quorum(view, voters):
            return _failure(_register.NOT_WRITTEN, 'no quorum listed keys')
        return returns.result.Success((sorted(keys), floor))

    def next_ballot(self):
        """Return a ballot that this process has not used before."""
        self._counter += 1
        return _ballot.Ballot(self._counter, self._id)

    def round(
        self, make_message, grant_type, view=None, *, wait_for_all=False
    ):
        """Send ``make_message(member, epoch)`` to all members.

        Returns once a quorum has granted or can no longer be reached; with
        ``wait_for_all``, once all members have answered.
        """
        view = view or self._view
        contacts = _view.contacts(view)
        answers = _RoundResult(
            view, possible_voters={item.identity for item in contacts.values()}
        )
        if not contacts:
            return answers
        calls = {
            address: make_message(member, view.epoch)
            for address, member in contacts.items()
        }
        for address, result in kernel.broadcast(
            self._transport, calls, self._options.call_timeout_ms
        ):
            self._record_answer(answers, contacts[address], result, grant_type)
            if not wait_for_all and (
                answers.is_granted or answers.is_quorum_lost
            ):
                break
        return answers

    def _record_answer(self, answers, member, result, grant_type):
        if not isinstance(result, returns.result.Success):
            answers.maybe_sent |= result.failure().was_sent
            answers.outcomes[result.failure().kind] += 1
            answers.possible_voters.discard(member.identity)
            return
        answer = result.unwrap()
        if isinstance(answer, grant_type):
            answers.grants[member.identity] = answer
            answers.outcomes['granted'] += 1
            return
        answers.possible_voters.discard(member.identity)
        if isinstance(answer, _messages.Conflict):
            answers.outcomes['conflict'] += 1
            answers.highest_conflict = max(
                answers.highest_conflict, answer.promised
            )
            self._counter = max(self._counter, answer.promised.counter)
        elif isinstance(answer, _messages.Refusal):
            answers.outcomes[answer.kind] += 1
            answers.maybe_sent |= _may_be_accepted(answer, answers.view)
            self._learn_from_refusal(member, answer)

    def _learn_from_refusal(self, member, refusal):
        self.learn_view(refusal.view)
        behind = refusal.view.epoch < self._view.epoch
        if refusal.kind == _view.WRONG_EPOCH and behind:
            message = _messages.AdoptView(member.identity, self._view)
            gevent.spawn(
                self._transport.call,
                member.address,
                message,
                self._options.call_timeout_ms,
            )

    def _list_member(self, view, member, prefix, stored):
        keys, after = set(), ''
        while True:
            message = _messages.ListKeys(
                member.identity, view.epoch, prefix, after, stored
            )
            answer = self._transport.call(
                member.address, message, self._options.call_timeout_ms
            ).value_or(None)
            if isinstance(answer, _messages.Refusal):
                self._learn_from_refusal(member, answer)
            if not isinstance(answer, _messages.KeyList):
                return None
            keys.update(answer.keys)
            if not answer.more:
                return keys, answer.floor
            after = answer.keys[-1]

    def _drop_tombstone(self, key):
        """Drop the tombstone of ``key``; return whether all members did."""
        view = self._view
        members = {item.identity for item in view.old + view.new}
        # A conflict in the first attempt raises the counter for the second.
        ballot = self._confirm_tombstone(view, key, members)
        ballot = ballot or self._confirm_tombstone(view, key, members)
        if ballot is None:
            return False
        dropped = self.round(
            lambda member, epoch: _messages.DropKey(
                member.identity, epoch, key, ballot
            ),
            _messages.KeyDropped,
            view,
            wait_for_all=True,
        )
        done = [item for item in dropped.grants.values() if item.done]
        return len(done) == len(members)

    def _confirm_tombstone(self, view, key, members):
        """Have every member accept the tombstone at one ballot.

        This writes back what was read. If the key holds another value, it is
        left unchanged.
        """
        ballot = self.next_ballot()
        promises = self.round(
            lambda member, epoch: _messages.Prepare(
                member.identity, epoch, key, ballot
            ),
            _messages.Promise,
            view,
            wait_for_all=True,
        )
        if set(promises.grants) != members:
            return None
        prepared = _attempts.summarize(ballot, promises.grants.values())
        if prepared.value is not None:
            return None
        tombstone = _attempts.identity(prepared)
        accepted = self.round(
            lambda member, epoch: _messages.Accept(
                member.identity, epoch, key, ballot, tombstone
            ),
            _messages.Accepted,
            view,
            wait_for_all=True,
        )
        return ballot if set(accepted.grants) == members else None

    # The following are used by _ChangeOperation.

    def prepare(self, key, view):
        """Run one prepare round.

        Returns its answers and the summary of a quorum's promises, ``None``
        without a quorum.
        """
        ballot = self.next_ballot()
        promises = self.round(
            lambda member, epoch: _messages.Prepare(
                member.identity, epoch, key, ballot
            ),
            _messages.Promise,
            view,
        )
        if not promises.is_granted:
            return promises, None
        prepared = _attempts.summarize(ballot, promises.grants.values())
        return promises, prepared

    def accept(self, key, view, ballot, record):
        """Run one accept round and return its answers."""
        return self.round(
            lambda member, epoch: _messages.Accept(
                member.identity, epoch, key, ballot, record
            ),
            _messages.Accepted,
            view,
        )

    @property
    def clock(self):
        """Clock that the time limit of a change is measured with."""
        return self._clock

    @property
    def options(self):
        """Timeouts and backoff in use."""
        return self._options

    def back_off(self, failures):
        """Wait with exponential backoff and full jitter."""
        limit = min(
            self._options.backoff_max_ms,
            self._options.backoff_min_ms << min(failures, 16),
        )
        self._clock.sleep_ms(self._rng.randint(1, limit))


class _ChangeOperation:
    """One change with its retries."""

    def __init__(self, proposer, key, function):
        self._proposer = proposer
        self._key = key
        self._function = function
        self._attempts = _attempts.Attempts()
        self._outcomes = collections.Counter()

    def run(self):
        """Return the result of :meth:`Proposer.change`."""
        clock = self._proposer.clock
        limit_ms = self._proposer.options.change_limit_ms
        deadline_ms = clock.now_ms() + limit_ms
        failures = 0
        while True:
            result = self._attempt()
            if result is not None:
                return result
            if clock.now_ms() >= deadline_ms:
                return self._timeout_failure(limit_ms)
            # After the first conflict the counter is known: retry at once.
            if failures:
                self._proposer.back_off(failures)
            failures += 1

    def _timeout_failure(self, limit_ms):
        kind = _register.NOT_WRITTEN
        if self._attempts.values:
            kind = _register.UNKNOWN
        counts = ', '.join(
            f'{outcome} {count}'
            for outcome, count in sorted(self._outcomes.items())
        )
        return _failure(
            kind,
            f'no decision within {limit_ms} ms; '
            f'answers in all rounds: {counts or "none"}',
        )

    def _attempt(self):
        """Run both rounds; return a result, or ``None`` to retry."""
        proposer = self._proposer
        if not proposer.view.epoch and not proposer.refresh_view().epoch:
            return None
        view = proposer.view
        promises, prepared = proposer.prepare(self._key, view)
        self._outcomes.update(promises.outcomes)
        if prepared is None:
            return None
        step = _attempts.plan(self._attempts, prepared)
        if step == _attempts.CONFIRM:
            return self._confirm(view, prepared)
        if step == _attempts.UNCLEAR:
            return _failure(
                _register.UNKNOWN, 'an earlier attempt may have been applied'
            )
        return self._propose(view, prepared)

    def _confirm(self, view, prepared):
        """Decide the read value, which contains an earlier attempt."""
        answers = self._accept(view, prepared.ballot, prepared.record)
        if not answers.is_granted:
            return None
        _ballot, value = self._attempts.find_contained_in(prepared.record)
        return returns.result.Success(_register.Change(value))

    def _propose(self, view, prepared):
        new = self._function(prepared.value)
        if isinstance(new, _register.Reject):
            return self._reject(view, prepared, new.reason)
        if (
            new is None
            and prepared.record is None
            and not self._attempts.values
        ):
            # Lower ballots can no longer be decided, so the key is absent.
            return returns.result.Success(_register.Change(None))
        record = _attempts.successor(prepared, new)
        answers = self._accept(view, prepared.ballot, record)
        if answers.is_granted:
            return returns.result.Success(_register.Change(new))
        if answers.grants or answers.possible_voters or answers.maybe_sent:
            self._attempts = self._attempts.added(prepared, new)
        return None

    def _accept(self, view, ballot, record):
        answers = self._proposer.accept(self._key, view, ballot, record)
        self._outcomes.update(answers.outcomes)
        return answers

    def _reject(self, view, prepared, reason):
        """Report a rejection once the value it was based on is decided."""
        if not _attempts.is_decided(self._attempts, prepared):
            answers = self._accept(
                view, prepared.ballot, _attempts.identity(prepared)
            )
            if not answers.is_granted:
                return None
        return returns.result.Success(
            _register.Change(prepared.value, rejected=reason)
        )


def _may_be_accepted(refusal, view):
    """Return whether a refused message may still take effect.

    After a failed fsync the record may be in the file, and a replica with an
    older epoch would accept a duplicate after adopting the current view.
    """
    if refusal.kind == _view.STORE_FAILED:
        return True
    return refusal.view.epoch < view.epoch


def _value_of(record):
    return None if record is None else record.value


def _failure(kind, detail):
    return returns.result.Failure(_register.RegisterError(kind, detail))
