"""Numbered log events of the router, 3000 to 3099."""

import paddle_kernel

STARTED = paddle_kernel.declare_event(3000, 'INFO', 'daemon is serving')
STOPPING = paddle_kernel.declare_event(3001, 'INFO', 'graceful stop started')
STOPPED = paddle_kernel.declare_event(3002, 'INFO', 'daemon has stopped')
STOP_TIMED_OUT = paddle_kernel.declare_event(
    3003, 'WARNING', 'requests were still in progress at the stop timeout'
)
SETTINGS_INVALID = paddle_kernel.declare_event(
    3004, 'ERROR', 'the settings are invalid'
)
TICK_FAILED = paddle_kernel.declare_event(
    3005, 'ERROR', 'a periodic task failed and will run again'
)
REQUEST_FAILED = paddle_kernel.declare_event(
    3010, 'ERROR', 'a request failed with an internal error'
)
REQUEST_REFUSED = paddle_kernel.declare_event(
    3011, 'DEBUG', 'a request was refused'
)
CALLER_GONE = paddle_kernel.declare_event(
    3012, 'DEBUG', 'the caller closed its connection'
)
STREAM_BROKEN = paddle_kernel.declare_event(
    3013, 'WARNING', 'a stream ended before its last event'
)
BAD_REQUEST = paddle_kernel.declare_event(
    3014, 'DEBUG', 'a request could not be parsed'
)
LIST_UNAVAILABLE = paddle_kernel.declare_event(
    3020, 'WARNING', 'the instance list of the platform cannot be read'
)
LIST_AVAILABLE = paddle_kernel.declare_event(
    3021, 'INFO', 'the instance list of the platform can be read again'
)
ENTRIES_REJECTED = paddle_kernel.declare_event(
    3022, 'WARNING', 'entries of the instance list are not used'
)
USAGE_NOT_FLUSHED = paddle_kernel.declare_event(
    3030, 'WARNING', 'usage counts could not be written; retrying'
)
CHANGE_DECIDED = paddle_kernel.declare_event(
    3040, 'INFO', 'an operator submitted a change of the configuration'
)
DRAINING = paddle_kernel.declare_event(
    3041, 'INFO', 'an operator asked this daemon to drain'
)
CONFIG_STALE = paddle_kernel.declare_event(
    3042, 'WARNING', 'the configuration is not confirmed; refusing requests'
)
CONFIG_FRESH = paddle_kernel.declare_event(
    3043, 'INFO', 'the configuration is confirmed again'
)
STREAM_ENDED_BY_KEY = paddle_kernel.declare_event(
    3044, 'INFO', 'a stream was ended because its API key is no longer valid'
)
REPLICA_UNAVAILABLE = paddle_kernel.declare_event(
    3045, 'ERROR', 'the replica of this daemon cannot be opened; retrying'
)
CLAIM_NOT_COMPLETED = paddle_kernel.declare_event(
    3046,
    'WARNING',
    'the outcome of a non-idempotent call could not be recorded',
)

# Control task and platform: 3200 to 3299.
CONTROL_FAILED = paddle_kernel.declare_event(
    3200, 'ERROR', 'a step of the control task failed and will be retried'
)
PLANNED = paddle_kernel.declare_event(
    3210, 'INFO', 'the planner ordered or drained a backend server'
)
