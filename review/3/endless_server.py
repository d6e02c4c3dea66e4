"""A model server in trouble: nonsense without end in the body of an answer.

A process of its own, so that it does not share an interpreter with the
callers. It sends at most what a link of 1,000 Mbit/s carries.
"""

import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins  # noqa: E402

BYTES_PER_S = 125_000_000
NONSENSE = b'\x00HTP/9 nonsense\r\n\r\n' * 1_000
EVENTS = 5


def chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


def answer(server, req, sock):
    print(req.id, flush=True)
    sock.sendall(
        standins.head(
            req,
            extra=(
                'Content-Type: text/event-stream',
                'Transfer-Encoding: chunked',
            ),
        )
    )
    if 'endless' in req.target:
        send_endlessly(sock)
        return False
    for number in range(1, EVENTS + 1):
        event = b'id: %d\ndata: %s\n\n' % (number, req.id.encode())
        sock.sendall(chunk(event))
        time.sleep(0.02)
    sock.sendall(b'0\r\n\r\n')
    return True


def send_endlessly(sock):
    """Send until the other side closes; then ``sendall`` raises."""
    began, sent = time.monotonic(), 0
    while True:
        data = chunk(NONSENSE)
        sock.sendall(data)
        sent += len(data)
        ahead_s = sent / BYTES_PER_S - (time.monotonic() - began)
        if ahead_s > 0:
            time.sleep(ahead_s)


def main():
    server = standins.Server('i-model', 'model', lambda text: None, answer)
    print(json.dumps(server.entry()), flush=True)
    # Ends with the script that started it.
    sys.stdin.read()


main()
