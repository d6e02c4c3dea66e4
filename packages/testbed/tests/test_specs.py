"""Tests of the models against their seeded defects.

``make model`` checks all of them; these are the smallest ones.
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
def test_model_holds_and_its_defect_is_found(name, holds):
    # Guards against a model that has become too weak to show a defect.
    result = minicheck.check_safety(ALL[name].build())
    assert result['exhaustive']
    assert result['properties']['linearizable']['holds'] is holds


@pytest.mark.parametrize(
    'spec',
    document.SPECS + founding.SPECS + moves.SPECS,
    ids=lambda item: item.name,
)
def test_documents_foundings_and_moves_keep_their_promises(spec):
    outcome = model.check(spec)
    assert outcome.proved
    assert outcome.violated is None


@pytest.mark.parametrize(
    'spec',
    document.DEFECTS + founding.DEFECTS + moves.DEFECTS,
    ids=lambda item: item.name,
)
def test_a_defect_of_documents_foundings_or_moves_is_refuted(spec):
    # Guards against a model that has become too weak to show a defect.
    assert model.check(spec).violated is not None
