"""Tests of the examples that the documentation refers to."""

import pathlib
import subprocess
import sys

import pytest

import paddle_ctl
from paddle_kernel import settings
from paddle_router import _settings

EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'
MAX_LINES = 40
DEPLOYMENTS = ('diaspoort', 'savupiippu')


def test_embedding_example_runs_the_job_once_and_stays_short():
    # Guards against a documented example that no longer works.
    path = EXAMPLES / 'embedding.py'
    result = subprocess.run(
        [sys.executable, str(path)],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    assert result.stdout.splitlines() == [
        'first: ran invoice-7',
        'second: invoice-7 is done',
    ]
    assert len(path.read_text().splitlines()) <= MAX_LINES


@pytest.mark.parametrize('deployment', DEPLOYMENTS)
def test_example_settings_have_no_findings(deployment):
    # Guards against example settings that the daemon rejects.
    folder = EXAMPLES / deployment
    for path in folder.glob('entry-*.json'):
        assert settings.load_file(_settings.Settings, path).name == path.stem
    settings.load_file(paddle_ctl.CtlSettings, folder / 'ctl.json')
