"""Findings: problems in a document, each with the path of its value."""

import attrs


@attrs.frozen
class Finding:
    """One problem: the path, the value found and what is allowed there."""

    path: str
    value: object
    allowed: str

    def __str__(self):
        return f'{self.path}: found {self.value!r}, allowed: {self.allowed}'


class FindingsError(ValueError):
    """A document is invalid; ``findings`` lists all problems."""

    def __init__(self, findings):
        self.findings = tuple(findings)
        super().__init__('\n'.join(str(item) for item in self.findings))


class Findings:
    """Collects problems so that they can be reported together."""

    def __init__(self):
        self._items = []

    def __iter__(self):
        return iter(self._items)

    def __len__(self):
        return len(self._items)

    def add(self, path, value, allowed):
        """Record one problem."""
        self._items.append(Finding(path, value, allowed))

    def raise_if_any(self):
        """Raise :class:`FindingsError` if a problem was recorded."""
        if self._items:
            raise FindingsError(self._items)
