"""Tests of the log writer: a stalled reader and bursts of lines."""

import io
import json
import os
import subprocess
import sys

import gevent

from paddle_kernel import _events

TIMEOUT_S = 20
# More than fit into a pipe, which holds 64 KiB.
LINE_COUNT = 4_000
RUN_TIME_S = 3

STALLED_READER = f"""
import sys, time
import gevent
import paddle_kernel
from paddle_kernel import _events

event = _events.declare(9990, 'INFO', 'a decision about a request')
paddle_kernel.configure_log(
    style='json', stream=sys.stdout, bounded=True
)
turns = 0
end_s = time.monotonic() + {RUN_TIME_S}
emitted = 0
while time.monotonic() < end_s:
    for _ in range(100):
        if emitted < {LINE_COUNT}:
            paddle_kernel.emit(event, id='r' * 40, number=emitted)
            emitted += 1
    gevent.sleep(0.01)
    turns += 1
print(emitted, turns, file=sys.stderr)
import os
os._exit(0)
"""


def test_stalled_reader_does_not_block_the_process():
    # Guards against a blocking write to a full pipe that stops all greenlets.
    read_end, write_end = os.pipe()
    process = subprocess.Popen(
        [sys.executable, '-c', STALLED_READER],
        stdout=write_end,
        stderr=subprocess.PIPE,
    )
    os.close(write_end)
    try:
        _out, err = process.communicate(timeout=TIMEOUT_S)
        emitted, turns = map(int, err.split()[-2:])
        assert emitted == LINE_COUNT
        assert turns > RUN_TIME_S * 20
        with os.fdopen(read_end, 'rb', closefd=False) as written:
            lines = written.read().split(b'\n')
        assert all(json.loads(line) for line in lines[:-1])
    finally:
        process.kill()
        process.wait()
        os.close(read_end)


def test_lines_beyond_the_buffer_are_counted():
    # Guards against a log that lacks lines without saying so.
    stream = io.StringIO()
    writer = _events._BoundedWriter(stream)
    excess = 500
    for number in range(_events.MAX_BUFFERED_LINES + excess):
        writer.put(json.dumps({'number': number}) + '\n')
    gevent.sleep(_events.FLUSH_PERIOD_MS * 3 / 1_000)
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    dropped = [line for line in lines if line.get('event') == 1000]
    assert [line['count'] for line in dropped] == [excess]


def test_lines_stay_whole_and_in_order_when_the_reader_resumes():
    read_end, write_end = os.pipe()
    stream = os.fdopen(write_end, 'w')
    writer = _events._BoundedWriter(stream)
    for number in range(2_000):
        writer.put(json.dumps({'number': number, 'pad': 'x' * 80}) + '\n')
    gevent.sleep(0.3)
    received = bytearray()
    os.set_blocking(read_end, False)
    end_s = _events.FLUSH_PERIOD_MS * 200 / 1_000
    with gevent.Timeout(end_s, False):
        while received.count(b'\n') < 2_000:
            try:
                received += os.read(read_end, 65_536)
            except BlockingIOError:
                gevent.sleep(0.01)
    numbers = [json.loads(line)['number'] for line in received.splitlines()]
    assert numbers == list(range(2_000))
    os.close(read_end)
