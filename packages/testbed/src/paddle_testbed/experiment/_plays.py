"""Playing days with several versions of the code."""

import pathlib
import subprocess

import attrs

from paddle_testbed.experiment import _report

# The longest days of large deployments take about ten minutes.
PLAY_LIMIT_S = 1_800


@attrs.frozen(kw_only=True)
class Play:
    """One day played with one version; ``seed`` ``None`` is the day's own."""

    label: str
    day: str
    seed: int | None
    report: _report.Report


def play_all(command, site, *, versions, days, seeds, folder):
    """Play every day and seed with each version, alternating.

    ``command`` is the bench's program, ``versions`` maps labels to
    revisions. Working trees and the output of the plays stay in ``folder``;
    one day is played at a time, since plays beside each other disturb the
    times measured. Returns a list of :class:`Play`.

    :raises subprocess.CalledProcessError: if a play fails.
    :raises ReportError: if a play prints no report.
    """
    folder = pathlib.Path(folder).resolve()
    trees = {
        label: _checkout(revision, folder / f'tree-{label}')
        for label, revision in versions.items()
    }
    plays = []
    for day in days:
        for seed in seeds:
            for label, tree in trees.items():
                text = _play(command, site, day, seed, label, tree)
                name = f'{day}-{seed}-{label}.txt'.replace('/', '_')
                (folder / name).write_text(text)
                plays.append(
                    Play(
                        label=label,
                        day=day,
                        seed=seed,
                        report=_report.parse(text),
                    )
                )
    return plays


def _checkout(revision, tree):
    """Return a working tree of ``revision``."""
    if not tree.exists():
        tree.parent.mkdir(parents=True, exist_ok=True)
        _run(['git', 'worktree', 'add', '--detach', tree, revision])
    else:
        _run(['git', 'checkout', '--force', '--detach', revision], cwd=tree)
    return tree


def _play(command, site, day, seed, label, tree):
    chosen = [] if seed is None else ['--seed', str(seed)]
    return _run(
        [
            command,
            'run',
            pathlib.Path(site).resolve(),
            day,
            *chosen,
            '--no-cpu',
            '--jobs',
            '1',
            '--log',
            'core',
            '--why',
            f'Experiment: {label}',
        ],
        cwd=tree,
    )


def _run(arguments, cwd=None):
    return subprocess.run(
        arguments,
        cwd=cwd,
        check=True,
        capture_output=True,
        text=True,
        timeout=PLAY_LIMIT_S,
    ).stdout
