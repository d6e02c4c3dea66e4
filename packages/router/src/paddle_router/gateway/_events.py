"""Numbered log events of the gateway, 3300 to 3399."""

import paddle_kernel

STARTED = paddle_kernel.declare_event(3300, 'INFO', 'gateway is serving')
STOPPING = paddle_kernel.declare_event(3301, 'INFO', 'gateway is stopping')
STOPPED = paddle_kernel.declare_event(3302, 'INFO', 'gateway has stopped')
TASK_FAILED = paddle_kernel.declare_event(
    3303, 'ERROR', 'a periodic task of the gateway failed and will be retried'
)
SETTINGS_RELOADED = paddle_kernel.declare_event(
    3304, 'INFO', 'settings were reloaded'
)
REQUEST_DONE = paddle_kernel.declare_event(
    3310, 'INFO', 'a request was completed'
)
REQUEST_SENT = paddle_kernel.declare_event(
    3311, 'INFO', 'a request was sent to a backend server'
)
ATTEMPT_FAILED = paddle_kernel.declare_event(
    3312, 'WARNING', 'an attempt at a backend server failed'
)
CALLER_DISCONNECTED = paddle_kernel.declare_event(
    3313, 'INFO', 'the caller disconnected before its response was complete'
)
BAD_REQUEST = paddle_kernel.declare_event(
    3314, 'INFO', 'a malformed request was rejected'
)
REQUEST_FAILED = paddle_kernel.declare_event(
    3315, 'ERROR', 'a request failed with an internal error'
)
STREAM_MOVED = paddle_kernel.declare_event(
    3317, 'INFO', 'the run of a stream was copied to another server'
)
MOVE_FAILED = paddle_kernel.declare_event(
    3318, 'WARNING', 'the run of a stream could not be moved'
)
RESPONSE_SKIPPED = paddle_kernel.declare_event(
    3316, 'WARNING', 'a response to another request was skipped'
)
CONFIGURATION_APPLIED = paddle_kernel.declare_event(
    3320, 'INFO', 'the gateway applied a new configuration'
)
CONFIGURATION_UNREADABLE = paddle_kernel.declare_event(
    3321, 'ERROR', 'a received configuration cannot be decoded'
)
CONTROLLER_LOST = paddle_kernel.declare_event(
    3322,
    'WARNING',
    'a controller did not respond, or cannot confirm its configuration',
)
CONTROLLER_CHANGED = paddle_kernel.declare_event(
    3323, 'INFO', 'the gateway switched to another controller'
)
SERVER_LIST_CHANGED = paddle_kernel.declare_event(
    3324, 'INFO', 'the list of backend servers changed'
)
SERVER_LEAVING = paddle_kernel.declare_event(
    3330, 'INFO', 'a backend server announced its shutdown in a response'
)
QUIET_TIME_ADJUSTED = paddle_kernel.declare_event(
    3331, 'WARNING', 'a server sent a quiet time that was shortened or ignored'
)
ALL_SERVERS_LEAVING = paddle_kernel.declare_event(
    3332,
    'WARNING',
    'all servers of a service are leaving; they are used until they stop',
)
SERVER_QUIET = paddle_kernel.declare_event(
    3333, 'INFO', 'a backend server asked for a quiet time'
)
REQUEST_WAITING = paddle_kernel.declare_event(
    3334, 'INFO', 'a request waits until a server accepts requests again'
)
SERVER_CRASHED = paddle_kernel.declare_event(
    3335, 'WARNING', 'a server crashed while it ran a request'
)
TRAIT_REFUSED = paddle_kernel.declare_event(
    3336,
    'WARNING',
    'requests with a trait that crashes servers are refused',
)
SERVER_LIMIT_CHANGED = paddle_kernel.declare_event(
    3337, 'INFO', 'the limit that a server names in its responses changed'
)
LIMIT_IGNORED = paddle_kernel.declare_event(
    3338, 'WARNING', 'a server named a limit that is not a number'
)
REQUEST_TURNED_AWAY = paddle_kernel.declare_event(
    3341, 'INFO', 'a request was refused because of the load of the servers'
)
SERVER_COLD = paddle_kernel.declare_event(
    3355, 'INFO', 'a server may be cold; it gets requests by permits'
)
SERVER_STARTING = paddle_kernel.declare_event(
    3356, 'INFO', 'the load of a server grows with its answers'
)
SERVER_WARM = paddle_kernel.declare_event(
    3357, 'INFO', 'a server gets as many requests as the others again'
)
STREAM_TAKEN_UP = paddle_kernel.declare_event(
    3339, 'INFO', 'a caller takes a stream up again'
)
CALLER_ENDED = paddle_kernel.declare_event(
    3360,
    'WARNING',
    'a caller that reads too slowly was ended, because memory is scarce',
)
BODY_REFUSED = paddle_kernel.declare_event(
    3361, 'WARNING', 'a request was refused, because its body has no room'
)
BODY_LIMIT_LOWERED = paddle_kernel.declare_event(
    3362,
    'WARNING',
    'a server crashed while it held large bodies; fewer bytes are sent to'
    ' each server of its service',
)
STREAMS_NOT_RECORDED = paddle_kernel.declare_event(
    3340, 'WARNING', 'a controller did not record where streams began'
)
EVACUATION_APPLIED = paddle_kernel.declare_event(
    3350, 'INFO', 'the gateway applied the evacuated failure domains'
)
ALL_SERVERS_EVACUATED = paddle_kernel.declare_event(
    3351,
    'WARNING',
    'all servers of a service are in evacuated domains; it gets no requests',
)
SERVERS_UNREACHABLE = paddle_kernel.declare_event(
    3370, 'WARNING', 'the gateway has lost the connections to all servers'
)
SERVERS_REACHABLE = paddle_kernel.declare_event(
    3371, 'INFO', 'the gateway reaches servers again'
)
PEERS_RECEIVED = paddle_kernel.declare_event(
    3372, 'INFO', 'the gateway received other gateways as peers'
)
PEER_FAILED = paddle_kernel.declare_event(
    3373, 'WARNING', 'a peer could not help and is not used for a second'
)
RELAY_SENT = paddle_kernel.declare_event(
    3380, 'INFO', 'a request was sent through another gateway'
)
RELAY_ACCEPTED = paddle_kernel.declare_event(
    3381, 'INFO', 'a request of another gateway was accepted'
)
RELAY_REFUSED = paddle_kernel.declare_event(
    3382, 'WARNING', 'a request of another gateway cannot be handled here'
)
RELAY_FAILED = paddle_kernel.declare_event(
    3383, 'WARNING', 'another gateway did not complete a request'
)
RELAYS_PAUSED = paddle_kernel.declare_event(
    3384, 'WARNING', 'no other gateway can help; none is asked for a while'
)
RELAY_STRANGER = paddle_kernel.declare_event(
    3385, 'WARNING', 'a request without the key of this gateway was refused'
)
PEER_ENTRY_FAILED = paddle_kernel.declare_event(
    3386, 'ERROR', 'the listener for other gateways cannot be opened'
)
SERVER_BRITTLE_CHANGED = paddle_kernel.declare_event(
    3390, 'WARNING', 'what a server says about being brittle changed'
)
BRITTLE_IGNORED = paddle_kernel.declare_event(
    3391, 'WARNING', 'a server named a number of rejections that is not one'
)
