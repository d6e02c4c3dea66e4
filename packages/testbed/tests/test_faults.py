"""Tests of the fault matrix; ``make faults`` runs all of it."""

from paddle_coord import _acceptor
from paddle_coord import _document
from paddle_testbed.faults import _matrix as matrix


def test_a_cell_is_repeatable_and_reaches_its_step():
    # Guards against faults that are never injected because the steps of a
    # run depend on chance.
    matrix.load_rows()
    steps, errors = matrix.run_cell('register.change')
    assert errors == []
    index = len(steps) // 2
    again, errors = matrix.run_cell(
        'register.change',
        index,
        'kill replica',
        matrix.label(steps[index]),
    )
    assert errors == []
    assert [item.text for item in again[:index]] == [
        item.text for item in steps[:index]
    ]


def test_a_replica_without_promise_check_is_found(monkeypatch):
    # Guards against a matrix that passes whatever the replicas do.
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


def test_other_content_under_a_held_version_is_found(monkeypatch):
    # Guards against document rows that pass whatever replaces what.
    matrix.load_rows()
    monkeypatch.setattr(
        _document,
        'replace_older',
        lambda current, proposed: proposed.to_bytes(),
    )
    _, errors = matrix.run_cell('document.race')
    assert errors
