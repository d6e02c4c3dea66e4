"""Table and plots of a comparison."""

import pathlib
import statistics

import pygal
import tabulate

TABLE_FILE = 'table.md'


def write_all(plays, folder):
    """Write ``table.md`` and one plot for each day; return the table."""
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    text = table(plays)
    (folder / TABLE_FILE).write_text(text)
    for day, seed in dict.fromkeys((play.day, play.seed) for play in plays):
        day_plays = [
            play for play in plays if (play.day, play.seed) == (day, seed)
        ]
        name = f'{day}-{seed}'.replace('/', '_')
        for kind, chart in charts(day_plays).items():
            chart.render_to_file(str(folder / f'{name}-{kind}.svg'))
    return text


def table(plays):
    """Return worth, worth by class and prices of all runs as Markdown."""
    labels = list(dict.fromkeys(play.label for play in plays))
    parts = [
        _section('Worth', labels, _rows(plays, labels, _worth_figures)),
        _section(
            'Worth by class', labels, _rows(plays, labels, _class_figures)
        ),
        _section('Prices', labels, _rows(plays, labels, _price_figures)),
    ]
    return '\n\n'.join(parts) + '\n'


def _worth_figures(report):
    return {'worth': report.worth}


def _class_figures(report):
    return {row.name: row.worth for row in report.classes}


def _price_figures(report):
    return report.prices


def _rows(plays, labels, figures_of):
    """Return one row for each day, seed and figure, then the means."""
    found = {}
    for play in plays:
        for name, value in figures_of(play.report).items():
            key = (play.day, play.seed, name)
            found.setdefault(key, {})[play.label] = value
    rows = []
    for (day, seed, name), values in found.items():
        ordered = [values.get(label, 0.0) for label in labels]
        rows.append([day, seed, name, *ordered, ordered[-1] - ordered[0]])
    for name in dict.fromkeys(row[2] for row in rows):
        columns = zip(*(row[3:] for row in rows if row[2] == name))
        rows.append(['mean', '', name, *map(statistics.mean, columns)])
    return rows


def _section(title, labels, rows):
    headers = ['day', 'seed', 'figure', *labels, 'change']
    body = tabulate.tabulate(
        rows, headers=headers, tablefmt='github', floatfmt='.3f'
    )
    return f'## {title}\n\n{body}'


def charts(plays):
    """Return ``{kind: chart over time}`` for the runs of one day."""
    return {
        'worth': _over_time(
            'Worth', plays, lambda report: _points_of_column(report, 'worth')
        ),
        'refused': _over_time(
            'Refused',
            plays,
            lambda report: _points_of_column(report, 'refused'),
        ),
        'failed': _over_time(
            'Failed', plays, lambda report: _points_of_column(report, 'failed')
        ),
        'servers': _over_time(
            'Servers listed', plays, lambda report: list(report.servers)
        ),
    }


def _points_of_column(report, field):
    return [(float(row.name), getattr(row, field)) for row in report.times]


def _over_time(title, plays, points_of):
    chart = pygal.XY(title=title, x_title='s', show_dots=False)
    for play in plays:
        chart.add(play.label, points_of(play.report))
    return chart
