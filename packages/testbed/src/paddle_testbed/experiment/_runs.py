"""Run days of the bench with several versions of the code."""

import pathlib
import subprocess

import attrs

from paddle_testbed.experiment import _report

# The longest days of large deployments take about ten minutes.
RUN_TIMEOUT_S = 1_800


@attrs.frozen(kw_only=True)
class DayRun:
    """One run of a day with one version.

    A ``seed`` of ``None`` stands for the seed of the day itself.
    """

    label: str
    day: str
    seed: int | None
    report: _report.Report


def run_days(command, site, *, versions, days, seeds, folder):
    """Run every day and seed with each version in turn.

    ``command`` is the path of the bench program; ``versions`` maps labels to
    git revisions. The working trees and the output of the runs stay in
    ``folder``. Runs follow one another, since concurrent runs would disturb
    the measured times. Returns a list of :class:`DayRun`.

    :raises subprocess.CalledProcessError: if a run fails.
    :raises ReportError: if a run prints no report.
    """
    folder = pathlib.Path(folder).resolve()
    trees = {
        label: _checkout(revision, folder / f'tree-{label}')
        for label, revision in versions.items()
    }
    runs = []
    for day in days:
        for seed in seeds:
            for label, tree in trees.items():
                text = _run_bench(command, site, day, seed, label, tree)
                name = f'{day}-{seed}-{label}.txt'.replace('/', '_')
                (folder / name).write_text(text)
                runs.append(
                    DayRun(
                        label=label,
                        day=day,
                        seed=seed,
                        report=_report.parse(text),
                    )
                )
    return runs


def _checkout(revision, tree):
    """Check ``revision`` out in the working tree ``tree``; return its path."""
    if not tree.exists():
        tree.parent.mkdir(parents=True, exist_ok=True)
        _run_command(['git', 'worktree', 'add', '--detach', tree, revision])
    else:
        _run_command(
            ['git', 'checkout', '--force', '--detach', revision], cwd=tree
        )
    return tree


def _run_bench(command, site, day, seed, label, tree):
    seed_arguments = [] if seed is None else ['--seed', str(seed)]
    return _run_command(
        [
            command,
            'run',
            pathlib.Path(site).resolve(),
            day,
            *seed_arguments,
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


def _run_command(arguments, cwd=None):
    return subprocess.run(
        arguments,
        cwd=cwd,
        check=True,
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
    ).stdout
