"""Tests of the sums in a sealed report."""

from paddle_coord import _seal


class CountedRows(dict):
    """Counts how often its rows are walked."""

    walks = 0

    def items(self):
        self.walks += 1
        return super().items()


def test_rows_of_each_daemon_are_walked_once():
    # Guards against sealing whose time grows with the square of the daemons.
    parts = [
        CountedRows({'club': {'chat': {'requests': index}}, f'c{index}': {}})
        for index in range(50)
    ]
    total = _seal.total_of(parts)
    assert total['club']['chat']['requests'] == sum(range(50))
    assert [part.walks for part in parts] == [1] * 50
