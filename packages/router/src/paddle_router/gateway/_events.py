"""Numbered log events of the gateway, 3300 to 3399."""

import paddle_kernel

STARTED = paddle_kernel.declare_event(3300, 'INFO', 'gateway is serving')
STOPPING = paddle_kernel.declare_event(
    3301, 'INFO', 'gateway stops taking requests'
)
STOPPED = paddle_kernel.declare_event(3302, 'INFO', 'gateway has stopped')
TASK_FAILED = paddle_kernel.declare_event(
    3303, 'ERROR', 'a periodic task of the gateway failed and will run again'
)
SETTINGS_RELOADED = paddle_kernel.declare_event(
    3304, 'INFO', 'the settings file was read again'
)
REQUEST_DONE = paddle_kernel.declare_event(
    3310, 'INFO', 'a request got its final answer'
)
REQUEST_SENT = paddle_kernel.declare_event(
    3311, 'INFO', 'a request was sent to a backend server'
)
ATTEMPT_FAILED = paddle_kernel.declare_event(
    3312, 'WARNING', 'an attempt at a backend server failed'
)
CALLER_LEFT = paddle_kernel.declare_event(
    3313, 'INFO', 'the caller left before its answer was complete'
)
BAD_REQUEST = paddle_kernel.declare_event(
    3314, 'INFO', 'a request could not be read'
)
REQUEST_FAILED = paddle_kernel.declare_event(
    3315, 'ERROR', 'a request failed on an internal error'
)
STREAM_MOVED = paddle_kernel.declare_event(
    3317, 'INFO', 'the run of a stream was copied to another server'
)
MOVE_FAILED = paddle_kernel.declare_event(
    3318, 'WARNING', 'the run of a stream could not be moved'
)
ANSWER_SKIPPED = paddle_kernel.declare_event(
    3316, 'WARNING', 'an answer to another request was skipped'
)
CONFIGURATION_USED = paddle_kernel.declare_event(
    3320, 'INFO', 'the gateway uses a new configuration'
)
CONFIGURATION_UNREADABLE = paddle_kernel.declare_event(
    3321, 'ERROR', 'a stored configuration cannot be decoded'
)
CONTROLLER_LOST = paddle_kernel.declare_event(
    3322, 'WARNING', 'a controller does not answer or is not confirmed'
)
CONTROLLER_USED = paddle_kernel.declare_event(
    3323, 'INFO', 'the gateway follows another controller'
)
LISTING_USED = paddle_kernel.declare_event(
    3324, 'INFO', 'the list of backend servers changed'
)
SERVER_LEAVES = paddle_kernel.declare_event(
    3330, 'INFO', 'a backend server says in its answers that it leaves'
)
QUIET_TIME_ODD = paddle_kernel.declare_event(
    3331, 'WARNING', 'a server names a quiet time that is not used as it is'
)
ALL_SERVERS_LEAVE = paddle_kernel.declare_event(
    3332, 'WARNING', 'all servers of a service leave; they serve until then'
)
SERVER_QUIET = paddle_kernel.declare_event(
    3333, 'INFO', 'a backend server wants no requests for a time'
)
REQUEST_WAITS = paddle_kernel.declare_event(
    3334, 'INFO', 'a request waits until a server may be asked again'
)
