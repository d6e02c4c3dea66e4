"""Numbered log events of the controller, 3400 to 3499."""

import paddle_kernel

STARTED = paddle_kernel.declare_event(3400, 'INFO', 'controller is serving')
STOPPING = paddle_kernel.declare_event(3401, 'INFO', 'controller is stopping')
TASK_FAILED = paddle_kernel.declare_event(
    3402, 'ERROR', 'a periodic task of the controller failed; retrying'
)
SETTINGS_RELOADED = paddle_kernel.declare_event(
    3403, 'INFO', 'the settings file was reloaded'
)
CLOCK_CORRECTED = paddle_kernel.declare_event(
    3404,
    'WARNING',
    'the time of day was adjusted to the median of all controllers',
)
CONFIGURATION_ACCEPTED = paddle_kernel.declare_event(
    3410, 'INFO', 'a configuration was acknowledged'
)
CONFIGURATION_INVALID = paddle_kernel.declare_event(
    3411, 'WARNING', 'an invalid configuration was rejected'
)
CONFIGURATION_UNDECIDED = paddle_kernel.declare_event(
    3412, 'WARNING', 'no majority confirmed a configuration in time'
)
READ_UNCONFIRMED = paddle_kernel.declare_event(
    3413,
    'WARNING',
    'a configuration read was refused: no confirmed version',
)
LIST_READ = paddle_kernel.declare_event(
    3420, 'INFO', 'the list of backend servers has changed'
)
LIST_FAILED = paddle_kernel.declare_event(
    3421, 'WARNING', 'the list of backend servers could not be read'
)
ENTRIES_REJECTED = paddle_kernel.declare_event(
    3422, 'WARNING', 'entries of the list of backend servers are not used'
)
USAGE_SEALED = paddle_kernel.declare_event(
    3430, 'INFO', 'a usage window was sealed'
)
USAGE_SENT = paddle_kernel.declare_event(
    3431, 'INFO', 'a usage window was reported'
)
USAGE_FAILED = paddle_kernel.declare_event(
    3432, 'WARNING', 'a usage window could not be reported; retrying'
)
SERVERS_ORDERED = paddle_kernel.declare_event(
    3440, 'INFO', 'a number of backend servers was ordered'
)
ORDER_FAILED = paddle_kernel.declare_event(
    3441, 'WARNING', 'an order for backend servers failed'
)
REPLICA_FAILED = paddle_kernel.declare_event(
    3450, 'ERROR', 'the replica cannot be opened; retrying'
)
TRAIT_BLAMED = paddle_kernel.declare_event(
    3460,
    'WARNING',
    'a trait of requests crashed several servers; they are refused',
)
REFUSALS_NOT_STORED = paddle_kernel.declare_event(
    3461,
    'WARNING',
    'no majority stored the refused traits in time; retrying',
)
VERSIONS_NOT_STORED = paddle_kernel.declare_event(
    3462,
    'WARNING',
    'no majority stored the software versions in time; retrying',
)
EVACUATION_ACCEPTED = paddle_kernel.declare_event(
    3470, 'INFO', 'an evacuation order was acknowledged'
)
EVACUATION_INVALID = paddle_kernel.declare_event(
    3471, 'WARNING', 'an invalid evacuation order was rejected'
)
EVACUATION_UNDECIDED = paddle_kernel.declare_event(
    3472, 'WARNING', 'no majority confirmed an evacuation order in time'
)
EVACUATION_ABANDONED = paddle_kernel.declare_event(
    3473,
    'WARNING',
    'an evacuation order changed nothing: its caller has left or it is late',
)
EVACUATION_CHANGED = paddle_kernel.declare_event(
    3474, 'INFO', 'the evacuated failure domains have changed'
)
EVACUATION_UNCONFIRMED = paddle_kernel.declare_event(
    3475,
    'WARNING',
    'a read of the evacuated domains was refused: no confirmed version',
)
