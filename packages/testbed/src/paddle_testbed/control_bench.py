"""``python -m paddle_testbed.control_bench``: control cost without callers.

Starts controllers and gateways as processes without callers. Prints by role
the processor time and the bytes exchanged between these processes. Bytes are
counted at the process that makes a call, so each call is counted once.
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
flags.DEFINE_integer('controllers', 9, 'Number of controllers.', 1, 15)
flags.DEFINE_integer('gateways', 24, 'Number of gateways.', 1, 200)
flags.DEFINE_integer('servers', 84, 'Number of servers on the list.', 0, 1_000)
flags.DEFINE_float('seconds', 10, 'Duration of the measurement in s.', 1, 120)

WARM_UP_S = 4
CONFIG = {
    'version': 1,
    'routes': [],
    'services': [{'name': 'plain', 'connectionLimit': 100}],
    'limits': {},
    'tenants': [],
}


def list_entries(count):
    """Return an instance list of the platform with ``count`` servers."""
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


def read_usage(fleet):
    """Return ``{name: (CPU seconds, bytes)}`` of all processes."""
    usage = {}
    for name, machine in fleet.machines.items():
        traffic = fleet.dump(name).get('traffic', {})
        usage[name] = (
            slope_parts.process_cpu_s(machine.process.pid),
            traffic.get('sent_bytes', 0) + traffic.get('received_bytes', 0),
        )
    return usage


def measure(fleet, seconds):
    """Return ``{name: (cores in use, bytes per second)}``."""
    before = read_usage(fleet)
    gevent.sleep(seconds)
    after = read_usage(fleet)
    return {
        name: tuple(
            (end - start) / seconds
            for start, end in zip(before[name], after[name])
        )
        for name in before
    }


def table(fleet, usage_by_name):
    """Return rows with the mean and the maximum of each role."""
    rows = []
    for role in ('controller', 'gateway'):
        cores, byte_rates = zip(
            *(usage_by_name[name] for name in fleet.names(role))
        )
        rows.append(
            (
                role,
                len(cores),
                statistics.mean(cores),
                max(cores),
                statistics.mean(byte_rates) / 1_000,
                max(byte_rates) / 1_000,
            )
        )
    return rows


def main(_argv):
    """Run the measurement and print the table."""
    cloud = fakes.FakeCloud()
    cloud.entries = list_entries(FLAGS.servers)
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(
            folder,
            cloud,
            controllers=FLAGS.controllers,
            gateways=FLAGS.gateways,
        )
        try:
            fleet.start_all()
            fleet.put_configuration(CONFIG)
            for name in fleet.names('gateway'):
                fleet.wait_ready(name)
            gevent.sleep(WARM_UP_S)
            rows = table(fleet, measure(fleet, FLAGS.seconds))
        finally:
            fleet.stop()
            cloud.stop()
    headers = ('role', 'count', 'cores', 'most', 'KB/s', 'most')
    print(tabulate.tabulate(rows, headers, floatfmt='.4f'))
    print(f'reads of the list: {cloud.reads}')


if __name__ == '__main__':
    sys.exit(app.run(main))
