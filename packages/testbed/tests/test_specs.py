"""Tests that small models hold and that their seeded defects are refuted.

``make model`` checks all models.
"""

import minicheck
from paddle_testbed import model
from paddle_testbed.specs import deletion
from paddle_testbed.specs import document
from paddle_testbed.specs import founding
from paddle_testbed.specs import moves
from paddle_testbed.specs import register
from paddle_testbed.specs import replacement
import pytest

ALL = {
    item.name: item
    for module in (register, deletion, replacement)
    for item in module.SPECS + module.DEFECTS
}


@pytest.mark.parametrize(
    ('name', 'holds'),
    [
        ('register/lost disk', True),
        ('register/change applied twice', False),
        ('deletion/read', True),
        ('deletion/deleted key brought back by a delayed message', False),
        ('replacement/rejoin', True),
        ('replacement/joining replica keeps old keys', False),
    ],
)
def test_model_holds_and_its_defect_is_refuted(name, holds):
    # Guards against a model that no longer reaches the state that violates
    # the invariant.
    result = minicheck.check_safety(ALL[name].build())
    assert result['exhaustive']
    assert result['properties']['linearizable']['holds'] is holds


@pytest.mark.parametrize(
    'spec',
    document.SPECS + founding.SPECS + moves.SPECS,
    ids=lambda item: item.name,
)
def test_document_founding_and_move_specs_are_proved(spec):
    outcome = model.check(spec)
    assert outcome.proved
    assert outcome.violated is None


@pytest.mark.parametrize(
    'spec',
    document.DEFECTS + founding.DEFECTS + moves.DEFECTS,
    ids=lambda item: item.name,
)
def test_document_founding_and_move_defects_are_refuted(spec):
    # Guards against a model that no longer reaches the state that violates
    # the invariant.
    assert model.check(spec).violated is not None
