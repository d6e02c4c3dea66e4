"""Events of this package; ``docs/events.md`` is the catalogue."""

import paddle_kernel as kernel

# Lease, orders and usage windows: 2200 to 2299.
LEASE_TAKEN = kernel.declare_event(2200, 'INFO', 'lease taken')
LEASE_LOST = kernel.declare_event(2201, 'WARNING', 'lease lost')
LEASE_RELEASED = kernel.declare_event(2202, 'INFO', 'lease released')
