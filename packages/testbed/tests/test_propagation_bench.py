"""Test of the propagation measurement."""

import subprocess
import sys

TIMEOUT_S = 60


def test_all_followers_see_all_changes():
    # Guards against figures of a run in which followers missed changes.
    command = [sys.executable, '-m', 'paddle_testbed.propagation_bench']
    done = subprocess.run(
        [*command, '--daemons=2', '--changes=2'],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert done.returncode == 0, done.stderr
    followers, missed = done.stdout.splitlines()[-1].split()[:2]
    assert (followers, missed) == ('2', '0')
