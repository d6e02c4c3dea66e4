"""Tests of the sums in a sealed report."""

from paddle_coord import _seal


class CountedRows(dict):
    """Counts how often its rows are iterated."""

    iterations = 0

    def items(self):
        self.iterations += 1
        return super().items()


def test_rows_of_each_daemon_are_iterated_once():
    # Guards against a sealing time that is quadratic in the number of daemons.
    parts = [
        CountedRows({'club': {'chat': {'requests': index}}, f'c{index}': {}})
        for index in range(50)
    ]
    total = _seal.total_of(parts)
    assert total['club']['chat']['requests'] == sum(range(50))
    assert [part.iterations for part in parts] == [1] * 50
