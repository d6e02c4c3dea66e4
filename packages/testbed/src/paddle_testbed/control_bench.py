"""``python -m paddle_testbed.control_bench``: what control costs at rest.

Starts controllers and gateways as processes without callers and prints the
processor time and the bytes between the system's own processes by role. The
bytes are those of a process as a caller; each call is counted once.
"""

import statistics
import sys
import tempfile

from absl import app
from absl import flags
import gevent
import tabulate

from paddle_testbed import fakes
from paddle_testbed import fleet as fleets
from paddle_testbed import slope_parts

FLAGS = flags.FLAGS
flags.DEFINE_integer('controllers', 9, 'Controllers.', 1, 15)
flags.DEFINE_integer('gateways', 24, 'Gateways.', 1, 200)
flags.DEFINE_integer('servers', 84, 'Servers on the list.', 0, 1_000)
flags.DEFINE_float('seconds', 10, 'How long to measure, in s.', 1, 120)

SETTLE_S = 4
CONFIG = {
    'version': 1,
    'routes': [],
    'services': [{'name': 'plain', 'connectionLimit': 100}],
    'limits': {},
    'tenants': [],
}


def entries(count):
    """Return a platform's list of ``count`` servers."""
    return [
        {
            'identifier': f'i-{number:010x}',
            'service': 'plain',
            'address': f'127.0.0.1:{20_000 + number}',
            'zone': f'z{number % 2}',
            'version': 'v1',
            'slots': 32,
            'state': 'ready',
        }
        for number in range(count)
    ]


def read(fleet):
    """Return ``{name: (CPU seconds, bytes)}`` of all processes."""
    found = {}
    for name, machine in fleet.machines.items():
        traffic = fleet.dump(name).get('traffic', {})
        found[name] = (
            slope_parts.process_cpu_s(machine.process.pid),
            traffic.get('sent_bytes', 0) + traffic.get('received_bytes', 0),
        )
    return found


def measure(fleet, seconds):
    """Return ``{name: (part of a core, bytes a second)}``."""
    before = read(fleet)
    gevent.sleep(seconds)
    after = read(fleet)
    return {
        name: tuple(
            (b - a) / seconds for a, b in zip(before[name], after[name])
        )
        for name in before
    }


def table(fleet, costs):
    """Return rows with the mean and the most of each role."""
    rows = []
    for role in ('controller', 'gateway'):
        cores, sent = zip(*(costs[name] for name in fleet.names(role)))
        rows.append(
            (
                role,
                len(cores),
                statistics.mean(cores),
                max(cores),
                statistics.mean(sent) / 1_000,
                max(sent) / 1_000,
            )
        )
    return rows


def main(_argv):
    """Print the table."""
    cloud = fakes.FakeCloud()
    cloud.entries = entries(FLAGS.servers)
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(
            folder,
            cloud,
            controllers=FLAGS.controllers,
            gateways=FLAGS.gateways,
        )
        try:
            fleet.start_all()
            fleet.put(CONFIG)
            for name in fleet.names('gateway'):
                fleet.wait_ready(name)
            gevent.sleep(SETTLE_S)
            rows = table(fleet, measure(fleet, FLAGS.seconds))
        finally:
            fleet.stop()
            cloud.stop()
    headers = ('role', 'count', 'cores', 'most', 'KB/s', 'most')
    print(tabulate.tabulate(rows, headers, floatfmt='.4f'))
    print(f'reads of the list: {cloud.reads}')


if __name__ == '__main__':
    sys.exit(app.run(main))
