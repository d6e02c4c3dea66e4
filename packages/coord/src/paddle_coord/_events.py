"""Numbered log events of this package."""

import paddle_kernel as kernel

STORE_FAILED = kernel.declare_event(
    2000,
    'ERROR',
    'a write or fsync failed; this replica does not vote until it has '
    'rewritten its file',
)
TORN_RECORD = kernel.declare_event(
    2001,
    'WARNING',
    'the last record of the file was incomplete and is dropped',
)
VIEW_ADOPTED = kernel.declare_event(
    2002, 'INFO', 'the replica adopted a new view'
)
VIEW_CHANGE = kernel.declare_event(
    2003, 'INFO', 'a step of a view change is complete'
)
STORE_COMPACTED = kernel.declare_event(
    2004, 'INFO', 'the store file was compacted to a snapshot'
)
STORE_RECOVERED = kernel.declare_event(
    2007, 'INFO', 'the store file was rewritten; this replica votes again'
)
STORE_NOT_RECOVERED = kernel.declare_event(
    2008, 'WARNING', 'rewriting the store file failed; retrying'
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
    'the configuration log ends before a version already served; not serving',
)
SNAPSHOT_FAILED = kernel.declare_event(
    2102,
    'WARNING',
    'writing a configuration snapshot failed; next change retries',
)
VERSION_FILE_UNREADABLE = kernel.declare_event(
    2103, 'WARNING', 'the file of the served version is unreadable and ignored'
)
VERSION_NOT_KEPT = kernel.declare_event(
    2104,
    'WARNING',
    'writing the served version to its file failed or timed out',
)

# Lease, orders and usage windows: 2200 to 2299.
LEASE_TAKEN = kernel.declare_event(2200, 'INFO', 'lease taken')
LEASE_LOST = kernel.declare_event(2201, 'WARNING', 'lease lost')
LEASE_RELEASED = kernel.declare_event(2202, 'INFO', 'lease released')
ORDER_ACCEPTED = kernel.declare_event(2210, 'INFO', 'order accepted')
ORDER_REFUSED = kernel.declare_event(2211, 'WARNING', 'order refused')
ORDER_GIVEN_UP = kernel.declare_event(
    2212, 'WARNING', 'the outcome of a sent order is unknown; order given up'
)
WINDOW_SEALED = kernel.declare_event(2220, 'INFO', 'usage window sealed')
USAGE_TOO_LATE = kernel.declare_event(
    2221, 'ERROR', 'usage arrived after its retention time and is not billed'
)
REPORT_CONFLICT = kernel.declare_event(
    2222,
    'ERROR',
    'the platform has a different report of this window; check it manually',
)
MEMBERSHIP_STEP = kernel.declare_event(
    2006, 'INFO', 'a replica formed, joined, left or repaired a set'
)
