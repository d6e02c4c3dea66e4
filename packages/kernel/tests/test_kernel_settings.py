"""Tests of the validation of settings."""

import attrs
import pytest

import paddle_kernel as kernel
from paddle_kernel import settings


@attrs.frozen(kw_only=True)
class Window:
    low: int = settings.field(settings.integer(0, 100, 'ms'))
    high: int = settings.field(settings.integer(0, 100, 'ms'), default=50)

    def check(self, path, findings):
        if self.low > self.high:
            findings.add(f'{path}.low', self.low, f'at most {self.high}')


@attrs.frozen(kw_only=True)
class Document:
    name: str = settings.field(settings.STRING)
    windows: tuple = settings.field(
        settings.ListOf(settings.Nested(Window)), default=()
    )


def test_all_findings_are_reported_with_their_path():
    # Guards against a check that stops at the first error.
    document = {
        'nme': 'x',
        'windows': [{'low': -1}, {'low': 60}, {'low': True, 'high': 'a'}],
    }
    with pytest.raises(kernel.FindingsError) as caught:
        settings.load(Document, document)
    assert [item.path for item in caught.value.findings] == [
        '$.nme',
        '$.name',
        '$.windows[0].low',
        '$.windows[1].low',
        '$.windows[2].low',
        '$.windows[2].high',
    ]


def test_secret_file_readable_by_others_is_refused(tmp_path):
    # Guards against tokens in files that other users can read.
    path = tmp_path / 'token'
    path.write_text('secret\n')
    path.chmod(0o644)
    with pytest.raises(kernel.FindingsError, match='chmod 600'):
        settings.read_secret(path)
    path.chmod(0o600)
    assert settings.read_secret(path) == 'secret'
