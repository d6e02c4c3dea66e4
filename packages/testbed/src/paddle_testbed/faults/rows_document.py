"""Rows of the fault matrix for the versioned document."""

import paddle_coord as coord
import returns.result

from paddle_testbed.faults import _rows

FIRST = coord.Document(1, b'first')


class _DocumentRow:
    """Keeps what was acknowledged, and what was read as confirmed."""

    def start(self, world):
        """Form three replicas and store the first version."""
        world.form(3)
        self.acknowledged = []
        self.errors = []
        # Content by version, from every answer and read.
        self.contents = {}
        self.submit(self.open(world, 'setup'), FIRST)

    def open(self, world, name):
        """Return the document of a new process."""
        return coord.VersionedDocument(world.proposer(name), world.clock)

    def submit(self, document, proposed):
        """Hand in ``proposed`` and note what was answered."""
        result = document.submit(proposed)
        if not isinstance(result, returns.result.Success):
            return
        stored = result.unwrap()
        self.note(stored)
        if stored == proposed:
            self.acknowledged.append(proposed)
        elif stored.version < proposed.version:
            self.errors.append(f'{proposed} was answered with {stored}')

    def read(self, document, times=2):
        """Read and compare with what was acknowledged before."""
        for _ in range(times):
            least = self.newest()
            if document.refresh():
                current = document.current
                self.note(current)
                if current.version < least:
                    self.errors.append(
                        f'read {current} after {least} was acknowledged'
                    )

    def newest(self):
        """Return the newest acknowledged version."""
        return max((item.version for item in self.acknowledged), default=0)

    def note(self, document):
        """Compare with other contents seen under the same version."""
        known = self.contents.setdefault(document.version, document.content)
        if known != document.content:
            self.errors.append(
                f'version {document.version} holds {known} and '
                f'{document.content}'
            )

    def verify(self, world):
        """Read with a new process."""
        document = self.open(world, 'verifier')
        if not document.refresh():
            return [*self.errors, 'not readable after the repair']
        self.note(document.current)
        if document.current.version < self.newest():
            self.errors.append(
                f'{self.newest()} was acknowledged, the newest is '
                f'{document.current}'
            )
        return self.errors


@_rows.ROWS.register('document.race')
class RaceRow(_DocumentRow):
    """Two operators hand in one version with different contents."""

    def act(self, world):
        """Start both, and a controller that reads meanwhile."""
        for name, content in (('a', b'one'), ('b', b'other')):
            proposed = coord.Document(2, content)
            document = self.open(world, name)
            world.spawn(name, self.submit, document, proposed)
        world.spawn('r', self.read, self.open(world, 'r'))


@_rows.ROWS.register('document.series')
class SeriesRow(_DocumentRow):
    """Versions in quick succession; an older one comes last."""

    def act(self, world):
        """Start the operators and a controller that reads meanwhile."""
        first = self.open(world, 'a')
        world.spawn('a', self.hand_in, first, (2, 4))
        world.spawn('b', self.hand_in, self.open(world, 'b'), (3,))
        world.spawn('r', self.read, self.open(world, 'r'), 3)

    def hand_in(self, document, versions):
        """Hand in each of ``versions``, one after the other."""
        for version in versions:
            content = b'content %d' % version
            self.submit(document, coord.Document(version, content))
