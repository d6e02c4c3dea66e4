"""Table and plots of a comparison."""

import pathlib
import statistics

import pygal
import tabulate

TABLE_FILE = 'table.md'


def write_all(runs, folder):
    """Write ``table.md`` and one plot for each day; return the table."""
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    text = table(runs)
    (folder / TABLE_FILE).write_text(text)
    for day, seed in dict.fromkeys((run.day, run.seed) for run in runs):
        day_runs = [run for run in runs if (run.day, run.seed) == (day, seed)]
        name = f'{day}-{seed}'.replace('/', '_')
        for kind, chart in charts(day_runs).items():
            chart.render_to_file(str(folder / f'{name}-{kind}.svg'))
    return text


def table(runs):
    """Return worth, worth by class and prices of all runs as Markdown."""
    labels = list(dict.fromkeys(run.label for run in runs))
    parts = [
        _section('Worth', labels, _rows(runs, labels, _worth_figures)),
        _section(
            'Worth by class', labels, _rows(runs, labels, _class_figures)
        ),
        _section('Prices', labels, _rows(runs, labels, _price_figures)),
    ]
    return '\n\n'.join(parts) + '\n'


def _worth_figures(report):
    return {'worth': report.worth}


def _class_figures(report):
    return {row.name: row.worth for row in report.classes}


def _price_figures(report):
    return report.prices


def _rows(runs, labels, figures_of):
    """Return one row for each day, seed and figure, then the means."""
    found = {}
    for run in runs:
        for name, value in figures_of(run.report).items():
            key = (run.day, run.seed, name)
            found.setdefault(key, {})[run.label] = value
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


def charts(runs):
    """Return ``{kind: chart over time}`` for the runs of one day."""
    return {
        'worth': _over_time(
            'Worth', runs, lambda report: _points_of_column(report, 'worth')
        ),
        'refused': _over_time(
            'Refused',
            runs,
            lambda report: _points_of_column(report, 'refused'),
        ),
        'failed': _over_time(
            'Failed', runs, lambda report: _points_of_column(report, 'failed')
        ),
        'servers': _over_time(
            'Servers listed', runs, lambda report: list(report.servers)
        ),
    }


def _points_of_column(report, field):
    return [(float(row.name), getattr(row, field)) for row in report.times]


def _over_time(title, runs, points_of):
    chart = pygal.XY(title=title, x_title='s', show_dots=False)
    for run in runs:
        chart.add(run.label, points_of(run.report))
    return chart
