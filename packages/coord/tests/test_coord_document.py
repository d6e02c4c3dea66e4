"""Tests of the replicated document."""

import gevent
import gevent.event
import paddle_coord as coord
from paddle_coord import _ballot
from paddle_coord import _document
import paddle_kernel as kernel
import returns.result

FAILURE = returns.result.Failure(
    coord.RegisterError(coord.NOT_WRITTEN, 'no majority')
)


class SlowRegister:
    """A register of which only a change and the first fetch succeed."""

    def __init__(self, stored):
        self.stored = stored
        self.peek_ends = gevent.event.Event()
        self.change_ends = gevent.event.Event()

    def peek(self, _key):
        self.peek_ends.wait()
        return FAILURE

    def fetch(self, _key):
        if self.stored is None:
            return FAILURE
        stored, self.stored = self.stored, None
        return returns.result.Success((_ballot.Ballot(1, 'p'), stored))

    def read(self, _key):
        return FAILURE

    def change(self, _key, function):
        value = function(None)
        self.change_ends.wait()
        return returns.result.Success(coord.Change(value))


def test_a_failed_comparison_does_not_confirm_a_document_adopted_meanwhile():
    # Guards against an old version that is answered as confirmed: the change
    # was decided before the refresh began, and no replica answered since.
    clock = kernel.FakeClock()
    register = SlowRegister(_document.Document(1, b'one').to_bytes())
    document = _document.VersionedDocument(register, clock)
    assert document.refresh()
    change = gevent.spawn(document.submit, _document.Document(2, b'two'))
    gevent.idle()
    clock.advance(10_000)
    refresh = gevent.spawn(document.refresh)
    gevent.idle()
    register.change_ends.set()
    change.join()
    register.peek_ends.set()
    refresh.join()
    assert not refresh.value
    assert document.age_ms() == 10_000


class LocalRegister:
    """One register without replicas; ``interrupt`` runs before a decision.

    As with a conflict between proposers, the change function is then called
    again with the value that was stored meanwhile.
    """

    def __init__(self):
        self.value = None
        self.interrupt = None

    def change(self, _key, function):
        new = function(self.value)
        if self.interrupt is not None:
            interrupt, self.interrupt = self.interrupt, None
            interrupt()
            new = function(self.value)
        if isinstance(new, coord.Reject):
            return returns.result.Success(coord.Change(self.value, new.reason))
        self.value = new
        return returns.result.Success(coord.Change(new))


def test_an_update_that_loses_a_race_is_applied_to_the_winner():
    # Guards against two changes at the same time of which one is lost.
    register = LocalRegister()
    first, second = (
        _document.VersionedDocument(register, kernel.FakeClock())
        for _ in range(2)
    )
    register.interrupt = lambda: second.update(
        lambda content: (content or b'') + b'b'
    )
    change = first.update(lambda content: (content or b'') + b'a').unwrap()
    assert change.value == _document.Document(2, b'ba')
    assert first.current == change.value


def test_a_rejected_update_reads_the_stored_document():
    # Guards against a repeated order that makes a new version, which every
    # instance would have to take again.
    register = LocalRegister()
    writer, reader = (
        _document.VersionedDocument(register, kernel.FakeClock())
        for _ in range(2)
    )
    writer.update(lambda _content: b'one')
    change = reader.update(lambda _content: coord.Reject('unchanged')).unwrap()
    assert change.rejected == 'unchanged'
    assert change.value == reader.current == _document.Document(1, b'one')
