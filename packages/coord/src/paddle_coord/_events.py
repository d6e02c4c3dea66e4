"""Numbered log events of this package."""

import paddle_kernel as kernel

STORE_FAILED = kernel.declare_event(
    2000, 'ERROR', 'a write or sync failed; this replica stops voting'
)
TORN_RECORD = kernel.declare_event(
    2001, 'WARNING', 'the last record was incomplete and is dropped'
)
VIEW_ADOPTED = kernel.declare_event(2002, 'INFO', 'a view is adopted')
VIEW_CHANGE = kernel.declare_event(
    2003, 'INFO', 'a step of a view change is complete'
)
STORE_COMPACTED = kernel.declare_event(
    2004, 'INFO', 'the store was compacted by a snapshot'
)
