"""Log events of the coordination parts."""

import paddle_kernel as kernel

CLAIM_NOT_RELEASED = kernel.declare_event(
    2100,
    'WARNING',
    'a claim could not be released; it becomes unknown at its deadline',
)
