"""In-memory register of a daemon without replicas."""

import paddle_coord as coord
from paddle_router import _hosting


def test_conditional_delete_keeps_a_key_in_use():
    # Guards against garbage collection of a claim that was taken again.
    register = _hosting.LocalRegister()
    register.change('k', lambda value: b'new')
    kept = register.delete('k', lambda value: coord.Reject('in use'))
    assert not kept.unwrap()
    assert register.read('k').unwrap() == b'new'
    assert register.delete('k').unwrap()
    assert register.read('k').unwrap() is None
