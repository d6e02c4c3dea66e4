"""``python -m paddle_testbed.experiment``: compare two versions."""

import sys

from absl import app
from absl import flags

from paddle_testbed.experiment import _runs
from paddle_testbed.experiment import _tables

FLAGS = flags.FLAGS
flags.DEFINE_string(
    'command', None, 'Path of the bench program.', required=True
)
flags.DEFINE_string('site', None, 'Path of the site file.', required=True)
flags.DEFINE_list('days', None, 'Names or files of days.', required=True)
flags.DEFINE_list('seeds', [], 'Seeds; by default the seed of each day.')
flags.DEFINE_string('before', 'HEAD~1', 'Git revision to compare with.')
flags.DEFINE_string('after', 'HEAD', 'Git revision to compare.')
flags.DEFINE_string(
    'out', 'out/experiment', 'Folder for the table and the plots.'
)


def main(argv):
    """Run all days with both versions and print the table."""
    runs = _runs.run_days(
        FLAGS.command,
        FLAGS.site,
        versions={'before': FLAGS.before, 'after': FLAGS.after},
        days=FLAGS.days,
        seeds=[int(seed) for seed in FLAGS.seeds] or [None],
        folder=FLAGS.out,
    )
    print(_tables.write_all(runs, FLAGS.out))
    return 0


if __name__ == '__main__':
    sys.exit(app.run(main))
