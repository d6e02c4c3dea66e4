"""Runs the fault matrix: ``python -m paddle_testbed.faults [word ...]``.

Words select rows by a part of their name. Ends with an error when a cell
fails that KNOWN-RED.txt does not list.
"""

import sys

from paddle_testbed.faults import _matrix

if __name__ == '__main__':
    sys.exit(_matrix.main(sys.argv[1:]))
