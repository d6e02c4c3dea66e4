"""Runs the cells of the fault matrix, spread over worker processes.

A cell that fails counts unless KNOWN-RED.txt lists it as
``fault: <row> | <step> | <fault>``.
"""

import collections
import concurrent.futures
import importlib
import multiprocessing
import os
import pathlib
import pkgutil
import random
import tempfile
import time

import loguru
import tabulate

from paddle_testbed import faults
from paddle_testbed.faults import _columns
from paddle_testbed.faults import _world

SEED = 20_261
HASH_SEED = '0'
KNOWN_RED = pathlib.Path('KNOWN-RED.txt')
PREFIX = 'fault:'
WORKERS = 8
CHUNK_CELLS = 20


def run_cell(row_name, index=None, column=None, expected=None):
    """Run one row with a fault at step ``index``; return (steps, errors).

    ``index`` is ``None`` for a run without a fault. It is an error if the
    step is not reached or is not the ``expected`` one.
    """
    done = []

    def inject(world, number, seen):
        if number != index or done:
            return None
        done.append(seen)
        return _columns.COLUMNS[column][0](world, seen)

    with tempfile.TemporaryDirectory() as folder:
        world = _world.World(
            folder, random.Random(SEED), random.Random(index), inject
        )
        try:
            errors = _run_row(row_name, world)
            if [label(seen) for seen in done] != [expected] * len(done):
                errors = [*errors, 'the fault met another step']
            if index is not None and not done:
                errors = [*errors, 'the step was not reached']
            return world.steps, errors
        finally:
            world.close()


def _run_row(row_name, world):
    world.lost_disk = world.second = None
    row = faults.ROWS.create(row_name)
    row.start(world)
    world.started = True
    row.act(world)
    world.run()
    if world.lost_disk:
        _replace_lost_disk(world)
    world.repair()
    if world.second:
        world.servers[world.second].kill()
    world.run()
    if world.second:
        world.servers[world.second].restart()
    world.run()
    world.started = False
    return row.verify(world)


def _replace_lost_disk(world):
    """Restart the replica blank and give it a place in the set again."""
    address, world.lost_disk = world.lost_disk, None
    world.servers[address].restart(blank=True)
    world.started = False
    admin = world.admin('repair')
    view = admin.resume(tuple(world.servers)).value_or(None)
    if view is not None:
        members = tuple(item.address for item in view.new)
        admin.replace(members, members)
    world.started = True


def cells(steps):
    """Yield (index, label, column) of all faults that apply to a step."""
    for index, seen in enumerate(steps):
        for column, (_, kinds, sender) in _columns.COLUMNS.items():
            if seen.kind in kinds and (seen.source or not sender):
                yield index, label(seen), column


def label(seen):
    """Return the name of a step in the matrix."""
    by = f' by {seen.source}' if seen.source else ''
    return f'{seen.text}{by}'


def prepare_worker():
    """Load the rows in a worker process and silence their warnings."""
    loguru.logger.remove()
    load_rows()


def cell_errors(arguments):
    """Return the errors of one cell; run by a worker process."""
    _, errors = run_cell(*arguments)
    return errors


def run_row(row_name, workers):
    """Run all cells of a row; return (table lines, counts, failures).

    Cells are independent, so they are spread over ``workers``; the order of
    the results is that of the steps.
    """
    # In a worker as well: the order of sets depends on the hash seed.
    steps, errors = workers.submit(run_cell, row_name).result()
    failures = [(f'{row_name} | no fault | none', errors)] if errors else []
    table = collections.defaultdict(collections.Counter)
    count = 1
    listed = list(cells(list(steps)))
    arguments = [
        (row_name, index, column, step) for index, step, column in listed
    ]
    found = workers.map(cell_errors, arguments, chunksize=CHUNK_CELLS)
    for (index, step, column), errors in zip(listed, found, strict=True):
        count += 1
        table[step][column, bool(errors)] += 1
        if errors:
            cell = f'{row_name} | {step} | {column}'
            failures.append((cell, [f'step {index}, seed {SEED}', *errors]))
    lines = [
        [step, *(_text(counts, column) for column in _columns.COLUMNS)]
        for step, counts in table.items()
    ]
    return lines, count, failures


def _text(counts, column):
    good, bad = counts[column, False], counts[column, True]
    if bad:
        return f'{bad} of {good + bad} FAILED'
    return str(good) if good else '-'


def load_rows():
    """Import all modules of this package that add rows."""
    for module in pkgutil.iter_modules(faults.__path__):
        if module.name.startswith('rows_'):
            importlib.import_module(f'{faults.__name__}.{module.name}')
    return faults.ROWS.names()


def main(words):
    """Run the rows whose names contain a word; return the exit code."""
    # The cells provoke many warnings of the replicas.
    prepare_worker()
    names = [
        name
        for name in faults.ROWS.names()
        if not words or any(word in name for word in words)
    ]
    os.environ['PYTHONHASHSEED'] = HASH_SEED
    with concurrent.futures.ProcessPoolExecutor(
        WORKERS,
        mp_context=multiprocessing.get_context('spawn'),
        initializer=prepare_worker,
    ) as workers:
        return run_rows(names, workers)


def run_rows(names, workers):
    """Run the named rows and print the matrix; return the exit code."""
    known = _known_red()
    total, failed, unexpected = 0, 0, 0
    for name in names:
        start = time.monotonic()
        lines, count, failures = run_row(name, workers)
        print(
            f'\n{name}: {count} cells, {time.monotonic() - start:.1f} s',
            flush=True,
        )
        print(tabulate.tabulate(lines, ['step', *_columns.COLUMNS]))
        for cell, errors in failures:
            listed = cell in known
            unexpected += not listed
            mark = 'known red' if listed else 'FAILED'
            print(f'{mark}: {cell}: {"; ".join(errors)}')
        total, failed = total + count, failed + len(failures)
    print(f'\nseed {SEED}: {total} cells run, {failed} failed')
    return 1 if unexpected else 0


def _known_red():
    if not KNOWN_RED.exists():
        return set()
    return {
        line[len(PREFIX) :].strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(PREFIX)
    }
