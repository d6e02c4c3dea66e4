"""Writing log lines: what a reader that stalls or a burst may do."""

import io
import json
import os
import subprocess
import sys

import gevent

from paddle_kernel import _events

TIMEOUT_S = 20
# More than a pipe holds (64 KiB).
LINES = 4_000
WAIT_S = 3

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
end_s = time.monotonic() + {WAIT_S}
emitted = 0
while time.monotonic() < end_s:
    for _ in range(100):
        if emitted < {LINES}:
            paddle_kernel.emit(event, id='r' * 40, number=emitted)
            emitted += 1
    gevent.sleep(0.01)
    turns += 1
print(emitted, turns, file=sys.stderr)
import os
os._exit(0)
"""


def test_stalled_reader_does_not_hold_up_the_process():
    # Guards against a write to a full pipe that stops all greenlets.
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
        assert emitted == LINES
        assert turns > WAIT_S * 20
        with os.fdopen(read_end, 'rb', closefd=False) as written:
            lines = written.read().split(b'\n')
        assert all(json.loads(line) for line in lines[:-1])
    finally:
        process.kill()
        process.wait()
        os.close(read_end)


def test_lines_beyond_the_bound_are_counted():
    # Guards against a log that ends without saying that lines are missing.
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
    got = bytearray()
    os.set_blocking(read_end, False)
    end_s = _events.FLUSH_PERIOD_MS * 200 / 1_000
    with gevent.Timeout(end_s, False):
        while got.count(b'\n') < 2_000:
            try:
                got += os.read(read_end, 65_536)
            except BlockingIOError:
                gevent.sleep(0.01)
    numbers = [json.loads(line)['number'] for line in got.splitlines()]
    assert numbers == list(range(2_000))
    os.close(read_end)
