"""Tests of requests to the chat daemon that crash engines."""

import json

import gevent

from paddle_testbed import fakes

ENGINES = 3
DOWN_S = 0.3
REPEATS = 8
# As on the gateways: three crashes, and three more while this is found out.
MAX_ARRIVALS = 6
CRASHING = 'crash'
LOAD = {
    'running': 0,
    'waiting': 0,
    'slots': 4,
    'kv_used': 0,
    'kv_total': 100_000,
    'age_ms': 0,
}


def test_a_chat_that_crashes_engines_stops_reaching_them(stack):
    # Guards against one chat that crashes engine after engine, since nothing
    # connects it with its repeats.
    arrivals = []

    def build_script(number):
        def respond(req, _sock):
            if req.line.startswith(b'GET'):
                return fakes.response(
                    req,
                    json.dumps(LOAD).encode(),
                    extra=(b'Content-Type: application/json',),
                )
            arrivals.append(number)
            return [lambda: origins[number].crash(DOWN_S), None]

        return respond

    origins = [
        fakes.FakeOrigin(build_script(number)) for number in range(ENGINES)
    ]
    for number, origin in enumerate(origins):
        stack.platform.add(
            f'engine-{number}', origin.address, models=['small'], slots=4
        )
    daemon = stack.add_daemon()
    for _ in range(REPEATS):
        stack.post_chat(daemon, text=CRASHING, max_tokens=3)
        gevent.sleep(2 * DOWN_S)
    for origin in origins:
        origin.stop()
    assert len(arrivals) >= 3
    assert len(arrivals) <= MAX_ARRIVALS
