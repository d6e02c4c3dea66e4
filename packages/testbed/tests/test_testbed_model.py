"""Tests of the model checker runner, and short searches of all specs."""

import minicheck
from paddle_testbed import model
from paddle_testbed.specs import _spec
import pytest

# Limit of a search, too low for most proofs; ``make model`` runs them in full.
QUICK_STATES = 2_000

PROOFS, DEFECTS = model.load()


def _counter(limit, allowed):
    return lambda: minicheck.Protocol(
        name='counter',
        candidate=False,
        fields=('count',),
        initial=(0,),
        transitions=lambda state: (
            [('add', (state[0] + 1,))] if state[0] < limit else []
        ),
        invariants={'allowed': lambda fields: fields['count'] <= allowed},
    )


def test_runner_reports_states_depth_and_steps():
    # Guards against a runner that reports an unfinished search as a proof.
    proof = model.check(_spec.Spec('proof', _counter(3, 3)))
    assert (proof.states, proof.depth, proof.proved) == (4, 3, True)
    refuted = model.check(_spec.Spec('refuted', _counter(9, 2)))
    assert (refuted.steps, refuted.proved) == (3, False)
    unfinished = model.check(_spec.Spec('cut off', _counter(9, 9), 5))
    assert (unfinished.steps, unfinished.proved) == (None, False)


def test_runner_fails_on_an_unproved_spec_and_an_unrefuted_defect(
    monkeypatch,
):
    # Guards against an exit code of 0 when a spec fails or none was checked.
    refuted = _spec.Spec('refuted', _counter(9, 2))
    proof = _spec.Spec('proof', _counter(3, 3))
    monkeypatch.setattr(model, 'load', lambda: ([proof], [refuted]))
    assert model.main([]) == 0
    assert model.main(['no such name']) == 2
    monkeypatch.setattr(model, 'load', lambda: ([refuted], []))
    assert model.main([]) == 1
    monkeypatch.setattr(model, 'load', lambda: ([], [proof]))
    assert model.main([]) == 1


@pytest.mark.parametrize('spec', PROOFS, ids=lambda spec: spec.name)
def test_no_counterexample_within_the_first_states(spec):
    # Guards against a protocol change that violates an invariant within a
    # few steps.
    quick = _spec.Spec(spec.name, spec.build, QUICK_STATES)
    assert model.check(quick).steps is None


@pytest.mark.parametrize('spec', DEFECTS, ids=lambda spec: spec.name)
def test_seeded_defect_is_refuted(spec):
    # Guards against a specification that no protocol error can violate.
    assert model.check(spec).steps is not None
