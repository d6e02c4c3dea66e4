"""``python -m paddle_testbed.experiment``: two versions side by side."""

import sys

from absl import app
from absl import flags

from paddle_testbed.experiment import _plays
from paddle_testbed.experiment import _tables

FLAGS = flags.FLAGS
flags.DEFINE_string('command', None, 'Program of the bench.', required=True)
flags.DEFINE_string('site', None, 'Site file.', required=True)
flags.DEFINE_list('days', None, 'Days, or files of days.', required=True)
flags.DEFINE_list('seeds', [], 'Seeds; the day has its own without them.')
flags.DEFINE_string('before', 'HEAD~1', 'Revision to compare with.')
flags.DEFINE_string('after', 'HEAD', 'Revision to compare.')
flags.DEFINE_string('out', 'out/experiment', 'Folder for table and plots.')


def main(argv):
    """Play all days with both versions and print the table."""
    plays = _plays.play_all(
        FLAGS.command,
        FLAGS.site,
        versions={'before': FLAGS.before, 'after': FLAGS.after},
        days=FLAGS.days,
        seeds=[int(seed) for seed in FLAGS.seeds] or [None],
        folder=FLAGS.out,
    )
    print(_tables.write_all(plays, FLAGS.out))
    return 0


if __name__ == '__main__':
    sys.exit(app.run(main))
