"""Model of the versioned document, its operators and its readers.

Three replicas store the document in one register. Operators submit versions,
also the same version with different contents; a write prepares at two replicas
and is then accepted by one replica after another. Controllers read: they
compare ballots with two replicas, or fetch the document from them and process
what they fetched some time later. The model of the register covers how one
value is decided; here a prepare or a read at two replicas is one step. The
production function decides which version replaces another.
"""

import functools
import itertools

import attrs
import minicheck
import paddle_coord
from paddle_coord import _document

from paddle_testbed.specs import _spec

REPLICAS = 3
MAJORITY = 2
FIELDS = ('cells', 'writers', 'readers', 'acknowledged', 'violation')

WAITING = 'waiting'
WRITING = 'writing'
ENDED = 'ended'


@attrs.frozen(cache_hash=True)
class Cell:
    """Promised ballot and accepted ballot and data; ballots are numbers."""

    promised: int = 0
    ballot: int = 0
    data: bytes | None = None


@attrs.frozen(cache_hash=True)
class Writer:
    """An operator's submission of ``content`` under ``version``.

    ``data`` is what it writes; ``writes_own`` is whether that is its own
    document and not the one it found.
    """

    ballot: int
    version: int
    content: bytes
    phase: str = WAITING
    data: bytes | None = None
    writes_own: bool = False
    accepted: frozenset = frozenset()


@attrs.frozen(cache_hash=True)
class Reader:
    """A controller with the document it holds and the ballot of that.

    ``fetched`` is a fetch not yet processed: the data, its ballot and the
    version that was acknowledged when the fetch was made.
    """

    data: bytes | None = None
    ballot: int = 0
    fetched: tuple | None = None


@attrs.frozen(kw_only=True)
class Rules:
    """Rules of the protocol; a seeded defect turns some off."""

    keeps_first_content: bool = True
    peeks_at_majority: bool = True
    fetch_needs_agreement: bool = True
    keeps_newest: bool = True


def _replaced(items, index, item):
    return (*items[:index], item, *items[index + 1 :])


def _version(data):
    found = _document.Document.from_bytes(data)
    return found.version if found else 0


def _pairs():
    return itertools.combinations(range(REPLICAS), MAJORITY)


def _data_to_write(data, writer, rules):
    """Return the data to write, ``None`` if the version is superseded."""
    proposed = _document.Document(writer.version, writer.content)
    if not rules.keeps_first_content and _version(data) == writer.version:
        return proposed.to_bytes()
    result = _document.replace_older(data, proposed)
    return None if isinstance(result, paddle_coord.Reject) else result


def _prepare(state, index, rules):
    cells, writers, readers, acknowledged, violation = state
    writer = writers[index]
    for pair in _pairs():
        if any(cells[item].promised >= writer.ballot for item in pair):
            continue
        found = max((cells[item] for item in pair), key=lambda c: c.ballot)
        own_data = _data_to_write(found.data, writer, rules)
        new = attrs.evolve(
            writer,
            phase=WRITING,
            # A superseded writer writes the document that it found.
            data=found.data if own_data is None else own_data,
            writes_own=own_data is not None,
        )
        promised = cells
        for item in pair:
            cell = attrs.evolve(cells[item], promised=writer.ballot)
            promised = _replaced(promised, item, cell)
        yield (
            f'w{index} prepares at {pair}',
            (
                promised,
                _replaced(writers, index, new),
                readers,
                acknowledged,
                violation,
            ),
        )


def _accept(state, index):
    cells, writers, readers, acknowledged, violation = state
    writer = writers[index]
    for replica, cell in enumerate(cells):
        if replica in writer.accepted or cell.promised > writer.ballot:
            continue
        accepted = writer.accepted | {replica}
        new = attrs.evolve(writer, accepted=accepted)
        new_acknowledged = acknowledged
        if len(accepted) == MAJORITY and writer.writes_own:
            new_acknowledged = max(acknowledged, writer.version)
        if len(accepted) == REPLICAS:
            new = attrs.evolve(new, phase=ENDED)
        stored = Cell(writer.ballot, writer.ballot, writer.data)
        yield (
            f'r{replica} accepts from w{index}',
            (
                _replaced(cells, replica, stored),
                _replaced(writers, index, new),
                readers,
                new_acknowledged,
                violation,
            ),
        )


