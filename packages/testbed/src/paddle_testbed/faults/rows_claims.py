"""Rows of the fault matrix for claims."""

import paddle_coord as coord
import paddle_kernel as kernel
from paddle_testbed.faults import _rows

DEADLINE_MS = 30_000
ANSWER = coord.Answer.from_response(201, (), b'slot 4')


class _Attempts:
    """Attempts at one request, each by another process, and their outcomes."""

    def __init__(self):
        self.clock = kernel.FakeClock()
        self.ran = []
        self.completed = []
        self.outcomes = {}

    def claim(self, name, proposer):
        book = coord.ClaimBook(proposer, self.clock, name)
        deadline_ms = self.clock.now_ms() + DEADLINE_MS
        return book, book.claim('acme', 'booking', 'digest', deadline_ms)

    def run(self, name, proposer):
        """Claim, run and complete the request."""
        book, outcome = self.claim(name, proposer)
        if outcome.claim is not None and book.may_send(outcome.claim):
            self.ran.append(name)
            result = book.complete(outcome.claim, ANSWER)
            outcome = result.value_or(None)
            if outcome is not None and outcome.outcome == 'done':
                self.completed.append(name)
        if outcome is not None:
            self.outcomes[name] = outcome.outcome

    def claim_and_release(self, name, proposer):
        """Claim the request and release it, as when no connection is made."""
        book, outcome = self.claim(name, proposer)
        if outcome.claim is not None:
            outcome = book.release(outcome.claim)
        self.outcomes[name] = outcome.outcome

    def problems(self):
        """Return descriptions of violated properties."""
        found = []
        if len(self.ran) > 1:
            found.append(f'the request ran at {self.ran}')
        for name, outcome in self.outcomes.items():
            if outcome == 'not_run' and name in self.ran:
                found.append(f'{name} reports a false "not run"')
            if outcome == 'done' and not self.ran:
                found.append(f'{name} reports "done" without a run')
        return found

    def check_resend(self, environment):
        """Resend after the repair and return descriptions of problems."""
        ran = list(self.ran)
        self.run('successor', environment.proposer('successor'))
        found = self.problems()
        if self.completed and self.outcomes.get('successor') != 'done':
            found.append('a recorded answer is not replayed')
        if ran and 'successor' in self.ran:
            found.append('a resend ran again')
        return found


class _ClaimRow:
    def start(self, environment):
        """Form three replicas."""
        environment.form(3)
        self.attempts = _Attempts()
        self.proposers = {name: environment.proposer(name) for name in 'ab'}

    def verify(self, environment):
        """Check the outcomes of the attempts and of a resend."""
        return self.attempts.check_resend(environment)


@_rows.ROWS.register('claims.run')
class RunRow(_ClaimRow):
    """A request and its resend run at the same time."""

    def act(self, environment):
        """Start the request and its resend."""
        for name, proposer in self.proposers.items():
            environment.spawn(name, self.attempts.run, name, proposer)


@_rows.ROWS.register('claims.release')
class ReleaseRow(_ClaimRow):
    """A request is released without a connection while its resend runs."""

    def act(self, environment):
        """Start the request and its resend."""
        first, second = self.proposers.items()
        environment.spawn(first[0], self.attempts.claim_and_release, *first)
        environment.spawn(second[0], self.attempts.run, *second)
