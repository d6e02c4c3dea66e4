"""Run all tests and compare the failures with KNOWN-RED.txt.

Each line of KNOWN-RED.txt that starts with ``test:`` names one pytest node
id. The run passes if exactly the listed tests fail. A listed test that passes
or does not exist fails the run, so that the list stays up to date.
"""

import pathlib
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
TEST_PREFIX = 'test:'


class OutcomeCollector:
    """Pytest plug-in that records the collected, failed and passed tests."""

    def __init__(self):
        self.collected = set()
        self.failed = set()
        self.passed = set()

    def pytest_collection_modifyitems(self, items):
        self.collected.update(item.nodeid for item in items)

    def pytest_runtest_logreport(self, report):
        if report.failed:
            self.failed.add(report.nodeid)
        elif report.when == 'call' and report.passed:
            self.passed.add(report.nodeid)


def read_known_red(path):
    """Return the pytest node ids listed in the file at ``path``."""
    if not path.exists():
        return []
    lines = path.read_text().splitlines()
    return [
        line[len(TEST_PREFIX) :].strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    ]


def find_failures(code, known, outcome):
    """Return the reasons why the run fails; empty if it passes."""
    reasons = []
    if code not in (pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED):
        reasons.append(f'pytest ended with {code!r}')
    for nodeid in known:
        if nodeid not in outcome.collected:
            reasons.append(f'KNOWN-RED.txt names no existing test: {nodeid}')
        elif nodeid not in outcome.failed:
            reasons.append(
                f'{nodeid} passes; remove its entry from KNOWN-RED.txt'
            )
    unexpected = sorted(outcome.failed - set(known))
    reasons.extend(f'failed: {nodeid}' for nodeid in unexpected)
    return reasons


def main(argv):
    known = read_known_red(KNOWN_RED)
    outcome = OutcomeCollector()
    code = pytest.main(argv or [str(ROOT / 'packages')], plugins=[outcome])
    for nodeid in known:
        print(f'known red: {nodeid}')
    reasons = find_failures(code, known, outcome)
    for reason in reasons:
        print(reason, file=sys.stderr)
    unexpected = len(outcome.failed - set(known))
    print(f'{len(outcome.passed)} passed, {unexpected} failed')
    return 1 if reasons else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
