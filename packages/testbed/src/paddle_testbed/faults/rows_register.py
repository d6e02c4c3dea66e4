"""Rows for changing and deleting a key and for replacing a replica."""

import paddle_coord as coord
import returns.result

from paddle_testbed.faults import _rows

KEY = 'n'


def _increment(value):
    return str(int(value or b'0') + 1).encode()


class _IncrementCounter:
    """Counts increments by outcome and compares them with the value."""

    def __init__(self):
        self.applied = 0
        self.unknown = 0
        self.last_read = 0
        self.errors = []

    def increment(self, proposer, times):
        for _ in range(times):
            self.unknown += 1
            result = proposer.change(KEY, _increment)
            if isinstance(result, returns.result.Success):
                self.applied += 1
                self.unknown -= 1
            elif result.failure().kind == coord.NOT_WRITTEN:
                self.unknown -= 1

    def read(self, proposer, times):
        for index in range(times):
            operation = proposer.quick_read if index % 2 else proposer.read
            before = self.applied
            result = operation(KEY)
            if not isinstance(result, returns.result.Success):
                continue
            value = int(result.unwrap() or b'0')
            if value < max(before, self.last_read):
                self.errors.append(f'read {value} after {self.last_read}')
            self.last_read = max(value, self.last_read)

    def check(self, environment):
        result = environment.proposer('verifier').read(KEY)
        if not isinstance(result, returns.result.Success):
            return [*self.errors, f'not readable: {result.failure()}']
        value = int(result.unwrap() or b'0')
        least = max(self.applied, self.last_read)
        if not least <= value <= self.applied + self.unknown:
            self.errors.append(
                f'value {value} with {self.applied} applied, '
                f'{self.unknown} unknown, {self.last_read} read'
            )
        return self.errors


@_rows.ROWS.register('register.change')
class ChangeRow:
    """Two proposers change one key while a third reads it."""

    def start(self, environment):
        self.counter = _IncrementCounter()
        environment.form(3)

    def act(self, environment):
        counter = self.counter
        environment.spawn('a', counter.increment, environment.proposer('a'), 2)
        environment.spawn('b', counter.increment, environment.proposer('b'), 1)
        environment.spawn('r', counter.read, environment.proposer('r'), 2)

    def verify(self, environment):
        return self.counter.check(environment)


@_rows.ROWS.register('register.delete')
class DeleteRow:
    """A key is deleted while another proposer changes it."""

    def start(self, environment):
        environment.form(3)
        environment.proposer('setup').change(KEY, lambda _: b'v').unwrap()
        self.deleted = self.changed = None

    def act(self, environment):
        environment.spawn('d', self._delete, environment.proposer('d'))
        environment.spawn('b', self._change, environment.proposer('b'))

    def _delete(self, proposer):
        self.deleted = proposer.delete(KEY)

    def _change(self, proposer):
        self.changed = proposer.change(
            KEY, lambda value: (value or b'') + b'b'
        )

    def verify(self, environment):
        proposer = environment.proposer('verifier')
        result = proposer.read(KEY)
        if not isinstance(result, returns.result.Success):
            return [f'not readable: {result.failure()}']
        errors = []
        value = result.unwrap()
        if isinstance(self.deleted, returns.result.Success):
            if value not in (None, b'b'):
                errors.append(f'deleted, but the value is {value!r}')
        applied = isinstance(self.changed, returns.result.Success)
        if applied and self.changed.unwrap().value == b'b' and value != b'b':
            errors.append(f'changed after the deletion, but found {value!r}')
        if proposer.delete(KEY).value_or(None) is not True:
            errors.append('not deleted by all replicas after the repair')
        if environment.proposer('last').read(KEY).unwrap() is not None:
            errors.append('the key exists again after its deletion')
        return errors


@_rows.ROWS.register('register.replace')
class ReplaceRow:
    """One of three replicas is replaced while a counter changes."""

    def start(self, environment):
        self.counter = _IncrementCounter()
        self.old = environment.form(3)
        self.new = [*self.old[:2], *environment.add_replicas(1)]
        self.counter.increment(environment.proposer('setup'), 1)

    def act(self, environment):
        admin = environment.admin('admin')
        environment.spawn('admin', admin.replace, self.old, self.new)
        counter = self.counter
        environment.spawn('a', counter.increment, environment.proposer('a'), 1)

    def verify(self, environment):
        # A successor completes the replacement that a killed process began.
        result = environment.admin('successor').replace(self.old, self.new)
        if not isinstance(result, returns.result.Success):
            return [f'not replaced: {result.failure()}']
        # The new set must work without the removed replica and one of its own.
        environment.servers[self.old[2]].kill()
        environment.servers[self.old[0]].kill()
        return self.counter.check(environment)
