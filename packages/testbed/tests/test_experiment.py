"""Tests of the experiment tool with a fake bench command."""

import pathlib
import subprocess

from paddle_testbed import experiment
import pytest

REPORT = """\
built in 1 s
    2.5000 core-a {"event": 3420, "level": "INFO", "servers": 4}
    9.0000 core-a {"event": 3420, "level": "INFO", "servers": 6}
    9.1000 core-b {"event": 3420, "lev
day       own/srv  score  worth served refused failed  weakest part
scale-1     13/13   1.00  0.733  0.962   0.000  0.017  worst windows 0.71

worth 0.733 = whole day 0.962 (weight 0.6), less prices
  -0.0156  1031.916 machine-seconds
  -0.0001  1.933 processor seconds
  --0.0000  -0.0 GB of KV cache moved
  -0.0338  318.43 1,000 tokens of shared parts read again

class       asked  in aim   late refused failed not owed  worth   p50 ms
reports       441     410      2       0     28        1  0.930    226.0
chat          593     567     21       2      0        3  0.960     27.2

from second asked  in aim   late refused failed not owed  worth   p50 ms
0              91      88      2       0      1        0  0.956     69.9
2              70      60      1       3      8        1  0.832     58.2

how tries ended: 200: 1968
"""


def test_a_report_is_parsed():
    report = experiment.parse(REPORT)
    assert report.worth == 0.733
    assert report.prices == {
        'machine-seconds': 0.0156,
        '1,000 tokens of shared parts read again': 0.0338,
    }
    assert [row.name for row in report.classes] == ['reports', 'chat']
    assert report.classes[1].refused == 2
    assert [row.worth for row in report.times] == [0.956, 0.832]
    assert report.servers == ((2.5, 4), (9.0, 6))


def test_output_without_a_report_is_an_error():
    # Guards against a failed run that counts as a run with a worth of 0.
    with pytest.raises(experiment.ReportError, match='0 lines'):
        experiment.parse('built in 1 s\nfleetbench: no such day\n')


@pytest.fixture
def repository(tmp_path, monkeypatch):
    """A git repository with two revisions; the second has a higher worth."""
    folder = tmp_path / 'repository'
    folder.mkdir()

    def git(*arguments):
        subprocess.run(
            ['git', '-c', 'user.name=t', '-c', 'user.email=t@t', *arguments],
            cwd=folder,
            check=True,
            capture_output=True,
        )

    git('init', '-q')
    for worth in ('0.700', '0.750'):
        (folder / 'worth').write_text(worth)
        git('add', '.')
        git('commit', '-q', '-m', worth)
    monkeypatch.chdir(folder)
    return folder


@pytest.fixture
def command(tmp_path):
    """A bench program that prints a report with the worth of its revision."""
    path = tmp_path / 'bench'
    report = tmp_path / 'report'
    report.write_text(REPORT.replace('worth 0.733', 'worth @'))
    path.write_text(
        f'#!/bin/sh\nsed "s/worth @/worth $(cat worth)/" {report}\n'
        f'echo "$@" >> {tmp_path}/calls\n'
    )
    path.chmod(0o755)
    return path


def test_two_versions_are_run_and_compared(repository, command, tmp_path):
    out = tmp_path / 'out'
    runs = experiment.run_days(
        str(command),
        'site.toml',
        versions={'before': 'HEAD~1', 'after': 'HEAD'},
        days=['scale-1', 'quiet-1'],
        seeds=[None, 7],
        folder=out,
    )
    assert [run.report.worth for run in runs] == [0.7, 0.75] * 4
    calls = pathlib.Path(tmp_path / 'calls').read_text().splitlines()
    assert sum('--seed 7' in line for line in calls) == 4
    text = experiment.write_all(runs, out)
    mean = next(line for line in text.splitlines() if '| mean' in line)
    assert [cell.strip() for cell in mean.split('|')][4:7] == [
        '0.700',
        '0.750',
        '0.050',
    ]
    assert (out / 'table.md').read_text() == text
    assert len(list(out.glob('*.svg'))) == 4 * 4
