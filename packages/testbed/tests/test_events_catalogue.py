"""Test of the event catalogue docs/events.md."""

import importlib.util
import pathlib

ROOT = pathlib.Path(__file__).parents[3]


def test_catalogue_lists_exactly_the_declared_events():
    # Guards against a page that lacks an event or lists a removed one.
    path = ROOT / 'tools' / 'write_events.py'
    spec = importlib.util.spec_from_file_location('write_events', path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    assert module.PATH.read_text() == module.catalogue()
