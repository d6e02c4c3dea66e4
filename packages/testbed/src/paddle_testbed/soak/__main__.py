"""``python -m paddle_testbed.soak``: plays seeds and prints findings.

Ends with an error if a seed has a finding that KNOWN-RED.txt does not list.
Logs of a seed with findings stay in ``--logs``.
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
flags.DEFINE_list('seeds', [], 'Seeds to play; fresh ones if there are none.')
flags.DEFINE_integer('count', 5, 'Number of fresh seeds.', 1, 1_000)
flags.DEFINE_bool('regressions', False, 'First play seeds that once failed.')
flags.DEFINE_float('seconds', 15, 'How long faults begin, in s.', 1, 600)
flags.DEFINE_integer('controllers', 3, 'Controllers.', 3, 9)
flags.DEFINE_integer('gateways', 2, 'Gateways.', 1, 300)
flags.DEFINE_integer('callers', 6, 'Callers.', 1, 500)
flags.DEFINE_string('logs', 'out/soak', 'Folder for the processes and logs.')

KNOWN_RED = pathlib.Path(__file__).parents[5] / 'KNOWN-RED.txt'
MAX_SEED = 2**31
# Seeds that once had a finding, with its cause.
REGRESSIONS = {
    1572442404: 'a reload met a program that was being loaded and ended it',
    1268783226: 'a stop met a program that was being loaded: exit code -15',
    560662964: 'a torn write on a disk that was just emptied (of the soak)',
    2134026849: 'a process was killed while it was loaded (of the soak)',
}


def is_known(seed, text):
    """Whether KNOWN-RED.txt lists this seed of the soak."""
    return f'soak: seed {seed}\n' in text


def play(seed, options):
    """Play a seed, print the result and return whether it may pass."""
    folder = pathlib.Path(FLAGS.logs) / f'{seed}-{time.time_ns()}'
    folder.mkdir(parents=True)
    findings, ledger = _run.run_seed(seed, options, folder)
    whole = sum(item.is_whole for item in ledger.attempts)
    kinds = sorted({item.kind for item in ledger.disturbances})
    print(
        f'seed {seed}: {len(findings)} findings, {whole} of '
        f'{len(ledger.attempts)} requests whole, '
        f'{len(ledger.disturbances)} faults ({", ".join(kinds)}), '
        f'{len(ledger.acknowledged)} versions acknowledged, '
        f'{len(ledger.wishes)} answers of servers that leave or want quiet, '
        f'{len(ledger.signals)} signals',
        flush=True,
    )
    for finding in findings:
        print(f'  {finding}', flush=True)
    return not findings or is_known(seed, KNOWN_RED.read_text())


def main(argv):
    """Play all seeds; return the exit code."""
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
    return 0 if all([play(seed, options) for seed in seeds]) else 1


if __name__ == '__main__':
    sys.exit(app.run(main))