def _peek(state, index, rules):
    """Compare ballots; equal ballots confirm the document held."""
    cells, writers, readers, acknowledged, violation = state
    reader = readers[index]
    if not reader.ballot:
        return
    groups = _pairs() if rules.peeks_at_majority else [(0,), (1,), (2,)]
    for group in groups:
        if any(cells[item].ballot != reader.ballot for item in group):
            continue
        if _version(reader.data) < acknowledged:
            text = 'an older version is confirmed'
            yield (
                f'c{index} peeks at {group}',
                (cells, writers, readers, acknowledged, text),
            )


def _fetch(state, index, rules):
    cells, writers, readers, acknowledged, violation = state
    if readers[index].fetched is not None:
        return
    for pair in _pairs():
        seen = [cells[item] for item in pair]
        agreed = seen[0].ballot == seen[1].ballot
        if rules.fetch_needs_agreement and not agreed:
            continue
        if not seen[0].ballot:
            continue
        found = (seen[0].data, seen[0].ballot, acknowledged)
        reader = attrs.evolve(readers[index], fetched=found)
        yield (
            f'c{index} fetches from {pair}',
            (
                cells,
                writers,
                _replaced(readers, index, reader),
                acknowledged,
                violation,
            ),
        )


def _process_fetched(state, index, rules):
    cells, writers, readers, acknowledged, violation = state
    reader = readers[index]
    if reader.fetched is None:
        return
    data, ballot, acknowledged_at_fetch = reader.fetched
    is_newer = _version(data) > _version(reader.data)
    if _version(data) < acknowledged_at_fetch:
        violation = 'an older version is read after a newer one'
    elif not rules.keeps_newest and _version(data) < _version(reader.data):
        violation = 'a controller went back to an older version'
    if is_newer or not rules.keeps_newest:
        reader = Reader(data, ballot)
    elif data == reader.data:
        reader = attrs.evolve(reader, ballot=ballot, fetched=None)
    else:
        reader = attrs.evolve(reader, fetched=None)
    yield (
        f'c{index} learns',
        (
            cells,
            writers,
            _replaced(readers, index, reader),
            acknowledged,
            violation,
        ),
    )


def _adopt_submitted(state, index):
    """The submitting controller adopts the document without a fetch."""
    cells, writers, readers, acknowledged, violation = state
    writer = writers[index]
    reader = readers[0]
    is_decided = len(writer.accepted) >= MAJORITY
    if not is_decided or _version(writer.data) <= _version(reader.data):
        return
    new = attrs.evolve(reader, data=writer.data, ballot=0)
    yield (
        f'c0 learns from w{index}',
        (cells, writers, _replaced(readers, 0, new), acknowledged, violation),
    )


def _transitions(state, rules):
    if state[-1]:
        return []
    steps = []
    for index, writer in enumerate(state[1]):
        if writer.phase == WAITING:
            steps += _prepare(state, index, rules)
        elif writer.phase == WRITING:
            steps += _accept(state, index)
        steps += _adopt_submitted(state, index)
    for index in range(len(state[2])):
        steps += _peek(state, index, rules)
        steps += _fetch(state, index, rules)
        steps += _process_fetched(state, index, rules)
    return steps


def _one_content(fields):
    """Whether no two readers hold different contents of one version."""
    held = {}
    for reader in fields['readers']:
        version = _version(reader.data)
        if held.setdefault(version, reader.data) != reader.data:
            return False
    return True


def _build(name, writers, rules):
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=FIELDS,
        initial=((Cell(),) * REPLICAS, writers, (Reader(),) * 2, 0, ''),
        transitions=lambda state: _transitions(state, rules),
        invariants={
            'reads are current': lambda fields: not fields['violation'],
            'one content under a version': _one_content,
        },
    )


# The first writer has the lowest ballot, so that it can be superseded.
SERIES = (Writer(1, 1, b'a'), Writer(2, 2, b'b'))
RACE = (Writer(1, 2, b'a'), Writer(2, 2, b'b'))
BACKWARDS = (Writer(1, 2, b'a'), Writer(2, 1, b'b'))


def _spec_of(name, writers, **rules):
    build = functools.partial(_build, name, writers, Rules(**rules))
    return _spec.Spec(name, build)


SPECS = (
    _spec_of('document/versions in order', SERIES),
    _spec_of('document/two contents under one version', RACE),
    _spec_of('document/an older version later', BACKWARDS),
)

DEFECTS = (
    _spec_of(
        'document/other content replaces the one under a version',
        RACE,
        keeps_first_content=False,
    ),
    _spec_of(
        'document/confirmed by one replica', SERIES, peeks_at_majority=False
    ),
    _spec_of(
        'document/fetched without agreement',
        SERIES,
        fetch_needs_agreement=False,
    ),
    _spec_of(
        'document/the last answer instead of the newest',
        SERIES,
        keeps_newest=False,
    ),
)
