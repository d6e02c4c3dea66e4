"""Test of the propagation bench."""

import subprocess
import sys

TIMEOUT_S = 60


def test_all_followers_see_all_changes():
    # Guards against a run in which followers missed changes unnoticed.
    command = [sys.executable, '-m', 'paddle_testbed.propagation_bench']
    result = subprocess.run(
        [*command, '--daemons=2', '--changes=2'],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert result.returncode == 0, result.stderr
    followers, missed = result.stdout.splitlines()[-1].split()[:2]
    assert (followers, missed) == ('2', '0')
