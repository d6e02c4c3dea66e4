"""Fake model engines, plain services and platforms.

They implement the protocols of ``docs/platform.md``. Only the tests, the demo
and the benches use them.
"""

from paddle_testbed.fakes._cloud import DutyCall
from paddle_testbed.fakes._cloud import FakeCloud
from paddle_testbed.fakes._engine import EngineOptions
from paddle_testbed.fakes._engine import FakeEngine
from paddle_testbed.fakes._odd_entries import ODD_ENTRIES
from paddle_testbed.fakes._origin import event
from paddle_testbed.fakes._origin import FakeOrigin
from paddle_testbed.fakes._origin import move_response
from paddle_testbed.fakes._origin import Received
from paddle_testbed.fakes._origin import response
from paddle_testbed.fakes._origin import STAMP
from paddle_testbed.fakes._origin import STREAM_END
from paddle_testbed.fakes._origin import stream_head
from paddle_testbed.fakes._origin import unframed_head
from paddle_testbed.fakes._platform import FakePlatform
from paddle_testbed.fakes._service import FakeService

__all__ = [
    'DutyCall',
    'EngineOptions',
    'FakeCloud',
    'FakeEngine',
    'FakeOrigin',
    'FakePlatform',
    'FakeService',
    'ODD_ENTRIES',
    'Received',
    'STAMP',
    'STREAM_END',
    'event',
    'move_response',
    'response',
    'stream_head',
    'unframed_head',
]
