"""Infrastructure shared by all processes: transport, clocks, log, registries.

Validated settings are in the public module :mod:`paddle_kernel.settings`.
"""

from paddle_kernel._clock import Clock
from paddle_kernel._clock import FakeClock
from paddle_kernel._clock import MS_PER_S
from paddle_kernel._clock import SteadyWall
from paddle_kernel._clock import SystemClock
from paddle_kernel._codec import codec
from paddle_kernel._codec import EncodeError
from paddle_kernel._codec import UnknownMessageError
from paddle_kernel._dump import process_state
from paddle_kernel._dump import StateDump
from paddle_kernel._events import configure as configure_log
from paddle_kernel._events import declare as declare_event
from paddle_kernel._events import declared as declared_events
from paddle_kernel._events import emit
from paddle_kernel._events import Event
from paddle_kernel._events import SETTINGS_UNREADABLE
from paddle_kernel._events import SIGNAL_RECEIVED
from paddle_kernel._findings import Finding
from paddle_kernel._findings import Findings
from paddle_kernel._findings import FindingsError
from paddle_kernel._json_list import read_entries
from paddle_kernel._json_list import UnreadableEntry
from paddle_kernel._loop import check as check_loop
from paddle_kernel._loop import state as loop_state
from paddle_kernel._loop import WrongLoopError
from paddle_kernel._loop import yield_if_due
from paddle_kernel._memory import DELAY
from paddle_kernel._memory import DELIVER
from paddle_kernel._memory import DROP
from paddle_kernel._memory import DUPLICATE
from paddle_kernel._memory import LOSE_ANSWER
from paddle_kernel._memory import MemoryNetwork
from paddle_kernel._memory import Step
from paddle_kernel._registry import Registry
from paddle_kernel._registry import UnknownPluginError
from paddle_kernel._tasks import run_in_thread
from paddle_kernel._tasks import Task
from paddle_kernel._tasks import Ticker
from paddle_kernel._transport import broadcast
from paddle_kernel._transport import CallError
from paddle_kernel._transport import FrameError
from paddle_kernel._transport import is_unencodable
from paddle_kernel._transport import split_address
from paddle_kernel._transport import TcpServer
from paddle_kernel._transport import TcpTransport
from paddle_kernel._transport import Traffic
from paddle_kernel._transport import Transport

__all__ = [
    'CallError',
    'Clock',
    'DELAY',
    'DELIVER',
    'DROP',
    'DUPLICATE',
    'EncodeError',
    'Event',
    'FakeClock',
    'Finding',
    'Findings',
    'FindingsError',
    'FrameError',
    'LOSE_ANSWER',
    'MS_PER_S',
    'MemoryNetwork',
    'Registry',
    'SETTINGS_UNREADABLE',
    'SIGNAL_RECEIVED',
    'StateDump',
    'SteadyWall',
    'Step',
    'SystemClock',
    'Task',
    'TcpServer',
    'TcpTransport',
    'Ticker',
    'Traffic',
    'Transport',
    'UnknownMessageError',
    'UnknownPluginError',
    'UnreadableEntry',
    'WrongLoopError',
    'broadcast',
    'check_loop',
    'codec',
    'configure_log',
    'declare_event',
    'declared_events',
    'emit',
    'is_unencodable',
    'loop_state',
    'process_state',
    'read_entries',
    'run_in_thread',
    'split_address',
    'yield_if_due',
]
