"""``python -m paddle_testbed.soak``: run seeds and print their findings.

The exit code is 1 if a seed that KNOWN-RED.txt does not list has findings.
The logs of all processes stay in the folder given by ``--logs``.
"""

import pathlib
import secrets
import sys
import time

from absl import app
from absl import flags
import attrs

from paddle_testbed.soak import _run

FLAGS = flags.FLAGS
flags.DEFINE_list('seeds', [], 'Seeds to run; random ones if none are given.')
flags.DEFINE_integer('count', 5, 'Number of random seeds.', 1, 1_000)
flags.DEFINE_bool(
    'regressions', False, 'First run the seeds that once failed.'
)
flags.DEFINE_float(
    'seconds', 15, 'Time in which faults are injected, in s.', 1, 600
)
flags.DEFINE_integer('controllers', 3, 'Number of controllers.', 3, 9)
flags.DEFINE_integer('gateways', 2, 'Number of gateways.', 1, 300)
flags.DEFINE_integer('callers', 6, 'Number of callers.', 1, 500)
flags.DEFINE_string('logs', 'out/soak', 'Folder for the processes and logs.')

KNOWN_RED = pathlib.Path(__file__).parents[5] / 'KNOWN-RED.txt'
MAX_SEED = 2**31
# Seeds that once had a finding, with the cause of it.
REGRESSIONS = {
    1572442404: 'a SIGHUP during program start-up ended the process',
    1268783226: 'a SIGTERM during program start-up: exit code -15',
    560662964: 'soak bug: a torn write on a disk that was just emptied',
    2134026849: 'soak bug: a process was killed during its start-up',
}


def is_known(seed, text):
    """Whether KNOWN-RED.txt lists this seed of the soak."""
    return f'soak: seed {seed}\n' in text


def run_and_report(seed, options):
    """Run a seed and print its result.

    Returns whether it has no findings or is listed in KNOWN-RED.txt.
    """
    folder = pathlib.Path(FLAGS.logs) / f'{seed}-{time.time_ns()}'
    folder.mkdir(parents=True)
    findings, ledger = _run.run_seed(seed, options, folder)
    complete_count = sum(item.is_complete for item in ledger.attempts)
    kinds = sorted({item.kind for item in ledger.disturbances})
    print(
        f'seed {seed}: {len(findings)} findings, {complete_count} of '
        f'{len(ledger.attempts)} requests whole, '
        f'{len(ledger.disturbances)} faults ({", ".join(kinds)}), '
        f'{len(ledger.acknowledged)} versions acknowledged, '
        f'{len(ledger.notices)} answers of servers that leave or want quiet, '
        f'{len(ledger.limit_periods)} limits of servers, '
        f'{len(ledger.signals)} signals',
        flush=True,
    )
    for finding in findings:
        print(f'  {finding}', flush=True)
    return not findings or is_known(seed, KNOWN_RED.read_text())


def main(argv):
    """Run all seeds; return the exit code."""
    options = attrs.evolve(
        _run.SoakOptions(),
        seconds=FLAGS.seconds,
        controllers=FLAGS.controllers,
        gateways=FLAGS.gateways,
        callers=FLAGS.callers,
    )
    seeds = [int(seed) for seed in FLAGS.seeds] or [
        secrets.randbelow(MAX_SEED) for _ in range(FLAGS.count)
    ]
    if FLAGS.regressions:
        seeds = [*REGRESSIONS, *seeds]
    return 0 if all([run_and_report(seed, options) for seed in seeds]) else 1


if __name__ == '__main__':
    sys.exit(app.run(main))
