"""Rows of the fault matrix for the configuration log."""

import returns.result

import paddle_coord as coord
import paddle_kernel as kernel
from paddle_testbed.faults import _rows

SNAPSHOT_EVERY = 2
KEPT_SLOTS = 1
PREPARED = 3


class ListFold:
    """The state is the list of all operations."""

    def initial(self):
        """See :class:`paddle_coord.Fold`."""
        return ()

    def apply(self, state, operation):
        """Append the operation."""
        return returns.result.Success((*state, operation))

    def dump(self, state):
        """See :class:`paddle_coord.Fold`."""
        return list(state)

    def load(self, data):
        """See :class:`paddle_coord.Fold`."""
        return tuple(data)


class _ConfigRow:
    """Keeps what each process was told and has confirmed."""

    def start(self, world):
        """Form three replicas and accept some changes."""
        world.form(3)
        self.told = []
        self.confirmed = []
        self.writer = self.open(world, 'writer')
        self.stale = self.open(world, 'stale')
        for version in range(PREPARED):
            self.submit(self.writer, f'p{version}', version)
            if not version:
                self.stale.refresh().unwrap()

    def open(self, world, name):
        """Return the log of a new process."""
        proposer = world.proposer(name)
        return coord.ConfigLog(
            proposer,
            kernel.FakeClock(),
            fold=ListFold(),
            keys=proposer.keys,
            delete=proposer.delete,
            snapshot_every=SNAPSHOT_EVERY,
            kept_slots=KEPT_SLOTS,
            # A thread would end at a different step in each run.
            blocking=lambda function, *args: function(*args),
        )

    def submit(self, log, id_, version):
        """Submit a change and note its outcome."""
        result = log.submit(coord.ConfigChange(id_, version, id_))
        outcome = result.value_or(None)
        if outcome is not None:
            self.told.append((id_, outcome.accepted))
        return outcome

    def follow(self, log):
        """Refresh and note what was confirmed."""
        if isinstance(log.refresh(), returns.result.Success):
            self.confirmed.append(log.state)

    def verify(self, world):
        """Compare all notes with the log that a new process reads."""
        log = self.open(world, 'successor')
        log.refresh().unwrap()
        for id_ in sorted({id_ for id_, _ in self.told}):
            self.submit(log, id_, self.expected(id_))
        found = [
            f'{id_} was told accepted={accepted}, the log is {log.state}'
            for id_, accepted in self.told
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

    def expected(self, id_):
        """Return the version that change ``id_`` was submitted on."""
        return int(id_[1:])


@_rows.ROWS.register('config_log.race')
class RaceRow(_ConfigRow):
    """Two processes submit on the same version."""

    def act(self, world):
        """Start both; the second has missed some changes."""
        world.spawn('a', self.submit, self.writer, 'a3', PREPARED)
        world.spawn('b', self.submit, self.stale, 'b3', PREPARED)

    def verify(self, world):
        """Check also that not both were accepted."""
        found = super().verify(world)
        if {('a3', True), ('b3', True)} <= set(self.told):
            found.append('two changes were accepted on one version')
        return found


@_rows.ROWS.register('config_log.collect')
class CollectRow(_ConfigRow):
    """Slots are deleted while stale processes follow and submit."""

    def act(self, world):
        """Start a writer that collects, a follower and a late writer."""
        late = self.open(world, 'late')
        world.spawn('writer', self.write_and_collect)
        world.spawn('follower', self.follow_twice)
        world.spawn('late', self.submit, late, 'l1', 1)

    def write_and_collect(self):
        """Submit past a snapshot and delete the slots below it."""
        for version in range(PREPARED, PREPARED + SNAPSHOT_EVERY):
            self.submit(self.writer, f'w{version}', version)
        self.writer.collect()

    def follow_twice(self):
        """Follow while the other processes act."""
        self.follow(self.stale)
        self.follow(self.stale)
