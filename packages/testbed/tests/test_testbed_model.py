"""Tests of the model runner, and the specs that are checked quickly."""

import minicheck
from paddle_testbed import model
from paddle_testbed.specs import _spec
import pytest

# Full proofs run with ``make model``; a search this long ends without one.
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
    # Guards against a runner that takes an unfinished search for a proof.
    proof = model.check(_spec.Spec('proof', _counter(3, 3)))
    assert (proof.states, proof.depth, proof.proved) == (4, 3, True)
    refuted = model.check(_spec.Spec('refuted', _counter(9, 2)))
    assert (refuted.steps, refuted.proved) == (3, False)
    cut_off = model.check(_spec.Spec('cut off', _counter(9, 9), 5))
    assert (cut_off.steps, cut_off.proved) == (None, False)


def test_runner_fails_on_an_unproved_spec_and_an_unrefuted_defect(
    monkeypatch,
):
    # Guards against a target that passes without checking anything.
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
    # Guards against a protocol change that breaks an invariant early on.
    quick = _spec.Spec(spec.name, spec.build, QUICK_STATES)
    assert model.check(quick).steps is None


@pytest.mark.parametrize('spec', DEFECTS, ids=lambda spec: spec.name)
def test_seeded_defect_is_refuted(spec):
    # Guards against a specification that cannot fail.
    assert model.check(spec).steps is not None
