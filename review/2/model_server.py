"""A sound model server under load, as a process that the case can kill.

It begins to answer FIRST_S after a request has arrived and then sends an
event each GAP_S. A request of which the caller's side closes is dropped.
"""

import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins  # noqa: E402

FIRST_S = 2.0
GAP_S = 0.13
EVENTS = 50


def chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


def say(kind, req):
    print(
        json.dumps({'kind': kind, 'id': req.id, 'at': time.monotonic()}),
        flush=True,
    )


def answer(server, req, sock):
    say('arrives', req)
    time.sleep(FIRST_S)
    sock.sendall(
        standins.head(
            req,
            extra=(
                'Content-Type: text/event-stream',
                'Transfer-Encoding: chunked',
            ),
        )
    )
    say('begins', req)
    for number in range(1, EVENTS + 1):
        event = b'id: %d\ndata: %s\n\n' % (number, req.id.encode())
        sock.sendall(chunk(event))
        time.sleep(GAP_S)
    sock.sendall(b'0\r\n\r\n')
    return True


def main(name, domain):
    server = standins.Server(
        name, 'model', lambda text: None, answer, domain=domain, slots=48
    )
    print(json.dumps(server.entry()), flush=True)
    # Ends with the script that started it.
    sys.stdin.read()


main(*sys.argv[1:])
