"""Runs the cells of the fault matrix, spread over worker processes.

A failing cell makes the run fail unless KNOWN-RED.txt lists it as
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
KNOWN_RED_PREFIX = 'fault:'
WORKERS = 8
CHUNK_CELLS = 20


def run_cell(row_name, index=None, column=None, expected=None):
    """Run one row with a fault at step ``index``; return (steps, errors).

    ``index`` is ``None`` for a run without a fault. It is an error if the
    step is not reached or is not the ``expected`` one.
    """
    injected = []

    def inject(environment, number, step):
        if number != index or injected:
            return None
        injected.append(step)
        return _columns.COLUMNS[column][0](environment, step)

    with tempfile.TemporaryDirectory() as folder:
        environment = _world.FaultEnvironment(
            folder, random.Random(SEED), random.Random(index), inject
        )
        try:
            errors = _run_row(row_name, environment)
            if [label(step) for step in injected] != [expected] * len(
                injected
            ):
                errors = [
                    *errors,
                    'the fault was injected at an unexpected step',
                ]
            if index is not None and not injected:
                errors = [*errors, 'the step was not reached']
            return environment.steps, errors
        finally:
            environment.close()


def _run_row(row_name, environment):
    environment.lost_disk = environment.second_victim = None
    row = faults.ROWS.create(row_name)
    row.start(environment)
    environment.is_recording = True
    row.act(environment)
    environment.run()
    if environment.lost_disk:
        _replace_lost_disk(environment)
    environment.repair()
    if environment.second_victim:
        environment.servers[environment.second_victim].kill()
    environment.run()
    if environment.second_victim:
        environment.servers[environment.second_victim].restart()
    environment.run()
    environment.is_recording = False
    return row.verify(environment)


def _replace_lost_disk(environment):
    """Restart the replica with an empty disk and add it to the set again."""
    address, environment.lost_disk = environment.lost_disk, None
    environment.servers[address].restart(blank=True)
    environment.is_recording = False
    admin = environment.admin('repair')
    view = admin.resume(tuple(environment.servers)).value_or(None)
    if view is not None:
        members = tuple(item.address for item in view.new)
        admin.replace(members, members)
    environment.is_recording = True


def cells(steps):
    """Yield (index, label, column) of all faults that apply to a step."""
    for index, step in enumerate(steps):
        for column, (_, kinds, sender) in _columns.COLUMNS.items():
            if step.kind in kinds and (step.source or not sender):
                yield index, label(step), column


def label(step):
    """Return the name of a step in the matrix."""
    sender_text = f' by {step.source}' if step.source else ''
    return f'{step.text}{sender_text}'


def prepare_worker():
    """Import the rows in a worker process and turn off logging."""
    loguru.logger.remove()
    load_rows()


def cell_errors(arguments):
    """Run one cell in a worker process and return its errors."""
    _, errors = run_cell(*arguments)
    return errors


def run_row(row_name, workers):
    """Run all cells of a row; return (table lines, counts, failures).

    Cells are independent, so they are spread over ``workers``; the order of
    the results is that of the steps.
    """
    # This run also uses a worker, because the order of sets depends on the
    # hash seed, which only the workers have fixed.
    steps, errors = workers.submit(run_cell, row_name).result()
    failures = [(f'{row_name} | no fault | none', errors)] if errors else []
    table = collections.defaultdict(collections.Counter)
    count = 1
    planned = list(cells(list(steps)))
    arguments = [
        (row_name, index, column, step) for index, step, column in planned
    ]
    cell_errors_in_order = workers.map(
        cell_errors, arguments, chunksize=CHUNK_CELLS
    )
    for (index, step, column), errors in zip(
        planned, cell_errors_in_order, strict=True
    ):
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
    passed, failed = counts[column, False], counts[column, True]
    if failed:
        return f'{failed} of {passed + failed} FAILED'
    return str(passed) if passed else '-'


def load_rows():
    """Import all modules of this package that add rows."""
    for module in pkgutil.iter_modules(faults.__path__):
        if module.name.startswith('rows_'):
            importlib.import_module(f'{faults.__name__}.{module.name}')
    return faults.ROWS.names()


def main(words):
    """Run the rows whose names contain a word; return the exit code."""
    # The faults make the replicas log many warnings.
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
            is_known = cell in known
            unexpected += not is_known
            mark = 'known red' if is_known else 'FAILED'
            print(f'{mark}: {cell}: {"; ".join(errors)}')
        total, failed = total + count, failed + len(failures)
    print(f'\nseed {SEED}: {total} cells run, {failed} failed')
    return 1 if unexpected else 0


def _known_red():
    if not KNOWN_RED.exists():
        return set()
    return {
        line[len(KNOWN_RED_PREFIX) :].strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(KNOWN_RED_PREFIX)
    }
