"""A server's answer has a body without end: does its gateway still answer?"""

import json
import pathlib
import subprocess
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins  # noqa: E402

TIMEOUT_MS = 800
LATE_MS = 500
BOOKINGS = 60
BOOKING_PAUSE_S = 0.2
# A caller leaves a stream after four times the aim without an event.
STREAM_AIM_MS = 2500
STREAM_PATIENCE_MS = 4 * STREAM_AIM_MS
CONFIG = standins.config(
    1,
    [
        standins.route('book', 'desk', 'unsafe', TIMEOUT_MS),
        standins.route(
            'text', 'model', 'streaming', 15_000,
            targetLatencyMs=STREAM_AIM_MS, targetGapMs=1200, sticky=True,
        ),
    ],
    ['desk', 'model'],
)


class ListedServer:
    """The entry of a server that runs in another process."""

    state = 'ready'

    def __init__(self, entry):
        self._entry = entry

    def entry(self):
        return self._entry


def run_booking(server, req, sock):
    server.ran(req)
    time.sleep(0.03)
    standins.respond(sock, req, b'booked ' + req.id.encode())
    return True


def case(record, trouble):
    model = subprocess.Popen(
        [sys.executable, str(HERE / 'endless_server.py')],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE,
    )
    fleet = None
    try:
        entry = json.loads(model.stdout.readline())
        threading.Thread(
            target=lambda: [
                record(f'run {line.decode().strip()} at i-model')
                for line in model.stdout
            ],
            daemon=True,
        ).start()
        cloud = standins.Cloud(record)
        cloud.servers = [
            standins.Server('i-desk', 'desk', record, run_booking),
            ListedServer(entry),
        ]
        fleet = standins.Fleet(cloud, record, controllers=3, gateways=1)
        fleet.start(CONFIG)
        return play(fleet, record, trouble)
    finally:
        if fleet is not None:
            fleet.close()
        model.kill()


def play(fleet, record, trouble):
    front = fleet.front(0)
    answers = []
    threads = []

    def stream():
        path = '/text/endless' if trouble else '/text/sound'
        standins.call(
            front, 'stream', path, deadline_ms=15_000,
            patience_ms=STREAM_PATIENCE_MS, keep_body=not trouble,
            record=record,
        )

    def book(number):
        answer = standins.call(
            front, f'book-{number}', '/book/x', deadline_ms=1500,
            record=record,
        )
        answers.append(answer)

    def start(function, *args):
        thread = threading.Thread(target=function, args=args)
        thread.start()
        threads.append(thread)

    start(stream)
    time.sleep(0.3)
    for number in range(BOOKINGS):
        start(book, number)
        time.sleep(BOOKING_PAUSE_S)
        if number % 5 == 0:
            record(f'readiness {fleet.is_ready("front-0", 1.0)}')
    for thread in threads:
        thread.join()
    code = fleet.machines['front-0'].process.poll()
    record(f'gateway exit code {code}')
    return judge(answers)


def judge(answers):
    """Apply both sentences of CONFIG on requests past their timeoutMs."""
    unanswered = [
        item for item in answers
        if not item.complete or item.took_ms > TIMEOUT_MS
    ]
    late = [
        item for item in unanswered
        if not item.complete or item.took_ms > TIMEOUT_MS + LATE_MS
    ]
    summary = (
        f'{len(answers)} bookings, {len(unanswered)} unanswered at '
        f'timeoutMs, {len(late)} half a second later'
    )
    print(summary)
    if len(late) >= 8 and len(late) > len(unanswered) / 2:
        return [f'CONFIG: {summary}']
    return []


standins.main(HERE, case)
