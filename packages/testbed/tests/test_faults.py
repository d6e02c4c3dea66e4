"""Tests of the fault matrix runner; ``make faults`` runs the whole matrix."""

from paddle_coord import _acceptor
from paddle_coord import _document
from paddle_testbed.faults import _matrix as matrix


def test_cell_is_repeatable_and_reaches_its_step():
    # Guards against faults that are never injected because a row takes
    # different steps in each run.
    matrix.load_rows()
    steps, errors = matrix.run_cell('register.change')
    assert errors == []
    index = len(steps) // 2
    repeated_steps, errors = matrix.run_cell(
        'register.change',
        index,
        'kill replica',
        matrix.label(steps[index]),
    )
    assert errors == []
    assert [item.text for item in repeated_steps[:index]] == [
        item.text for item in steps[:index]
    ]


def test_replica_without_promise_check_is_detected(monkeypatch):
    # Guards against a matrix that passes although a replica accepts a ballot
    # below the one it has promised.
    matrix.load_rows()
    monkeypatch.setattr(
        _acceptor,
        'accept',
        lambda cell, ballot, value: _acceptor.Cell(
            max(cell.promised, ballot), ballot, value
        ),
    )
    _, errors = matrix.run_cell('register.change')
    assert errors


def test_replaced_content_of_a_stored_version_is_detected(monkeypatch):
    # Guards against document rows that pass although a submission overwrites
    # the content of an existing version.
    matrix.load_rows()
    monkeypatch.setattr(
        _document,
        'replace_older',
        lambda current, proposed: proposed.to_bytes(),
    )
    _, errors = matrix.run_cell('document.race')
    assert errors
