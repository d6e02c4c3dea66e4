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

# Claims and configuration log: 2100 to 2199.
CLAIM_NOT_RELEASED = kernel.declare_event(
    2100,
    'WARNING',
    'a claim could not be released; it becomes unknown at its deadline',
)
CONFIG_BEHIND = kernel.declare_event(
    2101,
    'ERROR',
    'the configuration log is behind a version served before; not serving',
)
SNAPSHOT_FAILED = kernel.declare_event(
    2102, 'WARNING', 'no configuration snapshot written; next change retries'
)
VERSION_FILE_UNREADABLE = kernel.declare_event(
    2103, 'WARNING', 'the file of the served version is unreadable; ignored'
)
VERSION_NOT_KEPT = kernel.declare_event(
    2104, 'WARNING', 'the served version could not be synced to its file'
)

# Lease, orders and usage windows: 2200 to 2299.
LEASE_TAKEN = kernel.declare_event(2200, 'INFO', 'lease taken')
LEASE_LOST = kernel.declare_event(2201, 'WARNING', 'lease lost')
LEASE_RELEASED = kernel.declare_event(2202, 'INFO', 'lease released')
ORDER_ACCEPTED = kernel.declare_event(2210, 'INFO', 'order accepted')
ORDER_REFUSED = kernel.declare_event(2211, 'WARNING', 'order refused')
ORDER_GIVEN_UP = kernel.declare_event(
    2212, 'WARNING', 'nothing is known of a sent order; given up'
)
WINDOW_SEALED = kernel.declare_event(2220, 'INFO', 'usage window sealed')
USAGE_TOO_LATE = kernel.declare_event(
    2221, 'ERROR', 'usage arrived after the retention and is not billed'
)
REPORT_CONFLICT = kernel.declare_event(
    2222,
    'ERROR',
    'the platform has another report of this window; check it by hand',
)
MEMBERSHIP_STEP = kernel.declare_event(
    2006, 'INFO', 'a replica worked on its own membership'
)
