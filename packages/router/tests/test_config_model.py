"""Tests of the configuration model."""

import json

from hypothesis import given
from hypothesis import strategies as st
import pytest
import returns.result

import paddle_coord as coord
import paddle_kernel as kernel
from paddle_router import _config_items
from paddle_router import _config_model

DIGEST = 'ab' * 32
FOLD = _config_model.ConfigFold()


def apply_all(*operations):
    """Apply ``(op, args)`` pairs to the initial state; all must succeed."""
    state = FOLD.initial()
    for op, args in operations:
        state = FOLD.apply(state, {'op': op, 'args': args}).unwrap()
    return state


def finding_paths(state, op, args):
    """Return the paths in the findings about a rejected operation."""
    result = FOLD.apply(state, {'op': op, 'args': args})
    return [item.path for item in result.failure()]


SAMPLE_STATE = apply_all(
    ('create_customer', {'name': 'acme', 'weight': 2}),
    ('issue_key', {'digest': DIGEST, 'customer': 'acme'}),
    ('put_class', {'name': 'chat', 'tier': 1, 'min_share': 0.3}),
    (
        'put_route',
        {
            'name': 'book',
            'method': 'POST',
            'path_prefix': '/bookings',
            'kind': 'service',
            'service': 'booking',
            'idempotent': False,
            'default_class': 'chat',
        },
    ),
    (
        'put_preset',
        {
            'name': 'peak',
            'classes': [{'name': 'chat', 'weight': 5, 'tokens_per_s': 90}],
        },
    ),
)


def test_switching_the_preset_changes_the_effective_class():
    # Guards against overrides that apply although their preset is not active.
    peak = apply_to(SAMPLE_STATE, 'switch_preset', {'name': 'peak'})
    before = SAMPLE_STATE.effective_class('chat')
    after = peak.effective_class('chat')
    assert (before.weight, before.tokens_per_s) == (1.0, None)
    assert (after.weight, after.tokens_per_s) == (5, 90)
    assert after.min_share == before.min_share == 0.3
    assert SAMPLE_STATE.active_preset == 'ordinary'


def apply_to(state, op, args):
    """Return the state after one operation, which must succeed."""
    return FOLD.apply(state, {'op': op, 'args': args}).unwrap()


def test_all_findings_of_an_operation_are_reported_together():
    # Guards against a check that stops at the first problem, so that an
    # operator has to fix one problem per attempt.
    args = {'name': 'a b', 'tier': 0, 'weight': 'x', 'colour': 1}
    found = FOLD.apply(
        SAMPLE_STATE, {'op': 'put_class', 'args': args}
    ).failure()
    assert sorted(item.path for item in found) == [
        '$.args.colour',
        '$.args.name',
        '$.args.tier',
        '$.args.weight',
    ]
    assert all(item.allowed for item in found)


@pytest.mark.parametrize(
    'op,args,expected',
    [
        ('remove_preset', {'name': 'ordinary'}, ['$.args.name']),
        ('remove_preset', {'name': 'none'}, ['$.args.name']),
        ('switch_preset', {'name': 'none'}, ['$.args.name']),
        (
            'remove_class',
            {'name': 'chat'},
            ['$.routes[book].default_class', '$.presets[peak].classes'],
        ),
        ('create_customer', {'name': 'acme'}, ['$.args.name']),
        ('update_customer', {'name': 'other'}, ['$.args.name']),
        (
            'issue_key',
            {'digest': DIGEST, 'customer': 'other'},
            ['$.args.digest', '$.args.customer'],
        ),
        ('revoke_key', {'digest': 'cd' * 32}, ['$.args.digest']),
        (
            'put_class',
            {'name': 'bulk', 'tier': 6, 'min_share': 0.7},
            ['$.args.min_share'] * 3,
        ),
        (
            'put_preset',
            {
                'name': 'peak',
                'classes': [
                    {'name': 'chat', 'min_share': 0.99},
                    {'name': 'chat'},
                    {'name': 'none'},
                ],
            },
            ['$.args.classes[1].name', '$.args.classes[2].name']
            + ['$.args.classes'],
        ),
        (
            'put_route',
            {
                'name': 'copy',
                'method': 'POST',
                'path_prefix': '/bookings',
                'kind': 'service',
                'default_class': 'none',
            },
            ['$.args.default_class', '$.args.service', '$.args.path_prefix'],
        ),
        ('no_such_op', {}, ['$.op']),
        ('put_class', None, ['$.args']),
    ],
)
def test_invalid_operation_is_refused(op, args, expected):
    # Guards against a state that refers to something that does not exist,
    # that has no active preset, or whose shares cannot be guaranteed.
    assert finding_paths(SAMPLE_STATE, op, args) == expected


def test_revoked_key_cannot_be_issued_again():
    # Guards against a repeated "issue_key" that undoes a revocation.
    state = apply_to(SAMPLE_STATE, 'revoke_key', {'digest': DIGEST})
    assert state.keys[DIGEST].revoked
    issue = {'digest': DIGEST, 'customer': 'acme'}
    assert finding_paths(state, 'issue_key', issue) == ['$.args.digest']


def test_removing_a_customer_removes_its_keys():
    # Guards against keys that still authenticate for a removed customer.
    state = apply_to(SAMPLE_STATE, 'remove_customer', {'name': 'acme'})
    assert state.keys == {}


def test_state_is_unchanged_by_a_round_trip_through_json():
    # Guards against a snapshot that restores another state than the one that
    # results from the operations in the log.
    data = json.loads(json.dumps(FOLD.dump(SAMPLE_STATE)))
    assert FOLD.load(data) == SAMPLE_STATE


DOCUMENTS = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)
OPERATIONS = st.sampled_from(sorted(_config_model.OPERATIONS))
ARGUMENTS = st.dictionaries(
    st.sampled_from(['name', 'digest', 'tier', 'classes', 'kind']),
    st.sampled_from(['chat', 'peak', 'ordinary', 'acme', DIGEST]) | DOCUMENTS,
)


@given(OPERATIONS, DOCUMENTS | ARGUMENTS)
def test_any_document_gives_a_state_or_findings(op, args):
    # Guards against an operation in the log that raises an exception in every
    # daemon, and against a state without an active preset.
    result = FOLD.apply(SAMPLE_STATE, {'op': op, 'args': args})
    state = result.value_or(SAMPLE_STATE)
    assert state.active_preset in state.presets
    if isinstance(result, returns.result.Failure):
        assert result.failure()


def test_log_rejects_an_operation_with_its_findings():
    # Guards against a log that rejects an operation without its findings.
    log = coord.ConfigLog(
        coord.MemoryRegister(), kernel.FakeClock(), fold=FOLD
    )
    operation = {'op': 'remove_preset', 'args': {'name': 'ordinary'}}
    outcome = log.submit(coord.ConfigChange('a', 0, operation)).unwrap()
    assert outcome.findings[0].path == '$.args.name'
    assert log.state == _config_items.initial_state()
