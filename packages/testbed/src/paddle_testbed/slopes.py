"""Slopes of memory, processor time and bytes for docs/CAPACITY.md.

Each part is a function of a size that returns figures. A part runs in a fresh
process for each size, because memory freed after one size would hide growth
at the next. A straight line is fitted through the figures of all sizes.
"""

import json
import statistics
import subprocess
import sys

from absl import app
from absl import flags
import tabulate

import paddle_kernel as kernel
from paddle_testbed import _slope
from paddle_testbed import slope_parts

FLAGS = flags.FLAGS
flags.DEFINE_string('part', None, 'Name of a part to run in this process.')
flags.DEFINE_integer('size', 0, 'Size for --part.')
flags.DEFINE_list('only', None, 'Parts to run; by default all.')

PART_TIMEOUT_S = 120


def measure(name, size):
    """Run one part at one size in a fresh process."""
    command = [
        sys.executable,
        '-m',
        'paddle_testbed.slopes',
        f'--part={name}',
        f'--size={size}',
    ]
    result = subprocess.run(
        command,
        capture_output=True,
        text=True,
        timeout=PART_TIMEOUT_S,
        check=False,
    )
    if result.returncode != 0:
        raise RuntimeError(f'{name} at {size}: {result.stderr[-2000:]}')
    return json.loads(result.stdout.splitlines()[-1])


def fit(sizes, values):
    """Return ``(slope, intercept)`` of the line through the points."""
    line = statistics.linear_regression(sizes, values)
    return line.slope, line.intercept


def run_part(name):
    """Measure one part at all sizes and return its table rows."""
    spec = _slope.parts.create(name)
    results = [measure(name, size) for size in spec.sizes]
    rows = []
    for figure in results[0]:
        values = [result[figure] for result in results]
        slope, intercept = fit(spec.sizes, values)
        points = ', '.join(
            f'{size}: {value:.6g}'
            for size, value in zip(spec.sizes, values, strict=True)
        )
        rows.append(
            {
                'part': name,
                'figure': figure,
                'per': spec.unit,
                'slope': f'{slope:.6g}',
                'at 0': f'{intercept:.6g}',
                'points': points,
            }
        )
    return rows


def main(argv):
    """Run one part in this process, or all parts in their own processes."""
    kernel.configure_log(level='ERROR')
    if FLAGS.part:
        result = _slope.parts.create(FLAGS.part).function(FLAGS.size)
        print(json.dumps(result))
        return 0
    names = FLAGS.only or slope_parts.ORDER
    rows = [row for name in names for row in run_part(name)]
    print(tabulate.tabulate(rows, headers='keys'))
    return 0


if __name__ == '__main__':
    app.run(main)
