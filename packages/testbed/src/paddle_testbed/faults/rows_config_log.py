"""Rows of the fault matrix for the configuration log."""

import returns.result

import paddle_coord as coord
import paddle_kernel as kernel
from paddle_testbed.faults import _rows

SNAPSHOT_EVERY_SLOTS = 2
KEPT_SLOTS = 1
PREPARED_CHANGES = 3


class ListFold:
    """Fold whose state is the sequence of all operations."""

    def initial(self):
        """Return the empty sequence."""
        return ()

    def apply(self, state, operation):
        """Append the operation."""
        return returns.result.Success((*state, operation))

    def dump(self, state):
        """Return the state as a list for a snapshot."""
        return list(state)

    def load(self, data):
        """Return the state read from a snapshot."""
        return tuple(data)


class _ConfigRow:
    """Records reported outcomes and confirmed states.

    ``reported`` holds pairs of change id and whether it was accepted.
    """

    def start(self, environment):
        """Form three replicas and accept some changes."""
        environment.form(3)
        self.reported = []
        self.confirmed = []
        self.writer_log = self.open_log(environment, 'writer')
        self.stale_log = self.open_log(environment, 'stale')
        for version in range(PREPARED_CHANGES):
            self.submit(self.writer_log, f'p{version}', version)
            if not version:
                self.stale_log.refresh().unwrap()

    def open_log(self, environment, name):
        """Return the log of a new process."""
        proposer = environment.proposer(name)
        return coord.ConfigLog(
            proposer,
            kernel.FakeClock(),
            fold=ListFold(),
            keys=proposer.keys,
            delete=proposer.delete,
            snapshot_every=SNAPSHOT_EVERY_SLOTS,
            kept_slots=KEPT_SLOTS,
            # Runs inline: a thread would end at another step in each run.
            blocking=lambda function, *args: function(*args),
        )

    def submit(self, log, id_, version):
        """Submit a change and record its outcome."""
        result = log.submit(coord.ConfigChange(id_, version, id_))
        outcome = result.value_or(None)
        if outcome is not None:
            self.reported.append((id_, outcome.accepted))
        return outcome

    def refresh_and_record(self, log):
        """Refresh the log and record the state that this confirms."""
        if isinstance(log.refresh(), returns.result.Success):
            self.confirmed.append(log.state)

    def verify(self, environment):
        """Compare the records with the log that a new process reads."""
        log = self.open_log(environment, 'successor')
        log.refresh().unwrap()
        for id_ in sorted({id_ for id_, _ in self.reported}):
            self.submit(log, id_, self.expected_version(id_))
        found = [
            f'{id_} was reported accepted={accepted}, log: {log.state}'
            for id_, accepted in self.reported
            if (id_ in log.state) != accepted
        ]
        if len(set(log.state)) != len(log.state):
            found.append(f'a change was accepted twice: {log.state}')
        found += [
            f'confirmed {state}, the log is {log.state}'
            for state in self.confirmed
            if log.state[: len(state)] != state
        ]
        return found

    def expected_version(self, id_):
        """Return the version that change ``id_`` was based on."""
        return int(id_[1:])


@_rows.ROWS.register('config_log.race')
class RaceRow(_ConfigRow):
    """Two processes submit a change based on the same version."""

    def act(self, environment):
        """Start both writers; the second has missed some changes."""
        environment.spawn(
            'a', self.submit, self.writer_log, 'a3', PREPARED_CHANGES
        )
        environment.spawn(
            'b', self.submit, self.stale_log, 'b3', PREPARED_CHANGES
        )

    def verify(self, environment):
        """Check also that at most one change was accepted."""
        found = super().verify(environment)
        if {('a3', True), ('b3', True)} <= set(self.reported):
            found.append('two changes were accepted on one version')
        return found


@_rows.ROWS.register('config_log.collect')
class CollectRow(_ConfigRow):
    """Slots are deleted while outdated processes refresh and submit."""

    def act(self, environment):
        """Start a writer that deletes slots, a reader, an outdated writer."""
        late_log = self.open_log(environment, 'late')
        environment.spawn('writer', self.write_and_collect)
        environment.spawn('follower', self.refresh_twice)
        environment.spawn('late', self.submit, late_log, 'l1', 1)

    def write_and_collect(self):
        """Submit changes up to a snapshot and delete the slots below it."""
        for version in range(
            PREPARED_CHANGES, PREPARED_CHANGES + SNAPSHOT_EVERY_SLOTS
        ):
            self.submit(self.writer_log, f'w{version}', version)
        self.writer_log.collect()

    def refresh_twice(self):
        """Refresh twice while the other processes run."""
        self.refresh_and_record(self.stale_log)
        self.refresh_and_record(self.stale_log)
