"""Rows of the fault matrix for the versioned document."""

import paddle_coord as coord
import returns.result

from paddle_testbed.faults import _rows

FIRST_DOCUMENT = coord.Document(1, b'first')


class _DocumentRow:
    """Records acknowledged documents and the content of each version."""

    def start(self, environment):
        """Form three replicas and store the first version."""
        environment.form(3)
        self.acknowledged = []
        self.errors = []
        # Content by version, as found in any answer or read.
        self.contents = {}
        self.submit(self.open_document(environment, 'setup'), FIRST_DOCUMENT)

    def open_document(self, environment, name):
        """Return the document of a new process."""
        return coord.VersionedDocument(
            environment.proposer(name), environment.clock
        )

    def submit(self, document, proposed):
        """Submit ``proposed`` and record the answer."""
        result = document.submit(proposed)
        if not isinstance(result, returns.result.Success):
            return
        stored = result.unwrap()
        self.check_content(stored)
        if stored == proposed:
            self.acknowledged.append(proposed)
        elif stored.version < proposed.version:
            self.errors.append(f'{proposed} was answered with {stored}')

    def read(self, document, times=2):
        """Read and compare with the versions acknowledged before."""
        for _ in range(times):
            minimum = self.newest_acknowledged()
            if document.refresh():
                current = document.current
                self.check_content(current)
                if current.version < minimum:
                    self.errors.append(
                        f'read {current} after {minimum} was acknowledged'
                    )

    def newest_acknowledged(self):
        """Return the newest acknowledged version."""
        return max((item.version for item in self.acknowledged), default=0)

    def check_content(self, document):
        """Check that a version always has the same content."""
        expected_content = self.contents.setdefault(
            document.version, document.content
        )
        if expected_content != document.content:
            self.errors.append(
                f'version {document.version} holds {expected_content} and '
                f'{document.content}'
            )

    def verify(self, environment):
        """Read with a new process."""
        document = self.open_document(environment, 'verifier')
        if not document.refresh():
            return [*self.errors, 'not readable after the repair']
        self.check_content(document.current)
        if document.current.version < self.newest_acknowledged():
            self.errors.append(
                f'{self.newest_acknowledged()} was acknowledged, but read '
                f'{document.current}'
            )
        return self.errors


@_rows.ROWS.register('document.race')
class RaceRow(_DocumentRow):
    """Two operators submit one version with different contents."""

    def act(self, environment):
        """Start both operators and a controller that reads meanwhile."""
        for name, content in (('a', b'one'), ('b', b'other')):
            proposed = coord.Document(2, content)
            document = self.open_document(environment, name)
            environment.spawn(name, self.submit, document, proposed)
        environment.spawn('r', self.read, self.open_document(environment, 'r'))


@_rows.ROWS.register('document.series')
class SeriesRow(_DocumentRow):
    """Versions follow each other quickly; an older one may come last."""

    def act(self, environment):
        """Start the operators and a controller that reads meanwhile."""
        first = self.open_document(environment, 'a')
        environment.spawn('a', self.submit_versions, first, (2, 4))
        environment.spawn(
            'b',
            self.submit_versions,
            self.open_document(environment, 'b'),
            (3,),
        )
        environment.spawn(
            'r', self.read, self.open_document(environment, 'r'), 3
        )

    def submit_versions(self, document, versions):
        """Submit each of ``versions``, one after the other."""
        for version in versions:
            content = b'content %d' % version
            self.submit(document, coord.Document(version, content))
