"""Output of results as a table or as JSON."""

import functools
import json

import tabulate


def as_json(result):
    """Return ``result`` as indented JSON text."""
    return json.dumps(result, indent=2, sort_keys=True, default=str)


@functools.singledispatch
def as_table(result):
    """Return ``result`` as a table or as plain text."""
    return str(result)


@as_table.register
def _dict_table(result: dict):
    rows = [(name, _cell(value)) for name, value in result.items()]
    return tabulate.tabulate(rows, tablefmt='plain')


@as_table.register
def _list_table(result: list):
    if not result:
        return '(none)'
    if not all(isinstance(item, dict) for item in result):
        return '\n'.join(str(item) for item in result)
    rows = [
        {name: _cell(value) for name, value in item.items()} for item in result
    ]
    return tabulate.tabulate(rows, headers='keys', tablefmt='simple')


def _cell(value):
    if isinstance(value, dict | list):
        return json.dumps(value, sort_keys=True, default=str)
    return '-' if value is None else value
