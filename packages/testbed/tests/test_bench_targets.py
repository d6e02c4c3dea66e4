"""Tests of missed targets of the bench and KNOWN-RED.txt."""

from paddle_testbed import bench

RESULTS = [
    ('first', 1.0, '<=', 1.3, True),
    ('second', 1.4, '<=', 1.3, False),
    ('third', 0.2, '>=', 0.9, False),
]


def test_a_missed_target_fails_unless_it_is_listed(tmp_path):
    # Guards against a bench that exits with 0 after a miss that is not listed.
    path = tmp_path / 'KNOWN-RED.txt'
    assert bench.known_misses(path) == set()
    path.write_text('bench: third\n  seen: 0.2\n')
    known = bench.known_misses(path)
    assert bench.unexpected_misses(RESULTS, known) == ['second']
